"""Cluster members in one process, on a simulated network with one-way faults."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from siskinlug.clock import HybridClock
from siskinlug.connections import Address
from siskinlug.directory import NodeRecord, TargetRecord
from siskinlug.membership import (
    Membership,
    Payload,
    make_handlers,
    make_membership,
    run_membership,
)
from siskinlug.messages import decode, encode
from siskinlug.peer_client import PeerFailure, Traffic
from siskinlug.timeline import Timeline

ONE_WAY_DELAY_S = 0.0015
# HTTP heads without the path. For a ping over loopback with a token of 32 characters,
# call_peer wrote 149 bytes and the peer port 71.
REQUEST_HEAD_BYTES = 155
ANSWER_HEAD_BYTES = 75
# TCP and IP headers of a call over a connection of its own: 11 segments of 52 bytes.
# At 430 nodes nearly every call opens a connection, because idle ones close after
# 30 s.
TCP_BYTES_PER_CALL = 572
# Traffic kind of the TCP and IP headers, counted apart from HTTP bytes.
TCP_KIND = "tcp"


class FakeNode(NamedTuple):
    """A running member, its own traffic and the task that runs it."""

    membership: Membership
    traffic: Traffic
    task: asyncio.Task[None]


class FakeNetwork:
    """Simulated network that delivers messages between members and counts bytes.

    Attributes:
        node_by_name: Running nodes.
        name_by_address: Node that listens on each address.
        is_link_cut: Returns whether messages from a sender to a receiver are lost.
        pooled_silent: Whether messages on connections opened before are lost.
        paused: Paused nodes, each with the event that is set when its pause ends.
        calls_by_path: Number of calls by path.
        far_calls_by_path: Number of those to another failure domain, by path.
        traffic: Bytes of all nodes, including those that have ended.
    """

    def __init__(self, *, random: Random) -> None:
        self.random = random
        self.node_by_name: dict[str, FakeNode] = {}
        self.name_by_address: dict[Address, str] = {}
        self.is_link_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.pooled_silent = False
        self.paused: dict[str, asyncio.Event] = {}
        self.calls_by_path: Counter[str] = Counter()
        self.far_calls_by_path: Counter[str] = Counter()
        self.traffic = Traffic()

    async def _wait_until_resumed(self, name: str) -> None:
        while name in self.paused:
            await self.paused[name].wait()

    async def sleep(self, name: str, seconds: float) -> None:
        """Sleep, and then wait until the node is no longer paused."""
        await asyncio.sleep(seconds)
        await self._wait_until_resumed(name)

    async def call(
        self,
        sender: str,
        address: Address,
        path: str,
        message: Any,
        answer_type: Any,
        *,
        timeout_s: float,
        fresh: bool = False,
    ) -> Result[Any, PeerFailure]:
        """Deliver a message and return the answer, in place of ``call_peer``.

        Args:
            sender: Name of the calling node.
            address: Address of the receiving node.
            path: Path that selects the handler.
            message: Request message.
            answer_type: Type to decode the answer to.
            timeout_s: Time limit in seconds.
            fresh: Whether a new connection is opened; see ``pooled_silent``.

        Returns:
            The answer, or a failure if none arrived within the time limit.
        """
        await self._wait_until_resumed(sender)
        self.calls_by_path[path] += 1
        if self._is_far(sender, address):
            self.far_calls_by_path[path] += 1
        try:
            async with asyncio.timeout(timeout_s):
                if self.pooled_silent and not fresh:
                    await asyncio.Event().wait()
                answer = await self._deliver(sender, address, path, encode(message))
        except TimeoutError:
            answer = None
        await self._wait_until_resumed(sender)
        if answer is None:
            return Failure(PeerFailure(address, "timeout", True))
        return Success(decode(answer, answer_type))

    async def _deliver(
        self, sender: str, address: Address, path: str, body: bytes
    ) -> bytes:
        receiver = self.name_by_address.get(address, "")
        self._count_bytes(sender, path, sent=REQUEST_HEAD_BYTES + len(path) + len(body))
        await asyncio.sleep(ONE_WAY_DELAY_S)
        node = self.node_by_name.get(receiver)
        if node is None or self.is_link_cut(sender, receiver):
            await asyncio.Event().wait()
        assert node is not None
        await self._wait_until_resumed(receiver)
        size = REQUEST_HEAD_BYTES + len(path) + len(body)
        self._count_bytes(receiver, path, received=size)
        handler = make_handlers(node.membership)[path]
        answer = encode(await handler.handle(decode(body, handler.message_type)))
        size = ANSWER_HEAD_BYTES + len(answer)
        self._count_bytes(receiver, path, sent=size)
        await asyncio.sleep(ONE_WAY_DELAY_S)
        if (
            self.is_link_cut(receiver, sender)
            or self.node_by_name.get(receiver) is not node
        ):
            await asyncio.Event().wait()
        self._count_bytes(sender, path, received=size)
        for name in (sender, receiver):
            self._count_bytes(
                name,
                TCP_KIND,
                sent=TCP_BYTES_PER_CALL // 2,
                received=TCP_BYTES_PER_CALL // 2,
            )
        return answer

    def _is_far(self, sender: str, address: Address) -> bool:
        nodes = [
            self.node_by_name.get(name)
            for name in (sender, self.name_by_address.get(address, ""))
        ]
        domains = {
            node.membership.directory.own_record.failure_domain
            for node in nodes
            if node is not None
        }
        return len(domains) > 1

    def _count_bytes(
        self, name: str, kind: str, *, sent: int = 0, received: int = 0
    ) -> None:
        node = self.node_by_name.get(name)
        if node is not None:
            node.traffic.count(kind, sent=sent, received=received)
            self.traffic.count(kind, sent=sent, received=received)

    def start(
        self,
        own: NodeRecord,
        *,
        seeds: Sequence[Address] = (),
        payloads: Sequence[Payload] = (),
        **options: Any,
    ) -> Membership:
        """Start a member.

        Args:
            own: Record of the member.
            seeds: Addresses of nodes to join through.
            payloads: Payloads carried by gossip.
            options: Further options of ``make_membership``.

        Returns:
            The membership of the new node.
        """
        name = own.node
        loop = asyncio.get_running_loop()

        async def call(*args: Any, **kwargs: Any) -> Result[Any, PeerFailure]:
            return await self.call(name, *args, **kwargs)

        async def sleep(seconds: float) -> None:
            await self.sleep(name, seconds)

        clock = HybridClock(wall_ms=lambda: 1_700_000_000_000 + int(loop.time() * 1000))
        membership = make_membership(
            own,
            call=call,
            timeline=Timeline(name, clock),
            monotonic=loop.time,
            random=Random(self.random.random()),
            sleep=sleep,
            seeds=seeds,
            payloads=payloads,
            **options,
        )
        task = asyncio.create_task(run_membership(membership))
        self.node_by_name[name] = FakeNode(membership, Traffic(), task)
        self.name_by_address[own.host, own.peer_port] = name
        return membership

    async def kill(self, name: str) -> None:
        """End a member without a leave announcement.

        An error raised by its task is raised again.
        """
        node = self.node_by_name.pop(name)
        node.task.cancel()
        await asyncio.wait([node.task])
        if not node.task.cancelled():
            node.task.result()

    async def stop(self) -> None:
        """End all members.

        An error raised by the task of a member is raised again.
        """
        for name in list(self.node_by_name):
            await self.kill(name)

    def pause(self, name: str) -> None:
        """Suspend a member, as if its process were stopped."""
        self.paused[name] = asyncio.Event()

    def resume(self, name: str) -> None:
        """Resume a paused member."""
        self.paused.pop(name).set()

    def count_states(self, subject: str) -> Counter[str]:
        """Count the states in which the other running nodes list a node.

        Nodes without a record of it count as ``unknown``.
        """
        states: Counter[str] = Counter()
        for name, node in self.node_by_name.items():
            if name != subject:
                record = node.membership.directory.record_by_node.get(subject)
                states["unknown" if record is None else record.state] += 1
        return states

    def converged(self) -> bool:
        """Return whether all running nodes hold equal, complete directories."""
        nodes = [node.membership for node in self.node_by_name.values()]
        return (
            all(len(m.live_peers()) == len(nodes) - 1 for m in nodes)
            and len({m.directory.digest() for m in nodes}) == 1
        )


def make_node_record(
    number: int, *, domains: int = 5, targets: int = 0, incarnation: int = 1
) -> NodeRecord:
    """Build the record of a starting node, with ids of realistic length.

    Args:
        number: Number that the ids and the address are derived from.
        domains: Number of failure domains that nodes are spread over.
        targets: Number of targets of the node.
        incarnation: Offset added to the incarnation.
    """
    domain = number % domains
    # Addresses only have to be distinct: no connection is opened.
    host = f"10.{domain}.{number // 250}.{number % 250}"
    return NodeRecord(
        node=f"node-{number:04d}",
        incarnation=1_700_000_000_000 + incarnation,
        version=1,
        state="alive",
        vm=f"vm-{number:04d}",
        failure_domain=f"domain-{domain}",
        region="region-a" if domain < (domains + 1) // 2 else "region-b",
        host=host,
        peer_port=7001,
        admin_port=7002,
        targets=tuple(
            TargetRecord(
                target=f"service-{(number * 8 + index) % 81:02d}-{number:04d}-{index}",
                service=f"service-{(number * 8 + index) % 81:02d}",
                slots=6,
                incarnation=1_700_000_000_000 + number,
                epoch=1,
                state="ready",
            )
            for index in range(targets)
        ),
    )


async def wait_until(condition: Callable[[], bool], *, limit_s: float) -> float | None:
    """Wait in virtual time until a condition holds.

    Returns:
        Seconds waited, or None if the limit passed first.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        if loop.time() - started >= limit_s:
            return None
        await asyncio.sleep(0.05)
    return loop.time() - started
