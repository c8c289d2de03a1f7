"""Non-blocking output of log lines with a limited rate and a limited buffer."""

import os
import select
import time
from collections import deque
from collections.abc import Callable

# Lines beyond this rate are dropped and counted. A node at its planned peak of 81
# requests per second writes about three lines for each.
MAX_LINES_PER_S = 400.0
# Limit of a burst, and of the lines buffered while the reader stalls.
MAX_BUFFERED_LINES = 2000
# A writable pipe accepts this much without blocking (PIPE_BUF on Linux).
_CHUNK_BYTES = 4096


class BoundedOutput:
    """Text stream for log lines; see ``make_bounded_output``.

    Attributes:
        dropped_lines: Number of lines dropped since the start.
    """

    def __init__(self, descriptor: int, *, monotonic: Callable[[], float]) -> None:
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._monotonic = monotonic
        self._buffer: deque[bytes] = deque()
        self._unreported_drops = 0
        self._tokens = float(MAX_BUFFERED_LINES)
        self._refilled_at = monotonic()

    def write(self, text: str) -> int:
        """Buffer one line, or drop it if the rate or the buffer is exceeded."""
        now = self._monotonic()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(self._tokens + refill, float(MAX_BUFFERED_LINES))
        self._refilled_at = now
        if self._tokens < 1.0 or len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped_lines += 1
            self._unreported_drops += 1
            return len(text)
        self._tokens -= 1.0
        if self._unreported_drops:
            line = (
                f'{{"event":"log_lines_left_out","lines":{self._unreported_drops}}}\n'
            )
            self._buffer.append(line.encode())
            self._unreported_drops = 0
        self._buffer.append(text.encode(errors="replace"))
        return len(text)

    def flush(self) -> None:
        """Write as many buffered lines as the reader accepts without blocking."""
        while self._buffer and self._is_writable():
            line = self._buffer[0]
            written = os.write(self._descriptor, line[:_CHUNK_BYTES])
            if written < len(line):
                self._buffer[0] = line[written:]
            else:
                self._buffer.popleft()

    def close(self) -> None:
        """Write what can be written without blocking; the descriptor stays open."""
        self.flush()

    def _is_writable(self) -> bool:
        _, ready, _ = select.select([], [self._descriptor], [], 0)
        return bool(ready)


def make_bounded_output(
    descriptor: int, *, monotonic: Callable[[], float] = time.monotonic
) -> BoundedOutput:
    """Build a stream that writes log lines to a file descriptor.

    Args:
        descriptor: File descriptor to which lines are written.
        monotonic: Clock in seconds.
    """
    return BoundedOutput(descriptor, monotonic=monotonic)
