"""Belief of an owner in its target: how likely the next request there succeeds.

Targets with gray failures change between two states, sound and failing, and neither
their health path nor the absence of answers shows which. Each answer shifts the
probability (a hidden Markov model with two states, Rabiner 1989), and without answers
it drifts back to the usual share, so that one answer already counts and an old one no
longer does.
"""

import asyncio
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from typing import NamedTuple

# Share of the targets that fail at any time, and how long it takes to forget a state:
# spells of failures last 4 to 15 s with a third of the targets in one (bench notes).
BASELINE_HEALTH = 0.7
DECAY_TIME_S = 4.5
# A failing target answers with an error within a few milliseconds (bench notes), so
# a request that still runs after this time shows a target that works.
WORKING_AFTER_S = 0.05
# A request that runs this many times as long as usual has stalled.
STALL_RATIO = 4.0
STALL_MIN_S = 0.5
# Weight of the latest answer in the share of requests that a target sheds: targets
# see 2 to 5 requests a second (bench notes), so the last four answers count most.
_SHED_WEIGHT = 0.25
# Neither state is ever certain, or a change of state would be noticed too late.
_HEALTH_MIN = 0.005


class Observation(Enum):
    """What was seen of a target, with its probability if it fails and if it is sound.

    A failing target answers about 85 in 100 requests with an error, a sound one 1 or 2
    in 100 (bench notes). An error after some work often comes from a call that the
    target made, so it says less of the target itself.
    """

    WORKS = (0.15, 0.98)
    FAST_ERROR = (0.85, 0.02)
    LATE_ERROR = (0.4, 0.1)
    LOST = (0.6, 0.03)
    STALLED = (0.4, 0.06)
    UNREACHABLE = (0.9, 0.005)


class HealthEstimate:
    """Probability that a target is sound, as of the last sign."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.health = BASELINE_HEALTH
        self.at = monotonic()
        # No other request tries a doubted target before this time.
        self.trial_until = -math.inf
        # Requests that run for much longer than usual now.
        self.stalled = 0
        # Share of requests that the target sheds, as of the last answer.
        self.shed = 0.0
        self.shed_at = self.at


class HealthSummary(NamedTuple):
    """What entries are told of a target.

    Attributes:
        sound: Probability that the target is sound.
        wants_trial: Whether a request that may be repeated may try a doubted target.
        shed: Share of requests that it turns away unrun.
    """

    health: float
    wants_trial: bool
    shed: float


# Below this probability a target gets one request at a time to show what it does.
TRIAL_THRESHOLD = 0.6
# Pause after a trial until the next one, unless its outcome is known before.
TRIAL_PAUSE_S = 0.4


def make_health_estimate(*, monotonic: Callable[[], float]) -> HealthEstimate:
    """Make the belief in a target of which nothing was seen yet.

    Args:
        monotonic: Clock in seconds.
    """
    return HealthEstimate(monotonic=monotonic)


def current_health(estimate: HealthEstimate) -> float:
    """Return the probability that the target is sound now."""
    age_s = max(estimate.monotonic() - estimate.at, 0.0)
    kept = math.exp(-age_s / DECAY_TIME_S)
    return BASELINE_HEALTH + (estimate.health - BASELINE_HEALTH) * kept


def update_health(estimate: HealthEstimate, observation: Observation) -> float:
    """Shift the belief by what was seen now, and return it."""
    if_failing, if_sound = observation.value
    health = current_health(estimate)
    good, bad = health * if_sound, (1.0 - health) * if_failing
    estimate.health = min(max(good / (good + bad), _HEALTH_MIN), 1.0 - _HEALTH_MIN)
    estimate.at = estimate.monotonic()
    if observation is Observation.WORKS:
        # The next trial need not wait when one has just gone well.
        estimate.trial_until = -math.inf
    return estimate.health


def health_summary(estimate: HealthEstimate) -> HealthSummary:
    """Return what entries are told of the target."""
    wants = estimate.monotonic() >= estimate.trial_until
    return HealthSummary(current_health(estimate), wants, current_shed_share(estimate))


def current_shed_share(estimate: HealthEstimate) -> float:
    """Return the share of requests that the target sheds now."""
    age_s = max(estimate.monotonic() - estimate.shed_at, 0.0)
    return estimate.shed * math.exp(-age_s / DECAY_TIME_S)


def record_shed(estimate: HealthEstimate, *, shed: bool) -> float:
    """Count an answer as shed or not, and return the share of requests shed.

    A request that was shed has not run and may be tried elsewhere at the price of a
    retry, so shedding does not make a target doubted: if all targets of a pool shed,
    trials alone would leave most of their slots unused.
    """
    share = current_shed_share(estimate)
    estimate.shed = share + _SHED_WEIGHT * (shed - share)
    estimate.shed_at = estimate.monotonic()
    return estimate.shed


def admit_request(estimate: HealthEstimate, *, min_health: float) -> bool:
    """Decide whether a request may be sent to the target now.

    Args:
        estimate: The owner's estimate of the health of the target.
        min_health: Probability below which the entry prefers another target.

    Returns:
        Whether it may; a request to a doubted target counts as its trial.
    """
    health = current_health(estimate)
    if health < min_health:
        return False
    now = estimate.monotonic()
    if health < TRIAL_THRESHOLD:
        if now < estimate.trial_until:
            return False
        estimate.trial_until = now + TRIAL_PAUSE_S
    return True


class RequestWatch:
    """What a request that runs at a target has shown so far; see ``watch_work``."""

    def __init__(self) -> None:
        self.waiting = True
        self.reported_working = False
        self.stalled = False


@contextmanager
def watch_request(
    estimate: HealthEstimate,
    note: Callable[[Observation], object],
    usual_s: float | None,
) -> Iterator[RequestWatch]:
    """Take signs from a request while it runs at the target.

    Args:
        estimate: The health estimate of the target.
        note: Called with each sign.
        usual_s: Usual service time of the request's route in seconds, if known.

    Yields:
        The watch; ``waiting`` is to be cleared when the answer begins.
    """
    loop = asyncio.get_running_loop()
    watch = RequestWatch()

    def works() -> None:
        # Beside stalled requests one more that runs shows nothing.
        if watch.waiting and not estimate.stalled:
            watch.reported_working = True
            note(Observation.WORKS)

    def stalls() -> None:
        if watch.waiting:
            watch.reported_working = False
            watch.stalled = True
            estimate.stalled += 1
            note(Observation.STALLED)

    timers = [loop.call_later(WORKING_AFTER_S, works)]
    if usual_s is not None:
        bound_s = max(usual_s * STALL_RATIO, STALL_MIN_S)
        timers.append(loop.call_later(bound_s, stalls))
    try:
        yield watch
    finally:
        for timer in timers:
            timer.cancel()
        estimate.stalled -= watch.stalled
