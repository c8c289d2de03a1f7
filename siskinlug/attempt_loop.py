"""The loop of attempts at targets, until one answers or a refusal is final."""

import asyncio
import math
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from functools import partial

from returns.result import Failure, Result

from siskinlug.entry_state import (
    AttemptOutcome,
    Entry,
    Placement,
    Request,
    latest_start_at,
    median_service_time_s,
    new_id,
    usual_service_time_s,
)
from siskinlug.exchange import Answer
from siskinlug.forwarding import AnswerCopy, buffer_failure, forward_answer, send_copy
from siskinlug.hedging import open_hedged
from siskinlug.inbound import InboundRequest
from siskinlug.logs import log_event
from siskinlug.owner import AttemptRequest, open_attempt
from siskinlug.remote_attempts import open_remote_attempt
from siskinlug.retries import (
    BUDGET_FREE_REASONS,
    Budget,
    earn_credit,
    hedge_after_s,
    make_retry_budget,
    make_window_budget,
    may_retry,
)
from siskinlug.target_signals import read_signals, remember_signals
from siskinlug.verdict import (
    Reason,
    Refusal,
    Verdict,
    may_have_run,
    node_leaving,
    not_run,
)
from siskinlug.withdrawal import OpenAttempt, track_attempt

# Subtracted from the deadline that owners get, to leave time for the response to reach
# the entry.
DEADLINE_MARGIN_S = 0.005
# Time for which a target that could not take a request is avoided.
TARGET_AVOID_S = 1.0


async def run_attempts(
    entry: Entry,
    inbound: InboundRequest,
    request: Request,
    outcomes: list[AttemptOutcome],
    copy: AnswerCopy,
) -> Refusal | None:
    """Try targets until one answers or a refusal is final.

    Args:
        entry: The entry role.
        inbound: The request.
        request: The request with its route and pool.
        outcomes: Receives the outcome of each attempt.
        copy: Receives a copy of the response that is forwarded.

    Returns:
        The final refusal, or ``None`` if a response was forwarded.

    Raises:
        BodyCut: The caller disconnected, or the response broke off after its head had
            been forwarded.
    """
    budget = _retry_budget(entry, request)
    earned_by_requests = entry.retry_allowance().earned_by_requests
    if earned_by_requests:
        earn_credit(budget)
    buffered_failure: AnswerCopy | None = None
    while True:
        placement = None
        if entry.monotonic() <= latest_start_at(entry, request):
            placement = await entry.place(entry, request, outcomes)
        if placement is None:
            if buffered_failure is not None:
                await send_copy(inbound, buffered_failure)
                return None
            return _refuse_without_target(entry, outcomes)
        async with open_hedged(
            placement,
            open_attempt=partial(_open_attempt, entry, inbound, request),
            after_s=_hedge_after_s(entry, inbound, request, outcomes),
            place_hedge=partial(_place_hedge, entry, request, outcomes, budget),
            outcomes=outcomes,
        ) as (placement, result):
            target = placement.candidate.target
            if isinstance(result, Failure):
                refusal = result.failure()
            else:
                answer = result.unwrap()
                signals = read_signals(entry.dialect, answer.headers)
                remember_signals(entry.signals, placement.candidate.process, signals)
                if not _should_buffer_failure(entry, request, answer, outcomes):
                    if await forward_answer(
                        entry, inbound, request, target, answer, copy
                    ):
                        outcomes.append(
                            AttemptOutcome(target, placement.candidate.node, None)
                        )
                        if answer.status < 500 and not earned_by_requests:
                            earn_credit(budget)
                        return None
                    # The caller has received no byte of this response.
                    refusal = _cut_refusal(entry, request)
                else:
                    complete = await buffer_failure(entry, request, target, answer)
                    buffered_failure = complete or buffered_failure
                    refusal = may_have_run(Reason.TARGET_FAILED, f"{answer.status}")
        outcomes.append(AttemptOutcome(target, placement.candidate.node, refusal))
        _avoid_target(entry, target, refusal)
        entry.metrics.attempts.add(
            1, {"route": request.route.name, "outcome": refusal.reason.value}
        )
        if inbound.body.too_large:
            # A target may have started on the part of the body that it received.
            return may_have_run(Reason.BODY_TOO_LARGE)
        if not _may_try_again(entry, inbound, request, refusal, outcomes, budget):
            if buffered_failure is not None:
                await send_copy(inbound, buffered_failure)
                return None
            return _final_refusal(refusal, outcomes)
        entry.metrics.retries.add(1, {"pool": request.pool.name})


