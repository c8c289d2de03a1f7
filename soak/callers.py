"""Callers of the soak: kept connections, used until their node is gone."""

import asyncio
from typing import NamedTuple

from siskinlug.connections import Address

DEADLINE_S = 6.0
# A caller that got no answer by then counts it as missing.
ANSWER_TIMEOUT_S = 8.0
CONNECT_TIMEOUT_S = 1.0


class RequestOutcome(NamedTuple):
    """What a caller saw of one request; times are the loop's, in seconds.

    Attributes:
        request_id: Its id.
        path: Its path.
        once: Whether it may run at most once.
        node: Number of the node to which it was sent.
        sent_at: When it was sent.
        ended_at: When its answer, or the end of the connection, came.
        status: Status of a whole answer; 0 if there was none.
        detail: Signature and body of the answer, or what went wrong.
    """

    request_id: str
    path: str
    at_most_once: bool
    node: int
    sent_at: float
    ended_at: float
    status: int
    detail: str


class _Answer(NamedTuple):
    status: int
    header_by_name: dict[str, str]
    body: str


class ConnectionPool:
    """Idle connections of the callers, by node."""

    def __init__(self) -> None:
        self.idle_by_node: dict[
            int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
        ] = {}

    def close(self) -> None:
        """Close all that are idle."""
        for idle in self.idle_by_node.values():
            for _, writer in idle:
                writer.close()


async def send_request(
    connection_pool: ConnectionPool,
    address: Address,
    *,
    node: int,
    host: str,
    path: str,
    request_id: str,
    at_most_once: bool,
) -> RequestOutcome | None:
    """Send a request on a kept connection, or on a new one.

    Returns:
        The outcome, or ``None`` if no connection could be made.
    """
    loop = asyncio.get_running_loop()
    idle = connection_pool.idle_by_node.setdefault(node, [])
    while idle and (idle[-1][0].at_eof() or idle[-1][1].is_closing()):
        idle.pop()[1].close()
    try:
        if idle:
            reader, writer = idle.pop()
        else:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError):
        return None
    sent_at = loop.time()
    status, detail = 0, ""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await _exchange(
                reader, writer, host, path, request_id, at_most_once
            )
        status = answer.status
        detail = _detail(answer, request_id)
        if answer.header_by_name.get("connection", "").lower() == "close":
            writer.close()
        else:
            idle.append((reader, writer))
    except TimeoutError:
        detail = "no answer in time"
        writer.close()
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        detail = f"{type(error).__name__}: {error}"
        writer.close()
    return RequestOutcome(
        request_id, path, at_most_once, node, sent_at, loop.time(), status, detail
    )


def _detail(answer: _Answer, request_id: str) -> str:
    echoed = answer.header_by_name.get("siskinlug-request-id", "")
    if echoed != request_id:
        return f"answer of {echoed!r}"
    signature = answer.header_by_name.get("siskinlug-response-signature", "")
    reason = answer.header_by_name.get("siskinlug-reason", "")
    return f"{signature} {answer.body}" if signature else reason


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    host: str,
    path: str,
    request_id: str,
    at_most_once: bool,
) -> _Answer:
    body = b"x" * 20 if at_most_once else b""
    head = [
        f"{'POST' if at_most_once else 'GET'} {path} HTTP/1.1",
        f"Host: {host}",
        f"Siskinlug-Request-Id: {request_id}",
        f"Siskinlug-Deadline-Ms: {DEADLINE_S * 1000:.0f}",
    ]
    if body:
        head.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
    await writer.drain()
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text.rstrip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    size = int(headers.get("content-length", "0"))
    content = (await reader.readexactly(size)).decode("latin-1")
    return _Answer(int(start.split()[1]), headers, content)
