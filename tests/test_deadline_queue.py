"""Queue by due time, one load pattern a test; time is virtual."""

import asyncio
from typing import NamedTuple

import testtools
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_time import run_virtual
from siskinlug.admission import Ticket, close, open_slot
from siskinlug.deadline_queue import DeadlineAdmission, make_deadline_admission
from siskinlug.verdict import Reason, Verdict


class Job(NamedTuple):
    """One request of a generated load; times are in seconds."""

    name: str
    at: float = 0.0
    service_s: float = 0.5
    objective_s: float = 2.5
    deadline_s: float = 6.0
    priority: int = 1
    cancel_after_s: float | None = None


class Ran(NamedTuple):
    """How a job ended."""

    name: str
    started_at: float | None
    refused_at: float | None
    reason: Reason | None


async def _play(admission: DeadlineAdmission, jobs: list[Job]) -> list[Ran]:
    loop = asyncio.get_running_loop()
    ran: list[Ran] = []

    async def run(job: Job) -> None:
        await asyncio.sleep(job.at)
        ticket = Ticket(
            job.name,
            job.name.partition("-")[0],
            "",
            job.priority,
            False,
            loop.time() + job.deadline_s,
            loop.time() + job.objective_s,
        )
        async with open_slot(admission, ticket) as admitted:
            if not isinstance(admitted, Success):
                refusal = admitted.failure()
                assert refusal.verdict is Verdict.NOT_RUN
                ran.append(Ran(job.name, None, loop.time(), refusal.reason))
                return
            assert admission.in_use <= admission.slots
            ran.append(Ran(job.name, loop.time(), None, None))
            await asyncio.sleep(job.service_s)
            admitted.unwrap().record_outcome(200, job.service_s, False)

    async def run_until_cancelled(job: Job) -> None:
        task = asyncio.create_task(run(job))
        if job.cancel_after_s is None:
            await task
            return
        await asyncio.wait({task}, timeout=job.at + job.cancel_after_s)
        task.cancel()
        await asyncio.wait({task})

    await asyncio.gather(*(run_until_cancelled(job) for job in jobs))
    return ran


def _run(jobs: list[Job], *, slots: int = 1, queue: int = 64) -> list[Ran]:
    async def main() -> list[Ran]:
        admission = make_deadline_admission(
            target="t",
            slots=slots,
            queue=queue,
            monotonic=asyncio.get_running_loop().time,
        )
        ran = await _play(admission, jobs)
        assert admission.in_use == 0
        assert not admission.waiting
        return ran

    return run_virtual(main())


