"""Load polls: an entry asks owners for the state of their targets before it chooses.

Polls are datagrams with JSON: a lost one only hides its target from one choice. Their
number depends on the requests and not on the size of the fleet, and an answer is a few
milliseconds old when it is used (probing as in Prequal, Wydrowski et al., 2024).
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

# Longest wait for answers: more than ten times the round trip between two failure
# domains of a region, and little beside the shortest objective.
POLL_WAIT_S = 0.03
MAX_DATAGRAM_BYTES = 1400


class TargetReport(msgspec.Struct, array_like=True, frozen=True):
    """State of one target, as its owner reports it.

    Attributes:
        target: Target id.
        sound: Probability that it is sound.
        wants_trial: Whether it may be tried.
        in_use: Slots taken.
        slots: Slots in all.
        wait_s: Expected wait of the request that was asked for, in seconds.
        shed: Share of requests that the target turns away unrun.
    """

    target: str
    sound: float
    wants_trial: bool
    in_use: int
    slots: int
    wait_s: float
    shed: float = 0.0


class QueuePosition(msgspec.Struct, array_like=True, frozen=True):
    """Place of a request in a queue, so that its own wait is reported.

    Attributes:
        priority: 0 is served first.
        due_s: Time until which its answer is of full use, in seconds from now.
    """

    priority: int
    due_s: float


class _Question(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    number: int
    key: str
    targets: list[str]
    position: QueuePosition


class _Answer(msgspec.Struct, array_like=True, frozen=True, tag="tell"):
    number: int
    key: str
    reports: list[TargetReport]


class PolledNode(NamedTuple):
    """A node to ask and its targets."""

    address: Address
    targets: list[str]


class _Round:
    """One poll that waits for its answers."""

    def __init__(self, left: int, done: "asyncio.Future[None]") -> None:
        self.left = left
        self.done = done
        self.reports: list[TargetReport] = []


# From a target id and the turn of a request to a report; ``None`` if the target takes
# no requests here.
Report = Callable[[str, QueuePosition], TargetReport | None]


class LoadPolls(asyncio.DatagramProtocol):
    """Both ends of the polls of one node; see ``make_polls`` and ``open_polls``."""

    def __init__(self, report: Report, key: str) -> None:
        self.report = report
        self.key = key
        self.transport: asyncio.DatagramTransport | None = None
        self.round_by_number: dict[int, _Round] = {}
        self.count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        # asyncio's own transport for datagrams does not derive from its base class.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Answer a question, or note an answer."""
        try:
            message = msgspec.json.decode(data, type=_Question | _Answer)
        except msgspec.MsgspecError as error:
            log_event("poll_unreadable", write=logging.debug, problem=str(error))
            return
        if not hmac.compare_digest(message.key, self.key):
            return
        if isinstance(message, _Answer):
            self._take(message)
            return
        reports = [self.report(target, message.position) for target in message.targets]
        known = [report for report in reports if report is not None]
        answer = _Answer(message.number, self.key, known)
        if self.transport is not None:
            self.transport.sendto(msgspec.json.encode(answer), addr)

    def error_received(self, exc: Exception) -> None:
        """Log an error of the socket, such as a port that nobody listens on."""
        log_event("poll_error", write=logging.debug, problem=str(exc))

    def _take(self, answer: _Answer) -> None:
        waiting = self.round_by_number.get(answer.number)
        if waiting is None:
            return
        waiting.reports += answer.reports
        waiting.left -= 1
        if waiting.left <= 0 and not waiting.done.done():
            waiting.done.set_result(None)


def _key(token: str) -> str:
    # The token itself must not travel in every datagram.
    return xxhash.xxh3_64_hexdigest(f"poll {token}".encode())


def make_polls(report: Report, *, token: str) -> LoadPolls:
    """Make the polls of a node that does not listen yet.

    Args:
        report: Reports on an owned target.
        token: Shared key of the nodes.
    """
    return LoadPolls(report, _key(token))


@asynccontextmanager
async def open_polls(polls: LoadPolls, *, host: str, port: int) -> AsyncIterator[None]:
    """Listen for polls inside the block.

    Args:
        polls: The node's polls.
        host: Address to listen on.
        port: Port, the same as that for messages between nodes.
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
    asked: Sequence[PolledNode],
    position: QueuePosition,
    *,
    wait_s: float = POLL_WAIT_S,
) -> list[TargetReport]:
    """Ask owners for the state of their targets.

    Args:
        polls: This node's polls.
        asked: The owners.
        position: Place of the request in a queue.
        wait_s: Longest wait for answers, in seconds.

    Returns:
        The reports that arrived in time.
    """
    if not asked or polls.transport is None:
        return []
    loop = asyncio.get_running_loop()
    polls.count += 1
    number = polls.count
    waiting = _Round(len(asked), loop.create_future())
    polls.round_by_number[number] = waiting
    try:
        for owner in asked:
            question = _Question(number, polls.key, owner.targets, position)
            polls.transport.sendto(msgspec.json.encode(question), owner.address)
        await asyncio.wait({waiting.done}, timeout=wait_s)
    finally:
        del polls.round_by_number[number]
    return waiting.reports
