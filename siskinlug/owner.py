"""Owner role: sends all requests to the targets beside this node.

No other process sends requests to these targets, so the owner can limit their load.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import NamedTuple

from returns.result import Failure, Result, Success

from siskinlug.admission import Slot, Ticket, load_report
from siskinlug.announcements import OwnedTarget, OwnedTargets
from siskinlug.attempts import (
    Attempts,
    finish_attempt,
    mark_attempt_started,
    register_attempt,
)
from siskinlug.body import BodyStream
from siskinlug.connections import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_NON_IDEMPOTENT_S,
    MAX_IDLE_S,
    Connection,
    ConnectionPool,
    open_connection,
)
from siskinlug.dialect import DEFAULT_DIALECT, Dialect
from siskinlug.evidence import Outcome, record_outcome
from siskinlug.exchange import (
    Answer,
    ExchangeFailure,
    RequestHead,
    drop_headers_with_prefix,
    drop_hop_by_hop,
    exchange,
    is_self_delimited,
)
from siskinlug.health_estimate import (
    Observation,
    admit_request,
    current_health,
    health_summary,
    record_shed,
    update_health,
    watch_request,
)
from siskinlug.load import LoadReport
from siskinlug.load_poll import QueuePosition, TargetReport
from siskinlug.logs import log_event
from siskinlug.probes import FirstByteWait, watch_first_byte
from siskinlug.quarantine import (
    CLEAR,
    REFUSED,
    PendingResets,
    Quarantine,
    TargetRuns,
    fingerprint_status,
    record_crash,
    record_reset,
    record_survival,
    resolve_reset,
    run_alone_if_suspect,
)
from siskinlug.target_answers import (
    belongs_to_request,
    promises_too_much,
    says_not_run,
)
from siskinlug.target_signals import TargetSignals, read_signals
from siskinlug.verdict import Reason, Refusal, Verdict, may_have_run, not_run
from siskinlug.withdrawal import open_withdrawable_slot

# Failing targets return an error within a few milliseconds. A later error often comes
# from a call that the target made.
FAST_ERROR_S = 0.1
# Below this health of a target, its queued requests are refused as not run, so that
# their entries select other targets.
MIN_QUEUE_HEALTH = 0.4

_REASON_BY_CAUSE = {
    "reset": Reason.TARGET_RESET,
    "silent": Reason.TARGET_SILENT,
    "malformed": Reason.TARGET_RESET,
    "body_cut": Reason.CANCELLED,
}


class AttemptRequest(NamedTuple):
    """An attempt as its entry describes it.

    Attributes:
        attempt: Attempt id, unique within the fleet.
        target: Target id.
        route: Route name.
        account: Client account, empty if unknown.
        priority: 0 is served first, 9 last.
        long_work: Whether the entry classified the request as long work.
        idempotent: Whether the request may run more than once.
        deadline: Time on the owner's monotonic clock after which the head of a response
            is useless.
        baseline_s: Median service time of the route at other targets in seconds, if
            known.
        fingerprint: Fingerprint of the request for quarantine.
        min_health: Health of the target, 0 to 1, below which the entry prefers another
            target.
        due: Time on the owner's monotonic clock at which the latency objective ends.
        usual_s: Usual service time of the route in seconds, if the entry knows it.
        known_limit_per_s: Limit of the target in requests per second that the entry
            remembers from a response, if any.
        wait_limit_s: Wait for a slot, in seconds, after which the entry prefers to
            select a target again.
        answer_deadline: Time on the owner's monotonic clock after which the rest of a
            response is useless.
    """

    attempt: str
    target: str
    route: str
    account: str
    priority: int
    long_work: bool
    idempotent: bool
    deadline: float
    baseline_s: float | None
    fingerprint: str
    min_health: float = 0.0
    due: float = math.inf
    usual_s: float | None = None
    wait_limit_s: float = math.inf
    known_limit_per_s: float | None = None
    answer_deadline: float = math.inf


class Owner:
    """State of the owner role of one process.

    Attributes:
        dialect: Headers and status codes in requests and responses of targets.
        estimates_health: Whether the health estimates of targets decide which requests
            they get, instead of ejection.
        targets: Targets of this node.
        attempts: Records of attempts, for entries that lost a response.
        quarantine: Requests suspected of crashing targets.
        connections: Pool of connections to the targets.
        is_ejected: Returns whether a target is ejected for a route; called once per
            attempt.
        monotonic: Clock in seconds.
        leaving: Whether this node is leaving and refuses all attempts.
        on_suspicions: Called when the suspicions of the quarantine have changed.
        probe: Probes a target over a new connection; returns whether it passed.
        resets: Reset connections that may turn out to be crashes.
        runs_by_target: Running requests of each target.
        on_leaving: Called with a target that says that it is leaving.
        count_signal: Counts a signal that a target begins or ends, by its name.
    """

    def __init__(
        self,
        *,
        targets: OwnedTargets,
        attempts: Attempts,
        quarantine: Quarantine,
        connections: ConnectionPool,
        is_ejected: Callable[[str, str], bool],
        on_suspicions: Callable[[], object],
        probe: Callable[[str], Awaitable[bool]],
        monotonic: Callable[[], float],
        dialect: Dialect = DEFAULT_DIALECT,
        estimates_health: bool = False,
        on_leaving: Callable[[str], object] = lambda _target: None,
        count_signal: Callable[[str], object] = lambda _signal: None,
    ) -> None:
        self.dialect = dialect
        self.estimates_health = estimates_health
        self.targets = targets
        self.attempts = attempts
        self.quarantine = quarantine
        self.connections = connections
        self.is_ejected = is_ejected
        self.monotonic = monotonic
        self.leaving = False
        self.on_suspicions = on_suspicions
        self.probe = probe
        self.resets = PendingResets(monotonic=monotonic)
        self.runs_by_target: dict[str, TargetRuns] = {}
        self.on_leaving = on_leaving
        self.count_signal = count_signal


class _Run(NamedTuple):
    """An attempt that holds a slot."""

    owner: Owner
    request: AttemptRequest
    owned: OwnedTarget
    slot: Slot
    request_id: str


def detect_crash(owner: Owner, target: str, incarnation: int | None) -> None:
    """Record a crash of a target if earlier connection resets prove one.

    Args:
        owner: The owner role.
        target: Target id.
        incarnation: Incarnation that the target has just announced, ``None`` if the
            target refuses connections or its lease has expired.
    """
    crash = resolve_reset(owner.resets, target, incarnation)
    if crash is not None and record_crash(owner.quarantine, *crash):
        owner.on_suspicions()


def target_load(owner: Owner, target: str) -> LoadReport | None:
    """Return the load of a target, ``None`` if this node does not own it."""
    owned = owner.targets.owned_by_target.get(target)
    return load_report(owned.admission) if owned else None


def report_target(
    owner: Owner, target: str, position: QueuePosition
) -> TargetReport | None:
    """Return a report on a target, ``None`` if it accepts no requests here."""
    owned = owner.targets.get_leased(target)
    if owned is None or owner.leaving or owned.announcement["state"] == "leaving":
        return None
    summary = health_summary(owned.health_estimate)
    load = load_report(owned.admission)
    due = owner.monotonic() + position.due_s
    wait_s = owned.admission.estimate_wait_s(position.priority, due)
    return TargetReport(
        target,
        round(summary.health, 4),
        summary.wants_trial,
        load.in_use,
        load.slots,
        round(wait_s, 4),
        round(summary.shed, 3),
        summary.untested,
    )


@asynccontextmanager
async def open_attempt(
    owner: Owner, request: AttemptRequest, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Run one attempt on a target of this node.

    Args:
        owner: The owner role.
        request: The attempt.
        head: Request head for the target.
        body: Request body.

    Yields:
        The target's response, or a refusal. The verdict is ``NOT_RUN`` only if no byte
        of the request was sent to the target or if the target itself reported this.
    """
    if refusal := _refusal_before_queue(owner, request):
        yield Failure(refusal)
        return
    registered = register_attempt(
        owner.attempts,
        request.attempt,
        on_cancel=partial(_cancel_task, asyncio.current_task()),
    )
    if isinstance(registered, Failure):
        yield Failure(registered.failure())
        return
    verdict = Verdict.NOT_RUN
    try:
        owned = owner.targets.owned_by_target[request.target]
        _adopt_known_limit(owner, request, owned)
        ticket = Ticket(
            attempt=request.attempt,
            route=request.route,
            account=request.account,
            priority=request.priority,
            long_work=request.long_work,
            deadline=request.deadline,
            due=request.due,
            usual_s=request.usual_s or 0.0,
            wait_limit_s=request.wait_limit_s,
        )
        async with open_withdrawable_slot(
            owner.attempts, owned.admission, ticket
        ) as admitted:
            if isinstance(admitted, Failure):
                yield Failure(admitted.failure())
                return
            slot = admitted.unwrap()
            if refusal := _refusal_after_queue(owner, request, owned):
                slot.record_outcome(status=None, service_s=0.0, shed=False)
                yield Failure(refusal)
                return
            # The request may run from here on, even if this task is cancelled.
            verdict = Verdict.MAY_HAVE_RUN
            async with _run_alone_if_suspect(
                _Run(
                    owner,
                    request,
                    owned,
                    slot,
                    head.headers.get(owner.dialect.request_id, ""),
                ),
                head,
                body,
            ) as result:
                if isinstance(result, Success):
                    verdict = Verdict.RAN
                else:
                    verdict = result.failure().verdict
                yield result
    except asyncio.CancelledError:
        log_event(
            "attempt_cancelled",
            request_id=head.headers.get(owner.dialect.request_id, ""),
            attempt=request.attempt,
            target=request.target,
            started=owner.attempts.started_by_attempt.get(request.attempt, False),
        )
        raise
    finally:
        finish_attempt(owner.attempts, request.attempt, verdict)


