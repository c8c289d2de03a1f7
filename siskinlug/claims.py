"""Idempotency-Key claims: a key runs at most once, ordered by the platform's log."""

import asyncio
import struct
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from contextlib import suppress
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from siskinlug.log_client import Append, Effect, Read
from siskinlug.tables import Route
from siskinlug.verdict import Reason, Refusal, Verdict, not_run

PARTITIONS = 64
KEY_TTL_S = 3600.0
# Records carry the wall clock of the home that wrote them; a key is kept longer by
# the largest difference between the clocks of two VMs that is allowed for.
CLOCK_SKEW_S = 60.0
# 64 partitions with one append each 0.25 s are at most 256 appends/s for the fleet.
APPEND_INTERVAL_S = 0.25
# An outcome may wait for claims to share an append with; the home knows it already.
SETTLE_DELAY_S = 1.0
CLAIM_TIMEOUT_S = 3.0
LOG_TIMEOUT_S = 1.0
LOG_RETRY_S = 0.5
# Time after the route's limit during which a claim without outcome counts as running.
HOLD_MARGIN_S = 5.0
DRAIN_S = 3.0
MAX_BATCH = 256
MAX_WAITING = 1024
MAX_NOTES = 4096
# An hour of 27 keys/s, 5 % of 35,000 requests/s over 64 partitions, and some room.
MAX_KEYS = 120_000
MAX_ANSWER_BYTES = 16_384
ANSWERS_BYTES = 4 << 20
MAX_RELEASED = 1024
SETTLE_TRIES_S = 30.0

_RETRY_AFTER_S = 1.0
_ASK_AGAIN_S = 0.1
_APPEND_AGAIN_S = 0.05


class KeptAnswer(TypedDict):
    """A target's answer kept at the home of its key."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimAsk(TypedDict):
    """Ask the home of a key for the right to run a request.

    ``key``, ``fingerprint`` and ``claim`` are digests. The id of the claim makes
    asking again harmless; ``hold_s`` is the time after which the request is no longer
    running.
    """

    key: str
    fingerprint: str
    claim: str
    hold_s: float
    without_log: str


class SettleNote(TypedDict):
    """Tell the home of a key what became of a claim."""

    key: str
    claim: str
    verdict: str
    answer: NotRequired[KeptAnswer]


class ClaimsRequest(TypedDict):
    """Message ``POST /peer/claims``: one of the two."""

    ask: NotRequired[ClaimAsk]
    note: NotRequired[SettleNote]


class ClaimsAnswer(TypedDict):
    """``outcome`` is ``granted``, ``answered``, ``refused``, ``noted`` or ``later``."""

    outcome: str
    answer: NotRequired[KeptAnswer]
    verdict: NotRequired[str]
    reason: NotRequired[str]
    detail: NotRequired[str]
    retry_after_s: NotRequired[float]


class BatchRecord(msgspec.Struct):
    """Record in the log: entries of one home, in order.

    ``seq`` rises with each batch of a home, so that an append that takes effect after
    a later one is recognised and ignored. Entries are ``["c", key, claim,
    fingerprint, hold_ms]`` and ``["s", key, claim, verdict]``.
    """

    home: str
    seq: int
    at_ms: int
    entries: list[list[Any]]


class KeyState(NamedTuple):
    """The claim that holds a key; ``verdict`` is ``None`` until it has an outcome."""

    claim: str
    fingerprint: str
    at_ms: int
    hold_ms: int
    verdict: Verdict | None


_VERDICTS = list(Verdict)
_SETTLED = struct.Struct(">8s8sQB")


def _pack(state: KeyState, verdict: Verdict) -> bytes:
    """Pack a settled state; an hour of them must fit into a node's memory."""
    claim_id, fingerprint = bytes.fromhex(state.claim), bytes.fromhex(state.fingerprint)
    return _SETTLED.pack(claim_id, fingerprint, state.at_ms, _VERDICTS.index(verdict))


