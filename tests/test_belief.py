"""Beliefs in targets: what each answer and the time without one make of them."""

import asyncio

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_time import run_virtual
from siskinlug.belief import (
    TRIAL_BELOW,
    TRIAL_PAUSE_S,
    USUAL_SOUND,
    Sign,
    admit,
    make_belief,
    note_shed,
    probability_sound,
    see,
    standing_of,
    watch_work,
)


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class BeliefTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = _Clock()
        self.belief = make_belief(monotonic=self.clock)

    def test_one_fast_error_is_enough_to_doubt_a_sound_target(self) -> None:
        """Guards against counting failures in a row at a few requests a second."""
        for _ in range(5):
            see(self.belief, Sign.WORKS)
        self.clock.now += 0.3
        see(self.belief, Sign.FAST_ERROR)
        self.assertThat(probability_sound(self.belief), LessThan(TRIAL_BELOW))

    def test_all_targets_of_a_pool_shed_half_of_their_requests(self) -> None:
        """Guards against trials alone at targets that run every second request.

        A request that was shed has not run, so it costs a retry and no work.
        """
        see(self.belief, Sign.WORKS)
        for turn in range(20):
            note_shed(self.belief, shed=turn % 2 == 0)
            self.clock.now += 0.05
        self.assertThat(standing_of(self.belief).shed, GreaterThan(0.3))
        for _ in range(5):
            self.assertThat(admit(self.belief, least_sound=TRIAL_BELOW), Equals(True))

    def test_shedding_is_forgotten(self) -> None:
        """Guards against a target that is avoided long after it has stopped to shed."""
        for _ in range(5):
            note_shed(self.belief, shed=True)
        for _ in range(10):
            note_shed(self.belief, shed=False)
        self.assertThat(standing_of(self.belief).shed, LessThan(0.1))
        note_shed(self.belief, shed=True)
        self.clock.now += 30.0
        self.assertThat(standing_of(self.belief).shed, LessThan(0.01))

    def test_doubt_fades_without_answers(self) -> None:
        """Guards against a target that never gets work again."""
        see(self.belief, Sign.FAST_ERROR)
        self.clock.now += 60.0
        self.assertThat(
            abs(probability_sound(self.belief) - USUAL_SOUND), LessThan(0.01)
        )

    def test_late_error_says_less_than_a_fast_one(self) -> None:
        """Guards against doubting a target for the failure of a call it made."""
        other = make_belief(monotonic=self.clock)
        late, fast = see(self.belief, Sign.LATE_ERROR), see(other, Sign.FAST_ERROR)
        self.assertThat(late, GreaterThan(fast))

    def test_doubted_target_gets_one_trial_at_a_time(self) -> None:
        """Guards against a burst of requests lost at a target that still fails."""
        see(self.belief, Sign.FAST_ERROR)
        self.assertThat(admit(self.belief, least_sound=0.0), Equals(True))
        self.assertThat(admit(self.belief, least_sound=0.0), Equals(False))
        self.assertThat(standing_of(self.belief).wants_trial, Equals(False))
        self.clock.now += TRIAL_PAUSE_S
        self.assertThat(admit(self.belief, least_sound=0.0), Equals(True))

    def test_trial_that_goes_well_lets_the_next_one_follow_at_once(self) -> None:
        """Guards against a slow return of a target that has recovered."""
        see(self.belief, Sign.FAST_ERROR)
        admit(self.belief, least_sound=0.0)
        see(self.belief, Sign.WORKS)
        self.assertThat(standing_of(self.belief).wants_trial, Equals(True))

    def test_request_that_wants_a_sounder_target_is_not_admitted(self) -> None:
        """Guards against work that may not be repeated sent on an old report."""
        see(self.belief, Sign.FAST_ERROR)
        self.assertThat(admit(self.belief, least_sound=0.5), Equals(False))

    @given(st.lists(st.tuples(st.sampled_from(list(Sign)), st.floats(0, 20))))
    def test_belief_stays_a_probability_that_can_change(
        self, seen: list[tuple[Sign, float]]
    ) -> None:
        """Guards against a belief so certain that no answer can shift it."""
        clock = _Clock()
        belief = make_belief(monotonic=clock)
        for sign, pause_s in seen:
            clock.now += pause_s
            see(belief, sign)
        for _ in range(4):
            see(belief, Sign.FAST_ERROR)
        self.assertThat(probability_sound(belief), LessThan(0.1))
        for _ in range(6):
            see(belief, Sign.WORKS)
        self.assertThat(probability_sound(belief), GreaterThan(0.9))


class WatchWorkTest(testtools.TestCase):
    def _signs(self, runs_s: float, usual_s: float | None) -> list[Sign]:
        signs: list[Sign] = []

        async def run() -> None:
            belief = make_belief(monotonic=asyncio.get_running_loop().time)
            with watch_work(belief, signs.append, usual_s) as watch:
                await asyncio.sleep(runs_s)
                watch.waiting = False
            self.assertThat(belief.stalled, Equals(0))

        run_virtual(run())
        return signs

    def test_fast_answer_gives_no_sign_of_its_own(self) -> None:
        """Guards against an error that counts as work before it is seen."""
        self.assertThat(self._signs(0.003, 0.5), Equals([]))

    def test_request_that_runs_on_shows_a_target_that_works(self) -> None:
        """Guards against waiting for the end of long work to know a target."""
        self.assertThat(self._signs(0.3, 0.5), Equals([Sign.WORKS]))

    def test_request_that_runs_far_too_long_has_stalled(self) -> None:
        """Guards against targets that hang and would look as if they worked."""
        self.assertThat(self._signs(5.0, 0.5), Equals([Sign.WORKS, Sign.STALLED]))

    def test_beside_a_stalled_request_running_on_shows_nothing(self) -> None:
        """Guards against a hanging target that each new request makes look well."""
        signs: list[Sign] = []

        async def run() -> None:
            belief = make_belief(monotonic=asyncio.get_running_loop().time)
            with watch_work(belief, signs.append, 0.5):
                await asyncio.sleep(3.0)
                with watch_work(belief, signs.append, 0.5):
                    await asyncio.sleep(1.0)

        run_virtual(run())
        self.assertThat(signs, Equals([Sign.WORKS, Sign.STALLED]))
