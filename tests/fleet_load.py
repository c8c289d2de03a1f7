"""Load with checked responses on a fleet of processes, for tests that disturb it."""

import asyncio
import threading
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from bench.fleet import CALLER_PORT, Fleet, NodeSpec, TargetSpec
from standins.caller import Call, CallResult, run_open_loop

DOMAINS = ("domain-1", "domain-2", "domain-3")
SLOTS = 4
TARGET_PORT = 9001
POOLS = "[work]\nservice = work\nfloor_slots = 4\nqueue = 64\n"
ROUTES = """
[read]
path_prefix = /read
methods = GET
pool = work
timeout_s = 5
idempotent = yes

[book]
path_prefix = /book
methods = POST
pool = work
timeout_s = 5
"""


class Load:
    """A load that runs in a thread, and its results."""

    def __init__(self) -> None:
        self.results: list[CallResult] = []
        self.thread: threading.Thread | None = None

    def wait(self) -> list[CallResult]:
        """Wait for the end of the load and return its results."""
        assert self.thread is not None
        self.thread.join()
        return self.results

    def wrong(self) -> list[str]:
        """Return one line for each wrong response."""
        return [f"{r.request_id}: {r.wrong}" for r in self.results if r.wrong]

    def count_by_outcome(self) -> Counter[str]:
        """Count the results by status, reason and verdict."""
        return Counter(f"{r.status} {r.reason} {r.verdict}" for r in self.results)


def booking(number: int) -> Call:
    """Return a request that must run at most once, long enough to overlap a fault."""
    return Call(method="POST", path="/book", body=b"x" * 40, service_ms=250)


def reading(number: int) -> Call:
    """Return an idempotent request."""
    return Call(path="/read", service_ms=20)


def start_load(
    fleet: Fleet,
    nodes: Sequence[int],
    call_of: Callable[[int], Call],
    *,
    rate: float,
    seconds: float,
    prefix: str,
) -> Load:
    """Start a thread that sends requests to several entries.

    Args:
        fleet: The fleet.
        nodes: Numbers of the entries.
        call_of: Returns the request with a given number.
        rate: Requests/s to each entry.
        seconds: Length of the load.
        prefix: Prefix of the request ids.
    """
    load = Load()

    async def run() -> None:
        await asyncio.gather(
            *(
                run_open_loop(
                    (fleet.host(node), CALLER_PORT),
                    call_of,
                    rate=rate,
                    seconds=seconds,
                    prefix=f"{prefix}-{node}",
                    observe=load.results.append,
                )
                for node in nodes
            )
        )

    load.thread = threading.Thread(target=lambda: asyncio.run(run()))
    load.thread.start()
    return load


def start_small_fleet(
    fleet: Fleet, *, nodes: int = 3, targets: Sequence[int] = (1, 2, 3)
) -> None:
    """Start the log, the nodes and some targets, and publish the tables.

    A node without a target sends all its requests to the owners on other nodes.

    Args:
        fleet: An empty fleet.
        nodes: Number of nodes.
        targets: Numbers of the nodes that get a target.
    """
    fleet.start_log()
    for number in range(1, nodes + 1):
        fleet.start_node(NodeSpec(number, DOMAINS[number % len(DOMAINS)]))
    for number in targets:
        target = TargetSpec(f"work-{number}", "work", SLOTS, number)
        options = ("--linger_s", "4")
        fleet.start_target(target, port=TARGET_PORT, options=options)
    fleet.wait_joined(targets=len(targets))
    fleet.publish_tables(pools=POOLS, routes=ROUTES)


def runs_by_request(fleet: Fleet, targets: Sequence[int]) -> Counter[str]:
    """Return the number of runs of each request id.

    Args:
        fleet: The fleet.
        targets: Numbers of the nodes whose targets are asked; all must be running.
    """
    runs: Counter[str] = Counter()
    for number in targets:
        page = fleet.target(number, TARGET_PORT, "/control/runs")
        runs.update(page["by_request"])
    return runs


@contextmanager
def under_load(load: Load) -> Iterator[Load]:
    """Wait for the end of the load, also if the block raises an exception."""
    try:
        yield load
    finally:
        load.wait()
