"""The configuration: a function of a prefix of the log's ``configuration`` stream.

Every process folds the records of the stream in order by one rule, so processes that
folded the same prefix hold the same state, and of two states the one with the higher
offset is the later one.
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
)

STREAM = "configuration"
TABLES = ("routes", "pools")

# Changes kept in the state, to name the other change of a refusal and to recognize
# repeated ids: one day at 260 changes a day. An older record that is repeated can only
# be accepted if it was refused before and its table did not change since.
CHANGES_KEPT = 256
# One table in one record; 1,100 routes take about 100 KB.
TEXT_CHARS_MAX = 1_000_000


class Change(NamedTuple):
    """A publish record as it was decided.

    Attributes:
        change: Id of the record, chosen by the publisher.
        table: ``routes`` or ``pools``.
        base: Version on which the change was based.
        version: Version that it put in force; 0 if it was refused.
        operator: Who published it.
        note: What the operator says about it.
        at_ms: Wall clock of the publisher, milliseconds since the epoch.
        offset: Offset of the record in the log.
        cause: ``conflict``, ``invalid`` or ``cancelled``; empty if it was accepted.
        problem: Why it was refused, as a sentence.
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
    """What the log's records below ``offset`` amount to.

    Attributes:
        offset: Offset of the next record to fold.
        routes_version: Version of the routes table; 0 is none.
        pools_version: Version of the pools table; 0 is none.
        routes_text: Text of the routes table.
        pools_text: Text of the pools table.
        changes: The last changes that were decided, oldest first.
        snapshot_offset: Offset up to which the newest snapshot in the log reaches, or
            -1 if there is none.
        snapshot_at_ms: Wall clock of its writer, milliseconds since the epoch.
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
    """Build the record of a publish; for the arguments see ``Change``."""
    return msgspec.to_builtins(
        _Publish(change, table, base, text, operator, note, at_ms)
    )


def cancel_record(change: str, table: str, *, operator: str, at_ms: int) -> Any:
    """Build the record that refuses a change unless it was decided before."""
    return msgspec.to_builtins(_Cancel(change, table, operator, at_ms))


def snapshot_record(state: ConfigurationState, *, at_ms: int) -> Any:
    """Build the record that carries a whole state."""
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
    """Build the record that puts both tables in force whatever came before.

    Its version must be higher than all that were ever in force, which readers of a log
    without its beginning cannot know.
    """
    return msgspec.to_builtins(
        _StartOver(change, version, routes_text, pools_text, operator, note, at_ms)
    )


def fold(state: ConfigurationState, offset: int, record: Any) -> ConfigurationState:
    """Fold one record of the log into the state.

    A publish is accepted only if its base is the version in force of its table and
    the joined tables stay valid. An id that was decided before counts once. A snapshot
    repeats what the reader already has, a start over replaces all if its version is
    higher, and a record of unknown shape is passed over.

    Args:
        state: The state of the records below ``state.offset``.
        offset: Offset of the record.
        record: The record.

    Returns:
        The state including the record; the same state if the record is not the next
        one, since a state is only ever the state of a whole prefix.
    """
    if offset != state.offset:
        return state
    state = state._replace(offset=offset + 1)
    match _decode(record):
        case _Publish() as publish:
            return _fold_publish(state, offset, publish)
        case _Cancel() as cancel:
            return _decide(
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
    """Return the state that a record carries, if it is a snapshot."""
    decoded = _decode(record)
    return decoded.state if isinstance(decoded, _Snapshot) else None


def started_over(offset: int, record: Any) -> ConfigurationState | None:
    """Return the state after a record if it starts over, for readers of no prefix."""
    decoded = _decode(record)
    if not isinstance(decoded, _StartOver):
        return None
    before = EMPTY_STATE._replace(offset=offset + 1)
    after = _fold_start_over(before, offset, decoded)
    return after if after.routes_version else None


def declared_state(
    version: int, routes_text: str, pools_text: str
) -> Result[ConfigurationState, str]:
    """Return the state in which both tables were declared whole, with one version.

    Where the configuration comes whole from elsewhere, its version stands for the
    offset: of two states the one with the higher version is the later one.

    Args:
        version: Version of the declaration, 1 or more.
        routes_text: Text of the routes table.
        pools_text: Text of the pools table.

    Returns:
        The state, or the faults of the tables.
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


