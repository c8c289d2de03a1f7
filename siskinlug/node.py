"""One node: builds the state of all roles and connects them."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from random import Random
from typing import Any, TypeVar

import msgspec
from absl import logging
from returns.result import Failure, Success

from siskinlug.account_rates import make_account_rates
from siskinlug.admin import (
    explain_page,
    make_admin_app,
    nodes_page,
    tables_page,
    targets_page,
    timeline_page,
)
from siskinlug.admission import close, resize
from siskinlug.announcements import (
    INTERVAL_S,
    AdmissionLimits,
    OwnedTargets,
    accept_announcement,
)
from siskinlug.attempts import cancel, confirm, make_attempts, state_of
from siskinlug.candidates import TargetView, note_load
from siskinlug.choice import make_choice
from siskinlug.claim_messages import ClaimsAnswer, ClaimsRequest
from siskinlug.claims import (
    close_claims,
    home_node,
    make_claims,
    serve_claims,
)
from siskinlug.clock import HybridClock, wall_clock_ms
from siskinlug.config_sync import (
    answer_configuration,
    configuration_page,
    follow_configuration,
    make_configuration,
    note_position,
)
from siskinlug.configuration import position_of
from siskinlug.connections import Address, make_pool
from siskinlug.directory import NodeRecord
from siskinlug.ejection import answer_promises
from siskinlug.entry import Entry, serve_caller
from siskinlug.inbound import InboundLimits, InboundServer, drain_server, open_server
from siskinlug.links import link_up
from siskinlug.log_client import open_log
from siskinlug.logs import log_event
from siskinlug.membership import (
    Payload,
    announce_leaving,
    change_own,
    depart,
    make_handlers,
    make_membership,
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
    Position,
    decode,
    encode,
)
from siskinlug.metrics import make_metrics
from siskinlug.owner import Owner, load_of, note_incarnation
from siskinlug.paths import make_paths
from siskinlug.peer_client import call_peer, make_peer_client
from siskinlug.peer_server import MAX_MESSAGE_BYTES, Handler, make_peer_server
from siskinlug.promises import PromiseAnswer, PromiseRequest
from siskinlug.quarantine import (
    Suspicion,
    known_suspicions,
    make_quarantine,
    merge,
)
from siskinlug.remote_attempts import OwnerQueries, RemoteOwners
from siskinlug.service_times import make_service_times
from siskinlug.settings import Settings
from siskinlug.supervisor import supervise
from siskinlug.tables import Tables
from siskinlug.timeline import Kind, Timeline, record
from siskinlug.verdict import Reason, Verdict
from siskinlug.watch import (
    Watch,
    is_ejected,
    probe_target,
    publish_targets,
    run_watch,
)

PEER_IDLE_S = 60.0
PEER_BODY_S = 3600.0
PEER_CONNECTIONS = 4096
ADMIN_HEADER_BYTES = 16_384
ALTERNATIVES = 3
# Time to answer on kept connections with ``Connection: close`` before they close.
LEAVE_QUIET_S = 0.5
CANCEL_TIMEOUT_S = 1.0
MEMBERS_STREAM = "members"
# 430 nodes write 1.4 records/s; the log must keep records for longer than this.
MEMBER_WRITE_S = 300.0
MEMBERS_READ = 64
PROMISES_PATH = "/peer/promises"
CLAIMS_PATH = "/peer/claims"
CONFIGURATION_PATH = "/peer/configuration"

MessageT = TypeVar("MessageT")


class Node:
    """State of one node; ``open_node`` starts and stops what works on it."""

    def __init__(self, settings: Settings, *, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.monotonic: Callable[[], float] = time.monotonic
        self.incarnation = wall_clock_ms()
        self.log = open_log(settings.log_url, monotonic=self.monotonic)
        self.timeline = Timeline(settings.name, HybridClock())
        self.metrics = make_metrics()
        self.connections = make_pool(monotonic=self.monotonic)
        self.peer_client = make_peer_client(self.connections, token=settings.token)
        self.targets = OwnedTargets(monotonic=self.monotonic, limits_of=self._limits_of)
        self.attempts = make_attempts(
            incarnation=self.incarnation, monotonic=self.monotonic
        )
        self.quarantine = make_quarantine(monotonic=self.monotonic)
        self.owner = Owner(
            targets=self.targets,
            attempts=self.attempts,
            quarantine=self.quarantine,
            connections=self.connections,
            is_ejected=lambda target, route: is_ejected(self.watch, target, route),
            probe=lambda target: probe_target(self.watch, target),
            on_suspicions=lambda: push_payload(self.membership, "suspicions"),
            monotonic=self.monotonic,
        )
        self.configuration = make_configuration(
            self.timeline,
            on_change=lambda _tables: _apply_tables(self),
            random=random,
            monotonic=self.monotonic,
        )
        self.membership = make_membership(
            self._own_record(),
            call=self._call,
            timeline=self.timeline,
            monotonic=self.monotonic,
            random=random,
            seeds=[_address(peer) for peer in settings.peers],
            read_members=self._read_members,
            on_silent=self.connections.drop_address,
            payloads=[
                Payload(
                    name="configuration",
                    value_type=Position,
                    write=lambda _urgent: position_of(self.configuration.state),
                    read=lambda peer, position: note_position(
                        self.configuration, peer, position
                    ),
                ),
                Payload(
                    name="suspicions",
                    value_type=list[Suspicion],
                    write=lambda _urgent: known_suspicions(self.quarantine) or None,
                    read=lambda _peer, received: bool(merge(self.quarantine, received)),
                ),
            ],
        )
        self.watch = _make_watch(self)
        self.claims = make_claims(
            node=settings.name,
            incarnation=self.incarnation,
            append=self.log.append,
            read=self.log.read,
            home_of=self._home_of,
            call_home=self._call_home,
            monotonic=self.monotonic,
            wall_ms=wall_clock_ms,
        )
        paths = make_paths(monotonic=self.monotonic)
        view = TargetView(
            directory=self.membership.directory,
            paths=paths,
            links=self.membership.links,
            own_load=partial(load_of, self.owner),
            monotonic=self.monotonic,
        )
        self.entry = Entry(
            view=view,
            owner=self.owner,
            remote=RemoteOwners(
                connections=self.connections,
                paths=paths,
                queries=OwnerQueries(self._cancel_attempt, self._attempt_state),
                note_load=partial(note_load, view),
                token=settings.token,
                monotonic=self.monotonic,
            ),
            tables=self.tables,
            choose=make_choice(random=random),
            metrics=self.metrics,
            monotonic=self.monotonic,
            service_times=make_service_times(monotonic=self.monotonic),
            account_rates=make_account_rates(monotonic=self.monotonic),
            claims=self.claims,
        )
        self.server_by_port: dict[str, InboundServer] = {}

    def tables(self) -> Tables:
        """Return the tables in force."""
        return self.configuration.tables

    def _own_record(self) -> NodeRecord:
        settings = self.settings
        host, peer_port = settings.host, settings.peer_port
        if settings.advertise:
            host, peer_port = _address(settings.advertise)
        return NodeRecord(
            node=settings.name,
            incarnation=self.incarnation,
            version=0,
            state="alive",
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            region=settings.region,
            host=host,
            peer_port=peer_port,
            admin_port=settings.admin_port,
        )

    async def _call(self, *args: Any, **options: Any) -> Any:
        return await call_peer(self.peer_client, *args, **options)

    async def _read_members(self) -> Sequence[Address]:
        """Read the addresses that nodes wrote to the log, newest first."""
        end = await self.log.read(MEMBERS_STREAM, 0, limit=1)
        if isinstance(end, Failure):
            return ()
        start = max(end.unwrap().first, end.unwrap().next - MEMBERS_READ)
        page = await self.log.read(MEMBERS_STREAM, start, limit=MEMBERS_READ)
        if isinstance(page, Failure):
            return ()
        newest_first = reversed(page.unwrap().records)
        found = [member_address(entry.record) for entry in newest_first]
        return list(dict.fromkeys(address for address in found if address))

    def _limits_of(self, announcement: Announcement) -> AdmissionLimits:
        """Limits of a target from the pools that take its service."""
        pools = [
            pool
            for pool in self.tables().pools_by_name.values()
            if pool.service == announcement["service"]
        ]
        slots = min([p.slots for p in pools if p.slots] + [announcement["slots"]])
        return AdmissionLimits(
            slots=slots,
            queue=min((pool.queue for pool in pools), default=0),
            queue_wait_s=min((pool.queue_wait_s for pool in pools), default=0.0),
        )

    def _home_of(self, partition: int) -> str:
        # Two homes are ordered by the log, so a home that this node cannot reach is
        # passed over before it is declared dead.
        alive = [
            record.node
            for record in self.membership.others()
            if record.state == "alive"
            and link_up(self.membership.links, record.node) is not False
        ]
        if not self.owner.leaving:
            alive.append(self.settings.name)
        return home_node(partition, alive)

    async def _call_home(
        self, home: str, request: ClaimsRequest
    ) -> ClaimsAnswer | None:
        peer = self.membership.directory.record_by_node.get(home)
        if peer is None:
            return None
        result = await call_peer(
            self.peer_client,
            (peer.host, peer.peer_port),
            CLAIMS_PATH,
            request,
            ClaimsAnswer,
        )
        return result.value_or(None)

    async def _cancel_attempt(
        self, peer: NodeRecord, attempt: str, sent_at: float
    ) -> Verdict:
        """Ask an owner over a new connection what became of an attempt."""
        result = await call_peer(
            self.peer_client,
            (peer.host, peer.peer_port),
            "/peer/attempts/cancel",
            CancelRequest(attempt=attempt, incarnation=peer.incarnation),
            CancelAnswer,
            timeout_s=CANCEL_TIMEOUT_S,
            fresh=True,
        )
        if isinstance(result, Failure):
            return Verdict.MAY_HAVE_RUN
        # An answer on a new connection shows that the kept ones were at fault.
        self.connections.drop_address((peer.host, peer.peer_port))
        verdict = Verdict(result.unwrap()["verdict"])
        return confirm(verdict, sent_at=sent_at, answered_at=self.monotonic())

    async def _attempt_state(self, peer: NodeRecord, attempt: str) -> str | None:
        """Ask an owner over a new connection whether an attempt has arrived."""
        result = await call_peer(
            self.peer_client,
            (peer.host, peer.peer_port),
            "/peer/attempts/state",
            AttemptQuery(attempt=attempt),
            AttemptState,
            timeout_s=CANCEL_TIMEOUT_S,
            fresh=True,
        )
        return result.unwrap()["state"] if isinstance(result, Success) else None


def member_address(entry: Any) -> Address | None:
    """Return the address in a record of the ``members`` stream, if it is one."""
    try:
        return str(entry["host"]), int(entry["port"])
    except (KeyError, TypeError, ValueError):
        return None


async def _write_member(node: Node) -> None:
    """Write this node's address to the log, for nodes that start without seeds."""
    while True:
        own = node.membership.directory.own
        entry = {"node": own.node, "host": own.host, "port": own.peer_port}
        await node.log.append(MEMBERS_STREAM, entry)
        await asyncio.sleep(MEMBER_WRITE_S * node.random.uniform(0.8, 1.2))


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def make_node(settings: Settings, *, random: Random | None = None) -> Node:
    """Build a node that is not yet listening."""
    return Node(settings, random=random or Random())


