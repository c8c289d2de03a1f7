"""Client of the platform's append-only log."""

import asyncio
import enum
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol, TypeVar
from urllib.parse import quote, urlsplit

import msgspec
from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyCut, body_from_bytes
from siskinlug.connections import (
    MAX_IDLE_NON_IDEMPOTENT_S,
    MAX_IDLE_S,
    Address,
    ConnectionPool,
    make_connection_pool,
    open_connection,
)
from siskinlug.exchange import RequestHead, exchange
from siskinlug.messages import encode

TIMEOUT_S = 3.0
PAGE_RECORDS = 100
_NO_TIMEOUT_S = 3600.0

AnswerT = TypeVar("AnswerT")


class Effect(enum.Enum):
    """What is known about the effect of a failed call.

    Attributes:
        NOT_APPLIED: The append did not and will not take effect.
        UNKNOWN: The append may have taken effect, or may still do so.
        UNAVAILABLE: The read failed.
    """

    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


class LogError(NamedTuple):
    """Why a call to the log did not succeed.

    Attributes:
        effect: ``NOT_APPLIED`` or ``UNKNOWN`` for an append, ``UNAVAILABLE`` for a
            read.
        detail: Cause, as a phrase for operators.
    """

    effect: Effect
    detail: str


class LogRecord(NamedTuple):
    """A record and its offset."""

    offset: int
    record: Any


class LogPage(NamedTuple):
    """Consecutive records of one stream.

    Attributes:
        first: Oldest retained offset.
        next: Offset of the next append.
        records: Records from the requested offset on, or from ``first`` if that is
            later.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


class Append(Protocol):
    """Function that appends a JSON value to a stream and returns its offset."""

    def __call__(
        self, stream: str, record: Any, *, timeout_s: float = TIMEOUT_S
    ) -> Awaitable[Result[int, LogError]]:
        """Call."""


class Read(Protocol):
    """Function that reads a page of a stream, starting at an offset."""

    def __call__(
        self,
        stream: str,
        start: int,
        *,
        limit: int = PAGE_RECORDS,
        timeout_s: float = TIMEOUT_S,
    ) -> Awaitable[Result[LogPage, LogError]]:
        """Call."""


class Log(NamedTuple):
    """Operations of an open log; see ``open_log``."""

    append: Append
    read: Read
    close: Callable[[], None]


class _Answered(NamedTuple):
    status: int
    body: bytes


class _NoAnswer(NamedTuple):
    """A call without a whole response; ``written`` is whether any of it was sent."""

    written: bool
    detail: str


class _AppendedBody(msgspec.Struct):
    offset: int


class _RecordBody(msgspec.Struct):
    offset: int
    record: Any


class _PageBody(msgspec.Struct):
    first: int
    next: int
    records: list[_RecordBody]


def open_log(url: str, *, monotonic: Callable[[], float] = time.monotonic) -> Log:
    """Open the log service at an address; the first call connects.

    Calls that do not overlap share one connection. An append is sent at most once; if
    its response is lost, the error has the effect ``UNKNOWN``.

    Args:
        url: Address such as ``http://127.0.0.1:9000``.
        monotonic: Clock for the age of idle connections, in seconds.

    Returns:
        The log, to be closed by the caller.
    """
    parts = urlsplit(url)
    address = (parts.hostname or "", parts.port or 80)
    base = parts.path.rstrip("/")
    pool = make_connection_pool(monotonic=monotonic)

    def records_path(stream: str) -> str:
        return f"{base}/streams/{quote(stream, safe='')}/records"

    async def append(
        stream: str, record: Any, *, timeout_s: float = TIMEOUT_S
    ) -> Result[int, LogError]:
        call = _call(pool, address, "POST", records_path(stream), encode(record))
        answer = await _with_timeout(timeout_s, call)
        if isinstance(answer, _NoAnswer):
            effect = Effect.UNKNOWN if answer.written else Effect.NOT_APPLIED
            return Failure(LogError(effect, answer.detail))
        # In the protocol, 503 and all 4xx mean that nothing was appended.
        if answer.status == 503 or 400 <= answer.status < 500:
            return Failure(LogError(Effect.NOT_APPLIED, f"status {answer.status}"))
        appended = _decode(answer, _AppendedBody)
        if appended is None:
            return Failure(LogError(Effect.UNKNOWN, f"status {answer.status}"))
        return Success(appended.offset)

    async def read(
        stream: str,
        start: int,
        *,
        limit: int = PAGE_RECORDS,
        timeout_s: float = TIMEOUT_S,
    ) -> Result[LogPage, LogError]:
        path = f"{records_path(stream)}?from={start}&limit={limit}"
        answer = await _with_timeout(timeout_s, _call(pool, address, "GET", path, b""))
        if isinstance(answer, _NoAnswer):
            return Failure(LogError(Effect.UNAVAILABLE, answer.detail))
        page = _decode(answer, _PageBody)
        if page is None:
            return Failure(LogError(Effect.UNAVAILABLE, f"status {answer.status}"))
        records = tuple(LogRecord(r.offset, r.record) for r in page.records)
        return Success(LogPage(page.first, page.next, records))

    return Log(append, read, pool.close)


async def _with_timeout(
    timeout_s: float, call: Awaitable[_Answered | _NoAnswer]
) -> _Answered | _NoAnswer:
    try:
        async with asyncio.timeout(timeout_s):
            return await call
    except TimeoutError:
        # The request may have been sent before the timeout.
        return _NoAnswer(True, f"no answer within {timeout_s:g} s")


async def _call(
    pool: ConnectionPool, address: Address, method: str, path: str, body: bytes
) -> _Answered | _NoAnswer:
    """Send one request on an idle connection or a new one and read the response."""
    max_idle_s = MAX_IDLE_S if method == "GET" else MAX_IDLE_NON_IDEMPOTENT_S
    headers = HTTPHeaders({"Host": f"{address[0]}:{address[1]}"})
    if body:
        headers["Content-Type"] = "application/json"
    async with open_connection(pool, address, max_idle_s=max_idle_s) as opened:
        if isinstance(opened, Failure):
            return _NoAnswer(False, f"cannot connect: {opened.failure().cause}")
        connection = opened.unwrap()
        # Callers limit the whole call, so the response head has no limit of its own.
        async with exchange(
            connection,
            RequestHead(method, path, headers),
            body_from_bytes(body),
            first_byte_timeout_s=_NO_TIMEOUT_S,
        ) as exchanged:
            if isinstance(exchanged, Success):
                answer = exchanged.unwrap()
                try:
                    chunks = [chunk async for chunk in answer.body.chunks()]
                except BodyCut:
                    return _NoAnswer(True, "the answer was cut off")
                return _Answered(answer.status, b"".join(chunks))
            failure = exchanged.failure()
    return _NoAnswer(failure.written, f"connection lost: {failure.cause}")


def _decode(answer: _Answered, body_type: type[AnswerT]) -> AnswerT | None:
    """Return the body of a response, ``None`` if it is an error or malformed."""
    if answer.status != 200:
        return None
    try:
        return msgspec.json.decode(answer.body, type=body_type)
    except msgspec.DecodeError:
        return None
