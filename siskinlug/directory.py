"""Directory: node records and the targets that each node owns."""

from collections.abc import Iterator
from typing import NamedTuple

import xxhash

_STATE_RANK = {"alive": 0, "leaving": 1, "dead": 2}


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


def record_order(record: NodeRecord) -> tuple[int, int, int]:
    """Return the sort key that decides which of two records is newer."""
    return record.incarnation, record.version, _STATE_RANK[record.state]


class Directory:
    """Newest record of each known node."""

    def __init__(self, own: NodeRecord) -> None:
        self.own_node = own.node
        self.record_by_node: dict[str, NodeRecord] = {own.node: own}

    @property
    def own(self) -> NodeRecord:
        """The record of this node."""
        return self.record_by_node[self.own_node]

    def alive(self) -> Iterator[NodeRecord]:
        """Yield the records of nodes that are not dead."""
        return (r for r in self.record_by_node.values() if r.state != "dead")

    def digest(self) -> str:
        """Return a digest of nodes and their record order."""
        state = xxhash.xxh64()
        for node in sorted(self.record_by_node):
            order = record_order(self.record_by_node[node])
            state.update(f"{node}{order}".encode())
        return str(state.hexdigest())


def merge_record(directory: Directory, record: NodeRecord) -> bool:
    """Take a record if it is newer than the one held.

    A record that declares this node itself dead or leaving is answered by raising
    the own version past it.

    Returns:
        Whether the directory changed.
    """
    held = directory.record_by_node.get(record.node)
    if held is not None and record_order(record) <= record_order(held):
        return False
    if record.node == directory.own_node:
        own = directory.own
        if record.incarnation < own.incarnation:
            return False
        directory.record_by_node[own.node] = own._replace(version=record.version + 1)
        return True
    directory.record_by_node[record.node] = record
    return True


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
    directory.record_by_node[own.node] = changed._replace(version=own.version + 1)
    return True
