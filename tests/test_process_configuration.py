"""Configuration of a fleet of processes: races, log outages, restarts during them."""

import asyncio

import pytest
import testtools
from testtools.matchers import Equals

from bench.fleet import LOG_PORT, Fleet, NodeSpec, call, open_fleet, wait_until
from siskinlug.log_client import open_log
from siskinlug.publishing import Outcome, publish
from tests.fleet_load import ROUTES, start_small_fleet

pytestmark = pytest.mark.processes


class ProcessConfigurationTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        manager = open_fleet()
        self.fleet: Fleet = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        start_small_fleet(self.fleet)

    def _publish(self, *changes: tuple[str, str]) -> list[Outcome]:
        async def run() -> list[Outcome]:
            return await asyncio.gather(
                *(
                    publish(
                        open_log(self.fleet.log_url),
                        "routes",
                        ROUTES.replace("timeout_s = 5", f"timeout_s = {timeout}"),
                        change=change,
                        base=1,
                        operator=change,
                        timeout_s=5.0,
                    )
                    for change, timeout in changes
                )
            )

        return asyncio.run(run())

    def _set_log_faults(self, body: bytes) -> None:
        reply = call(self.fleet.host(0), LOG_PORT, "POST", "/control", body=body)
        self.assertThat(reply.status, Equals(200))

    def _routes_in_force(self) -> set[tuple[int, str]]:
        versions_and_timeouts = set()
        for node in self.fleet.nodes:
            page = self.fleet.admin(node.number, "/tables")
            timeout = page["routes"]["read"]["timeout_s"]
            versions_and_timeouts.add((page["routes_version"], str(timeout)))
        return versions_and_timeouts

    def test_two_operators_at_once(self) -> None:
        """Guards against a lost update: the refusal names the accepted change."""
        outcomes = self._publish(("anna", "6"), ("boris", "7"))
        kinds = sorted(outcome.kind for outcome in outcomes)
        self.assertThat(kinds, Equals(["accepted", "refused"]))
        winner = next(o for o in outcomes if o.kind == "accepted")
        loser = next(o for o in outcomes if o.kind == "refused")
        self.assertIn(winner.change, loser.detail)
        self.fleet.wait_versions(routes=2, pools=1)
        timeout = {"anna": "6.0", "boris": "7.0"}[winner.change]
        self.assertThat(self._routes_in_force(), Equals({(2, timeout)}))

    def test_append_with_a_lost_response_counts_once(self) -> None:
        """Guards against a second version after an append whose response was lost."""
        self._set_log_faults(b'{"lose_answers": 1}')
        outcomes = self._publish(("carla", "8"))
        self._set_log_faults(b'{"lose_answers": 0}')
        self.assertThat([o.kind for o in outcomes], Equals(["accepted"]))
        self.fleet.wait_versions(routes=2, pools=1)
        self.assertThat(self._routes_in_force(), Equals({(2, "8.0")}))

    def test_node_restarted_while_the_log_is_down(self) -> None:
        """Guards against a node that has no configuration until the log is back."""
        self._publish(("dora", "9"))
        self.fleet.wait_versions(routes=2, pools=1)
        self._set_log_faults(b'{"down": "reset"}')
        outcomes = self._publish(("emil", "4"))
        self.assertThat([o.kind for o in outcomes], Equals(["refused"]))
        node = self.fleet.process_by_name["node-2"]
        node.kill()
        node.start()
        self.fleet.wait_versions(routes=2, pools=1)
        self.assertThat(self._routes_in_force(), Equals({(2, "9.0")}))
        wait_until(
            lambda: self.fleet.request(2, "GET", "/read?ms=1").status == 200,
            "the restarted node serves",
        )
        self._set_log_faults(b'{"down": "no"}')

    def test_node_without_seeds_joins_through_the_log(self) -> None:
        """Guards against a node that cannot join when all of its seeds are gone."""
        self.fleet.start_node(NodeSpec(4, "domain-1"), seeds=())
        self.fleet.wait_joined(targets=3)
