"""Stand-in for a target: announces itself and has faults to switch on."""

import asyncio
import math
import os
import random
import signal
import sys
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any, NamedTuple

import msgspec
import xxhash
from absl import app, flags
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient

from siskinlug.messages import Announcement, AnnouncementAnswer, decode, encode

RENEW_TIMEOUT_S = 0.5
# After this many failed renewals the target stops renewing. Otherwise an owner that
# receives announcements but cannot answer them would keep its lease for ever.
FAILED_RENEWALS_BEFORE_MOVE = 2
MAX_REQUEST_BYTES = 64 << 20
MAX_COUNTED_IDS = 500_000
RETURN_RETRY_S = 5.0
# Requests that start later than this after the target announced that it leaves are
# counted as ``started_late``.
LATE_START_S = 2.0
# The target stops after it was idle for this time, since a request that the owner sent
# before it learnt of the stop may still arrive.
QUIET_PERIOD_S = 0.3


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the target; all are off by default.

    Attributes:
        paths: Path prefixes to which the faults are limited; empty for all.
        accounts: Accounts (``X-Account``) to which they are limited; empty for all.
        slow_ms: Added service time, in milliseconds.
        slow_factor: Factor on the service time.
        error_ratio: Share of requests that fail with status 500.
        wrong_ratio: Share of responses with the id and body of another request.
        cut_ratio: Share of responses that end after half of their body.
        hang: Whether requests are accepted and never answered.
        cold_s: Time after the change of faults during which ``cold_factor`` applies, in
            seconds.
        cold_factor: Factor on the service time while cold.
        health: ``honest``, or ``lying`` for health checks that always return 200.
    """

    paths: list[str] = []
    accounts: list[str] = []
    slow_ms: float = 0.0
    slow_factor: float = 1.0
    error_ratio: float = 0.0
    wrong_ratio: float = 0.0
    cut_ratio: float = 0.0
    hang: bool = False
    cold_s: float = 0.0
    cold_factor: float = 10.0
    health: str = "honest"


class TargetOptions(NamedTuple):
    """Identity and settings of a target.

    Attributes:
        name: Id of the target.
        service: Name of its service.
        slots: Requests that it runs at once.
        host: Address to listen on.
        port: Port to listen on; 0 for a free one.
        announce: host:port of the first owner; empty to announce to none.
        token: Token of the fleet.
        interval_s: Time between announcements, in seconds.
        seed: Seed of the random faults.
        linger_s: Time for which the target still listens after it has announced that
            it leaves, in seconds.
    """

    name: str
    service: str
    slots: int
    host: str = "127.0.0.1"
    port: int = 0
    announce: str = ""
    token: str = ""
    interval_s: float = 1.0
    seed: int = 0
    linger_s: float = 0.0


class RunCounts:
    """Number of runs by request id and by idempotency key, and totals by outcome."""

    def __init__(self) -> None:
        self.by_request: OrderedDict[str, int] = OrderedDict()
        self.by_key: OrderedDict[str, int] = OrderedDict()
        self.counts = dict.fromkeys(
            ("started", "started_late", "finished", "cancelled", "shed", "expired"), 0
        )

    def start(self, request_id: str, key: str) -> None:
        """Count the start of a request.

        The oldest ids are dropped once there are more than ``MAX_COUNTED_IDS``.
        """
        self.counts["started"] += 1
        for runs, name in ((self.by_request, request_id), (self.by_key, key)):
            if not name:
                continue
            runs[name] = runs.get(name, 0) + 1
            if len(runs) > MAX_COUNTED_IDS:
                runs.popitem(last=False)


class Target:
    """State of one running target."""

    def __init__(self, options: TargetOptions, *, crash: Callable[[], None]) -> None:
        self.options = options
        self.port = options.port
        self.incarnation = time.time_ns() // 1_000_000
        self.epoch = 1
        self.owner = options.announce
        # Earliest return to the first owner, since a leaving node still listens until
        # its requests are finished.
        self.next_return_at = 0.0
        self.leaving_since = math.inf
        self.alternatives: list[str] = []
        self.state = "ready"
        self.in_use = 0
        self.runs = RunCounts()
        self.faults = Faults()
        self.faults_set_at = time.monotonic()
        self.crash = crash
        self.random = random.Random(options.seed)
        self.tasks: set[asyncio.Task[None]] = set()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults."""
        self.faults = faults
        self.faults_set_at = time.monotonic()

    @property
    def cold(self) -> bool:
        """Whether the cold start still lasts."""
        return time.monotonic() - self.faults_set_at < self.faults.cold_s


