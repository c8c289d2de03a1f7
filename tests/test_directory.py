"""Merge of node records and record summaries into the directory."""

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals

from siskinlug.directory import (
    NODE_STATES,
    Directory,
    MergeResult,
    NodeRecord,
    RecordSummary,
    merge_record,
    merge_summary,
    record_order,
    summarize_record,
)


def _record(
    node: str, incarnation: int = 1, version: int = 1, state: str = "alive"
) -> NodeRecord:
    # The content changes only with some versions, so that summaries often match it.
    vm = f"vm-{incarnation}-{version // 3}"
    return NodeRecord(
        node, incarnation, version, state, vm, "domain", "region", "10.0.0.1", 1, 2
    )


RECORDS = st.lists(
    st.builds(
        _record,
        st.sampled_from(["a", "b", "self"]),
        st.integers(1, 3),
        st.integers(1, 7),
        st.sampled_from(NODE_STATES),
    ),
    max_size=12,
)


class DirectoryTest(testtools.TestCase):
    @given(RECORDS, st.randoms(use_true_random=False))
    def test_merge_does_not_depend_on_the_order(self, records, random) -> None:
        """Guards against nodes that received the same records but never converge."""
        one, other = Directory(_record("self")), Directory(_record("self"))
        for record in records:
            merge_record(one, record)
        shuffled = records * 2
        random.shuffle(shuffled)
        for record in shuffled:
            merge_record(other, record)
        for node in ("a", "b"):
            self.assertEqual(
                one.record_by_node.get(node), other.record_by_node.get(node)
            )
        own = [r for r in records if r.node == "self" and r.state != "alive"]
        for directory in (one, other):
            self.assertThat(directory.own_record.state, Equals("alive"))
            for record in own:
                self.assertTrue(
                    record_order(directory.own_record) > record_order(record)
                )

    @given(RECORDS, st.randoms(use_true_random=False))
    def test_summary_never_gives_its_version_to_other_content(
        self, records, random
    ) -> None:
        """Guards against the targets of an old version stored as a newer version."""
        directory = Directory(_record("self"))
        for record in records:
            if random.random() < 0.5:
                merge_record(directory, record)
            else:
                merge_summary(directory, summarize_record(record))
        for held in directory.record_by_node.values():
            if held.state != "dead" and held.node != "self":
                published = _record(held.node, held.incarnation, held.version)
                self.assertThat(held.vm, Equals(published.vm))

    @given(RECORDS)
    def test_digest_covers_only_live_records(self, records) -> None:
        """Guards against dead nodes that syncs bring back after their removal."""
        one, other = Directory(_record("self")), Directory(_record("self"))
        for record in records:
            merge_record(one, record)
        for record in one.record_by_node.values():
            if record.state != "dead":
                other.put(record)
        self.assertThat(one.digest(), Equals(other.digest()))
        self.assertThat(one.bucket_digests(), Equals(other.bucket_digests()))

    def test_summary_of_an_unknown_dead_node_is_ignored(self) -> None:
        """Guards against a removed node that returns to the directory as dead."""
        directory = Directory(_record("self"))
        self.assertThat(
            merge_summary(directory, RecordSummary("a", 1, 1, 2, 0)),
            Equals(MergeResult.UNCHANGED),
        )

    def test_incarnation_is_raised_above_that_of_an_earlier_process(self) -> None:
        """Guards against a node that cannot rejoin after its clock was set back.

        The incarnation must also differ from that of the earlier process, so that
        attempts of that process are not taken for attempts of this one.
        """
        directory = Directory(_record("self"))
        merge_record(directory, _record("self", 9, 4))
        self.assertThat(directory.own_record.incarnation, Equals(10))

    def test_replaced_process_does_not_refute_its_replacement(self) -> None:
        """Guards against two processes of one name that keep refuting each other."""
        directory = Directory(_record("self"))
        newer = _record("self", 9, 4)._replace(host="10.0.0.2")
        self.assertFalse(merge_record(directory, newer))
        self.assertThat(directory.own_record.incarnation, Equals(1))
        merge_record(directory, newer._replace(state="dead"))
        self.assertThat(directory.own_record.incarnation, Equals(10))
