"""Monitors the targets of this node: leases, ejections and the published record."""

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
from siskinlug.candidates import is_pool_member
from siskinlug.connections import ConnectionPool
from siskinlug.directory import Directory, TargetRecord
from siskinlug.ejection import (
    Ejection,
    PeerTarget,
    PoolView,
    SendReservationRequest,
    TargetStatus,
    admit_attempt,
    ejected_scopes,
    make_ejection,
    run_ejection,
)
from siskinlug.probes import probe
from siskinlug.tables import Pool, Tables
from siskinlug.timeline import Kind, Timeline, record_event

LEASE_CHECK_S = 0.2


class EjectionMonitor(NamedTuple):
    """State and collaborators of the monitor of one node's targets.

    Attributes:
        targets: Targets that announced themselves to this node.
        directory: Targets of all nodes.
        tables: Returns the tables in force.
        connections: Connection pool for probes.
        send_reservation_request: Requests or releases capacity reservations of a node,
            which may be this one.
        publish: Publishes the records of this node's targets.
        is_leaving: Whether this node is leaving.
        timeline: Records the events.
        random: Random source for ejections.
        ejection_by_target: Ejection state of each owned target.
        task_by_target: Task that runs the ejection of each owned target.
        on_lease_expired: Called with each target whose lease has expired.
        ejection_enabled: Whether this node ejects its targets.
    """

    targets: OwnedTargets
    directory: Directory
    tables: Callable[[], Tables]
    connections: ConnectionPool
    send_reservation_request: SendReservationRequest
    publish: Callable[[tuple[TargetRecord, ...]], None]
    is_leaving: Callable[[], bool]
    timeline: Timeline
    random: Random
    ejection_by_target: dict[str, Ejection]
    task_by_target: dict[str, asyncio.Task[None]]
    on_lease_expired: Callable[[str], None]
    ejection_enabled: bool = True


def is_ejected(monitor: EjectionMonitor, target: str, route: str) -> bool:
    """Whether the owner refuses an attempt now.

    To be called once per attempt, since a target on trial admits only some attempts.
    """
    ejection = monitor.ejection_by_target.get(target)
    return ejection is not None and not admit_attempt(ejection, route)


def publish_targets(monitor: EjectionMonitor) -> None:
    """Publish the current records of this node's targets."""
    scopes_by_target = {
        target: ejected_scopes(ejection)
        for target, ejection in monitor.ejection_by_target.items()
    }
    monitor.publish(target_records(monitor.targets, scopes_by_target))


async def run_ejection_monitor(monitor: EjectionMonitor) -> None:
    """Monitor the targets until cancelled, with one ejection task for each."""
    try:
        while True:
            for target in drop_expired_targets(monitor.targets):
                detail = f"no renewal for {monitor.targets.lease_s:g} s"
                record_event(monitor.timeline, Kind.TARGET_LEASE_LAPSED, target, detail)
                monitor.on_lease_expired(target)
            _update_tasks(monitor)
            publish_targets(monitor)
            await asyncio.sleep(LEASE_CHECK_S)
    finally:
        for target in list(monitor.task_by_target):
            _stop_ejection(monitor, target)


def _update_tasks(monitor: EjectionMonitor) -> None:
    """Start and stop ejection tasks, so that each target incarnation has one."""
    owned_by_target = monitor.targets.owned_by_target
    for target, ejection in list(monitor.ejection_by_target.items()):
        owned = owned_by_target.get(target)
        ended = monitor.task_by_target[target].done()
        if ended or owned is None or owned.evidence is not ejection.evidence:
            _stop_ejection(monitor, target)
    for target, owned in owned_by_target.items():
        if monitor.ejection_enabled and target not in monitor.ejection_by_target:
            _start_ejection(monitor, target, owned)


def _stop_ejection(monitor: EjectionMonitor, target: str) -> None:
    monitor.task_by_target.pop(target).cancel()
    del monitor.ejection_by_target[target]


def _start_ejection(monitor: EjectionMonitor, target: str, owned: OwnedTarget) -> None:
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
            send_reservation_request=monitor.send_reservation_request,
            probe=partial(probe_target, monitor, target),
            record_event=lambda kind, detail: record_event(
                monitor.timeline, kind, target, detail
            ),
            on_change=partial(publish_targets, monitor),
        )
    )


def _own_pools(monitor: EjectionMonitor, target: str) -> Sequence[Pool]:
    own_node = monitor.directory.own_record
    own_target = next((t for t in own_node.targets if t.target == target), None)
    if own_target is None:
        return ()
    return [
        pool
        for pool in monitor.tables().pools_by_name.values()
        if is_pool_member(pool, own_node, own_target)
    ]


def _slots_in_pool(pool: Pool, target: TargetRecord) -> int:
    return min(target.slots, pool.slots or target.slots)


def _status(monitor: EjectionMonitor, target: str) -> TargetStatus:
    owned = monitor.targets.get_leased(target)
    ready = (
        owned is not None
        and owned.announcement["state"] == "ready"
        and not monitor.is_leaving()
    )
    own_node = monitor.directory.own_record
    own_target = next((t for t in own_node.targets if t.target == target), None)
    pools = _own_pools(monitor, target)
    return TargetStatus(
        ready=ready and own_target is not None,
        slots_by_pool=(
            {pool.name: _slots_in_pool(pool, own_target) for pool in pools}
            if own_target
            else {}
        ),
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
                PeerTarget(other.target, node.node, _slots_in_pool(pool, other))
                for node in monitor.directory.live_records()
                if node.state == "alive"
                for other in node.targets
                if other.target != target
                and other.state == "ready"
                and is_pool_member(pool, node, other)
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
    # A probe counts against the limit. One that is not sent must not count as failed.
    rate_limit = owned.admission.rate_limit
    while (pause_s := rate_limit.ready_in_s()) > 0:
        await asyncio.sleep(pause_s)
    rate_limit.take()
    result = await probe(
        monitor.connections,
        (announcement["host"], announcement["port"]),
        announcement.get("probe_path", "/health"),
        monotonic=monitor.targets.monotonic,
    )
    return isinstance(result, Success)
