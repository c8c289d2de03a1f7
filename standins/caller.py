"""Load generator that checks every response, in an open or a closed loop."""

import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from absl import app, flags
from hdrh.histogram import HdrHistogram
from returns.result import Failure
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyCut, body_from_bytes
from siskinlug.connections import (
    Address,
    ConnectionPool,
    make_connection_pool,
    open_connection,
)
from siskinlug.exchange import Answer, RequestHead, exchange
from standins.target import answer_body, body_digest

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_MAX_LATENCY_US = 600_000_000
_MAX_WRONG_EXAMPLES = 20


class Call(NamedTuple):
    """One request.

    Attributes:
        method: HTTP method.
        path: Path, to which the size and the service time are added as a query.
        host: Host header.
        account: Client account; empty for none.
        answer_bytes: Size of the response body, in bytes.
        service_ms: Service time at the target, in milliseconds.
        body: Body of the request.
        headers: Further headers.
    """

    method: str = "GET"
    path: str = "/"
    host: str = "localhost"
    account: str = ""
    answer_bytes: int = 200
    service_ms: float = 0.0
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class CallResult(NamedTuple):
    """Result of a request.

    Attributes:
        request_id: Id of the request.
        status: HTTP status; 0 without a complete response.
        reason: Reason code of a refusal, ``shed`` for a refusal by the target, or
            ``lost``, ``cut``, ``timeout`` or ``unreachable`` if the connection failed;
            empty for other responses of a target.
        verdict: Verdict of a refusal; empty otherwise.
        wrong: Error found in the response; empty if there is none.
        latency_s: Time from the scheduled start to the end of the response, in seconds.
        target: Name of the target, if the response has it.
    """

    request_id: str
    status: int
    reason: str = ""
    verdict: str = ""
    wrong: str = ""
    latency_s: float = 0.0
    target: str = ""


class Summary:
    """Counts and latencies of all requests of a run."""

    def __init__(self) -> None:
        self.latency_us = HdrHistogram(1, _MAX_LATENCY_US, 3)
        self.statuses: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.verdicts: Counter[str] = Counter()
        self.targets: Counter[str] = Counter()
        self.sent = 0
        self.skipped = 0
        self.wrong = 0
        self.wrong_examples: list[str] = []
        self.seconds = 0.0

    def add(self, result: CallResult) -> None:
        """Count one result.

        Only complete and correct 2xx responses count in the latencies.
        """
        self.sent += 1
        self.statuses[str(result.status)] += 1
        self.reasons[result.reason or "answered"] += 1
        self.verdicts[result.verdict or "none"] += 1
        if result.target:
            self.targets[result.target] += 1
        if result.wrong:
            self.wrong += 1
            if len(self.wrong_examples) < _MAX_WRONG_EXAMPLES:
                self.wrong_examples.append(f"{result.request_id}: {result.wrong}")
        elif 200 <= result.status < 300:
            self.latency_us.record_value(max(1, int(result.latency_s * 1e6)))

    def as_json(self) -> dict[str, Any]:
        """Return the summary with latencies in milliseconds."""
        latency = {
            f"p{percentile:g}": self.latency_us.get_value_at_percentile(percentile)
            / 1000
            for percentile in PERCENTILES
        }
        latency["max"] = self.latency_us.get_max_value() / 1000
        return {
            "sent": self.sent,
            "skipped": self.skipped,
            "seconds": round(self.seconds, 3),
            "latency_ms": latency,
            "statuses": dict(self.statuses),
            "reasons": dict(self.reasons),
            "verdicts": dict(self.verdicts),
            "targets": dict(self.targets),
            "wrong": self.wrong,
            "wrong_examples": self.wrong_examples,
        }


async def send(
    pool: ConnectionPool,
    address: Address,
    call: Call,
    request_id: str,
    *,
    timeout_s: float = 10.0,
    started_at: float | None = None,
) -> CallResult:
    """Send one request and check its response.

    Args:
        pool: Connections to reuse.
        address: Host and port of an entry or a target.
        call: The request.
        request_id: Id of the request, which the response must repeat.
        timeout_s: Time limit for the complete response, in seconds.
        started_at: Scheduled start on ``time.monotonic``; now if ``None``.
    """
    start = time.monotonic() if started_at is None else started_at
    try:
        async with asyncio.timeout(timeout_s):
            result = await _send(pool, address, call, request_id, timeout_s)
    except TimeoutError:
        result = CallResult(request_id, 0, "timeout")
    return result._replace(latency_s=time.monotonic() - start)


