"""Framing of requests to targets, on loopback."""

import asyncio

import testtools
from testtools.matchers import Equals
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyStream
from siskinlug.connections import make_connection_pool, open_connection
from siskinlug.exchange import RequestHead, exchange

HANG_S = 20.0
BODY = b"GET /smuggled HTTP/1.1\r\n\r\n" * 100


async def _send(method: str, *, content_length: bool) -> tuple[str, bytes]:
    """Send a complete body that is not retained; return how it was framed and read."""
    read: asyncio.Future[tuple[str, bytes]] = asyncio.get_running_loop().create_future()

    ended = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        headers = HTTPHeaders.parse(head.partition("\r\n")[2])
        if "Content-Length" in headers:
            body = await reader.readexactly(int(headers["Content-Length"]))
            read.set_result(("length", body))
        elif headers.get("Transfer-Encoding") == "chunked":
            body = b""
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            read.set_result(("chunked", body))
        else:
            read.set_result(("none", b""))
        writer.write(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
        writer.close()
        await writer.wait_closed()
        ended.set()

    body = BodyStream(replay_bytes=10)
    body.feed(BODY)
    body.finish()
    headers = HTTPHeaders({"Host": "x"})
    if content_length:
        headers["Content-Length"] = str(len(BODY))
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    pool = make_connection_pool(monotonic=asyncio.get_running_loop().time)
    async with server, asyncio.timeout(HANG_S):
        address = server.sockets[0].getsockname()
        async with (
            open_connection(pool, address) as connected,
            exchange(
                connected.unwrap(),
                RequestHead(method, "/", headers),
                body,
                first_byte_timeout_s=HANG_S,
            ),
        ):
            result = await read
        await ended.wait()
        return result


class RequestFramingTest(testtools.TestCase):
    def test_body_that_arrived_in_full_has_a_length(self) -> None:
        """Guards against a body that the target reads as its next request.

        The codec sends chunks only with POST, PUT and PATCH.
        """
        for method in ("GET", "DELETE", "OPTIONS", "POST", "PUT", "PATCH"):
            for content_length in (False, True):
                framing, body = asyncio.run(
                    _send(method, content_length=content_length)
                )
                self.assertThat((framing, body == BODY), Equals(("length", True)))
