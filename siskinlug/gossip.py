"""Gossip of changes: repeats in pings, and pushes of urgent changes."""

import math
from collections.abc import Callable, Mapping, Sequence

import msgspec

from siskinlug.directory import (
    Directory,
    NodeRecord,
    RecordSummary,
    record_order,
    summarize_record,
    summary_order,
)
from siskinlug.membership_state import (
    Membership,
    PendingChange,
    Throttle,
    sample_peers,
    start_task,
)
from siskinlug.messages import Gossip, PushAnswer
from siskinlug.round_trips import PUSH, send_message

PUSH_FANOUT = 4
# Most pushes stay in the failure domain of the sender, since traffic between domains is
# expensive. One in four is enough: each domain sends as many as it has nodes.
PUSH_FANOUT_FAR = 1
# The first change is pushed at once; later ones are batched for this long.
PUSH_COLLECT_S = 0.2
PUSH_TIMEOUT_S = 1.0
RECORDS_PER_PING = 8
# Maximum time for which pings repeat a change; after it, the change is left to syncs.
# The records of a cold start of 430 nodes would otherwise be repeated for minutes.
SPREAD_S = 30.0
SUMMARIES_PER_PING = 24
RECORDS_PER_PUSH = 32
# A push alone misses about 2 % of the nodes. These repeats last about 2.5 s, in which
# each node that was missed pings two or three others.
REPEATS_AFTER_PUSH = 5


def push_payload(membership: Membership, name: str) -> None:
    """Push the value of a payload to a few peers, which forward it while it is new."""
    membership.urgent_payloads.add(name)
    membership.push_due.set()


async def run_pushes(membership: Membership) -> None:
    """Push urgent changes to a few random peers as they arrive, until cancelled."""
    while True:
        await membership.push_due.wait()
        membership.push_due.clear()
        nodes = list(membership.urgent_nodes)[:RECORDS_PER_PUSH]
        content_changed_by_node = {
            node: membership.urgent_nodes.pop(node) for node in nodes
        }
        names = set(membership.urgent_payloads)
        membership.urgent_payloads.clear()
        summaries, records = _summaries_and_records(
            membership.directory, content_changed_by_node
        )
        message = make_gossip(
            membership, summaries=summaries, records=records, urgent_payloads=names
        )
        if summaries or records or message.payloads:
            for peer in sample_push_peers(membership):
                start_task(
                    membership,
                    send_message(
                        membership,
                        peer,
                        PUSH,
                        message,
                        PushAnswer,
                        PUSH_TIMEOUT_S,
                        # Payloads are rare and urgent, and an idle connection may have
                        # gone silent.
                        fresh=bool(message.payloads),
                    ),
                )
        if membership.urgent_nodes:
            membership.push_due.set()
        await membership.sleep(PUSH_COLLECT_S)


def sample_push_peers(membership: Membership) -> list[NodeRecord]:
    """Return the peers for a push, most of them in this node's failure domain.

    One is the next node in the order of names. Pushes to random peers miss a few nodes,
    and each of these hears from the node before it. The others are random.
    """
    own = membership.directory.own_record
    peers = sample_peers(membership, len(membership.directory.record_by_node))
    successor = _next_in_ring(own, peers)
    peers.sort(key=lambda peer: peer is not successor)
    near = [peer for peer in peers if peer.failure_domain == own.failure_domain]
    far = [peer for peer in peers if peer.failure_domain != own.failure_domain]
    far_count = max(PUSH_FANOUT_FAR, PUSH_FANOUT - len(near))
    chosen = far[:far_count]
    return chosen + near[: PUSH_FANOUT - len(chosen)]


def _next_in_ring(own: NodeRecord, peers: Sequence[NodeRecord]) -> NodeRecord | None:
    """Return the peer that follows a node, or ``None`` if there are no peers.

    The order is by failure domain and name, so that few nodes are followed by one of
    another domain. The last node is followed by the first.
    """

    def place(record: NodeRecord) -> tuple[str, str]:
        return record.failure_domain, record.node

    later = [peer for peer in peers if place(peer) > place(own)]
    return min(later or peers, key=place, default=None)