def _apply_tables(node: Node) -> None:
    """Resize the queues of owned targets after a change of the tables."""
    for owned in node.targets.owned_by_target.values():
        limits = node.targets.limits_of(owned.announcement)
        resize(
            owned.admission,
            slots=limits.slots,
            queue=limits.queue,
            queue_wait_s=limits.queue_wait_s,
        )


def _announce(node: Node, message: Announcement) -> AnnouncementAnswer:
    alive = [peer for peer in node.membership.others() if peer.state == "alive"]
    # Targets renew each second, so only the few that are named are drawn.
    drawn = node.random.sample(alive, min(ALTERNATIVES, len(alive)))
    alternatives = [f"{peer.host}:{peer.peer_port}" for peer in drawn]
    if node.owner.leaving:
        # A lease of 0 sends the target to another node at once.
        return AnnouncementAnswer(
            lease_s=0.0, interval_s=INTERVAL_S, alternatives=alternatives
        )
    known = message["target"] in node.targets.owned_by_target
    accepted = accept_announcement(node.targets, message, alternatives=alternatives)
    if isinstance(accepted, Failure):
        raise ValueError(accepted.failure())
    if not known:
        detail = f"{message['service']}, {message['slots']} slots"
        record(node.timeline, Kind.TARGET_ANNOUNCED, message["target"], detail)
    note_incarnation(node.owner, message["target"], message["incarnation"])
    publish_targets(node.watch)
    return accepted.unwrap()


