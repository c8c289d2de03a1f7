"""Command-line view of the merged timelines of all processes."""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from contextlib import suppress
from datetime import UTC, datetime
from pathlib import Path
from typing import NamedTuple

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from siskinlug.clock import Timestamp
from siskinlug.timeline import MEANING_BY_KIND, Event, Kind

FETCH_TIMEOUT_S = 2.0
FOLLOW_INTERVAL_S = 1.0
# While events arrive, the newest are not shown until a later poll. Processes are
# polled at different moments, so another one may still report an earlier event.
REORDER_WINDOW_S = 2.0
_LANE_INCHES = 0.35
_MAX_INCHES = 80.0

# Returns the events of one process after a time. Raises OSError if it is unreachable.
FetchEvents = Callable[[Timestamp], Awaitable[list[Event]]]


class _EventMessage(msgspec.Struct):
    at: Timestamp
    node: str
    kind: str
    subject: str
    detail: str


class _NodeMessage(msgspec.Struct):
    host: str
    admin_port: int
    state: str


class Selection(NamedTuple):
    """Filter of events; an empty field matches all.

    Attributes:
        kinds: Kinds, or prefixes of kinds such as ``member``.
        nodes: Names of the processes that recorded the event.
        subject: Text that the subject contains.
    """

    kinds: tuple[str, ...] = ()
    nodes: tuple[str, ...] = ()
    subject: str = ""


