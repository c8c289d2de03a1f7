"""Latency of three paths: direct to a target, through its owner, through two nodes.

``python -m bench.hops`` prints a table and writes ``out/hops.json``. The three paths
are measured alternately within one run, because the load of a shared machine varies.
"""

import asyncio
import json
import os
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from bench.fleet import (
    CALLER_PORT,
    ROOT,
    Fleet,
    NodeSpec,
    TargetSpec,
    open_fleet,
)
from standins.caller import Call, run_closed_loop, run_open_loop

# Requests/s of one node: 35,000 requests/s over 430 nodes.
PACED_REQUESTS_PER_S = 81.0
PACED_S = 10.0
CLOSED_COUNT = 4000
CLOSED_CALLERS = 8
ROUNDS = 3
TARGET_PORT = 9001
ADDED_P99_GOAL_MS = 2.4
POOLS = "[work]\nservice = work\n"
ROUTES = (
    "[work]\npath_prefix = /\npool = work\ntimeout_s = 5\n"
    "idempotent = yes\nwork = short\n"
)


def _make_call(_number: int) -> Call:
    return Call(path="/work", answer_bytes=512)


def resident_mb(fleet: Fleet, name: str) -> float:
    """Return the resident memory of a process in MB."""
    popen = fleet.process_by_name[name].popen
    assert popen is not None
    pages = int(Path(f"/proc/{popen.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _measure_paths(fleet: Fleet) -> dict[str, dict[str, Any]]:
    address_by_path = {
        "direct": (fleet.host(1), TARGET_PORT),
        "one hop": (fleet.host(1), CALLER_PORT),
        "two hops": (fleet.host(2), CALLER_PORT),
    }
    rounds_by_path: dict[str, list[dict[str, Any]]] = {p: [] for p in address_by_path}
    for _ in range(ROUNDS):
        for path, address in address_by_path.items():
            paced = await run_open_loop(
                address, _make_call, rate=PACED_REQUESTS_PER_S, seconds=PACED_S
            )
            closed = await run_closed_loop(
                address, _make_call, callers=CLOSED_CALLERS, count=CLOSED_COUNT
            )
            rounds_by_path[path].append(
                {
                    "paced": paced.as_json(),
                    "closed_per_s": round(CLOSED_COUNT / closed.seconds),
                    "wrong": paced.wrong + closed.wrong,
                }
            )
    return {path: _median_round(rounds) for path, rounds in rounds_by_path.items()}


def _median_round(rounds: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the round with the median p99, which ignores a single disturbed round."""
    ordered = sorted(rounds, key=lambda r: r["paced"]["latency_ms"]["p99"])
    return ordered[len(ordered) // 2]


def main() -> None:
    """Measure the three paths, print a table and write JSON."""
    with open_fleet() as fleet:
        fleet.start_log()
        for number in (1, 2):
            fleet.start_node(NodeSpec(number, f"domain-{number}"), seeds=(1, 2))
        fleet.start_target(TargetSpec("work-1", "work", 6, 1), port=TARGET_PORT)
        fleet.wait_joined(targets=1)
        fleet.publish_tables(pools=POOLS, routes=ROUTES)
        before_mb = resident_mb(fleet, "node-2")
        result = asyncio.run(_measure_paths(fleet))
        memory_mb = {"idle": before_mb, "loaded": resident_mb(fleet, "node-2")}
    table = Table("path", "closed loop /s", "p50 ms", "p99 ms", "added p99 ms", "wrong")
    base = result["direct"]["paced"]["latency_ms"]
    for path, figures in result.items():
        latency = figures["paced"]["latency_ms"]
        table.add_row(
            path,
            str(figures["closed_per_s"]),
            f"{latency['p50']:.2f}",
            f"{latency['p99']:.2f}",
            f"{latency['p99'] - base['p99']:.2f}",
            str(figures["wrong"]),
        )
    console = Console()
    console.print(table)
    console.print(
        f"goal: {ADDED_P99_GOAL_MS} ms added at p99; memory in MB: {memory_mb}"
    )
    out = ROOT / "out"
    out.mkdir(exist_ok=True)
    (out / "hops.json").write_text(
        json.dumps({"paths": result, "memory_mb": memory_mb}, indent=1)
    )


if __name__ == "__main__":
    main()
