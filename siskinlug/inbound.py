"""HTTP server: one task per request, bodies streamed in both directions."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from functools import partial
from typing import NamedTuple

from absl import logging
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from siskinlug.body import BodyCut, BodyStream
from siskinlug.exchange import CHUNK_BYTES, Answer, RequestHead, drop_hop_by_hop
from siskinlug.logs import log_event
from siskinlug.unread_body import end_response, finish_after_body, limit_body_time
from siskinlug.verdict import (
    Reason,
    Refusal,
    may_have_run,
    node_leaving,
    not_run,
    refusal_body,
)

# The codec drops a connection without a response if the head exceeds the codec's own
# limit, so that limit is higher than the one that is refused with a response.
_CODEC_HEADER_FACTOR = 2
_CODEC_MAX_BODY_BYTES = 1 << 50
# A length with more digits is above every limit.
_MAX_LENGTH_DIGITS = 18


class InboundLimits(NamedTuple):
    """Limits for requests on one port.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        replay_bytes: Bytes of a body that are kept for a second attempt.
        idle_timeout_s: Time after which an idle connection is closed, in seconds; see
            ``idle_connections.run_idle_sweep``.
        body_timeout_s: Time in which a head, and then its body, must arrive in full, in
            seconds, without the time in which the body is not read.
        connections: Maximum number of open connections.
    """

    header_bytes: int
    body_bytes: int
    replay_bytes: int
    idle_timeout_s: float
    body_timeout_s: float
    connections: int


class InboundRequest:
    """One request being served and the connection for its response.

    Attributes:
        server: The server that received it.
        connection: Connection for the response.
        head: Request line and headers.
        body: Request body, streamed as it arrives.
        remote_ip: Address of the caller, empty if unknown.
        answered_status: Status of the response, 0 until its head is sent.
        started: Whether its task has begun to serve it.
        never_sent: Whether it is certain that no attempt at a target was opened for it.
        at_stop_limit: Whether it was cancelled because a stop reached its time limit.
        awaits_body: Whether its response is complete and the rest of its body due.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        head: RequestHead,
        body: BodyStream,
        remote_ip: str,
        server: "InboundServer",
    ) -> None:
        self.server = server
        self.connection = connection
        self.head = head
        self.body = body
        self.remote_ip = remote_ip
        self.answered_status = 0
        self.started = False
        self.never_sent = False
        self.at_stop_limit = False
        self.awaits_body = False


RequestHandler = Callable[[InboundRequest], Awaitable[None]]


class InboundServer:
    """A listening port with its open connections and the requests being served.

    Attributes:
        serve: Serves one request.
        limits: Limits for requests.
        on_limit: Called with the name of a limit each time it is hit.
        request_by_task: Requests being served, by the task that serves each.
        waiting_since_by_connection: Open connections, with the time of the event
            loop's clock at which each began to wait for its latest request, which it
            may be serving by now.
        partial_head_since_by_connection: Connections on which a part of a head has
            arrived, with the time at which that was first seen.
        request_count_by_connection: Requests being served on each connection;
            connections without any are absent.
        draining: Whether responses tell callers to close the connection.
        http: The tornado server, once it listens.
        refusing: Whether new requests are refused as not run.
        port: Port it listens on.
    """

    def __init__(
        self,
        serve: RequestHandler,
        limits: InboundLimits,
        on_limit: Callable[[str], None],
    ) -> None:
        self.serve = serve
        self.limits = limits
        self.on_limit = on_limit
        self.request_by_task: dict[asyncio.Task[None], InboundRequest] = {}
        self.waiting_since_by_connection: dict[HTTP1ServerConnection, float] = {}
        self.partial_head_since_by_connection: dict[HTTP1ServerConnection, float] = {}
        self.request_count_by_connection: Counter[HTTP1ServerConnection] = Counter()
        self.draining = False
        self.http: HTTPServer | None = None
        self.refusing = False
        self.port = 0


