"""Runs one node: its ports and its background tasks."""

import asyncio
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Mapping,
    Sequence,
)
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from itertools import chain, repeat
from typing import Any, NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from siskinlug.admin import (
    explain_page,
    make_admin_handler,
    nodes_page,
    signals_page,
    tables_page,
    targets_page,
    timeline_page,
)
from siskinlug.announcements import (
    RENEWAL_INTERVAL_S,
    accept_announcement,
)
from siskinlug.attempts import (
    Attempts,
    attempt_state,
    cancel_attempt,
    withdraw_attempt,
)
from siskinlug.claim_messages import ClaimsAnswer, ClaimsMessage
from siskinlug.claims import close_claims, serve_claims
from siskinlug.clock import wall_clock_ms
from siskinlug.config_sync import (
    answer_configuration,
    configuration_page,
    follow_configuration,
    follow_declared_configuration,
)
from siskinlug.connections import Address
from siskinlug.ejection import answer_reservation_request
from siskinlug.ejection_monitor import (
    publish_targets,
    run_ejection_monitor,
)
from siskinlug.entry import serve_caller
from siskinlug.idle_connections import run_idle_sweep
from siskinlug.inbound import InboundLimits, RequestHandler, open_server
from siskinlug.leaving_memory import run_leaving_memory, store_leaving
from siskinlug.load_poll import open_polls
from siskinlug.logs import log_event
from siskinlug.membership import (
    make_handlers,
    meet_unknown,
    push_payload,
    run_membership,
)
from siskinlug.messages import (
    Announcement,
    AnnouncementAnswer,
    AttemptQuery,
    AttemptState,
    CancelAnswer,
    CancelRequest,
    ConfigurationPosition,
    decode,
    encode,
)
from siskinlug.node import (
    CLAIMS_PATH,
    CONFIGURATION_PATH,
    RESERVATIONS_PATH,
    WITHDRAW_PATH,
    Node,
    learn_stored_leavings,
    mark_leaving,
)
from siskinlug.owner import detect_crash
from siskinlug.peer_client import call_peer
from siskinlug.peer_server import MAX_MESSAGE_BYTES, MessageHandler, make_peer_handler
from siskinlug.reservations import ReservationAnswer, ReservationRequest
from siskinlug.supervisor import supervise
from siskinlug.timeline import Kind, record_event
from siskinlug.verdict import Verdict

PEER_IDLE_TIMEOUT_S = 60.0
PEER_BODY_TIMEOUT_S = 3600.0
MAX_PEER_CONNECTIONS = 4096
ADMIN_HEADER_BYTES = 16_384
# Other nodes that are named to a target in the response to its announcement.
MAX_ALTERNATIVES = 3
# Interval at which a node publishes its address and looks for others. 430 nodes write
# 1.4 records/s; the log must keep records for longer than this interval.
ADDRESS_INTERVAL_S = 300.0
# Pauses before the first searches for other nodes after the start.
FIRST_DISCOVERY_PAUSES_S = (1.5, 6.0)
# Short, because nodes that start meanwhile do not find a node without a stored address.
ADDRESS_RETRY_S = 2.0
# Time over which the nodes of a fleet spread the writes after a loss of addresses.
ADDRESS_REWRITE_S = 0.5

MessageT = TypeVar("MessageT")


def handle_announcement(node: Node, message: Announcement) -> AnnouncementAnswer:
    """Accept an announcement of a target, or redirect the target while draining.

    Args:
        node: The node.
        message: The announcement.

    Returns:
        The response, with the addresses of some other nodes.

    Raises:
        ValueError: The announcement is not valid.
    """
    alive = [peer for peer in node.membership.live_peers() if peer.state == "alive"]
    # Each target renews every second, so only the few nodes to name are drawn.
    sampled = node.random.sample(alive, min(MAX_ALTERNATIVES, len(alive)))
    alternatives = [f"{peer.host}:{peer.peer_port}" for peer in sampled]
    if node.owner.leaving:
        # A lease of 0 makes the target announce itself to another node at once.
        return AnnouncementAnswer(
            lease_s=0.0, interval_s=RENEWAL_INTERVAL_S, alternatives=alternatives
        )
    accepted = register_target(node, message, alternatives=alternatives)
    if isinstance(accepted, Failure):
        raise ValueError(accepted.failure())
    return accepted.unwrap()