def _cancel_task(task: asyncio.Task | None) -> None:
    if task is not None:
        task.cancel()


def _refusal_before_queue(owner: Owner, request: AttemptRequest) -> Refusal | None:
    if owner.leaving:
        return not_run(Reason.NODE_LEAVING)
    owned = owner.targets.owned_by_target.get(request.target)
    if owned is None:
        return not_run(Reason.TARGET_UNKNOWN, f"{request.target} is not here")
    if owner.targets.get_leased(request.target) is None:
        return not_run(Reason.LEASE_LAPSED, f"{request.target} has not renewed")
    if owned.announcement["state"] == "leaving":
        return not_run(Reason.TARGET_LEAVING, f"{request.target} is leaving")
    if owner.is_ejected(request.target, request.route):
        return not_run(Reason.TARGET_EJECTED, f"{request.target} is ejected")
    if request.deadline <= owner.monotonic():
        return not_run(Reason.DEADLINE)
    if owner.estimates_health:
        health = current_health(owned.health_estimate)
        if health < request.min_health:
            return _unhealthy_refusal(request, health)
    return _quarantine_refusal(owner, request)


def _unhealthy_refusal(request: AttemptRequest, health: float) -> Refusal:
    return not_run(Reason.TARGET_DOUBTED, f"{request.target} is {health:.2f} sound")