class _RequestDelegate(HTTPMessageDelegate):
    def __init__(
        self,
        server: InboundServer,
        server_connection: HTTP1ServerConnection,
        connection: HTTPConnection,
        remote_ip: str,
    ) -> None:
        self._server = server
        self._server_connection = server_connection
        self._connection = connection
        self._remote_ip = remote_ip
        self._body = BodyStream(
            replay_bytes=server.limits.replay_bytes,
            limit_bytes=server.limits.body_bytes,
        )
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        if self._server_connection.stream.closed():
            # The caller can no longer receive a response, so the request must not run.
            log_event("request_on_closed_connection", path=start_line.path)
            return
        head = RequestHead(start_line.method, start_line.path, headers)
        inbound = InboundRequest(
            self._connection, head, self._body, self._remote_ip, self._server
        )
        self._task = asyncio.create_task(_serve_request(self._server, inbound))
        self._server.request_by_task[self._task] = inbound
        self._server.request_count_by_connection[self._server_connection] += 1
        self._task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._server.request_by_task.pop(task, None)
        self._server.request_count_by_connection[self._server_connection] -= 1
        if self._server.request_count_by_connection[self._server_connection] <= 0:
            del self._server.request_count_by_connection[self._server_connection]

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        return self._body.feed(chunk)

    def finish(self) -> None:
        self._body.finish()
        # After the end of the request, the codec reports a close only to this callback.
        self._connection.set_close_callback(self.on_connection_close)  # type: ignore[attr-defined]

    def on_connection_close(self) -> None:
        self._body.cut_off()
        if self._task is not None:
            self._task.cancel()


def _accept_connection(
    server: InboundServer, connection: HTTP1ServerConnection
) -> bool:
    """Register a connection that waits for a request.

    Returns:
        Whether it is accepted: ``False`` if there are too many connections.
    """
    open_connections = server.waiting_since_by_connection
    if (
        connection not in open_connections
        and len(open_connections) >= server.limits.connections
    ):
        # The tornado server does not report closed connections.
        closed = [c for c in open_connections if c.stream.closed()]
        for other in closed:
            del open_connections[other]
        if not closed:
            server.on_limit("connections")
            return False
    open_connections[connection] = asyncio.get_running_loop().time()
    return True


class _ServerDelegate(HTTPServerConnectionDelegate):
    def __init__(self, server: InboundServer) -> None:
        self._server = server

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(server_conn, HTTP1ServerConnection)
        if not _accept_connection(self._server, server_conn):
            server_conn.stream.close()
        address = getattr(server_conn.context, "address", None)
        remote_ip = address[0] if isinstance(address, tuple) else ""
        return _RequestDelegate(self._server, server_conn, request_conn, remote_ip)


def head_refusal(limits: InboundLimits, head: RequestHead) -> Refusal | None:
    """Return why a request is refused for the size of its head or body.

    Args:
        limits: Limits of the port.
        head: Head of the request.

    Returns:
        The refusal, or ``None`` if the request is within the limits.
    """
    size_bytes = len(head.method) + len(head.path)
    size_bytes += sum(
        len(name) + len(value) + 4 for name, value in head.headers.get_all()
    )
    if size_bytes > limits.header_bytes:
        return not_run(
            Reason.HEADERS_TOO_LARGE, f"the limit is {limits.header_bytes} bytes"
        )
    content_length = head.headers.get("Content-Length", "0")
    # Python refuses to convert thousands of digits.
    if content_length.isdecimal() and (
        len(content_length) > _MAX_LENGTH_DIGITS
        or int(content_length) > limits.body_bytes
    ):
        return not_run(Reason.BODY_TOO_LARGE, f"the limit is {limits.body_bytes} bytes")
    return None


