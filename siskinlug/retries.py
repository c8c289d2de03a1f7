"""Retry budgets of pools, and the rules for retries and hedging."""

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from siskinlug.tables import Route
from siskinlug.verdict import Reason, Refusal, Verdict

# Refusals after which a retry spends no budget and is allowed on routes without
# retries: a planned stop returns queued requests, and a target or node that cannot be
# reached has done no work.
BUDGET_FREE_REASONS = frozenset(
    {
        Reason.NODE_LEAVING,
        Reason.TARGET_LEAVING,
        Reason.LEASE_LAPSED,
        Reason.TARGET_UNKNOWN,
        Reason.TARGET_EJECTED,
        Reason.TARGET_UNREACHABLE,
        Reason.PEER_UNREACHABLE,
        Reason.TARGET_DOUBTED,
    }
)
BUDGET_FREE_ATTEMPTS = 3
# Each refusal by an owner, before the target receives the request, costs a round trip.
MAX_REFUSED_ATTEMPTS = 30
# Attempts that may be refused because the queue or the target's limit leaves too little
# time. Each goes to a target chosen for its short wait, so a third one would have no
# better chance.
MAX_DEADLINE_ATTEMPTS = 2
# Refusals that every other target would give as well.
NON_RETRYABLE_REASONS = frozenset(
    {
        Reason.NO_CONFIGURATION,
        Reason.NO_ROUTE,
        Reason.ACCOUNT_RATE,
        Reason.CANCELLED,
        Reason.KEY_CLAIMED,
        Reason.KEY_MISMATCH,
        Reason.KEY_UNAVAILABLE,
        Reason.QUARANTINED,
        Reason.HEADERS_TOO_LARGE,
        Reason.BODY_TOO_LARGE,
        Reason.BAD_REQUEST,
    }
)
# Retry credit required for a trial, so that the last retries are kept for failures. At
# an entry whose whole burst is smaller, the burst takes its place.
MIN_TRIAL_CREDIT = 1.5
# A request is hedged after this multiple of its route's median service time.
HEDGE_RATIO = 10.0


class RetryAllowance(NamedTuple):
    """Limits on the retries that one entry may spend in a pool.

    Attributes:
        ratio: Retries earned by each success, or by each request.
        burst: Retries that may be spent at once after a pause.
        hedge_ratio: Multiple of the usual service time after which an attempt is
            hedged if it may be repeated; 0 for no hedging.
        earned_by_requests: Whether requests earn retries, rather than successes. If
            only successes earn them, a pool that fails gets few retries when they
            would help most.
        window_s: Time in which ``burst`` may be spent once, in seconds; 0 if a spent
            burst is restored by ``ratio`` only.
        full_at_start: Whether the whole burst may be spent at once after a start, since
            no earlier process can have spent it.
    """

    ratio: float = 0.1
    burst: float = 10.0
    earned_by_requests: bool = False
    window_s: float = 0.0
    hedge_ratio: float = 0.0
    full_at_start: bool = False


class RetryBudget:
    """Retry budget that is earned by a pool's successes, or by its requests.

    Attributes:
        credit: Retries that may be spent now.
        spent: Retries spent since the start.
        denied: Retries denied for lack of credit since the start.
    """

    def __init__(
        self, *, ratio: float, burst: float, monotonic: Callable[[], float]
    ) -> None:
        self.ratio = ratio
        self.burst = float(burst)
        self.monotonic = monotonic
        self.credit = float(burst)
        self.spent = 0
        self.denied = 0
        self._rate_updated_at = monotonic()
        self._earned_count = 0
        self._earned_per_s = 0.0

    def earn_credit(self) -> None:
        """Add the credit of one success, or of one request if requests earn credit.

        The credit is limited to the burst or to what is earned in one second, whichever
        is larger.
        """
        now = self.monotonic()
        if now - self._rate_updated_at >= 1.0:
            self._earned_per_s = self._earned_count / (now - self._rate_updated_at)
            self._rate_updated_at = now
            self._earned_count = 0
        self._earned_count += 1
        max_credit = max(self.burst, self.ratio * self._earned_per_s)
        self.credit = min(self.credit + self.ratio, max_credit)

    def try_spend(self) -> bool:
        """Spend one retry if there is credit for it."""
        if self.credit < 1.0:
            self.denied += 1
            return False
        self.credit -= 1.0
        self.spent += 1
        return True


class WindowBudget:
    """Retry budget of a pool with a limit per time window, shared by a fleet.

    In any window an entry spends no more than its share of the burst plus ``ratio``
    times its requests. What an earlier process spent is unknown after a start, so the
    burst becomes available gradually over the first window, unless there was none.

    Attributes:
        spent: Retries spent since the start.
        denied: Retries denied for lack of credit since the start.
    """

    def __init__(
        self,
        *,
        allowance: Callable[[], RetryAllowance],
        monotonic: Callable[[], float],
        started_at: float,
    ) -> None:
        self.allowance = allowance
        self.monotonic = monotonic
        self.started_at = started_at
        self.spent = 0
        self.denied = 0
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()
        # Smallest burst in the window. A node that loses contact with others must not
        # spend their share at once.
        self._min_burst = math.inf
        self._min_burst_at = -math.inf

    @property
    def credit(self) -> float:
        """Retries that may be spent now."""
        now, allowance = self.monotonic(), self.allowance()
        window_start_at = now - allowance.window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < window_start_at:
                times.popleft()
        if allowance.burst <= self._min_burst or self._min_burst_at < window_start_at:
            self._min_burst, self._min_burst_at = allowance.burst, now
        elapsed_share = (
            1.0
            if allowance.full_at_start
            else min((now - self.started_at) / allowance.window_s, 1.0)
        )
        earned = allowance.ratio * len(self._request_times)
        return self._min_burst * elapsed_share + earned - len(self._retry_times)

    def earn_credit(self) -> None:
        """Count one request, which earns credit for the length of the window."""
        self._request_times.append(self.monotonic())

    def try_spend(self) -> bool:
        """Spend one retry if there is credit for it."""
        if self.credit < 1.0:
            self.denied += 1
            return False
        self._retry_times.append(self.monotonic())
        self.spent += 1
        return True


