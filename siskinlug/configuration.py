"""The fleet's configuration, folded from the log's ``configuration`` stream.

Every process folds the records in order by the same rules, so processes that read the
same prefix of the stream have the same state. Of two states, the one with the higher
offset is newer.
"""

from collections.abc import Mapping
from functools import lru_cache
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from siskinlug.ini import Fault
from siskinlug.messages import ConfigurationPosition
from siskinlug.tables import (
    NO_TABLES,
    Pool,
    Route,
    Tables,
    check_tables,
    parse_pools,
    parse_routes,
    routes_by_section,
)

STREAM = "configuration"
TABLE_NAMES = ("routes", "pools")

# Decisions kept in the state, to name the other change of a conflict and to recognize
# repeated ids: one day at 260 changes a day. An older record that is repeated can only
# be accepted if it was refused the first time and its table has not changed since.
MAX_KEPT_CHANGES = 256
# Limit of one table; 1,100 routes take about 100 KB.
MAX_TEXT_CHARS = 1_000_000


class Change(NamedTuple):
    """A change of one table and the decision on it.

    Attributes:
        change: Id of the change, chosen by the publisher.
        table: ``routes`` or ``pools``.
        base: Version on which the change was based.
        version: Version that the change put in force; 0 if it was refused.
        operator: Who published it.
        note: The operator's note for others.
        at_ms: Wall clock of the publisher, milliseconds since the epoch.
        offset: Offset of the record in the log.
        cause: Cause of a refusal: ``conflict``, ``invalid`` or ``cancelled``; empty if
            the change was accepted.
        problem: Explanation of a refusal; empty if the change was accepted.
    """

    change: str
    table: str
    base: int
    version: int
    operator: str
    note: str
    at_ms: int
    offset: int
    cause: str = ""
    problem: str = ""


class ConfigurationState(NamedTuple):
    """The result of folding all records below ``offset``.

    Attributes:
        offset: Offset of the next record to fold.
        routes_version: Version of the routes table; 0 if there is none.
        pools_version: Version of the pools table; 0 if there is none.
        routes_text: Text of the routes table.
        pools_text: Text of the pools table.
        changes: The most recently decided changes, oldest first.
        snapshot_offset: Offset up to which the newest snapshot covers the log, or -1 if
            there is no snapshot.
        snapshot_at_ms: Wall clock at which that snapshot was written, milliseconds
            since the epoch.
    """

    offset: int = 0
    routes_version: int = 0
    pools_version: int = 0
    routes_text: str = ""
    pools_text: str = ""
    changes: tuple[Change, ...] = ()
    snapshot_offset: int = -1
    snapshot_at_ms: int = 0

    def version(self, table: str) -> int:
        """Return the version in force of ``routes`` or ``pools``."""
        return self.routes_version if table == "routes" else self.pools_version

    def text(self, table: str) -> str:
        """Return the text in force of ``routes`` or ``pools``."""
        return self.routes_text if table == "routes" else self.pools_text


EMPTY_STATE = ConfigurationState()


class _LastRoutes:
    """Routes of the table that was parsed last, by the text of their section."""

    def __init__(self) -> None:
        self.by_section: dict[str, Route] = {}


_last_routes = _LastRoutes()


class _Publish(msgspec.Struct, tag_field="kind", tag="publish"):
    id: str
    table: str
    base: int
    text: str
    operator: str
    note: str
    at_ms: int


class _Cancel(msgspec.Struct, tag_field="kind", tag="cancel"):
    id: str
    table: str
    operator: str
    at_ms: int


class _Snapshot(msgspec.Struct, tag_field="kind", tag="snapshot"):
    state: ConfigurationState
    at_ms: int


class _StartOver(msgspec.Struct, tag_field="kind", tag="start-over"):
    id: str
    version: int
    routes_text: str
    pools_text: str
    operator: str
    note: str
    at_ms: int


_Record = _Publish | _Cancel | _Snapshot | _StartOver


def publish_record(
    change: str,
    table: str,
    text: str,
    *,
    base: int,
    operator: str,
    note: str,
    at_ms: int,
) -> Any:
    """Build the record that publishes a table.

    Args:
        change: Id of the change, chosen by the publisher.
        table: ``routes`` or ``pools``.
        text: Text of the table.
        base: Version on which the text is based.
        operator: Who publishes.
        note: The operator's note for others.
        at_ms: Wall clock, milliseconds since the epoch.

    Returns:
        The record as plain data, ready for JSON.
    """
    return msgspec.to_builtins(
        _Publish(change, table, base, text, operator, note, at_ms)
    )


def cancel_record(change: str, table: str, *, operator: str, at_ms: int) -> Any:
    """Build the record that cancels a change unless it was decided before."""
    return msgspec.to_builtins(_Cancel(change, table, operator, at_ms))


def snapshot_record(state: ConfigurationState, *, at_ms: int) -> Any:
    """Build the record that stores a complete state."""
    return msgspec.to_builtins(_Snapshot(state, at_ms))


