"""Evidence of a target's health, from the outcomes of real requests only.

Each scope (one route, or all of them) has two one-sided cumulative sums (CUSUM,
Page 1954): one over failed requests and one over the logarithm of the service time
relative to the usual one. Either alarms at its threshold, where the score is 1.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

ALL_ROUTES = "*"

# Log-likelihood ratios of 20 % against 0.5 % failed requests.
_FAILED_STEP = math.log(0.20 / 0.005)
_PASSED_STEP = math.log(0.80 / 0.995)
# A refused or cut connection is rarer on a healthy target than an error answer.
_HARD_STEP = 4.3
# Three failures in a row alarm. In a simulation at 10 requests/s 20 % alarms after 17
# requests (median) and 35 (p90), 1 % 0.4 times an hour, 0.1 % never in 40 hours.
_ERROR_THRESHOLD = 10.9
# Lies between the logarithms of 1x and 5x, so that the sum falls below 2.2x.
_SLOW_REFERENCE = math.log(2.2)
# The bounds keep one very long piece of work from raising the alarm alone.
_SLOW_STEP_MAX = 1.6
_SLOW_STEP_MIN = -1.6
_SLOW_THRESHOLD = 10.0
# A busy machine delays any request by a few milliseconds.
_NOISE_S = 0.002
# Failures that are far apart in time are not one fault.
_HALF_LIFE_S = 30.0
_RATIO_WEIGHT = 0.12
_USUAL_WEIGHT = 0.02
# The usual service time is learned only while the target does not look slow.
_USUAL_SCORE_MAX = 0.3
_RECENT_S = 10.0
# One route alone must not condemn the target: the sums of the other routes together
# have to reach this part of the threshold, which one stray error does not.
_OTHER_ROUTES_SCORE = 0.5
# Below this score of any route there is nothing to judge.
_SUSPICIOUS_SCORE = 0.5
_ROUTES_MAX = 64
# A request without a first byte for this many usual times makes the owner probe. Of
# lognormal times with p99 at 6.4 medians 0.2 % pass it.
_SILENCE_FACTOR = 10.0
_SILENCE_MIN_S = 0.2
# A target that has not answered yet may be starting.
_SILENCE_UNKNOWN_S = 2.0


class Outcome(NamedTuple):
    """The outcome of one request at a target, as its owner saw it.

    Answers with which a target sheds load, requests that a caller gave up and
    refusals of the owner itself are no outcomes and must not be observed.

    Attributes:
        route: Route name.
        ok: Whether the target gave a whole answer that is no server error.
        hard: Whether it was refused, reset, silent or cut.
        service_s: Time from writing the request to the answer's first byte, without
            the owner's queue.
        baseline_s: Median of the route at other targets as the entry saw it.
    """

    route: str
    ok: bool
    hard: bool
    service_s: float
    baseline_s: float | None


class AnomalyScore(NamedTuple):
    """What the evidence says of one scope.

    Attributes:
        score: 0 is healthy, 1 or more is an alarm.
        error_ratio: Recent part of requests that failed, 0 to 1.
        latency_ratio: Recent service time relative to the usual one.
        cause: ``hard``, ``errors``, ``latency`` or empty.
    """

    score: float
    error_ratio: float
    latency_ratio: float
    cause: str


NO_ANOMALY = AnomalyScore(0.0, 0.0, 1.0, "")


class _Scope:
    """The sums of one scope."""

    def __init__(self, now: float) -> None:
        self.errors = 0.0
        self.slow = 0.0
        self.error_ratio = 0.0
        self.log_ratio = 0.0
        self.hard_ratio = 0.0
        self.count = 0
        self.recent = 0.0
        self.last = now

    def age(self, now: float) -> None:
        elapsed = max(now - self.last, 0.0)
        decay = 0.5 ** (elapsed / _HALF_LIFE_S)
        self.errors *= decay
        self.slow *= decay
        self.recent *= math.exp(-elapsed / _RECENT_S)
        self.last = now

    def add(self, now: float, ok: bool, hard: bool, log_ratio: float | None) -> None:
        self.age(now)
        self.count += 1
        self.recent += 1.0
        step = _PASSED_STEP if ok else _HARD_STEP if hard else _FAILED_STEP
        self.errors = max(self.errors + step, 0.0)
        # The first observations count in full, later ones as a moving average.
        weight = max(1.0 / self.count, _RATIO_WEIGHT)
        self.error_ratio += weight * ((not ok) - self.error_ratio)
        self.hard_ratio += weight * (hard - self.hard_ratio)
        if log_ratio is not None:
            step = log_ratio - _SLOW_REFERENCE
            step = min(max(step, _SLOW_STEP_MIN), _SLOW_STEP_MAX)
            self.slow = max(self.slow + step, 0.0)
            self.log_ratio += weight * (log_ratio - self.log_ratio)

    def score(self) -> float:
        return max(self.errors / _ERROR_THRESHOLD, self.slow / _SLOW_THRESHOLD)

    def anomaly(self, score: float) -> AnomalyScore:
        cause = ""
        if self.errors / _ERROR_THRESHOLD >= self.slow / _SLOW_THRESHOLD > 0 or (
            self.errors > 0 and self.slow <= 0
        ):
            cause = "hard" if self.hard_ratio * 2 > self.error_ratio else "errors"
        elif self.slow > 0:
            cause = "latency"
        return AnomalyScore(score, self.error_ratio, math.exp(self.log_ratio), cause)


class Evidence:
    """The evidence of one target."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        now = monotonic()
        self.all_routes = _Scope(now)
        self.scope_by_route: dict[str, _Scope] = {}
        self.suspicious = False
        self.usual_log_s_by_route: dict[str, float] = {}


