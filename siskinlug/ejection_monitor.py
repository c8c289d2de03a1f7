"""Watches the targets of this node: leases, ejections and the published record."""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import NamedTuple

from returns.result import Success

from siskinlug.announcements import (
    Owned,
    OwnedTargets,
    drop_expired,
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
    admit_attempt,
    ejected_scopes,
    make_ejection,
    run_ejection,
)
from siskinlug.probes import probe
from siskinlug.tables import Pool, Tables
from siskinlug.timeline import Kind, Timeline, record

LEASE_CHECK_S = 0.2


class EjectionMonitor(NamedTuple):
    """What the watch of a node's targets works with.

    Attributes:
        targets: Targets that announced to this node.
        directory: Targets of all nodes.
        tables: Returns the tables in force.
        connections: Pool for probes.
        request_reservation: Asks a node, which may be this one, for stay-in promises.
        publish: Publishes the records of this node's targets.
        is_leaving: Whether this node is leaving.
        timeline: Takes the events.
        random: Random source of the ejections.
        ejection_by_target: Ejection state of each owned target.
        task_by_target: The task that runs it.
        on_lease_expired: Called with each target whose lease has expired.
        ejection_enabled: Whether targets are ejected here.
    """

    targets: OwnedTargets
    directory: Directory
    tables: Callable[[], Tables]
    connections: ConnectionPool
    request_reservation: CallPeer
    publish: Callable[[tuple[TargetRecord, ...]], None]
    is_leaving: Callable[[], bool]
    timeline: Timeline
    random: Random
    ejection_by_target: dict[str, Ejection]
    task_by_target: dict[str, asyncio.Task[None]]
    on_lease_expired: Callable[[str], None]
    ejection_enabled: bool = True


def is_ejected(monitor: EjectionMonitor, target: str, route: str) -> bool:
    """Whether the owner refuses an attempt of a route at a target now."""
    ejection = monitor.ejection_by_target.get(target)
    return ejection is not None and not admit_attempt(ejection, route)


def publish_targets(monitor: EjectionMonitor) -> None:
    """Bring this node's record up to date with its targets."""
    scopes_by_target = {
        target: ejected_scopes(ejection)
        for target, ejection in monitor.ejection_by_target.items()
    }
    monitor.publish(target_records(monitor.targets, scopes_by_target))


async def run_ejection_monitor(monitor: EjectionMonitor) -> None:
    """Watch the targets until cancelled; one task runs each target's ejection."""
    try:
        while True:
            for target in drop_expired(monitor.targets):
                detail = f"no renewal for {monitor.targets.lease_s:g} s"
                record(monitor.timeline, Kind.TARGET_LEASE_LAPSED, target, detail)
                monitor.on_lease_expired(target)
            _match_tasks(monitor)
            publish_targets(monitor)
            await asyncio.sleep(LEASE_CHECK_S)
    finally:
        for target in list(monitor.task_by_target):
            _forget(monitor, target)


def _match_tasks(monitor: EjectionMonitor) -> None:
    """Start and stop ejection tasks, so that each incarnation has one."""
    owned_by_target = monitor.targets.owned_by_target
    for target, ejection in list(monitor.ejection_by_target.items()):
        owned = owned_by_target.get(target)
        ended = monitor.task_by_target[target].done()
        if ended or owned is None or owned.evidence is not ejection.evidence:
            _forget(monitor, target)
    for target, owned in owned_by_target.items():
        if monitor.ejection_enabled and target not in monitor.ejection_by_target:
            _start(monitor, target, owned)


def _forget(monitor: EjectionMonitor, target: str) -> None:
    monitor.task_by_target.pop(target).cancel()
    del monitor.ejection_by_target[target]


def _start(monitor: EjectionMonitor, target: str, owned: Owned) -> None:
    ejection = make_ejection(
        target=target,
        node=monitor.directory.own_node,
        evidence=owned.evidence,
        status=partial(_status, monitor, target),
        monotonic=monitor.targets.monotonic,
        random=monitor.random,
    )
    monitor.ejection_by_target[target] = ejection
    monitor.task_by_target[target] = asyncio.create_task(
        run_ejection(
            ejection,
            pools=partial(_pool_views, monitor, target),
            call_peer=monitor.request_reservation,
            probe=partial(probe_target, monitor, target),
            record_event=lambda kind, detail: record(
                monitor.timeline, kind, target, detail
            ),
            on_change=partial(publish_targets, monitor),
        )
    )


def _own_pools(monitor: EjectionMonitor, target: str) -> Sequence[Pool]:
    own = monitor.directory.own_record
    mine = next((t for t in own.targets if t.target == target), None)
    if mine is None:
        return ()
    return [p for p in monitor.tables().pools_by_name.values() if belongs(p, own, mine)]


def _slots(pool: Pool, target: TargetRecord) -> int:
    return min(target.slots, pool.slots or target.slots)


def _status(monitor: EjectionMonitor, target: str) -> TargetStatus:
    owned = monitor.targets.with_lease(target)
    ready = (
        owned is not None
        and owned.announcement["state"] == "ready"
        and not monitor.is_leaving()
    )
    own = monitor.directory.own_record
    mine = next((t for t in own.targets if t.target == target), None)
    pools = _own_pools(monitor, target)
    return TargetStatus(
        ready=ready and mine is not None,
        slots_by_pool={p.name: _slots(p, mine) for p in pools} if mine else {},
    )


def _pool_views(monitor: EjectionMonitor, target: str) -> Sequence[PoolView]:
    tables = monitor.tables()
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
                for node in monitor.directory.live_records()
                if node.state == "alive"
                for other in node.targets
                if other.target != target
                and other.state == "ready"
                and belongs(pool, node, other)
            ],
        )
        for pool in _own_pools(monitor, target)
    ]


async def probe_target(monitor: EjectionMonitor, target: str) -> bool:
    """Probe an owned target over a new connection."""
    owned = monitor.targets.owned_by_target.get(target)
    if owned is None:
        return False
    announcement = owned.announcement
    result = await probe(
        monitor.connections,
        (announcement["host"], announcement["port"]),
        announcement.get("probe_path", "/health"),
        monotonic=monitor.targets.monotonic,
    )
    return isinstance(result, Success)
