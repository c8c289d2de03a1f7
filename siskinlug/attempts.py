"""The owner's attempt records: what an entry learns after it lost an answer."""

from collections import deque
from collections.abc import Callable

from returns.result import Failure, Result, Success

from siskinlug.verdict import Reason, Refusal, Verdict, not_run

KEEP_S = 600.0
# At 81 requests/s per node, 600 s of finished attempts are 48,600 records.
MAX_FINISHED = 65_536
MAX_TOMBSTONES = 8_192

_GENERATIONS = 8
# A pause must not expire a tombstone while the late attempt still waits in a socket
# buffer, so that each operation advances the age of records by one second at most.
_MAX_STEP_S = 1.0


class _Generations:
    """Verdicts by attempt, forgotten by whole generations."""

    def __init__(self, keep_s: float) -> None:
        self.length_s = keep_s / _GENERATIONS
        self.verdict_by_attempt: deque[dict[str, Verdict]] = deque([{}])
        self.ends_at = self.length_s

    def advance(self, age_s: float) -> None:
        """Start a new generation when the current one is full of time."""
        while age_s >= self.ends_at:
            self.verdict_by_attempt.append({})
            self.ends_at += self.length_s
            # One more than the number that spans keep_s: the newest is partial.
            if len(self.verdict_by_attempt) > _GENERATIONS + 1:
                self.verdict_by_attempt.popleft()

    def add(self, attempt: str, verdict: Verdict) -> None:
        self.verdict_by_attempt[-1][attempt] = verdict

    def get(self, attempt: str) -> Verdict | None:
        for generation in reversed(self.verdict_by_attempt):
            if attempt in generation:
                return generation[attempt]
        return None

    def drop_oldest(self) -> None:
        """Forget the oldest generation that holds anything."""
        for generation in self.verdict_by_attempt:
            if generation:
                generation.clear()
                return

    def __len__(self) -> int:
        return sum(len(generation) for generation in self.verdict_by_attempt)


class Attempts:
    """Attempts at the targets of one owner incarnation."""

    def __init__(
        self,
        *,
        incarnation: int,
        monotonic: Callable[[], float],
        keep_s: float,
        max_finished: int,
        max_tombstones: int,
    ) -> None:
        self.incarnation = incarnation
        self.keep_s = keep_s
        self.started_by_attempt: dict[str, bool] = {}
        self.on_cancel_by_attempt: dict[str, Callable[[], None]] = {}
        self.finished = _Generations(keep_s)
        self.tombstones = _Generations(keep_s)
        self._max_finished = max_finished
        self._max_tombstones = max_tombstones
        self._monotonic = monotonic
        self._last = monotonic()
        self._age_s = 0.0
        self._incomplete_until_s = 0.0

    def advance(self) -> None:
        """Let time pass for the records."""
        now = self._monotonic()
        self._age_s += min(max(now - self._last, 0.0), _MAX_STEP_S)
        self._last = now
        self.finished.advance(self._age_s)
        self.tombstones.advance(self._age_s)

    @property
    def complete(self) -> bool:
        """Whether every attempt of the last ``keep_s`` is still recorded."""
        return self._age_s >= self._incomplete_until_s

    def forget_if_full(self) -> None:
        """Drop the oldest finished attempts beyond the bound."""
        if len(self.finished) >= self._max_finished:
            self.finished.drop_oldest()
            self._incomplete_until_s = self._age_s + self.keep_s

    def add_tombstone(self, attempt: str) -> bool:
        """Record a cancelled attempt; false if there is no room for it."""
        if len(self.tombstones) >= self._max_tombstones:
            return False
        self.tombstones.add(attempt, Verdict.NOT_RUN)
        return True

    def verdict(self, attempt: str) -> Verdict | None:
        """Return what is known of an attempt, ``None`` if it has no record."""
        if attempt in self.started_by_attempt:
            return Verdict.MAY_HAVE_RUN
        return self.tombstones.get(attempt) or self.finished.get(attempt)


def make_attempts(
    *,
    incarnation: int,
    monotonic: Callable[[], float],
    keep_s: float = KEEP_S,
    max_finished: int = MAX_FINISHED,
    max_tombstones: int = MAX_TOMBSTONES,
) -> Attempts:
    """Build empty attempt records.

    Args:
        incarnation: Incarnation of this node.
        monotonic: Clock in seconds.
        keep_s: Time for which finished and cancelled attempts are recorded, in
            seconds. Entries must use the same value in ``confirm``.
        max_finished: Finished attempts recorded. Beyond it the oldest are dropped,
            and for ``keep_s`` no unknown attempt is called not run.
        max_tombstones: Cancelled attempts recorded. Beyond it a cancel of an attempt
            that has not started is answered as may-have-run.
    """
    return Attempts(
        incarnation=incarnation,
        monotonic=monotonic,
        keep_s=keep_s,
        max_finished=max_finished,
        max_tombstones=max_tombstones,
    )