def answer_body(request_id: str, size: int) -> bytes:
    """Return the body of a response: the request id repeated up to ``size`` bytes."""
    pattern = f"{request_id};".encode()
    return (pattern * (size // len(pattern) + 1))[:size]


def body_digest(body: bytes) -> str:
    """Return the digest of a request body, as it is sent in ``X-Body-Digest``."""
    return str(xxhash.xxh64(body).hexdigest())


@asynccontextmanager
async def serve_target(
    options: TargetOptions, *, crash: Callable[[], None] = lambda: os._exit(70)
) -> AsyncIterator[Target]:
    """Run a target inside the block.

    Args:
        options: Identity and settings of the target.
        crash: Called for a request with the header ``X-Crash``.
    """
    target = Target(options, crash=crash)

    def accept_request(request: HTTPServerRequest) -> None:
        task = asyncio.ensure_future(_serve(target, request))
        target.tasks.add(task)
        task.add_done_callback(target.tasks.discard)

    server = HTTPServer(accept_request, max_buffer_size=MAX_REQUEST_BYTES)
    sockets = bind_sockets(options.port, options.host)
    target.port = sockets[0].getsockname()[1]
    server.add_sockets(sockets)
    renewing = (
        asyncio.ensure_future(_keep_announced(target)) if options.announce else None
    )
    try:
        yield target
    finally:
        if renewing is not None:
            renewing.cancel()
            with suppress(asyncio.CancelledError):
                await renewing
        server.stop()
        for task in list(target.tasks):
            task.cancel()
        await asyncio.gather(*target.tasks, return_exceptions=True)
        await server.close_all_connections()


async def stop_target(target: Target) -> None:
    """Announce that the target leaves and wait until its requests are finished."""
    target.state = "leaving"
    give_up_at = time.monotonic() + 3.0
    while target.owner and await _announce(target, target.owner) is None:
        if time.monotonic() > give_up_at:
            break
        await asyncio.sleep(0.2)
    target.leaving_since = time.monotonic()
    await asyncio.sleep(target.options.linger_s)
    quiet_since = time.monotonic()
    while time.monotonic() - quiet_since < QUIET_PERIOD_S:
        await asyncio.sleep(0.02)
        if target.in_use:
            quiet_since = time.monotonic()


class _NoAnswer(NamedTuple):
    """Outcome of an announcement without a valid answer.

    Attributes:
        may_have_arrived: Whether the owner may have received it.
    """

    may_have_arrived: bool


async def _announce(target: Target, owner: str) -> AnnouncementAnswer | None:
    outcome = await _try_announce(target, owner)
    return None if isinstance(outcome, _NoAnswer) else outcome


async def _try_announce(target: Target, owner: str) -> AnnouncementAnswer | _NoAnswer:
    options = target.options
    message = Announcement(
        target=options.name,
        service=options.service,
        host=options.host,
        port=target.port,
        slots=options.slots,
        incarnation=target.incarnation,
        epoch=target.epoch,
        state=target.state,
        probe_path="/health",
    )
    try:
        response = await AsyncHTTPClient().fetch(
            f"http://{owner}/announce",
            method="POST",
            headers={"Authorization": f"Bearer {options.token}"},
            body=encode(message),
            connect_timeout=RENEW_TIMEOUT_S,
            request_timeout=RENEW_TIMEOUT_S,
        )
        return decode(response.body, AnnouncementAnswer)
    except ConnectionRefusedError:
        return _NoAnswer(False)
    except (HTTPClientError, OSError, StreamClosedError, msgspec.MsgspecError):
        return _NoAnswer(True)


async def _return_to_first_owner(target: Target) -> bool:
    """Move back to the first owner, the node beside the target, once it listens again.

    Returns:
        Whether the target moved.
    """
    first_owner = target.options.announce
    if target.owner == first_owner or target.state != "ready":
        return False
    if time.monotonic() < target.next_return_at:
        return False
    target.next_return_at = time.monotonic() + RETURN_RETRY_S
    host, _, port = first_owner.rpartition(":")
    try:
        stream = await TCPClient().connect(host, int(port), timeout=RENEW_TIMEOUT_S)
    except (OSError, StreamClosedError, TimeoutError):
        return False
    stream.close()
    # Otherwise the old owner would send requests for the rest of its lease.
    target.state = "leaving"
    left = await _announce(target, target.owner)
    target.state = "ready"
    if left is None:
        return False
    target.owner = first_owner
    target.epoch += 1
    return True


async def _keep_announced(target: Target) -> None:
    """Announce the target at each interval, and move to another owner if that fails.

    The move waits until the lease of the old owner has expired, so that there are never
    two owners.
    """
    lease_s = 3.0
    last_arrival_at = time.monotonic()
    failures = 0
    while True:
        outcome = await _try_announce(target, target.owner)
        if isinstance(outcome, _NoAnswer):
            failures += 1
            if outcome.may_have_arrived:
                last_arrival_at = time.monotonic()
        else:
            failures = 0
            last_arrival_at = time.monotonic()
            lease_s = outcome["lease_s"]
            target.alternatives = outcome["alternatives"]
            if lease_s == 0.0 and target.alternatives:
                # The owner is leaving and has given up its lease.
                target.next_return_at = time.monotonic() + RETURN_RETRY_S
                target.owner = target.alternatives.pop(0)
                target.epoch += 1
                continue
            if await _return_to_first_owner(target):
                continue
        if failures >= FAILED_RENEWALS_BEFORE_MOVE and target.alternatives:
            await asyncio.sleep(max(0.0, last_arrival_at + lease_s - time.monotonic()))
            target.alternatives.append(target.owner)
            target.owner = target.alternatives.pop(0)
            target.epoch += 1
            # A paused first owner accepts connections but does not answer.
            target.next_return_at = time.monotonic() + RETURN_RETRY_S
            # One failure of the new owner is enough for the next move, which follows
            # after the lease, or at once if the connection was refused.
            failures = FAILED_RENEWALS_BEFORE_MOVE - 1
            continue
        await asyncio.sleep(target.options.interval_s)


async def _serve(target: Target, request: HTTPServerRequest) -> None:
    with suppress(StreamClosedError, asyncio.CancelledError):
        if request.path.startswith("/control"):
            await _control(target, request)
        elif request.path == "/health":
            failing = target.faults.hang or target.faults.error_ratio >= 0.5
            healthy = target.faults.health == "lying" or not failing
            await _send(
                request, 200 if healthy else 503, b"ok\n" if healthy else b"sick\n"
            )
        elif target.in_use >= target.options.slots:
            target.runs.counts["shed"] += 1
            await _send(request, 503, b"", {"X-Shed": "1"})
        else:
            target.in_use += 1
            try:
                await _run_while_connected(target, request)
            finally:
                target.in_use -= 1


async def _control(target: Target, request: HTTPServerRequest) -> None:
    if request.path == "/control/runs":
        runs: dict[str, Any] = {
            **target.runs.counts,
            "in_use": target.in_use,
            "epoch": target.epoch,
            "owner": target.owner,
            "by_request": target.runs.by_request,
            "by_key": target.runs.by_key,
        }
        await _send(request, 200, encode(runs))
        return
    if request.method == "POST":
        try:
            target.set_faults(msgspec.json.decode(request.body, type=Faults))
        except msgspec.MsgspecError as error:
            await _send(request, 400, f"{error}\n".encode())
            return
    await _send(request, 200, encode(target.faults))


async def _run_while_connected(target: Target, request: HTTPServerRequest) -> None:
    connection: Any = request.connection
    running = asyncio.ensure_future(_run(target, request))
    connection.set_close_callback(running.cancel)
    try:
        await running
    except asyncio.CancelledError:
        target.runs.counts["cancelled"] += 1
        running.cancel()
        raise


async def _run(target: Target, request: HTTPServerRequest) -> None:
    headers = request.headers
    request_id = headers.get("X-Request-Id", "")
    target.runs.start(request_id, headers.get("Idempotency-Key", ""))
    if time.monotonic() - target.leaving_since > LATE_START_S:
        target.runs.counts["started_late"] += 1
    if "X-Crash" in headers:
        target.crash()
    faults = target.faults if _faults_apply(target.faults, request) else Faults()
    if faults.hang:
        await asyncio.Event().wait()
    service_s = _query_number(request, "ms") / 1000 * faults.slow_factor
    service_s += faults.slow_ms / 1000
    if target.cold and faults is target.faults:
        service_s *= faults.cold_factor
    deadline_ms = headers.get("X-Request-Deadline-Ms", "")
    left_s = float(deadline_ms) / 1000 if deadline_ms.isdigit() else float("inf")
    if service_s > left_s:
        await asyncio.sleep(left_s)
        target.runs.counts["expired"] += 1
        await _send(request, 504, b"", {"X-Request-Id": request_id})
        return
    if service_s > 0:
        await asyncio.sleep(service_s)
    target.runs.counts["finished"] += 1
    await _answer(target, request, faults, request_id)


async def _answer(
    target: Target, request: HTTPServerRequest, faults: Faults, request_id: str
) -> None:
    size = int(_query_number(request, "bytes"))
    if target.random.random() < faults.error_ratio:
        await _send(request, 500, b"failed\n", {"X-Request-Id": request_id})
        return
    if target.random.random() < faults.wrong_ratio:
        request_id = f"other-{request_id}"
    extra = {
        "X-Request-Id": request_id,
        "X-Body-Digest": body_digest(request.body),
        "X-Target": target.options.name,
    }
    body = answer_body(request_id, size)
    cut = target.random.random() < faults.cut_ratio
    await _send(request, 200, body, extra, cut=cut)


async def _send(
    request: HTTPServerRequest,
    status: int,
    body: bytes,
    extra: dict[str, str] | None = None,
    *,
    cut: bool = False,
) -> None:
    connection: Any = request.connection
    headers = HTTPHeaders({"Content-Length": str(len(body)), **(extra or {})})
    if request.method == "HEAD":
        body = b""
    start = ResponseStartLine("HTTP/1.1", status, "")
    if cut:
        await connection.write_headers(start, headers, body[: len(body) // 2])
        connection.close()
        return
    await connection.write_headers(start, headers, body)
    connection.finish()


def _faults_apply(faults: Faults, request: HTTPServerRequest) -> bool:
    account = request.headers.get("X-Account", "")
    return (not faults.accounts or account in faults.accounts) and (
        not faults.paths or any(request.path.startswith(p) for p in faults.paths)
    )


def _query_number(request: HTTPServerRequest, name: str) -> float:
    try:
        return max(0.0, float(request.query_arguments[name][0]))
    except (KeyError, ValueError):
        return 0.0


_NAME = flags.DEFINE_string("name", "target", "Id of the target.")
_SERVICE = flags.DEFINE_string("service", "service", "Name of its service.")
_SLOTS = flags.DEFINE_integer("slots", 4, "Requests that run at once.", lower_bound=1)
_HOST = flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
_PORT = flags.DEFINE_integer("port", 0, "Port to listen on; 0 for a free one.")
_ANNOUNCE = flags.DEFINE_string(
    "announce", "", "host:port of the first owner; empty for none."
)
_TOKEN = flags.DEFINE_string("token", "", "Token of the fleet.")
_LINGER_S = flags.DEFINE_float(
    "linger_s", 0.0, "Time to listen after it announced to leave, seconds."
)
_FAULTS = flags.DEFINE_string("faults", "{}", "Faults at the start, as JSON.")


async def _main() -> None:
    options = TargetOptions(
        name=_NAME.value,
        service=_SERVICE.value,
        slots=_SLOTS.value,
        host=_HOST.value,
        port=_PORT.value,
        announce=_ANNOUNCE.value,
        token=_TOKEN.value,
        linger_s=_LINGER_S.value,
    )
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    async with serve_target(options) as target:
        target.set_faults(msgspec.json.decode(_FAULTS.value, type=Faults))
        sys.stdout.write(f'{{"target":"{options.name}","port":{target.port}}}\n')
        sys.stdout.flush()
        await stop.wait()
        await stop_target(target)
        sys.stdout.write(f"{encode(target.runs.counts).decode()}\n")


if __name__ == "__main__":
    app.run(lambda _argv: asyncio.run(_main()))