def make_evidence(*, monotonic: Callable[[], float]) -> Evidence:
    """Build the evidence of one target, which starts as healthy.

    Args:
        monotonic: Monotonic clock in seconds.
    """
    return Evidence(monotonic=monotonic)


def record_outcome(evidence: Evidence, outcome: Outcome) -> None:
    """Add the outcome of one real request."""
    now = evidence.monotonic()
    route = outcome.route
    if route not in evidence.scope_by_route:
        _add_route(evidence, route, now)
    log_ratio = None
    if outcome.ok:
        log_ratio = _log_ratio(evidence, outcome)
    add = (now, outcome.ok, outcome.hard, log_ratio)
    for scope in (evidence.scope_by_route[route], evidence.all_routes):
        scope.add(*add)
        if scope.score() >= _SUSPICIOUS_SCORE:
            evidence.suspicious = True


def anomaly_scores(evidence: Evidence) -> dict[str, AnomalyScore]:
    """Judge the target, by route and for all routes under ``*``.

    A route that fails alone raises only its own score: the score of ``*`` needs
    evidence of the other routes too. With only one route seen, ``*`` scores only
    refused, reset, silent and cut requests, which concern the whole target.
    """
    now = evidence.monotonic()
    scopes = [evidence.all_routes, *evidence.scope_by_route.values()]
    for scope in scopes:
        scope.age(now)
    anomaly_by_route = {
        route: scope.anomaly(scope.score())
        for route, scope in evidence.scope_by_route.items()
    }
    score = evidence.all_routes.score()
    if len(evidence.scope_by_route) > 1:
        score = min(score, _score_of_others(evidence) / _OTHER_ROUTES_SCORE)
    all_routes = evidence.all_routes.anomaly(score)
    if len(evidence.scope_by_route) == 1 and all_routes.cause != "hard":
        all_routes = all_routes._replace(score=0.0)
    anomaly_by_route[ALL_ROUTES] = all_routes
    evidence.suspicious = any(scope.score() >= _SUSPICIOUS_SCORE for scope in scopes)
    return anomaly_by_route


