"""Membership: heartbeats, indirect checks, suspicion, and spreading of records.

Each node pings one other node a second. Changed records travel on pings and their
answers, urgent ones also by push; a difference that remains is found by digest and
settled by a sync of the buckets that differ.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Mapping, Sequence
from itertools import islice
from random import Random
from typing import Any, NamedTuple, Protocol

import msgspec
from absl import logging
from returns.result import Result, Success

from siskinlug.clock import HybridClock, Timestamp
from siskinlug.connections import Address
from siskinlug.directory import (
    Directory,
    Mark,
    Merge,
    NodeRecord,
    TargetRecord,
    bucket_of,
    is_replacement,
    mark_of,
    mark_order,
    merge_mark,
    merge_record,
    record_order,
    update_own,
)
from siskinlug.links import forget_link, link_up, make_links, note_failure, note_success
from siskinlug.messages import (
    Gossip,
    PingThrough,
    PingThroughAnswer,
    PushAnswer,
    SyncAnswer,
    SyncRequest,
)
from siskinlug.timeline import Kind, Timeline, record

PING = "/peer/ping"
PING_THROUGH = "/peer/ping-through"
PUSH = "/peer/push"
SYNC = "/peer/sync"

PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 0.5
# Links that are down are tried again after this time, a few in each interval; their
# next turn in the list would come only after 7 min at 430 nodes.
LINK_RECHECK_S = 2.0
LINK_RECHECKS = 4
HELPERS = 3
PING_THROUGH_TIMEOUT_S = 1.0
SUSPICION_S = 3.0
# Rounds of checks during a suspicion, each through other helpers.
SUSPICION_ROUNDS = 3
PUSH_FANOUT = 4
# A first change is pushed at once; those that follow are collected for this long.
PUSH_COLLECT_S = 0.2
PUSH_TIMEOUT_S = 1.0
RECORDS_PER_PING = 8
# A change known for longer is left to syncs. The records of a cold start of 430 nodes
# would otherwise be repeated for some minutes.
SPREAD_S = 30.0
MARKS_PER_PING = 24
RECORDS_PER_PUSH = 32
# Repeats after a push, which alone leaves out about 2 % of the nodes.
# They last about 2.5 s, in which each node that was left out pings two or three.
REPEATS_AFTER_PUSH = 5
# The targets of a node that starts come within a second or two, and each push of the
# record is passed on by the whole fleet.
OWN_CONTENT_INTERVAL_S = 1.0
# Deaths and refutations come by the hundred when a failure domain is lost or regions
# meet again, and none is as urgent as a change of configuration.
DEATHS_INTERVAL_S = 1.0
SYNC_TIMEOUT_S = 3.0
SYNC_INTERVAL_S = 5.0
# A digest that differs while changes are still spreading is no reason for a sync.
MISMATCH_S = 2.0
QUIET_S = 2.0
MISMATCH_LIMIT_S = 15.0
RECONNECT_INTERVAL_S = 10.0
FORGET_S = 600.0
# Regions are partitioned for up to an hour, which is longer than FORGET_S.
LOST_KEEP_S = 86_400.0
LOST_MAX = 1024
JOIN_INTERVAL_S = 2.0
JOIN_CANDIDATES = 8
# A clock further ahead than this is not followed; its events sort wrongly instead.
CLOCK_LEAD_MAX_MS = 60_000

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


class Handler(NamedTuple):
    """Handler of one path of the peer port."""

    message_type: Any
    handle: Callable[[Any], Awaitable[Any]]


class _Spread:
    """A change on its way: repeats left, their end, and if the content changed."""

    def __init__(self, *, whole: bool, left: int, until: float) -> None:
        self.whole = whole
        self.left = left
        self.until = until


class _Throttle:
    """Runs an action at once, and then at most once in an interval."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.next = -math.inf
        self.waiting = False


class _Lost(NamedTuple):
    address: Address
    since: float


