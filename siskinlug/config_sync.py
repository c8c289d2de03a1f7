"""Keep a node's configuration up to date from the log and from peers."""

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
    TABLE_NAMES,
    ConfigurationState,
    find_accepted_change,
    fold,
    newer_state,
    position_of,
    snapshot_record,
    snapshot_state,
    start_over_state,
    tables_of,
    warm_parse_cache,
)
from siskinlug.log_client import Effect, Log, LogError, LogPage
from siskinlug.membership_state import Payload
from siskinlug.messages import ConfigurationPosition, decode, encode
from siskinlug.tables import NO_TABLES, Tables
from siskinlug.timeline import Kind, Timeline, record_event

# Pages are small because a record carries a whole table and a snapshot carries two.
PAGE_RECORDS = 8
# A node that is further behind starts from the newest snapshot, since each record with
# 1,100 routes takes about 60 ms to parse.
MAX_REPLAY_RECORDS = 16
POLL_MIN_S = 0.5
# Target rate of reads by all nodes together; the poll interval grows with the fleet.
FLEET_READS_PER_S = 50
# Limits the age of the newest snapshot, for logs that drop records by age. The log's
# retention must be longer than this plus the random delay before a snapshot.
SNAPSHOT_PERIOD_MS = 600_000
# Each node delays its snapshot at random, so that in the fleet one delay ends every
# 0.2 s on average. The first node writes, and the others read its snapshot before
# their own delay ends.
SNAPSHOT_JITTER_S_PER_NODE = 0.2

# Larger records and responses are parsed in a thread, where the interpreter lock is
# released every 5 ms. On the event loop 1,100 routes would block it for 60 ms.
MAX_INLINE_PARSE_BYTES = 8192

# Time after which a fetch no longer holds up the fetch from another peer, in seconds. A
# state of 1,100 routes takes 0.14 s at 10 Mbit/s.
SLOW_FETCH_S = 0.3

FetchState = Callable[[str, ConfigurationPosition], Awaitable[bytes | None]]
FollowOperator = Callable[["ConfigurationView"], Coroutine[Any, Any, None]]


class CatchUpResult(NamedTuple):
    """A state and the bounds of the log at the time it was read.

    Attributes:
        state: The state after all records that could be applied.
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
    """The configuration of one node; see ``make_configuration``.

    Attributes:
        state: The state in force.
        tables: The tables of that state.
        log_up: Whether the source of the configuration answered last time, ``None``
            before the first attempt.
        heard_at: Monotonic time of the last answer of the source, ``None`` before the
            first one.
        count_read: Called with the outcome of each read of the source: ``ok`` or
            ``failed``.
        push: Sends the position of this node to peers.
        nodes: Number of nodes in the fleet.
        rank: Number of live nodes before this one in the order of names.
        snapshot_due_at: Monotonic time at which this node writes a snapshot, ``None``
            if none is due.
        log_gap: Whether the log dropped records that this node has not read.
        ahead_by_peer: Positions of peers whose state is to be fetched.
        peer_ahead: Set when a position was added to ``ahead_by_peer``.
    """

    def __init__(
        self,
        timeline: Timeline,
        *,
        on_change: Callable[[Tables], object],
        random: Random,
        monotonic: Callable[[], float],
        wall_ms: Callable[[], int],
        sleep: Callable[[float], Awaitable[None]],
        count_read: Callable[[str], object],
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
        self.heard_at: float | None = None
        self.count_read = count_read
        self.push: Callable[[], object] = lambda: None
        self.nodes: Callable[[], int] = lambda: 1
        self.rank: Callable[[], int] = lambda: 0
        self.snapshot_due_at: float | None = None
        self.log_gap = False
        self.ahead_by_peer: dict[str, ConfigurationPosition] = {}
        self.peer_ahead: asyncio.Event = asyncio.Event()


def make_configuration(
    timeline: Timeline,
    *,
    on_change: Callable[[Tables], object] = lambda tables: None,
    random: Random,
    monotonic: Callable[[], float] = time.monotonic,
    wall_ms: Callable[[], int] = wall_clock_ms,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    count_read: Callable[[str], object] = lambda outcome: None,
) -> ConfigurationView:
    """Build the configuration of a node that has not received any yet.

    Args:
        timeline: Timeline to which events are added.
        on_change: Called with the new tables each time the tables change.
        random: Source of the poll jitter and of the random delay before a snapshot.
        monotonic: Clock, in seconds.
        wall_ms: Wall clock in milliseconds, written into snapshots to tell their age.
        sleep: Waits for a number of seconds.
        count_read: Called with the outcome of each read of the source.
    """
    return ConfigurationView(
        timeline,
        on_change=on_change,
        random=random,
        monotonic=monotonic,
        wall_ms=wall_ms,
        sleep=sleep,
        count_read=count_read,
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
        fetch: Sends ``POST /peer/configuration`` with this node's position to a peer
            that was given to ``handle_peer_position``. Returns the body of the
            response, or ``None`` if there was none.
        push: Called when the tables have changed, to send the position to peers.
        nodes: Number of nodes in the fleet, for the poll interval.
    """
    view.push = push
    view.nodes = nodes
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_poll_log(view, log))
        tasks.create_task(fetch_from_peers(view, fetch))


