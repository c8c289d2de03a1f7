"""Measure the memory of each kind of state with tracemalloc.

``python -m bench.capacity_memory [KIND ...]`` prints JSON: for each kind, the bytes
held at four counts.
"""

import gc
import subprocess
import sys
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from bench.capacity_size import (
    ACCOUNTS,
    ROUTES,
    SIZE_FRACTIONS,
    Size,
    make_node_records,
    pools_text,
    request_path,
    routes_text,
    scale_size,
)
from bench.fleet import ROOT
from siskinlug.account_rates import MAX_ACCOUNTS, check_rate, make_account_rates
from siskinlug.attempts import (
    MAX_FINISHED,
    finish_attempt,
    make_attempts,
    mark_attempt_started,
    register_attempt,
)
from siskinlug.claim_fold import KeyFold
from siskinlug.claims import KEY_TTL_S
from siskinlug.clock import HybridClock
from siskinlug.configuration import EMPTY_STATE, fold, publish_record, tables_of
from siskinlug.directory import Directory, NodeRecord
from siskinlug.evidence import Outcome, make_evidence, record_outcome
from siskinlug.links import make_links, record_success
from siskinlug.load import LoadReport
from siskinlug.metrics import make_metrics
from siskinlug.paths import make_paths, record_path_answer
from siskinlug.quarantine import MAX_SUSPICIONS, make_quarantine, record_crash
from siskinlug.routing import match_route
from siskinlug.service_times import make_service_times, observe_service_time
from siskinlug.timeline import MAX_TIMELINE_EVENTS, Kind, Timeline, record_event
from siskinlug.verdict import Verdict

# Attempts recorded by an owner in 600 s at 81 requests/s.
ATTEMPT_COUNT = 48_600
# Idempotency keys of one partition in an hour at 5 keys/s.
KEY_COUNT = 18_000
# Routes for which evidence about one target is kept.
EVIDENCE_ROUTE_COUNT = 64
LIBRARIES = (
    "absl.logging, msgspec, returns.result, tornado.httpserver, tornado.tcpclient, "
    "tornado.web, xxhash, opentelemetry.sdk.metrics, "
    "opentelemetry.exporter.prometheus, prometheus_client"
)


def _fixed_clock() -> float:
    return 1000.0


def _decoded_records(size: Size, *, targets: bool) -> list[NodeRecord]:
    """Return records decoded from JSON, as in a sync, so that they share no strings."""
    body = msgspec.json.encode(make_node_records(size, targets=targets))
    return msgspec.json.decode(body, type=list[NodeRecord])


def _make_directory(fraction: float, *, targets: bool) -> Directory:
    records = _decoded_records(scale_size(fraction), targets=targets)
    directory = Directory(records[0])
    for node_record in records[1:]:
        directory.put(node_record)
    return directory


def _make_nodes(count: int) -> Any:
    directory = _make_directory(count / scale_size(1).nodes, targets=False)
    links, paths = (
        make_links(monotonic=_fixed_clock),
        make_paths(monotonic=_fixed_clock),
    )
    for node in directory.record_by_node:
        record_success(links, node, 0.001)
        record_path_answer(paths, node, "route", 0.001)
    return directory, links, paths


def _make_nodes_with_targets(count: int) -> Any:
    return _make_directory(count / scale_size(1).targets, targets=True)


def _make_load_reports(count: int) -> Any:
    # What an entry keeps for each target that it has sent requests to.
    return {
        f"service-{n % 81:02d}-{n:05d}": (
            LoadReport(f"service-{n % 81:02d}-{n:05d}", 6, 1, 0, n / 7, n / 3),
            n / 9,
        )
        for n in range(count)
    }


def _make_routes(count: int) -> Any:
    size = scale_size(count / ROUTES)
    state = EMPTY_STATE
    for offset, (table, text) in enumerate(
        (("pools", pools_text(size)), ("routes", routes_text(size)))
    ):
        change = publish_record(
            table, table, text, base=0, operator="bench", note="", at_ms=1
        )
        state = fold(state, offset, change)
    tables = tables_of(state)
    assert match_route(tables, "GET", "orders.example", request_path(0)) is not None
    return state, tables


def _make_route_figures(count: int) -> Any:
    # What requests of a route leave behind: recent service times and metrics.
    times, metrics = make_service_times(monotonic=_fixed_clock), make_metrics()
    for n in range(count):
        name = f"route-{n:04d}"
        for _ in range(64):
            observe_service_time(times, name, 0.01)
        metrics.requests.add(
            1, {"route": name, "status": "2xx", "verdict": Verdict.RAN.value}
        )
        metrics.duration.record(0.01, {"route": name})
    return times, metrics


def _make_account_rates(count: int) -> Any:
    rates = make_account_rates(monotonic=_fixed_clock)
    for n in range(count):
        check_rate(rates, "route-0000", f"account-{n:06d}", 50.0)
    return rates


