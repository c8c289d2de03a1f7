"""Replay of recorded traces in virtual time with the daemon's own modules.

A trace holds arrivals with their service times, and faults by target, route and time.
Load balancing, admission, retries and service times are the daemon's modules; targets,
hops between nodes and callers are simple fakes. There are no nodes, no membership and
no messages.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from contextlib import AbstractAsyncContextManager
from random import Random
from typing import Any, NamedTuple, Protocol

from returns.result import Failure, Result

from bench.trace import Arrival, Fault, Trace
from bench.virtual_time import run_virtual
from siskinlug.admission import Ticket, make_admission, open_slot
from siskinlug.load import LoadReport
from siskinlug.load_balancing import Candidate, LoadBalancer, make_load_balancer
from siskinlug.retries import earn_credit, make_retry_budget, may_retry
from siskinlug.service_times import (
    is_long_work,
    make_service_times,
    median_service_s,
    observe_service_time,
)
from siskinlug.tables import Route
from siskinlug.verdict import Reason, Refusal, may_have_run, not_run


class Answer(NamedTuple):
    """Result of one run at a target; the status is ``None`` without a response."""

    status: int | None
    service_s: float
    shed: bool = False
    connection_failed: bool = False


class FinishedAttempt(NamedTuple):
    """A finished attempt, as seen by its entry and its owner."""

    at: float
    entry: int
    target: str
    arrival: Arrival
    answer: Answer


class FinishedRequest(NamedTuple):
    """A finished request.

    Attributes:
        arrival: The request.
        useful: Whether it was served before its deadline.
        latency_s: Time from its arrival to its end.
        target: Target of its last attempt; empty without one.
        attempts: Number of its attempts.
        refusal: Why it was not served; ``None`` if it was.
        finished_at_s: Virtual time of its end.
    """

    arrival: Arrival
    useful: bool
    latency_s: float
    target: str
    attempts: int
    refusal: Refusal | None
    finished_at_s: float


class SlotLike(Protocol):
    """Interface of a slot that the replay uses."""

    def record_outcome(self, status: int | None, service_s: float, shed: bool) -> None:
        """Record how the attempt ended."""


OpenSlot = Callable[[Any, Ticket], AbstractAsyncContextManager[Result[Any, Refusal]]]


class Policy(NamedTuple):
    """The daemon's policies under test; each baseline replaces some of them.

    Attributes:
        name: Name of the policy in figures.
        make_load_balancer: Makes the load balancer of an entry.
        make_admission: Makes the admission of a target.
        open_slot: Waits for a slot of a target.
        load_report: Returns the load report of an admission, if it has one.
        reserve_slots_for_short_work: Whether long work is treated apart from short
            work, for which some slots are reserved.
    """

    name: str = "siskinlug"
    make_load_balancer: Callable[..., LoadBalancer] = make_load_balancer
    make_admission: Callable[..., Any] = make_admission
    open_slot: OpenSlot = open_slot
    load_report: Callable[[Any], LoadReport | None] = lambda admission: (
        admission.report()
    )
    reserve_slots_for_short_work: bool = True


class Hooks(NamedTuple):
    """Callbacks for evidence and ejection.

    Attributes:
        on_answer: Called for every attempt that reached a target.
        is_ejected: Whether a target is ejected for a route.
        background: Task run beside the replay, such as ejection or probes.
    """

    on_answer: Callable[[FinishedAttempt], None] = lambda attempt: None
    is_ejected: Callable[[str, str], bool] = lambda target, route: False
    background: Callable[["Replay"], Coroutine[Any, Any, None]] | None = None


SISKINLUG = Policy()
NO_HOOKS = Hooks()


class FakeTarget:
    """A target with slots and faults, which sheds requests beyond its slots."""

    def __init__(
        self, name: str, slots: int, faults: Iterable[Fault], random: Random
    ) -> None:
        self.name = name
        self.slots = slots
        self.faults = [fault for fault in faults if fault.target == name]
        self.random = random
        self.running = 0
        self.max_running = 0
        self.runs = 0

    def active_effects(self, arrival: Arrival, now: float) -> dict[str, Fault]:
        """Return the faults that apply to a request now, by effect."""
        return {
            fault.effect: fault
            for fault in self.faults
            if fault.start_s <= now < fault.end_s
            and fault.route in ("*", arrival.route)
            and arrival.account.startswith(fault.account_prefix)
            and (fault.ratio >= 1.0 or self.random.random() < fault.ratio)
        }

    async def run(self, arrival: Arrival) -> Answer:
        """Run one request and return its result."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        effects = self.active_effects(arrival, started_at)
        if "refuse" in effects:
            return Answer(None, 0.0, connection_failed=True)
        if "shed" in effects or self.running >= self.slots:
            return Answer(503, 0.0, shed=True)
        self.running += 1
        self.runs += 1
        self.max_running = max(self.max_running, self.running)
        try:
            if "silent" in effects:
                await asyncio.sleep(3600)
            slow = effects["slow"].factor if "slow" in effects else 1.0
            await asyncio.sleep(arrival.service_s * slow)
        finally:
            self.running -= 1
        return Answer(500 if "error" in effects else 200, loop.time() - started_at)


