"""Load pattern: targets leave while the store is away, and all nodes restart."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import testtools
from testtools.matchers import Equals

from bench.virtual_time import run_virtual
from siskinlug.leaving_memory import (
    KEPT_S,
    WRITE_TIMEOUT_S,
    LeavingMemory,
    LeavingStore,
    StoredLeaving,
    make_leaving_memory,
    run_leaving_memory,
    store_leaving,
)


class _FakeStore:
    """A store that can be away, hang, or lose what it has confirmed."""

    def __init__(self) -> None:
        self.leaving_by_target: dict[str, StoredLeaving] = {}
        self.fault = ""
        self.losses = 0
        self.lost = asyncio.Event()

    def lose(self) -> None:
        self.leaving_by_target.clear()
        self.losses += 1
        self.lost.set()

    async def _fail(self) -> bool:
        if self.fault == "hangs":
            await asyncio.sleep(60.0)
        return bool(self.fault)

    async def write(self, leaving: StoredLeaving) -> bool:
        if await self._fail():
            return False
        self.leaving_by_target[leaving.target] = leaving
        return True

    async def drop(self, target: str) -> bool:
        if await self._fail():
            return False
        self.leaving_by_target.pop(target, None)
        return True

    async def read(self) -> Sequence[StoredLeaving] | None:
        if await self._fail():
            return None
        return list(self.leaving_by_target.values())

    async def wait_for_loss(self, losses: int) -> None:
        while self.losses == losses:
            self.lost.clear()
            await self.lost.wait()

    def access(self) -> LeavingStore:
        return LeavingStore(
            self.write, self.drop, self.read, lambda: self.losses, self.wait_for_loss
        )


Test = Callable[[_FakeStore, LeavingMemory, list[StoredLeaving]], Awaitable[object]]


class LeavingMemoryTest(testtools.TestCase):
    def _run(self, test: Test, *, stored: Sequence[StoredLeaving] = ()) -> None:
        async def main() -> None:
            loop = asyncio.get_running_loop()
            store = _FakeStore()
            store.leaving_by_target = {leaving.target: leaving for leaving in stored}
            memory = make_leaving_memory(
                store=store.access(),
                node="n-1",
                wall_ms=lambda: int(loop.time() * 1000),
            )
            learned: list[StoredLeaving] = []
            task = asyncio.create_task(run_leaving_memory(memory, learned.extend))
            await test(store, memory, learned)
            task.cancel()

        run_virtual(main())

    def test_acknowledgement_does_not_wait_for_a_store_that_hangs(self) -> None:
        """Guards against a target that exits without an acknowledgement."""

        async def test(store: _FakeStore, memory: LeavingMemory, _: object) -> None:
            loop = asyncio.get_running_loop()
            store.fault = "hangs"
            started_at = loop.time()
            await store_leaving(memory, "i-1", 5)
            waited_s = loop.time() - started_at
            self.assertThat(waited_s <= WRITE_TIMEOUT_S + 0.01, Equals(True))

        self._run(test)

    def test_leaving_is_written_once_the_store_is_back(self) -> None:
        """Guards against a leaving that is acknowledged and then forgotten."""

        async def test(store: _FakeStore, memory: LeavingMemory, _: object) -> None:
            await asyncio.sleep(1.0)
            store.fault = "away"
            await store_leaving(memory, "i-1", 5)
            await asyncio.sleep(3.0)
            store.fault = ""
            await asyncio.sleep(3.0)
            self.assertThat(list(store.leaving_by_target), Equals(["i-1"]))
            store.lose()
            await asyncio.sleep(3.0)
            self.assertThat(store.leaving_by_target["i-1"].incarnation, Equals(5))

        self._run(test)

    def test_leaving_is_written_if_the_target_disconnects_meanwhile(self) -> None:
        """Guards against a repeated DELETE that is acknowledged and never stored."""

        async def test(store: _FakeStore, memory: LeavingMemory, _: object) -> None:
            await asyncio.sleep(1.0)
            store.fault = "hangs"
            first = asyncio.create_task(store_leaving(memory, "i-1", 5))
            await asyncio.sleep(0.1)
            first.cancel()
            store.fault = ""
            await store_leaving(memory, "i-1", 5)
            await asyncio.sleep(3.0)
            self.assertThat(list(store.leaving_by_target), Equals(["i-1"]))

        self._run(test)

    def test_entries_are_read_at_the_start_and_dropped_when_old(self) -> None:
        """Guards against entries without end, and against an old one that still rules.

        An entry of an earlier process of this node is dropped by this one.
        """
        old = StoredLeaving("i-old", 1, "n-2", int(-2 * KEPT_S * 1000))
        own = StoredLeaving("i-own", 2, "n-1", 0)

        async def test(
            store: _FakeStore, _: object, learned: list[StoredLeaving]
        ) -> None:
            await asyncio.sleep(1.0)
            self.assertThat(learned, Equals([own]))
            await asyncio.sleep(1.5 * KEPT_S)
            self.assertThat(list(store.leaving_by_target), Equals(["i-old"]))

        self._run(test, stored=(old, own))
