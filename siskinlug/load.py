"""Load report of a target, sent in a header of each response between nodes."""

from math import isfinite
from typing import NamedTuple

_FIELDS = 8


class LoadReport(NamedTuple):
    """Load of a target, as its owner reports it.

    Attributes:
        target: Target id.
        slots: Slots that admission control uses now.
        in_use: Occupied slots.
        queued: Requests in the owner's queue.
        wait_ms: Expected wait of a new request, in milliseconds.
        service_ms: Recent median service time, in milliseconds, divided by the share
            of responses that did not fail.
        long_free: Free slots that long work may use.
        long_wait_ms: Expected wait of new long work, in milliseconds.
    """

    target: str
    slots: int
    in_use: int
    queued: int
    wait_ms: float
    service_ms: float
    long_free: int = 0
    long_wait_ms: float = 0.0


def encode_load(load: LoadReport) -> str:
    """Encode a report as a header value."""
    return (
        f"{load.target};{load.slots};{load.in_use};{load.queued};"
        f"{load.wait_ms:.1f};{load.service_ms:.1f};"
        f"{load.long_free};{load.long_wait_ms:.1f}"
    )


def decode_load(value: str) -> LoadReport | None:
    """Decode a header value, or return ``None`` if it is malformed."""
    parts = value.split(";")
    if len(parts) != _FIELDS:
        return None
    try:
        target, slots, in_use, queued, wait_ms, service_ms, long_free, long_ms = parts
        report = LoadReport(
            target,
            int(slots),
            int(in_use),
            int(queued),
            float(wait_ms),
            float(service_ms),
            int(long_free),
            float(long_ms),
        )
        times = report.wait_ms, report.service_ms, report.long_wait_ms
        return report if all(map(isfinite, times)) else None
    except ValueError:
        return None