async def _follow_configuration(node: Node) -> None:
    async def fetch(peer: str, position: Position) -> bytes | None:
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

    await follow_configuration(
        node.configuration,
        node.log,
        fetch=fetch,
        push=lambda: push_payload(node.membership, "configuration"),
        nodes=lambda: 1 + len(node.membership.others()),
    )


def _make_watch(node: Node) -> Watch:
    async def call_promises(peer: str, request: PromiseRequest) -> PromiseAnswer | None:
        if peer == node.settings.name:
            return answer_promises(node.watch.ejection_by_target, request)
        found = node.membership.directory.record_by_node.get(peer)
        if found is None:
            return None
        result: Any = await call_peer(
            node.peer_client,
            (found.host, found.peer_port),
            PROMISES_PATH,
            request,
            PromiseAnswer,
        )
        return result.value_or(None)

    return Watch(
        targets=node.targets,
        directory=node.membership.directory,
        tables=node.tables,
        connections=node.connections,
        call_promises=call_promises,
        publish=lambda records: change_own(node.membership, targets=records),
        is_leaving=lambda: node.owner.leaving,
        timeline=node.timeline,
        random=node.random,
        ejection_by_target={},
        task_by_target={},
        on_expired=lambda target: note_incarnation(node.owner, target, None),
    )