def begin(
    attempts: Attempts,
    attempt: str,
    *,
    on_cancel: Callable[[], None] | None = None,
) -> Result[None, Refusal]:
    """Record an attempt that has arrived and is not yet started.

    Args:
        attempts: The records.
        attempt: Id of the attempt. An entry sends an id once; a second arrival is
            recognised as long as the first one is recorded.
        on_cancel: Called at most once when the attempt is cancelled before it is
            finished, to wake the task that waits in the queue or for the target.

    Returns:
        A refusal if the attempt was cancelled or has arrived before.
    """
    attempts.advance()
    known = attempts.verdict(attempt)
    if known is Verdict.NOT_RUN:
        return Failure(not_run(Reason.CANCELLED, "the attempt was cancelled"))
    if known is not None:
        return Failure(
            Refusal(known, Reason.CANCELLED, "the attempt has arrived before")
        )
    attempts.started_by_attempt[attempt] = False
    if on_cancel is not None:
        attempts.on_cancel_by_attempt[attempt] = on_cancel
    return Success(None)


def mark_started(attempts: Attempts, attempt: str) -> bool:
    """Record that the next byte goes to the target.

    Call it after the last ``await`` before the write.

    Returns:
        Whether the attempt may be written; false if it was cancelled.
    """
    if attempt not in attempts.started_by_attempt:
        return False
    attempts.started_by_attempt[attempt] = True
    return True


def finish(attempts: Attempts, attempt: str, verdict: Verdict) -> None:
    """Record the end of an attempt; an attempt without a live record is ignored.

    Args:
        attempts: The records.
        attempt: Id of the attempt.
        verdict: What the entry is told.
    """
    attempts.advance()
    attempts.on_cancel_by_attempt.pop(attempt, None)
    if attempts.started_by_attempt.pop(attempt, None) is None:
        return
    attempts.forget_if_full()
    attempts.finished.add(attempt, verdict)


def state_of(attempts: Attempts, attempt: str) -> str:
    """Return ``unknown``, ``running`` (also queued) or ``ended``."""
    if attempt in attempts.started_by_attempt:
        return "running"
    return "unknown" if attempts.verdict(attempt) is None else "ended"


def cancel(attempts: Attempts, attempt: str, incarnation: int) -> Verdict:
    """Cancel an attempt for an entry that lost its answer.

    An attempt that has not started is never started afterwards, even if it arrives
    later. The answer of a started attempt does not change what the target does.

    Args:
        attempts: The records.
        attempt: Id of the attempt.
        incarnation: Incarnation of the owner to which the attempt was sent.

    Returns:
        Whether the attempt may have run. Only the same incarnation can answer that
        it was not run; the entry checks the age of the answer with ``confirm``.
    """
    attempts.advance()
    if incarnation != attempts.incarnation:
        return Verdict.MAY_HAVE_RUN
    known = attempts.verdict(attempt)
    wake = attempts.on_cancel_by_attempt.pop(attempt, None)
    if attempts.started_by_attempt.get(attempt) is False:
        del attempts.started_by_attempt[attempt]
        verdict = _bury(attempts, attempt)
    elif known is None and not attempts.complete:
        verdict = Verdict.MAY_HAVE_RUN
    else:
        verdict = known or _bury(attempts, attempt)
    if wake is not None:
        wake()
    return verdict


def confirm(
    verdict: Verdict, *, sent_at: float, answered_at: float, keep_s: float = KEEP_S
) -> Verdict:
    """Check at the entry that the owner's answer to a cancel is young enough.

    The owner may have forgotten the attempt, and so call it not run, once ``keep_s``
    have passed since it was sent.

    Args:
        verdict: The owner's answer.
        sent_at: Time before the attempt was sent, in seconds on the entry's clock.
        answered_at: Time after the answer to the cancel arrived.
        keep_s: Time for which owners keep records, in seconds.
    """
    if verdict is Verdict.NOT_RUN and answered_at - sent_at >= keep_s:
        return Verdict.MAY_HAVE_RUN
    return verdict


def _bury(attempts: Attempts, attempt: str) -> Verdict:
    if attempts.add_tombstone(attempt):
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN
