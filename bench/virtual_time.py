"""An asyncio event loop whose clock is virtual, for replay and tests."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the loop's clock ahead instead of waiting."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("every task waits for an event that nothing will set")
        self.loop.advance(timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on which sleeping takes no real time."""

    def __init__(self) -> None:
        self._virtual_s = 0.0
        selector = _JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_s

    def advance(self, seconds: float) -> None:
        """Move the clock ahead."""
        self._virtual_s += max(seconds, 0.0)


def run_virtual(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end on a loop with a virtual clock.

    Args:
        main: The coroutine; it must do no input or output. Its clock is
            ``asyncio.get_running_loop().time``.

    Returns:
        What the coroutine returned.

    Raises:
        RuntimeError: Every task waits and no timer is set.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