def _cut_refusal(entry: Entry, request: Request) -> Refusal:
    """Return the refusal for a response that ended early, by itself or in time."""
    # Its owner ends it a margin before the deadline, and the header is in whole ms.
    latest = request.answer_deadline - 2 * DEADLINE_MARGIN_S
    if entry.monotonic() >= latest:
        return may_have_run(Reason.DEADLINE, "the answer was not complete in time")
    return may_have_run(Reason.TARGET_RESET, "the answer was cut")


def _hedge_after_s(
    entry: Entry,
    inbound: InboundRequest,
    request: Request,
    outcomes: Sequence[AttemptOutcome],
) -> float | None:
    """Return after how many seconds to hedge the next attempt, or ``None`` for never.

    An attempt is not hedged if hedging is off, if the route allows no further retry,
    or if the body is not complete or too long to be sent twice.
    """
    ratio = entry.retry_allowance().hedge_ratio
    possible_runs = 1 + sum(outcome.may_have_run for outcome in outcomes)
    body = inbound.body
    if not ratio or possible_runs > request.route.retries:
        return None
    if not (body.complete and body.can_replay):
        return None
    return hedge_after_s(
        request.route,
        long_work=request.long_work,
        usual_s=usual_service_time_s(entry, request),
        ratio=ratio,
    )


async def _place_hedge(
    entry: Entry,
    request: Request,
    outcomes: Sequence[AttemptOutcome],
    budget: Budget,
    first: Placement,
) -> Placement | None:
    """Choose the target of a hedging attempt and spend a retry on it.

    Args:
        entry: The entry role.
        request: The request.
        outcomes: Outcomes of the attempts before the running one.
        budget: The pool's retry budget.
        first: The placement of the running attempt.

    Returns:
        The placement, or ``None`` if the budget has no credit or no target has a free
        slot.
    """
    running = AttemptOutcome(
        first.candidate.target, first.candidate.node, may_have_run(Reason.CANCELLED)
    )
    if budget.credit < 1.0:
        return None
    placement = await entry.place(entry, request, [*outcomes, running])
    if placement is None or placement.wait_s > 0 or not budget.try_spend():
        return None
    entry.metrics.retries.add(1, {"pool": request.pool.name})
    log_event(
        "hedged",
        request_id=request.request_id,
        running=first.candidate.target,
        target=placement.candidate.target,
    )
    return placement


def _retry_budget(entry: Entry, request: Request) -> Budget:
    """Return the retry budget of a request's pool; make it for its first request."""
    budget = entry.budget_by_pool.get(request.pool.name)
    if budget is None:
        allowance = entry.retry_allowance()
        if allowance.window_s > 0:
            budget = make_window_budget(
                entry.retry_allowance,
                monotonic=entry.monotonic,
                started_at=entry.started_at,
            )
        else:
            budget = make_retry_budget(
                ratio=allowance.ratio, burst=allowance.burst, monotonic=entry.monotonic
            )
        entry.budget_by_pool[request.pool.name] = budget
    return budget


def _should_buffer_failure(
    entry: Entry, request: Request, answer: Answer, outcomes: Sequence[AttemptOutcome]
) -> bool:
    """Whether to buffer a target's failure and try another target."""
    possible_runs = 1 + sum(outcome.may_have_run for outcome in outcomes)
    return (
        entry.buffer_answer_bytes > 0
        and answer.status >= 500
        and request.route.idempotent
        and possible_runs <= request.route.retries
    )


