"""Stand-in for the platform's log service, with faults that tests can switch on.

``POST /streams/NAME/records`` appends the JSON body and returns ``{"offset": n}``.
``GET /streams/NAME/records?from=N&limit=M`` returns ``first`` (the oldest retained
offset), ``next`` (the offset of the next append) and ``records``. Status 503 means
that the request had no effect. ``GET /control`` returns the ``Faults`` and counters;
``POST /control`` changes the faults that its body names.
"""

import argparse
import asyncio
import json
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

MAX_RECORD_BYTES = 4 * 1024 * 1024
MAX_PAGE = 1000


class Faults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=False):
    """Active faults and retention limits.

    Attributes:
        down: ``no``, ``refuse`` (status 503), ``reset`` (connection closed) or
            ``silent`` (no response).
        slow_s: Delay before each request takes effect, in seconds.
        lose_answers: Number of further appends that take effect but get no response;
            -1 for all.
        retain_s: Age after which a record is dropped, in seconds; 0 keeps all.
        retain_records: Number of records kept in each stream; 0 keeps all.
    """

    down: str = "no"
    slow_s: float = 0.0
    lose_answers: int = 0
    retain_s: float = 0.0
    retain_records: int = 0


class _Entry(NamedTuple):
    appended_at: float
    record: Any


class Stream:
    """Retained records of one stream; offsets are never reused."""

    def __init__(self) -> None:
        self.entries: deque[_Entry] = deque()
        self.first = 0

    @property
    def next(self) -> int:
        """The offset of the next append."""
        return self.first + len(self.entries)

    def trim(self, now: float, faults: Faults) -> None:
        """Drop records that exceed the retention limits.

        Args:
            now: Time of the service's monotonic clock, in seconds.
            faults: Holds the retention limits.
        """
        while self.entries and (
            0 < faults.retain_records < len(self.entries)
            or 0 < faults.retain_s < now - self.entries[0].appended_at
        ):
            self.entries.popleft()
            self.first += 1


class LogState:
    """All streams of one log service, kept in memory."""

    def __init__(self, *, monotonic: Callable[[], float] = time.monotonic) -> None:
        self.monotonic = monotonic
        self.faults = Faults()
        self.stream_by_name: dict[str, Stream] = {}
        self.appends = 0
        self.reads = 0

    def stream(self, name: str) -> Stream:
        """Return a stream after trimming it; a new one is created."""
        stream = self.stream_by_name.setdefault(name, Stream())
        stream.trim(self.monotonic(), self.faults)
        return stream

    def append(self, name: str, record: Any) -> int:
        """Append a record and return its offset."""
        stream = self.stream(name)
        offset = stream.next
        stream.entries.append(_Entry(self.monotonic(), record))
        stream.trim(self.monotonic(), self.faults)
        self.appends += 1
        return offset

    def read(self, name: str, start: int, limit: int) -> dict[str, Any]:
        """Return up to ``limit`` retained records from offset ``start`` on."""
        stream = self.stream(name)
        self.reads += 1
        begin = max(start, stream.first)
        offsets = range(begin, min(begin + limit, stream.next))
        return {
            "first": stream.first,
            "next": stream.next,
            "records": [
                {"offset": o, "record": stream.entries[o - stream.first].record}
                for o in offsets
            ],
        }


class _RecordsHandler(RequestHandler):
    def initialize(self, state: LogState) -> None:
        self.state = state

    async def prepare(self) -> None:
        faults = self.state.faults
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        # Read the faults again: they may have changed during the delay.
        down = self.state.faults.down
        if down == "refuse":
            self.set_status(503)
            self.finish({"problem": "the log service is down"})
        elif down == "reset":
            _close_connection(self)
        elif down == "silent":
            while self.state.faults.down == "silent":
                await asyncio.sleep(0.05)
            _close_connection(self)

    def get(self, name: str) -> None:
        try:
            start = int(self.get_query_argument("from", "0"))
            limit = int(self.get_query_argument("limit", "100"))
        except ValueError:
            self.set_status(400)
            self.finish({"problem": "from and limit are whole numbers"})
            return
        limit = min(max(limit, 1), MAX_PAGE)
        self.finish(self.state.read(name, start, limit))

    def post(self, name: str) -> None:
        try:
            record = json.loads(self.request.body)
        except ValueError:
            self.set_status(400)
            self.finish({"problem": "the record is not JSON"})
            return
        offset = self.state.append(name, record)
        faults = self.state.faults
        if faults.lose_answers:
            faults.lose_answers -= faults.lose_answers > 0
            _close_connection(self)
            return
        self.finish({"offset": offset})


class _ControlHandler(RequestHandler):
    def initialize(self, state: LogState) -> None:
        self.state = state

    def get(self) -> None:
        self._answer()

    def post(self) -> None:
        held = msgspec.to_builtins(self.state.faults)
        try:
            changes = json.loads(self.request.body)
            self.state.faults = msgspec.convert({**held, **changes}, Faults)
        except (ValueError, TypeError) as error:
            self.set_status(400)
            self.finish({"problem": str(error)})
            return
        self._answer()

    def _answer(self) -> None:
        state = self.state
        self.finish(
            {
                **msgspec.to_builtins(state.faults),
                "appends": state.appends,
                "reads": state.reads,
                "next": {n: s.next for n, s in state.stream_by_name.items()},
            }
        )


def _close_connection(handler: RequestHandler) -> None:
    """Close the connection without a response."""
    handler._finished = True
    if handler.request.connection is not None:
        handler.request.connection.stream.close()  # type: ignore[attr-defined]


def make_app(state: LogState) -> Application:
    """Build the service's web application."""
    return Application(
        [
            (r"/streams/([A-Za-z0-9._-]+)/records", _RecordsHandler, {"state": state}),
            (r"/control", _ControlHandler, {"state": state}),
        ]
    )


def serve(
    state: LogState, *, port: int = 0, host: str = "127.0.0.1"
) -> tuple[HTTPServer, int]:
    """Start the service in the running event loop.

    Args:
        state: Streams and faults of the service.
        port: Port to listen on; 0 for a free one.
        host: Address to listen on.

    Returns:
        The server, which the caller must stop, and its port.
    """
    sockets = bind_sockets(port, host)
    server = HTTPServer(make_app(state), max_body_size=MAX_RECORD_BYTES)
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


async def _run(host: str, port: int) -> None:
    _, bound = serve(LogState(), port=port, host=host)
    print(f"log service on http://{host}:{bound}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the service from the command line until it is interrupted."""
    parser = argparse.ArgumentParser(description="Stand-in for the log service.")
    parser.add_argument("--host", default="127.0.0.1", help="address to listen on")
    parser.add_argument(
        "--port", type=int, required=True, help="port to listen on; 0 for a free one"
    )
    arguments = parser.parse_args()
    asyncio.run(_run(arguments.host, arguments.port))


if __name__ == "__main__":
    main()
