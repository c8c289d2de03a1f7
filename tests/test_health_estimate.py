"""Beliefs in targets: what each answer and the time without one make of them."""

import asyncio

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_time import run_virtual
from siskinlug.health_estimate import (
    BASELINE_HEALTH,
    TRIAL_PAUSE_S,
    TRIAL_THRESHOLD,
    Observation,
    admit_request,
    current_health,
    health_summary,
    make_health_estimate,
    record_shed,
    update_health,
    watch_request,
)


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class HealthEstimateTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = _Clock()
        self.estimate = make_health_estimate(monotonic=self.clock)

    def test_one_fast_error_is_enough_to_doubt_a_sound_target(self) -> None:
        """Guards against counting failures in a row at a few requests a second."""
        for _ in range(5):
            update_health(self.estimate, Observation.WORKS)
        self.clock.now += 0.3
        update_health(self.estimate, Observation.FAST_ERROR)
        self.assertThat(current_health(self.estimate), LessThan(TRIAL_THRESHOLD))

    def test_all_targets_of_a_pool_shed_half_of_their_requests(self) -> None:
        """Guards against trials alone at targets that run every second request.

        A request that was shed has not run, so it costs a retry and no work.
        """
        update_health(self.estimate, Observation.WORKS)
        for turn in range(20):
            record_shed(self.estimate, shed=turn % 2 == 0)
            self.clock.now += 0.05
        self.assertThat(health_summary(self.estimate).shed, GreaterThan(0.3))
        for _ in range(5):
            self.assertThat(
                admit_request(self.estimate, min_health=TRIAL_THRESHOLD), Equals(True)
            )

    def test_shedding_is_forgotten(self) -> None:
        """Guards against a target that is avoided long after it has stopped to shed."""
        for _ in range(5):
            record_shed(self.estimate, shed=True)
        for _ in range(10):
            record_shed(self.estimate, shed=False)
        self.assertThat(health_summary(self.estimate).shed, LessThan(0.1))
        record_shed(self.estimate, shed=True)
        self.clock.now += 30.0
        self.assertThat(health_summary(self.estimate).shed, LessThan(0.01))

    def test_doubt_fades_without_answers(self) -> None:
        """Guards against a target that never gets work again."""
        update_health(self.estimate, Observation.FAST_ERROR)
        self.clock.now += 60.0
        self.assertThat(
            abs(current_health(self.estimate) - BASELINE_HEALTH), LessThan(0.01)
        )

    def test_late_error_says_less_than_a_fast_one(self) -> None:
        """Guards against doubting a target for the failure of a call it made."""
        other = make_health_estimate(monotonic=self.clock)
        late, fast = (
            update_health(self.estimate, Observation.LATE_ERROR),
            update_health(other, Observation.FAST_ERROR),
        )
        self.assertThat(late, GreaterThan(fast))

    def test_doubted_target_gets_one_trial_at_a_time(self) -> None:
        """Guards against a burst of requests lost at a target that still fails."""
        update_health(self.estimate, Observation.FAST_ERROR)
        self.assertThat(admit_request(self.estimate, min_health=0.0), Equals(True))
        self.assertThat(admit_request(self.estimate, min_health=0.0), Equals(False))
        self.assertThat(health_summary(self.estimate).wants_trial, Equals(False))
        self.clock.now += TRIAL_PAUSE_S
        self.assertThat(admit_request(self.estimate, min_health=0.0), Equals(True))

    def test_trial_that_goes_well_lets_the_next_one_follow_at_once(self) -> None:
        """Guards against a slow return of a target that has recovered."""
        update_health(self.estimate, Observation.FAST_ERROR)
        admit_request(self.estimate, min_health=0.0)
        update_health(self.estimate, Observation.WORKS)
        self.assertThat(health_summary(self.estimate).wants_trial, Equals(True))

    def test_request_that_wants_a_sounder_target_is_not_admitted(self) -> None:
        """Guards against work that may not be repeated sent on an old report."""
        update_health(self.estimate, Observation.FAST_ERROR)
        self.assertThat(admit_request(self.estimate, min_health=0.5), Equals(False))

    @given(st.lists(st.tuples(st.sampled_from(list(Observation)), st.floats(0, 20))))
    def test_belief_stays_a_probability_that_can_change(
        self, seen: list[tuple[Observation, float]]
    ) -> None:
        """Guards against a belief so certain that no answer can shift it."""
        clock = _Clock()
        estimate = make_health_estimate(monotonic=clock)
        for observation, pause_s in seen:
            clock.now += pause_s
            update_health(estimate, observation)
        for _ in range(4):
            update_health(estimate, Observation.FAST_ERROR)
        self.assertThat(current_health(estimate), LessThan(0.1))
        for _ in range(6):
            update_health(estimate, Observation.WORKS)
        self.assertThat(current_health(estimate), GreaterThan(0.9))


class WatchRequestTest(testtools.TestCase):
    def _observations(self, runs_s: float, usual_s: float | None) -> list[Observation]:
        observations: list[Observation] = []

        async def run() -> None:
            estimate = make_health_estimate(monotonic=asyncio.get_running_loop().time)
            with watch_request(estimate, observations.append, usual_s) as watch:
                await asyncio.sleep(runs_s)
                watch.waiting = False
            self.assertThat(estimate.stalled, Equals(0))

        run_virtual(run())
        return observations

    def test_fast_answer_gives_no_sign_of_its_own(self) -> None:
        """Guards against an error that counts as work before it is seen."""
        self.assertThat(self._observations(0.003, 0.5), Equals([]))

    def test_request_that_runs_on_shows_a_target_that_works(self) -> None:
        """Guards against waiting for the end of long work to know a target."""
        self.assertThat(self._observations(0.3, 0.5), Equals([Observation.WORKS]))

    def test_request_that_runs_far_too_long_has_stalled(self) -> None:
        """Guards against targets that hang and would look as if they worked."""
        self.assertThat(
            self._observations(5.0, 0.5),
            Equals([Observation.WORKS, Observation.STALLED]),
        )

    def test_beside_a_stalled_request_running_on_shows_nothing(self) -> None:
        """Guards against a hanging target that each new request makes look well."""
        observations: list[Observation] = []

        async def run() -> None:
            estimate = make_health_estimate(monotonic=asyncio.get_running_loop().time)
            with watch_request(estimate, observations.append, 0.5):
                await asyncio.sleep(3.0)
                with watch_request(estimate, observations.append, 0.5):
                    await asyncio.sleep(1.0)

        run_virtual(run())
        self.assertThat(observations, Equals([Observation.WORKS, Observation.STALLED]))
