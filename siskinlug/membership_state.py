"""State of the membership, shared by the modules that implement it."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence
from random import Random
from typing import Any, NamedTuple, Protocol

from returns.result import Result

from siskinlug.clock import HybridClock
from siskinlug.connections import Address
from siskinlug.directory import Directory, NodeRecord, RecordSummary, summarize_record
from siskinlug.links import link_up, make_links
from siskinlug.timeline import Timeline

# The targets of a starting node announce themselves within a second or two, and each
# push of the record is forwarded by the whole fleet, so they share a push.
PUSH_OWN_CONTENT_INTERVAL_S = 1.0
# Hundreds of deaths or refutations arrive together when a failure domain is lost or
# regions reconnect, and none is as urgent as a change of configuration.
PUSH_DEATHS_INTERVAL_S = 1.0

Sleep = Callable[[float], Awaitable[None]]


class CallPeer(Protocol):
    """Signature of ``siskinlug.peer_client.call_peer`` with its client bound.

    ``fresh`` sends the message over a new connection instead of a pooled one.
    """

    async def __call__(  # noqa: D102
        self,
        address: Address,
        path: str,
        message: Any,
        answer_type: Any,
        *,
        timeout_s: float,
        fresh: bool = False,
    ) -> Result[Any, Any]: ...


class Payload(NamedTuple):
    """A value that another module adds to pings, their responses and pushes.

    Attributes:
        name: Key of the value, the same on all nodes.
        value_type: Type that received values are validated against.
        write: Returns the value to send, or None to send nothing. Its argument is
            whether the message is a push.
        read: Takes the sender's node id, which is empty if the sender has the name of
            this node, and the received value. Returns whether the value was new; a
            new value is pushed to further nodes.
    """

    name: str
    value_type: Any
    write: Callable[[bool], Any | None]
    read: Callable[[str, Any], bool]


class PendingChange:
    """A change of a record that pings still repeat.

    Attributes:
        content_changed: Whether the content changed, so that receivers need the
            record and not just its summary.
        repeats_left: Number of further pings that carry the change.
        expires_at: When repeats end at the latest, in monotonic seconds.
    """

    def __init__(
        self, *, content_changed: bool, repeats_left: int, expires_at: float
    ) -> None:
        self.content_changed = content_changed
        self.repeats_left = repeats_left
        self.expires_at = expires_at


class Throttle:
    """Limits an action to one run per interval; the first runs immediately."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.next_run_at = -math.inf
        self.scheduled = False


# Reads the addresses of nodes; returns None if they are unavailable.
ReadMembers = Callable[[], Awaitable[Sequence[Address] | None]]


class LostNode(NamedTuple):
    """Address of a node declared dead, and the time of that in monotonic seconds."""

    address: Address
    since: float


class Membership:
    """State of one node's view of the fleet; see ``make_membership``.

    Attributes:
        joined: Set once the node has joined the fleet.
        replaced: Set once a newer process runs under the name of this node.
        suspected_since_by_node: When this node began to suspect others, monotonic
            seconds.
        dead_since_by_node: When nodes were declared dead, monotonic seconds.
        lost_by_node: Dead nodes that this node tries to reconnect to, also after
            their records are removed.
        ping_queue: Nodes to ping, in random order; the last is next.
        pending_change_by_node: Changes that pings repeat.
        urgent_nodes: Nodes whose records are to be pushed, and whether their content
            changed.
        urgent_payloads: Names of the payloads to be pushed.
        push_due: Set when there is something to push.
        last_change_at: Time of the last change of the directory, monotonic seconds.
        digest_mismatch_since: Since when digests of peers differ, or None.
        next_sync_at: Earliest time of the next sync, monotonic seconds.
        published_record: Record of this node as last handed to gossip.
        collected_deaths: Nodes that died or refuted their death, to be pushed.
        tasks: Task group of the running membership, or None.
    """

    def __init__(
        self,
        directory: Directory,
        *,
        call: CallPeer,
        timeline: Timeline,
        monotonic: Callable[[], float],
        random: Random,
        sleep: Sleep,
        seeds: Sequence[Address],
        read_members: ReadMembers,
        payloads: Iterable[Payload],
        on_stale_connections: Callable[[Address], object],
    ) -> None:
        self.directory = directory
        self.call = call
        self.timeline = timeline
        self.clock: HybridClock = timeline.clock
        self.monotonic = monotonic
        self.random = random
        self.sleep = sleep
        self.seeds = tuple(seeds)
        self.read_members = read_members
        self.payload_by_name = {payload.name: payload for payload in payloads}
        self.on_stale_connections = on_stale_connections
        self.links = make_links(monotonic=monotonic)
        self.joined = asyncio.Event()
        self.replaced = asyncio.Event()
        self.suspected_since_by_node: dict[str, float] = {}
        self.dead_since_by_node: dict[str, float] = {}
        self.lost_by_node: dict[str, LostNode] = {}
        self.ping_queue: list[str] = []
        self.pending_change_by_node: dict[str, PendingChange] = {}
        self.urgent_nodes: dict[str, bool] = {}
        self.urgent_payloads: set[str] = set()
        self.push_due: asyncio.Event = asyncio.Event()
        self.last_change_at = -math.inf
        self.digest_mismatch_since: float | None = None
        self.next_sync_at = -math.inf
        self.published_record = directory.own_record
        self.own_content_throttle = Throttle(PUSH_OWN_CONTENT_INTERVAL_S)
        self.deaths_throttle = Throttle(PUSH_DEATHS_INTERVAL_S)
        self.collected_deaths: set[str] = set()
        self.tasks: asyncio.TaskGroup | None = None

    def own_summary(self) -> RecordSummary:
        """Return the summary of this node's record."""
        return summarize_record(self.directory.own_record)

    def jittered(self, interval_s: float) -> float:
        """Return a random duration from 0.5 to 1.5 times an interval, in seconds."""
        return interval_s * (0.5 + self.random.random())

    def live_peers(self) -> list[NodeRecord]:
        """Return the records of other nodes that are not dead."""
        own = self.directory.own_node
        return [r for r in self.directory.live_records() if r.node != own]


def address_of(peer: NodeRecord) -> Address:
    """Return the address of a node's peer port."""
    return peer.host, peer.peer_port


def sample_peers(
    membership: Membership, count: int, *, exclude: str | None = None
) -> list[NodeRecord]:
    """Return a random sample of peers that are neither suspected nor unreachable.

    Args:
        membership: The membership.
        count: Size of the sample, which is smaller if there are fewer peers.
        exclude: Node to leave out.
    """
    peers = [
        peer
        for peer in membership.live_peers()
        if peer.node != exclude
        and peer.node not in membership.suspected_since_by_node
        and link_up(membership.links, peer.node) is not False
    ]
    return membership.random.sample(peers, min(count, len(peers)))


def start_task(membership: Membership, task: Coroutine[Any, Any, object]) -> None:
    """Start a background task, unless the membership is not running."""
    if membership.tasks is None:
        task.close()
    else:
        membership.tasks.create_task(task)
