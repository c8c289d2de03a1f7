"""Selection of the target with the lowest cost, one load pattern per test."""

from random import Random

import testtools
from testtools.matchers import Equals, GreaterThan, Is, Not

from siskinlug.load_balancing import Candidate
from siskinlug.placement_cost import (
    RequestProfile,
    ScoredTarget,
    TargetState,
    is_healthy_enough,
    select_min_cost,
)

# Not idempotent and therefore never a trial.
BOOKING = RequestProfile(
    False, objective_s=2.5, remaining_s=2.5, usual_service_time_s=0.6, transfer_mb=0.004
)
LOOKUP = RequestProfile(
    True, objective_s=2.5, remaining_s=2.5, usual_service_time_s=0.6, transfer_mb=0.0004
)
SHORT_CALL = RequestProfile(
    True,
    objective_s=0.6,
    remaining_s=0.6,
    usual_service_time_s=0.14,
    transfer_mb=0.0004,
)
DOWNLOAD = RequestProfile(
    True, objective_s=2.5, remaining_s=2.5, usual_service_time_s=0.4, transfer_mb=0.09
)


def _state(
    target: str,
    *,
    health: float = 0.95,
    wants_trial: bool = True,
    in_use: int = 1,
    wait_s: float = 0.0,
    distance: int = 2,
    shed: float = 0.0,
    untested: bool = False,
) -> TargetState:
    candidate = Candidate(target, f"node-of-{target}", distance, 1.0, 5)
    return TargetState(
        candidate, health, wants_trial, in_use, 5, wait_s, shed, untested=untested
    )


def _target_id(scored: ScoredTarget | None) -> str | None:
    return None if scored is None else scored.state.candidate.target


class PlacementCostTest(testtools.TestCase):
    def test_fast_failing_target_beside_busy_ones(self) -> None:
        """Guards against preferring a failing target because it is always idle."""
        states = [_state("failing", health=0.1, in_use=0), _state("busy", in_use=4)]
        self.assertThat(_target_id(select_min_cost(states, BOOKING)), Equals("busy"))

    def test_booking_goes_to_the_healthier_target(self) -> None:
        """Guards against bookings at a target whose last success is long ago."""
        states = [_state("stale", health=0.85, in_use=0), _state("fresh", health=0.98)]
        self.assertThat(_target_id(select_min_cost(states, BOOKING)), Equals("fresh"))

    def test_lookup_is_a_trial_of_a_target_that_may_have_recovered(self) -> None:
        """Guards against targets that are retried only by non-idempotent requests."""
        states = [_state("healthy", health=0.99), _state("recovering", health=0.5)]
        self.assertThat(
            _target_id(select_min_cost(states, LOOKUP)), Equals("recovering")
        )

    def test_no_trial_right_after_a_failure(self) -> None:
        """Guards against a retry budget spent on a failure that has just begun."""
        states = [_state("healthy", health=0.99), _state("failing", health=0.05)]
        self.assertThat(_target_id(select_min_cost(states, LOOKUP)), Equals("healthy"))

    def test_target_with_a_running_trial_is_excluded(self) -> None:
        """Guards against attempts that the owner refuses while a trial runs."""
        states = [_state("in-trial", health=0.5, wants_trial=False)]
        self.assertThat(select_min_cost(states, LOOKUP), Is(None))

    def test_large_responses_stay_in_their_failure_domain(self) -> None:
        """Guards against downloads from another domain for slightly better health."""
        states = [_state("far", health=0.99), _state("near", health=0.9, distance=1)]
        self.assertThat(_target_id(select_min_cost(states, DOWNLOAD)), Equals("near"))

    def test_small_request_crosses_domains_for_a_healthier_target(self) -> None:
        """Guards against bookings that fail in the own domain but succeed elsewhere."""
        states = [_state("far", health=0.98), _state("near", health=0.7, distance=1)]
        self.assertThat(_target_id(select_min_cost(states, BOOKING)), Equals("far"))

    def test_queue_at_the_healthiest_target(self) -> None:
        """Guards against a queue at one target while others are nearly as healthy."""
        states = [_state("queue", health=0.99, wait_s=2.2), _state("free", health=0.9)]
        self.assertThat(_target_id(select_min_cost(states, BOOKING)), Equals("free"))

    def test_calls_at_peak_load_avoid_a_failing_target(self) -> None:
        """Guards against a failing target that costs less than any queue."""
        states = [
            _state("queue", health=0.99, wait_s=2.7, in_use=5),
            _state("failing", health=0.07, in_use=0),
        ]
        for profile in (
            SHORT_CALL,
            SHORT_CALL._replace(may_trial=False, remaining_s=-1.0),
        ):
            self.assertThat(
                _target_id(select_min_cost(states, profile)), Equals("queue")
            )

    def test_one_target_sheds_beside_others_with_short_queues(self) -> None:
        """Guards against preferring a target that sheds because it has free slots."""
        states = [
            _state("sheds", shed=0.6, in_use=1),
            _state("queue", wait_s=0.4, in_use=5),
        ]
        self.assertThat(_target_id(select_min_cost(states, BOOKING)), Equals("queue"))

    def test_long_queue_beside_a_target_that_sheds(self) -> None:
        """Guards against late responses where a retry would have been in time."""
        states = [
            _state("sheds", shed=0.4, in_use=1),
            _state("queue", wait_s=2.2, in_use=5),
        ]
        self.assertThat(_target_id(select_min_cost(states, BOOKING)), Equals("sheds"))
        without_retries = BOOKING._replace(may_retry=False)
        self.assertThat(
            _target_id(
                select_min_cost(
                    [states[0], _state("busy", wait_s=1.0)], without_retries
                )
            ),
            Equals("busy"),
        )

    def test_queue_that_its_owner_would_refuse(self) -> None:
        """Guards against a booking refused as late while another target is free."""
        states = [_state("queue", health=0.99, wait_s=1.4), _state("free", health=0.88)]
        self.assertThat(_target_id(select_min_cost(states, BOOKING)), Equals("free"))

    def test_wait_in_time_is_better_than_a_less_healthy_target(self) -> None:
        """Guards against bookings that fail at a free target to save half a second."""
        states = [
            _state("queue", health=0.98, wait_s=0.5),
            _state("less-healthy", health=0.8),
        ]
        self.assertThat(_target_id(select_min_cost(states, BOOKING)), Equals("queue"))


