"""Owner role: the only process that sends requests to the targets beside it."""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import NamedTuple

from returns.result import Failure, Result, Success

from siskinlug.admission import Slot, Ticket, load_report, open_slot
from siskinlug.announcements import Owned, OwnedTargets
from siskinlug.attempts import Attempts, begin, finish, mark_started
from siskinlug.belief import (
    Sign,
    admit,
    note_shed,
    probability_sound,
    see,
    standing_of,
    watch_work,
)
from siskinlug.body import BodyStream
from siskinlug.connections import (
    CONNECT_TIMEOUT_S,
    IDLE_MAX_S,
    NON_IDEMPOTENT_IDLE_MAX_S,
    Connection,
    ConnectionPool,
    open_connection,
)
from siskinlug.dialect import OWN_DIALECT, Dialect
from siskinlug.evidence import Outcome, observe
from siskinlug.exchange import (
    Answer,
    ExchangeFailure,
    RequestHead,
    drop_hop_by_hop,
    drop_prefix,
    exchange,
    has_length,
)
from siskinlug.load import LoadReport
from siskinlug.load_poll import QueuePosition, TargetReport
from siskinlug.logs import log_event
from siskinlug.probes import Silence, watch_silence
from siskinlug.quarantine import (
    CLEAR,
    REFUSED,
    Quarantine,
    ResetWatch,
    TargetRuns,
    note_crash,
    note_reset,
    note_survived,
    resolve_reset,
    run_beside,
    standing,
)
from siskinlug.verdict import Reason, Refusal, Verdict, may_have_run, not_run

# Failing targets answer with an error within a few milliseconds (bench notes); one
# that comes later often stems from a call that the target made.
FAST_ERROR_S = 0.1
# A target below this is left by the requests that wait for it.
QUEUE_LEAVES_BELOW = 0.4

_REASON_BY_CAUSE = {
    "reset": Reason.TARGET_RESET,
    "silent": Reason.TARGET_SILENT,
    "malformed": Reason.TARGET_RESET,
    "body_cut": Reason.CANCELLED,
}


