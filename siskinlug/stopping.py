"""Planned stop of a node: it leaves the fleet and answers every request it has."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from absl import logging

from siskinlug.admission import close
from siskinlug.draining import drain_servers
from siskinlug.logs import log_event
from siskinlug.membership import announce_leaving, depart
from siskinlug.node import Node
from siskinlug.timeline import Kind, record_event
from siskinlug.verdict import Reason
from siskinlug.withdrawal import withdraw_late_attempts

# Ports that carry requests of callers and attempts.
REQUEST_PORTS = ("caller_port", "peer_port")
# Time for messages in progress on the other ports, once all requests have ended.
OTHER_PORTS_S = 0.3
# Time for which open connections are still served, with ``Connection: close``, before
# idle ones are closed.
CLOSE_IDLE_AFTER_S = 0.5
# Requests that still wait for a target are refused this long before the end of a stop,
# so that the refusals reach their callers.
REFUSAL_MARGIN_S = 0.4
# Share of a stop after which a request is run only if its deadline ends before the stop
# does. Any other could still run at its target when the process has to end.
ACCEPT_SHARE = 0.5


async def drain_node(node: Node, *, timeout_s: float, stop_now: asyncio.Event) -> int:
    """Leave the fleet and finish all requests, or refuse them truthfully.

    The node listens for requests while a target beside it runs one: the target may send
    calls of its own to this node, and entries may ask about their attempts. Its other
    ports, such as that for heartbeats, close last.

    Args:
        node: The node.
        timeout_s: Time for requests in progress to finish, in seconds.
        stop_now: Ends the stop at once when set, as its time limit does.

    Returns:
        Number of requests that were interrupted at the time limit.
    """
    record_event(node.timeline, Kind.NODE_STOPPING, node.settings.name)
    deadline = asyncio.get_running_loop().time() + timeout_s
    entry, started_at = node.entry, node.monotonic()
    entry.stop_at = started_at + timeout_s - REFUSAL_MARGIN_S
    entry.accept_until = started_at + timeout_s * ACCEPT_SHARE
    node.owner.leaving = True
    announce_leaving(node.membership)
    for owned in node.targets.owned_by_target.values():
        close(owned.admission, Reason.NODE_LEAVING)
    # From now on responses tell callers to close their connections.
    node.server_by_port["caller_port"].draining = True
    async with _withdrawing_late_attempts(node):
        linger_s = node.settings.limits.linger_s + CLOSE_IDLE_AFTER_S
        await _pause(min(linger_s, timeout_s), stop_now)
        interrupted = await drain_servers(
            [node.server_by_port[name] for name in REQUEST_PORTS],
            deadline=deadline,
            needs_listener=lambda: bool(node.attempts.started_by_attempt),
            stop_now=stop_now,
        )
    others = [s for n, s in node.server_by_port.items() if n not in REQUEST_PORTS]
    await drain_servers(
        others, deadline=asyncio.get_running_loop().time() + OTHER_PORTS_S
    )
    await depart(node.membership)
    if interrupted:
        log_event("stop_limit_hit", write=logging.error, requests_cut=interrupted)
    return interrupted


async def _pause(pause_s: float, stop_now: asyncio.Event) -> None:
    """Pause, but only until the node has to stop at once."""
    try:
        async with asyncio.timeout(pause_s):
            await stop_now.wait()
    except TimeoutError:
        return


@asynccontextmanager
async def _withdrawing_late_attempts(node: Node) -> AsyncIterator[None]:
    """Withdraw attempts that wait at other nodes for too long, inside the block."""
    withdrawing = asyncio.create_task(
        withdraw_late_attempts(
            node.entry.open_by_attempt,
            stop_at=node.entry.stop_at,
            monotonic=node.monotonic,
            withdraw=node.withdraw_attempt,
        )
    )
    try:
        yield
    finally:
        withdrawing.cancel()
        await asyncio.wait({withdrawing})
