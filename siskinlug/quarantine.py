"""Requests that crash the targets they run on: suspicions and their spreading."""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import msgspec
import xxhash

from siskinlug.body import BodyStream

KEEP_S = 600.0
MAX_SUSPICIONS = 4_096
# Enough to see two crashes beside several of which the fingerprint was cleared.
MAX_CRASHES_PER_FINGERPRINT = 8
MAX_FINGERPRINTS_PER_CRASH = 256
DIGEST_BYTES = 65_536
CRASHES_TO_REFUSE = 2
# Other requests to the target wait while a suspect waits to run alone, so the wait is
# short.
ALONE_WAIT_S = 1.0

# Longer than a renewal takes to arrive, shorter than the renewal interval of 1 s.
RENEWAL_DELAY_S = 0.5

CLEAR = "clear"
SUSPECT = "suspect"
REFUSED = "refused"

_SWEEP_S = 10.0


class Suspicion(NamedTuple):
    """A fingerprint was in flight at a crash.

    Attributes:
        fingerprint: The request's fingerprint.
        crash_id: Id of the crash, the same at every process that knows of it.
        age_s: Time since the crash, in seconds, when this was sent.
        alone: No other fingerprint was in flight at the crash.
        survived: A request with the fingerprint has since run without a crash.
    """

    fingerprint: str
    crash_id: str
    age_s: float
    alone: bool
    survived: bool = False


class _Crash(NamedTuple):
    at: float
    alone: bool
    survived: bool


class Quarantine:
    """Crashes by fingerprint, each until ``KEEP_S`` after it."""

    def __init__(
        self, *, monotonic: Callable[[], float], keep_s: float, max_suspicions: int
    ) -> None:
        self.monotonic = monotonic
        self.keep_s = keep_s
        self.max_suspicions = max_suspicions
        self.crashes_by_fingerprint: OrderedDict[str, dict[str, _Crash]] = OrderedDict()
        self.count = 0
        self._swept_at = monotonic()

    def counted(self, fingerprint: str) -> list[_Crash]:
        """Return the crashes that count against a fingerprint now."""
        oldest = self.monotonic() - self.keep_s
        crashes = self.crashes_by_fingerprint.get(fingerprint, {})
        return [c for c in crashes.values() if c.at > oldest and not c.survived]

    def join(self, fingerprint: str, crash_id: str, crash: _Crash) -> bool:
        """Join what is known of a crash with what is new.

        Flags are joined by "or" and times by minimum, and of too many crashes those
        with the largest ids are kept, so the order of arrival does not matter.

        Returns:
            Whether a crash or a flag was new.
        """
        self._sweep()
        crashes = self.crashes_by_fingerprint.setdefault(fingerprint, {})
        held = crashes.get(crash_id)
        joined = crash
        if held is not None:
            joined = _Crash(
                min(held.at, crash.at),
                held.alone or crash.alone,
                held.survived or crash.survived,
            )
        crashes[crash_id] = joined
        self.count += held is None
        if len(crashes) > MAX_CRASHES_PER_FINGERPRINT:
            del crashes[min(crashes)]
            self.count -= 1
            if crash_id not in crashes:
                return False
        while self.count > self.max_suspicions:
            self._evict()
        return held is None or joined[1:] != held[1:]

    def _sweep(self) -> None:
        now = self.monotonic()
        if now - self._swept_at < _SWEEP_S:
            return
        self._swept_at = now
        for fingerprint in list(self.crashes_by_fingerprint):
            crashes = self.crashes_by_fingerprint[fingerprint]
            expired = [i for i, c in crashes.items() if c.at <= now - self.keep_s]
            for crash_id in expired:
                del crashes[crash_id]
            self.count -= len(expired)
            if not crashes:
                del self.crashes_by_fingerprint[fingerprint]

    def _evict(self) -> None:
        """Drop the oldest fingerprint, those that are refused last."""
        oldest = next(
            (f for f in self.crashes_by_fingerprint if standing(self, f) != REFUSED),
            next(iter(self.crashes_by_fingerprint)),
        )
        self.count -= len(self.crashes_by_fingerprint.pop(oldest))


def make_quarantine(
    *,
    monotonic: Callable[[], float],
    keep_s: float = KEEP_S,
    max_suspicions: int = MAX_SUSPICIONS,
) -> Quarantine:
    """Build an empty quarantine.

    Args:
        monotonic: Clock in seconds.
        keep_s: Time for which a crash counts, in seconds.
        max_suspicions: Pairs of fingerprint and crash that are held.
    """
    return Quarantine(monotonic=monotonic, keep_s=keep_s, max_suspicions=max_suspicions)