def merge_events(timelines: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes into causal order.

    Events are ordered by hybrid time. A cause therefore precedes its effect, provided
    that the message between them carried the clock. Two events of one process never
    have the same time; those of different processes are then ordered by node.
    """
    merged = {event for events in timelines for event in events}
    return sorted(merged, key=lambda event: (event.at, event.node))


def select_events(events: Iterable[Event], selection: Selection) -> list[Event]:
    """Return the events that match a selection."""
    return [
        event
        for event in events
        if (not selection.kinds or event.kind.startswith(selection.kinds))
        and (not selection.nodes or event.node in selection.nodes)
        and selection.subject in event.subject
    ]


def format_event(event: Event) -> str:
    """Format an event as one line: time (UTC), process, kind, subject, detail."""
    moment = datetime.fromtimestamp(event.at.wall_ms / 1000, UTC)
    time = f"{moment:%H:%M:%S}.{event.at.wall_ms % 1000:03d}+{event.at.counter}"
    line = f"{time:<16} {event.node:<12} {event.kind:<24} {event.subject}"
    return f"{line}  {event.detail}" if event.detail else line


def describe_kinds() -> str:
    """Return all kinds with their meanings, one per line."""
    return "\n".join(f"{kind:<24} {MEANING_BY_KIND[kind]}" for kind in Kind)


async def fetch_all(
    fetch_by_name: Mapping[str, FetchEvents],
    since_by_name: Mapping[str, Timestamp],
    *,
    unreachable: set[str],
) -> dict[str, list[Event]]:
    """Fetch the events of all processes concurrently.

    Args:
        fetch_by_name: For each process, the function that fetches its events.
        since_by_name: For each process, the time after which events are fetched.
        unreachable: Updated to the names of the processes that could not be reached.

    Returns:
        The events of each process that responded, by name.
    """

    async def fetch(name: str, read: FetchEvents) -> list[Event] | None:
        try:
            return await read(since_by_name[name])
        except OSError:
            return None

    names = list(fetch_by_name)
    results = await asyncio.gather(*(fetch(n, fetch_by_name[n]) for n in names))
    unreachable.clear()
    unreachable.update(
        name for name, events in zip(names, results, strict=True) if events is None
    )
    return {
        name: events
        for name, events in zip(names, results, strict=True)
        if events is not None
    }


async def follow_events(
    fetch_by_name: Mapping[str, FetchEvents],
    *,
    since: Timestamp,
    show: Callable[[Event], object],
    unreachable: set[str],
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Show events in causal order as they are recorded, until cancelled.

    An event of a process that was unreachable for longer than ``REORDER_WINDOW_S`` is
    shown late rather than dropped.

    Args:
        fetch_by_name: For each process, the function that fetches its events.
        since: Time after which events are shown.
        show: Receives each event.
        unreachable: Updated to the names of the processes that could not be reached.
        sleep: Waits for a time in seconds.
    """
    since_by_name = dict.fromkeys(fetch_by_name, since)
    pending: list[Event] = []
    while True:
        new = await fetch_all(fetch_by_name, since_by_name, unreachable=unreachable)
        for name, events in new.items():
            if events:
                since_by_name[name] = events[-1].at
        pending = merge_events([pending, *new.values()])
        if pending:
            horizon = pending[-1].at.wall_ms
            if any(new.values()):
                horizon -= int(REORDER_WINDOW_S * 1000)
            for event in pending:
                if event.at.wall_ms <= horizon:
                    show(event)
            pending = [event for event in pending if event.at.wall_ms > horizon]
        await sleep(FOLLOW_INTERVAL_S)


def draw_timeline(events: Sequence[Event], path: Path) -> None:
    """Draw events as markers in one lane per process and write the picture.

    Args:
        events: Events in causal order.
        path: File to write; its suffix selects the format.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    nodes = sorted({event.node for event in events})
    kinds = [kind for kind in Kind if any(event.kind == kind for event in events)]
    start = events[0].at.wall_ms if events else 0
    height = min(1.5 + _LANE_INCHES * len(nodes), _MAX_INCHES)
    figure, axes = pyplot.subplots(figsize=(14, height), layout="constrained")
    colours = matplotlib.colormaps["tab20"].colors  # type: ignore[attr-defined]
    for index, kind in enumerate(kinds):
        chosen = [event for event in events if event.kind == kind]
        axes.scatter(
            [(event.at.wall_ms - start) / 1000 for event in chosen],
            [nodes.index(event.node) for event in chosen],
            marker="os^Dv"[index % 5],
            color=colours[index % len(colours)],
            label=kind.value,
            s=24,
        )
    axes.set_yticks(range(len(nodes)), nodes, fontsize=7)
    axes.set_ylim(max(len(nodes), 1) - 0.5, -0.5)
    moment = datetime.fromtimestamp(start / 1000, UTC)
    axes.set_xlabel(f"seconds since {moment:%Y-%m-%d %H:%M:%S} UTC")
    axes.grid(axis="y", linewidth=0.3)
    if kinds:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7)
    figure.savefig(path)
    pyplot.close(figure)


def make_fetch(address: str) -> FetchEvents:
    """Build the function that fetches events from an admin port.

    Args:
        address: ``host:port`` of the admin port.
    """

    async def fetch(since: Timestamp) -> list[Event]:
        query = f"since_ms={since.wall_ms}&since_counter={since.counter}"
        body = await _get(f"http://{address}/timeline?{query}")
        try:
            decoded = msgspec.json.decode(body, type=list[_EventMessage])
        except msgspec.DecodeError as error:
            raise OSError(str(error)) from error
        return [Event(e.at, e.node, e.kind, e.subject, e.detail) for e in decoded]

    return fetch


async def discover_addresses(address: str) -> list[str]:
    """Return the addresses of the admin ports of all nodes that are not dead.

    Args:
        address: ``host:port`` of the admin port of any node.

    Raises:
        OSError: The node did not respond.
    """
    body = await _get(f"http://{address}/nodes")
    nodes = msgspec.json.decode(body, type=list[_NodeMessage])
    return [f"{n.host}:{n.admin_port}" for n in nodes if n.state != "dead"]


async def _get(url: str) -> bytes:
    """Return the body of a response; raises OSError unless its status is 2xx."""
    try:
        answer = await AsyncHTTPClient().fetch(
            url, connect_timeout=FETCH_TIMEOUT_S, request_timeout=FETCH_TIMEOUT_S
        )
    except HTTPClientError as error:
        raise OSError(str(error)) from error
    return bytes(answer.body)


async def show_timeline(
    addresses: Sequence[str],
    *,
    selection: Selection = Selection(),  # noqa: B008 - immutable
    since: Timestamp = Timestamp(0, 0),  # noqa: B008 - immutable
    discover: bool = False,
    follow: bool = False,
    picture: Path | None = None,
    write: Callable[[str], object] = print,
) -> list[str]:
    """Show the merged timeline of several processes.

    Args:
        addresses: ``host:port`` of the admin ports.
        selection: Filter of the events.
        since: Time after which events are shown.
        discover: Show all nodes that the nodes at these addresses know of.
        follow: Keep showing events as they are recorded, until cancelled.
        picture: File to which a picture is written instead of the text.
        write: Receives each line.

    Returns:
        Addresses that could not be read.
    """
    if discover:
        found = [await discover_addresses(address) for address in addresses]
        addresses = [address for some in found for address in some]
    fetch_by_name = {address: make_fetch(address) for address in addresses}
    unreachable: set[str] = set()

    def show(event: Event) -> None:
        for selected in select_events([event], selection):
            write(format_event(selected))

    if follow:
        await follow_events(
            fetch_by_name, since=since, show=show, unreachable=unreachable
        )
    fetched = await fetch_all(
        fetch_by_name, dict.fromkeys(fetch_by_name, since), unreachable=unreachable
    )
    events = merge_events(fetched.values())
    if picture is not None:
        draw_timeline(select_events(events, selection), picture)
    else:
        for event in events:
            show(event)
    return sorted(unreachable)


def run_timeline(
    addresses: Sequence[str],
    *,
    kinds: Sequence[str] = (),
    nodes: Sequence[str] = (),
    subject: str = "",
    last_s: float | None = None,
    discover: bool = False,
    follow: bool = False,
    picture: Path | None = None,
) -> int:
    """Run ``siskinlug timeline``.

    Args:
        addresses: ``host:port`` of the admin ports.
        kinds: Kinds, or prefixes of kinds, of the events that are shown.
        nodes: Names of the processes whose events are shown.
        subject: Text that the subject contains.
        last_s: Age of the oldest events that are shown, in seconds; ``None`` for all.
        discover: Show all nodes that the nodes at these addresses know of.
        follow: Keep showing events until interrupted.
        picture: File to which a picture is written instead of the text.

    Returns:
        Exit status: 1 if a process could not be read.

    Raises:
        OSError: A node did not respond to the query for other nodes.
    """
    since = Timestamp(0, 0)
    if last_s is not None:
        now_ms = datetime.now(UTC).timestamp() * 1000
        since = Timestamp(int(now_ms - last_s * 1000), 0)
    unreachable: list[str] = []
    with suppress(KeyboardInterrupt):
        unreachable = asyncio.run(
            show_timeline(
                addresses,
                selection=Selection(tuple(kinds), tuple(nodes), subject),
                since=since,
                discover=discover,
                follow=follow,
                picture=picture,
            )
        )
    for address in unreachable:
        print(f"{address}: the timeline could not be read", file=sys.stderr)
    return 1 if unreachable else 0
