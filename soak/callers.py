"""Callers of the soak, which reuse their connections to a node until it closes them."""

import asyncio
from typing import NamedTuple

from siskinlug.connections import Address

DEADLINE_S = 6.0
# A request without a response by then counts as unanswered.
ANSWER_TIMEOUT_S = 8.0
CONNECT_TIMEOUT_S = 1.0
# Description of a request that did not end in time.
NO_RESPONSE = "no response in time"


class RequestOutcome(NamedTuple):
    """Result of one request as the caller saw it.

    Attributes:
        request_id: Id of the request.
        path: Path of the request.
        at_most_once: Whether the request may run at most once.
        node: Number of the node to which it was sent.
        sent_at: Time at which it was sent, by the loop's clock in seconds.
        ended_at: Time at which its response was complete or its connection failed.
        status: Status of the response; 0 without a complete response.
        detail: Signature and body of a signed response, reason code of any other, or
            description of the error.
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
    """Idle connections of the callers to each node."""

    def __init__(self) -> None:
        self.idle_by_node: dict[
            int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
        ] = {}

    def close(self) -> None:
        """Close all idle connections."""
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
    """Send a request on an idle connection, or on a new one.

    Returns:
        The outcome, or ``None`` if the connection could not be opened.
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
            answer = await _send_and_read(
                reader, writer, host, path, request_id, at_most_once
            )
        status = answer.status
        detail = _describe_answer(answer, request_id)
        if answer.header_by_name.get("connection", "").lower() == "close":
            writer.close()
        else:
            idle.append((reader, writer))
    except TimeoutError:
        detail = NO_RESPONSE
        writer.close()
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        detail = f"{type(error).__name__}: {error}"
        writer.close()
    return RequestOutcome(
        request_id, path, at_most_once, node, sent_at, loop.time(), status, detail
    )


def _describe_answer(answer: _Answer, request_id: str) -> str:
    echoed = answer.header_by_name.get("siskinlug-request-id", "")
    if echoed != request_id:
        return f"answer of {echoed!r}"
    signature = answer.header_by_name.get("siskinlug-response-signature", "")
    reason = answer.header_by_name.get("siskinlug-reason", "")
    return f"{signature} {answer.body}" if signature else reason


async def _send_and_read(
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
