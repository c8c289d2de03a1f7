"""Anti-entropy: sync of two directories whose digests differ.

A sync takes two requests. The first compares bucket digests and returns the record
summaries of the buckets that differ; the second exchanges the newer records.
"""

from collections.abc import Iterable, Sequence

from returns.result import Success

from siskinlug.clock import Timestamp, observe_remote_time
from siskinlug.connections import Address
from siskinlug.directory import (
    Directory,
    NodeRecord,
    RecordSummary,
    bucket_of,
    summarize_record,
    summary_order,
)
from siskinlug.gossip import RECORDS_PER_PING, encode_payloads
from siskinlug.gossip_merge import merge_changes
from siskinlug.membership_state import Membership, start_task
from siskinlug.messages import SyncAnswer, SyncRequest
from siskinlug.round_trips import SYNC
from siskinlug.timeline import Kind, record_event

SYNC_TIMEOUT_S = 3.0
SYNC_INTERVAL_S = 5.0
# Digests also differ while a change is still being gossiped. A sync starts only if they
# have differed for the first duration and no change came for the second, or if they
# have differed for the third.
SYNC_AFTER_MISMATCH_S = 2.0
SYNC_AFTER_QUIET_S = 2.0
SYNC_AFTER_MISMATCH_MAX_S = 15.0


def handle_sync(membership: Membership, message: SyncRequest) -> SyncAnswer:
    """Merge one request of a sync and return the response; see ``SyncRequest``."""
    directory = membership.directory
    observe_remote_time(membership.clock, Timestamp(*message.at))
    _merge_sync_changes(membership, message.summaries, message.records)
    if "*" in message.wanted_nodes or not message.digests:
        wanted = _wanted_records(directory, message.wanted_nodes)
        payloads = encode_payloads(membership) if "*" in message.wanted_nodes else {}
        return SyncAnswer(
            directory.own_node,
            membership.clock.now(),
            records=wanted,
            payloads=payloads,
        )
    pairs = enumerate(
        zip(message.digests, directory.bucket_digests(), strict=False),
    )
    differing_buckets = [index for index, (theirs, ours) in pairs if theirs != ours]
    return SyncAnswer(
        directory.own_node,
        membership.clock.now(),
        differing_buckets=differing_buckets,
        summaries=[
            summarize_record(stored)
            for stored in _records_in_buckets(directory, differing_buckets)
        ],
    )


def check_digest(membership: Membership, address: Address, digest: str) -> None:
    """Sync with a peer if digests have differed for longer than gossip takes."""
    now = membership.monotonic()
    if digest == membership.directory.digest():
        membership.digest_mismatch_since = None
        return
    if membership.digest_mismatch_since is None:
        membership.digest_mismatch_since = now
    mismatch_s = now - membership.digest_mismatch_since
    quiet_s = now - membership.last_change_at
    if mismatch_s < SYNC_AFTER_MISMATCH_S or now < membership.next_sync_at:
        return
    if quiet_s < SYNC_AFTER_QUIET_S and mismatch_s < SYNC_AFTER_MISMATCH_MAX_S:
        return
    membership.next_sync_at = now + membership.jittered(SYNC_INTERVAL_S)
    start_task(membership, sync_with(membership, address))


async def sync_with(membership: Membership, address: Address) -> bool:
    """Exchange the records that differ with the node at an address.

    Returns:
        Whether the node responded to all requests.
    """
    directory = membership.directory
    now = membership.clock.now
    first = await request_sync(
        membership,
        address,
        SyncRequest(directory.own_node, now(), digests=directory.bucket_digests()),
    )
    if first is None:
        return False
    wanted_nodes: list[str] = []
    merge_changes(
        membership,
        first.summaries,
        [],
        wanted_nodes=wanted_nodes,
        repeat_in_pings=False,
    )
    summaries, records = _newer_records(directory, first)
    if not (wanted_nodes or summaries or records):
        return True
    second = await request_sync(
        membership,
        address,
        SyncRequest(
            directory.own_node,
            now(),
            wanted_nodes=wanted_nodes,
            summaries=summaries,
            records=records,
        ),
    )
    if second is None:
        return False
    _merge_sync_changes(membership, [], second.records)
    record_event(
        membership.timeline,
        Kind.MEMBERS_SYNCED,
        first.node,
        f"{len(second.records)} records taken, {len(records) + len(summaries)} given",
    )
    return True


async def request_sync(
    membership: Membership, address: Address, request: SyncRequest
) -> SyncAnswer | None:
    """Send one request of a sync and return the response, or None if it failed."""
    result = await membership.call(
        address, SYNC, request, SyncAnswer, timeout_s=SYNC_TIMEOUT_S
    )
    if not isinstance(result, Success):
        return None
    answer: SyncAnswer = result.unwrap()
    observe_remote_time(membership.clock, Timestamp(*answer.at))
    return answer


def _merge_sync_changes(
    membership: Membership,
    summaries: Iterable[RecordSummary],
    records: Sequence[NodeRecord],
) -> None:
    """Merge changes from a sync; pings repeat them only if there are few records."""
    repeat_in_pings = len(records) <= RECORDS_PER_PING
    merge_changes(membership, summaries, records, repeat_in_pings=repeat_in_pings)


def _newer_records(
    directory: Directory, answer: SyncAnswer
) -> tuple[list[RecordSummary], list[NodeRecord]]:
    """Return summaries and records that are newer here than at the peer."""
    summary_by_node = {summary.node: summary for summary in answer.summaries}
    summaries: list[RecordSummary] = []
    records: list[NodeRecord] = []
    for stored in _records_in_buckets(directory, answer.differing_buckets):
        stored_summary, peer_summary = (
            summarize_record(stored),
            summary_by_node.get(stored.node),
        )
        if peer_summary is None:
            if stored.state != "dead":
                records.append(stored)
        elif summary_order(stored_summary) > summary_order(peer_summary):
            if (
                stored.state == "dead"
                or stored_summary.content_hash == peer_summary.content_hash
            ):
                summaries.append(stored_summary)
            else:
                records.append(stored)
    return summaries, records


def _wanted_records(directory: Directory, nodes: Sequence[str]) -> list[NodeRecord]:
    """Return the records of those nodes that are live; "*" stands for all nodes."""
    if "*" in nodes:
        return list(directory.live_records())
    stored = (directory.record_by_node.get(node) for node in nodes)
    return [r for r in stored if r is not None and r.state != "dead"]


def _records_in_buckets(
    directory: Directory, buckets: Iterable[int]
) -> list[NodeRecord]:
    wanted = set(buckets)
    return [
        stored
        for node, stored in directory.record_by_node.items()
        if bucket_of(node) in wanted
    ]
