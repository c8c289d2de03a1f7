"""Keeping a node's configuration up to date from the log and from peers."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from siskinlug.clock import wall_clock_ms
from siskinlug.configuration import (
    EMPTY_STATE,
    STREAM,
    TABLES,
    ConfigurationState,
    accepted_as,
    adopt,
    fold,
    parse_ahead,
    position_of,
    snapshot_record,
    snapshot_state,
    started_over,
    tables_of,
)
from siskinlug.log_client import Effect, Log, LogError, LogPage
from siskinlug.messages import ConfigurationPosition, decode, encode
from siskinlug.tables import NO_TABLES, Tables
from siskinlug.timeline import Kind, Timeline, record

# Records carry whole tables and snapshots both of them, so a page stays small.
PAGE_RECORDS = 8
# A reader further behind starts from the newest snapshot instead: parsing 1,100 routes
# takes about 60 ms for each record.
FAR_BEHIND_RECORDS = 16
POLL_MIN_S = 0.5
# All nodes together read the log about this often, whatever their number.
FLEET_READS_PER_S = 50
# Bounds the age of the newest snapshot, for logs that drop records by age. Retention
# must be longer than this plus the random wait.
SNAPSHOT_PERIOD_MS = 600_000
# The random waits of all nodes are spread so that on average one ends each 0.2 s; the
# one that ends first writes, and the others read its snapshot before they would.
SNAPSHOT_SPREAD_S_PER_NODE = 0.2

# Records and answers from this size on are parsed in a thread. There the interpreter
# lock is handed over every 5 ms, while on the loop 1,100 routes stop it for 60 ms.
ASIDE_BYTES = 8192

FetchState = Callable[[str, ConfigurationPosition], Awaitable[bytes | None]]
FollowOperator = Callable[["ConfigurationView"], Coroutine[Any, Any, None]]


class CaughtUp(NamedTuple):
    """A state and the log's bounds as they were read with it.

    Attributes:
        state: The state after all records that could be folded.
        first: Oldest offset retained.
        next: Offset of the next append.
    """

    state: ConfigurationState
    first: int
    next: int

    @property
    def complete(self) -> bool:
        """Whether the state includes every record of the log."""
        return self.state.offset == self.next


class ConfigurationView:
    """The configuration as one node knows it; see ``make_configuration``."""

    def __init__(
        self,
        timeline: Timeline,
        *,
        on_change: Callable[[Tables], object],
        random: Random,
        monotonic: Callable[[], float],
        wall_ms: Callable[[], int],
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self.timeline = timeline
        self.on_change = on_change
        self.random = random
        self.monotonic = monotonic
        self.wall_ms = wall_ms
        self.sleep = sleep
        self.state = EMPTY_STATE
        self.tables = NO_TABLES
        self.log_up: bool | None = None
        self.push: Callable[[], object] = lambda: None
        self.snapshot_due_at: float | None = None
        # Whether the log dropped records that this node has not read.
        self.gap = False
        # Positions told by peers that are still to be fetched, by peer.
        self.ahead: dict[str, ConfigurationPosition] = {}
        self.told: asyncio.Event = asyncio.Event()


def make_configuration(
    timeline: Timeline,
    *,
    on_change: Callable[[Tables], object] = lambda tables: None,
    random: Random,
    monotonic: Callable[[], float] = time.monotonic,
    wall_ms: Callable[[], int] = wall_clock_ms,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> ConfigurationView:
    """Build the configuration of a node that knows none yet.

    Args:
        timeline: Takes the events.
        on_change: Called with the tables each time others come into force.
        random: Source of the jitter and of the random wait before a snapshot.
        monotonic: Clock, in seconds.
        wall_ms: Wall clock, milliseconds; written into snapshots for their age.
        sleep: Waits for some seconds.
    """
    return ConfigurationView(
        timeline,
        on_change=on_change,
        random=random,
        monotonic=monotonic,
        wall_ms=wall_ms,
        sleep=sleep,
    )


async def follow_configuration(
    view: ConfigurationView,
    log: Log,
    *,
    fetch: FetchState,
    push: Callable[[], object],
    nodes: Callable[[], int],
) -> None:
    """Keep the configuration up to date until cancelled.

    Args:
        view: The node's configuration.
        log: The log.
        fetch: Sends ``POST /peer/configuration`` with the own position to a peer that
            was given to ``note_position``; returns the answer's body or ``None``.
        push: Called when other tables came into force; tells peers the position.
        nodes: Number of nodes in the fleet, for the poll interval.
    """
    view.push = push
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_poll_log(view, log, nodes))
        tasks.create_task(fetch_from_peers(view, fetch))


async def follow_declarations(
    view: ConfigurationView,
    follow: FollowOperator,
    *,
    fetch: FetchState,
    push: Callable[[], object],
) -> None:
    """Keep a configuration that is declared whole up to date until cancelled.

    Args:
        view: The node's configuration.
        follow: Runs until cancelled and calls ``put_in_force`` for each declaration.
        fetch: As for ``follow_configuration``.
        push: As for ``follow_configuration``.
    """
    view.push = push
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(follow(view))
        tasks.create_task(fetch_from_peers(view, fetch))


def put_in_force(
    view: ConfigurationView, state: ConfigurationState, source: str
) -> bool:
    """Put a state in force if it is later than the one held; whether it was."""
    return _advance(view, adopt(view.state, state), source)


def note_position(
    view: ConfigurationView, peer: str, position: ConfigurationPosition
) -> bool:
    """Take a peer's position, and have the state fetched if the peer is ahead.

    A peer that is ahead only by records that changed no table is passed over unless
    the log cannot bring this node further.

    Args:
        view: The node's configuration.
        peer: Whatever ``fetch`` takes.
        position: The peer's position.

    Returns:
        Whether the state will be fetched.
    """
    own = position_of(view.state)
    ahead = position["offset"] > own["offset"]
    newer = any(position[key] > own[key] for key in ("routes_version", "pools_version"))
    if not ahead or not (newer or view.gap):
        return False
    view.ahead[peer] = position
    view.told.set()
    return True


def answer_configuration(view: ConfigurationView, body: bytes) -> bytes:
    """Answer ``POST /peer/configuration``.

    Args:
        view: The node's configuration.
        body: The ``Position`` of the node that asks.

    Returns:
        The state, or ``null`` if it is not ahead of that position.

    Raises:
        msgspec.ValidationError: The body is not a position.
    """
    position = decode(body, ConfigurationPosition)
    return encode(view.state if view.state.offset > position["offset"] else None)


def configuration_page(view: ConfigurationView) -> Callable[[object], object]:
    """Return the admin page that shows the position and the last changes."""

    def page(_query: object) -> object:
        return {
            **position_of(view.state),
            "log_up": view.log_up,
            "changes": [change._asdict() for change in view.state.changes],
        }

    return page


async def catch_up(log: Log, state: ConfigurationState) -> Result[CaughtUp, LogError]:
    """Fold all records of the log after a state, from a snapshot if that is needed.

    Returns:
        The state and the log's bounds. The state is not complete if records that it
        needs were dropped and no snapshot covers them.
    """
    searched = False
    while True:
        read = await log.read(STREAM, state.offset, limit=PAGE_RECORDS)
        if isinstance(read, Failure):
            return read
        page = read.unwrap()
        if page.next < state.offset:
            # Offsets never go back; folding on would mix two histories.
            detail = f"the log ends at {page.next}, before offset {state.offset}"
            return Failure(LogError(Effect.UNAVAILABLE, detail))
        gap = state.offset < page.first
        if not searched and (gap or page.next - state.offset > FAR_BEHIND_RECORDS):
            searched = True
            found = await _find_beginning(log, state, page)
            if isinstance(found, Failure):
                return found
            if found.unwrap() != state:
                state = found.unwrap()
                continue
        if gap:
            return Success(CaughtUp(state, page.first, page.next))
        for item in page.records:
            size = len(encode(item.record))
            await _aside(size, parse_ahead, state, item.record)
            state = fold(state, item.offset, item.record)
        if state.offset >= page.next or not page.records:
            return Success(CaughtUp(state, page.first, page.next))


async def _aside(size: int, work: Callable[..., object], *arguments: Any) -> None:
    """Do work whose result is cached in a thread if it parses many bytes."""
    if size > ASIDE_BYTES:
        await asyncio.to_thread(work, *arguments)


async def _find_beginning(
    log: Log, state: ConfigurationState, page: LogPage
) -> Result[ConfigurationState, LogError]:
    """Search the log backwards for a state from which it can be folded on.

    That is the newest snapshot, or else, after a gap, the oldest start over.
    """
    end, low = page.next, max(page.first, state.offset)
    gap = state.offset < page.first
    oldest: ConfigurationState | None = None
    while end > low:
        begin = max(low, end - PAGE_RECORDS)
        read = await log.read(STREAM, begin, limit=end - begin)
        if isinstance(read, Failure):
            return read
        found = read.unwrap()
        for item in reversed(found.records):
            snapshot = snapshot_state(item.record)
            # A snapshot that ends before the oldest record leaves a gap after it.
            if snapshot is not None and found.first <= snapshot.offset <= item.offset:
                size = len(encode(item.record))
                await _aside(size, adopt, state, snapshot)
                adopted = adopt(state, snapshot)
                if adopted != state:
                    return Success(adopted)
            if gap:
                oldest = started_over(item.offset, item.record) or oldest
        end = begin
    return Success(state if oldest is None else adopt(state, oldest))


async def _poll_log(
    view: ConfigurationView, log: Log, nodes: Callable[[], int]
) -> None:
    while True:
        await poll_once(view, log, nodes=nodes())
        interval = max(POLL_MIN_S, nodes() / FLEET_READS_PER_S)
        await view.sleep(interval * (0.5 + view.random.random()))


async def poll_once(view: ConfigurationView, log: Log, *, nodes: int) -> None:
    """Read the log once, and write a snapshot to it if one is due."""
    read = await catch_up(log, view.state)
    _note_log(view, read)
    if isinstance(read, Failure):
        return
    caught_up = read.unwrap()
    _advance(view, caught_up.state, "the log")
    view.gap = view.state.offset < caught_up.first
    if not snapshot_due(caught_up, now_ms=view.wall_ms()):
        view.snapshot_due_at = None
        return
    now = view.monotonic()
    if view.snapshot_due_at is None:
        spread = nodes * SNAPSHOT_SPREAD_S_PER_NODE
        view.snapshot_due_at = now + view.random.random() * spread
    if now >= view.snapshot_due_at:
        # The log was read just now, so a snapshot of another node would have shown. A
        # second one, or one whose answer is lost, does no harm.
        view.snapshot_due_at = None
        at_ms = view.wall_ms()
        await log.append(STREAM, snapshot_record(caught_up.state, at_ms=at_ms))


def snapshot_due(caught_up: CaughtUp, *, now_ms: int) -> bool:
    """Whether the log needs a new snapshot, so that a reader can start from it.

    It does when the newest one ends in the older half of what is retained, since a log
    that keeps a number of records drops from there, and when it is older than
    ``SNAPSHOT_PERIOD_MS``. Only a state that includes all records is written.
    """
    state, first, end = caught_up
    if not caught_up.complete or end == 0:
        return False
    return (
        2 * (state.snapshot_offset - first) < end - first - 1
        or now_ms - state.snapshot_at_ms > SNAPSHOT_PERIOD_MS
    )


async def fetch_from_peers(view: ConfigurationView, fetch: FetchState) -> None:
    """Fetch the state from the peer that is furthest ahead, while there is one."""
    while True:
        await view.told.wait()
        view.told.clear()
        while view.ahead:
            peer = max(view.ahead, key=lambda name: view.ahead[name]["offset"])
            position = view.ahead.pop(peer)
            if position["offset"] <= view.state.offset:
                continue
            body = await fetch(peer, position_of(view.state))
            state = None if body is None else _decode_state(body)
            if body is not None and state is not None:
                await _aside(len(body), adopt, view.state, state)
                _advance(view, adopt(view.state, state), peer)


def take_answer(view: ConfigurationView, peer: str, body: bytes) -> bool:
    """Take a peer's answer to ``POST /peer/configuration`` if it is a later state.

    Returns:
        Whether the state advanced.
    """
    state = _decode_state(body)
    return state is not None and _advance(view, adopt(view.state, state), peer)


def _decode_state(body: bytes) -> ConfigurationState | None:
    try:
        return msgspec.json.decode(body, type=ConfigurationState | None)
    except msgspec.DecodeError:
        return None


def _advance(view: ConfigurationView, state: ConfigurationState, source: str) -> bool:
    """Put a later state in force; the log and a peer may bring it at the same time."""
    before = view.state
    if state.offset <= before.offset:
        return False
    view.state = state
    changed = [t for t in TABLES if state.version(t) != before.version(t)]
    if changed:
        view.tables = tables_of(state)
        view.on_change(view.tables)
    for table in changed:
        change = accepted_as(state, table, state.version(table))
        by = f" by {change.operator}, change {change.change}" if change else ""
        detail = f"version {state.version(table)}{by}, from {source}"
        record(view.timeline, Kind.CONFIGURATION_IN_FORCE, table, detail)
    for change in state.changes:
        if change.offset >= before.offset and change.cause:
            record(
                view.timeline,
                Kind.CONFIGURATION_REFUSED,
                change.table,
                f"change {change.change} by {change.operator}: {change.problem}",
            )
    if changed:
        view.push()
    return True


def _note_log(view: ConfigurationView, read: Result[CaughtUp, LogError]) -> None:
    note_source(view, "" if isinstance(read, Success) else read.failure().detail)


def note_source(view: ConfigurationView, problem: str) -> None:
    """Note whether the source of the configuration answers.

    Args:
        view: The node's configuration.
        problem: Why it did not; empty if it did.
    """
    up = not problem
    known, view.log_up = view.log_up, up
    if up == known or (up and known is None):
        return
    if up:
        record(view.timeline, Kind.LOG_UP, STREAM)
    else:
        record(view.timeline, Kind.LOG_DOWN, STREAM, problem)
