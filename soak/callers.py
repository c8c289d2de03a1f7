"""Callers of the soak, which reuse their connections to a node until it closes them."""

import asyncio
import math
from typing import NamedTuple

from siskinlug.connections import Address

DEADLINE_S = 6.0
# A request without a response by then counts as unanswered.
ANSWER_TIMEOUT_S = 8.0
CONNECT_TIMEOUT_S = 1.0
# Idle connections to a node that callers keep; they use each in turn.
KEPT_CONNECTIONS = 20
# A body is sent in parts of this size with a pause after each.
PART_BYTES = 32_768
PART_PAUSE_S = 0.01
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
        last_byte_at: Time at which the last byte of the request was sent; infinite if
            it was not sent in full.
    """

    request_id: str
    path: str
    at_most_once: bool
    node: int
    sent_at: float
    ended_at: float
    status: int
    detail: str
    last_byte_at: float = math.inf


class RequestBody(NamedTuple):
    """Body of a request: its size in bytes, and whether it is sent in chunks."""

    size: int
    is_chunked: bool


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

    async def take(
        self, node: int, address: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the connection that was idle for longest, or a new one.

        Raises:
            OSError: A new connection could not be opened.
        """
        if len(self._open_idle(node)) < KEPT_CONNECTIONS:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*address)
            except OSError:
                if not self._open_idle(node):
                    raise
            else:
                # Bytes that wait in the writer are not sent yet.
                writer.transport.set_write_buffer_limits(0)
                return reader, writer
        return self.idle_by_node[node].pop(0)

    def _open_idle(
        self, node: int
    ) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        """Drop the idle connections that a node has closed and return the others."""
        idle = self.idle_by_node.setdefault(node, [])
        for connection in list(idle):
            if connection[0].at_eof() or connection[1].is_closing():
                idle.remove(connection)
                connection[1].close()
        return idle

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
    body: RequestBody | None = None,
) -> RequestOutcome | None:
    """Send a request on a kept connection, or on a new one.

    Args:
        connection_pool: Connections of the callers.
        address: Address of the node.
        node: Number of the node.
        host: Host of the request.
        path: Path of the request.
        request_id: Id of the request.
        at_most_once: Whether it may run at most once.
        body: Body of the request, ``None`` for a request without one.

    Returns:
        The outcome, or ``None`` if the connection could not be opened.
    """
    loop = asyncio.get_running_loop()
    try:
        reader, writer = await connection_pool.take(node, address)
    except OSError:
        return None
    head = [
        f"{'POST' if at_most_once else 'GET'} {path} HTTP/1.1",
        f"Host: {host}",
        f"Siskinlug-Request-Id: {request_id}",
        f"Siskinlug-Deadline-Ms: {DEADLINE_S * 1000:.0f}",
    ]
    sent_at = loop.time()
    status, detail = 0, ""
    writing = asyncio.create_task(_write_request(writer, head, body))
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await _read_answer(reader)
        status = answer.status
        detail = _describe_answer(answer, request_id)
        is_closed = answer.header_by_name.get("connection", "").lower() == "close"
        if is_closed or not writing.done():
            writer.close()
        else:
            connection_pool.idle_by_node[node].append((reader, writer))
    except TimeoutError:
        detail = NO_RESPONSE
        writer.close()
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        detail = f"{type(error).__name__}: {error}"
        writer.close()
    ended_at = loop.time()
    writing.cancel()
    await asyncio.wait({writing})
    is_sent = not writing.cancelled() and writing.exception() is None
    return RequestOutcome(
        request_id,
        path,
        at_most_once,
        node,
        sent_at,
        ended_at,
        status,
        detail,
        writing.result() if is_sent else math.inf,
    )


def _describe_answer(answer: _Answer, request_id: str) -> str:
    echoed = answer.header_by_name.get("siskinlug-request-id", "")
    if echoed != request_id:
        return f"answer of {echoed!r}"
    signature = answer.header_by_name.get("siskinlug-response-signature", "")
    reason = answer.header_by_name.get("siskinlug-reason", "")
    return f"{signature} {answer.body}" if signature else reason


async def _write_request(
    writer: asyncio.StreamWriter, head: list[str], body: RequestBody | None
) -> float:
    """Write a request and return when its last byte was sent."""
    size = body.size if body else 0
    if body and body.is_chunked:
        head = [*head, "Transfer-Encoding: chunked"]
    elif body:
        head = [*head, f"Content-Length: {size}"]
    text = "\r\n".join(head).encode() + b"\r\n\r\n"
    for start in range(0, size, PART_BYTES):
        part = b"x" * min(PART_BYTES, size - start)
        if start:
            await asyncio.sleep(PART_PAUSE_S)
        if body and body.is_chunked:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        writer.write(text + part)
        await writer.drain()
        text = b""
    if body and body.is_chunked:
        text += b"0\r\n\r\n"
    writer.write(text)
    await writer.drain()
    return asyncio.get_running_loop().time()


async def _read_answer(reader: asyncio.StreamReader) -> _Answer:
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text.rstrip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    size = int(headers.get("content-length", "0"))
    content = (await reader.readexactly(size)).decode("latin-1")
    return _Answer(int(start.split()[1]), headers, content)
