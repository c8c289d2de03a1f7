"""Probes: a request to the path that a target announced, over a new connection.

A probe confirms a suspicion and starts readmission. It never outweighs what real
requests show.
"""

from collections.abc import Callable

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyCut, bytes_body
from siskinlug.connections import Address, ConnectionPool, open_connection
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
