"""The stand-ins for targets and callers: faults, counts and checks of responses."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import testtools
from testtools.matchers import Equals
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from siskinlug.connections import Address, make_connection_pool
from standins.caller import Call, CallResult, Summary, run_closed_loop, send
from standins.target import Faults, Target, TargetOptions, serve_target

_OPTIONS = TargetOptions(name="t1", service="s", slots=2)


def _with_target(
    use: Callable[[Target, Address], Awaitable[Any]],
    *,
    crash: Callable[[], None] = lambda: None,
) -> Any:
    async def run() -> Any:
        async with serve_target(_OPTIONS, crash=crash) as target:
            return await use(target, ("127.0.0.1", target.port))

    return asyncio.run(run())


async def _calls(target: Target, address: Address, faults: Faults) -> Summary:
    target.set_faults(faults)
    return await run_closed_loop(
        address,
        lambda number: Call(method="POST", body=b"x" * number, answer_bytes=3000),
        callers=2,
        count=20,
        timeout_s=5.0,
    )


class StandInsTest(testtools.TestCase):
    def test_correct_responses_pass(self) -> None:
        summary = _with_target(lambda t, a: _calls(t, a, Faults()))
        self.assertThat(dict(summary.statuses), Equals({"200": 20}))
        self.assertThat(summary.wrong_examples, Equals([]))

    def test_wrong_and_cut_responses_are_detected(self) -> None:
        """Guards against a checker that accepts wrong or incomplete responses."""
        summary = _with_target(lambda t, a: _calls(t, a, Faults(wrong_ratio=1.0)))
        self.assertThat(summary.wrong, Equals(20))
        summary = _with_target(lambda t, a: _calls(t, a, Faults(cut_ratio=1.0)))
        self.assertThat(summary.reasons["cut"], Equals(20))

    def test_faults_are_limited_to_accounts(self) -> None:
        async def use(target: Target, address: Address) -> list[int]:
            target.set_faults(Faults(error_ratio=1.0, accounts=["b"]))
            pool = make_connection_pool(monotonic=time.monotonic)
            results = [
                await send(pool, address, Call(account=account), f"r-{account}")
                for account in ("a", "b")
            ]
            pool.close()
            return [result.status for result in results]

        self.assertThat(_with_target(use), Equals([200, 500]))

    def test_full_target_sheds_and_closed_connection_cancels(self) -> None:
        async def use(target: Target, address: Address) -> tuple[CallResult, int]:
            target.set_faults(Faults(hang=True))
            pool = make_connection_pool(monotonic=time.monotonic)
            hanging = [
                asyncio.ensure_future(send(pool, address, Call(), f"h{n}"))
                for n in range(2)
            ]
            while target.in_use < 2:
                await asyncio.sleep(0.001)
            shed = await send(pool, address, Call(), "shed")
            for task in hanging:
                task.cancel()
            await asyncio.gather(*hanging, return_exceptions=True)
            while target.in_use:
                await asyncio.sleep(0.001)
            pool.close()
            assert "shed" not in target.runs.by_request
            return shed, target.runs.counts["cancelled"]

        shed, cancelled = _with_target(use)
        self.assertThat((shed.status, shed.verdict), Equals((503, "not-run")))
        self.assertThat(cancelled, Equals(2))

    def test_runs_are_counted_and_crash_header_crashes(self) -> None:
        crashes: list[int] = []

        async def use(target: Target, address: Address) -> dict[str, Any]:
            pool = make_connection_pool(monotonic=time.monotonic)
            keyed = Call(headers=(("X-Crash", "1"), ("Idempotency-Key", "k")))
            await send(pool, address, keyed, "r1")
            await send(pool, address, keyed, "r1")
            pool.close()
            return msgspec.to_builtins(target.runs.by_request | target.runs.by_key)

        runs = _with_target(use, crash=lambda: crashes.append(1))
        self.assertThat(runs, Equals({"r1": 2, "k": 2}))
        self.assertThat(len(crashes), Equals(2))


class TargetMoveTest(testtools.TestCase):
    def test_target_moves_only_after_the_lease(self) -> None:
        """Guards against two owners while the old one receives but cannot answer."""
        lease_s = 1.5
        received: list[tuple[str, int, float]] = []

        def owner(name: str, alternatives: list[str], answers: int) -> HTTPServer:
            def accept_request(request: HTTPServerRequest) -> None:
                connection: Any = request.connection
                message = msgspec.json.decode(request.body)
                received.append((name, message["epoch"], time.monotonic()))
                if sum(receiver == name for receiver, _, _ in received) > answers:
                    return
                answer = msgspec.json.encode(
                    {
                        "lease_s": lease_s,
                        "interval_s": 0.05,
                        "alternatives": alternatives,
                    }
                )
                headers = HTTPHeaders({"Content-Length": str(len(answer))})
                start = ResponseStartLine("HTTP/1.1", 200, "OK")
                connection.write_headers(start, headers, answer)
                connection.finish()

            return HTTPServer(accept_request)

        async def run() -> None:
            sockets = [bind_sockets(0, "127.0.0.1")[0] for _ in range(2)]
            names = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
            old, new = owner("old", names[1:], 2), owner("new", [], 99)
            old.add_sockets(sockets[:1])
            new.add_sockets(sockets[1:])
            options = _OPTIONS._replace(announce=names[0], interval_s=0.05)
            async with serve_target(options):
                while not received or received[-1][0] != "new":
                    await asyncio.sleep(0.01)
            old.stop()
            new.stop()
            await old.close_all_connections()
            await new.close_all_connections()

        asyncio.run(run())
        last_old = max(at for name, _, at in received if name == "old")
        first_new = min(at for name, _, at in received if name == "new")
        self.assertThat(first_new - last_old >= lease_s, Equals(True))
        self.assertThat(
            {epoch for receiver, epoch, _ in received if receiver == "new"}, Equals({2})
        )