def _unpack(packed: bytes) -> KeyState:
    claim_id, fingerprint, at_ms, verdict = _SETTLED.unpack(packed)
    return KeyState(claim_id.hex(), fingerprint.hex(), at_ms, 0, _VERDICTS[verdict])


class KeyFold:
    """State of one partition as a function of a prefix of its stream."""

    def __init__(self, *, ttl_s: float) -> None:
        self.next = 0
        self.now_ms = 0
        self.open_by_key: OrderedDict[str, KeyState] = OrderedDict()
        self.settled_by_key: dict[bytes, bytes] = {}
        self.seq_by_home: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.ttl_ms = int((ttl_s + CLOCK_SKEW_S) * 1000)

    def get(self, key: str) -> KeyState | None:
        """Return the claim that holds a key."""
        state = self.open_by_key.get(key)
        if state is None:
            packed = self.settled_by_key.get(bytes.fromhex(key))
            state = _unpack(packed) if packed is not None else None
        if state is None or state.at_ms < self.now_ms - self.ttl_ms:
            return None
        return state

    def __len__(self) -> int:
        return len(self.open_by_key) + len(self.settled_by_key)

    def applied(self, home: str, seq: int) -> bool:
        """Whether a batch of a home has been applied, or one after it."""
        return self.seq_by_home.get(home, (0, 0))[0] >= seq

    def apply(self, offset: int, record: Any) -> None:
        """Apply the next record; a malformed one changes nothing."""
        self.next = offset + 1
        try:
            batch = msgspec.convert(record, BatchRecord)
        except msgspec.ValidationError:
            return
        if self.applied(batch.home, batch.seq):
            return
        self.now_ms = max(self.now_ms, batch.at_ms)
        self.seq_by_home[batch.home] = (batch.seq, batch.at_ms)
        self.seq_by_home.move_to_end(batch.home)
        self._expire()
        for entry in batch.entries:
            with suppress(ValueError, TypeError):
                self._apply_entry(entry, batch.at_ms)

    def _apply_entry(self, entry: list[Any], at_ms: int) -> None:
        if entry[:1] == ["c"]:
            _, key, claim, fingerprint, hold_ms = entry
            if self.get(key) is None:
                self.settled_by_key.pop(bytes.fromhex(key), None)
                state = KeyState(claim, fingerprint, at_ms, int(hold_ms), None)
                self.open_by_key[key] = state
                self.open_by_key.move_to_end(key)
        elif entry[:1] == ["s"]:
            _, key, claim, verdict = entry
            held = self.get(key)
            if held is None or held.claim != claim or held.verdict is not None:
                return
            if verdict != Verdict.NOT_RUN.value:
                packed = _pack(held, Verdict(verdict))
                self.settled_by_key[bytes.fromhex(key)] = packed
            del self.open_by_key[key]

    def _expire(self) -> None:
        oldest_ms = self.now_ms - self.ttl_ms
        while self.open_by_key:
            key, state = next(iter(self.open_by_key.items()))
            if state.at_ms >= oldest_ms:
                break
            del self.open_by_key[key]
        while self.settled_by_key:
            settled, packed = next(iter(self.settled_by_key.items()))
            if _unpack(packed).at_ms >= oldest_ms:
                break
            del self.settled_by_key[settled]
        while self.seq_by_home:
            home, (_, at_ms) = next(iter(self.seq_by_home.items()))
            if at_ms >= oldest_ms:
                break
            del self.seq_by_home[home]


class _Waiter:
    """A claim that waits to be read back."""

    def __init__(self, ask: ClaimAsk) -> None:
        self.ask = ask
        self.done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def resolve(self, logged: bool) -> None:
        if not self.done.done():
            self.done.set_result(logged)


