"""Client for JSON messages to other nodes over pooled HTTP connections."""

import asyncio
from collections import Counter
from typing import Any, NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyCut, body_from_bytes
from siskinlug.connections import (
    CONNECT_TIMEOUT_S,
    Address,
    ConnectionPool,
    open_connection,
)
from siskinlug.exchange import Answer, RequestHead, exchange
from siskinlug.messages import decode, encode

AnswerT = TypeVar("AnswerT")

CALL_TIMEOUT_S = 1.0
# A directory of 430 nodes with 3,500 targets takes about 260 KB.
ANSWER_MAX_BYTES = 16 << 20


class PeerFailure(NamedTuple):
    """Reason why a call has no usable response.

    Attributes:
        address: Host and port of the peer.
        cause: ``unreachable`` (nothing was written), ``timeout``, ``reset``,
            ``malformed`` (not HTTP, or JSON of another shape) or ``status``.
        written: Whether the peer may have received the message.
        status: HTTP status, if one was received.
        detail: Explanation for the operator, in one sentence.
    """

    address: Address
    cause: str
    written: bool
    status: int | None = None
    detail: str = ""


class Traffic:
    """Bytes of HTTP messages sent and received, by message kind.

    The kind of a message is the path of its request, for the response too.
    """

    def __init__(self) -> None:
        self.sent_by_kind: Counter[str] = Counter()
        self.received_by_kind: Counter[str] = Counter()

    def count(self, kind: str, *, sent: int = 0, received: int = 0) -> None:
        """Add sent and received bytes to the counts of a kind."""
        self.sent_by_kind[kind] += sent
        self.received_by_kind[kind] += received

    def total(self) -> int:
        """Return the total of all bytes sent and received."""
        return self.sent_by_kind.total() + self.received_by_kind.total()


class PeerClient(NamedTuple):
    """Dependencies of calls to peers.

    Attributes:
        pool: The connection pool.
        token: Shared key of nodes and targets.
        traffic: Counts the bytes of all calls.
    """

    pool: ConnectionPool
    token: str
    traffic: Traffic


def make_peer_client(
    pool: ConnectionPool, *, token: str, traffic: Traffic | None = None
) -> PeerClient:
    """Build a client for calls to peers.

    Args:
        pool: The connection pool.
        token: Shared key of nodes and targets.
        traffic: Counter shared with the server of the peer port; a new one if ``None``.
    """
    return PeerClient(pool, token, Traffic() if traffic is None else traffic)


def head_size_bytes(start_line: str, headers: HTTPHeaders) -> int:
    """Return the size of a message head in bytes, including its final empty line."""
    fields = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
    return len(start_line) + 2 + fields + 2


async def call_peer(
    client: PeerClient,
    address: Address,
    path: str,
    message: Any,
    answer_type: type[AnswerT],
    *,
    timeout_s: float = CALL_TIMEOUT_S,
    fresh: bool = False,
    idempotent: bool = True,
) -> Result[AnswerT, PeerFailure]:
    """Send a message to a node and return its decoded response.

    Args:
        client: From ``make_peer_client``.
        address: Host and port of the peer port.
        path: Path of the message, such as ``/peer/ping``.
        message: Anything that msgspec encodes as JSON.
        answer_type: Type to which the response is decoded.
        timeout_s: Limit for connecting, sending and the whole response, in seconds.
        fresh: Open a new connection even if one is idle.
        idempotent: Whether the message may arrive twice. If so, it is sent again once,
            on a new connection, if an idle connection turns out to be closed.

    Returns:
        The response, or why there is none and whether the message may have arrived.
    """
    body = encode(message)
    try:
        async with asyncio.timeout(timeout_s):
            result, reused = await _call_once(
                client, address, path, body, answer_type, timeout_s, fresh
            )
            if (
                reused
                and idempotent
                and isinstance(result, Failure)
                and result.failure().cause == "reset"
            ):
                result, _ = await _call_once(
                    client, address, path, body, answer_type, timeout_s, True
                )
            return result
    except TimeoutError:
        return Failure(PeerFailure(address, "timeout", True))


async def _call_once(
    client: PeerClient,
    address: Address,
    path: str,
    body: bytes,
    answer_type: type[AnswerT],
    timeout_s: float,
    fresh: bool,
) -> tuple[Result[AnswerT, PeerFailure], bool]:
    """Return the result and whether the call reused an idle connection."""
    head = RequestHead("POST", path, _headers(client, address, body))
    connect_s = min(timeout_s, CONNECT_TIMEOUT_S)
    async with open_connection(
        client.pool, address, fresh=fresh, timeout_s=connect_s
    ) as opened:
        if isinstance(opened, Failure):
            cause = opened.failure().cause
            return Failure(PeerFailure(address, "unreachable", False, None, cause)), (
                False
            )
        connection = opened.unwrap()
        sent = head_size_bytes(f"POST {path} HTTP/1.1", head.headers) + len(body)
        client.traffic.count(path, sent=sent)
        async with exchange(
            connection, head, body_from_bytes(body), first_byte_timeout_s=timeout_s
        ) as exchanged:
            if isinstance(exchanged, Failure):
                failure = exchanged.failure()
                cause = "timeout" if failure.cause == "silent" else failure.cause
                result: Result[AnswerT, PeerFailure] = Failure(
                    PeerFailure(address, cause, failure.written)
                )
            else:
                result = await _read_answer(
                    client, address, path, exchanged.unwrap(), answer_type
                )
        return result, connection.reused


def _headers(client: PeerClient, address: Address, body: bytes) -> HTTPHeaders:
    host = f"[{address[0]}]" if ":" in address[0] else address[0]
    return HTTPHeaders(
        {
            "Host": f"{host}:{address[1]}",
            "Authorization": f"Bearer {client.token}",
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
    )


async def _read_answer(
    client: PeerClient,
    address: Address,
    path: str,
    answer: Answer,
    answer_type: type[AnswerT],
) -> Result[AnswerT, PeerFailure]:
    start_line = f"HTTP/1.1 {answer.status} {answer.reason}"
    client.traffic.count(path, received=head_size_bytes(start_line, answer.headers))
    parts: list[bytes] = []
    size = 0
    try:
        async for chunk in answer.body.chunks():
            client.traffic.count(path, received=len(chunk))
            size += len(chunk)
            if size > ANSWER_MAX_BYTES:
                return Failure(
                    PeerFailure(
                        address, "malformed", True, answer.status, "answer too long"
                    )
                )
            parts.append(chunk)
    except BodyCut:
        return Failure(PeerFailure(address, "reset", True, answer.status))
    if answer.status != 200:
        return Failure(
            PeerFailure(address, "status", True, answer.status, answer.reason)
        )
    try:
        return Success(decode(b"".join(parts), answer_type))
    except msgspec.DecodeError as error:
        return Failure(PeerFailure(address, "malformed", True, 200, str(error)))
