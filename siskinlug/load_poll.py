"""Load polls: an entry asks owners for the load of their targets before it selects one.

Polls are JSON datagrams. A lost datagram only hides its targets from one selection. The
number of polls depends on the request rate and not on the size of the fleet, and a
response is a few milliseconds old when it is used (probing as in Prequal, Wydrowski et
al., 2024).
"""

import asyncio
import hmac
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple, cast

import msgspec
import xxhash
from absl import logging

from siskinlug.connections import Address
from siskinlug.logs import log_event

# Maximum wait for responses: more than ten times the round trip between two failure
# domains of a region, and short compared with the shortest latency objective.
POLL_WAIT_S = 0.03
MAX_DATAGRAM_BYTES = 1400


class TargetReport(msgspec.Struct, array_like=True, frozen=True):
    """Health and load of one target, as its owner reports them.

    Attributes:
        target: Target id.
        health: Probability that the target is healthy, 0 to 1.
        wants_trial: Whether a trial request may be sent to the target.
        in_use: Occupied slots.
        slots: Number of slots.
        wait_s: Expected wait of the polling request, in seconds.
        shed: Share of requests that the target sheds without running them.
        untested: Whether the owner has observed nothing of the target yet.
    """

    target: str
    health: float
    wants_trial: bool
    in_use: int
    slots: int
    wait_s: float
    shed: float = 0.0
    untested: bool = False


class QueuePosition(msgspec.Struct, array_like=True, frozen=True):
    """Sort key of a request in the owners' queues, for the estimate of its wait.

    Attributes:
        priority: 0 is served first, 9 last.
        due_s: End of the latency objective, in seconds from now.
    """

    priority: int
    due_s: float


class _Question(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    poll_id: int
    key: str
    targets: list[str]
    position: QueuePosition


class _Answer(msgspec.Struct, array_like=True, frozen=True, tag="tell"):
    poll_id: int
    key: str
    reports: list[TargetReport]


class PolledNode(NamedTuple):
    """A node to poll and the targets to ask for."""

    address: Address
    targets: list[str]


class _PendingPoll:
    """Responses to a poll and the number still missing."""

    def __init__(self, remaining: int, done: "asyncio.Future[None]") -> None:
        self.remaining = remaining
        self.done = done
        self.reports: list[TargetReport] = []


# Returns the report on a target for a request at this queue position, ``None`` if the
# target accepts no requests through this node.
ReportTarget = Callable[[str, QueuePosition], TargetReport | None]


class LoadPolls(asyncio.DatagramProtocol):
    """Sends and answers polls for one node; see ``make_polls`` and ``open_polls``."""

    def __init__(self, report: ReportTarget, key: str) -> None:
        self.report = report
        self.key = key
        self.transport: asyncio.DatagramTransport | None = None
        self.pending_by_id: dict[int, _PendingPoll] = {}
        self.last_poll_id = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # asyncio's datagram transport is not a subclass of ``DatagramTransport``.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Answer a poll, or add the reports of a response to a pending poll."""
        try:
            message = msgspec.json.decode(data, type=_Question | _Answer)
        except msgspec.MsgspecError as error:
            log_event("poll_unreadable", write=logging.debug, problem=str(error))
            return
        if not hmac.compare_digest(message.key.encode(), self.key.encode()):
            return
        if isinstance(message, _Answer):
            self._add_reports(message)
            return
        reports = [self.report(target, message.position) for target in message.targets]
        known = [report for report in reports if report is not None]
        answer = _Answer(message.poll_id, self.key, known)
        if self.transport is not None:
            self.transport.sendto(msgspec.json.encode(answer), addr)

    def error_received(self, exc: Exception) -> None:
        """Log a socket error, such as a port on which no process listens."""
        log_event("poll_error", write=logging.debug, problem=str(exc))

    def _add_reports(self, answer: _Answer) -> None:
        pending = self.pending_by_id.get(answer.poll_id)
        if pending is None:
            return
        pending.reports += answer.reports
        pending.remaining -= 1
        if pending.remaining <= 0 and not pending.done.done():
            pending.done.set_result(None)


def _poll_key(token: str) -> str:
    # The token itself must not be sent in every datagram.
    return xxhash.xxh3_64_hexdigest(f"poll {token}".encode())


def make_polls(report: ReportTarget, *, token: str) -> LoadPolls:
    """Make the polls of one node, without a socket.

    Args:
        report: Returns the report on an owned target.
        token: Secret shared by the nodes.
    """
    return LoadPolls(report, _poll_key(token))


@asynccontextmanager
async def open_polls(polls: LoadPolls, *, host: str, port: int) -> AsyncIterator[None]:
    """Listen for polls and responses inside the ``async with`` block.

    Args:
        polls: This node's polls.
        host: Address to listen on.
        port: UDP port; its number equals the TCP port for messages between nodes.
    """
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: polls, local_addr=(host, port)
    )
    try:
        yield
    finally:
        transport.close()
        polls.transport = None


async def poll_targets(
    polls: LoadPolls,
    nodes: Sequence[PolledNode],
    position: QueuePosition,
    *,
    wait_s: float = POLL_WAIT_S,
) -> list[TargetReport]:
    """Ask owners for the health and load of their targets.

    Args:
        polls: This node's polls.
        nodes: The owners, with the targets to ask for.
        position: Sort key of the request in the owners' queues.
        wait_s: Maximum wait for responses, in seconds.

    Returns:
        The reports that arrived in time.
    """
    if not nodes or polls.transport is None:
        return []
    loop = asyncio.get_running_loop()
    polls.last_poll_id += 1
    poll_id = polls.last_poll_id
    pending = _PendingPoll(len(nodes), loop.create_future())
    polls.pending_by_id[poll_id] = pending
    try:
        for node in nodes:
            question = _Question(poll_id, polls.key, node.targets, position)
            polls.transport.sendto(msgspec.json.encode(question), node.address)
        await asyncio.wait({pending.done}, timeout=wait_s)
    finally:
        del polls.pending_by_id[poll_id]
    return pending.reports