class _Partition:
    """What the home of a partition holds; anything here can be rebuilt or lost."""

    def __init__(
        self, number: int, *, ttl_s: float, wall_ms: Callable[[], int]
    ) -> None:
        self.wall_ms = wall_ms
        self.stream = f"claims-{number:02d}"
        self.fold = KeyFold(ttl_s=ttl_s)
        self.begun = False
        self.loaded = False
        self.seq = 0
        self.read_at = float("-inf")
        self.appended_at = float("-inf")
        self.down_until = float("-inf")
        self.lock = asyncio.Lock()
        self.waiting: OrderedDict[str, _Waiter] = OrderedDict()
        self.in_batch: dict[str, _Waiter] = {}
        self.notes: deque[list[Any]] = deque()
        self.verdict_by_claim: dict[str, Verdict] = {}
        self.memory: OrderedDict[str, KeyState] = OrderedDict()
        self.released: OrderedDict[str, None] = OrderedDict()
        self.claim_arrived: asyncio.Event = asyncio.Event()
        self.flushing = False

    def view(self, key: str) -> KeyState | None:
        """Return the claim that holds a key, with outcomes not yet in the log."""
        state = self.fold.get(key) or self.memory.get(key)
        if state is not None and state.at_ms < self.wall_ms() - self.fold.ttl_ms:
            # The log's state expires only with the next batch.
            return None
        if state is None or state.verdict is not None:
            return state
        verdict = self.verdict_by_claim.get(state.claim)
        if verdict is Verdict.NOT_RUN:
            return None
        return state if verdict is None else state._replace(verdict=verdict)

    def add_note(self, entry: list[Any]) -> None:
        """Queue an entry; without room the oldest is lost and stays unsettled."""
        if len(self.notes) >= MAX_NOTES:
            dropped = self.notes.popleft()
            self.verdict_by_claim.pop(dropped[2], None)
        self.notes.append(entry)


class _Answers:
    """Answers kept for repeated keys, bounded in bytes."""

    def __init__(self) -> None:
        self.kept: OrderedDict[str, tuple[float, KeptAnswer]] = OrderedDict()
        self.size = 0

    def add(self, claim: str, answer: KeptAnswer, until: float) -> None:
        if _answer_size(answer) > MAX_ANSWER_BYTES or claim in self.kept:
            return
        self.kept[claim] = (until, answer)
        self.size += _answer_size(answer)
        while self.size > ANSWERS_BYTES:
            _, (_, dropped) = self.kept.popitem(last=False)
            self.size -= _answer_size(dropped)

    def get(self, claim: str, now: float) -> KeptAnswer | None:
        held = self.kept.get(claim)
        return held[1] if held is not None and held[0] > now else None


def _answer_size(answer: KeptAnswer) -> int:
    headers = sum(len(name) + len(value) for name, value in answer["headers"])
    return len(answer["body"]) + headers


CallHome = Callable[[str, ClaimsRequest], Awaitable[ClaimsAnswer | None]]


class Claims:
    """Claims as seen by one node: as an entry, and as the home of partitions."""

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        append: Append,
        read: Read,
        home_of: Callable[[int], str],
        call_home: CallHome,
        monotonic: Callable[[], float],
        wall_ms: Callable[[], int],
        key_ttl_s: float,
        append_interval_s: float,
    ) -> None:
        self.node = node
        self.home = f"{node}@{incarnation}"
        self.append = append
        self.read = read
        self.home_of = home_of
        self.call_home = call_home
        self.monotonic = monotonic
        self.wall_ms = wall_ms
        self.key_ttl_s = key_ttl_s
        self.append_interval_s = append_interval_s
        self.partition_by_number: dict[int, _Partition] = {}
        self.answers = _Answers()
        self.tasks: set[asyncio.Task[None]] = set()
        self.closing = False
        self.appends = 0

    def partition(self, key: str) -> _Partition:
        """Return the partition of a key digest."""
        number = partition_of(key)
        if number not in self.partition_by_number:
            self.partition_by_number[number] = _Partition(
                number, ttl_s=self.key_ttl_s, wall_ms=self.wall_ms
            )
        return self.partition_by_number[number]

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside the caller's task until ``close_claims``."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class Claim:
    """A granted claim, to be settled once.

    Attributes:
        answer: The answer of the request that ran before with this key; if there is
            one, pass it on and run nothing.
    """

    def __init__(
        self, claims: Claims, key: str, claim_id: str, answer: KeptAnswer | None
    ) -> None:
        self.claims = claims
        self.key = key
        self.claim_id = claim_id
        self.answer = answer
        self.settled = answer is not None