def is_suspicious(evidence: Evidence) -> bool:
    """Whether ``judge`` may find a score of one half or more; costs nothing."""
    return evidence.suspicious


def recent_request_count(evidence: Evidence, route: str) -> float:
    """Return how many requests of a route, or of ``*``, were observed lately.

    A request counts 1 at first and less with age, by a time constant of 10 s.
    """
    scope = evidence.all_routes
    if route != ALL_ROUTES:
        if route not in evidence.scope_by_route:
            return 0.0
        scope = evidence.scope_by_route[route]
    scope.age(evidence.monotonic())
    return scope.recent


def observed_request_count(evidence: Evidence, route: str) -> int:
    """Return how many requests of a route, or of ``*``, the evidence holds."""
    if route == ALL_ROUTES:
        return evidence.all_routes.count
    scope = evidence.scope_by_route.get(route)
    return 0 if scope is None else scope.count


def silence_bound_s(evidence: Evidence, route: str) -> float:
    """Return after how long without a first byte a target may be silent.

    A request that ends without a first byte before this time, such as one whose
    deadline was near when it left the queue, says nothing of the target.

    Returns:
        The time in seconds; 2 s while the usual time is unknown.
    """
    usual = evidence.usual_log_s_by_route.get(route)
    if usual is None:
        return _SILENCE_UNKNOWN_S
    return max(_SILENCE_FACTOR * math.exp(min(usual, 20.0)), _SILENCE_MIN_S)


def forget_scope(evidence: Evidence, route: str) -> None:
    """Drop the evidence of a route, or all with ``*``; usual times are kept.

    Called when a route is ejected, so that its failures do not count against the
    other routes, and when readmission starts, which new requests must judge.
    """
    now = evidence.monotonic()
    if route == ALL_ROUTES:
        evidence.all_routes = _Scope(now)
        evidence.scope_by_route.clear()
        return
    if evidence.scope_by_route.pop(route, None) is None:
        return
    errors = sum(scope.errors for scope in evidence.scope_by_route.values())
    slow = sum(scope.slow for scope in evidence.scope_by_route.values())
    evidence.all_routes.errors = min(evidence.all_routes.errors, errors)
    evidence.all_routes.slow = min(evidence.all_routes.slow, slow)


def _add_route(evidence: Evidence, route: str, now: float) -> None:
    if len(evidence.scope_by_route) >= _ROUTES_MAX:
        oldest = min(
            evidence.scope_by_route,
            key=lambda name: evidence.scope_by_route[name].last,
        )
        del evidence.scope_by_route[oldest]
        evidence.usual_log_s_by_route.pop(oldest, None)
    evidence.scope_by_route[route] = _Scope(now)


def _score_of_others(evidence: Evidence) -> float:
    """Score of all routes without the worst one, from the sums of the routes."""
    errors = [scope.errors for scope in evidence.scope_by_route.values()]
    slow = [scope.slow for scope in evidence.scope_by_route.values()]
    return max(
        (sum(errors) - max(errors)) / _ERROR_THRESHOLD,
        (sum(slow) - max(slow)) / _SLOW_THRESHOLD,
    )


def _log_ratio(evidence: Evidence, outcome: Outcome) -> float | None:
    """Compare with the peers of the route or, without them, with the usual time."""
    route = outcome.route
    log_s = math.log(max(outcome.service_s, 0.0) + _NOISE_S)
    usual = evidence.usual_log_s_by_route.get(route)
    scope = evidence.scope_by_route[route]
    if usual is None:
        evidence.usual_log_s_by_route[route] = log_s
    elif scope.score() < _USUAL_SCORE_MAX:
        # Bounded steps keep rare long work out of the usual time.
        step = min(max(log_s - usual, -1.0), 1.0)
        evidence.usual_log_s_by_route[route] = usual + _USUAL_WEIGHT * step
    if outcome.baseline_s is not None:
        return log_s - math.log(max(outcome.baseline_s, 0.0) + _NOISE_S)
    return None if usual is None else log_s - usual
