"""Synthetic peers that stand in for the rest of a fleet around one daemon."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from functools import partial
from random import Random
from typing import Any

import msgspec
from returns.result import Success
from tornado.httputil import HTTPHeaders

from bench.fleet import TOKEN
from siskinlug.clock import HybridClock
from siskinlug.configuration import EMPTY_STATE, position_of
from siskinlug.connections import Address, make_connection_pool
from siskinlug.directory import NodeRecord, summarize_record
from siskinlug.membership import (
    PING,
    PING_THROUGH,
    PUSH,
    SYNC,
    handle_ping,
    handle_push,
    handle_sync,
    make_membership,
)
from siskinlug.messages import (
    ConfigurationPosition,
    Gossip,
    PingThroughAnswer,
    PushAnswer,
    SyncRequest,
    decode,
    encode,
)
from siskinlug.peer_client import Traffic, call_peer, make_peer_client
from siskinlug.timeline import Timeline

ANSWER = b"x" * 512


async def _reject_call(*_args: Any, **_options: Any) -> Any:
    raise NotImplementedError("the membership of synthetic peers makes no calls")


class SyntheticPeers:
    """Peers in one process that share one directory and one configuration.

    Attributes:
        records: Records of the peers.
        membership: Membership state shared by all peers.
        configuration: Configuration state shared by all peers.
        traffic: HTTP bytes of the daemon's calls to the peers. ``sent`` counts bytes
            sent by the peers.
        calls_by_path: Number of calls in both directions by path.
        in_force_at_by_offset: Time of the daemon's first message that reported each
            configuration offset.
        daemon_digest: Directory digest last sent by the daemon.
        client: Client for calls to the daemon, which counts their bytes.
    """

    def __init__(self, records: Sequence[NodeRecord], *, random: Random) -> None:
        self.records = list(records)
        self.random = random
        self.membership = make_membership(
            records[0],
            call=_reject_call,
            timeline=Timeline(records[0].node, HybridClock()),
            monotonic=asyncio.get_running_loop().time,
            random=random,
        )
        for record in records[1:]:
            self.membership.directory.put(record)
        self.record_by_host = {record.host: record for record in records}
        self.configuration = EMPTY_STATE
        self.traffic = Traffic()
        self.calls_by_path: Counter[str] = Counter()
        self.in_force_at_by_offset: dict[int, float] = {}
        self.daemon_digest = ""
        self.servers: list[asyncio.Server] = []
        self.client = make_peer_client(
            make_connection_pool(monotonic=asyncio.get_running_loop().time),
            token=TOKEN,
            traffic=Traffic(),
        )

    def total_bytes(self) -> int:
        """Return the HTTP bytes of all calls so far, in both directions."""
        return self.traffic.total() + self.client.traffic.total()

    def bytes_by_kind(self) -> Counter[str]:
        """Return the HTTP bytes of all calls so far by path, in both directions."""
        total: Counter[str] = Counter()
        for traffic in (self.traffic, self.client.traffic):
            total += traffic.sent_by_kind + traffic.received_by_kind
        return total

    def daemon_joined(self) -> bool:
        """Return whether the daemon's directory equals that of the peers."""
        return self.daemon_digest == self.membership.directory.digest()

    def build_gossip(
        self,
        sender: NodeRecord,
        *,
        with_digest: bool,
        records: Sequence[NodeRecord] = (),
        with_position: bool = True,
    ) -> Gossip:
        """Build a gossip message of a peer.

        Args:
            sender: Record of the peer.
            with_digest: Whether to include the directory digest.
            records: Node records to include.
            with_position: Whether to include the configuration position.
        """
        payloads: dict[str, Any] = {}
        if with_position:
            payloads["configuration"] = position_of(self.configuration)
        return Gossip(
            summarize_record(sender),
            self.membership.clock.now(),
            self.membership.directory.digest() if with_digest else "",
            [],
            list(records),
            {name: _encode_raw(value) for name, value in payloads.items()},
        )

    async def call(
        self,
        address: Address,
        path: str,
        message: Any,
        answer_type: Any,
        *,
        fresh: bool = True,
    ) -> Any:
        """Call the daemon, by default over a new connection as most fleet calls do.

        Args:
            address: Address of the daemon.
            path: Path of the call.
            message: Request message.
            answer_type: Type to decode the answer to.
            fresh: Whether to open a new connection.

        Returns:
            The decoded answer.

        Raises:
            RuntimeError: The call failed.
        """
        self.calls_by_path[path] += 1
        result = await call_peer(
            self.client, address, path, message, answer_type, timeout_s=3.0, fresh=fresh
        )
        if not isinstance(result, Success):
            raise RuntimeError(f"call of {path} failed: {result.failure()}")
        return result.unwrap()

    async def ping(self, address: Address) -> None:
        """Send a heartbeat from a random peer to the daemon."""
        sender = self.random.choice(self.records)
        answer = await self.call(
            address, PING, self.build_gossip(sender, with_digest=True), Gossip
        )
        self._record_daemon_state(answer)

    async def push(
        self, address: Address, records: Sequence[NodeRecord], *, with_position: bool
    ) -> None:
        """Push records from a random peer to the daemon."""
        sender = self.random.choice(self.records)
        message = self.build_gossip(
            sender, with_digest=False, records=records, with_position=with_position
        )
        await self.call(address, PUSH, message, PushAnswer)

    def _record_daemon_state(self, message: Gossip) -> None:
        if message.digest:
            self.daemon_digest = message.digest
        raw = message.payloads.get("configuration")
        if raw is not None:
            offset = decode(bytes(raw), ConfigurationPosition)["offset"]
            now = asyncio.get_running_loop().time()
            self.in_force_at_by_offset.setdefault(offset, now)

    def answer(self, host: str, path: str, body: bytes) -> tuple[bytes, str]:
        """Handle a request of the daemon.

        Args:
            host: Host of the receiving peer.
            path: Request path.
            body: Request body.

        Returns:
            Body and status of the response.
        """
        record = self.record_by_host[host]
        kind = path.partition("?")[0]
        if kind == PING:
            message = decode(body, Gossip)
            self._record_daemon_state(message)
            handle_ping(self.membership, message)
            return encode(self.build_gossip(record, with_digest=True)), "200 OK"
        if kind == PUSH:
            message = decode(body, Gossip)
            self._record_daemon_state(message)
            handle_push(self.membership, message)
            return encode(PushAnswer(summarize_record(record))), "200 OK"
        if kind == SYNC:
            return encode(handle_sync(self.membership, decode(body, SyncRequest))), (
                "200 OK"
            )
        if kind == PING_THROUGH:
            return encode(PingThroughAnswer(True)), "200 OK"
        if kind == "/peer/configuration":
            ahead = (
                self.configuration.offset
                > decode(body, ConfigurationPosition)["offset"]
            )
            return encode(self.configuration if ahead else None), "200 OK"
        if kind.startswith("/peer/"):
            return b"{}", "404 Not Found"
        return ANSWER, "200 OK"

    async def start(self) -> None:
        """Listen on the addresses of all peers."""
        loop = asyncio.get_running_loop()
        for record in self.records:
            self.servers.append(
                await loop.create_server(
                    partial(_Connection, self, record.host),
                    record.host,
                    record.peer_port,
                )
            )

    def stop(self) -> None:
        """Stop listening and close the connections to the daemon."""
        for server in self.servers:
            server.close()
        self.client.pool.close()


