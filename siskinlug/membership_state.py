"""State of the membership, shared by the modules that work on it."""

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

# The targets of a node that starts come within a second or two, and each push of the
# record is passed on by the whole fleet.
PUSH_OWN_CONTENT_INTERVAL_S = 1.0
# Deaths and refutations come by the hundred when a failure domain is lost or regions
# meet again, and none is as urgent as a change of configuration.
PUSH_DEATHS_INTERVAL_S = 1.0

Sleep = Callable[[float], Awaitable[None]]


class CallPeer(Protocol):
    """``siskinlug.peer_client.call_peer`` with its client bound."""

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
    """A value that another module adds to pings, their answers and pushes.

    Attributes:
        name: Key of the value, the same on all nodes.
        value_type: Type that received values are checked against.
        write: Returns the value to send or None. Its argument tells whether the
            message is an urgent push.
        read: Takes the sender's node id and the value, and returns whether it was
            new; what is new is pushed on.
    """

    name: str
    value_type: Any
    write: Callable[[bool], Any | None]
    read: Callable[[str, Any], bool]


class PendingChange:
    """A change on its way: repeats left, their end, and if the content changed."""

    def __init__(
        self, *, content_changed: bool, repeats_left: int, expires_at: float
    ) -> None:
        self.content_changed = content_changed
        self.repeats_left = repeats_left
        self.expires_at = expires_at


class Throttle:
    """Runs an action at once, and then at most once in an interval."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.next_run_at = -math.inf
        self.scheduled = False


# Reads the addresses of nodes; ``None`` if they cannot be read now.
ReadMembers = Callable[[], Awaitable[Sequence[Address] | None]]


class LostNode(NamedTuple):
    """Address of a node declared dead, and since when, monotonic seconds."""

    address: Address
    since: float


class Membership:
    """What one node knows of the others; see ``make_membership``."""

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
        # Since when this node has suspected others, monotonic seconds.
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
        self.published_record = directory.own
        self.own_content_throttle = Throttle(PUSH_OWN_CONTENT_INTERVAL_S)
        self.deaths_throttle = Throttle(PUSH_DEATHS_INTERVAL_S)
        # Nodes that died or were refuted, waiting to be pushed.
        self.collected_deaths: set[str] = set()
        self.tasks: asyncio.TaskGroup | None = None

    def own_summary(self) -> RecordSummary:
        """Return the mark of this node's record."""
        return summarize_record(self.directory.own)

    def jittered(self, interval_s: float) -> float:
        """Return a random time from half to one and a half of an interval."""
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
    """Draw other nodes, leaving out suspects and links known to be down."""
    peers = [
        peer
        for peer in membership.live_peers()
        if peer.node != exclude
        and peer.node not in membership.suspected_since_by_node
        and link_up(membership.links, peer.node) is not False
    ]
    return membership.random.sample(peers, min(count, len(peers)))


def start_task(membership: Membership, task: Coroutine[Any, Any, object]) -> None:
    """Run a task beside the others, unless the membership is stopping."""
    if membership.tasks is None:
        task.close()
    else:
        membership.tasks.create_task(task)