class DeadlineQueueTest(testtools.TestCase):
    def test_calls_of_targets_pass_new_requests(self) -> None:
        """Guards against calls that die in the queue while their parents hold slots."""
        jobs = [Job(f"book-{n}") for n in range(4)]
        jobs.append(Job("call-1", at=0.1, service_s=0.1, objective_s=0.6))
        ran = [r.name for r in _run(jobs)]
        self.assertThat(ran[1], Equals("call-1"))

    def test_what_is_late_anyway_lets_others_pass(self) -> None:
        """Guards against a crest after which every answer is late."""
        learned = [Job("book-0")]
        late = [Job("book-late", at=0.4, objective_s=0.2)]
        on_time = [Job("book-on-time", at=0.45, objective_s=1.2)]
        ran = [r.name for r in _run(learned + late + on_time)]
        self.assertThat(ran, Equals(["book-0", "book-on-time", "book-late"]))

    def test_late_work_is_still_done_when_there_is_room(self) -> None:
        """Guards against callers refused while slots are free."""
        ran = _run([Job("book-0"), Job("book-late", at=0.1, objective_s=0.0)])
        self.assertThat([r.refused_at for r in ran], Equals([None, None]))

    def test_what_cannot_finish_in_time_is_refused_at_once(self) -> None:
        """Guards against a caller who waits for a refusal that was certain."""
        jobs = [Job("book-0", service_s=1.0)]
        jobs += [Job(f"book-{n}", at=1.0 + n / 100, service_s=1.0) for n in range(1, 9)]
        jobs.append(Job("book-hopeless", at=1.2, deadline_s=2.0))
        ran = {r.name: r for r in _run(jobs)}
        self.assertThat(ran["book-hopeless"].refused_at, Equals(1.2))

    def test_a_wait_ends_when_the_work_could_no_longer_be_done(self) -> None:
        """Guards against a request that holds its place until its deadline."""
        jobs = [Job("book-0", service_s=0.5), Job("other-1", at=0.6, service_s=30.0)]
        jobs.append(Job("book-1", at=0.7, deadline_s=4.0))
        ran = {r.name: r for r in _run(jobs)}
        self.assertThat(ran["book-1"].reason, Equals(Reason.QUEUE_TIMEOUT))
        # Half of the usual 0.5 s before its deadline at 4.7 s.
        self.assertThat(ran["book-1"].refused_at, Equals(4.45))

    def test_lasting_overload_is_refused_on_arrival(self) -> None:
        """Guards against refusals after a wait, under half as much again as fits.

        Nine in ten of what is refused are told within an eighth of the objective,
        and the slots are as busy with answers in time as they can be.
        """
        arrivals = 12.0
        learned = [Job(f"book-a{n}", at=n * 0.2) for n in range(8)]
        crest = [Job(f"book-{n}", at=2.0 + n / arrivals) for n in range(240)]
        ran = {r.name: r for r in _run(learned + crest, slots=4)}
        held = sorted(
            at - job.at for job in crest if (at := ran[job.name].refused_at) is not None
        )
        in_time = sum(
            started + job.service_s <= job.at + job.objective_s
            for job in crest
            if (started := ran[job.name].started_at) is not None
        )
        self.assertThat(held[len(held) * 9 // 10], LessThan(2.5 / 8))
        # 4 slots do 8 requests a second for 20 s.
        self.assertThat(in_time, GreaterThan(0.95 * 160))

    def test_calls_are_not_refused_behind_late_work(self) -> None:
        """Guards against calls refused for a queue which they would pass."""
        jobs = [Job("book-0", service_s=0.5)]
        jobs += [Job(f"book-{n}", at=0.6, objective_s=0.2) for n in range(1, 8)]
        jobs.append(
            Job("call-1", at=1.0, service_s=0.1, objective_s=0.7, deadline_s=1.0)
        )
        ran = {r.name: r for r in _run(jobs)}
        self.assertThat(ran["call-1"].refused_at, Equals(None))

    def test_many_calls_at_few_sound_targets_are_a_little_late(self) -> None:
        """Guards against parents that fail since a call would be 0.2 s late."""
        learned = [Job(f"call-a{n}", at=n * 0.1, service_s=0.08) for n in range(4)]
        calls = [
            Job(f"call-{n}", at=1.0, service_s=0.08, objective_s=0.3, deadline_s=1.0)
            for n in range(12)
        ]
        ran = {r.name: r for r in _run(learned + calls, slots=2)}
        refused = [name for name, r in ran.items() if r.started_at is None]
        self.assertThat(refused, Equals([]))

    def test_long_work_leaves_a_slot_to_short_work(self) -> None:
        """Guards against short work blocked behind long work at the head."""
        jobs = [Job(f"short-{n}", at=n / 5, service_s=0.1) for n in range(4)]
        jobs += [Job("long-0", at=1.0, service_s=3.0)]
        jobs += [Job(f"long-{n}", at=4.5, service_s=3.0) for n in (1, 2)]
        jobs.append(Job("short-last", at=5.0, service_s=0.1, objective_s=0.6))
        ran = {r.name: r for r in _run(jobs, slots=2)}
        self.assertThat(ran["short-last"].started_at, Equals(5.0))

    def test_leaving_target_returns_its_queue_as_not_run(self) -> None:
        """Guards against requests that wait for a target that is leaving."""

        async def main() -> list[Ran]:
            loop = asyncio.get_running_loop()
            admission = make_deadline_admission(
                target="t", slots=1, queue=8, monotonic=loop.time
            )
            loop.call_later(0.2, close, admission, Reason.TARGET_LEAVING)
            return await _play(admission, [Job("book-0"), Job("book-1", at=0.1)])

        ran = {r.name: r for r in run_virtual(main())}
        self.assertThat(ran["book-1"].reason, Equals(Reason.TARGET_LEAVING))

    @given(
        st.lists(
            st.builds(
                Job,
                name=st.sampled_from(["a-1", "b-1", "c-1"]),
                at=st.floats(0, 2),
                service_s=st.sampled_from([0.01, 0.3, 2.0]),
                objective_s=st.sampled_from([0.1, 1.0, 5.0]),
                deadline_s=st.sampled_from([0.2, 3.0, 20.0]),
                priority=st.integers(0, 2),
                cancel_after_s=st.none() | st.floats(0, 1),
            ),
            max_size=30,
        ),
        st.integers(1, 3),
        st.integers(0, 6),
    )
    def test_slots_are_never_exceeded_and_nobody_is_forgotten(
        self, jobs: list[Job], slots: int, queue: int
    ) -> None:
        """Guards against leaked slots, lost tickets and overbooked targets."""
        ran = _run(jobs, slots=slots, queue=queue)
        cancelled = sum(job.cancel_after_s is not None for job in jobs)
        self.assertThat(len(jobs) - len(ran) <= cancelled, Equals(True))
