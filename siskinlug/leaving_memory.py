"""Leavings of targets in a store, for a fleet whose nodes may all end at once.

Nodes remember leaving targets in memory and tell each other (``leaving_targets``). If
all of them restart, nobody remembers, and a renewal that was delayed would make such a
target ready again. What its owner has acknowledged is therefore kept in a store too.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from absl import logging

from siskinlug.clock import wall_clock_ms
from siskinlug.logs import log_event

# A target waits one second for the acknowledgement that follows the write.
WRITE_TIMEOUT_S = 0.5
RETRY_S = 1.0
# Long after a target that leaves has ended.
KEPT_S = 600.0


class StoredLeaving(NamedTuple):
    """A leaving target in the store.

    Attributes:
        target: Target id.
        incarnation: Incarnation that is leaving; earlier ones are gone.
        node: Node that the target told.
        at_ms: When it did, wall clock of that node in milliseconds.
    """

    target: str
    incarnation: int
    node: str
    at_ms: int


class LeavingStore(NamedTuple):
    """Access to the store.

    Attributes:
        write: Writes a leaving and returns whether that was confirmed.
        drop: Drops the entry of a target and returns whether that was confirmed.
        read: Returns all entries, or ``None`` if they cannot be read.
        losses: Returns how often the store has lost what it had confirmed.
        wait_for_loss: Returns once that number differs from the given one.
    """

    write: Callable[[StoredLeaving], Awaitable[bool]]
    drop: Callable[[str], Awaitable[bool]]
    read: Callable[[], Awaitable[Sequence[StoredLeaving] | None]]
    losses: Callable[[], int]
    wait_for_loss: Callable[[int], Awaitable[object]]


class LeavingMemory:
    """Leavings that this node has acknowledged, and whether the store has them.

    Attributes:
        store: The store, ``None`` if the fleet has none for this.
        node: Name of this node.
        wall_ms: Wall clock in milliseconds.
        leaving_by_target: What is or should be in the store.
        unconfirmed: Targets whose entry is not confirmed yet.
        changed: Set when ``unconfirmed`` has grown.
    """

    def __init__(
        self, *, store: LeavingStore | None, node: str, wall_ms: Callable[[], int]
    ) -> None:
        self.store = store
        self.node = node
        self.wall_ms = wall_ms
        self.leaving_by_target: dict[str, StoredLeaving] = {}
        self.unconfirmed: set[str] = set()
        self.changed = asyncio.Event()

    def is_recent(self, leaving: StoredLeaving) -> bool:
        """Whether an entry is still of use; also if a clock was set back since."""
        return abs(self.wall_ms() - leaving.at_ms) < KEPT_S * 1000


def make_leaving_memory(
    *,
    store: LeavingStore | None,
    node: str,
    wall_ms: Callable[[], int] = wall_clock_ms,
) -> LeavingMemory:
    """Make the memory of a node that has acknowledged no leaving.

    Args:
        store: The store, ``None`` for none.
        node: Name of the node.
        wall_ms: Wall clock in milliseconds.
    """
    return LeavingMemory(store=store, node=node, wall_ms=wall_ms)


async def store_leaving(memory: LeavingMemory, target: str, incarnation: int) -> None:
    """Store a leaving before it is acknowledged, unless the store takes too long.

    The target must get its acknowledgement in time. A write that failed or was late is
    repeated by ``run_leaving_memory``.

    Args:
        memory: The memory of this node.
        target: Target id.
        incarnation: Incarnation that is leaving.
    """
    known = memory.leaving_by_target.get(target)
    if memory.store is None or (known and known.incarnation >= incarnation):
        return
    leaving = StoredLeaving(target, incarnation, memory.node, memory.wall_ms())
    memory.leaving_by_target[target] = leaving
    # Also if the target closes its connection, which cancels this call.
    memory.unconfirmed.add(target)
    try:
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            if await memory.store.write(leaving):
                memory.unconfirmed.discard(target)
    except TimeoutError:
        logging.debug("the store took too long")
    finally:
        if target in memory.unconfirmed:
            memory.changed.set()
    if target in memory.unconfirmed:
        log_event("leaving_not_stored", write=logging.warning, target=target)


async def run_leaving_memory(
    memory: LeavingMemory, learn: Callable[[Sequence[StoredLeaving]], object]
) -> None:
    """Read what the fleet has stored, then keep this node's entries, until cancelled.

    Args:
        memory: The memory of this node.
        learn: Called with the entries that are recent, once they have been read.
    """
    store = memory.store
    if store is None:
        await asyncio.Event().wait()
        return
    while (found := await store.read()) is None:
        await asyncio.sleep(RETRY_S)
    recent = [leaving for leaving in found if memory.is_recent(leaving)]
    learn(recent)
    for leaving in found:
        # An earlier process of this node can no longer drop its entries.
        if leaving.node == memory.node:
            memory.leaving_by_target.setdefault(leaving.target, leaving)
    while True:
        losses = store.losses()
        await _drop_old(memory, store)
        await _write_unconfirmed(memory, store)
        if await _wait_for_work(memory, store, losses):
            memory.unconfirmed.update(memory.leaving_by_target)


async def _drop_old(memory: LeavingMemory, store: LeavingStore) -> None:
    for leaving in list(memory.leaving_by_target.values()):
        if not memory.is_recent(leaving) and await store.drop(leaving.target):
            del memory.leaving_by_target[leaving.target]
            memory.unconfirmed.discard(leaving.target)


async def _write_unconfirmed(memory: LeavingMemory, store: LeavingStore) -> None:
    memory.changed.clear()
    for target in list(memory.unconfirmed):
        if await store.write(memory.leaving_by_target[target]):
            memory.unconfirmed.discard(target)


async def _wait_for_work(
    memory: LeavingMemory, store: LeavingStore, losses: int
) -> bool:
    """Wait for an unconfirmed entry, for a loss or until entries may be old.

    Returns:
        Whether the store has lost entries.
    """
    timeout_s = RETRY_S if memory.unconfirmed else KEPT_S / 10
    waiting = [
        asyncio.ensure_future(store.wait_for_loss(losses)),
        asyncio.ensure_future(memory.changed.wait()),
    ]
    try:
        await asyncio.wait(
            waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        for task in waiting:
            task.cancel()
    return store.losses() != losses
