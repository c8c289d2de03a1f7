"""Connections of the pool, on loopback."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import testtools
from returns.result import Failure
from testtools.matchers import Equals, IsInstance
from tornado.iostream import IOStream

from siskinlug.connections import (
    MAX_CARRIED_REQUESTS,
    Address,
    ConnectionPool,
    make_connection_pool,
    open_connection,
)

ADDRESS = ("127.0.0.1", 9)


class OpenConnectionTest(testtools.TestCase):
    def test_connection_that_is_closed_before_its_first_use(self) -> None:
        """Guards against a request that fails because a peer reset a new connection."""

        async def connect(*_args: Any, **_options: Any) -> IOStream:
            stream = IOStream(socket.socket())
            stream.close()
            return stream

        async def main() -> None:
            pool = make_connection_pool(monotonic=lambda: 0.0)
            pool.client.connect = connect  # type: ignore[method-assign]
            async with open_connection(pool, ADDRESS) as opened:
                self.assertThat(opened, IsInstance(Failure))
                self.assertThat(opened.failure().refused, Equals(False))

        asyncio.run(main())


class CarriedRequestTest(testtools.TestCase):
    """Load pattern: a target refuses a request, which is sent to it again."""

    def _run(self, test: Callable[[ConnectionPool, Address], Awaitable[None]]) -> None:
        async def main() -> None:
            pool = make_connection_pool(monotonic=lambda: 0.0)

            open_count = 0

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                nonlocal open_count
                open_count += 1
                await reader.read()
                writer.close()
                open_count -= 1

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            try:
                await test(pool, server.sockets[0].getsockname())
            finally:
                pool.close()
                while open_count:
                    await asyncio.sleep(0)
                server.close()

        asyncio.run(main())

    def test_request_gets_no_connection_that_has_carried_it(self) -> None:
        """Guards against a late copy of an answer to an earlier attempt."""

        async def use(pool: ConnectionPool, address: Address, request_id: str) -> int:
            async with open_connection(
                pool, address, request_id=request_id
            ) as connected:
                connection = connected.unwrap()
                connection.record_request(request_id)
                connection.reusable = True
                return connection.number

        async def test(pool: ConnectionPool, address: Address) -> None:
            numbers = [
                await use(pool, address, request_id)
                for request_id in ("a", "b", "a", "b", "b", "c", "")
            ]
            # Requests that no connection has carried share the one used last.
            self.assertThat(numbers, Equals([1, 1, 2, 2, 3, 3, 3]))
            self.assertThat(len(pool.idle_by_address[address]), Equals(3))

        self._run(test)

    def test_connection_is_replaced_before_it_forgets_a_request(self) -> None:
        """Guards against ids without end on a connection, or an id that is dropped."""

        async def test(pool: ConnectionPool, address: Address) -> None:
            async with open_connection(pool, address, request_id="0") as connected:
                connection = connected.unwrap()
                for number in range(MAX_CARRIED_REQUESTS):
                    self.assertThat(connection.is_exhausted, Equals(False))
                    connection.record_request(str(number))
                self.assertThat(connection.is_exhausted, Equals(True))
                connection.reusable = True
            self.assertThat(pool.idle_by_address, Equals({}))

        self._run(test)