class FleetStartTest(testtools.TestCase):
    """Load pattern: bookings arrive while no target of the fleet is known yet."""

    def test_first_bookings_are_spread_over_the_targets(self) -> None:
        """Guards against targets that stay idle while bookings wait for a better one.

        Each owner learns from the first request at its target, before the next poll.
        """
        random = Random(1)
        state_by_target = {
            f"t{n}": _state(f"t{n}", health=0.7, in_use=0, untested=True)
            for n in range(85)
        }
        placed: set[str] = set()
        # 2 s of 150 bookings a second; each polls eight targets.
        for _ in range(300):
            polled = random.sample(list(state_by_target.values()), 8)
            selected = select_min_cost(polled, BOOKING)
            assert selected is not None
            if not is_healthy_enough(
                selected.state, idempotent=False, after_wait=False
            ):
                continue
            target = selected.state.candidate.target
            placed.add(target)
            health = 0.95 if random.random() < 0.7 else 0.3
            if state_by_target[target].untested:
                state_by_target[target] = _state(target, health=health)
        # The floor of the users' rule on idle targets.
        self.assertThat(len(placed) / 85, GreaterThan(0.7))

    def test_booking_waits_while_an_untested_target_has_its_first_request(self) -> None:
        busy = _state("busy", health=0.7, in_use=1, untested=True)
        idle = _state("idle", health=0.7, in_use=0, untested=True)
        known = _state("known", health=0.7, in_use=0)
        placed = [
            is_healthy_enough(state, idempotent=False, after_wait=False)
            for state in (busy, idle, known)
        ]
        self.assertThat(placed, Equals([False, True, False]))

    def test_untested_target_at_its_limit_is_passed_over(self) -> None:
        """Load pattern: half of the nodes restart while their targets name limits.

        Guards against requests sent to idle targets that must not take them yet, beside
        a known target with room.
        """
        limited = [
            _state(f"limited-{n}", health=0.7, in_use=0, wait_s=6.0, untested=True)
            for n in range(3)
        ]
        states = [*limited, _state("known", health=0.98, in_use=3)]
        for profile in (BOOKING, LOOKUP):
            selected = select_min_cost(states, profile)
            self.assertThat(_target_id(selected), Equals("known"))
        self.assertThat(
            is_healthy_enough(limited[0], idempotent=False, after_wait=False),
            Equals(False),
        )

    def test_new_target_beside_known_ones_gets_no_booking(self) -> None:
        """Guards against bookings that are risked when most targets are known."""
        states = [
            _state("new", health=0.7, in_use=0, untested=True),
            _state("known", health=0.98),
            _state("also-known", health=0.98),
        ]
        self.assertThat(
            _target_id(select_min_cost(states, BOOKING)), Not(Equals("new"))
        )
