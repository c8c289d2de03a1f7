"""Key claims with lost and late messages, paused and crashed nodes, moved homes."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import testtools
from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success
from testtools.matchers import Equals

from bench.virtual_time import run_virtual
from siskinlug.claim_messages import ClaimsAnswer, ClaimsMessage
from siskinlug.claims import (
    Claim,
    Claims,
    claim_key,
    close_claims,
    complete_claim,
    home_node,
    key_digest,
    make_claims,
    serve_claims,
    short_digest,
)
from siskinlug.tables import Route
from siskinlug.verdict import Reason, Refusal, Verdict
from tests.fake_log import FakeLog

_NODES = ("n0", "n1", "n2")
_KEYS = [key_digest("account", f"key-{number}") for number in range(3)]


def _route(without_log: str = "refuse") -> Route:
    return Route(
        name="r",
        host="*",
        path_prefix="/",
        methods=(),
        pool="p",
        timeout_s=4.0,
        claims_without_log=without_log,
    )


class Fleet:
    """Three nodes in one process, on a network that loses and delays messages.

    Attributes:
        home_by_view: Home node of every key in the view of each node.
        paused_until: Time up to which each node does nothing.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.log = FakeLog(rng)
        self.loss_ratio = 0.0
        self.count = 0
        self.home_by_view = dict.fromkeys(_NODES, "n0")
        self.paused_until = dict.fromkeys(_NODES, 0.0)
        self.running: dict[str, set[asyncio.Task[None]]] = {n: set() for n in _NODES}
        self.claims = {node: self._make(node) for node in _NODES}

    def _make(self, node: str) -> Claims:
        self.count += 1
        loop = asyncio.get_running_loop()
        crashed: list[bool] = []

        async def wait_while_paused() -> None:
            if crashed:
                await loop.create_future()
            await asyncio.sleep(max(0.0, self.paused_until[node] - loop.time()))

        async def append(stream: str, record: Any, *, timeout_s: float = 3.0) -> Any:
            await wait_while_paused()
            result = await self.log.append(stream, record, timeout_s=timeout_s)
            await wait_while_paused()
            return result

        async def read(
            stream: str, start: int, *, limit: int = 100, timeout_s: float = 3.0
        ) -> Any:
            await wait_while_paused()
            result = await self.log.read(
                stream, start, limit=limit, timeout_s=timeout_s
            )
            await wait_while_paused()
            return result

        async def call_home(home: str, message: ClaimsMessage) -> ClaimsAnswer | None:
            await wait_while_paused()
            await asyncio.sleep(self.rng.uniform(0.001, 0.01))
            if self.rng.random() < self.loss_ratio:
                return None
            answer = await serve_claims(self.claims[home], message)
            if self.rng.random() < self.loss_ratio:
                return None
            await wait_while_paused()
            return answer

        claims = make_claims(
            node=node,
            incarnation=self.count,
            append=append,
            read=read,
            home_of=lambda _partition: self.home_by_view[node],
            call_home=call_home,
            monotonic=loop.time,
            wall_ms=lambda: int(loop.time() * 1000) + 1_000_000,
        )
        claims.crashed = crashed  # type: ignore[attr-defined]
        return claims

    async def crash(self, node: str) -> None:
        """Stop a node, drop its state and start it again."""
        old = self.claims[node]
        old.crashed.append(True)  # type: ignore[attr-defined]
        for task in self.running[node]:
            task.cancel()
        self.claims[node] = self._make(node)
        await close_claims(old, drain_s=0.0)

    async def claim(
        self, node: str, key: str, name: str, *, without_log: str = "refuse"
    ) -> Result[Claim, Refusal]:
        return await claim_key(
            self.claims[node], key, "print", name, _route(without_log)
        )

    async def close(self) -> None:
        for claims in self.claims.values():
            await close_claims(claims, drain_s=0.0)


