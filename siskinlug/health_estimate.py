"""Estimate of a target's health, kept by its owner: the chance that it works.

A target with a gray failure alternates between healthy and failing periods, which
neither its health path nor a lack of responses reveals. The estimate is a hidden
Markov model with two states (Rabiner 1989): each observation shifts the probability,
and without observations it decays to the baseline. One response is thus enough to act
on, and an old one loses its weight.
"""

import asyncio
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from typing import NamedTuple

# A third of the targets fail at any time, in periods of 4 to 15 s.
BASELINE_HEALTH = 0.7
# Time constant with which the estimate decays to the baseline.
DECAY_TIME_S = 4.5
# A failing target returns its error within a few milliseconds, so a request that still
# runs after this time shows that the target works.
WORKING_AFTER_S = 0.05
# A request counts as stalled after this many times its usual service time.
STALL_RATIO = 4.0
STALL_MIN_S = 0.5
# Weight of the latest response in the share of shed requests: targets get 2 to 5
# requests a second, so the last four responses count most.
_SHED_WEIGHT = 0.25
# Keeps the estimate away from 0 and 1, where it would respond too late to a change.
_HEALTH_MIN = 0.005
# Below this health a target gets one request at a time, as a trial.
TRIAL_THRESHOLD = 0.6
# Minimum time between two trials, unless the first one succeeds earlier.
TRIAL_PAUSE_S = 0.4


class Observation(Enum):
    """An observation of a target, with its likelihood if failing and if healthy.

    A failing target returns an error to about 85 in 100 requests, a healthy one to 1
    or 2 in 100. An error after some work often comes from a call that the target made,
    so it is weaker evidence against the target itself.

    Attributes:
        WORKS: A response that is not a server error, or a request that still runs.
        FAST_ERROR: A server error after a short time.
        LATE_ERROR: A server error after some work.
        LOST: No response, or only part of one.
        STALLED: A request that runs for much longer than usual.
        UNREACHABLE: No connection, or another target at the address.
    """

    WORKS = (0.15, 0.98)
    FAST_ERROR = (0.85, 0.02)
    LATE_ERROR = (0.4, 0.1)
    LOST = (0.6, 0.03)
    STALLED = (0.4, 0.06)
    UNREACHABLE = (0.9, 0.005)


