"""Membership on a simulated network that loses messages, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan, Not

from bench.fake_peers import FakeNetwork, make_node_record, wait_until
from bench.virtual_time import run_virtual
from siskinlug.connections import Address
from siskinlug.directory import NodeRecord
from siskinlug.links import link_up, record_failure
from siskinlug.membership import (
    FORGET_S,
    PUSH,
    SPREAD_S,
    SYNC,
    Membership,
    Payload,
    announce_leaving,
    change_own,
    check_peer,
    depart,
    handle_ping,
    push_payload,
)
from siskinlug.messages import Gossip
from siskinlug.timeline import Kind

CONVERGE_S = 90.0


def _seeds(records: list[NodeRecord]) -> list[Address]:
    return [(r.host, r.peer_port) for r in records[:2]]


class MembershipTest(testtools.TestCase):
    def _run(
        self,
        count: int,
        scenario: Callable[[FakeNetwork, list[NodeRecord]], Awaitable[None]],
        *,
        seed: int = 1,
    ) -> None:
        async def run() -> None:
            network = FakeNetwork(random=Random(seed))
            records = [make_node_record(n, targets=1) for n in range(count)]
            for record in records:
                network.start(record, seeds=_seeds(records))
            await self._wait_converged(network)
            await scenario(network, records)
            await network.stop()

        run_virtual(run())

    async def _wait_converged(self, network: FakeNetwork) -> None:
        waited = await wait_until(network.converged, limit_s=CONVERGE_S)
        if waited is None:
            for name in network.node_by_name:
                self.addDetail(
                    name,
                    testtools.content.text_content(str(network.count_states(name))),
                )
        self.assertIsNotNone(waited, "the directories did not converge")

    def _drop_pushes(self, membership: Membership) -> None:
        call = membership.call

        async def call_without_pushes(
            address: Address, path: str, *args: Any, **named: Any
        ) -> Any:
            if path == PUSH:
                return Failure("lost")
            return await call(address, path, *args, **named)

        membership.call = call_without_pushes

    def _events_of_kind(
        self, network: FakeNetwork, kind: Kind
    ) -> list[tuple[str, str]]:
        return [
            (name, event.subject)
            for name, node in network.node_by_name.items()
            for event in node.membership.timeline.events()
            if event.kind == kind
        ]

    def test_node_that_joins_has_the_payloads_of_the_fleet_at_once(self) -> None:
        """Guards against a restarted node that serves an older configuration."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            received: list[int] = []
            payload = Payload(
                name="version",
                value_type=int,
                write=lambda _urgent: 9,
                read=lambda _peer, _version: False,
            )
            for record in records[:2]:
                peer = network.node_by_name[record.node].membership
                peer.payload_by_name["version"] = payload
            joining = make_node_record(9, targets=1)
            own_payload = payload._replace(
                write=lambda _urgent: None,
                read=lambda _peer, version: bool(received.append(version)),
            )
            membership = network.start(
                joining, seeds=_seeds(records), payloads=[own_payload]
            )
            await membership.joined.wait()
            self.assertThat(received, Equals([9]))

        self._run(5, scenario)

    @settings(max_examples=settings.default.max_examples // 2)
    @given(st.data())
    def test_no_live_node_stays_dead_once_links_heal(self, data: st.DataObject) -> None:
        """Guards against directories that do not converge after a mix of faults."""
        count = data.draw(st.integers(3, 9))
        fault = st.sampled_from(["cut", "mute", "split", "pause", "restart", "leave"])
        faults = data.draw(
            st.lists(
                st.tuples(fault, st.integers(0, count - 1), st.integers(0, count - 1)),
                min_size=1,
                max_size=5,
            )
        )
        lengths = data.draw(
            st.lists(st.sampled_from([0.3, 4, 12]), min_size=5, max_size=5)
        )

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            cuts: list[Callable[[str, str], bool]] = []
            network.is_link_cut = lambda sender, receiver: any(
                cut(sender, receiver) for cut in cuts
            )
            gone: set[int] = set()
            half = {r.node for r in records[: count // 2]}
            for (kind, first, second), length in zip(faults, lengths, strict=False):
                one, other = records[first].node, records[second].node
                if first in gone:
                    continue
                if kind == "cut":
                    cuts.append(lambda s, r, pair=(one, other): (s, r) == pair)
                elif kind == "mute":
                    cuts.append(lambda s, r, one=one: s == one)
                elif kind == "split":
                    cuts.append(lambda s, r: (s in half) != (r in half))
                elif kind == "pause" and one not in network.paused:
                    network.pause(one)
                elif kind == "restart" and one not in network.paused:
                    await network.kill(one)
                    records[first] = records[first]._replace(
                        incarnation=records[first].incarnation + 10
                    )
                    network.start(records[first], seeds=_seeds(records))
                elif kind == "leave" and first > 1 and one not in network.paused:
                    membership = network.node_by_name[one].membership
                    announce_leaving(membership)
                    await depart(membership)
                    await network.kill(one)
                    gone.add(first)
                await asyncio.sleep(length)
            cuts.clear()
            for name in list(network.paused):
                network.resume(name)
            await self._wait_converged(network)
            for number in gone:
                states = network.count_states(records[number].node)
                self.assertThat(states["alive"], Equals(0))

        self._run(count, scenario, seed=data.draw(st.integers(0, 999)))

    def test_one_way_loss_on_one_link_declares_no_node_dead(self) -> None:
        """Guards against declaring a node dead that only one other cannot reach."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one, other = records[0].node, records[1].node
            network.is_link_cut = lambda sender, receiver: (
                (sender, receiver) == (one, other)
            )
            await asyncio.sleep(60)
            self.assertThat(self._events_of_kind(network, Kind.MEMBER_DEAD), Equals([]))
            links = network.node_by_name[one].membership.links
            self.assertThat(link_up(links, other), Equals(False))
            # The other end receives messages, but no responses to its own.
            links = network.node_by_name[other].membership.links
            self.assertThat(link_up(links, one), Equals(False))
            self.assertThat(link_up(links, records[2].node), Equals(True))

        self._run(8, scenario)

    def test_received_message_does_not_mark_link_as_up(self) -> None:
        """Guards against requests sent to a node that receives but cannot respond."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one, other = records[0].node, records[1].node
            network.is_link_cut = lambda sender, receiver: (
                (sender, receiver) == (one, other)
            )
            membership = network.node_by_name[one].membership
            self.assertFalse(await check_peer(membership, other))
            sender = network.node_by_name[other].membership
            await check_peer(sender, one)
            self.assertThat(link_up(membership.links, other), Equals(False))

        self._run(3, scenario)

    def test_failed_link_is_retried_soon(self) -> None:
        """Guards against avoiding a peer until its next ping, up to 7 min later."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            links = network.node_by_name[records[0].node].membership.links
            lost = [record.node for record in records[1:9]]
            for node in lost:
                record_failure(links, node)
            await asyncio.sleep(6)
            up = [link_up(links, node) for node in lost]
            self.assertThat(up, Equals([True] * len(lost)))

        self._run(40, scenario)

    def test_isolated_node_declares_no_node_dead(self) -> None:
        """Guards against an isolated node that makes the whole fleet refute deaths."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one = records[0].node
            network.is_link_cut = lambda sender, receiver: one in (sender, receiver)
            await asyncio.sleep(60)
            dead = self._events_of_kind(network, Kind.MEMBER_DEAD)
            self.assertThat([node for node, _ in dead if node == one], Equals([]))
            self.assertThat(network.count_states(one), Equals({"dead": 7}))
            network.is_link_cut = lambda sender, receiver: False
            await self._wait_converged(network)

        self._run(8, scenario)

    def test_regions_reconnect_after_forgetting_each_other(self) -> None:
        """Guards against a fleet that stays split after a partition of an hour."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            # Both seeds are in the first half.
            half = {r.node for r in records[:4]}
            for node in network.node_by_name.values():
                node.membership.seeds = ()
            network.is_link_cut = lambda s, r: (s in half) != (r in half)
            await asyncio.sleep(FORGET_S + 60)
            states = network.count_states(records[0].node)
            self.assertThat(states["unknown"], Equals(4))
            network.is_link_cut = lambda sender, receiver: False
            await self._wait_converged(network)

        self._run(8, scenario)

    def test_paused_node_is_declared_dead_and_returns(self) -> None:
        """Guards against ignoring a resumed node because its version is old."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one = records[3].node
            network.pause(one)
            await asyncio.sleep(30)
            self.assertThat(network.count_states(one), Equals({"dead": 7}))
            network.resume(one)
            # One round trip must be enough; a sync would come seconds later.
            membership = network.node_by_name[one].membership
            self.assertTrue(await check_peer(membership, records[0].node))
            self.assertThat(
                self._events_of_kind(network, Kind.MEMBER_REFUTED), Equals([(one, one)])
            )
            await self._wait_converged(network)

        self._run(8, scenario)

    def test_short_pause_declares_no_node_dead(self) -> None:
        """Guards against a death declared by timers that expired during the pause."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            network.pause(records[3].node)
            await asyncio.sleep(2.5)
            self.assertTrue(self._events_of_kind(network, Kind.MEMBER_SUSPECTED))
            network.resume(records[3].node)
            await asyncio.sleep(20)
            self.assertThat(self._events_of_kind(network, Kind.MEMBER_DEAD), Equals([]))

        self._run(8, scenario)

    def test_restart_replaces_earlier_process_everywhere(self) -> None:
        """Guards against taking a new process for the old one, however its clock is."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            for change in (1000, -1000):
                restarted = records[3]._replace(
                    incarnation=records[3].incarnation + change, version=1
                )
                await network.kill(restarted.node)
                network.start(restarted, seeds=_seeds(records))
                await self._wait_converged(network)

        self._run(8, scenario)

    def test_leaving_node_is_known_at_once_without_suspicion(self) -> None:
        """Guards against a planned stop that is detected only by failed pings."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one = records[5].node
            membership = network.node_by_name[one].membership
            announce_leaving(membership)
            await asyncio.sleep(1)
            self.assertThat(network.count_states(one), Equals({"leaving": 29}))
            await depart(membership)
            await network.kill(one)
            await asyncio.sleep(1)
            self.assertThat(network.count_states(one), Equals({"dead": 29}))
            self.assertThat(
                self._events_of_kind(network, Kind.MEMBER_SUSPECTED), Equals([])
            )

        self._run(30, scenario)

    def test_dead_node_is_forgotten_by_all(self) -> None:
        """Guards against records of dead nodes that are exchanged for ever."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            await network.kill(records[4].node)
            await asyncio.sleep(FORGET_S + 30)
            states = network.count_states(records[4].node)
            self.assertThat(states, Equals({"unknown": 7}))

        self._run(8, scenario)

    def test_gossip_of_a_change_triggers_no_sync(self) -> None:
        """Guards against a sync on each of 430 nodes for every change."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            await asyncio.sleep(20)
            before = network.calls_by_path[SYNC]
            for node in network.node_by_name.values():
                self._drop_pushes(node.membership)
            for record in records[:3]:
                membership = network.node_by_name[record.node].membership
                change_own(membership, targets=())
                await asyncio.sleep(0.5)
            await asyncio.sleep(15)
            self.assertThat(network.calls_by_path[SYNC], Equals(before))
            self.assertTrue(network.converged())

        self._run(30, scenario)

    def test_successive_target_changes_share_pushes(self) -> None:
        """Guards against one push to the whole fleet for each target of a new node."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            await asyncio.sleep(20)
            before = network.calls_by_path[PUSH]
            membership = network.node_by_name[records[4].node].membership
            target = records[4].targets[0]
            for number in range(8):
                change_own(membership, targets=(target,) * (2 + number))
                await asyncio.sleep(0.1)
            await asyncio.sleep(10)
            self.assertThat(
                network.calls_by_path[PUSH] - before, LessThan(2 * 30 * 4 + 1)
            )
            self.assertTrue(network.converged())

        self._run(30, scenario)

    def test_changes_are_repeated_for_a_limited_time(self) -> None:
        """Guards against pings that carry the records of a cold start for minutes."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one = network.node_by_name[records[0].node].membership
            other = network.node_by_name[records[1].node].membership
            self.assertThat(one.pending_change_by_node, Not(Equals({})))
            # A sender with an equal directory needs no changes.
            ping = Gossip(other.own_summary(), (0, 0), one.directory.digest())
            answer = handle_ping(one, ping)
            self.assertThat((answer.summaries, answer.records), Equals(([], [])))
            await asyncio.sleep(SPREAD_S + 2)
            for node in network.node_by_name.values():
                self.assertThat(node.membership.pending_change_by_node, Equals({}))

        self._run(60, scenario)

    def test_simultaneous_deaths_share_pushes(self) -> None:
        """Guards against a flood of pushes when a failure domain is lost."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            await asyncio.sleep(20)
            before = network.calls_by_path[PUSH]
            lost = [record.node for record in records[20:]]
            for node in lost:
                await network.kill(node)
            # Other changes are not delayed by the deaths.
            membership = network.node_by_name[records[9].node].membership
            await asyncio.sleep(5)
            announce_leaving(membership)
            await asyncio.sleep(1)
            self.assertThat(
                network.count_states(records[9].node), Equals({"leaving": 19})
            )
            await asyncio.sleep(24)
            for node in lost:
                self.assertThat(network.count_states(node), Equals({"dead": 20}))
            # Ten deaths within seconds cause at most eight pushes per node.
            self.assertThat(network.calls_by_path[PUSH] - before, LessThan(20 * 4 * 8))

        self._run(30, scenario)

    def test_sync_repairs_changes_missed_by_pushes_and_pings(self) -> None:
        """Guards against a node that misses a change for good."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            network.is_link_cut = lambda sender, receiver: receiver == records[9].node
            membership = network.node_by_name[records[0].node].membership
            change_own(membership, targets=())
            await asyncio.sleep(3.0)
            network.is_link_cut = lambda sender, receiver: False
            for node in network.node_by_name.values():
                node.membership.pending_change_by_node.clear()
            await self._wait_converged(network)

        self._run(10, scenario)

    def _payload(self, value_by_node: dict[str, int], node: str) -> Payload:
        """Return a payload with the highest number that the node has received."""

        def read(sender: str, value: int) -> bool:
            new = value > value_by_node.get(node, 0)
            value_by_node[node] = max(value, value_by_node.get(node, 0))
            return new

        return Payload("number", int, lambda _: value_by_node.get(node), read)

    def test_payload_is_pushed_while_open_connections_are_silent(self) -> None:
        """Guards against a new version that is lost on connections to peers."""
        value_by_node: dict[str, int] = {}

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            for name, node in network.node_by_name.items():
                payload = self._payload(value_by_node, name)
                node.membership.payload_by_name["number"] = payload
            network.pooled_silent = True
            value_by_node[records[7].node] = 1
            push_payload(network.node_by_name[records[7].node].membership, "number")
            await asyncio.sleep(0.9)
            self.assertThat(len(value_by_node), GreaterThan(24))

        self._run(27, scenario)

    def test_payload_reaches_all_nodes_and_is_forwarded_only_while_new(self) -> None:
        """Guards against pushes that reach too few nodes, or that never end."""
        value_by_node: dict[str, int] = {}

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            for name, node in network.node_by_name.items():
                node.membership.payload_by_name["number"] = self._payload(
                    value_by_node, name
                )
            await asyncio.sleep(20)
            before = network.calls_by_path[PUSH]
            value_by_node[records[7].node] = 5
            push_payload(network.node_by_name[records[7].node].membership, "number")
            await asyncio.sleep(0.5)
            self.assertThat(len(value_by_node), GreaterThan(25))
            await asyncio.sleep(20)
            self.assertThat(value_by_node, HasLength(30))
            self.assertThat(network.calls_by_path[PUSH] - before, LessThan(30 * 4 + 1))

        self._run(30, scenario)

    def test_stale_connection_does_not_make_a_node_suspected(self) -> None:
        """Guards against suspecting a live node because a pooled connection is dead."""
        stale_addresses: list[Address] = []

        async def run() -> None:
            network = FakeNetwork(random=Random(1))
            records = [make_node_record(n) for n in range(2)]
            first = network.start(
                records[0], on_stale_connections=stale_addresses.append
            )
            call = first.call

            async def pooled_connections_are_silent(*args, fresh=False, **named):  # type: ignore[no-untyped-def]
                return await call(*args, **named) if fresh else Failure("timeout")

            first.call = pooled_connections_are_silent
            network.start(records[1], seeds=_seeds(records))
            await asyncio.sleep(10)
            self.assertThat(
                self._events_of_kind(network, Kind.MEMBER_SUSPECTED), Equals([])
            )
            self.assertThat(stale_addresses[0], Equals((records[1].host, 7001)))
            await network.stop()

        run_virtual(run())

    def test_nodes_that_start_together_converge_soon(self) -> None:
        """Guards against records whose gossip ended before most nodes were known."""

        async def run() -> None:
            network = FakeNetwork(random=Random(1))
            records = [make_node_record(n, targets=1) for n in range(60)]
            for record in records:
                network.start(record, seeds=_seeds(records))
            waited = await wait_until(network.converged, limit_s=6)
            self.assertIsNotNone(waited)
            await network.stop()

        run_virtual(run())

    def test_cold_start_without_seeds_joins_through_the_log(self) -> None:
        """Guards against a node that stays alone because its seeds were replaced."""

        async def run() -> None:
            network = FakeNetwork(random=Random(1))
            records = [make_node_record(n) for n in range(3)]
            answers = [OSError("the log is down"), [("10.9.9.9", 1)], _seeds(records)]

            async def read_members() -> list[Address]:
                answer = answers.pop(0)
                if isinstance(answer, OSError):
                    raise answer
                return answer  # type: ignore[return-value]

            network.start(records[0])
            gone = [("10.9.9.9", 1)]
            network.start(records[2], seeds=gone, read_members=read_members)
            await self._wait_converged(network)
            self.assertThat(answers, Equals([]))
            await network.stop()

        run_virtual(run())