async def _no_members() -> Sequence[Address]:
    return ()


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
        read_members: Callable[[], Awaitable[Sequence[Address]]],
        payloads: Iterable[Payload],
        on_silent: Callable[[Address], object],
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
        self.on_silent = on_silent
        self.links = make_links(monotonic=monotonic)
        self.joined = asyncio.Event()
        self.replaced = asyncio.Event()
        # Since when this node has suspected others, monotonic seconds.
        self.suspect_since: dict[str, float] = {}
        self.dead_since: dict[str, float] = {}
        self.lost_by_node: dict[str, _Lost] = {}
        self.queue: list[str] = []
        self.spreading: dict[str, _Spread] = {}
        self.urgent: dict[str, bool] = {}
        self.urgent_payloads: set[str] = set()
        self.push_due: asyncio.Event = asyncio.Event()
        self.last_change = -math.inf
        self.mismatch_since: float | None = None
        self.next_sync = -math.inf
        self.own_noticed = directory.own
        self.own_content = _Throttle(OWN_CONTENT_INTERVAL_S)
        self.deaths = _Throttle(DEATHS_INTERVAL_S)
        # Nodes that died or were refuted, waiting to be pushed.
        self.collected: set[str] = set()
        self.tasks: asyncio.TaskGroup | None = None

    def own_mark(self) -> Mark:
        """Return the mark of this node's record."""
        return mark_of(self.directory.own)

    def others(self) -> list[NodeRecord]:
        """Return the records of other nodes that are not dead."""
        own = self.directory.own_node
        return [r for r in self.directory.alive() if r.node != own]


def make_membership(
    own: NodeRecord,
    *,
    call: CallPeer,
    timeline: Timeline,
    monotonic: Callable[[], float],
    random: Random,
    sleep: Sleep = asyncio.sleep,
    seeds: Sequence[Address] = (),
    read_members: Callable[[], Awaitable[Sequence[Address]]] = _no_members,
    payloads: Iterable[Payload] = (),
    on_silent: Callable[[Address], object] = lambda address: None,
) -> Membership:
    """Build the membership of a node that knows only itself.

    Args:
        own: The node's record.
        call: Sends a message to a peer.
        timeline: Takes the events; its clock stamps all messages.
        monotonic: Clock, in seconds.
        random: Source of all random choices.
        sleep: Waits for some seconds.
        seeds: Addresses to join through, from the settings.
        read_members: Reads addresses from the log; called only if no seed answers.
        payloads: Values that other modules add to messages.
        on_silent: Called with the address of a peer that answered over a new
            connection but not over a kept one; closes the kept ones.
    """
    return Membership(
        Directory(own),
        call=call,
        timeline=timeline,
        monotonic=monotonic,
        random=random,
        sleep=sleep,
        seeds=seeds,
        read_members=read_members,
        payloads=payloads,
        on_silent=on_silent,
    )


async def run_membership(membership: Membership) -> None:
    """Join the fleet and take part in it until cancelled."""
    try:
        async with asyncio.TaskGroup() as tasks:
            membership.tasks = tasks
            tasks.create_task(_push_changes(membership))
            await _join(membership)
            tasks.create_task(_ping_peers(membership))
            tasks.create_task(_sync_after_join(membership))
            tasks.create_task(_reconnect(membership))
    finally:
        membership.tasks = None


def change_own(
    membership: Membership,
    *,
    state: str | None = None,
    targets: tuple[TargetRecord, ...] | None = None,
) -> None:
    """Change this node's record and push the change."""
    if update_own(membership.directory, state=state, targets=targets):
        _notice_own_change(membership)


def announce_leaving(membership: Membership) -> None:
    """Tell the fleet that this node finishes its work and takes no more."""
    change_own(membership, state="leaving")


async def depart(membership: Membership) -> None:
    """Tell the fleet that this node is gone; the last act before its exit."""
    update_own(membership.directory, state="dead")
    message = _gossip(membership, marks=[membership.own_mark()])
    await asyncio.gather(
        *(
            _send(membership, peer, PUSH, message, PushAnswer, PING_TIMEOUT_S)
            for peer in _draw(membership, 2 * PUSH_FANOUT)
        )
    )


def push_payload(membership: Membership, name: str) -> None:
    """Push the value of a payload to the fleet at once."""
    membership.urgent_payloads.add(name)
    membership.push_due.set()


async def check_peer(membership: Membership, node: str) -> bool:
    """Try a round trip to a node over a new connection, and note its outcome."""
    peer = membership.directory.record_by_node.get(node)
    return peer is not None and await _ping(membership, peer, fresh=True)


