"""Probes: requests to the path that a target announced, over a new connection.

A probe confirms a suspicion or starts a readmission. It never overrides the evidence of
real requests.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyCut, body_from_bytes
from siskinlug.connections import Address, ConnectionPool, open_connection
from siskinlug.evidence import Evidence, Outcome, record_outcome, silence_bound_s
from siskinlug.exchange import RequestHead, exchange

# A probe takes about 25 ms; a target that needs ten times as long is unhealthy.
PROBE_TIMEOUT_S = 0.25


async def probe(
    pool: ConnectionPool,
    address: Address,
    path: str,
    *,
    monotonic: Callable[[], float],
    timeout_s: float = PROBE_TIMEOUT_S,
) -> Result[float, str]:
    """Probe a target or a node once.

    Args:
        pool: Connection pool; the probe neither takes nor leaves an idle connection.
        address: Host and port.
        path: Path to request with GET.
        monotonic: Monotonic clock in seconds.
        timeout_s: Time limit in seconds for connecting, and again for the whole answer.

    Returns:
        The duration in seconds, or the cause of the failure.
    """
    started_at = monotonic()
    head = RequestHead(
        "GET",
        path,
        HTTPHeaders({"Host": f"{address[0]}:{address[1]}", "Connection": "close"}),
    )
    async with open_connection(
        pool, address, fresh=True, timeout_s=timeout_s
    ) as opened:
        if isinstance(opened, Failure):
            return Failure(opened.failure().cause)
        async with exchange(
            opened.unwrap(),
            head,
            body_from_bytes(b""),
            first_byte_timeout_s=timeout_s,
            answer_timeout_s=timeout_s,
        ) as result:
            if isinstance(result, Failure):
                return Failure(result.failure().cause)
            answer = result.unwrap()
            if answer.status >= 500:
                return Failure(f"status {answer.status}")
            try:
                async for _ in answer.body.chunks():
                    pass
            except BodyCut:
                return Failure("cut")
    return Success(monotonic() - started_at)


class FirstByteWait:
    """State of a request that waits for its first byte; see ``watch_first_byte``.

    Attributes:
        waiting: Whether the first byte is outstanding; cleared by the caller.
        outcome_recorded: Whether the request was recorded as a hard failure.
        bound_s: Wait after which the target is probed, in seconds.
    """

    def __init__(self, bound_s: float) -> None:
        self.waiting = True
        self.outcome_recorded = False
        self.bound_s = bound_s
        self.started_at = asyncio.get_running_loop().time()
        self.probe_task: asyncio.Future[None] | None = None

    def exceeded_bound(self) -> bool:
        """Whether the request has waited long enough to count against the target."""
        waited_s = asyncio.get_running_loop().time() - self.started_at
        return waited_s >= self.bound_s


@contextmanager
def watch_first_byte(
    evidence: Evidence, route: str, *, probe: Callable[[], Awaitable[bool]]
) -> Iterator[FirstByteWait]:
    """Probe a target once if a request waits unusually long for its first byte.

    If the probe fails, a hard failure is recorded at once instead of at the deadline of
    the request, which goes on waiting.

    Args:
        evidence: Evidence of the target.
        route: Route name of the request.
        probe: Probes the target over a new connection; returns whether it passed.

    Yields:
        The state of the wait. Clear ``waiting`` when the first byte arrives. If
        ``outcome_recorded`` is set, the end of the request must not be recorded again.
    """
    wait = FirstByteWait(silence_bound_s(evidence, route))

    async def probe_if_silent() -> None:
        if not await probe() and wait.waiting:
            wait.outcome_recorded = True
            record_outcome(evidence, Outcome(route, False, True, 0.0, None))

    def start_probe() -> None:
        if wait.waiting:
            wait.probe_task = asyncio.ensure_future(probe_if_silent())

    timer = asyncio.get_running_loop().call_later(wait.bound_s, start_probe)
    try:
        yield wait
    finally:
        wait.waiting = False
        timer.cancel()
        if wait.probe_task is not None:
            wait.probe_task.cancel()
