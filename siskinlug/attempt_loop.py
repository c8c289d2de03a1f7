"""Attempts at targets until one answers or a refusal is final."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from functools import partial

from returns.result import Failure, Result

from siskinlug.entry_state import (
    AttemptOutcome,
    Entry,
    Placement,
    Request,
    baseline_s,
    new_id,
    usual_s,
)
from siskinlug.exchange import Answer
from siskinlug.hedging import open_hedged
from siskinlug.inbound import Inbound
from siskinlug.logs import log_event
from siskinlug.owner import AttemptRequest, open_attempt
from siskinlug.passing import KeptCopy, hold_failure, pass_on, send_copy
from siskinlug.remote_attempts import open_remote_attempt
from siskinlug.retries import (
    FREE_REASONS,
    Budget,
    hedge_after_s,
    make_retry_budget,
    make_window_budget,
    may_retry,
    note_success,
)
from siskinlug.verdict import Reason, Refusal, Verdict, may_have_run, not_run

# Time that the entry keeps for itself when it tells an owner how long is left.
DEADLINE_MARGIN_S = 0.005
# Time for which a target that could not take a request is passed over.
AVOID_S = 1.0


async def run_attempts(
    entry: Entry,
    inbound: Inbound,
    request: Request,
    outcomes: list[AttemptOutcome],
    copy: KeptCopy,
) -> Refusal | None:
    """Try targets until one answers or a refusal is final.

    Args:
        entry: The entry role.
        inbound: The request.
        request: What is known of it.
        outcomes: Takes the targets that were tried.
        copy: Takes the answer that is passed on.

    Returns:
        The final refusal, or ``None`` when an answer was passed on.
    """
    budget = _budget(entry, request)
    by_request = entry.retry_allowance().by_request
    if by_request:
        note_success(budget)
    failed: KeptCopy | None = None
    while True:
        placement = await entry.place(entry, request, outcomes)
        if placement is None:
            if failed is not None:
                await send_copy(inbound, failed)
                return None
            return _no_candidate(outcomes)
        async with open_hedged(
            placement,
            open_attempt=partial(_open, entry, inbound, request),
            after_s=_hedge_after_s(entry, inbound, request, outcomes),
            place_hedge=partial(_place_hedge, entry, request, outcomes, budget),
            outcomes=outcomes,
        ) as (placement, result):
            target = placement.candidate.target
            if isinstance(result, Failure):
                refusal = result.failure()
            else:
                answer = result.unwrap()
                if not _is_worth_repeating(entry, request, answer, outcomes):
                    if await pass_on(entry, inbound, request, target, answer, copy):
                        outcomes.append(
                            AttemptOutcome(target, placement.candidate.node, None)
                        )
                        if answer.status < 500 and not by_request:
                            note_success(budget)
                        return None
                    # The caller has got nothing of this answer.
                    refusal = may_have_run(Reason.TARGET_RESET, "the answer was cut")
                else:
                    held = await hold_failure(entry, request, target, answer)
                    failed = held or failed
                    refusal = may_have_run(Reason.TARGET_FAILED, f"{answer.status}")
        outcomes.append(AttemptOutcome(target, placement.candidate.node, refusal))
        _avoid(entry, target, refusal)
        entry.metrics.attempts.add(
            1, {"route": request.route.name, "outcome": refusal.reason.value}
        )
        if inbound.body.too_large:
            # A target may have begun to work on the part that it got.
            return may_have_run(Reason.BODY_TOO_LARGE)
        if not _may_try_again(entry, inbound, request, refusal, outcomes, budget):
            if failed is not None:
                await send_copy(inbound, failed)
                return None
            return _overall(refusal, outcomes)
        entry.metrics.retries.add(1, {"pool": request.pool.name})


def _hedge_after_s(
    entry: Entry, inbound: Inbound, request: Request, outcomes: Sequence[AttemptOutcome]
) -> float | None:
    """Return after how long the next attempt gets a second one beside it."""
    ratio = entry.retry_allowance().hedge_ratio
    sent = 1 + sum(outcome.sent for outcome in outcomes)
    body = inbound.body
    if not ratio or sent > request.route.retries or not body.whole:
        return None
    return hedge_after_s(
        request.route,
        long_work=request.long_work,
        usual_s=usual_s(entry, request),
        ratio=ratio,
    )


async def _place_hedge(
    entry: Entry,
    request: Request,
    outcomes: Sequence[AttemptOutcome],
    budget: Budget,
    first: Placement,
) -> Placement | None:
    """Place an attempt beside a running one, where a slot is free for it."""
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


def _budget(entry: Entry, request: Request) -> Budget:
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


def _is_worth_repeating(
    entry: Entry, request: Request, answer: Answer, outcomes: Sequence[AttemptOutcome]
) -> bool:
    """Whether a target's failure is kept back for a while to try another target."""
    sent = 1 + sum(outcome.sent for outcome in outcomes)
    return (
        entry.hold_answer_bytes > 0
        and answer.status >= 500
        and request.route.idempotent
        and sent <= request.route.retries
    )