def register_target(
    node: Node, message: Announcement, *, alternatives: Iterable[str] = ()
) -> Result[AnnouncementAnswer, str]:
    """Accept an announcement of a target, even while this node is draining.

    Args:
        node: The node.
        message: The announcement.
        alternatives: Addresses of other nodes to name to the target.

    Returns:
        The response, or what is wrong with the announcement.
    """
    previous = node.targets.owned_by_target.get(message["target"])
    accepted = accept_announcement(node.targets, message, alternatives=alternatives)
    if isinstance(accepted, Failure):
        return accepted
    if previous is None:
        detail = f"{message['service']}, {message['slots']} slots"
        record_event(node.timeline, Kind.TARGET_ANNOUNCED, message["target"], detail)
    elif message["state"] == "leaving" != previous.announcement["state"]:
        record_event(node.timeline, Kind.TARGET_LEAVING, message["target"], "announced")
    detect_crash(node.owner, message["target"], message["incarnation"])
    publish_targets(node.ejection_monitor)
    return accepted


async def withdraw_target(node: Node, target: str) -> None:
    """Stop sending requests to a target that has announced that it is gone."""
    mark_leaving(node, target, "withdrew")
    owned = node.targets.owned_by_target.get(target)
    incarnation = owned.announcement["incarnation"] if owned else wall_clock_ms()
    await store_leaving(node.leaving_memory, target, incarnation)


async def keep_announced_leaving(node: Node, message: Announcement) -> None:
    """Store that a target is leaving, if its accepted announcement says so."""
    if message["state"] == "leaving":
        await store_leaving(
            node.leaving_memory, message["target"], message["incarnation"]
        )


def is_ready(node: Node) -> bool:
    """Whether this node accepts requests of callers."""
    return node.tables().in_force and not node.owner.leaving


async def _follow_configuration(node: Node) -> None:
    async def fetch(peer: str, position: ConfigurationPosition) -> bytes | None:
        peer_record = node.membership.directory.record_by_node.get(peer)
        if peer_record is None:
            return None
        result: Any = await call_peer(
            node.peer_client,
            (peer_record.host, peer_record.peer_port),
            CONFIGURATION_PATH,
            position,
            msgspec.Raw,
            # A fetch is rare and urgent, and an idle connection may have gone silent.
            fresh=True,
        )
        return bytes(result.unwrap()) if isinstance(result, Success) else None

    def push() -> None:
        push_payload(node.membership, "configuration")

    def nodes() -> int:
        return 1 + len(node.membership.live_peers())

    def rank() -> int:
        own = node.membership.directory.own_node
        return sum(peer.node < own for peer in node.membership.live_peers())

    follow = node.options.follow_operator
    if follow is not None:
        await follow_declared_configuration(
            node.configuration,
            follow,
            fetch=fetch,
            push=push,
            nodes=nodes,
            rank=rank,
        )
        return
    await follow_configuration(
        node.configuration, node.log, fetch=fetch, push=push, nodes=nodes
    )


async def _publish_address(node: Node) -> None:
    """Publish this node's address at intervals, so that starting nodes find it."""
    while True:
        own = node.membership.directory.own_record
        losses = node.member_store.losses()
        written = await node.member_store.write(own.node, (own.host, own.peer_port))
        pause_s = ADDRESS_INTERVAL_S if written else ADDRESS_RETRY_S
        if await _pause_until_loss(node, pause_s, losses):
            await asyncio.sleep(ADDRESS_REWRITE_S * node.random.random())


async def _pause_until_loss(node: Node, pause_s: float, losses: int) -> bool:
    """Pause, but only until the store has lost addresses once more.

    Args:
        node: The node.
        pause_s: Mean length of the pause, in seconds.
        losses: Number of losses when the addresses were last written or read.

    Returns:
        Whether addresses were lost.
    """
    try:
        async with asyncio.timeout(pause_s * node.random.uniform(0.8, 1.2)):
            await node.member_store.wait_for_loss(losses)
    except TimeoutError:
        return False
    return True


