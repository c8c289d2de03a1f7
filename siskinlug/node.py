"""One node: builds the state of all roles and connects them."""

import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from random import Random
from typing import Any, NamedTuple

from returns.result import Failure, Success

from siskinlug.account_rates import make_account_rates
from siskinlug.announcements import (
    LEASE_S,
    AdmissionLimits,
    OwnedTargets,
    apply_limits,
)
from siskinlug.attempts import downgrade_stale_verdict, make_attempts
from siskinlug.candidates import TargetView, record_load_report
from siskinlug.claim_messages import ClaimsAnswer, ClaimsMessage
from siskinlug.claims import (
    home_node,
    make_claims,
)
from siskinlug.clock import HybridClock, wall_clock_ms
from siskinlug.config_sync import (
    FollowOperator,
    handle_peer_position,
    make_configuration,
)
from siskinlug.configuration import position_of
from siskinlug.connections import CONNECT_TIMEOUT_S, Address, make_connection_pool
from siskinlug.dialect import DEFAULT_DIALECT, Dialect
from siskinlug.directory import NodeRecord
from siskinlug.ejection import answer_reservation_request
from siskinlug.ejection_monitor import (
    EjectionMonitor,
    is_ejected,
    probe_target,
)
from siskinlug.entry_state import Entry
from siskinlug.inbound import InboundServer
from siskinlug.links import link_up
from siskinlug.load_balancing import make_load_balancer
from siskinlug.load_poll import make_polls
from siskinlug.log_client import Log, open_log
from siskinlug.membership import (
    Payload,
    change_own,
    make_membership,
    push_payload,
)
from siskinlug.membership_state import ReadMembers
from siskinlug.messages import (
    Announcement,
    AttemptQuery,
    AttemptState,
    CancelAnswer,
    CancelRequest,
    ConfigurationPosition,
)
from siskinlug.metrics import make_metrics
from siskinlug.owner import Owner, detect_crash, report_target, target_load
from siskinlug.paths import make_paths
from siskinlug.peer_client import call_peer, make_peer_client
from siskinlug.quarantine import (
    Suspicion,
    make_quarantine,
    merge_suspicions,
    suspicions_to_gossip,
)
from siskinlug.remote_attempts import OwnerQueries, RemoteOwners
from siskinlug.reservations import ReservationAnswer, ReservationRequest
from siskinlug.retries import RetryAllowance
from siskinlug.service_times import make_service_times
from siskinlug.settings import Settings
from siskinlug.tables import Tables
from siskinlug.target_selection import select_by_load_reports, select_by_polling
from siskinlug.timeline import Timeline
from siskinlug.verdict import Verdict

CANCEL_TIMEOUT_S = 1.0
MEMBERS_STREAM = "members"
MEMBERS_READ = 64
RESERVATIONS_PATH = "/peer/promises"
CLAIMS_PATH = "/peer/claims"
CONFIGURATION_PATH = "/peer/configuration"


class Members(NamedTuple):
    """Where nodes that start find the addresses of others.

    Attributes:
        write: Keeps the address of a node; whether that succeeded.
        read: Reads the addresses of all nodes; ``None`` if that fails.
    """

    write: Callable[[str, Address], Awaitable[bool]]
    read: ReadMembers