def make_ping(membership: Membership, receiver: RecordSummary | None) -> Gossip:
    """Build a ping or its response, with the changes that have most repeats left.

    If this node has the receiver recorded as dead, or in a newer version than the
    receiver's own, the message includes that summary, and the receiver refutes it with
    a higher version.

    Args:
        membership: The membership.
        receiver: Newest known summary of the receiver's record, or None if the
            receiver is unknown.
    """
    publish_own_change(membership)
    chosen = _take_pending_changes(membership)
    summaries, records = _summaries_and_records(membership.directory, chosen)
    if receiver is not None and receiver.node not in chosen:
        stored = membership.directory.record_by_node.get(receiver.node)
        if stored is not None and (
            stored.state == "dead" or record_order(stored) > summary_order(receiver)
        ):
            summaries.append(summarize_record(stored))
    digest = membership.directory.digest()
    return make_gossip(membership, summaries=summaries, records=records, digest=digest)


def _take_pending_changes(membership: Membership) -> dict[str, bool]:
    """Choose the changes that one ping repeats, and decrement their repeats.

    Returns:
        The chosen nodes, and whether the content of their records changed.
    """
    now = membership.monotonic()
    for node, change in list(membership.pending_change_by_node.items()):
        if change.expires_at <= now:
            del membership.pending_change_by_node[node]
    order = sorted(
        membership.pending_change_by_node.items(),
        key=lambda item: -item[1].repeats_left,
    )
    chosen: dict[str, bool] = {}
    remaining = {True: RECORDS_PER_PING, False: SUMMARIES_PER_PING}
    for node, change in order:
        if remaining[change.content_changed] > 0:
            remaining[change.content_changed] -= 1
            chosen[node] = change.content_changed
            change.repeats_left -= 1
            if change.repeats_left <= 0:
                del membership.pending_change_by_node[node]
    return chosen


def _summaries_and_records(
    directory: Directory, content_changed_by_node: Mapping[str, bool]
) -> tuple[list[RecordSummary], list[NodeRecord]]:
    """Return the summaries and full records with which to send changes.

    A record is sent in full if its content changed; a dead node needs only a summary.
    """
    summaries, records = [], []
    for node, content_changed in content_changed_by_node.items():
        stored = directory.record_by_node.get(node)
        if stored is None:
            continue
        if content_changed and stored.state != "dead":
            records.append(stored)
        else:
            summaries.append(summarize_record(stored))
    return summaries, records


def make_gossip(
    membership: Membership,
    *,
    summaries: list[RecordSummary],
    records: Sequence[NodeRecord] = (),
    digest: str = "",
    urgent_payloads: set[str] | None = None,
) -> Gossip:
    """Build a ping, its response or a push.

    Args:
        membership: The membership.
        summaries: Record summaries to send.
        records: Full records to send.
        digest: Digest of the directory; empty in a push.
        urgent_payloads: Names of the payloads to push; None, as in pings, sends all.
    """
    return Gossip(
        membership.own_summary(),
        membership.clock.now(),
        digest,
        summaries,
        list(records),
        encode_payloads(membership, urgent_payloads),
    )


def encode_payloads(
    membership: Membership, urgent: set[str] | None = None
) -> dict[str, msgspec.Raw]:
    """Return the values of the payloads to send, by name.

    Args:
        membership: The membership.
        urgent: Names of the payloads to push; None sends all that have a value.
    """
    encoded: dict[str, msgspec.Raw] = {}
    for name, payload in membership.payload_by_name.items():
        if urgent is None or name in urgent:
            value = payload.write(urgent is not None)
            if value is not None:
                encoded[name] = msgspec.Raw(msgspec.json.encode(value))
    return encoded


