"""The configuration under lost, late and repeated appends, races and restarts."""

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
    CatchUpResult,
    ConfigurationView,
    answer_configuration,
    catch_up,
    handle_peer_position,
    make_configuration,
    poll_once,
    snapshot_due,
    take_answer,
)
from siskinlug.configuration import (
    EMPTY_STATE,
    cancel_record,
    fold,
    newer_state,
    position_of,
    publish_record,
    snapshot_record,
    start_over_record,
    tables_of,
)
from siskinlug.messages import ConfigurationPosition, encode
from siskinlug.tables import parse_pools
from siskinlug.timeline import Timeline
from tests.fake_configuration_log import FakeConfigurationLog

# Table texts with the pools that a routes text refers to and that a pools text defines,
# so that the reference implementation needs no parser. None marks a faulty text.
POOLS_NEEDED = {
    "": set(),
    "[r]\npool = a\n": {"a"},
    "[r]\npool = a\n[s]\npath_prefix = /s\npool = b\n": {"a", "b"},
    "[r]\nnonsense\n": None,
}
POOLS_DEFINED = {
    "": set(),
    "[a]\nservice = x\n": {"a"},
    "[a]\nservice = x\n[b]\nservice = y\n": {"a", "b"},
    "[a]\n": None,
}
TEXTS = {"routes": list(POOLS_NEEDED), "pools": list(POOLS_DEFINED)}
IDS = st.integers(0, 8).map(lambda n: f"change-{n}")


class ExpectedState(NamedTuple):
    """Expected result of folding a prefix of the log."""

    versions: dict[str, int]
    texts: dict[str, str]
    version_by_change: dict[str, int]


def expected_state(records: list[Any]) -> ExpectedState:
    """Fold records with a simple reference implementation."""
    expected = ExpectedState({"routes": 0, "pools": 0}, {"routes": "", "pools": ""}, {})
    for entry in records:
        if not isinstance(entry, dict) or entry.get("id") in expected.version_by_change:
            continue
        if entry.get("kind") == "start-over":
            expected.versions.update(routes=entry["version"], pools=entry["version"])
            expected.texts.update(
                routes=entry["routes_text"], pools=entry["pools_text"]
            )
            expected.version_by_change.clear()
            expected.version_by_change[entry["id"]] = entry["version"]
        if entry.get("kind") == "cancel":
            expected.version_by_change[entry["id"]] = 0
        if entry.get("kind") != "publish" or "table" not in entry:
            continue
        table = entry["table"]
        texts = {**expected.texts, table: entry["text"]}
        needed, defined = POOLS_NEEDED[texts["routes"]], POOLS_DEFINED[texts["pools"]]
        valid = needed is not None and defined is not None and needed <= defined
        accepted = valid and entry["base"] == expected.versions[table]
        if accepted:
            expected.versions[table] += 1
            expected.texts[table] = entry["text"]
        expected.version_by_change[entry["id"]] = (
            expected.versions[table] if accepted else 0
        )
    return expected


