"""An asyncio event loop whose clock is virtual, for replay and tests."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances the loop's clock instead of waiting."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is set")
        self.loop.advance(timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on which sleeps take no real time."""

    def __init__(self) -> None:
        self._virtual_s = 0.0
        selector = _VirtualTimeSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_s

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self._virtual_s += max(seconds, 0.0)


def run_virtual(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end on a loop with a virtual clock.

    Args:
        main: The coroutine, which must do no I/O. Its clock is
            ``asyncio.get_running_loop().time``.

    Returns:
        The result of the coroutine.

    Raises:
        RuntimeError: All tasks are waiting and no timer is set.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
