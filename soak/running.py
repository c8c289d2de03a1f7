"""One soak: a site, callers, faults by a seed, and the check of what was seen."""

import asyncio
from collections import Counter, defaultdict
from pathlib import Path
from random import Random
from typing import NamedTuple

from standin.site import CALLER_PORT, HOST, Site, open_site

from soak.calling import Connections, Outcome, send
from soak.checks import CALM_S, Seen, find_violations
from soak.faults import Chaos, inject_faults

# Requests of callers a second, over all nodes.
RATE = 60.0
WORK_S = 0.08
# Share of requests that may run once, and that ask for a route just added or dropped.
ONCE_SHARE = 0.5
EXTRA_SHARE = 0.1
# Mean pause between the starts of two faults, in seconds.
GAP_S = 0.7
# Within this time after the last fault a fleet serves each request again.
RECOVER_S = 10.0
LAST_REQUESTS = 20


class Report(NamedTuple):
    """Result of one soak.

    Attributes:
        seed: Its seed.
        violations: Broken promises, a line each.
        requests: Requests by status; 0 stands for no whole answer.
        faults: Faults by kind.
    """

    seed: int
    violations: list[str]
    requests: Counter[int]
    faults: Counter[str]


async def run_soak(
    seed: int, *, seconds: float, nodes: int = 4, folder: Path | None = None
) -> Report:
    """Run one soak.

    Args:
        seed: Seed of the faults and the requests.
        seconds: Time in which faults are started.
        nodes: Number of nodes.
        folder: Where logs go; a temporary folder if ``None``.
    """
    async with open_site(nodes=nodes, folder=folder) as site:
        chaos = Chaos(site, Random(seed))
        for target in site.target_by_node.values():
            target.service_time_s = WORK_S
        outcomes: list[Outcome] = []
        connections = Connections()
        calling = asyncio.create_task(
            _call(site, chaos, outcomes, connections, Random(seed + 1))
        )
        await inject_faults(chaos, seconds=seconds, gap_s=GAP_S)
        await asyncio.sleep(CALM_S)
        calling.cancel()
        await asyncio.wait({calling})
        problems = await _recovery(site, connections)
        connections.close()
        seen = Seen(
            outcomes,
            _runs_by_id(site),
            chaos.withdrawn_at_by_target,
            sorted(chaos.faults, key=lambda fault: fault.started_at),
            chaos.configured_at_by_path,
        )
        return Report(
            seed,
            find_violations(seen) + problems,
            Counter(outcome.status for outcome in outcomes),
            Counter(fault.kind for fault in chaos.faults),
        )


def _runs_by_id(site: Site) -> dict[str, list[tuple[str, float]]]:
    found: dict[str, list[tuple[str, float]]] = defaultdict(list)
    for target in site.target_by_node.values():
        for run in target.runs:
            found[run.request_id].append((run.target, run.at))
    return found


async def _call(
    site: Site,
    chaos: Chaos,
    outcomes: list[Outcome],
    connections: Connections,
    random: Random,
) -> None:
    """Send requests at a steady rate until cancelled, then wait for their ends."""
    tasks: set[asyncio.Task[None]] = set()
    number = 0
    try:
        while True:
            number += 1
            node = random.choice(list(site.process_by_node))
            once = random.random() < ONCE_SHARE
            path = "/book/1" if once else "/read/1"
            if random.random() < EXTRA_SHARE and chaos.configured_at_by_path:
                # The newest two: one that was just added and one that was dropped.
                path = random.choice(list(chaos.configured_at_by_path)[-2:])
                once = False
            task = asyncio.create_task(
                _call_once(site, outcomes, connections, node, path, once, f"s-{number}")
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(RATE))
    finally:
        if tasks:
            await asyncio.wait(tasks)


async def _call_once(
    site: Site,
    outcomes: list[Outcome],
    connections: Connections,
    node: int,
    path: str,
    once: bool,
    request_id: str,
) -> None:
    outcome = await send(
        connections,
        (site.host(node), CALLER_PORT),
        node=node,
        host=HOST,
        path=path,
        request_id=request_id,
        once=once,
    )
    if outcome is not None:
        outcomes.append(outcome)


async def _recovery(site: Site, connections: Connections) -> list[str]:
    """Check that each node serves again when all faults are over."""
    loop = asyncio.get_running_loop()
    until = loop.time() + RECOVER_S
    last: list[Outcome] = []
    while loop.time() < until:
        last = []
        for number in range(LAST_REQUESTS):
            node = 1 + number % len(site.process_by_node)
            request_id = f"last-{number}-{loop.time():.3f}"
            await _call_once(
                site, last, connections, node, "/read/1", False, request_id
            )
        if [outcome.status for outcome in last] == [200] * LAST_REQUESTS:
            return []
    failed = [outcome for outcome in last if outcome.status != 200]
    return [f"not served after {RECOVER_S:g} s of calm: {failed[:3]}"]
