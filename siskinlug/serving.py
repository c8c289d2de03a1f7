"""Serving: the ports and tasks of one node, and its planned stop."""

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
from absl import logging
from returns.result import Failure, Result, Success

from siskinlug.admin import (
    explain_page,
    make_admin_app,
    nodes_page,
    tables_page,
    targets_page,
    timeline_page,
)
from siskinlug.admission import close
from siskinlug.announcements import (
    INTERVAL_S,
    accept_announcement,
    withdraw,
)
from siskinlug.attempts import cancel, state_of
from siskinlug.claim_messages import ClaimsAnswer, ClaimsRequest
from siskinlug.claims import close_claims, serve_claims
from siskinlug.config_sync import (
    answer_configuration,
    configuration_page,
    follow_configuration,
    follow_declarations,
)
from siskinlug.connections import Address
from siskinlug.ejection import answer_reservation_request
from siskinlug.ejection_monitor import (
    publish_targets,
    run_ejection_monitor,
)
from siskinlug.entry import serve_caller
from siskinlug.inbound import InboundLimits, Serve, drain_server, open_server
from siskinlug.load_poll import open_polls
from siskinlug.logs import log_event
from siskinlug.membership import (
    announce_leaving,
    depart,
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
    Node,
)
from siskinlug.owner import note_incarnation
from siskinlug.peer_client import call_peer
from siskinlug.peer_server import MAX_MESSAGE_BYTES, Handler, make_peer_server
from siskinlug.reservations import ReservationAnswer, ReservationRequest
from siskinlug.supervisor import supervise
from siskinlug.timeline import Kind, record
from siskinlug.verdict import Reason

PEER_IDLE_S = 60.0
PEER_BODY_S = 3600.0
PEER_CONNECTIONS = 4096
ADMIN_HEADER_BYTES = 16_384
ALTERNATIVES = 3
# Time to answer on kept connections with ``Connection: close`` before they close.
LEAVE_QUIET_S = 0.5
# 430 nodes write 1.4 records/s; the log must keep records for longer than this.
MEMBER_WRITE_S = 300.0
# Time before the end of a stop by which what still waits for a target is refused, so
# that the refusal arrives.
STOP_REFUSE_S = 0.4
# Pauses before nodes are looked for again after the start.
MEMBER_READ_S = (1.5, 6.0)
# A node whose address could not be kept is not found by nodes that start meanwhile.
MEMBER_RETRY_S = 2.0

MessageT = TypeVar("MessageT")


def take_announcement(node: Node, message: Announcement) -> AnnouncementAnswer:
    """Take an announcement of a target, or send the target on while leaving.

    Raises:
        ValueError: The announcement is not valid.
    """
    alive = [peer for peer in node.membership.live_peers() if peer.state == "alive"]
    # Targets renew each second, so only the few that are named are drawn.
    drawn = node.random.sample(alive, min(ALTERNATIVES, len(alive)))
    alternatives = [f"{peer.host}:{peer.peer_port}" for peer in drawn]
    if node.owner.leaving:
        # A lease of 0 sends the target to another node at once.
        return AnnouncementAnswer(
            lease_s=0.0, interval_s=INTERVAL_S, alternatives=alternatives
        )
    accepted = announce_target(node, message, alternatives=alternatives)
    if isinstance(accepted, Failure):
        raise ValueError(accepted.failure())
    return accepted.unwrap()


def announce_target(
    node: Node, message: Announcement, *, alternatives: Iterable[str] = ()
) -> Result[AnnouncementAnswer, str]:
    """Take an announcement of a target, also while this node is leaving.

    Returns:
        The answer, or what is wrong with the announcement.
    """
    held = node.targets.owned_by_target.get(message["target"])
    accepted = accept_announcement(node.targets, message, alternatives=alternatives)
    if isinstance(accepted, Failure):
        return accepted
    if held is None:
        detail = f"{message['service']}, {message['slots']} slots"
        record(node.timeline, Kind.TARGET_ANNOUNCED, message["target"], detail)
    elif message["state"] == "leaving" != held.announcement["state"]:
        record(node.timeline, Kind.TARGET_LEAVING, message["target"], "announced")
    note_incarnation(node.owner, message["target"], message["incarnation"])
    publish_targets(node.ejection_monitor)
    return accepted


def withdraw_target(node: Node, target: str) -> None:
    """Take a target's word that it is gone: it gets no work from now on."""
    if withdraw(node.targets, target):
        record(node.timeline, Kind.TARGET_LEAVING, target, "withdrew")
        publish_targets(node.ejection_monitor)


