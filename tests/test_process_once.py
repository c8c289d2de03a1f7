"""Idempotency keys and requests that crash targets, in a fleet of processes."""

import threading
from collections import Counter

import pytest
import testtools
from testtools.matchers import Equals

from bench.fleet import Fleet, Reply, open_fleet, wait_until
from tests.fleet_load import TARGET_PORT, start_small_fleet

pytestmark = pytest.mark.processes


class ProcessOnceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        manager = open_fleet()
        self.fleet: Fleet = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        start_small_fleet(self.fleet)

    def _book(self, node: int, key: str, body: bytes = b"hire 12 robes") -> Reply:
        headers = {"Idempotency-Key": key, "X-Account": "parish"}
        return self.fleet.request(
            node, "POST", "/book?ms=150&bytes=64", body=body, headers=headers
        )

    def _runs_by_key(self) -> Counter[str]:
        runs: Counter[str] = Counter()
        for number in (1, 2, 3):
            page = self.fleet.target(number, TARGET_PORT, "/control/runs")
            runs.update(page["by_key"])
        return runs

    def test_same_key_at_every_entry_at_once(self) -> None:
        """Guards against two entry nodes that both run a request with the same key."""
        replies: list[Reply] = []
        threads = [
            threading.Thread(target=lambda n=n: replies.append(self._book(n, "k-1")))
            for n in (1, 2, 3)
            for _ in range(2)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertThat(self._runs_by_key(), Equals({"k-1": 1}))
        first = next(r for r in replies if r.status == 200)
        again = self._book(3, "k-1")
        self.assertThat((again.status, again.body), Equals((200, first.body)))
        self.assertThat(self._runs_by_key(), Equals({"k-1": 1}))
        other = self._book(2, "k-1", body=b"another request")
        self.assertThat(other.headers["Siskinlug-Reason"], Equals("key_mismatch"))

    def test_key_after_the_loss_of_every_node_but_one(self) -> None:
        """Guards against a second run when the home node of the key is lost."""
        self.assertThat(self._book(1, "k-2").status, Equals(200))
        for name in ("node-1", "node-2"):
            self.fleet.process_by_name[name].kill()

        def outcome_known() -> bool:
            reply = self._book(3, "k-2")
            return reply.status == 200 or (
                reply.headers["Siskinlug-Verdict"] in ("ran", "may-have-run")
            )

        wait_until(outcome_known, "the key gets its recorded outcome")
        self.assertThat(self._runs_by_key(), Equals({"k-2": 1}))

    def _restart_crashed_targets(self) -> None:
        """Restart crashed targets and wait until all respond."""

        def all_answer() -> bool:
            for number in (1, 2, 3):
                process = self.fleet.process_by_name[f"work-{number}"]
                if process.popen.poll() is not None:
                    process.start()
                self.fleet.target(number, TARGET_PORT, "/control/runs")
            nodes = self.fleet.admin(1, "/nodes")
            return sum(len(node["targets"]) for node in nodes) == 3

        wait_until(all_answer, "the crashed targets are back")

    def test_request_that_crashes_targets_is_refused_fleet_wide(self) -> None:
        """Guards against a request that crashes one target after another."""
        refused = []
        for attempt in range(12):
            node = 1 + attempt % 3
            reply = self.fleet.request(
                node, "POST", "/book", body=b"poison", headers={"X-Crash": "1"}
            )
            if reply.headers.get("Siskinlug-Reason") == "quarantined":
                refused.append(node)
                break
            self._restart_crashed_targets()
        self.assertThat(len(refused), Equals(1))
        for node in (1, 2, 3):
            wait_until(
                lambda node=node: (
                    self.fleet.request(
                        node, "POST", "/book", body=b"poison"
                    ).headers.get("Siskinlug-Reason")
                    == "quarantined"
                ),
                f"node-{node} refuses the request",
                timeout_s=3.0,
            )
        self._restart_crashed_targets()
        other_reply = self.fleet.request(1, "POST", "/book", body=b"innocent")
        self.assertThat(other_reply.status, Equals(200))