def make_claims(
    *,
    node: str,
    incarnation: int,
    append: Append,
    read: Read,
    home_of: Callable[[int], str],
    call_home: CallHome,
    monotonic: Callable[[], float],
    wall_ms: Callable[[], int],
    key_ttl_s: float = KEY_TTL_S,
    append_interval_s: float = APPEND_INTERVAL_S,
) -> Claims:
    """Build the claims of one node.

    Args:
        node: Node id.
        incarnation: Incarnation of the node.
        append: Append to the log, as of ``log_client.Log``.
        read: Read from the log, as of ``log_client.Log``.
        home_of: Home node of a partition; see ``home_node``.
        call_home: Sends a message to another node and returns its answer, ``None``
            if there was none.
        monotonic: Clock in seconds.
        wall_ms: Wall clock in milliseconds.
        key_ttl_s: Time for which a key runs at most once, in seconds; must be shorter
            than the log's retention by ``CLOCK_SKEW_S`` or more.
        append_interval_s: Least time between two appends of a partition, in seconds.
    """
    return Claims(
        node=node,
        incarnation=incarnation,
        append=append,
        read=read,
        home_of=home_of,
        call_home=call_home,
        monotonic=monotonic,
        wall_ms=wall_ms,
        key_ttl_s=key_ttl_s,
        append_interval_s=append_interval_s,
    )


async def close_claims(claims: Claims, *, drain_s: float = DRAIN_S) -> None:
    """Write outcomes to the log, then stop.

    Args:
        claims: The claims of this node.
        drain_s: Longest time for writing, in seconds; outcomes that are not in the log
            by then are lost, and their keys count as may have run.
    """
    claims.closing = True
    for partition in claims.partition_by_number.values():
        partition.claim_arrived.set()
    with suppress(TimeoutError):
        async with asyncio.timeout(drain_s):
            # A delivered outcome may start a task that writes it.
            while claims.tasks:
                await asyncio.wait(list(claims.tasks))
    for task in list(claims.tasks):
        task.cancel()
    await asyncio.gather(*claims.tasks, return_exceptions=True)


def key_digest(account: str, key: str) -> str:
    """Return the digest of an account's key; accounts do not share keys."""
    data = f"{len(account)}:{account}:{key}".encode()
    return str(xxhash.xxh3_128_hexdigest(data))


def short_digest(name: str) -> str:
    """Return the digest under which claim ids and fingerprints go to the log.

    Both are compared only among the claims of one key, so 64 bits are enough.
    """
    return str(xxhash.xxh3_64_hexdigest(name.encode()))


def partition_of(key: str) -> int:
    """Return the partition of a key digest."""
    return int(key[:8], 16) % PARTITIONS


def home_node(partition: int, nodes: Iterable[str]) -> str:
    """Return the home of a partition by rendezvous hash, empty without nodes."""
    return max(
        nodes,
        key=lambda node: (xxhash.xxh64_intdigest(f"{partition}:{node}".encode()), node),
        default="",
    )


