"""Hedged attempts; time is virtual."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals
from tornado.httputil import HTTPHeaders

from bench.virtual_time import run_virtual
from siskinlug.body import bytes_body
from siskinlug.choice import Candidate
from siskinlug.entry_state import AttemptOutcome, Placement
from siskinlug.exchange import Answer
from siskinlug.hedging import Opened, open_hedged
from siskinlug.verdict import Reason, not_run


def _placement(target: str) -> Placement:
    return Placement(Candidate(target, f"node-of-{target}", 2, 1.0, 5))


class HedgingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.outcomes: list[AttemptOutcome] = []
        self.opened: list[str] = []
        self.ended: list[str] = []

    def _play(
        self, plan: dict[str, tuple[float, int | None]], *, leave_after_s: float = 60.0
    ) -> tuple[str, int | None, float]:
        """Play attempts at targets, each with a time and a status or a refusal."""

        @asynccontextmanager
        async def open_attempt(placement: Placement) -> AsyncIterator[Opened]:
            target = placement.candidate.target
            self.opened.append(target)
            after_s, status = plan[target]
            try:
                await asyncio.sleep(after_s)
                if status is None:
                    yield Failure(not_run(Reason.TARGET_SHED))
                else:
                    yield Success(Answer(status, "", HTTPHeaders(), bytes_body(b"")))
            finally:
                self.ended.append(target)

        async def place_hedge(_first: Placement) -> Placement | None:
            return _placement("second") if "second" in plan else None

        async def main() -> tuple[str, int | None, float]:
            async with asyncio.timeout(leave_after_s):
                async with open_hedged(
                    _placement("first"),
                    open_attempt=open_attempt,
                    after_s=1.0,
                    place_hedge=place_hedge,
                    outcomes=self.outcomes,
                ) as (placement, result):
                    status = (
                        result.unwrap().status if isinstance(result, Success) else None
                    )
                    now = asyncio.get_running_loop().time()
                    return placement.candidate.target, status, now

        return run_virtual(main())

    def test_answer_in_the_usual_time_needs_no_second_attempt(self) -> None:
        """Guards against work that is done twice without need."""
        self.assertThat(self._play({"first": (0.5, 200)}), Equals(("first", 200, 0.5)))
        self.assertThat(self.opened, Equals(["first"]))

    def test_target_that_hangs_is_passed(self) -> None:
        """Guards against a caller that waits for a target that never answers."""
        plan = {"first": (50.0, 200), "second": (0.4, 200)}
        self.assertThat(self._play(plan), Equals(("second", 200, 1.4)))
        self.assertThat(sorted(self.ended), Equals(["first", "second"]))
        self.assertThat([a.target for a in self.outcomes], Equals(["first"]))
        self.assertThat(self.outcomes[0].sent, Equals(True))

    def test_failure_of_one_waits_for_the_other(self) -> None:
        """Guards against a quick error that wins over an answer."""
        plan = {"first": (3.0, 200), "second": (0.1, 500)}
        self.assertThat(self._play(plan), Equals(("first", 200, 3.0)))

    def test_two_failures_give_the_last(self) -> None:
        """Guards against a request without an end when both attempts fail."""
        plan: dict[str, tuple[float, int | None]] = {
            "first": (3.0, 500),
            "second": (0.1, None),
        }
        self.assertThat(self._play(plan), Equals(("first", 500, 3.0)))

    def test_without_a_second_target_the_first_is_waited_for(self) -> None:
        """Guards against a request given up because there was no second target."""
        self.assertThat(self._play({"first": (5.0, 200)}), Equals(("first", 200, 5.0)))

    def test_caller_that_leaves_ends_both(self) -> None:
        """Guards against attempts that run on for a caller that has left."""
        plan = {"first": (50.0, 200), "second": (50.0, 200)}
        self.assertRaises(TimeoutError, self._play, plan, leave_after_s=2.0)
        self.assertThat(sorted(self.ended), Equals(["first", "second"]))
