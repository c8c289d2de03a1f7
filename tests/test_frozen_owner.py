"""Load pattern: owners that freeze while they run attempts of other nodes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import testtools
from returns.result import Failure
from testtools.matchers import Equals, LessThan
from tornado.httputil import HTTPHeaders

from bench.virtual_time import run_virtual
from siskinlug import remote_attempts
from siskinlug.body import body_from_bytes
from siskinlug.clock import HybridClock
from siskinlug.connections import Connection, make_connection_pool
from siskinlug.directory import NodeRecord
from siskinlug.exchange import ExchangeFailure, RequestHead
from siskinlug.owner import AttemptRequest
from siskinlug.paths import make_paths
from siskinlug.remote_attempts import OwnerQueries, RemoteOwners, open_remote_attempt
from siskinlug.verdict import Verdict

OWNER = NodeRecord("n-2", 1, 0, "alive", "vm", "domain", "region", "127.0.0.1", 9, 9)
DEADLINE_S = 5.0
# The operator's timeout may be exceeded by less than this.
MAX_LATE_S = 0.25
# Time that a query takes if the owner does not answer.
QUERY_TIMEOUT_S = 1.0


class FrozenOwnerTest(testtools.TestCase):
    def _run_attempt(self, *, idempotent: bool, lost_at: float) -> tuple[object, float]:
        """Run an attempt whose response is lost; return its verdict and duration."""

        async def never_answers(*_args: object) -> Verdict:
            await asyncio.sleep(QUERY_TIMEOUT_S)
            return Verdict.NOT_RUN

        @asynccontextmanager
        async def connect(*_args: object, **_options: object) -> AsyncIterator[object]:
            class _Connected:
                def unwrap(self) -> Connection | None:
                    return None

            yield _Connected()

        @asynccontextmanager
        async def exchange(*_args: object, **_options: object) -> AsyncIterator[object]:
            await asyncio.sleep(lost_at)
            yield Failure(ExchangeFailure(True, "silent"))

        async def main() -> tuple[object, float]:
            loop = asyncio.get_running_loop()
            remote = RemoteOwners(
                connections=make_connection_pool(monotonic=loop.time),
                paths=make_paths(monotonic=loop.time),
                queries=OwnerQueries(never_answers, never_answers),  # type: ignore[arg-type]
                record_load=lambda _load: None,
                token="t",
                clock=HybridClock(),
                monotonic=loop.time,
            )
            started_at = loop.time()
            attempt = AttemptRequest(
                attempt="a-1",
                target="i-1",
                route="r",
                account="",
                priority=5,
                long_work=False,
                idempotent=idempotent,
                deadline=started_at + DEADLINE_S,
                baseline_s=None,
                fingerprint="",
            )
            head = RequestHead("POST", "/", HTTPHeaders())
            async with open_remote_attempt(
                remote, OWNER, attempt, head, body_from_bytes(b"")
            ) as result:
                return result.failure().verdict, loop.time() - started_at

        self.patch(remote_attempts, "open_connection", connect)
        self.patch(remote_attempts, "exchange", exchange)
        return run_virtual(main())

    def test_refusal_does_not_wait_for_an_owner_that_freezes(self) -> None:
        """Guards against a caller that is kept past its deadline for a verdict."""
        for idempotent in (True, False):
            verdict, took_s = self._run_attempt(
                idempotent=idempotent, lost_at=DEADLINE_S
            )
            self.assertThat(verdict, Equals(Verdict.MAY_HAVE_RUN))
            self.assertThat(took_s, LessThan(DEADLINE_S + MAX_LATE_S))

    def test_verdict_is_waited_for_while_there_is_time(self) -> None:
        """Guards against a request that is given up although its verdict was coming."""
        verdict, _ = self._run_attempt(idempotent=False, lost_at=1.0)
        self.assertThat(verdict, Equals(Verdict.NOT_RUN))
