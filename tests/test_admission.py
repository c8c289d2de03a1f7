"""Admission control: slots, queue bounds, fairness, long work, adaptive limit."""

import asyncio
from collections import Counter
from random import Random
from typing import NamedTuple

import testtools
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_time import run_virtual
from siskinlug.admission import (
    Admission,
    Ticket,
    close,
    load_report,
    make_admission,
    open_slot,
    reopen,
    resize,
)
from siskinlug.verdict import Reason, Verdict


class Job(NamedTuple):
    """One request of a generated load."""

    at: float = 0.0
    service_s: float = 0.1
    account: str = "a"
    priority: int = 5
    long_work: bool = False
    within_s: float = 60.0
    cancel_after_s: float | None = None
    shed: bool = False


_JOBS = st.lists(
    st.builds(
        Job,
        at=st.floats(0, 1),
        service_s=st.sampled_from([0.01, 0.05, 0.3]),
        account=st.sampled_from("abc"),
        priority=st.integers(4, 6),
        long_work=st.booleans(),
        within_s=st.sampled_from([0.05, 0.5, 60.0]),
        cancel_after_s=st.none() | st.floats(0, 0.5),
        shed=st.booleans(),
    ),
    max_size=40,
)


def _admission(slots: int = 2, queue: int = 4, queue_wait_s: float = 2.0) -> Admission:
    made = make_admission(
        target="t",
        slots=slots,
        queue=queue,
        queue_wait_s=queue_wait_s,
        monotonic=asyncio.get_running_loop().time,
        random=Random(1),
    )
    made.limit = float(slots)
    return made


class LoadPlayer:
    """Plays jobs against one admission control.

    Slot usage is recorded whenever a job starts or ends.
    """

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.outcome_by_job: dict[int, str] = {}
        self.runs: Counter[int] = Counter()
        self.max_in_use = 0
        self.max_long_in_use = 0
        self.blocked_short = False
        self.started: list[int] = []
        self.waits_s: list[float] = []

    def _check_slots(self) -> None:
        admission = self.admission
        self.max_in_use = max(self.max_in_use, admission.in_use)
        self.max_long_in_use = max(self.max_long_in_use, admission.long_in_use)
        short_waits = bool(admission._queue_by_class[False].waiting)
        short_runs = admission.in_use - admission.long_in_use
        if short_waits and short_runs == 0 and admission.in_use > 0:
            self.blocked_short = True

    async def _job(self, number: int, job: Job) -> str:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(job.at)
        arrived = loop.time()
        ticket = Ticket(
            str(number),
            "long" if job.long_work else "short",
            job.account,
            job.priority,
            job.long_work,
            arrived + job.within_s,
        )
        async with open_slot(self.admission, ticket) as result:
            self._check_slots()
            match result:
                case Success(slot):
                    self.runs[number] += 1
                    self.started.append(number)
                    self.waits_s.append(loop.time() - arrived)
                    await asyncio.sleep(job.service_s)
                    slot.record_outcome(200, job.service_s, job.shed)
                case Failure(refusal):
                    assert refusal.verdict is Verdict.NOT_RUN
                    return str(refusal.reason.value)
        self._check_slots()
        return "ran"

    async def play(self, jobs: list[Job]) -> list[str]:
        """Play all jobs to their ends."""

        async def play_one(number: int, job: Job) -> str:
            task = asyncio.create_task(self._job(number, job))
            if job.cancel_after_s is not None:
                await asyncio.sleep(job.at + job.cancel_after_s)
                task.cancel()
            try:
                return await task
            except asyncio.CancelledError:
                return "cancelled"

        return list(
            await asyncio.gather(*(play_one(i, job) for i, job in enumerate(jobs)))
        )


def _play(jobs: list[Job], **sizes: float) -> tuple[LoadPlayer, list[str]]:
    async def main() -> tuple[LoadPlayer, list[str]]:
        load = LoadPlayer(_admission(**sizes))  # type: ignore[arg-type]
        return load, await load.play(jobs)

    return run_virtual(main())