async def follow_declared_configuration(
    view: ConfigurationView,
    follow: FollowOperator,
    *,
    fetch: FetchState,
    push: Callable[[], object],
    nodes: Callable[[], int],
    rank: Callable[[], int],
) -> None:
    """Keep a configuration that is declared as a whole up to date until cancelled.

    Args:
        view: The node's configuration.
        follow: Runs until cancelled and calls ``put_in_force`` for each declaration.
        fetch: As for ``follow_configuration``.
        push: As for ``follow_configuration``.
        nodes: Number of nodes in the fleet, among which ``follow`` spreads its reads.
        rank: Number of live nodes before this one in the order of names.
    """
    view.push = push
    view.nodes = nodes
    view.rank = rank
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(follow(view))
        tasks.create_task(fetch_from_peers(view, fetch))


def put_in_force(
    view: ConfigurationView, state: ConfigurationState, source: str
) -> bool:
    """Put a state in force if it is newer than the current one.

    Args:
        view: The node's configuration.
        state: The state.
        source: Where it came from, for the timeline.

    Returns:
        Whether it was put in force.
    """
    return _apply_if_newer(view, newer_state(view.state, state), source)


def handle_peer_position(
    view: ConfigurationView, peer: str, position: ConfigurationPosition
) -> bool:
    """Schedule a fetch of a peer's state if the peer is ahead.

    A peer that is ahead only by records that changed no table is ignored, unless the
    log no longer has the records that this node needs.

    Args:
        view: The node's configuration.
        peer: Name of the peer, passed to ``fetch``.
        position: The peer's position.

    Returns:
        Whether the state will be fetched.
    """
    own = position_of(view.state)
    ahead = position["offset"] > own["offset"]
    newer = any(position[key] > own[key] for key in ("routes_version", "pools_version"))
    if not ahead or not (newer or view.log_gap):
        return False
    view.ahead_by_peer[peer] = position
    view.peer_ahead.set()
    return True


def configuration_payload(view: ConfigurationView) -> Payload:
    """Return the payload that tells peers the position of this node.

    A newer position is passed on once its state has been fetched and is in force; until
    then this node could only push its own older one.
    """

    def read(peer: str, position: ConfigurationPosition) -> bool:
        handle_peer_position(view, peer, position)
        return False

    return Payload(
        name="configuration",
        value_type=ConfigurationPosition,
        write=lambda _urgent: position_of(view.state),
        read=read,
    )


def answer_configuration(view: ConfigurationView, body: bytes) -> bytes:
    """Answer ``POST /peer/configuration``.

    Args:
        view: The node's configuration.
        body: The ``ConfigurationPosition`` of the requesting node, as JSON.

    Returns:
        The state as JSON, or ``null`` if it is not ahead of that position.

    Raises:
        msgspec.ValidationError: The body is not a position.
    """
    position = decode(body, ConfigurationPosition)
    return encode(view.state if view.state.offset > position["offset"] else None)


