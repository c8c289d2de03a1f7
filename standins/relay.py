"""TCP relay on loopback, with faults that can be switched while it runs.

``GET /control`` returns the faults of every link, and ``POST /control/LINK`` changes
those that its body names. ``POST /silence/LINK`` stops all data on the currently open
connections for good, while new ones work. ``POST /reset/LINK`` resets the open
connections.

Data in a held direction is delayed, not lost: it arrives in order once the hold ends,
as TCP does after a network partition.
"""

import argparse
import asyncio
import json
import socket
import struct
import time
from contextlib import suppress
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, HTTPError, RequestHandler

CHUNK_BYTES = 65_536
# Chunks in transit in one direction. Beyond these, the relay stops reading until one is
# delivered.
MAX_DELAYED_CHUNKS = 64
HOST = "127.0.0.1"


class Faults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=False):
    """Active faults of one link.

    Attributes:
        hold_to_target: Whether data from the client to the target is held.
        hold_to_client: Whether data from the target to the client is held.
        refuse: Whether new connections are refused.
        delay_s: Delay of each direction, in seconds.
    """

    hold_to_target: bool = False
    hold_to_client: bool = False
    refuse: bool = False
    delay_s: float = 0.0


class _Connection:
    """The two ends of a relayed connection."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self.writers = writers
        self.silent = False


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset (RST) instead of an orderly FIN."""
    end = writer.get_extra_info("socket")
    with suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Link:
    """A listening port and the target to which it relays."""

    def __init__(self, name: str, target: tuple[str, int]) -> None:
        self.name = name
        self.target = target
        self.port = 0
        self.faults = Faults()
        self.changed: asyncio.Event = asyncio.Event()
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, port: int) -> None:
        """Accept connections on a port; 0 for a free one."""
        # Connections of an earlier listener may still use the port.
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, port))
        self._server = await asyncio.start_server(self._accept, sock=listener)
        self.port = listener.getsockname()[1]

    async def update_faults(self, values: dict[str, Any]) -> None:
        """Change faults.

        Args:
            values: New values by field of ``Faults``; others are unchanged.

        Raises:
            msgspec.ValidationError: A field is unknown or a value has the wrong type.
        """
        current = msgspec.to_builtins(self.faults)
        self.faults = msgspec.convert({**current, **values}, Faults)
        if self.faults.refuse and self._server is not None:
            self._server.close()
            self._server = None
        elif not self.faults.refuse and self._server is None:
            await self.listen(self.port)
        self._notify_change()

    def silence_connections(self) -> None:
        """Stop all data on the currently open connections for good."""
        for connection in self.connections:
            connection.silent = True

    def reset_connections(self) -> None:
        """Reset the currently open connections."""
        for connection in list(self.connections):
            for writer in connection.writers:
                _reset(writer)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def _notify_change(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            opened = await asyncio.open_connection(*self.target)
        except OSError:
            _reset(writer)
            return
        connection = _Connection((writer, opened[1]))
        self.connections.add(connection)
        try:
            async with asyncio.TaskGroup() as tasks:
                pump = self._pump(connection, reader, opened[1], "hold_to_target")
                tasks.create_task(pump)
                pump = self._pump(connection, opened[0], writer, "hold_to_client")
                tasks.create_task(pump)
        except* (OSError, EOFError):
            for end in connection.writers:
                _reset(end)
        finally:
            self.connections.discard(connection)
            for end in connection.writers:
                end.close()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hold: str,
    ) -> None:
        """Relay one direction to its end, with the current delay and hold.

        Args:
            connection: The connection, which may become silent.
            reader: Where the data comes from.
            writer: Where it goes.
            hold: Field of ``Faults`` that holds this direction.
        """
        delayed: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_DELAYED_CHUNKS)

        async def deliver() -> None:
            while True:
                due, chunk = await delayed.get()
                await asyncio.sleep(max(due - time.monotonic(), 0.0))
                while connection.silent or getattr(self.faults, hold):
                    await self.changed.wait()
                if not chunk:
                    with suppress(OSError):
                        writer.write_eof()
                    return
                writer.write(chunk)
                await writer.drain()

        async def read() -> None:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                await delayed.put((time.monotonic() + self.faults.delay_s, chunk))
                if not chunk:
                    return

        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(deliver())
            tasks.create_task(read())


class _ControlHandler(RequestHandler):
    def initialize(self, link_by_name: dict[str, Link]) -> None:
        self.link_by_name = link_by_name

    def _link(self, name: str) -> Link:
        link = self.link_by_name.get(name)
        if link is None:
            raise HTTPError(404, "no link %s", name)
        return link

    def get(self, action: str, name: str | None) -> None:
        self.write(
            {
                link.name: {
                    "port": link.port,
                    "connections": len(link.connections),
                    **msgspec.to_builtins(link.faults),
                }
                for link in self.link_by_name.values()
            }
        )

    async def post(self, action: str, name: str | None) -> None:
        link = self._link(name or "")
        if action == "silence":
            link.silence_connections()
        elif action == "reset":
            link.reset_connections()
        else:
            try:
                await link.update_faults(json.loads(self.request.body or b"{}"))
            except (ValueError, TypeError) as error:
                self.set_status(400)
                self.write({"error": str(error)})
                return
        self.write(msgspec.to_builtins(link.faults))


def make_control(links: list[Link]) -> Application:
    """Build the application that switches the faults of links."""
    options = {"link_by_name": {link.name: link for link in links}}
    return Application(
        [(r"/(control|silence|reset)(?:/([\w.-]+))?", _ControlHandler, options)]
    )


def parse_link(text: str) -> tuple[str, int, tuple[str, int]]:
    """Parse ``NAME=PORT:HOST:PORT`` into name, listening port and target.

    Raises:
        argparse.ArgumentTypeError: The text has another form.
    """
    try:
        name, _, rest = text.partition("=")
        port, host, target_port = rest.split(":")
        return name, int(port), (host, int(target_port))
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"not NAME=PORT:HOST:PORT: {text}") from error


async def serve(
    links: list[tuple[str, int, tuple[str, int]]], *, control_port: int
) -> None:
    """Print the ports as one line of JSON and relay until cancelled.

    Args:
        links: Name, listening port and target of each link.
        control_port: Port of the control application; 0 for a free one.
    """
    opened = []
    for name, port, target in links:
        link = Link(name, target)
        await link.listen(port)
        opened.append(link)
    server = HTTPServer(make_control(opened))
    sockets = bind_sockets(control_port, HOST)
    server.add_sockets(sockets)
    ports = {link.name: link.port for link in opened}
    control = sockets[0].getsockname()[1]
    print(json.dumps({"control": control, "links": ports}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the relay from the command line."""
    parser = argparse.ArgumentParser(prog="standins.relay", description=__doc__)
    parser.add_argument(
        "--link",
        type=parse_link,
        action="append",
        required=True,
        help="NAME=PORT:HOST:PORT; PORT may be 0 for a free one; may be repeated",
    )
    parser.add_argument("--control-port", type=int, default=0)
    arguments = parser.parse_args()
    with suppress(KeyboardInterrupt):
        asyncio.run(serve(arguments.link, control_port=arguments.control_port))


if __name__ == "__main__":
    main()