def _no_candidate(outcomes: Sequence[AttemptOutcome]) -> Refusal:
    for outcome in reversed(outcomes):
        if outcome.refusal is not None:
            return _overall(outcome.refusal, outcomes)
    return not_run(Reason.NO_TARGET, "no target of the pool is in", retry_after_s=1.0)


def _overall(refusal: Refusal, outcomes: Sequence[AttemptOutcome]) -> Refusal:
    """Return the last refusal, as possibly run if any attempt may have run."""
    if refusal.verdict is Verdict.NOT_RUN and any(outcome.sent for outcome in outcomes):
        return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
    return refusal


def _may_try_again(
    entry: Entry,
    inbound: Inbound,
    request: Request,
    refusal: Refusal,
    outcomes: Sequence[AttemptOutcome],
    budget: Budget,
) -> bool:
    if not inbound.body.can_replay:
        return False
    return may_retry(
        request.route,
        refusal,
        attempt=len(outcomes),
        sent=sum(outcome.sent for outcome in outcomes),
        now=entry.monotonic(),
        deadline=request.deadline,
        expected_s=baseline_s(entry, request.route.name) or 0.0,
        budget=budget,
    )


def _avoid(entry: Entry, target: str, refusal: Refusal) -> None:
    """Pass over a target for a moment if it could not take a request at all.

    Its load report shows free slots, so without this it would attract requests until
    its owner's view has spread.
    """
    if refusal.verdict is Verdict.NOT_RUN and refusal.reason in FREE_REASONS:
        entry.avoid_until_by_target[target] = entry.monotonic() + AVOID_S


@asynccontextmanager
async def _open(
    entry: Entry, inbound: Inbound, request: Request, placement: Placement
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Open an attempt at the owner, which may be this process."""
    candidate = placement.candidate
    attempt = AttemptRequest(
        attempt=new_id(entry),
        target=candidate.target,
        route=request.route.name,
        account=request.account,
        priority=request.route.priority,
        long_work=request.long_work,
        idempotent=request.route.idempotent,
        deadline=request.deadline - DEADLINE_MARGIN_S,
        baseline_s=baseline_s(entry, request.route.name),
        fingerprint=request.fingerprint,
        min_health=placement.min_health,
        usual_s=usual_s(entry, request),
        wait_limit_s=placement.wait_limit_s,
        due=request.started_at + request.objective_s,
    )
    # A target or an owner changes the headers that it is given.
    head = request.head._replace(headers=request.head.headers.copy())
    if candidate.node == entry.view.directory.own_node:
        async with open_attempt(entry.owner, attempt, head, inbound.body) as result:
            yield result
        return
    node = entry.view.directory.record_by_node.get(candidate.node)
    if node is None:
        yield Failure(not_run(Reason.PEER_UNREACHABLE, candidate.node))
        return
    async with open_remote_attempt(
        entry.remote, node, attempt, head, inbound.body
    ) as result:
        yield result
