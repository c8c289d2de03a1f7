"""Merge of received gossip into the directory, and the resulting events."""

from collections.abc import Iterable, Mapping

import msgspec
from absl import logging

from siskinlug.clock import Timestamp, observe_remote_time
from siskinlug.directory import (
    MergeResult,
    NodeRecord,
    RecordSummary,
    is_replacement,
    merge_record,
    merge_summary,
)
from siskinlug.gossip import (
    ping_repeats,
    publish_own_change,
    push_changes,
    push_payload,
    queue_change,
)
from siskinlug.links import forget_link
from siskinlug.membership_state import LostNode, Membership, address_of
from siskinlug.messages import Gossip, PushAnswer
from siskinlug.timeline import Kind, record_event

FORGET_S = 600.0
# Partitions between regions last up to an hour, which is longer than FORGET_S.
LOST_NODE_KEEP_S = 86_400.0
LOST_NODES_MAX = 1024


def handle_push(membership: Membership, message: Gossip) -> PushAnswer:
    """Merge a push and push what was new to further nodes."""
    push_changes(membership, merge_gossip(membership, message))
    return PushAnswer(membership.own_summary())


def merge_gossip(membership: Membership, message: Gossip) -> dict[str, bool]:
    """Merge the clock, records and payloads of a message.

    Returns:
        The nodes whose records changed, and whether the content did.
    """
    observe_remote_time(membership.clock, Timestamp(*message.at))
    changed = merge_changes(
        membership, [*message.summaries, message.sender], message.records
    )
    read_payloads(membership, message.sender.node, message.payloads)
    return changed


def read_payloads(
    membership: Membership, sender: str, payloads: Mapping[str, msgspec.Raw]
) -> None:
    """Pass payloads to the modules that read them, and push the new ones further."""
    if sender == membership.directory.own_node:
        sender = ""
    for name, raw in payloads.items():
        payload = membership.payload_by_name.get(name)
        if payload is None:
            continue
        try:
            value = msgspec.json.decode(raw, type=payload.value_type)
        except msgspec.DecodeError as error:
            logging.warning("cannot decode payload %s from %s: %s", name, sender, error)
            continue
        if payload.read(sender, value):
            push_payload(membership, name)


def merge_changes(
    membership: Membership,
    summaries: Iterable[RecordSummary],
    records: Iterable[NodeRecord],
    *,
    wanted_nodes: list[str] | None = None,
    repeat_in_pings: bool = True,
) -> dict[str, bool]:
    """Merge record summaries and records into the directory.

    Args:
        membership: The membership.
        summaries: Record summaries, merged after the records.
        records: Full records.
        wanted_nodes: List to which nodes are appended whose full records are needed,
            since their summaries are newer but their content is unknown.
        repeat_in_pings: Whether pings repeat the changes. Many at once, as when
            regions reconnect, are left to further syncs.

    Returns:
        The nodes whose records changed, and whether the content did.
    """
    changed = dict.fromkeys(_merge_records(membership, records), True)
    for node in _merge_summaries(membership, summaries, wanted_nodes):
        changed.setdefault(node, False)
    if changed.pop(membership.directory.own_node, None) is not None:
        publish_own_change(membership)
    if changed:
        membership.last_change_at = membership.monotonic()
    if repeat_in_pings:
        repeats = ping_repeats(membership)
        for node, content_changed in changed.items():
            queue_change(
                membership, node, content_changed=content_changed, repeats_left=repeats
            )
    return changed


def _merge_records(membership: Membership, records: Iterable[NodeRecord]) -> list[str]:
    """Merge full records, and return the nodes whose records changed."""
    directory = membership.directory
    changed: list[str] = []
    for received in records:
        before = directory.record_by_node.get(received.node)
        if merge_record(directory, received):
            changed.append(received.node)
            _update_derived_state(membership, before, received.node)
        elif is_replacement(directory, received) and not membership.replaced.is_set():
            membership.replaced.set()
            record_event(
                membership.timeline,
                Kind.MEMBER_REPLACED,
                received.node,
                f"a newer process runs at {received.host}:{received.peer_port}",
            )
    return changed


def _merge_summaries(
    membership: Membership,
    summaries: Iterable[RecordSummary],
    wanted_nodes: list[str] | None,
) -> list[str]:
    """Merge record summaries, and return the nodes whose records changed."""
    directory = membership.directory
    changed: list[str] = []
    for summary in summaries:
        before = directory.record_by_node.get(summary.node)
        merged = merge_summary(directory, summary)
        if merged is MergeResult.CHANGED:
            changed.append(summary.node)
            _update_derived_state(membership, before, summary.node)
        elif merged is MergeResult.WANTED and wanted_nodes is not None:
            wanted_nodes.append(summary.node)
    return changed


def _update_derived_state(
    membership: Membership, before: NodeRecord | None, node: str
) -> None:
    """Update the state that depends on a changed record, and record an event."""
    now = membership.directory.record_by_node[node]
    event: Kind | None
    if node == membership.directory.own_node:
        event = Kind.MEMBER_REFUTED
    elif now.state == "dead":
        event = Kind.MEMBER_DEAD
        membership.dead_since_by_node.setdefault(node, membership.monotonic())
        if before is not None and before.state == "alive":
            lost = LostNode(address_of(before), membership.monotonic())
            membership.lost_by_node[node] = lost
    else:
        membership.dead_since_by_node.pop(node, None)
        membership.lost_by_node.pop(node, None)
        event = _event_of_live_node(before, now)
        if event is Kind.MEMBER_JOINED:
            forget_link(membership.links, node)
        if event in (Kind.MEMBER_JOINED, Kind.MEMBER_RETURNED):
            index = membership.random.randint(0, len(membership.ping_queue))
            membership.ping_queue.insert(index, node)
    if event is not None:
        record_event(
            membership.timeline,
            event,
            node,
            f"incarnation {now.incarnation}, version {now.version}",
        )


def _event_of_live_node(before: NodeRecord | None, now: NodeRecord) -> Kind | None:
    """Return the event for a changed record of a node that is not dead, if any."""
    if before is None or before.incarnation < now.incarnation:
        return Kind.MEMBER_JOINED
    if before.state == "dead":
        return Kind.MEMBER_RETURNED
    return None if before.state == now.state else Kind.MEMBER_LEAVING


def forget_dead(membership: Membership) -> None:
    """Remove nodes dead for ``FORGET_S``, and old or surplus entries of lost nodes."""
    now = membership.monotonic()
    for node, since in list(membership.dead_since_by_node.items()):
        if now - since >= FORGET_S:
            del membership.dead_since_by_node[node]
            membership.directory.remove(node)
            forget_link(membership.links, node)
            record_event(membership.timeline, Kind.MEMBER_FORGOTTEN, node)
    for node, lost in list(membership.lost_by_node.items()):
        if (
            now - lost.since >= LOST_NODE_KEEP_S
            or len(membership.lost_by_node) > LOST_NODES_MAX
        ):
            del membership.lost_by_node[node]
