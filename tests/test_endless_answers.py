"""Bytes from targets that belong to no request, or that never end."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, LessThan
from tornado.httputil import HTTPHeaders

from siskinlug.body import body_from_bytes
from siskinlug.connections import (
    Address,
    ConnectionPool,
    make_connection_pool,
    open_connection,
)
from siskinlug.exchange import ExchangeFailure, RequestHead, exchange

TIMEOUT_S = 30.0
# Enough for the buffers of both sockets and of the process.
MAX_TAKEN_BYTES = 16 << 20
FLOOD_CHUNK = b"x" * 65_536

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def _answer(body: str) -> bytes:
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


@asynccontextmanager
async def _open_raw_target(serve: Serve) -> AsyncIterator[tuple[Address, list[str]]]:
    """Run a target that is a raw server.

    Yields:
        Its address, and a list that receives the class names of errors of its side.
    """
    errors: list[str] = []

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError) as error:
            errors.append(type(error).__name__)
        finally:
            writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname(), errors
    finally:
        server.close()


async def _read_request(reader: asyncio.StreamReader) -> str:
    head = await reader.readuntil(b"\r\n\r\n")
    return head.split(b" ")[1].decode()


async def _fetch(
    pool: ConnectionPool, address: Address, path: str
) -> str | ExchangeFailure:
    """Send a request and return the body of the response."""
    async with open_connection(pool, address) as connected:
        head = RequestHead("GET", path, HTTPHeaders({"Host": "x"}))
        async with exchange(
            connected.unwrap(), head, body_from_bytes(b""), first_byte_timeout_s=10.0
        ) as result:
            if isinstance(result, Failure):
                return result.failure()
            chunks = [chunk async for chunk in result.unwrap().body.chunks()]
            return b"".join(chunks).decode()


async def _wait_until_constant(count: list[int]) -> None:
    """Wait until a count has grown and then stays the same."""
    before = 0
    while not count[0] or count[0] != before:
        before = count[0]
        await asyncio.sleep(0.2)


class _RawTargetTest(testtools.TestCase):
    def _run(self, test: Callable[[ConnectionPool], Awaitable[None]]) -> None:
        async def main() -> None:
            loop = asyncio.get_running_loop()
            pool = make_connection_pool(monotonic=loop.time)
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await test(pool)
            finally:
                pool.close()

        asyncio.run(main())


class SecondAnswerTest(_RawTargetTest):
    """Load pattern: a target that answers some requests twice."""

    def test_second_answer_in_the_same_packet_is_not_delivered(self) -> None:
        """Guards against a caller that gets a copy of the answer to another one."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                path = await _read_request(reader)
                writer.write(_answer(path) * 2)

        async def test(pool: ConnectionPool) -> None:
            async with _open_raw_target(serve) as (address, _):
                for path in ("/a", "/b", "/c"):
                    self.assertThat(await _fetch(pool, address, path), Equals(path))

        self._run(test)

    def test_second_answer_on_an_idle_connection_is_not_delivered(self) -> None:
        """Guards against a late copy that waits for the next user of a connection."""
        late = asyncio.Event()
        sent = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            path = await _read_request(reader)
            writer.write(_answer(path))
            await late.wait()
            writer.write(_answer(path))
            await writer.drain()
            sent.set()
            path = await _read_request(reader)
            writer.write(_answer(path))

        async def test(pool: ConnectionPool) -> None:
            async with _open_raw_target(serve) as (address, _):
                self.assertThat(await _fetch(pool, address, "/a"), Equals("/a"))
                self.assertThat(len(pool.idle_by_address[address]), Equals(1))
                late.set()
                await sent.wait()
                # The event loop gets the bytes before the next request is sent.
                await asyncio.sleep(0.05)
                self.assertThat(await _fetch(pool, address, "/b"), Equals("/b"))

        self._run(test)

    def test_connection_is_reused_after_a_clean_answer(self) -> None:
        """Guards against a check that gives up each connection."""
        connections: list[str] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connections.append("opened")
            while True:
                path = await _read_request(reader)
                writer.write(_answer(path))

        async def test(pool: ConnectionPool) -> None:
            async with _open_raw_target(serve) as (address, _):
                for path in ("/a", "/b", "/c"):
                    self.assertThat(await _fetch(pool, address, path), Equals(path))
                self.assertThat(len(connections), Equals(1))

        self._run(test)