def note_crash(
    quarantine: Quarantine, crash_id: str, fingerprints: Iterable[str]
) -> list[Suspicion]:
    """Record what was in flight when a target crashed.

    Call it for a crash that is certain (the target's port refuses connections, or a
    new incarnation announced itself), not for every reset connection.

    Args:
        quarantine: The quarantine.
        crash_id: ``target@incarnation`` of the crashed target, so that every request
            that was lost with it names the same crash.
        fingerprints: All that was in flight; what is beyond
            ``MAX_FINGERPRINTS_PER_CRASH`` is left out.

    Returns:
        The new suspicions, to be spread.
    """
    distinct = sorted(set(fingerprints))
    # Later reports of a crash may lack requests that have ended since.
    known = any(crash_id in c for c in quarantine.crashes_by_fingerprint.values())
    alone = len(distinct) == 1 and not known
    crash = _Crash(quarantine.monotonic(), alone, False)
    new = [
        fingerprint
        for fingerprint in distinct[:MAX_FINGERPRINTS_PER_CRASH]
        if quarantine.join(fingerprint, crash_id, crash)
    ]
    return [Suspicion(f, crash_id, 0.0, alone) for f in new]


def note_survived(quarantine: Quarantine, fingerprint: str) -> list[Suspicion]:
    """Record that a request ran to its end on a target that still runs.

    The crashes known so far no longer count against its fingerprint. Without this a
    frequent request that was in flight at any crash would run alone for ``keep_s``.

    Returns:
        The changed suspicions, to be spread.
    """
    crashes = quarantine.crashes_by_fingerprint.get(fingerprint)
    if not crashes:
        return []
    now = quarantine.monotonic()
    changed = []
    for crash_id, crash in list(crashes.items()):
        if not crash.survived:
            crashes[crash_id] = crash._replace(survived=True)
            changed.append(
                Suspicion(fingerprint, crash_id, now - crash.at, crash.alone, True)
            )
    return changed


def merge(
    quarantine: Quarantine, suspicions: Iterable[Suspicion | Sequence[Any]]
) -> list[Suspicion]:
    """Take suspicions from another process.

    Args:
        quarantine: The quarantine.
        suspicions: As received; a message carries each as a JSON array.

    Returns:
        Those that were new here, to be spread further.

    Raises:
        msgspec.ValidationError: A suspicion is malformed; nothing was taken.
    """
    now = quarantine.monotonic()
    received = [
        msgspec.convert(msgspec.to_builtins(suspicion), Suspicion)
        for suspicion in suspicions
    ]
    return [
        suspicion
        for suspicion in received
        if suspicion.age_s < quarantine.keep_s
        and quarantine.join(
            suspicion.fingerprint,
            suspicion.crash_id,
            _Crash(now - suspicion.age_s, suspicion.alone, suspicion.survived),
        )
    ]


def known_suspicions(quarantine: Quarantine, *, limit: int = 32) -> list[Suspicion]:
    """Return some of what is known for a heartbeat, other ones each time."""
    now = quarantine.monotonic()
    found: list[Suspicion] = []
    for _ in range(min(limit, len(quarantine.crashes_by_fingerprint))):
        fingerprint = next(iter(quarantine.crashes_by_fingerprint))
        quarantine.crashes_by_fingerprint.move_to_end(fingerprint)
        found += [
            Suspicion(fingerprint, crash_id, now - c.at, c.alone, c.survived)
            for crash_id, c in quarantine.crashes_by_fingerprint[fingerprint].items()
            if now - c.at < quarantine.keep_s
        ]
        if len(found) >= limit:
            break
    return found


def standing(quarantine: Quarantine, fingerprint: str) -> str:
    """Return ``clear``, ``suspect`` or ``refused``.

    A fingerprint is refused after two crashes, at one of which it was alone in
    flight. Two crashes in quick succession, before the suspicion has spread, thus do
    not refuse a frequent request that was in flight at both.
    """
    counted = quarantine.counted(fingerprint)
    if not counted:
        return CLEAR
    if len(counted) >= CRASHES_TO_REFUSE and any(crash.alone for crash in counted):
        return REFUSED
    return SUSPECT


