"""State of the entry role, and what it holds of one request."""

import math
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from statistics import median
from typing import NamedTuple

from siskinlug.account_rates import AccountRates
from siskinlug.candidates import TargetView
from siskinlug.choice import Candidate
from siskinlug.claims import Claims
from siskinlug.dialect import Dialect
from siskinlug.exchange import RequestHead
from siskinlug.metrics import Metrics
from siskinlug.owner import Owner
from siskinlug.remote_attempts import RemoteOwners
from siskinlug.retries import Budget, RetryAllowance
from siskinlug.service_times import ServiceTimes
from siskinlug.tables import Pool, Route, Tables
from siskinlug.verdict import Refusal, Verdict

RECENT_SERVICE_TIMES = 64
MIN_BASELINE_SAMPLES = 8
# Part of an objective that the work itself usually takes: a quarter on both sheets.
OBJECTIVE_SHARE = 0.25
# Weight of a new request in the usual size of a route's messages.
_SIZE_WEIGHT = 0.1


class Request(NamedTuple):
    """A caller's request with what the routes table says of it.

    Attributes:
        request_id: Id, as the caller sent it or as it was given here.
        route: Its route.
        pool: The pool that serves it.
        account: The caller's account, if it has one.
        long_work: Whether it counts as long work.
        started_at: When its head arrived, monotonic seconds.
        deadline: Until when an answer helps, monotonic seconds.
        fingerprint: Fingerprint for the quarantine.
        key: Its idempotency key, if it has one.
        head: The request as a target shall get it.
    """

    request_id: str
    route: Route
    pool: Pool
    account: str
    long_work: bool
    started_at: float
    deadline: float
    fingerprint: str
    key: str
    head: RequestHead

    @property
    def objective_s(self) -> float:
        """Time within which an answer is of full use, in seconds."""
        return self.route.objective_s or self.route.timeout_s


class AttemptOutcome(NamedTuple):
    """A target that was tried and what became of it."""

    target: str
    node: str
    refusal: Refusal | None

    @property
    def sent(self) -> bool:
        """Whether the request may have reached the target's work."""
        return self.refusal is None or self.refusal.verdict is not Verdict.NOT_RUN


class Placement(NamedTuple):
    """Where an attempt goes.

    Attributes:
        candidate: The target.
        min_health: Probability that the target is sound below which its owner shall
            refuse the attempt.
        wait_s: Expected wait for a slot there, in seconds.
        wait_limit_s: Longest wait there before the request is placed again, in seconds.
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
    """State of the entry role of one process."""

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
        hold_answer_bytes: int,
        settle_s: float = 0.0,
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
        self.hold_answer_bytes = hold_answer_bytes
        self.budget_by_pool: dict[str, Budget] = {}
        self.recent_by_route: dict[str, deque[float]] = {}
        self.bytes_by_route: dict[str, float] = {}
        self.avoid_until_by_target: dict[str, float] = {}
        self.count = 0
        # Time by which this node, once it stops, has answered all; monotonic seconds.
        self.stop_at = math.inf
        # Until then targets and the configuration may still be unknown after a start.
        self.started_at = monotonic()
        self.settled_at = self.started_at + settle_s


def new_id(entry: Entry) -> str:
    """Return an id that is unique in the fleet."""
    entry.count += 1
    own = entry.view.directory.own_record
    return f"{own.node}-{own.incarnation:x}-{entry.count:x}"


def baseline_s(entry: Entry, route: str) -> float | None:
    """Return the median of a route's recent service times, if enough are known."""
    recent = entry.recent_by_route.get(route, ())
    return median(recent) if len(recent) >= MIN_BASELINE_SAMPLES else None


def usual_s(entry: Entry, request: Request) -> float:
    """Return the usual service time of a request's route, or a guess, in seconds.

    Until enough answers are known the guess is a share of the objective, which
    operators set to several times the work.
    """
    known = baseline_s(entry, request.route.name)
    return OBJECTIVE_SHARE * request.objective_s if known is None else known


def note_service_time(entry: Entry, route: str, service_s: float) -> None:
    """Keep the service time of one answer."""
    recent = entry.recent_by_route.setdefault(route, deque(maxlen=RECENT_SERVICE_TIMES))
    recent.append(service_s)


def note_size(entry: Entry, route: str, size: int) -> None:
    """Learn the size of a route's requests and answers, in bytes."""
    usual = entry.bytes_by_route.get(route, float(size))
    entry.bytes_by_route[route] = usual + _SIZE_WEIGHT * (size - usual)