def start_over_record(
    change: str,
    routes_text: str,
    pools_text: str,
    *,
    version: int,
    operator: str,
    note: str,
    at_ms: int,
) -> Any:
    """Build the record that puts both tables in force, regardless of earlier records.

    ``version`` must be higher than every version that was ever in force. Readers of a
    log that lost its first records cannot check this.
    """
    return msgspec.to_builtins(
        _StartOver(change, version, routes_text, pools_text, operator, note, at_ms)
    )


def fold(state: ConfigurationState, offset: int, record: Any) -> ConfigurationState:
    """Fold one record of the log into the state.

    A publish is accepted only if its base is the version in force of its table and
    both tables are valid together. Each id is decided once; repeated records are
    ignored. A snapshot updates only the snapshot fields, since the reader has folded
    all that it covers. A start-over replaces both tables if its version is higher.
    Records of an unknown shape are skipped.

    Args:
        state: The state after all records below ``state.offset``.
        offset: Offset of the record.
        record: The record.

    Returns:
        The state after the record, or the unchanged state if the record is not the
        next one: a state always covers a whole prefix of the log.
    """
    if offset != state.offset:
        return state
    state = state._replace(offset=offset + 1)
    match _decode(record):
        case _Publish() as publish:
            return _fold_publish(state, offset, publish)
        case _Cancel() as cancel:
            return _record_decision(
                state,
                Change(
                    cancel.id,
                    cancel.table,
                    0,
                    0,
                    cancel.operator,
                    "",
                    cancel.at_ms,
                    offset,
                    "cancelled",
                    f"cancelled by {cancel.operator} before it arrived",
                ),
            )
        case _Snapshot() as snapshot:
            return state._replace(
                snapshot_offset=snapshot.state.offset, snapshot_at_ms=snapshot.at_ms
            )
        case _StartOver() as start:
            return _fold_start_over(state, offset, start)
    return state


def snapshot_state(record: Any) -> ConfigurationState | None:
    """Return the state stored in a snapshot, or ``None`` for any other record."""
    decoded = _decode(record)
    return decoded.state if isinstance(decoded, _Snapshot) else None


def start_over_state(offset: int, record: Any) -> ConfigurationState | None:
    """Return the state that a start-over record produces on its own.

    Readers that lack the records before it can continue from this state.

    Args:
        offset: Offset of the record.
        record: Any record of the log.

    Returns:
        The state, or ``None`` if the record is no start-over or is refused.
    """
    decoded = _decode(record)
    if not isinstance(decoded, _StartOver):
        return None
    before = EMPTY_STATE._replace(offset=offset + 1)
    after = _fold_start_over(before, offset, decoded)
    return after if after.routes_version else None


def declared_state(
    version: int, routes_text: str, pools_text: str
) -> Result[ConfigurationState, str]:
    """Build the state for tables that are declared together, without the log.

    The version also takes the place of the offset, so that of two states the one with
    the higher version is newer.

    Args:
        version: Version of both tables, 1 or more.
        routes_text: Text of the routes table.
        pools_text: Text of the pools table.

    Returns:
        The state, or a description of what is wrong, with up to three faults.
    """
    if version < 1:
        return Failure("the version must be 1 or more")
    if faults := check_texts(routes_text, pools_text):
        return Failure("; ".join(map(str, faults[:3])))
    return Success(
        ConfigurationState(
            offset=version,
            routes_version=version,
            pools_version=version,
            routes_text=routes_text,
            pools_text=pools_text,
        )
    )


def newer_state(
    own: ConfigurationState, other: ConfigurationState
) -> ConfigurationState:
    """Return the other state if it is newer and can be parsed, else the own one.

    Neither table's version may decrease.

    Args:
        own: The state of this process.
        other: The state of a snapshot or a peer. Its tables may have keys of a newer
            release that this process cannot parse.
    """
    newer = (
        other.offset > own.offset
        and other.routes_version >= own.routes_version
        and other.pools_version >= own.pools_version
    )
    return other if newer and not check_texts(*_texts(other)) else own


def position_of(state: ConfigurationState) -> ConfigurationPosition:
    """Return the offset and the table versions of a state."""
    return ConfigurationPosition(
        offset=state.offset,
        routes_version=state.routes_version,
        pools_version=state.pools_version,
    )


def tables_of(state: ConfigurationState) -> Tables:
    """Return the tables in force.

    Equal texts give the same mapping objects, so that callers can cache an index of
    them.
    """
    if not state.routes_version and not state.pools_version:
        return NO_TABLES
    routes: Mapping[str, Route] = _parse_routes(state.routes_text).unwrap()
    pools: Mapping[str, Pool] = _parse_pools(state.pools_text).unwrap()
    return Tables(state.routes_version, state.pools_version, routes, pools)


def check_texts(routes_text: str, pools_text: str) -> list[Fault]:
    """Check both tables, each on its own and then together.

    Returns:
        The faults of the first check that finds any, or an empty list.
    """
    routes, pools = _parse_routes(routes_text), _parse_pools(pools_text)
    if isinstance(routes, Failure):
        return routes.failure()
    if isinstance(pools, Failure):
        return pools.failure()
    return check_tables(routes.unwrap(), pools.unwrap(), routes_text=routes_text)


