"""The configuration under lost, late and doubled appends, races, trims and restarts."""

import asyncio
import threading
from random import Random
from typing import Any, NamedTuple
from unittest import mock

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from testtools.matchers import Contains, Equals, HasLength, IsInstance, Not

from bench.virtual_time import run_virtual
from siskinlug.clock import HybridClock
from siskinlug.config_sync import (
    CaughtUp,
    ConfigurationView,
    answer_configuration,
    catch_up,
    make_configuration,
    note_position,
    poll_once,
    snapshot_due,
    take_answer,
)
from siskinlug.configuration import (
    EMPTY_STATE,
    adopt,
    cancel_record,
    fold,
    position_of,
    publish_record,
    snapshot_record,
    start_over_record,
    tables_of,
)
from siskinlug.messages import ConfigurationPosition, encode
from siskinlug.tables import parse_pools
from siskinlug.timeline import Timeline
from tests.fake_configuration_log import FakeLog

# Texts and what they mean, so that the reference needs no parser: the pools that a
# routes text needs, and the pools that a pools text has. None is a faulty text.
NEEDS = {
    "": set(),
    "[r]\npool = a\n": {"a"},
    "[r]\npool = a\n[s]\npath_prefix = /s\npool = b\n": {"a", "b"},
    "[r]\nnonsense\n": None,
}
HAS = {
    "": set(),
    "[a]\nservice = x\n": {"a"},
    "[a]\nservice = x\n[b]\nservice = y\n": {"a", "b"},
    "[a]\n": None,
}
TEXTS = {"routes": list(NEEDS), "pools": list(HAS)}
IDS = st.integers(0, 8).map(lambda n: f"change-{n}")


class Reference(NamedTuple):
    """What a prefix of the log should amount to."""

    versions: dict[str, int]
    texts: dict[str, str]
    decided: dict[str, int]


def reference(records: list[Any]) -> Reference:
    """Fold records in the plainest way."""
    held = Reference({"routes": 0, "pools": 0}, {"routes": "", "pools": ""}, {})
    for entry in records:
        if not isinstance(entry, dict) or entry.get("id") in held.decided:
            continue
        if entry.get("kind") == "start-over":
            held.versions.update(routes=entry["version"], pools=entry["version"])
            held.texts.update(routes=entry["routes_text"], pools=entry["pools_text"])
            held.decided.clear()
            held.decided[entry["id"]] = entry["version"]
        if entry.get("kind") == "cancel":
            held.decided[entry["id"]] = 0
        if entry.get("kind") != "publish" or "table" not in entry:
            continue
        table = entry["table"]
        texts = {**held.texts, table: entry["text"]}
        needs, has = NEEDS[texts["routes"]], HAS[texts["pools"]]
        valid = needs is not None and has is not None and needs <= has
        accepted = valid and entry["base"] == held.versions[table]
        if accepted:
            held.versions[table] += 1
            held.texts[table] = entry["text"]
        held.decided[entry["id"]] = held.versions[table] if accepted else 0
    return held


