"""Probes over loopback, and waits for a first byte in virtual time."""

import asyncio

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, IsInstance

from bench.virtual_time import run_virtual
from siskinlug.connections import make_connection_pool
from siskinlug.evidence import Outcome, anomaly_scores, make_evidence, record_outcome
from siskinlug.probes import probe, watch_first_byte


async def _probe(
    answer: bytes, *, closes: bool = True, timeout_s: float = 30.0
) -> object:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        if not closes:
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    clock = asyncio.get_running_loop().time
    async with server:
        pool = make_connection_pool(monotonic=clock)
        return await probe(
            pool, address, "/health", monotonic=clock, timeout_s=timeout_s
        )


async def _records_hard_failure(waits_s: float, *, alive: bool) -> bool:
    evidence = make_evidence(monotonic=asyncio.get_running_loop().time)
    for _ in range(3):
        record_outcome(evidence, Outcome("a", True, False, 0.01, None))

    async def answer() -> bool:
        return alive

    with watch_first_byte(evidence, "a", probe=answer) as wait:
        await asyncio.sleep(waits_s)
    return wait.outcome_recorded and anomaly_scores(evidence)["a"].cause == "hard"


class ProbesTest(testtools.TestCase):
    def test_only_a_complete_response_without_a_server_error_passes(self) -> None:
        """Guards against readmission after an error, a cut response or none."""
        ok = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.assertThat(asyncio.run(_probe(ok)), IsInstance(Success))
        for bad in (ok[:-1], ok.replace(b"200 OK", b"503 Shed"), b""):
            self.assertThat(asyncio.run(_probe(bad)), IsInstance(Failure))

    def test_response_that_stops_in_its_body_fails_the_probe(self) -> None:
        """Guards against a probe that waits for the rest of a response for a minute."""

        async def main() -> object:
            stopped = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no"
            async with asyncio.timeout(20.0):
                return await _probe(stopped, closes=False, timeout_s=0.2)

        self.assertThat(asyncio.run(main()), IsInstance(Failure))

    def test_silence_counts_only_after_the_bound_and_a_failed_probe(self) -> None:
        """Guards against taking long work for silence, and detecting silence late."""
        for waits_s, alive, expected in (
            (0.1, False, False),
            (1.0, True, False),
            (1.0, False, True),
        ):
            observed = run_virtual(_records_hard_failure(waits_s, alive=alive))
            self.assertThat(observed, Equals(expected))