def is_ready(node: Node) -> bool:
    """Whether this node takes work of callers."""
    return node.tables().in_force and not node.owner.leaving


async def _follow_configuration(node: Node) -> None:
    async def fetch(peer: str, position: ConfigurationPosition) -> bytes | None:
        found = node.membership.directory.record_by_node.get(peer)
        if found is None:
            return None
        result: Any = await call_peer(
            node.peer_client,
            (found.host, found.peer_port),
            CONFIGURATION_PATH,
            position,
            msgspec.Raw,
        )
        return bytes(result.unwrap()) if isinstance(result, Success) else None

    def push() -> None:
        push_payload(node.membership, "configuration")

    follow = node.wiring.follow_operator
    if follow is not None:
        await follow_declarations(node.configuration, follow, fetch=fetch, push=push)
        return
    await follow_configuration(
        node.configuration,
        node.log,
        fetch=fetch,
        push=push,
        nodes=lambda: 1 + len(node.membership.live_peers()),
    )


async def _write_member(node: Node) -> None:
    """Keep this node's address where nodes that start look for others."""
    while True:
        own = node.membership.directory.own_record
        written = await node.members.write(own.node, (own.host, own.peer_port))
        pause_s = MEMBER_WRITE_S if written else MEMBER_RETRY_S
        await asyncio.sleep(pause_s * node.random.uniform(0.8, 1.2))


async def _find_members(node: Node) -> None:
    """Look for nodes that this one does not know, soon after the start and then rarely.

    Nodes that start together find only those that were quicker, and while addresses
    cannot be read a node finds none at all.
    """
    for pause_s in chain(MEMBER_READ_S, repeat(MEMBER_WRITE_S)):
        await asyncio.sleep(pause_s * node.random.uniform(0.8, 1.2))
        while (addresses := await node.members.read()) is None:
            await asyncio.sleep(MEMBER_RETRY_S * node.random.uniform(0.5, 1.0))
        await meet_unknown(node.membership, addresses)


def _message_handler(
    message_type: type[MessageT], handle: Callable[[MessageT], Awaitable[Any]]
) -> Handler:
    async def handler(body: bytes) -> bytes:
        return encode(await handle(decode(body, message_type)))

    return handler


def _handlers(node: Node) -> Mapping[str, Handler]:
    async def announce(message: Announcement) -> AnnouncementAnswer:
        return take_announcement(node, message)

    async def cancel_attempt(message: CancelRequest) -> CancelAnswer:
        # The incarnation rises once if an earlier process had a clock ahead of ours.
        incarnation = message["incarnation"]
        if incarnation == node.membership.directory.own_record.incarnation:
            incarnation = node.incarnation
        verdict = cancel(node.attempts, message["attempt"], incarnation)
        return CancelAnswer(verdict=verdict.value)

    async def configuration(body: bytes) -> bytes:
        return answer_configuration(node.configuration, body)

    async def reserve(message: ReservationRequest) -> ReservationAnswer:
        return answer_reservation_request(
            node.ejection_monitor.ejection_by_target, message
        )

    async def attempt_state(message: AttemptQuery) -> AttemptState:
        return AttemptState(state=state_of(node.attempts, message["attempt"]))

    async def claims(message: ClaimsRequest) -> ClaimsAnswer:
        return await serve_claims(node.claims, message)

    handler_by_path = {
        CLAIMS_PATH: _message_handler(ClaimsRequest, claims),
        "/peer/attempts/state": _message_handler(AttemptQuery, attempt_state),
        CONFIGURATION_PATH: configuration,
        RESERVATIONS_PATH: _message_handler(ReservationRequest, reserve),
        "/announce": _message_handler(Announcement, announce),
        "/peer/attempts/cancel": _message_handler(CancelRequest, cancel_attempt),
    }
    for path, handler in make_handlers(node.membership).items():
        handler_by_path[path] = _message_handler(handler.message_type, handler.handle)
    return handler_by_path


class ExtraPort(NamedTuple):
    """A port beyond those of the settings, for small messages."""

    name: str
    address: Address
    serve: Serve


