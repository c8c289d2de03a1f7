"""Output of log lines that is bounded in rate and memory and never blocks."""

import os
import select
import time
from collections import deque
from collections.abc import Callable

# Lines beyond this rate are left out and counted. A node at its planned peak writes
# about three lines for each of 81 requests a second.
MAX_LINES_PER_S = 400.0
# Lines that may come at once, and that are held while nobody reads.
MAX_BUFFERED_LINES = 2000
# A pipe that is ready takes this much without blocking (PIPE_BUF on Linux).
_CHUNK_BYTES = 4096


class BoundedOutput:
    """A stream for log lines; see ``make_bounded_output``.

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
        """Take one line, or leave it out beyond the bounds."""
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
        """Write what is held, as far as the reader takes it now."""
        while self._buffer and self._is_writable():
            line = self._buffer[0]
            written = os.write(self._descriptor, line[:_CHUNK_BYTES])
            if written < len(line):
                self._buffer[0] = line[written:]
            else:
                self._buffer.popleft()

    def close(self) -> None:
        """Write what can still be written; the descriptor stays open."""
        self.flush()

    def _is_writable(self) -> bool:
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
