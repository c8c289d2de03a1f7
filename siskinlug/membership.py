"""Membership of the fleet by gossip, in the manner of SWIM.

Each node pings one other node per second. Changed records travel on pings and their
responses, and urgent changes are also pushed. Nodes compare digests of their
directories, and sync the buckets that still differ after gossip has ended.

This module is the public interface. The modules ``heartbeats``, ``gossip``,
``gossip_merge``, ``directory_sync`` and ``join`` implement it, on the state in
``membership_state``.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from random import Random
from typing import Any, NamedTuple

from siskinlug.connections import Address
from siskinlug.directory import Directory, NodeRecord, TargetRecord, update_own_record
from siskinlug.directory_sync import handle_sync
from siskinlug.gossip import (
    PUSH_FANOUT,
    SPREAD_S,
    make_gossip,
    publish_own_change,
    push_payload,
    run_pushes,
)
from siskinlug.gossip_merge import FORGET_S, handle_push
from siskinlug.heartbeats import (
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
    handle_ping,
    handle_ping_through,
    ping_peer,
    run_heartbeats,
)
from siskinlug.join import (
    join_fleet,
    meet_unknown,
    reconnect,
    sync_after_join,
)
from siskinlug.membership_state import (
    CallPeer,
    Membership,
    Payload,
    ReadMembers,
    Sleep,
    sample_peers,
)
from siskinlug.messages import (
    Gossip,
    PingThrough,
    PingThroughAnswer,
    PushAnswer,
    SyncAnswer,
    SyncRequest,
)
from siskinlug.round_trips import PING, PING_THROUGH, PUSH, SYNC, send_message
from siskinlug.timeline import Timeline

__all__ = [
    "FORGET_S",
    "PING",
    "PING_INTERVAL_S",
    "PING_THROUGH",
    "PUSH",
    "PUSH_FANOUT",
    "SPREAD_S",
    "SYNC",
    "Handler",
    "Membership",
    "Payload",
    "announce_leaving",
    "change_own",
    "check_peer",
    "depart",
    "handle_ping",
    "handle_push",
    "handle_sync",
    "make_handlers",
    "make_membership",
    "meet_unknown",
    "push_payload",
    "run_membership",
]


class Handler(NamedTuple):
    """Handler of the messages to one path of the peer port."""

    message_type: Any
    handle: Callable[[Any], Awaitable[Any]]


async def _no_members() -> Sequence[Address] | None:
    return ()


def make_membership(
    own: NodeRecord,
    *,
    call: CallPeer,
    timeline: Timeline,
    monotonic: Callable[[], float],
    random: Random,
    sleep: Sleep = asyncio.sleep,
    seeds: Sequence[Address] = (),
    read_members: ReadMembers = _no_members,
    payloads: Iterable[Payload] = (),
    on_stale_connections: Callable[[Address], object] = lambda address: None,
) -> Membership:
    """Build the membership of a node that knows only itself.

    Args:
        own: The record of this node.
        call: Sends a message to a peer and returns the response.
        timeline: Receives the events; its clock stamps all messages.
        monotonic: Monotonic clock, in seconds.
        random: Source of all random choices.
        sleep: Waits for a number of seconds.
        seeds: Addresses to join through, from the settings.
        read_members: Reads addresses from the log; called only if no seed responds.
        payloads: Values that other modules add to messages.
        on_stale_connections: Called with the address of a peer that responded over a
            new connection but not over a pooled one, to close the pooled ones.

    Returns:
        The membership, which starts to run with ``run_membership``.
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
        on_stale_connections=on_stale_connections,
    )


async def run_membership(membership: Membership) -> None:
    """Join the fleet and run heartbeats, gossip and reconnects until cancelled."""
    try:
        async with asyncio.TaskGroup() as tasks:
            membership.tasks = tasks
            tasks.create_task(run_pushes(membership))
            await join_fleet(membership)
            tasks.create_task(run_heartbeats(membership))
            tasks.create_task(sync_after_join(membership))
            tasks.create_task(reconnect(membership))
    finally:
        membership.tasks = None


def change_own(
    membership: Membership,
    *,
    state: str | None = None,
    targets: tuple[TargetRecord, ...] | None = None,
) -> None:
    """Change the record of this node and push the change to peers.

    Args:
        membership: The membership.
        state: New state, or None to keep it.
        targets: New targets, or None to keep them.
    """
    if update_own_record(membership.directory, state=state, targets=targets):
        publish_own_change(membership)


def announce_leaving(membership: Membership) -> None:
    """Tell the fleet that this node drains: it finishes its work and takes no more."""
    change_own(membership, state="leaving")


async def depart(membership: Membership) -> None:
    """Declare this node dead to its peers, as the last step before exit."""
    update_own_record(membership.directory, state="dead")
    message = make_gossip(membership, summaries=[membership.own_summary()])
    await asyncio.gather(
        *(
            send_message(membership, peer, PUSH, message, PushAnswer, PING_TIMEOUT_S)
            for peer in sample_peers(membership, 2 * PUSH_FANOUT)
        )
    )


async def check_peer(membership: Membership, node: str) -> bool:
    """Ping a node over a new connection and record the result for its link.

    Returns:
        Whether the node responded; False if it is not in the directory.
    """
    peer = membership.directory.record_by_node.get(node)
    return peer is not None and await ping_peer(membership, peer, fresh=True)


def make_handlers(membership: Membership) -> Mapping[str, Handler]:
    """Return the handlers of membership messages, by path of the peer port."""

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