async def claim(
    claims: Claims,
    key: str,
    fingerprint: str,
    attempt: str,
    route: Route,
) -> Result[Claim, Refusal]:
    """Claim a key for one request.

    Args:
        claims: The claims of this node.
        key: ``key_digest`` of account and key.
        fingerprint: ``quarantine.fingerprint_of`` of the request without its key.
        attempt: Id of the claim, unique in the fleet, such as the id of the first
            attempt.
        route: Route of the request.

    Returns:
        The claim, to be settled whatever happens, or a refusal. ``NOT_RUN`` holds for
        the request that the key names; a repeat of one that still runs or has run is
        refused as ``MAY_HAVE_RUN`` or ``RAN``.
    """
    ask = ClaimAsk(
        key=key,
        fingerprint=short_digest(fingerprint),
        claim=short_digest(attempt),
        hold_s=route.timeout_s + HOLD_MARGIN_S,
        without_log=route.claims_without_log,
    )
    answer = None
    release = True
    try:
        with suppress(TimeoutError):
            async with asyncio.timeout(min(route.timeout_s, CLAIM_TIMEOUT_S)):
                while answer is None:
                    answer = await _call(claims, ClaimsRequest(ask=ask))
                    if answer is None:
                        await asyncio.sleep(_ASK_AGAIN_S)
        result = _read_answer(claims, ask, answer)
        release = (
            isinstance(result, Failure)
            and result.failure().reason is Reason.KEY_UNAVAILABLE
        )
        return result
    finally:
        if release:
            # The claim may be in the log all the same. Only the entry may free it,
            # since a home cannot know whether the entry asked another home as well.
            unused = Claim(claims, key, ask["claim"], None)
            await settle(unused, Verdict.NOT_RUN, 0, (), None)


def _read_answer(
    claims: Claims, ask: ClaimAsk, answer: ClaimsAnswer | None
) -> Result[Claim, Refusal]:
    if answer is None:
        return Failure(_unavailable("the home of the key does not answer"))
    if answer["outcome"] == "granted":
        return Success(Claim(claims, ask["key"], ask["claim"], None))
    if answer["outcome"] == "answered":
        return Success(Claim(claims, ask["key"], ask["claim"], answer["answer"]))
    return Failure(
        Refusal(
            Verdict(answer["verdict"]),
            Reason(answer["reason"]),
            answer.get("detail", ""),
            answer.get("retry_after_s"),
        )
    )


async def settle(
    claim: Claim,
    verdict: Verdict,
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes | None,
) -> None:
    """Tell the home what became of a claim, without waiting for the home.

    Args:
        claim: The claim; settling it again does nothing.
        verdict: ``NOT_RUN`` frees the key; then nothing may run for it any more.
        status: Status of the target's answer.
        headers: Its end-to-end headers.
        body: Its whole body, ``None`` if it is not to be kept.
    """
    if claim.settled:
        return
    claim.settled = True
    note = SettleNote(key=claim.key, claim=claim.claim_id, verdict=verdict.value)
    if verdict is Verdict.RAN and body is not None:
        answer = KeptAnswer(status=status, headers=list(headers), body=body)
        if _answer_size(answer) <= MAX_ANSWER_BYTES:
            note["answer"] = answer
    claim.claims.start(_deliver(claim.claims, note))


async def _deliver(claims: Claims, note: SettleNote) -> None:
    give_up_at = claims.monotonic() + SETTLE_TRIES_S
    pause_s = 0.1
    while claims.monotonic() < give_up_at:
        answer = await _call(claims, ClaimsRequest(note=note))
        if answer is not None and answer["outcome"] == "noted":
            return
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, 2.0)


async def _call(claims: Claims, request: ClaimsRequest) -> ClaimsAnswer | None:
    key = request["ask"]["key"] if "ask" in request else request["note"]["key"]
    home = claims.home_of(partition_of(key))
    if home == claims.node:
        return await serve_claims(claims, request)
    return await claims.call_home(home, request) if home else None


async def serve_claims(claims: Claims, request: ClaimsRequest) -> ClaimsAnswer:
    """Answer ``POST /peer/claims`` as the home of a key.

    A node that is not the home in its own view answers too: two homes are ordered by
    the log.
    """
    if "note" in request:
        noted = await _take_note(claims, request["note"])
        return ClaimsAnswer(outcome="noted" if noted else "later")
    return await _grant(claims, request["ask"])


