"""Watches the targets of this node: leases, ejections and the published record."""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import NamedTuple

from returns.result import Success

from siskinlug.announcements import (
    OwnedTarget,
    OwnedTargets,
    drop_expired_targets,
    target_records,
)
from siskinlug.candidates import belongs
from siskinlug.connections import ConnectionPool
from siskinlug.directory import Directory, TargetRecord
from siskinlug.ejection import (
    CallPeer,
    Ejection,
    PeerTarget,
    PoolView,
    TargetStatus,
    admits,
    ejected_scopes,
    make_ejection,
    run_ejection,
)
from siskinlug.probes import probe
from siskinlug.tables import Pool, Tables
from siskinlug.timeline import Kind, Timeline, record

LEASE_CHECK_S = 0.2


class Watch(NamedTuple):
    """What the watch of a node's targets works with.

    Attributes:
        targets: Targets that announced to this node.
        directory: Targets of all nodes.
        tables: Returns the tables in force.
        connections: Pool for probes.
        call_promises: Asks a node, which may be this one, for stay-in promises.
        publish: Publishes the records of this node's targets.
        is_leaving: Whether this node is leaving.
        timeline: Takes the events.
        random: Random source of the ejections.
        ejection_by_target: Ejection state of each owned target.
        task_by_target: The task that runs it.
        on_expired: Called with each target whose lease has expired.
        ejects: Whether targets are ejected here.
    """

    targets: OwnedTargets
    directory: Directory
    tables: Callable[[], Tables]
    connections: ConnectionPool
    call_promises: CallPeer
    publish: Callable[[tuple[TargetRecord, ...]], None]
    is_leaving: Callable[[], bool]
    timeline: Timeline
    random: Random
    ejection_by_target: dict[str, Ejection]
    task_by_target: dict[str, asyncio.Task[None]]
    on_expired: Callable[[str], None]
    ejects: bool = True


def is_ejected(watch: Watch, target: str, route: str) -> bool:
    """Whether the owner refuses an attempt of a route at a target now."""
    ejection = watch.ejection_by_target.get(target)
    return ejection is not None and not admits(ejection, route)


def publish_targets(watch: Watch) -> None:
    """Bring this node's record up to date with its targets."""
    scopes_by_target = {
        target: ejected_scopes(ejection)
        for target, ejection in watch.ejection_by_target.items()
    }
    watch.publish(target_records(watch.targets, scopes_by_target))


async def run_watch(watch: Watch) -> None:
    """Watch the targets until cancelled; one task runs each target's ejection."""
    try:
        while True:
            for target in drop_expired_targets(watch.targets):
                detail = f"no renewal for {watch.targets.lease_s:g} s"
                record(watch.timeline, Kind.TARGET_LEASE_LAPSED, target, detail)
                watch.on_expired(target)
            _match_tasks(watch)
            publish_targets(watch)
            await asyncio.sleep(LEASE_CHECK_S)
    finally:
        for target in list(watch.task_by_target):
            _forget(watch, target)


def _match_tasks(watch: Watch) -> None:
    """Start and stop ejection tasks, so that each incarnation has one."""
    owned_by_target = watch.targets.owned_by_target
    for target, ejection in list(watch.ejection_by_target.items()):
        owned = owned_by_target.get(target)
        ended = watch.task_by_target[target].done()
        if ended or owned is None or owned.evidence is not ejection.evidence:
            _forget(watch, target)
    for target, owned in owned_by_target.items():
        if watch.ejects and target not in watch.ejection_by_target:
            _start(watch, target, owned)


def _forget(watch: Watch, target: str) -> None:
    watch.task_by_target.pop(target).cancel()
    del watch.ejection_by_target[target]


def _start(watch: Watch, target: str, owned: OwnedTarget) -> None:
    ejection = make_ejection(
        target=target,
        node=watch.directory.own_node,
        evidence=owned.evidence,
        status=partial(_status, watch, target),
        monotonic=watch.targets.monotonic,
        random=watch.random,
    )
    watch.ejection_by_target[target] = ejection
    watch.task_by_target[target] = asyncio.create_task(
        run_ejection(
            ejection,
            pools=partial(_pool_views, watch, target),
            call_peer=watch.call_promises,
            probe=partial(probe_target, watch, target),
            note=lambda kind, detail: record(watch.timeline, kind, target, detail),
            on_change=partial(publish_targets, watch),
        )
    )


def _own_pools(watch: Watch, target: str) -> Sequence[Pool]:
    own = watch.directory.own
    mine = next((t for t in own.targets if t.target == target), None)
    if mine is None:
        return ()
    return [p for p in watch.tables().pools_by_name.values() if belongs(p, own, mine)]


def _slots(pool: Pool, target: TargetRecord) -> int:
    return min(target.slots, pool.slots or target.slots)


def _status(watch: Watch, target: str) -> TargetStatus:
    owned = watch.targets.get_leased(target)
    ready = (
        owned is not None
        and owned.announcement["state"] == "ready"
        and not watch.is_leaving()
    )
    own = watch.directory.own
    mine = next((t for t in own.targets if t.target == target), None)
    pools = _own_pools(watch, target)
    return TargetStatus(
        ready=ready and mine is not None,
        slots_by_pool={p.name: _slots(p, mine) for p in pools} if mine else {},
    )


def _pool_views(watch: Watch, target: str) -> Sequence[PoolView]:
    tables = watch.tables()
    return [
        PoolView(
            pool=pool.name,
            floor_slots=pool.floor_slots,
            routes=frozenset(
                route.name
                for route in tables.routes_by_name.values()
                if route.pool == pool.name
            ),
            peers=[
                PeerTarget(other.target, node.node, _slots(pool, other))
                for node in watch.directory.alive()
                if node.state == "alive"
                for other in node.targets
                if other.target != target
                and other.state == "ready"
                and belongs(pool, node, other)
            ],
        )
        for pool in _own_pools(watch, target)
    ]


async def probe_target(watch: Watch, target: str) -> bool:
    """Probe an owned target over a new connection."""
    owned = watch.targets.owned_by_target.get(target)
    if owned is None:
        return False
    announcement = owned.announcement
    result = await probe(
        watch.connections,
        (announcement["host"], announcement["port"]),
        announcement.get("probe_path", "/health"),
        monotonic=watch.targets.monotonic,
    )
    return isinstance(result, Success)
