"""Pool of connections over tornado streams that tracks how long each was idle."""

import socket
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import NamedTuple

from absl import logging
from returns.result import Failure, Result, Success
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 30.0
# A peer or a middlebox may have dropped a connection that was idle for longer. A
# request lost on it may have run, so a non-idempotent one could not be retried.
MAX_IDLE_NON_IDEMPOTENT_S = 2.0
MAX_IDLE_PER_ADDRESS = 64
# Requests whose ids a connection remembers. It is replaced when it has carried as many.
MAX_CARRIED_REQUESTS = 256
# A peer may no longer acknowledge, for example because a middlebox dropped the
# connection. The kernel then closes it after this time, even while a long-running
# request has no response yet.
UNACKNOWLEDGED_S = 4

Address = tuple[str, int]


class ConnectFailure(NamedTuple):
    """A connection could not be opened, so nothing was written.

    Attributes:
        address: Host and port.
        cause: Human-readable cause.
        refused: Whether the peer's VM refused the connection, which means that nothing
            listens on the port.
    """

    address: Address
    cause: str
    refused: bool


class Connection:
    """A connection in use.

    Attributes:
        stream: Underlying stream.
        address: Host and port.
        number: Number of the connection within its pool, for the logs.
        reused: Whether it was taken from the pool, not opened for this use.
        reusable: Whether it may return to the pool; set by its user.
        carried_requests: Ids of the requests that were sent on it.
    """

    def __init__(self, stream: IOStream, address: Address, *, number: int) -> None:
        self.stream = stream
        self.address = address
        self.number = number
        self.reused = False
        self.reusable = False
        self.carried_requests: set[str] = set()

    @property
    def is_exhausted(self) -> bool:
        """Whether it can remember no further request."""
        return len(self.carried_requests) >= MAX_CARRIED_REQUESTS

    def record_request(self, request_id: str) -> None:
        """Remember that a request was sent on it; an empty id is ignored.

        A late copy of the response has the id of the request, so another attempt of the
        same request must not use the connection.
        """
        if request_id:
            self.carried_requests.add(request_id)


