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
USUAL_SOUND = 0.7
FORGET_S = 4.5
# A failing target answers with an error within a few milliseconds (bench notes), so
# a request that still runs after this time shows a target that works.
WORKS_AFTER_S = 0.05
# A request that runs this many times as long as usual has stalled.
STALL_RATIO = 4.0
STALL_LEAST_S = 0.5
# Weight of the latest answer in the share of requests that a target sheds: targets
# see 2 to 5 requests a second (bench notes), so the last four answers count most.
_SHED_WEIGHT = 0.25
# Neither state is ever certain, or a change of state would be noticed too late.
_LEAST = 0.005


class Sign(Enum):
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


class Belief:
    """Probability that a target is sound, as of the last sign."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.sound = USUAL_SOUND
        self.at = monotonic()
        # No other request tries a doubted target before this time.
        self.trial_until = -math.inf
        # Requests that run for much longer than usual now.
        self.stalled = 0
        # Share of requests that the target sheds, as of the last answer.
        self.shed = 0.0
        self.shed_at = self.at


class Standing(NamedTuple):
    """What entries are told of a target.

    Attributes:
        sound: Probability that the target is sound.
        wants_trial: Whether a request that may be repeated may try a doubted target.
        shed: Share of requests that it turns away unrun.
    """

    sound: float
    wants_trial: bool
    shed: float


# Below this probability a target gets one request at a time to show what it does.
TRIAL_BELOW = 0.6
# Pause after a trial until the next one, unless its outcome is known before.
TRIAL_PAUSE_S = 0.4


def make_belief(*, monotonic: Callable[[], float]) -> Belief:
    """Make the belief in a target of which nothing was seen yet.

    Args:
        monotonic: Clock in seconds.
    """
    return Belief(monotonic=monotonic)


def probability_sound(belief: Belief) -> float:
    """Return the probability that the target is sound now."""
    age_s = max(belief.monotonic() - belief.at, 0.0)
    kept = math.exp(-age_s / FORGET_S)
    return USUAL_SOUND + (belief.sound - USUAL_SOUND) * kept


def see(belief: Belief, sign: Sign) -> float:
    """Shift the belief by what was seen now, and return it."""
    if_failing, if_sound = sign.value
    sound = probability_sound(belief)
    good, bad = sound * if_sound, (1.0 - sound) * if_failing
    belief.sound = min(max(good / (good + bad), _LEAST), 1.0 - _LEAST)
    belief.at = belief.monotonic()
    if sign is Sign.WORKS:
        # The next trial need not wait when one has just gone well.
        belief.trial_until = -math.inf
    return belief.sound


def standing_of(belief: Belief) -> Standing:
    """Return what entries are told of the target."""
    wants = belief.monotonic() >= belief.trial_until
    return Standing(probability_sound(belief), wants, share_shed(belief))


def share_shed(belief: Belief) -> float:
    """Return the share of requests that the target sheds now."""
    age_s = max(belief.monotonic() - belief.shed_at, 0.0)
    return belief.shed * math.exp(-age_s / FORGET_S)


def note_shed(belief: Belief, *, shed: bool) -> float:
    """Count an answer as shed or not, and return the share of requests shed.

    A request that was shed has not run and may be tried elsewhere at the price of a
    retry, so shedding does not make a target doubted: if all targets of a pool shed,
    trials alone would leave most of their slots unused.
    """
    share = share_shed(belief)
    belief.shed = share + _SHED_WEIGHT * (shed - share)
    belief.shed_at = belief.monotonic()
    return belief.shed


def admit(belief: Belief, *, least_sound: float) -> bool:
    """Decide whether a request may be sent to the target now.

    Args:
        belief: The owner's belief in the target.
        least_sound: Probability below which the entry prefers another target.

    Returns:
        Whether it may; a request to a doubted target counts as its trial.
    """
    sound = probability_sound(belief)
    if sound < least_sound:
        return False
    now = belief.monotonic()
    if sound < TRIAL_BELOW:
        if now < belief.trial_until:
            return False
        belief.trial_until = now + TRIAL_PAUSE_S
    return True


class WorkWatch:
    """What a request that runs at a target has shown so far; see ``watch_work``."""

    def __init__(self) -> None:
        self.waiting = True
        self.counted = False
        self.stalled = False


@contextmanager
def watch_work(
    belief: Belief, note: Callable[[Sign], object], usual_s: float | None
) -> Iterator[WorkWatch]:
    """Take signs from a request while it runs at the target.

    Args:
        belief: The belief in the target.
        note: Called with each sign.
        usual_s: Usual service time of the request's route in seconds, if known.

    Yields:
        The watch; ``waiting`` is to be cleared when the answer begins.
    """
    loop = asyncio.get_running_loop()
    watch = WorkWatch()

    def works() -> None:
        # Beside stalled requests one more that runs shows nothing.
        if watch.waiting and not belief.stalled:
            watch.counted = True
            note(Sign.WORKS)

    def stalls() -> None:
        if watch.waiting:
            watch.counted = False
            watch.stalled = True
            belief.stalled += 1
            note(Sign.STALLED)

    timers = [loop.call_later(WORKS_AFTER_S, works)]
    if usual_s is not None:
        bound_s = max(usual_s * STALL_RATIO, STALL_LEAST_S)
        timers.append(loop.call_later(bound_s, stalls))
    try:
        yield watch
    finally:
        for timer in timers:
            timer.cancel()
        belief.stalled -= watch.stalled
