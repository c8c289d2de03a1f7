"""Entry role: match the route, run the request, report the verdict."""

import asyncio
import math
import secrets

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from siskinlug.account_rates import check_rate
from siskinlug.attempt_loop import run_attempts
from siskinlug.body import BodyCut
from siskinlug.claim_messages import MAX_ANSWER_BYTES, CachedAnswer
from siskinlug.claims import claim_key, complete_claim, key_digest
from siskinlug.dialect import status_of
from siskinlug.entry_state import (
    AttemptOutcome,
    Entry,
    Request,
    comes_too_late,
    new_id,
)
from siskinlug.exchange import (
    RequestHead,
    drop_header,
    drop_headers_with_prefix,
    drop_hop_by_hop,
)
from siskinlug.forwarding import AnswerCopy
from siskinlug.inbound import (
    InboundRequest,
    refuses_at_stop_limit,
    send_answer,
    send_refusal,
    stop_refusal,
)
from siskinlug.logs import log_event
from siskinlug.quarantine import fingerprint_of
from siskinlug.routing import match_route
from siskinlug.service_times import is_long_work
from siskinlug.tables import Route, Tables
from siskinlug.verdict import Reason, Refusal, Verdict, node_leaving, not_run

MAX_KEY_CHARS = 256
# Interval between checks for the first configuration of a starting node. Reading it
# takes a few milliseconds if the store is available.
TABLES_POLL_S = 0.05


async def serve_caller(entry: Entry, inbound: InboundRequest) -> None:
    """Serve one request of a caller with a complete response or a refusal.

    Args:
        entry: The entry role.
        inbound: The request.

    Raises:
        BodyCut: The caller disconnected, or the response broke off after its head had
            been forwarded.
    """
    started_at = entry.monotonic()
    inbound.never_sent = True
    request_id = inbound.head.headers.get(entry.dialect.request_id) or new_id(entry)
    outcomes: list[AttemptOutcome] = []
    entry.metrics.in_flight.add(1)
    route_name = pool_name = ""
    verdict = Verdict.RAN
    reason = ""
    status = 0
    try:
        refusal: Refusal | None
        try:
            prepared = await _prepare_request(entry, inbound, request_id, started_at)
            if isinstance(prepared, Failure):
                refusal = prepared.failure()
            else:
                request = prepared.unwrap()
                route_name, pool_name = request.route.name, request.pool.name
                refusal = await _run_request(entry, inbound, request, outcomes)
        except asyncio.CancelledError:
            if not refuses_at_stop_limit(inbound):
                raise
            refusal = stop_refusal(inbound)
        if refusal is not None:
            verdict, reason = refusal.verdict, refusal.reason.value
            await send_refusal(
                inbound,
                refusal,
                request_id=request_id,
                id_header=entry.dialect.request_id,
                status=status_of(entry.dialect, refusal),
            )
        status = inbound.answered_status
    except BodyCut:
        verdict, reason = Verdict.MAY_HAVE_RUN, "cut"
        raise
    except (asyncio.CancelledError, StreamClosedError):
        verdict, reason = Verdict.MAY_HAVE_RUN, _interruption(inbound)
        raise
    finally:
        entry.metrics.in_flight.add(-1)
        duration_s = entry.monotonic() - started_at
        _record_metrics(entry, route_name, status, verdict, reason, duration_s)
        log_event(
            "access",
            request_id=request_id,
            method=inbound.head.method,
            path=inbound.head.path.partition("?")[0],
            route=route_name,
            pool=pool_name,
            target=outcomes[-1].target if outcomes else "",
            attempts=len(outcomes),
            status=status,
            verdict=verdict.value,
            reason=reason,
            duration_ms=round(duration_s * 1000, 2),
        )


def _interruption(inbound: InboundRequest) -> str:
    """Return why a request ended without a complete response, for the log."""
    return "stop_limit" if inbound.at_stop_limit else "caller_left"


