"""Quarantine of requests that crash the targets they run on.

A request is identified by a fingerprint. Every fingerprint in flight at a crash becomes
suspect, and suspicions are sent to all nodes by gossip. A suspect request runs alone on
its target, so that a second crash shows whether it was the cause; it is then refused.
A suspect request that runs without a crash is cleared.
"""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import msgspec
import xxhash

from siskinlug.body import BodyStream

RETENTION_S = 600.0
MAX_SUSPICIONS = 4_096
# Sufficient for two active crashes beside several that the fingerprint survived.
MAX_CRASHES_PER_FINGERPRINT = 8
MAX_FINGERPRINTS_PER_CRASH = 256
MAX_DIGEST_BYTES = 65_536
MIN_CRASHES_TO_REFUSE = 2
# Short, since other requests to the target are not started during this wait.
MAX_ALONE_WAIT_S = 1.0

# Must exceed the delivery time of a renewal and stay below the renewal interval of 1 s.
MAX_RENEWAL_DELAY_S = 0.5

CLEAR = "clear"
SUSPECT = "suspect"
REFUSED = "refused"

_SWEEP_INTERVAL_S = 10.0


class Suspicion(NamedTuple):
    """Gossip message: a fingerprint was in flight when a target crashed.

    Attributes:
        fingerprint: Fingerprint of the request.
        crash_id: Crash id, the same at every node.
        age_s: Time from the crash to the sending of this message, in seconds.
        alone: Whether no other fingerprint was in flight at the crash.
        survived: Whether a request with the fingerprint has since run to its end on a
            target that did not crash.
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
    """Recent crashes by the fingerprints that were in flight; see ``make_quarantine``.

    Attributes:
        crashes_by_fingerprint: Crashes by id, by fingerprint.
        suspicion_count: Total number of pairs of fingerprint and crash.
    """

    def __init__(
        self, *, monotonic: Callable[[], float], retention_s: float, max_suspicions: int
    ) -> None:
        self.monotonic = monotonic
        self.retention_s = retention_s
        self.max_suspicions = max_suspicions
        self.crashes_by_fingerprint: OrderedDict[str, dict[str, _Crash]] = OrderedDict()
        self.suspicion_count = 0
        self._last_sweep_at = monotonic()

    def active_crashes(self, fingerprint: str) -> list[_Crash]:
        """Return unexpired crashes that the fingerprint has not survived since."""
        oldest = self.monotonic() - self.retention_s
        crashes = self.crashes_by_fingerprint.get(fingerprint, {})
        return [c for c in crashes.values() if c.at > oldest and not c.survived]

    def merge_crash(self, fingerprint: str, crash_id: str, crash: _Crash) -> bool:
        """Merge a report of a crash into what is recorded.

        The result does not depend on the order in which reports arrive: flags merge by
        logical or, times by minimum, and beyond ``MAX_CRASHES_PER_FINGERPRINT`` the
        crashes with the largest ids are kept.

        Returns:
            Whether the crash or one of its flags was new.
        """
        self._remove_expired()
        crashes = self.crashes_by_fingerprint.setdefault(fingerprint, {})
        existing = crashes.get(crash_id)
        merged = crash
        if existing is not None:
            merged = _Crash(
                min(existing.at, crash.at),
                existing.alone or crash.alone,
                existing.survived or crash.survived,
            )
        crashes[crash_id] = merged
        self.suspicion_count += existing is None
        if len(crashes) > MAX_CRASHES_PER_FINGERPRINT:
            del crashes[min(crashes)]
            self.suspicion_count -= 1
            if crash_id not in crashes:
                return False
        while self.suspicion_count > self.max_suspicions:
            self._evict_oldest()
        return existing is None or merged[1:] != existing[1:]

    def _remove_expired(self) -> None:
        """Remove expired crashes, at most once per ``_SWEEP_INTERVAL_S``."""
        now = self.monotonic()
        if now - self._last_sweep_at < _SWEEP_INTERVAL_S:
            return
        self._last_sweep_at = now
        for fingerprint in list(self.crashes_by_fingerprint):
            crashes = self.crashes_by_fingerprint[fingerprint]
            expired = [i for i, c in crashes.items() if c.at <= now - self.retention_s]
            for crash_id in expired:
                del crashes[crash_id]
            self.suspicion_count -= len(expired)
            if not crashes:
                del self.crashes_by_fingerprint[fingerprint]

    def _evict_oldest(self) -> None:
        """Drop the oldest fingerprint that is not refused, or else the oldest."""
        oldest = next(
            (
                f
                for f in self.crashes_by_fingerprint
                if fingerprint_status(self, f) != REFUSED
            ),
            next(iter(self.crashes_by_fingerprint)),
        )
        self.suspicion_count -= len(self.crashes_by_fingerprint.pop(oldest))


def make_quarantine(
    *,
    monotonic: Callable[[], float],
    retention_s: float = RETENTION_S,
    max_suspicions: int = MAX_SUSPICIONS,
) -> Quarantine:
    """Build an empty quarantine.

    Args:
        monotonic: Clock in seconds.
        retention_s: Time for which a crash counts, in seconds.
        max_suspicions: Maximum number of pairs of fingerprint and crash.
    """
    return Quarantine(
        monotonic=monotonic, retention_s=retention_s, max_suspicions=max_suspicions
    )


def record_crash(
    quarantine: Quarantine, crash_id: str, fingerprints: Iterable[str]
) -> list[Suspicion]:
    """Record the requests that were in flight when a target crashed.

    Call it only for a confirmed crash: the target's port refuses connections, its lease
    has expired, or a new incarnation has announced itself. A reset connection alone is
    not a crash.

    Args:
        quarantine: The quarantine.
        crash_id: ``target@incarnation`` of the crashed target, so that all reports of
            one crash carry the same id.
        fingerprints: Fingerprints of all requests in flight. Those beyond
            ``MAX_FINGERPRINTS_PER_CRASH`` are ignored.

    Returns:
        The new suspicions, to be sent to other nodes.
    """
    distinct = sorted(set(fingerprints))
    # A later report of the same crash may lack requests that have ended in between, so
    # that a single fingerprint in it does not mean that it ran alone.
    known = any(crash_id in c for c in quarantine.crashes_by_fingerprint.values())
    alone = len(distinct) == 1 and not known
    crash = _Crash(quarantine.monotonic(), alone, False)
    new = [
        fingerprint
        for fingerprint in distinct[:MAX_FINGERPRINTS_PER_CRASH]
        if quarantine.merge_crash(fingerprint, crash_id, crash)
    ]
    return [Suspicion(f, crash_id, 0.0, alone) for f in new]


def record_survival(quarantine: Quarantine, fingerprint: str) -> list[Suspicion]:
    """Record that a request ran to its end and its target did not crash.

    Crashes recorded so far no longer count against the fingerprint. Otherwise, a
    frequent request that was in flight at any crash would have to run alone for
    ``retention_s``.

    Returns:
        The changed suspicions, to be sent to other nodes.
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