def adopt(own: ConfigurationState, other: ConfigurationState) -> ConfigurationState:
    """Return the state of a snapshot or a peer if it is later, else the own one.

    A state whose tables this process cannot read is not taken.
    """
    later = (
        other.offset > own.offset
        and other.routes_version >= own.routes_version
        and other.pools_version >= own.pools_version
    )
    return other if later and not check_texts(*_texts(other)) else own


def position_of(state: ConfigurationState) -> ConfigurationPosition:
    """Return how far a state has come."""
    return ConfigurationPosition(
        offset=state.offset,
        routes_version=state.routes_version,
        pools_version=state.pools_version,
    )


def tables_of(state: ConfigurationState) -> Tables:
    """Return the tables in force.

    The same texts give the same mappings, so that an index of them can be kept.
    """
    if not state.routes_version and not state.pools_version:
        return NO_TABLES
    routes: Mapping[str, Route] = _parse_routes(state.routes_text).unwrap()
    pools: Mapping[str, Pool] = _parse_pools(state.pools_text).unwrap()
    return Tables(state.routes_version, state.pools_version, routes, pools)


def check_texts(routes_text: str, pools_text: str) -> list[Fault]:
    """Return the faults of two table texts and of their join."""
    routes, pools = _parse_routes(routes_text), _parse_pools(pools_text)
    if isinstance(routes, Failure):
        return routes.failure()
    if isinstance(pools, Failure):
        return pools.failure()
    return check_tables(routes.unwrap(), pools.unwrap(), routes_text=routes_text)


def parse_ahead(state: ConfigurationState, record: Any) -> None:
    """Parse the texts that folding a record needs, so that ``fold`` finds them parsed.

    Meant for another thread: 1,100 routes take 60 ms or more to parse.
    """
    match _decode(record):
        case _Publish() as publish if publish.table in TABLES:
            check_texts(*_texts(_with_table(state, publish.table, publish.text)))


def find_change(state: ConfigurationState, change: str) -> Change | None:
    """Return the decision on a change if it is among those kept."""
    return next((c for c in reversed(state.changes) if c.change == change), None)


def accepted_as(state: ConfigurationState, table: str, version: int) -> Change | None:
    """Return the change that put a version in force, if it is still kept."""
    return next(
        (
            c
            for c in reversed(state.changes)
            if (c.table, c.version) == (table, version)
        ),
        None,
    )


def conflict(state: ConfigurationState, table: str, base: int) -> str:
    """Say which version is in force instead of ``base``, and whose it is."""
    other = accepted_as(state, table, state.version(table))
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
    if table not in TABLES or find_change(state, publish.id) is not None:
        return state
    after, cause, problem = state, "", ""
    if publish.base != state.version(table):
        cause, problem = "conflict", conflict(state, table, publish.base)
    elif len(publish.text) > TEXT_CHARS_MAX:
        cause = "invalid"
        problem = f"the text is longer than {TEXT_CHARS_MAX} characters"
    else:
        after = _with_table(state, table, publish.text)
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
    return _decide(after, change)


def _fold_start_over(
    state: ConfigurationState, offset: int, start: _StartOver
) -> ConfigurationState:
    """Put both tables in force, with a state that depends on this record alone.

    Readers that know what came before and readers that do not must end up alike, so
    an earlier decision on the same id is no obstacle.
    """
    version = start.version
    faults = check_texts(start.routes_text, start.pools_text)
    later = version > max(state.routes_version, state.pools_version)
    cause = "invalid" if faults else "" if later else "conflict"
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
            "; ".join(map(str, faults[:3])) or ("" if later else "not a later version"),
        )
        for table in TABLES
    )
    if cause:
        return _decide(state, routes)
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


def _decide(state: ConfigurationState, change: Change) -> ConfigurationState:
    """Note a decision, unless there was one on the same id before."""
    if find_change(state, change.change) is not None:
        return state
    return state._replace(changes=(*state.changes, change)[-CHANGES_KEPT:])


def _with_table(state: ConfigurationState, table: str, text: str) -> ConfigurationState:
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


# Room for the text in force and the one that may replace it.
@lru_cache(maxsize=2)
def _parse_routes(text: str) -> Result[dict[str, Route], list[Fault]]:
    return parse_routes(text)


@lru_cache(maxsize=2)
def _parse_pools(text: str) -> Result[dict[str, Pool], list[Fault]]:
    return parse_pools(text)
