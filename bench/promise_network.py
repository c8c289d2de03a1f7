"""Simulated fleet of owners that exchange capacity reservations in virtual time.

The owners run the daemon's own code. The network loses, delays and duplicates messages,
links fail in one direction, and processes pause.
"""

import asyncio
import random as random_module
from collections.abc import Callable, Coroutine
from typing import Any

from siskinlug.ejection import (
    Ejection,
    PeerTarget,
    PoolView,
    TargetStatus,
    admit_attempt,
    answer_reservation_request,
    make_ejection,
    run_ejection,
)
from siskinlug.evidence import Outcome, make_evidence, record_outcome
from siskinlug.messages import encode
from siskinlug.reservations import ReservationAnswer, ReservationRequest

CALL_TIMEOUT_S = 0.5
POOL = "catalogue"
ROUTES = ("browse", "book")


class ReservationNetwork:
    """Simulated network between owners.

    Attributes:
        handler_by_node: Handler of reservation requests at each node.
        mean_delay_s: Mean of the exponential delay of a message, in seconds.
        answer_delay_by_node: Further delay of the answers to a node, in seconds.
        call_timeout_s: Time limit of a call in seconds.
        loss_probability: Probability that a message is lost.
        duplicate_probability: Probability that a request is delivered twice.
        cut_links: Links that lose all messages, as pairs of sender and receiver.
        paused_until: Time at which the pause of each node ends.
        call_count: Number of calls.
        body_bytes: Bytes of requests and answers, without HTTP.
    """

    def __init__(self, random: random_module.Random) -> None:
        self.random = random
        self.handler_by_node: dict[
            str, Callable[[ReservationRequest], ReservationAnswer]
        ] = {}
        self.mean_delay_s = 0.002
        self.answer_delay_by_node: dict[str, float] = {}
        self.call_timeout_s = CALL_TIMEOUT_S
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        self.cut_links: set[tuple[str, str]] = set()
        self.paused_until: dict[str, float] = {}
        self.call_count = 0
        self.body_bytes = 0
        self._pending_deliveries: set[asyncio.Future] = set()

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, node: str, seconds: float) -> None:
        """Sleep, and then wait until the node is no longer paused."""
        await asyncio.sleep(seconds)
        await self._wait_while_paused(node)

    async def call(
        self, sender: str, receiver: str, request: ReservationRequest
    ) -> ReservationAnswer | None:
        """Send a request and return the answer, or None if none arrives in time."""
        self.call_count += 1
        if self.random.random() < self.duplicate_probability:
            self._start_delivery(self._deliver(sender, receiver, request, extra_s=2.0))
        delivery = self._start_delivery(self._deliver(sender, receiver, request))
        done, _ = await asyncio.wait({delivery}, timeout=self.call_timeout_s)
        await self._wait_while_paused(sender)
        return delivery.result() if done else None

    async def _deliver(
        self,
        sender: str,
        receiver: str,
        request: ReservationRequest,
        *,
        extra_s: float = 0.0,
    ) -> ReservationAnswer | None:
        await self._traverse_link(sender, receiver, extra_s)
        await self._wait_while_paused(receiver)
        answer = self.handler_by_node[receiver](request)
        self.body_bytes += len(encode(request)) + len(encode(answer))
        await asyncio.sleep(self.answer_delay_by_node.get(sender, 0.0))
        await self._traverse_link(receiver, sender, 0.0)
        return answer

    async def _traverse_link(self, sender: str, receiver: str, extra_s: float) -> None:
        if sender == receiver:
            return
        delay_s = self.random.expovariate(1.0) * self.mean_delay_s
        await asyncio.sleep(delay_s + self.random.random() * extra_s)
        link = (sender, receiver)
        if link in self.cut_links or self.random.random() < self.loss_probability:
            await asyncio.Event().wait()

    async def _wait_while_paused(self, node: str) -> None:
        while (left := self.paused_until.get(node, 0.0) - self.now()) > 0:
            await asyncio.sleep(left)

    def _start_delivery(
        self, coroutine: Coroutine[Any, Any, ReservationAnswer | None]
    ) -> asyncio.Future:
        task = asyncio.ensure_future(coroutine)
        self._pending_deliveries.add(task)
        task.add_done_callback(self._pending_deliveries.discard)
        return task


