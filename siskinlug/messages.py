"""Messages between processes, encoded as JSON and validated on decoding."""

from typing import Any, NotRequired, TypedDict, TypeVar

import msgspec

from siskinlug.directory import NodeRecord, RecordSummary

MessageT = TypeVar("MessageT")


class Announcement(TypedDict):
    """A target's announcement or renewal to its owner (``POST /announce``).

    ``state`` is ``ready`` or ``leaving``; ``incarnation`` is the start time of the
    target process in milliseconds; ``epoch`` is incremented each time the target
    changes owner; ``sequence`` is optional and increases with each renewal of an
    incarnation.
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
    """The owner's response: the lease, and other nodes to use if the owner dies."""

    lease_s: float
    interval_s: float
    alternatives: list[str]


class ConfigurationPosition(TypedDict):
    """Log offset and table versions of a node's configuration."""

    offset: int
    routes_version: int
    pools_version: int


class Gossip(msgspec.Struct, array_like=True, frozen=True):
    """Ping, its response, or push (``/peer/ping``, ``/peer/push``).

    Attributes:
        sender: Summary of the sender's own record.
        at: Hybrid time of the sender.
        digest: Digest of the sender's directory; empty in a push.
        summaries: Changed records whose content the receiver probably knows.
        records: Changed records whose content changed.
        payloads: Values of other modules, by name.
    """

    sender: RecordSummary
    at: tuple[int, int]
    digest: str = ""
    summaries: list[RecordSummary] = []
    records: list[NodeRecord] = []
    payloads: dict[str, msgspec.Raw] = {}


class PushAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Response to a push, with the record summary of the node that received it."""

    receiver: RecordSummary


class PingThrough(msgspec.Struct, array_like=True, frozen=True):
    """Request for an indirect ping of a node (``POST /peer/ping-through``)."""

    node: str
    host: str
    port: int


class PingThroughAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Whether the node responded to the helper's ping."""

    reached: bool


class SyncRequest(msgspec.Struct, array_like=True, frozen=True):
    """One of the two requests of a sync of directories (``POST /peer/sync``).

    The first request sends the digest of each bucket of nodes. The second sends the
    records that are newer at the sender, and names those it needs.

    Attributes:
        sender: Node id.
        at: Hybrid time of the sender.
        digests: 32-bit digest of each bucket; empty in the second request.
        wanted_nodes: Nodes whose records are requested; ``*`` stands for all.
        summaries: Newer records whose content the receiver knows.
        records: Newer records whose content the receiver lacks.
    """

    sender: str
    at: tuple[int, int]
    digests: list[int] = []
    wanted_nodes: list[str] = []
    summaries: list[RecordSummary] = []
    records: list[NodeRecord] = []


class SyncAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Response to either request of a sync.

    Attributes:
        node: The node that responds.
        at: Hybrid time of the node.
        differing_buckets: Indices of the buckets that differ.
        summaries: Summaries of all records in these buckets.
        records: The requested records.
        payloads: As in ``Gossip``, if all records were requested.
    """

    node: str
    at: tuple[int, int]
    differing_buckets: list[int] = []
    summaries: list[RecordSummary] = []
    records: list[NodeRecord] = []
    payloads: dict[str, msgspec.Raw] = {}


class CancelRequest(TypedDict):
    """Request to cancel an attempt that was sent to this incarnation of the owner."""

    attempt: str
    incarnation: int


class CancelAnswer(TypedDict):
    """Outcome of the attempt, as a ``Verdict`` value."""

    verdict: str


class AttemptQuery(TypedDict):
    """Query for the state of an attempt (``POST /peer/attempts/state``)."""

    attempt: str


class AttemptState(TypedDict):
    """State of an attempt: ``unknown``, ``running`` (also if queued) or ``ended``."""

    state: str


def encode(message: Any) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(message)


def decode(body: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode and validate a message.

    Raises:
        msgspec.ValidationError: The body does not match the type.
        msgspec.DecodeError: The body is not JSON.
    """
    return msgspec.json.decode(body, type=message_type)
