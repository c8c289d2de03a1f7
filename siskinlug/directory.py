"""Directory of the fleet: the record of each node and of the targets it owns."""

import enum
from collections.abc import Iterator, Mapping
from typing import NamedTuple

import msgspec
import xxhash

NODE_STATES = ("alive", "leaving", "dead")
_STATE_RANK = {state: rank for rank, state in enumerate(NODE_STATES)}
# At 430 nodes a bucket has about 13 records, whose summaries take about 600 bytes.
BUCKET_COUNT = 32


class TargetRecord(NamedTuple):
    """A target as its owner publishes it.

    Attributes:
        target: Target id.
        service: Service name that pools refer to.
        slots: Number of requests that the target serves concurrently.
        incarnation: Start time of the target process, milliseconds.
        epoch: Incremented each time the target moves to another owner.
        state: ``ready`` or ``leaving``.
        ejected: Routes for which the target is ejected; ``*`` means all routes.
    """

    target: str
    service: str
    slots: int
    incarnation: int
    epoch: int
    state: str
    ejected: tuple[str, ...] = ()


class NodeRecord(NamedTuple):
    """A node as it publishes itself, or as declared dead by others.

    Records of one node are ordered by incarnation, version and state: the state
    that is later in ``NODE_STATES`` wins.
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
    """Version and content hash of a record: about 40 bytes of JSON instead of 600.

    Attributes:
        node: Node id.
        incarnation: As in the record.
        version: As in the record.
        state_rank: Index of the state in ``NODE_STATES``.
        content_hash: Hash of the record's other fields, which are its content. A
            receiver that has the same content can update its record from the summary.
    """

    node: str
    incarnation: int
    version: int
    state_rank: int
    content_hash: int


class MergeResult(enum.Enum):
    """Effect of a record summary on the directory."""

    UNCHANGED = "unchanged"
    CHANGED = "changed"
    WANTED = "wanted"  # newer, but the full record is needed


def record_order(record: NodeRecord) -> tuple[int, int, int]:
    """Return the sort key by which the newer of two records is found."""
    return record.incarnation, record.version, _STATE_RANK[record.state]


def summary_order(summary: RecordSummary) -> tuple[int, int, int]:
    """Return the sort key of the record that a summary describes."""
    return summary.incarnation, summary.version, summary.state_rank


def summarize_record(record: NodeRecord) -> RecordSummary:
    """Return the summary of a record."""
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
    return xxhash.xxh32_intdigest(node.encode()) % BUCKET_COUNT


class Directory:
    """The newest record of each known node.

    ``revision`` is incremented by every change, so that values derived from the
    records can be cached.
    """

    def __init__(self, own: NodeRecord) -> None:
        self.own_node = own.node
        self.revision = 0
        self._record_by_node: dict[str, NodeRecord] = {}
        self._bucket_digests = [0] * BUCKET_COUNT
        self.put(own)

    @property
    def record_by_node(self) -> Mapping[str, NodeRecord]:
        """The records by node; change them only through ``put`` and ``remove``."""
        return self._record_by_node

    @property
    def own_record(self) -> NodeRecord:
        """The record of this node."""
        return self._record_by_node[self.own_node]

    def put(self, record: NodeRecord) -> None:
        """Store a record, replacing an earlier one of the same node."""
        self.remove(record.node)
        self._record_by_node[record.node] = record
        self._toggle_in_digest(record)

    def remove(self, node: str) -> None:
        """Remove the record of a node, if there is one."""
        stored = self._record_by_node.pop(node, None)
        if stored is not None:
            self._toggle_in_digest(stored)
        self.revision += 1

    def live_records(self) -> Iterator[NodeRecord]:
        """Yield the records of nodes that are not dead."""
        return (r for r in self._record_by_node.values() if r.state != "dead")

    def digest(self) -> str:
        """Return a digest of the live nodes and the versions of their records."""
        total = 0
        for digest in self._bucket_digests:
            total ^= digest
        return f"{total:016x}"

    def bucket_digests(self) -> list[int]:
        """Return a 32-bit digest of each bucket of nodes."""
        return [digest & 0xFFFFFFFF for digest in self._bucket_digests]

    def _toggle_in_digest(self, record: NodeRecord) -> None:
        # Dead nodes are left out. Nodes remove their records at different times, and
        # syncs over that difference would bring the records back.
        if record.state != "dead":
            text = f"{record.node} {record_order(record)}".encode()
            digest = xxhash.xxh3_64_intdigest(text)
            self._bucket_digests[bucket_of(record.node)] ^= digest


def merge_record(directory: Directory, record: NodeRecord) -> bool:
    """Store a record if it is newer than the stored one.

    A newer record of this node itself comes from others, as when they declared it
    dead, or from an earlier process of the same name on a VM whose clock was ahead.
    This node refutes it by raising its own version or incarnation above it. It does
    not refute a live process of a higher incarnation at another address, which has
    replaced it.

    Returns:
        Whether the directory changed.
    """
    if record.state not in _STATE_RANK:
        return False
    stored = directory.record_by_node.get(record.node)
    if stored is not None and record_order(record) <= record_order(stored):
        return False
    if record.node != directory.own_node:
        directory.put(record)
        return True
    own = directory.own_record
    if record.incarnation == own.incarnation:
        directory.put(own._replace(version=record.version + 1))
        return True
    if is_replacement(directory, record):
        return False
    # A new incarnation, since attempts sent to the earlier process must not count as
    # attempts of this one.
    directory.put(own._replace(incarnation=record.incarnation + 1, version=1))
    return True


def is_replacement(directory: Directory, record: NodeRecord) -> bool:
    """Return whether a record is of a newer live process with this node's name."""
    own = directory.own_record
    return (
        record.node == own.node
        and record.incarnation > own.incarnation
        and record.state != "dead"
        and (record.host, record.peer_port) != (own.host, own.peer_port)
    )


def merge_summary(directory: Directory, summary: RecordSummary) -> MergeResult:
    """Update a record from a newer summary, if its content is the same.

    The content does not matter if the node is dead. A summary of an unknown dead
    node is ignored.
    """
    stored = directory.record_by_node.get(summary.node)
    if not 0 <= summary.state_rank < len(NODE_STATES):
        return MergeResult.UNCHANGED
    state = NODE_STATES[summary.state_rank]
    if stored is None:
        return MergeResult.UNCHANGED if state == "dead" else MergeResult.WANTED
    if summary_order(summary) <= record_order(stored):
        return MergeResult.UNCHANGED
    if (
        state != "dead"
        and summarize_record(stored).content_hash != summary.content_hash
    ):
        # Refuting a record of this node and incarnation does not need its content.
        is_own = summary.node == directory.own_node
        if not is_own or summary.incarnation != stored.incarnation:
            return MergeResult.WANTED
    merge_record(
        directory,
        stored._replace(
            incarnation=summary.incarnation, version=summary.version, state=state
        ),
    )
    return MergeResult.CHANGED


def update_own_record(
    directory: Directory,
    *,
    state: str | None = None,
    targets: tuple[TargetRecord, ...] | None = None,
) -> bool:
    """Change the record of this node and increment its version.

    Returns:
        Whether anything changed.
    """
    own = directory.own_record
    changed = own._replace(
        state=own.state if state is None else state,
        targets=own.targets if targets is None else targets,
    )
    if changed == own:
        return False
    directory.put(changed._replace(version=own.version + 1))
    return True