def _record_metrics(
    entry: Entry,
    route: str,
    status: int,
    verdict: Verdict,
    reason: str,
    duration_s: float,
) -> None:
    """Count a finished request by route, status, verdict and refusal reason."""
    labels = {
        "route": route,
        "status": f"{status // 100}xx",
        "verdict": verdict.value,
    }
    entry.metrics.requests.add(1, labels)
    entry.metrics.duration.record(duration_s, {"route": route})
    if reason:
        entry.metrics.refusals.add(1, {"reason": reason})


async def _prepare_request(
    entry: Entry, inbound: InboundRequest, request_id: str, started_at: float
) -> Result[Request, Refusal]:
    """Match the route, check the request and build the head for the targets."""
    head = inbound.head
    await _wait_for_tables(entry, started_at + _caller_wait_s(entry, head))
    tables = entry.tables()
    if not tables.in_force:
        return Failure(not_run(Reason.NO_CONFIGURATION, "no tables are in force"))
    host = head.headers.get("Host", "")
    route = match_route(tables, head.method, host, head.path)
    if route is None:
        return Failure(not_run(Reason.NO_ROUTE, f"{head.method} {head.path}"))
    account = head.headers.get(route.account_header, "")
    refusal = check_rate(entry.account_rates, route.name, account, route.account_rate)
    if refusal is not None:
        return Failure(refusal)
    # A small body is read completely first, so that a slow caller occupies no slot.
    await inbound.body.wait_complete()
    if _lacks_required_length(inbound):
        detail = f"a {head.method} with a large body needs a Content-Length"
        return Failure(not_run(Reason.BAD_REQUEST, detail))
    caller_wait_s = _caller_wait_s(entry, head)
    deadline = started_at + min(route.timeout_s, caller_wait_s)
    answer_deadline = started_at + min(
        route.answer_timeout_s or math.inf, caller_wait_s
    )
    if comes_too_late(entry, max(deadline, answer_deadline)):
        detail = "the node stops before the request's deadline"
        return Failure(node_leaving(detail))
    key = head.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_CHARS:
        detail = f"Idempotency-Key is longer than {MAX_KEY_CHARS} characters"
        return Failure(not_run(Reason.BAD_REQUEST, detail))
    fingerprint_key = f"{account}:{key}" if key else ""
    return Success(
        Request(
            request_id=request_id,
            route=route,
            pool=tables.pools_by_name[draw_pool(entry, tables, route)],
            account=account,
            long_work=route.work == "long"
            or (
                route.work == "learned"
                and is_long_work(entry.service_times, route.name)
            ),
            started_at=started_at,
            deadline=deadline,
            answer_deadline=answer_deadline,
            fingerprint=_fingerprint(fingerprint_key, inbound),
            key=key,
            head=RequestHead(
                head.method, head.path, _headers_for_target(entry, inbound, request_id)
            ),
        )
    )


async def _wait_for_tables(entry: Entry, deadline: float) -> None:
    """Wait until tables are in force, the start-up grace ends or the caller gives up.

    Args:
        entry: The entry role.
        deadline: When the caller stops waiting, monotonic seconds.
    """
    until = min(entry.startup_grace_until, deadline)
    while not entry.tables().in_force and entry.monotonic() < until:
        await asyncio.sleep(TABLES_POLL_S)


def _fingerprint(key: str, inbound: InboundRequest) -> str:
    """Return the fingerprint of a request and an optional key.

    Equal requests with different keys have different fingerprints.
    """
    head = inbound.head
    return fingerprint_of(
        key,
        head.method,
        head.path,
        inbound.body,
        declared_length=head.headers.get("Content-Length", ""),
    )


def _lacks_required_length(inbound: InboundRequest) -> bool:
    """Whether a large body has no length and its method does not allow chunks.

    The codec chunks only the bodies of these methods.
    """
    return (
        not inbound.body.complete
        and "Content-Length" not in inbound.head.headers
        and inbound.head.method not in ("POST", "PUT", "PATCH")
    )


