"""Messages between processes: JSON through msgspec, checked on decoding."""

from typing import Any, NotRequired, TypedDict, TypeVar

import msgspec

from siskinlug.directory import NodeRecord, RecordSummary

MessageT = TypeVar("MessageT")


class Announcement(TypedDict):
    """A target's announcement or renewal to its owner (``POST /announce``).

    ``state`` is ``ready`` or ``leaving``; ``incarnation`` is the start time of the
    target process in milliseconds; ``epoch`` rises each time it changes owner;
    ``sequence``, if given, rises with each renewal of an incarnation.
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
    sequence: NotRequired[int]


class AnnouncementAnswer(TypedDict):
    """The owner's answer: the lease granted and nodes to turn to if it dies."""

    lease_s: float
    interval_s: float
    alternatives: list[str]


class ConfigurationPosition(TypedDict):
    """How far a node's configuration has come."""

    offset: int
    routes_version: int
    pools_version: int


class Gossip(msgspec.Struct, array_like=True, frozen=True):
    """Heartbeat, its answer, and urgent push (``/peer/ping``, ``/peer/push``).

    Attributes:
        own: Mark of the sender's own record.
        at: Hybrid time of the sender.
        digest: Of the sender's directory; empty in a push.
        marks: Changed records whose content the receiver probably holds.
        records: Changed records.
        payloads: Values of other modules, by name.
    """

    own: RecordSummary
    at: tuple[int, int]
    digest: str = ""
    summaries: list[RecordSummary] = []
    records: list[NodeRecord] = []
    payloads: dict[str, msgspec.Raw] = {}


class PushAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Receipt of a push, with the mark of the node that received it."""

    own: RecordSummary


class PingThrough(msgspec.Struct, array_like=True, frozen=True):
    """Ask a helper to ping a node (``POST /peer/ping-through``)."""

    node: str
    host: str
    port: int


class PingThroughAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Whether the node answered the helper."""

    reached: bool


class SyncRequest(msgspec.Struct, array_like=True, frozen=True):
    """One of two steps of an exchange of directories (``POST /peer/sync``).

    The first step sends the digest of each bucket of nodes. The second sends what
    the sender holds newer and names the records it wants.

    Attributes:
        sender: Node id.
        digests: 32 bits for each bucket, or empty in the second step.
        want: Nodes whose records are wanted; ``*`` stands for all.
        marks: Newer records whose content the receiver holds.
        records: Newer records.
        at: Hybrid time of the sender.
    """

    sender: str
    at: tuple[int, int]
    digests: list[int] = []
    wanted_nodes: list[str] = []
    summaries: list[RecordSummary] = []
    records: list[NodeRecord] = []


class SyncAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Answer to either step of a sync.

    Attributes:
        node: The node that answers.
        buckets: Buckets that differ.
        marks: Marks of all records in these buckets.
        records: The records that were wanted.
        at: Hybrid time of the node.
    """

    node: str
    at: tuple[int, int]
    buckets: list[int] = []
    summaries: list[RecordSummary] = []
    records: list[NodeRecord] = []


class CancelRequest(TypedDict):
    """Ask an owner to cancel an attempt that was sent to this incarnation."""

    attempt: str
    incarnation: int


class CancelAnswer(TypedDict):
    """What became of the attempt: a ``Verdict`` value."""

    verdict: str


class AttemptQuery(TypedDict):
    """Ask an owner whether an attempt has arrived (``POST /peer/attempts/state``)."""

    attempt: str


class AttemptState(TypedDict):
    """``unknown``, ``running`` (also queued) or ``ended``."""

    state: str


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
