"""Attempt records of an owner, which entries query after losing a response.

An owner records each attempt from its arrival until some time after its end. An entry
that lost the response cancels the attempt; the records then tell it whether the request
may have run. A cancelled attempt that has not arrived yet leaves a tombstone, so that
it is refused if it arrives later.
"""

from collections import deque
from collections.abc import Callable

from returns.result import Failure, Result, Success

from siskinlug.verdict import Reason, Refusal, Verdict, not_run

RETENTION_S = 600.0
# At 81 requests/s per node, 48,600 attempts finish within 600 s.
MAX_FINISHED = 65_536
MAX_TOMBSTONES = 8_192

_GENERATION_COUNT = 8
# Each operation ages the records by one second at most. After a pause of the process, a
# tombstone must not expire while its attempt is still unread in a socket buffer.
_MAX_STEP_S = 1.0


class _Generations:
    """Verdicts by attempt, expired one generation at a time.

    Attempts recorded in the same span of time form a generation, so expiry needs no
    timestamp per attempt.

    Args:
        retention_s: Minimum time for which a verdict is kept, in seconds.
    """

    def __init__(self, retention_s: float) -> None:
        self.generation_s = retention_s / _GENERATION_COUNT
        self.verdict_by_attempt: deque[dict[str, Verdict]] = deque([{}])
        self.newest_ends_at = self.generation_s

    def advance(self, elapsed_s: float) -> None:
        """Start new generations up to a time and drop those that have expired."""
        while elapsed_s >= self.newest_ends_at:
            self.verdict_by_attempt.append({})
            self.newest_ends_at += self.generation_s
            # One generation more than retention_s spans, since the newest is partial.
            if len(self.verdict_by_attempt) > _GENERATION_COUNT + 1:
                self.verdict_by_attempt.popleft()

    def add(self, attempt: str, verdict: Verdict) -> None:
        """Record a verdict in the newest generation."""
        self.verdict_by_attempt[-1][attempt] = verdict

    def get(self, attempt: str) -> Verdict | None:
        """Return the latest verdict on an attempt, ``None`` if there is none."""
        for generation in reversed(self.verdict_by_attempt):
            if attempt in generation:
                return generation[attempt]
        return None

    def drop_oldest(self) -> None:
        """Clear the oldest generation that is not empty."""
        for generation in self.verdict_by_attempt:
            if generation:
                generation.clear()
                return

    def __len__(self) -> int:
        return sum(len(generation) for generation in self.verdict_by_attempt)


class Attempts:
    """Attempts at the targets of one owner incarnation; see ``make_attempts``.

    Attributes:
        incarnation: Incarnation of the owner.
        retention_s: Time for which ended attempts are recorded, in seconds.
        started_by_attempt: Attempts that have arrived and not ended; true once the
            request may be written to the target.
        on_cancel_by_attempt: Callback of each of them that can be cancelled.
        finished: Verdicts of attempts that have ended.
        tombstones: Attempts that were cancelled before they started.
    """

    def __init__(
        self,
        *,
        incarnation: int,
        monotonic: Callable[[], float],
        retention_s: float,
        max_finished: int,
        max_tombstones: int,
    ) -> None:
        self.incarnation = incarnation
        self.retention_s = retention_s
        self.started_by_attempt: dict[str, bool] = {}
        self.on_cancel_by_attempt: dict[str, Callable[[], None]] = {}
        self.finished = _Generations(retention_s)
        self.tombstones = _Generations(retention_s)
        self._max_finished = max_finished
        self._max_tombstones = max_tombstones
        self._monotonic = monotonic
        self._last_advance_at = monotonic()
        self._elapsed_s = 0.0
        self._incomplete_until_s = 0.0

    def advance(self) -> None:
        """Age the records by the time since the last call, and drop expired ones."""
        now = self._monotonic()
        self._elapsed_s += min(max(now - self._last_advance_at, 0.0), _MAX_STEP_S)
        self._last_advance_at = now
        self.finished.advance(self._elapsed_s)
        self.tombstones.advance(self._elapsed_s)

    @property
    def complete(self) -> bool:
        """Whether all attempts of the last ``retention_s`` are still recorded."""
        return self._elapsed_s >= self._incomplete_until_s

    def drop_oldest_if_full(self) -> None:
        """Drop the oldest finished attempts if the maximum number is recorded."""
        if len(self.finished) >= self._max_finished:
            self.finished.drop_oldest()
            self._incomplete_until_s = self._elapsed_s + self.retention_s

    def add_tombstone(self, attempt: str) -> bool:
        """Record that an attempt was cancelled before it started.

        Returns:
            Whether it was recorded; false if the maximum number is reached.
        """
        if len(self.tombstones) >= self._max_tombstones:
            return False
        self.tombstones.add(attempt, Verdict.NOT_RUN)
        return True

    def verdict(self, attempt: str) -> Verdict | None:
        """Return the verdict on an attempt, ``None`` if it has no record."""
        if attempt in self.started_by_attempt:
            return Verdict.MAY_HAVE_RUN
        return self.tombstones.get(attempt) or self.finished.get(attempt)