def _refuse_without_target(entry: Entry, outcomes: Sequence[AttemptOutcome]) -> Refusal:
    """Return the refusal of a request for which there is no further target."""
    for outcome in reversed(outcomes):
        if outcome.refusal is not None:
            return _final_refusal(outcome.refusal, outcomes)
    if entry.stop_at < math.inf:
        return node_leaving()
    return not_run(Reason.NO_TARGET, "no target of the pool is in", retry_after_s=1.0)


def _final_refusal(refusal: Refusal, outcomes: Sequence[AttemptOutcome]) -> Refusal:
    """Return the last refusal; it says may-have-run if any attempt may have run."""
    if refusal.verdict is Verdict.NOT_RUN and any(
        outcome.may_have_run for outcome in outcomes
    ):
        return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
    return refusal


def _may_try_again(
    entry: Entry,
    inbound: InboundRequest,
    request: Request,
    refusal: Refusal,
    outcomes: Sequence[AttemptOutcome],
    budget: Budget,
) -> bool:
    """Decide on another attempt after a refusal, and spend the budget for it."""
    if not inbound.body.can_replay:
        return False
    return may_retry(
        request.route,
        refusal,
        attempt=len(outcomes),
        possible_runs=sum(outcome.may_have_run for outcome in outcomes),
        now=entry.monotonic(),
        deadline=request.deadline,
        expected_s=median_service_time_s(entry, request.route.name) or 0.0,
        budget=budget,
    )


def _avoid_target(entry: Entry, target: str, refusal: Refusal) -> None:
    """Avoid a target for ``TARGET_AVOID_S`` if it could not take a request at all.

    Its last load report shows free slots, so it would attract requests until a newer
    report arrives from its owner.
    """
    if refusal.verdict is Verdict.NOT_RUN and refusal.reason in BUDGET_FREE_REASONS:
        entry.avoid_until_by_target[target] = entry.monotonic() + TARGET_AVOID_S


@asynccontextmanager
async def _open_attempt(
    entry: Entry, inbound: InboundRequest, request: Request, placement: Placement
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Open an attempt at the target's owner, which may be this process.

    Yields:
        The target's response, or why there is none.
    """
    candidate = placement.candidate
    inbound.never_sent = False
    attempt = AttemptRequest(
        attempt=new_id(entry),
        target=candidate.target,
        route=request.route.name,
        account=request.account,
        priority=request.route.priority,
        long_work=request.long_work,
        idempotent=request.route.idempotent,
        deadline=request.deadline - DEADLINE_MARGIN_S,
        answer_deadline=request.answer_deadline - DEADLINE_MARGIN_S,
        baseline_s=median_service_time_s(entry, request.route.name),
        fingerprint=request.fingerprint,
        min_health=placement.min_health,
        usual_s=usual_service_time_s(entry, request),
        wait_limit_s=placement.wait_limit_s,
        due=request.started_at + request.objective_s,
        known_limit_per_s=entry.signals.limit_by_target.get(candidate.process),
    )
    # Each attempt changes the headers that it is given.
    head = request.head._replace(headers=request.head.headers.copy())
    with _log_abandoned(entry, request, attempt, candidate.node):
        if candidate.node == entry.view.directory.own_node:
            async with open_attempt(entry.owner, attempt, head, inbound.body) as result:
                yield result
            return
        node = entry.view.directory.record_by_node.get(candidate.node)
        if node is None:
            yield Failure(not_run(Reason.PEER_UNREACHABLE, candidate.node))
            return
        usual_s = usual_service_time_s(entry, request)
        opened = OpenAttempt(attempt.attempt, request.request_id, node, usual_s)
        with track_attempt(entry.open_by_attempt, opened):
            async with open_remote_attempt(
                entry.remote, node, attempt, head, inbound.body
            ) as result:
                yield result


@contextmanager
def _log_abandoned(
    entry: Entry, request: Request, attempt: AttemptRequest, owner: str
) -> Iterator[None]:
    """Log where an attempt was if it is cancelled within the block."""
    opened_at = entry.monotonic()
    try:
        yield
    except asyncio.CancelledError:
        log_event(
            "attempt_abandoned",
            request_id=request.request_id,
            attempt=attempt.attempt,
            target=attempt.target,
            owner=owner,
            open_s=round(entry.monotonic() - opened_at, 3),
        )
        raise