def publish_own_change(membership: Membership) -> None:
    """Gossip any change of this node's record since the last call.

    Changes of the state are pushed at once; changes of the content are throttled.
    """
    own, published = membership.directory.own_record, membership.published_record
    if own is published:
        return
    membership.published_record = own
    membership.last_change_at = membership.monotonic()
    content_changed = (
        summarize_record(own).content_hash != summarize_record(published).content_hash
    )
    queue_change(
        membership,
        own.node,
        content_changed=content_changed,
        repeats_left=ping_repeats(membership),
    )
    if not content_changed or own.state != published.state:
        push_change(membership, own.node, content_changed=content_changed)
        return
    _run_throttled(
        membership,
        membership.own_content_throttle,
        lambda: push_change(membership, own.node, content_changed=True),
    )


def push_change(membership: Membership, node: str, *, content_changed: bool) -> None:
    """Push a change of a record and have pings repeat it.

    Content changes and nodes that leave are pushed at once. Deaths and refutations
    are throttled, since many may come together.

    Args:
        membership: The membership.
        node: Node whose record changed.
        content_changed: Whether receivers need the full record.
    """
    queue_change(
        membership,
        node,
        content_changed=content_changed,
        repeats_left=REPEATS_AFTER_PUSH,
    )
    stored = membership.directory.record_by_node.get(node)
    if content_changed or (stored is not None and stored.state == "leaving"):
        membership.urgent_nodes[node] = content_changed or membership.urgent_nodes.get(
            node, False
        )
        membership.push_due.set()
        return
    membership.collected_deaths.add(node)
    _run_throttled(
        membership, membership.deaths_throttle, lambda: _push_deaths(membership)
    )


def push_changes(
    membership: Membership, content_changed_by_node: Mapping[str, bool]
) -> None:
    """Push changes of several records; see ``push_change``."""
    for node, content_changed in content_changed_by_node.items():
        push_change(membership, node, content_changed=content_changed)


def _push_deaths(membership: Membership) -> None:
    """Push the deaths and refutations collected so far."""
    for node in membership.collected_deaths:
        membership.urgent_nodes.setdefault(node, False)
    membership.collected_deaths.clear()
    membership.push_due.set()


def _run_throttled(
    membership: Membership, throttle: Throttle, action: Callable[[], None]
) -> None:
    """Run an action now, or once at the end of the interval if it ran recently."""
    if membership.monotonic() >= throttle.next_run_at:
        throttle.next_run_at = membership.monotonic() + throttle.interval_s
        action()
    elif not throttle.scheduled and membership.tasks is not None:
        throttle.scheduled = True
        start_task(membership, _run_later(membership, throttle, action))


async def _run_later(
    membership: Membership, throttle: Throttle, action: Callable[[], None]
) -> None:
    """Run an action at the end of the throttle's interval."""
    try:
        await membership.sleep(throttle.next_run_at - membership.monotonic())
    finally:
        throttle.scheduled = False
    throttle.next_run_at = membership.monotonic() + throttle.interval_s
    action()


def queue_change(
    membership: Membership, node: str, *, content_changed: bool, repeats_left: int
) -> None:
    """Have pings repeat a change.

    Args:
        membership: The membership.
        node: Node whose record changed.
        content_changed: Whether receivers need the full record.
        repeats_left: Number of pings that repeat the change.
    """
    queued = membership.pending_change_by_node.get(node)
    content_changed = content_changed or (queued is not None and queued.content_changed)
    expires_at = membership.monotonic() + SPREAD_S
    membership.pending_change_by_node[node] = PendingChange(
        content_changed=content_changed,
        repeats_left=repeats_left,
        expires_at=expires_at,
    )


def ping_repeats(membership: Membership) -> int:
    """Return how many pings repeat a change: logarithmic in the number of nodes."""
    return 2 + math.ceil(2 * math.log10(len(membership.directory.record_by_node) + 1))
