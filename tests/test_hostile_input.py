"""Arbitrary bytes at every parser that faces a socket: no crash, a clear error."""

import asyncio
import math

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Contains, Equals, Is
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyStream
from siskinlug.clock import HybridClock, Timestamp, observe_time_header
from siskinlug.exchange import RequestHead
from siskinlug.inbound import InboundLimits, head_refusal
from siskinlug.load import decode_load
from siskinlug.load_poll import make_polls
from siskinlug.messages import Gossip, SyncAnswer, SyncRequest, decode
from siskinlug.peer_server import parse_attempt_headers
from siskinlug.tables import parse_tables
from siskinlug.target_signals import parse_limit
from siskinlug.verdict import Reason

# Longer than the number of digits that Python converts to an integer.
MANY_DIGITS = "9" * 5000
LIMITS = InboundLimits(8192, 1 << 20, 1 << 16, 60.0, 60.0, 10)
ATTEMPT_HEADERS = {
    "Siskinlug-Attempt": "a",
    "Siskinlug-Target": "t",
    "Siskinlug-Route": "r",
    "Siskinlug-Account": "",
    "Siskinlug-Priority": "1",
    "Siskinlug-Work": "short",
    "Siskinlug-Idempotent": "yes",
    "Siskinlug-Deadline-Ms": "1000",
    "Siskinlug-Fingerprint": "f",
}
NUMBERS = (
    "Siskinlug-Priority",
    "Siskinlug-Deadline-Ms",
    "Siskinlug-Baseline-Ms",
    "Siskinlug-Usual-Ms",
    "Siskinlug-Least-Sound",
    "Siskinlug-Wait-Limit-Ms",
    "Siskinlug-Due-Ms",
    "Siskinlug-Known-Limit",
)
# Text as it may stand in a header, and numbers at the edges of what can be computed.
VALUES = st.text(st.characters(codec="latin-1"), max_size=40) | st.sampled_from(
    ["nan", "-nan", "inf", "-inf", "1e999", "-1", "", MANY_DIGITS, "9" * 400, "٣"]
)
JSON_VALUES = st.recursive(
    st.none() | st.integers(-(2**63), 2**63) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=8),
    max_leaves=20,
)


def _make_question(key: str) -> bytes:
    """Return a poll of a node that has another key."""
    return msgspec.json.encode(["ask", 1, key, ["t"], [1, 0.5]])


class HostileInputTest(testtools.TestCase):
    @given(st.sampled_from(NUMBERS), VALUES)
    def test_headers_of_an_attempt(self, name: str, value: str) -> None:
        """Guards against numbers that break queues and timers of the owner."""
        headers = HTTPHeaders({**ATTEMPT_HEADERS, name: value})
        try:
            request = parse_attempt_headers(headers, 100.0)
        except ValueError as error:
            self.assertThat(str(error), Contains(name))
            return
        times = (
            request.deadline,
            request.due,
            request.wait_limit_s,
            request.min_health,
            request.usual_s or 0.0,
            request.baseline_s or 0.0,
            request.known_limit_per_s or 0.0,
        )
        self.assertThat([t for t in times if math.isnan(t)], Equals([]))
        self.assertThat(math.isfinite(request.deadline), Equals(True))

    @given(VALUES)
    def test_time_header(self, value: str) -> None:
        """Guards against a time that stops a message, or moves the clock too far."""
        clock = HybridClock(wall_ms=lambda: 1000)
        observe_time_header(clock, f"{value},0")
        observe_time_header(clock, f"0,{value}")
        observe_time_header(clock, value)
        self.assertThat(clock.now() < Timestamp(100_000, 0), Equals(True))

    @given(VALUES)
    def test_content_length(self, value: str) -> None:
        """Guards against a length that is refused as an internal error."""
        head = RequestHead("POST", "/", HTTPHeaders({"Content-Length": value}))
        refusal = head_refusal(LIMITS, head)
        if value == MANY_DIGITS:
            assert refusal is not None
            self.assertThat(refusal.reason, Equals(Reason.BODY_TOO_LARGE))

    @given(st.binary(max_size=200) | st.text(max_size=20).map(_make_question))
    def test_datagrams(self, data: bytes) -> None:
        """Guards against datagrams that raise in the event loop."""
        asked: list[str] = []

        def report(target: str, _position: object) -> None:
            asked.append(target)

        polls = make_polls(report, token="secret")
        polls.datagram_received(data, ("127.0.0.1", 1))
        self.assertThat(asked, Equals([]))

    @given(st.binary(max_size=300) | JSON_VALUES.map(msgspec.json.encode))
    def test_messages_between_nodes(self, body: bytes) -> None:
        """Guards against errors other than those that are answered with 400."""
        for message_type in (Gossip, SyncRequest, SyncAnswer):
            try:
                decode(body, message_type)
            except (msgspec.MsgspecError, ValueError):
                continue

    @given(VALUES | st.lists(VALUES, min_size=8, max_size=8).map(";".join))
    def test_load_reports_and_limits(self, value: str) -> None:
        """Guards against reports that make every comparison false."""
        report = decode_load(value)
        if report is not None:
            self.assertThat(math.isnan(report.wait_ms), Equals(False))
        limit_per_s = parse_limit(value)
        if limit_per_s is not None:
            self.assertThat(math.isfinite(limit_per_s), Equals(True))

    @given(st.text(max_size=300), st.text(max_size=300))
    def test_tables(self, routes: str, pools: str) -> None:
        """Guards against tables of an operator that raise instead of being refused."""
        parse_tables(routes, pools)

    def test_body_above_its_limit_is_cut(self) -> None:
        """Guards against chunks that are counted after they were stored."""

        async def main() -> BodyStream:
            body = BodyStream(limit_bytes=1000)
            body.feed(b"x" * 2000)
            return body

        body = asyncio.run(main())
        self.assertThat(body.too_large, Is(True))
        self.assertThat(body.retained, Equals(b""))
