"""Run of one soak: a site under load and seeded faults, then the checks."""

import asyncio
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path
from random import Random
from typing import NamedTuple

from standin.site import CALLER_PORT, HOST, Site, open_site
from standin.target import Run

from soak.callers import (
    ConnectionPool,
    RequestBody,
    RequestOutcome,
    send_request,
)
from soak.checks import FAULT_EFFECT_S, SoakRecord, find_violations
from soak.faults import FaultContext, inject_faults

# Request rate of all callers together.
REQUESTS_PER_S = 60.0
SERVICE_TIME_S = 0.08
AT_MOST_ONCE_SHARE = 0.5
# Share of requests for a route that was just added or removed.
EXTRA_ROUTE_SHARE = 0.1
# Share of the requests with a body that have a long one, and the sizes of these.
LONG_BODY_SHARE = 0.15
LONG_BODY_BYTES = (70_000, 150_000, 300_000, 600_000)
SHORT_BODY = RequestBody(20, is_chunked=False)
MEAN_FAULT_GAP_S = 0.7
# Time after the effects of the last fault within which every request is served again.
RECOVERY_S = 10.0
RECOVERY_REQUESTS = 20


class Report(NamedTuple):
    """Result of one soak.

    Attributes:
        seed: Seed of the soak.
        violations: One line for each violated guarantee.
        requests: Number of requests by status; 0 without a complete response.
        faults: Number of faults by kind.
    """

    seed: int
    violations: list[str]
    requests: Counter[int]
    faults: Counter[str]


async def run_soak(
    seed: int,
    *,
    seconds: float,
    nodes: int = 4,
    load: float = 1.0,
    planned_only: bool = False,
    folder: Path | None = None,
) -> Report:
    """Run one soak.

    Args:
        seed: Seed of the faults and the requests.
        seconds: Time in which faults start.
        nodes: Number of nodes.
        load: Multiple of the usual rates of requests and faults.
        planned_only: Whether there is only planned work, without any faults.
        folder: Folder of the logs; a temporary folder if ``None``.
    """
    async with open_site(nodes=nodes, folder=folder) as site:
        context = FaultContext(site, Random(seed), planned_only=planned_only)
        for target in site.target_by_node.values():
            target.service_time_s = SERVICE_TIME_S
        outcomes: list[RequestOutcome] = []
        connection_pool = ConnectionPool()
        sender = asyncio.create_task(
            _send_requests(
                site,
                context,
                outcomes,
                connection_pool,
                Random(seed + 1),
                per_s=load * REQUESTS_PER_S,
            )
        )
        await inject_faults(context, seconds=seconds, gap_s=MEAN_FAULT_GAP_S / load)
        await asyncio.sleep(FAULT_EFFECT_S)
        sender.cancel()
        await asyncio.wait({sender})
        recovery_violations = [
            *await _check_newest_configuration(context, connection_pool),
            *await _check_recovery(site, connection_pool),
        ]
        connection_pool.close()
        record = SoakRecord(
            outcomes,
            _group_by_id(run for t in site.target_by_node.values() for run in t.runs),
            context.withdrawn_at_by_target,
            sorted(context.faults, key=lambda fault: fault.started_at),
            context.configured_at_by_path,
            _group_by_id(
                run for t in site.target_by_node.values() for run in t.arrivals
            ),
            context.limits,
            context.said_leaving_at_by_target,
            _group_by_id(
                run for t in site.target_by_node.values() for run in t.finishes
            ),
        )
        if folder is not None:
            _write_record(folder / "record.txt", record)
        return Report(
            seed,
            find_violations(record) + recovery_violations,
            Counter(outcome.status for outcome in outcomes),
            Counter(fault.kind for fault in context.faults),
        )


def _write_record(path: Path, record: SoakRecord) -> None:
    """Write the faults and the requests of a soak in the order of their start."""
    # Logs have the time of day.
    offset_s = time.time() - asyncio.get_running_loop().time()
    lines = [
        *((f.started_at, str(f)) for f in record.faults),
        *((o.sent_at, str(o)) for o in record.outcomes),
    ]
    text = "\n".join(line for _, line in sorted(lines))
    path.write_text(f"Unix time is {offset_s:.3f} s more\n{text}\n")


def _group_by_id(runs: Iterable[Run]) -> dict[str, list[tuple[str, float]]]:
    """Return target and time of each run or arrival, by request id."""
    runs_by_id: dict[str, list[tuple[str, float]]] = defaultdict(list)
    for run in runs:
        runs_by_id[run.request_id].append((run.target, run.at))
    return runs_by_id


async def _send_requests(
    site: Site,
    context: FaultContext,
    outcomes: list[RequestOutcome],
    connection_pool: ConnectionPool,
    random: Random,
    *,
    per_s: float,
) -> None:
    """Send requests at random intervals until cancelled, then wait for their ends."""
    tasks: set[asyncio.Task[None]] = set()
    number = 0
    try:
        while True:
            number += 1
            node = random.choice(list(site.process_by_node))
            at_most_once = random.random() < AT_MOST_ONCE_SHARE
            path = "/book/1" if at_most_once else "/read/1"
            if random.random() < EXTRA_ROUTE_SHARE and context.configured_at_by_path:
                # Of the two newest routes, one was just added and one just removed.
                path = random.choice(list(context.configured_at_by_path)[-2:])
                at_most_once = False
            body = _draw_body(random) if at_most_once else None
            task = asyncio.create_task(
                _send_and_record(
                    site,
                    outcomes,
                    connection_pool,
                    node,
                    path,
                    at_most_once,
                    f"s-{number}",
                    body,
                )
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))
    finally:
        if tasks:
            await asyncio.wait(tasks)


def _draw_body(random: Random) -> RequestBody:
    """Draw the body of a request, short or long."""
    if random.random() >= LONG_BODY_SHARE:
        return SHORT_BODY
    return RequestBody(random.choice(LONG_BODY_BYTES), random.random() < 0.5)


async def _send_and_record(
    site: Site,
    outcomes: list[RequestOutcome],
    connection_pool: ConnectionPool,
    node: int,
    path: str,
    at_most_once: bool,
    request_id: str,
    body: RequestBody | None = None,
) -> None:
    outcome = await send_request(
        connection_pool,
        (site.host(node), CALLER_PORT),
        node=node,
        host=HOST,
        path=path,
        request_id=request_id,
        at_most_once=at_most_once,
        body=body,
    )
    if outcome is not None:
        outcomes.append(outcome)


async def _check_newest_configuration(
    context: FaultContext, connection_pool: ConnectionPool
) -> list[str]:
    """Check that only the newest extra route is in force on each node.

    Returns:
        One line for each node with another configuration.
    """
    newest_first = reversed(list(context.configured_at_by_path)[-2:])
    violations = []
    for path, wrong_status in zip(newest_first, (404, 200), strict=False):
        outcomes: list[RequestOutcome] = []
        for node in context.site.process_by_node:
            request_id = f"newest-{node}-{path}"
            await _send_and_record(
                context.site, outcomes, connection_pool, node, path, False, request_id
            )
        violations += [
            f"another configuration in force at the end: {outcome}"
            for outcome in outcomes
            if outcome.status == wrong_status
        ]
    return violations


async def _check_recovery(site: Site, connection_pool: ConnectionPool) -> list[str]:
    """Check that each node serves requests again after the faults.

    Returns:
        One line with the failed requests of the last round; nothing if all were served.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + RECOVERY_S
    outcomes: list[RequestOutcome] = []
    while loop.time() < until:
        outcomes = []
        for number in range(RECOVERY_REQUESTS):
            node = 1 + number % len(site.process_by_node)
            request_id = f"last-{number}-{loop.time():.3f}"
            await _send_and_record(
                site, outcomes, connection_pool, node, "/read/1", False, request_id
            )
        if [outcome.status for outcome in outcomes] == [200] * RECOVERY_REQUESTS:
            return []
    failed = [outcome for outcome in outcomes if outcome.status != 200]
    return [f"not served within {RECOVERY_S:g} s after the faults: {failed[:3]}"]