def merge_suspicions(
    quarantine: Quarantine, suspicions: Iterable[Suspicion | Sequence[Any]]
) -> list[Suspicion]:
    """Merge suspicions received from another node.

    Args:
        quarantine: The quarantine.
        suspicions: Suspicions as decoded from a message, where each is a JSON array.

    Returns:
        Those that changed the quarantine, to be sent on to other nodes.

    Raises:
        msgspec.ValidationError: A suspicion is malformed; none was merged.
    """
    now = quarantine.monotonic()
    received = [
        msgspec.convert(msgspec.to_builtins(suspicion), Suspicion)
        for suspicion in suspicions
    ]
    return [
        suspicion
        for suspicion in received
        if suspicion.age_s < quarantine.retention_s
        and quarantine.merge_crash(
            suspicion.fingerprint,
            suspicion.crash_id,
            _Crash(now - suspicion.age_s, suspicion.alone, suspicion.survived),
        )
    ]


def suspicions_to_gossip(quarantine: Quarantine, *, limit: int = 32) -> list[Suspicion]:
    """Return suspicions to send with a heartbeat; successive calls cycle through all.

    Args:
        quarantine: The quarantine.
        limit: Number of suspicions after which no further fingerprint is added. All
            suspicions of a fingerprint are sent together, so there may be a few more.
    """
    now = quarantine.monotonic()
    found: list[Suspicion] = []
    for _ in range(min(limit, len(quarantine.crashes_by_fingerprint))):
        fingerprint = next(iter(quarantine.crashes_by_fingerprint))
        quarantine.crashes_by_fingerprint.move_to_end(fingerprint)
        found += [
            Suspicion(fingerprint, crash_id, now - c.at, c.alone, c.survived)
            for crash_id, c in quarantine.crashes_by_fingerprint[fingerprint].items()
            if now - c.at < quarantine.retention_s
        ]
        if len(found) >= limit:
            break
    return found


def fingerprint_status(quarantine: Quarantine, fingerprint: str) -> str:
    """Return the status of a fingerprint: ``clear``, ``suspect`` or ``refused``.

    A fingerprint is refused after two crashes if it was alone in flight at one of them.
    A frequent request may be in flight at two crashes in quick succession, before the
    suspicion has reached all nodes, and must not be refused for that.
    """
    crashes = quarantine.active_crashes(fingerprint)
    if not crashes:
        return CLEAR
    if len(crashes) >= MIN_CRASHES_TO_REFUSE and any(c.alone for c in crashes):
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
    """Return the fingerprint of a request, which is the same each time it is sent.

    Args:
        key: Idempotency key. If it is not empty, the fingerprint depends on it alone.
        method: HTTP method.
        path: Path with query.
        body: Body. The first ``MAX_DIGEST_BYTES`` are digested, or fewer if the stream
            retains fewer, and the length if the body is retained in full.
        declared_length: Content-Length header, digested instead of the actual length
            if the stream does not retain the body in full.
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
    digest.update(data[:MAX_DIGEST_BYTES])
    return "r" + digest.hexdigest()


class _Reset(NamedTuple):
    at: float
    incarnation: int
    fingerprints: frozenset[str]


class PendingResets:
    """Reset connections to targets, until it is known whether the target crashed."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.reset_by_target: dict[str, _Reset] = {}


