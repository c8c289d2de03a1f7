"""Entry role: match the route, pick a target, keep the deadline, give the verdict."""

import secrets
from collections import deque
from collections.abc import (
    AsyncIterator,
    Callable,
)
from contextlib import asynccontextmanager
from statistics import median
from typing import NamedTuple

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders

from siskinlug.account_rates import AccountRates, check_rate
from siskinlug.body import BodyCut
from siskinlug.candidates import TargetView, candidates
from siskinlug.choice import Candidate, Choice
from siskinlug.claim_messages import MAX_ANSWER_BYTES, KeptAnswer
from siskinlug.claims import Claims, claim, key_digest, settle
from siskinlug.exchange import (
    Answer,
    RequestHead,
    drop_header,
    drop_hop_by_hop,
    drop_prefix,
)
from siskinlug.inbound import Inbound, send_answer, send_refusal, stream_answer
from siskinlug.logs import log_event
from siskinlug.metrics import Metrics
from siskinlug.owner import AttemptRequest, Owner, open_attempt
from siskinlug.quarantine import fingerprint_of
from siskinlug.remote_attempts import RemoteOwners, open_remote_attempt
from siskinlug.retries import (
    FREE_REASONS,
    RetryBudget,
    make_retry_budget,
    may_retry,
    note_success,
)
from siskinlug.routing import match_route
from siskinlug.service_times import ServiceTimes, is_long
from siskinlug.service_times import observe as observe_service_time
from siskinlug.tables import Pool, Route, Tables
from siskinlug.verdict import Reason, Refusal, Verdict, may_have_run, not_run

# Time that the entry keeps for itself when it tells an owner how long is left.
DEADLINE_MARGIN_S = 0.005
RECENT_SERVICE_TIMES = 64
MIN_BASELINE_SAMPLES = 8
AVOID_S = 1.0
MAX_KEY_CHARS = 256


class Request(NamedTuple):
    """A caller's request with what the routes table says of it."""

    request_id: str
    route: Route
    pool: Pool
    account: str
    long_work: bool
    deadline: float
    fingerprint: str
    key: str
    head: RequestHead


class Attempted(NamedTuple):
    """A target that was tried and what became of it."""

    target: str
    node: str
    refusal: Refusal | None


class Entry:
    """State of the entry role of one process."""

    def __init__(
        self,
        *,
        view: TargetView,
        owner: Owner,
        remote: RemoteOwners,
        tables: Callable[[], Tables],
        choose: Choice,
        metrics: Metrics,
        monotonic: Callable[[], float],
        service_times: ServiceTimes,
        account_rates: AccountRates,
        claims: Claims,
    ) -> None:
        self.view = view
        self.owner = owner
        self.remote = remote
        self.tables = tables
        self.choose = choose
        self.metrics = metrics
        self.monotonic = monotonic
        self.service_times = service_times
        self.account_rates = account_rates
        self.claims = claims
        self.budget_by_pool: dict[str, RetryBudget] = {}
        self.recent_by_route: dict[str, deque[float]] = {}
        self.avoid_until_by_target: dict[str, float] = {}
        self.count = 0


async def serve_caller(entry: Entry, inbound: Inbound) -> None:
    """Serve one request of a caller, to a whole answer or a refusal.

    Args:
        entry: The entry role.
        inbound: The request.

    Raises:
        BodyCut: The answer was cut short after its head had been passed on.
    """
    started_at = entry.monotonic()
    request_id = inbound.head.headers.get("X-Request-Id") or _new_id(entry)
    attempted: list[Attempted] = []
    entry.metrics.in_flight.add(1)
    route_name = pool_name = ""
    verdict = Verdict.RAN
    reason = ""
    status = 0
    try:
        matched = await _match(entry, inbound, request_id, started_at)
        if isinstance(matched, Failure):
            refusal: Refusal | None = matched.failure()
        else:
            request = matched.unwrap()
            route_name, pool_name = request.route.name, request.pool.name
            refusal = await _run_once(entry, inbound, request, attempted)
        if refusal is not None:
            verdict, reason = refusal.verdict, refusal.reason.value
            await send_refusal(inbound, refusal, request_id=request_id)
        status = inbound.answered_status
    except BodyCut:
        verdict, reason = Verdict.MAY_HAVE_RUN, "cut"
        raise
    finally:
        entry.metrics.in_flight.add(-1)
        duration_s = entry.monotonic() - started_at
        _account_for(entry, route_name, status, verdict, reason, duration_s)
        log_event(
            "access",
            request_id=request_id,
            method=inbound.head.method,
            path=inbound.head.path.partition("?")[0],
            route=route_name,
            pool=pool_name,
            target=attempted[-1].target if attempted else "",
            attempts=len(attempted),
            status=status,
            verdict=verdict.value,
            reason=reason,
            duration_ms=round(duration_s * 1000, 2),
        )


