"""Merging of received changes, and the events that follow from them."""

from collections.abc import Iterable

import msgspec
from absl import logging

from siskinlug.clock import Timestamp
from siskinlug.directory import (
    Mark,
    Merge,
    NodeRecord,
    is_replacement,
    merge_mark,
    merge_record,
)
from siskinlug.links import forget_link
from siskinlug.membership_state import LostNode, Membership
from siskinlug.messages import Gossip, PushAnswer
from siskinlug.spreading import (
    notice_own_change,
    ping_repeats,
    push_node,
    push_payload,
    queue_change,
)
from siskinlug.timeline import Kind, record

FORGET_S = 600.0
# Regions are partitioned for up to an hour, which is longer than FORGET_S.
LOST_KEEP_S = 86_400.0
LOST_MAX = 1024
# A clock further ahead than this is not followed; its events sort wrongly instead.
CLOCK_LEAD_MAX_MS = 60_000


def handle_push(membership: Membership, message: Gossip) -> PushAnswer:
    """Take an urgent push and pass on what was new."""
    changed = merge_gossip(membership, message)
    for node, whole in changed.items():
        push_node(membership, node, whole=whole)
    return PushAnswer(membership.own_mark())


def observe_clock(membership: Membership, at: tuple[int, int]) -> None:
    """Move the clock past the time of a message, so that events order causally."""
    if at[0] - membership.clock.now().wall_ms <= CLOCK_LEAD_MAX_MS:
        membership.clock.observe(Timestamp(*at))


def merge_gossip(membership: Membership, message: Gossip) -> dict[str, bool]:
    """Merge all that a message carries; returns what ``merge_changes`` returns."""
    observe_clock(membership, message.at)
    sender = message.own.node
    if message.own.node == membership.directory.own_node:
        sender = ""
    changed = merge_changes(membership, [*message.marks, message.own], message.records)
    for name, raw in message.payloads.items():
        payload = membership.payload_by_name.get(name)
        if payload is None:
            continue
        try:
            value = msgspec.json.decode(raw, type=payload.value_type)
        except msgspec.DecodeError as error:
            logging.warning("payload %s from %s: %s", name, sender, error)
            continue
        if payload.read(sender, value):
            push_payload(membership, name)
    return changed


def merge_changes(
    membership: Membership,
    marks: Iterable[Mark],
    records: Iterable[NodeRecord],
    *,
    want: list[str] | None = None,
    spread: bool = True,
) -> dict[str, bool]:
    """Merge marks and records.

    Args:
        membership: The membership.
        marks: Marks, merged after the records.
        records: Whole records.
        want: Takes the nodes whose marks are newer but need the record.
        spread: Whether pings repeat the changes. Much that comes at once, as when
            regions meet again, is left to further syncs.

    Returns:
        The nodes whose records changed, and whether the content did.
    """
    directory = membership.directory
    changed: dict[str, bool] = {}
    for received in records:
        before = directory.record_by_node.get(received.node)
        if merge_record(directory, received):
            changed[received.node] = True
            _apply_change(membership, before, received.node)
        elif is_replacement(directory, received) and not membership.replaced.is_set():
            membership.replaced.set()
            record(
                membership.timeline,
                Kind.MEMBER_REPLACED,
                received.node,
                f"a newer process runs at {received.host}:{received.peer_port}",
            )
    for mark in marks:
        before = directory.record_by_node.get(mark.node)
        merged = merge_mark(directory, mark)
        if merged is Merge.CHANGED:
            changed.setdefault(mark.node, False)
            _apply_change(membership, before, mark.node)
        elif merged is Merge.WANTED and want is not None:
            want.append(mark.node)
    own = changed.pop(directory.own_node, None)
    if own is not None:
        notice_own_change(membership)
    if changed:
        membership.last_change = membership.monotonic()
    if spread:
        repeats = ping_repeats(membership)
        for node, whole in changed.items():
            queue_change(membership, node, whole=whole, repeats_left=repeats)
    return changed


def _apply_change(membership: Membership, before: NodeRecord | None, node: str) -> None:
    """Keep what is derived from a record in step with it, and record the event."""
    now = membership.directory.record_by_node[node]
    own = node == membership.directory.own_node
    event: Kind | None = None
    if own:
        event = Kind.MEMBER_REFUTED
    elif now.state == "dead":
        membership.dead_since.setdefault(node, membership.monotonic())
        if before is not None and before.state == "alive":
            address = before.host, before.peer_port
            membership.lost_by_node[node] = LostNode(address, membership.monotonic())
        event = Kind.MEMBER_DEAD
    else:
        membership.dead_since.pop(node, None)
        membership.lost_by_node.pop(node, None)
        if before is None or before.incarnation < now.incarnation:
            event = Kind.MEMBER_JOINED
            forget_link(membership.links, node)
            place = membership.random.randint(0, len(membership.ping_queue))
            membership.ping_queue.insert(place, node)
        elif before.state == "dead":
            event = Kind.MEMBER_RETURNED
            place = membership.random.randint(0, len(membership.ping_queue))
            membership.ping_queue.insert(place, node)
        elif before.state != now.state:
            event = Kind.MEMBER_LEAVING
    if event is not None:
        record(
            membership.timeline,
            event,
            node,
            f"incarnation {now.incarnation}, version {now.version}",
        )


def forget_dead(membership: Membership) -> None:
    """Remove nodes that have been dead for long, and old addresses of lost nodes."""
    now = membership.monotonic()
    for node, since in list(membership.dead_since.items()):
        if now - since >= FORGET_S:
            del membership.dead_since[node]
            membership.directory.remove(node)
            forget_link(membership.links, node)
            record(membership.timeline, Kind.MEMBER_FORGOTTEN, node)
    for node, lost in list(membership.lost_by_node.items()):
        if now - lost.since >= LOST_KEEP_S or len(membership.lost_by_node) > LOST_MAX:
            del membership.lost_by_node[node]
