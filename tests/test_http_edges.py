"""Unusual and invalid HTTP messages on the caller port, sent as raw bytes."""

import json
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress

import pytest
import testtools
from testtools.matchers import Contains, Equals, LessThan, Not, StartsWith

from bench.fleet import (
    ADMIN_PORT,
    CALLER_PORT,
    PEER_PORT,
    TOKEN,
    Fleet,
    NodeSpec,
    TargetSpec,
    call,
    open_fleet,
    wait_until,
)
from bench.hops import resident_mb
from tests.fleet_load import POOLS, ROUTES, TARGET_PORT

pytestmark = pytest.mark.processes

LIMITS = "[limits]\nheader_bytes = 8192\nbody_bytes = 100000\ncaller_connections = 20\n"


RAW_POOL = "[raw]\nservice = raw\n"
RAW_ROUTE = (
    "[raw]\npath_prefix = /raw\npool = raw\ntimeout_s = 5\nidempotent = yes\n"
    "retries = 0\n"
)


# The stand-in target takes seconds to build a large response on a busy machine.
DOWNLOAD_ROUTE = (
    "[download]\npath_prefix = /download\nmethods = GET\npool = work\n"
    "timeout_s = 120\nidempotent = yes\n"
)


@contextmanager
def _raw_target(fleet: Fleet, answer: bytes, *, pause_s: float = 0.0) -> Iterator[None]:
    """Run a target that sends fixed bytes in response to any request, then closes."""
    with socket.create_server((fleet.host(1), 0)) as listening:

        def serve() -> None:
            with suppress(OSError):
                while True:
                    connection, _ = listening.accept()
                    with connection:
                        connection.recv(65536)
                        connection.sendall(answer)
                        time.sleep(pause_s)

        threading.Thread(target=serve, daemon=True).start()
        message = {
            "target": f"raw-{listening.getsockname()[1]}",
            "service": "raw",
            "host": fleet.host(1),
            "port": listening.getsockname()[1],
            "slots": 4,
            "incarnation": 1,
            "epoch": 1,
            "state": "ready",
        }
        headers = {"Authorization": f"Bearer {TOKEN}"}

        def announce(state: str) -> None:
            body = json.dumps(message | {"state": state}).encode()
            call(
                fleet.host(1),
                PEER_PORT,
                "POST",
                "/announce",
                body=body,
                headers=headers,
            )

        announce("ready")
        wait_until(
            lambda: any(
                target["target"] == message["target"]
                for target in fleet.admin(2, "/targets")
            ),
            "node-2 knows the raw target",
        )
        try:
            yield
        finally:
            announce("leaving")


