"""Measure the calls and bytes of capacity reservations while a target is ejected.

``python -m bench.promise_cost`` runs pools of several sizes in virtual time, each with
one dead target and a floor of half of the slots.
"""

import resource
import time
from collections.abc import Sequence
from typing import NamedTuple

from bench.promise_network import ReservationFleet
from bench.virtual_time import run_virtual

POOL_SIZES = (8, 12, 43)
EJECTED_S = 20.0
# Start lines and headers of a request and its response by tornado's HTTP client.
HTTP_BYTES_PER_CALL = 400
LOCAL_BYTES_LIMIT = 8192


class EjectionCost(NamedTuple):
    """Cost of the reservations for one ejection.

    Attributes:
        targets: Number of targets in the pool.
        initial_calls: Calls until one second after the failure, when the ejection is
            in force.
        calls_per_s: Calls per second while the ejection is in force.
        bytes_per_s: Bytes per second at the holder, including HTTP headers.
        calls_per_s_per_grantor: Mean calls per second to each grantor.
        release_calls: Calls that release the reservations in the end.
    """

    targets: int
    initial_calls: int
    calls_per_s: float
    bytes_per_s: float
    calls_per_s_per_grantor: float
    release_calls: int


async def _measure_ejection(targets: int) -> EjectionCost:
    slots = 4
    fleet = ReservationFleet(
        targets=targets, slots=slots, floor_slots=targets * slots // 2, seed=1
    )
    fleet.start()
    network, dead = fleet.network, fleet.targets[0]
    await fleet.run_traffic(3.0, lambda: None)
    dead.fail_requests(1.0, hard=True)
    await fleet.run_traffic(1.0, lambda: None)
    initial_calls = network.call_count
    body_bytes = network.body_bytes
    await fleet.run_traffic(EJECTED_S, lambda: None)
    calls = network.call_count - initial_calls
    bytes_per_s = (
        network.body_bytes - body_bytes + calls * HTTP_BYTES_PER_CALL
    ) / EJECTED_S
    grantors = len(dead.ejection.active_by_scope["*"].held_by_key)
    await fleet.stop()
    calls_per_s = calls / EJECTED_S
    return EjectionCost(
        targets,
        initial_calls,
        calls_per_s,
        bytes_per_s,
        calls_per_s / grantors,
        grantors,
    )


def measure_costs(sizes: Sequence[int] = POOL_SIZES) -> list[EjectionCost]:
    """Measure the cost of an ejection in pools of several sizes."""
    return [run_virtual(_measure_ejection(size)) for size in sizes]


def main() -> None:
    """Print the cost for each pool size, and the resources of this process."""
    started = time.process_time()
    print("targets  first  calls/s  bytes/s  calls/s at grantor  releases")
    for cost in measure_costs():
        print(
            f"{cost.targets:7}  {cost.initial_calls:5}  {cost.calls_per_s:7.1f}  "
            f"{cost.bytes_per_s:7.0f}  {cost.calls_per_s_per_grantor:18.2f}  "
            f"{cost.release_calls:8}"
        )
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"processor {time.process_time() - started:.1f} s, memory {peak_mb:.0f} MB")


if __name__ == "__main__":
    main()
