"""State of one partition of the key claims, folded from its log stream."""

import struct
from collections import OrderedDict
from collections.abc import Callable, MutableMapping
from contextlib import suppress
from typing import Any, NamedTuple, TypeVar

import msgspec

from siskinlug.claim_messages import ClaimOutcome, ClaimRequest, hold_ms_of
from siskinlug.verdict import Verdict

# Records carry the wall clock of the home that wrote them; a key is kept longer by
# the largest difference between the clocks of two VMs that is allowed for.
CLOCK_SKEW_S = 60.0


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


def claim_entry(ask: ClaimRequest) -> list[Any]:
    """Return the entry of a batch that claims a key."""
    return ["c", ask["key"], ask["claim"], ask["fingerprint"], hold_ms_of(ask)]


def settle_entry(note: ClaimOutcome) -> list[Any]:
    """Return the entry of a batch that gives a claim its outcome."""
    return ["s", note["key"], note["claim"], note["verdict"]]


_K = TypeVar("_K")
_V = TypeVar("_V")
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
            self._settle(key, claim, verdict)

    def _settle(self, key: str, claim: str, verdict: str) -> None:
        held = self.get(key)
        if held is None or held.claim != claim or held.verdict is not None:
            return
        if verdict != Verdict.NOT_RUN.value:
            packed = _pack(held, Verdict(verdict))
            self.settled_by_key[bytes.fromhex(key)] = packed
        del self.open_by_key[key]

    def _expire(self) -> None:
        oldest_ms = self.now_ms - self.ttl_ms
        _drop_older(self.open_by_key, oldest_ms, lambda state: state.at_ms)
        _drop_older(self.settled_by_key, oldest_ms, lambda held: _unpack(held).at_ms)
        _drop_older(self.seq_by_home, oldest_ms, lambda batch: batch[1])


def _drop_older(
    held: MutableMapping[_K, _V], oldest_ms: int, at_ms_of: Callable[[_V], int]
) -> None:
    """Drop entries from the front, where the oldest are, up to a young enough one."""
    while held:
        key, value = next(iter(held.items()))
        if at_ms_of(value) >= oldest_ms:
            break
        del held[key]
