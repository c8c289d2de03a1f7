"""Killed and paused processes under load: verdicts and at-most-once execution."""

import time

import pytest
import testtools
from testtools.matchers import Equals, GreaterThan

from bench.fleet import Fleet, open_fleet, wait_until
from tests.fleet_load import (
    booking,
    reading,
    runs_by_request,
    start_load,
    start_small_fleet,
    under_load,
)

pytestmark = pytest.mark.processes

RATE = 10.0
SECONDS = 8.0
# Nodes 1 and 5 have no target, so all their requests go through other owners.
ENTRIES = (1, 5)
TARGETS = (2, 3, 4)


class ProcessFaultTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        manager = open_fleet()
        self.fleet: Fleet = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        start_small_fleet(self.fleet, nodes=5, targets=TARGETS)

    def _check_verdicts(self, load, *, runs) -> None:
        self.assertThat(load.wrong(), Equals([]))
        twice = {name: count for name, count in runs.items() if count > 1}
        self.assertThat(twice, Equals({}))
        reported_not_run = [r for r in load.results if r.verdict == "not-run"]
        ran = [r.request_id for r in reported_not_run if runs[r.request_id]]
        self.assertThat(ran, Equals([]))

    def test_kill_of_an_owner_runs_nothing_twice(self) -> None:
        """Guards against a retry of a booking that may have run."""
        load = start_load(
            self.fleet, ENTRIES, booking, rate=RATE, seconds=SECONDS, prefix="kill"
        )
        with under_load(load):
            wait_until(lambda: len(load.results) > 40, "the load runs")
            self.fleet.process_by_name["node-2"].kill()
        self._check_verdicts(load, runs=runs_by_request(self.fleet, TARGETS))
        served = sum(r.status == 200 for r in load.results)
        self.assertThat(served, GreaterThan(len(load.results) * 0.9))

    def test_pause_of_an_owner_past_its_lease(self) -> None:
        """Guards against a resumed owner that sends queued requests after its lease."""
        load = start_load(
            self.fleet, ENTRIES, booking, rate=RATE, seconds=SECONDS, prefix="pause"
        )
        with under_load(load):
            wait_until(lambda: len(load.results) > 40, "the load runs")
            self.fleet.process_by_name["node-2"].pause()
            time.sleep(4.0)
            self.fleet.process_by_name["node-2"].resume()
        self._check_verdicts(load, runs=runs_by_request(self.fleet, TARGETS))

    def test_kill_of_a_target_fails_only_what_it_ran(self) -> None:
        """Guards against failed idempotent requests that other targets can serve."""
        load = start_load(
            self.fleet, ENTRIES, reading, rate=30.0, seconds=SECONDS, prefix="target"
        )
        with under_load(load):
            wait_until(lambda: len(load.results) > 60, "the load runs")
            self.fleet.process_by_name["work-2"].kill()
        self.assertThat(load.wrong(), Equals([]))
        failed = {o: n for o, n in load.count_by_outcome().items() if "200" not in o}
        self.assertThat(failed, Equals({}))