def _account_for(
    entry: Entry,
    route: str,
    status: int,
    verdict: Verdict,
    reason: str,
    duration_s: float,
) -> None:
    labels = {
        "route": route,
        "status": f"{status // 100}xx",
        "verdict": verdict.value,
    }
    entry.metrics.requests.add(1, labels)
    entry.metrics.duration.record(duration_s, {"route": route})
    if reason:
        entry.metrics.refusals.add(1, {"reason": reason})


def _new_id(entry: Entry) -> str:
    entry.count += 1
    own = entry.view.directory.own
    return f"{own.node}-{own.incarnation:x}-{entry.count:x}"


async def _match(
    entry: Entry, inbound: Inbound, request_id: str, started_at: float
) -> Result[Request, Refusal]:
    """Match the route and prepare the request for the targets."""
    tables = entry.tables()
    if not tables.routes_version or not tables.pools_version:
        return Failure(not_run(Reason.NO_CONFIGURATION, "no tables are in force"))
    head = inbound.head
    host = head.headers.get("Host", "")
    route = match_route(tables, head.method, host, head.path)
    if route is None:
        return Failure(not_run(Reason.NO_ROUTE, f"{head.method} {head.path}"))
    account = head.headers.get(route.account_header, "")
    refusal = check_rate(entry.account_rates, route.name, account, route.account_rate)
    if refusal is not None:
        return Failure(refusal)
    # A small body is read whole first, so that a slow caller holds no slot.
    await inbound.body.wait_whole()
    if _cannot_be_framed(inbound):
        detail = f"a {head.method} with a large body needs a Content-Length"
        return Failure(not_run(Reason.BAD_REQUEST, detail))
    key = head.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_CHARS:
        detail = f"Idempotency-Key is longer than {MAX_KEY_CHARS} characters"
        return Failure(not_run(Reason.BAD_REQUEST, detail))
    named = f"{account}:{key}" if key else ""
    return Success(
        Request(
            request_id=request_id,
            route=route,
            pool=tables.pools_by_name[route.pool],
            account=account,
            long_work=route.work == "long"
            or (route.work == "learned" and is_long(entry.service_times, route.name)),
            deadline=started_at + route.timeout_s,
            fingerprint=_fingerprint(named, inbound),
            key=key,
            head=RequestHead(
                head.method, head.path, _headers_for_target(inbound, request_id)
            ),
        )
    )


def _fingerprint(key: str, inbound: Inbound) -> str:
    head = inbound.head
    return fingerprint_of(
        key,
        head.method,
        head.path,
        inbound.body,
        declared_length=head.headers.get("Content-Length", ""),
    )


def _cannot_be_framed(inbound: Inbound) -> bool:
    """Whether the codec, which chunks only these methods, cannot send the body."""
    return (
        not inbound.body.whole
        and "Content-Length" not in inbound.head.headers
        and inbound.head.method not in ("POST", "PUT", "PATCH")
    )


def _headers_for_target(inbound: Inbound, request_id: str) -> HTTPHeaders:
    """Turn the caller's headers, in place, into those for a target."""
    headers = inbound.head.headers
    drop_hop_by_hop(headers)
    drop_prefix(headers, "Siskinlug-")
    # The entry itself answered 100-continue.
    drop_header(headers, "Expect")
    headers["X-Request-Id"] = request_id
    before = headers.get("X-Forwarded-For")
    headers["X-Forwarded-For"] = (
        f"{before}, {inbound.remote_ip}" if before else inbound.remote_ip
    )
    headers.add("Via", "1.1 siskinlug")
    if "Traceparent" not in headers:
        trace, span = secrets.token_hex(16), secrets.token_hex(8)
        headers["Traceparent"] = f"00-{trace}-{span}-01"
    return headers


