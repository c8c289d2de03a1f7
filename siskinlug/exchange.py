"""One HTTP/1.1 exchange on one connection, streamed in both directions."""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
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
from tornado.iostream import StreamClosedError

from siskinlug.body import BodyCut, BodyStream
from siskinlug.connections import Connection

MAX_ANSWER_HEAD_BYTES = 131_072
CHUNK_BYTES = 65_536
# Longest pause within the body of an answer; its head is bounded by the route.
ANSWER_IDLE_S = 60.0
# The codec's own bound lies far above any answer; the length is checked by framing.
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
    """An exchange without an answer head.

    Attributes:
        written: Whether any byte of the request was handed to the connection.
        cause: ``reset``, ``silent``, ``malformed`` or ``body_cut``.
    """

    written: bool
    cause: str


class Answer:
    """An answer whose head has arrived; its body is read from ``body``."""

    def __init__(
        self, status: int, reason: str, headers: HTTPHeaders, body: BodyStream
    ) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body


class _AnswerDelegate(HTTPMessageDelegate):
    def __init__(self) -> None:
        self.body = BodyStream()
        self.body.idle_s = ANSWER_IDLE_S
        self.head: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.interim: asyncio.Event = asyncio.Event()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if 100 <= start_line.code < 200:
            self.interim.set()
        elif not self.head.done():
            self.head.set_result(
                Answer(start_line.code, start_line.reason, headers, self.body)
            )

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        return self.body.feed(chunk)

    def finish(self) -> None:
        self.body.finish()

    def on_connection_close(self) -> None:
        self.body.cut_off()


def end_to_end(headers: HTTPHeaders) -> HTTPHeaders:
    """Copy headers without those that belong to one connection (RFC 9110, 7.6.1)."""
    named = {
        name.strip().title()
        for value in headers.get_list("Connection")
        for name in value.split(",")
    }
    copy = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in HOP_BY_HOP and name not in named:
            copy.add(name, value)
    return copy


def keeps_alive(answer: Answer) -> bool:
    """Whether the connection may carry another request after this answer."""
    options = answer.headers.get("Connection", "").lower()
    return "close" not in options


def has_length(method: str, answer: Answer) -> bool:
    """Whether the framing shows where the answer ends without closing."""
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
    first_byte_s: float,
    check_after_s: float = math.inf,
    check: Callable[[], Awaitable[bool]] | None = None,
) -> AsyncIterator[Result[Answer, ExchangeFailure]]:
    """Send a request and wait for the head of its answer.

    The connection is marked reusable only when both messages were whole.

    Args:
        connection: A connection that carries nothing else.
        head: The request without hop-by-hop headers.
        body: The request's body.
        first_byte_s: Time for the answer's head, in seconds.
        check_after_s: Time after which, without a head, ``check`` is asked, and again
            each time twice as long after the last one.
        check: Whether to wait on; false ends the exchange as ``silent``.

    Yields:
        The answer, or why there is none and whether the request was written.
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
    delegate = _AnswerDelegate()
    sending = asyncio.ensure_future(_send(codec, head, body))
    reading = asyncio.ensure_future(_read(codec, delegate))
    try:
        result = await _first_of(
            delegate, sending, reading, first_byte_s, check_after_s, check
        )
        yield result
        if isinstance(result, Success):
            answer = result.unwrap()
            if answer.body.whole and keeps_alive(answer) and sending.done():
                await reading
                connection.reusable = sending.exception() is None
    finally:
        delegate.body.cut_off()
        for task in (sending, reading):
            task.cancel()
            with suppress(asyncio.CancelledError, Exception):
                await task


async def _first_of(
    delegate: _AnswerDelegate,
    sending: asyncio.Future[None],
    reading: asyncio.Future[None],
    first_byte_s: float,
    check_after_s: float,
    check: Callable[[], Awaitable[bool]] | None,
) -> Result[Answer, ExchangeFailure]:
    """Wait for the answer's head, the end of the connection or the time limit."""
    waiting: set[asyncio.Future] = {delegate.head, reading}
    loop = asyncio.get_running_loop()
    limit = loop.time() + first_byte_s
    if check is not None and check_after_s < first_byte_s:
        while loop.time() + check_after_s < limit:
            done, _ = await asyncio.wait(
                waiting, timeout=check_after_s, return_when=asyncio.FIRST_COMPLETED
            )
            if done or not await check():
                limit = loop.time()
                break
            check_after_s *= 2
    if not delegate.head.done() and not reading.done():
        await asyncio.wait(
            waiting,
            timeout=max(0.0, limit - loop.time()),
            return_when=asyncio.FIRST_COMPLETED,
        )
    if delegate.head.done():
        return Success(delegate.head.result())
    if sending.done() and isinstance(sending.exception(), BodyCut):
        return Failure(ExchangeFailure(True, "body_cut"))
    if not reading.done():
        return Failure(ExchangeFailure(True, "silent"))
    malformed = isinstance(reading.exception(), HTTPInputError)
    return Failure(ExchangeFailure(True, "malformed" if malformed else "reset"))


async def _send(codec: HTTP1Connection, head: RequestHead, body: BodyStream) -> None:
    headers = head.headers
    has_body = body.received_bytes > 0 or not body.whole
    if body.whole and body.can_replay and (has_body or "Content-Length" in headers):
        headers["Content-Length"] = str(body.received_bytes)
    start = RequestStartLine(head.method, head.path, "HTTP/1.1")
    try:
        if body.whole and body.can_replay:
            # One write for the whole request: the target reads it at once.
            await codec.write_headers(start, headers, body.kept or None)
        else:
            await codec.write_headers(start, headers)
            async for chunk in body.chunks():
                await codec.write(chunk)
        codec.finish()
    except BodyCut:
        codec.close()
        raise
    except (StreamClosedError, HTTPOutputError):
        # The reading side reports the lost connection.
        return


async def _read(codec: HTTP1Connection, delegate: _AnswerDelegate) -> None:
    try:
        await codec.read_response(delegate)
    except StreamClosedError:
        return
    finally:
        delegate.body.cut_off()
