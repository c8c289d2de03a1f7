"""Merged timelines of several processes: order, follow mode and filters."""

import ast
import asyncio
import tempfile
from pathlib import Path
from random import Random

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Contains, Equals

import siskinlug
from siskinlug.clock import HybridClock, Timestamp
from siskinlug.timeline import MEANING_BY_KIND, Event, Kind, Timeline, record_event
from siskinlug.timeline_view import (
    FetchEvents,
    Selection,
    draw_timeline,
    follow_events,
    format_event,
    merge_events,
    select_events,
)


def _event(wall_ms: int, node: str = "a", subject: str = "x") -> Event:
    return Event(Timestamp(wall_ms, 0), node, "member_dead", subject, "")


class TimelineViewTest(testtools.TestCase):
    @given(
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=20),
        st.lists(st.integers(-5000, 5000), min_size=3, max_size=3),
    )
    def test_an_effect_never_precedes_its_cause(self, messages, skews) -> None:
        """Guards against events in the wrong order when wall clocks differ."""
        wall = [1_000_000]
        clocks = [
            HybridClock(wall_ms=lambda skew=skew: wall[0] + skew) for skew in skews
        ]
        timelines = [Timeline(str(n), clock) for n, clock in enumerate(clocks)]
        for number, (sender, receiver) in enumerate(messages):
            wall[0] += 7
            record_event(timelines[sender], "sent", str(number))
            clocks[receiver].observe(clocks[sender].now())
            record_event(timelines[receiver], "received", str(number))
        merged = merge_events(t.events() for t in timelines)
        place = {(e.kind, e.subject): index for index, e in enumerate(merged)}
        for number in range(len(messages)):
            self.assertTrue(place["sent", str(number)] < place["received", str(number)])
        for timeline in timelines:
            own = [event for event in merged if event.node == timeline.node]
            self.assertThat(own, Equals(timeline.events()))

    @given(st.integers(0, 999), st.booleans())
    def test_following_shows_each_event_once_and_in_order(
        self, seed: int, some_polls_fail: bool
    ) -> None:
        """Guards against lost, repeated or reordered events between two polls."""
        random = Random(seed)
        events = [_event(1000 + 70 * n, random.choice("abc")) for n in range(30)]
        now = [0]

        def make_fetch(node: str) -> FetchEvents:
            async def fetch(since: Timestamp) -> list[Event]:
                # Each process is polled at a slightly different time.
                until = now[0] + random.randrange(500)
                if some_polls_fail and random.random() < 0.3:
                    raise ConnectionRefusedError
                return [
                    e
                    for e in events
                    if e.node == node and since.wall_ms < e.at.wall_ms <= until
                ]

            return fetch

        async def sleep(seconds: float) -> None:
            now[0] += int(seconds * 1000)
            if now[0] > 9_000:
                raise asyncio.CancelledError

        shown: list[Event] = []
        following = follow_events(
            {node: make_fetch(node) for node in "abc"},
            since=Timestamp(0, 0),
            show=shown.append,
            unreachable=set(),
            sleep=sleep,
        )
        self.assertRaises(asyncio.CancelledError, asyncio.run, following)
        self.assertThat(sorted(shown), Equals(events))
        if not some_polls_fail:
            self.assertThat(shown, Equals(events))

    def test_selection_by_kind_prefix_node_and_subject(self) -> None:
        """Guards against a filter that drops matching events or keeps others."""
        events = [_event(1, "a", "n1"), _event(2, "b", "n2"), _event(3, "b", "m1")]
        chosen = select_events(events, Selection(("member",), ("b",), "n"))
        self.assertThat(chosen, Equals([events[1]]))
        self.assertThat(select_events(events, Selection(("link",))), Equals([]))
        self.assertThat(format_event(events[0]), Contains("00:00:00.001+0"))

    def test_a_picture_is_written(self) -> None:
        """Guards against a failure without events or with unknown kinds."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "timeline.png"
            for events in ([], [_event(1), _event(2, "b")._replace(kind="newer")]):
                draw_timeline(events, path)
                self.assertThat(path.read_bytes()[1:4], Equals(b"PNG"))

    def test_every_kind_is_documented_and_no_other_is_recorded(self) -> None:
        """Guards against events that the reference does not describe."""
        self.assertThat(set(MEANING_BY_KIND), Equals(set(Kind)))
        package = Path(siskinlug.__file__).parent
        for path in package.glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if (
                    isinstance(node, ast.Call)
                    and isinstance(node.func, ast.Name)
                    and node.func.id == "record_event"
                    and len(node.args) > 1
                    and isinstance(node.args[1], ast.Constant)
                ):
                    self.assertThat(set(Kind), Contains(node.args[1].value))
