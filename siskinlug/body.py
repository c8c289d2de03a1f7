"""Message bodies, streamed with backpressure and retained for a retry if small."""

import asyncio
import math
from collections import deque
from collections.abc import AsyncIterator, Callable

# Buffered bytes from which the reading side of a streamed body is paused.
HIGH_WATER_BYTES = 262_144


class BodyCut(Exception):  # noqa: N818 - named after the reason code body_cut
    """The body ended early: its sender went away, stalled or sent too much."""


class BodyStream:
    """A message body that is read from one connection and written to another.

    Args:
        replay_bytes: Number of bytes to retain from the start of the body, so that it
            can be sent again.
        limit_bytes: Maximum size; a larger body is cut, with ``too_large`` set.

    Attributes:
        too_large: Whether the body exceeded ``limit_bytes``.
        idle_timeout_s: Time without data after which the body is cut, in seconds, or
            ``None`` for no timeout.
        received_bytes: Number of bytes received so far.
        discarded_bytes: Number of bytes that were dropped after ``discard``.
        complete: Whether the body was received in full.
        ended: Whether the reading side has come to the end of the message, also if the
            body was cut before for its size.
        cut: Whether the body ended early.
        expired: Whether it was cut because its deadline had passed.
        sender_stalled: Whether its sender, not its reader, was late when it expired.
        on_expired: Called when it expires, for a reader that waits for something else.
    """

    def __init__(self, *, replay_bytes: int = 0, limit_bytes: float = math.inf) -> None:
        self.too_large = False
        self.idle_timeout_s: float | None = None
        self._limit_bytes = limit_bytes
        self.received_bytes = 0
        self.discarded_bytes = 0
        self.complete = False
        self.ended = False
        self.cut = False
        self.expired = False
        self.sender_stalled = False
        self.on_expired: Callable[[], object] = lambda: None
        self._replay_bytes = replay_bytes
        self._retained_chunks: list[bytes] = []
        self._was_read = False
        self._discarding = False
        # Whether a part was dropped that a reader has not read.
        self._has_gap = False
        self._unread: deque[bytes] = deque()
        self._unread_bytes = 0
        self._changed: asyncio.Event = asyncio.Event()
        self._reading_resumed: asyncio.Future[None] | None = None

    @property
    def can_replay(self) -> bool:
        """Whether all bytes received so far are retained."""
        return self.received_bytes <= self._replay_bytes

    @property
    def can_read_from_start(self) -> bool:
        """Whether ``chunks`` yields the body from its start."""
        return self.can_replay or not self._was_read

    @property
    def reading_paused(self) -> bool:
        """Whether the reading side waits until buffered data was read."""
        return self._reading_resumed is not None

    @property
    def retained(self) -> bytes:
        """The bytes retained from the start of the body."""
        return b"".join(self._retained_chunks)

    def feed(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Add received data.

        Returns:
            A future that resolves when the reading side may continue, or ``None`` if
            it may continue now.
        """
        if self.cut or self._discarding:
            self.discarded_bytes += len(chunk)
            self._changed.set()
            return None
        retainable_bytes = self._replay_bytes - self.received_bytes
        self.received_bytes += len(chunk)
        if self.received_bytes > self._limit_bytes:
            self.too_large = True
            self.cut_off()
            return None
        if retainable_bytes > 0:
            # The start of a longer body is retained as well, cut at a fixed length:
            # fingerprints digest it and must not depend on chunk boundaries.
            self._retained_chunks.append(chunk[:retainable_bytes])
        self._unread.append(chunk)
        self._unread_bytes += len(chunk)
        self._changed.set()
        if self._unread_bytes < HIGH_WATER_BYTES:
            return None
        self._reading_resumed = asyncio.get_running_loop().create_future()
        return self._reading_resumed

    def finish(self) -> None:
        """Mark the body as complete, unless it was cut."""
        self.complete = not self.cut
        self.ended = True
        self._changed.set()

    def cut_off(self) -> None:
        """Mark the body as cut, unless it is complete."""
        if not self.complete:
            self.cut = True
        self._resume_reading()
        self._changed.set()

    def expire(self) -> None:
        """Cut the body because its deadline has passed, unless it is complete."""
        if self.complete or self.cut:
            return
        self.expired = True
        self.sender_stalled = not self.reading_paused
        self.cut_off()
        self.on_expired()

    def discard(self) -> None:
        """Drop buffered and further data and let the reading side continue."""
        self._was_read = True
        self._discarding = True
        self._has_gap |= not self.complete or bool(self._unread)
        self._unread.clear()
        self._unread_bytes = 0
        self._resume_reading()
        self._changed.set()

    async def wait_discarded(self, limit_bytes: int) -> None:
        """Wait until the body has ended or a number of bytes was dropped."""
        while not self.ended and self.discarded_bytes < limit_bytes:
            self._changed.clear()
            await self._changed.wait()

    async def wait_complete(self) -> None:
        """Wait until the body is complete or too long to be retained in full.

        Raises:
            BodyCut: The body ended early.
        """
        while not self.complete and self.can_replay:
            if self.cut:
                raise BodyCut
            self._changed.clear()
            await self._changed.wait()

    async def wait_buffered(self, limit_bytes: int) -> None:
        """Wait until the body is complete or a number of bytes is buffered.

        Args:
            limit_bytes: Number of bytes to wait for. ``HIGH_WATER_BYTES`` is used if it
                is less, since the reading side pauses there.

        Raises:
            BodyCut: The body ended early.
        """
        wanted_bytes = min(limit_bytes, HIGH_WATER_BYTES)
        while not self.complete and self._unread_bytes < wanted_bytes:
            if self.cut:
                raise BodyCut
            self._changed.clear()
            try:
                async with asyncio.timeout(self.idle_timeout_s):
                    await self._changed.wait()
            except TimeoutError:
                self.cut_off()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        Raises:
            BodyCut: The body ended early, its start is no longer retained, or the rest
                of it was discarded. A part of it must not pass for the whole.
        """
        if not self.can_read_from_start:
            raise BodyCut
        self._was_read = True
        if self.can_replay and self._retained_chunks:
            replay = self.retained
            self._unread.clear()
            self._unread_bytes = 0
            self._resume_reading()
            yield replay
        while True:
            while self._unread:
                chunk = self._unread.popleft()
                self._unread_bytes -= len(chunk)
                if self._unread_bytes < HIGH_WATER_BYTES:
                    self._resume_reading()
                yield chunk
            if self.cut or self._has_gap:
                raise BodyCut
            if self.complete:
                return
            self._changed.clear()
            try:
                async with asyncio.timeout(self.idle_timeout_s):
                    await self._changed.wait()
            except TimeoutError:
                self.cut_off()

    def _resume_reading(self) -> None:
        """Resume the reading side if it is paused."""
        if self._reading_resumed is not None and not self._reading_resumed.done():
            self._reading_resumed.set_result(None)
        self._reading_resumed = None


def body_from_bytes(data: bytes) -> BodyStream:
    """Return a complete body with the given content."""
    body = BodyStream(replay_bytes=len(data))
    if data:
        body.feed(data)
    body.finish()
    return body
