"""Bodies of messages, streamed with back pressure and kept for a retry if small."""

import asyncio
import math
from collections import deque
from collections.abc import AsyncIterator

# Data held between the reading and the writing side of a streamed body.
HIGH_WATER_BYTES = 262_144


class BodyCut(Exception):  # noqa: N818 - names the event as the field does
    """The sender went away before the end of the body, or sent too much."""


class BodyStream:
    """One body on its way from a reading connection to a writing one.

    Args:
        replay_bytes: Bytes kept from the start, so that the body can be sent again.
        limit_bytes: Largest body; a larger one ends as cut, with ``too_large`` set.
    """

    def __init__(self, *, replay_bytes: int = 0, limit_bytes: float = math.inf) -> None:
        self.too_large = False
        # Time without data after which the reader takes the body for cut, in seconds.
        self.idle_timeout_s: float | None = None
        self._limit_bytes = limit_bytes
        self.received_bytes = 0
        self.complete = False
        self.cut = False
        self._replay_bytes = replay_bytes
        self._kept: list[bytes] = []
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._changed: asyncio.Event = asyncio.Event()
        self._room: asyncio.Future[None] | None = None

    @property
    def can_replay(self) -> bool:
        """Whether all that was received is still held."""
        return self.received_bytes <= self._replay_bytes

    @property
    def retained(self) -> bytes:
        """The bytes held from the start of the body."""
        return b"".join(self._kept)

    def feed(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Add data; the future returned, if any, resolves when there is room."""
        if self.cut:
            return None
        room = self._replay_bytes - self.received_bytes
        self.received_bytes += len(chunk)
        if self.received_bytes > self._limit_bytes:
            self.too_large = True
            self.cut_off()
            return None
        if room > 0:
            # The start is kept of a longer body as well: fingerprints digest it, and
            # must not depend on where chunks end.
            self._kept.append(chunk[:room])
        self._waiting.append(chunk)
        self._waiting_bytes += len(chunk)
        self._changed.set()
        if self._waiting_bytes < HIGH_WATER_BYTES:
            return None
        self._room = asyncio.get_running_loop().create_future()
        return self._room

    def finish(self) -> None:
        """Mark the body as received whole, unless it was cut."""
        self.complete = not self.cut
        self._changed.set()

    def cut_off(self) -> None:
        """Mark the body as cut, unless it is whole."""
        if not self.complete:
            self.cut = True
        self._release()
        self._changed.set()

    def discard(self) -> None:
        """Drop what waits and let the reading side go on without storing."""
        self._waiting.clear()
        self._waiting_bytes = 0
        self._release()

    async def wait_complete(self) -> None:
        """Wait until the body is whole or no longer fits the part that is kept.

        Raises:
            BodyCut: The sender went away.
        """
        while not self.complete and self.can_replay:
            if self.cut:
                raise BodyCut
            self._changed.clear()
            await self._changed.wait()

    async def wait_buffered(self, limit_bytes: int) -> None:
        """Wait until the body is whole or some bytes of it are held here.

        Args:
            limit_bytes: Bytes after which there is no more waiting; above
                ``HIGH_WATER_BYTES`` the sender would wait for the reader.

        Raises:
            BodyCut: The sender went away.
        """
        enough = min(limit_bytes, HIGH_WATER_BYTES)
        while not self.complete and self._waiting_bytes < enough:
            if self.cut:
                raise BodyCut
            self._changed.clear()
            try:
                async with asyncio.timeout(self.idle_timeout_s):
                    await self._changed.wait()
            except TimeoutError:
                self.cut_off()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start, or from here on if it cannot be replayed.

        Raises:
            BodyCut: The sender went away.
        """
        if self.can_replay and self._kept:
            replay = self.retained
            self._waiting.clear()
            self._waiting_bytes = 0
            self._release()
            yield replay
        while True:
            while self._waiting:
                chunk = self._waiting.popleft()
                self._waiting_bytes -= len(chunk)
                if self._waiting_bytes < HIGH_WATER_BYTES:
                    self._release()
                yield chunk
            if self.complete:
                return
            if self.cut:
                raise BodyCut
            self._changed.clear()
            try:
                async with asyncio.timeout(self.idle_timeout_s):
                    await self._changed.wait()
            except TimeoutError:
                self.cut_off()

    def _release(self) -> None:
        if self._room is not None and not self._room.done():
            self._room.set_result(None)
        self._room = None


def body_from_bytes(data: bytes) -> BodyStream:
    """Return a whole body that holds ``data``."""
    body = BodyStream(replay_bytes=len(data))
    if data:
        body.feed(data)
    body.finish()
    return body