async def _discover_nodes(node: Node) -> None:
    """Look for unknown nodes, first soon after the start and then at long intervals.

    A single search at the start is not enough. If nodes start together, a node finds
    only those that were quicker to publish their address. While addresses cannot be
    read, it finds none.
    """
    losses = node.member_store.losses()
    for pause_s in chain(FIRST_DISCOVERY_PAUSES_S, repeat(ADDRESS_INTERVAL_S)):
        if await _pause_until_loss(node, pause_s, losses):
            # A node that started after the loss has found only those listed by then.
            rewritten_s = FIRST_DISCOVERY_PAUSES_S[0] + ADDRESS_REWRITE_S
            await asyncio.sleep(rewritten_s * node.random.uniform(0.8, 1.2))
        losses = node.member_store.losses()
        while (addresses := await node.member_store.read()) is None:
            await asyncio.sleep(ADDRESS_RETRY_S * node.random.uniform(0.5, 1.0))
        await meet_unknown(node.membership, addresses)


def _message_handler(
    message_type: type[MessageT], handle: Callable[[MessageT], Awaitable[Any]]
) -> MessageHandler:
    async def handler(body: bytes) -> bytes:
        return encode(await handle(decode(body, message_type)))

    return handler


def _peer_handlers(node: Node) -> Mapping[str, MessageHandler]:
    async def announce(message: Announcement) -> AnnouncementAnswer:
        return handle_announcement(node, message)

    def make_cancel_handler(
        cancel: Callable[[Attempts, str, int], Verdict],
    ) -> Callable[[CancelRequest], Awaitable[CancelAnswer]]:
        async def handle(message: CancelRequest) -> CancelAnswer:
            # The incarnation in the directory is higher than that of the attempts if
            # the clock of an earlier process of this node was ahead.
            incarnation = message["incarnation"]
            if incarnation == node.membership.directory.own_record.incarnation:
                incarnation = node.incarnation
            verdict = cancel(node.attempts, message["attempt"], incarnation)
            return CancelAnswer(verdict=verdict.value)

        return handle

    async def configuration(body: bytes) -> bytes:
        return answer_configuration(node.configuration, body)

    async def reserve(message: ReservationRequest) -> ReservationAnswer:
        return answer_reservation_request(
            node.ejection_monitor.ejection_by_target, message
        )

    async def handle_attempt_query(message: AttemptQuery) -> AttemptState:
        return AttemptState(state=attempt_state(node.attempts, message["attempt"]))

    async def claims(message: ClaimsMessage) -> ClaimsAnswer:
        return await serve_claims(node.claims, message)

    handler_by_path = {
        CLAIMS_PATH: _message_handler(ClaimsMessage, claims),
        "/peer/attempts/state": _message_handler(AttemptQuery, handle_attempt_query),
        CONFIGURATION_PATH: configuration,
        RESERVATIONS_PATH: _message_handler(ReservationRequest, reserve),
        "/announce": _message_handler(Announcement, announce),
        "/peer/attempts/cancel": _message_handler(
            CancelRequest, make_cancel_handler(cancel_attempt)
        ),
        WITHDRAW_PATH: _message_handler(
            CancelRequest, make_cancel_handler(withdraw_attempt)
        ),
    }
    for path, handler in make_handlers(node.membership).items():
        handler_by_path[path] = _message_handler(handler.message_type, handler.handle)
    return handler_by_path


class ExtraPort(NamedTuple):
    """A port for small messages in addition to those of the settings."""

    name: str
    address: Address
    serve: RequestHandler


