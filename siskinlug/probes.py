"""Probes: a request to the path that a target announced, over a new connection.

A probe confirms a suspicion and starts readmission. It never outweighs what real
requests show.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyCut, bytes_body
from siskinlug.connections import Address, ConnectionPool, open_connection
from siskinlug.evidence import Evidence, Outcome, record_outcome, silence_bound_s
from siskinlug.exchange import RequestHead, exchange

# A probe takes about 25 ms; a target that needs ten times as long is not well.
PROBE_TIMEOUT_S = 0.25


async def probe(
    pool: ConnectionPool,
    address: Address,
    path: str,
    *,
    monotonic: Callable[[], float],
    timeout_s: float = PROBE_TIMEOUT_S,
) -> Result[float, str]:
    """Probe a target or a peer once.

    Args:
        pool: The connection pool; none of its idle connections is used or kept.
        address: Host and port.
        path: Path to request with GET.
        monotonic: Monotonic clock in seconds.
        timeout_s: Time for the connection, and again for the answer.

    Returns:
        The time taken in seconds, or the cause of the failure.
    """
    started = monotonic()
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
            opened.unwrap(), head, bytes_body(b""), first_byte_s=timeout_s
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
    return Success(monotonic() - started)


class FirstByteWait:
    """A request that waits for its first byte."""

    def __init__(self, bound_s: float) -> None:
        self.waiting = True
        self.outcome_recorded = False
        self.bound_s = bound_s
        self.started = asyncio.get_running_loop().time()
        self.task: asyncio.Future[None] | None = None

    def exceeded_bound(self) -> bool:
        """Whether the request has waited long enough to tell of the target."""
        waited_s = asyncio.get_running_loop().time() - self.started
        return waited_s >= self.bound_s


@contextmanager
def watch_first_byte(
    evidence: Evidence, route: str, *, probe: Callable[[], Awaitable[bool]]
) -> Iterator[FirstByteWait]:
    """Watch a request that waits for its first byte at a target.

    Past the usual time the target is probed once. If the probe fails, the request is
    observed as a hard failure at once instead of at its deadline; it goes on waiting.

    Args:
        evidence: The target's evidence.
        route: Route name of the request.
        probe: Probes the target over a new connection.

    Yields:
        The state; if ``observed`` is set, the request's end must not be observed
        again. Set ``waiting`` to false when the first byte arrives.
    """
    wait = FirstByteWait(silence_bound_s(evidence, route))

    async def check() -> None:
        if not await probe() and wait.waiting:
            wait.outcome_recorded = True
            record_outcome(evidence, Outcome(route, False, True, 0.0, None))

    def start() -> None:
        if wait.waiting:
            wait.task = asyncio.ensure_future(check())

    timer = asyncio.get_running_loop().call_later(wait.bound_s, start)
    try:
        yield wait
    finally:
        wait.waiting = False
        timer.cancel()
        if wait.task is not None:
            wait.task.cancel()