def fingerprint_of(
    key: str,
    method: str,
    path: str,
    body: BodyStream | bytes,
    *,
    declared_length: str = "",
) -> str:
    """Return the fingerprint of a request.

    Args:
        key: Its Idempotency-Key; if there is one, only it counts.
        method: Method.
        path: Path with query.
        body: The body. Its first 64 KiB count, or what a stream keeps of its start if
            that is less, and its length if the whole body is held.
        declared_length: Content-Length, which counts if a stream does not hold the
            whole body.
    """
    if key:
        return "k" + xxhash.xxh3_128_hexdigest(key.encode())
    data = body.retained if isinstance(body, BodyStream) else body
    length = str(len(data))
    if isinstance(body, BodyStream) and not body.can_replay:
        length = f"long {declared_length}"
    digest = xxhash.xxh3_128()
    for part in (method.encode(), path.encode(), length.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(data[:DIGEST_BYTES])
    return "r" + digest.hexdigest()


class _Reset(NamedTuple):
    at: float
    incarnation: int
    fingerprints: frozenset[str]


class ResetWatch:
    """Resets of connections to targets, until it is clear whether they crashed."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.reset_by_target: dict[str, _Reset] = {}


def note_reset(
    watch: ResetWatch, target: str, incarnation: int, fingerprints: Iterable[str]
) -> None:
    """Record what was in flight when a connection to a target was reset.

    Of several resets of one incarnation the first has the whole list.
    """
    held = watch.reset_by_target.get(target)
    if held is None or held.incarnation != incarnation:
        watch.reset_by_target[target] = _Reset(
            watch.monotonic(), incarnation, frozenset(fingerprints)
        )


def resolve_reset(
    watch: ResetWatch, target: str, incarnation: int | None
) -> tuple[str, list[str]] | None:
    """Tell whether a reset was a crash.

    Args:
        watch: The resets.
        target: Target id.
        incarnation: Incarnation that has just announced itself, or ``None`` if the
            target's port refuses connections or its lease has expired.

    Returns:
        Crash id and fingerprints for ``note_crash``, or ``None`` if there was no
        reset or the target still runs.
    """
    held = watch.reset_by_target.get(target)
    if held is None:
        return None
    if incarnation == held.incarnation:
        # A renewal that the target sent before it crashed may arrive after the reset.
        if watch.monotonic() - held.at > RENEWAL_DELAY_S:
            del watch.reset_by_target[target]
        return None
    del watch.reset_by_target[target]
    return f"{target}@{held.incarnation}", sorted(held.fingerprints)


class TargetRuns:
    """What runs on one target, so that a suspect request runs alone."""

    def __init__(self) -> None:
        self.fingerprint_by_attempt: dict[str, str] = {}
        self.suspects_waiting = 0
        self._waiters: set[asyncio.Future[None]] = set()

    def wake(self) -> None:
        """Let all that wait look again."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def changed(self) -> None:
        """Wait until a run has ended."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)


def may_start(quarantine: Quarantine, runs: TargetRuns, fingerprint: str) -> bool:
    """Whether a request may start beside what runs on the target now."""
    if not runs.fingerprint_by_attempt and not runs.suspects_waiting:
        return True
    if standing(quarantine, fingerprint) != CLEAR:
        return not runs.fingerprint_by_attempt
    return not runs.suspects_waiting and all(
        standing(quarantine, other) == CLEAR
        for other in set(runs.fingerprint_by_attempt.values())
    )


@asynccontextmanager
async def run_beside(
    quarantine: Quarantine,
    runs: TargetRuns,
    attempt: str,
    fingerprint: str,
    *,
    wait_s: float = ALONE_WAIT_S,
) -> AsyncIterator[bool]:
    """Run a request on a target, alone if it is suspect.

    A suspect waits until the target is empty and nothing else starts meanwhile;
    otherwise a frequent request that became suspect would never run on a busy target
    and could not be cleared.

    Args:
        quarantine: The quarantine.
        runs: What runs on the target.
        attempt: Attempt id.
        fingerprint: Its fingerprint.
        wait_s: Longest wait, in seconds.

    Yields:
        Whether it may run; false if the wait was too long.
    """
    if not may_start(quarantine, runs, fingerprint):
        suspect = standing(quarantine, fingerprint) != CLEAR
        runs.suspects_waiting += suspect
        try:
            async with asyncio.timeout(wait_s):
                while not may_start(quarantine, runs, fingerprint):
                    await runs.changed()
        except TimeoutError:
            pass
        finally:
            runs.suspects_waiting -= suspect
            runs.wake()
        if not may_start(quarantine, runs, fingerprint):
            yield False
            return
    runs.fingerprint_by_attempt[attempt] = fingerprint
    try:
        yield True
    finally:
        del runs.fingerprint_by_attempt[attempt]
        runs.wake()
