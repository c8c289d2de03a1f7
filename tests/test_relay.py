"""The relay's faults, over loopback."""

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


async def _say(streams: Streams, text: bytes) -> bytes:
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

    def test_a_held_direction_delivers_in_order_when_it_heals(self) -> None:
        """Guards against a cut that corrupts streams, as no network does."""

        async def scenario(link: Link) -> None:
            for hold in ("hold_to_target", "hold_to_client"):
                streams = await asyncio.open_connection("127.0.0.1", link.port)
                self.assertThat(await _say(streams, b"before"), Equals(b"before"))
                await link.change({hold: True})
                answer = asyncio.ensure_future(_say(streams, b"held"))
                done, _ = await asyncio.wait([answer], timeout=0.1)
                self.assertThat(len(done), Equals(0))
                await link.change({hold: False})
                self.assertThat(await answer, Equals(b"held"))
                streams[1].close()

        self._run(scenario)

    def test_silence_takes_the_open_connections_only(self) -> None:
        """Guards against a fault that new connections suffer as well."""

        async def scenario(link: Link) -> None:
            old = await asyncio.open_connection("127.0.0.1", link.port)
            await _say(old, b"before")
            link.silence()
            answer = asyncio.ensure_future(_say(old, b"lost"))
            new = await asyncio.open_connection("127.0.0.1", link.port)
            self.assertThat(await _say(new, b"works"), Equals(b"works"))
            await link.change({"delay_s": 0.01})
            self.assertThat(await _say(new, b"works"), Equals(b"works"))
            self.assertFalse(answer.done())
            answer.cancel()

        self._run(scenario)

    def test_refusal_ends_and_keeps_the_port(self) -> None:
        """Guards against a refusal that cannot be lifted."""

        async def scenario(link: Link) -> None:
            port = link.port
            open_before = await asyncio.open_connection("127.0.0.1", port)
            await link.change({"refuse": True})
            with testtools.ExpectedException(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
            self.assertThat(await _say(open_before, b"open"), Equals(b"open"))
            await link.change({"refuse": False})
            streams = await asyncio.open_connection("127.0.0.1", port)
            self.assertThat(await _say(streams, b"again"), Equals(b"again"))
            link.reset()
            with testtools.ExpectedException(ConnectionResetError):
                await streams[0].readexactly(1)

        self._run(scenario)
