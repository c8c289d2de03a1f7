"""Joining the fleet, and reconnecting to parts of it that were lost."""

from collections.abc import Iterable

from absl import logging
from returns.result import Success

from siskinlug.connections import Address
from siskinlug.directory_sync import SYNC_TIMEOUT_S, sync_with
from siskinlug.heartbeats import ping_address
from siskinlug.links import note_success
from siskinlug.membership_state import Membership, draw_peers
from siskinlug.merging import merge_changes, observe_clock
from siskinlug.messages import SyncAnswer, SyncRequest
from siskinlug.round_trips import SYNC
from siskinlug.spreading import push_node

RECONNECT_INTERVAL_S = 10.0
JOIN_INTERVAL_S = 2.0
JOIN_CANDIDATES = 8


async def join_fleet(membership: Membership) -> None:
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
    push_node(membership, membership.directory.own_node, whole=True)


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
            observe_clock(membership, answer.at)
            elapsed = membership.monotonic() - started
            note_success(membership.links, answer.node, elapsed)
            merge_changes(membership, answer.marks, answer.records, spread=False)
            return True
    return False


async def sync_after_join(membership: Membership) -> None:
    """Sync once more, since changes made during the join reach only known nodes."""
    await membership.sleep(JOIN_INTERVAL_S * (0.5 + membership.random.random()))
    for peer in draw_peers(membership, 1):
        await sync_with(membership, (peer.host, peer.peer_port))


async def reconnect(membership: Membership) -> None:
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
        answer = await ping_address(membership, address, expected, fresh=True)
        if answer is None:
            continue
        if expected is not None and answer.own.node != expected:
            membership.lost_by_node.pop(expected, None)
        await sync_with(membership, address)
