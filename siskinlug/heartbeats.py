"""Failure detection: heartbeats, indirect pings, suspicion and declaration of death.

A node that does not answer a ping is pinged over a new connection and through helpers,
which are other nodes. If all fail it is suspected, and declared dead if further rounds
of these checks fail too.
"""

import asyncio
from collections.abc import Sequence
from itertools import islice

from returns.result import Success

from siskinlug.connections import Address
from siskinlug.directory import NodeRecord, record_order, summarize_record
from siskinlug.directory_sync import check_digest
from siskinlug.gossip import make_gossip, make_ping, publish_own_change, push_changes
from siskinlug.gossip_merge import forget_dead, merge_changes, merge_gossip
from siskinlug.membership_state import Membership, address_of, sample_peers, start_task
from siskinlug.messages import Gossip, PingThrough, PingThroughAnswer
from siskinlug.round_trips import (
    PING,
    PING_THROUGH,
    record_peer_reached,
    record_peer_unreached,
    send_message,
)
from siskinlug.timeline import Kind, record

PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 0.5
# Links that are down are retried after this time, a few per ping interval. The ping
# queue would reach them only after 7 min at 430 nodes.
LINK_RECHECK_S = 2.0
LINK_RECHECKS_PER_INTERVAL = 4
HELPERS_PER_ROUND = 3
PING_THROUGH_TIMEOUT_S = 1.0
SUSPICION_S = 3.0
# Rounds of checks during a suspicion, each through different helpers.
SUSPICION_ROUNDS = 3


def handle_ping(membership: Membership, message: Gossip) -> Gossip:
    """Merge a ping and return the response, which carries pending changes."""
    merge_gossip(membership, message)
    if message.digest == membership.directory.digest():
        # The directories are equal, so no change needs repeating.
        return make_gossip(membership, summaries=[], digest=message.digest)
    return make_ping(membership, message.sender)


async def handle_ping_through(
    membership: Membership, message: PingThrough
) -> PingThroughAnswer:
    """Ping a node on behalf of a sender that cannot reach it."""
    peer = membership.directory.record_by_node.get(message.node)
    if peer is None or peer.state == "dead":
        address = message.host, message.port
        answer = await ping_address(membership, address, message.node, fresh=True)
        return PingThroughAnswer(answer is not None)
    return PingThroughAnswer(await ping_peer(membership, peer, fresh=True))


async def ping_address(
    membership: Membership, address: Address, expected: str | None, *, fresh: bool
) -> Gossip | None:
    """Ping an address and merge the response, whichever node sends it.

    Args:
        membership: The membership.
        address: Address of a peer port.
        expected: Node presumed at the address, or None if unknown.
        fresh: Whether to use a new connection.

    Returns:
        The response, or None if none came in time.
    """
    known = membership.directory.record_by_node
    stored = None if expected is None else known.get(expected)
    receiver = None if stored is None else summarize_record(stored)
    started = membership.monotonic()
    result = await membership.call(
        address,
        PING,
        make_ping(membership, receiver),
        Gossip,
        timeout_s=PING_TIMEOUT_S,
        fresh=fresh,
    )
    if not isinstance(result, Success):
        return None
    answer: Gossip = result.unwrap()
    merge_gossip(membership, answer)
    elapsed_s = membership.monotonic() - started
    record_peer_reached(membership, answer.sender.node, elapsed_s)
    check_digest(membership, address, answer.digest)
    return answer


async def ping_peer(
    membership: Membership, peer: NodeRecord, *, fresh: bool = False
) -> bool:
    """Ping a peer and record the result for its link.

    Args:
        membership: The membership.
        peer: Record of the peer.
        fresh: Whether to use a new connection.

    Returns:
        Whether the peer responded; False also if another node has its address.
    """
    answer = await ping_address(membership, address_of(peer), peer.node, fresh=fresh)
    if answer is not None and answer.sender.node == peer.node:
        return True
    record_peer_unreached(membership, peer.node)
    return False


async def run_heartbeats(membership: Membership) -> None:
    """Ping one peer per interval, all in turn, and check those that do not respond."""
    await membership.sleep(PING_INTERVAL_S * membership.random.random())
    while True:
        peer = _next_peer(membership)
        if peer is not None:
            start_task(membership, _detect_failure(membership, peer))
        for peer in _peers_to_recheck(membership):
            start_task(membership, ping_peer(membership, peer, fresh=True))
        forget_dead(membership)
        publish_own_change(membership)
        await membership.sleep(PING_INTERVAL_S)


