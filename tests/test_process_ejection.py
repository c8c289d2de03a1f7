"""Ejection and readmission of a target with gray failures, across processes."""

import pytest
import testtools
from testtools.matchers import Equals, LessThan

from bench.fleet import Fleet, call, open_fleet, wait_until
from tests.fleet_load import (
    TARGET_PORT,
    reading,
    start_load,
    start_small_fleet,
    under_load,
)

pytestmark = pytest.mark.processes

NODES = (1, 2, 3, 4)
# Owners eject no target in the first 5 s of their ownership.
OWNED_S = 6.0


class ProcessEjectionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        manager = open_fleet()
        self.fleet: Fleet = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        start_small_fleet(self.fleet, nodes=len(NODES), targets=NODES)

    def _faults(self, node: int, body: bytes) -> None:
        reply = call(
            self.fleet.host(node), TARGET_PORT, "POST", "/control/faults", body=body
        )
        self.assertThat(reply.status, Equals(200))

    def _events(self, node: int, kind: str) -> list[str]:
        events = self.fleet.admin(node, "/timeline")
        return [event["subject"] for event in events if event["kind"] == kind]

    def _ejected(self) -> set[str]:
        targets = self.fleet.admin(1, "/targets")
        return {target["target"] for target in targets if target["ejected"]}

    def test_gray_target_is_ejected_and_comes_back(self) -> None:
        """Guards against a failing target that keeps its share of the requests."""
        load = start_load(
            self.fleet, NODES, reading, rate=12.0, seconds=30.0, prefix="gray"
        )
        with under_load(load):
            wait_until(lambda: len(load.results) > 48 * OWNED_S, "owners settle")
            self._faults(2, b'{"error_ratio": 1.0}')
            wait_until(lambda: self._ejected() == {"work-2"}, "work-2 is ejected")
            self._faults(2, b'{"error_ratio": 0.0}')
            wait_until(lambda: self._ejected() == set(), "work-2 is on trial")
            wait_until(
                lambda: "work-2" in self._events(2, "target_readmitted"),
                "work-2 is readmitted",
            )
        self.assertThat(load.wrong(), Equals([]))
        failed = sum(result.status != 200 for result in load.results)
        self.assertThat(failed, LessThan(len(load.results) * 0.1))
        for node in NODES:
            ejected = set(self._events(node, "target_ejected"))
            self.assertThat(ejected <= {"work-2"}, Equals(True))

    def test_no_ejection_when_all_fail_alike(self) -> None:
        """Guards against ejecting the targets of a pool for a fault common to all."""
        load = start_load(
            self.fleet, NODES, reading, rate=12.0, seconds=14.0, prefix="common"
        )
        with under_load(load):
            wait_until(lambda: len(load.results) > 48 * OWNED_S, "owners settle")
            for node in NODES:
                self._faults(node, b'{"error_ratio": 0.5}')
        self.assertThat(load.wrong(), Equals([]))
        for node in NODES:
            self.assertThat(self._events(node, "target_ejected"), Equals([]))
