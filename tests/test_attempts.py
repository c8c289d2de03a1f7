"""Attempt records against a model: a "not run" that was told stays true."""

import testtools
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from returns.result import Success
from testtools.matchers import Equals

from siskinlug.attempts import begin, cancel, confirm, finish, make_attempts
from siskinlug.attempts import mark_started as start
from siskinlug.verdict import Verdict

_IDS = st.sampled_from([f"a{n}" for n in range(12)])
_INCARNATION = 7


class AttemptsMachine(RuleBasedStateMachine):
    """Delayed, duplicated and cancelled attempts at one owner that pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.attempts = make_attempts(
            incarnation=_INCARNATION,
            monotonic=lambda: self.now,
            keep_s=16.0,
            max_finished=3,
            max_tombstones=3,
        )
        self.sent_at: dict[str, float] = {}
        self.queued: set[str] = set()
        self.ran: set[str] = set()
        self.told_not_run: set[str] = set()

    @rule(attempt=_IDS)
    def send(self, attempt: str) -> None:
        self.sent_at.setdefault(attempt, self.now)

    @rule(attempt=_IDS)
    def arrive(self, attempt: str) -> None:
        """Arrival within ``keep_s`` of sending, as the network bounds it."""
        if self.now - self.sent_at.get(attempt, -99.0) >= 16.0:
            return
        if isinstance(begin(self.attempts, attempt), Success):
            self.queued.add(attempt)

    @rule(attempt=_IDS, verdict=st.sampled_from(list(Verdict)))
    def run(self, attempt: str, verdict: Verdict) -> None:
        if attempt not in self.queued:
            return
        self.queued.discard(attempt)
        if verdict is not Verdict.NOT_RUN and start(self.attempts, attempt):
            assert attempt not in self.told_not_run, "ran after it was called not run"
            assert attempt not in self.ran, "one attempt ran twice"
            self.ran.add(attempt)
        finish(self.attempts, attempt, verdict)

    @rule(attempt=_IDS, incarnation=st.sampled_from([_INCARNATION, 8]))
    def cancel(self, attempt: str, incarnation: int) -> None:
        if attempt not in self.sent_at:
            return
        verdict = confirm(
            cancel(self.attempts, attempt, incarnation),
            sent_at=self.sent_at[attempt],
            answered_at=self.now,
            keep_s=16.0,
        )
        if verdict is Verdict.NOT_RUN:
            assert incarnation == _INCARNATION, "another incarnation cannot know"
            assert attempt not in self.ran, "called not run after it ran"
            self.told_not_run.add(attempt)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 100.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds


AttemptsModelTest = AttemptsMachine.TestCase


class AttemptsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.attempts = make_attempts(
            incarnation=_INCARNATION, monotonic=lambda: self.now, keep_s=16.0
        )

    def test_a_late_attempt_is_refused_after_a_pause(self) -> None:
        """Guards against a pause that expires the tombstone before the attempt."""
        self.assertThat(
            cancel(self.attempts, "a", _INCARNATION), Equals(Verdict.NOT_RUN)
        )
        self.now = 1000.0
        self.assertFalse(isinstance(begin(self.attempts, "a"), Success))

    def test_cancel_wakes_the_waiting_task_once(self) -> None:
        """Guards against a cancelled attempt that keeps its place in the queue."""
        woken: list[int] = []
        begin(self.attempts, "a", on_cancel=lambda: woken.append(1))
        cancel(self.attempts, "a", _INCARNATION)
        cancel(self.attempts, "a", _INCARNATION)
        self.assertThat(woken, Equals([1]))
        self.assertFalse(start(self.attempts, "a"))

    def test_memory_is_bounded(self) -> None:
        """Guards against records that outlive ``keep_s``."""
        for number in range(400):
            self.now += 1.0
            begin(self.attempts, f"a{number}")
            start(self.attempts, f"a{number}")
            finish(self.attempts, f"a{number}", Verdict.RAN)
        self.assertThat(len(self.attempts.finished) <= 18, Equals(True))
        self.assertThat(len(self.attempts.started_by_attempt), Equals(0))