# Limits the retries of one pool at one entry.
Budget = RetryBudget | WindowBudget


def make_window_budget(
    allowance: Callable[[], RetryAllowance],
    *,
    monotonic: Callable[[], float],
    started_at: float,
) -> WindowBudget:
    """Make the retry budget of one pool at an entry that shares a limit with others.

    Args:
        allowance: Returns the limits of this entry, which depend on the number of
            nodes that it knows.
        monotonic: Clock in seconds.
        started_at: When this process started, on that clock.
    """
    return WindowBudget(allowance=allowance, monotonic=monotonic, started_at=started_at)


def make_retry_budget(
    *, ratio: float = 0.1, burst: float = 10, monotonic: Callable[[], float]
) -> RetryBudget:
    """Make the retry budget of one pool at one entry.

    Args:
        ratio: Retries earned by each success, or by each request.
        burst: Credit before anything is earned.
        monotonic: Clock in seconds.
    """
    return RetryBudget(ratio=ratio, burst=burst, monotonic=monotonic)


def earn_credit(budget: Budget) -> None:
    """Add the credit of one success or request of the pool."""
    budget.earn_credit()


def try_spend(budget: Budget) -> bool:
    """Spend one retry; return whether there was credit for it."""
    return budget.try_spend()


def may_retry(
    route: Route,
    refusal: Refusal,
    *,
    attempt: int,
    now: float,
    deadline: float,
    expected_s: float,
    budget: Budget,
    possible_runs: int | None = None,
) -> bool:
    """Decide on another attempt, and spend a retry on it if it needs one.

    Args:
        route: The route of the request.
        refusal: Why the last attempt failed.
        attempt: Attempts made so far, 1 after the first.
        now: Time on the monotonic clock.
        deadline: Deadline on the same clock.
        expected_s: Expected duration of another attempt in seconds.
        budget: The pool's retry budget.
        possible_runs: Attempts that may have run, if only these count against the
            route's retries; ``None`` if all attempts count.

    Returns:
        Whether to make another attempt.
    """
    if refusal.reason in NON_RETRYABLE_REASONS:
        return False
    if refusal.verdict is not Verdict.NOT_RUN and not route.idempotent:
        return False
    if now + expected_s > deadline:
        return False
    if possible_runs is not None and refusal.verdict is Verdict.NOT_RUN:
        if refusal.reason in (Reason.DEADLINE, Reason.TARGET_LIMITED):
            # Other entries may have filled the queue since its owner reported on it.
            return attempt < MAX_DEADLINE_ATTEMPTS
        # TARGET_SHED is the one refusal by the target itself.
        reached_target = refusal.reason is Reason.TARGET_SHED
        return attempt <= MAX_REFUSED_ATTEMPTS and (
            not reached_target or budget.try_spend()
        )
    if refusal.verdict is Verdict.NOT_RUN and refusal.reason in BUDGET_FREE_REASONS:
        return attempt <= max(route.retries, BUDGET_FREE_ATTEMPTS)
    attempt = attempt if possible_runs is None else possible_runs
    return attempt <= route.retries and budget.try_spend()


def may_trial(budget: Budget, allowance: RetryAllowance) -> bool:
    """Return whether a request may be sent to a target that is likely to fail it.

    The share of an entry shrinks as the fleet grows, and entries of a large fleet must
    not stop looking for targets that work again.

    Args:
        budget: The pool's retry budget.
        allowance: The limits of this entry.
    """
    return budget.credit >= max(1.0, min(MIN_TRIAL_CREDIT, allowance.burst))


def hedge_after_s(
    route: Route, *, long_work: bool, usual_s: float, ratio: float = HEDGE_RATIO
) -> float | None:
    """Return how long an attempt runs before it is hedged.

    Args:
        route: The route of the request.
        long_work: Whether the request counts as long work.
        usual_s: Median service time of the route in seconds, 0 if unknown.
        ratio: Multiple of the usual service time.

    Returns:
        Seconds; ``None`` if the request is never hedged.
    """
    if not route.idempotent or long_work or route.retries < 1 or usual_s <= 0:
        return None
    return usual_s * ratio


def may_hedge(
    route: Route,
    *,
    long_work: bool,
    usual_s: float,
    running_s: float,
    now: float,
    deadline: float,
    budget: Budget,
) -> bool:
    """Decide whether to hedge a running attempt, and spend a retry on it if so.

    Args:
        route: The route of the request.
        long_work: Whether the request counts as long work.
        usual_s: Median service time of the route in seconds, 0 if unknown.
        running_s: How long the first attempt has run, in seconds.
        now: Time on the monotonic clock.
        deadline: Deadline on the same clock.
        budget: The pool's retry budget.

    Returns:
        Whether to start the second attempt.
    """
    after_s = hedge_after_s(route, long_work=long_work, usual_s=usual_s)
    if after_s is None or running_s < after_s or now + usual_s > deadline:
        return False
    return budget.try_spend()
