"""Publishing a table, with an outcome that is accepted, refused or unknown."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Literal, NamedTuple

from returns.result import Failure, Success

from siskinlug.clock import wall_clock_ms
from siskinlug.config_sync import CatchUpResult, catch_up
from siskinlug.configuration import (
    EMPTY_STATE,
    STREAM,
    TEXT_CHARS_MAX,
    Change,
    ConfigurationState,
    accepted_as,
    cancel_record,
    check_texts,
    conflict,
    find_change,
    publish_record,
    start_over_record,
)
from siskinlug.log_client import Effect, Log, LogError

TIMEOUT_S = 15.0
RETRY_S = 0.25

LOG_TRIMMED = (
    "the log dropped records that no snapshot covers, so the version in force cannot "
    "be read from it; a node that holds the configuration and reaches the log writes a "
    "snapshot within seconds; if there is none left, see siskinlug start-over --help"
)


class Outcome(NamedTuple):
    """What became of a publish.

    Attributes:
        kind: ``accepted``, ``refused`` (it is not and will not be in force) or
            ``unknown`` (it may be or come into force).
        change: Id of the change.
        table: ``routes`` or ``pools``.
        version: Version it put in force; 0 unless accepted.
        cause: Of a refusal: ``conflict``, ``invalid``, ``log`` or ``cancelled``.
        detail: One sentence for a person; a conflict names the other change.
        settle: Of an unknown outcome: the command that settles it.
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
    """Publish a table and find out what became of it.

    The record is appended again with the same id while its outcome is not known, since
    a repeated id counts once.

    Args:
        log: The log.
        table: ``routes`` or ``pools``.
        text: The table's text.
        change: Id of the change; the same id may be published again.
        base: Version on which the text is based.
        operator: Who publishes.
        note: What others should know about the change.
        timeout_s: Time after which an outcome that is not known is reported so.
        monotonic: Clock, in seconds.
        wall_ms: Wall clock, milliseconds.
        sleep: Waits for some seconds.
    """
    read = await catch_up(log, EMPTY_STATE)
    if isinstance(read, Failure):
        detail = f"the log is unavailable ({read.failure().detail}); nothing was sent"
        return Outcome("refused", change, table, cause="log", detail=detail)
    start = read.unwrap()
    if not start.complete:
        return Outcome("refused", change, table, cause="log", detail=LOG_TRIMMED)
    decided = find_change(start.state, change)
    if decided is not None:
        return _outcome(decided)
    refused = _check(start.state, table, text, base, change)
    if refused is not None:
        return refused
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
        start,
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

    Not finding it would prove nothing, since the append may still arrive. A cancel
    record is appended, and whichever of the two the log holds first decides.

    Args:
        log: The log.
        table: ``routes`` or ``pools``.
        change: Id of the change.
        base: Version on which the change was based.
        operator: Who cancels it.
        timeout_s: As for ``publish``.
        monotonic: Clock, in seconds.
        wall_ms: Wall clock, milliseconds.
        sleep: Waits for some seconds.
    """
    read = await catch_up(log, EMPTY_STATE)
    if isinstance(read, Failure) or not read.unwrap().complete:
        detail = LOG_TRIMMED
        if isinstance(read, Failure):
            detail = f"the log is unavailable: {read.failure().detail}"
        return _unknown(change, table, base, detail)
    start = read.unwrap()
    decided = find_change(start.state, change)
    if decided is not None:
        return _outcome(decided)
    if start.state.version(table) > base:
        # Its base is past, so it is refused even if it still arrives; unless it was
        # accepted so long ago that the state no longer names it.
        if accepted_as(start.state, table, base + 1) is None:
            detail = "the change is older than the changes that are kept"
            return _unknown(change, table, base, detail)
        detail = conflict(start.state, table, base)
        return Outcome("refused", change, table, cause="conflict", detail=detail)
    record = cancel_record(change, table, operator=operator, at_ms=wall_ms())
    return await _append_until_decided(
        log,
        start,
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
    """Put both tables in force where the log dropped what came before.

    The versions go on from the seconds of the wall clock, which are higher than any
    number of changes. Refused while the configuration can be read from the log.

    Args:
        log: The log.
        routes_text: Text of the routes table.
        pools_text: Text of the pools table.
        change: Id of the change; the same id may be given again.
        operator: Who starts over.
        note: What others should know about it.
        timeout_s: As for ``publish``.
        monotonic: Clock, in seconds.
        wall_ms: Wall clock, milliseconds.
        sleep: Waits for some seconds.
    """
    read = await catch_up(log, EMPTY_STATE)
    if isinstance(read, Failure):
        detail = f"the log is unavailable ({read.failure().detail}); nothing was sent"
        return Outcome("refused", change, "routes", cause="log", detail=detail)
    start = read.unwrap()
    decided = find_change(start.state, change)
    if decided is not None:
        return _outcome(decided)
    if start.complete:
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
        start,
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


def _check(
    state: ConfigurationState, table: str, text: str, base: int, change: str
) -> Outcome | None:
    """Refuse what the fold would refuse now, before anything is sent."""
    if base != state.version(table):
        detail = conflict(state, table, base)
        return Outcome("refused", change, table, cause="conflict", detail=detail)
    routes, pools = state.routes_text, state.pools_text
    faults = check_texts(*((text, pools) if table == "routes" else (routes, text)))
    if faults or len(text) > TEXT_CHARS_MAX:
        detail = "\n".join(map(str, faults)) or "the text is too long"
        return Outcome("refused", change, table, cause="invalid", detail=detail)
    return None


async def _append_until_decided(
    log: Log,
    start: CatchUpResult,
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
        start: The log as it was read before.
        record: The record.
        change: Id of the change.
        table: Its table.
        base: Version on which it is based.
        deadline: Monotonic time at which to give up, in seconds.
        monotonic: Clock, in seconds.
        sleep: Waits for some seconds.
        sent_before: Whether an earlier append of the change may have taken effect.
    """
    state = start.state
    sent = sent_before
    while True:
        appended = await log.append(STREAM, record)
        sent = sent or _may_have_arrived(appended)
        detail = ""
        if isinstance(appended, Failure):
            detail = f"the log did not confirm the change: {appended.failure().detail}"
        if sent:
            read = await catch_up(log, state)
            if isinstance(read, Failure):
                detail = f"the log cannot be read back: {read.failure().detail}"
            else:
                state = read.unwrap().state
                decided = find_change(state, change)
                if decided is not None:
                    return _outcome(decided)
        if monotonic() >= deadline:
            if sent:
                return _unknown(change, table, base, detail)
            return Outcome(
                "refused",
                change,
                table,
                cause="log",
                detail=f"{detail}; nothing was published",
            )
        await sleep(RETRY_S)


def _may_have_arrived(appended: Any) -> bool:
    if isinstance(appended, Success):
        return True
    error: LogError = appended.failure()
    return error.effect is not Effect.NOT_APPLIED


def _unknown(change: str, table: str, base: int, detail: str) -> Outcome:
    command = f"siskinlug settle {table} {change} --base {base}"
    return Outcome("unknown", change, table, detail=detail, settle=command)


def _outcome(decided: Change) -> Outcome:
    kind: Literal["accepted", "refused"] = "refused" if decided.cause else "accepted"
    return Outcome(
        kind,
        decided.change,
        decided.table,
        decided.version,
        decided.cause,
        decided.problem,
    )