class Wiring(NamedTuple):
    """What connects a node with what lies around it.

    Attributes:
        dialect: Headers of callers and targets.
        members: Where nodes find each other; the log's stream if ``None``.
        follow_operator: Job that takes whole configurations and calls
            ``put_in_force``; the tables published in the log are followed if ``None``.
        judge: How targets are judged: ``ejection`` by promises between owners, or
            ``belief`` by each owner alone, on every answer.
        lease_s: Time for which an announcement holds, in seconds.
        service: Service of the VM, told to targets as that of its callers.
        retry_allowance: From the number of nodes to what one of them may spend on
            retries of a pool.
        hold_answer_bytes: Answers up to this size are held until they are whole, so
            that a cut or failed one can be tried elsewhere; 0 passes all on at once.
        peer_connect_s: Time to connect to another node for an attempt, in seconds.
        startup_grace_s: Time after the start in which requests wait for a
            configuration and for targets to announce themselves, in seconds.
    """

    dialect: Dialect = DEFAULT_DIALECT
    members: Members | None = None
    follow_operator: FollowOperator | None = None
    judge: str = "ejection"
    lease_s: float = LEASE_S
    service: str = ""
    retry_allowance: Callable[[int], RetryAllowance] = lambda _nodes: RetryAllowance()
    hold_answer_bytes: int = 0
    peer_connect_s: float = CONNECT_TIMEOUT_S
    startup_grace_s: float = 0.0


