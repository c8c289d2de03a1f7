"""Time line: a bounded ring of typed events of one process."""

from collections import deque
from typing import NamedTuple

from siskinlug.clock import HybridClock, Timestamp

RING_EVENTS = 4096
_BEGINNING = Timestamp(0, 0)


class Event(NamedTuple):
    """One event.

    Attributes:
        at: Hybrid logical time.
        node: The process that recorded it.
        kind: Event type, such as ``configuration_in_force``.
        subject: What it is about: a node, a target, a route or a request.
        detail: One sentence for a person.
    """

    at: Timestamp
    node: str
    kind: str
    subject: str
    detail: str


class Timeline:
    """Ring of the last events of one process."""

    def __init__(self, node: str, clock: HybridClock) -> None:
        self.node = node
        self.clock = clock
        self._ring: deque[Event] = deque(maxlen=RING_EVENTS)

    def events(self, *, since: Timestamp = _BEGINNING) -> list[Event]:
        """Return the events recorded after ``since``, oldest first."""
        return [event for event in self._ring if event.at > since]

    def append(self, event: Event) -> None:
        """Add an event and drop the oldest beyond the bound."""
        self._ring.append(event)


def record(timeline: Timeline, kind: str, subject: str, detail: str = "") -> None:
    """Record an event at the current hybrid time."""
    timeline.append(Event(timeline.clock.now(), timeline.node, kind, subject, detail))