def make_handlers(membership: Membership) -> Mapping[str, Handler]:
    """Return the handlers of this module's messages by path of the peer port."""

    async def ping(message: Gossip) -> Gossip:
        return handle_ping(membership, message)

    async def push(message: Gossip) -> PushAnswer:
        return handle_push(membership, message)

    async def ping_through(message: PingThrough) -> PingThroughAnswer:
        return await handle_ping_through(membership, message)

    async def sync(message: SyncRequest) -> SyncAnswer:
        return handle_sync(membership, message)

    return {
        PING: Handler(Gossip, ping),
        PING_THROUGH: Handler(PingThrough, ping_through),
        PUSH: Handler(Gossip, push),
        SYNC: Handler(SyncRequest, sync),
    }


def handle_ping(membership: Membership, message: Gossip) -> Gossip:
    """Take a heartbeat and answer it with what this node has to spread."""
    _take_gossip(membership, message)
    if message.digest == membership.directory.digest():
        # The sender lacks nothing, so there is nothing to repeat to it.
        return _gossip(membership, marks=[], digest=message.digest)
    return _write_ping(membership, message.own)


def handle_push(membership: Membership, message: Gossip) -> PushAnswer:
    """Take an urgent push and pass on what was new."""
    changed = _take_gossip(membership, message)
    for node, whole in changed.items():
        _push(membership, node, whole=whole)
    return PushAnswer(membership.own_mark())


async def handle_ping_through(
    membership: Membership, message: PingThrough
) -> PingThroughAnswer:
    """Ping a node for another one that cannot reach it."""
    peer = membership.directory.record_by_node.get(message.node)
    if peer is None or peer.state == "dead":
        address = message.host, message.port
        answer = await _exchange(membership, address, message.node, fresh=True)
        return PingThroughAnswer(answer is not None)
    return PingThroughAnswer(await _ping(membership, peer, fresh=True))


def handle_sync(membership: Membership, message: SyncRequest) -> SyncAnswer:
    """Answer one step of a sync; see ``SyncRequest``."""
    directory = membership.directory
    _observe(membership, message.at)
    few = len(message.records) <= RECORDS_PER_PING
    _take(membership, message.marks, message.records, spread=few)
    if "*" in message.want:
        return SyncAnswer(
            directory.own_node, membership.clock.now(), records=list(directory.alive())
        )
    if not message.digests:
        return SyncAnswer(
            directory.own_node,
            membership.clock.now(),
            records=_live_records(directory, message.want),
        )
    pairs = enumerate(
        zip(message.digests, directory.bucket_digests(), strict=False),
    )
    buckets = [index for index, (theirs, ours) in pairs if theirs != ours]
    return SyncAnswer(
        directory.own_node,
        membership.clock.now(),
        buckets=buckets,
        marks=[mark_of(held) for held in _in_buckets(directory, buckets)],
    )


# Tasks


async def _join(membership: Membership) -> None:
    """Sync with a seed, or else with a node from the log, until one answers."""
    while not await _join_through(membership, membership.seeds):
        try:
            members = list(await membership.read_members())
        except Exception as error:
            logging.warning("cannot read the members stream: %s", error)
            members = []
        membership.random.shuffle(members)
        if await _join_through(membership, members[:JOIN_CANDIDATES]):
            break
        if len(membership.directory.record_by_node) > 1:
            break  # another node has found this one
        if not _without_own(membership, [*membership.seeds, *members]):
            break  # the first node of a fleet
        await membership.sleep(JOIN_INTERVAL_S * (0.5 + membership.random.random()))
    membership.joined.set()
    _push(membership, membership.directory.own_node, whole=True)


def _without_own(membership: Membership, addresses: Iterable[Address]) -> list[Address]:
    own = membership.directory.own
    return [a for a in addresses if tuple(a) != (own.host, own.peer_port)]


async def _join_through(membership: Membership, addresses: Iterable[Address]) -> bool:
    for address in _without_own(membership, addresses):
        request = SyncRequest(
            membership.directory.own_node,
            membership.clock.now(),
            want=["*"],
            records=[membership.directory.own],
        )
        started = membership.monotonic()
        result = await membership.call(
            address, SYNC, request, SyncAnswer, timeout_s=SYNC_TIMEOUT_S
        )
        if isinstance(result, Success):
            answer: SyncAnswer = result.unwrap()
            _observe(membership, answer.at)
            elapsed = membership.monotonic() - started
            note_success(membership.links, answer.node, elapsed)
            _take(membership, answer.marks, answer.records, spread=False)
            return True
    return False


