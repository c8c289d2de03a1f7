"""Attempt records: an attempt reported as not run must never run."""

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from returns.result import Success
from testtools.matchers import Equals

from siskinlug.attempts import (
    cancel_attempt,
    downgrade_stale_verdict,
    finish_attempt,
    make_attempts,
    mark_attempt_started,
    register_attempt,
)
from siskinlug.verdict import Verdict

_INCARNATION = 7
_RETENTION_S = 16.0
_PICK = st.integers(0, 63)


class AttemptsMachine(RuleBasedStateMachine):
    """Delayed and cancelled attempts at an owner that records only few attempts."""

    max_finished = 3
    duplicates = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.attempts = make_attempts(
            incarnation=_INCARNATION,
            monotonic=lambda: self.now,
            retention_s=_RETENTION_S,
            max_finished=self.max_finished,
            max_tombstones=3,
        )
        self.sent_at: list[float] = []
        self.arrived: set[int] = set()
        self.queued: list[str] = []
        self.ran: set[str] = set()
        self.reported_not_run: set[str] = set()

    @rule(arrives=st.booleans())
    def send(self, arrives: bool) -> None:
        self.sent_at.append(self.now)
        if arrives:
            self._arrive(len(self.sent_at) - 1)

    @precondition(lambda self: self.sent_at)
    @rule(pick=_PICK)
    def arrive_late(self, pick: int) -> None:
        """Deliver a delayed attempt, at most ``retention_s`` after it was sent."""
        index = len(self.sent_at) - 1 - pick % min(len(self.sent_at), 6)
        if self.now - self.sent_at[index] < _RETENTION_S:
            self._arrive(index)

    @precondition(lambda self: self.queued)
    @rule(pick=_PICK)
    def run(self, pick: int) -> None:
        attempt = self.queued.pop(pick % len(self.queued))
        if not mark_attempt_started(self.attempts, attempt):
            finish_attempt(self.attempts, attempt, Verdict.NOT_RUN)
            return
        assert attempt not in self.reported_not_run, (
            "ran after it was reported as not run"
        )
        assert attempt not in self.ran, "attempt ran twice"
        self.ran.add(attempt)
        if pick % 2:
            finish_attempt(self.attempts, attempt, Verdict.RAN)

    @precondition(lambda self: self.queued)
    @rule(pick=_PICK)
    def refuse(self, pick: int) -> None:
        attempt = self.queued.pop(pick % len(self.queued))
        finish_attempt(self.attempts, attempt, Verdict.NOT_RUN)

    @precondition(lambda self: self.sent_at)
    @rule(pick=_PICK, other=st.booleans())
    def cancel(self, pick: int, other: bool) -> None:
        index = len(self.sent_at) - 1 - pick % min(len(self.sent_at), 12)
        attempt = f"a{index}"
        incarnation = _INCARNATION + (other and pick % 4 == 0)
        verdict = downgrade_stale_verdict(
            cancel_attempt(self.attempts, attempt, incarnation),
            sent_at=self.sent_at[index],
            answered_at=self.now,
            retention_s=_RETENTION_S,
        )
        if verdict is Verdict.NOT_RUN:
            assert incarnation == _INCARNATION, "another incarnation reported not run"
            assert attempt not in self.ran, "reported as not run after it ran"
            self.reported_not_run.add(attempt)

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 5.0]))
    def wait(self, seconds: float) -> None:
        """Advance the clock in steps short enough for the records to age fully."""
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            self.attempts.advance()

    def _arrive(self, index: int) -> None:
        if index in self.arrived and not self.duplicates:
            return
        self.arrived.add(index)
        attempt = f"a{index}"
        if isinstance(register_attempt(self.attempts, attempt), Success):
            self.queued.append(attempt)


class DuplicatesMachine(AttemptsMachine):
    """Attempts that may arrive more than once while they are recorded."""

    max_finished = 10_000
    duplicates = True


AttemptsModelTest = AttemptsMachine.TestCase
DuplicatesModelTest = DuplicatesMachine.TestCase
for _case in (AttemptsModelTest, DuplicatesModelTest):
    _case.settings = settings(max_examples=100, stateful_step_count=60)


class AttemptsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.attempts = make_attempts(
            incarnation=_INCARNATION, monotonic=lambda: self.now, retention_s=16.0
        )

    def test_cancelled_attempt_that_arrives_after_pause_is_refused(self) -> None:
        """Guards against a tombstone that expires during a pause of the process."""
        self.assertThat(
            cancel_attempt(self.attempts, "a", _INCARNATION), Equals(Verdict.NOT_RUN)
        )
        self.now = 1000.0
        self.assertFalse(isinstance(register_attempt(self.attempts, "a"), Success))

    def test_cancel_wakes_waiting_task_once(self) -> None:
        """Guards against a cancelled attempt that stays in the queue."""
        woken: list[int] = []
        register_attempt(self.attempts, "a", on_cancel=lambda: woken.append(1))
        cancel_attempt(self.attempts, "a", _INCARNATION)
        cancel_attempt(self.attempts, "a", _INCARNATION)
        self.assertThat(woken, Equals([1]))
        self.assertFalse(mark_attempt_started(self.attempts, "a"))

    def test_expired_records_are_dropped(self) -> None:
        """Guards against records that are kept for longer than ``retention_s``."""
        for number in range(400):
            self.now += 1.0
            register_attempt(self.attempts, f"a{number}")
            mark_attempt_started(self.attempts, f"a{number}")
            finish_attempt(self.attempts, f"a{number}", Verdict.RAN)
        self.assertThat(len(self.attempts.finished) <= 18, Equals(True))
        self.assertThat(len(self.attempts.started_by_attempt), Equals(0))

    def test_cancel_beyond_max_tombstones_is_may_have_run(self) -> None:
        """Guards against a not-run verdict on an attempt that could still start."""
        attempts = make_attempts(
            incarnation=_INCARNATION, monotonic=lambda: self.now, max_tombstones=1
        )
        cancel_attempt(attempts, "a", _INCARNATION)
        self.assertThat(
            cancel_attempt(attempts, "b", _INCARNATION), Equals(Verdict.MAY_HAVE_RUN)
        )
