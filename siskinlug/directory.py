"""Directory: node records and the targets that each node owns."""

import enum
from collections.abc import Iterator, Mapping
from typing import NamedTuple

import msgspec
import xxhash

STATES = ("alive", "leaving", "dead")
_STATE_RANK = {state: rank for rank, state in enumerate(STATES)}
# At 430 nodes a bucket holds about 13 records, whose marks take about 600 bytes.
BUCKETS = 32


class TargetRecord(NamedTuple):
    """A target as its owner publishes it.

    Attributes:
        target: Target id.
        service: Service name that pools refer to.
        slots: Requests the target takes at once.
        incarnation: Start time of the target process, milliseconds.
        epoch: Raised each time the target moves to another owner.
        state: ``ready`` or ``leaving``.
        ejected: Routes for which it is ejected; ``*`` stands for all.
    """

    target: str
    service: str
    slots: int
    incarnation: int
    epoch: int
    state: str
    ejected: tuple[str, ...] = ()


class NodeRecord(NamedTuple):
    """A node as it publishes itself, or as others declared it dead.

    Records of one node are ordered by incarnation, version and state.
    """

    node: str
    incarnation: int
    version: int
    state: str
    vm: str
    failure_domain: str
    region: str
    host: str
    peer_port: int
    admin_port: int
    targets: tuple[TargetRecord, ...] = ()


class RecordSummary(NamedTuple):
    """A record without its content, about 40 bytes as JSON instead of 600.

    Attributes:
        node: Node id.
        incarnation: As in the record.
        version: As in the record.
        rank: Index of the state in ``STATES``.
        content: Digest of the content. A receiver that holds the same content can
            take the mark in place of the record.
    """

    node: str
    incarnation: int
    version: int
    state_rank: int
    content_hash: int


class MergeResult(enum.Enum):
    """What a mark did to a directory."""

    UNCHANGED = "unchanged"
    CHANGED = "changed"
    WANTED = "wanted"  # newer, but the whole record is needed


def record_order(record: NodeRecord) -> tuple[int, int, int]:
    """Return the sort key that decides which of two records is newer."""
    return record.incarnation, record.version, _STATE_RANK[record.state]


def summary_order(summary: RecordSummary) -> tuple[int, int, int]:
    """Return the sort key of the record that a mark stands for."""
    return summary.incarnation, summary.version, summary.state_rank


def summarize_record(record: NodeRecord) -> RecordSummary:
    """Return the mark of a record."""
    content = (
        record.vm,
        record.failure_domain,
        record.region,
        record.host,
        record.peer_port,
        record.admin_port,
        record.targets,
    )
    digest = xxhash.xxh32_intdigest(msgspec.json.encode(content))
    return RecordSummary(
        record.node,
        record.incarnation,
        record.version,
        _STATE_RANK[record.state],
        digest,
    )


def bucket_of(node: str) -> int:
    """Return the digest bucket of a node."""
    return xxhash.xxh32_intdigest(node.encode()) % BUCKETS


class Directory:
    """Newest record of each known node.

    ``revision`` rises with every change, so that what is derived from the records
    can be kept until then.
    """

    def __init__(self, own: NodeRecord) -> None:
        self.own_node = own.node
        self.revision = 0
        self._record_by_node: dict[str, NodeRecord] = {}
        self._bucket_digests = [0] * BUCKETS
        self.put(own)

    @property
    def record_by_node(self) -> Mapping[str, NodeRecord]:
        """The records, to be changed only through ``put`` and ``remove``."""
        return self._record_by_node

    @property
    def own(self) -> NodeRecord:
        """The record of this node."""
        return self._record_by_node[self.own_node]

    def put(self, record: NodeRecord) -> None:
        """Store a record in place of the one held."""
        self.remove(record.node)
        self._record_by_node[record.node] = record
        self._toggle_in_digest(record)

    def remove(self, node: str) -> None:
        """Forget a node."""
        held = self._record_by_node.pop(node, None)
        if held is not None:
            self._toggle_in_digest(held)
        self.revision += 1

    def live_records(self) -> Iterator[NodeRecord]:
        """Yield the records of nodes that are not dead."""
        return (r for r in self._record_by_node.values() if r.state != "dead")

    def digest(self) -> str:
        """Return a digest of the nodes that are not dead and their record order."""
        total = 0
        for digest in self._bucket_digests:
            total ^= digest
        return f"{total:016x}"

    def bucket_digests(self) -> list[int]:
        """Return 32 bits of digest for each bucket of nodes."""
        return [digest & 0xFFFFFFFF for digest in self._bucket_digests]

    def _toggle_in_digest(self, record: NodeRecord) -> None:
        # Dead records are left out: nodes forget them at different times, and a
        # difference would bring them back from nodes that still hold them.
        if record.state != "dead":
            text = f"{record.node} {record_order(record)}".encode()
            digest = xxhash.xxh3_64_intdigest(text)
            self._bucket_digests[bucket_of(record.node)] ^= digest


def merge_record(directory: Directory, record: NodeRecord) -> bool:
    """Take a record if it is newer than the one held.

    A newer record of this node itself was made by others, or by an earlier process
    of the same name on a VM whose clock was ahead. It is answered by raising the own
    version, or the incarnation, past it. A live process of a higher incarnation at
    another address has replaced this one and is not answered.

    Returns:
        Whether the directory changed.
    """
    if record.state not in _STATE_RANK:
        return False
    held = directory.record_by_node.get(record.node)
    if held is not None and record_order(record) <= record_order(held):
        return False
    if record.node != directory.own_node:
        directory.put(record)
        return True
    own = directory.own
    if record.incarnation == own.incarnation:
        directory.put(own._replace(version=record.version + 1))
        return True
    if is_replacement(directory, record):
        return False
    # Not the same incarnation: an attempt sent to the earlier process must not be
    # taken for one of this process.
    directory.put(own._replace(incarnation=record.incarnation + 1, version=1))
    return True


def is_replacement(directory: Directory, record: NodeRecord) -> bool:
    """Whether a record is of a newer live process under the name of this node."""
    own = directory.own
    return (
        record.node == own.node
        and record.incarnation > own.incarnation
        and record.state != "dead"
        and (record.host, record.peer_port) != (own.host, own.peer_port)
    )


def merge_summary(directory: Directory, summary: RecordSummary) -> MergeResult:
    """Take a mark if it is newer and the content it stands for is held.

    A dead mark needs no content, and means nothing for an unknown node.
    """
    held = directory.record_by_node.get(summary.node)
    if not 0 <= summary.state_rank < len(STATES):
        return MergeResult.UNCHANGED
    state = STATES[summary.state_rank]
    if held is None:
        return MergeResult.UNCHANGED if state == "dead" else MergeResult.WANTED
    if summary_order(summary) <= record_order(held):
        return MergeResult.UNCHANGED
    if state != "dead" and summarize_record(held).content_hash != summary.content_hash:
        # Another record of this node and incarnation needs no content to be answered.
        own = summary.node == directory.own_node
        if not own or summary.incarnation != held.incarnation:
            return MergeResult.WANTED
    merge_record(
        directory,
        held._replace(
            incarnation=summary.incarnation, version=summary.version, state=state
        ),
    )
    return MergeResult.CHANGED


def update_own(
    directory: Directory,
    *,
    state: str | None = None,
    targets: tuple[TargetRecord, ...] | None = None,
) -> bool:
    """Change this node's record and raise its version.

    Returns:
        Whether anything changed.
    """
    own = directory.own
    changed = own._replace(
        state=own.state if state is None else state,
        targets=own.targets if targets is None else targets,
    )
    if changed == own:
        return False
    directory.put(changed._replace(version=own.version + 1))
    return True
