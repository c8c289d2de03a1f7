"""The soak's checks find each broken promise, and a short seeded soak finds none."""

import asyncio

import pytest
import testtools
from testtools.matchers import Equals, HasLength

from soak.callers import RequestOutcome
from soak.checks import Fault, SoakRecord, find_violations
from soak.runner import run_soak

GOOD = RequestOutcome(
    "s-1", "/book/1", True, 1, 10.0, 10.1, 200, "signed.i-1.s-1 from i-1"
)
RUN = {"s-1": [("i-1", 10.05)]}
EMPTY = SoakRecord([], {}, {}, [], {})
# Seeds that once found a fault, each with its cause.
FAILED_SEEDS: dict[int, str] = {}
SHORT_SEED = 1
SHORT_S = 6.0


class ChecksTest(testtools.TestCase):
    def _assert_found(self, record: SoakRecord) -> None:
        self.assertThat(find_violations(record), HasLength(1))

    def test_nothing_is_found_where_all_is_well(self) -> None:
        """Guards against a soak that fails for its own faults."""
        record = EMPTY._replace(outcomes=[GOOD], runs_by_id=RUN)
        self.assertThat(find_violations(record), Equals([]))

    def test_wrong_answers(self) -> None:
        """Guards against a soak that takes a cut or foreign answer for a good one."""
        for wrong in (
            GOOD._replace(detail="signed.i-1.s-1 from"),
            GOOD._replace(detail="signed.i-1.s-2 from i-1"),
            GOOD._replace(detail="answer of 's-2'", status=500),
            GOOD._replace(status=404, detail="no_route"),
        ):
            self._assert_found(EMPTY._replace(outcomes=[wrong]))

    def test_booking_that_ran_twice(self) -> None:
        """Guards against a soak that misses doubled bookings."""
        runs = {"s-1": [("i-1", 10.0), ("i-2", 10.5)]}
        self._assert_found(EMPTY._replace(outcomes=[GOOD], runs_by_id=runs))
        reading = GOOD._replace(at_most_once=False)
        again = EMPTY._replace(outcomes=[reading], runs_by_id=runs)
        self.assertThat(find_violations(again), Equals([]))

    def test_false_refusal(self) -> None:
        """Guards against a soak that believes each refusal."""
        refused = GOOD._replace(status=503, detail="deadline")
        self._assert_found(EMPTY._replace(outcomes=[refused], runs_by_id=RUN))
        self.assertThat(find_violations(EMPTY._replace(outcomes=[refused])), Equals([]))

    def test_work_after_leaving(self) -> None:
        """Guards against a soak that misses work for a target that left."""
        record = EMPTY._replace(outcomes=[GOOD], runs_by_id=RUN)
        self._assert_found(record._replace(withdrawn_at_by_target={"i-1": 8.0}))
        soon = record._replace(withdrawn_at_by_target={"i-1": 8.5})
        self.assertThat(find_violations(soon), Equals([]))

    def test_cut_by_a_planned_stop(self) -> None:
        """Guards against a soak that excuses each cut by some fault."""
        cut = GOOD._replace(status=0, detail="reset")
        stop = Fault("stop", 1, 9.0, 12.0, planned=True)
        record = EMPTY._replace(outcomes=[cut], runs_by_id=RUN, faults=[stop])
        self._assert_found(record)
        killed = [stop, Fault("kill", 2, 9.5, 10.5)]
        self.assertThat(find_violations(record._replace(faults=killed)), Equals([]))

    def test_configuration_that_is_late_or_reverts(self) -> None:
        """Guards against a soak that misses an old configuration in force."""
        paths = {"/extra-4/": 10.0, "/extra-6/": 20.0}
        missing = GOOD._replace(
            path="/extra-4/", at_most_once=False, status=404, sent_at=13.0
        )
        self._assert_found(
            EMPTY._replace(
                outcomes=[missing._replace(ended_at=13.1)], configured_at_by_path=paths
            )
        )
        back = GOOD._replace(
            path="/extra-4/", at_most_once=False, sent_at=23.0, ended_at=23.1
        )
        self._assert_found(EMPTY._replace(outcomes=[back], configured_at_by_path=paths))


@pytest.mark.processes
class SoakTest(testtools.TestCase):
    def test_short_soak(self) -> None:
        """Guards the promises under a short series of overlapping faults."""
        report = asyncio.run(run_soak(SHORT_SEED, seconds=SHORT_S))
        self.assertThat(report.violations, Equals([]))

    def test_seeds_that_failed_before(self) -> None:
        """Guards against the return of each fault that a soak has found."""
        for seed in FAILED_SEEDS:
            report = asyncio.run(run_soak(seed, seconds=SHORT_S))
            self.assertThat(report.violations, Equals([]))
