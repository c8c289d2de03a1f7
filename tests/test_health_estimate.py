"""Health estimates: how observations and the passing of time change them."""

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

    def test_one_fast_error_makes_a_healthy_target_unhealthy(self) -> None:
        """Guards against waiting for failures in a row at a few requests a second."""
        for _ in range(5):
            update_health(self.estimate, Observation.WORKS)
        self.clock.now += 0.3
        update_health(self.estimate, Observation.FAST_ERROR)
        self.assertThat(current_health(self.estimate), LessThan(TRIAL_THRESHOLD))

    def test_shedding_half_of_the_requests_keeps_a_target_admitted(self) -> None:
        """Guards against admitting only trials when all targets of a pool shed.

        A shed request has not run, so it costs a retry and no work.
        """
        update_health(self.estimate, Observation.WORKS)
        for number in range(20):
            record_shed(self.estimate, shed=number % 2 == 0)
            self.clock.now += 0.05
        self.assertThat(health_summary(self.estimate).shed, GreaterThan(0.3))
        for _ in range(5):
            self.assertThat(
                admit_request(self.estimate, min_health=TRIAL_THRESHOLD), Equals(True)
            )

    def test_shed_share_decays(self) -> None:
        """Guards against a target that is avoided long after it stops shedding."""
        for _ in range(5):
            record_shed(self.estimate, shed=True)
        for _ in range(10):
            record_shed(self.estimate, shed=False)
        self.assertThat(health_summary(self.estimate).shed, LessThan(0.1))
        record_shed(self.estimate, shed=True)
        self.clock.now += 30.0
        self.assertThat(health_summary(self.estimate).shed, LessThan(0.01))

    def test_low_health_decays_to_the_baseline(self) -> None:
        """Guards against a target that never gets requests again."""
        update_health(self.estimate, Observation.FAST_ERROR)
        self.clock.now += 60.0
        self.assertThat(
            abs(current_health(self.estimate) - BASELINE_HEALTH), LessThan(0.01)
        )

    def test_late_error_lowers_health_less_than_a_fast_one(self) -> None:
        """Guards against blaming a target for the failure of a call it made."""
        other = make_health_estimate(monotonic=self.clock)
        late, fast = (
            update_health(self.estimate, Observation.LATE_ERROR),
            update_health(other, Observation.FAST_ERROR),
        )
        self.assertThat(late, GreaterThan(fast))

    def test_unhealthy_target_gets_one_trial_at_a_time(self) -> None:
        """Guards against losing a burst of requests at a target that still fails."""
        update_health(self.estimate, Observation.FAST_ERROR)
        self.assertThat(admit_request(self.estimate, min_health=0.0), Equals(True))
        self.assertThat(admit_request(self.estimate, min_health=0.0), Equals(False))
        self.assertThat(health_summary(self.estimate).wants_trial, Equals(False))
        self.clock.now += TRIAL_PAUSE_S
        self.assertThat(admit_request(self.estimate, min_health=0.0), Equals(True))

    def test_successful_trial_allows_the_next_one_at_once(self) -> None:
        """Guards against a slow return of a target that has recovered."""
        update_health(self.estimate, Observation.FAST_ERROR)
        admit_request(self.estimate, min_health=0.0)
        update_health(self.estimate, Observation.WORKS)
        self.assertThat(health_summary(self.estimate).wants_trial, Equals(True))

    def test_request_is_refused_below_its_min_health(self) -> None:
        """Guards against sending work that must not be repeated on an old report."""
        update_health(self.estimate, Observation.FAST_ERROR)
        self.assertThat(admit_request(self.estimate, min_health=0.5), Equals(False))

    @given(st.lists(st.tuples(st.sampled_from(list(Observation)), st.floats(0, 20))))
    def test_estimate_follows_a_change_after_any_history(
        self, history: list[tuple[Observation, float]]
    ) -> None:
        """Guards against an estimate so near 0 or 1 that it stops changing."""
        clock = _Clock()
        estimate = make_health_estimate(monotonic=clock)
        for observation, pause_s in history:
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
            self.assertThat(estimate.stalled_requests, Equals(0))

        run_virtual(run())
        return observations

    def test_fast_response_reports_nothing(self) -> None:
        """Guards against counting an error as work before it arrives."""
        self.assertThat(self._observations(0.003, 0.5), Equals([]))

    def test_running_request_reports_a_working_target(self) -> None:
        """Guards against an estimate that is updated only when long work ends."""
        self.assertThat(self._observations(0.3, 0.5), Equals([Observation.WORKS]))

    def test_request_far_beyond_its_usual_time_is_stalled(self) -> None:
        """Guards against hanging targets that look as if they worked."""
        self.assertThat(
            self._observations(5.0, 0.5),
            Equals([Observation.WORKS, Observation.STALLED]),
        )

    def test_running_request_reports_nothing_beside_a_stalled_one(self) -> None:
        """Guards against a hanging target that looks healthy after each new request."""
        observations: list[Observation] = []

        async def run() -> None:
            estimate = make_health_estimate(monotonic=asyncio.get_running_loop().time)
            with watch_request(estimate, observations.append, 0.5):
                await asyncio.sleep(3.0)
                with watch_request(estimate, observations.append, 0.5):
                    await asyncio.sleep(1.0)

        run_virtual(run())
        self.assertThat(observations, Equals([Observation.WORKS, Observation.STALLED]))