async def _sync_after_join(membership: Membership) -> None:
    """Sync once more, since changes made during the join reach only known nodes."""
    await membership.sleep(JOIN_INTERVAL_S * (0.5 + membership.random.random()))
    for peer in _draw(membership, 1):
        await _sync(membership, (peer.host, peer.peer_port))


async def _ping_peers(membership: Membership) -> None:
    """Ping one peer an interval, each in its turn, and judge those that fail."""
    interval = PING_INTERVAL_S
    await membership.sleep(interval * membership.random.random())
    while True:
        peer = _next_peer(membership)
        if peer is not None:
            _start(membership, _check(membership, peer))
        for peer in _down_peers(membership):
            _start(membership, _ping(membership, peer, fresh=True))
        _forget_dead(membership)
        _notice_own_change(membership)
        await membership.sleep(interval)


def _down_peers(membership: Membership) -> list[NodeRecord]:
    """Return some peers that are not dead and whose links wait to be tried again."""
    before = membership.monotonic() - LINK_RECHECK_S
    known = membership.directory.record_by_node
    peers = (known.get(node) for node in membership.links.down_since_before(before))
    down = (peer for peer in peers if peer is not None and peer.state != "dead")
    return list(islice(down, LINK_RECHECKS))


def _next_peer(membership: Membership) -> NodeRecord | None:
    for _ in range(2):
        while membership.queue:
            node = membership.queue.pop()
            peer = membership.directory.record_by_node.get(node)
            if peer is not None and peer.state != "dead":
                return peer
        membership.queue = [peer.node for peer in membership.others()]
        membership.random.shuffle(membership.queue)
    return None


async def _check(membership: Membership, peer: NodeRecord) -> None:
    """Ping a peer, and declare it dead if no path to it is found in time."""
    if await _ping(membership, peer) or peer.node in membership.suspect_since:
        return
    helpers = _draw(membership, HELPERS * (1 + SUSPICION_ROUNDS), but=peer.node)
    if await _reachable(membership, peer, helpers[:HELPERS]):
        return
    started = membership.monotonic()
    membership.suspect_since[peer.node] = started
    record(
        membership.timeline,
        Kind.MEMBER_SUSPECTED,
        peer.node,
        "no answer, directly or through helpers",
    )
    try:
        for number in range(1, 1 + SUSPICION_ROUNDS):
            # The last round ends with the suspicion.
            due = started + number * SUSPICION_S / SUSPICION_ROUNDS - PING_TIMEOUT_S
            await membership.sleep(max(due - membership.monotonic(), 0.0))
            some = helpers[HELPERS * number : HELPERS * (number + 1)]
            held = membership.directory.record_by_node.get(peer.node)
            if held is None or held.state == "dead":
                return
            if record_order(held) > record_order(peer) or await _reachable(
                membership, peer, some or helpers[:HELPERS]
            ):
                record(membership.timeline, Kind.MEMBER_CLEARED, peer.node)
                return
        _declare_dead(membership, peer, started)
    finally:
        membership.suspect_since.pop(peer.node, None)


async def _reachable(
    membership: Membership, peer: NodeRecord, helpers: Sequence[NodeRecord]
) -> bool:
    """Whether a peer answers over a new connection or to a helper."""
    message = PingThrough(peer.node, peer.host, peer.peer_port)

    async def ask(helper: NodeRecord) -> bool:
        answer = await _send(
            membership,
            helper,
            PING_THROUGH,
            message,
            PingThroughAnswer,
            PING_THROUGH_TIMEOUT_S,
        )
        return answer is not None and answer.reached

    async def ask_directly() -> bool:
        reached = await _ping(membership, peer, fresh=True)
        if reached:
            membership.on_silent((peer.host, peer.peer_port))
        return reached

    checks = [asyncio.ensure_future(ask(helper)) for helper in helpers]
    checks.append(asyncio.ensure_future(ask_directly()))
    try:
        for check in asyncio.as_completed(checks):
            if await check:
                return True
        return False
    finally:
        for task in checks:
            task.cancel()


