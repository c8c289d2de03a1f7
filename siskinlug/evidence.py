"""Evidence of a target's health, from the outcomes of real requests only.

Each scope (one route, or all routes) keeps two one-sided cumulative sums (CUSUM, Page
1954): one of failed requests, and one of the logarithm of the service time relative to
the usual one. A sum raises the alarm at its threshold, where the score is 1.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

ALL_ROUTES = "*"

# Log-likelihood ratios of 20 % failed requests against 0.5 %.
_ERROR_STEP = math.log(0.20 / 0.005)
_SUCCESS_STEP = math.log(0.80 / 0.995)
# A healthy target refuses or cuts a connection more rarely than it returns an error.
_HARD_STEP = 4.3
# Three failures in a row raise the alarm. At 10 requests/s, 20 % failed requests raise
# it after 17 requests (median) or 35 (p90), 1 % raise it 0.4 times an hour, and 0.1 %
# not once in 40 hours.
_ERROR_THRESHOLD = 10.9
# Lies between the logarithms of 1x and 5x: requests faster than 2.2x lower the sum.
_SLOW_REFERENCE = math.log(2.2)
# Bounded, so that one very long request cannot raise the alarm alone.
_SLOW_STEP_MAX = 1.6
_SLOW_STEP_MIN = -1.6
_SLOW_THRESHOLD = 10.0
# Added to service times, since a busy machine delays any request by a few milliseconds.
_NOISE_S = 0.002
# The sums decay, because failures far apart in time do not stem from one fault.
_HALF_LIFE_S = 30.0
# Weights of the latest request in the moving averages of ratios and usual times.
_RATIO_WEIGHT = 0.12
_USUAL_WEIGHT = 0.02
# Above this score the usual service time is not updated, so that a slow target does not
# make slowness usual.
_USUAL_SCORE_MAX = 0.3
# Time constant with which ``recent_request_count`` decays.
_RECENT_TIME_S = 10.0
# One failing route must not eject the whole target: the sums of the other routes
# together have to reach this part of the threshold, which a single error does not.
_OTHER_ROUTES_SCORE = 0.5
# While all scores are below this one, ``anomaly_scores`` need not be computed.
_SUSPICIOUS_SCORE = 0.5
_ROUTES_MAX = 64
# The owner probes the target after this many usual times without a first byte. If
# service times are lognormal with a p99 of 6.4 medians, 0.2 % of them exceed it.
_SILENCE_FACTOR = 10.0
_SILENCE_MIN_S = 0.2
# A target that has not responded yet may still be starting.
_SILENCE_UNKNOWN_S = 2.0


class Outcome(NamedTuple):
    """Outcome of one request at a target, as observed by its owner.

    Responses with which a target sheds load, requests cancelled by the caller and
    refusals by the owner itself say nothing about the target's health and must not be
    recorded.

    Attributes:
        route: Route name.
        ok: Whether the response was complete and not a server error.
        hard: Whether the connection was refused, reset, silent or cut.
        service_s: Time from writing the request to the first byte of the response, in
            seconds, without the wait in the owner's queue.
        baseline_s: Median service time of the route at other targets in seconds, as
            seen by the entry, if known.
    """

    route: str
    ok: bool
    hard: bool
    service_s: float
    baseline_s: float | None


class AnomalyScore(NamedTuple):
    """How far one scope of a target deviates from normal.

    Attributes:
        score: 0 is normal, 1 or more raises the alarm.
        error_ratio: Share of recent requests that failed, 0 to 1.
        latency_ratio: Recent service time relative to the usual one.
        cause: ``hard``, ``errors``, ``latency`` or empty.
    """

    score: float
    error_ratio: float
    latency_ratio: float
    cause: str

    def __repr__(self) -> str:
        # Event details in logs and timelines show the score under this name.
        return (
            f"Sickness(score={self.score!r}, error_ratio={self.error_ratio!r}, "
            f"latency_ratio={self.latency_ratio!r}, cause={self.cause!r})"
        )


NO_ANOMALY = AnomalyScore(0.0, 0.0, 1.0, "")


class _ScopeSums:
    """Cumulative sums and moving averages of one scope."""

    def __init__(self, now: float) -> None:
        self.error_sum = 0.0
        self.slow_sum = 0.0
        self.error_ratio = 0.0
        self.log_ratio = 0.0
        self.hard_ratio = 0.0
        self.request_count = 0
        self.recent_requests = 0.0
        self.updated_at = now

    def decay_to(self, now: float) -> None:
        elapsed = max(now - self.updated_at, 0.0)
        decay = 0.5 ** (elapsed / _HALF_LIFE_S)
        self.error_sum *= decay
        self.slow_sum *= decay
        self.recent_requests *= math.exp(-elapsed / _RECENT_TIME_S)
        self.updated_at = now

    def add(self, now: float, ok: bool, hard: bool, log_ratio: float | None) -> None:
        self.decay_to(now)
        self.request_count += 1
        self.recent_requests += 1.0
        step = _SUCCESS_STEP if ok else _HARD_STEP if hard else _ERROR_STEP
        self.error_sum = max(self.error_sum + step, 0.0)
        # A plain average over the first requests, then a moving average.
        weight = max(1.0 / self.request_count, _RATIO_WEIGHT)
        self.error_ratio += weight * ((not ok) - self.error_ratio)
        self.hard_ratio += weight * (hard - self.hard_ratio)
        if log_ratio is not None:
            step = log_ratio - _SLOW_REFERENCE
            step = min(max(step, _SLOW_STEP_MIN), _SLOW_STEP_MAX)
            self.slow_sum = max(self.slow_sum + step, 0.0)
            self.log_ratio += weight * (log_ratio - self.log_ratio)

    def score(self) -> float:
        return max(self.error_sum / _ERROR_THRESHOLD, self.slow_sum / _SLOW_THRESHOLD)

    def anomaly(self, score: float) -> AnomalyScore:
        cause = ""
        if self.error_sum / _ERROR_THRESHOLD >= self.slow_sum / _SLOW_THRESHOLD > 0 or (
            self.error_sum > 0 and self.slow_sum <= 0
        ):
            cause = "hard" if self.hard_ratio * 2 > self.error_ratio else "errors"
        elif self.slow_sum > 0:
            cause = "latency"
        return AnomalyScore(score, self.error_ratio, math.exp(self.log_ratio), cause)


class Evidence:
    """Evidence of one target; see ``make_evidence``."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        now = monotonic()
        self.all_routes = _ScopeSums(now)
        self.scope_by_route: dict[str, _ScopeSums] = {}
        self.suspicious = False
        self.usual_log_s_by_route: dict[str, float] = {}