async def _grant(claims: Claims, ask: ClaimAsk) -> ClaimsAnswer:
    partition = claims.partition(ask["key"])
    reached = claims.monotonic() >= partition.down_until
    if partition.view(ask["key"]):
        # A key that seems free is decided by the append; any other answer must not
        # rest on an old state, since another home may have freed the key.
        reached = await _refresh(claims, partition)
    if ask["claim"] in partition.released:
        return _refused(_unavailable("the claim was released"))
    if held := partition.view(ask["key"]):
        return _held_answer(claims, held, ask)
    waiter = _waiter_of(partition, ask["key"])
    if waiter is not None and waiter.ask["claim"] != ask["claim"]:
        return _refused(_claimed_refusal(waiter.ask["fingerprint"], ask))
    if not reached:
        return _without_log(claims, partition, ask)
    if waiter is None:
        if len(partition.waiting) >= MAX_WAITING or _is_full(partition):
            return _refused(_unavailable("the home of the key is full"))
        waiter = _Waiter(ask)
        partition.waiting[ask["key"]] = waiter
        partition.claim_arrived.set()
        _start_flushing(claims, partition)
    logged = False
    with suppress(TimeoutError):
        logged = await asyncio.wait_for(asyncio.shield(waiter.done), CLAIM_TIMEOUT_S)
    if ask["claim"] in partition.released:
        return _refused(_unavailable("the claim was released"))
    held = partition.view(ask["key"])
    if held is not None:
        return _held_answer(claims, held, ask)
    if logged:
        # Another claim held the key when this one was read, and was freed since.
        return _refused(_unavailable("the key was claimed and freed meanwhile"))
    return _without_log(claims, partition, ask)


def _waiter_of(partition: _Partition, key: str) -> _Waiter | None:
    return partition.waiting.get(key) or partition.in_batch.get(key)


def _is_full(partition: _Partition) -> bool:
    return len(partition.fold) + len(partition.memory) >= MAX_KEYS


def _held_answer(claims: Claims, held: KeyState, ask: ClaimAsk) -> ClaimsAnswer:
    """Answer a claim whose key is held, maybe by this very claim."""
    if held.claim == ask["claim"] and held.verdict is None:
        return ClaimsAnswer(outcome="granted")
    if held.fingerprint != ask["fingerprint"]:
        return _refused(_claimed_refusal(held.fingerprint, ask))
    if held.verdict is Verdict.RAN:
        answer = claims.answers.get(held.claim, claims.monotonic())
        if answer is not None:
            return ClaimsAnswer(outcome="answered", answer=answer)
        detail = "the request ran; its answer is no longer held"
        return _refused(Refusal(Verdict.RAN, Reason.KEY_CLAIMED, detail))
    running = claims.wall_ms() < held.at_ms + held.hold_ms
    if held.verdict is None and running:
        return _refused(_claimed_refusal(held.fingerprint, ask))
    detail = "the request may have run; its outcome is not known"
    return _refused(Refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_CLAIMED, detail))


def _claimed_refusal(fingerprint: str, ask: ClaimAsk) -> Refusal:
    if fingerprint != ask["fingerprint"]:
        return not_run(Reason.KEY_MISMATCH, "the key belongs to another request")
    # Not run would hold for this repeat only, and callers would take it for the key.
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.KEY_CLAIMED,
        "a request with this key is running",
        _RETRY_AFTER_S,
    )


def _without_log(claims: Claims, partition: _Partition, ask: ClaimAsk) -> ClaimsAnswer:
    """Decide while the log is away: refuse, or by this node's memory alone."""
    if held := partition.view(ask["key"]):
        return _held_answer(claims, held, ask)
    if ask["without_log"] != "memory" or _is_full(partition):
        return _refused(_unavailable("the log is not available"))
    hold_ms = int(ask["hold_s"] * 1000)
    state = KeyState(ask["claim"], ask["fingerprint"], claims.wall_ms(), hold_ms, None)
    partition.memory[ask["key"]] = state
    partition.waiting.pop(ask["key"], None)
    partition.add_note(_claim_entry(ask))
    _start_flushing(claims, partition)
    return ClaimsAnswer(outcome="granted")