async def _run_once(
    entry: Entry, inbound: Inbound, request: Request, attempted: list[Attempted]
) -> Refusal | None:
    """Run a request, under a claim of its idempotency key if it has one."""
    if not request.key or request.route.idempotent:
        return await _run_attempts(entry, inbound, request, attempted, KeptCopy(0))
    claimed = await claim(
        entry.claims,
        key_digest(request.account, request.key),
        _fingerprint("", inbound),
        _new_id(entry),
        request.route,
    )
    if isinstance(claimed, Failure):
        return claimed.failure()
    held = claimed.unwrap()
    if held.answer is not None:
        await _send_kept(inbound, held.answer, request.request_id)
        return None
    verdict = Verdict.MAY_HAVE_RUN
    copy = KeptCopy(MAX_ANSWER_BYTES)
    try:
        refusal = await _run_attempts(entry, inbound, request, attempted, copy)
        verdict = Verdict.RAN if refusal is None else refusal.verdict
        return refusal
    finally:
        headers = list(copy.headers.get_all())
        await settle(held, verdict, copy.status, headers, copy.whole_body())


async def _send_kept(inbound: Inbound, kept: KeptAnswer, request_id: str) -> None:
    headers = HTTPHeaders()
    for name, value in kept["headers"]:
        headers.add(name, value)
    headers["X-Request-Id"] = request_id
    headers["Idempotent-Replayed"] = "true"
    await send_answer(inbound, kept["status"], headers, kept["body"])


