"""The two-year size: a fleet as expected in two years, with its members and tables."""

from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from bench.fleet import ROOT
from siskinlug.directory import NodeRecord, TargetRecord

RESULTS_PATH = ROOT / "docs" / "capacity.json"

NODES = 430
TARGETS = 3500
SERVICES = 81
REQUESTS_PER_S = 35_000
ROUTES = 1100
ACCOUNTS = 22_000
CHANGES_PER_DAY = 260
RESTARTS_PER_DAY = 1000
DOMAINS = 5
# Fractions of the two-year size at which figures are measured.
SIZE_FRACTIONS = (1 / 16, 1 / 4, 1.0, 1.5)
PEER_PORT = 7001
# As long as the service ids of an order platform with a region and a number.
_SERVICE_FORMAT = "service-{:02d}"


class Size(NamedTuple):
    """Size of a fleet as one of its nodes sees it."""

    nodes: int
    targets: int
    services: int
    routes: int
    accounts: int


def scale_size(fraction: float) -> Size:
    """Return the two-year size multiplied by a fraction."""
    return Size(
        nodes=round(NODES * fraction),
        targets=round(TARGETS * fraction),
        services=max(1, round(SERVICES * fraction)),
        routes=round(ROUTES * fraction),
        accounts=round(ACCOUNTS * fraction),
    )


def make_node_records(
    size: Size, *, prefix: str = "10.20", targets: bool = True
) -> list[NodeRecord]:
    """Build the records of all nodes, with targets spread evenly over the nodes.

    Args:
        size: Size of the fleet.
        prefix: First two octets of the node addresses.
        targets: Whether the records contain targets.
    """
    records = []
    for number in range(size.nodes):
        first = size.targets * number // size.nodes
        last = size.targets * (number + 1) // size.nodes
        owned = range(first, last) if targets else ()
        domain = number % DOMAINS
        records.append(
            NodeRecord(
                node=f"node-{number:04d}",
                incarnation=1_700_000_000_000 + number,
                version=number % 7 + 1,
                state="alive",
                vm=f"vm-{number:04d}",
                failure_domain=f"domain-{domain}",
                region="region-a" if domain < 3 else "region-b",
                host=f"{prefix}.{number // 250 + 1}.{number % 250 + 1}",
                peer_port=PEER_PORT,
                admin_port=7002,
                targets=tuple(
                    TargetRecord(
                        target=f"{_SERVICE_FORMAT.format(t % size.services)}-{t:05d}",
                        service=_SERVICE_FORMAT.format(t % size.services),
                        slots=6,
                        incarnation=1_700_000_000_000 + t,
                        epoch=1,
                        state="ready",
                    )
                    for t in owned
                ),
            )
        )
    return records


def pools_text(size: Size) -> str:
    """Return the text of a pools table with one pool for each service."""
    return "".join(
        f"[{_SERVICE_FORMAT.format(n)}]\nservice = {_SERVICE_FORMAT.format(n)}\n"
        "floor_slots = 12\nqueue = 32\nqueue_wait_s = 2\n\n"
        for n in range(size.services)
    )


def routes_text(size: Size, *, change: int = 0) -> str:
    """Return the text of a routes table.

    Args:
        size: Size of the fleet.
        change: Number of the change, which sets one timeout. The length stays the
            same, and the texts repeat every four changes.
    """
    return "".join(
        f"[route-{n:04d}]\nhost = orders.example\npath_prefix = /part-{n:04d}/items\n"
        f"methods = GET POST\npool = {_SERVICE_FORMAT.format(n % size.services)}\n"
        f"timeout_s = {5 + (change % 4 if n == 0 else 0)}\nidempotent = yes\n"
        "work = learned\naccount_rate = 50\n\n"
        for n in range(size.routes)
    )


def request_path(route: int) -> str:
    """Return a request path that matches the numbered route of ``routes_text``."""
    return f"/part-{route:04d}/items/7"


def load_results(path: Path = RESULTS_PATH) -> dict[str, Any]:
    """Read all recorded figures."""
    return msgspec.json.decode(path.read_bytes(), type=dict[str, Any])


def save_results(part: str, figures: Any, path: Path = RESULTS_PATH) -> None:
    """Replace one part of the recorded figures and keep the others."""
    results = load_results(path) if path.exists() else {}
    results[part] = figures
    text = msgspec.json.format(msgspec.json.encode(dict(sorted(results.items()))))
    path.write_bytes(text + b"\n")