def _open_servers(node: Node, extra_ports: Sequence[ExtraPort]) -> None:
    settings, limits = node.settings, node.settings.limits
    directory = node.membership.directory

    async def serve(inbound: Any) -> None:
        await serve_caller(node.entry, inbound)

    admin = make_admin_handler(
        {
            "/nodes": nodes_page(directory),
            "/targets": targets_page(directory),
            "/tables": tables_page(node.tables),
            "/configuration": configuration_page(node.configuration),
            "/timeline": timeline_page(node.timeline),
            "/explain": explain_page(node.entry.view, node.tables, node.entry.signals),
            "/signals": signals_page(node.targets, node.entry.signals),
        }
    )
    peer = make_peer_handler(
        node.owner,
        token=settings.token,
        clock=node.timeline.clock,
        handler_by_path=_peer_handlers(node),
    )
    caller_limits = InboundLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        replay_bytes=limits.replay_bytes,
        idle_timeout_s=limits.caller_idle_s,
        body_timeout_s=limits.caller_body_s,
        connections=limits.caller_connections,
    )
    # An attempt carries the caller's headers and those that the entry adds.
    peer_limits = InboundLimits(
        header_bytes=limits.header_bytes + 4096,
        body_bytes=max(limits.body_bytes, MAX_MESSAGE_BYTES),
        replay_bytes=max(limits.replay_bytes, MAX_MESSAGE_BYTES),
        idle_timeout_s=PEER_IDLE_TIMEOUT_S,
        body_timeout_s=PEER_BODY_TIMEOUT_S,
        connections=MAX_PEER_CONNECTIONS,
    )
    admin_limits = peer_limits._replace(header_bytes=ADMIN_HEADER_BYTES)
    for name, host, port, handler, port_limits in (
        ("peer_port", settings.host, settings.peer_port, peer, peer_limits),
        ("admin_port", settings.admin_host, settings.admin_port, admin, admin_limits),
        *((p.name, *p.address, p.serve, admin_limits) for p in extra_ports),
        ("caller_port", settings.host, settings.caller_port, serve, caller_limits),
    ):
        try:
            node.server_by_port[name] = open_server(
                handler,
                host=host,
                port=port,
                limits=port_limits,
                on_limit=partial(_count_limit_hit, node, name),
            )
        except OSError as error:
            raise PortError(name, f"{host}:{port}: {error.strerror}") from error


def _count_limit_hit(node: Node, port: str, limit: str) -> None:
    node.metrics.limits.add(1, {"port": port, "limit": limit})


class PortError(Exception):
    """A port cannot be opened.

    Attributes:
        key: Key of the port in the settings.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(problem)
        self.key = key


@asynccontextmanager
async def open_node(
    node: Node, *, extra_ports: Sequence[ExtraPort] = ()
) -> AsyncIterator[None]:
    """Listen on the node's ports and run its tasks inside the block.

    Args:
        node: The node.
        extra_ports: Ports in addition to those of the settings.

    Raises:
        PortError: A port cannot be opened. All ports are closed again.
    """
    jobs = {
        "members": lambda: _publish_address(node),
        "configuration": lambda: _follow_configuration(node),
        "membership": lambda: run_membership(node.membership),
        "find members": lambda: _discover_nodes(node),
        "targets": lambda: run_ejection_monitor(node.ejection_monitor),
        "idle connections": lambda: run_idle_sweep(node.server_by_port.values()),
        "leaving": lambda: run_leaving_memory(
            node.leaving_memory, partial(learn_stored_leavings, node)
        ),
    }
    async with AsyncExitStack() as stack:
        stack.callback(node.connections.close)
        stack.push_async_callback(close_claims, node.claims)
        stack.callback(_stop_listening, node)
        _open_servers(node, extra_ports)
        if node.owner.estimates_health:
            await stack.enter_async_context(
                open_polls(
                    node.polls, host=node.settings.host, port=node.settings.peer_port
                )
            )
        await stack.enter_async_context(supervise(jobs))
        record_event(node.timeline, Kind.NODE_STARTED, node.settings.name)
        ports = {name: server.port for name, server in node.server_by_port.items()}
        log_event("listening", ports=ports)
        yield


def _stop_listening(node: Node) -> None:
    for server in node.server_by_port.values():
        if server.http is not None:
            server.http.stop()
