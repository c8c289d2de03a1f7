"""End of servers that stop as planned: nothing that was received goes unanswered.

While servers drain, they serve what arrives on open and on new connections, and close
connections only while these are idle. At the time limit, requests without a response
are refused: as not run if they never left this node, else as may-have-run.
"""

import asyncio
from collections.abc import Callable, Collection

from absl import logging
from tornado.http1connection import HTTP1ServerConnection

from siskinlug.idle_connections import close_idle, has_partial_head, is_idle
from siskinlug.inbound import InboundServer
from siskinlug.logs import log_event

# Interval at which connections are checked.
DRAIN_PAUSE_S = 0.05
# Connections are closed this long after they were opened or have sent a response, so
# that a request that follows at once does not cross the close.
MIN_IDLE_S = 0.1
# Time for the rest of a request's head to arrive.
HEAD_TIMEOUT_S = 1.0
# Time for the refusals at the limit to be written.
REFUSAL_WRITE_S = 0.3
# Time for the tasks of connections to end once they are closed.
CLOSE_TIMEOUT_S = 0.3


async def drain_servers(
    servers: Collection[InboundServer],
    *,
    deadline: float,
    needs_listener: Callable[[], bool] = lambda: False,
    stop_now: asyncio.Event | None = None,
) -> int:
    """Stop listening, finish all requests and close all connections.

    Responses carry ``Connection: close`` from now on.

    Args:
        servers: The servers of a process.
        deadline: Time of the event loop's clock at which requests in progress are
            refused.
        needs_listener: Whether to go on listening for now.
        stop_now: Ends the drain at once when set, as the deadline does.

    Returns:
        Number of requests that were in progress at the limit.
    """
    for server in servers:
        server.draining = True
    finished = await _finish_requests(
        servers, deadline, needs_listener, stop_now or asyncio.Event()
    )
    interrupted = 0 if finished else await _refuse_requests(servers)
    for server in servers:
        await _close_connections(server)
    return interrupted


async def _finish_requests(
    servers: Collection[InboundServer],
    deadline: float,
    needs_listener: Callable[[], bool],
    stop_now: asyncio.Event,
) -> bool:
    """Close connections once they are idle, until none is left or the limit comes.

    Returns:
        Whether none is left, except for heads that do not arrive in full.
    """
    loop = asyncio.get_running_loop()
    ended_listening_at: float | None = None
    partial_head_since: dict[HTTP1ServerConnection, float] = {}
    while loop.time() < deadline and not stop_now.is_set():
        if ended_listening_at is None and not needs_listener():
            _stop_listening(servers)
            ended_listening_at = loop.time()
        now = loop.time()
        open_connections = []
        for server in servers:
            close_idle(server, min_idle_s=MIN_IDLE_S)
            open_connections += [
                (connection, has_partial_head(server, connection))
                for connection in server.waiting_since_by_connection
                if not connection.stream.closed()
            ]
        partial_head_since = {
            connection: partial_head_since.get(connection, now)
            for connection, is_partial in open_connections
            if is_partial
        }
        # Connections that were accepted just before are registered within a pause.
        if (
            ended_listening_at is not None
            and now >= ended_listening_at + DRAIN_PAUSE_S
            and not any(server.request_by_task for server in servers)
            and all(is_partial for _, is_partial in open_connections)
            and all(now >= at + HEAD_TIMEOUT_S for at in partial_head_since.values())
        ):
            return True
        await asyncio.sleep(min(DRAIN_PAUSE_S, max(deadline - now, 0.0)))
    return False


def _stop_listening(servers: Collection[InboundServer]) -> None:
    for server in servers:
        assert server.http is not None
        server.http.stop()


async def _refuse_requests(servers: Collection[InboundServer]) -> int:
    """Interrupt the requests in progress, so that each is refused.

    Requests whose tasks have not started, and those that are read from now on, are
    refused as not run.

    Returns:
        Number of requests that had no complete response.
    """
    for server in servers:
        server.refusing = True
    interrupted = 0
    for server in servers:
        for task, inbound in server.request_by_task.items():
            # A task that is cancelled before its first step never runs.
            if inbound.started and not inbound.awaits_body:
                inbound.at_stop_limit = True
                task.cancel()
                interrupted += 1
    limit = asyncio.get_running_loop().time() + REFUSAL_WRITE_S
    await _finish_requests(servers, limit, lambda: False, asyncio.Event())
    return interrupted


async def _close_connections(server: InboundServer) -> None:
    """Close all connections, and log those that are not idle."""
    for connection in server.waiting_since_by_connection:
        stream = connection.stream
        if stream.closed() or is_idle(server, connection):
            continue
        log_event(
            "connection_cut",
            write=logging.error,
            port=server.port,
            running=server.request_count_by_connection[connection],
            writing=stream.writing(),
            partial_head=has_partial_head(server, connection),
        )
    assert server.http is not None
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await server.http.close_all_connections()
    except TimeoutError:
        log_event("connections_still_open", write=logging.error, port=server.port)
