"""Timeline: ring buffer of the typed events of one process."""

import enum
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from siskinlug.clock import HybridClock, Timestamp
from siskinlug.logs import log_event

MAX_TIMELINE_EVENTS = 4096
_EARLIEST = Timestamp(0, 0)


class Kind(enum.StrEnum):
    """Event types; ``MEANING_BY_KIND`` describes each one and its subject."""

    NODE_STARTED = "node_started"
    NODE_STOPPING = "node_stopping"
    NODE_STOPPED = "node_stopped"
    MEMBER_JOINED = "member_joined"
    MEMBER_LEAVING = "member_leaving"
    MEMBER_SUSPECTED = "member_suspected"
    MEMBER_CLEARED = "member_cleared"
    MEMBER_DEAD = "member_dead"
    MEMBER_RETURNED = "member_returned"
    MEMBER_REFUTED = "member_refuted"
    MEMBER_REPLACED = "member_replaced"
    MEMBER_FORGOTTEN = "member_forgotten"
    MEMBERS_SYNCED = "members_synced"
    LINK_UP = "link_up"
    LINK_DOWN = "link_down"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    CONFIGURATION_REFUSED = "configuration_refused"
    LOG_DOWN = "log_down"
    LOG_UP = "log_up"
    TARGET_ANNOUNCED = "target_announced"
    TARGET_LEAVING = "target_leaving"
    TARGET_LEASE_LAPSED = "target_lease_lapsed"
    TARGET_SICK = "target_sick"
    TARGET_EJECTED = "target_ejected"
    TARGET_EJECTION_REFUSED = "target_ejection_refused"
    TARGET_EJECTION_LAPSED = "target_ejection_lapsed"
    TARGET_TRIAL_STARTED = "target_trial_started"
    TARGET_TRIAL_FAILED = "target_trial_failed"
    TARGET_READMITTED = "target_readmitted"
    REQUEST_SUSPECTED = "request_suspected"
    REQUEST_REFUSED = "request_refused"


MEANING_BY_KIND: Mapping[Kind, str] = {
    Kind.NODE_STARTED: "This node started to serve. Subject: the node.",
    Kind.NODE_STOPPING: "A planned stop of this node began. Subject: the node.",
    Kind.NODE_STOPPED: "This node finished its work and exits. Subject: the node.",
    Kind.MEMBER_JOINED: "A node, or a new incarnation of it, was first seen. "
    "Subject: the node.",
    Kind.MEMBER_LEAVING: "A node announced that it is leaving. Subject: the node.",
    Kind.MEMBER_SUSPECTED: "Neither this node nor others that it asked reached a "
    "node. Subject: the node.",
    Kind.MEMBER_CLEARED: "This node no longer suspects a node. Subject: the node.",
    Kind.MEMBER_DEAD: "A node was declared dead, or is gone after leaving, as this "
    "node found or was told. Subject: the node.",
    Kind.MEMBER_RETURNED: "A node declared dead is back with a higher version. "
    "Subject: the node.",
    Kind.MEMBER_REFUTED: "This node was declared dead and raised its version. "
    "Subject: this node.",
    Kind.MEMBER_REPLACED: "A newer process has the name of this node. "
    "Subject: this node.",
    Kind.MEMBER_FORGOTTEN: "A node dead for 10 min was dropped. Subject: the node.",
    Kind.MEMBERS_SYNCED: "The directory was compared with another one that differed. "
    "Subject: the other node.",
    Kind.LINK_UP: "A round trip succeeded after failures. Subject: the peer.",
    Kind.LINK_DOWN: "A round trip failed after successes. Subject: the peer.",
    Kind.CONFIGURATION_IN_FORCE: "A configuration came into force on this node. "
    "Subject: the table, or the offset.",
    Kind.CONFIGURATION_REFUSED: "A published table was refused. Subject: the table.",
    Kind.LOG_DOWN: "The log stopped responding. Subject: the stream.",
    Kind.LOG_UP: "The log responds again. Subject: the stream.",
    Kind.TARGET_ANNOUNCED: "A target chose this node as its owner. Subject: target.",
    Kind.TARGET_LEAVING: "A target announced that it is leaving. Subject: target.",
    Kind.TARGET_LEASE_LAPSED: "A target did not renew its lease. Subject: target.",
    Kind.TARGET_SICK: "Evidence against a target passed the limit. Subject: target.",
    Kind.TARGET_EJECTED: "The owner ejected a target. Subject: target.",
    Kind.TARGET_EJECTION_REFUSED: "An ejection lacked capacity reservations. "
    "Subject: target.",
    Kind.TARGET_EJECTION_LAPSED: "Capacity reservations ended, so an ejected target "
    "gets requests again. Subject: target.",
    Kind.TARGET_TRIAL_STARTED: "An ejected target gets a few trial requests. "
    "Subject: target.",
    Kind.TARGET_TRIAL_FAILED: "The trial requests failed; the target is ejected again. "
    "Subject: target.",
    Kind.TARGET_READMITTED: "The owner readmitted a target. Subject: target.",
    Kind.REQUEST_SUSPECTED: "A request was running when a target crashed. "
    "Subject: its fingerprint.",
    Kind.REQUEST_REFUSED: "A request that crashed two targets is refused. "
    "Subject: its fingerprint.",
}


class Event(NamedTuple):
    """One event.

    Attributes:
        at: Hybrid logical time.
        node: The process that recorded it.
        kind: A value of ``Kind``; text, so that an older process can read an event
            of a newer one.
        subject: Name of the node, target, route or request that the event is about.
        detail: Explanation for the operator, in one sentence.
    """

    at: Timestamp
    node: str
    kind: str
    subject: str
    detail: str


class Timeline:
    """Ring buffer of the latest events of one process."""

    def __init__(self, node: str, clock: HybridClock) -> None:
        self.node = node
        self.clock = clock
        self._events: deque[Event] = deque(maxlen=MAX_TIMELINE_EVENTS)

    def events(self, *, since: Timestamp = _EARLIEST) -> list[Event]:
        """Return the events recorded after ``since``, oldest first."""
        return [event for event in self._events if event.at > since]

    def append(self, event: Event) -> None:
        """Append an event; the oldest is dropped if the buffer is full."""
        self._events.append(event)


def record_event(timeline: Timeline, kind: str, subject: str, detail: str = "") -> None:
    """Record an event at the current hybrid time and log it.

    Args:
        timeline: The timeline of this process.
        kind: A value of ``Kind``.
        subject: Subject as ``MEANING_BY_KIND`` describes it for the kind.
        detail: Explanation for the operator, in one sentence.
    """
    event = Event(timeline.clock.now(), timeline.node, str(kind), subject, detail)
    timeline.append(event)
    log_event(event.kind, subject=subject, detail=detail)