def warm_parse_cache(state: ConfigurationState, record: Any) -> None:
    """Parse the tables that folding a record needs, so that ``fold`` finds them cached.

    Meant for a worker thread: parsing 1,100 routes takes 60 ms or more.
    """
    match _decode(record):
        case _Publish() as publish if publish.table in TABLE_NAMES:
            check_texts(*_texts(_replace_table(state, publish.table, publish.text)))


def find_change(state: ConfigurationState, change: str) -> Change | None:
    """Return the decision on a change, or ``None`` if none is kept."""
    return next((c for c in reversed(state.changes) if c.change == change), None)


def find_accepted_change(
    state: ConfigurationState, table: str, version: int
) -> Change | None:
    """Return the change that put a version in force, or ``None`` if it is not kept."""
    return next(
        (
            c
            for c in reversed(state.changes)
            if (c.table, c.version) == (table, version)
        ),
        None,
    )


def describe_conflict(state: ConfigurationState, table: str, base: int) -> str:
    """Describe which version is in force instead of ``base``, and who published it."""
    other = find_accepted_change(state, table, state.version(table))
    if other is None:
        return f"{table} is at version {state.version(table)}, not {base}"
    note = f": {other.note}" if other.note else ""
    return (
        f"{table} is at version {other.version}, not {base}; {other.operator} "
        f"published change {other.change}{note}"
    )


def _fold_publish(
    state: ConfigurationState, offset: int, publish: _Publish
) -> ConfigurationState:
    table = publish.table
    if table not in TABLE_NAMES or find_change(state, publish.id) is not None:
        return state
    after, cause, problem = state, "", ""
    if publish.base != state.version(table):
        cause, problem = "conflict", describe_conflict(state, table, publish.base)
    elif len(publish.text) > MAX_TEXT_CHARS:
        cause = "invalid"
        problem = f"the text is longer than {MAX_TEXT_CHARS} characters"
    else:
        after = _replace_table(state, table, publish.text)
        if faults := check_texts(*_texts(after)):
            after, cause = state, "invalid"
            problem = "; ".join(map(str, faults[:3]))
    version = 0 if cause else after.version(table)
    change = Change(
        publish.id,
        table,
        publish.base,
        version,
        publish.operator,
        publish.note,
        publish.at_ms,
        offset,
        cause,
        problem,
    )
    return _record_decision(after, change)


def _fold_start_over(
    state: ConfigurationState, offset: int, start: _StartOver
) -> ConfigurationState:
    """Replace both tables and all kept changes.

    If accepted, the new state depends on this record alone: readers with and without
    the earlier records must reach the same state, so an earlier decision on the same
    id is ignored.
    """
    version = start.version
    faults = check_texts(start.routes_text, start.pools_text)
    newer = version > max(state.routes_version, state.pools_version)
    cause = "invalid" if faults else "" if newer else "conflict"
    routes, pools = (
        Change(
            start.id,
            table,
            0,
            0 if cause else version,
            start.operator,
            start.note,
            start.at_ms,
            offset,
            cause,
            "; ".join(map(str, faults[:3])) or ("" if newer else "not a later version"),
        )
        for table in TABLE_NAMES
    )
    if cause:
        return _record_decision(state, routes)
    return ConfigurationState(
        offset=state.offset,
        routes_version=version,
        pools_version=version,
        routes_text=start.routes_text,
        pools_text=start.pools_text,
        changes=(routes, pools),
        snapshot_offset=offset,
        snapshot_at_ms=start.at_ms,
    )


def _record_decision(state: ConfigurationState, change: Change) -> ConfigurationState:
    """Add a decision to the state, unless the same id was decided before."""
    if find_change(state, change.change) is not None:
        return state
    return state._replace(changes=(*state.changes, change)[-MAX_KEPT_CHANGES:])


def _replace_table(
    state: ConfigurationState, table: str, text: str
) -> ConfigurationState:
    if table == "routes":
        return state._replace(routes_text=text, routes_version=state.routes_version + 1)
    return state._replace(pools_text=text, pools_version=state.pools_version + 1)


def _texts(state: ConfigurationState) -> tuple[str, str]:
    return state.routes_text, state.pools_text


def _decode(record: Any) -> _Record | None:
    try:
        return msgspec.convert(record, _Record)
    except msgspec.ValidationError:
        return None


# Two entries: the text in force and the one that may replace it.
@lru_cache(maxsize=2)
def _parse_routes(text: str) -> Result[dict[str, Route], list[Fault]]:
    parsed = parse_routes(text, known_by_section=_last_routes.by_section)
    if isinstance(parsed, Success):
        _last_routes.by_section = routes_by_section(text, parsed.unwrap())
    return parsed


@lru_cache(maxsize=2)
def _parse_pools(text: str) -> Result[dict[str, Pool], list[Fault]]:
    return parse_pools(text)
