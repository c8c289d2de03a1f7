"""Connection pool over tornado streams, with the age of each connection known."""

import socket
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 30.0
# A peer or something between may have forgotten a connection that was idle for
# longer, and a request lost on it would have to count as possibly run.
MAX_IDLE_NON_IDEMPOTENT_S = 2.0
MAX_IDLE_PER_ADDRESS = 64
# A connection that something between the ends has lost track of acknowledges nothing.
# It ends about 4 s after that, also while it waits for the answer to long work.
_TCP_OPTIONS = (
    (socket.TCP_USER_TIMEOUT, 4000),
    (socket.TCP_KEEPIDLE, 2),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)

Address = tuple[str, int]


class ConnectFailure(NamedTuple):
    """No connection could be opened; nothing was written.

    Attributes:
        address: Host and port.
        cause: What happened, for a person.
        refused: Whether the peer's VM answered that nothing listens there.
    """

    address: Address
    cause: str
    refused: bool


class Connection:
    """A connection in use; ``reusable`` must be set before it is kept."""

    def __init__(self, stream: IOStream, address: Address, *, reused: bool) -> None:
        self.stream = stream
        self.address = address
        self.reused = reused
        self.reusable = False


class ConnectionPool:
    """Idle connections by address."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.client = TCPClient()
        self.idle_by_address: dict[Address, deque[tuple[IOStream, float]]] = {}
        self.closed = False

    def take_idle(self, address: Address, max_idle_s: float) -> IOStream | None:
        """Return the most recently used idle stream that is young enough."""
        idle = self.idle_by_address.get(address)
        while idle:
            stream, since = idle.pop()
            if stream.closed():
                continue
            if self.monotonic() - since <= max_idle_s:
                stream.set_close_callback(None)
                return stream
            stream.close()
        return None

    def keep(self, stream: IOStream, address: Address) -> None:
        """Keep an idle stream, or close it beyond the bound."""
        idle = self.idle_by_address.setdefault(address, deque())
        if self.closed or len(idle) >= MAX_IDLE_PER_ADDRESS:
            stream.close()
            return
        # Without a pending read a close by the peer would go unnoticed.
        stream.set_close_callback(lambda: self._forget(stream, address))
        idle.append((stream, self.monotonic()))

    def close_idle_connections(self, address: Address) -> int:
        """Close all idle connections to an address and return how many."""
        idle = self.idle_by_address.pop(address, deque())
        for stream, _ in idle:
            stream.set_close_callback(None)
            stream.close()
        return len(idle)

    def close(self) -> None:
        """Close all idle connections and keep none from now on."""
        self.closed = True
        for address in list(self.idle_by_address):
            self.close_idle_connections(address)

    def _forget(self, stream: IOStream, address: Address) -> None:
        idle = self.idle_by_address.get(address, deque())
        remaining = deque(entry for entry in idle if entry[0] is not stream)
        if remaining:
            self.idle_by_address[address] = remaining
        else:
            self.idle_by_address.pop(address, None)


def make_connection_pool(*, monotonic: Callable[[], float]) -> ConnectionPool:
    """Build an empty pool."""
    return ConnectionPool(monotonic=monotonic)


def _watch_peer(stream: IOStream) -> None:
    """Have the kernel end a connection whose peer no longer acknowledges."""
    for option, value in _TCP_OPTIONS:
        stream.socket.setsockopt(socket.IPPROTO_TCP, option, value)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


@asynccontextmanager
async def open_connection(
    pool: ConnectionPool,
    address: Address,
    *,
    max_idle_s: float = MAX_IDLE_S,
    fresh: bool = False,
    timeout_s: float = CONNECT_TIMEOUT_S,
) -> AsyncIterator[Result[Connection, ConnectFailure]]:
    """Lease a connection to an address.

    Args:
        pool: The pool.
        address: Host and port.
        max_idle_s: Oldest idle connection taken, in seconds.
        fresh: Open a new connection even if one is idle.
        timeout_s: Time to connect, in seconds.

    Yields:
        The connection, kept afterwards only if it was marked reusable, or why none
        could be opened.
    """
    stream = None if fresh else pool.take_idle(address, max_idle_s)
    reused = stream is not None
    if stream is None:
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
        stream.set_nodelay(True)
        _watch_peer(stream)
    connection = Connection(stream, address, reused=reused)
    try:
        yield Success(connection)
    finally:
        if connection.reusable and not stream.closed():
            pool.keep(stream, address)
        else:
            stream.close()