def _declare_dead(membership: Membership, peer: NodeRecord, started: float) -> None:
    """Declare a peer dead, unless this node itself seems to be cut off."""
    last = membership.links.last_success
    if last is None or last < started:
        record(
            membership.timeline,
            Kind.MEMBER_CLEARED,
            peer.node,
            "this node reached no other node either",
        )
        return
    dead = mark_of(peer._replace(state="dead"))
    for node, whole in _take(membership, [dead], []).items():
        _push(membership, node, whole=whole)


async def _reconnect(membership: Membership) -> None:
    """Try a dead, lost or unknown node now and then, to end a partition."""
    while True:
        pause = RECONNECT_INTERVAL_S * (0.5 + membership.random.random())
        await membership.sleep(pause)
        known = membership.directory.record_by_node
        address_by_node = {
            node: (known[node].host, known[node].peer_port)
            for node in membership.dead_since
            if node in known
        }
        for node, lost in membership.lost_by_node.items():
            address_by_node[node] = lost.address
        held = {(r.host, r.peer_port) for r in membership.directory.alive()}
        seeds = [seed for seed in membership.seeds if tuple(seed) not in held]
        choices: list[tuple[str | None, Address]] = [
            *address_by_node.items(),
            *((None, seed) for seed in seeds),
        ]
        if not choices:
            continue
        expected, address = membership.random.choice(choices)
        answer = await _exchange(membership, address, expected, fresh=True)
        if answer is None:
            continue
        if expected is not None and answer.own.node != expected:
            membership.lost_by_node.pop(expected, None)
        await _sync(membership, address)


async def _push_changes(membership: Membership) -> None:
    """Send urgent changes to a few peers as they come."""
    while True:
        await membership.push_due.wait()
        membership.push_due.clear()
        nodes = list(membership.urgent)[:RECORDS_PER_PUSH]
        whole = {node: membership.urgent.pop(node) for node in nodes}
        names = set(membership.urgent_payloads)
        membership.urgent_payloads.clear()
        marks, records = _split(membership.directory, whole)
        message = _gossip(membership, marks=marks, records=records, urgent=names)
        if marks or records or message.payloads:
            for peer in _draw(membership, PUSH_FANOUT):
                _start(
                    membership,
                    _send(membership, peer, PUSH, message, PushAnswer, PUSH_TIMEOUT_S),
                )
        if membership.urgent:
            membership.push_due.set()
        await membership.sleep(PUSH_COLLECT_S)


async def _sync(membership: Membership, address: Address) -> bool:
    """Exchange what differs with the node at an address."""
    directory = membership.directory

    async def step(request: SyncRequest) -> SyncAnswer | None:
        result = await membership.call(
            address, SYNC, request, SyncAnswer, timeout_s=SYNC_TIMEOUT_S
        )
        if not isinstance(result, Success):
            return None
        answer: SyncAnswer = result.unwrap()
        _observe(membership, answer.at)
        return answer

    now = membership.clock.now
    first = await step(
        SyncRequest(directory.own_node, now(), digests=directory.bucket_digests())
    )
    if first is None:
        return False
    theirs = {mark.node: mark for mark in first.marks}
    want: list[str] = []
    _take(membership, first.marks, [], want=want, spread=False)
    marks: list[Mark] = []
    records: list[NodeRecord] = []
    for held in _in_buckets(directory, first.buckets):
        mine, other = mark_of(held), theirs.get(held.node)
        if other is None:
            if held.state != "dead":
                records.append(held)
        elif mark_order(mine) > mark_order(other):
            if held.state == "dead" or mine.content == other.content:
                marks.append(mine)
            else:
                records.append(held)
    if not (want or marks or records):
        return True
    second = await step(
        SyncRequest(directory.own_node, now(), want=want, marks=marks, records=records)
    )
    if second is None:
        return False
    few = len(second.records) <= RECORDS_PER_PING
    _take(membership, [], second.records, spread=few)
    record(
        membership.timeline,
        Kind.MEMBERS_SYNCED,
        first.node,
        f"{len(second.records)} records taken, {len(records) + len(marks)} given",
    )
    return True


def _start(membership: Membership, task: Coroutine[Any, Any, object]) -> None:
    """Run a task beside the others, unless the membership is stopping."""
    if membership.tasks is None:
        task.close()
    else:
        membership.tasks.create_task(task)


# Messages