def _peers_to_recheck(membership: Membership) -> list[NodeRecord]:
    """Return a few live peers whose links are down and due for a retry."""
    before = membership.monotonic() - LINK_RECHECK_S
    known = membership.directory.record_by_node
    peers = (
        known.get(node) for node in membership.links.nodes_last_failed_before(before)
    )
    down_peers = (peer for peer in peers if peer is not None and peer.state != "dead")
    return list(islice(down_peers, LINK_RECHECKS_PER_INTERVAL))


def _next_peer(membership: Membership) -> NodeRecord | None:
    """Return the next peer to ping, or None if this node knows no live peer."""
    for _ in range(2):
        while membership.ping_queue:
            node = membership.ping_queue.pop()
            peer = membership.directory.record_by_node.get(node)
            if peer is not None and peer.state != "dead":
                return peer
        membership.ping_queue = [peer.node for peer in membership.live_peers()]
        membership.random.shuffle(membership.ping_queue)
    return None


async def _detect_failure(membership: Membership, peer: NodeRecord) -> None:
    """Ping a peer, and suspect it if neither this node nor helpers reach it."""
    if (
        await ping_peer(membership, peer)
        or peer.node in membership.suspected_since_by_node
    ):
        return
    helpers = sample_peers(
        membership, HELPERS_PER_ROUND * (1 + SUSPICION_ROUNDS), exclude=peer.node
    )
    if await _reachable(membership, peer, helpers[:HELPERS_PER_ROUND]):
        return
    started = membership.monotonic()
    membership.suspected_since_by_node[peer.node] = started
    record(
        membership.timeline,
        Kind.MEMBER_SUSPECTED,
        peer.node,
        "no answer, directly or through helpers",
    )
    try:
        await _resolve_suspicion(membership, peer, helpers, started)
    finally:
        membership.suspected_since_by_node.pop(peer.node, None)


async def _resolve_suspicion(
    membership: Membership,
    peer: NodeRecord,
    helpers: Sequence[NodeRecord],
    started: float,
) -> None:
    """Check a suspected peer in rounds, then clear it or declare it dead."""
    for round_number in range(1, 1 + SUSPICION_ROUNDS):
        # The last round ends with the suspicion.
        due_at = (
            started + round_number * SUSPICION_S / SUSPICION_ROUNDS - PING_TIMEOUT_S
        )
        await membership.sleep(max(due_at - membership.monotonic(), 0.0))
        round_helpers = helpers[
            HELPERS_PER_ROUND * round_number : HELPERS_PER_ROUND * (round_number + 1)
        ]
        stored = membership.directory.record_by_node.get(peer.node)
        if stored is None or stored.state == "dead":
            return
        if record_order(stored) > record_order(peer) or await _reachable(
            membership, peer, round_helpers or helpers[:HELPERS_PER_ROUND]
        ):
            record(membership.timeline, Kind.MEMBER_CLEARED, peer.node)
            return
    _declare_dead(membership, peer, started)


async def _reachable(
    membership: Membership, peer: NodeRecord, helpers: Sequence[NodeRecord]
) -> bool:
    """Return whether a peer responds over a new connection or to a helper."""
    message = PingThrough(peer.node, peer.host, peer.peer_port)

    async def ping_through(helper: NodeRecord) -> bool:
        answer = await send_message(
            membership,
            helper,
            PING_THROUGH,
            message,
            PingThroughAnswer,
            PING_THROUGH_TIMEOUT_S,
        )
        return answer is not None and answer.reached

    async def ping_directly() -> bool:
        reached = await ping_peer(membership, peer, fresh=True)
        if reached:
            membership.on_stale_connections(address_of(peer))
        return reached

    checks = [asyncio.ensure_future(ping_through(helper)) for helper in helpers]
    checks.append(asyncio.ensure_future(ping_directly()))
    try:
        for check in asyncio.as_completed(checks):
            if await check:
                return True
        return False
    finally:
        for task in checks:
            task.cancel()


def _declare_dead(membership: Membership, peer: NodeRecord, started: float) -> None:
    """Declare a peer dead, unless this node itself seems to be isolated."""
    last_success_at = membership.links.last_success_at
    if last_success_at is None or last_success_at < started:
        record(
            membership.timeline,
            Kind.MEMBER_CLEARED,
            peer.node,
            "this node reached no other node either",
        )
        return
    dead = summarize_record(peer._replace(state="dead"))
    push_changes(membership, merge_changes(membership, [dead], []))