class HttpEdgesTest(testtools.TestCase):
    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        manager = open_fleet()
        cls.fleet = manager.__enter__()
        cls.addClassCleanup(manager.__exit__, None, None, None)
        cls.fleet.start_log()
        for number in (1, 2):
            node = NodeSpec(number, f"domain-{number}")
            cls.fleet.start_node(node, seeds=(1, 2), extra_sections=LIMITS)
        target = TargetSpec("work-1", "work", 4, 1)
        cls.fleet.start_target(target, port=TARGET_PORT)
        cls.fleet.wait_joined(targets=1)
        cls.fleet.publish_tables(
            pools=POOLS.replace("= 4\n", "= 0\n", 1) + RAW_POOL,
            routes=ROUTES + RAW_ROUTE + "\n" + DOWNLOAD_ROUTE,
        )

    def _raw(self, data: bytes, *, node: int = 2) -> bytes:
        """Send bytes and return all that is received until the connection closes."""
        address = (self.fleet.host(node), CALLER_PORT)
        received = b""
        with socket.create_connection(address, timeout=2.0) as connection:
            connection.sendall(data)
            with suppress(TimeoutError, ConnectionResetError):
                while chunk := connection.recv(65536):
                    received += chunk
        return received

    def _set_faults(self, body: bytes) -> None:
        reply = call(
            self.fleet.host(1), TARGET_PORT, "POST", "/control/faults", body=body
        )
        self.assertThat(reply.status, Equals(200))

    def test_content_length_with_chunked_body_is_refused(self) -> None:
        """Guards against request smuggling by two conflicting framings."""
        answer = self._raw(
            b"POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read HTTP/1.1\r\n"
            b"Host: x\r\n\r\n"
        )
        self.assertThat(answer, Not(Contains(b" 200 ")))

    def test_bad_chunk_size_is_refused(self) -> None:
        """Guards against a chunk size that the next server parses differently."""
        for size in (b"0x5", b"+5", b"5 ", b"-5", b"zz"):
            answer = self._raw(
                b"POST /book HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                b"\r\n" + size + b"\r\nhello\r\n0\r\n\r\n"
            )
            self.assertThat(answer, Not(Contains(b" 200 ")), size)

    def test_conflicting_lengths_are_refused(self) -> None:
        """Guards against request smuggling by two different Content-Length headers."""
        answer = self._raw(
            b"POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
            b"Content-Length: 6\r\n\r\nhello!"
        )
        self.assertThat(answer, Not(Contains(b" 200 ")))

    def test_folded_header_is_refused(self) -> None:
        """Guards against a header that the next server parses differently."""
        answer = self._raw(
            b"GET /read HTTP/1.1\r\nHost: x\r\nX-Account: a\r\n b\r\n\r\n"
        )
        self.assertThat(answer, Not(Contains(b" 200 ")))

    def test_too_large_head_gets_431(self) -> None:
        """Guards against a head above the limit that gets no response."""
        pad = b"a" * 9000
        answer = self._raw(
            b"GET /read HTTP/1.1\r\nHost: x\r\nX-Pad: " + pad + b"\r\n\r\n"
        )
        self.assertThat(answer, StartsWith(b"HTTP/1.1 431"))

    def test_too_large_body_gets_413(self) -> None:
        """Guards against bodies above the limit, with a length or chunked."""
        answer = self._raw(
            b"POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n"
        )
        self.assertThat(answer, StartsWith(b"HTTP/1.1 413"))
        chunk = b"1000\r\n" + b"a" * 4096 + b"\r\n"
        answer = self._raw(
            b"POST /book HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk * 30
            + b"0\r\n\r\n"
        )
        self.assertThat(answer, StartsWith(b"HTTP/1.1 413"))

    def test_connections_above_the_limit_are_closed_and_counted(self) -> None:
        """Guards against a node that runs out of file descriptors."""
        address = (self.fleet.host(2), CALLER_PORT)
        request = b"GET /read?bytes=10 HTTP/1.1\r\nHost: x\r\n\r\n"
        with ExitStack() as stack:
            answered = 0
            for _ in range(22):
                connection = socket.create_connection(address, timeout=5.0)
                stack.enter_context(connection)
                connection.sendall(request)
                with suppress(ConnectionResetError):
                    answered += bool(connection.recv(1000))
        self.assertThat(answered, Equals(20))
        metrics = call(self.fleet.host(2), ADMIN_PORT, "GET", "/metrics").body
        self.assertThat(metrics, Contains(b'limit="connections"'))

    def test_chunked_body_reaches_the_target_whole(self) -> None:
        """Guards against a body that is lost when it is framed anew."""
        answer = self._raw(
            b"POST /book?bytes=10 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
        )
        reference = self.fleet.request(1, "POST", "/book?bytes=10", body=b"hello world")
        digest = reference.headers["X-Body-Digest"].encode()
        self.assertThat(answer, Contains(digest))

    def test_expect_100_continue(self) -> None:
        """Guards against a caller that waits in vain for the 100 response."""
        address = (self.fleet.host(2), CALLER_PORT)
        with socket.create_connection(address, timeout=5.0) as connection:
            connection.sendall(
                b"POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                b"Expect: 100-continue\r\nConnection: close\r\n\r\n"
            )
            self.assertThat(connection.recv(100), StartsWith(b"HTTP/1.1 100"))
            connection.sendall(b"hello")
            received = b""
            while chunk := connection.recv(65536):
                received += chunk
        self.assertThat(received, StartsWith(b"HTTP/1.1 200"))

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Guards against responses to pipelined requests sent in another order."""
        requests = b"".join(
            b"GET /read?bytes=40&ms=%d HTTP/1.1\r\nHost: x\r\nX-Request-Id: id-%d\r\n"
            b"%s\r\n" % (30 - 10 * n, n, b"Connection: close\r\n" if n == 2 else b"")
            for n in range(3)
        )
        answer = self._raw(requests)
        positions = [answer.index(b"id-%d;" % n) for n in range(3)]
        self.assertThat(positions, Equals(sorted(positions)))

    def test_cut_answer_closes_the_connection(self) -> None:
        """Guards against a truncated response that looks complete to the caller."""
        self._set_faults(b'{"cut_ratio": 1.0}')
        try:
            answer = self._raw(b"GET /read?bytes=50000 HTTP/1.1\r\nHost: x\r\n\r\n")
        finally:
            self._set_faults(b'{"cut_ratio": 0.0}')
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertThat(head, StartsWith(b"HTTP/1.1 200"))
        self.assertThat(head, Contains(b"Content-Length: 50000"))
        self.assertThat(len(body), LessThan(50000))

    def test_cut_chunked_answer_has_no_last_chunk(self) -> None:
        """Guards against a truncated response that ends like a complete one."""
        cut = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
        for node in (1, 2):
            with _raw_target(self.fleet, cut, pause_s=0.3):
                answer = self._raw(b"GET /raw/1 HTTP/1.1\r\nHost: x\r\n\r\n", node=node)
            self.assertThat(answer, Contains(b"hello"))
            self.assertThat(answer, Not(Contains(b"\r\n0\r\n")))

    def test_answer_cut_before_it_was_forwarded_is_refused(self) -> None:
        """Guards against a closed connection where a refusal can still be sent."""
        cut = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"
        for node in (1, 2):
            with _raw_target(self.fleet, cut):
                answer = self._raw(b"GET /raw/2 HTTP/1.1\r\nHost: x\r\n\r\n", node=node)
            self.assertThat(answer, StartsWith(b"HTTP/1.1 502"))
            self.assertThat(answer, Not(Contains(b"not-run")))

    def test_answer_without_length_is_not_forwarded(self) -> None:
        """Guards against a response whose truncation would go unnoticed."""
        with _raw_target(self.fleet, b"HTTP/1.1 200 OK\r\n\r\nhello"):
            answer = self._raw(b"GET /raw/3 HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertThat(answer, StartsWith(b"HTTP/1.1 502"))
        self.assertThat(answer, Contains(b"may-have-run"))

    def test_malformed_answer_is_not_forwarded(self) -> None:
        """Guards against response splitting by two conflicting framings."""
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
        )
        with _raw_target(self.fleet, answer):
            received = self._raw(b"GET /raw/4 HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertThat(received, StartsWith(b"HTTP/1.1 502"))

    def test_large_download_does_not_grow_memory(self) -> None:
        """Guards against responses that are buffered in full for a slow caller."""
        before_mb = resident_mb(self.fleet, "node-2")
        size = 200_000_000
        address = (self.fleet.host(2), CALLER_PORT)
        with socket.create_connection(address, timeout=120.0) as connection:
            connection.sendall(
                b"GET /download?bytes=%d HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n" % size
            )
            received = 0
            while chunk := connection.recv(1 << 20):
                received += len(chunk)
        self.assertThat(received - size, LessThan(2000))
        self.assertThat(received >= size, Equals(True))
        self.assertThat(resident_mb(self.fleet, "node-2") - before_mb, LessThan(8.0))
