"""Members on a network that loses messages, in virtual time."""

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
from siskinlug.links import link_up, note_failure
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

SETTLE_S = 90.0


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
            await self._settle(network)
            await scenario(network, records)
            await network.stop()

        run_virtual(run())

    async def _settle(self, network: FakeNetwork) -> None:
        waited = await wait_until(network.converged, limit_s=SETTLE_S)
        if waited is None:
            for name in network.node_by_name:
                self.addDetail(
                    name,
                    testtools.content.text_content(str(network.count_states(name))),
                )
        self.assertIsNotNone(waited, "the members differ")

    def _lose_pushes(self, membership: Membership) -> None:
        call = membership.call

        async def call_but_pushes(
            address: Address, path: str, *args: Any, **named: Any
        ) -> Any:
            if path == PUSH:
                return Failure("lost")
            return await call(address, path, *args, **named)

        membership.call = call_but_pushes

    def _kinds(self, network: FakeNetwork, kind: Kind) -> list[tuple[str, str]]:
        return [
            (name, event.subject)
            for name, node in network.node_by_name.items()
            for event in node.membership.timeline.events()
            if event.kind == kind
        ]

    @settings(max_examples=settings.default.max_examples // 2)
    @given(st.data())
    def test_no_live_node_stays_dead_once_links_heal(self, data: st.DataObject) -> None:
        """Guards against members that never agree again after any mix of faults."""
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
            await self._settle(network)
            for number in gone:
                states = network.count_states(records[number].node)
                self.assertThat(states["alive"], Equals(0))

        self._run(count, scenario, seed=data.draw(st.integers(0, 999)))

    def test_a_one_way_cut_of_one_link_declares_no_one_dead(self) -> None:
        """Guards against the loss of a node that all but one reach."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one, other = records[0].node, records[1].node
            network.is_link_cut = lambda sender, receiver: (
                (sender, receiver) == (one, other)
            )
            await asyncio.sleep(60)
            self.assertThat(self._kinds(network, Kind.MEMBER_DEAD), Equals([]))
            links = network.node_by_name[one].membership.links
            self.assertThat(link_up(links, other), Equals(False))
            # The other end gets messages, but no answer to its own.
            links = network.node_by_name[other].membership.links
            self.assertThat(link_up(links, one), Equals(False))
            self.assertThat(link_up(links, records[2].node), Equals(True))

        self._run(8, scenario)

    def test_a_received_message_does_not_make_a_link_count_as_up(self) -> None:
        """Guards against work sent to a node that cannot answer."""

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

    def test_a_link_that_failed_once_is_tried_again_soon(self) -> None:
        """Guards against a peer that is avoided until its next turn, 7 min later."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            links = network.node_by_name[records[0].node].membership.links
            lost = [record.node for record in records[1:9]]
            for node in lost:
                note_failure(links, node)
            await asyncio.sleep(6)
            up = [link_up(links, node) for node in lost]
            self.assertThat(up, Equals([True] * len(lost)))

        self._run(40, scenario)

    def test_an_isolated_node_declares_no_one_dead(self) -> None:
        """Guards against one node that sends the whole fleet into refutations."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one = records[0].node
            network.is_link_cut = lambda sender, receiver: one in (sender, receiver)
            await asyncio.sleep(60)
            dead = self._kinds(network, Kind.MEMBER_DEAD)
            self.assertThat([node for node, _ in dead if node == one], Equals([]))
            self.assertThat(network.count_states(one), Equals({"dead": 7}))
            network.is_link_cut = lambda sender, receiver: False
            await self._settle(network)

        self._run(8, scenario)

    def test_regions_meet_again_after_they_forgot_each_other(self) -> None:
        """Guards against a fleet that stays split after an hour's partition."""

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
            await self._settle(network)

        self._run(8, scenario)

    def test_a_paused_node_is_declared_dead_and_returns(self) -> None:
        """Guards against a resumed node that is ignored for its old version."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one = records[3].node
            network.pause(one)
            await asyncio.sleep(30)
            self.assertThat(network.count_states(one), Equals({"dead": 7}))
            network.resume(one)
            # One round trip must do; a sync would come seconds later.
            membership = network.node_by_name[one].membership
            self.assertTrue(await check_peer(membership, records[0].node))
            self.assertThat(
                self._kinds(network, Kind.MEMBER_REFUTED), Equals([(one, one)])
            )
            await self._settle(network)

        self._run(8, scenario)

    def test_a_short_pause_declares_no_one_dead(self) -> None:
        """Guards against a death declared on timers that ran during the pause."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            network.pause(records[3].node)
            await asyncio.sleep(2.5)
            self.assertTrue(self._kinds(network, Kind.MEMBER_SUSPECTED))
            network.resume(records[3].node)
            await asyncio.sleep(20)
            self.assertThat(self._kinds(network, Kind.MEMBER_DEAD), Equals([]))

        self._run(8, scenario)

    def test_a_restart_replaces_the_earlier_process_everywhere(self) -> None:
        """Guards against a new process held for the old one, with any clock."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            for change in (1000, -1000):
                one = records[3]._replace(
                    incarnation=records[3].incarnation + change, version=1
                )
                await network.kill(one.node)
                network.start(one, seeds=_seeds(records))
                await self._settle(network)

        self._run(8, scenario)

    def test_leaving_is_known_at_once_and_without_suspicion(self) -> None:
        """Guards against a planned stop that is found out by failed pings."""

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
            self.assertThat(self._kinds(network, Kind.MEMBER_SUSPECTED), Equals([]))

        self._run(30, scenario)

    def test_a_dead_node_is_forgotten_by_all(self) -> None:
        """Guards against dead records that members hand to each other for ever."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            await network.kill(records[4].node)
            await asyncio.sleep(FORGET_S + 30)
            states = network.count_states(records[4].node)
            self.assertThat(states, Equals({"unknown": 7}))

        self._run(8, scenario)

    def test_a_spreading_change_triggers_no_sync(self) -> None:
        """Guards against 430 comparisons of directories for every change."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            await asyncio.sleep(20)
            before = network.calls_by_path[SYNC]
            for node in network.node_by_name.values():
                self._lose_pushes(node.membership)
            for record in records[:3]:
                membership = network.node_by_name[record.node].membership
                change_own(membership, targets=())
                await asyncio.sleep(0.5)
            await asyncio.sleep(15)
            self.assertThat(network.calls_by_path[SYNC], Equals(before))
            self.assertTrue(network.converged())

        self._run(30, scenario)

    def test_targets_that_come_one_by_one_share_pushes(self) -> None:
        """Guards against a whole fleet that passes on every target of a new node."""

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

    def test_changes_are_repeated_for_a_bounded_time(self) -> None:
        """Guards against pings that carry a cold start's records for minutes."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            one = network.node_by_name[records[0].node].membership
            other = network.node_by_name[records[1].node].membership
            self.assertThat(one.spreading, Not(Equals({})))
            # A sender with the same directory lacks nothing.
            ping = Gossip(other.own_mark(), (0, 0), one.directory.digest())
            answer = handle_ping(one, ping)
            self.assertThat((answer.marks, answer.records), Equals(([], [])))
            await asyncio.sleep(SPREAD_S + 2)
            for node in network.node_by_name.values():
                self.assertThat(node.membership.spreading, Equals({}))

        self._run(60, scenario)

    def test_deaths_that_come_together_share_pushes(self) -> None:
        """Guards against a flood when a failure domain is lost."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            await asyncio.sleep(20)
            before = network.calls_by_path[PUSH]
            lost = [record.node for record in records[20:]]
            for node in lost:
                await network.kill(node)
            # Other changes need not wait for the deaths.
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
            # Ten deaths within some seconds, and eight pushes a node at the most.
            self.assertThat(network.calls_by_path[PUSH] - before, LessThan(20 * 4 * 8))

        self._run(30, scenario)

    def test_a_sync_settles_what_pushes_and_pings_missed(self) -> None:
        """Guards against a member that misses a change and never notices."""

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            network.is_link_cut = lambda sender, receiver: receiver == records[9].node
            membership = network.node_by_name[records[0].node].membership
            change_own(membership, targets=())
            await asyncio.sleep(3.0)
            network.is_link_cut = lambda sender, receiver: False
            for node in network.node_by_name.values():
                node.membership.spreading.clear()
            await self._settle(network)

        self._run(10, scenario)

    def test_a_payload_reaches_all_and_is_passed_on_only_while_new(self) -> None:
        """Guards against a push that is lost early, or that never ends."""
        value_by_node: dict[str, int] = {}

        def payload(node: str) -> Payload:
            def read(sender: str, value: int) -> bool:
                new = value > value_by_node.get(node, 0)
                value_by_node[node] = max(value, value_by_node.get(node, 0))
                return new

            return Payload("number", int, lambda _: value_by_node.get(node), read)

        async def scenario(network: FakeNetwork, records: list[NodeRecord]) -> None:
            for name, node in network.node_by_name.items():
                node.membership.payload_by_name["number"] = payload(name)
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

    def test_a_silent_connection_is_told_from_a_silent_node(self) -> None:
        """Guards against a live node suspected for one connection that went dead."""
        silent: list[Address] = []

        async def run() -> None:
            network = FakeNetwork(random=Random(1))
            records = [make_node_record(n) for n in range(2)]
            first = network.start(records[0], on_silent=silent.append)
            call = first.call

            async def kept_connections_are_silent(*args, fresh=False, **named):  # type: ignore[no-untyped-def]
                return await call(*args, **named) if fresh else Failure("timeout")

            first.call = kept_connections_are_silent
            network.start(records[1], seeds=_seeds(records))
            await asyncio.sleep(10)
            self.assertThat(self._kinds(network, Kind.MEMBER_SUSPECTED), Equals([]))
            self.assertThat(silent[0], Equals((records[1].host, 7001)))
            await network.stop()

        run_virtual(run())

    def test_nodes_that_start_together_soon_know_each_other(self) -> None:
        """Guards against records that spread before most nodes were known."""

        async def run() -> None:
            network = FakeNetwork(random=Random(1))
            records = [make_node_record(n, targets=1) for n in range(60)]
            for record in records:
                network.start(record, seeds=_seeds(records))
            waited = await wait_until(network.converged, limit_s=6)
            self.assertIsNotNone(waited)
            await network.stop()

        run_virtual(run())

    def test_a_cold_start_without_seeds_joins_through_the_log(self) -> None:
        """Guards against a node that serves alone when its seeds were replaced."""

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
            await self._settle(network)
            self.assertThat(answers, Equals([]))
            await network.stop()

        run_virtual(run())
