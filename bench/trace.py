"""Recorded traces: arrivals, faults and stated outcomes as JSON lines."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

TRACES = Path(__file__).with_name("traces")


class Fleet(NamedTuple):
    """Sizes of one service: target ``i`` and entry ``i`` share VM ``i``."""

    targets: int
    slots: int
    domains: int
    hop_s: float = 0.0015  # one way between failure domains
    client_s: float = 0.001  # one way to callers
    queue: int = 32
    queue_wait_s: float = 2.0


class Arrival(NamedTuple):
    """One request of a trace; times in seconds."""

    at: float
    service_s: float
    route: str = "browse"
    account: str = "a"
    deadline_s: float = 1.0
    priority: int = 5
    work: str = "learned"
    idempotent: bool = True


class Fault(NamedTuple):
    """A fault of one target, for a route (``*`` for all) and callers of one prefix.

    Attributes:
        effect: ``refuse``, ``silent``, ``error``, ``slow`` or ``shed``.
        ratio: Share of the matching requests that it affects.
        factor: Factor on the service time where the effect is ``slow``.
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
    """A trace; ``expect`` bounds measures of ``summarize`` as ``[least, most]``."""

    name: str
    fleet: Fleet
    arrivals: Sequence[Arrival]
    faults: Sequence[Fault] = ()
    expect: Mapping[str, tuple[float, float]] = {}


def load_trace(path: Path) -> Trace:
    """Read a trace: a head line, then one arrival or fault a line."""
    head, *lines = map(json.loads, path.read_text(encoding="utf-8").splitlines())
    return Trace(
        path.stem,
        Fleet(**head["fleet"]),
        [Arrival(**line["arrival"]) for line in lines if "arrival" in line],
        [Fault(**line["fault"]) for line in lines if "fault" in line],
        {key: (low, high) for key, (low, high) in head["expect"].items()},
    )


def save_trace(trace: Trace, path: Path) -> None:
    """Write a trace as JSON lines, leaving out default values."""
    lines: list[dict[str, Any]] = [
        {"fleet": _changed(trace.fleet), "expect": trace.expect}
    ]
    lines += [{"fault": _changed(fault)} for fault in trace.faults]
    lines += [{"arrival": _changed(arrival)} for arrival in trace.arrivals]
    path.write_text("".join(json.dumps(line) + "\n" for line in lines), "utf-8")


def _changed(item: Any) -> dict[str, Any]:
    defaults = item._field_defaults
    return {
        key: round(value, 6) if isinstance(value, float) else value
        for key, value in item._asdict().items()
        if key not in defaults or defaults[key] != value
    }
