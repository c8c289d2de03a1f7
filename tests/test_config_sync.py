"""Propagation of a configuration through a fleet, on a virtual clock."""

import asyncio
from collections.abc import Callable
from random import Random

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan, MatchesAll

from bench.virtual_time import run_virtual
from siskinlug.clock import HybridClock
from siskinlug.config_sync import (
    ConfigurationView,
    answer_configuration,
    follow_configuration,
    handle_peer_position,
    make_configuration,
)
from siskinlug.configuration import position_of, publish_record
from siskinlug.log_client import Log
from siskinlug.messages import ConfigurationPosition, encode
from siskinlug.timeline import Timeline
from tests.fake_configuration_log import FakeConfigurationLog

HOP_S = 0.003
FANOUT = 4


class Fleet:
    """Views of many nodes that call each other with a delay of one hop."""

    def __init__(self, count: int, fake: FakeConfigurationLog) -> None:
        self.random = Random(7)
        self.fake = fake
        self.nodes_without_log: set[int] = set()
        self.fetches = 0
        loop = asyncio.get_running_loop()
        self.views = [self._make_view(n, loop.time) for n in range(count)]

    def _make_view(self, index: int, now: Callable[[], float]) -> ConfigurationView:
        return make_configuration(
            Timeline(f"n{index}", HybridClock()),
            random=Random(index),
            monotonic=now,
            wall_ms=lambda: int(now() * 1000),
        )

    async def _fetch(self, peer: str, position: ConfigurationPosition) -> bytes | None:
        self.fetches += 1
        await asyncio.sleep(2 * HOP_S)
        return answer_configuration(self.views[int(peer)], encode(position))

    def _push(self, index: int) -> None:
        loop = asyncio.get_running_loop()
        position = position_of(self.views[index].state)
        for peer in self.random.sample(range(len(self.views)), FANOUT):
            loop.call_later(
                HOP_S, handle_peer_position, self.views[peer], str(index), position
            )

    async def _exchange_positions(self, index: int) -> None:
        """Exchange positions with one other node per second, as heartbeats do."""
        await asyncio.sleep(self.random.random())
        while True:
            peer = self.random.randrange(len(self.views))
            for to, source in ((index, peer), (peer, index)):
                position = position_of(self.views[source].state)
                handle_peer_position(self.views[to], str(source), position)
            await asyncio.sleep(1)

    def _log(self, index: int) -> Log:
        log = self.fake.log()

        async def read(*args: object, **options: object) -> object:
            await asyncio.sleep(HOP_S)
            if index in self.nodes_without_log:
                return await FakeConfigurationLog.failed_read()
            return await log.read(*args, **options)  # type: ignore[arg-type]

        return log._replace(read=read)  # type: ignore[arg-type]

    async def run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            for index, view in enumerate(self.views):
                tasks.create_task(self._exchange_positions(index))
                tasks.create_task(
                    follow_configuration(
                        view,
                        self._log(index),
                        fetch=self._fetch,
                        push=lambda index=index: self._push(index),
                        nodes=lambda: len(self.views),
                    )
                )

    async def seconds_until(self, pools_version: int) -> float:
        loop = asyncio.get_running_loop()
        started = loop.time()
        while any(v.state.pools_version < pools_version for v in self.views):
            await asyncio.sleep(0.01)
        return loop.time() - started


def _publish(fake: FakeConfigurationLog, base: int) -> None:
    fake.add(
        publish_record(
            f"c{base}",
            "pools",
            f"[a]\nservice = x{base}\n",
            base=base,
            operator="o",
            note="",
            at_ms=1,
        )
    )


class ConfigSyncTest(testtools.TestCase):
    def test_change_is_in_force_on_430_nodes_in_three_seconds(self) -> None:
        """Guards against nodes that learn of a change only from their own poll."""

        async def scenario() -> None:
            fake = FakeConfigurationLog()
            fleet = Fleet(430, fake)
            running = asyncio.ensure_future(fleet.run())
            await asyncio.sleep(20)
            for base in range(5):
                _publish(fake, base)
                elapsed_s = await fleet.seconds_until(base + 1)
                self.assertThat(elapsed_s, LessThan(3.0))
                await asyncio.sleep(10)
            self.assertThat(fleet.fetches, LessThan(5 * 430 + 100))
            running.cancel()

        run_virtual(scenario())

    def test_nodes_without_the_log_follow_their_peers(self) -> None:
        """Guards against outdated tables on nodes that cannot reach the log."""

        async def scenario() -> None:
            fake = FakeConfigurationLog()
            fleet = Fleet(40, fake)
            fleet.nodes_without_log = set(range(1, 40))
            running = asyncio.ensure_future(fleet.run())
            _publish(fake, 0)
            self.assertThat(await fleet.seconds_until(1), LessThan(3.0))
            kinds = [event.kind for event in fleet.views[5].timeline.events()]
            self.assertThat(set(kinds), Equals({"configuration_in_force", "log_down"}))
            running.cancel()

        run_virtual(scenario())

    def test_idle_fleet_writes_few_snapshots(self) -> None:
        """Guards against every node writing the same snapshot."""

        async def scenario() -> None:
            fake = FakeConfigurationLog()
            fleet = Fleet(30, fake)
            running = asyncio.ensure_future(fleet.run())
            _publish(fake, 0)
            await asyncio.sleep(21 * 60)
            # The first, two more after ten minutes each, and a few written at once.
            written = len(fake.all_records) - 1
            self.assertThat(written, MatchesAll(GreaterThan(2), LessThan(7)))
            running.cancel()

        run_virtual(scenario())
