"""One soak: a site, callers, faults by a seed, and the check of what was seen."""

import asyncio
from collections import Counter, defaultdict
from pathlib import Path
from random import Random
from typing import NamedTuple

from standin.site import CALLER_PORT, HOST, Site, open_site

from soak.callers import ConnectionPool, RequestOutcome, send_request
from soak.checks import CALM_S, SoakRecord, find_violations
from soak.faults import FaultContext, inject_faults

# Requests of callers a second, over all nodes.
REQUESTS_PER_S = 60.0
SERVICE_TIME_S = 0.08
# Share of requests that may run once, and that ask for a route just added or dropped.
AT_MOST_ONCE_SHARE = 0.5
EXTRA_SHARE = 0.1
# Mean pause between the starts of two faults, in seconds.
MEAN_FAULT_GAP_S = 0.7
# Within this time after the last fault a fleet serves each request again.
RECOVERY_S = 10.0
RECOVERY_REQUESTS = 20


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
        context = FaultContext(site, Random(seed))
        for target in site.target_by_node.values():
            target.work_s = SERVICE_TIME_S
        outcomes: list[RequestOutcome] = []
        connection_pool = ConnectionPool()
        calling = asyncio.create_task(
            _send_requests(site, context, outcomes, connection_pool, Random(seed + 1))
        )
        await inject_faults(context, seconds=seconds, gap_s=MEAN_FAULT_GAP_S)
        await asyncio.sleep(CALM_S)
        calling.cancel()
        await asyncio.wait({calling})
        problems = await _check_recovery(site, connection_pool)
        connection_pool.close()
        record = SoakRecord(
            outcomes,
            _runs_by_id(site),
            context.withdrawn_at_by_target,
            sorted(context.faults, key=lambda fault: fault.started_at),
            context.configured_at_by_path,
        )
        return Report(
            seed,
            find_violations(record) + problems,
            Counter(outcome.status for outcome in outcomes),
            Counter(fault.kind for fault in context.faults),
        )


def _runs_by_id(site: Site) -> dict[str, list[tuple[str, float]]]:
    found: dict[str, list[tuple[str, float]]] = defaultdict(list)
    for target in site.target_by_node.values():
        for run in target.runs:
            found[run.request_id].append((run.target, run.at))
    return found


async def _send_requests(
    site: Site,
    context: FaultContext,
    outcomes: list[RequestOutcome],
    connection_pool: ConnectionPool,
    random: Random,
) -> None:
    """Send requests at a steady rate until cancelled, then wait for their ends."""
    tasks: set[asyncio.Task[None]] = set()
    number = 0
    try:
        while True:
            number += 1
            node = random.choice(list(site.process_by_node))
            at_most_once = random.random() < AT_MOST_ONCE_SHARE
            path = "/book/1" if at_most_once else "/read/1"
            if random.random() < EXTRA_SHARE and context.configured_at_by_path:
                # The newest two: one that was just added and one that was dropped.
                path = random.choice(list(context.configured_at_by_path)[-2:])
                at_most_once = False
            task = asyncio.create_task(
                _send_and_record(
                    site,
                    outcomes,
                    connection_pool,
                    node,
                    path,
                    at_most_once,
                    f"s-{number}",
                )
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    finally:
        if tasks:
            await asyncio.wait(tasks)


async def _send_and_record(
    site: Site,
    outcomes: list[RequestOutcome],
    connection_pool: ConnectionPool,
    node: int,
    path: str,
    at_most_once: bool,
    request_id: str,
) -> None:
    outcome = await send_request(
        connection_pool,
        (site.host(node), CALLER_PORT),
        node=node,
        host=HOST,
        path=path,
        request_id=request_id,
        at_most_once=at_most_once,
    )
    if outcome is not None:
        outcomes.append(outcome)


async def _check_recovery(site: Site, connection_pool: ConnectionPool) -> list[str]:
    """Check that each node serves again when all faults are over."""
    loop = asyncio.get_running_loop()
    until = loop.time() + RECOVERY_S
    last: list[RequestOutcome] = []
    while loop.time() < until:
        last = []
        for number in range(RECOVERY_REQUESTS):
            node = 1 + number % len(site.process_by_node)
            request_id = f"last-{number}-{loop.time():.3f}"
            await _send_and_record(
                site, last, connection_pool, node, "/read/1", False, request_id
            )
        if [outcome.status for outcome in last] == [200] * RECOVERY_REQUESTS:
            return []
    failed = [outcome for outcome in last if outcome.status != 200]
    return [f"not served after {RECOVERY_S:g} s of calm: {failed[:3]}"]
