"""Messages to peers, and the state of links derived from their results."""

from typing import Any

from returns.result import Success

from siskinlug.directory import NodeRecord
from siskinlug.links import record_failure, record_success
from siskinlug.membership_state import Membership, address_of
from siskinlug.timeline import Kind, record_event

PING = "/peer/ping"
PING_THROUGH = "/peer/ping-through"
PUSH = "/peer/push"
SYNC = "/peer/sync"


async def send_message(
    membership: Membership,
    peer: NodeRecord,
    path: str,
    message: Any,
    answer_type: Any,
    timeout_s: float,
    *,
    fresh: bool = False,
) -> Any | None:
    """Send a message to a peer and record the result for its link.

    Args:
        membership: The membership.
        peer: Record of the receiver.
        path: Path of the peer port.
        message: The message, which is encoded as JSON.
        answer_type: Type that the response is decoded to.
        timeout_s: Timeout, in seconds.
        fresh: Whether to use a new connection.

    Returns:
        The response, or None if the round trip failed.
    """
    started_at = membership.monotonic()
    result = await membership.call(
        address_of(peer),
        path,
        message,
        answer_type,
        timeout_s=timeout_s,
        fresh=fresh,
    )
    if isinstance(result, Success):
        record_peer_reached(membership, peer.node, membership.monotonic() - started_at)
        return result.unwrap()
    record_peer_unreached(membership, peer.node)
    return None


def record_peer_reached(membership: Membership, node: str, elapsed_s: float) -> None:
    """Record a round trip, and an event if the link was down before."""
    if record_success(membership.links, node, elapsed_s):
        record_event(membership.timeline, Kind.LINK_UP, node)


def record_peer_unreached(membership: Membership, node: str) -> None:
    """Record a failed round trip, and an event if the link was not down before."""
    if record_failure(membership.links, node):
        record_event(membership.timeline, Kind.LINK_DOWN, node)