class EndlessBytesTest(_RawTargetTest):
    """Load pattern: a target that sends until its caller closes the connection."""

    def _flood(
        self, prefix: bytes, chunk: bytes = FLOOD_CHUNK
    ) -> tuple[Serve, list[int]]:
        """Return a server that floods after each request, and the bytes it has sent."""
        sent = [0]

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await _read_request(reader)
            writer.write(prefix)
            while True:
                writer.write(chunk)
                await writer.drain()
                sent[0] += len(chunk)

        return serve, sent

    def _assert_ends(self, prefix: bytes, chunk: bytes = FLOOD_CHUNK) -> None:
        serve, sent = self._flood(prefix, chunk)

        async def test(pool: ConnectionPool) -> None:
            async with _open_raw_target(serve) as (address, errors):
                result = await _fetch(pool, address, "/a")
                self.assertIsInstance(result, ExchangeFailure)
                while not errors:
                    await asyncio.sleep(0.01)

        self._run(test)
        self.assertThat(sent[0], LessThan(MAX_TAKEN_BYTES))

    def test_status_line_without_end(self) -> None:
        """Guards against a head that is read without a limit."""
        self._assert_ends(b"")

    def test_header_without_end(self) -> None:
        """Guards against a header that is read without a limit."""
        self._assert_ends(b"HTTP/1.1 200 OK\r\nX-Long: ")

    def test_headers_without_end(self) -> None:
        """Guards against a list of headers that is read without a limit."""
        self._assert_ends(b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 1000)

    def test_interim_answers_without_end(self) -> None:
        """Guards against 1xx responses that are read for ever."""
        self._assert_ends(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000)

    def test_bytes_after_a_complete_answer_are_not_read_for_ever(self) -> None:
        """Guards against an idle connection that fills the memory of the node."""
        serve, sent = self._flood(_answer("/a"))

        async def test(pool: ConnectionPool) -> None:
            async with _open_raw_target(serve) as (address, errors):
                self.assertThat(await _fetch(pool, address, "/a"), Equals("/a"))
                while not errors:
                    await asyncio.sleep(0.01)
                self.assertThat(pool.idle_by_address.get(address), Equals(None))

        self._run(test)
        self.assertThat(sent[0], LessThan(MAX_TAKEN_BYTES))

    def test_bytes_on_an_idle_connection_are_bounded(self) -> None:
        """Guards against an idle connection that fills the memory of the node."""
        late = asyncio.Event()
        sent = [0]

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            path = await _read_request(reader)
            writer.write(_answer(path))
            await late.wait()
            while path == "/a":
                writer.write(FLOOD_CHUNK)
                await writer.drain()
                sent[0] += len(FLOOD_CHUNK)

        async def test(pool: ConnectionPool) -> None:
            async with _open_raw_target(serve) as (address, errors):
                self.assertThat(await _fetch(pool, address, "/a"), Equals("/a"))
                late.set()
                await _wait_until_constant(sent)
                self.assertThat(sent[0], LessThan(MAX_TAKEN_BYTES))
                self.assertThat(await _fetch(pool, address, "/b"), Equals("/b"))
                while not errors:
                    await asyncio.sleep(0.01)

        self._run(test)

    def test_body_that_nobody_reads_is_not_buffered(self) -> None:
        """Guards against a body without end that is buffered for a slow caller."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        serve, sent = self._flood(head, b"10000\r\n" + FLOOD_CHUNK + b"\r\n")

        async def test(pool: ConnectionPool) -> None:
            async with (
                _open_raw_target(serve) as (address, errors),
                open_connection(pool, address) as connected,
            ):
                request = RequestHead("GET", "/a", HTTPHeaders({"Host": "x"}))
                async with exchange(
                    connected.unwrap(),
                    request,
                    body_from_bytes(b""),
                    first_byte_timeout_s=10.0,
                ) as result:
                    self.assertIsInstance(result, Success)
                    await _wait_until_constant(sent)
                    self.assertThat(sent[0], LessThan(MAX_TAKEN_BYTES))
                with suppress(TimeoutError):
                    async with asyncio.timeout(5.0):
                        while not errors:
                            await asyncio.sleep(0.01)
                self.assertThat(len(errors), Equals(1))

        self._run(test)
