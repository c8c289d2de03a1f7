"""What a server does when the caller closes its connection early."""

import asyncio

import testtools
from testtools.matchers import Equals

from siskinlug.inbound import Inbound, InboundLimits, open_server

LIMITS = InboundLimits(8192, 100_000, 65536, 30.0, 30.0, 10)
# Far longer than a close takes on loopback; a test that passes never waits for it.
BOUND_S = 10.0


class InboundCloseTest(testtools.TestCase):
    def _cancelled(self, request: bytes) -> bool:
        async def main() -> bool:
            started, cancelled = asyncio.Event(), asyncio.Event()

            async def serve(inbound: Inbound) -> None:
                await inbound.body.wait_whole()
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
