"""Sync of two directories whose digests differ."""

from collections.abc import Iterable

from returns.result import Success

from siskinlug.connections import Address
from siskinlug.directory import (
    Directory,
    Mark,
    NodeRecord,
    bucket_of,
    mark_of,
    mark_order,
)
from siskinlug.membership_state import Membership, start_task
from siskinlug.merging import merge_changes, observe_clock
from siskinlug.messages import SyncAnswer, SyncRequest
from siskinlug.round_trips import SYNC
from siskinlug.spreading import RECORDS_PER_PING
from siskinlug.timeline import Kind, record

SYNC_TIMEOUT_S = 3.0
SYNC_INTERVAL_S = 5.0
# A digest that differs while changes are still spreading is no reason for a sync.
MISMATCH_S = 2.0
QUIET_S = 2.0
MISMATCH_LIMIT_S = 15.0


def handle_sync(membership: Membership, message: SyncRequest) -> SyncAnswer:
    """Answer one step of a sync; see ``SyncRequest``."""
    directory = membership.directory
    observe_clock(membership, message.at)
    few = len(message.records) <= RECORDS_PER_PING
    merge_changes(membership, message.marks, message.records, spread=few)
    if "*" in message.want:
        return SyncAnswer(
            directory.own_node, membership.clock.now(), records=list(directory.alive())
        )
    if not message.digests:
        return SyncAnswer(
            directory.own_node,
            membership.clock.now(),
            records=_live_records(directory, message.want),
        )
    pairs = enumerate(
        zip(message.digests, directory.bucket_digests(), strict=False),
    )
    buckets = [index for index, (theirs, ours) in pairs if theirs != ours]
    return SyncAnswer(
        directory.own_node,
        membership.clock.now(),
        buckets=buckets,
        marks=[mark_of(held) for held in _records_in_buckets(directory, buckets)],
    )


def check_digest(membership: Membership, address: Address, digest: str) -> None:
    """Sync if the digest of a peer has differed for longer than changes spread."""
    now = membership.monotonic()
    if digest == membership.directory.digest():
        membership.mismatch_since = None
        return
    if membership.mismatch_since is None:
        membership.mismatch_since = now
    lasted = now - membership.mismatch_since
    quiet = now - membership.last_change
    if lasted < MISMATCH_S or now < membership.next_sync:
        return
    if quiet < QUIET_S and lasted < MISMATCH_LIMIT_S:
        return
    membership.next_sync = now + SYNC_INTERVAL_S * (0.5 + membership.random.random())
    start_task(membership, sync_with(membership, address))


async def sync_with(membership: Membership, address: Address) -> bool:
    """Exchange what differs with the node at an address."""
    directory = membership.directory

    async def step(request: SyncRequest) -> SyncAnswer | None:
        result = await membership.call(
            address, SYNC, request, SyncAnswer, timeout_s=SYNC_TIMEOUT_S
        )
        if not isinstance(result, Success):
            return None
        answer: SyncAnswer = result.unwrap()
        observe_clock(membership, answer.at)
        return answer

    now = membership.clock.now
    first = await step(
        SyncRequest(directory.own_node, now(), digests=directory.bucket_digests())
    )
    if first is None:
        return False
    theirs = {mark.node: mark for mark in first.marks}
    want: list[str] = []
    merge_changes(membership, first.marks, [], want=want, spread=False)
    marks: list[Mark] = []
    records: list[NodeRecord] = []
    for held in _records_in_buckets(directory, first.buckets):
        mine, other = mark_of(held), theirs.get(held.node)
        if other is None:
            if held.state != "dead":
                records.append(held)
        elif mark_order(mine) > mark_order(other):
            if held.state == "dead" or mine.content == other.content:
                marks.append(mine)
            else:
                records.append(held)
    if not (want or marks or records):
        return True
    second = await step(
        SyncRequest(directory.own_node, now(), want=want, marks=marks, records=records)
    )
    if second is None:
        return False
    few = len(second.records) <= RECORDS_PER_PING
    merge_changes(membership, [], second.records, spread=few)
    record(
        membership.timeline,
        Kind.MEMBERS_SYNCED,
        first.node,
        f"{len(second.records)} records taken, {len(records) + len(marks)} given",
    )
    return True


def _live_records(directory: Directory, nodes: Iterable[str]) -> list[NodeRecord]:
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