class OwnedTarget:
    """One target with its faults, and its owner.

    Attributes:
        slots: Requests that the target serves at a time.
        ready: Whether the target is ready.
        error_ratio_by_route: Fraction of the requests of each route that fail.
        hard: Whether requests fail at the connection, and probes with them.
        slowdown: Factor of the usual service time.
        ejection: Ejection state of the owner.
        ejection_task: Task that runs the ejection.
        events: Recorded events as time, kind and detail.
    """

    def __init__(self, number: int, slots: int) -> None:
        self.target = f"t{number}"
        self.node = f"n{number}"
        self.slots = slots
        self.ready = True
        self.error_ratio_by_route = dict.fromkeys(ROUTES, 0.0)
        self.hard = False
        self.slowdown = 1.0
        self.ejection: Ejection
        self.ejection_task: asyncio.Future
        self.events: list[tuple[float, str, str]] = []

    def fail_requests(self, error_ratio: float, *, hard: bool = False) -> None:
        """Fail a fraction of the requests of every route."""
        self.error_ratio_by_route = dict.fromkeys(ROUTES, error_ratio)
        self.hard = hard

    def recover(self) -> None:
        """Serve all requests without errors at the usual speed."""
        self.fail_requests(0.0)
        self.slowdown = 1.0


class ReservationFleet:
    """Targets of one pool, each with an owner of its own.

    Attributes:
        floor_slots: Healthy slots that an ejection must leave in the pool.
        targets: All targets.
        median_service_s: Median service time of a healthy target in seconds.
        baseline_s: Baseline service time passed to the owners in seconds, if known.
    """

    def __init__(
        self, *, targets: int, slots: int, floor_slots: int, seed: int
    ) -> None:
        self.random = random_module.Random(seed)
        self.network = ReservationNetwork(self.random)
        self.floor_slots = floor_slots
        self.targets = [OwnedTarget(number, slots) for number in range(targets)]
        self.median_service_s = 0.02
        self.baseline_s: float | None = 0.02

    def start(self) -> None:
        """Start all owners as if they had owned their targets for a long time."""
        for owned in self.targets:
            self.assign_owner(owned)
            owned.ejection.owned_since = -1e9

    def assign_owner(self, owned: OwnedTarget) -> None:
        """Give a target a new owner without the state of the previous one."""
        if hasattr(owned, "ejection_task"):
            owned.ejection_task.cancel()
        now, network = self.network.now, self.network
        ejection = make_ejection(
            target=owned.target,
            node=owned.node,
            evidence=make_evidence(monotonic=now),
            status=lambda: TargetStatus(owned.ready, {POOL: owned.slots}),
            monotonic=now,
            random=self.random,
        )
        owned.ejection = ejection
        network.handler_by_node[owned.node] = lambda request: (
            answer_reservation_request({owned.target: ejection}, request)
        )

        async def probe() -> bool:
            await network.sleep(owned.node, 0.025)
            return not owned.hard

        owned.ejection_task = asyncio.ensure_future(
            run_ejection(
                ejection,
                pools=lambda: [self._pool_view(owned)],
                send_reservation_request=lambda node, request: network.call(
                    owned.node, node, request
                ),
                probe=probe,
                record_event=lambda kind, detail: owned.events.append(
                    (now(), kind, detail)
                ),
                on_change=lambda: None,
                sleep=lambda seconds: network.sleep(owned.node, seconds),
            )
        )

    async def run_traffic(self, seconds: float, on_step: Callable[[], None]) -> None:
        """Send 10 requests/s to each target.

        Args:
            seconds: Duration in seconds.
            on_step: Called every 50 ms.
        """
        end = self.network.now() + seconds
        step = 0
        while self.network.now() < end:
            await asyncio.sleep(0.05)
            step += 1
            for owned in self.targets if step % 2 else ():
                self.send_request(owned, ROUTES[(step // 2) % len(ROUTES)])
            for owned in self.targets:
                if owned.ejection_task.done():
                    owned.ejection_task.result()
            on_step()

    def send_request(self, owned: OwnedTarget, route: str) -> None:
        """Send a request; owners that are paused or refuse it record no outcome."""
        paused = self.network.paused_until.get(owned.node, 0.0) > self.network.now()
        if paused or not owned.ready or not admit_attempt(owned.ejection, route):
            return
        ok = self.random.random() >= owned.error_ratio_by_route[route]
        service_s = (
            self.median_service_s
            * owned.slowdown
            * self.random.lognormvariate(0.0, 0.3)
        )
        outcome = Outcome(route, ok, owned.hard and not ok, service_s, self.baseline_s)
        record_outcome(owned.ejection.evidence, outcome)

    async def stop(self) -> None:
        """Stop the ejection tasks of all owners."""
        tasks = [owned.ejection_task for owned in self.targets]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _pool_view(self, owned: OwnedTarget) -> PoolView:
        peers = [
            PeerTarget(other.target, other.node, other.slots)
            for other in self.targets
            if other is not owned
        ]
        return PoolView(POOL, self.floor_slots, frozenset(ROUTES), peers)