class Node:
    """State of one node; ``open_node`` starts and stops what works on it."""

    def __init__(self, settings: Settings, *, wiring: Wiring, random: Random) -> None:
        self.settings = settings
        self.wiring = wiring
        self.random = random
        self.monotonic: Callable[[], float] = time.monotonic
        self.incarnation = wall_clock_ms()
        self.log = open_log(settings.log_url, monotonic=self.monotonic)
        self.members = wiring.members or _members_in_log(self.log)
        self.timeline = Timeline(settings.name, HybridClock())
        self.metrics = make_metrics()
        self.connections = make_connection_pool(monotonic=self.monotonic)
        self.peer_client = make_peer_client(self.connections, token=settings.token)
        self.targets = OwnedTargets(
            monotonic=self.monotonic,
            limits_of=self._limits_of,
            lease_s=wiring.lease_s,
        )
        self.attempts = make_attempts(
            incarnation=self.incarnation, monotonic=self.monotonic
        )
        self.quarantine = make_quarantine(monotonic=self.monotonic)
        self.owner = Owner(
            targets=self.targets,
            attempts=self.attempts,
            quarantine=self.quarantine,
            connections=self.connections,
            is_ejected=lambda target, route: is_ejected(
                self.ejection_monitor, target, route
            ),
            probe=lambda target: probe_target(self.ejection_monitor, target),
            on_suspicions=lambda: push_payload(self.membership, "suspicions"),
            monotonic=self.monotonic,
            dialect=wiring.dialect,
            estimates_health=wiring.judge == "belief",
        )
        self.polls = make_polls(
            partial(report_target, self.owner), token=settings.token
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
            read_members=self.members.read,
            on_stale_connections=self.connections.close_idle_connections,
            payloads=[
                Payload(
                    name="configuration",
                    value_type=ConfigurationPosition,
                    write=lambda _urgent: position_of(self.configuration.state),
                    read=lambda peer, position: handle_peer_position(
                        self.configuration, peer, position
                    ),
                ),
                Payload(
                    name="suspicions",
                    value_type=list[Suspicion],
                    write=lambda _urgent: suspicions_to_gossip(self.quarantine) or None,
                    read=lambda _peer, received: bool(
                        merge_suspicions(self.quarantine, received)
                    ),
                ),
            ],
        )
        self.ejection_monitor = _make_ejection_monitor(self)
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
            own_load=partial(target_load, self.owner),
            monotonic=self.monotonic,
        )
        self.entry = Entry(
            view=view,
            owner=self.owner,
            remote=RemoteOwners(
                connections=self.connections,
                paths=paths,
                queries=OwnerQueries(self._cancel_attempt, self._attempt_state),
                record_load=partial(record_load_report, view),
                token=settings.token,
                clock=self.timeline.clock,
                monotonic=self.monotonic,
                connect_s=wiring.peer_connect_s,
            ),
            tables=self.tables,
            place=select_by_polling(self.polls)
            if self.owner.estimates_health
            else select_by_load_reports(make_load_balancer(random=random)),
            metrics=self.metrics,
            monotonic=self.monotonic,
            service_times=make_service_times(monotonic=self.monotonic),
            account_rates=make_account_rates(monotonic=self.monotonic),
            claims=self.claims,
            dialect=wiring.dialect,
            service=wiring.service,
            startup_grace_s=wiring.startup_grace_s,
            random=random,
            retry_allowance=lambda: wiring.retry_allowance(
                1 + len(self.membership.live_peers())
            ),
            hold_answer_bytes=wiring.hold_answer_bytes,
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
            queue_by_deadline=bool(pools)
            and all(p.waiting == "patient" for p in pools),
        )

    def _home_of(self, partition: int) -> str:
        # Two homes are ordered by the log, so a home that this node cannot reach is
        # passed over before it is declared dead.
        alive = [
            record.node
            for record in self.membership.live_peers()
            if record.state == "alive"
            and link_up(self.membership.links, record.node) is not False
        ]
        if not self.owner.leaving:
            alive.append(self.settings.name)
        return home_node(partition, alive)

    async def _call_home(
        self, home: str, request: ClaimsMessage
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
        self.connections.close_idle_connections((peer.host, peer.peer_port))
        verdict = Verdict(result.unwrap()["verdict"])
        return downgrade_stale_verdict(
            verdict, sent_at=sent_at, answered_at=self.monotonic()
        )

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


def _members_in_log(log: Log) -> Members:
    """Keep the nodes' addresses in a stream of the log."""

    async def write(node: str, address: Address) -> bool:
        entry = {"node": node, "host": address[0], "port": address[1]}
        written = await log.append(MEMBERS_STREAM, entry)
        return isinstance(written, Success)

    async def read() -> Sequence[Address] | None:
        end = await log.read(MEMBERS_STREAM, 0, limit=1)
        if isinstance(end, Failure):
            return None
        start = max(end.unwrap().first, end.unwrap().next - MEMBERS_READ)
        page = await log.read(MEMBERS_STREAM, start, limit=MEMBERS_READ)
        if isinstance(page, Failure):
            return None
        newest_first = reversed(page.unwrap().records)
        found = [member_address(entry.record) for entry in newest_first]
        return list(dict.fromkeys(address for address in found if address))

    return Members(write, read)


def member_address(entry: Any) -> Address | None:
    """Return the address in a record of the ``members`` stream, if it is one."""
    try:
        return str(entry["host"]), int(entry["port"])
    except (KeyError, TypeError, ValueError):
        return None


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def make_node(
    settings: Settings, *, wiring: Wiring | None = None, random: Random | None = None
) -> Node:
    """Build a node that is not yet listening."""
    return Node(settings, wiring=wiring or Wiring(), random=random or Random())


def _apply_tables(node: Node) -> None:
    """Resize the queues of owned targets after a change of the tables."""
    owned_by_target = node.targets.owned_by_target
    for target, owned in list(owned_by_target.items()):
        limits = node.targets.limits_of(owned.announcement)
        owned_by_target[target] = apply_limits(owned, limits)


def _make_ejection_monitor(node: Node) -> EjectionMonitor:
    async def request_reservation(
        peer: str, request: ReservationRequest
    ) -> ReservationAnswer | None:
        if peer == node.settings.name:
            return answer_reservation_request(
                node.ejection_monitor.ejection_by_target, request
            )
        found = node.membership.directory.record_by_node.get(peer)
        if found is None:
            return None
        result: Any = await call_peer(
            node.peer_client,
            (found.host, found.peer_port),
            RESERVATIONS_PATH,
            request,
            ReservationAnswer,
        )
        return result.value_or(None)

    return EjectionMonitor(
        targets=node.targets,
        directory=node.membership.directory,
        tables=node.tables,
        connections=node.connections,
        request_reservation=request_reservation,
        publish=lambda records: change_own(node.membership, targets=records),
        is_leaving=lambda: node.owner.leaving,
        timeline=node.timeline,
        random=node.random,
        ejection_by_target={},
        task_by_target={},
        on_lease_expired=lambda target: detect_crash(node.owner, target, None),
        ejection_enabled=node.wiring.judge == "ejection",
    )