def make_attempts(
    *,
    incarnation: int,
    monotonic: Callable[[], float],
    retention_s: float = RETENTION_S,
    max_finished: int = MAX_FINISHED,
    max_tombstones: int = MAX_TOMBSTONES,
) -> Attempts:
    """Build empty attempt records.

    Args:
        incarnation: Incarnation of this node.
        monotonic: Clock in seconds.
        retention_s: Time for which finished and cancelled attempts are recorded, in
            seconds. Entries must use the same value in ``downgrade_stale_verdict``.
        max_finished: Maximum number of finished attempts. Beyond it the oldest are
            dropped, and for the next ``retention_s`` an attempt without a record is
            reported as may-have-run.
        max_tombstones: Maximum number of attempts cancelled before they started. Beyond
            it, further such cancellations are answered with may-have-run.
    """
    return Attempts(
        incarnation=incarnation,
        monotonic=monotonic,
        retention_s=retention_s,
        max_finished=max_finished,
        max_tombstones=max_tombstones,
    )


def register_attempt(
    attempts: Attempts,
    attempt: str,
    *,
    on_cancel: Callable[[], None] | None = None,
) -> Result[None, Refusal]:
    """Record the arrival of an attempt, which has not started yet.

    Args:
        attempts: The records.
        attempt: Attempt id. An entry sends an id only once; a duplicate is detected
            for as long as the first arrival is recorded.
        on_cancel: Called at most once, when the attempt is cancelled before it is
            finished, to wake the task that waits in the queue or for the target.

    Returns:
        ``None`` on success, or a refusal if the attempt was cancelled or has arrived
        before.
    """
    attempts.advance()
    recorded = attempts.verdict(attempt)
    if recorded is Verdict.NOT_RUN:
        return Failure(not_run(Reason.CANCELLED, "the attempt was cancelled"))
    if recorded is not None:
        return Failure(
            Refusal(recorded, Reason.CANCELLED, "the attempt has arrived before")
        )
    attempts.started_by_attempt[attempt] = False
    if on_cancel is not None:
        attempts.on_cancel_by_attempt[attempt] = on_cancel
    return Success(None)


def mark_attempt_started(attempts: Attempts, attempt: str) -> bool:
    """Record that the request is about to be written to the target.

    Call it after the last ``await`` before the write, so that no cancellation can come
    between.

    Returns:
        Whether the request may be written; false if the attempt was cancelled.
    """
    if attempt not in attempts.started_by_attempt:
        return False
    attempts.started_by_attempt[attempt] = True
    return True


