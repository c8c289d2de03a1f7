"""A path that equals a route's prefix without its slash goes to that route."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standin"))

from fleet import OUTBOUND_PORT, Fleet, Recorder, Route, call, run_case

BOOKINGS, RECORDS = "bookings", "records"
SERVICES = [BOOKINGS, RECORDS] * 3
ORDERS = Route("r-orders", "/orders/", "unsafe", 6, 2.5, 1, BOOKINGS)
# The route that the change adds, below the other one or beside it.
BELOW, BESIDE = "/orders/archive/", "/archive/"
# "/orders/" begins these paths, "/orders/archive/" does not.
PATHS = ["/orders/archive", "/orders/archive?id={}"]
CONFIG_APPLY_S = 2.0
MARGIN_S = 1.0
REQUESTS = 60
PAUSE_S = 0.05


async def case(fleet: Fleet, recorder: Recorder, trouble: bool) -> bool:
    """Add a route; return whether each request ran at the service of its route."""
    misrouted: list[str] = []

    async def send(request_id: str, number: int, path: str, allowed: str) -> None:
        node = fleet.nodes[number % len(fleet.nodes)]
        answer = await call(
            node.host,
            OUTBOUND_PORT,
            "POST",
            path,
            {"Siskinlug-Request-Id": request_id, "Siskinlug-Deadline-Ms": "6000"},
            b"x" * 4000,
            timeout_s=6.0,
        )
        ran_by = [
            node.service for node in fleet.nodes if request_id in node.upstream.runs
        ]
        recorder.note(
            "answered", id=request_id, path=path, status=answer.status, ran_by=ran_by
        )
        if any(service != allowed for service in ran_by):
            misrouted.append(request_id)

    for number in range(len(fleet.nodes)):
        await send(f"before-{number}", number, PATHS[0], BOOKINGS)
    prefix = BELOW if trouble else BESIDE
    added = Route("r-archive", prefix, "safe", 5, 2.5, 2, RECORDS)
    fleet.configure([ORDERS, added])
    recorder.note("change acknowledged", version=fleet.version, added=prefix)
    await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
    for number in range(REQUESTS):
        path = PATHS[number % len(PATHS)].format(number)
        await send(f"order-{number:03d}", number, path, BOOKINGS)
        await send(f"archive-{number:03d}", number, f"{prefix}{number}", RECORDS)
        await asyncio.sleep(PAUSE_S)
    print(f"{len(misrouted)} of {REQUESTS} orders were run by the service {RECORDS}")
    recorder.note("run by a service that no configuration allows", ids=misrouted)
    return not misrouted


FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run_case(FOLDER, SERVICES, [ORDERS], case, trouble=TROUBLE)