def _quarantine_refusal(owner: Owner, request: AttemptRequest) -> Refusal | None:
    if fingerprint_status(owner.quarantine, request.fingerprint) == REFUSED:
        return not_run(Reason.QUARANTINED, "the request crashed two targets")
    return None


def _refusal_after_queue(
    owner: Owner, request: AttemptRequest, queued_for: OwnedTarget
) -> Refusal | None:
    """Repeat the checks whose result may have changed since the request arrived.

    It may have waited in the queue or for a connection, or the process was paused.
    """
    owned = owner.targets.get_leased(request.target)
    if owned is None:
        return not_run(Reason.LEASE_LAPSED, f"{request.target} has not renewed")
    if owned.announcement["incarnation"] != queued_for.announcement["incarnation"]:
        return not_run(Reason.TARGET_UNKNOWN, f"{request.target} has restarted")
    if owned.announcement["state"] == "leaving":
        return not_run(Reason.TARGET_LEAVING, f"{request.target} is leaving")
    if request.deadline <= owner.monotonic():
        return not_run(Reason.DEADLINE)
    return _quarantine_refusal(owner, request)


@asynccontextmanager
async def _run_alone_if_suspect(
    run: _Run, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Run an attempt, alone on its target if the request is suspected of a crash."""
    owner, request = run.owner, run.request
    runs = owner.runs_by_target.setdefault(request.target, TargetRuns())
    async with run_alone_if_suspect(
        owner.quarantine, runs, request.attempt, request.fingerprint
    ) as may_run:
        if not may_run:
            run.slot.record_outcome(status=None, service_s=0.0, shed=False)
            yield Failure(not_run(Reason.QUEUE_FULL, "a suspect request runs alone"))
            return
        async with _connect_and_run(run, head, body) as result:
            yield result


@asynccontextmanager
async def _connect_and_run(
    run: _Run, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Connect to the target and start the attempt."""
    owner, request = run.owner, run.request
    announcement = run.owned.announcement
    remaining_s = request.deadline - owner.monotonic()
    async with open_connection(
        owner.connections,
        (announcement["host"], announcement["port"]),
        max_idle_s=MAX_IDLE_S if request.idempotent else MAX_IDLE_NON_IDEMPOTENT_S,
        request_id=run.request_id,
        timeout_s=min(CONNECT_TIMEOUT_S, remaining_s),
    ) as connected:
        if isinstance(connected, Failure):
            run.slot.record_outcome(status=None, service_s=0.0, shed=False)
            timed_out = connected.failure().cause == "timeout"
            # A timeout shortened by the deadline says nothing about the target.
            if not timed_out or remaining_s >= CONNECT_TIMEOUT_S:
                _record_outcome(run, ok=False, hard=True)
                _record_observation(run, Observation.UNREACHABLE)
            failure = connected.failure()
            if failure.refused:
                detect_crash(owner, request.target, None)
            detail = f"{request.target}: {failure.cause}"
            yield Failure(not_run(Reason.TARGET_UNREACHABLE, detail))
            return
        connection = connected.unwrap()
        # There is no await between these checks and the first byte of the request.
        refusal = _refusal_after_queue(owner, request, run.owned)
        if refusal is None and owner.estimates_health:
            estimate = run.owned.health_estimate
            if not admit_request(estimate, min_health=request.min_health):
                refusal = _unhealthy_refusal(request, current_health(estimate))
        if refusal is None and run.owned.admission.rate_limit.is_expired(
            run.slot.started
        ):
            detail = f"the permit of {request.target} has expired"
            refusal = not_run(Reason.TARGET_LIMITED, detail)
        if refusal is None and not mark_attempt_started(
            owner.attempts, request.attempt
        ):
            refusal = not_run(Reason.CANCELLED, "cancelled by its entry")
        if refusal is not None:
            connection.reusable = True
            yield Failure(refusal)
            return
        run.slot.sent = True
        async with _run_on_connection(run, connection, head, body) as result:
            yield result


@asynccontextmanager
async def _run_on_connection(
    run: _Run, connection: Connection, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Exchange request and response and record the outcome as evidence."""
    if run.owner.estimates_health:
        async with _run_with_health_estimate(run, connection, head, body) as result:
            yield result
        return
    started_at = run.owner.monotonic()
    probe = partial(_probe_silent, run.owner, run.request.target, connection)
    with watch_first_byte(
        run.owned.evidence, run.request.route, probe=probe
    ) as first_byte_wait:
        async with _exchange(run, connection, head, body) as result:
            first_byte_wait.waiting = False
            if isinstance(result, Failure):
                yield Failure(
                    _record_lost_exchange(
                        run, connection, first_byte_wait, result.failure()
                    )
                )
                return
            answer = result.unwrap()
            # Time to the response head, since the body may wait for a slow caller.
            service_s = run.owner.monotonic() - started_at
            if refusal := _target_refusal(run, connection, answer, service_s):
                yield Failure(refusal)
                return
            answer.headers["Siskinlug-Service-Ms"] = f"{service_s * 1000:.2f}"
            try:
                yield _without_unproven_promise(run, answer)
            finally:
                if answer.body.complete or answer.body.cut:
                    _record_answer(run, first_byte_wait, answer, service_s)


@asynccontextmanager
async def _run_with_health_estimate(
    run: _Run, connection: Connection, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Exchange request and response and update the health estimate of the target."""
    owner, request = run.owner, run.request
    started_at = owner.monotonic()
    with watch_request(
        run.owned.health_estimate, partial(_record_observation, run), request.usual_s
    ) as watch:
        async with _exchange(run, connection, head, body) as result:
            watch.waiting = False
            if isinstance(result, Failure):
                failure = result.failure()
                run.slot.record_outcome(status=None, service_s=0.0, shed=False)
                late = owner.monotonic() >= request.deadline
                # The target may close an idle connection just as it is reused.
                idle_close = failure.cause == "reset" and connection.reused
                if failure.cause != "body_cut" and not late and not idle_close:
                    _record_observation(run, Observation.LOST)
                if failure.cause == "reset":
                    _record_possible_crash(run)
                reason = _REASON_BY_CAUSE[failure.cause]
                if failure.cause == "silent" and late:
                    reason = Reason.DEADLINE
                detail = f"{request.target}: {failure.cause}"
                yield Failure(may_have_run(reason, detail))
                return
            answer = result.unwrap()
            service_s = owner.monotonic() - started_at
            if refusal := _target_refusal(run, connection, answer, service_s):
                yield Failure(refusal)
                return
            _record_shed(run, connection, shed=False, service_s=service_s)
            answer.headers["Siskinlug-Service-Ms"] = f"{service_s * 1000:.2f}"
            if answer.status >= 500:
                fast = service_s < FAST_ERROR_S
                _record_observation(
                    run, Observation.FAST_ERROR if fast else Observation.LATE_ERROR
                )
            elif not watch.reported_working:
                _record_observation(run, Observation.WORKS)
            try:
                yield _without_unproven_promise(run, answer)
            finally:
                run.slot.record_outcome(
                    status=answer.status, service_s=service_s, shed=False
                )
                if answer.body.expired:
                    if answer.body.sender_stalled:
                        _record_observation(run, Observation.LOST)
                elif answer.body.cut:
                    _record_observation(run, Observation.LOST)
                    _record_possible_crash(run)
                elif answer.body.complete and answer.status < 500:
                    _record_survival(run)


def _record_observation(run: _Run, observation: Observation) -> None:
    """Update the health of a target, and refuse its queue if it is unhealthy."""
    estimate = run.owned.health_estimate
    before = current_health(estimate)
    after = update_health(estimate, observation)
    log_event(
        "sign",
        target=run.request.target,
        sign=observation.name.lower(),
        request_id=run.request_id,
        attempt=run.request.attempt,
        route=run.request.route,
        sound_before=round(before, 3),
        sound=round(after, 3),
    )
    if after < MIN_QUEUE_HEALTH:
        run.owned.admission.refuse_queued(Reason.TARGET_DOUBTED)


def _record_shed(
    run: _Run, connection: Connection, *, shed: bool, service_s: float
) -> None:
    share = record_shed(run.owned.health_estimate, shed=shed)
    if shed:
        log_event(
            "shed",
            target=run.request.target,
            request_id=run.request_id,
            attempt=run.request.attempt,
            route=run.request.route,
            connection=connection.number,
            reused=connection.reused,
            answer_ms=round(service_s * 1000, 2),
            share=round(share, 3),
        )


def _record_survival(run: _Run) -> None:
    owner, fingerprint = run.owner, run.request.fingerprint
    if fingerprint_status(owner.quarantine, fingerprint) != CLEAR:
        record_survival(owner.quarantine, fingerprint)
        owner.on_suspicions()


def _target_refusal(
    run: _Run, connection: Connection, answer: Answer, service_s: float
) -> Refusal | None:
    """Convert a response that means "not run" into a refusal.

    Args:
        run: The attempt.
        connection: The connection on which the response arrived.
        answer: The response.
        service_s: Time from the start of the attempt to the response, in seconds.
    """
    dialect = run.owner.dialect
    if answer.status == 421 and dialect.expected_target:
        run.slot.record_outcome(status=None, service_s=0.0, shed=False)
        _record_observation(run, Observation.UNREACHABLE)
        return not_run(Reason.TARGET_UNKNOWN, f"{run.request.target} has moved")
    if says_not_run(dialect, answer):
        run.slot.record_outcome(status=503, service_s=0.0, shed=True)
        if run.owner.estimates_health:
            _record_shed(run, connection, shed=True, service_s=service_s)
        return not_run(Reason.TARGET_SHED, run.request.target)
    return None


def _without_unproven_promise(run: _Run, answer: Answer) -> Result[Answer, Refusal]:
    """Refuse a response whose status promises more than its target has said."""
    request, status = run.request, answer.status
    if not promises_too_much(run.owner.dialect, answer, idempotent=request.idempotent):
        return Success(answer)
    log_event(
        "promise_unproven",
        target=request.target,
        request_id=run.request_id,
        attempt=request.attempt,
        status=status,
    )
    detail = f"{request.target}: {status}, not said to be not run"
    return Failure(may_have_run(Reason.TARGET_FAILED, detail))


async def _probe_silent(owner: Owner, target: str, connection: Connection) -> bool:
    """Probe a target that has been silent for longer than usual.

    If it answers on a new connection, its idle connections may be as dead as this one
    and are closed. The request itself keeps waiting, since it may be long work.
    """
    answered = await owner.probe(target)
    if answered:
        owner.connections.close_idle_connections(connection.address)
    return answered


@asynccontextmanager
async def _exchange(
    run: _Run, connection: Connection, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, ExchangeFailure]]:
    """Send the request with the headers for a target, and check the response."""
    remaining_s = run.request.deadline - run.owner.monotonic()
    headers, dialect = head.headers, run.owner.dialect
    drop_hop_by_hop(headers)
    drop_headers_with_prefix(
        headers, "Siskinlug-", keep={dialect.request_id, dialect.caller_service}
    )
    headers[dialect.target_wait_ms] = str(max(1, int(remaining_s * 1000)))
    if dialect.expected_target:
        headers[dialect.expected_target] = run.request.target
    connection.record_request(run.request_id)
    sent_at = run.owner.monotonic()
    async with exchange(
        connection,
        head,
        body,
        first_byte_timeout_s=remaining_s,
        answer_timeout_s=run.request.answer_deadline - sent_at,
    ) as result:
        if isinstance(result, Success):
            answer = result.unwrap()
            answer_id = answer.headers.get(dialect.request_id)
            signals = read_signals(dialect, answer.headers)
            keep = {*dialect.forwarded_answer_headers, dialect.not_run}
            drop_headers_with_prefix(answer.headers, "Siskinlug-", keep=keep)
            if dialect.targets_echo_request_id and not belongs_to_request(
                answer, connection, answer_id=answer_id, request_id=run.request_id
            ):
                yield Failure(ExchangeFailure(True, "malformed"))
                return
            if (
                not is_self_delimited(head.method, answer)
                and not dialect.accepts_close_delimited
            ):
                # Without a length, a truncated response would look complete.
                yield Failure(ExchangeFailure(True, "malformed"))
                return
            _observe_signals(run, signals, sent_at)
        yield result


def _adopt_known_limit(
    owner: Owner, request: AttemptRequest, owned: OwnedTarget
) -> None:
    """Adopt the limit that an entry remembers, if this process knows nothing yet.

    After a restart of this node, its target may still have a limit, and entries that
    have passed it on to callers must keep to it.
    """
    limit, known_per_s = owned.admission.rate_limit, request.known_limit_per_s
    if known_per_s is None or limit.confirmed:
        return
    if limit.per_s is not None and limit.per_s <= known_per_s:
        return
    _change_limit(owner, owned, known_per_s, source=request.attempt)


def _observe_signals(run: _Run, signals: TargetSignals, sent_at: float) -> None:
    """Apply what the target says of itself in a response.

    Args:
        run: The attempt.
        signals: Signals in the response.
        sent_at: When the request was sent, monotonic seconds.
    """
    owner, target = run.owner, run.request.target
    owned = owner.targets.owned_by_target.get(target)
    incarnation = run.owned.announcement["incarnation"]
    if owned is None or owned.announcement["incarnation"] != incarnation:
        return
    limit = owned.admission.rate_limit
    limit.confirmed = True
    if signals.limit_per_s is not None:
        _change_limit(owner, owned, signals.limit_per_s, source=run.request_id)
    elif not signals.names_limit and limit.observe_unlimited(sent_at):
        _change_limit(owner, owned, None, source=run.request_id)
    if signals.leaving and owned.announcement["state"] != "leaving":
        log_event("target_says_leaving", target=target, request_id=run.request_id)
        owner.count_signal("leaving")
        owner.on_leaving(target)


def _change_limit(
    owner: Owner, owned: OwnedTarget, per_s: float | None, *, source: str
) -> None:
    """Set or end the limit of a target, and log and count a change.

    Args:
        owner: The owner role.
        owned: The target.
        per_s: Requests per second, ``None`` for no limit.
        source: Id of the request or attempt that told of it.
    """
    limit = owned.admission.rate_limit
    before_per_s = limit.per_s
    if per_s is None:
        limit.lift()
    else:
        limit.name(per_s)
    if per_s == before_per_s:
        return
    log_event(
        "target_limit",
        target=owned.announcement["target"],
        source=source,
        confirmed=limit.confirmed,
        limit_per_s=per_s,
        limit_per_s_before=before_per_s,
    )
    if (per_s is None) != (before_per_s is None):
        owner.count_signal("limit_ended" if per_s is None else "limited")
    owned.admission.apply_rate_limit()


def _record_answer(
    run: _Run, first_byte_wait: FirstByteWait, answer: Answer, service_s: float
) -> None:
    run.slot.record_outcome(status=answer.status, service_s=service_s, shed=False)
    owner, fingerprint = run.owner, run.request.fingerprint
    cut = answer.body.cut
    if answer.body.expired and not answer.body.sender_stalled:
        return
    ok = answer.status < 500 and not cut
    if cut and not answer.body.expired:
        _record_possible_crash(run)
    elif ok and fingerprint_status(owner.quarantine, fingerprint) != CLEAR:
        record_survival(owner.quarantine, fingerprint)
        owner.on_suspicions()
    if not first_byte_wait.outcome_recorded:
        _record_outcome(run, ok=ok, hard=cut, service_s=service_s)


def _record_possible_crash(run: _Run) -> None:
    target = run.request.target
    record_reset(
        run.owner.resets,
        target,
        run.owned.announcement["incarnation"],
        run.owner.runs_by_target[target].fingerprint_by_attempt.values(),
    )


def _record_lost_exchange(
    run: _Run,
    connection: Connection,
    first_byte_wait: FirstByteWait,
    failure: ExchangeFailure,
) -> Refusal:
    """Record an exchange without a response and return its refusal."""
    late = run.owner.monotonic() >= run.request.deadline
    run.slot.record_outcome(status=None, service_s=0.0, shed=False)
    # A wait that the deadline ended before the silence bound indicates no fault.
    too_short = failure.cause == "silent" and not first_byte_wait.exceeded_bound()
    if (
        failure.cause != "body_cut"
        and not first_byte_wait.outcome_recorded
        and not too_short
    ):
        # The target may close an idle connection just as it is reused.
        hard = failure.cause != "reset" or not connection.reused
        _record_outcome(run, ok=False, hard=hard)
    if failure.cause == "reset":
        _record_possible_crash(run)
    reason = _REASON_BY_CAUSE[failure.cause]
    if failure.cause == "silent" and late:
        reason = Reason.DEADLINE
    return may_have_run(reason, f"{run.request.target}: {failure.cause}")


def _record_outcome(run: _Run, *, ok: bool, hard: bool, service_s: float = 0.0) -> None:
    outcome = Outcome(
        route=run.request.route,
        ok=ok,
        hard=hard,
        service_s=service_s,
        baseline_s=run.request.baseline_s,
    )
    record_outcome(run.owned.evidence, outcome)