def _message_handler(
    message_type: type[MessageT], handle: Callable[[MessageT], Awaitable[Any]]
) -> Handler:
    async def handler(body: bytes) -> bytes:
        return encode(await handle(decode(body, message_type)))

    return handler


def _handlers(node: Node) -> Mapping[str, Handler]:
    async def announce(message: Announcement) -> AnnouncementAnswer:
        return _announce(node, message)

    async def cancel_attempt(message: CancelRequest) -> CancelAnswer:
        # The incarnation rises once if an earlier process had a clock ahead of ours.
        incarnation = message["incarnation"]
        if incarnation == node.membership.directory.own.incarnation:
            incarnation = node.incarnation
        verdict = cancel(node.attempts, message["attempt"], incarnation)
        return CancelAnswer(verdict=verdict.value)

    async def configuration(body: bytes) -> bytes:
        return answer_configuration(node.configuration, body)

    async def promise(message: PromiseRequest) -> PromiseAnswer:
        return answer_promises(node.watch.ejection_by_target, message)

    async def attempt_state(message: AttemptQuery) -> AttemptState:
        return AttemptState(state=state_of(node.attempts, message["attempt"]))

    async def claims(message: ClaimsRequest) -> ClaimsAnswer:
        return await serve_claims(node.claims, message)

    handler_by_path = {
        CLAIMS_PATH: _message_handler(ClaimsRequest, claims),
        "/peer/attempts/state": _message_handler(AttemptQuery, attempt_state),
        CONFIGURATION_PATH: configuration,
        PROMISES_PATH: _message_handler(PromiseRequest, promise),
        "/announce": _message_handler(Announcement, announce),
        "/peer/attempts/cancel": _message_handler(CancelRequest, cancel_attempt),
    }
    for path, handler in make_handlers(node.membership).items():
        handler_by_path[path] = _message_handler(handler.message_type, handler.handle)
    return handler_by_path


def _open_servers(node: Node) -> None:
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
        node.owner, token=settings.token, handler_by_path=_handlers(node)
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
async def open_node(node: Node) -> AsyncIterator[None]:
    """Listen on the node's ports and run its tasks inside the block.

    Raises:
        PortError: A port is taken; nothing is left listening.
    """
    jobs = {
        "members": lambda: _write_member(node),
        "configuration": lambda: _follow_configuration(node),
        "membership": lambda: run_membership(node.membership),
        "targets": lambda: run_watch(node.watch),
    }
    async with AsyncExitStack() as stack:
        stack.callback(node.connections.close)
        stack.push_async_callback(close_claims, node.claims)
        stack.callback(_stop_listening, node)
        _open_servers(node)
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