class KeptCopy:
    """Copy of an answer on its way to the caller, if it is small enough to keep."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.status = 0
        self.headers = HTTPHeaders()
        self._chunks: list[bytes] | None = []
        self._size = 0

    def add(self, chunk: bytes) -> None:
        """Take a part of the body as it is passed on."""
        self._size += len(chunk)
        if self._chunks is not None:
            self._chunks.append(chunk)
            if self._size > self.limit_bytes:
                self._chunks = None

    def whole_body(self) -> bytes | None:
        """Return the body, or ``None`` if it was too large."""
        return None if self._chunks is None else b"".join(self._chunks)


async def _run_attempts(
    entry: Entry,
    inbound: Inbound,
    request: Request,
    attempted: list[Attempted],
    copy: KeptCopy,
) -> Refusal | None:
    """Try targets until one answers or a refusal is final.

    Returns:
        The final refusal, or ``None`` when an answer was passed on.
    """
    budget = entry.budget_by_pool.get(request.pool.name)
    if budget is None:
        budget = make_retry_budget(monotonic=entry.monotonic)
        entry.budget_by_pool[request.pool.name] = budget
    while True:
        candidate = _choose(entry, request, attempted)
        if candidate is None:
            return _no_candidate(attempted)
        async with _open(entry, inbound, request, candidate) as result:
            if isinstance(result, Success):
                answer = result.unwrap()
                if await _pass_on(entry, inbound, request, candidate, answer, copy):
                    attempted.append(Attempted(candidate.target, candidate.node, None))
                    note_success(budget)
                    return None
                # The caller has got nothing of this answer.
                refusal = may_have_run(Reason.TARGET_RESET, "the answer was cut short")
            else:
                refusal = result.failure()
        attempted.append(Attempted(candidate.target, candidate.node, refusal))
        _avoid(entry, candidate.target, refusal)
        entry.metrics.attempts.add(
            1, {"route": request.route.name, "outcome": refusal.reason.value}
        )
        if inbound.body.too_large:
            # A target may have begun to work on the part that it got.
            return may_have_run(Reason.BODY_TOO_LARGE)
        if not _may_try_again(entry, inbound, request, refusal, attempted, budget):
            return refusal
        entry.metrics.retries.add(1, {"pool": request.pool.name})


def _no_candidate(attempted: list[Attempted]) -> Refusal:
    for tried in reversed(attempted):
        if tried.refusal is not None:
            return tried.refusal
    return not_run(Reason.NO_TARGET, "no target of the pool is in", retry_after_s=1.0)


def _may_try_again(
    entry: Entry,
    inbound: Inbound,
    request: Request,
    refusal: Refusal,
    attempted: list[Attempted],
    budget: RetryBudget,
) -> bool:
    if not inbound.body.can_replay:
        return False
    return may_retry(
        request.route,
        refusal,
        attempt=len(attempted),
        now=entry.monotonic(),
        deadline=request.deadline,
        expected_s=_baseline_s(entry, request.route.name) or 0.0,
        budget=budget,
    )


def _baseline_s(entry: Entry, route: str) -> float | None:
    recent = entry.recent_by_route.get(route, ())
    return median(recent) if len(recent) >= MIN_BASELINE_SAMPLES else None


def _choose(
    entry: Entry, request: Request, attempted: list[Attempted]
) -> Candidate | None:
    tried = {attempt.target for attempt in attempted}
    found = candidates(entry.view, request.route, request.pool)
    left = [c for c in found if c.target not in tried]
    now = entry.monotonic()
    open_now = [
        c for c in left if entry.avoid_until_by_target.get(c.target, 0.0) <= now
    ]
    return entry.choose(open_now or left, long_work=request.long_work)


def _avoid(entry: Entry, target: str, refusal: Refusal) -> None:
    """Pass over a target for a moment if it could not take a request at all.

    Its load report shows free slots, so without this it would attract requests until
    its owner's view has spread.
    """
    if refusal.verdict is Verdict.NOT_RUN and refusal.reason in FREE_REASONS:
        entry.avoid_until_by_target[target] = entry.monotonic() + AVOID_S


@asynccontextmanager
async def _open(
    entry: Entry, inbound: Inbound, request: Request, candidate: Candidate
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Open an attempt at the owner, which may be this process."""
    entry.count += 1
    own = entry.view.directory.own
    attempt = AttemptRequest(
        attempt=f"{own.node}-{own.incarnation:x}-{entry.count:x}",
        target=candidate.target,
        route=request.route.name,
        account=request.account,
        priority=request.route.priority,
        long_work=request.long_work,
        idempotent=request.route.idempotent,
        deadline=request.deadline - DEADLINE_MARGIN_S,
        baseline_s=_baseline_s(entry, request.route.name),
        fingerprint=request.fingerprint,
    )
    if candidate.node == own.node:
        async with open_attempt(
            entry.owner, attempt, request.head, inbound.body
        ) as result:
            yield result
        return
    node = entry.view.directory.record_by_node.get(candidate.node)
    if node is None:
        yield Failure(not_run(Reason.PEER_UNREACHABLE, candidate.node))
        return
    async with open_remote_attempt(
        entry.remote, node, attempt, request.head, inbound.body
    ) as result:
        yield result


async def _pass_on(
    entry: Entry,
    inbound: Inbound,
    request: Request,
    candidate: Candidate,
    answer: Answer,
    copy: KeptCopy,
) -> bool:
    """Pass an answer on and learn its service time.

    Returns:
        Whether it was passed on; false if it was cut before any byte of it was.

    Raises:
        BodyCut: It was cut later.
    """
    headers = answer.headers
    _learn(entry, request.route, headers.get("Siskinlug-Service-Ms", ""))
    drop_prefix(headers, "Siskinlug-")
    drop_hop_by_hop(headers)
    if copy.limit_bytes:
        copy.status, copy.headers = answer.status, headers.copy()
    extra = {
        "Siskinlug-Served-By": candidate.target,
        "X-Request-Id": request.request_id,
    }
    try:
        await stream_answer(inbound, answer, extra, observe=copy.add)
    except BodyCut:
        if inbound.answered_status or inbound.body.cut:
            raise
        return False
    entry.metrics.attempts.add(
        1, {"route": request.route.name, "outcome": f"{answer.status // 100}xx"}
    )
    return True


def _learn(entry: Entry, route: Route, service_ms: str) -> None:
    try:
        service_s = float(service_ms) / 1000
    except ValueError:
        return
    observe_service_time(entry.service_times, route.name, service_s, pool=route.pool)
    recent = entry.recent_by_route.setdefault(
        route.name, deque(maxlen=RECENT_SERVICE_TIMES)
    )
    recent.append(service_s)