class Fleet(RuleBasedStateMachine):
    """Nodes that follow one log, with the faults of ``FakeConfigurationLog``."""

    def __init__(self) -> None:
        super().__init__()
        self.fake = FakeConfigurationLog()
        self.now_ms = 1_000_000
        self.nodes: list[ConfigurationView] = []
        self.last_position_by_node: dict[int, tuple[int, int, int]] = {}

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
        lag=st.sampled_from([0, 0, 0, 1, -1]),
        copies=st.integers(1, 2),
        late=st.booleans(),
    )
    def append_publish(
        self,
        data: st.DataObject,
        table: str,
        change: str,
        lag: int,
        copies: int,
        late: bool,
    ) -> None:
        base = expected_state(self.fake.all_records).versions[table] - lag
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
        self.now_ms += 1_000_000  # makes the version higher than all before
        routes, pools = list(POOLS_NEEDED)[1], list(POOLS_DEFINED)[1]
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

    @rule(record=st.sampled_from([None, 7, {"kind": "publish"}, {"kind": "new"}]))
    def append_unknown_record(self, record: Any) -> None:
        self.fake.add(record)

    @rule(node=st.integers(0, 2))
    def append_late_snapshot(self, node: int) -> None:
        state = self.nodes[node % len(self.nodes)].state
        self.fake.late.append(snapshot_record(state, at_ms=self.now_ms))

    @rule()
    def deliver_late_appends(self) -> None:
        self.fake.deliver_late()

    @rule(keep=st.integers(0, 6))
    def trim_log(self, keep: int) -> None:
        self.fake.trim(keep)

    @rule(down=st.sampled_from([False, False, True]))
    def set_log_down(self, down: bool) -> None:
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
        self.last_position_by_node.pop(index, None)

    @rule(node=st.integers(0, 2), peer=st.integers(0, 2))
    def fetch_from_peer(self, node: int, peer: int) -> None:
        fetcher = self.nodes[node % len(self.nodes)]
        source = self.nodes[peer % len(self.nodes)]
        answer = answer_configuration(source, encode(position_of(fetcher.state)))
        take_answer(fetcher, "peer", answer)

    @invariant()
    def each_node_has_the_expected_state(self) -> None:
        """Guards against a state that depends on more than the prefix of the log."""
        for view in self.nodes:
            state = view.state
            expected = expected_state(self.fake.all_records[: state.offset])
            versions = {t: state.version(t) for t in ("routes", "pools")}
            assert versions == expected.versions
            assert {t: state.text(t) for t in versions} == expected.texts
            assert {
                c.change: c.version for c in state.changes
            } == expected.version_by_change
            assert view.tables == tables_of(state)

    @invariant()
    def no_node_returns_to_an_older_state(self) -> None:
        """Guards against a node that returns to an older configuration."""
        for index, view in enumerate(self.nodes):
            now = tuple(position_of(view.state).values())
            before = self.last_position_by_node.setdefault(index, now)
            assert all(a >= b for a, b in zip(now, before, strict=True))
            self.last_position_by_node[index] = now

    @precondition(lambda self: self.nodes)
    @rule()
    def a_complete_node_keeps_the_log_readable(self) -> None:
        """Guards against retention that drops records which no snapshot covers."""
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
        """Guards against a refusal that does not tell the operator its cause."""
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

    def test_peer_state_with_a_lower_version_is_ignored(self) -> None:
        """Guards against a revert by a peer that followed another log."""
        own = EMPTY_STATE._replace(offset=5, routes_version=2)
        other = own._replace(offset=9, routes_version=1, pools_version=4)
        self.assertThat(newer_state(own, other), Equals(own))

    def test_peer_state_that_cannot_be_parsed_is_ignored(self) -> None:
        """Guards against adopting tables with keys of a newer release."""
        other = EMPTY_STATE._replace(
            offset=9, routes_version=1, routes_text="[r]\nnew_key = 1\n"
        )
        self.assertThat(newer_state(EMPTY_STATE, other), Equals(EMPTY_STATE))

    def test_refused_change_that_arrives_again_stays_refused(self) -> None:
        """Guards against a repeated append that comes into force after a refusal."""
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

    def test_older_state_is_ignored(self) -> None:
        """Guards against a return to an earlier prefix of the log."""
        own = EMPTY_STATE._replace(offset=5)
        self.assertThat(newer_state(own, EMPTY_STATE._replace(offset=4)), Equals(own))

    def test_trimmed_log_is_read_from_a_snapshot_without_gap(self) -> None:
        """Guards against a state that lacks records between snapshot and log."""
        fake = FakeConfigurationLog()
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
        """Guards against a trimmed log from which no new process can start."""
        state = EMPTY_STATE._replace(offset=20, snapshot_offset=14)
        for first, due in [(0, False), (9, False), (10, True), (15, True)]:
            bounds = CatchUpResult(state, first, 20)
            self.assertThat(snapshot_due(bounds, now_ms=0), Equals(due), f"{first}")
        behind = CatchUpResult(state, 10, 21)
        self.assertThat(snapshot_due(behind, now_ms=0), Equals(False))

    def test_newer_state_of_a_peer_survives_a_slow_poll(self) -> None:
        """Guards against a poll that overwrites a newer state from a peer."""
        fake = FakeConfigurationLog()
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
        """Guards against fetching whole tables after each snapshot."""
        view = make_configuration(Timeline("n", HybridClock()), random=Random(1))
        position = ConfigurationPosition(offset=1, routes_version=0, pools_version=0)
        self.assertFalse(handle_peer_position(view, "peer", position))
        self.assertTrue(
            handle_peer_position(view, "peer", {**position, "pools_version": 1})
        )

    def test_start_over_with_an_old_version_is_refused(self) -> None:
        """Guards against a return to older tables, also in a reader far behind."""
        fake = FakeConfigurationLog()
        fake.add(_record("c1", "pools", "[a]\nservice = x\n"))
        sent = start_over_record("s", "", "", version=1, operator="o", note="", at_ms=1)
        for record in [sent, *range(20)]:
            fake.add(record)
        state = run_virtual(catch_up(fake.log(), EMPTY_STATE)).unwrap().state
        self.assertThat(state.pools_text, Equals("[a]\nservice = x\n"))
        self.assertThat([c.cause for c in state.changes], Equals(["", "conflict"]))

    def test_large_table_is_parsed_in_a_worker_thread(self) -> None:
        """Guards against parsing on the event loop, which blocks requests for 60 ms."""
        threads = set()

        def parse(text: str) -> Any:
            threads.add(threading.current_thread())
            return parse_pools(text)

        fake = FakeConfigurationLog()
        text = "".join(f"[p{n}]\nservice = s\n" for n in range(500))
        fake.add(_record("c1", "pools", text))
        with mock.patch("siskinlug.configuration.parse_pools", parse):
            # The virtual clock does not support threads.
            asyncio.run(catch_up(fake.log(), EMPTY_STATE))
        self.assertThat(threads, Not(Contains(threading.current_thread())))
        self.assertThat(threads, HasLength(1))

    def test_log_shorter_than_the_state_is_rejected(self) -> None:
        """Guards against folding the records of two logs into one state."""
        fake = FakeConfigurationLog()
        fake.add(None)
        read = run_virtual(catch_up(fake.log(), EMPTY_STATE._replace(offset=3)))
        self.assertThat(read.failure(), IsInstance(tuple))
