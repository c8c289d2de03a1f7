"""Placement of attempts, one load pattern a test."""

import testtools
from testtools.matchers import Equals, Is

from siskinlug.choice import Candidate
from siskinlug.placement import Need, Placed, TargetState, place

ONCE = Need(False, objective_s=2.5, left_s=2.5, usual_s=0.6, megabytes=0.004)
AGAIN = Need(True, objective_s=2.5, left_s=2.5, usual_s=0.6, megabytes=0.0004)
CALL = Need(True, objective_s=0.6, left_s=0.6, usual_s=0.14, megabytes=0.0004)
DOWNLOAD = Need(True, objective_s=2.5, left_s=2.5, usual_s=0.4, megabytes=0.09)


def _state(
    target: str,
    *,
    health: float = 0.95,
    wants_trial: bool = True,
    in_use: int = 1,
    wait_s: float = 0.0,
    distance: int = 2,
    shed: float = 0.0,
) -> TargetState:
    candidate = Candidate(target, f"node-of-{target}", distance, 1.0, 5)
    return TargetState(candidate, health, wants_trial, in_use, 5, wait_s, shed)


def _name(placed: Placed | None) -> str | None:
    return None if placed is None else placed.state.candidate.target


class PlacementTest(testtools.TestCase):
    def test_fast_failing_target_beside_busy_ones(self) -> None:
        """Guards against the pull of a failing target, which is always idle."""
        states = [_state("failing", health=0.1, in_use=0), _state("busy", in_use=4)]
        self.assertThat(_name(place(states, ONCE)), Equals("busy"))

    def test_work_that_may_not_be_repeated_goes_where_work_went_well_last(self) -> None:
        """Guards against spreading bookings evenly over fresh and stale beliefs."""
        states = [_state("stale", health=0.85, in_use=0), _state("fresh", health=0.98)]
        self.assertThat(_name(place(states, ONCE)), Equals("fresh"))

    def test_work_that_may_be_repeated_tries_a_target_after_its_spell(self) -> None:
        """Guards against failing targets to which only bookings ever return."""
        states = [_state("sound", health=0.99), _state("after-spell", health=0.5)]
        self.assertThat(_name(place(states, AGAIN)), Equals("after-spell"))

    def test_target_that_failed_just_now_is_left_alone(self) -> None:
        """Guards against a retry budget spent on a spell that has just begun."""
        states = [_state("sound", health=0.99), _state("failing", health=0.05)]
        self.assertThat(_name(place(states, AGAIN)), Equals("sound"))

    def test_target_on_trial_is_left_out(self) -> None:
        """Guards against attempts that the owner refuses while a trial runs."""
        states = [_state("on-trial", health=0.5, wants_trial=False)]
        self.assertThat(place(states, AGAIN), Is(None))

    def test_large_answers_stay_in_their_failure_domain(self) -> None:
        """Guards against downloads that cross domains for a little more certainty."""
        states = [_state("far", health=0.99), _state("near", health=0.9, distance=1)]
        self.assertThat(_name(place(states, DOWNLOAD)), Equals("near"))

    def test_small_work_crosses_domains_for_a_sounder_target(self) -> None:
        """Guards against bookings lost at home while others would serve them."""
        states = [_state("far", health=0.98), _state("near", health=0.7, distance=1)]
        self.assertThat(_name(place(states, ONCE)), Equals("far"))

    def test_queue_at_the_soundest_target(self) -> None:
        """Guards against a queue behind one target while others are nearly as sound."""
        states = [_state("queue", health=0.99, wait_s=2.2), _state("free", health=0.9)]
        self.assertThat(_name(place(states, ONCE)), Equals("free"))

    def test_calls_at_a_crest_do_not_go_where_they_fail(self) -> None:
        """Guards against failing targets that look better than any queue."""
        states = [
            _state("queue", health=0.99, wait_s=2.7, in_use=5),
            _state("failing", health=0.07, in_use=0),
        ]
        for need in (CALL, CALL._replace(may_trial=False, left_s=-1.0)):
            self.assertThat(_name(place(states, need)), Equals("queue"))

    def test_one_target_sheds_beside_others_with_short_queues(self) -> None:
        """Guards against the pull of a target that sheds, which has free slots."""
        states = [
            _state("sheds", shed=0.6, in_use=1),
            _state("queue", wait_s=0.4, in_use=5),
        ]
        self.assertThat(_name(place(states, ONCE)), Equals("queue"))

    def test_long_queue_beside_a_target_that_sheds(self) -> None:
        """Guards against late answers where a retry would have been in time."""
        states = [
            _state("sheds", shed=0.4, in_use=1),
            _state("queue", wait_s=2.2, in_use=5),
        ]
        self.assertThat(_name(place(states, ONCE)), Equals("sheds"))
        broke = ONCE._replace(may_retry=False)
        self.assertThat(
            _name(place([states[0], _state("busy", wait_s=1.0)], broke)), Equals("busy")
        )

    def test_queue_that_its_owner_would_refuse(self) -> None:
        """Guards against a booking refused for a queue beside a free, older belief."""
        states = [_state("queue", health=0.99, wait_s=1.4), _state("free", health=0.88)]
        self.assertThat(_name(place(states, ONCE)), Equals("free"))

    def test_a_wait_that_is_in_time_is_better_than_doubt(self) -> None:
        """Guards against bookings lost at a doubted target to save half a second."""
        states = [_state("queue", health=0.98, wait_s=0.5), _state("doubt", health=0.8)]
        self.assertThat(_name(place(states, ONCE)), Equals("queue"))
