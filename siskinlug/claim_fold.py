"""State of one partition of the key claims, computed from its log stream."""

import struct
from collections import OrderedDict
from collections.abc import Callable, MutableMapping
from contextlib import suppress
from typing import Any, NamedTuple, TypeVar

import msgspec

from siskinlug.claim_messages import ClaimOutcome, ClaimRequest, hold_ms_of
from siskinlug.verdict import Verdict

# Records carry the wall clock of the home node that wrote them, so keys are kept longer
# by the maximum clock difference assumed between two VMs.
CLOCK_SKEW_S = 60.0


class BatchRecord(msgspec.Struct):
    """Log record with a batch of entries of one home node, in order.

    ``seq`` increases with each batch of a home node, so an append that takes effect
    after a later one is recognised and ignored. An entry is a claim, ``["c", key,
    claim, fingerprint, hold_ms]``, or an outcome, ``["s", key, claim, verdict]``.
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


def claim_entry(request: ClaimRequest) -> list[Any]:
    """Return the batch entry of a claim."""
    return [
        "c",
        request["key"],
        request["claim"],
        request["fingerprint"],
        hold_ms_of(request),
    ]


def outcome_entry(outcome: ClaimOutcome) -> list[Any]:
    """Return the batch entry of an outcome."""
    return ["s", outcome["key"], outcome["claim"], outcome["verdict"]]


_K = TypeVar("_K")
_V = TypeVar("_V")
_VERDICTS = list(Verdict)
_COMPLETED = struct.Struct(">8s8sQB")


def _pack(state: KeyState, verdict: Verdict) -> bytes:
    """Pack a completed claim, since a node keeps an hour of them in memory."""
    claim_id, fingerprint = bytes.fromhex(state.claim), bytes.fromhex(state.fingerprint)
    return _COMPLETED.pack(claim_id, fingerprint, state.at_ms, _VERDICTS.index(verdict))


def _unpack(packed: bytes) -> KeyState:
    claim_id, fingerprint, at_ms, verdict = _COMPLETED.unpack(packed)
    return KeyState(claim_id.hex(), fingerprint.hex(), at_ms, 0, _VERDICTS[verdict])


class KeyFold:
    """State of one partition after the records of a prefix of its stream.

    Attributes:
        next: Offset of the next record to apply.
        now_ms: Latest wall clock in the records, in milliseconds since the epoch.
        open_by_key: Claims without outcome, by key.
        completed_by_key: Packed claims with an outcome, by the bytes of the key.
        last_batch_by_home: ``seq`` and ``at_ms`` of the last batch of each home node.
        ttl_ms: Time for which a claim holds its key, in milliseconds.
    """

    def __init__(self, *, ttl_s: float) -> None:
        self.next = 0
        self.now_ms = 0
        self.open_by_key: OrderedDict[str, KeyState] = OrderedDict()
        self.completed_by_key: dict[bytes, bytes] = {}
        self.last_batch_by_home: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.ttl_ms = int((ttl_s + CLOCK_SKEW_S) * 1000)

    def get(self, key: str) -> KeyState | None:
        """Return the claim that holds a key."""
        state = self.open_by_key.get(key)
        if state is None:
            packed = self.completed_by_key.get(bytes.fromhex(key))
            state = _unpack(packed) if packed is not None else None
        if state is None or state.at_ms < self.now_ms - self.ttl_ms:
            return None
        return state

    def __len__(self) -> int:
        return len(self.open_by_key) + len(self.completed_by_key)

    def has_applied(self, home: str, seq: int) -> bool:
        """Return whether a batch of a home node, or a later one, has been applied."""
        return self.last_batch_by_home.get(home, (0, 0))[0] >= seq

    def apply(self, offset: int, record: Any) -> None:
        """Apply the next record; a malformed record only advances the offset."""
        self.next = offset + 1
        try:
            batch = msgspec.convert(record, BatchRecord)
        except msgspec.ValidationError:
            return
        if self.has_applied(batch.home, batch.seq):
            return
        self.now_ms = max(self.now_ms, batch.at_ms)
        self.last_batch_by_home[batch.home] = (batch.seq, batch.at_ms)
        self.last_batch_by_home.move_to_end(batch.home)
        self._expire()
        for entry in batch.entries:
            with suppress(ValueError, TypeError):
                self._apply_entry(entry, batch.at_ms)

    def _apply_entry(self, entry: list[Any], at_ms: int) -> None:
        if entry[:1] == ["c"]:
            _, key, claim, fingerprint, hold_ms = entry
            if self.get(key) is None:
                self.completed_by_key.pop(bytes.fromhex(key), None)
                state = KeyState(claim, fingerprint, at_ms, int(hold_ms), None)
                self.open_by_key[key] = state
                self.open_by_key.move_to_end(key)
        elif entry[:1] == ["s"]:
            _, key, claim, verdict = entry
            self._complete(key, claim, verdict)

    def _complete(self, key: str, claim: str, verdict: str) -> None:
        held = self.get(key)
        if held is None or held.claim != claim or held.verdict is not None:
            return
        if verdict != Verdict.NOT_RUN.value:
            packed = _pack(held, Verdict(verdict))
            self.completed_by_key[bytes.fromhex(key)] = packed
        del self.open_by_key[key]

    def _expire(self) -> None:
        oldest_ms = self.now_ms - self.ttl_ms
        _drop_older(self.open_by_key, oldest_ms, lambda state: state.at_ms)
        _drop_older(self.completed_by_key, oldest_ms, lambda held: _unpack(held).at_ms)
        _drop_older(self.last_batch_by_home, oldest_ms, lambda batch: batch[1])


def _drop_older(
    held: MutableMapping[_K, _V], oldest_ms: int, at_ms_of: Callable[[_V], int]
) -> None:
    """Drop items from the front, where the oldest are, until one is young enough."""
    while held:
        key, value = next(iter(held.items()))
        if at_ms_of(value) >= oldest_ms:
            break
        del held[key]