class HealthEstimate:
    """Health of one target as of the last observation; see ``make_health_estimate``."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.health = BASELINE_HEALTH
        # Whether no observation was made yet.
        self.untested = True
        self.updated_at = monotonic()
        # Until this time an unhealthy target gets no further trial.
        self.next_trial_at = -math.inf
        # Number of requests that are running and have stalled.
        self.stalled_requests = 0
        # Share of requests that the target sheds, as of the last response.
        self.shed_share = 0.0
        self.shed_updated_at = self.updated_at


class HealthSummary(NamedTuple):
    """Health of a target as reported to entries.

    Attributes:
        health: Probability that the target is healthy, 0 to 1.
        wants_trial: Whether an unhealthy target may be tried with a request that is
            safe to repeat.
        shed: Share of requests that it sheds without running them, 0 to 1.
        untested: Whether nothing was observed of it since its node started.
    """

    health: float
    wants_trial: bool
    shed: float
    untested: bool = False


def make_health_estimate(*, monotonic: Callable[[], float]) -> HealthEstimate:
    """Build the estimate of a target without observations, at the baseline.

    Args:
        monotonic: Monotonic clock in seconds.
    """
    return HealthEstimate(monotonic=monotonic)


def current_health(estimate: HealthEstimate) -> float:
    """Return the probability that the target is healthy now, 0 to 1."""
    age_s = max(estimate.monotonic() - estimate.updated_at, 0.0)
    remaining_weight = math.exp(-age_s / DECAY_TIME_S)
    return BASELINE_HEALTH + (estimate.health - BASELINE_HEALTH) * remaining_weight


def update_health(estimate: HealthEstimate, observation: Observation) -> float:
    """Update the estimate with an observation made now, and return the new health."""
    if_failing, if_healthy = observation.value
    health = current_health(estimate)
    good, bad = health * if_healthy, (1.0 - health) * if_failing
    estimate.health = min(max(good / (good + bad), _HEALTH_MIN), 1.0 - _HEALTH_MIN)
    estimate.updated_at = estimate.monotonic()
    estimate.untested = False
    if observation is Observation.WORKS:
        # After a successful trial, the next one may follow at once.
        estimate.next_trial_at = -math.inf
    return estimate.health


def health_summary(estimate: HealthEstimate) -> HealthSummary:
    """Return the health of the target as reported to entries."""
    wants_trial = estimate.monotonic() >= estimate.next_trial_at
    return HealthSummary(
        current_health(estimate),
        wants_trial,
        current_shed_share(estimate),
        estimate.untested,
    )


def current_shed_share(estimate: HealthEstimate) -> float:
    """Return the share of requests that the target sheds now, 0 to 1."""
    age_s = max(estimate.monotonic() - estimate.shed_updated_at, 0.0)
    return estimate.shed_share * math.exp(-age_s / DECAY_TIME_S)


def record_shed(estimate: HealthEstimate, *, shed: bool) -> float:
    """Record whether a request was shed, and return the share of shed requests.

    Shedding does not lower the health: a shed request has not run and costs only a
    retry elsewhere. If all targets of a pool shed and each got only trials, most of
    their slots would stay unused.
    """
    share = current_shed_share(estimate)
    estimate.shed_share = share + _SHED_WEIGHT * (shed - share)
    estimate.shed_updated_at = estimate.monotonic()
    return estimate.shed_share


def admit_request(estimate: HealthEstimate, *, min_health: float) -> bool:
    """Decide whether a request may be sent to the target now.

    Args:
        estimate: The owner's health estimate of the target.
        min_health: Health below which the entry prefers another target, 0 to 1.

    Returns:
        Whether it may; a request to an unhealthy target counts as its trial.
    """
    health = current_health(estimate)
    if health < min_health:
        return False
    now = estimate.monotonic()
    if health < TRIAL_THRESHOLD:
        if now < estimate.next_trial_at:
            return False
        estimate.next_trial_at = now + TRIAL_PAUSE_S
    return True


class RequestWatch:
    """State of a request while it runs at a target; see ``watch_request``.

    Attributes:
        waiting: Whether the response has not begun; cleared by the caller.
        reported_working: Whether ``WORKS`` was reported and has not been superseded by
            ``STALLED``.
        stalled: Whether the request has stalled.
    """

    def __init__(self) -> None:
        self.waiting = True
        self.reported_working = False
        self.stalled = False


@contextmanager
def watch_request(
    estimate: HealthEstimate,
    report: Callable[[Observation], object],
    usual_s: float | None,
) -> Iterator[RequestWatch]:
    """Report observations of a target that follow from the run time of a request.

    A request that still runs after ``WORKING_AFTER_S`` shows a working target, and one
    that runs for much longer than usual a stalled one.

    Args:
        estimate: The health estimate of the target.
        report: Called with each observation.
        usual_s: Usual service time of the request's route in seconds, if known.

    Yields:
        The state of the request; clear ``waiting`` when the response begins.
    """
    loop = asyncio.get_running_loop()
    watch = RequestWatch()

    def report_working() -> None:
        # Beside a stalled request, a running one may be hanging too.
        if watch.waiting and not estimate.stalled_requests:
            watch.reported_working = True
            report(Observation.WORKS)

    def report_stalled() -> None:
        if watch.waiting:
            watch.reported_working = False
            watch.stalled = True
            estimate.stalled_requests += 1
            report(Observation.STALLED)

    timers = [loop.call_later(WORKING_AFTER_S, report_working)]
    if usual_s is not None:
        bound_s = max(usual_s * STALL_RATIO, STALL_MIN_S)
        timers.append(loop.call_later(bound_s, report_stalled))
    try:
        yield watch
    finally:
        for timer in timers:
            timer.cancel()
        estimate.stalled_requests -= watch.stalled
