"""Stale connections and one-way partitions between processes, through a relay."""

import socket
import time

import pytest
import testtools
from testtools.matchers import Equals, GreaterThan, HasLength

from bench.fleet import (
    PEER_PORT,
    Fleet,
    NodeSpec,
    TargetSpec,
    call,
    open_fleet,
    wait_until,
)
from tests.fleet_load import (
    DOMAINS,
    POOLS,
    ROUTES,
    SLOTS,
    TARGET_PORT,
    Load,
    booking,
    reading,
    runs_by_request,
    start_load,
    under_load,
)

pytestmark = pytest.mark.processes

RELAY_HOST = "127.0.0.1"
NODES = (1, 2, 3)
# Node 1 has no target, so that all its requests go to other owners.
TARGETS = (2, 3)


def _free_port() -> int:
    with socket.create_server((RELAY_HOST, 0)) as listening:
        return int(listening.getsockname()[1])


class ProcessPartitionTest(testtools.TestCase):
    """The other nodes reach node 2 only through a relay."""

    def setUp(self) -> None:
        super().setUp()
        manager = open_fleet()
        self.fleet: Fleet = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        relay_port, self.control_port = _free_port(), _free_port()
        link = f"node-2={relay_port}:{self.fleet.host(2)}:{PEER_PORT}"
        self.fleet.start(
            "relay",
            [
                "-m",
                "standins.relay",
                "--link",
                link,
                "--control-port",
                str(self.control_port),
            ],
        )
        self.fleet.start_log()
        for number in NODES:
            advertise = f"advertise = {RELAY_HOST}:{relay_port}\n"
            self.fleet.start_node(
                NodeSpec(number, DOMAINS[number % len(DOMAINS)]),
                seeds=(1, 3),
                extra_node=advertise if number == 2 else "",
            )
        for number in TARGETS:
            target = TargetSpec(f"work-{number}", "work", SLOTS, number)
            self.fleet.start_target(target, port=TARGET_PORT)
        self.fleet.wait_joined(targets=len(TARGETS))
        self.fleet.put_tables(pools=POOLS, routes=ROUTES)

    def _post_to_relay(self, path: str, body: bytes = b"{}") -> None:
        reply = call(RELAY_HOST, self.control_port, "POST", path, body=body)
        self.assertThat(reply.status, Equals(200))

    def _check_verdicts(self, load: Load) -> None:
        self.assertThat(load.wrong(), Equals([]))
        runs = runs_by_request(self.fleet, TARGETS)
        bookings = [r for r in load.results if r.request_id.startswith("book")]
        twice = [r.request_id for r in bookings if runs[r.request_id] > 1]
        self.assertThat(twice, Equals([]))
        told_not_run = [r for r in bookings if r.verdict == "not-run"]
        ran = [r.request_id for r in told_not_run if runs[r.request_id]]
        self.assertThat(ran, Equals([]))

    def test_stale_connections_fail_no_requests(self) -> None:
        """Guards against requests that wait on connections which no longer respond."""
        load = start_load(
            self.fleet, [1], reading, rate=40.0, seconds=6.0, prefix="read-silent"
        )
        bookings = start_load(
            self.fleet, [1], booking, rate=6.0, seconds=6.0, prefix="book-silent"
        )
        with under_load(load), under_load(bookings):
            wait_until(lambda: len(load.results) > 60, "the load runs")
            self._post_to_relay("/silence/node-2")
        self._check_verdicts(load)
        self._check_verdicts(bookings)
        failed = {o: n for o, n in load.by_outcome().items() if "200" not in o}
        self.assertThat(failed, Equals({}))

    def test_one_way_partition_causes_no_double_runs(self) -> None:
        """Guards against double runs when a node receives but cannot respond."""
        load = start_load(
            self.fleet, [1], reading, rate=40.0, seconds=9.0, prefix="read-cut"
        )
        bookings = start_load(
            self.fleet, [1], booking, rate=6.0, seconds=9.0, prefix="book-cut"
        )
        with under_load(load), under_load(bookings):
            wait_until(lambda: len(load.results) > 60, "the load runs")
            self._post_to_relay("/control/node-2", b'{"hold_to_client": true}')
            time.sleep(4.0)
            self._post_to_relay("/control/node-2", b'{"hold_to_client": false}')
        self._check_verdicts(load)
        self._check_verdicts(bookings)
        served = [r for r in load.results if r.status == 200]
        self.assertThat(load.results, HasLength(360))
        self.assertThat(len(served), GreaterThan(350))