def finish_attempt(attempts: Attempts, attempt: str, verdict: Verdict) -> None:
    """Record the end of an attempt.

    An attempt that is not running, for instance because it was cancelled, is ignored.

    Args:
        attempts: The records.
        attempt: Attempt id.
        verdict: Verdict that is returned to the entry.
    """
    attempts.advance()
    attempts.on_cancel_by_attempt.pop(attempt, None)
    if attempts.started_by_attempt.pop(attempt, None) is None:
        return
    attempts.drop_oldest_if_full()
    attempts.finished.add(attempt, verdict)


def attempt_state(attempts: Attempts, attempt: str) -> str:
    """Return the state of an attempt: ``unknown``, ``running`` or ``ended``.

    An attempt that waits in the queue counts as running.
    """
    if attempt in attempts.started_by_attempt:
        return "running"
    return "unknown" if attempts.verdict(attempt) is None else "ended"


def cancel_attempt(attempts: Attempts, attempt: str, incarnation: int) -> Verdict:
    """Cancel an attempt for an entry that lost the response.

    An attempt that has not started will never start, even if it arrives later. For one
    that has started, the owner stops waiting, but the target may still run the request.

    Args:
        attempts: The records.
        attempt: Attempt id.
        incarnation: Incarnation of the owner to which the attempt was sent.

    Returns:
        Whether the attempt may have run. Only the incarnation to which it was sent can
        tell that it has not run. The entry must pass the verdict through
        ``downgrade_stale_verdict``.
    """
    attempts.advance()
    if incarnation != attempts.incarnation:
        return Verdict.MAY_HAVE_RUN
    recorded = attempts.verdict(attempt)
    wake = attempts.on_cancel_by_attempt.pop(attempt, None)
    if attempts.started_by_attempt.get(attempt) is False:
        del attempts.started_by_attempt[attempt]
        verdict = _record_not_run(attempts, attempt)
    elif recorded is None and not attempts.complete:
        verdict = Verdict.MAY_HAVE_RUN
    else:
        verdict = recorded or _record_not_run(attempts, attempt)
    if wake is not None:
        wake()
    return verdict


def withdraw_attempt(attempts: Attempts, attempt: str, incarnation: int) -> Verdict:
    """Cancel an attempt for its entry, but only if it has not started.

    Args:
        attempts: The records.
        attempt: Attempt id.
        incarnation: Incarnation of the owner to which the attempt was sent.

    Returns:
        ``NOT_RUN`` if the attempt will never start, even if it arrives later, else
        ``MAY_HAVE_RUN``: it goes on, or has ended.
    """
    if attempts.started_by_attempt.get(attempt):
        return Verdict.MAY_HAVE_RUN
    return cancel_attempt(attempts, attempt, incarnation)


def is_cancelled(attempts: Attempts, attempt: str) -> bool:
    """Whether an attempt that was registered, and has not ended, was cancelled."""
    return attempt not in attempts.started_by_attempt


def downgrade_stale_verdict(
    verdict: Verdict,
    *,
    sent_at: float,
    answered_at: float,
    retention_s: float = RETENTION_S,
) -> Verdict:
    """Turn a not-run verdict into may-have-run if it may rest on an expired record.

    Once ``retention_s`` have passed since an attempt was sent, the owner may have
    dropped its record, and would then report an attempt that ran as not run.

    Args:
        verdict: The owner's verdict on a cancelled attempt.
        sent_at: Time before the attempt was sent, in seconds on the entry's clock.
        answered_at: Time after the verdict arrived, on the same clock.
        retention_s: Time for which owners keep records, in seconds.
    """
    if verdict is Verdict.NOT_RUN and answered_at - sent_at >= retention_s:
        return Verdict.MAY_HAVE_RUN
    return verdict


def _record_not_run(attempts: Attempts, attempt: str) -> Verdict:
    """Add a tombstone and return its verdict; if there are too many, may-have-run."""
    if attempts.add_tombstone(attempt):
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN
