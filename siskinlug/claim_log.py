"""The home's access to the log: reading a partition, appending in batches."""

import asyncio
from contextlib import suppress
from typing import Any

import msgspec
from returns.result import Failure, Success

from siskinlug.claim_fold import CLOCK_SKEW_S, BatchRecord, claim_entry
from siskinlug.claim_messages import CLAIM_TIMEOUT_S
from siskinlug.claim_state import ClaimHome, Partition, Waiter
from siskinlug.log_client import Effect

# An outcome may wait for claims to share an append with; the home knows it already.
SETTLE_DELAY_S = 1.0
LOG_TIMEOUT_S = 1.0
LOG_RETRY_S = 0.5
MAX_BATCH = 256

_APPEND_AGAIN_S = 0.05


async def refresh(home: ClaimHome, partition: Partition) -> bool:
    """Read what is new in the log, at most once per interval.

    Returns:
        Whether the partition's state is that of the log a moment ago.
    """
    async with partition.lock:
        now = home.monotonic()
        if partition.loaded and now - partition.read_at < home.append_interval_s:
            return True
        if now < partition.log_down_until:
            return False
        return await _read_to_end(home, partition)


async def _read_to_end(home: ClaimHome, partition: Partition) -> bool:
    if not partition.start_found:
        start = await _first_needed(home, partition)
        if start is None:
            return _mark_down(home, partition)
        partition.fold.next = start
        partition.start_found = True
    while True:
        asked = partition.fold.next
        page = await home.read(partition.stream, asked, timeout_s=LOG_TIMEOUT_S)
        if isinstance(page, Failure):
            return _mark_down(home, partition)
        records = page.unwrap()
        for item in records.records:
            partition.fold.apply(item.offset, item.record)
        if partition.fold.next >= records.next or not records.records:
            break
    partition.loaded = True
    partition.read_at = home.monotonic()
    _drop_logged(partition)
    return True


async def _first_needed(home: ClaimHome, partition: Partition) -> int | None:
    """Find the first record young enough to matter, by bisection over the offsets."""
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
        if records and _written_ms(records[0].record) < oldest_ms:
            low = middle + 1
        else:
            high = middle
    return low


def _written_ms(record: Any) -> int:
    at_ms = record.get("at_ms", 0) if isinstance(record, dict) else 0
    return at_ms if isinstance(at_ms, int) else 0


def _mark_down(home: ClaimHome, partition: Partition) -> bool:
    partition.log_down_until = home.monotonic() + LOG_RETRY_S
    return False


def _drop_logged(partition: Partition) -> None:
    """Drop claims made without the log that the log now decides."""
    for key in list(partition.unlogged_by_key):
        if partition.fold.get(key) is not None:
            del partition.unlogged_by_key[key]


def start_appending(home: ClaimHome, partition: Partition) -> None:
    """Append what waits in a partition, in a task, if none does so already."""
    if not partition.appending:
        partition.appending = True
        home.start(_append_waiting(home, partition))


async def _append_waiting(home: ClaimHome, partition: Partition) -> None:
    """Append what waits, in batches, until nothing does."""
    try:
        while partition.waiter_by_key or partition.entries:
            await _wait_for_turn(home, partition)
            async with partition.lock:
                await _append_batch(home, partition)
    finally:
        partition.appending = False


async def _wait_for_turn(home: ClaimHome, partition: Partition) -> None:
    if not partition.waiter_by_key and not home.closing:
        partition.claim_arrived.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_DELAY_S):
                await partition.claim_arrived.wait()
    due = max(partition.appended_at + home.append_interval_s, partition.log_down_until)
    await asyncio.sleep(max(0.0, due - home.monotonic()))


async def _append_batch(home: ClaimHome, partition: Partition) -> None:
    queued, waiters = _take_batch(partition)
    # Outcomes go first: a key freed here can be claimed again in the same batch.
    entries = queued + [claim_entry(waiter.ask) for waiter in waiters]
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
                _drop_settled(partition, entry)
    else:
        partition.entries.extendleft(reversed(queued))
    for waiter in waiters:
        waiter.resolve(logged)


def _take_batch(partition: Partition) -> tuple[list[list[Any]], list[Waiter]]:
    """Take queued entries, then waiting claims, up to the size of a batch."""
    count = min(len(partition.entries), MAX_BATCH)
    queued = [partition.entries.popleft() for _ in range(count)]
    waiters: list[Waiter] = []
    while partition.waiter_by_key and len(queued) + len(waiters) < MAX_BATCH:
        key, waiter = partition.waiter_by_key.popitem(last=False)
        partition.appending_by_key[key] = waiter
        waiters.append(waiter)
    return queued, waiters


def _drop_settled(partition: Partition, entry: list[Any]) -> None:
    """Drop a claim made in memory whose outcome is now in the log."""
    held = partition.unlogged_by_key.get(entry[1])
    if held is not None and held.claim == entry[2]:
        del partition.unlogged_by_key[entry[1]]


async def _append_and_read(
    home: ClaimHome, partition: Partition, batch: BatchRecord
) -> bool:
    """Append a batch and read the stream up to it.

    Returns:
        Whether it was read back; if not, it may still take effect.
    """
    record = msgspec.to_builtins(batch)
    give_up_at = home.monotonic() + CLAIM_TIMEOUT_S / 2
    while True:
        home.appends += 1
        appended = await home.append(partition.stream, record, timeout_s=LOG_TIMEOUT_S)
        known = isinstance(appended, Success)
        if not known and appended.failure().effect is Effect.NOT_APPLIED:
            return _mark_down(home, partition)
        if not await _read_to_end(home, partition):
            return False
        if partition.fold.applied(home.home_id, batch.seq):
            return True
        # The answer was lost. The same batch may be appended twice: it counts once.
        if known or home.monotonic() >= give_up_at:
            return _mark_down(home, partition)
        await asyncio.sleep(_APPEND_AGAIN_S)