class AttemptRequest(NamedTuple):
    """What an entry says of an attempt.

    Attributes:
        attempt: Attempt id, unique in the fleet.
        target: Target id.
        route: Route name.
        account: Account of the caller, empty if unknown.
        priority: 0 is served first, 9 last.
        long_work: Whether the entry classed the request as long work.
        idempotent: Whether the request may be run more than once.
        deadline: Time on the owner's monotonic clock until which an answer helps.
        baseline_s: Median service time of the route at other targets, if known.
        fingerprint: Fingerprint of the request for quarantine.
        least_sound: Probability that the target is sound below which the entry would
            rather try another target.
        due: Time on the owner's clock until which an answer is of full use.
        usual_s: Usual service time of the route in seconds, as far as the entry knows.
        wait_limit_s: Longest wait for a slot after which the entry would rather choose
            again, in seconds.
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
    least_sound: float = 0.0
    due: float = math.inf
    usual_s: float | None = None
    wait_limit_s: float = math.inf


class Owner:
    """State of the owner role of one process."""

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
        dialect: Dialect = OWN_DIALECT,
        uses_health_estimate: bool = False,
    ) -> None:
        self.dialect = dialect
        self.uses_health_estimate = uses_health_estimate
        self.targets = targets
        self.attempts = attempts
        self.quarantine = quarantine
        self.connections = connections
        self.is_ejected = is_ejected
        self.monotonic = monotonic
        self.leaving = False
        self.on_suspicions = on_suspicions
        self.probe = probe
        self.resets = ResetWatch(monotonic=monotonic)
        self.runs_by_target: dict[str, TargetRuns] = {}


class _Run(NamedTuple):
    """An admitted attempt."""

    owner: Owner
    request: AttemptRequest
    owned: Owned
    slot: Slot
    request_id: str


def detect_crash(owner: Owner, target: str, incarnation: int | None) -> None:
    """Find out whether connections that were reset mean that a target crashed.

    Args:
        owner: The owner role.
        target: Target id.
        incarnation: What has just announced itself, or ``None`` if the target refuses
            connections or its lease has expired.
    """
    crash = resolve_reset(owner.resets, target, incarnation)
    if crash is not None and note_crash(owner.quarantine, *crash):
        owner.on_suspicions()


def target_load(owner: Owner, target: str) -> LoadReport | None:
    """Return the load of an owned target."""
    owned = owner.targets.owned_by_target.get(target)
    return load_report(owned.admission) if owned else None


def report_target(
    owner: Owner, target: str, position: QueuePosition
) -> TargetReport | None:
    """Report on a target of this node, if it takes requests."""
    owned = owner.targets.with_lease(target)
    if owned is None or owner.leaving or owned.announcement["state"] == "leaving":
        return None
    standing_now = standing_of(owned.belief)
    load = load_report(owned.admission)
    due = owner.monotonic() + position.due_s
    wait_s = owned.admission.estimate_wait_s(position.priority, due)
    return TargetReport(
        target,
        round(standing_now.sound, 4),
        standing_now.wants_trial,
        load.in_use,
        load.slots,
        round(wait_s, 4),
        round(standing_now.shed, 3),
    )


@asynccontextmanager
async def open_attempt(
    owner: Owner, request: AttemptRequest, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Run one attempt on a target of this node.

    Args:
        owner: The owner role.
        request: The attempt.
        head: The request as the target shall get it.
        body: Its body.

    Yields:
        The target's answer, or a refusal whose verdict is certain: ``NOT_RUN`` only
        if no byte of the request went to the target or the target itself said so.
    """
    if refusal := _refusal_before_queue(owner, request):
        yield Failure(refusal)
        return
    begun = begin(
        owner.attempts,
        request.attempt,
        on_cancel=partial(_cancel_task, asyncio.current_task()),
    )
    if isinstance(begun, Failure):
        yield Failure(begun.failure())
        return
    ended = Verdict.NOT_RUN
    try:
        owned = owner.targets.owned_by_target[request.target]
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
        async with open_slot(owned.admission, ticket) as admitted:
            if isinstance(admitted, Failure):
                yield Failure(admitted.failure())
                return
            slot = admitted.unwrap()
            if refusal := _refusal_after_queue(owner, request, owned):
                slot.record_outcome(status=None, service_s=0.0, shed=False)
                yield Failure(refusal)
                return
            # From here on the request may run, also if this task is cancelled.
            ended = Verdict.MAY_HAVE_RUN
            async with _run_beside(
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
                    ended = Verdict.RAN
                else:
                    ended = result.failure().verdict
                yield result
    finally:
        finish(owner.attempts, request.attempt, ended)


def _cancel_task(task: asyncio.Task | None) -> None:
    if task is not None:
        task.cancel()


def _refusal_before_queue(owner: Owner, request: AttemptRequest) -> Refusal | None:
    if owner.leaving:
        return not_run(Reason.NODE_LEAVING)
    owned = owner.targets.owned_by_target.get(request.target)
    if owned is None:
        return not_run(Reason.TARGET_UNKNOWN, f"{request.target} is not here")
    if owner.targets.with_lease(request.target) is None:
        return not_run(Reason.LEASE_LAPSED, f"{request.target} has not renewed")
    if owned.announcement["state"] == "leaving":
        return not_run(Reason.TARGET_LEAVING, f"{request.target} is leaving")
    if owner.is_ejected(request.target, request.route):
        return not_run(Reason.TARGET_EJECTED, f"{request.target} is ejected")
    if request.deadline <= owner.monotonic():
        return not_run(Reason.DEADLINE)
    if owner.uses_health_estimate:
        sound = probability_sound(owned.belief)
        if sound < request.least_sound:
            return _doubted(request, sound)
    return _quarantine_refusal(owner, request)


def _doubted(request: AttemptRequest, sound: float) -> Refusal:
    return not_run(Reason.TARGET_DOUBTED, f"{request.target} is {sound:.2f} sound")


def _quarantine_refusal(owner: Owner, request: AttemptRequest) -> Refusal | None:
    if standing(owner.quarantine, request.fingerprint) == REFUSED:
        return not_run(Reason.QUARANTINED, "the request crashed two targets")
    return None


def _refusal_after_queue(
    owner: Owner, request: AttemptRequest, queued_for: Owned
) -> Refusal | None:
    """Check again what may have changed in the queue or during a pause."""
    owned = owner.targets.with_lease(request.target)
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
async def _run_beside(
    run: _Run, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Run an attempt, alone on its target if it is suspected of a crash."""
    owner, request = run.owner, run.request
    runs = owner.runs_by_target.setdefault(request.target, TargetRuns())
    async with run_beside(
        owner.quarantine, runs, request.attempt, request.fingerprint
    ) as may_run:
        if not may_run:
            run.slot.record_outcome(status=None, service_s=0.0, shed=False)
            yield Failure(not_run(Reason.QUEUE_FULL, "a suspect request runs alone"))
            return
        async with _connect(run, head, body) as result:
            yield result


@asynccontextmanager
async def _connect(
    run: _Run, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Open a connection to the target and start the attempt on it."""
    owner, request = run.owner, run.request
    announcement = run.owned.announcement
    left_s = request.deadline - owner.monotonic()
    async with open_connection(
        owner.connections,
        (announcement["host"], announcement["port"]),
        max_idle_s=IDLE_MAX_S if request.idempotent else NON_IDEMPOTENT_IDLE_MAX_S,
        timeout_s=min(CONNECT_TIMEOUT_S, left_s),
    ) as connected:
        if isinstance(connected, Failure):
            run.slot.record_outcome(status=None, service_s=0.0, shed=False)
            timed_out = connected.failure().cause == "timeout"
            # With the deadline near, the time to connect ends too early to tell.
            if not timed_out or left_s >= CONNECT_TIMEOUT_S:
                _observe(run, ok=False, hard=True)
                _see(run, Sign.UNREACHABLE)
            failure = connected.failure()
            if failure.refused:
                detect_crash(owner, request.target, None)
            detail = f"{request.target}: {failure.cause}"
            yield Failure(not_run(Reason.TARGET_UNREACHABLE, detail))
            return
        connection = connected.unwrap()
        # Nothing is awaited between these checks and the first byte.
        refusal = _refusal_after_queue(owner, request, run.owned)
        if refusal is None and owner.uses_health_estimate:
            belief = run.owned.belief
            if not admit(belief, least_sound=request.least_sound):
                refusal = _doubted(request, probability_sound(belief))
        if refusal is None and not mark_started(owner.attempts, request.attempt):
            refusal = not_run(Reason.CANCELLED, "cancelled by its entry")
        if refusal is not None:
            connection.reusable = True
            yield Failure(refusal)
            return
        async with _run_on(run, connection, head, body) as result:
            yield result


@asynccontextmanager
async def _run_on(
    run: _Run, connection: Connection, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Exchange with the target and record what it showed."""
    if run.owner.uses_health_estimate:
        async with _run_believed(run, connection, head, body) as result:
            yield result
        return
    started_at = run.owner.monotonic()
    probe = partial(_probe_silent, run.owner, run.request.target, connection)
    with watch_silence(run.owned.evidence, run.request.route, probe=probe) as silence:
        async with _exchange(run, connection, head, body) as result:
            silence.waiting = False
            if isinstance(result, Failure):
                yield Failure(_lost(run, connection, silence, result.failure()))
                return
            answer = result.unwrap()
            if refusal := _target_refusal(run, answer):
                yield Failure(refusal)
                return
            # Time to the head: the rest may wait for a slow caller.
            service_s = run.owner.monotonic() - started_at
            answer.headers["Siskinlug-Service-Ms"] = f"{service_s * 1000:.2f}"
            try:
                yield Success(answer)
            finally:
                if answer.body.whole or answer.body.cut:
                    _note_answered(run, silence, answer, service_s)


@asynccontextmanager
async def _run_believed(
    run: _Run, connection: Connection, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Exchange with the target and shift the belief in it by what it showed."""
    owner, request = run.owner, run.request
    started_at = owner.monotonic()
    with watch_work(run.owned.belief, partial(_see, run), request.usual_s) as watch:
        async with _exchange(run, connection, head, body) as result:
            watch.waiting = False
            if isinstance(result, Failure):
                failure = result.failure()
                run.slot.record_outcome(status=None, service_s=0.0, shed=False)
                late = owner.monotonic() >= request.deadline
                # A kept connection may be closed just as it is used again.
                idle_close = failure.cause == "reset" and connection.reused
                if failure.cause != "body_cut" and not late and not idle_close:
                    _see(run, Sign.LOST)
                if failure.cause == "reset":
                    _note_possible_crash(run)
                reason = _REASON_BY_CAUSE[failure.cause]
                if failure.cause == "silent" and late:
                    reason = Reason.DEADLINE
                detail = f"{request.target}: {failure.cause}"
                yield Failure(may_have_run(reason, detail))
                return
            answer = result.unwrap()
            if refusal := _target_refusal(run, answer):
                yield Failure(refusal)
                return
            _note_shed(run, shed=False)
            service_s = owner.monotonic() - started_at
            answer.headers["Siskinlug-Service-Ms"] = f"{service_s * 1000:.2f}"
            if answer.status >= 500:
                fast = service_s < FAST_ERROR_S
                _see(run, Sign.FAST_ERROR if fast else Sign.LATE_ERROR)
            elif not watch.counted:
                _see(run, Sign.WORKS)
            try:
                yield Success(answer)
            finally:
                run.slot.record_outcome(
                    status=answer.status, service_s=service_s, shed=False
                )
                if answer.body.cut:
                    _see(run, Sign.LOST)
                    _note_possible_crash(run)
                elif answer.body.whole and answer.status < 500:
                    _note_survived(run)


def _see(run: _Run, sign: Sign) -> None:
    """Shift the belief in a target, and let its queue go elsewhere if it fails."""
    belief = run.owned.belief
    before = probability_sound(belief)
    after = see(belief, sign)
    log_event(
        "sign",
        target=run.request.target,
        sign=sign.name.lower(),
        request_id=run.request_id,
        attempt=run.request.attempt,
        route=run.request.route,
        sound_before=round(before, 3),
        sound=round(after, 3),
    )
    if after < QUEUE_LEAVES_BELOW:
        run.owned.admission.refuse_queued(Reason.TARGET_DOUBTED)


def _note_shed(run: _Run, *, shed: bool) -> None:
    share = note_shed(run.owned.belief, shed=shed)
    if shed:
        log_event(
            "shed",
            target=run.request.target,
            request_id=run.request_id,
            attempt=run.request.attempt,
            route=run.request.route,
            share=round(share, 3),
        )


def _note_survived(run: _Run) -> None:
    owner, fingerprint = run.owner, run.request.fingerprint
    if standing(owner.quarantine, fingerprint) != CLEAR:
        note_survived(owner.quarantine, fingerprint)
        owner.on_suspicions()


def _target_refusal(run: _Run, answer: Answer) -> Refusal | None:
    """Return the refusal that a target's answer stands for, if it is one."""
    dialect = run.owner.dialect
    if answer.status == 421 and dialect.expected_target:
        run.slot.record_outcome(status=None, service_s=0.0, shed=False)
        _see(run, Sign.UNREACHABLE)
        return not_run(Reason.TARGET_UNKNOWN, f"{run.request.target} has moved")
    # A target of our own dialect sheds with 503 alone.
    if answer.headers.get(dialect.not_run) and (
        answer.status == 503 or dialect.expected_target
    ):
        run.slot.record_outcome(status=503, service_s=0.0, shed=True)
        if run.owner.uses_health_estimate:
            _note_shed(run, shed=True)
        return not_run(Reason.TARGET_SHED, run.request.target)
    return None


def _is_own_answer(answer: Answer, answered: str | None, sent: str | None) -> bool:
    """Whether an answer belongs to the request that was sent last.

    A late answer to an earlier request on the connection bears the id of that one.
    """
    if answered is None:
        # Whoever fails without reading the request knows no id.
        return answer.status >= 400
    return answered == sent


async def _probe_silent(owner: Owner, target: str, connection: Connection) -> bool:
    """Probe a target that has been silent for longer than usual.

    If it answers on a new connection, idle ones may be as silent as this one and are
    closed. The request itself waits on, since it may be long work.
    """
    answered = await owner.probe(target)
    if answered:
        owner.connections.drop_address(connection.address)
    return answered


@asynccontextmanager
async def _exchange(
    run: _Run, connection: Connection, head: RequestHead, body: BodyStream
) -> AsyncIterator[Result[Answer, ExchangeFailure]]:
    left_s = run.request.deadline - run.owner.monotonic()
    headers, dialect = head.headers, run.owner.dialect
    drop_hop_by_hop(headers)
    drop_prefix(
        headers, "Siskinlug-", keep={dialect.request_id, dialect.caller_service}
    )
    headers[dialect.target_wait_ms] = str(max(1, int(left_s * 1000)))
    if dialect.expected_target:
        headers[dialect.expected_target] = run.request.target
    request_id = headers.get(dialect.request_id)
    async with exchange(connection, head, body, first_byte_s=left_s) as result:
        if isinstance(result, Success):
            answer = result.unwrap()
            answered_id = answer.headers.get(dialect.request_id)
            keep = {*dialect.kept_on_answers, dialect.not_run}
            drop_prefix(answer.headers, "Siskinlug-", keep=keep)
            if dialect.answer_id and not _is_own_answer(
                answer, answered_id, request_id
            ):
                yield Failure(ExchangeFailure(True, "malformed"))
                return
            if not has_length(head.method, answer) and not dialect.close_ends_answers:
                # Without a length a cut answer would look like a whole one.
                yield Failure(ExchangeFailure(True, "malformed"))
                return
        yield result


def _note_answered(
    run: _Run, silence: Silence, answer: Answer, service_s: float
) -> None:
    run.slot.record_outcome(status=answer.status, service_s=service_s, shed=False)
    owner, fingerprint = run.owner, run.request.fingerprint
    cut = answer.body.cut
    ok = answer.status < 500 and not cut
    if cut:
        _note_possible_crash(run)
    elif ok and standing(owner.quarantine, fingerprint) != CLEAR:
        note_survived(owner.quarantine, fingerprint)
        owner.on_suspicions()
    if not silence.observed:
        _observe(run, ok=ok, hard=cut, service_s=service_s)


def _note_possible_crash(run: _Run) -> None:
    target = run.request.target
    note_reset(
        run.owner.resets,
        target,
        run.owned.announcement["incarnation"],
        run.owner.runs_by_target[target].fingerprint_by_attempt.values(),
    )


def _lost(
    run: _Run, connection: Connection, silence: Silence, failure: ExchangeFailure
) -> Refusal:
    """Record an exchange without an answer and return its refusal."""
    late = run.owner.monotonic() >= run.request.deadline
    run.slot.record_outcome(status=None, service_s=0.0, shed=False)
    # A request whose deadline was near when it left the queue tells nothing.
    too_short = failure.cause == "silent" and not silence.passed_bound()
    if failure.cause != "body_cut" and not silence.observed and not too_short:
        # A target may close a kept connection just as it is used again.
        hard = failure.cause != "reset" or not connection.reused
        _observe(run, ok=False, hard=hard)
    if failure.cause == "reset":
        _note_possible_crash(run)
    reason = _REASON_BY_CAUSE[failure.cause]
    if failure.cause == "silent" and late:
        reason = Reason.DEADLINE
    return may_have_run(reason, f"{run.request.target}: {failure.cause}")


def _observe(run: _Run, *, ok: bool, hard: bool, service_s: float = 0.0) -> None:
    outcome = Outcome(
        route=run.request.route,
        ok=ok,
        hard=hard,
        service_s=service_s,
        baseline_s=run.request.baseline_s,
    )
    observe(run.owned.evidence, outcome)
