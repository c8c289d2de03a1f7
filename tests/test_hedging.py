"""Hedged attempts; time is virtual."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals
from tornado.httputil import HTTPHeaders

from bench.virtual_time import run_virtual
from siskinlug.body import body_from_bytes
from siskinlug.entry_state import AttemptOutcome, Placement
from siskinlug.exchange import Answer
from siskinlug.hedging import AttemptResult, open_hedged
from siskinlug.load_balancing import Candidate
from siskinlug.verdict import Reason, not_run


def _placement(target: str) -> Placement:
    return Placement(Candidate(target, f"node-of-{target}", 2, 1.0, 5))


class HedgingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.outcomes: list[AttemptOutcome] = []
        self.opened: list[str] = []
        self.ended: list[str] = []

    def _run_plan(
        self,
        plan: dict[str, tuple[float, int | None]],
        *,
        disconnect_after_s: float = 60.0,
    ) -> tuple[str, int | None, float]:
        """Run a hedged request against planned targets.

        Args:
            plan: By target, after how many seconds it answers and with which status;
                ``None`` for a refusal.
            disconnect_after_s: When the caller disconnects, in seconds.

        Returns:
            The target whose result was used, its status and the time of its answer.
        """

        @asynccontextmanager
        async def open_attempt(placement: Placement) -> AsyncIterator[AttemptResult]:
            target = placement.candidate.target
            self.opened.append(target)
            after_s, status = plan[target]
            try:
                await asyncio.sleep(after_s)
                if status is None:
                    yield Failure(not_run(Reason.TARGET_SHED))
                else:
                    yield Success(
                        Answer(status, "", HTTPHeaders(), body_from_bytes(b""))
                    )
            finally:
                self.ended.append(target)

        async def place_hedge(_first: Placement) -> Placement | None:
            return _placement("second") if "second" in plan else None

        async def main() -> tuple[str, int | None, float]:
            async with asyncio.timeout(disconnect_after_s):
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

    def test_answer_in_the_usual_time_starts_no_second_attempt(self) -> None:
        """Guards against a second attempt although the first one is not late."""
        self.assertThat(
            self._run_plan({"first": (0.5, 200)}), Equals(("first", 200, 0.5))
        )
        self.assertThat(self.opened, Equals(["first"]))

    def test_second_target_answers_for_one_that_hangs(self) -> None:
        """Guards against a caller that waits for a target that never answers."""
        plan = {"first": (50.0, 200), "second": (0.4, 200)}
        self.assertThat(self._run_plan(plan), Equals(("second", 200, 1.4)))
        self.assertThat(sorted(self.ended), Equals(["first", "second"]))
        self.assertThat([a.target for a in self.outcomes], Equals(["first"]))
        self.assertThat(self.outcomes[0].may_have_run, Equals(True))

    def test_failure_of_one_attempt_waits_for_the_other(self) -> None:
        """Guards against a quick error that is preferred to a slower success."""
        plan = {"first": (3.0, 200), "second": (0.1, 500)}
        self.assertThat(self._run_plan(plan), Equals(("first", 200, 3.0)))

    def test_last_of_two_failures_is_used(self) -> None:
        """Guards against a request that never ends when both attempts fail."""
        plan: dict[str, tuple[float, int | None]] = {
            "first": (3.0, 500),
            "second": (0.1, None),
        }
        self.assertThat(self._run_plan(plan), Equals(("first", 500, 3.0)))

    def test_first_attempt_continues_without_a_second_target(self) -> None:
        """Guards against a request that is abandoned for lack of a second target."""
        self.assertThat(
            self._run_plan({"first": (5.0, 200)}), Equals(("first", 200, 5.0))
        )

    def test_caller_disconnect_ends_both_attempts(self) -> None:
        """Guards against attempts that continue after the caller has disconnected."""
        plan = {"first": (50.0, 200), "second": (50.0, 200)}
        self.assertRaises(TimeoutError, self._run_plan, plan, disconnect_after_s=2.0)
        self.assertThat(sorted(self.ended), Equals(["first", "second"]))