def configuration_page(view: ConfigurationView) -> Callable[[object], object]:
    """Return the handler of the admin page with the position and the last changes."""

    def page(_query: object) -> object:
        return {
            **position_of(view.state),
            "log_up": view.log_up,
            "heard_s_ago": None
            if view.heard_at is None
            else round(view.monotonic() - view.heard_at, 3),
            "changes": [change._asdict() for change in view.state.changes],
        }

    return page


async def catch_up(
    log: Log, state: ConfigurationState
) -> Result[CatchUpResult, LogError]:
    """Apply all records of the log after a state.

    If records are missing or many are new, it continues from a snapshot in the log.

    Returns:
        The state and the log's bounds, or why the log could not be read. The state is
        not complete if records that it needs were dropped and no snapshot covers them.
    """
    searched = False
    while True:
        read = await log.read(STREAM, state.offset, limit=PAGE_RECORDS)
        if isinstance(read, Failure):
            return read
        page = read.unwrap()
        if page.next < state.offset:
            # Offsets never decrease, so this is another log. Applying its records would
            # mix two histories.
            detail = f"the log ends at {page.next}, before offset {state.offset}"
            return Failure(LogError(Effect.UNAVAILABLE, detail))
        gap = state.offset < page.first
        if not searched and (gap or page.next - state.offset > MAX_REPLAY_RECORDS):
            searched = True
            found = await _find_start_state(log, state, page)
            if isinstance(found, Failure):
                return found
            if found.unwrap() != state:
                state = found.unwrap()
                continue
        if gap:
            return Success(CatchUpResult(state, page.first, page.next))
        for item in page.records:
            size_bytes = len(encode(item.record))
            await _warm_cache_if_large(size_bytes, warm_parse_cache, state, item.record)
            state = fold(state, item.offset, item.record)
        if state.offset >= page.next or not page.records:
            return Success(CatchUpResult(state, page.first, page.next))


async def _warm_cache_if_large(
    size_bytes: int, work: Callable[..., object], *arguments: Any
) -> None:
    """Fill a parse cache in a worker thread if the input is large.

    Smaller inputs are parsed on the event loop when they are needed.

    Args:
        size_bytes: Size of what is parsed, in bytes.
        work: Function that parses and caches the result.
        *arguments: Arguments of ``work``.
    """
    if size_bytes > MAX_INLINE_PARSE_BYTES:
        await asyncio.to_thread(work, *arguments)


async def _find_start_state(
    log: Log, state: ConfigurationState, page: LogPage
) -> Result[ConfigurationState, LogError]:
    """Search the log backwards for a state to continue from.

    That is the newest snapshot, or else, after a gap, the oldest start-over record.
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
                size_bytes = len(encode(item.record))
                await _warm_cache_if_large(size_bytes, newer_state, state, snapshot)
                adopted = newer_state(state, snapshot)
                if adopted != state:
                    return Success(adopted)
            if gap:
                oldest = start_over_state(item.offset, item.record) or oldest
        end = begin
    return Success(state if oldest is None else newer_state(state, oldest))


async def _poll_log(view: ConfigurationView, log: Log) -> None:
    while True:
        await poll_once(view, log, nodes=view.nodes())
        interval_s = max(POLL_MIN_S, view.nodes() / FLEET_READS_PER_S)
        await view.sleep(interval_s * (0.5 + view.random.random()))


async def poll_once(view: ConfigurationView, log: Log, *, nodes: int) -> None:
    """Read the log once and write a snapshot to it if one is due."""
    read = await catch_up(log, view.state)
    _record_read_status(view, read)
    if isinstance(read, Failure):
        return
    caught_up = read.unwrap()
    _apply_if_newer(view, caught_up.state, "the log")
    view.log_gap = view.state.offset < caught_up.first
    if not snapshot_due(caught_up, now_ms=view.wall_ms()):
        view.snapshot_due_at = None
        return
    now = view.monotonic()
    if view.snapshot_due_at is None:
        jitter_s = nodes * SNAPSHOT_JITTER_S_PER_NODE
        view.snapshot_due_at = now + view.random.random() * jitter_s
    if now >= view.snapshot_due_at:
        # The log was read just now, so no other node has written a snapshot yet. A
        # second one, or one whose response is lost, does no harm.
        view.snapshot_due_at = None
        at_ms = view.wall_ms()
        await log.append(STREAM, snapshot_record(caught_up.state, at_ms=at_ms))


def snapshot_due(caught_up: CatchUpResult, *, now_ms: int) -> bool:
    """Return whether the log needs a new snapshot for readers to start from.

    It needs one when the newest snapshot lies in the older half of the retained
    records, which a log with a fixed number of records drops first, or is older than
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
    """Fetch states from peers that are ahead, the furthest first, until cancelled.

    If a peer is slow to respond, the next one is asked as well.
    """
    async with asyncio.TaskGroup() as tasks:
        while True:
            await view.peer_ahead.wait()
            view.peer_ahead.clear()
            while view.ahead_by_peer:
                peer = max(
                    view.ahead_by_peer,
                    key=lambda name: view.ahead_by_peer[name]["offset"],
                )
                position = view.ahead_by_peer.pop(peer)
                if position["offset"] > view.state.offset:
                    fetching = tasks.create_task(_fetch_state(view, fetch, peer))
                    await asyncio.wait({fetching}, timeout=SLOW_FETCH_S)


