"""Checks of a finished soak against the guarantees of the fleet."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from soak.callers import DEADLINE_S, NO_RESPONSE, RequestOutcome

# Statuses that state that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A target gets no new request later than this after its leaving was acknowledged.
DRAIN_S = 2.0
# Without faults, a configuration is in force this long after it was written.
IN_FORCE_S = 2.0
# A limit binds this long after the target first named it.
LIMIT_BINDS_AFTER_S = 3.0
# A caller's node counts once it has passed the limit on for this long.
LIMIT_KNOWN_AFTER_S = 0.5
# In any window a target gets at most this many times what its limit allows, and a few
# requests more.
LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_EXTRA_REQUESTS = 5
# A request that crosses the close of its connection ends this soon after it was sent.
CROSSING_S = 0.2
# A stopping node may break off a target that is still at work at the end of its grace
# period, on a request that was sent soon after the stop.
LAST_PART_OF_GRACE_S = (5.0, 6.0)
SENT_SOON_AFTER_STOP_S = 3.0
# Start of the kind of a fault: a process ended while it was starting.
ENDED = "ended"
RESTART_FAULTS = frozenset({"kill", "stop"})
PROCESS_FAULTS = RESTART_FAULTS | {"pause"}
# Time after the end of a fault until its effects are over.
FAULT_EFFECT_S = 4.0


class Fault(NamedTuple):
    """A fault or a planned operation that was injected from outside.

    Attributes:
        kind: Kind of the fault.
        node: Number of the affected node; 0 for the store or the whole fleet.
        started_at: Time of its start, by the loop's clock in seconds.
        ended_at: Time of its end.
        planned: Whether it is a planned operation, during which no request may fail.
    """

    kind: str
    node: int
    started_at: float
    ended_at: float
    planned: bool = False


class NamedLimit(NamedTuple):
    """A span of time in which a target named a limit in its responses.

    Attributes:
        target: Target id.
        per_s: Requests per second.
        started_at: Start of the span, by the loop's clock in seconds.
        ended_at: End of the span.
    """

    target: str
    per_s: float
    started_at: float
    ended_at: float


class SoakRecord(NamedTuple):
    """What callers, targets and faults recorded during a soak.

    Attributes:
        outcomes: Outcomes of the callers' requests.
        runs_by_id: Target and time of each run, by request id.
        withdrawn_at_by_target: Time at which the leaving of a target was acknowledged.
        faults: Faults in order of their start.
        configured_at_by_path: Time at which each extra route was written.
        arrivals_by_id: Target and time of each arrival, run or not, by request id.
        limits: Limits that targets named.
        said_leaving_at_by_target: Time from which a target said in its responses that
            it was leaving.
        finishes_by_id: Target and time of the end of each run, by request id.
    """

    outcomes: Sequence[RequestOutcome]
    runs_by_id: Mapping[str, Sequence[tuple[str, float]]]
    withdrawn_at_by_target: Mapping[str, float]
    faults: Sequence[Fault]
    configured_at_by_path: Mapping[str, float]
    arrivals_by_id: Mapping[str, Sequence[tuple[str, float]]] = {}
    limits: Sequence[NamedLimit] = ()
    said_leaving_at_by_target: Mapping[str, float] = {}
    finishes_by_id: Mapping[str, Sequence[tuple[str, float]]] = {}


def find_violations(record: SoakRecord) -> list[str]:
    """Return one line for each violated guarantee."""
    return [
        *_find_wrong_answers(record.outcomes),
        *_find_repeated_runs(record),
        *_find_false_refusals(record),
        *_find_work_after_leaving(record),
        *_find_lost_requests(record),
        *_find_answers_in_place_of_targets(record),
        *_find_ended_processes(record),
        *_find_configuration_errors(record),
        *_find_configuration_regressions(record),
        *_find_requests_above_limits(record),
        *_find_requests_after_leaving_was_said(record),
        *_find_unanswered(record),
    ]


def is_undisturbed(faults: Iterable[Fault], start: float, end: float) -> bool:
    """Whether no unplanned fault affects a span of time."""
    return not any(
        fault.started_at < end and fault.ended_at > start - FAULT_EFFECT_S
        for fault in faults
        if not fault.planned
    )


def _find_wrong_answers(outcomes: Iterable[RequestOutcome]) -> list[str]:
    violations = []
    for outcome in outcomes:
        if outcome.detail.startswith("answer of"):
            violations.append(f"response to another request: {outcome}")
        if outcome.status == 200:
            signature, _, body = outcome.detail.partition(" ")
            target = body.removeprefix("from ")
            if signature != f"signed.{target}.{outcome.request_id}":
                violations.append(f"response changed or truncated: {outcome}")
        if outcome.status == 404 and not outcome.path.startswith("/extra"):
            violations.append(f"no route for a path that always has one: {outcome}")
    return violations


def _find_repeated_runs(record: SoakRecord) -> list[str]:
    at_most_once = {
        outcome.request_id for outcome in record.outcomes if outcome.at_most_once
    }
    return [
        f"ran {len(runs)} times: {request_id} at {runs}"
        for request_id, runs in record.runs_by_id.items()
        if len(runs) > 1 and request_id in at_most_once
    ]


def _find_false_refusals(record: SoakRecord) -> list[str]:
    """Check refusals that state that the request has not run.

    A target's own failure is passed on unchanged if the request may be repeated.
    """
    return [
        f"refused as not run, but ran at {runs}: {outcome}"
        for outcome in record.outcomes
        if outcome.status in NOT_RUN_STATUSES
        and (outcome.at_most_once or not outcome.detail.startswith("signed."))
        and (runs := record.runs_by_id.get(outcome.request_id))
    ]


def _find_work_after_leaving(record: SoakRecord) -> list[str]:
    late: Counter[str] = Counter()
    for runs in record.runs_by_id.values():
        for target, at in runs:
            withdrawn_at = record.withdrawn_at_by_target.get(target)
            if withdrawn_at is not None and at > withdrawn_at + DRAIN_S:
                late[target] += 1
    return [
        f"{n} requests at {target} after its leaving was acknowledged"
        for target, n in late.items()
    ]


def _find_lost_requests(record: SoakRecord) -> list[str]:
    """Check that no request is lost unless there was an unplanned fault."""
    return [
        f"lost beside {_planned_work(record, outcome)}: {outcome}"
        for outcome in record.outcomes
        if outcome.status == 0
        and _was_accepted(record, outcome)
        and not _may_be_broken_off(record, outcome)
        and is_undisturbed(record.faults, outcome.sent_at, outcome.ended_at)
    ]


def _was_accepted(record: SoakRecord, outcome: RequestOutcome) -> bool:
    """Whether a node had read a whole request, instead of just closing the connection.

    A request that was not sent in full counts only if a target ran it.
    """
    return (
        outcome.request_id in record.runs_by_id
        or outcome.ended_at > outcome.last_byte_at + CROSSING_S
        or (
            outcome.last_byte_at <= outcome.ended_at
            and outcome.request_id in record.arrivals_by_id
        )
    )


def _planned_work(record: SoakRecord, outcome: RequestOutcome) -> list[str]:
    """Describe the planned work on the node of a request, or on all, around it."""
    return [
        f"{fault.kind} {fault.started_at:.2f} to {fault.ended_at:.2f}"
        for fault in record.faults
        if fault.node in (0, outcome.node)
        and fault.started_at < outcome.ended_at
        and fault.ended_at > outcome.sent_at - FAULT_EFFECT_S
    ]


def _is_at_work(
    record: SoakRecord, request_id: str, started_at: float, ended_at: float
) -> bool:
    """Whether a target was at work on a request at some moment of a span of time."""
    finishes = record.finishes_by_id.get(request_id, ())
    return any(
        at < ended_at
        and not any(
            name == target and at <= finished_at <= started_at
            for name, finished_at in finishes
        )
        for target, at in record.runs_by_id.get(request_id, ())
    )


def _may_be_broken_off(record: SoakRecord, outcome: RequestOutcome) -> bool:
    """Whether the deadline of a request or the end of a stop excuses its node."""
    if outcome.ended_at >= outcome.sent_at + DEADLINE_S:
        return outcome.detail != NO_RESPONSE
    start_s, end_s = LAST_PART_OF_GRACE_S
    return any(
        fault.kind == "stop"
        and fault.node == outcome.node
        and outcome.sent_at <= fault.started_at + SENT_SOON_AFTER_STOP_S
        and outcome.ended_at >= fault.started_at + start_s
        and _is_at_work(
            record,
            outcome.request_id,
            fault.started_at + start_s,
            fault.started_at + end_s,
        )
        for fault in record.faults
    )


def _find_answers_in_place_of_targets(record: SoakRecord) -> list[str]:
    """Check that a stopping node does not answer while a target is at work."""
    return [
        f"answered for a target at work, stop at {stop.started_at:.2f}: {outcome}"
        for stop in record.faults
        if stop.kind == "stop"
        for outcome in record.outcomes
        if outcome.node == stop.node
        and outcome.status != 0
        and not outcome.detail.startswith("signed.")
        and outcome.sent_at < stop.ended_at
        and outcome.ended_at > stop.started_at
        and _is_at_work(record, outcome.request_id, outcome.ended_at, outcome.ended_at)
        and not _may_be_broken_off(record, outcome)
        and is_undisturbed(record.faults, outcome.sent_at, outcome.ended_at)
    ]


def _find_ended_processes(record: SoakRecord) -> list[str]:
    return [
        f"process ended although it was not told to stop: {fault}"
        for fault in record.faults
        if fault.kind.startswith(ENDED)
    ]


def _find_configuration_errors(record: SoakRecord) -> list[str]:
    """Check the extra routes.

    Each configuration version has one extra route, which the next version removes.
    """
    violations = []
    paths = list(record.configured_at_by_path)
    for outcome in record.outcomes:
        if outcome.path not in record.configured_at_by_path or outcome.status == 0:
            continue
        index = paths.index(outcome.path)
        since = record.configured_at_by_path[outcome.path]
        until = (
            record.configured_at_by_path[paths[index + 1]]
            if index + 1 < len(paths)
            else float("inf")
        )
        undisturbed = is_undisturbed(
            record.faults, outcome.sent_at - IN_FORCE_S, outcome.ended_at
        )
        added_late = outcome.sent_at > since + IN_FORCE_S and outcome.ended_at < until
        removed_late = outcome.sent_at > until + IN_FORCE_S
        if undisturbed and added_late and outcome.status == 404:
            violations.append(f"new route not in force: {outcome}")
        if undisturbed and removed_late and outcome.status == 200:
            violations.append(f"removed route still in force: {outcome}")
    return violations


def _find_configuration_regressions(record: SoakRecord) -> list[str]:
    """Check that no process serves the extra route of an older version than before."""
    version_by_path = {p: n for n, p in enumerate(record.configured_at_by_path)}
    served = sorted(
        (x for x in record.outcomes if x.path in version_by_path and x.status == 200),
        key=lambda outcome: outcome.sent_at,
    )
    return [
        f"an older configuration is in force again: {earlier}, {later}"
        for n, later in enumerate(served)
        for earlier in served[:n]
        if earlier.node == later.node
        and earlier.ended_at < later.sent_at
        and version_by_path[earlier.path] > version_by_path[later.path]
        and not _is_node_disturbed(
            record, later.node, earlier.sent_at, later.ended_at, RESTART_FAULTS
        )
    ]


def _told_at_by_node(record: SoakRecord, target: str, since: float) -> dict[int, float]:
    """Return when each node first passed on a response of a target.

    Args:
        record: The soak.
        target: Target id.
        since: Only requests that arrived at the target later count.
    """
    told_at_by_node: dict[int, float] = {}
    for outcome in record.outcomes:
        arrivals = record.arrivals_by_id.get(outcome.request_id, ())
        if outcome.detail.startswith(f"signed.{target}.") and any(
            name == target and at > since for name, at in arrivals
        ):
            told_at = told_at_by_node.get(outcome.node, float("inf"))
            told_at_by_node[outcome.node] = min(told_at, outcome.ended_at)
    return told_at_by_node


def _is_node_disturbed(
    record: SoakRecord,
    node: int,
    started_at: float,
    ended_at: float,
    kinds: frozenset[str] = PROCESS_FAULTS,
) -> bool:
    """Whether a fault of one of these kinds affected a node in a span of time."""
    return any(
        fault.kind in kinds
        and fault.node == node
        and fault.started_at < ended_at
        and fault.ended_at > started_at
        for fault in record.faults
    )


def _find_requests_above_limits(record: SoakRecord) -> list[str]:
    violations = []
    for limit in record.limits:
        told_at_by_node = _told_at_by_node(record, limit.target, limit.started_at)
        times = sorted(
            at
            for outcome in record.outcomes
            for target, at in record.arrivals_by_id.get(outcome.request_id, ())
            if target == limit.target
            and limit.started_at + LIMIT_BINDS_AFTER_S <= at <= limit.ended_at
            and at > told_at_by_node.get(outcome.node, at) + LIMIT_KNOWN_AFTER_S
            and not _is_node_disturbed(record, outcome.node, limit.started_at, at)
        )
        allowed = LIMIT_TOLERANCE * limit.per_s * LIMIT_WINDOW_S + LIMIT_EXTRA_REQUESTS
        most = max(
            (bisect_left(times, at + LIMIT_WINDOW_S) - n for n, at in enumerate(times)),
            default=0,
        )
        if most > allowed:
            violations.append(f"{most} requests in 4 s, {allowed} allowed: {limit}")
    return violations


def _find_requests_after_leaving_was_said(record: SoakRecord) -> list[str]:
    violations = []
    for target, since in record.said_leaving_at_by_target.items():
        told_at_by_node = _told_at_by_node(record, target, since)
        for outcome in record.outcomes:
            told_at = told_at_by_node.get(outcome.node, float("inf"))
            violations += [
                f"reached {target} after its leaving was passed on: {outcome}"
                for name, at in record.arrivals_by_id.get(outcome.request_id, ())
                if name == target
                and outcome.sent_at > told_at + DRAIN_S
                and not _is_node_disturbed(record, outcome.node, told_at, at)
            ]
    return violations


def _find_unanswered(record: SoakRecord) -> list[str]:
    """Check that a request ends by its deadline, whatever its target does."""
    return [
        f"no end long after the deadline: {outcome}"
        for outcome in record.outcomes
        if outcome.detail == NO_RESPONSE
        and not _is_node_disturbed(
            record, outcome.node, outcome.sent_at, outcome.ended_at
        )
    ]