def _make_attempts(count: int) -> Any:
    attempts = make_attempts(incarnation=1, monotonic=_fixed_clock)
    for n in range(count):
        name = f"node-0001-18bcfe56800-{n:x}"
        register_attempt(attempts, name)
        mark_attempt_started(attempts, name)
        finish_attempt(attempts, name, Verdict.RAN)
    return attempts


def _make_keys(count: int) -> Any:
    state = KeyFold(ttl_s=KEY_TTL_S)
    for n in range(count):
        key, claim, fingerprint = f"{n:032x}", f"{n:016x}", f"{n:016x}"
        entries = [
            ["c", key, claim, fingerprint, 15_000],
            ["s", key, claim, Verdict.RAN.value],
        ]
        text = msgspec.json.encode(
            {"home": "node-1@1", "seq": n + 1, "at_ms": 1, "entries": entries}
        )
        state.apply(n, msgspec.json.decode(text))
    return state


def _make_events(count: int) -> Any:
    timeline = Timeline("node-0001", HybridClock())
    for n in range(count):
        record_event(
            timeline,
            Kind.MEMBER_DEAD,
            f"node-{n:04d}",
            f"incarnation {1_700_000_000_000 + n}, version {n}",
        )
    return timeline


def _make_suspicions(count: int) -> Any:
    quarantine = make_quarantine(monotonic=_fixed_clock)
    for n in range(count):
        record_crash(quarantine, f"target-{n}@{n}", [f"{n:032x}"])
    return quarantine


def _make_evidence(count: int) -> Any:
    evidence = make_evidence(monotonic=_fixed_clock)
    for n in range(count):
        for _ in range(16):
            name = f"route-{n:04d}"
            record_outcome(evidence, Outcome(name, True, False, 0.01, 0.01))
    return evidence


_FACTORY_AND_COUNT_BY_KIND: dict[str, tuple[Callable[[int], Any], int]] = {
    "node": (_make_nodes, 430),
    "target": (_make_nodes_with_targets, 3500),
    "load_report": (_make_load_reports, 3500),
    "route": (_make_routes, ROUTES),
    "route_figures": (_make_route_figures, ROUTES),
    "account": (_make_account_rates, ACCOUNTS),
    "attempt": (_make_attempts, ATTEMPT_COUNT),
    "idempotency_key": (_make_keys, KEY_COUNT),
    "event": (_make_events, MAX_TIMELINE_EVENTS),
    "suspicion": (_make_suspicions, MAX_SUSPICIONS),
    "evidence_route": (_make_evidence, EVIDENCE_ROUTE_COUNT),
}
# Counts at which the daemon drops the oldest entries.
_MAX_COUNT_BY_KIND = {
    "account": MAX_ACCOUNTS,
    "attempt": MAX_FINISHED,
    "event": MAX_TIMELINE_EVENTS,
    "suspicion": MAX_SUSPICIONS,
    "evidence_route": EVIDENCE_ROUTE_COUNT,
}


def measure_kind(kind: str) -> list[tuple[int, int]]:
    """Measure the memory of one kind of state.

    Args:
        kind: Key of ``_FACTORY_AND_COUNT_BY_KIND``.

    Returns:
        Pairs of a count and the bytes held at that count.
    """
    factory, full_count = _FACTORY_AND_COUNT_BY_KIND[kind]
    # Fill caches and lazily built state first, which don't grow with the count.
    factory(max(full_count // 16, 1))
    points = []
    for fraction in SIZE_FRACTIONS:
        count = round(full_count * fraction)
        count = min(count, _MAX_COUNT_BY_KIND.get(kind, count))
        gc.collect()
        tracemalloc.start()
        state = factory(count)
        gc.collect()
        points.append((count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del state
    return points


def measure_libraries_mb() -> float:
    """Return the resident memory in MB of a process that only imports the libraries."""
    code = (
        f"import asyncio, {LIBRARIES}, os\n"
        "pages = int(open('/proc/self/statm').read().split()[1])\n"
        "print(pages * os.sysconf('SC_PAGE_SIZE') / 1e6)"
    )
    return float(
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            check=True,
            text=True,
        ).stdout
    )


def main() -> None:
    """Print the figures of the given kinds, or of all kinds, as JSON."""
    kinds = sys.argv[1:] or list(_FACTORY_AND_COUNT_BY_KIND)
    print(
        msgspec.json.encode({kind: measure_kind(kind) for kind in kinds}).decode(),
        flush=True,
    )


def measure_memory() -> dict[str, list[list[int]]]:
    """Measure each kind in a separate process.

    Returns:
        Pairs of a count and its bytes, by kind.
    """
    points: dict[str, list[list[int]]] = {}
    for kind in _FACTORY_AND_COUNT_BY_KIND:
        output = subprocess.run(
            [sys.executable, "-m", "bench.capacity_memory", kind],
            cwd=ROOT,
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        points |= msgspec.json.decode(output, type=dict[str, list[list[int]]])
    return points


if __name__ == "__main__":
    main()
