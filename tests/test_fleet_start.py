"""Load pattern: hundreds of nodes start together, and each change reaches all of them.

Traffic between failure domains is expensive, and what each node sends must not grow
with the fleet faster than the directory itself.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.fake_peers import FakeNetwork, make_node_record, wait_until
from bench.virtual_time import run_virtual
from siskinlug.membership import PUSH, PUSH_FANOUT, SYNC, announce_leaving, meet_unknown
from siskinlug.membership_state import Membership, address_of

CONVERGE_S = 60.0


class FleetStartTest(testtools.TestCase):
    def _run(self, scenario: Callable[[FakeNetwork], Awaitable[None]]) -> None:
        async def run() -> None:
            network = FakeNetwork(random=Random(1))
            await scenario(network)
            await network.stop()

        run_virtual(run())

    async def _start(
        self, network: FakeNetwork, numbers: range, *, domains: int
    ) -> list[Membership]:
        records = [make_node_record(n, domains=domains, targets=1) for n in numbers]
        seed = (records[0].host, records[0].peer_port)
        members = [network.start(record, seeds=[seed]) for record in records]
        await asyncio.sleep(CONVERGE_S)
        return members

    def test_two_halves_meet_with_one_sync(self) -> None:
        """Nodes that start together join through different nodes at first."""

        async def scenario(network: FakeNetwork) -> None:
            first = await self._start(network, range(20), domains=4)
            second = await self._start(network, range(20, 40), domains=4)
            addresses = [address_of(m.directory.own_record) for m in second]
            before = network.calls_by_path[SYNC]
            await meet_unknown(first[0], addresses)
            # A sync is two requests.
            self.assertThat(network.calls_by_path[SYNC] - before, Equals(2))
            waited = await wait_until(network.converged, limit_s=CONVERGE_S)
            self.assertIsNotNone(waited, "the halves did not converge")

        self._run(scenario)

    def test_most_pushes_stay_in_the_failure_domain(self) -> None:
        async def scenario(network: FakeNetwork) -> None:
            members = await self._start(network, range(60), domains=6)
            before = network.calls_by_path[PUSH]
            far_before = network.far_calls_by_path[PUSH]
            announce_leaving(members[7])
            leaving = members[7].directory.own_node
            waited = await wait_until(
                lambda: network.count_states(leaving)["leaving"] == 59, limit_s=3.0
            )
            self.assertIsNotNone(waited, "the change did not reach all nodes")
            pushes = network.calls_by_path[PUSH] - before
            far = network.far_calls_by_path[PUSH] - far_before
            self.assertThat(pushes, GreaterThan(59))
            # One push of each four leaves the domain.
            self.assertThat(far, LessThan(pushes / PUSH_FANOUT + 1))

        self._run(scenario)

    def test_node_alone_in_its_domain_pushes_to_others(self) -> None:
        async def scenario(network: FakeNetwork) -> None:
            members = await self._start(network, range(10), domains=10)
            announce_leaving(members[3])
            leaving = members[3].directory.own_node
            waited = await wait_until(
                lambda: network.count_states(leaving)["leaving"] == 9, limit_s=3.0
            )
            self.assertIsNotNone(waited, "the change did not reach all nodes")

        self._run(scenario)