def draw_pool(entry: Entry, tables: Tables, route: Route) -> str:
    """Return the pool for a request, drawn by weight if the route has a split.

    The draw ignores the load of the pools. A full pool refuses its share, so that no
    other pool gets more requests than its weight allows.

    Args:
        entry: The entry role, whose random generator is used.
        tables: The tables in force.
        route: The route of the request.

    Returns:
        The name of the pool.
    """
    if not route.split or not any(route.split.values()):
        return route.pool
    pools = [name for name in route.split if name in tables.pools_by_name]
    return entry.random.choices(pools, [route.split[name] for name in pools])[0]


def _caller_wait_s(entry: Entry, head: RequestHead) -> float:
    """Return how long the caller waits, in seconds.

    Returns:
        Seconds of at least 0; infinity if the header is missing or malformed.
    """
    text = head.headers.get(entry.dialect.caller_wait_ms, "")
    try:
        return max(float(text) / 1000, 0.0) if text else math.inf
    except ValueError:
        log_event("caller_wait_unreadable", value=text[:32])
        return math.inf


def _headers_for_target(
    entry: Entry, inbound: InboundRequest, request_id: str
) -> HTTPHeaders:
    """Change the caller's headers, in place, into the headers for a target."""
    headers, dialect = inbound.head.headers, entry.dialect
    drop_hop_by_hop(headers)
    drop_headers_with_prefix(headers, "Siskinlug-")
    # The entry has sent 100 Continue itself.
    drop_header(headers, "Expect")
    headers[dialect.request_id] = request_id
    if dialect.caller_service:
        headers[dialect.caller_service] = entry.service
    if not dialect.adds_forwarding_headers:
        return headers
    before = headers.get("X-Forwarded-For")
    headers["X-Forwarded-For"] = (
        f"{before}, {inbound.remote_ip}" if before else inbound.remote_ip
    )
    headers.add("Via", "1.1 siskinlug")
    if "Traceparent" not in headers:
        trace, span = secrets.token_hex(16), secrets.token_hex(8)
        headers["Traceparent"] = f"00-{trace}-{span}-01"
    return headers


async def _run_request(
    entry: Entry,
    inbound: InboundRequest,
    request: Request,
    outcomes: list[AttemptOutcome],
) -> Refusal | None:
    """Run a request, under a claim if it has an idempotency key and needs one.

    Args:
        entry: The entry role.
        inbound: The request.
        request: The request with its route and pool.
        outcomes: Receives the outcome of each attempt.

    Returns:
        The final refusal, or ``None`` if a response was sent.
    """
    if not request.key or request.route.idempotent:
        return await run_attempts(entry, inbound, request, outcomes, AnswerCopy(0))
    claimed = await claim_key(
        entry.claims,
        key_digest(request.account, request.key),
        _fingerprint("", inbound),
        new_id(entry),
        request.route,
    )
    if isinstance(claimed, Failure):
        return claimed.failure()
    claim = claimed.unwrap()
    if claim.answer is not None:
        await _replay_answer(inbound, claim.answer, request.request_id)
        return None
    verdict = Verdict.MAY_HAVE_RUN
    copy = AnswerCopy(MAX_ANSWER_BYTES)
    try:
        refusal = await run_attempts(entry, inbound, request, outcomes, copy)
        verdict = Verdict.RAN if refusal is None else refusal.verdict
        return refusal
    finally:
        headers = list(copy.headers.get_all())
        await complete_claim(claim, verdict, copy.status, headers, copy.complete_body())


async def _replay_answer(
    inbound: InboundRequest, answer: CachedAnswer, request_id: str
) -> None:
    """Send the cached response of an earlier request with the same key."""
    headers = HTTPHeaders()
    for name, value in answer["headers"]:
        headers.add(name, value)
    headers["X-Request-Id"] = request_id
    headers["Idempotent-Replayed"] = "true"
    await send_answer(inbound, answer["status"], headers, answer["body"])
