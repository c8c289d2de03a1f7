"""One HTTP/1.1 request and response on one connection, both streamed."""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable, Container, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from typing import NamedTuple

from returns.result import Failure, Result, Success
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPOutputError,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from siskinlug.body import BodyCut, BodyStream
from siskinlug.connections import Connection

MAX_ANSWER_HEAD_BYTES = 131_072
CHUNK_BYTES = 65_536
# Maximum pause within a response body that has no deadline.
ANSWER_IDLE_S = 60.0
# Effectively unlimited. The codec needs a value, and the framing checks the length.
_MAX_ANSWER_BODY_BYTES = 1 << 50

HOP_BY_HOP = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    }
)


class RequestHead(NamedTuple):
    """Request line and headers; ``path`` includes the query."""

    method: str
    path: str
    headers: HTTPHeaders


class ExchangeFailure(NamedTuple):
    """An exchange that ended before the head of the response.

    Attributes:
        written: Whether any byte of the request was written to the connection.
        cause: ``reset`` (the connection was closed), ``silent`` (no head within the
            time limit), ``malformed`` (an invalid response) or ``body_cut`` (the
            request body ended early).
    """

    written: bool
    cause: str


class Answer:
    """A response whose head has arrived; the rest is read from ``body``."""

    def __init__(
        self, status: int, reason: str, headers: HTTPHeaders, body: BodyStream
    ) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body


class _AnswerDelegate(HTTPMessageDelegate):
    """Receives a response from the codec."""

    def __init__(self, stream: IOStream, method: str) -> None:
        self._stream = stream
        self._method = method
        self._self_delimited = False
        self.body = BodyStream()
        self.body.idle_timeout_s = ANSWER_IDLE_S
        # The response once its head has arrived, or the cause of the failure.
        self.head: asyncio.Future[Answer | str] = (
            asyncio.get_running_loop().create_future()
        )

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code >= 200 and not self.head.done():
            answer = Answer(start_line.code, start_line.reason, headers, self.body)
            self._self_delimited = is_self_delimited(self._method, answer)
            self.head.set_result(answer)

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        return self.body.feed(chunk)

    def finish(self) -> None:
        # For a response without a length, the codec reports a reset as a normal end.
        # Any other is complete, even if a reset has come after it.
        was_reset = self._stream.closed() and self._stream.error is not None
        if was_reset and not self._self_delimited:
            self.body.cut_off()
        self.body.finish()

    def on_connection_close(self) -> None:
        self.body.cut_off()


def drop_hop_by_hop(headers: HTTPHeaders) -> None:
    """Drop the headers of a single connection, in place (RFC 9110, section 7.6.1)."""
    options = headers.get("Connection")
    if options is not None:
        for name in options.split(","):
            drop_header(headers, name.strip())
    for name in [name for name in headers if name in HOP_BY_HOP]:
        del headers[name]


def drop_header(headers: HTTPHeaders, name: str) -> None:
    """Drop a header if it is present."""
    if name in headers:
        del headers[name]


def drop_headers_with_prefix(
    headers: HTTPHeaders, prefix: str, *, keep: Container[str] = ()
) -> None:
    """Drop all headers whose name starts with a prefix.

    Args:
        headers: Headers, changed in place.
        prefix: Prefix in canonical case.
        keep: Names of headers that are not dropped.
    """
    for name in [name for name in headers if name.startswith(prefix)]:
        if name not in keep:
            del headers[name]


def keeps_alive(answer: Answer) -> bool:
    """Whether the connection may be used again after this response."""
    options = answer.headers.get("Connection", "").lower()
    return "close" not in options


def is_self_delimited(method: str, answer: Answer) -> bool:
    """Whether the end of the response is known without closing the connection."""
    return (
        method == "HEAD"
        or answer.status in (204, 304)
        or "Content-Length" in answer.headers
        or "Transfer-Encoding" in answer.headers
    )