class Fleet(RuleBasedStateMachine):
    """Nodes that follow one log; see ``FakeLog`` for its faults."""

    def __init__(self) -> None:
        super().__init__()
        self.fake = FakeLog()
        self.now_ms = 1_000_000
        self.nodes: list[ConfigurationView] = []
        self.seen: dict[int, tuple[int, int, int]] = {}

    def _new_view(self) -> ConfigurationView:
        return make_configuration(
            Timeline("n", HybridClock()),
            random=Random(1),
            monotonic=lambda: self.now_ms / 1000,
            wall_ms=lambda: self.now_ms,
        )

    @initialize(count=st.integers(1, 3))
    def start(self, count: int) -> None:
        self.nodes = [self._new_view() for _ in range(count)]

    @rule(
        data=st.data(),
        table=st.sampled_from(["routes", "pools"]),
        change=IDS,
        stale=st.sampled_from([0, 0, 0, 1, -1]),
        copies=st.integers(1, 2),
        late=st.booleans(),
    )
    def append_publish(
        self,
        data: st.DataObject,
        table: str,
        change: str,
        stale: int,
        copies: int,
        late: bool,
    ) -> None:
        base = reference(self.fake.all_records).versions[table] - stale
        text = data.draw(st.sampled_from(TEXTS[table]))
        sent = publish_record(
            change, table, text, base=base, operator="o", note="", at_ms=1
        )
        for _ in range(copies):
            if late:
                self.fake.late.append(sent)
            else:
                self.fake.add(sent)

    @rule()
    def append_start_over(self) -> None:
        self.now_ms += 1_000_000  # more seconds than changes, as the rule needs
        routes, pools = list(NEEDS)[1], list(HAS)[1]
        version = self.now_ms // 1000
        self.fake.add(
            start_over_record(
                f"over-{version}",
                routes,
                pools,
                version=version,
                operator="o",
                note="",
                at_ms=1,
            )
        )

    @rule(change=IDS)
    def append_cancel(self, change: str) -> None:
        self.fake.add(cancel_record(change, "routes", operator="o", at_ms=1))

    @rule(junk=st.sampled_from([None, 7, {"kind": "publish"}, {"kind": "new"}]))
    def append_unknown_record(self, junk: Any) -> None:
        self.fake.add(junk)

    @rule(node=st.integers(0, 2))
    def append_late_snapshot(self, node: int) -> None:
        state = self.nodes[node % len(self.nodes)].state
        self.fake.late.append(snapshot_record(state, at_ms=self.now_ms))

    @rule()
    def late_appends_arrive(self) -> None:
        self.fake.deliver_late()

    @rule(keep=st.integers(0, 6))
    def retention_ends(self, keep: int) -> None:
        self.fake.trim(keep)

    @rule(down=st.sampled_from([False, False, True]))
    def log_fails_or_returns(self, down: bool) -> None:
        self.fake.down = down

    @rule(node=st.integers(0, 2), elapsed_ms=st.sampled_from([0, 5_000, 700_000]))
    def poll(self, node: int, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms
        view = self.nodes[node % len(self.nodes)]
        run_virtual(poll_once(view, self.fake.log(), nodes=len(self.nodes)))

    @rule()
    def poll_all(self) -> None:
        for node in range(len(self.nodes)):
            self.poll(node=node, elapsed_ms=5_000)

    @rule(node=st.integers(0, 2))
    def restart(self, node: int) -> None:
        index = node % len(self.nodes)
        self.nodes[index] = self._new_view()
        self.seen.pop(index, None)

    @rule(taker=st.integers(0, 2), giver=st.integers(0, 2))
    def fetch_from_peer(self, taker: int, giver: int) -> None:
        to = self.nodes[taker % len(self.nodes)]
        source = self.nodes[giver % len(self.nodes)]
        answer = answer_configuration(source, encode(position_of(to.state)))
        take_answer(to, "peer", answer)

    @invariant()
    def each_node_holds_what_its_prefix_amounts_to(self) -> None:
        """Guards against states that depend on the way they were reached."""
        for view in self.nodes:
            state = view.state
            expected = reference(self.fake.all_records[: state.offset])
            versions = {t: state.version(t) for t in ("routes", "pools")}
            assert versions == expected.versions
            assert {t: state.text(t) for t in versions} == expected.texts
            assert {c.change: c.version for c in state.changes} == expected.decided
            assert view.tables == tables_of(state)

    @invariant()
    def no_node_goes_back(self) -> None:
        """Guards against an adoption or a fold that reverts a node."""
        for index, view in enumerate(self.nodes):
            now = tuple(position_of(view.state).values())
            before = self.seen.setdefault(index, now)
            assert all(a >= b for a, b in zip(now, before, strict=True))
            self.seen[index] = now

    @precondition(lambda self: self.nodes)
    @rule()
    def log_can_be_started_from_while_a_complete_node_lives(self) -> None:
        """Guards against retention outrunning the snapshots."""
        self.fake.down = False
        end = len(self.fake.all_records)
        for view in self.nodes:
            if view.state.offset < end and view.state.offset < self.fake.first:
                continue
            self.now_ms += 5_000
            run_virtual(poll_once(view, self.fake.log(), nodes=1))
            self.now_ms += 5_000
            run_virtual(poll_once(view, self.fake.log(), nodes=1))
            started = run_virtual(catch_up(self.fake.log(), EMPTY_STATE)).unwrap()
            assert started.complete
            assert started.state.changes == view.state.changes
            return


def _record(change: str, table: str, text: str, *, base: int = 0) -> Any:
    return publish_record(
        change, table, text, base=base, operator="o", note="", at_ms=1
    )


class ConfigurationTest(testtools.TestCase):
    def test_fleet_follows_the_log(self) -> None:
        bounds = settings(max_examples=3 * settings().max_examples)
        run_state_machine_as_test(Fleet, settings=bounds)

    def test_conflict_names_the_other_change(self) -> None:
        """Guards against a refusal that leaves the operator to search for its cause."""
        state = EMPTY_STATE
        for offset, (change, operator) in enumerate([("c1", "ana"), ("c2", "bo")]):
            text = "[a]\nservice = x\n"
            sent = publish_record(
                change, "pools", text, base=0, operator=operator, note="n", at_ms=1
            )
            state = fold(state, offset, sent)
        refused = state.changes[1]
        self.assertThat(refused.cause, Equals("conflict"))
        self.assertThat(
            refused.problem,
            Equals("pools is at version 1, not 0; ana published change c1: n"),
        )

    def test_peer_state_with_a_lower_version_is_not_taken(self) -> None:
        """Guards against a revert by a peer that followed another log."""
        own = EMPTY_STATE._replace(offset=5, routes_version=2)
        other = own._replace(offset=9, routes_version=1, pools_version=4)
        self.assertThat(adopt(own, other), Equals(own))

    def test_peer_state_that_cannot_be_read_is_not_taken(self) -> None:
        """Guards against tables of a newer version that this process cannot parse."""
        other = EMPTY_STATE._replace(
            offset=9, routes_version=1, routes_text="[r]\nnew_key = 1\n"
        )
        self.assertThat(adopt(EMPTY_STATE, other), Equals(EMPTY_STATE))

    def test_refused_change_that_arrives_again_stays_refused(self) -> None:
        """Guards against a doubled append that comes into force after a refusal."""
        early = _record("c1", "routes", "[r]\npool = a\n")
        state = fold(EMPTY_STATE, 0, early)
        state = fold(state, 1, _record("c2", "pools", "[a]\nservice = x\n"))
        again = fold(state, 2, early)
        self.assertThat(again.routes_version, Equals(0))
        self.assertThat(again.changes, Equals(state.changes))
        cancelled = fold(again, 3, cancel_record("c2", "pools", operator="o", at_ms=1))
        self.assertThat(cancelled.changes, Equals(state.changes))

    def test_only_the_next_record_is_folded(self) -> None:
        """Guards against a state that lacks a record of its prefix or has one twice."""
        sent = _record("c1", "pools", "[a]\nservice = x\n")
        for offset in (0, 2):
            state = EMPTY_STATE._replace(offset=1)
            self.assertThat(fold(state, offset, sent), Equals(state))

    def test_earlier_state_is_not_taken(self) -> None:
        """Guards against going back to a prefix that was held before."""
        own = EMPTY_STATE._replace(offset=5)
        self.assertThat(adopt(own, EMPTY_STATE._replace(offset=4)), Equals(own))

    def test_trimmed_log_is_started_from_a_snapshot_that_reaches_it(self) -> None:
        """Guards against a start that lacks records between snapshot and log."""
        fake = FakeLog()
        fake.add(_record("c1", "pools", "[a]\nservice = x\n"))
        state = run_virtual(catch_up(fake.log(), EMPTY_STATE)).unwrap().state
        fake.add(_record("c2", "pools", "[a]\nservice = y\n", base=1))
        fake.add(snapshot_record(state, at_ms=1))
        fake.trim(2)
        started = run_virtual(catch_up(fake.log(), EMPTY_STATE)).unwrap()
        self.assertThat(
            (started.complete, started.state.pools_version), Equals((True, 2))
        )
        fake.trim(1)
        started = run_virtual(catch_up(fake.log(), EMPTY_STATE)).unwrap()
        self.assertThat((started.complete, started.state), Equals((False, EMPTY_STATE)))

    def test_snapshot_is_due_before_the_newest_one_is_dropped(self) -> None:
        """Guards against a log that no process can start from."""
        state = EMPTY_STATE._replace(offset=20, snapshot_offset=14)
        for first, due in [(0, False), (9, False), (10, True), (15, True)]:
            bounds = CaughtUp(state, first, 20)
            self.assertThat(snapshot_due(bounds, now_ms=0), Equals(due), f"{first}")
        behind = CaughtUp(state, 10, 21)
        self.assertThat(snapshot_due(behind, now_ms=0), Equals(False))

    def test_later_state_of_a_peer_survives_a_slow_poll(self) -> None:
        """Guards against a poll that overwrites what a peer brought meanwhile."""
        fake = FakeLog()
        fake.add(_record("c1", "pools", "[a]\nservice = x\n"))
        log = fake.log()
        view = make_configuration(Timeline("n", HybridClock()), random=Random(1))

        async def read(*args: Any, **options: Any) -> Any:
            page = await log.read(*args, **options)
            fake.add(_record("c2", "pools", "[a]\nservice = y\n", base=1))
            later = (await catch_up(log, EMPTY_STATE)).unwrap().state
            take_answer(view, "peer", encode(later))
            return page

        run_virtual(poll_once(view, log._replace(read=read), nodes=1))
        self.assertThat(view.state.pools_version, Equals(2))

    def test_peer_ahead_by_a_snapshot_only_is_not_fetched_from(self) -> None:
        """Guards against fetches of whole tables after each snapshot."""
        view = make_configuration(Timeline("n", HybridClock()), random=Random(1))
        position = ConfigurationPosition(offset=1, routes_version=0, pools_version=0)
        self.assertFalse(note_position(view, "peer", position))
        self.assertTrue(note_position(view, "peer", {**position, "pools_version": 1}))

    def test_start_over_of_no_later_version_is_refused(self) -> None:
        """Guards against a revert, also for a reader that is far behind."""
        fake = FakeLog()
        fake.add(_record("c1", "pools", "[a]\nservice = x\n"))
        sent = start_over_record("s", "", "", version=1, operator="o", note="", at_ms=1)
        for record in [sent, *range(20)]:
            fake.add(record)
        state = run_virtual(catch_up(fake.log(), EMPTY_STATE)).unwrap().state
        self.assertThat(state.pools_text, Equals("[a]\nservice = x\n"))
        self.assertThat([c.cause for c in state.changes], Equals(["", "conflict"]))

    def test_large_table_is_parsed_beside_the_loop(self) -> None:
        """Guards against a publish that stops all requests of a node for 60 ms."""
        threads = set()

        def parse(text: str) -> Any:
            threads.add(threading.current_thread())
            return parse_pools(text)

        fake = FakeLog()
        text = "".join(f"[p{n}]\nservice = s\n" for n in range(500))
        fake.add(_record("c1", "pools", text))
        with mock.patch("siskinlug.configuration.parse_pools", parse):
            # Threads are not known to a virtual clock.
            asyncio.run(catch_up(fake.log(), EMPTY_STATE))
        self.assertThat(threads, Not(Contains(threading.current_thread())))
        self.assertThat(threads, HasLength(1))

    def test_log_that_starts_over_is_not_followed(self) -> None:
        """Guards against folding two histories into one state."""
        fake = FakeLog()
        fake.add(None)
        read = run_virtual(catch_up(fake.log(), EMPTY_STATE._replace(offset=3)))
        self.assertThat(read.failure(), IsInstance(tuple))
