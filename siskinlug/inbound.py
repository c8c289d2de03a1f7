"""Server side of HTTP: one task for each request, bodies streamed both ways."""

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
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
from siskinlug.verdict import Reason, Refusal, may_have_run, not_run, refusal_body

# The codec drops a connection beyond its own bound without an answer, so it gets
# room above the limit at which the caller is told.
_HEAD_SLACK = 2
_MAX_BODY_BYTES = 1 << 50
# Pause between looks at the connections of a server that is stopping.
DRAIN_TICK_S = 0.05


class InboundLimits(NamedTuple):
    """Bounds for requests on one port; see ``settings.SPECS`` for their units."""

    header_bytes: int
    body_bytes: int
    replay_bytes: int
    idle_s: float
    body_s: float
    connections: int


class Inbound:
    """One request being served and the connection for its answer."""

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


Serve = Callable[[Inbound], Awaitable[None]]


class InboundServer:
    """A listening port with its open connections and the requests being served."""

    def __init__(
        self, serve: Serve, limits: InboundLimits, on_limit: Callable[[str], None]
    ) -> None:
        self.serve = serve
        self.limits = limits
        self.on_limit = on_limit
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: set[HTTP1ServerConnection] = set()
        # Connections with a request that is being served.
        self.busy: Counter[HTTP1ServerConnection] = Counter()
        self.leaving = False
        self.http: HTTPServer | None = None
        self.port = 0


class _RequestDelegate(HTTPMessageDelegate):
    def __init__(
        self,
        server: InboundServer,
        kept: HTTP1ServerConnection,
        connection: HTTPConnection,
        remote_ip: str,
    ) -> None:
        self._server = server
        self._kept = kept
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
        if self._kept.stream.closed():
            # Its caller cannot get an answer any more, so it must not be passed on.
            log_event("request_on_closed_connection", path=start_line.path)
            return
        head = RequestHead(start_line.method, start_line.path, headers)
        inbound = Inbound(
            self._connection, head, self._body, self._remote_ip, self._server
        )
        self._task = asyncio.create_task(_serve_checked(self._server, inbound))
        self._server.tasks.add(self._task)
        self._server.busy[self._kept] += 1
        self._task.add_done_callback(self._ended)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self._server.tasks.discard(task)
        self._server.busy[self._kept] -= 1
        if self._server.busy[self._kept] <= 0:
            del self._server.busy[self._kept]

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        return self._body.feed(chunk)

    def finish(self) -> None:
        self._body.finish()
        # Once the request is whole the codec tells only this callback of a close.
        self._connection.set_close_callback(self.on_connection_close)  # type: ignore[attr-defined]

    def on_connection_close(self) -> None:
        self._body.cut_off()
        if self._task is not None:
            self._task.cancel()


def _take_connection(server: InboundServer, connection: HTTP1ServerConnection) -> bool:
    """Note a connection that sends a request; false if it is above the limit."""
    if connection in server.connections:
        return True
    if len(server.connections) >= server.limits.connections:
        # The server does not tell its delegate of closed connections.
        closed = {c for c in server.connections if c.stream.closed()}
        server.connections -= closed
        if not closed:
            server.on_limit("connections")
            return False
    server.connections.add(connection)
    return True


class _ServerDelegate(HTTPServerConnectionDelegate):
    def __init__(self, server: InboundServer) -> None:
        self._server = server

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(server_conn, HTTP1ServerConnection)
        if not _take_connection(self._server, server_conn):
            server_conn.stream.close()
        address = getattr(server_conn.context, "address", None)
        remote_ip = address[0] if isinstance(address, tuple) else ""
        return _RequestDelegate(self._server, server_conn, request_conn, remote_ip)


def _head_problem(limits: InboundLimits, head: RequestHead) -> Refusal | None:
    size = len(head.method) + len(head.path)
    size += sum(len(name) + len(value) + 4 for name, value in head.headers.get_all())
    if size > limits.header_bytes:
        return not_run(
            Reason.HEADERS_TOO_LARGE, f"the limit is {limits.header_bytes} bytes"
        )
    length = head.headers.get("Content-Length", "0")
    if length.isdecimal() and int(length) > limits.body_bytes:
        return not_run(Reason.BODY_TOO_LARGE, f"the limit is {limits.body_bytes} bytes")
    return None


async def _serve_checked(server: InboundServer, inbound: Inbound) -> None:
    """Serve one request and make sure that a failure never looks like an answer."""
    try:
        if problem := _head_problem(server.limits, inbound.head):
            server.on_limit(problem.reason.value)
            await send_refusal(inbound, problem, request_id="")
        else:
            await server.serve(inbound)
    except BodyCut:
        await _end_cut_request(server, inbound)
    except (StreamClosedError, asyncio.CancelledError):
        break_connection(inbound)
    except Exception as error:
        log_event(
            "request_failed",
            write=logging.error,
            error=f"{type(error).__name__}: {error}",
        )
        logging.debug("request failed", exc_info=True)
        await _send_internal_error(inbound)
    finally:
        inbound.body.discard()


async def _end_cut_request(server: InboundServer, inbound: Inbound) -> None:
    """Tell a caller that its body is too large, or break the connection."""
    if inbound.answered_status or not inbound.body.too_large:
        break_connection(inbound)
        return
    limit = server.limits.body_bytes
    server.on_limit(Reason.BODY_TOO_LARGE.value)
    refusal = not_run(Reason.BODY_TOO_LARGE, f"the limit is {limit} bytes")
    with suppress(StreamClosedError):
        await send_refusal(inbound, refusal, request_id="")


