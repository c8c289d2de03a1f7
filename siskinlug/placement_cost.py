"""Expected cost of placing a request at a target, and the target that minimizes it.

Costs are expected losses as a share of the value of a request.
"""

from collections.abc import Iterable
from typing import NamedTuple

from siskinlug.deadline_queue import WAIT_MARGIN
from siskinlug.health_estimate import TRIAL_THRESHOLD
from siskinlug.load_balancing import Candidate

# Traffic between failure domains costs 4,300 times the value of a request per gigabyte.
CROSS_DOMAIN_COST_PER_MB = 4.3
# A failed first attempt of an idempotent request takes time and part of the retry
# budget, and the second attempt may fail as well.
FAILED_ATTEMPT_COST = 0.12
# Value of the information gained by a trial, per unit of variance of the health
# estimate.
TRIAL_VALUE = 0.5
# Cost of a wait as long as the objective or longer if the response is still in time.
WAIT_COST = 0.15
# A late response is worth 0.3 of one in time. WAIT_COST and LATE_COST together stay
# below the cost of a failure, so that a wait never makes a failing target look better
# than a healthy one.
LATE_COST = 0.6
# Cost of each time that the target has refused this request before.
REFUSAL_COST = 0.3
# A shed request costs a retry and a round trip. Without retry budget the request itself
# is lost.
SHED_COST = 0.15
SHED_WITHOUT_RETRY_COST = 0.9
# Breaks ties between similar targets in favor of the one with more free slots.
UTILIZATION_COST = 0.02


# A request that is not idempotent waits for a target with at least this health.
MIN_HEALTH_NOT_IDEMPOTENT = 0.85
# Minimum health for the same request once its share of waiting time is used up.
MIN_HEALTH_AFTER_WAIT = 0.1


class TargetState(NamedTuple):
    """State of a target as reported by its owner in the current poll.

    Attributes:
        candidate: The target.
        health: Probability that the target is healthy.
        wants_trial: Whether the target accepts a trial by an idempotent request.
        in_use: Slots in use.
        slots: Slots of the target.
        wait_s: Expected wait of a new request, in seconds.
        shed: Share of requests that the target sheds without running them.
        refusals: How often the target has refused this request before.
        untested: Whether its owner has observed nothing of it yet.
    """

    candidate: Candidate
    health: float
    wants_trial: bool
    in_use: int
    slots: int
    wait_s: float
    shed: float = 0.0
    refusals: int = 0
    untested: bool = False


class RequestProfile(NamedTuple):
    """Properties of a request that the cost of a target depends on.

    Attributes:
        may_trial: Whether the request may be a trial of an unhealthy target: it is
            idempotent, has a retry left and the retry budget has enough credit.
        objective_s: Time within which a response has its full value, in seconds.
        remaining_s: Time left until the objective, in seconds; negative if missed.
        usual_service_time_s: Usual service time of the route, in seconds.
        transfer_mb: Expected size of request and response, in megabytes.
        may_retry: Whether the retry budget has credit for another attempt.
    """

    may_trial: bool
    objective_s: float
    remaining_s: float
    usual_service_time_s: float
    transfer_mb: float
    may_retry: bool = True


class ScoredTarget(NamedTuple):
    """A target and the cost of placing a request there.

    Attributes:
        state: State of the target.
        cost: Expected loss, as a share of the value of the request.
    """

    state: TargetState
    cost: float


def overhead_cost(state: TargetState, profile: RequestProfile) -> float:
    """Return the cost of a target if the attempt succeeds.

    It covers wait, lateness, utilization, shedding, earlier refusals and distance.

    Args:
        state: State of the target.
        profile: The request.
    """
    cost = WAIT_COST * min(state.wait_s / max(profile.objective_s, 0.01), 1.0)
    # The owner decides by the same rule on arrival whether the request is late.
    lateness_s = (
        WAIT_MARGIN * state.wait_s + profile.usual_service_time_s - profile.remaining_s
    )
    if state.wait_s > 0 and lateness_s > 0:
        cost += LATE_COST * min(
            lateness_s / max(profile.usual_service_time_s, 0.01), 1.0
        )
    cost += UTILIZATION_COST * state.in_use / max(state.slots, 1)
    cost += state.shed * (SHED_COST if profile.may_retry else SHED_WITHOUT_RETRY_COST)
    cost += REFUSAL_COST * state.refusals
    if state.candidate.distance > 1:
        cost += CROSS_DOMAIN_COST_PER_MB * profile.transfer_mb
    return cost


def is_healthy_enough(
    state: TargetState, *, idempotent: bool, after_wait: bool
) -> bool:
    """Return whether to place a request at the target now or to wait for another one.

    After the start of a fleet no target is known to be healthy. If all requests that
    are not idempotent waited then, most targets would stay idle. One request for each
    target is risked instead, and its outcome is known at once.

    Args:
        state: The target with the lowest cost.
        idempotent: Whether the request may be run more than once.
        after_wait: Whether the request has used up its share of waiting time.
    """
    if idempotent or _is_idle_untested(state):
        return True
    return state.health >= (
        MIN_HEALTH_AFTER_WAIT if after_wait else MIN_HEALTH_NOT_IDEMPOTENT
    )


def select_min_cost(
    states: Iterable[TargetState], profile: RequestProfile
) -> ScoredTarget | None:
    """Select the target with the lowest cost.

    If the request may be a trial, each cost includes a retry at the best target in case
    the first attempt fails.

    Args:
        states: Polled targets in random order; the first of equal cost is selected.
        profile: The request.

    Returns:
        The target and its cost, or ``None`` if no target accepts the request now.
    """
    states = _untested_if_most(list(states))
    # While a trial runs at an unhealthy target, its owner refuses all other requests.
    accepting = [s for s in states if s.health >= TRIAL_THRESHOLD or s.wants_trial]
    if not accepting:
        return None
    single_attempts = [
        ScoredTarget(state, overhead_cost(state, profile) + 1.0 - state.health)
        for state in accepting
    ]
    best = min(single_attempts, key=lambda scored: scored.cost)
    if not profile.may_trial:
        return best
    with_retries = [
        _score_with_retry(scored, profile, best.cost) for scored in single_attempts
    ]
    return min(with_retries, key=lambda scored: scored.cost)


def _untested_if_most(states: list[TargetState]) -> list[TargetState]:
    """Return only the idle untested targets if these are half of all or more.

    Otherwise the first few targets that prove healthy would get all requests.
    """
    untested = [state for state in states if _is_idle_untested(state)]
    return untested if 2 * len(untested) >= len(states) else states


def _is_idle_untested(state: TargetState) -> bool:
    # An idle target with a wait has named a limit on its request rate.
    return state.untested and state.in_use == 0 and state.wait_s <= 0.0


def _score_with_retry(
    scored: ScoredTarget, profile: RequestProfile, retry_cost: float
) -> ScoredTarget:
    """Return a target with the cost of an attempt and, if that fails, of a retry.

    Args:
        scored: The target of the first attempt.
        profile: The request.
        retry_cost: Cost of the retry at the best target.

    Returns:
        The same target with its new cost, reduced by the value of a trial.
    """
    state = scored.state
    failure_probability = 1.0 - state.health
    cost = overhead_cost(state, profile) + failure_probability * (
        FAILED_ATTEMPT_COST + retry_cost
    )
    if state.wants_trial:
        cost -= TRIAL_VALUE * state.health * failure_probability
    return ScoredTarget(state, cost)