async def _serve_request(server: InboundServer, inbound: InboundRequest) -> None:
    """Serve one request, and read the rest of its body after an early response."""
    inbound.started = True
    on_late = partial(break_connection, inbound)
    try:
        with limit_body_time(inbound.body, server.limits.body_timeout_s, on_late):
            await _respond(server, inbound)
            if inbound.awaits_body:
                await finish_after_body(inbound.connection, inbound.body)
    except asyncio.CancelledError:
        break_connection(inbound)
    finally:
        inbound.body.discard()


async def _respond(server: InboundServer, inbound: InboundRequest) -> None:
    """Respond so that a failure never looks like a complete response."""
    try:
        if refusal := head_refusal(server.limits, inbound.head):
            server.on_limit(refusal.reason.value)
            await send_refusal(inbound, refusal, request_id="")
        elif server.refusing:
            await send_refusal(inbound, node_leaving(), request_id="")
        else:
            await server.serve(inbound)
    except BodyCut:
        await _handle_cut_body(server, inbound)
    except asyncio.CancelledError:
        await _handle_cancellation(inbound)
    except StreamClosedError:
        break_connection(inbound)
    except Exception as error:
        log_event(
            "request_failed",
            write=logging.error,
            error=f"{type(error).__name__}: {error}",
        )
        logging.debug("request failed", exc_info=True)
        await _send_internal_error(inbound)


async def _handle_cancellation(inbound: InboundRequest) -> None:
    """Refuse a request that a stop interrupts, or break the connection."""
    if not refuses_at_stop_limit(inbound):
        break_connection(inbound)
        return
    with suppress(StreamClosedError):
        await send_refusal(inbound, stop_refusal(inbound), request_id="")


def stop_refusal(inbound: InboundRequest) -> Refusal:
    """Return the refusal of a request that a stop interrupts at its time limit."""
    if inbound.never_sent:
        return node_leaving()
    return may_have_run(Reason.STOP_LIMIT)


def refuses_at_stop_limit(inbound: InboundRequest) -> bool:
    """Whether a cancelled request is to be refused because a stop is at its limit."""
    return inbound.at_stop_limit and not inbound.answered_status


async def _handle_cut_body(server: InboundServer, inbound: InboundRequest) -> None:
    """Refuse a request whose body is too large, or break the connection."""
    if inbound.answered_status or not inbound.body.too_large:
        break_connection(inbound)
        return
    limit = server.limits.body_bytes
    server.on_limit(Reason.BODY_TOO_LARGE.value)
    refusal = not_run(Reason.BODY_TOO_LARGE, f"the limit is {limit} bytes")
    with suppress(StreamClosedError):
        await send_refusal(inbound, refusal, request_id="")


async def _send_internal_error(inbound: InboundRequest) -> None:
    if inbound.answered_status:
        break_connection(inbound)
        return
    try:
        refusal = may_have_run(Reason.INTERNAL, "internal error")
        await send_refusal(inbound, refusal, request_id="")
    except StreamClosedError:
        return


def break_connection(inbound: InboundRequest) -> None:
    """Close the connection so that the caller detects an incomplete response."""
    inbound.awaits_body = False
    inbound.connection.close()  # type: ignore[attr-defined]


def _add_close_header_if_draining(
    inbound: InboundRequest, headers: HTTPHeaders
) -> None:
    if inbound.server.draining:
        headers["Connection"] = "close"


async def send_answer(
    inbound: InboundRequest, status: int, headers: HTTPHeaders, body: bytes = b""
) -> None:
    """Send a complete response from memory.

    Args:
        inbound: The request.
        status: HTTP status.
        headers: Response headers; ``Content-Length`` is set here.
        body: Response body, left out for ``HEAD``.

    Raises:
        StreamClosedError: The caller closed the connection.
    """
    headers["Content-Length"] = str(len(body))
    _add_close_header_if_draining(inbound, headers)
    start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
    inbound.answered_status = status
    chunk = None if inbound.head.method == "HEAD" or not body else body
    await inbound.connection.write_headers(start, headers, chunk)
    inbound.awaits_body = not await end_response(inbound.connection, inbound.body)