class Replay:
    """One run of a trace."""

    def __init__(self, trace: Trace, policy: Policy, hooks: Hooks, seed: int) -> None:
        self.trace = trace
        self.policy = policy
        self.hooks = hooks
        self.loop = asyncio.get_running_loop()
        fleet = trace.fleet
        random = Random(seed)
        names = [f"t{i:02}" for i in range(fleet.targets)]
        self.failure_domain_by_target = {
            n: i % fleet.domains for i, n in enumerate(names)
        }
        self.target_by_name = {
            n: FakeTarget(n, fleet.slots, trace.faults, Random(random.random()))
            for n in names
        }
        self.admission_by_target = {
            n: policy.make_admission(
                target=n,
                slots=fleet.slots,
                queue=fleet.queue,
                queue_wait_s=fleet.queue_wait_s,
                monotonic=self.loop.time,
                random=Random(random.random()),
            )
            for n in names
        }
        self.entries = [
            _Entry(self, i, Random(random.random())) for i in range(fleet.targets)
        ]
        self.random = random
        self.finished_requests: list[FinishedRequest] = []

    def load_report(self, target: str) -> LoadReport | None:
        """Return the load report of a target's owner."""
        return self.policy.load_report(self.admission_by_target[target])

    async def run(self) -> None:
        """Send all requests at their arrival times and wait for their ends."""
        background = None
        if self.hooks.background is not None:
            background = asyncio.create_task(self.hooks.background(self))
        async with asyncio.TaskGroup() as group:
            for arrival in self.trace.arrivals:
                await asyncio.sleep(arrival.at - self.loop.time())
                entry = self.random.choice(self.entries)
                group.create_task(entry.serve(arrival))
        if background is not None:
            background.cancel()
            await asyncio.gather(background, return_exceptions=True)