async def run_open_loop(
    address: Address,
    call_of: Callable[[int], Call],
    *,
    rate: float,
    seconds: float,
    timeout_s: float = 10.0,
    max_in_flight: int = 1000,
    prefix: str = "",
    observe: Callable[[CallResult], None] = lambda _result: None,
) -> Summary:
    """Send at a steady rate, regardless of how fast responses arrive.

    Requests that would exceed ``max_in_flight`` are not sent and count as skipped.

    Args:
        address: Host and port.
        call_of: Builds the request with a given number, from 0.
        rate: Requests per second.
        seconds: Time during which requests are started, in seconds.
        timeout_s: Time limit for each response, in seconds.
        max_in_flight: Most requests in flight.
        prefix: Prefix of each request id; random if empty.
        observe: Called with each result.
    """
    prefix = prefix or f"{random.getrandbits(48):012x}"
    pool = make_connection_pool(monotonic=time.monotonic)
    summary = Summary()
    running: set[asyncio.Task[None]] = set()
    start = time.monotonic()

    async def send_and_record(number: int, due: float) -> None:
        result = await send(
            pool,
            address,
            call_of(number),
            f"{prefix}-{number}",
            timeout_s=timeout_s,
            started_at=due,
        )
        summary.add(result)
        observe(result)

    for number in range(int(rate * seconds)):
        due = start + number / rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        if len(running) >= max_in_flight:
            summary.skipped += 1
            continue
        task = asyncio.ensure_future(send_and_record(number, due))
        running.add(task)
        task.add_done_callback(running.discard)
    if running:
        await asyncio.wait(running)
    pool.close()
    summary.seconds = time.monotonic() - start
    return summary


async def run_closed_loop(
    address: Address,
    call_of: Callable[[int], Call],
    *,
    callers: int,
    count: int,
    seconds: float = 60.0,
    timeout_s: float = 10.0,
    prefix: str = "",
    observe: Callable[[CallResult], None] = lambda _result: None,
) -> Summary:
    """Send with a fixed number of callers, each of which waits for its response.

    Args:
        address: Host and port.
        call_of: Builds the request with a given number, from 0.
        callers: Number of callers, and so of requests in flight.
        count: Requests to send in total.
        seconds: Time after which no requests are started, in seconds.
        timeout_s: Time limit for each response, in seconds.
        prefix: Prefix of each request id; random if empty.
        observe: Called with each result.
    """
    prefix = prefix or f"{random.getrandbits(48):012x}"
    pool = make_connection_pool(monotonic=time.monotonic)
    summary = Summary()
    numbers = iter(range(count))
    start = time.monotonic()

    async def caller() -> None:
        for number in numbers:
            if time.monotonic() - start > seconds:
                return
            result = await send(
                pool,
                address,
                call_of(number),
                f"{prefix}-{number}",
                timeout_s=timeout_s,
            )
            summary.add(result)
            observe(result)

    await asyncio.gather(*(caller() for _ in range(callers)))
    pool.close()
    summary.seconds = time.monotonic() - start
    return summary


async def _send(
    pool: ConnectionPool,
    address: Address,
    call: Call,
    request_id: str,
    timeout_s: float,
) -> CallResult:
    query = f"bytes={call.answer_bytes}&ms={call.service_ms:g}"
    separator = "&" if "?" in call.path else "?"
    headers = HTTPHeaders({"Host": call.host, "X-Request-Id": request_id})
    if call.account:
        headers["X-Account"] = call.account
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(call.body))
    for name, value in call.headers:
        headers.add(name, value)
    head = RequestHead(call.method, f"{call.path}{separator}{query}", headers)
    async with open_connection(pool, address) as opened:
        if isinstance(opened, Failure):
            return CallResult(request_id, 0, "unreachable")
        async with exchange(
            opened.unwrap(),
            head,
            body_from_bytes(call.body),
            first_byte_timeout_s=timeout_s,
        ) as exchanged:
            if isinstance(exchanged, Failure):
                return CallResult(request_id, 0, "lost")
            answer = exchanged.unwrap()
            try:
                body = b"".join([chunk async for chunk in answer.body.chunks()])
            except BodyCut:
                return CallResult(request_id, 0, "cut")
            return _check_answer(call, request_id, answer, body)


