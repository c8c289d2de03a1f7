"""Attempts at targets of other nodes: one more hop, and what became of lost ones."""

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
    IDLE_MAX_S,
    NON_IDEMPOTENT_IDLE_MAX_S,
    ConnectionPool,
    open_connection,
)
from siskinlug.directory import NodeRecord
from siskinlug.exchange import Answer, RequestHead, drop_header, exchange
from siskinlug.load import LoadReport, decode_load
from siskinlug.owner import AttemptRequest
from siskinlug.paths import Paths, first_byte_bound_s, note_answer, note_path_failure
from siskinlug.verdict import Reason, Refusal, Verdict, may_have_run, not_run

ANSWER_GRACE_S = 0.2
# Time for the owner's own refusal at the deadline to arrive.
REFUSAL_MARGIN_S = 0.005


class OwnerQueries(NamedTuple):
    """What an entry asks owners, each over a new connection.

    Attributes:
        cancel_attempt: From the owner, the attempt and the time it was sent to what
            became of it.
        attempt_state: From the owner and the attempt to ``unknown``, ``running`` or
            ``ended``, or ``None`` if the owner did not answer.
    """

    cancel_attempt: Callable[[NodeRecord, str, float], Awaitable[Verdict]]
    attempt_state: Callable[[NodeRecord, str], Awaitable[str | None]]


class RemoteOwners(NamedTuple):
    """What attempts at other nodes need.

    Attributes:
        connections: Pool of connections to them.
        paths: This entry's view of the paths to them.
        queries: What is asked after a lost answer.
        note_load: Takes the load reports that come with answers.
        token: Shared key.
        clock: Hybrid clock, carried both ways so that the timeline is causal.
        monotonic: Clock in seconds.
        connect_s: Time to connect to an owner, in seconds.
    """

    connections: ConnectionPool
    paths: Paths
    queries: OwnerQueries
    note_load: Callable[[LoadReport], None]
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
        remote: The other owners.
        node: The owner.
        attempt: The attempt; its deadline is on this node's clock.
        head: The request; headers of the attempt are added to it.
        body: Its body.

    Yields:
        The target's answer, or a refusal. After a lost answer the owner is asked,
        over a new connection, what became of the attempt.
    """
    add_attempt_headers(remote, attempt, head.headers)
    idle_s = IDLE_MAX_S if attempt.idempotent else NON_IDEMPOTENT_IDLE_MAX_S
    sent_at = remote.monotonic()
    left_s = max(0.0, attempt.deadline - sent_at) + REFUSAL_MARGIN_S
    address = (node.host, node.peer_port)
    async with open_connection(
        remote.connections,
        address,
        max_idle_s=idle_s,
        timeout_s=remote.connect_s,
    ) as connected:
        if isinstance(connected, Failure):
            note_path_failure(remote.paths, node.node)
            yield Failure(not_run(Reason.PEER_UNREACHABLE, node.node))
            return
        async with exchange(
            connected.unwrap(),
            head,
            body,
            first_byte_s=left_s,
            check_after_s=first_byte_bound_s(remote.paths, attempt.route, left_s),
            check=partial(_is_with_owner, remote, node, attempt),
        ) as result:
            if isinstance(result, Success):
                took_s = remote.monotonic() - sent_at
                note_answer(remote.paths, node.node, attempt.route, took_s)
                yield _answer_or_refusal(remote, result.unwrap())
                return
            cause = result.failure().cause
    # The connection is closed by now; the owner may still hold the attempt.
    yield Failure(await _settle(remote, node, attempt.attempt, sent_at, cause))


async def _is_with_owner(
    remote: RemoteOwners, node: NodeRecord, attempt: AttemptRequest
) -> bool:
    """Ask over a new connection whether an attempt without an answer has arrived."""
    state = await remote.queries.attempt_state(node, attempt.attempt)
    if state is None:
        note_path_failure(remote.paths, node.node)
        # Nothing is known of the attempt, so only idempotent work goes elsewhere.
        return not attempt.idempotent
    if state == "running":
        return True
    if state == "ended":
        # The answer may be on its way.
        await asyncio.sleep(ANSWER_GRACE_S)
    # The new connection works and the old one lost the request or its answer.
    remote.connections.drop_address((node.host, node.peer_port))
    return False


def add_attempt_headers(
    remote: RemoteOwners, attempt: AttemptRequest, headers: HTTPHeaders
) -> None:
    """Set the headers of an attempt on its way to another node."""
    left_ms = int((attempt.deadline - remote.monotonic()) * 1000)
    headers["Siskinlug-Token"] = remote.token
    headers["Siskinlug-At"] = encode_timestamp(remote.clock.now())
    headers["Siskinlug-Attempt"] = attempt.attempt
    headers["Siskinlug-Target"] = attempt.target
    headers["Siskinlug-Route"] = attempt.route
    headers["Siskinlug-Account"] = attempt.account
    headers["Siskinlug-Priority"] = str(attempt.priority)
    headers["Siskinlug-Work"] = "long" if attempt.long_work else "short"
    headers["Siskinlug-Idempotent"] = "yes" if attempt.idempotent else "no"
    headers["Siskinlug-Deadline-Ms"] = str(max(0, left_ms))
    headers["Siskinlug-Fingerprint"] = attempt.fingerprint
    headers["Siskinlug-Least-Sound"] = f"{attempt.min_health:.3f}"
    if attempt.usual_s is not None:
        headers["Siskinlug-Usual-Ms"] = f"{attempt.usual_s * 1000:.1f}"
    if math.isfinite(attempt.wait_limit_s):
        headers["Siskinlug-Wait-Limit-Ms"] = f"{attempt.wait_limit_s * 1000:.0f}"
    if math.isfinite(attempt.due):
        due_ms = (attempt.due - remote.monotonic()) * 1000
        headers["Siskinlug-Due-Ms"] = f"{due_ms:.0f}"
    if attempt.baseline_s is not None:
        headers["Siskinlug-Baseline-Ms"] = f"{attempt.baseline_s * 1000:.2f}"
    else:
        # A retry may carry that of an earlier attempt.
        drop_header(headers, "Siskinlug-Baseline-Ms")


def _answer_or_refusal(remote: RemoteOwners, answer: Answer) -> Result[Answer, Refusal]:
    observe_time_header(remote.clock, answer.headers.get("Siskinlug-At"))
    load = decode_load(answer.headers.get("Siskinlug-Load", ""))
    if load is not None:
        remote.note_load(load)
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


async def _settle(
    remote: RemoteOwners, node: NodeRecord, attempt: str, sent_at: float, cause: str
) -> Refusal:
    """Ask the owner, over a new connection, what became of a lost attempt."""
    if cause == "body_cut":
        return may_have_run(Reason.CANCELLED)
    if cause != "silent":
        note_path_failure(remote.paths, node.node)
    verdict = await remote.queries.cancel_attempt(node, attempt, sent_at)
    return Refusal(verdict, Reason.PEER_LOST, f"{node.node}: {cause}")
