"""The log client against the stand-in log service and its faults."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from returns.result import Failure
from testtools.matchers import Equals

from siskinlug.log_client import Effect, Log, LogPage, LogRecord, open_log
from standins.log_service import Faults, LogState, serve


def run_with_log(scenario: Callable[[Log, LogState], Awaitable[None]]) -> None:
    """Run a scenario against a log service on a free port."""

    async def run() -> None:
        state = LogState()
        server, port = serve(state)
        log = open_log(f"http://127.0.0.1:{port}")
        try:
            await scenario(log, state)
        finally:
            log.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


class LogClientTest(testtools.TestCase):
    def test_records_are_read_in_order_from_the_oldest_retained(self) -> None:
        async def scenario(log: Log, state: LogState) -> None:
            state.faults.retain_records = 2
            for n in range(4):
                appended = await log.append("s", {"n": n})
                self.assertThat(appended.unwrap(), Equals(n))
            records = (LogRecord(2, {"n": 2}), LogRecord(3, {"n": 3}))
            page = (await log.read("s", 0)).unwrap()
            self.assertThat(page, Equals(LogPage(2, 4, records)))
            page = (await log.read("s", 4)).unwrap()
            self.assertThat(page, Equals(LogPage(2, 4, ())))

        run_with_log(scenario)

    def test_each_fault_of_an_append_has_its_effect(self) -> None:
        """Guards against reporting an append as not applied that may have been."""
        cases = [
            (Faults(down="refuse"), Effect.NOT_APPLIED, 0),
            (Faults(down="reset"), Effect.UNKNOWN, 0),
            (Faults(down="silent"), Effect.UNKNOWN, 0),
            (Faults(lose_answers=1), Effect.UNKNOWN, 1),
        ]

        async def scenario(log: Log, state: LogState) -> None:
            for faults, effect, applied in cases:
                appends = state.appends
                state.faults = faults
                appended = await log.append("s", 1, timeout_s=0.5)
                self.assertThat(appended.failure().effect, Equals(effect))
                self.assertThat(state.appends - appends, Equals(applied))

        run_with_log(scenario)

    def test_append_without_listener_is_not_applied(self) -> None:
        """Guards against an unknown effect of a connection that never opened."""

        async def run() -> None:
            log = open_log("http://127.0.0.1:1")
            appended = await log.append("s", 1)
            read = await log.read("s", 0)
            self.assertThat(appended.failure().effect, Equals(Effect.NOT_APPLIED))
            self.assertThat(read.failure().effect, Equals(Effect.UNAVAILABLE))

        asyncio.run(run())

    def test_failed_read_is_unavailable_and_the_next_one_recovers(self) -> None:
        """Guards against a client that keeps using a connection the service closed."""

        async def scenario(log: Log, state: LogState) -> None:
            for down in ("refuse", "reset", "silent"):
                state.faults.down = down
                read = await log.read("s", 0, timeout_s=0.5)
                assert isinstance(read, Failure)
                self.assertThat(read.failure().effect, Equals(Effect.UNAVAILABLE))
                state.faults.down = "no"
                self.assertThat((await log.read("s", 0)).unwrap().next, Equals(0))

        run_with_log(scenario)