@asynccontextmanager
async def exchange(
    connection: Connection,
    head: RequestHead,
    body: BodyStream,
    *,
    first_byte_timeout_s: float,
    answer_timeout_s: float = math.inf,
    check_after_s: float = math.inf,
    keep_waiting: Callable[[], Awaitable[bool]] | None = None,
) -> AsyncIterator[Result[Answer, ExchangeFailure]]:
    """Send a request and wait for the head of the response.

    The connection is marked reusable only if both messages were complete.

    Args:
        connection: A connection with no other exchange on it.
        head: Request line and headers, without hop-by-hop headers.
        body: Request body.
        first_byte_timeout_s: Timeout for the head of the response, in seconds.
        answer_timeout_s: Timeout for the whole response, in seconds. A body that is not
            complete by then expires.
        check_after_s: Time without a head after which ``keep_waiting`` is called, in
            seconds. Each further interval is twice as long as the one before.
        keep_waiting: Returns whether to go on waiting; false ends the exchange as
            ``silent``.

    Yields:
        The response, or why there is none and whether the request was written.
    """
    codec = HTTP1Connection(
        connection.stream,
        True,
        HTTP1ConnectionParameters(
            max_header_size=MAX_ANSWER_HEAD_BYTES,
            max_body_size=_MAX_ANSWER_BODY_BYTES,
            chunk_size=CHUNK_BYTES,
        ),
    )
    delegate = _AnswerDelegate(connection.stream, head.method)
    answer_deadline = asyncio.get_running_loop().time() + answer_timeout_s
    reading = asyncio.ensure_future(_read(codec, delegate))
    sending: asyncio.Future[None] | None = None
    if body.complete and body.can_replay:
        _send_at_once(codec, head, body)
    else:
        sending = asyncio.ensure_future(_send_streaming(codec, head, body))
    try:
        result = await _wait_for_head(
            delegate, sending, first_byte_timeout_s, check_after_s, keep_waiting
        )
        with _expire_at(answer_deadline, delegate.body):
            yield result
        if isinstance(result, Success):
            answer = result.unwrap()
            sent = sending is None or (sending.done() and not sending.exception())
            if answer.body.complete and keeps_alive(answer) and sent:
                await reading
                connection.reusable = True
    finally:
        delegate.body.cut_off()
        for task in (sending, reading):
            if task is not None and not task.done():
                task.cancel()
                with suppress(asyncio.CancelledError, Exception):
                    await task


@contextmanager
def _expire_at(deadline: float, body: BodyStream) -> Iterator[None]:
    """Let a body expire at a time of the event loop's clock, within the block."""
    if not math.isfinite(deadline):
        yield
        return
    timer = asyncio.get_running_loop().call_at(deadline, body.expire)
    try:
        yield
    finally:
        timer.cancel()


async def _wait_for_head(
    delegate: _AnswerDelegate,
    sending: asyncio.Future[None] | None,
    first_byte_timeout_s: float,
    check_after_s: float,
    keep_waiting: Callable[[], Awaitable[bool]] | None,
) -> Result[Answer, ExchangeFailure]:
    """Wait for the head of the response, a lost connection or the timeout."""
    head = delegate.head
    loop = asyncio.get_running_loop()
    deadline = loop.time() + first_byte_timeout_s
    while keep_waiting is not None and loop.time() + check_after_s < deadline:
        await asyncio.wait({head}, timeout=check_after_s)
        if head.done():
            break
        with suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                if not await keep_waiting():
                    deadline = loop.time()
        check_after_s *= 2
    if not head.done():
        await asyncio.wait({head}, timeout=max(0.0, deadline - loop.time()))
    if sending is not None and sending.done() and sending.exception() is not None:
        return Failure(ExchangeFailure(True, "body_cut"))
    if not head.done():
        return Failure(ExchangeFailure(True, "silent"))
    answer = head.result()
    if isinstance(answer, str):
        return Failure(ExchangeFailure(True, answer))
    return Success(answer)


def _start_line(head: RequestHead) -> RequestStartLine:
    return RequestStartLine(head.method, head.path, "HTTP/1.1")


def _send_at_once(codec: HTTP1Connection, head: RequestHead, body: BodyStream) -> None:
    """Send head and body in one write.

    A lost connection is ignored here, since ``_read`` reports it.
    """
    if body.received_bytes or "Content-Length" in head.headers:
        head.headers["Content-Length"] = str(body.received_bytes)
    try:
        codec.write_headers(_start_line(head), head.headers, body.retained or None)
        codec.finish()
    except (StreamClosedError, HTTPOutputError):
        return


async def _send_streaming(
    codec: HTTP1Connection, head: RequestHead, body: BodyStream
) -> None:
    """Send head and body as the body arrives.

    Raises:
        BodyCut: The request body was cut, or has been read before and is not retained;
            the connection has been closed.
    """
    try:
        if not body.can_read_from_start:
            raise BodyCut
        if body.complete:
            # The codec sends chunks only with POST, PUT and PATCH, and a body without
            # any framing would be read as the next request.
            head.headers["Content-Length"] = str(body.received_bytes)
        await codec.write_headers(_start_line(head), head.headers)
        async for chunk in body.chunks():
            await codec.write(chunk)
        codec.finish()
    except BodyCut:
        codec.close()
        raise
    except (StreamClosedError, HTTPOutputError):
        # _read reports the lost connection.
        return


async def _read(codec: HTTP1Connection, delegate: _AnswerDelegate) -> None:
    """Read the response into the delegate, and resolve its head on failure."""
    cause = "reset"
    try:
        await codec.read_response(delegate)
    except StreamClosedError:
        return
    except HTTPInputError:
        cause = "malformed"
    finally:
        delegate.body.cut_off()
        if not delegate.head.done():
            delegate.head.set_result(cause)
