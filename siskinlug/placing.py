"""Two ways to place an attempt: by load reports, or by asking owners."""

import asyncio
import math
from collections import Counter
from collections.abc import Sequence

from siskinlug.candidates import TargetView, candidates
from siskinlug.choice import Candidate, Choice
from siskinlug.deadline_queue import MIN_SERVICE_TIME_SHARE
from siskinlug.entry_state import (
    AttemptOutcome,
    Entry,
    PlaceAttempt,
    Placement,
    Request,
    usual_s,
)
from siskinlug.load_poll import (
    LoadPolls,
    PolledNode,
    QueuePosition,
    TargetReport,
    poll_targets,
)
from siskinlug.logs import log_event
from siskinlug.placement import Need, Placed, TargetState, place

# Targets that are asked for one attempt. More would cost datagrams and find little:
# the best of eight is rarely much worse than the best of all.
ASK_MOST = 8
# Pause before owners are asked again when none has a target that will do, in seconds:
# a target's state changes with each of its answers, several times a second.
ASK_PAUSE_S = 0.12
# Share of the objective that a request may spend waiting for a sound target.
WAIT_SHARE = 0.5
# Work that may not be repeated waits for a target at least this likely to be sound,
# and at the end of its wait goes to one that is at least somewhat likely to be.
SOUND_ENOUGH = 0.85
SOUND_AT_LEAST = 0.1
# How much worse than an entry was told a target may have become when a request
# arrives there.
SOUND_SLACK = 0.2
# Size of a request and its answer on a route that has not been used yet: enough to
# prefer near targets, since the answer may be large.
UNKNOWN_BYTES = 30_000.0
# Retries that must be left for a trial, so that the last ones go to failures.
TRIAL_CREDIT = 1.5
# A request that waits for much longer than its entry was told is placed again, so that
# a queue which formed before other targets were known, or free, does not keep it.
WAIT_LIMIT_S = 0.3
WAIT_LIMIT_RATIO = 1.5
_MEGABYTE = 1e6


def place_by_load(choose: Choice) -> PlaceAttempt:
    """Place by the load reports that came with earlier answers.

    Args:
        choose: Chooses one of the candidates.
    """

    async def place_attempt(
        entry: Entry, request: Request, attempted: Sequence[AttemptOutcome]
    ) -> Placement | None:
        tried = {attempt.target for attempt in attempted}
        left = _candidates(entry, request, tried)
        now = entry.monotonic()
        open_now = [
            c for c in left if entry.avoid_until_by_target.get(c.target, 0.0) <= now
        ]
        chosen = choose(open_now or left, long_work=request.long_work)
        return None if chosen is None else Placement(chosen)

    return place_attempt


def place_by_asking(polls: LoadPolls) -> PlaceAttempt:
    """Place by what the owners of some targets say just now.

    Args:
        polls: This node's polls.
    """

    async def place_attempt(
        entry: Entry, request: Request, attempted: Sequence[AttemptOutcome]
    ) -> Placement | None:
        patience_s = WAIT_SHARE * request.objective_s
        give_up_at = request.started_at + patience_s
        last_at = request.deadline - MIN_SERVICE_TIME_SHARE * usual_s(entry, request)
        while True:
            # What could not finish before this node has stopped is refused in time.
            last_at = min(last_at, entry.stop_at - usual_s(entry, request))
            if entry.monotonic() > last_at and entry.stop_at < math.inf:
                return None
            found = _candidates(entry, request, {t.target for t in attempted if t.sent})
            if not found and (attempted or entry.monotonic() >= entry.settled_at):
                return None
            placed = (
                await _ask(entry, polls, request, found, attempted) if found else None
            )
            now = entry.monotonic()
            if placed is not None and _will_do(placed, request, now >= give_up_at):
                health = placed.state.health
                least = max(health - SOUND_SLACK, 0.0)
                wait_s = placed.state.wait_s
                return Placement(
                    candidate=placed.state.candidate,
                    min_health=least,
                    wait_s=wait_s,
                    wait_limit_s=min(
                        WAIT_LIMIT_S + WAIT_LIMIT_RATIO * wait_s,
                        max(last_at - now, 0.0),
                    ),
                )
            if now + ASK_PAUSE_S > last_at:
                return None
            await asyncio.sleep(ASK_PAUSE_S * entry.random.uniform(0.7, 1.3))

    return place_attempt