async def _take_note(claims: Claims, note: SettleNote) -> bool:
    """Record an outcome; false if the entry must tell it again later."""
    partition = claims.partition(note["key"])
    if note["verdict"] == Verdict.NOT_RUN.value:
        _release(claims, partition, note)
        return True
    held = partition.view(note["key"])
    if held is None or held.claim != note["claim"]:
        reached = await _refresh(claims, partition)
        held = partition.view(note["key"])
        if held is None or held.claim != note["claim"]:
            return reached
    if held.verdict is not None:
        return True
    partition.verdict_by_claim[note["claim"]] = Verdict(note["verdict"])
    partition.add_note(["s", note["key"], note["claim"], note["verdict"]])
    if "answer" in note:
        until = claims.monotonic() + claims.key_ttl_s
        claims.answers.add(note["claim"], note["answer"], until)
    _start_flushing(claims, partition)
    return True


def _release(claims: Claims, partition: _Partition, note: SettleNote) -> None:
    """Free a key that its entry does not use, even if the claim arrives later."""
    partition.released[note["claim"]] = None
    if len(partition.released) > MAX_RELEASED:
        partition.released.popitem(last=False)
    waiter = partition.waiting.get(note["key"])
    if waiter is not None and waiter.ask["claim"] == note["claim"]:
        # It has not been appended, so that there is nothing to free in the log.
        del partition.waiting[note["key"]]
        waiter.resolve(False)
        return
    if note["claim"] in partition.verdict_by_claim:
        return
    partition.verdict_by_claim[note["claim"]] = Verdict.NOT_RUN
    partition.add_note(["s", note["key"], note["claim"], note["verdict"]])
    _start_flushing(claims, partition)


async def _refresh(claims: Claims, partition: _Partition) -> bool:
    """Read what is new in the log, at most once per interval.

    Returns:
        Whether the partition's state is that of the log a moment ago.
    """
    async with partition.lock:
        now = claims.monotonic()
        if partition.loaded and now - partition.read_at < claims.append_interval_s:
            return True
        if now < partition.down_until:
            return False
        return await _read_to_end(claims, partition)


async def _read_to_end(claims: Claims, partition: _Partition) -> bool:
    if not partition.begun:
        start = await _first_needed(claims, partition)
        if start is None:
            return _mark_down(claims, partition)
        partition.fold.next = start
        partition.begun = True
    while True:
        asked = partition.fold.next
        page = await claims.read(partition.stream, asked, timeout_s=LOG_TIMEOUT_S)
        if isinstance(page, Failure):
            return _mark_down(claims, partition)
        records = page.unwrap()
        for item in records.records:
            partition.fold.apply(item.offset, item.record)
        if partition.fold.next >= records.next or not records.records:
            break
    partition.loaded = True
    partition.read_at = claims.monotonic()
    _forget_memory(partition)
    return True


async def _first_needed(claims: Claims, partition: _Partition) -> int | None:
    """Find the first record young enough to matter, by bisection over the offsets."""
    oldest_ms = claims.wall_ms() - int((claims.key_ttl_s + 2 * CLOCK_SKEW_S) * 1000)
    page = await claims.read(partition.stream, 0, limit=1, timeout_s=LOG_TIMEOUT_S)
    if isinstance(page, Failure):
        return None
    low, high = page.unwrap().first, page.unwrap().next
    while low < high:
        middle = (low + high) // 2
        page = await claims.read(
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


def _mark_down(claims: Claims, partition: _Partition) -> bool:
    partition.down_until = claims.monotonic() + LOG_RETRY_S
    return False


def _forget_memory(partition: _Partition) -> None:
    """Drop claims made without the log that the log now decides."""
    for key in [k for k in partition.memory if partition.fold.get(k) is not None]:
        del partition.memory[key]


def _start_flushing(claims: Claims, partition: _Partition) -> None:
    if not partition.flushing:
        partition.flushing = True
        claims.start(_flush(claims, partition))


async def _flush(claims: Claims, partition: _Partition) -> None:
    """Append what waits, in batches, until nothing does."""
    try:
        while partition.waiting or partition.notes:
            await _wait_for_turn(claims, partition)
            async with partition.lock:
                await _flush_batch(claims, partition)
    finally:
        partition.flushing = False


async def _wait_for_turn(claims: Claims, partition: _Partition) -> None:
    if not partition.waiting and not claims.closing:
        partition.claim_arrived.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_DELAY_S):
                await partition.claim_arrived.wait()
    due = max(partition.appended_at + claims.append_interval_s, partition.down_until)
    await asyncio.sleep(max(0.0, due - claims.monotonic()))