def _encode_raw(value: Any) -> Any:
    return msgspec.Raw(encode(value))


class _Connection(asyncio.Protocol):
    """Keep-alive server connection for requests with a ``Content-Length``."""

    def __init__(self, peers: SyntheticPeers, host: str) -> None:
        self.peers = peers
        self.host = host
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            start, _, fields = self.buffer[:end].decode("latin-1").partition("\r\n")
            headers = HTTPHeaders.parse(fields)
            message_end = end + 4 + int(headers.get("Content-Length", "0"))
            if len(self.buffer) < message_end:
                return
            body, tail = self.buffer[end + 4 : message_end], self.buffer[message_end:]
            self.buffer = tail
            self._answer(start.split(" ")[1], headers, body, message_end)

    def _answer(self, path: str, headers: HTTPHeaders, body: bytes, size: int) -> None:
        attempt = "Siskinlug-Attempt" in headers
        kind = "attempt" if attempt else path.partition("?")[0]
        answer_body, status = self.peers.answer(self.host, path, body)
        extra = ""
        if attempt:
            extra = f"Siskinlug-Load: {headers['Siskinlug-Target']};6;1;0;0.1;2.0;4;0.0"
            extra += "\r\n"
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{extra}"
            f"Content-Length: {len(answer_body)}\r\n\r\n"
        ).encode()
        self.transport.write(head + answer_body)
        if kind.startswith("/peer/"):
            self.peers.calls_by_path[kind] += 1
            self.peers.traffic.count(kind, sent=len(head + answer_body), received=size)


class LogRelay:
    """TCP relay to the log service that counts bytes and connections."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.sent = 0
        self.received = 0
        self.connections = 0

    def total(self) -> int:
        """Return the bytes relayed in both directions."""
        return self.sent + self.received

    async def relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until both ends have closed it."""
        self.connections += 1
        log_reader, log_writer = await asyncio.open_connection("127.0.0.1", self.port)

        async def pipe(
            source: asyncio.StreamReader,
            sink: asyncio.StreamWriter,
            count: Callable[[int], None],
        ) -> None:
            with suppress(OSError):
                while chunk := await source.read(65_536):
                    count(len(chunk))
                    sink.write(chunk)
                    await sink.drain()
            sink.close()

        await asyncio.gather(
            pipe(reader, log_writer, self._count_received),
            pipe(log_reader, writer, self._count_sent),
        )

    def _count_received(self, size: int) -> None:
        self.received += size

    def _count_sent(self, size: int) -> None:
        self.sent += size


@asynccontextmanager
async def open_log_relay(
    host: str, port: int, log_port: int
) -> AsyncIterator[LogRelay]:
    """Relay connections to the log service while the context is open.

    Args:
        host: Host to listen on.
        port: Port to listen on.
        log_port: Port of the log service on loopback.
    """
    relay = LogRelay(log_port)
    tasks: set[asyncio.Task[None]] = set()

    def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(relay.relay_connection(reader, writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = await asyncio.start_server(connected, host, port)
    try:
        yield relay
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()
