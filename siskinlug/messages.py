"""Messages between processes: JSON through msgspec, checked on decoding."""

from typing import Any, NotRequired, TypedDict, TypeVar

import msgspec

from siskinlug.directory import NodeRecord

MessageT = TypeVar("MessageT")


class Announcement(TypedDict):
    """A target's announcement or renewal to its owner (``POST /announce``).

    ``state`` is ``ready`` or ``leaving``; ``incarnation`` is the start time of the
    target process in milliseconds; ``epoch`` rises each time it changes owner.
    """

    target: str
    service: str
    host: str
    port: int
    slots: int
    incarnation: int
    epoch: int
    state: str
    probe_path: NotRequired[str]


class AnnouncementAnswer(TypedDict):
    """The owner's answer: the lease granted and nodes to turn to if it dies."""

    lease_s: float
    interval_s: float
    alternatives: list[str]


class Position(TypedDict):
    """How far a node's configuration has come."""

    offset: int
    routes_version: int
    pools_version: int


class Ping(TypedDict):
    """Heartbeat, with changed records and what is needed to notice a gap."""

    node: str
    at: tuple[int, int]
    digest: str
    position: Position
    records: list[NodeRecord]
    suspicions: NotRequired[list[Any]]


class PingAnswer(TypedDict):
    """Answer to a heartbeat, of the same shape as the heartbeat."""

    node: str
    at: tuple[int, int]
    digest: str
    position: Position
    records: list[NodeRecord]
    suspicions: NotRequired[list[Any]]


class CancelRequest(TypedDict):
    """Ask an owner to cancel an attempt that was sent to this incarnation."""

    attempt: str
    incarnation: int


class CancelAnswer(TypedDict):
    """What became of the attempt: a ``Verdict`` value."""

    verdict: str


def encode(message: Any) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(message)


def decode(body: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode and check a message.

    Raises:
        msgspec.ValidationError: The body does not have the type's shape.
        msgspec.DecodeError: The body is not JSON.
    """
    return msgspec.json.decode(body, type=message_type)
