"""Deadlines of response bodies, on loopback."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, IsInstance, LessThan
from tornado.httputil import HTTPHeaders

from siskinlug.body import HIGH_WATER_BYTES, BodyCut, BodyStream, body_from_bytes
from siskinlug.connections import make_connection_pool, open_connection
from siskinlug.exchange import Answer, RequestHead, exchange
from siskinlug.inbound import InboundLimits, InboundRequest, open_server, stream_answer

HANG_S = 20.0
ANSWER_TIMEOUT_S = 0.3
LIMITS = InboundLimits(65_536, 1 << 20, 1 << 16, 60.0, 60.0, 100)

Send = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def _read_answer(send: Send) -> tuple[bytes, bool, bool]:
    """Read the response of a raw server until it ends.

    Returns:
        The body, whether it expired, and whether the connection may be reused.
    """
    ended = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            await send(writer)
            await reader.read()
        except ConnectionError:
            return
        finally:
            writer.close()
            ended.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    pool = make_connection_pool(monotonic=asyncio.get_running_loop().time)
    received = b""
    async with server, asyncio.timeout(HANG_S):
        address = server.sockets[0].getsockname()
        async with open_connection(pool, address) as connected:
            connection = connected.unwrap()
            async with exchange(
                connection,
                RequestHead("GET", "/", HTTPHeaders({"Host": "x"})),
                body_from_bytes(b""),
                first_byte_timeout_s=HANG_S,
                answer_timeout_s=ANSWER_TIMEOUT_S,
            ) as result:
                assert isinstance(result, Success)
                body = result.unwrap().body
                try:
                    async for chunk in body.chunks():
                        received += chunk
                except BodyCut:
                    pass
            reusable = connection.reusable
        pool.close()
        await ended.wait()
        return received, body.expired, reusable


class AnswerDeadlineTest(testtools.TestCase):
    def test_body_that_never_ends_expires(self) -> None:
        """Guards against a body that trickles past the deadline of its request."""

        async def trickle(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"1\r\nx\r\n")
                await writer.drain()
                await asyncio.sleep(0.02)

        _, expired, reusable = asyncio.run(_read_answer(trickle))
        self.assertThat((expired, reusable), Equals((True, False)))

    def test_complete_body_is_read_after_its_deadline(self) -> None:
        """Guards against a response that is ready but dropped since it is late."""
        body = BodyStream()
        body.feed(b"ready")
        body.finish()
        body.expire()

        async def read() -> bytes:
            return b"".join([chunk async for chunk in body.chunks()])

        self.assertThat(asyncio.run(read()), Equals(b"ready"))
        self.assertThat(body.expired, Equals(False))

    def test_slow_reader_is_not_the_fault_of_the_sender(self) -> None:
        """Guards against a target that is held unhealthy because of a slow caller."""

        async def main() -> tuple[bool, bool]:
            stalled, paused = BodyStream(), BodyStream()
            stalled.feed(b"x")
            paused.feed(b"x" * HIGH_WATER_BYTES)
            stalled.expire()
            paused.expire()
            return stalled.sender_stalled, paused.sender_stalled

        self.assertThat(asyncio.run(main()), Equals((True, False)))

    def test_caller_that_does_not_read_is_cut_off(self) -> None:
        """Guards against a write to a slow caller that outlasts the deadline."""

        async def main() -> object:
            ended: asyncio.Future[object] = asyncio.get_running_loop().create_future()

            async def serve(inbound: InboundRequest) -> None:
                body = BodyStream()
                for _ in range(200):
                    body.feed(b"x" * 65_536)
                asyncio.get_running_loop().call_later(ANSWER_TIMEOUT_S, body.expire)
                headers = HTTPHeaders({"Content-Length": str(1 << 30)})
                try:
                    await stream_answer(inbound, Answer(200, "OK", headers, body))
                except Exception as error:
                    ended.set_result(error)
                    raise

            server = open_server(serve, host="127.0.0.1", port=0, limits=LIMITS)
            _, writer = await asyncio.open_connection(
                "127.0.0.1", server.port, limit=1024
            )
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(HANG_S):
                error = await ended
            writer.close()
            assert server.http is not None
            server.http.stop()
            return error

        self.assertThat(asyncio.run(main()), IsInstance(BodyCut))

    def test_check_of_a_silent_peer_ends_at_the_deadline(self) -> None:
        """Guards against a caller that waits on for a check of its path."""

        async def main() -> float:
            loop = asyncio.get_running_loop()
            ended = asyncio.Event()

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.read()
                writer.close()
                ended.set()

            async def never_answers() -> bool:
                await asyncio.sleep(HANG_S)
                return True

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            pool = make_connection_pool(monotonic=loop.time)
            started_at = loop.time()
            async with server:
                address = server.sockets[0].getsockname()
                async with (
                    open_connection(pool, address) as connected,
                    exchange(
                        connected.unwrap(),
                        RequestHead("GET", "/", HTTPHeaders({"Host": "x"})),
                        body_from_bytes(b""),
                        first_byte_timeout_s=ANSWER_TIMEOUT_S,
                        check_after_s=0.1,
                        keep_waiting=never_answers,
                    ) as result,
                ):
                    self.assertThat(result, IsInstance(Failure))
                took_s = loop.time() - started_at
                await ended.wait()
            return took_s

        self.assertThat(asyncio.run(main()), LessThan(HANG_S / 2))
