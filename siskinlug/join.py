"""Join of the fleet, and reconnection to nodes lost in a partition."""

from collections.abc import Iterable

from absl import logging

from siskinlug.connections import Address
from siskinlug.directory_sync import request_sync, sync_with
from siskinlug.gossip import push_change
from siskinlug.gossip_merge import merge_changes, read_payloads
from siskinlug.heartbeats import ping_address
from siskinlug.links import record_success
from siskinlug.membership_state import Membership, address_of, sample_peers
from siskinlug.messages import SyncRequest

RECONNECT_INTERVAL_S = 10.0
JOIN_INTERVAL_S = 2.0
JOIN_CANDIDATES_MAX = 8


async def join_fleet(membership: Membership) -> None:
    """Sync with a seed or with a node from the log, and retry until one responds.

    The attempts end early when another node has found this one, or when there are no
    other addresses, as for the first node of a fleet.
    """
    while not await _join_through(membership, membership.seeds):
        try:
            members = list(await membership.read_members() or ())
        except Exception as error:
            logging.warning("cannot read member addresses from the log: %s", error)
            members = []
        membership.random.shuffle(members)
        if await _join_through(membership, members[:JOIN_CANDIDATES_MAX]):
            break
        if len(membership.directory.record_by_node) > 1:
            break  # another node has found this one
        if not _without_own_address(membership, [*membership.seeds, *members]):
            break  # the first node of a fleet
        await membership.sleep(membership.jittered(JOIN_INTERVAL_S))
    membership.joined.set()
    push_change(membership, membership.directory.own_node, content_changed=True)


def _without_own_address(
    membership: Membership, addresses: Iterable[Address]
) -> list[Address]:
    own = address_of(membership.directory.own_record)
    return [address for address in addresses if tuple(address) != own]


async def _join_through(membership: Membership, addresses: Iterable[Address]) -> bool:
    """Fetch all records from the first address that responds; False if none does."""
    for address in _without_own_address(membership, addresses):
        request = SyncRequest(
            membership.directory.own_node,
            membership.clock.now(),
            wanted_nodes=["*"],
            records=[membership.directory.own_record],
        )
        started_at = membership.monotonic()
        answer = await request_sync(membership, address, request)
        if answer is not None:
            elapsed_s = membership.monotonic() - started_at
            record_success(membership.links, answer.node, elapsed_s)
            merge_changes(
                membership, answer.summaries, answer.records, repeat_in_pings=False
            )
            read_payloads(membership, answer.node, answer.payloads)
            return True
    return False


async def sync_after_join(membership: Membership) -> None:
    """Sync once more, for changes that peers made before they knew this node."""
    await membership.sleep(membership.jittered(JOIN_INTERVAL_S))
    for peer in sample_peers(membership, 1):
        await sync_with(membership, address_of(peer))


async def meet_unknown(membership: Membership, addresses: Iterable[Address]) -> None:
    """Ping addresses that no known live node has, and sync with those that respond.

    Each sync may make further addresses known, so that two halves of a fleet that
    started together need one sync and not one for each node.
    """
    for address in _without_own_address(membership, addresses):
        if tuple(address) in _live_addresses(membership):
            continue
        answer = await ping_address(membership, address, None, fresh=True)
        if answer is not None:
            await sync_with(membership, address)


async def reconnect(membership: Membership) -> None:
    """Retry dead, lost and unknown nodes at random, so that partitions heal."""
    while True:
        await membership.sleep(membership.jittered(RECONNECT_INTERVAL_S))
        choices = _reconnect_choices(membership)
        if not choices:
            continue
        expected, address = membership.random.choice(choices)
        answer = await ping_address(membership, address, expected, fresh=True)
        if answer is None:
            continue
        if expected is not None and answer.sender.node != expected:
            membership.lost_by_node.pop(expected, None)
        await sync_with(membership, address)


def _reconnect_choices(
    membership: Membership,
) -> list[tuple[str | None, Address]]:
    """Return addresses of dead and lost nodes, and of seeds that no live node has."""
    known = membership.directory.record_by_node
    address_by_node = {
        node: address_of(known[node])
        for node in membership.dead_since_by_node
        if node in known
    }
    for node, lost in membership.lost_by_node.items():
        address_by_node[node] = lost.address
    live_addresses = _live_addresses(membership)
    seeds = [seed for seed in membership.seeds if tuple(seed) not in live_addresses]
    return [*address_by_node.items(), *((None, seed) for seed in seeds)]


def _live_addresses(membership: Membership) -> set[Address]:
    return {address_of(peer) for peer in membership.directory.live_records()}