async def _flush_batch(claims: Claims, partition: _Partition) -> None:
    notes = [
        partition.notes.popleft() for _ in range(min(len(partition.notes), MAX_BATCH))
    ]
    waiters: list[_Waiter] = []
    while partition.waiting and len(notes) + len(waiters) < MAX_BATCH:
        key, waiter = partition.waiting.popitem(last=False)
        partition.in_batch[key] = waiter
        waiters.append(waiter)
    # Outcomes go first: a key freed here can be claimed again in the same batch.
    entries = notes + [_claim_entry(waiter.ask) for waiter in waiters]
    partition.seq += 1
    batch = BatchRecord(claims.home, partition.seq, claims.wall_ms(), entries)
    try:
        logged = await _append_and_read(claims, partition, batch)
    finally:
        partition.appended_at = claims.monotonic()
        partition.in_batch.clear()
    if logged:
        for entry in notes:
            if entry[0] == "s":
                partition.verdict_by_claim.pop(entry[2], None)
                _settle_memory(partition, entry)
    else:
        partition.notes.extendleft(reversed(notes))
    for waiter in waiters:
        waiter.resolve(logged)


def _settle_memory(partition: _Partition, entry: list[Any]) -> None:
    """Drop a claim made in memory whose outcome is now in the log."""
    held = partition.memory.get(entry[1])
    if held is not None and held.claim == entry[2]:
        del partition.memory[entry[1]]


async def _append_and_read(
    claims: Claims, partition: _Partition, batch: BatchRecord
) -> bool:
    """Append a batch and read the stream up to it.

    Returns:
        Whether it was read back; if not, it may still take effect.
    """
    record = msgspec.to_builtins(batch)
    give_up_at = claims.monotonic() + CLAIM_TIMEOUT_S / 2
    while True:
        claims.appends += 1
        appended = await claims.append(
            partition.stream, record, timeout_s=LOG_TIMEOUT_S
        )
        known = isinstance(appended, Success)
        if not known and appended.failure().effect is Effect.NOT_APPLIED:
            return _mark_down(claims, partition)
        if not await _read_to_end(claims, partition):
            return False
        if partition.fold.applied(claims.home, batch.seq):
            return True
        # The answer was lost. The same batch may be appended twice: it counts once.
        if known or claims.monotonic() >= give_up_at:
            return _mark_down(claims, partition)
        await asyncio.sleep(_APPEND_AGAIN_S)


def _claim_entry(ask: ClaimAsk) -> list[Any]:
    hold_ms = int(ask["hold_s"] * 1000)
    return ["c", ask["key"], ask["claim"], ask["fingerprint"], hold_ms]


def _unavailable(detail: str) -> Refusal:
    return not_run(Reason.KEY_UNAVAILABLE, detail, retry_after_s=_RETRY_AFTER_S)


def _refused(refusal: Refusal) -> ClaimsAnswer:
    answer = ClaimsAnswer(
        outcome="refused",
        verdict=refusal.verdict.value,
        reason=refusal.reason.value,
        detail=refusal.detail,
    )
    if refusal.retry_after_s is not None:
        answer["retry_after_s"] = refusal.retry_after_s
    return answer
