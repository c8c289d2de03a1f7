"""Attempts at targets of other nodes.

The request takes one more hop, to the owner of the target. When the response is lost,
the entry asks the owner over a new connection whether the attempt may have run.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import NamedTuple

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyStream
from siskinlug.clock import HybridClock, encode_timestamp, observe_time_header
from siskinlug.connections import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_NON_IDEMPOTENT_S,
    MAX_IDLE_S,
    ConnectionPool,
    open_connection,
)
from siskinlug.directory import NodeRecord
from siskinlug.exchange import Answer, RequestHead, drop_header, exchange
from siskinlug.load import LoadReport, decode_load
from siskinlug.owner import AttemptRequest
from siskinlug.paths import (
    Paths,
    path_check_after_s,
    record_path_answer,
    record_path_failure,
)
from siskinlug.verdict import Reason, Refusal, Verdict, may_have_run, not_run

ANSWER_GRACE_S = 0.2
# Lets a refusal that the owner sends at the deadline arrive before the entry gives up.
REFUSAL_MARGIN_S = 0.005
# Longest wait for the verdict on a lost attempt after its deadline. The caller's time
# is over by then, and an owner that answers at all does so within milliseconds.
VERDICT_GRACE_S = 0.1


class OwnerQueries(NamedTuple):
    """Queries to owners about attempts, each over a new connection.

    Attributes:
        cancel_attempt: Cancels an attempt, given the owner, the attempt id and the time
            when it was sent, and returns whether it may have run.
        attempt_state: Returns the state of an attempt, given the owner and the attempt
            id: ``unknown``, ``running`` or ``ended``, or ``None`` if the owner did not
            respond.
    """

    cancel_attempt: Callable[[NodeRecord, str, float], Awaitable[Verdict]]
    attempt_state: Callable[[NodeRecord, str], Awaitable[str | None]]


class RemoteOwners(NamedTuple):
    """Dependencies of attempts at targets of other nodes.

    Attributes:
        connections: Pool of connections to the owners.
        paths: Health of the paths to them, as seen by this entry.
        queries: Queries about an attempt whose response is late or lost.
        record_load: Called with each load report that arrives with a response.
        token: Secret shared by the nodes, with which they authenticate each other.
        clock: Hybrid logical clock. Requests and responses carry its time, so that
            events in the timeline are in causal order.
        monotonic: Clock in seconds.
        connect_s: Timeout for connecting to an owner, in seconds.
    """

    connections: ConnectionPool
    paths: Paths
    queries: OwnerQueries
    record_load: Callable[[LoadReport], None]
    token: str
    clock: HybridClock
    monotonic: Callable[[], float]
    connect_s: float = CONNECT_TIMEOUT_S


@asynccontextmanager
async def open_remote_attempt(
    remote: RemoteOwners,
    node: NodeRecord,
    attempt: AttemptRequest,
    head: RequestHead,
    body: BodyStream,
) -> AsyncIterator[Result[Answer, Refusal]]:
    """Run one attempt on a target of another node.

    Args:
        remote: Dependencies.
        node: Owner of the target.
        attempt: The attempt; its deadline is on this node's monotonic clock.
        head: Request line and headers. The headers of the attempt are added in place.
        body: Request body.

    Yields:
        The target's response, or a refusal. If the response is lost, the owner is asked
        over a new connection whether the attempt may have run.
    """
    add_attempt_headers(remote, attempt, head.headers)
    idle_s = MAX_IDLE_S if attempt.idempotent else MAX_IDLE_NON_IDEMPOTENT_S
    sent_at = remote.monotonic()
    remaining_s = max(0.0, attempt.deadline - sent_at) + REFUSAL_MARGIN_S
    address = (node.host, node.peer_port)
    async with open_connection(
        remote.connections,
        address,
        max_idle_s=idle_s,
        timeout_s=remote.connect_s,
    ) as connected:
        if isinstance(connected, Failure):
            record_path_failure(remote.paths, node.node)
            yield Failure(not_run(Reason.PEER_UNREACHABLE, node.node))
            return
        async with exchange(
            connected.unwrap(),
            head,
            body,
            first_byte_timeout_s=remaining_s,
            answer_timeout_s=attempt.answer_deadline - sent_at + REFUSAL_MARGIN_S,
            check_after_s=path_check_after_s(remote.paths, attempt.route, remaining_s),
            keep_waiting=partial(_should_keep_waiting, remote, node, attempt),
        ) as result:
            if isinstance(result, Success):
                first_byte_s = remote.monotonic() - sent_at
                record_path_answer(remote.paths, node.node, attempt.route, first_byte_s)
                yield _decode_refusal(remote, result.unwrap())
                return
            cause = result.failure().cause
    # The connection is closed by now, but the attempt may still run at the owner.
    yield Failure(await _resolve_lost_attempt(remote, node, attempt, sent_at, cause))


async def _should_keep_waiting(
    remote: RemoteOwners, node: NodeRecord, attempt: AttemptRequest
) -> bool:
    """Ask the owner whether an attempt without a response so far is still running.

    Returns:
        Whether to go on waiting; false if the attempt should be tried elsewhere.
    """
    state = await remote.queries.attempt_state(node, attempt.attempt)
    if state is None:
        record_path_failure(remote.paths, node.node)
        # The attempt may be running, so only idempotent work may be tried elsewhere.
        return not attempt.idempotent
    if state == "running":
        return True
    if state == "ended":
        # The response may be in transit.
        await asyncio.sleep(ANSWER_GRACE_S)
    # The new connection works, so the old one has lost the request or the response.
    # Idle connections to the same owner may be broken as well.
    remote.connections.close_idle_connections((node.host, node.peer_port))
    return False


def add_attempt_headers(
    remote: RemoteOwners, attempt: AttemptRequest, headers: HTTPHeaders
) -> None:
    """Set the headers that describe an attempt to the owner.

    Args:
        remote: Dependencies.
        attempt: The attempt.
        headers: Request headers, changed in place.
    """
    remaining_ms = int((attempt.deadline - remote.monotonic()) * 1000)
    headers["Siskinlug-Token"] = remote.token
    headers["Siskinlug-At"] = encode_timestamp(remote.clock.now())
    headers["Siskinlug-Attempt"] = attempt.attempt
    headers["Siskinlug-Target"] = attempt.target
    headers["Siskinlug-Route"] = attempt.route
    headers["Siskinlug-Account"] = attempt.account
    headers["Siskinlug-Priority"] = str(attempt.priority)
    headers["Siskinlug-Work"] = "long" if attempt.long_work else "short"
    headers["Siskinlug-Idempotent"] = "yes" if attempt.idempotent else "no"
    headers["Siskinlug-Deadline-Ms"] = str(max(0, remaining_ms))
    if math.isfinite(attempt.answer_deadline):
        answer_ms = int((attempt.answer_deadline - remote.monotonic()) * 1000)
        headers["Siskinlug-Answer-Deadline-Ms"] = str(max(0, answer_ms))
    headers["Siskinlug-Fingerprint"] = attempt.fingerprint
    headers["Siskinlug-Least-Sound"] = f"{attempt.min_health:.3f}"
    if attempt.usual_s is not None:
        headers["Siskinlug-Usual-Ms"] = f"{attempt.usual_s * 1000:.1f}"
    if math.isfinite(attempt.wait_limit_s):
        headers["Siskinlug-Wait-Limit-Ms"] = f"{attempt.wait_limit_s * 1000:.0f}"
    if attempt.known_limit_per_s is not None:
        headers["Siskinlug-Known-Limit"] = f"{attempt.known_limit_per_s:.3f}"
    if math.isfinite(attempt.due):
        due_ms = (attempt.due - remote.monotonic()) * 1000
        headers["Siskinlug-Due-Ms"] = f"{due_ms:.0f}"
    if attempt.baseline_s is not None:
        headers["Siskinlug-Baseline-Ms"] = f"{attempt.baseline_s * 1000:.2f}"
    else:
        # On a retry, the headers may still contain the value of the previous attempt.
        drop_header(headers, "Siskinlug-Baseline-Ms")


def _decode_refusal(remote: RemoteOwners, answer: Answer) -> Result[Answer, Refusal]:
    """Return the target's response, or the refusal that the owner sent instead.

    The clock and the load report in the headers are processed as well.
    """
    observe_time_header(remote.clock, answer.headers.get("Siskinlug-At"))
    load = decode_load(answer.headers.get("Siskinlug-Load", ""))
    if load is not None:
        remote.record_load(load)
    verdict = answer.headers.get("Siskinlug-Verdict")
    if verdict is None:
        return Success(answer)
    retry_after = answer.headers.get("Retry-After")
    try:
        refusal = Refusal(
            Verdict(verdict),
            Reason(answer.headers.get("Siskinlug-Reason", "internal")),
            answer.headers.get("Siskinlug-Detail", ""),
            float(retry_after) if retry_after else None,
        )
    except ValueError:
        refusal = may_have_run(Reason.PEER_LOST, "malformed refusal")
    return Failure(refusal)


async def _resolve_lost_attempt(
    remote: RemoteOwners,
    node: NodeRecord,
    attempt: AttemptRequest,
    sent_at: float,
    cause: str,
) -> Refusal:
    """Cancel an attempt that got no response, and return a refusal with its verdict."""
    if cause == "body_cut":
        # The caller went away while it was sending the body.
        return may_have_run(Reason.CANCELLED)
    if cause != "silent":
        record_path_failure(remote.paths, node.node)
    left_s = max(attempt.deadline - remote.monotonic(), 0.0)
    try:
        async with asyncio.timeout(left_s + VERDICT_GRACE_S):
            verdict = await remote.queries.cancel_attempt(
                node, attempt.attempt, sent_at
            )
    except TimeoutError:
        verdict = Verdict.MAY_HAVE_RUN
    return Refusal(verdict, Reason.PEER_LOST, f"{node.node}: {cause}")
