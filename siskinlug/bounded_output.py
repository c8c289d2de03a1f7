"""Output of log lines that is bounded in rate and memory and never blocks."""

import os
import select
import time
from collections import deque
from collections.abc import Callable

# Lines beyond this rate are left out and counted. A node at its planned peak writes
# about three lines for each of 81 requests a second.
LINES_PER_S = 400.0
# Lines that may come at once, and that are held while nobody reads.
HELD_LINES = 2000
# A pipe that is ready takes this much without blocking (PIPE_BUF on Linux).
_CHUNK_BYTES = 4096


class BoundedOutput:
    """A stream for log lines; see ``make_bounded_output``.

    Attributes:
        left_out: Lines left out since the start.
    """

    def __init__(self, descriptor: int, *, monotonic: Callable[[], float]) -> None:
        self.left_out = 0
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._held: deque[bytes] = deque()
        self._unreported = 0
        self._credit = float(HELD_LINES)
        self._credited_at = monotonic()

    def write(self, text: str) -> int:
        """Take one line, or leave it out beyond the bounds."""
        now = self._monotonic()
        earned = (now - self._credited_at) * LINES_PER_S
        self._credit = min(self._credit + earned, float(HELD_LINES))
        self._credited_at = now
        if self._credit < 1.0 or len(self._held) >= HELD_LINES:
            self.left_out += 1
            self._unreported += 1
            return len(text)
        self._credit -= 1.0
        if self._unreported:
            line = f'{{"event":"log_lines_left_out","lines":{self._unreported}}}\n'
            self._held.append(line.encode())
            self._unreported = 0
        self._held.append(text.encode(errors="replace"))
        return len(text)

    def flush(self) -> None:
        """Write what is held, as far as the reader takes it now."""
        while self._held and self._ready():
            line = self._held[0]
            written = os.write(self._descriptor, line[:_CHUNK_BYTES])
            if written < len(line):
                self._held[0] = line[written:]
            else:
                self._held.popleft()

    def close(self) -> None:
        """Write what can still be written; the descriptor stays open."""
        self.flush()

    def _ready(self) -> bool:
        _, ready, _ = select.select([], [self._descriptor], [], 0)
        return bool(ready)


def make_bounded_output(
    descriptor: int, *, monotonic: Callable[[], float] = time.monotonic
) -> BoundedOutput:
    """Make a stream that writes log lines to a file descriptor.

    Args:
        descriptor: Where the lines go.
        monotonic: Clock in seconds.
    """
    return BoundedOutput(descriptor, monotonic=monotonic)
