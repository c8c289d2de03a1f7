"""State that a node keeps as the home of partitions of the key claims."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable, Coroutine
from typing import Any

from siskinlug.claim_fold import KeyFold, KeyState
from siskinlug.claim_messages import (
    MAX_ANSWER_BYTES,
    CachedAnswer,
    ClaimRequest,
    answer_size,
)
from siskinlug.log_client import Append, Read
from siskinlug.verdict import Verdict

PARTITION_COUNT = 64
MAX_QUEUED_ENTRIES = 4096
# An hour at 27 keys/s (5 % of 35,000 requests/s over 64 partitions) is 97,200 keys; the
# rest is headroom.
MAX_KEYS_PER_PARTITION = 120_000
MAX_ANSWER_CACHE_BYTES = 4 << 20


def partition_of(key: str) -> int:
    """Return the partition of a key digest."""
    return int(key[:8], 16) % PARTITION_COUNT


class PendingClaim:
    """A claim that waits until its append is read back from the log."""

    def __init__(self, request: ClaimRequest) -> None:
        self.request = request
        self.done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def resolve(self, logged: bool) -> None:
        """Wake the waiting tasks; calls after the first have no effect.

        Args:
            logged: Whether the claim was read back from the log.
        """
        if not self.done.done():
            self.done.set_result(logged)


class Partition:
    """State of one partition at its home node.

    A home node may lose all of it. Claims are read from the log again, except those
    granted without it, and outcomes that the log lacks count as may have run.

    Attributes:
        wall_ms: Wall clock in milliseconds since the epoch.
        stream: Name of the partition's stream in the log.
        fold: State of the stream up to the last record read.
        start_found: Whether ``fold`` starts at the first record that may still count.
        loaded: Whether the stream has been read to its end once.
        seq: Number of the last batch that this home node wrote.
        read_at: Monotonic time at which the stream was last read to its end.
        appended_at: Monotonic time of the last append.
        log_down_until: Monotonic time up to which the log counts as unavailable.
        lock: Held while the stream is read or appended to.
        pending_by_key: Claims that wait for the next batch.
        appending_by_key: Claims in the batch that is being appended.
        queued_entries: Outcomes, and claims granted without the log, that wait for the
            next batch.
        verdict_by_claim: Outcomes that are not in the log yet.
        unlogged_by_key: Claims granted in memory while the log was unavailable.
        released_claims: Claims to refuse because their entry released them.
        claim_arrived: Set when a claim was queued.
        appending: Whether a task appends the partition's batches.
    """

    def __init__(
        self, number: int, *, ttl_s: float, wall_ms: Callable[[], int]
    ) -> None:
        self.wall_ms = wall_ms
        self.stream = f"claims-{number:02d}"
        self.fold = KeyFold(ttl_s=ttl_s)
        self.start_found = False
        self.loaded = False
        self.seq = 0
        self.read_at = float("-inf")
        self.appended_at = float("-inf")
        self.log_down_until = float("-inf")
        self.lock = asyncio.Lock()
        self.pending_by_key: OrderedDict[str, PendingClaim] = OrderedDict()
        self.appending_by_key: dict[str, PendingClaim] = {}
        self.queued_entries: deque[list[Any]] = deque()
        self.verdict_by_claim: dict[str, Verdict] = {}
        self.unlogged_by_key: OrderedDict[str, KeyState] = OrderedDict()
        self.released_claims: OrderedDict[str, None] = OrderedDict()
        self.claim_arrived: asyncio.Event = asyncio.Event()
        self.appending = False

    def holder(self, key: str) -> KeyState | None:
        """Return the claim that holds a key, with any outcome not yet in the log."""
        state = self.fold.get(key) or self.unlogged_by_key.get(key)
        if state is not None and state.at_ms < self.wall_ms() - self.fold.ttl_ms:
            # The folded state drops expired keys only when a batch is applied.
            return None
        if state is None or state.verdict is not None:
            return state
        verdict = self.verdict_by_claim.get(state.claim)
        if verdict is Verdict.NOT_RUN:
            return None
        return state if verdict is None else state._replace(verdict=verdict)

    def is_full(self) -> bool:
        """Return whether the partition has no room for another key."""
        return len(self.fold) + len(self.unlogged_by_key) >= MAX_KEYS_PER_PARTITION

    def pending(self, key: str) -> PendingClaim | None:
        """Return the claim of a key that is queued or being appended, if any."""
        return self.pending_by_key.get(key) or self.appending_by_key.get(key)

    def queue_entry(self, entry: list[Any]) -> None:
        """Queue an entry for the next batch.

        When the queue is full, the oldest entry is dropped; a claim whose outcome is
        dropped stays without outcome.
        """
        if len(self.queued_entries) >= MAX_QUEUED_ENTRIES:
            dropped = self.queued_entries.popleft()
            self.verdict_by_claim.pop(dropped[2], None)
        self.queued_entries.append(entry)


class AnswerCache:
    """Responses cached for repeated keys, limited to ``MAX_ANSWER_CACHE_BYTES``."""

    def __init__(self) -> None:
        self.entry_by_claim: OrderedDict[str, tuple[float, CachedAnswer]] = (
            OrderedDict()
        )
        self.size_bytes = 0

    def add(self, claim: str, answer: CachedAnswer, until: float) -> None:
        """Cache a response, unless it is too large.

        Args:
            claim: Id of the claim.
            answer: The response.
            until: Monotonic time at which it expires, in seconds.
        """
        if answer_size(answer) > MAX_ANSWER_BYTES or claim in self.entry_by_claim:
            return
        self.entry_by_claim[claim] = (until, answer)
        self.size_bytes += answer_size(answer)
        while self.size_bytes > MAX_ANSWER_CACHE_BYTES:
            _, (_, dropped) = self.entry_by_claim.popitem(last=False)
            self.size_bytes -= answer_size(dropped)

    def get(self, claim: str, now: float) -> CachedAnswer | None:
        """Return the response of a claim, ``None`` if it is no longer cached."""
        held = self.entry_by_claim.get(claim)
        return held[1] if held is not None and held[0] > now else None


class ClaimHome:
    """State of one node as a home, with its access to the log and the clocks.

    Attributes:
        home_id: Node and incarnation, as written into batches.
        answers: Cached responses.
        tasks: Running tasks; see ``start_task``.
        closing: Whether ``close_claims`` was called, after which outcomes no longer
            wait for claims to share a batch with.
        appends: Number of appends, including repeated ones.
    """

    def __init__(
        self,
        *,
        home_id: str,
        append: Append,
        read: Read,
        monotonic: Callable[[], float],
        wall_ms: Callable[[], int],
        key_ttl_s: float,
        append_interval_s: float,
    ) -> None:
        self.home_id = home_id
        self.append = append
        self.read = read
        self.monotonic = monotonic
        self.wall_ms = wall_ms
        self.key_ttl_s = key_ttl_s
        self.append_interval_s = append_interval_s
        self.partition_by_number: dict[int, Partition] = {}
        self.answers = AnswerCache()
        self.tasks: set[asyncio.Task[None]] = set()
        self.closing = False
        self.appends = 0

    def partition(self, key: str) -> Partition:
        """Return the state of the partition of a key digest."""
        number = partition_of(key)
        if number not in self.partition_by_number:
            self.partition_by_number[number] = Partition(
                number, ttl_s=self.key_ttl_s, wall_ms=self.wall_ms
            )
        return self.partition_by_number[number]

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in a task that ``close_claims`` waits for or cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