class Checker:
    """Runs requests under their claims and checks the verdicts that callers get.

    Attributes:
        ran_by_key: Requests that ran, by key.
        reported_verdicts: Verdicts reported to callers, by request.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ran_by_key: dict[str, list[str]] = {key: [] for key in _KEYS}
        self.reported_verdicts: list[tuple[str, Verdict]] = []
        self.count = 0

    async def request(self, node: str, key: str) -> None:
        """Run one keyed request of a caller, from its claim to its outcome."""
        rng = self.fleet.rng
        self.count += 1
        name = f"c{self.count}"
        granted = await self.fleet.claim(node, key, name)
        if isinstance(granted, Failure):
            refusal = granted.failure()
            self.reported_verdicts.append((name, refusal.verdict))
            if refusal.verdict is Verdict.RAN:
                assert self.ran_by_key[key], "reported as ran before it ran"
            return
        claim = granted.unwrap()
        if claim.answer is not None:
            ran = [name.encode() for name in self.ran_by_key[key]]
            assert [claim.answer["body"]] == ran, "the response of another request"
            return
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        outcome = rng.choice(["ran", "not run", "lost after", "lost before", "dies"])
        if outcome in ("ran", "lost after", "dies"):
            assert not self.ran_by_key[key], "a key ran twice"
            self.ran_by_key[key].append(name)
        verdict = {
            "ran": Verdict.RAN,
            "not run": Verdict.NOT_RUN,
            "lost after": Verdict.MAY_HAVE_RUN,
            "lost before": Verdict.MAY_HAVE_RUN,
        }.get(outcome)
        if verdict is not None:
            self.reported_verdicts.append((name, verdict))
            await complete_claim(claim, verdict, 200, (), name.encode())

    def check(self) -> None:
        ran = {name for names in self.ran_by_key.values() for name in names}
        for name, verdict in self.reported_verdicts:
            assert verdict is not Verdict.NOT_RUN or name not in ran


async def _run_random_events(fleet: Fleet, checker: Checker) -> None:
    rng = fleet.rng
    fleet.loss_ratio = rng.choice([0.0, 0.1, 0.4])
    fleet.log.fault_ratio = rng.choice([0.0, 0.1, 0.4])
    tasks = []
    for _ in range(40):
        node = rng.choice(_NODES)
        event = rng.random()
        if event < 0.6:
            task = asyncio.ensure_future(checker.request(node, rng.choice(_KEYS)))
            fleet.running[node].add(task)
            tasks.append(task)
        elif event < 0.75:
            fleet.home_by_view[node] = rng.choice(_NODES)
        elif event < 0.83:
            loop = asyncio.get_running_loop()
            fleet.paused_until[node] = loop.time() + rng.uniform(0.0, 8.0)
        elif event < 0.9:
            await fleet.crash(node)
        elif event < 0.97:
            fleet.log.down = not fleet.log.down
        elif tasks:
            tasks[-1].cancel()
        await asyncio.sleep(rng.choice([0.0, 0.01, 0.3, 2.0]))
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome


def _run(
    scenario: Callable[[Fleet], Coroutine[Any, Any, Any]], *, seed: int = 1
) -> Any:
    async def main() -> Any:
        fleet = Fleet(random.Random(seed))
        try:
            return await scenario(fleet)
        finally:
            await fleet.close()

    return run_virtual(main())


def _verdict(result: Result[Claim, Refusal]) -> tuple[Verdict, Reason] | str:
    if isinstance(result, Success):
        return "answered" if result.unwrap().answer is not None else "granted"
    return result.failure().verdict, result.failure().reason


class ClaimsModelTest(testtools.TestCase):
    @settings(max_examples=300)
    @given(st.integers(0, 2**32))
    def test_each_key_runs_at_most_once(self, seed: int) -> None:
        """Guards against double runs and wrong verdicts under every kind of fault."""

        async def scenario(fleet: Fleet) -> None:
            checker = Checker(fleet)
            await _run_random_events(fleet, checker)
            fleet.log.down = False
            fleet.loss_ratio = fleet.log.fault_ratio = 0.0
            await asyncio.sleep(30.0)
            for node in _NODES:
                for key in _KEYS:
                    await checker.request(node, key)
            checker.check()

        _run(scenario, seed=seed)


class ClaimsTest(testtools.TestCase):
    def test_repeated_key_gets_cached_answer_or_true_verdict(self) -> None:
        async def scenario(fleet: Fleet) -> list[Any]:
            first = await fleet.claim("n1", _KEYS[0], "c1")
            running = await fleet.claim("n2", _KEYS[0], "c2")
            other = await claim_key(
                fleet.claims["n2"], _KEYS[0], "other print", "c3", _route()
            )
            await complete_claim(
                first.unwrap(), Verdict.RAN, 200, [("A", "b")], b"body"
            )
            await asyncio.sleep(2.0)
            repeat = await fleet.claim("n2", _KEYS[0], "c4")
            late_other = await claim_key(
                fleet.claims["n2"], _KEYS[0], "other print", "c6", _route()
            )
            await fleet.crash("n0")
            fleet.home_by_view = dict.fromkeys(_NODES, "n2")
            moved = await fleet.claim("n1", _KEYS[0], "c5")
            assert running.failure().retry_after_s
            assert repeat.unwrap().answer == {
                "status": 200,
                "headers": [("A", "b")],
                "body": b"body",
            }
            results = (first, running, other, repeat, late_other, moved)
            return [_verdict(result) for result in results]

        self.assertThat(
            _run(scenario),
            Equals(
                [
                    "granted",
                    (Verdict.MAY_HAVE_RUN, Reason.KEY_CLAIMED),
                    (Verdict.NOT_RUN, Reason.KEY_MISMATCH),
                    "answered",
                    (Verdict.NOT_RUN, Reason.KEY_MISMATCH),
                    (Verdict.RAN, Reason.KEY_CLAIMED),
                ]
            ),
        )

    def test_loss_of_home_and_entry_gives_may_have_run(self) -> None:
        """Guards against a new home node that grants a key whose outcome is unknown."""

        async def scenario(fleet: Fleet) -> Any:
            await fleet.claim("n0", _KEYS[0], "c1")
            await fleet.crash("n0")
            fleet.home_by_view = dict.fromkeys(_NODES, "n1")
            await asyncio.sleep(20.0)
            result = await fleet.claim("n2", _KEYS[0], "c2")
            assert result.failure().retry_after_s is None
            return _verdict(result)

        self.assertThat(
            _run(scenario), Equals((Verdict.MAY_HAVE_RUN, Reason.KEY_CLAIMED))
        )

    def test_an_outcome_is_recorded_once(self) -> None:
        """Guards against an outcome that is lost with its append, or overwritten."""

        async def scenario(fleet: Fleet) -> Any:
            claim = (await fleet.claim("n0", _KEYS[0], "c1")).unwrap()
            fleet.log.lose_next_appends = 1
            await complete_claim(claim, Verdict.RAN, 200, (), None)
            await asyncio.sleep(0.1)
            again = Claim(fleet.claims["n1"], _KEYS[0], short_digest("c1"), None)
            await complete_claim(again, Verdict.NOT_RUN, 0, (), None)
            await asyncio.sleep(0.1)
            at_home = _verdict(await fleet.claim("n1", _KEYS[0], "c2"))
            assert at_home == (Verdict.RAN, Reason.KEY_CLAIMED)
            await asyncio.sleep(3.0)
            fleet.home_by_view = dict.fromkeys(_NODES, "n2")
            return _verdict(await fleet.claim("n2", _KEYS[0], "c3"))

        self.assertThat(_run(scenario), Equals((Verdict.RAN, Reason.KEY_CLAIMED)))

    def test_a_claim_read_back_behind_another_is_refused(self) -> None:
        """Guards against a claim granted in memory while the log is available."""

        async def scenario(fleet: Fleet) -> Any:
            fleet.home_by_view["n2"] = "n2"
            await fleet.claim("n2", _KEYS[0], "d1")
            append = fleet.log.append

            async def append_and_free(stream: str, record: Any, **options: Any) -> Any:
                result = await append(stream, record, **options)
                freed = ["s", _KEYS[0], short_digest("d1"), "not-run"]
                batch = {"home": "x@1", "seq": 1, "at_ms": 0, "entries": [freed]}
                await append(stream, batch)
                return result

            fleet.log.append = append_and_free  # type: ignore[method-assign]
            return _verdict(
                await fleet.claim("n1", _KEYS[0], "c1", without_log="memory")
            )

        self.assertThat(
            _run(scenario), Equals((Verdict.MAY_HAVE_RUN, Reason.KEY_UNAVAILABLE))
        )

    def test_a_planned_stop_writes_outcomes_first(self) -> None:
        """Guards against a planned stop that turns ``RAN`` into ``MAY_HAVE_RUN``."""

        async def scenario(fleet: Fleet) -> Any:
            claim = (await fleet.claim("n1", _KEYS[0], "c1")).unwrap()
            await complete_claim(claim, Verdict.RAN, 200, (), None)
            await asyncio.sleep(0.1)
            await close_claims(fleet.claims["n0"])
            fleet.home_by_view = dict.fromkeys(_NODES, "n2")
            return _verdict(await fleet.claim("n2", _KEYS[0], "c2"))

        self.assertThat(_run(scenario), Equals((Verdict.RAN, Reason.KEY_CLAIMED)))

    def test_a_key_that_was_not_run_is_free_at_every_home(self) -> None:
        """Guards against a home node that refuses a claim because of outdated state."""

        async def scenario(fleet: Fleet) -> list[Any]:
            first = await fleet.claim("n1", _KEYS[0], "c1")
            fleet.home_by_view["n2"] = "n2"
            seen = await fleet.claim("n2", _KEYS[0], "c2")
            await complete_claim(first.unwrap(), Verdict.NOT_RUN, 0, (), None)
            await asyncio.sleep(3.0)
            freed = await fleet.claim("n2", _KEYS[0], "c3")
            return [_verdict(seen), _verdict(freed)]

        self.assertThat(
            _run(scenario),
            Equals([(Verdict.MAY_HAVE_RUN, Reason.KEY_CLAIMED), "granted"]),
        )

    def test_batch_that_takes_effect_late_is_ignored(self) -> None:
        """Guards against a key held by a claim that was given up before its append."""

        async def scenario(fleet: Fleet) -> list[Any]:
            fleet.log.lose_next_appends = 1000
            lost = await fleet.claim("n1", _KEYS[0], "c1")
            fleet.log.lose_next_appends = 0
            await asyncio.sleep(5.0)
            fleet.log.apply_delayed_appends()
            fleet.home_by_view = dict.fromkeys(_NODES, "n2")
            free = await fleet.claim("n1", _KEYS[0], "c2")
            return [_verdict(lost), _verdict(free)]

        self.assertThat(
            _run(scenario),
            Equals([(Verdict.MAY_HAVE_RUN, Reason.KEY_UNAVAILABLE), "granted"]),
        )

    def test_a_claim_that_arrives_after_its_release_is_refused(self) -> None:
        """Guards against a key held by a claim that its entry has released."""

        async def scenario(fleet: Fleet) -> list[Any]:
            unused = Claim(fleet.claims["n1"], _KEYS[0], short_digest("c1"), None)
            await complete_claim(unused, Verdict.NOT_RUN, 0, (), None)
            await asyncio.sleep(0.5)
            late = await fleet.claim("n1", _KEYS[0], "c1")
            free = await fleet.claim("n1", _KEYS[0], "c2")
            return [_verdict(late), _verdict(free)]

        self.assertThat(
            _run(scenario),
            Equals([(Verdict.MAY_HAVE_RUN, Reason.KEY_UNAVAILABLE), "granted"]),
        )

    def test_repeat_at_a_new_home_without_the_log_is_not_called_not_run(self) -> None:
        """Guards against a caller who is told that what ran before has not run."""

        async def scenario(fleet: Fleet) -> Any:
            first = await fleet.claim("n1", _KEYS[0], "c1")
            await complete_claim(first.unwrap(), Verdict.RAN, 200, (), None)
            await asyncio.sleep(0.1)
            fleet.home_by_view = dict.fromkeys(_NODES, "n2")
            fleet.log.down = True
            return _verdict(await fleet.claim("n1", _KEYS[0], "c2"))

        self.assertThat(
            _run(scenario), Equals((Verdict.MAY_HAVE_RUN, Reason.KEY_UNAVAILABLE))
        )

    def test_claims_without_the_log(self) -> None:
        """Guards against runs without a claim, and memory claims that miss the log."""

        async def scenario(fleet: Fleet) -> list[Any]:
            fleet.log.down = True
            refused = await fleet.claim("n1", _KEYS[0], "c1")
            memory = await fleet.claim("n1", _KEYS[1], "c2", without_log="memory")
            repeat = await fleet.claim("n2", _KEYS[1], "c3", without_log="memory")
            await complete_claim(memory.unwrap(), Verdict.RAN, 200, (), None)
            await asyncio.sleep(0.1)
            second = Claim(fleet.claims["n1"], _KEYS[1], short_digest("c2"), None)
            await complete_claim(second, Verdict.NOT_RUN, 0, (), None)
            await asyncio.sleep(0.1)
            ran = await fleet.claim("n2", _KEYS[1], "c5", without_log="memory")
            assert _verdict(ran) == (Verdict.RAN, Reason.KEY_CLAIMED)
            fleet.log.down = False
            await asyncio.sleep(5.0)
            fleet.home_by_view = dict.fromkeys(_NODES, "n2")
            moved = await fleet.claim("n1", _KEYS[1], "c4")
            return [_verdict(r) for r in (refused, memory, repeat, moved)]

        self.assertThat(
            _run(scenario),
            Equals(
                [
                    (Verdict.MAY_HAVE_RUN, Reason.KEY_UNAVAILABLE),
                    "granted",
                    (Verdict.MAY_HAVE_RUN, Reason.KEY_CLAIMED),
                    (Verdict.RAN, Reason.KEY_CLAIMED),
                ]
            ),
        )

    def test_keys_expire_after_their_ttl_and_not_before(self) -> None:
        async def scenario(fleet: Fleet) -> list[Any]:
            first = await fleet.claim("n1", _KEYS[0], "c1")
            await complete_claim(first.unwrap(), Verdict.RAN, 200, (), None)
            await asyncio.sleep(3590.0)
            before = await fleet.claim("n1", _KEYS[0], "c2")
            await asyncio.sleep(200.0)
            expired = await fleet.claim("n1", _KEYS[0], "c3")
            return [_verdict(before), _verdict(expired)]

        self.assertThat(
            _run(scenario), Equals([(Verdict.RAN, Reason.KEY_CLAIMED), "granted"])
        )

    def test_claims_share_appends(self) -> None:
        """Guards against one append for each request, which would overload the log."""

        async def scenario(fleet: Fleet) -> tuple[int, int]:
            keys = [f"00000000{number:024x}" for number in range(300)]
            tasks = [fleet.claim("n1", key, f"c-{key}") for key in keys]
            results = await asyncio.gather(*tasks)
            granted = [result.unwrap() for result in results]
            for claim in granted:
                await complete_claim(claim, Verdict.RAN, 200, (), None)
            await asyncio.sleep(5.0)
            return len(granted), fleet.log.appends

        granted, appends = _run(scenario)
        self.assertThat(granted, Equals(300))
        self.assertThat(appends <= 6, Equals(True))

    def test_appends_are_spaced(self) -> None:
        """Guards against one append for each claim under steady load."""

        async def scenario(fleet: Fleet) -> int:
            tasks = []
            for number in range(100):
                key = f"00000000{number:024x}"
                tasks.append(asyncio.ensure_future(fleet.claim("n1", key, key)))
                await asyncio.sleep(0.05)
            results = await asyncio.gather(*tasks)
            assert all(isinstance(result, Success) for result in results)
            return fleet.log.appends

        self.assertThat(_run(scenario) <= 22, Equals(True))

    @given(st.sets(st.text("abc", min_size=1), min_size=2, max_size=8), st.data())
    @example({"a", "b"}, None)
    def test_homes_move_only_with_their_node(self, nodes: set[str], data: Any) -> None:
        """Guards against the loss of a node moving keys of other home nodes."""
        gone = data.draw(st.sampled_from(sorted(nodes))) if data else "a"
        for partition in range(64):
            home = home_node(partition, nodes)
            if home != gone:
                assert home_node(partition, nodes - {gone}) == home

    def test_accounts_do_not_share_keys(self) -> None:
        """Guards against one account getting the response of another."""
        digests = {key_digest("a", "1k"), key_digest("a1", "k"), key_digest("", "k")}
        self.assertThat(len(digests), Equals(3))