async def _exchange(
    membership: Membership, address: Address, expected: str | None, *, fresh: bool
) -> Gossip | None:
    """Ping an address and take the answer; None unless the expected node answers."""
    about = None
    held = (
        None if expected is None else membership.directory.record_by_node.get(expected)
    )
    if held is not None:
        about = mark_of(held)
    started = membership.monotonic()
    result = await membership.call(
        address,
        PING,
        _write_ping(membership, about),
        Gossip,
        timeout_s=PING_TIMEOUT_S,
        fresh=fresh,
    )
    if not isinstance(result, Success):
        return None
    answer: Gossip = result.unwrap()
    _take_gossip(membership, answer)
    elapsed = membership.monotonic() - started
    _note_reached(membership, answer.own.node, elapsed)
    _settle_mismatch(membership, address, answer.digest)
    return answer


async def _ping(
    membership: Membership, peer: NodeRecord, *, fresh: bool = False
) -> bool:
    address = peer.host, peer.peer_port
    answer = await _exchange(membership, address, peer.node, fresh=fresh)
    if answer is not None and answer.own.node == peer.node:
        return True
    _note_unreached(membership, peer.node)
    return False


async def _send(
    membership: Membership,
    peer: NodeRecord,
    path: str,
    message: Any,
    answer_type: Any,
    timeout_s: float,
) -> Any | None:
    """Send a message and note what it shows of the link; None if it failed."""
    started = membership.monotonic()
    result = await membership.call(
        (peer.host, peer.peer_port), path, message, answer_type, timeout_s=timeout_s
    )
    if isinstance(result, Success):
        _note_reached(membership, peer.node, membership.monotonic() - started)
        return result.unwrap()
    _note_unreached(membership, peer.node)
    return None


def _note_reached(membership: Membership, node: str, elapsed: float) -> None:
    if note_success(membership.links, node, elapsed):
        record(membership.timeline, Kind.LINK_UP, node)


def _note_unreached(membership: Membership, node: str) -> None:
    if note_failure(membership.links, node):
        record(membership.timeline, Kind.LINK_DOWN, node)


def _settle_mismatch(membership: Membership, address: Address, digest: str) -> None:
    """Sync if the digest of a peer has differed for longer than changes spread."""
    now = membership.monotonic()
    if digest == membership.directory.digest():
        membership.mismatch_since = None
        return
    if membership.mismatch_since is None:
        membership.mismatch_since = now
    lasted = now - membership.mismatch_since
    quiet = now - membership.last_change
    if lasted < MISMATCH_S or now < membership.next_sync:
        return
    if quiet < QUIET_S and lasted < MISMATCH_LIMIT_S:
        return
    membership.next_sync = now + SYNC_INTERVAL_S * (0.5 + membership.random.random())
    _start(membership, _sync(membership, address))


def _write_ping(membership: Membership, about: Mark | None) -> Gossip:
    """Write a ping or its answer, taking the changes repeated least so far.

    A receiver that this node holds as dead, or holds newer than it knows itself, is
    told so that it can answer with a higher version.
    """
    _notice_own_change(membership)
    now = membership.monotonic()
    for node, spread in list(membership.spreading.items()):
        if spread.until <= now:
            del membership.spreading[node]
    order = sorted(membership.spreading.items(), key=lambda item: -item[1].left)
    chosen: dict[str, bool] = {}
    room = {True: RECORDS_PER_PING, False: MARKS_PER_PING}
    for node, spread in order:
        if room[spread.whole] > 0:
            room[spread.whole] -= 1
            chosen[node] = spread.whole
            spread.left -= 1
            if spread.left <= 0:
                del membership.spreading[node]
    marks, records = _split(membership.directory, chosen)
    if about is not None and about.node not in chosen:
        held = membership.directory.record_by_node.get(about.node)
        if held is not None and (
            held.state == "dead" or record_order(held) > mark_order(about)
        ):
            marks.append(mark_of(held))
    digest = membership.directory.digest()
    return _gossip(membership, marks=marks, records=records, digest=digest)


def _split(
    directory: Directory, whole_by_node: Mapping[str, bool]
) -> tuple[list[Mark], list[NodeRecord]]:
    marks, records = [], []
    for node, whole in whole_by_node.items():
        held = directory.record_by_node.get(node)
        if held is None:
            continue
        if whole and held.state != "dead":
            records.append(held)
        else:
            marks.append(mark_of(held))
    return marks, records


