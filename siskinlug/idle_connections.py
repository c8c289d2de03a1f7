"""Idle connections of a server: which they are, and when they may be closed."""

import asyncio
import socket
from collections.abc import Iterable

from absl import logging
from tornado.http1connection import HTTP1ServerConnection

from siskinlug.inbound import InboundServer
from siskinlug.logs import log_event

SWEEP_INTERVAL_S = 5.0


def is_idle(server: InboundServer, connection: HTTP1ServerConnection) -> bool:
    """Whether a connection waits for a request of which nothing has arrived.

    A request may have been read by the codec without having been handed over, and a
    response may be complete for its request but not sent in full.

    Args:
        server: The server.
        connection: One of its connections, which is open.
    """
    stream = connection.stream
    return (
        connection not in server.request_count_by_connection
        # The codec has no pending read while it holds a head that it has not reported.
        and stream.reading()
        and not stream.writing()
        and not _has_input(connection)
    )


def has_partial_head(server: InboundServer, connection: HTTP1ServerConnection) -> bool:
    """Whether the codec has read a part of the next request's head and waits for more.

    Args:
        server: The server.
        connection: One of its connections, which is open.
    """
    return (
        connection not in server.request_count_by_connection
        and connection.stream.reading()
        and connection.stream._read_buffer_size > 0
    )


def _has_input(connection: HTTP1ServerConnection) -> bool:
    """Whether any byte, an end of stream or an error has arrived and is unread."""
    stream = connection.stream
    # Tornado has no public way to tell what it has buffered.
    if stream._read_buffer_size > 0:
        return True
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError as error:
        log_event("peek_failed", write=logging.debug, problem=str(error))
    return True


def close_idle(server: InboundServer, *, min_idle_s: float = 0.0) -> None:
    """Close the idle connections of a server.

    Args:
        server: The server.
        min_idle_s: Time since a connection was opened, or since its last response,
            before which it is not closed, in seconds.
    """
    idle_since = asyncio.get_running_loop().time() - min_idle_s
    for connection, since in list(server.waiting_since_by_connection.items()):
        if connection.stream.closed():
            server.waiting_since_by_connection.pop(connection, None)
        elif since <= idle_since and is_idle(server, connection):
            _close(server, connection)


def close_expired(server: InboundServer, now: float) -> None:
    """Close connections that were idle, or sent an incomplete head, for too long.

    Args:
        server: The server.
        now: Time of the event loop's clock, in seconds.
    """
    idle_s, head_s = server.limits.idle_timeout_s, server.limits.body_timeout_s
    partial_head_since: dict[HTTP1ServerConnection, float] = {}
    for connection, since in list(server.waiting_since_by_connection.items()):
        if connection.stream.closed():
            server.waiting_since_by_connection.pop(connection, None)
        elif has_partial_head(server, connection):
            first_seen = server.partial_head_since_by_connection.get(connection, now)
            partial_head_since[connection] = first_seen
            if now - first_seen > head_s:
                server.on_limit("head_timeout")
                _close(server, connection)
        elif now - since > idle_s and is_idle(server, connection):
            _close(server, connection)
    server.partial_head_since_by_connection = partial_head_since


def _close(server: InboundServer, connection: HTTP1ServerConnection) -> None:
    connection.stream.close()
    server.waiting_since_by_connection.pop(connection, None)


async def run_idle_sweep(servers: Iterable[InboundServer]) -> None:
    """Close expired connections of some servers at intervals, until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        for server in servers:
            close_expired(server, loop.time())
