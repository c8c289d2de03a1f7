"""Recorded traces: arrivals, faults and expected measures as JSON lines."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

TRACES = Path(__file__).with_name("traces")


class Fleet(NamedTuple):
    """Size of the fleet of one service; target ``i`` and entry ``i`` share VM ``i``.

    Attributes:
        targets: Number of targets.
        slots: Slots of each target.
        domains: Number of failure domains.
        hop_s: One-way latency between failure domains.
        client_s: One-way latency to callers.
        queue: Queue length of each owner.
        queue_wait_s: Maximum wait in that queue.
    """

    targets: int
    slots: int
    domains: int
    hop_s: float = 0.0015
    client_s: float = 0.001
    queue: int = 32
    queue_wait_s: float = 2.0


class Arrival(NamedTuple):
    """One request of a trace.

    Attributes:
        at: Arrival time in seconds.
        service_s: Service time in seconds.
        route: Name of its route.
        account: Client account.
        deadline_s: Time from its arrival to its deadline, in seconds.
        priority: Priority of the request.
        work: ``short``, ``long``, or ``learned`` from its service times.
        idempotent: Whether it may be repeated after it may have run.
    """

    at: float
    service_s: float
    route: str = "browse"
    account: str = "a"
    deadline_s: float = 1.0
    priority: int = 5
    work: str = "learned"
    idempotent: bool = True


class Fault(NamedTuple):
    """A fault of one target.

    Attributes:
        target: Name of the target.
        start_s: Start of the fault.
        end_s: End of the fault.
        effect: ``refuse``, ``silent``, ``error``, ``slow`` or ``shed``.
        route: Affected route; ``*`` for all routes.
        account_prefix: Prefix of the affected client accounts.
        ratio: Share of the matching requests that are affected.
        factor: Factor on the service time if the effect is ``slow``.
    """

    target: str
    start_s: float
    end_s: float
    effect: str
    route: str = "*"
    account_prefix: str = ""
    ratio: float = 1.0
    factor: float = 1.0


class Trace(NamedTuple):
    """A trace; ``expect`` holds the ``(min, max)`` bounds of ``summarize`` measures."""

    name: str
    fleet: Fleet
    arrivals: Sequence[Arrival]
    faults: Sequence[Fault] = ()
    expect: Mapping[str, tuple[float, float]] = {}


def load_trace(path: Path) -> Trace:
    """Read a trace: a header line, then one arrival or fault per line."""
    head, *lines = map(json.loads, path.read_text(encoding="utf-8").splitlines())
    return Trace(
        path.stem,
        Fleet(**head["fleet"]),
        [Arrival(**line["arrival"]) for line in lines if "arrival" in line],
        [Fault(**line["fault"]) for line in lines if "fault" in line],
        {key: (low, high) for key, (low, high) in head["expect"].items()},
    )


def save_trace(trace: Trace, path: Path) -> None:
    """Write a trace as JSON lines without default values."""
    lines: list[dict[str, Any]] = [
        {"fleet": _non_default_fields(trace.fleet), "expect": trace.expect}
    ]
    lines += [{"fault": _non_default_fields(fault)} for fault in trace.faults]
    lines += [{"arrival": _non_default_fields(arrival)} for arrival in trace.arrivals]
    path.write_text("".join(json.dumps(line) + "\n" for line in lines), "utf-8")


def _non_default_fields(item: Any) -> dict[str, Any]:
    defaults = item._field_defaults
    return {
        key: round(value, 6) if isinstance(value, float) else value
        for key, value in item._asdict().items()
        if key not in defaults or defaults[key] != value
    }
