"""Candidates: the targets of a pool that may take a request of a route now."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from siskinlug.choice import Candidate
from siskinlug.directory import Directory, NodeRecord, TargetRecord
from siskinlug.links import Links, link_up
from siskinlug.load import LoadReport
from siskinlug.paths import Paths, penalty_ms, usable
from siskinlug.tables import Pool, Route

# A target behind a link whose last heartbeat failed is a last resort.
LINK_DOWN_PENALTY_MS = 1000.0

Member = tuple[NodeRecord, TargetRecord]


class _Members(NamedTuple):
    """Members of a pool as they follow from one revision of the directory."""

    revision: int
    pool: Pool
    members: tuple[Member, ...]


class TargetView:
    """What one entry knows of the targets of all nodes."""

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
        self.members_by_pool: dict[str, _Members] = {}


def note_load(view: TargetView, load: LoadReport) -> None:
    """Take a load report that came with an answer."""
    view.load_by_target[load.target] = load, view.monotonic()


def belongs(pool: Pool, node: NodeRecord, target: TargetRecord) -> bool:
    """Whether a target is a member of a pool."""
    return (
        target.service == pool.service
        and (not pool.failure_domains or node.failure_domain in pool.failure_domains)
        and (not pool.allowed_vms or node.vm in pool.allowed_vms)
        and node.vm not in pool.denied_vms
    )


def distance(own: NodeRecord, other: NodeRecord) -> int:
    """Return 0 on the same VM, 1 in the domain, 2 in the region, else 3."""
    if own.vm == other.vm:
        return 0
    if own.failure_domain == other.failure_domain:
        return 1
    return 2 if own.region == other.region else 3


def candidates(view: TargetView, route: Route, pool: Pool) -> list[Candidate]:
    """Return the targets of a pool that may take a request of a route now."""
    now = view.monotonic()
    own = view.directory.own_record
    found = []
    for node, target in _members(view, pool):
        if node.state != "alive" or target.state != "ready":
            continue
        if "*" in target.ejected or route.name in target.ejected:
            continue
        load, load_at = _load(view, node, target, now)
        found.append(
            Candidate(
                target=target.target,
                node=node.node,
                distance=distance(own, node),
                weight=pool.weight_by_domain.get(node.failure_domain, 1.0),
                slots=min(target.slots, pool.slots or target.slots),
                load=load,
                load_age_s=now - load_at,
                penalty_ms=_path_penalty_ms(view, node.node),
            )
        )
    return usable(view.paths, found, pool.floor_slots)


def _members(view: TargetView, pool: Pool) -> tuple[Member, ...]:
    """Return the members of a pool, kept until directory or pool change.

    The directory has 3,500 targets at its planned size, too many to search for each
    request.
    """
    held = view.members_by_pool.get(pool.name)
    revision = view.directory.revision
    if held is None or held.revision != revision or held.pool is not pool:
        held = _Members(revision, pool, tuple(_find_members(view.directory, pool)))
        view.members_by_pool[pool.name] = held
    return held.members


def _find_members(directory: Directory, pool: Pool) -> Iterable[Member]:
    """Return the targets of a pool, each at the owner it moved to last."""
    newest_by_target: dict[str, Member] = {}
    for node in directory.live_records():
        for target in node.targets:
            if not belongs(pool, node, target):
                continue
            held = newest_by_target.get(target.target)
            if held is None or target.epoch > held[1].epoch:
                newest_by_target[target.target] = (node, target)
    return newest_by_target.values()


def _path_penalty_ms(view: TargetView, node: str) -> float:
    down = link_up(view.links, node) is False
    return penalty_ms(view.paths, node) + (LINK_DOWN_PENALTY_MS if down else 0.0)


def _load(
    view: TargetView, node: NodeRecord, target: TargetRecord, now: float
) -> tuple[LoadReport | None, float]:
    if node.node == view.directory.own_node:
        return view.own_load(target.target), now
    return view.load_by_target.get(target.target, (None, now))
