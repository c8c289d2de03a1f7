"""State of the entry role and of the requests that it serves."""

import math
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from statistics import median
from typing import NamedTuple

from siskinlug.account_rates import AccountRates
from siskinlug.candidates import TargetView
from siskinlug.claims import Claims
from siskinlug.dialect import Dialect
from siskinlug.exchange import RequestHead
from siskinlug.load_balancing import Candidate
from siskinlug.metrics import Metrics
from siskinlug.owner import Owner
from siskinlug.remote_attempts import RemoteOwners
from siskinlug.retries import Budget, RetryAllowance
from siskinlug.service_times import ServiceTimes
from siskinlug.tables import Pool, Route, Tables
from siskinlug.target_signals import SignalMemory
from siskinlug.verdict import Refusal, Verdict
from siskinlug.withdrawal import OpenAttempt

MAX_RECENT_SERVICE_TIMES = 64
MIN_MEDIAN_SAMPLES = 8
# Share of an objective that the service time usually takes; operators set objectives to
# about four times the service time.
SERVICE_TIME_SHARE = 0.25
# Weight of a new sample in the moving average of a route's message sizes.
_SIZE_SAMPLE_WEIGHT = 0.1


class Request(NamedTuple):
    """A caller's request with its route, its pool and the head for the target.

    Attributes:
        request_id: Id that the caller sent, or else one generated at the entry.
        route: The matched route.
        pool: The pool that serves the request.
        account: The caller's account; empty if there is none.
        long_work: Whether the request counts as long work.
        started_at: When its head arrived, monotonic seconds.
        deadline: When the caller must have the head of the response, monotonic seconds.
        answer_deadline: When it must have the whole response, monotonic seconds;
            infinite for no limit.
        fingerprint: Fingerprint for the quarantine.
        key: The idempotency key; empty if there is none.
        head: The request head that is sent to a target.
    """

    request_id: str
    route: Route
    pool: Pool
    account: str
    long_work: bool
    started_at: float
    deadline: float
    answer_deadline: float
    fingerprint: str
    key: str
    head: RequestHead

    @property
    def objective_s(self) -> float:
        """Intended response time in seconds: the route's objective, or its timeout."""
        return self.route.objective_s or self.route.timeout_s


