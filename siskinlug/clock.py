"""Hybrid logical clock, which orders the events of all processes causally."""

import time
from collections.abc import Callable
from typing import NamedTuple

_NS_PER_MS = 1_000_000
# Remote times further ahead than this are ignored.
CLOCK_LEAD_MAX_MS = 60_000
# A time in milliseconds and a counter, each far below what 64 bits hold.
_MAX_HEADER_CHARS = 40


class Timestamp(NamedTuple):
    """A hybrid logical time: wall clock in milliseconds, and a counter."""

    wall_ms: int
    counter: int


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // _NS_PER_MS


class HybridClock:
    """Hybrid logical clock of one process (Kulkarni et al., 2014)."""

    def __init__(self, *, wall_ms: Callable[[], int] = wall_clock_ms) -> None:
        self._wall_ms = wall_ms
        self._last = Timestamp(0, 0)

    def now(self) -> Timestamp:
        """Return a time later than any that this clock returned or observed."""
        wall = self._wall_ms()
        if wall > self._last.wall_ms:
            self._last = Timestamp(wall, 0)
        else:
            self._last = Timestamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, remote: Timestamp) -> None:
        """Advance the clock to a time received from another process."""
        self._last = max(self._last, Timestamp(*remote))


def encode_timestamp(at: Timestamp) -> str:
    """Encode a time as a header value."""
    return f"{at.wall_ms},{at.counter}"


def observe_remote_time(clock: HybridClock, remote: Timestamp) -> None:
    """Advance a clock to a remote time, unless that is too far ahead.

    The events of a process whose clock is too far ahead are then sorted wrongly, but
    the clocks of other processes stay right.
    """
    if remote.wall_ms - clock.now().wall_ms <= CLOCK_LEAD_MAX_MS:
        clock.observe(remote)


def observe_time_header(clock: HybridClock, value: str | None) -> None:
    """Observe the time in a header; a malformed or absent one is ignored."""
    if value is None or len(value) > _MAX_HEADER_CHARS:
        return
    wall_ms, _, counter = value.partition(",")
    if wall_ms.isdecimal() and counter.isdecimal():
        observe_remote_time(clock, Timestamp(int(wall_ms), int(counter)))
