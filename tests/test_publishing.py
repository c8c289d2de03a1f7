"""Publishing with lost, late and repeated appends and concurrent operators."""

import asyncio
from typing import Any

import testtools
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure
from testtools.matchers import Contains, Equals, Not

from bench.virtual_time import run_virtual
from siskinlug.config_sync import catch_up
from siskinlug.configuration import EMPTY_STATE, ConfigurationState, find_change
from siskinlug.log_client import Log
from siskinlug.publishing import Outcome, publish, settle, start_over
from standins.log_service import LogState
from tests.fake_configuration_log import FakeConfigurationLog
from tests.test_log_client import run_with_log

POOLS = "[a]\nservice = x\n"
APPEND_FAULTS = st.lists(st.sampled_from(["ok", "refused", "lost", "late", "doubled"]))


async def _publish(log: Log, change: str, **options: Any) -> Outcome:
    loop = asyncio.get_running_loop()
    options = {"base": 0, "operator": f"op-{change}", "timeout_s": 1.0, **options}
    text = options.pop("text", POOLS)
    table = options.pop("table", "pools")
    return await publish(
        log, table, text, change=change, monotonic=loop.time, **options
    )


async def _settle(log: Log, change: str, *, base: int = 0) -> Outcome:
    loop = asyncio.get_running_loop()
    return await settle(
        log, "pools", change, base=base, operator="s", monotonic=loop.time
    )


async def _state(fake: FakeConfigurationLog) -> ConfigurationState:
    return (await catch_up(fake.log(), EMPTY_STATE)).unwrap().state


