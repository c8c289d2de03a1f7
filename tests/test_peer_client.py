"""Calls to peers against a server on the loopback interface."""

import asyncio
import time

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, IsInstance
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from siskinlug.connections import Address, make_connection_pool
from siskinlug.peer_client import PeerClient, call_peer, make_peer_client

TOKEN = "0123456789abcdef"


class _Echo(RequestHandler):
    def post(self) -> None:
        if self.request.headers["Authorization"] != f"Bearer {TOKEN}":
            self.set_status(401)
            return
        self.write(self.request.body)


class _Silent(RequestHandler):
    async def post(self) -> None:
        await asyncio.Event().wait()


class _Closing(RequestHandler):
    """Responds to the first request of a connection and closes it on the second."""

    def post(self) -> None:
        connection = self.request.connection
        if getattr(connection.context, "served", False):
            connection.stream.close()
            return
        connection.context.served = True
        self.write(self.request.body)


def _serve() -> tuple[HTTPServer, Address]:
    application = Application(
        [("/echo", _Echo), ("/silent", _Silent), ("/closing", _Closing)]
    )
    server = HTTPServer(application)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    return server, ("127.0.0.1", sockets[0].getsockname()[1])


def _client(token: str = TOKEN) -> PeerClient:
    return make_peer_client(make_connection_pool(monotonic=time.monotonic), token=token)


class CallPeerTest(testtools.TestCase):
    def test_answers_share_one_connection_and_are_counted(self) -> None:
        """Guards against a new connection per call, and against uncounted bytes."""

        async def run() -> None:
            _server, address = _serve()
            client = _client()
            for number in range(3):
                result = await call_peer(client, address, "/echo", [number], list[int])
                self.assertThat(result, Equals(Success([number])))
            self.assertThat(len(client.pool.idle_by_address[address]), Equals(1))
            self.assertTrue(client.traffic.sent_by_kind["/echo"] > 3 * 100)
            self.assertTrue(client.traffic.received_by_kind["/echo"] > 3 * 50)

        asyncio.run(run())

    def test_failures_say_whether_the_message_may_have_arrived(self) -> None:
        """Guards against a failure that misreports whether the message was sent."""

        async def run() -> None:
            server, address = _serve()
            client = _client()
            silent = await call_peer(
                client, address, "/silent", [], list[int], timeout_s=0.05
            )
            self.assertThat(silent, IsInstance(Failure))
            self.assertThat(silent.failure().cause, Equals("timeout"))
            self.assertTrue(silent.failure().written)
            shape = await call_peer(client, address, "/echo", ["a"], list[int])
            self.assertThat(shape.failure().cause, Equals("malformed"))
            token = await call_peer(_client("x" * 16), address, "/echo", [], list[int])
            self.assertThat(token.failure().status, Equals(401))
            server.stop()
            closed = await call_peer(_client(), address, "/echo", [], list[int])
            self.assertThat(closed.failure().cause, Equals("unreachable"))
            self.assertFalse(closed.failure().written)

        asyncio.run(run())

    def test_closed_idle_connection_is_replaced_only_if_idempotent(self) -> None:
        """Guards against a live peer taken for lost, and against a repeated message."""

        async def run() -> None:
            _server, address = _serve()
            client = _client()
            for _ in range(2):
                result = await call_peer(client, address, "/closing", [1], list[int])
                self.assertThat(result, Equals(Success([1])))
            result = await call_peer(
                client, address, "/closing", [1], list[int], idempotent=False
            )
            self.assertThat(result.failure().cause, Equals("reset"))

        asyncio.run(run())
