"""Cost of stay-in promises: messages and bytes while one target is ejected.

``python -m bench.promise_cost`` runs pools of several sizes in virtual time with one
dead target and a floor of half of the slots.
"""

import resource
import time
from collections.abc import Sequence
from typing import NamedTuple

from bench.promise_network import ReservationFleet
from bench.virtual_time import run_virtual

SIZES = (8, 12, 43)
EJECTED_S = 20.0
# Request line, status line and headers of one call, as tornado's client writes them.
HTTP_BYTES = 400
LOCAL_BYTES_LIMIT = 8192


class Cost(NamedTuple):
    """Cost of one ejection in a pool.

    Attributes:
        targets: Targets in the pool.
        asked: Calls in the first second, after which the ejection is in force.
        calls_s: Calls a second while it is in force, each a request and an answer.
        bytes_s: Bytes a second at the holder, bodies and about 400 for HTTP a call.
        giver_calls_s: Calls a second at one giver, on average.
        release: Calls at the end.
    """

    targets: int
    asked: int
    calls_s: float
    bytes_s: float
    giver_calls_s: float
    release: int


async def _eject_one(targets: int) -> Cost:
    slots = 4
    fleet = ReservationFleet(
        targets=targets, slots=slots, floor_slots=targets * slots // 2, seed=1
    )
    fleet.start()
    network, dead = fleet.network, fleet.targets[0]
    await fleet.run_traffic(3.0, lambda: None)
    dead.fail_requests(1.0, hard=True)
    await fleet.run_traffic(1.0, lambda: None)
    asked = network.call_count
    body_bytes = network.body_bytes
    await fleet.run_traffic(EJECTED_S, lambda: None)
    calls = network.call_count - asked
    bytes_s = (network.body_bytes - body_bytes + calls * HTTP_BYTES) / EJECTED_S
    givers = len(dead.ejection.active_by_scope["*"].held_by_key)
    await fleet.stop()
    calls_s = calls / EJECTED_S
    return Cost(targets, asked, calls_s, bytes_s, calls_s / givers, givers)


def costs(sizes: Sequence[int] = SIZES) -> list[Cost]:
    """Measure pools of several sizes."""
    return [run_virtual(_eject_one(size)) for size in sizes]


def main() -> None:
    """Print one line for each size."""
    started = time.process_time()
    print("targets  asked  calls/s  bytes/s  calls/s at a giver  releases")
    for cost in costs():
        print(
            f"{cost.targets:7}  {cost.asked:5}  {cost.calls_s:7.1f}  "
            f"{cost.bytes_s:7.0f}  {cost.giver_calls_s:18.2f}  {cost.release:8}"
        )
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"processor {time.process_time() - started:.1f} s, memory {peak_mb:.0f} MB")


if __name__ == "__main__":
    main()