async def _fetch_state(view: ConfigurationView, fetch: FetchState, peer: str) -> None:
    body = await fetch(peer, position_of(view.state))
    state = None if body is None else _decode_state(body)
    if body is not None and state is not None:
        await _warm_cache_if_large(len(body), newer_state, view.state, state)
        _apply_if_newer(view, newer_state(view.state, state), peer)


def take_answer(view: ConfigurationView, peer: str, body: bytes) -> bool:
    """Put the state in a peer's response in force if it is newer than the current one.

    Args:
        view: The node's configuration.
        peer: Name of the peer, for the timeline.
        body: Body of the response to ``POST /peer/configuration``.

    Returns:
        Whether it was put in force.
    """
    state = _decode_state(body)
    return state is not None and _apply_if_newer(
        view, newer_state(view.state, state), peer
    )


def _decode_state(body: bytes) -> ConfigurationState | None:
    try:
        return msgspec.json.decode(body, type=ConfigurationState | None)
    except msgspec.DecodeError:
        return None


def _apply_if_newer(
    view: ConfigurationView, state: ConfigurationState, source: str
) -> bool:
    """Put a state in force and record its changes, if it is newer than the current one.

    The log and a peer may bring the same state at the same time.
    """
    before = view.state
    if state.offset <= before.offset:
        return False
    view.state = state
    changed = [t for t in TABLE_NAMES if state.version(t) != before.version(t)]
    if changed:
        view.tables = tables_of(state)
        view.on_change(view.tables)
    for table in changed:
        change = find_accepted_change(state, table, state.version(table))
        by = f" by {change.operator}, change {change.change}" if change else ""
        detail = f"version {state.version(table)}{by}, from {source}"
        record_event(view.timeline, Kind.CONFIGURATION_IN_FORCE, table, detail)
    for change in state.changes:
        if change.offset >= before.offset and change.cause:
            record_event(
                view.timeline,
                Kind.CONFIGURATION_REFUSED,
                change.table,
                f"change {change.change} by {change.operator}: {change.problem}",
            )
    if changed:
        view.push()
    return True


def _record_read_status(
    view: ConfigurationView, read: Result[CatchUpResult, LogError]
) -> None:
    record_source_status(
        view, "" if isinstance(read, Success) else read.failure().detail
    )


def record_source_status(view: ConfigurationView, problem: str) -> None:
    """Record whether the source of the configuration answers.

    The timeline gets an event each time that changes.

    Args:
        view: The node's configuration.
        problem: Why it does not answer; empty if it does.
    """
    up = not problem
    was_up, view.log_up = view.log_up, up
    view.count_read("ok" if up else "failed")
    if up:
        view.heard_at = view.monotonic()
    if up == was_up or (up and was_up is None):
        return
    if up:
        record_event(view.timeline, Kind.LOG_UP, STREAM)
    else:
        record_event(view.timeline, Kind.LOG_DOWN, STREAM, problem)