class ConnectionPool:
    """Pool of idle connections by address."""

    def __init__(
        self, *, monotonic: Callable[[], float], unacknowledged_s: int
    ) -> None:
        self.monotonic = monotonic
        self.unacknowledged_s = unacknowledged_s
        self.client = TCPClient()
        # Each connection with the time since when it has been idle.
        self.idle_by_address: dict[Address, deque[tuple[Connection, float]]] = {}
        self.closed = False
        self.opened_count = 0

    def take_idle(
        self, address: Address, max_idle_s: float, request_id: str = ""
    ) -> Connection | None:
        """Remove and return the most recently used idle connection to an address.

        Connections that were idle for longer than ``max_idle_s`` are closed, and those
        on which the peer has sent anything since, which the next user would take for
        the response to its own request.

        Args:
            address: Host and port.
            max_idle_s: Maximum idle time, in seconds.
            request_id: Id of the request to be sent, empty if it has none. Connections
                that have carried it stay in the pool.

        Returns:
            The connection, or ``None`` if there is none.
        """
        idle = self.idle_by_address.get(address)
        passed_over: list[tuple[Connection, float]] = []
        found = None
        while idle and found is None:
            connection, since = idle.pop()
            stream = connection.stream
            if stream.closed():
                continue
            if self.monotonic() - since > max_idle_s or _has_unread(stream):
                stream.close()
            elif request_id and request_id in connection.carried_requests:
                passed_over.append((connection, since))
            else:
                stream.set_close_callback(None)
                connection.reused, connection.reusable = True, False
                found = connection
        if idle is not None:
            idle.extend(reversed(passed_over))
        return found

    def put_idle(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it.

        It is closed if the pool is full or closed, if the peer has sent more than the
        response, or if the connection can remember no further request.
        """
        stream, address = connection.stream, connection.address
        idle = self.idle_by_address.get(address, deque())
        is_full = len(idle) >= MAX_IDLE_PER_ADDRESS
        is_spent = is_full or connection.is_exhausted
        if self.closed or is_spent or _has_unread(stream):
            stream.close()
            return
        self.idle_by_address[address] = idle
        # A close callback also makes tornado watch the idle stream for a close by the
        # peer, which it would not notice without a pending read.
        stream.set_close_callback(lambda: self._remove_idle(stream, address))
        idle.append((connection, self.monotonic()))

    def close_idle_connections(self, address: Address) -> int:
        """Close all idle connections to an address.

        Returns:
            Number of closed connections.
        """
        idle = self.idle_by_address.pop(address, deque())
        for connection, _ in idle:
            connection.stream.set_close_callback(None)
            connection.stream.close()
        return len(idle)

    def close(self) -> None:
        """Close all idle connections, and from now on any that is returned."""
        self.closed = True
        for address in list(self.idle_by_address):
            self.close_idle_connections(address)

    def _remove_idle(self, stream: IOStream, address: Address) -> None:
        idle = self.idle_by_address.get(address, deque())
        remaining = deque(entry for entry in idle if entry[0].stream is not stream)
        if remaining:
            self.idle_by_address[address] = remaining
        else:
            self.idle_by_address.pop(address, None)


def make_connection_pool(
    *, monotonic: Callable[[], float], unacknowledged_s: int = UNACKNOWLEDGED_S
) -> ConnectionPool:
    """Build an empty pool.

    Args:
        monotonic: Clock in seconds.
        unacknowledged_s: Time after which the kernel closes a connection whose peer no
            longer acknowledges, in whole seconds, 2 or more.
    """
    return ConnectionPool(monotonic=monotonic, unacknowledged_s=unacknowledged_s)


def _has_unread(stream: IOStream) -> bool:
    """Whether bytes have arrived that nobody has read, or the end of the connection.

    Tornado has no public way to tell what it has buffered.
    """
    if stream._read_buffer_size > 0:
        return True
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError as error:
        # The stream has not noticed yet that its peer has reset the connection.
        logging.debug("an idle connection failed: %s", error)
    return True


def _enable_keepalive(stream: IOStream, unacknowledged_s: int) -> None:
    """Let the kernel close the connection if its peer no longer acknowledges."""
    idle_s = unacknowledged_s // 2
    for option, value in (
        (socket.TCP_USER_TIMEOUT, unacknowledged_s * 1000),
        (socket.TCP_KEEPIDLE, idle_s),
        (socket.TCP_KEEPINTVL, 1),
        (socket.TCP_KEEPCNT, unacknowledged_s - idle_s),
    ):
        stream.socket.setsockopt(socket.IPPROTO_TCP, option, value)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


@asynccontextmanager
async def open_connection(
    pool: ConnectionPool,
    address: Address,
    *,
    max_idle_s: float = MAX_IDLE_S,
    fresh: bool = False,
    request_id: str = "",
    timeout_s: float = CONNECT_TIMEOUT_S,
) -> AsyncIterator[Result[Connection, ConnectFailure]]:
    """Take a connection to an address from the pool, or open one.

    Args:
        pool: The pool.
        address: Host and port.
        max_idle_s: Maximum idle time of a connection from the pool, in seconds.
        fresh: Whether to open a new connection even if one is idle.
        request_id: Id of a request that may be sent to the address more than once. It
            gets no connection on which ``Connection.record_request`` recorded it.
        timeout_s: Timeout for connecting, in seconds.

    Yields:
        The connection, or why none could be opened. The connection returns to the pool
        afterwards if it was marked reusable, and is closed otherwise.
    """
    connection = None if fresh else pool.take_idle(address, max_idle_s, request_id)
    if connection is None:
        try:
            stream = await pool.client.connect(
                address[0], address[1], timeout=timedelta(seconds=timeout_s)
            )
        except TimeoutError:
            yield Failure(ConnectFailure(address, "timeout", False))
            return
        except (OSError, StreamClosedError) as error:
            cause = getattr(error, "real_error", None) or error
            refused = isinstance(cause, ConnectionRefusedError)
            yield Failure(ConnectFailure(address, str(cause), refused))
            return
        if stream.closed():
            cause = stream.error or "closed by the peer"
            yield Failure(ConnectFailure(address, str(cause), False))
            return
        stream.set_nodelay(True)
        _enable_keepalive(stream, pool.unacknowledged_s)
        pool.opened_count += 1
        connection = Connection(stream, address, number=pool.opened_count)
    try:
        yield Success(connection)
    finally:
        if connection.reusable and not connection.stream.closed():
            pool.put_idle(connection)
        else:
            connection.stream.close()