async def _send_internal_error(inbound: Inbound) -> None:
    if inbound.answered_status:
        break_connection(inbound)
        return
    try:
        refusal = may_have_run(Reason.INTERNAL, "internal error")
        await send_refusal(inbound, refusal, request_id="")
    except StreamClosedError:
        return


def break_connection(inbound: Inbound) -> None:
    """Close the connection, so that a cut answer is never taken for a whole one."""
    inbound.connection.close()  # type: ignore[attr-defined]


def _close_when_leaving(inbound: Inbound, headers: HTTPHeaders) -> None:
    if inbound.server.leaving:
        headers["Connection"] = "close"


async def send_answer(
    inbound: Inbound, status: int, headers: HTTPHeaders, body: bytes = b""
) -> None:
    """Send a whole answer from memory."""
    headers["Content-Length"] = str(len(body))
    _close_when_leaving(inbound, headers)
    start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
    inbound.answered_status = status
    chunk = None if inbound.head.method == "HEAD" or not body else body
    await inbound.connection.write_headers(start, headers, chunk)
    inbound.connection.finish()


async def send_refusal(
    inbound: Inbound,
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
        request_id: Its id, empty if it has none.
        id_header: Header for the id.
        status: Status in place of the one of the reason.
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
    inbound: Inbound,
    answer: Answer,
    extra: Mapping[str, str] | None = None,
    *,
    observe: Callable[[bytes], None] = lambda _chunk: None,
) -> int:
    """Pass an answer on as it arrives.

    Args:
        inbound: The request being answered.
        answer: The answer of a target or another node.
        extra: Headers to add.
        observe: Called with each part of the body.

    Returns:
        Bytes of the body passed on.

    Raises:
        BodyCut: The answer was cut short; the connection must be broken.
        StreamClosedError: The receiver went away.
    """
    headers = answer.headers
    drop_hop_by_hop(headers)
    for name, value in extra.items() if extra else ():
        headers[name] = value
    _close_when_leaving(inbound, headers)
    start = ResponseStartLine("HTTP/1.1", answer.status, answer.reason)
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
    inbound.connection.finish()
    return sent_bytes


def open_server(
    serve: Serve,
    *,
    host: str,
    port: int,
    limits: InboundLimits,
    on_limit: Callable[[str], None] = lambda _name: None,
) -> InboundServer:
    """Listen on a port and serve each request in a task of its own.

    Args:
        serve: Coroutine function for one request.
        host: Address to listen on.
        port: Port; 0 takes a free one, see ``InboundServer.port``.
        limits: Bounds for requests.
        on_limit: Called with the name of a limit each time it is hit.

    Raises:
        OSError: The port is taken.
    """
    server = InboundServer(serve, limits, on_limit)
    server.http = HTTPServer(
        _ServerDelegate(server),
        max_header_size=limits.header_bytes * _HEAD_SLACK,
        max_body_size=_MAX_BODY_BYTES,
        idle_connection_timeout=limits.idle_s,
        body_timeout=limits.body_s,
        chunk_size=CHUNK_BYTES,
    )
    sockets = bind_sockets(port, host)
    server.port = sockets[0].getsockname()[1]
    server.http.add_sockets(sockets)
    return server


def _has_unread(connection: HTTP1ServerConnection) -> bool:
    """Whether bytes, or the end of the stream, wait to be read."""
    try:
        connection.stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError as error:
        log_event("peek_failed", write=logging.debug, problem=str(error))
    return True


def close_idle(server: InboundServer) -> None:
    """Close the connections on which no request is being served or waits to be."""
    for connection in list(server.connections):
        if connection.stream.closed():
            server.connections.discard(connection)
        elif (
            connection not in server.busy
            and not connection.stream.writing()
            and not _has_unread(connection)
        ):
            connection.stream.close()
            server.connections.discard(connection)


async def drain_server(
    server: InboundServer, *, quiet_s: float, timeout_s: float
) -> int:
    """Stop listening, finish all requests in flight and close idle connections.

    Answers carry ``Connection: close`` from now on, and requests that still arrive on
    kept connections are served for a while. Then a connection is closed as soon as it
    is idle, however long the requests on others take.

    Args:
        server: The server.
        quiet_s: Time from which idle connections are closed, in seconds.
        timeout_s: Time for requests in flight, in seconds.

    Returns:
        Requests that were still in flight at the time limit and were cut.
    """
    assert server.http is not None
    server.leaving = True
    server.http.stop()
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    quiet_at = min(loop.time() + quiet_s, deadline)
    await asyncio.sleep(quiet_at - loop.time())
    while loop.time() < deadline:
        close_idle(server)
        if not server.tasks:
            break
        await asyncio.wait(
            list(server.tasks),
            timeout=max(0.0, deadline - loop.time()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        # The answer's last bytes are on their way, and a request may have come in.
        await asyncio.sleep(min(DRAIN_TICK_S, max(0.0, deadline - loop.time())))
    cut = [task for task in server.tasks if not task.done()]
    for task in cut:
        task.cancel()
    await server.http.close_all_connections()
    return len(cut)