def _open_servers(node: Node, extra: Sequence[ExtraPort]) -> None:
    settings, limits = node.settings, node.settings.limits
    directory = node.membership.directory

    async def serve(inbound: Any) -> None:
        await serve_caller(node.entry, inbound)

    admin = make_admin_app(
        {
            "/nodes": nodes_page(directory),
            "/targets": targets_page(directory),
            "/tables": tables_page(node.tables),
            "/configuration": configuration_page(node.configuration),
            "/timeline": timeline_page(node.timeline),
            "/explain": explain_page(node.entry.view, node.tables),
        }
    )
    peer = make_peer_server(
        node.owner,
        token=settings.token,
        clock=node.timeline.clock,
        handler_by_path=_handlers(node),
    )
    caller_limits = InboundLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        replay_bytes=limits.replay_bytes,
        idle_s=limits.caller_idle_s,
        body_s=limits.caller_body_s,
        connections=limits.caller_connections,
    )
    # Attempts carry the caller's head and more headers of the entry.
    peer_limits = InboundLimits(
        header_bytes=limits.header_bytes + 4096,
        body_bytes=max(limits.body_bytes, MAX_MESSAGE_BYTES),
        replay_bytes=max(limits.replay_bytes, MAX_MESSAGE_BYTES),
        idle_s=PEER_IDLE_S,
        body_s=PEER_BODY_S,
        connections=PEER_CONNECTIONS,
    )
    admin_limits = peer_limits._replace(header_bytes=ADMIN_HEADER_BYTES)
    for name, host, port, server, bounds in (
        ("peer_port", settings.host, settings.peer_port, peer, peer_limits),
        ("admin_port", settings.admin_host, settings.admin_port, admin, admin_limits),
        *((p.name, *p.address, p.serve, admin_limits) for p in extra),
        ("caller_port", settings.host, settings.caller_port, serve, caller_limits),
    ):
        try:
            node.server_by_port[name] = open_server(
                server,
                host=host,
                port=port,
                limits=bounds,
                on_limit=partial(_count_limit, node, name),
            )
        except OSError as error:
            raise PortError(name, f"{host}:{port}: {error.strerror}") from error


def _count_limit(node: Node, port: str, limit: str) -> None:
    node.metrics.limits.add(1, {"port": port, "limit": limit})


class PortError(Exception):
    """A port from the settings cannot be opened."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(problem)
        self.key = key


@asynccontextmanager
async def open_node(
    node: Node, *, extra: Sequence[ExtraPort] = ()
) -> AsyncIterator[None]:
    """Listen on the node's ports and run its tasks inside the block.

    Args:
        node: The node.
        extra: Ports beyond those of the settings.

    Raises:
        PortError: A port is taken; nothing is left listening.
    """
    jobs = {
        "members": lambda: _write_member(node),
        "configuration": lambda: _follow_configuration(node),
        "membership": lambda: run_membership(node.membership),
        "find members": lambda: _find_members(node),
        "targets": lambda: run_ejection_monitor(node.ejection_monitor),
    }
    async with AsyncExitStack() as stack:
        stack.callback(node.connections.close)
        stack.push_async_callback(close_claims, node.claims)
        stack.callback(_stop_listening, node)
        _open_servers(node, extra)
        if node.owner.estimates_health:
            await stack.enter_async_context(
                open_polls(
                    node.polls, host=node.settings.host, port=node.settings.peer_port
                )
            )
        await stack.enter_async_context(supervise(jobs))
        record(node.timeline, Kind.NODE_STARTED, node.settings.name)
        ports = {name: server.port for name, server in node.server_by_port.items()}
        log_event("listening", ports=ports)
        yield


def _stop_listening(node: Node) -> None:
    for server in node.server_by_port.values():
        if server.http is not None:
            server.http.stop()


async def leave(node: Node, *, timeout_s: float) -> int:
    """Leave the fleet: no new work, and everything in flight is finished.

    Args:
        node: The node.
        timeout_s: Time for what is in flight, in seconds.

    Returns:
        Requests that were cut at the time limit.
    """
    record(node.timeline, Kind.NODE_STOPPING, node.settings.name)
    node.owner.leaving = True
    announce_leaving(node.membership)
    for owned in node.targets.owned_by_target.values():
        close(owned.admission, Reason.NODE_LEAVING)
    deadline = node.monotonic() + timeout_s
    node.entry.stop_at = deadline - STOP_REFUSE_S
    # Callers that keep connections open learn at once that they must leave them.
    node.server_by_port["caller_port"].leaving = True
    await asyncio.sleep(min(node.settings.limits.linger_s, timeout_s))
    cut = 0
    for name in ("caller_port", "peer_port"):
        left_s = max(0.0, deadline - node.monotonic())
        cut += await drain_server(
            node.server_by_port[name], quiet_s=LEAVE_QUIET_S, timeout_s=left_s
        )
    await depart(node.membership)
    if cut:
        log_event("stop_limit_hit", write=logging.error, requests_cut=cut)
    return cut