class AdmissionPropertyTest(testtools.TestCase):
    @given(jobs=_JOBS, slots=st.integers(1, 6))
    def test_never_more_than_the_slots(self, jobs: list[Job], slots: int) -> None:
        """Guards against more concurrent requests than the target accepts."""
        load, _ = _play(jobs, slots=slots)
        self.assertThat(load.max_in_use, LessThan(slots + 1))

    @given(jobs=_JOBS, slots=st.integers(1, 4), queue=st.integers(0, 6))
    def test_each_ticket_ends_once(
        self, jobs: list[Job], slots: int, queue: int
    ) -> None:
        """Guards against lost tickets and against refusals of tickets that ran."""
        load, outcomes = _play(jobs, slots=slots, queue=queue)
        self.assertThat(len(outcomes), Equals(len(jobs)))
        for number, outcome in enumerate(outcomes):
            allowed = {"ran": {1}, "cancelled": {0, 1}}.get(outcome, {0})
            self.assertIn(load.runs[number], allowed)

    @given(jobs=_JOBS, slots=st.integers(1, 4))
    def test_slots_and_queue_places_are_freed(
        self, jobs: list[Job], slots: int
    ) -> None:
        """Guards against slots and queue entries leaked by cancelled tickets."""
        load, _ = _play(jobs, slots=slots)
        admission = load.admission
        left = (admission.in_use, admission.long_in_use, admission.queued)
        self.assertThat(left, Equals((0, 0, 0)))

    @given(jobs=_JOBS, slots=st.integers(2, 6))
    def test_long_work_never_blocks_short_work(
        self, jobs: list[Job], slots: int
    ) -> None:
        """Guards against head-of-line blocking, including below a lowered limit."""
        load, _ = _play(jobs, slots=slots)
        self.assertThat(load.max_long_in_use, LessThan(slots))
        self.assertThat(load.blocked_short, Equals(False))

    @given(slots=st.integers(2, 6), others=st.integers(2, 6), seed=st.integers(0, 99))
    def test_no_account_below_its_fair_share(
        self, slots: int, others: int, seed: int
    ) -> None:
        """Guards against one account that starves the others under overload."""
        random = Random(seed)
        full = slots / 0.02
        rates = [1.5 * full / (others + 1)] * others + [3 * full]
        jobs = []
        for account, rate in enumerate(rates):
            at = random.expovariate(rate)
            while at < 6.0:
                jobs.append(Job(at, 0.02, str(account), within_s=1.0))
                at += random.expovariate(rate)
        _, outcomes = _play(jobs, slots=slots, queue=32)
        measured = [
            (job.account, outcome)
            for job, outcome in zip(jobs, outcomes, strict=True)
            if job.at >= 1.0
        ]
        offered = Counter(account for account, _ in measured)
        got = Counter(account for account, outcome in measured if outcome == "ran")
        share = sum(got.values()) / len(rates)
        for account in got:
            fair = min(share, offered[account])
            self.assertThat(got[account] / fair, GreaterThan(0.8))


