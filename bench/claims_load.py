"""Claims against the stand-in log: appends/s, added latency, memory for each key."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import time
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from absl import app, flags
from hdrh.histogram import HdrHistogram
from returns.result import Success

from siskinlug.claim_fold import KeyFold
from siskinlug.claim_messages import ClaimsAnswer, ClaimsMessage
from siskinlug.claim_state import PARTITION_COUNT
from siskinlug.claims import (
    Claims,
    claim_key,
    close_claims,
    complete_claim,
    make_claims,
    short_digest,
)
from siskinlug.clock import wall_clock_ms
from siskinlug.log_client import Log, open_log
from siskinlug.tables import Route
from siskinlug.verdict import Verdict

_PARTITIONS = 8
_ROUTE = Route("r", "*", "/", (), "p")
_MEMORY_KEYS = 20_000


async def _no_peer(_home: str, _request: ClaimsMessage) -> ClaimsAnswer | None:
    return None


def _make(log: Log, interval_s: float) -> Claims:
    return make_claims(
        node="node",
        incarnation=random.getrandbits(40),
        append=log.append,
        read=log.read,
        home_of=lambda _partition: "node",
        call_home=_no_peer,
        monotonic=time.monotonic,
        wall_ms=wall_clock_ms,
        append_interval_s=interval_s,
    )


def _key(number: int) -> str:
    return f"{number % _PARTITIONS:08x}{random.getrandbits(96):024x}"


async def run_load(
    log: Log, *, rate: float, seconds: float, interval_s: float
) -> dict[str, float]:
    """Claim and settle keys of 8 partitions at a paced rate.

    Args:
        log: The log.
        rate: Keys per second and partition.
        seconds: Time during which keys are claimed.
        interval_s: Least time between two appends of a partition, in seconds.
    """
    claims = _make(log, interval_s)
    latency_us = HdrHistogram(1, 60_000_000, 3)
    granted = 0
    total_rate = rate * _PARTITIONS

    async def one(number: int, due: float) -> None:
        nonlocal granted
        result = await claim_key(claims, _key(number), "print", f"c{number}", _ROUTE)
        latency_us.record_value(max(1, int((time.monotonic() - due) * 1e6)))
        if isinstance(result, Success):
            granted += 1
            await complete_claim(result.unwrap(), Verdict.RAN, 200, (), b"x" * 500)

    start = time.monotonic()
    tasks = []
    for number in range(int(total_rate * seconds)):
        due = start + number / total_rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.ensure_future(one(number, due)))
    await asyncio.gather(*tasks)
    await close_claims(claims)
    elapsed = time.monotonic() - start
    return {
        "keys_per_s_and_partition": rate,
        "interval_s": interval_s,
        "asked": len(tasks),
        "granted": granted,
        "appends_per_s_and_partition": round(
            claims.home.appends / elapsed / _PARTITIONS, 2
        ),
        "appends_per_s_of_fleet": round(
            claims.home.appends / elapsed / _PARTITIONS * PARTITION_COUNT, 1
        ),
        "claim_p50_ms": latency_us.get_value_at_percentile(50) / 1000,
        "claim_p99_ms": latency_us.get_value_at_percentile(99) / 1000,
    }


def bytes_per_key() -> float:
    """Return the memory of one settled key in a partition's state, in bytes."""
    fold = KeyFold(ttl_s=3600.0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(_MEMORY_KEYS):
        key, claim_id = f"{number:032x}", short_digest(f"node-17-{number:x}")
        record = {
            "home": "node@17",
            "seq": number + 1,
            "at_ms": 1_000_000 + number,
            "entries": [
                ["c", key, claim_id, short_digest(f"r{number:032x}"), 15000],
                ["s", key, claim_id, "ran"],
            ],
        }
        fold.apply(number, msgspec.json.decode(msgspec.json.encode(record)))
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / _MEMORY_KEYS


@asynccontextmanager
async def _open_stand_in() -> AsyncIterator[Log]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    arguments = ["-m", "standins.log_service", "--host", "127.0.0.1"]
    process = subprocess.Popen([sys.executable, *arguments, "--port", str(port)])
    log = open_log(f"http://127.0.0.1:{port}")
    try:
        for _ in range(200):
            if isinstance(await log.read("claims-00", 0), Success):
                break
            await asyncio.sleep(0.05)
        yield log
    finally:
        log.close()
        os.kill(process.pid, signal.SIGTERM)
        process.wait(10)


_SECONDS = flags.DEFINE_float("seconds", 6.0, "Length of each run.")


async def _main() -> None:
    sys.stdout.write(f"bytes for each key: {bytes_per_key():.0f}\n")
    for interval_s in (0.0, 0.05, 0.1, 0.25, 0.5):
        for rate in (1.0, 27.0):
            # A new log for each run, so that no run reads the records of another.
            async with _open_stand_in() as log:
                figures = await run_load(
                    log, rate=rate, seconds=_SECONDS.value, interval_s=interval_s
                )
            sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    app.run(lambda _argv: asyncio.run(_main()))
