"""Selection of the target of an attempt, from load reports or by polling owners."""

import asyncio
import math
from collections import Counter
from collections.abc import Sequence

from siskinlug.candidates import TargetView, find_candidates
from siskinlug.deadline_queue import MIN_SERVICE_TIME_SHARE
from siskinlug.entry_state import (
    AttemptOutcome,
    Entry,
    PlaceAttempt,
    Placement,
    Request,
    latest_start_at,
    usual_service_time_s,
)
from siskinlug.load_balancing import Candidate, LoadBalancer
from siskinlug.load_poll import (
    LoadPolls,
    PolledNode,
    QueuePosition,
    TargetReport,
    poll_targets,
)
from siskinlug.logs import log_event
from siskinlug.placement_cost import (
    RequestProfile,
    ScoredTarget,
    TargetState,
    is_healthy_enough,
    select_min_cost,
)
from siskinlug.retries import may_trial

# Polling more targets costs datagrams for little gain: the best of eight is rarely much
# worse than the best of all.
MAX_POLLED_TARGETS = 8
# Mean pause before owners are polled again when no target was suitable. The state of a
# target changes with each of its responses, several times a second.
POLL_AGAIN_PAUSE_S = 0.12
# Share of the objective that a request may spend waiting for a healthy target.
OBJECTIVE_WAIT_SHARE = 0.5
# By how much the health of a target may fall between the poll and the arrival of the
# request before the owner refuses it.
HEALTH_TOLERANCE = 0.2
# Size of a request and its response on a route that has not been used yet. It is large
# enough to prefer near targets, since the response may be large.
DEFAULT_MESSAGE_BYTES = 30_000.0
# A request that waits in a target's queue for longer than WAIT_LIMIT_BASE_S plus
# WAIT_LIMIT_RATIO times the reported wait is placed again, so that it does not stay in
# a queue that formed before other targets were known or free.
WAIT_LIMIT_BASE_S = 0.3
WAIT_LIMIT_RATIO = 1.5
_BYTES_PER_MB = 1e6


def select_by_load_reports(choose: LoadBalancer) -> PlaceAttempt:
    """Make a selection that uses the load reports received with earlier responses.

    Args:
        choose: Load balancer that chooses among the candidates.

    Returns:
        A coroutine function that selects the target of an attempt.
    """

    async def select_target(
        entry: Entry, request: Request, outcomes: Sequence[AttemptOutcome]
    ) -> Placement | None:
        tried = {outcome.target for outcome in outcomes}
        remaining = _remaining_candidates(entry, request, tried)
        now = entry.monotonic()
        not_avoided = [
            c
            for c in remaining
            if entry.avoid_until_by_target.get(c.target, 0.0) <= now
        ]
        chosen = choose(not_avoided or remaining, long_work=request.long_work)
        return None if chosen is None else Placement(chosen)

    return select_target


def select_by_polling(polls: LoadPolls) -> PlaceAttempt:
    """Make a selection that polls the owners of some targets for each attempt.

    If no polled target is suitable, the owners are polled again until the request
    could no longer finish in time.

    Args:
        polls: This node's polls.

    Returns:
        A coroutine function that selects the target of an attempt.
    """

    async def select_target(
        entry: Entry, request: Request, outcomes: Sequence[AttemptOutcome]
    ) -> Placement | None:
        max_wait_s = OBJECTIVE_WAIT_SHARE * request.objective_s
        relax_health_at = request.started_at + max_wait_s
        latest_start = request.deadline - MIN_SERVICE_TIME_SHARE * usual_service_time_s(
            entry, request
        )
        while True:
            # A request that cannot finish before this node stops is refused early
            # enough for the refusal to reach the caller.
            latest_start = min(latest_start, latest_start_at(entry, request))
            if entry.monotonic() > latest_start and entry.stop_at < math.inf:
                return None
            remaining = _remaining_candidates(
                entry, request, {o.target for o in outcomes if o.may_have_run}
            )
            if not remaining and (
                outcomes or entry.monotonic() >= entry.startup_grace_until
            ):
                return None
            selected = (
                await _poll_and_select(entry, polls, request, remaining, outcomes)
                if remaining
                else None
            )
            now = entry.monotonic()
            if selected is not None and is_healthy_enough(
                selected.state,
                idempotent=request.route.idempotent,
                after_wait=now >= relax_health_at,
            ):
                health = selected.state.health
                min_health = max(health - HEALTH_TOLERANCE, 0.0)
                wait_s = selected.state.wait_s
                return Placement(
                    candidate=selected.state.candidate,
                    min_health=min_health,
                    wait_s=wait_s,
                    wait_limit_s=min(
                        WAIT_LIMIT_BASE_S + WAIT_LIMIT_RATIO * wait_s,
                        max(latest_start - now, 0.0),
                    ),
                )
            if now + POLL_AGAIN_PAUSE_S > latest_start:
                return None
            await asyncio.sleep(POLL_AGAIN_PAUSE_S * entry.random.uniform(0.7, 1.3))

    return select_target


