"""Server of the peer port: attempts, announcements and messages of other nodes."""

import hmac
import math
from collections.abc import Awaitable, Callable, Mapping
from functools import partial

import msgspec
from absl import logging
from returns.result import Failure, Success
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyCut, BodyStream
from siskinlug.clock import HybridClock, encode_timestamp, observe_time_header
from siskinlug.exchange import Answer
from siskinlug.inbound import InboundRequest, RequestHandler, send_answer, stream_answer
from siskinlug.load import encode_load
from siskinlug.logs import log_event
from siskinlug.owner import AttemptRequest, Owner, open_attempt, target_load
from siskinlug.target_signals import parse_limit
from siskinlug.verdict import Reason, Refusal, may_have_run, not_run

MAX_MESSAGE_BYTES = 4 << 20
TOKEN_HEADER = "Siskinlug-Token"

# From the body of a request to the body of the response. It raises
# ``msgspec.MsgspecError`` or ``ValueError`` for a malformed message.
MessageHandler = Callable[[bytes], Awaitable[bytes]]


def has_valid_token(headers: HTTPHeaders, token: str) -> bool:
    """Return whether a request has the shared token, compared in constant time."""
    given = headers.get(TOKEN_HEADER) or headers.get("Authorization", "").removeprefix(
        "Bearer "
    )
    return hmac.compare_digest(given.encode(), token.encode())


def make_peer_handler(
    owner: Owner,
    *,
    token: str,
    clock: HybridClock,
    handler_by_path: Mapping[str, MessageHandler],
) -> RequestHandler:
    """Build the handler of requests on the peer port.

    Args:
        owner: The owner role, which runs attempts.
        token: Shared key of nodes and targets.
        clock: Hybrid clock, exchanged in the headers of attempts and their responses.
        handler_by_path: Handlers of messages that are not attempts.
    """

    async def serve_peer(inbound: InboundRequest) -> None:
        if not has_valid_token(inbound.head.headers, token):
            log_event(
                "peer_unauthorized", write=logging.warning, remote=inbound.remote_ip
            )
            await send_answer(inbound, 401, HTTPHeaders(), b'{"error":"token"}')
        elif "Siskinlug-Attempt" in inbound.head.headers:
            await serve_attempt(owner, clock, inbound)
        else:
            await _serve_message(handler_by_path, inbound)

    return serve_peer


async def _serve_message(
    handler_by_path: Mapping[str, MessageHandler], inbound: InboundRequest
) -> None:
    handler = handler_by_path.get(inbound.head.path.partition("?")[0])
    if handler is None or inbound.head.method != "POST":
        await send_answer(inbound, 404, HTTPHeaders(), b'{"error":"unknown path"}')
        return
    body = await _read_all(inbound.body)
    headers = HTTPHeaders({"Content-Type": "application/json"})
    try:
        answer = await handler(body)
    except (msgspec.MsgspecError, ValueError) as error:
        problem = msgspec.json.encode({"error": str(error)})
        await send_answer(inbound, 400, headers, problem)
        return
    await send_answer(inbound, 200, headers, answer)


async def _read_all(body: BodyStream) -> bytes:
    await body.wait_complete()
    if not body.can_replay:
        raise ValueError(f"message above {MAX_MESSAGE_BYTES} bytes")
    return body.retained


async def serve_attempt(
    owner: Owner, clock: HybridClock, inbound: InboundRequest
) -> None:
    """Run an attempt for the entry of another node and stream the response back."""
    observe_time_header(clock, inbound.head.headers.get("Siskinlug-At"))
    try:
        request = parse_attempt_headers(inbound.head.headers, owner.monotonic())
    except ValueError as error:
        refusal = not_run(Reason.BAD_REQUEST, str(error))
        await _send_attempt_refusal(inbound, refusal, {})
        return
    async with open_attempt(owner, request, inbound.head, inbound.body) as result:
        if isinstance(result, Success):
            extra = _answer_headers(owner, clock, request.target)
            try:
                await stream_answer(inbound, result.unwrap(), extra)
            except BodyCut:
                if inbound.answered_status or inbound.body.cut:
                    raise
                # Without a byte sent, the entry need not take the path for broken.
                result = Failure(_cut_refusal(request, result.unwrap()))
    if isinstance(result, Failure):
        extra = _answer_headers(owner, clock, request.target)
        await _send_attempt_refusal(inbound, result.failure(), extra)


def _cut_refusal(request: AttemptRequest, answer: Answer) -> Refusal:
    """Return the refusal for a response of which nothing could be forwarded."""
    reason = Reason.DEADLINE if answer.body.expired else Reason.TARGET_RESET
    return may_have_run(reason, f"{request.target}: the answer was cut")


def _answer_headers(owner: Owner, clock: HybridClock, target: str) -> dict[str, str]:
    headers = {"Siskinlug-At": encode_timestamp(clock.now())}
    load = target_load(owner, target)
    if load is not None:
        headers["Siskinlug-Load"] = encode_load(load)
    return headers


async def _send_attempt_refusal(
    inbound: InboundRequest, refusal: Refusal, extra: Mapping[str, str]
) -> None:
    headers = HTTPHeaders(extra)
    headers["Siskinlug-Verdict"] = refusal.verdict.value
    headers["Siskinlug-Reason"] = refusal.reason.value
    if refusal.detail:
        headers["Siskinlug-Detail"] = refusal.detail
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = f"{refusal.retry_after_s:.3f}"
    await send_answer(inbound, refusal.status, headers)


def _read_number(
    headers: HTTPHeaders, name: str, default: float | None = None
) -> float:
    """Return the number in a header.

    Args:
        headers: The headers.
        name: Name of the header.
        default: Value if the header is absent.

    Raises:
        KeyError: The header is absent and has no default.
        ValueError: The value is not a finite number.
    """
    if default is not None and name not in headers:
        return default
    try:
        value = float(headers[name])
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise ValueError(f"header {name} is not a finite number")
    return value


def parse_attempt_headers(headers: HTTPHeaders, now: float) -> AttemptRequest:
    """Parse the headers of an attempt.

    Args:
        headers: Headers as ``remote_attempts.add_attempt_headers`` writes them.
        now: Monotonic time of this node, to which relative deadlines are added.

    Raises:
        ValueError: A header is missing or malformed.
    """
    number = partial(_read_number, headers)
    known_limit = headers.get("Siskinlug-Known-Limit")
    try:
        return AttemptRequest(
            attempt=headers["Siskinlug-Attempt"],
            target=headers["Siskinlug-Target"],
            route=headers["Siskinlug-Route"],
            account=headers["Siskinlug-Account"],
            priority=int(number("Siskinlug-Priority")),
            long_work=headers["Siskinlug-Work"] == "long",
            idempotent=headers["Siskinlug-Idempotent"] == "yes",
            deadline=now + number("Siskinlug-Deadline-Ms") / 1000,
            answer_deadline=now
            + number("Siskinlug-Answer-Deadline-Ms", math.inf) / 1000,
            baseline_s=number("Siskinlug-Baseline-Ms", 0.0) / 1000 or None,
            fingerprint=headers["Siskinlug-Fingerprint"],
            min_health=number("Siskinlug-Least-Sound", 0.0),
            usual_s=number("Siskinlug-Usual-Ms", 0.0) / 1000 or None,
            wait_limit_s=number("Siskinlug-Wait-Limit-Ms", math.inf) / 1000,
            known_limit_per_s=parse_limit(known_limit) if known_limit else None,
            due=now + number("Siskinlug-Due-Ms", math.inf) / 1000,
        )
    except KeyError as error:
        raise ValueError(f"header {error} is missing") from None
