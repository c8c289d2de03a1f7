"""The two tables of the operators: routes and pools, joined by pool name."""

from collections.abc import Mapping
from typing import NamedTuple


class Route(NamedTuple):
    """One row of the routes table.

    Attributes:
        name: Section name, unique.
        host: Host name to match without port; ``*`` matches any.
        path_prefix: Path prefix on segment boundaries, starting with ``/``.
        methods: Methods to match; empty matches any.
        pool: Name of the pool.
        timeout_s: Time within which a caller gets its answer's first byte.
        work: ``short``, ``long`` or ``learned``.
        idempotent: Whether a request may be run more than once.
        retries: Most attempts after the first.
        priority: 0 is served first, 9 last.
        account_header: Request header that names the caller's account.
        account_rate: Requests/s for one account at one entry; 0 is no limit.
        claims_without_log: ``refuse`` or ``memory``: what happens to a request with
            an idempotency key while the log is away.
    """

    name: str
    host: str
    path_prefix: str
    methods: tuple[str, ...]
    pool: str
    timeout_s: float = 10.0
    work: str = "learned"
    idempotent: bool = False
    retries: int = 2
    priority: int = 5
    account_header: str = "X-Account"
    account_rate: float = 0.0
    claims_without_log: str = "refuse"


class Pool(NamedTuple):
    """One row of the pools table.

    Attributes:
        name: Section name, unique.
        service: Service that targets announce.
        failure_domains: Failure domains allowed; empty allows all.
        allowed_vms: VMs allowed; empty allows all.
        denied_vms: VMs denied, stronger than allowed.
        slots: Most requests at once for each target; 0 is as announced.
        floor_slots: Healthy slots that ejection must leave in the pool.
        queue: Requests that may wait at each target.
        queue_wait_s: Longest wait in a queue.
        weight_by_domain: Weight by failure domain; 1 where absent.
    """

    name: str
    service: str
    failure_domains: tuple[str, ...] = ()
    allowed_vms: tuple[str, ...] = ()
    denied_vms: tuple[str, ...] = ()
    slots: int = 0
    floor_slots: int = 0
    queue: int = 32
    queue_wait_s: float = 2.0
    weight_by_domain: Mapping[str, float] = {}


class Tables(NamedTuple):
    """Both tables in force, with the version of each; version 0 is none."""

    routes_version: int
    pools_version: int
    routes_by_name: Mapping[str, Route]
    pools_by_name: Mapping[str, Pool]


NO_TABLES = Tables(0, 0, {}, {})
