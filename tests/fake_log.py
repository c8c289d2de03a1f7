"""Log in memory whose appends fail, get lost or take effect late."""

import asyncio
import random
from typing import Any

from returns.result import Failure, Result, Success

from siskinlug.log_client import Effect, LogError, LogPage, LogRecord


class FakeLog:
    """Streams in memory, with faults that are random or set by the test.

    Attributes:
        down: Whether all calls fail.
        fault_ratio: Share of appends that fail; half as many reads fail.
        lose_next_appends: Number of next appends to put in ``delayed_appends`` without
            a response.
        delayed_appends: Appends that take effect with ``apply_delayed_appends``.
        appends: Number of appends called.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.records_by_stream: dict[str, list[Any]] = {}
        self.down = False
        self.fault_ratio = 0.0
        self.lose_next_appends = 0
        self.delayed_appends: list[tuple[str, Any]] = []
        self.appends = 0

    def _add_record(self, stream: str, record: Any) -> int:
        records = self.records_by_stream.setdefault(stream, [])
        records.append(record)
        return len(records) - 1

    def apply_delayed_appends(self) -> None:
        """Let the delayed appends take effect."""
        for stream, record in self.delayed_appends:
            self._add_record(stream, record)
        self.delayed_appends.clear()

    async def append(
        self, stream: str, record: Any, *, timeout_s: float = 3.0
    ) -> Result[int, LogError]:
        self.appends += 1
        await asyncio.sleep(self.rng.uniform(0.001, 0.02))
        if self.down:
            return Failure(LogError(Effect.NOT_APPLIED, "down"))
        if self.lose_next_appends:
            self.lose_next_appends -= 1
            self.delayed_appends.append((stream, record))
            return Failure(LogError(Effect.UNKNOWN, "lost"))
        if self.rng.random() >= self.fault_ratio:
            return Success(self._add_record(stream, record))
        fault = self.rng.choice(["refused", "lost", "applied", "late"])
        if fault == "refused":
            return Failure(LogError(Effect.NOT_APPLIED, "overloaded"))
        if fault == "applied":
            self._add_record(stream, record)
        elif fault == "late":
            delay_s = self.rng.uniform(0.0, 6.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._add_record, stream, record)
        await asyncio.sleep(self.rng.uniform(0.0, timeout_s))
        return Failure(LogError(Effect.UNKNOWN, fault))

    async def read(
        self, stream: str, start: int, *, limit: int = 100, timeout_s: float = 3.0
    ) -> Result[LogPage, LogError]:
        await asyncio.sleep(self.rng.uniform(0.001, 0.02))
        if self.down or self.rng.random() < self.fault_ratio / 2:
            return Failure(LogError(Effect.UNAVAILABLE, "down"))
        records = self.records_by_stream.get(stream, [])
        page = tuple(
            LogRecord(start + number, record)
            for number, record in enumerate(records[start : start + limit])
        )
        return Success(LogPage(0, len(records), page))
