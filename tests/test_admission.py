"""Admission to a target: slots, queue, fair shares, long work."""

import asyncio
from random import Random

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals

from bench.virtual_time import run_virtual
from siskinlug.admission import (
    Admission,
    Ticket,
    close,
    load_report,
    make_admission,
    open_slot,
)
from siskinlug.verdict import Reason, Verdict


def _admission(slots: int = 2, queue: int = 4) -> Admission:
    made = make_admission(
        target="t",
        slots=slots,
        queue=queue,
        queue_wait_s=2.0,
        monotonic=asyncio.get_running_loop().time,
        random=Random(1),
    )
    made.limit = float(slots)
    return made


def _ticket(
    name: str,
    account: str = "a",
    priority: int = 5,
    long_work: bool = False,
    within_s: float = 60.0,
) -> Ticket:
    deadline = asyncio.get_running_loop().time() + within_s
    return Ticket(name, "route", account, priority, long_work, deadline)


async def _run(admission: Admission, ticket: Ticket, service_s: float) -> str:
    async with open_slot(admission, ticket) as result:
        match result:
            case Success(slot):
                await asyncio.sleep(service_s)
                slot.finish(200, service_s, False)
                return "ran"
            case Failure(refusal):
                assert refusal.verdict is Verdict.NOT_RUN
                return str(refusal.reason.value)
    raise AssertionError


class AdmissionTest(testtools.TestCase):
    def test_closing_refuses_the_queue_and_keeps_what_runs(self) -> None:
        """Guards against a planned stop that interrupts or strands a request."""

        async def main() -> list[str]:
            admission = _admission(slots=1)
            tasks = [
                asyncio.create_task(_run(admission, _ticket(str(i)), 0.1))
                for i in range(3)
            ]
            await asyncio.sleep(0.01)
            close(admission, Reason.NODE_LEAVING)
            tasks.append(asyncio.create_task(_run(admission, _ticket("x"), 0.1)))
            return list(await asyncio.gather(*tasks))

        leaving = "node_leaving"
        outcomes = run_virtual(main())
        self.assertThat(outcomes, Equals(["ran", leaving, leaving, leaving]))

    def test_a_cancelled_ticket_leaves_nothing_behind(self) -> None:
        """Guards against slots and queue places leaked by callers that go away."""

        async def main() -> tuple[int, int, str]:
            admission = _admission(slots=1)
            tasks = [
                asyncio.create_task(_run(admission, _ticket(str(i)), 1.0))
                for i in range(3)
            ]
            await asyncio.sleep(0.01)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            last = await _run(admission, _ticket("last"), 0.1)
            report = load_report(admission)
            return report.in_use, report.queued, last

        self.assertThat(run_virtual(main()), Equals((0, 0, "ran")))