class AttemptOutcome(NamedTuple):
    """How an attempt at a target ended.

    Attributes:
        target: The target.
        node: The node of the target's owner.
        refusal: Why the attempt failed; ``None`` if the target answered.
    """

    target: str
    node: str
    refusal: Refusal | None

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have run the request."""
        return self.refusal is None or self.refusal.verdict is not Verdict.NOT_RUN


class Placement(NamedTuple):
    """The target chosen for an attempt, with limits for its owner.

    Attributes:
        candidate: The target.
        min_health: The owner must refuse the attempt if the target's health, a
            probability from 0 to 1, is below this.
        wait_s: Expected wait for a slot there, in seconds.
        wait_limit_s: Longest wait there before another target is chosen, in seconds.
    """

    candidate: Candidate
    min_health: float = 0.0
    wait_s: float = 0.0
    wait_limit_s: float = math.inf


# Chooses the target of the next attempt; ``None`` if there is none.
PlaceAttempt = Callable[
    ["Entry", Request, Sequence[AttemptOutcome]], Awaitable[Placement | None]
]


class Entry:
    """State of the entry role of one process.

    Attributes:
        view: Known targets and the load that they reported.
        owner: The owner role of the same process.
        remote: Client for attempts at the owners on other nodes.
        tables: Returns the tables in force.
        place: Chooses the target of each attempt.
        metrics: Metrics of the process.
        monotonic: Clock in seconds.
        service_times: Learned service times, by which routes count as long work.
        account_rates: Rate limits of accounts.
        claims: Claims of idempotency keys.
        dialect: Headers and status codes for callers.
        service: Name of the service on this VM, sent to targets as that of the caller.
        random: Random generator.
        retry_allowance: Returns what this entry may spend on retries now.
        buffer_answer_bytes: Size up to which a response is buffered before it is
            forwarded, so that a failed or truncated one can be retried; 0 for no
            buffering.
        budget_by_pool: Retry budgets.
        service_times_by_route: Recent service times, in seconds.
        usual_bytes_by_route: Moving average of the size of a request and its response.
        avoid_until_by_target: End of the time in which a target is avoided, monotonic
            seconds.
        signals: What targets have said of themselves in responses passed on here.
        open_by_attempt: Open attempts at targets of other nodes.
        last_id: Number in the id that was generated last.
        stop_at: When a stopping node must have answered all requests, monotonic
            seconds; infinite until it begins to stop.
        accept_until: Until when a stopping node runs each request, monotonic seconds;
            a later one is run only if its deadline is before ``stop_at``.
        started_at: When the process started, monotonic seconds.
        startup_grace_until: End of the start-up grace, in which requests wait for
            targets and the configuration to become known; monotonic seconds.
    """

    def __init__(
        self,
        *,
        view: TargetView,
        owner: Owner,
        remote: RemoteOwners,
        tables: Callable[[], Tables],
        place: PlaceAttempt,
        metrics: Metrics,
        monotonic: Callable[[], float],
        service_times: ServiceTimes,
        account_rates: AccountRates,
        claims: Claims,
        dialect: Dialect,
        service: str,
        random: Random,
        retry_allowance: Callable[[], RetryAllowance],
        buffer_answer_bytes: int,
        startup_grace_s: float = 0.0,
    ) -> None:
        self.view = view
        self.owner = owner
        self.remote = remote
        self.tables = tables
        self.place = place
        self.metrics = metrics
        self.monotonic = monotonic
        self.service_times = service_times
        self.account_rates = account_rates
        self.claims = claims
        self.dialect = dialect
        self.service = service
        self.random = random
        self.retry_allowance = retry_allowance
        self.buffer_answer_bytes = buffer_answer_bytes
        self.budget_by_pool: dict[str, Budget] = {}
        self.service_times_by_route: dict[str, deque[float]] = {}
        self.usual_bytes_by_route: dict[str, float] = {}
        self.avoid_until_by_target: dict[str, float] = {}
        self.signals = SignalMemory(owner.targets.leaving)
        self.open_by_attempt: dict[str, OpenAttempt] = {}
        self.last_id = 0
        self.stop_at = math.inf
        self.accept_until = math.inf
        self.started_at = monotonic()
        self.startup_grace_until = self.started_at + startup_grace_s


def new_id(entry: Entry) -> str:
    """Generate an id that is unique in the fleet."""
    entry.last_id += 1
    own = entry.view.directory.own_record
    return f"{own.node}-{own.incarnation:x}-{entry.last_id:x}"


def comes_too_late(entry: Entry, deadline: float) -> bool:
    """Whether a request may still be running when the stop of this node ends.

    Args:
        entry: The entry role.
        deadline: When the request ends at the latest, monotonic seconds.
    """
    return entry.monotonic() > entry.accept_until and deadline > entry.stop_at


def median_service_time_s(entry: Entry, route: str) -> float | None:
    """Return the median of a route's recent service times, or ``None`` if too few."""
    recent = entry.service_times_by_route.get(route, ())
    return median(recent) if len(recent) >= MIN_MEDIAN_SAMPLES else None


def usual_service_time_s(entry: Entry, request: Request) -> float:
    """Return the usual service time of a request's route, in seconds.

    This is the recent median, or ``SERVICE_TIME_SHARE`` of the objective until there
    are enough samples.
    """
    median_s = median_service_time_s(entry, request.route.name)
    return SERVICE_TIME_SHARE * request.objective_s if median_s is None else median_s


def latest_start_at(entry: Entry, request: Request) -> float:
    """Return when a request must start to end before the stop of this node.

    Returns:
        Monotonic seconds; infinity unless the node is stopping.
    """
    return entry.stop_at - usual_service_time_s(entry, request)


def record_service_time(entry: Entry, route: str, service_s: float) -> None:
    """Add the service time of one response to a route's recent ones."""
    recent = entry.service_times_by_route.setdefault(
        route, deque(maxlen=MAX_RECENT_SERVICE_TIMES)
    )
    recent.append(service_s)


def record_message_size(entry: Entry, route: str, size: int) -> None:
    """Add the size of one request and its response, in bytes, to a route's average."""
    average_bytes = entry.usual_bytes_by_route.get(route, float(size))
    entry.usual_bytes_by_route[route] = average_bytes + _SIZE_SAMPLE_WEIGHT * (
        size - average_bytes
    )
