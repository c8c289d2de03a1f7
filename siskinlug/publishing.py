"""Publish tables to the log and report each change as accepted, refused or unknown."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Literal, NamedTuple

from returns.result import Failure, Success

from siskinlug.clock import wall_clock_ms
from siskinlug.config_sync import CatchUpResult, catch_up
from siskinlug.configuration import (
    EMPTY_STATE,
    MAX_TEXT_CHARS,
    STREAM,
    Change,
    ConfigurationState,
    cancel_record,
    check_texts,
    describe_conflict,
    find_accepted_change,
    find_change,
    publish_record,
    start_over_record,
)
from siskinlug.log_client import Effect, Log, LogError

TIMEOUT_S = 15.0
RETRY_INTERVAL_S = 0.25

LOG_TRIMMED = (
    "the log dropped records that no snapshot covers, so the version in force cannot "
    "be read from it; a node that holds the configuration and reaches the log writes a "
    "snapshot within seconds; if there is none left, see siskinlug start-over --help"
)


class Outcome(NamedTuple):
    """Outcome of a change.

    Attributes:
        kind: ``accepted``, ``refused`` (it is not and will not be in force) or
            ``unknown`` (it may be in force, now or later).
        change: Id of the change.
        table: ``routes`` or ``pools``.
        version: Version that the change put in force; 0 unless accepted.
        cause: Cause of a refusal: ``conflict``, ``invalid``, ``log`` or ``cancelled``;
            empty otherwise.
        detail: Explanation for the operator; a conflict names the other change.
        settle: Command line that settles an unknown outcome; empty otherwise.
    """

    kind: Literal["accepted", "refused", "unknown"]
    change: str
    table: str
    version: int = 0
    cause: str = ""
    detail: str = ""
    settle: str = ""


async def publish(
    log: Log,
    table: str,
    text: str,
    *,
    change: str,
    base: int,
    operator: str,
    note: str = "",
    timeout_s: float = TIMEOUT_S,
    monotonic: Callable[[], float] = time.monotonic,
    wall_ms: Callable[[], int] = wall_clock_ms,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> Outcome:
    """Publish a table and wait for the decision on it.

    The record is appended again with the same id until the log shows a decision. This
    is safe because an id is decided only once.

    Args:
        log: The log.
        table: ``routes`` or ``pools``.
        text: Text of the table.
        change: Id of the change; publishing the same id again has the same outcome.
        base: Version on which the text is based.
        operator: Who publishes.
        note: The operator's note for others.
        timeout_s: Time to wait for a decision before the outcome is unknown, in
            seconds.
        monotonic: Clock, in seconds.
        wall_ms: Wall clock, milliseconds since the epoch.
        sleep: Waits for some seconds.

    Returns:
        The outcome; refused with cause ``log`` if no append can have taken effect.
    """
    result = await catch_up(log, EMPTY_STATE)
    if isinstance(result, Failure):
        detail = f"the log is unavailable ({result.failure().detail}); nothing was sent"
        return Outcome("refused", change, table, cause="log", detail=detail)
    caught_up = result.unwrap()
    if not caught_up.complete:
        return Outcome("refused", change, table, cause="log", detail=LOG_TRIMMED)
    decided = find_change(caught_up.state, change)
    if decided is not None:
        return _decided_outcome(decided)
    refusal = _check_before_sending(caught_up.state, table, text, base, change)
    if refusal is not None:
        return refusal
    record = publish_record(
        change,
        table,
        text,
        base=base,
        operator=operator,
        note=note,
        at_ms=wall_ms(),
    )
    return await _append_until_decided(
        log,
        caught_up,
        record,
        change,
        table,
        base,
        monotonic() + timeout_s,
        monotonic,
        sleep,
    )


async def settle(
    log: Log,
    table: str,
    change: str,
    *,
    base: int,
    operator: str,
    timeout_s: float = TIMEOUT_S,
    monotonic: Callable[[], float] = time.monotonic,
    wall_ms: Callable[[], int] = wall_clock_ms,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> Outcome:
    """Settle a change whose outcome is unknown: find it in the log or cancel it.

    A change that is missing from the log may still arrive, so a cancel record is
    appended. The first of the two in the log decides.

    Args:
        log: The log.
        table: ``routes`` or ``pools``.
        change: Id of the change.
        base: Version on which the change was based.
        operator: Who settles the change.
        timeout_s: Time to wait for a decision before the outcome is unknown, in
            seconds.
        monotonic: Clock, in seconds.
        wall_ms: Wall clock, milliseconds since the epoch.
        sleep: Waits for some seconds.

    Returns:
        The outcome; unknown if the log is unavailable or no longer shows the decision.
    """
    result = await catch_up(log, EMPTY_STATE)
    if isinstance(result, Failure) or not result.unwrap().complete:
        detail = LOG_TRIMMED
        if isinstance(result, Failure):
            detail = f"the log is unavailable: {result.failure().detail}"
        return _unknown_outcome(change, table, base, detail)
    caught_up = result.unwrap()
    decided = find_change(caught_up.state, change)
    if decided is not None:
        return _decided_outcome(decided)
    if caught_up.state.version(table) > base:
        # The base is outdated, so the change is refused if it still arrives, unless it
        # was accepted so long ago that its decision is no longer kept.
        if find_accepted_change(caught_up.state, table, base + 1) is None:
            detail = "the change is older than the changes that are kept"
            return _unknown_outcome(change, table, base, detail)
        detail = describe_conflict(caught_up.state, table, base)
        return Outcome("refused", change, table, cause="conflict", detail=detail)
    record = cancel_record(change, table, operator=operator, at_ms=wall_ms())
    return await _append_until_decided(
        log,
        caught_up,
        record,
        change,
        table,
        base,
        monotonic() + timeout_s,
        monotonic,
        sleep,
        sent_before=True,
    )


async def start_over(
    log: Log,
    routes_text: str,
    pools_text: str,
    *,
    change: str,
    operator: str,
    note: str = "",
    timeout_s: float = TIMEOUT_S,
    monotonic: Callable[[], float] = time.monotonic,
    wall_ms: Callable[[], int] = wall_clock_ms,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> Outcome:
    """Publish both tables after the log has dropped the configuration.

    Refused while the configuration can still be read from the log. The new version of
    both tables is the wall clock in seconds, which is higher than any number of
    changes.

    Args:
        log: The log.
        routes_text: Text of the routes table.
        pools_text: Text of the pools table.
        change: Id of the change; repeating the same id has the same outcome.
        operator: Who publishes.
        note: The operator's note for others.
        timeout_s: Time to wait for a decision before the outcome is unknown, in
            seconds.
        monotonic: Clock, in seconds.
        wall_ms: Wall clock, milliseconds since the epoch.
        sleep: Waits for some seconds.

    Returns:
        The outcome, with ``routes`` as its table.
    """
    result = await catch_up(log, EMPTY_STATE)
    if isinstance(result, Failure):
        detail = f"the log is unavailable ({result.failure().detail}); nothing was sent"
        return Outcome("refused", change, "routes", cause="log", detail=detail)
    caught_up = result.unwrap()
    decided = find_change(caught_up.state, change)
    if decided is not None:
        return _decided_outcome(decided)
    if caught_up.complete:
        detail = "the configuration can be read from the log; publish the tables"
        return Outcome("refused", change, "routes", cause="conflict", detail=detail)
    if faults := check_texts(routes_text, pools_text):
        detail = "\n".join(map(str, faults))
        return Outcome("refused", change, "routes", cause="invalid", detail=detail)
    now_ms = wall_ms()
    record = start_over_record(
        change,
        routes_text,
        pools_text,
        version=now_ms // 1000,
        operator=operator,
        note=note,
        at_ms=now_ms,
    )
    outcome = await _append_until_decided(
        log,
        caught_up,
        record,
        change,
        "routes",
        0,
        monotonic() + timeout_s,
        monotonic,
        sleep,
    )
    if outcome.kind == "unknown":
        command = f"siskinlug start-over ROUTES POOLS --id {change}"
        return outcome._replace(settle=command)
    return outcome


def _check_before_sending(
    state: ConfigurationState, table: str, text: str, base: int, change: str
) -> Outcome | None:
    """Return a refusal if the change is invalid already, before anything is sent."""
    if base != state.version(table):
        detail = describe_conflict(state, table, base)
        return Outcome("refused", change, table, cause="conflict", detail=detail)
    routes, pools = state.routes_text, state.pools_text
    faults = check_texts(*((text, pools) if table == "routes" else (routes, text)))
    if faults or len(text) > MAX_TEXT_CHARS:
        detail = "\n".join(map(str, faults)) or "the text is too long"
        return Outcome("refused", change, table, cause="invalid", detail=detail)
    return None


async def _append_until_decided(
    log: Log,
    caught_up: CatchUpResult,
    record: Any,
    change: str,
    table: str,
    base: int,
    deadline: float,
    monotonic: Callable[[], float],
    sleep: Callable[[float], Awaitable[None]],
    *,
    sent_before: bool = False,
) -> Outcome:
    """Append a record until the log shows a decision on its id.

    Args:
        log: The log.
        caught_up: State and bounds of the log, as just read.
        record: The record to append.
        change: Id of the change.
        table: Table of the change.
        base: Version on which the change is based.
        deadline: Monotonic time at which to give up, in seconds.
        monotonic: Clock, in seconds.
        sleep: Waits for some seconds.
        sent_before: Whether an append of an earlier call may have taken effect.

    Returns:
        The outcome; at the deadline it is unknown if any append may have taken effect,
        else refused.
    """
    state = caught_up.state
    may_be_in_log = sent_before
    while True:
        appended = await log.append(STREAM, record)
        may_be_in_log = may_be_in_log or _may_have_taken_effect(appended)
        detail = ""
        if isinstance(appended, Failure):
            detail = f"the log did not confirm the change: {appended.failure().detail}"
        if may_be_in_log:
            result = await catch_up(log, state)
            if isinstance(result, Failure):
                detail = f"the log cannot be read back: {result.failure().detail}"
            else:
                state = result.unwrap().state
                decided = find_change(state, change)
                if decided is not None:
                    return _decided_outcome(decided)
        if monotonic() >= deadline:
            if may_be_in_log:
                return _unknown_outcome(change, table, base, detail)
            return Outcome(
                "refused",
                change,
                table,
                cause="log",
                detail=f"{detail}; nothing was published",
            )
        await sleep(RETRY_INTERVAL_S)


def _may_have_taken_effect(appended: Any) -> bool:
    if isinstance(appended, Success):
        return True
    error: LogError = appended.failure()
    return error.effect is not Effect.NOT_APPLIED


def _unknown_outcome(change: str, table: str, base: int, detail: str) -> Outcome:
    command = f"siskinlug settle {table} {change} --base {base}"
    return Outcome("unknown", change, table, detail=detail, settle=command)


def _decided_outcome(decided: Change) -> Outcome:
    kind: Literal["accepted", "refused"] = "refused" if decided.cause else "accepted"
    return Outcome(
        kind,
        decided.change,
        decided.table,
        decided.version,
        decided.cause,
        decided.problem,
    )
