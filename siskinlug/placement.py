"""Placement: which of the targets that were asked gets a request."""

from collections.abc import Iterable
from typing import NamedTuple

from siskinlug.choice import Candidate
from siskinlug.deadline_queue import WAIT_MARGIN
from siskinlug.health_estimate import TRIAL_THRESHOLD

# Share of a request's worth that a megabyte between failure domains costs the users:
# 4,300 for a gigabyte on both price lists.
CROSS_DOMAIN_COST_PER_MB = 4.3
# Cost of a failed first attempt of a request that may be repeated: it takes part of
# the retry budget and time, and the second attempt may fail as well.
REPEAT_COST = 0.12
# What is learned by a trial, for each unit of the belief's variance.
TRIAL_GAIN = 0.5
# Cost of a wait as long as the objective or longer, while the answer is still in time.
WAIT_COST = 0.15
# Cost of an answer after its objective: late ones are worth 0.3 on the users' sheets.
# A wait thus never makes a target that fails look better than one that is sound.
LATE_COST = 0.6
# Cost of a target that refused this very request before.
REFUSAL_COST = 0.3
# Cost of being shed: it takes a retry and a round trip, or, where the retry budget is
# used up, the request itself.
SHED_COST = 0.15
SHED_FINAL_COST = 0.9
# Decides between targets that are alike: the one with more free slots.
USE_COST = 0.02


class TargetState(NamedTuple):
    """What the owner of a target said of it just now.

    Attributes:
        candidate: The target.
        health: Probability that it is healthy.
        wants_trial: Whether it may be tried by a request that may be repeated.
        in_use: Slots taken.
        slots: Slots of the target.
        wait_s: Expected wait of a new request, in seconds.
        shed: Share of requests that it turns away unrun.
        refusals: Times that this request was refused there.
    """

    candidate: Candidate
    health: float
    wants_trial: bool
    in_use: int
    slots: int
    wait_s: float
    shed: float = 0.0
    refusals: int = 0


class Need(NamedTuple):
    """What matters of a request when it is placed.

    Attributes:
        may_trial: Whether it may try a doubted target: it may be repeated, and this is
            neither its first nor its only attempt.
        objective_s: Time within which its answer is of full use, in seconds.
        left_s: What is left of that time.
        usual_s: Usual time of the work, in seconds.
        megabytes: Expected size of request and answer, in megabytes.
        may_retry: Whether the retry budget has room for another attempt.
    """

    may_trial: bool
    objective_s: float
    left_s: float
    usual_s: float
    megabytes: float
    may_retry: bool = True


class Placed(NamedTuple):
    """A target chosen for a request.

    Attributes:
        state: The target.
        cost: Expected loss, as a share of the request's worth.
    """

    state: TargetState
    cost: float


def cost_of_reaching(state: TargetState, need: Need) -> float:
    """Return the expected loss by wait, load and distance at a target."""
    cost = WAIT_COST * min(state.wait_s / max(need.objective_s, 0.01), 1.0)
    # As its owner will judge it on arrival.
    late_s = WAIT_MARGIN * state.wait_s + need.usual_s - need.left_s
    if state.wait_s > 0 and late_s > 0:
        cost += LATE_COST * min(late_s / max(need.usual_s, 0.01), 1.0)
    cost += USE_COST * state.in_use / max(state.slots, 1)
    cost += state.shed * (SHED_COST if need.may_retry else SHED_FINAL_COST)
    cost += REFUSAL_COST * state.refusals
    if state.candidate.distance > 1:
        cost += CROSS_DOMAIN_COST_PER_MB * need.megabytes
    return cost


def place(states: Iterable[TargetState], need: Need) -> Placed | None:
    """Choose the target with the least expected loss.

    Args:
        states: Targets that answered, in random order; the first of equals is chosen.
        need: The request.

    Returns:
        The target, or ``None`` if none answered that takes the request now.
    """
    # While a trial runs at a doubted target its owner refuses all others.
    open_states = [s for s in states if s.health >= TRIAL_THRESHOLD or s.wants_trial]
    if not open_states:
        return None
    once = [
        Placed(state, cost_of_reaching(state, need) + 1.0 - state.health)
        for state in open_states
    ]
    surest = min(once, key=lambda placed: placed.cost)
    if not need.may_trial:
        return surest
    trials = [_with_second_attempt(placed, need, surest.cost) for placed in once]
    return min(trials, key=lambda placed: placed.cost)


def _with_second_attempt(placed: Placed, need: Need, second_cost: float) -> Placed:
    """Return a placement whose failure is followed by the surest attempt of all."""
    state = placed.state
    failing = 1.0 - state.health
    cost = cost_of_reaching(state, need) + failing * (REPEAT_COST + second_cost)
    if state.wants_trial:
        cost -= TRIAL_GAIN * state.health * failing
    return Placed(state, cost)