async def send_refusal(
    inbound: InboundRequest,
    refusal: Refusal,
    *,
    request_id: str,
    id_header: str = "X-Request-Id",
    status: int | None = None,
) -> None:
    """Send a refusal with its verdict and reason in headers and a JSON body.

    Args:
        inbound: The request.
        refusal: The refusal.
        request_id: Id of the request, empty if it has none.
        id_header: Name of the header for the id.
        status: HTTP status that replaces the default of the reason.

    Raises:
        StreamClosedError: The caller closed the connection.
    """
    headers = HTTPHeaders(
        {
            "Content-Type": "application/json",
            "Siskinlug-Verdict": refusal.verdict.value,
            "Siskinlug-Reason": refusal.reason.value,
        }
    )
    if request_id:
        headers[id_header] = request_id
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    body = refusal_body(refusal, request_id)
    await send_answer(inbound, status or refusal.status, headers, body)


async def stream_answer(
    inbound: InboundRequest,
    answer: Answer,
    extra: Mapping[str, str] | None = None,
    *,
    observe: Callable[[bytes], None] = lambda _chunk: None,
) -> int:
    """Forward a response as it arrives.

    Args:
        inbound: The request.
        answer: The response of a target or another node.
        extra: Headers to add.
        observe: Called with each chunk of the body.

    Returns:
        Size of the forwarded body, in bytes.

    Raises:
        BodyCut: The response was cut short or has expired; the connection must be
            broken.
        StreamClosedError: The caller closed the connection.
    """
    headers = answer.headers
    drop_hop_by_hop(headers)
    for name, value in extra.items() if extra else ():
        headers[name] = value
    _add_close_header_if_draining(inbound, headers)
    start = ResponseStartLine("HTTP/1.1", answer.status, answer.reason)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as limit:
            # The response may expire while a write waits for a slow caller.
            answer.body.on_expired = lambda: limit.reschedule(loop.time())
            return await _write_answer(inbound, answer, start, headers, observe)
    except TimeoutError:
        raise BodyCut from None
    finally:
        answer.body.on_expired = lambda: None


async def _write_answer(
    inbound: InboundRequest,
    answer: Answer,
    start: ResponseStartLine,
    headers: HTTPHeaders,
    observe: Callable[[bytes], None],
) -> int:
    """Write the head with the first chunk, then the rest; return the body's size."""
    sent_bytes = 0
    if not (answer.body.complete and answer.body.received_bytes == 0):
        async for chunk in answer.body.chunks():
            sent_bytes += len(chunk)
            observe(chunk)
            if inbound.answered_status:
                await inbound.connection.write(chunk)
            else:
                inbound.answered_status = answer.status
                await inbound.connection.write_headers(start, headers, chunk)
    if not inbound.answered_status:
        inbound.answered_status = answer.status
        await inbound.connection.write_headers(start, headers)
    inbound.awaits_body = not await end_response(inbound.connection, inbound.body)
    return sent_bytes


def open_server(
    serve: RequestHandler,
    *,
    host: str,
    port: int,
    limits: InboundLimits,
    on_limit: Callable[[str], None] = lambda _name: None,
) -> InboundServer:
    """Listen on a port and serve each request in its own task.

    Args:
        serve: Serves one request.
        host: Address to listen on.
        port: Port; 0 selects a free one, see ``InboundServer.port``.
        limits: Limits for requests.
        on_limit: Called with the name of a limit each time it is hit.

    Raises:
        OSError: The port cannot be opened.
    """
    server = InboundServer(serve, limits, on_limit)
    server.http = HTTPServer(
        _ServerDelegate(server),
        max_header_size=limits.header_bytes * _CODEC_HEADER_FACTOR,
        max_body_size=_CODEC_MAX_BODY_BYTES,
        chunk_size=CHUNK_BYTES,
    )
    sockets = bind_sockets(port, host)
    server.port = sockets[0].getsockname()[1]
    server.http.add_sockets(sockets)
    return server