def make_evidence(*, monotonic: Callable[[], float]) -> Evidence:
    """Build the evidence of a target that has had no requests yet.

    Args:
        monotonic: Monotonic clock in seconds.
    """
    return Evidence(monotonic=monotonic)


def record_outcome(evidence: Evidence, outcome: Outcome) -> None:
    """Record the outcome of one real request."""
    now = evidence.monotonic()
    route = outcome.route
    if route not in evidence.scope_by_route:
        _add_route(evidence, route, now)
    log_ratio = None
    if outcome.ok:
        log_ratio = _latency_log_ratio(evidence, outcome)
    step = (now, outcome.ok, outcome.hard, log_ratio)
    for scope in (evidence.scope_by_route[route], evidence.all_routes):
        scope.add(*step)
        if scope.score() >= _SUSPICIOUS_SCORE:
            evidence.suspicious = True


def anomaly_scores(evidence: Evidence) -> dict[str, AnomalyScore]:
    """Return the anomaly scores by route, and of all routes under ``*``.

    A route that fails alone raises only its own score; the score of ``*`` rises only
    with evidence from other routes too. If the target has had requests of a single
    route, the score of ``*`` counts only refused, reset, silent and cut requests,
    which concern the whole target.
    """
    now = evidence.monotonic()
    scopes = [evidence.all_routes, *evidence.scope_by_route.values()]
    for scope in scopes:
        scope.decay_to(now)
    anomaly_by_route = {
        route: scope.anomaly(scope.score())
        for route, scope in evidence.scope_by_route.items()
    }
    score = evidence.all_routes.score()
    if len(evidence.scope_by_route) > 1:
        score = min(score, _score_without_worst_route(evidence) / _OTHER_ROUTES_SCORE)
    all_routes = evidence.all_routes.anomaly(score)
    if len(evidence.scope_by_route) == 1 and all_routes.cause != "hard":
        all_routes = all_routes._replace(score=0.0)
    anomaly_by_route[ALL_ROUTES] = all_routes
    evidence.suspicious = any(scope.score() >= _SUSPICIOUS_SCORE for scope in scopes)
    return anomaly_by_route


