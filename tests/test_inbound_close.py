"""What a server does when the caller closes its connection early."""

import asyncio
import socket

import testtools
from testtools.matchers import Equals
from tornado.httputil import HTTPHeaders

from siskinlug.inbound import (
    Inbound,
    InboundLimits,
    close_idle,
    drain_server,
    open_server,
    send_answer,
)

LIMITS = InboundLimits(8192, 100_000, 65536, 30.0, 30.0, 10)
# Far longer than a close takes on loopback; a test that passes never waits for it.
BOUND_S = 10.0


class InboundCloseTest(testtools.TestCase):
    def _cancelled(self, request: bytes) -> bool:
        async def main() -> bool:
            started, cancelled = asyncio.Event(), asyncio.Event()

            async def serve(inbound: Inbound) -> None:
                await inbound.body.wait_complete()
                started.set()
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    cancelled.set()
                    raise

            server = open_server(serve, host="127.0.0.1", port=0, limits=LIMITS)
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(request)
            async with asyncio.timeout(BOUND_S):
                await started.wait()
                # The codec must have got past the end of the request.
                await asyncio.sleep(0.05)
                writer.close()
                await cancelled.wait()
            assert server.http is not None
            server.http.stop()
            return cancelled.is_set()

        return asyncio.run(main())

    def test_work_ends_when_its_caller_leaves(self) -> None:
        """Guards against work at a target for a caller that has left.

        The codec tells its delegate of a close only while it reads the request.
        """
        for request in (
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab",
        ):
            self.assertThat(self._cancelled(request), Equals(True))


class DrainTest(testtools.TestCase):
    def _answered_after_close_idle(self, *, turns: int) -> tuple[bytes, list[str]]:
        """Send a request on a kept connection just before idle ones are closed.

        Args:
            turns: Turns of the event loop that the server has after the request came.

        Returns:
            What the caller got, and the paths that were served.
        """

        async def main() -> tuple[bytes, list[str]]:
            served = []

            async def serve(inbound: Inbound) -> None:
                served.append(inbound.head.path)
                await send_answer(inbound, 200, HTTPHeaders(), b"ok")

            server = open_server(serve, host="127.0.0.1", port=0, limits=LIMITS)
            caller = socket.create_connection(("127.0.0.1", server.port))
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(BOUND_S):
                await loop.sock_sendall(caller, b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
                while b"ok" not in await loop.sock_recv(caller, 4096):
                    pass
                while server.busy:
                    await asyncio.sleep(0)
                caller.send(b"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
                for _ in range(turns):
                    await asyncio.sleep(0)
                close_idle(server)
                try:
                    rest = await loop.sock_recv(caller, 4096)
                except ConnectionResetError:
                    rest = b""
            caller.close()
            assert server.http is not None
            server.http.stop()
            return rest, served

        return asyncio.run(main())

    def test_request_that_has_arrived_keeps_its_connection(self) -> None:
        """Guards against closing a connection whose next request is still unread."""
        rest, served = self._answered_after_close_idle(turns=0)
        self.assertThat(served, Equals(["/1", "/2"]))
        self.assertThat(rest.startswith(b"HTTP/1.1 200"), Equals(True))

    def test_request_on_a_closed_connection_is_not_passed_on(self) -> None:
        """Guards against running a request whose caller can get no answer.

        The codec may have read a request whose task has not begun when its connection
        is closed as idle.
        """
        for turns in range(12):
            rest, served = self._answered_after_close_idle(turns=turns)
            answered = rest.startswith(b"HTTP/1.1 200")
            self.assertThat(answered, Equals("/2" in served), f"{turns} turns")

    def test_idle_connection_is_closed_while_another_request_runs_on(self) -> None:
        """Guards against a request taken late on a kept connection and then cut."""

        async def main() -> tuple[bytes, int]:
            release = asyncio.Event()

            async def serve(inbound: Inbound) -> None:
                if inbound.head.path == "/long":
                    await release.wait()
                await send_answer(inbound, 200, HTTPHeaders(), b"ok")

            server = open_server(serve, host="127.0.0.1", port=0, limits=LIMITS)
            address = ("127.0.0.1", server.port)
            _, long = await asyncio.open_connection(*address)
            long.write(b"GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
            kept_reader, kept = await asyncio.open_connection(*address)
            kept.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(BOUND_S):
                await kept_reader.readuntil(b"ok")
                while not server.tasks:
                    await asyncio.sleep(0.01)
                draining = asyncio.create_task(
                    drain_server(server, quiet_s=0.05, timeout_s=BOUND_S)
                )
                rest = await kept_reader.read()
                assert not draining.done()
                release.set()
                return rest, await draining

        self.assertThat(asyncio.run(main()), Equals((b"", 0)))
