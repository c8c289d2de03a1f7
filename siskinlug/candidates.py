"""Finds the targets of a pool that may receive a request of a route."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from siskinlug.directory import Directory, NodeRecord, TargetRecord
from siskinlug.links import Links, link_up
from siskinlug.load import LoadReport
from siskinlug.load_balancing import Candidate
from siskinlug.paths import Paths, penalty_ms, usable_candidates
from siskinlug.tables import Pool, Route

# High enough that a target behind a failed link is chosen only as a last resort.
LINK_DOWN_PENALTY_MS = 1000.0

PoolMember = tuple[NodeRecord, TargetRecord]


class _CachedMembers(NamedTuple):
    """Members of a pool, valid for one directory revision and one pool definition."""

    revision: int
    pool: Pool
    members: tuple[PoolMember, ...]


class TargetView:
    """What one entry knows about the targets of all nodes.

    Attributes:
        directory: Nodes and their targets.
        paths: State of the paths to the owners.
        links: State of the links to the other nodes.
        own_load: Returns the load report of a target that this node owns.
        monotonic: Monotonic clock in seconds.
        load_by_target: Last load report of each other target and when it arrived.
        members_by_pool: Cache of the members of each pool.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        paths: Paths,
        links: Links,
        own_load: Callable[[str], LoadReport | None],
        monotonic: Callable[[], float],
    ) -> None:
        self.directory = directory
        self.paths = paths
        self.links = links
        self.own_load = own_load
        self.monotonic = monotonic
        self.load_by_target: dict[str, tuple[LoadReport, float]] = {}
        self.members_by_pool: dict[str, _CachedMembers] = {}


def record_load_report(view: TargetView, load: LoadReport) -> None:
    """Store a load report that came with a response."""
    view.load_by_target[load.target] = load, view.monotonic()


def is_pool_member(pool: Pool, node: NodeRecord, target: TargetRecord) -> bool:
    """Whether a target is a member of a pool."""
    return (
        target.service == pool.service
        and (not pool.failure_domains or node.failure_domain in pool.failure_domains)
        and (not pool.allowed_vms or node.vm in pool.allowed_vms)
        and node.vm not in pool.denied_vms
    )


def distance(own: NodeRecord, other: NodeRecord) -> int:
    """Return the distance between two nodes, as in ``Candidate.distance``.

    It is 0 on the same VM, 1 in the same failure domain, 2 in the same region, else 3.
    """
    if own.vm == other.vm:
        return 0
    if own.failure_domain == other.failure_domain:
        return 1
    return 2 if own.region == other.region else 3


def find_candidates(view: TargetView, route: Route, pool: Pool) -> list[Candidate]:
    """Return the targets of a pool that may receive a request of a route now.

    Targets that are not ready, that are ejected for the route, or that belong to a node
    that is not alive are left out. So are targets behind failing paths, unless the
    pool's floor needs them.

    Args:
        view: The entry's view of all targets.
        route: Route of the request.
        pool: Pool that serves it.
    """
    now = view.monotonic()
    own = view.directory.own_record
    eligible = []
    for node, target in _members(view, pool):
        if node.state != "alive" or target.state != "ready":
            continue
        if "*" in target.ejected or route.name in target.ejected:
            continue
        load, load_at = _load_report(view, node, target, now)
        eligible.append(
            Candidate(
                target=target.target,
                node=node.node,
                distance=distance(own, node),
                weight=pool.weight_by_domain.get(node.failure_domain, 1.0),
                slots=min(target.slots, pool.slots or target.slots),
                load=load,
                load_age_s=now - load_at,
                penalty_ms=_path_penalty_ms(view, node.node),
                incarnation=target.incarnation,
            )
        )
    return usable_candidates(view.paths, eligible, pool.floor_slots)


def _members(view: TargetView, pool: Pool) -> tuple[PoolMember, ...]:
    """Return the members of a pool, cached until the directory or the pool changes.

    At the planned size the directory has 3,500 targets, too many to search for each
    request.
    """
    cached = view.members_by_pool.get(pool.name)
    revision = view.directory.revision
    if cached is None or cached.revision != revision or cached.pool is not pool:
        cached = _CachedMembers(
            revision, pool, tuple(_find_members(view.directory, pool))
        )
        view.members_by_pool[pool.name] = cached
    return cached.members


def _find_members(directory: Directory, pool: Pool) -> Iterable[PoolMember]:
    """Return the members of a pool, each with its newest owner.

    A target that moved may still be listed by its old owner, with a lower epoch.
    """
    newest_by_target: dict[str, PoolMember] = {}
    for node in directory.live_records():
        for target in node.targets:
            if not is_pool_member(pool, node, target):
                continue
            newest = newest_by_target.get(target.target)
            if newest is None or target.epoch > newest[1].epoch:
                newest_by_target[target.target] = (node, target)
    return newest_by_target.values()


def _path_penalty_ms(view: TargetView, node: str) -> float:
    down = link_up(view.links, node) is False
    return penalty_ms(view.paths, node) + (LINK_DOWN_PENALTY_MS if down else 0.0)


def _load_report(
    view: TargetView, node: NodeRecord, target: TargetRecord, now: float
) -> tuple[LoadReport | None, float]:
    """Return the last load report of a target and when it arrived."""
    if node.node == view.directory.own_node:
        return view.own_load(target.target), now
    return view.load_by_target.get(target.target, (None, now))