def is_suspicious(evidence: Evidence) -> bool:
    """Whether a score may be 0.5 or more; cheaper than ``anomaly_scores``."""
    return evidence.suspicious


def recent_request_count(evidence: Evidence, route: str) -> float:
    """Return the number of recent requests of a route, or of all with ``*``.

    A request counts 1 at first and decays with a time constant of 10 s.
    """
    scope = evidence.all_routes
    if route != ALL_ROUTES:
        if route not in evidence.scope_by_route:
            return 0.0
        scope = evidence.scope_by_route[route]
    scope.decay_to(evidence.monotonic())
    return scope.recent_requests


def observed_request_count(evidence: Evidence, route: str) -> int:
    """Return the number of recorded requests of a route, or of all with ``*``."""
    if route == ALL_ROUTES:
        return evidence.all_routes.request_count
    scope = evidence.scope_by_route.get(route)
    return 0 if scope is None else scope.request_count


def silence_bound_s(evidence: Evidence, route: str) -> float:
    """Return the wait for a first byte after which a target is suspected silent.

    A request that ends earlier without a first byte, such as one that left the queue
    shortly before its deadline, says nothing about the target.

    Returns:
        The wait in seconds; 2 s while the usual service time is unknown.
    """
    usual = evidence.usual_log_s_by_route.get(route)
    if usual is None:
        return _SILENCE_UNKNOWN_S
    return max(_SILENCE_FACTOR * math.exp(min(usual, 20.0)), _SILENCE_MIN_S)


def forget_scope(evidence: Evidence, route: str) -> None:
    """Drop the evidence of a route, or all of it with ``*``; usual times are kept.

    Called when a route is ejected, so that its failures do not count against the
    other routes, and when a trial starts, which only new requests may decide.
    """
    now = evidence.monotonic()
    if route == ALL_ROUTES:
        evidence.all_routes = _ScopeSums(now)
        evidence.scope_by_route.clear()
        return
    if evidence.scope_by_route.pop(route, None) is None:
        return
    error_sum = sum(scope.error_sum for scope in evidence.scope_by_route.values())
    slow_sum = sum(scope.slow_sum for scope in evidence.scope_by_route.values())
    evidence.all_routes.error_sum = min(evidence.all_routes.error_sum, error_sum)
    evidence.all_routes.slow_sum = min(evidence.all_routes.slow_sum, slow_sum)


def _add_route(evidence: Evidence, route: str, now: float) -> None:
    if len(evidence.scope_by_route) >= _ROUTES_MAX:
        oldest = min(
            evidence.scope_by_route,
            key=lambda name: evidence.scope_by_route[name].updated_at,
        )
        del evidence.scope_by_route[oldest]
        evidence.usual_log_s_by_route.pop(oldest, None)
    evidence.scope_by_route[route] = _ScopeSums(now)


def _score_without_worst_route(evidence: Evidence) -> float:
    """Return the score of all routes except the worst one, from the sums by route."""
    error_sums = [scope.error_sum for scope in evidence.scope_by_route.values()]
    slow_sums = [scope.slow_sum for scope in evidence.scope_by_route.values()]
    return max(
        (sum(error_sums) - max(error_sums)) / _ERROR_THRESHOLD,
        (sum(slow_sums) - max(slow_sums)) / _SLOW_THRESHOLD,
    )


def _latency_log_ratio(evidence: Evidence, outcome: Outcome) -> float | None:
    """Compare a service time with other targets or else with the target's usual time.

    Also updates the usual time.

    Returns:
        The logarithm of the ratio, or None if there is nothing to compare with.
    """
    route = outcome.route
    log_s = math.log(max(outcome.service_s, 0.0) + _NOISE_S)
    usual = evidence.usual_log_s_by_route.get(route)
    scope = evidence.scope_by_route[route]
    if usual is None:
        evidence.usual_log_s_by_route[route] = log_s
    elif scope.score() < _USUAL_SCORE_MAX:
        # Bounded, so that rare long requests barely move the usual time.
        step = min(max(log_s - usual, -1.0), 1.0)
        evidence.usual_log_s_by_route[route] = usual + _USUAL_WEIGHT * step
    if outcome.baseline_s is not None:
        return log_s - math.log(max(outcome.baseline_s, 0.0) + _NOISE_S)
    return None if usual is None else log_s - usual
