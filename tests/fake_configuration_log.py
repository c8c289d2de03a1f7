"""Configuration log in memory whose appends can be lost, late or doubled."""

import asyncio
import json
from collections.abc import Iterator
from typing import Any

from returns.result import Failure, Result, Success

from siskinlug.log_client import Effect, Log, LogError, LogPage, LogRecord

_LOST = Failure(LogError(Effect.UNKNOWN, "response lost"))


class FakeConfigurationLog:
    """One stream in memory, with faults set by the test.

    Attributes:
        all_records: All records, including trimmed ones.
        first: Oldest retained offset.
        down: Whether all calls fail.
        late: Appends that ``deliver_late`` applies.
        faults: Results of the next appends: ``ok``, ``refused`` (not applied), ``lost``
            (applied, response lost), ``late`` (response lost, applied by
            ``deliver_late``) or ``doubled`` (applied twice).
        pauses: Delays before and after the next calls take effect, in seconds.
    """

    def __init__(self) -> None:
        self.all_records: list[Any] = []
        self.first = 0
        self.down = False
        self.late: list[Any] = []
        self.faults: Iterator[str] = iter(())
        self.pauses: Iterator[float] = iter(())

    def log(self) -> Log:
        return Log(self._append, self._read, lambda: None)

    @staticmethod
    async def failed_read() -> Result[LogPage, LogError]:
        return Failure(LogError(Effect.UNAVAILABLE, "down"))

    def add(self, record: Any) -> int:
        # Encoded and decoded as on the wire.
        self.all_records.append(json.loads(json.dumps(record)))
        return len(self.all_records) - 1

    def trim(self, keep: int) -> None:
        self.first = max(self.first, len(self.all_records) - keep)

    def deliver_late(self) -> None:
        while self.late:
            self.add(self.late.pop())

    async def _append(
        self, stream: str, record: Any, *, timeout_s: float = 0
    ) -> Result[int, LogError]:
        fate = next(self.faults, "ok")
        await asyncio.sleep(next(self.pauses, 0))
        result = self._apply(fate, record)
        await asyncio.sleep(next(self.pauses, 0))
        return result

    def _apply(self, fate: str, record: Any) -> Result[int, LogError]:
        if self.down or fate == "refused":
            return Failure(LogError(Effect.NOT_APPLIED, "down"))
        if fate == "late":
            self.late.append(record)
            return _LOST
        offset = self.add(record)
        if fate == "doubled":
            self.add(record)
        return _LOST if fate == "lost" else Success(offset)

    async def _read(
        self, stream: str, start: int, *, limit: int = 100, timeout_s: float = 0
    ) -> Result[LogPage, LogError]:
        await asyncio.sleep(next(self.pauses, 0))
        if self.down:
            return Failure(LogError(Effect.UNAVAILABLE, "down"))
        end = len(self.all_records)
        offsets = range(max(start, self.first), end)[:limit]
        records = tuple(LogRecord(o, self.all_records[o]) for o in offsets)
        return Success(LogPage(self.first, end, records))
