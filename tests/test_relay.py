"""Faults of the relay, on loopback."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from testtools.matchers import Equals

from standins.relay import Link

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while line := await reader.readline():
        writer.write(line)
    writer.close()


async def _send_line(streams: Streams, text: bytes) -> bytes:
    streams[1].write(text + b"\n")
    return (await streams[0].readline()).strip()


class RelayTest(testtools.TestCase):
    def _run(self, scenario: Callable[[Link], Awaitable[None]]) -> None:
        async def run() -> None:
            server = await asyncio.start_server(_echo, "127.0.0.1", 0)
            link = Link("a", server.sockets[0].getsockname()[:2])
            await link.listen(0)
            try:
                await scenario(link)
            finally:
                link.close()
                server.close()

        asyncio.run(run())

    def test_held_direction_delivers_in_order_after_the_hold(self) -> None:
        """Guards against a hold that loses or reorders data of a stream."""

        async def scenario(link: Link) -> None:
            for hold in ("hold_to_target", "hold_to_client"):
                streams = await asyncio.open_connection("127.0.0.1", link.port)
                self.assertThat(await _send_line(streams, b"before"), Equals(b"before"))
                await link.update_faults({hold: True})
                answer = asyncio.ensure_future(_send_line(streams, b"held"))
                done, _ = await asyncio.wait([answer], timeout=0.1)
                self.assertThat(len(done), Equals(0))
                await link.update_faults({hold: False})
                self.assertThat(await answer, Equals(b"held"))
                streams[1].close()

        self._run(scenario)

    def test_silence_affects_only_open_connections(self) -> None:
        """Guards against a silence that also affects new connections."""

        async def scenario(link: Link) -> None:
            old = await asyncio.open_connection("127.0.0.1", link.port)
            await _send_line(old, b"before")
            link.silence_connections()
            answer = asyncio.ensure_future(_send_line(old, b"lost"))
            new = await asyncio.open_connection("127.0.0.1", link.port)
            self.assertThat(await _send_line(new, b"works"), Equals(b"works"))
            await link.update_faults({"delay_s": 0.01})
            self.assertThat(await _send_line(new, b"works"), Equals(b"works"))
            self.assertFalse(answer.done())
            answer.cancel()

        self._run(scenario)

    def test_refusal_can_end_and_keeps_the_port(self) -> None:
        """Guards against a link that cannot listen again after a refusal."""

        async def scenario(link: Link) -> None:
            port = link.port
            open_before = await asyncio.open_connection("127.0.0.1", port)
            await link.update_faults({"refuse": True})
            with testtools.ExpectedException(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
            self.assertThat(await _send_line(open_before, b"open"), Equals(b"open"))
            await link.update_faults({"refuse": False})
            streams = await asyncio.open_connection("127.0.0.1", port)
            self.assertThat(await _send_line(streams, b"again"), Equals(b"again"))
            link.reset_connections()
            with testtools.ExpectedException(ConnectionResetError):
                await streams[0].readexactly(1)

        self._run(scenario)
