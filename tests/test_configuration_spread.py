"""Spread of a configuration from one node to the rest of a fleet, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import testtools
from testtools.matchers import Equals, LessThan

from bench.fake_peers import ONE_WAY_DELAY_S, FakeNetwork, make_node_record, wait_until
from bench.virtual_time import run_virtual
from siskinlug.clock import HybridClock
from siskinlug.config_sync import (
    ConfigurationView,
    answer_configuration,
    configuration_payload,
    fetch_from_peers,
    handle_peer_position,
    make_configuration,
    put_in_force,
)
from siskinlug.configuration import declared_state, position_of
from siskinlug.connections import Address
from siskinlug.gossip import push_payload
from siskinlug.messages import ConfigurationPosition, encode
from siskinlug.peer_client import CALL_TIMEOUT_S
from siskinlug.timeline import Timeline

CONVERGE_S = 90.0
CHANGES = 40
# A change is due 2 s after its confirmation; the first node may need 1.5 s of these.
SPREAD_LIMIT_S = 0.5


class _Fleet:
    """Nodes that spread a configuration, none of which reads it from a source."""

    def __init__(self, count: int) -> None:
        self.network = FakeNetwork(random=Random(5))
        self.view_by_node: dict[str, ConfigurationView] = {}
        self.fetching: list[asyncio.Task[None]] = []
        self.names = [self._start(number, count) for number in range(count)]

    def _start(self, number: int, count: int) -> str:
        seeds: list[Address] = []
        for seed in range(min(2, count)):
            record = make_node_record(seed)
            seeds.append((record.host, record.peer_port))
        own = make_node_record(number)
        view = make_configuration(
            Timeline(own.node, HybridClock()), random=Random(number)
        )
        membership = self.network.start(
            own, seeds=seeds, payloads=[configuration_payload(view)]
        )
        view.push = partial(push_payload, membership, "configuration")
        self.view_by_node[own.node] = view
        self.fetching.append(asyncio.create_task(fetch_from_peers(view, self._fetch)))
        return own.node

    async def _fetch(self, peer: str, position: ConfigurationPosition) -> bytes | None:
        if peer in self.network.paused:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return None
        await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        return answer_configuration(self.view_by_node[peer], encode(position))

    def change(self, name: str, version: int) -> None:
        """Put a version in force on one node, as if it had read it from the source."""
        state = declared_state(version, "", "").unwrap()
        put_in_force(self.view_by_node[name], state, "the source")

    def count_behind(self, version: int) -> int:
        """Return how many nodes have an older version in force."""
        views = self.view_by_node.values()
        return sum(view.state.routes_version < version for view in views)

    async def stop(self) -> None:
        for task in self.fetching:
            task.cancel()
        await self.network.stop()


def _position(version: int) -> ConfigurationPosition:
    return position_of(declared_state(version, "", "").unwrap())


def _run(count: int, scenario: Callable[[_Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        fleet = _Fleet(count)
        await wait_until(fleet.network.converged, limit_s=CONVERGE_S)
        await scenario(fleet)
        await fleet.stop()

    run_virtual(run())


class ConfigurationSpreadTest(testtools.TestCase):
    def test_news_does_not_wait_for_a_push_of_the_old_version(self) -> None:
        """Guards against a pause at each hop of a change, which most nodes feel."""

        async def scenario(fleet: _Fleet) -> None:
            for version in range(1, CHANGES + 1):
                fleet.change(fleet.names[version % 27], version)
                await asyncio.sleep(0.1)
                # A push misses a node now and then, never a good part of the fleet.
                self.assertThat(fleet.count_behind(version), LessThan(7))
                await asyncio.sleep(5.0)

        _run(27, scenario)

    def test_news_misses_no_node(self) -> None:
        """Guards against a node that hears of a change only with a ping, 1 s later."""

        async def scenario(fleet: _Fleet) -> None:
            late: list[tuple[int, int]] = []
            for version in range(1, CHANGES + 1):
                fleet.change(fleet.names[version % 27], version)
                await asyncio.sleep(SPREAD_LIMIT_S)
                late.append((version, fleet.count_behind(version)))
                await asyncio.sleep(5.0)
            self.assertThat([row for row in late if row[1]], Equals([]))

        _run(27, scenario)

    def test_peer_that_does_not_respond_does_not_hold_up_a_change(self) -> None:
        """Guards against a change that waits for a peer which froze after its push."""

        async def scenario(fleet: _Fleet) -> None:
            behind, frozen, ahead = fleet.names
            fleet.change(ahead, 1)
            fleet.network.pause(frozen)
            view = fleet.view_by_node[behind]
            handle_peer_position(view, frozen, _position(2))
            handle_peer_position(view, ahead, _position(1))
            await asyncio.sleep(SPREAD_LIMIT_S)
            self.assertThat(view.state.routes_version, Equals(1))

        _run(3, scenario)
