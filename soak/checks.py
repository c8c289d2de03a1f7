"""Checks of a finished soak against the guarantees of the fleet."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from soak.callers import RequestOutcome

# Statuses that state that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A target gets no new request later than this after its leaving was acknowledged.
DRAIN_S = 2.0
# Without faults, a configuration is in force this long after it was written.
IN_FORCE_S = 2.0
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


class SoakRecord(NamedTuple):
    """What callers, targets and faults recorded during a soak.

    Attributes:
        outcomes: Outcomes of the callers' requests.
        runs_by_id: Target and time of each run, by request id.
        withdrawn_at_by_target: Time at which the leaving of a target was acknowledged.
        faults: Faults in order of their start.
        configured_at_by_path: Time at which each extra route was written.
    """

    outcomes: Sequence[RequestOutcome]
    runs_by_id: Mapping[str, Sequence[tuple[str, float]]]
    withdrawn_at_by_target: Mapping[str, float]
    faults: Sequence[Fault]
    configured_at_by_path: Mapping[str, float]


def find_violations(record: SoakRecord) -> list[str]:
    """Return one line for each violated guarantee."""
    return [
        *_find_wrong_answers(record.outcomes),
        *_find_repeated_runs(record),
        *_find_false_refusals(record),
        *_find_work_after_leaving(record),
        *_find_requests_cut_by_planned_stops(record),
        *_find_configuration_errors(record),
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
    return [
        f"refused as not run, but ran at {runs}: {outcome}"
        for outcome in record.outcomes
        if outcome.status in NOT_RUN_STATUSES
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


def _find_requests_cut_by_planned_stops(record: SoakRecord) -> list[str]:
    stops = [fault for fault in record.faults if fault.kind == "stop"]
    return [
        f"cut by a planned stop at {stop.started_at:.2f}: {outcome}"
        for stop in stops
        for outcome in record.outcomes
        if outcome.status == 0
        and outcome.node == stop.node
        and outcome.request_id in record.runs_by_id
        and outcome.sent_at < stop.ended_at
        and outcome.ended_at > stop.started_at
        and is_undisturbed(record.faults, outcome.sent_at, outcome.ended_at)
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