def _gossip(
    membership: Membership,
    *,
    marks: list[Mark],
    records: Sequence[NodeRecord] = (),
    digest: str = "",
    urgent: set[str] | None = None,
) -> Gossip:
    payloads: dict[str, msgspec.Raw] = {}
    for name, payload in membership.payload_by_name.items():
        if urgent is None or name in urgent:
            value = payload.write(urgent is not None)
            if value is not None:
                payloads[name] = msgspec.Raw(msgspec.json.encode(value))
    return Gossip(
        membership.own_mark(),
        membership.clock.now(),
        digest,
        marks,
        list(records),
        payloads,
    )


# Taking changes


def _observe(membership: Membership, at: tuple[int, int]) -> None:
    """Move the clock past the time of a message, so that events order causally."""
    if at[0] - membership.clock.now().wall_ms <= CLOCK_LEAD_MAX_MS:
        membership.clock.observe(Timestamp(*at))


def _take_gossip(membership: Membership, message: Gossip) -> dict[str, bool]:
    """Take all that a message carries; returns what changed as ``_take`` does."""
    _observe(membership, message.at)
    sender = message.own.node
    if message.own.node == membership.directory.own_node:
        sender = ""
    changed = _take(membership, [*message.marks, message.own], message.records)
    for name, raw in message.payloads.items():
        payload = membership.payload_by_name.get(name)
        if payload is None:
            continue
        try:
            value = msgspec.json.decode(raw, type=payload.value_type)
        except msgspec.DecodeError as error:
            logging.warning("payload %s from %s: %s", name, sender, error)
            continue
        if payload.read(sender, value):
            push_payload(membership, name)
    return changed


def _take(
    membership: Membership,
    marks: Iterable[Mark],
    records: Iterable[NodeRecord],
    *,
    want: list[str] | None = None,
    spread: bool = True,
) -> dict[str, bool]:
    """Merge marks and records.

    Args:
        membership: The membership.
        marks: Marks, merged after the records.
        records: Whole records.
        want: Takes the nodes whose marks are newer but need the record.
        spread: Whether pings repeat the changes. Much that comes at once, as when
            regions meet again, is left to further syncs.

    Returns:
        The nodes whose records changed, and whether the content did.
    """
    directory = membership.directory
    changed: dict[str, bool] = {}
    for received in records:
        before = directory.record_by_node.get(received.node)
        if merge_record(directory, received):
            changed[received.node] = True
            _note_change(membership, before, received.node)
        elif is_replacement(directory, received) and not membership.replaced.is_set():
            membership.replaced.set()
            record(
                membership.timeline,
                Kind.MEMBER_REPLACED,
                received.node,
                f"a newer process runs at {received.host}:{received.peer_port}",
            )
    for mark in marks:
        before = directory.record_by_node.get(mark.node)
        merged = merge_mark(directory, mark)
        if merged is Merge.CHANGED:
            changed.setdefault(mark.node, False)
            _note_change(membership, before, mark.node)
        elif merged is Merge.WANTED and want is not None:
            want.append(mark.node)
    own = changed.pop(directory.own_node, None)
    if own is not None:
        _notice_own_change(membership)
    if changed:
        membership.last_change = membership.monotonic()
    if spread:
        repeats = _repeats(membership)
        for node, whole in changed.items():
            _queue(membership, node, whole=whole, left=repeats)
    return changed


def _note_change(membership: Membership, before: NodeRecord | None, node: str) -> None:
    """Keep what is derived from a record in step with it, and record the event."""
    now = membership.directory.record_by_node[node]
    own = node == membership.directory.own_node
    event: Kind | None = None
    if own:
        event = Kind.MEMBER_REFUTED
    elif now.state == "dead":
        membership.dead_since.setdefault(node, membership.monotonic())
        if before is not None and before.state == "alive":
            address = before.host, before.peer_port
            membership.lost_by_node[node] = _Lost(address, membership.monotonic())
        event = Kind.MEMBER_DEAD
    else:
        membership.dead_since.pop(node, None)
        membership.lost_by_node.pop(node, None)
        if before is None or before.incarnation < now.incarnation:
            event = Kind.MEMBER_JOINED
            forget_link(membership.links, node)
            place = membership.random.randint(0, len(membership.queue))
            membership.queue.insert(place, node)
        elif before.state == "dead":
            event = Kind.MEMBER_RETURNED
            place = membership.random.randint(0, len(membership.queue))
            membership.queue.insert(place, node)
        elif before.state != now.state:
            event = Kind.MEMBER_LEAVING
    if event is not None:
        record(
            membership.timeline,
            event,
            node,
            f"incarnation {now.incarnation}, version {now.version}",
        )