class PublishingTest(testtools.TestCase):
    @given(
        append_faults=APPEND_FAULTS,
        pauses=st.lists(st.sampled_from([0, 0.01, 0.3]), max_size=30),
        operators=st.integers(1, 3),
        deliver_late=st.booleans(),
    )
    def test_outcomes_agree_with_the_log(
        self,
        append_faults: list[str],
        pauses: list[float],
        operators: int,
        deliver_late: bool,
    ) -> None:
        """Guards against an outcome that differs from the decision in the log."""
        fake = FakeConfigurationLog()
        fake.pauses = iter(pauses)
        fake.faults = iter(append_faults)

        async def race() -> None:
            log = fake.log()
            changes = [f"c{n}" for n in range(operators)]
            outcomes = await asyncio.gather(
                *(_publish(log, change) for change in changes)
            )
            if deliver_late:
                fake.deliver_late()
            for index, outcome in enumerate(outcomes):
                if outcome.kind == "unknown":
                    self.assertThat(outcome.settle, Contains(outcome.change))
                    fake.faults = iter(())
                    outcomes[index] = await _settle(log, outcome.change)
                self.assertThat(outcomes[index].kind, Not(Equals("unknown")))
            fake.deliver_late()
            state = await _state(fake)
            for outcome in outcomes:
                decided = find_change(state, outcome.change)
                in_force = decided is not None and decided.version == 1
                self.assertThat(outcome.kind == "accepted", Equals(in_force))
            accepted = [o for o in outcomes if o.kind == "accepted"]
            self.assertTrue(len(accepted) <= 1)
            for outcome in outcomes:
                if outcome.cause == "conflict":
                    self.assertThat(outcome.detail, Contains(accepted[0].change))

        run_virtual(race())

    def test_lost_response_ends_in_a_known_outcome(self) -> None:
        """Guards against an unknown outcome although the log shows the decision."""
        for fault in ("lost", "late", "doubled", "refused"):
            fake = FakeConfigurationLog()
            fake.faults = iter([fault])
            outcome = run_virtual(_publish(fake.log(), "c"))
            self.assertThat((outcome.kind, outcome.version), Equals(("accepted", 1)))

    def test_log_that_is_down_means_nothing_was_published(self) -> None:
        """Guards against an unknown outcome although no append took effect."""
        for faults in (["refused"] * 50, []):
            fake = FakeConfigurationLog()
            fake.faults = iter(faults)
            fake.down = not faults
            outcome = run_virtual(_publish(fake.log(), "c"))
            self.assertThat((outcome.kind, outcome.cause), Equals(("refused", "log")))
            self.assertThat(fake.all_records, Equals([]))

    def test_append_that_may_arrive_keeps_the_outcome_unknown(self) -> None:
        """Guards against a refusal while an earlier append may still arrive."""
        fake = FakeConfigurationLog()

        async def scenario() -> None:
            fake.faults = iter(["late"] + ["refused"] * 50)
            self.assertThat((await _publish(fake.log(), "c")).kind, Equals("unknown"))
            fake.faults = iter(["refused"] * 100)
            self.assertThat((await _settle(fake.log(), "c")).kind, Equals("unknown"))

        run_virtual(scenario())

    def test_publish_repeated_by_its_operator_has_the_first_outcome(self) -> None:
        """Guards against a repeated publish that conflicts with its own change."""
        fake = FakeConfigurationLog()
        first = run_virtual(_publish(fake.log(), "c"))
        self.assertThat(run_virtual(_publish(fake.log(), "c")), Equals(first))

    def test_faulty_table_is_not_sent(self) -> None:
        """Guards against a log filled with tables that every node refuses."""
        fake = FakeConfigurationLog()
        for text, table in [("[a]\n", "pools"), ("[r]\npool = gone\n", "routes")]:
            outcome = run_virtual(_publish(fake.log(), "c", text=text, table=table))
            self.assertThat(outcome.cause, Equals("invalid"))
        self.assertThat(fake.all_records, Equals([]))

    def test_settled_change_stays_cancelled_when_it_arrives(self) -> None:
        """Guards against a change that comes into force after it was cancelled."""
        fake = FakeConfigurationLog()

        async def scenario() -> None:
            fake.faults = iter(["late"] * 50)
            outcome = await _publish(fake.log(), "c")
            self.assertThat(outcome.kind, Equals("unknown"))
            fake.faults = iter(())
            settled = await _settle(fake.log(), "c")
            self.assertThat(settled.cause, Equals("cancelled"))
            fake.deliver_late()
            self.assertThat((await _state(fake)).pools_version, Equals(0))
            again = await _publish(fake.log(), "c")
            self.assertThat(again.cause, Equals("cancelled"))

        run_virtual(scenario())

    def test_settling_with_an_outdated_base_names_the_other_change(self) -> None:
        """Guards against a cancel record where another change decided the outcome."""
        fake = FakeConfigurationLog()

        async def scenario() -> None:
            await _publish(fake.log(), "other")
            settled = await _settle(fake.log(), "c")
            self.assertThat(settled.cause, Equals("conflict"))
            self.assertThat(settled.detail, Contains("other"))
            self.assertThat(fake.all_records, Not(Contains("cancel")))

        run_virtual(scenario())

    def test_start_over_recovers_a_log_without_its_first_records(self) -> None:
        """Guards against a fleet that can never be configured again."""
        fake = FakeConfigurationLog()
        text = "[r]\npool = a\n"

        async def scenario() -> None:
            log = fake.log()

            async def start(change: str) -> Outcome:
                loop = asyncio.get_running_loop()
                return await start_over(
                    log, text, POOLS, change=change, operator="o", monotonic=loop.time
                )

            await _publish(log, "c1")
            self.assertThat((await start("s1")).cause, Equals("conflict"))
            fake.trim(0)
            self.assertThat((await _publish(log, "c2")).cause, Equals("log"))
            fake.faults = iter(["lost", "doubled"])
            first = await start("s2")
            self.assertThat(first.kind, Equals("accepted"))
            self.assertThat(await start("s2"), Equals(first))
            second = await _publish(log, "c3", base=first.version)
            self.assertThat(second.version, Equals(first.version + 1))

        run_virtual(scenario())

    def test_publish_over_http(self) -> None:
        """Guards against records that their encoding alters."""

        async def scenario(log: Log, state: LogState) -> None:
            state.faults.lose_answers = 1
            first = await _publish(log, "c1")
            second = await _publish(log, "c2", base=1, note="Čitaonica")
            stale = await _publish(log, "c3", base=1)
            self.assertThat([first.version, second.version], Equals([1, 2]))
            self.assertThat(stale.detail, Contains("op-c2 published change c2: Čita"))
            state.faults.down = "refuse"
            self.assertThat((await catch_up(log, EMPTY_STATE)), IsFailure())

        run_with_log(scenario)


class IsFailure:
    """Matches a ``Failure``."""

    def match(self, value: object) -> testtools.matchers.Mismatch | None:
        if isinstance(value, Failure):
            return None
        return testtools.matchers.Mismatch(f"{value} is not a Failure")