def _check_answer(
    call: Call, request_id: str, answer: Answer, body: bytes
) -> CallResult:
    headers = answer.headers
    result = CallResult(request_id, answer.status, target=headers.get("X-Target", ""))
    if "Siskinlug-Verdict" in headers:
        refused = result._replace(
            reason=headers.get("Siskinlug-Reason", ""),
            verdict=headers["Siskinlug-Verdict"],
        )
        return refused._replace(wrong=_find_refusal_error(request_id, refused, body))
    if "X-Shed" in headers:
        return result._replace(reason="shed", verdict="not-run")
    if not 200 <= answer.status < 300:
        return result
    return result._replace(wrong=_find_answer_error(call, request_id, headers, body))


def _find_answer_error(
    call: Call, request_id: str, headers: HTTPHeaders, body: bytes
) -> str:
    if headers.get("X-Request-Id") != request_id:
        return f"answer to {headers.get('X-Request-Id')}"
    if headers.get("X-Body-Digest") != body_digest(call.body):
        return "digest of another request body"
    if call.method == "HEAD":
        return "a body after HEAD" if body else ""
    if len(body) != call.answer_bytes:
        return f"{len(body)} bytes instead of {call.answer_bytes}"
    if body != answer_body(request_id, call.answer_bytes):
        return "body of another answer"
    return ""


def _find_refusal_error(request_id: str, result: CallResult, body: bytes) -> str:
    if not body:
        return ""
    try:
        refusal = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError:
        return "refusal without a JSON body"
    if refusal.get("request_id") != request_id:
        return f"refusal of {refusal.get('request_id')}"
    if refusal.get("verdict") != result.verdict:
        return "verdict differs between header and body"
    return ""


_ADDRESS = flags.DEFINE_string(
    "address", "127.0.0.1:8080", "host:port to send requests to."
)
_PATH = flags.DEFINE_string("path", "/", "Path.")
_METHOD = flags.DEFINE_string("method", "GET", "Method.")
_HOST_NAME = flags.DEFINE_string("host_name", "localhost", "Host header.")
_ACCOUNTS = flags.DEFINE_integer("accounts", 1, "Number of accounts, used in turn.")
_RATE = flags.DEFINE_float("rate", 0.0, "Requests/s; 0 runs a closed loop.")
_CALLERS = flags.DEFINE_integer("callers", 4, "Requests in flight in a closed loop.")
_COUNT = flags.DEFINE_integer("count", 1000, "Requests to send in a closed loop.")
_SECONDS = flags.DEFINE_float(
    "seconds", 10.0, "Time during which requests are started, seconds."
)
_TIMEOUT_S = flags.DEFINE_float(
    "timeout_s", 10.0, "Time limit for each response, seconds."
)
_BYTES = flags.DEFINE_integer("answer_bytes", 200, "Size of each response body, bytes.")
_SERVICE_MS = flags.DEFINE_float("service_ms", 0.0, "Service time, milliseconds.")


async def _main() -> None:
    host, _, port = _ADDRESS.value.rpartition(":")
    address = (host, int(port))

    def call_of(number: int) -> Call:
        return Call(
            method=_METHOD.value,
            path=_PATH.value,
            host=_HOST_NAME.value,
            account=f"account-{number % _ACCOUNTS.value}",
            answer_bytes=_BYTES.value,
            service_ms=_SERVICE_MS.value,
        )

    if _RATE.value > 0:
        summary = await run_open_loop(
            address,
            call_of,
            rate=_RATE.value,
            seconds=_SECONDS.value,
            timeout_s=_TIMEOUT_S.value,
        )
    else:
        summary = await run_closed_loop(
            address,
            call_of,
            callers=_CALLERS.value,
            count=_COUNT.value,
            seconds=_SECONDS.value,
            timeout_s=_TIMEOUT_S.value,
        )
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(summary.as_json())))
    sys.stdout.write("\n")


if __name__ == "__main__":
    app.run(lambda _argv: asyncio.run(_main()))