def _notice_own_change(membership: Membership) -> None:
    """Push a change of the own record, whichever module made it."""
    own, noticed = membership.directory.own, membership.own_noticed
    if own is noticed:
        return
    membership.own_noticed = own
    membership.last_change = membership.monotonic()
    whole = mark_of(own).content != mark_of(noticed).content
    _queue(membership, own.node, whole=whole, left=_repeats(membership))
    if not whole or own.state != noticed.state:
        _push(membership, own.node, whole=whole)
        return
    _run_throttled(
        membership,
        membership.own_content,
        lambda: _push(membership, own.node, whole=True),
    )


def _push(membership: Membership, node: str, *, whole: bool) -> None:
    _queue(membership, node, whole=whole, left=REPEATS_AFTER_PUSH)
    held = membership.directory.record_by_node.get(node)
    if whole or (held is not None and held.state == "leaving"):
        membership.urgent[node] = whole or membership.urgent.get(node, False)
        membership.push_due.set()
        return
    membership.collected.add(node)
    _run_throttled(membership, membership.deaths, lambda: _push_collected(membership))


def _push_collected(membership: Membership) -> None:
    for node in membership.collected:
        membership.urgent.setdefault(node, False)
    membership.collected.clear()
    membership.push_due.set()


def _run_throttled(
    membership: Membership, throttle: _Throttle, action: Callable[[], None]
) -> None:
    """Run an action now, or once when the interval has passed."""
    if membership.monotonic() >= throttle.next:
        throttle.next = membership.monotonic() + throttle.interval_s
        action()
    elif not throttle.waiting and membership.tasks is not None:
        throttle.waiting = True
        _start(membership, _run_later(membership, throttle, action))


async def _run_later(
    membership: Membership, throttle: _Throttle, action: Callable[[], None]
) -> None:
    try:
        await membership.sleep(throttle.next - membership.monotonic())
    finally:
        throttle.waiting = False
    throttle.next = membership.monotonic() + throttle.interval_s
    action()


def _queue(membership: Membership, node: str, *, whole: bool, left: int) -> None:
    queued = membership.spreading.get(node)
    whole = whole or (queued is not None and queued.whole)
    until = membership.monotonic() + SPREAD_S
    membership.spreading[node] = _Spread(whole=whole, left=left, until=until)


def _repeats(membership: Membership) -> int:
    """Return how often pings repeat a change, which grows with the log of the size."""
    return 2 + math.ceil(2 * math.log10(len(membership.directory.record_by_node) + 1))


def _forget_dead(membership: Membership) -> None:
    now = membership.monotonic()
    for node, since in list(membership.dead_since.items()):
        if now - since >= FORGET_S:
            del membership.dead_since[node]
            membership.directory.remove(node)
            forget_link(membership.links, node)
            record(membership.timeline, Kind.MEMBER_FORGOTTEN, node)
    for node, lost in list(membership.lost_by_node.items()):
        if now - lost.since >= LOST_KEEP_S or len(membership.lost_by_node) > LOST_MAX:
            del membership.lost_by_node[node]


# Choosing


def _draw(
    membership: Membership, count: int, *, but: str | None = None
) -> list[NodeRecord]:
    """Draw other nodes, leaving out suspects and links known to be down."""
    peers = [
        peer
        for peer in membership.others()
        if peer.node != but
        and peer.node not in membership.suspect_since
        and link_up(membership.links, peer.node) is not False
    ]
    return membership.random.sample(peers, min(count, len(peers)))


def _live_records(directory: Directory, nodes: Iterable[str]) -> list[NodeRecord]:
    held = (directory.record_by_node.get(node) for node in nodes)
    return [r for r in held if r is not None and r.state != "dead"]


def _in_buckets(directory: Directory, buckets: Iterable[int]) -> list[NodeRecord]:
    wanted = set(buckets)
    return [
        held
        for node, held in directory.record_by_node.items()
        if bucket_of(node) in wanted
    ]
