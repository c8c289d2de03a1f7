"""Memory of leaving targets that nodes tell each other."""

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals, HasLength

from siskinlug.leaving_targets import (
    GOSSIP_S,
    MAX_GOSSIP_TARGETS,
    MAX_TARGETS,
    Leaving,
    make_leaving_targets,
)


class LeavingTargetsTest(testtools.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 5))))
    def test_nodes_agree_in_any_order(self, leavings: list[tuple[str, int]]) -> None:
        """Guards against a leaving that an older or a repeated message takes back."""
        first = make_leaving_targets(monotonic=lambda: 0.0)
        second = make_leaving_targets(monotonic=lambda: 0.0)
        for target, incarnation in leavings:
            first.add(target, incarnation)
        for target, incarnation in reversed(leavings):
            second.merge([Leaving(target, incarnation, 1.0)])
        second.merge([list(message) for message in first.to_gossip()])
        self.assertThat(second.processes(), Equals(first.processes()))
        for target, incarnation in leavings:
            self.assertIn((target, incarnation), first)
            self.assertNotIn((target, 6), first)

    def test_only_news_is_told_further(self) -> None:
        """Guards against messages that nodes send each other for ever."""
        memory = make_leaving_targets(monotonic=lambda: 0.0)
        message = Leaving("t", 1, 0.5)
        self.assertThat(memory.merge([message]), Equals([message]))
        self.assertThat(memory.merge([message]), Equals([]))

    def test_heartbeats_stay_small_and_forget(self) -> None:
        """Guards against heartbeats that grow with each target that has left."""
        now = 0.0
        memory = make_leaving_targets(monotonic=lambda: now)
        for number in range(MAX_TARGETS + 10):
            memory.add(f"t-{number}", 1)
        self.assertThat(memory.processes(), HasLength(MAX_TARGETS))
        told = memory.to_gossip()
        self.assertThat(told, HasLength(MAX_GOSSIP_TARGETS))
        self.assertThat(told[0].target, Equals(f"t-{MAX_TARGETS + 9}"))
        now = GOSSIP_S
        self.assertThat(memory.to_gossip(), Equals([]))
        self.assertIn((f"t-{MAX_TARGETS}", 1), memory)

    def test_malformed_message_changes_nothing(self) -> None:
        """Guards against half of a message from a node of another version."""
        memory = make_leaving_targets(monotonic=lambda: 0.0)
        messages = [Leaving("t", 1, 0.0), ["u", "x", 0.0]]
        self.assertRaises(msgspec.ValidationError, memory.merge, messages)
        self.assertThat(memory.processes(), Equals(set()))
