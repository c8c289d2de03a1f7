"""Sync of two directories whose digests differ."""

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
from siskinlug.gossip import RECORDS_PER_PING
from siskinlug.gossip_merge import merge_changes
from siskinlug.membership_state import Membership, start_task
from siskinlug.messages import SyncAnswer, SyncRequest
from siskinlug.round_trips import SYNC
from siskinlug.timeline import Kind, record

SYNC_TIMEOUT_S = 3.0
SYNC_INTERVAL_S = 5.0
# A digest that differs while changes are still spreading is no reason for a sync.
SYNC_AFTER_MISMATCH_S = 2.0
SYNC_AFTER_QUIET_S = 2.0
SYNC_AFTER_MISMATCH_MAX_S = 15.0


def handle_sync(membership: Membership, message: SyncRequest) -> SyncAnswer:
    """Answer one step of a sync; see ``SyncRequest``."""
    directory = membership.directory
    observe_remote_time(membership.clock, Timestamp(*message.at))
    _merge_sync_changes(membership, message.summaries, message.records)
    if "*" in message.wanted_nodes or not message.digests:
        wanted = _wanted_records(directory, message.wanted_nodes)
        return SyncAnswer(directory.own_node, membership.clock.now(), records=wanted)
    pairs = enumerate(
        zip(message.digests, directory.bucket_digests(), strict=False),
    )
    buckets = [index for index, (theirs, ours) in pairs if theirs != ours]
    return SyncAnswer(
        directory.own_node,
        membership.clock.now(),
        buckets=buckets,
        summaries=[
            summarize_record(held) for held in _records_in_buckets(directory, buckets)
        ],
    )


def check_digest(membership: Membership, address: Address, digest: str) -> None:
    """Sync if the digest of a peer has differed for longer than changes spread."""
    now = membership.monotonic()
    if digest == membership.directory.digest():
        membership.digest_mismatch_since = None
        return
    if membership.digest_mismatch_since is None:
        membership.digest_mismatch_since = now
    lasted = now - membership.digest_mismatch_since
    quiet = now - membership.last_change_at
    if lasted < SYNC_AFTER_MISMATCH_S or now < membership.next_sync_at:
        return
    if quiet < SYNC_AFTER_QUIET_S and lasted < SYNC_AFTER_MISMATCH_MAX_S:
        return
    membership.next_sync_at = now + membership.jittered(SYNC_INTERVAL_S)
    start_task(membership, sync_with(membership, address))


async def sync_with(membership: Membership, address: Address) -> bool:
    """Exchange what differs with the node at an address."""
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
    record(
        membership.timeline,
        Kind.MEMBERS_SYNCED,
        first.node,
        f"{len(second.records)} records taken, {len(records) + len(summaries)} given",
    )
    return True


async def request_sync(
    membership: Membership, address: Address, request: SyncRequest
) -> SyncAnswer | None:
    """Send one step of a sync; None if no answer came."""
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
    """Merge what a sync brought; pings repeat it only if the records are few."""
    few = len(records) <= RECORDS_PER_PING
    merge_changes(membership, summaries, records, repeat_in_pings=few)


def _newer_records(
    directory: Directory, answer: SyncAnswer
) -> tuple[list[RecordSummary], list[NodeRecord]]:
    """Return what the answering node lacks in the buckets that differ."""
    theirs = {summary.node: summary for summary in answer.summaries}
    summaries: list[RecordSummary] = []
    records: list[NodeRecord] = []
    for held in _records_in_buckets(directory, answer.buckets):
        mine, other = summarize_record(held), theirs.get(held.node)
        if other is None:
            if held.state != "dead":
                records.append(held)
        elif summary_order(mine) > summary_order(other):
            if held.state == "dead" or mine.content_hash == other.content_hash:
                summaries.append(mine)
            else:
                records.append(held)
    return summaries, records


def _wanted_records(directory: Directory, nodes: Sequence[str]) -> list[NodeRecord]:
    """Return the records of the nodes that are not dead; "*" stands for all nodes."""
    if "*" in nodes:
        return list(directory.live_records())
    held = (directory.record_by_node.get(node) for node in nodes)
    return [r for r in held if r is not None and r.state != "dead"]


def _records_in_buckets(
    directory: Directory, buckets: Iterable[int]
) -> list[NodeRecord]:
    wanted = set(buckets)
    return [
        held
        for node, held in directory.record_by_node.items()
        if bucket_of(node) in wanted
    ]
