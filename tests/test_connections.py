"""Connections of the pool, on loopback."""

import asyncio
import socket
from typing import Any

import testtools
from returns.result import Failure
from testtools.matchers import Equals, IsInstance
from tornado.iostream import IOStream

from siskinlug.connections import make_connection_pool, open_connection

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
