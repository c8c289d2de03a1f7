"""Access of a home node to the log: reads partitions and appends batches."""

import asyncio
from contextlib import suppress
from typing import Any

import msgspec
from returns.result import Failure, Success

from siskinlug.claim_fold import CLOCK_SKEW_S, BatchRecord, claim_entry
from siskinlug.claim_messages import CLAIM_TIMEOUT_S
from siskinlug.claim_state import ClaimHome, Partition, PendingClaim
from siskinlug.log_client import Effect

# Time that outcomes wait for claims to share a batch with. The home node applies an
# outcome at once, so this delays no answer.
OUTCOME_DELAY_S = 1.0
LOG_TIMEOUT_S = 1.0
LOG_RETRY_S = 0.5
MAX_BATCH_ENTRIES = 256

_APPEND_RETRY_S = 0.05


async def refresh_partition(home: ClaimHome, partition: Partition) -> bool:
    """Read the new records of a partition, at most once per append interval.

    Returns:
        Whether the partition's state is up to date to within that interval; ``False``
        if the log is unavailable.
    """
    async with partition.lock:
        now = home.monotonic()
        if partition.loaded and now - partition.read_at < home.append_interval_s:
            return True
        if now < partition.log_down_until:
            return False
        return await _read_to_end(home, partition)


async def _read_to_end(home: ClaimHome, partition: Partition) -> bool:
    """Apply all new records of the stream; return ``False`` if a read fails."""
    if not partition.start_found:
        start = await _first_relevant_offset(home, partition)
        if start is None:
            return _mark_log_down(home, partition)
        partition.fold.next = start
        partition.start_found = True
    while True:
        next_offset = partition.fold.next
        read = await home.read(partition.stream, next_offset, timeout_s=LOG_TIMEOUT_S)
        if isinstance(read, Failure):
            return _mark_log_down(home, partition)
        page = read.unwrap()
        for item in page.records:
            partition.fold.apply(item.offset, item.record)
        if partition.fold.next >= page.next or not page.records:
            break
    partition.loaded = True
    partition.read_at = home.monotonic()
    _drop_logged_claims(partition)
    return True


async def _first_relevant_offset(home: ClaimHome, partition: Partition) -> int | None:
    """Find the offset of the first record that may still count, by binary search.

    Returns:
        The offset, or ``None`` if the log is unavailable.
    """
    oldest_ms = home.wall_ms() - int((home.key_ttl_s + 2 * CLOCK_SKEW_S) * 1000)
    page = await home.read(partition.stream, 0, limit=1, timeout_s=LOG_TIMEOUT_S)
    if isinstance(page, Failure):
        return None
    low, high = page.unwrap().first, page.unwrap().next
    while low < high:
        middle = (low + high) // 2
        page = await home.read(
            partition.stream, middle, limit=1, timeout_s=LOG_TIMEOUT_S
        )
        if isinstance(page, Failure):
            return None
        records = page.unwrap().records
        if records and _written_at_ms(records[0].record) < oldest_ms:
            low = middle + 1
        else:
            high = middle
    return low


def _written_at_ms(record: Any) -> int:
    at_ms = record.get("at_ms", 0) if isinstance(record, dict) else 0
    return at_ms if isinstance(at_ms, int) else 0


def _mark_log_down(home: ClaimHome, partition: Partition) -> bool:
    """Suspend access to the log for ``LOG_RETRY_S``; return ``False`` for callers."""
    partition.log_down_until = home.monotonic() + LOG_RETRY_S
    return False


def _drop_logged_claims(partition: Partition) -> None:
    """Drop claims granted without the log whose keys are now held in the log."""
    for key in list(partition.unlogged_by_key):
        if partition.fold.get(key) is not None:
            del partition.unlogged_by_key[key]


def start_appending(home: ClaimHome, partition: Partition) -> None:
    """Start the task that appends a partition's queues, unless it is running."""
    if not partition.appending:
        partition.appending = True
        home.start_task(_append_until_empty(home, partition))


async def _append_until_empty(home: ClaimHome, partition: Partition) -> None:
    """Append pending claims and queued entries in batches until none are left."""
    try:
        while partition.pending_by_key or partition.queued_entries:
            await _wait_for_next_append(home, partition)
            async with partition.lock:
                await _append_batch(home, partition)
    finally:
        partition.appending = False


async def _wait_for_next_append(home: ClaimHome, partition: Partition) -> None:
    """Wait for claims to share the batch, then for the append interval to pass."""
    if not partition.pending_by_key and not home.closing:
        partition.claim_arrived.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(OUTCOME_DELAY_S):
                await partition.claim_arrived.wait()
    next_append_at = max(
        partition.appended_at + home.append_interval_s, partition.log_down_until
    )
    await asyncio.sleep(max(0.0, next_append_at - home.monotonic()))


async def _append_batch(home: ClaimHome, partition: Partition) -> None:
    queued, pending_claims = _take_batch(partition)
    # Outcomes go first, so that a key released here can be claimed in the same batch.
    entries = queued + [claim_entry(pending.request) for pending in pending_claims]
    partition.seq += 1
    batch = BatchRecord(home.home_id, partition.seq, home.wall_ms(), entries)
    try:
        logged = await _append_and_read(home, partition, batch)
    finally:
        partition.appended_at = home.monotonic()
        partition.appending_by_key.clear()
    if logged:
        for entry in queued:
            if entry[0] == "s":
                partition.verdict_by_claim.pop(entry[2], None)
                _drop_completed_claim(partition, entry)
    else:
        partition.queued_entries.extendleft(reversed(queued))
    for pending in pending_claims:
        pending.resolve(logged)


def _take_batch(partition: Partition) -> tuple[list[list[Any]], list[PendingClaim]]:
    """Take queued entries, then pending claims, up to ``MAX_BATCH_ENTRIES``."""
    count = min(len(partition.queued_entries), MAX_BATCH_ENTRIES)
    queued = [partition.queued_entries.popleft() for _ in range(count)]
    pending_claims: list[PendingClaim] = []
    while (
        partition.pending_by_key
        and len(queued) + len(pending_claims) < MAX_BATCH_ENTRIES
    ):
        key, pending = partition.pending_by_key.popitem(last=False)
        partition.appending_by_key[key] = pending
        pending_claims.append(pending)
    return queued, pending_claims


def _drop_completed_claim(partition: Partition, entry: list[Any]) -> None:
    """Drop a claim granted in memory whose outcome is now in the log."""
    held = partition.unlogged_by_key.get(entry[1])
    if held is not None and held.claim == entry[2]:
        del partition.unlogged_by_key[entry[1]]


async def _append_and_read(
    home: ClaimHome, partition: Partition, batch: BatchRecord
) -> bool:
    """Append a batch and read the stream until the batch is read back.

    Returns:
        Whether the batch was read back. If not, it may still take effect later.
    """
    record = msgspec.to_builtins(batch)
    retry_until = home.monotonic() + CLAIM_TIMEOUT_S / 2
    while True:
        home.appends += 1
        appended = await home.append(partition.stream, record, timeout_s=LOG_TIMEOUT_S)
        acknowledged = isinstance(appended, Success)
        if not acknowledged and appended.failure().effect is Effect.NOT_APPLIED:
            return _mark_log_down(home, partition)
        if not await _read_to_end(home, partition):
            return False
        if partition.fold.has_applied(home.home_id, batch.seq):
            return True
        # The response was lost. Appending the batch again is safe, since a repeated
        # ``seq`` is ignored.
        if acknowledged or home.monotonic() >= retry_until:
            return _mark_log_down(home, partition)
        await asyncio.sleep(_APPEND_RETRY_S)