async def _poll_and_select(
    entry: Entry,
    polls: LoadPolls,
    request: Request,
    remaining: Sequence[Candidate],
    outcomes: Sequence[AttemptOutcome],
) -> ScoredTarget | None:
    """Poll the owners of some candidates and select the target with the lowest cost."""
    budget = entry.budget_by_pool.get(request.pool.name)
    profile = RequestProfile(
        # A failed trial is followed by another attempt, which needs a retry.
        may_trial=request.route.idempotent
        and sum(outcome.may_have_run for outcome in outcomes) < request.route.retries
        and budget is not None
        and may_trial(budget, entry.retry_allowance()),
        objective_s=request.objective_s,
        remaining_s=request.started_at + request.objective_s - entry.monotonic(),
        usual_service_time_s=usual_service_time_s(entry, request),
        may_retry=budget is not None and budget.credit >= 1.0,
        transfer_mb=entry.usual_bytes_by_route.get(
            request.route.name, DEFAULT_MESSAGE_BYTES
        )
        / _BYTES_PER_MB,
    )
    candidate_by_target = {c.target: c for c in _sample_candidates(entry, remaining)}
    own_node = entry.view.directory.own_node
    targets_by_node: dict[str, list[str]] = {}
    for candidate in candidate_by_target.values():
        targets_by_node.setdefault(candidate.node, []).append(candidate.target)
    own_targets = targets_by_node.pop(own_node, [])
    position = QueuePosition(request.route.priority, profile.remaining_s)
    own_reports = [polls.report(target, position) for target in own_targets]
    reports = [report for report in own_reports if report is not None]
    reports += await poll_targets(
        polls, _owners_to_poll(entry.view, targets_by_node), position
    )
    refusals = Counter(
        outcome.target for outcome in outcomes if not outcome.may_have_run
    )
    states = [
        _make_target_state(candidate_by_target[report.target], report, refusals)
        for report in reports
        if report.target in candidate_by_target
    ]
    entry.random.shuffle(states)
    selected = select_min_cost(states, profile)
    if selected is not None:
        log_event(
            "placed",
            request_id=request.request_id,
            target=selected.state.candidate.target,
            owner=selected.state.candidate.node,
            sound=selected.state.health,
            shed=selected.state.shed,
            wait_s=selected.state.wait_s,
            in_use=selected.state.in_use,
            cost=round(selected.cost, 4),
            may_trial=profile.may_trial,
            asked=len(candidate_by_target),
            answered=len(states),
            best_sound=max(state.health for state in states),
        )
    return selected


def _remaining_candidates(
    entry: Entry, request: Request, excluded: set[str]
) -> list[Candidate]:
    """Return the candidates for a request without excluded and leaving targets."""
    remaining = find_candidates(entry.view, request.route, request.pool)
    leaving = entry.signals.leaving
    return [
        c for c in remaining if c.target not in excluded and c.process not in leaving
    ]


def _sample_candidates(
    entry: Entry, remaining: Sequence[Candidate]
) -> Sequence[Candidate]:
    """Draw the candidates to poll at random, half of them from other failure domains.

    The other domains are included so that a fault in the own domain does not affect
    every polled target. If either group is too small, the other one fills the sample.
    """
    if len(remaining) <= MAX_POLLED_TARGETS:
        return remaining
    near = [c for c in remaining if c.distance <= 1]
    far = [c for c in remaining if c.distance > 1]
    near_count = min(
        len(near), max(MAX_POLLED_TARGETS // 2, MAX_POLLED_TARGETS - len(far))
    )
    return [
        *entry.random.sample(near, near_count),
        *entry.random.sample(far, min(MAX_POLLED_TARGETS - near_count, len(far))),
    ]


def _owners_to_poll(
    view: TargetView, targets_by_node: dict[str, list[str]]
) -> list[PolledNode]:
    owners = []
    for node, targets in targets_by_node.items():
        record = view.directory.record_by_node.get(node)
        if record is not None:
            owners.append(PolledNode((record.host, record.peer_port), targets))
    return owners


def _make_target_state(
    candidate: Candidate, report: TargetReport, refusals: Counter[str]
) -> TargetState:
    return TargetState(
        candidate=candidate,
        health=report.health,
        wants_trial=report.wants_trial,
        in_use=report.in_use,
        slots=report.slots,
        wait_s=report.wait_s,
        shed=report.shed,
        refusals=refusals[candidate.target],
        untested=report.untested,
    )
