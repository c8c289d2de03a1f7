"""Planned stops under load: no request is cut, and no new work is sent."""

import json
import threading
import time

import pytest
import testtools
from testtools.matchers import Equals, GreaterThan

from bench.fleet import Fleet, Reply, open_fleet, wait_until
from tests.fleet_load import (
    booking,
    runs_by_request,
    start_load,
    start_small_fleet,
    under_load,
)

pytestmark = pytest.mark.processes

# Node 1 has no target, so all its requests go through other owners.
TARGETS = (2, 3, 4)


class ProcessStopTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        manager = open_fleet()
        self.fleet: Fleet = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        start_small_fleet(self.fleet, nodes=4, targets=TARGETS)

    def _restart(self, name: str) -> None:
        process = self.fleet.process_by_name[name]
        process.terminate()
        self.assertThat(process.wait(), Equals(0))
        process.start()
        self.fleet.wait_joined(targets=3)

    def test_restart_of_other_nodes_under_load_cuts_no_requests(self) -> None:
        """Guards against a stop that drops queued or running bookings."""
        load = start_load(
            self.fleet, [1], booking, rate=10.0, seconds=10.0, prefix="rolling"
        )
        with under_load(load):
            wait_until(lambda: len(load.results) > 20, "the load runs")
            self._restart("node-2")
            self._restart("node-3")
        self.assertThat(load.wrong(), Equals([]))
        failed = {o: n for o, n in load.count_by_outcome().items() if "200" not in o}
        self.assertThat(failed, Equals({}))
        runs = runs_by_request(self.fleet, TARGETS)
        self.assertThat(max(runs.values()), Equals(1))

    def test_long_response_is_sent_whole_while_its_node_stops(self) -> None:
        """Guards against a stop that truncates a large response in progress."""
        replies: list[Reply] = []
        size = 3_000_000

        def download() -> None:
            path = f"/read?ms=2500&bytes={size}"
            replies.append(self.fleet.request(2, "GET", path, timeout_s=20.0))

        thread = threading.Thread(target=download)
        thread.start()
        time.sleep(0.5)
        node = self.fleet.process_by_name["node-2"]
        node.terminate()
        thread.join()
        self.assertThat(replies[0].status, Equals(200))
        self.assertThat(len(replies[0].body), Equals(size))
        self.assertThat(node.wait(), Equals(0))

    def test_target_that_leaves_gets_no_new_work(self) -> None:
        """Guards against requests to a target that has announced that it leaves."""
        load = start_load(
            self.fleet, [1], booking, rate=12.0, seconds=8.0, prefix="leave"
        )
        with under_load(load):
            wait_until(lambda: len(load.results) > 40, "the load runs")
            target = self.fleet.process_by_name["work-2"]
            target.terminate()
            self.assertThat(target.wait(), Equals(0))
        self.assertThat(load.wrong(), Equals([]))
        failed = {o: n for o, n in load.count_by_outcome().items() if "200" not in o}
        self.assertThat(failed, Equals({}))
        self.assertThat(len(load.results), GreaterThan(90))
        summary = json.loads(target.output().splitlines()[-1])
        self.assertThat(summary["started_late"], Equals(0))
