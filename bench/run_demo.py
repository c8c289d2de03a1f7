"""``make run``: starts a small fleet, sends requests to it and stops it cleanly."""

import argparse
import signal
import subprocess
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

from rich.console import Console
from rich.table import Table

from bench.fleet import (
    ADMIN_PORT,
    CALLER_PORT,
    ROOT,
    Fleet,
    NodeSpec,
    TargetSpec,
    open_fleet,
)

NODES = 6
FAILURE_DOMAINS = ("glasgow-1", "glasgow-2", "edinburgh-1", "edinburgh-2")
SERVICES = ("catalogue", "bookings", "records")
TABLES_FOLDER = ROOT / "examples" / "robe-hire"
REQUESTS = 24


def start_fleet(fleet: Fleet, *, nodes: int = NODES) -> None:
    """Start the log, a daemon for each VM, and a target of each service beside it.

    Args:
        fleet: An empty fleet.
        nodes: Number of VMs, which are assigned to the failure domains in turn.
    """
    fleet.start_log()
    for number in range(1, nodes + 1):
        fleet.start_node(
            NodeSpec(number, FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)])
        )
    for number in range(1, nodes + 1):
        for index, service in enumerate(SERVICES):
            spec = TargetSpec(f"{service}-{number}", service, 6, number)
            fleet.start_target(spec, port=9001 + index)


def publish(fleet: Fleet, table: str, file: Path) -> str:
    """Publish a table with the command line tool and return its output.

    Raises:
        RuntimeError: The table was not accepted.
    """
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "siskinlug.cli",
            "publish",
            table,
            str(file),
            "--log",
            fleet.log_url,
            "--node",
            f"http://{fleet.host(1)}:{ADMIN_PORT}",
            "--yes",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    if completed.returncode:
        raise RuntimeError(f"publish {table}: {completed.stdout}{completed.stderr}")
    return completed.stdout.strip()


def _send_requests(fleet: Fleet, console: Console) -> None:
    table = Table("request", "entry", "status", "served by", "ms")
    count_by_target: Counter[str] = Counter()
    for number in range(REQUESTS):
        node = fleet.nodes[number % len(fleet.nodes)].number
        path = ("/availability/robes", "/fittings/choir", "/stock/gowns")[number % 3]
        started_at = time.perf_counter()
        reply = fleet.request(
            node, "GET", f"{path}?ms=5&bytes=512", headers={"X-Account": "parish-7"}
        )
        latency_ms = (time.perf_counter() - started_at) * 1000
        served_by = reply.headers.get("Siskinlug-Served-By", "-")
        count_by_target[served_by] += 1
        table.add_row(
            f"GET {path}",
            f"node-{node}",
            str(reply.status),
            served_by,
            f"{latency_ms:.1f}",
        )
    console.print(table)
    console.print(
        f"{sum(count_by_target.values())} requests over {len(count_by_target)} targets"
    )


def _wait_for_interrupt(fleet: Fleet, console: Console) -> None:
    """Print how to reach the fleet and keep it running until interrupted."""
    console.print(f"export PATH={ROOT / '.venv' / 'bin'}:$PATH", soft_wrap=True)
    console.print(
        f"export SISKINLUG_LOG={fleet.log_url} "
        f"SISKINLUG_NODE=http://{fleet.host(1)}:{ADMIN_PORT}",
        soft_wrap=True,
    )
    table = Table("process", "process id", "callers")
    for name, process in fleet.process_by_name.items():
        number = name.removeprefix("node-")
        address = ""
        if number.isdecimal():
            address = f"http://{fleet.host(int(number))}:{CALLER_PORT}"
        table.add_row(name, str(process.popen.pid if process.popen else ""), address)
    console.print(table)
    console.print("Ctrl-C stops all of them.")
    with suppress(KeyboardInterrupt):
        signal.pause()


def main() -> int:
    """Run the demo.

    Returns:
        0; a failed step raises an exception instead.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--stay", action="store_true", help="keep the fleet up until interrupted"
    )
    options = parser.parse_args()
    console = Console(width=110)
    with open_fleet(ROOT / "run") as fleet:
        console.print(f"starting 1 log, {NODES} daemons, {NODES * 3} targets")
        start_fleet(fleet)
        fleet.wait_joined(targets=NODES * len(SERVICES))
        for name in ("pools", "routes"):
            console.print(publish(fleet, name, TABLES_FOLDER / f"{name}.ini"))
        fleet.wait_versions(routes=1, pools=1)
        _send_requests(fleet, console)
        if options.stay:
            _wait_for_interrupt(fleet, console)
            return 0
        killed = fleet.process_by_name["node-2"]
        console.print("kill -9 node-2, then the same requests again")
        killed.kill()
        fleet.nodes = [node for node in fleet.nodes if node.name != "node-2"]
        _send_requests(fleet, console)
        host = fleet.host(1)
        console.print(f"callers: http://{host}:{CALLER_PORT}/")
        console.print(f"admin:   http://{host}:{ADMIN_PORT}/ (also /metrics)")
        console.print("pages:   docs/design.md, docs/OPERATIONS.md; logs in run/")
    console.print("all processes stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