def _will_do(placed: Placed, request: Request, at_end: bool) -> bool:
    if request.route.idempotent:
        return True
    return placed.state.health >= (SOUND_AT_LEAST if at_end else SOUND_ENOUGH)


async def _ask(
    entry: Entry,
    polls: LoadPolls,
    request: Request,
    found: Sequence[Candidate],
    attempted: Sequence[AttemptOutcome],
) -> Placed | None:
    """Ask the owners of some candidates and choose the best."""
    budget = entry.budget_by_pool.get(request.pool.name)
    need = Need(
        # A trial that fails needs a second attempt.
        may_trial=request.route.idempotent
        and sum(tried.sent for tried in attempted) < request.route.retries
        and budget is not None
        and budget.credit >= TRIAL_CREDIT,
        objective_s=request.objective_s,
        left_s=request.started_at + request.objective_s - entry.monotonic(),
        usual_s=usual_s(entry, request),
        may_retry=budget is not None and budget.credit >= 1.0,
        megabytes=entry.bytes_by_route.get(request.route.name, UNKNOWN_BYTES)
        / _MEGABYTE,
    )
    candidate_by_target = {c.target: c for c in _draw(entry, found)}
    own_node = entry.view.directory.own_node
    targets_by_node: dict[str, list[str]] = {}
    for candidate in candidate_by_target.values():
        targets_by_node.setdefault(candidate.node, []).append(candidate.target)
    own = targets_by_node.pop(own_node, [])
    position = QueuePosition(request.route.priority, need.left_s)
    answers = [polls.report(target, position) for target in own]
    reports = [report for report in answers if report is not None]
    reports += await poll_targets(polls, _owners(entry.view, targets_by_node), position)
    refusals = Counter(tried.target for tried in attempted if not tried.sent)
    states = [
        _state(candidate_by_target[report.target], report, refusals)
        for report in reports
        if report.target in candidate_by_target
    ]
    entry.random.shuffle(states)
    placed = place(states, need)
    if placed is not None:
        log_event(
            "placed",
            request_id=request.request_id,
            target=placed.state.candidate.target,
            owner=placed.state.candidate.node,
            sound=placed.state.health,
            shed=placed.state.shed,
            wait_s=placed.state.wait_s,
            in_use=placed.state.in_use,
            cost=round(placed.cost, 4),
            may_trial=need.may_trial,
            asked=len(candidate_by_target),
            answered=len(states),
            best_sound=max(state.health for state in states),
        )
    return placed


def _candidates(entry: Entry, request: Request, but: set[str]) -> list[Candidate]:
    """Return the candidates of a request except some targets."""
    found = candidates(entry.view, request.route, request.pool)
    return [c for c in found if c.target not in but]


def _draw(entry: Entry, found: Sequence[Candidate]) -> Sequence[Candidate]:
    """Draw candidates to ask, those of the own failure domain first.

    Half of them come from other domains, so that a bad spell at home is not all that
    is seen.
    """
    if len(found) <= ASK_MOST:
        return found
    near = [c for c in found if c.distance <= 1]
    far = [c for c in found if c.distance > 1]
    of_near = min(len(near), max(ASK_MOST // 2, ASK_MOST - len(far)))
    return [
        *entry.random.sample(near, of_near),
        *entry.random.sample(far, min(ASK_MOST - of_near, len(far))),
    ]


def _owners(
    view: TargetView, targets_by_node: dict[str, list[str]]
) -> list[PolledNode]:
    asked = []
    for node, targets in targets_by_node.items():
        record = view.directory.record_by_node.get(node)
        if record is not None:
            asked.append(PolledNode((record.host, record.peer_port), targets))
    return asked


def _state(
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
    )