def record_reset(
    resets: PendingResets, target: str, incarnation: int, fingerprints: Iterable[str]
) -> None:
    """Record the requests that were in flight when a connection was reset.

    Only the first reset of an incarnation is recorded, since its list is complete.

    Args:
        resets: Resets of all targets.
        target: Target id.
        incarnation: Incarnation of the target to which the connection led.
        fingerprints: Fingerprints of all requests in flight at the target.
    """
    reset = resets.reset_by_target.get(target)
    if reset is None or reset.incarnation != incarnation:
        resets.reset_by_target[target] = _Reset(
            resets.monotonic(), incarnation, frozenset(fingerprints)
        )


def resolve_reset(
    resets: PendingResets, target: str, incarnation: int | None
) -> tuple[str, list[str]] | None:
    """Decide from a later event at the target whether a recorded reset was a crash.

    Args:
        resets: Resets of all targets.
        target: Target id.
        incarnation: Incarnation that has just announced itself, or ``None`` if the
            target's port refuses connections or its lease has expired.

    Returns:
        Crash id and fingerprints for ``record_crash``, or ``None`` if no reset is
        recorded or the target still runs.
    """
    reset = resets.reset_by_target.get(target)
    if reset is None:
        return None
    if incarnation == reset.incarnation:
        # A renewal sent before a crash may arrive after the reset, so only a later one
        # shows that the target is still running.
        if resets.monotonic() - reset.at > MAX_RENEWAL_DELAY_S:
            del resets.reset_by_target[target]
        return None
    del resets.reset_by_target[target]
    return f"{target}@{reset.incarnation}", sorted(reset.fingerprints)


class TargetRuns:
    """Running requests of one target.

    Attributes:
        fingerprint_by_attempt: Fingerprint of each running attempt.
        suspects_waiting: Number of suspect requests that wait to run alone.
    """

    def __init__(self) -> None:
        self.fingerprint_by_attempt: dict[str, str] = {}
        self.suspects_waiting = 0
        self._waiters: set[asyncio.Future[None]] = set()

    def notify_waiters(self) -> None:
        """Wake all tasks in ``wait_for_change``."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for_change(self) -> None:
        """Wait for the next call of ``notify_waiters``."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)


def may_start(quarantine: Quarantine, runs: TargetRuns, fingerprint: str) -> bool:
    """Whether a request may start beside those that run on the target now.

    A suspect request needs an idle target. Any other request waits while a suspect one
    runs or waits.
    """
    if not runs.fingerprint_by_attempt and not runs.suspects_waiting:
        return True
    if fingerprint_status(quarantine, fingerprint) != CLEAR:
        return not runs.fingerprint_by_attempt
    return not runs.suspects_waiting and all(
        fingerprint_status(quarantine, other) == CLEAR
        for other in set(runs.fingerprint_by_attempt.values())
    )


@asynccontextmanager
async def run_alone_if_suspect(
    quarantine: Quarantine,
    runs: TargetRuns,
    attempt: str,
    fingerprint: str,
    *,
    wait_s: float = MAX_ALONE_WAIT_S,
) -> AsyncIterator[bool]:
    """Run a request on a target; a suspect request runs alone.

    While a suspect request waits for the target to become idle, no other request
    starts. Otherwise it would never run on a busy target and could not be cleared.

    Args:
        quarantine: The quarantine.
        runs: Running requests of the target.
        attempt: Attempt id.
        fingerprint: Fingerprint of the request.
        wait_s: Maximum wait, in seconds.

    Yields:
        Whether the request may run; false if the wait timed out.
    """
    if not may_start(quarantine, runs, fingerprint):
        suspect = fingerprint_status(quarantine, fingerprint) != CLEAR
        runs.suspects_waiting += suspect
        try:
            async with asyncio.timeout(wait_s):
                while not may_start(quarantine, runs, fingerprint):
                    await runs.wait_for_change()
        except TimeoutError:
            pass
        finally:
            runs.suspects_waiting -= suspect
            runs.notify_waiters()
        if not may_start(quarantine, runs, fingerprint):
            yield False
            return
    runs.fingerprint_by_attempt[attempt] = fingerprint
    try:
        yield True
    finally:
        del runs.fingerprint_by_attempt[attempt]
        runs.notify_waiters()