class AdmissionTest(testtools.TestCase):
    def test_the_queue_is_bounded_in_count(self) -> None:
        """Guards against a queue that grows with demand."""
        _, outcomes = _play([Job()] * 8, slots=2, queue=3)
        self.assertThat(Counter(outcomes), Equals({"ran": 5, "queue_full": 3}))

    def test_the_queue_is_bounded_in_time(self) -> None:
        """Guards against waits longer than ``queue_wait_s`` in the pools table."""
        _, outcomes = _play([Job(service_s=5.0)] * 3, slots=1, queue_wait_s=1.0)
        self.assertThat(Counter(outcomes), Equals({"ran": 1, "queue_timeout": 2}))

    def test_a_standing_queue_waits_less_than_a_burst(self) -> None:
        """Guards against a standing queue that doubles the latency of all callers."""
        jobs = [Job(i * 0.002, 0.02) for i in range(1000)]
        load, _ = _play(jobs, slots=2, queue=100)
        self.assertThat(max(load.waits_s[100:]), LessThan(0.03))

    def test_request_that_cannot_finish_is_refused_at_once(self) -> None:
        """Guards against slots spent on responses after the deadline."""

        async def main() -> tuple[str, float]:
            loop = asyncio.get_running_loop()
            load = LoadPlayer(_admission(slots=1, queue=50))
            await load.play([Job(service_s=1.0)] * 3)
            running = [asyncio.create_task(load._job(i, Job())) for i in range(2)]
            await asyncio.sleep(0)
            arrived = loop.time()
            outcome = await load._job(9, Job(within_s=0.9))
            waited = loop.time() - arrived
            await asyncio.gather(*running)
            return outcome, waited

        self.assertThat(run_virtual(main()), Equals(("deadline", 0.0)))

    def test_priority_goes_first(self) -> None:
        """Guards against high-priority work that waits behind other work."""
        jobs = [Job(), Job(0.01, priority=6), Job(0.02, priority=4)]
        load, _ = _play(jobs, slots=1)
        self.assertThat(load.started, Equals([0, 2, 1]))

    def test_long_work_does_not_fill_the_queue(self) -> None:
        """Guards against short work refused because long work fills the queue."""
        jobs = [Job(0, 5.0, long_work=True)] * 6 + [Job(0.1)] * 3
        _, outcomes = _play(jobs, slots=2, queue=4)
        self.assertThat(outcomes[-3:], Equals(["ran", "ran", "ran"]))

    def test_high_priority_evicts_from_a_full_queue(self) -> None:
        """Guards against high-priority work refused because others fill the queue."""
        jobs = [Job(), Job(0.01, priority=6), Job(0.02, priority=4)]
        _, outcomes = _play(jobs, slots=1, queue=1)
        self.assertThat(outcomes, Equals(["ran", "queue_full", "ran"]))

    def test_long_work_finishes_beside_overload_of_short_work(self) -> None:
        """Guards against reserved slots that starve long work."""
        jobs = [Job(i * 0.005, 0.02) for i in range(1200)]
        jobs += [Job(0.5 + i, 0.5, long_work=True) for i in range(2)]
        _, outcomes = _play(jobs, slots=2, queue=8)
        self.assertThat(outcomes[-2:], Equals(["ran", "ran"]))

    def test_long_work_starts_while_short_work_waits(self) -> None:
        """Guards against long work that starts only when no short work waits."""
        jobs = [Job()] * 2 + [Job(0.01)] * 4 + [Job(0.02, 0.5, long_work=True)]
        load, _ = _play(jobs, slots=2, queue=8)
        self.assertThat(load.started[2], Equals(6))

    def test_the_limit_falls_on_shed_and_recovers(self) -> None:
        """Guards against full load on a shedding target and a limit that stays low."""
        shed = [Job(i * 0.1, 0.05, shed=True) for i in range(10)]
        load, _ = _play(shed, slots=6)
        self.assertThat(load.admission.slot_limit, Equals(2))
        good = [Job(2.0 + i * 0.1, 0.05) for i in range(40)]
        load, _ = _play(shed + good, slots=6)
        self.assertThat(load.admission.slot_limit, Equals(6))

    def test_the_limit_falls_on_slow_answers(self) -> None:
        """Guards against full concurrency at a target that became slow."""
        usual = [Job(i * 0.1, 0.02) for i in range(200)]
        slow = [Job(20.0 + i * 0.2, 0.1) for i in range(60)]
        load, _ = _play(usual, slots=6)
        self.assertThat(load.admission.slot_limit, Equals(6))
        load, _ = _play(usual + slow, slots=6)
        self.assertThat(load.admission.slot_limit, LessThan(4))

    def test_a_cold_target_ramps_up(self) -> None:
        """Guards against full load on a target that is still filling its caches."""

        async def main() -> tuple[int, int]:
            clock = asyncio.get_running_loop().time
            admission = make_admission(
                target="t", slots=6, queue=8, queue_wait_s=2.0, monotonic=clock
            )
            cold = admission.slot_limit
            await LoadPlayer(admission).play([Job(i * 0.1) for i in range(30)])
            return cold, admission.slot_limit

        self.assertThat(run_virtual(main()), Equals((3, 6)))

    def test_short_work_keeps_a_slot_below_a_lowered_limit(self) -> None:
        """Guards against long work that occupies all slots after the target shed."""
        jobs = [Job(0, 5.0, long_work=True)] * 3
        jobs += [Job(0.1, 0.01, shed=True), Job(0.15, 0.01, shed=True), Job(0.2, 0.01)]
        load, outcomes = _play(jobs, slots=4)
        self.assertThat(load.admission.slot_limit, LessThan(3))
        self.assertThat(outcomes[-1], Equals("ran"))
        self.assertThat(load.blocked_short, Equals(False))

    def test_a_cancelled_ticket_leaves_the_queue(self) -> None:
        """Guards against a queue full of tickets of disconnected callers."""
        jobs = [Job(service_s=1.0), Job(0.1, cancel_after_s=0.1), Job(0.3)]
        _, outcomes = _play(jobs, slots=1, queue=1)
        self.assertThat(outcomes, Equals(["ran", "cancelled", "ran"]))

    def test_a_slot_granted_to_a_cancelled_ticket_is_freed(self) -> None:
        """Guards against a slot leaked by a cancellation just after its grant.

        Grant and cancellation fall in the same iteration of the event loop.
        """

        async def main() -> int:
            admission = _admission(slots=1)
            ticket = Ticket("0", "r", "a", 5, False, 60.0)
            load = LoadPlayer(admission)
            async with open_slot(admission, ticket) as admitted:
                waiting = asyncio.create_task(load._job(1, Job()))
                await asyncio.sleep(0.01)
                admitted.unwrap().release()
                waiting.cancel()
                await asyncio.gather(waiting, return_exceptions=True)
            return admission.in_use

        self.assertThat(run_virtual(main()), Equals(0))

    def test_a_slot_is_released_once(self) -> None:
        """Guards against a slot counted as free twice after an early release."""

        async def main() -> int:
            admission = _admission(slots=2)
            ticket = Ticket("0", "r", "a", 5, False, 60.0)
            async with open_slot(admission, ticket) as admitted:
                admitted.unwrap().release()
            return admission.in_use

        self.assertThat(run_virtual(main()), Equals(0))

    def test_close_refuses_the_queue_and_keeps_running_requests(self) -> None:
        """Guards against a planned stop that interrupts or loses a request."""

        async def main() -> list[str]:
            load = LoadPlayer(_admission(slots=1))
            playing = asyncio.create_task(load.play([Job(), Job(), Job(0.05)]))
            await asyncio.sleep(0.02)
            close(load.admission, Reason.NODE_LEAVING)
            outcomes = await playing
            reopen(load.admission)
            return outcomes + await load.play([Job()])

        leaving = "node_leaving"
        outcomes = run_virtual(main())
        self.assertThat(outcomes, Equals(["ran", leaving, leaving, "ran"]))

    def test_retry_after_has_jitter(self) -> None:
        """Guards against refused callers that all retry at the same time."""

        async def main() -> set[float | None]:
            admission = _admission(slots=1, queue=0)
            deadline = asyncio.get_running_loop().time() + 60
            found = set()
            async with open_slot(admission, Ticket("0", "r", "a", 5, False, deadline)):
                for i in range(20):
                    ticket = Ticket(str(i), "r", "a", 5, False, deadline)
                    async with open_slot(admission, ticket) as result:
                        found.add(result.failure().retry_after_s)
            return found

        found = run_virtual(main())
        self.assertThat(len(found), Equals(20))
        self.assertNotIn(None, found)

    def test_failures_raise_the_reported_service_time(self) -> None:
        """Guards against requests attracted by a target that fails fast."""

        async def main() -> tuple[float, float]:
            admission = _admission(slots=2)
            await LoadPlayer(admission).play([Job(i * 0.1) for i in range(10)])
            before = load_report(admission).service_ms
            for _ in range(5):
                ticket = Ticket("x", "short", "a", 5, False, 1e9)
                async with open_slot(admission, ticket) as result:
                    result.unwrap().record_outcome(500, 0.001, False)
            return before, load_report(admission).service_ms

        before, after = run_virtual(main())
        self.assertThat(after, GreaterThan(2 * before))

    def test_resize_applies_fewer_slots(self) -> None:
        """Guards against a changed pools table that is not applied."""

        async def main() -> int:
            load = LoadPlayer(_admission(slots=4, queue=8))
            resize(load.admission, slots=2, queue=8, queue_wait_s=2.0)
            await load.play([Job()] * 6)
            return load.max_in_use

        self.assertThat(run_virtual(main()), Equals(2))
