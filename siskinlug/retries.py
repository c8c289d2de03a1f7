"""Retry budget of a pool, the rule for retries and the rule for hedging."""

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from siskinlug.tables import Route
from siskinlug.verdict import Reason, Refusal, Verdict

# A planned stop returns queued requests that have done nothing wrong, and a target or
# node that cannot be reached did no work, so these attempts spend no budget and are
# allowed on routes without retries.
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
# Owners that refuse before a target hears of a request cost a round trip each.
MAX_REFUSED_ATTEMPTS = 30
# Attempts after which a request that every queue would make late is refused. Each was
# chosen for its short wait, so a third one would find no more time.
MAX_DEADLINE_ATTEMPTS = 2
# Refusals that any other target would repeat.
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
# A request is hedged once it has run for this multiple of its route's median.
HEDGE_RATIO = 10.0


class RetryAllowance(NamedTuple):
    """What one entry may spend on retries of a pool.

    Attributes:
        ratio: Retries for each success, or for each request.
        burst: Retries that may be spent at once after a pause.
        hedge_ratio: Multiple of the usual time after which an attempt that may be
            repeated gets a second one beside it; 0 for none.
        earned_by_requests: Whether requests earn retries, rather than successes. If
            only successes earn them, a pool that fails gets few retries when they
            would help most.
        window_s: Time in which ``burst`` may be spent once, in seconds; 0 where it is
            earned again by ``ratio`` only.
    """

    ratio: float = 0.1
    burst: float = 10.0
    earned_by_requests: bool = False
    window_s: float = 0.0
    hedge_ratio: float = 0.0


class RetryBudget:
    """Credit for retries: a share of the pool's successes.

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
        self._second = monotonic()
        self._successes = 0
        self._rate = 0.0

    def earn_credit(self) -> None:
        """Add the share of one success, up to the larger of burst and one second."""
        now = self.monotonic()
        if now - self._second >= 1.0:
            self._rate = self._successes / (now - self._second)
            self._second = now
            self._successes = 0
        self._successes += 1
        most = max(self.burst, self.ratio * self._rate)
        self.credit = min(self.credit + self.ratio, most)

    def try_spend(self) -> bool:
        """Spend one retry if there is credit for it."""
        if self.credit < 1.0:
            self.denied += 1
            return False
        self.credit -= 1.0
        self.spent += 1
        return True


class WindowBudget:
    """Retries of a pool by a bound on each window of time, as a fleet shares it.

    In any window an entry spends no more than its share of the burst and the ratio of
    its requests. After a start nothing is known of what the process before has spent,
    so the burst is available bit by bit over the first window.

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
        self._requests: deque[float] = deque()
        self._spent: deque[float] = deque()
        # Least burst seen in the window. A node that loses sight of others must not
        # spend their share at once.
        self._burst = math.inf
        self._burst_at = -math.inf

    @property
    def credit(self) -> float:
        """Retries that may be spent now."""
        now, allowance = self.monotonic(), self.allowance()
        since = now - allowance.window_s
        for times in (self._requests, self._spent):
            while times and times[0] < since:
                times.popleft()
        if allowance.burst <= self._burst or self._burst_at < since:
            self._burst, self._burst_at = allowance.burst, now
        known = min((now - self.started_at) / allowance.window_s, 1.0)
        earned = allowance.ratio * len(self._requests)
        return self._burst * known + earned - len(self._spent)

    def earn_credit(self) -> None:
        """Count a request, which earns a share of a retry for the window."""
        self._requests.append(self.monotonic())

    def try_spend(self) -> bool:
        """Spend one retry if there is credit for it."""
        if self.credit < 1.0:
            self.denied += 1
            return False
        self._spent.append(self.monotonic())
        self.spent += 1
        return True


# What limits the retries of a pool at one entry.
Budget = RetryBudget | WindowBudget


def make_window_budget(
    allowance: Callable[[], RetryAllowance],
    *,
    monotonic: Callable[[], float],
    started_at: float,
) -> WindowBudget:
    """Make the retry budget of one pool at an entry that shares it with a fleet.

    Args:
        allowance: What this entry may spend now, by the nodes that it knows.
        monotonic: Clock in seconds.
        started_at: When this process started, on that clock.
    """
    return WindowBudget(allowance=allowance, monotonic=monotonic, started_at=started_at)


def make_retry_budget(
    *, ratio: float = 0.1, burst: float = 10, monotonic: Callable[[], float]
) -> RetryBudget:
    """Make the retry budget of one pool at one entry.

    Args:
        ratio: Retries allowed for each success.
        burst: Retries allowed before the first success.
        monotonic: Clock in seconds.
    """
    return RetryBudget(ratio=ratio, burst=burst, monotonic=monotonic)


def earn_credit(budget: Budget) -> None:
    """Count one success of the pool."""
    budget.earn_credit()


def try_spend(budget: Budget) -> bool:
    """Spend one retry, or return false if the budget has none."""
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
    sent: int | None = None,
) -> bool:
    """Decide on another attempt, and spend the budget for it.

    Args:
        route: The route of the request.
        refusal: How the last attempt ended.
        attempt: Attempts made so far, 1 after the first.
        now: Time on the monotonic clock.
        deadline: Deadline on the same clock.
        expected_s: Expected duration of another attempt in seconds.
        budget: The pool's retry budget.
        sent: Attempts that may have run, where only these count against the route's
            retries; ``None`` counts all.

    Returns:
        Whether to make another attempt.
    """
    if refusal.reason in NON_RETRYABLE_REASONS:
        return False
    if refusal.verdict is not Verdict.NOT_RUN and not route.idempotent:
        return False
    if now + expected_s > deadline:
        return False
    if sent is not None and refusal.verdict is Verdict.NOT_RUN:
        if refusal.reason is Reason.DEADLINE:
            # Others may have filled the queue since its owner was asked.
            return attempt < MAX_DEADLINE_ATTEMPTS
        # Only a target that refused by itself has got the request.
        reached = refusal.reason is Reason.TARGET_SHED
        return attempt <= MAX_REFUSED_ATTEMPTS and (not reached or budget.try_spend())
    if refusal.verdict is Verdict.NOT_RUN and refusal.reason in BUDGET_FREE_REASONS:
        return attempt <= max(route.retries, BUDGET_FREE_ATTEMPTS)
    attempt = attempt if sent is None else sent
    return attempt <= route.retries and budget.try_spend()


def hedge_after_s(
    route: Route, *, long_work: bool, usual_s: float, ratio: float = HEDGE_RATIO
) -> float | None:
    """Return how long a first attempt runs before it is hedged.

    Args:
        route: The route of the request.
        long_work: Whether the request counts as long work.
        usual_s: Median service time of the route in seconds, 0 if unknown.
        ratio: Multiple of the usual time.

    Returns:
        Seconds, or ``None`` if the request is never hedged.
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
    """Decide on a second attempt beside a running one, and spend the budget for it.

    Args:
        route: The route of the request.
        long_work: Whether the request counts as long work.
        usual_s: Median service time of the route in seconds, 0 if unknown.
        running_s: How long the first attempt has run, in seconds.
        now: Time on the monotonic clock.
        deadline: Deadline on the same clock.
        budget: The pool's retry budget.
    """
    after_s = hedge_after_s(route, long_work=long_work, usual_s=usual_s)
    if after_s is None or running_s < after_s or now + usual_s > deadline:
        return False
    return budget.try_spend()
