"""Tests of the event loop with a virtual clock."""

import asyncio

import testtools
from testtools.matchers import Equals

from bench.virtual_time import run_virtual


async def _sleep_an_hour() -> float:
    await asyncio.sleep(3600)
    return asyncio.get_running_loop().time()


async def _wait_forever() -> None:
    await asyncio.Event().wait()


class VirtualTimeTest(testtools.TestCase):
    def test_sleep_advances_the_clock(self) -> None:
        self.assertThat(run_virtual(_sleep_an_hour()), Equals(3600.0))

    def test_deadlock_raises(self) -> None:
        """Guards against a replay that hangs on a deadlock."""
        self.assertRaises(RuntimeError, run_virtual, _wait_forever())
