"""State of a node as the home of partitions of the key claims."""

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
MAX_ENTRIES = 4096
# An hour of 27 keys/s, 5 % of 35,000 requests/s over 64 partitions, and some room.
MAX_KEYS_PER_PARTITION = 120_000
MAX_ANSWER_CACHE_BYTES = 4 << 20


def partition_of(key: str) -> int:
    """Return the partition of a key digest."""
    return int(key[:8], 16) % PARTITION_COUNT


class Waiter:
    """A claim that waits to be read back."""

    def __init__(self, ask: ClaimRequest) -> None:
        self.ask = ask
        self.done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def resolve(self, logged: bool) -> None:
        """Tell whoever waits whether the claim was read back; the first call counts."""
        if not self.done.done():
            self.done.set_result(logged)


class Partition:
    """What the home of a partition holds; anything here can be rebuilt or lost."""

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
        self.waiter_by_key: OrderedDict[str, Waiter] = OrderedDict()
        self.appending_by_key: dict[str, Waiter] = {}
        self.entries: deque[list[Any]] = deque()
        self.verdict_by_claim: dict[str, Verdict] = {}
        self.unlogged_by_key: OrderedDict[str, KeyState] = OrderedDict()
        self.released: OrderedDict[str, None] = OrderedDict()
        self.claim_arrived: asyncio.Event = asyncio.Event()
        self.appending = False

    def holder(self, key: str) -> KeyState | None:
        """Return the claim that holds a key, with outcomes not yet in the log."""
        state = self.fold.get(key) or self.unlogged_by_key.get(key)
        if state is not None and state.at_ms < self.wall_ms() - self.fold.ttl_ms:
            # The log's state expires only with the next batch.
            return None
        if state is None or state.verdict is not None:
            return state
        verdict = self.verdict_by_claim.get(state.claim)
        if verdict is Verdict.NOT_RUN:
            return None
        return state if verdict is None else state._replace(verdict=verdict)

    def is_full(self) -> bool:
        """Whether there is no room for another key."""
        return len(self.fold) + len(self.unlogged_by_key) >= MAX_KEYS_PER_PARTITION

    def waiter(self, key: str) -> Waiter | None:
        """Return the claim of a key that waits for its append or is being appended."""
        return self.waiter_by_key.get(key) or self.appending_by_key.get(key)

    def add_entry(self, entry: list[Any]) -> None:
        """Queue an entry; without room the oldest is lost and stays unsettled."""
        if len(self.entries) >= MAX_ENTRIES:
            dropped = self.entries.popleft()
            self.verdict_by_claim.pop(dropped[2], None)
        self.entries.append(entry)


class AnswerCache:
    """Answers kept for repeated keys, bounded in bytes."""

    def __init__(self) -> None:
        self.kept: OrderedDict[str, tuple[float, CachedAnswer]] = OrderedDict()
        self.size = 0

    def add(self, claim: str, answer: CachedAnswer, until: float) -> None:
        """Keep an answer up to a monotonic time, unless it is too large."""
        if answer_size(answer) > MAX_ANSWER_BYTES or claim in self.kept:
            return
        self.kept[claim] = (until, answer)
        self.size += answer_size(answer)
        while self.size > MAX_ANSWER_CACHE_BYTES:
            _, (_, dropped) = self.kept.popitem(last=False)
            self.size -= answer_size(dropped)

    def get(self, claim: str, now: float) -> CachedAnswer | None:
        """Return the answer of a claim, ``None`` if it is no longer kept."""
        held = self.kept.get(claim)
        return held[1] if held is not None and held[0] > now else None


class ClaimHome:
    """What one node holds as a home, and its access to the log."""

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
        """Return the partition of a key digest."""
        number = partition_of(key)
        if number not in self.partition_by_number:
            self.partition_by_number[number] = Partition(
                number, ttl_s=self.key_ttl_s, wall_ms=self.wall_ms
            )
        return self.partition_by_number[number]

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside the caller's task until ``close_claims``."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
