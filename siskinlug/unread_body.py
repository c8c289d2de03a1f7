"""Request bodies that are not read, or not yet: early responses and late bodies.

Closing a socket that has unread bytes resets the connection. The reset drops what the
caller has not received yet, and a caller that is still sending may not look for the
response at all. So the rest of the body is read and dropped first, within limits.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

from tornado.httputil import HTTPConnection

from siskinlug.body import BodyStream
from siskinlug.logs import log_event

# Longest rest of a body that is read only to be dropped.
MAX_DISCARDED_BYTES = 16 << 20
# Longest time for which a connection waits for the rest of a body.
MAX_DISCARD_S = 5.0
# Steps in which the time for a body is counted.
BODY_TIME_STEPS = 16
_LAST_CHUNK = b"0\r\n\r\n"


async def end_response(connection: HTTPConnection, body: BodyStream) -> bool:
    """End a response, so that it is complete for the caller at once.

    Args:
        connection: Connection to which the response was written, except for its end.
        body: Body of the request.

    Returns:
        Whether the connection is finished; if not, ``finish_after_body`` must follow.

    Raises:
        StreamClosedError: The caller closed the connection.
    """
    if body.ended:
        connection.finish()
        return True
    # To finish now would close the connection. Only the end of a chunked response is
    # sent now, which the codec must not repeat later.
    connection.stream.set_nodelay(True)  # type: ignore[attr-defined]
    if connection._chunking_output:  # type: ignore[attr-defined]
        connection._chunking_output = False  # type: ignore[attr-defined]
        await connection.write(_LAST_CHUNK)
    return False


async def finish_after_body(connection: HTTPConnection, body: BodyStream) -> None:
    """Finish a connection once the rest of the request body was read and dropped.

    The connection stays open for further requests if the body comes to its end within
    the limits, and is closed otherwise.

    Args:
        connection: Connection with a response that was ended by ``end_response``.
        body: Body of the request.
    """
    body.discard()
    with suppress(TimeoutError):
        async with asyncio.timeout(MAX_DISCARD_S):
            await body.wait_discarded(MAX_DISCARDED_BYTES)
    if not body.ended:
        log_event("body_left_unread", discarded_bytes=body.discarded_bytes)
    connection.finish()


@contextmanager
def limit_body_time(
    body: BodyStream, limit_s: float, on_limit: Callable[[], object]
) -> Iterator[None]:
    """Limit the time in which a body must arrive, within the block.

    Time in which it is not read does not count: while its reader is slow, or while the
    event loop is held up, as the late end of a step shows.

    Args:
        body: Body of the request.
        limit_s: Time limit, in seconds.
        on_limit: Called when the body is late.
    """
    loop = asyncio.get_running_loop()
    step_s = limit_s / BODY_TIME_STEPS
    counted_steps = 0
    timer: asyncio.TimerHandle | None = None

    def start_step() -> None:
        nonlocal timer
        timer = loop.call_later(step_s, end_step, loop.time() + 2 * step_s)

    def end_step(late_at: float) -> None:
        nonlocal counted_steps
        if body.ended:
            return
        if not body.reading_paused and loop.time() < late_at:
            counted_steps += 1
        if counted_steps < BODY_TIME_STEPS:
            start_step()
        else:
            log_event("body_late", received_bytes=body.received_bytes)
            on_limit()

    if not body.ended:
        start_step()
    try:
        yield
    finally:
        if timer is not None:
            timer.cancel()