class _Entry:
    """An entry, which selects targets, reaches owners after a hop, and retries."""

    def __init__(self, replay: Replay, number: int, random: Random) -> None:
        self.replay = replay
        self.number = number
        clock = replay.loop.time
        self.domain = number % replay.trace.fleet.domains
        self.select_target = replay.policy.make_load_balancer(random=random)
        self.service_times = make_service_times(monotonic=clock)
        self.budget = make_retry_budget(monotonic=clock)
        self.load_by_target: dict[str, tuple[LoadReport, float]] = {}

    def _distance_to(self, target: str) -> int:
        if int(target[1:]) == self.number:
            return 0
        return 1 if self.replay.failure_domain_by_target[target] == self.domain else 2

    def _candidates(self, route: str, tried: set[str]) -> list[Candidate]:
        now = self.replay.loop.time()
        slots = self.replay.trace.fleet.slots
        found = []
        for target in self.replay.target_by_name:
            if self.replay.hooks.is_ejected(target, route) or target in tried:
                continue
            load, at = self.load_by_target.get(target, (None, now))
            if int(target[1:]) == self.number:
                # Entry and owner are one process, so the load is current.
                load, at = self.replay.load_report(target), now
            found.append(
                Candidate(
                    target,
                    target,
                    self._distance_to(target),
                    1.0,
                    slots,
                    load,
                    now - at,
                )
            )
        return found

    async def serve(self, arrival: Arrival) -> None:
        """Serve one request of a caller and record its end."""
        loop = self.replay.loop
        client_s = self.replay.trace.fleet.client_s
        deadline = arrival.at + arrival.deadline_s
        target, attempts = "", 0
        refusal: Refusal | None = None
        route = Route(
            arrival.route, "*", "/", (), "pool", idempotent=arrival.idempotent
        )
        tried: set[str] = set()
        long_work = arrival.work == "long" or (
            arrival.work == "learned"
            and is_long_work(self.service_times, arrival.route)
        )
        long_work = long_work and self.replay.policy.reserve_slots_for_short_work
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(client_s)
                while True:
                    chosen = self.select_target(
                        self._candidates(arrival.route, tried), long_work=long_work
                    )
                    if chosen is None:
                        refusal = refusal or not_run(Reason.NO_TARGET)
                        break
                    target, attempts = chosen.target, attempts + 1
                    refusal = await self._attempt(chosen, arrival, long_work, deadline)
                    if refusal is None:
                        earn_credit(self.budget)
                        break
                    tried.add(target)
                    if not may_retry(
                        route,
                        refusal,
                        attempt=attempts,
                        now=loop.time(),
                        deadline=deadline,
                        expected_s=median_service_s(self.service_times, arrival.route),
                        budget=self.budget,
                    ):
                        break
                await asyncio.sleep(client_s)
        except TimeoutError:
            refusal = may_have_run(Reason.DEADLINE)
        self.replay.finished_requests.append(
            FinishedRequest(
                arrival,
                refusal is None,
                loop.time() - arrival.at,
                target,
                attempts,
                refusal,
                loop.time(),
            )
        )

    async def _attempt(
        self, chosen: Candidate, arrival: Arrival, long_work: bool, deadline: float
    ) -> Refusal | None:
        replay = self.replay
        hop_s = (0.0, replay.trace.fleet.hop_s / 3, replay.trace.fleet.hop_s)
        ticket = Ticket(
            "attempt",
            arrival.route,
            arrival.account,
            arrival.priority,
            long_work,
            deadline,
        )
        admission = replay.admission_by_target[chosen.target]
        await asyncio.sleep(hop_s[chosen.distance])
        async with replay.policy.open_slot(admission, ticket) as result:
            if isinstance(result, Failure):
                refusal: Refusal | None = result.failure()
            else:
                slot: SlotLike = result.unwrap()
                refusal = await self._run_at_target(slot, chosen.target, arrival)
        load = replay.load_report(chosen.target)
        await asyncio.sleep(hop_s[chosen.distance])
        if load is not None:
            self.load_by_target[chosen.target] = load, replay.loop.time()
        return refusal

    async def _run_at_target(
        self, slot: SlotLike, target: str, arrival: Arrival
    ) -> Refusal | None:
        replay = self.replay
        started_at = replay.loop.time()
        try:
            answer = await replay.target_by_name[target].run(arrival)
        except asyncio.CancelledError:
            answer = Answer(None, replay.loop.time() - started_at)
            raise
        finally:
            slot.record_outcome(answer.status, answer.service_s, answer.shed)
            replay.hooks.on_answer(
                FinishedAttempt(
                    replay.loop.time(), self.number, target, arrival, answer
                )
            )
        if answer.connection_failed:
            return not_run(Reason.TARGET_UNREACHABLE)
        if answer.shed:
            return not_run(Reason.TARGET_SHED)
        if answer.status != 200:
            return may_have_run(Reason.TARGET_RESET)
        observe_service_time(self.service_times, arrival.route, answer.service_s)
        return None


def replay(
    trace: Trace, *, policy: Policy = SISKINLUG, hooks: Hooks = NO_HOOKS, seed: int = 1
) -> Replay:
    """Replay a trace in virtual time.

    Args:
        trace: Arrivals and faults.
        policy: Policies under test; the daemon's own by default.
        hooks: Callbacks for evidence and ejection.
        seed: Seed of all random sources.

    Returns:
        The finished run, with one ``FinishedRequest`` for each arrival.
    """

    async def main() -> Replay:
        run = Replay(trace, policy, hooks, seed)
        await run.run()
        return run

    return run_virtual(main())


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile by nearest rank, or 0 without values."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def summarize(run: Replay) -> dict[str, float]:
    """Return the measures for which a trace may state bounds."""
    useful = [done for done in run.finished_requests if done.useful]
    refused = [
        done.refusal for done in run.finished_requests if done.refusal is not None
    ]
    fleet = run.trace.fleet
    return {
        "arrivals": len(run.trace.arrivals),
        "ended": len(run.finished_requests),
        "useful": len(useful),
        "refused_not_run": sum(r.verdict.value == "not-run" for r in refused),
        "may_have_run": sum(r.verdict.value == "may-have-run" for r in refused),
        "p99_ms": 1000 * quantile((d.latency_s for d in useful), 0.99),
        "short_p99_ms": 1000
        * quantile((d.latency_s for d in useful if d.arrival.work != "long"), 0.99),
        "most_in_slots": max(t.max_running for t in run.target_by_name.values())
        / fleet.slots,
        "left_running": sum(t.running for t in run.target_by_name.values()),
        "attempts": sum(done.attempts for done in run.finished_requests),
        "runs": sum(t.runs for t in run.target_by_name.values()),
    }


def check_expectations(run: Replay) -> list[str]:
    """Return one line for each measure outside the bounds that the trace states."""
    found = summarize(run)
    return [
        f"{run.trace.name}: {key} is {found[key]:g}, stated {low:g} to {high:g}"
        for key, (low, high) in run.trace.expect.items()
        if not low <= found[key] <= high
    ]
