"""Probes over loopback, and silence in virtual time."""

import asyncio

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, IsInstance

from bench.virtual_time import run_virtual
from siskinlug.connections import make_pool
from siskinlug.evidence import Outcome, anomaly_scores, make_evidence, record_outcome
from siskinlug.probes import probe, watch_first_byte


async def _probe(answer: bytes) -> object:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    clock = asyncio.get_running_loop().time
    async with server:
        pool = make_pool(monotonic=clock)
        return await probe(pool, address, "/health", monotonic=clock, timeout_s=30.0)


async def _hard_failures(waits_s: float, *, alive: bool) -> bool:
    evidence = make_evidence(monotonic=asyncio.get_running_loop().time)
    for _ in range(3):
        record_outcome(evidence, Outcome("a", True, False, 0.01, None))

    async def answer() -> bool:
        return alive

    with watch_first_byte(evidence, "a", probe=answer) as silence:
        await asyncio.sleep(waits_s)
    return silence.outcome_recorded and anomaly_scores(evidence)["a"].cause == "hard"


class ProbesTest(testtools.TestCase):
    def test_only_a_whole_answer_without_a_server_error_passes(self) -> None:
        """Guards against readmission on an error, a cut answer or no answer."""
        ok = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.assertThat(asyncio.run(_probe(ok)), IsInstance(Success))
        for bad in (ok[:-1], ok.replace(b"200 OK", b"503 Shed"), b""):
            self.assertThat(asyncio.run(_probe(bad)), IsInstance(Failure))

    def test_silence_counts_only_past_the_usual_time_and_a_failed_probe(self) -> None:
        """Guards against long work taken for silence, and silence seen too late."""
        for waits_s, alive, expected in (
            (0.1, False, False),
            (1.0, True, False),
            (1.0, False, True),
        ):
            observed = run_virtual(_hard_failures(waits_s, alive=alive))
            self.assertThat(observed, Equals(expected))
