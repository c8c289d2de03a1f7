"""State of one node: builds the parts of all its roles and connects them."""

import asyncio
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
    mark_target_leaving,
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
    configuration_payload,
    make_configuration,
)
from siskinlug.connections import CONNECT_TIMEOUT_S, Address, make_connection_pool
from siskinlug.dialect import DEFAULT_DIALECT, Dialect
from siskinlug.directory import NodeRecord
from siskinlug.ejection import answer_reservation_request
from siskinlug.ejection_monitor import (
    EjectionMonitor,
    is_ejected,
    probe_target,
    publish_targets,
)
from siskinlug.entry_state import Entry
from siskinlug.inbound import InboundServer
from siskinlug.leaving_memory import (
    LeavingStore,
    StoredLeaving,
    make_leaving_memory,
)
from siskinlug.leaving_targets import GOSSIP_S, Leaving
from siskinlug.links import link_up
from siskinlug.load_balancing import make_load_balancer
from siskinlug.load_poll import make_polls
from siskinlug.log_client import Log, open_log
from siskinlug.logs import log_event
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
from siskinlug.timeline import Kind, Timeline, record_event
from siskinlug.verdict import Verdict

CANCEL_TIMEOUT_S = 1.0
# Short, because a stopping entry has little time to ask again.
WITHDRAW_TIMEOUT_S = 0.3
MEMBERS_STREAM = "members"
MAX_MEMBERS_READ = 64
RESERVATIONS_PATH = "/peer/promises"
CLAIMS_PATH = "/peer/claims"
CONFIGURATION_PATH = "/peer/configuration"
WITHDRAW_PATH = "/peer/attempts/withdraw"


class MemberStore(NamedTuple):
    """Store of node addresses, from which a starting node finds other nodes.

    Attributes:
        write: Stores the address of a node and returns whether that succeeded.
        read: Returns the addresses of all nodes, or ``None`` if they cannot be read.
        losses: Returns how often the store has lost addresses that it had confirmed.
        wait_for_loss: Returns once that number differs from the given one.
    """

    write: Callable[[str, Address], Awaitable[bool]]
    read: ReadMembers
    losses: Callable[[], int]
    wait_for_loss: Callable[[int], Awaitable[object]]


class NodeOptions(NamedTuple):
    """How a node integrates with the platform on which it runs.

    Attributes:
        dialect: Header names and status codes that callers and targets use.
        member_store: Store of node addresses; a stream of the log if ``None``.
        leaving_store: Store of leaving targets; ``None`` if only nodes remember them.
        follow_operator: Job that receives complete configurations and passes them to
            ``put_in_force``. If ``None``, the node applies the tables published in the
            log.
        health_policy: ``ejection``: owners eject targets under capacity reservations
            from other owners; ``belief``: each owner estimates the health of its
            targets on its own, from every response.
        lease_s: Time for which an announcement is valid, in seconds.
        service: Service of the VM, reported to targets as the service of their callers.
        retry_allowance: From the number of nodes to the retries that one of them may
            spend on a pool.
        buffer_answer_bytes: Responses up to this size are buffered until they are
            complete, so that a failed or truncated one can be retried on another
            target; 0 forwards all responses as they arrive.
        peer_connect_s: Time to connect to another node for an attempt, in seconds.
        startup_grace_s: Time after the start in which requests wait for a
            configuration and for targets to announce themselves, in seconds.
    """

    dialect: Dialect = DEFAULT_DIALECT
    member_store: MemberStore | None = None
    leaving_store: LeavingStore | None = None
    follow_operator: FollowOperator | None = None
    health_policy: str = "ejection"
    lease_s: float = LEASE_S
    service: str = ""
    retry_allowance: Callable[[int], RetryAllowance] = lambda _nodes: RetryAllowance()
    buffer_answer_bytes: int = 0
    peer_connect_s: float = CONNECT_TIMEOUT_S
    startup_grace_s: float = 0.0


class Node:
    """State of one node; ``open_node`` starts and stops its tasks and servers."""

    def __init__(
        self, settings: Settings, *, options: NodeOptions, random: Random
    ) -> None:
        self.settings = settings
        self.options = options
        self.random = random
        self.monotonic: Callable[[], float] = time.monotonic
        self.incarnation = wall_clock_ms()
        self.log = open_log(settings.log_url, monotonic=self.monotonic)
        self.member_store = options.member_store or _member_store_in_log(self.log)
        self.leaving_memory = make_leaving_memory(
            store=options.leaving_store, node=settings.name
        )
        self.timeline = Timeline(settings.name, HybridClock())
        self.metrics = make_metrics()
        self.connections = make_connection_pool(monotonic=self.monotonic)
        self.peer_client = make_peer_client(self.connections, token=settings.token)
        self.targets = OwnedTargets(
            monotonic=self.monotonic,
            limits_of=self._admission_limits,
            lease_s=options.lease_s,
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
            dialect=options.dialect,
            estimates_health=options.health_policy == "belief",
            on_leaving=lambda target: mark_leaving(
                self, target, "said so in a response"
            ),
            count_signal=lambda signal: self.metrics.signals.add(1, {"signal": signal}),
        )
        self.polls = make_polls(
            partial(report_target, self.owner), token=settings.token
        )
        self.configuration = make_configuration(
            self.timeline,
            on_change=lambda _tables: _apply_admission_limits(self),
            random=random,
            monotonic=self.monotonic,
            count_read=lambda outcome: self.metrics.configuration_reads.add(
                1, {"outcome": outcome}
            ),
        )
        self.membership = make_membership(
            self._own_record(),
            call=self._call,
            timeline=self.timeline,
            monotonic=self.monotonic,
            random=random,
            seeds=[_parse_address(peer) for peer in settings.peers],
            read_members=self.member_store.read,
            on_stale_connections=self.connections.close_idle_connections,
            payloads=[
                configuration_payload(self.configuration),
                Payload(
                    name="suspicions",
                    value_type=list[Suspicion],
                    write=lambda _urgent: suspicions_to_gossip(self.quarantine) or None,
                    read=lambda _peer, received: bool(
                        merge_suspicions(self.quarantine, received)
                    ),
                ),
                Payload(
                    name="leaving",
                    value_type=list[Leaving],
                    write=lambda _urgent: self.targets.leaving.to_gossip() or None,
                    read=partial(_learn_leaving, self),
                ),
            ],
        )
        self.ejection_monitor = _make_ejection_monitor(self)
        self.claims = make_claims(
            node=settings.name,
            incarnation=self.incarnation,
            append=self.log.append,
            read=self.log.read,
            home_of=self._find_home,
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
                connect_s=options.peer_connect_s,
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
            dialect=options.dialect,
            service=options.service,
            startup_grace_s=options.startup_grace_s,
            random=random,
            retry_allowance=lambda: options.retry_allowance(
                1 + len(self.membership.live_peers())
            ),
            buffer_answer_bytes=options.buffer_answer_bytes,
        )
        self.server_by_port: dict[str, InboundServer] = {}

    def tables(self) -> Tables:
        """Return the tables in force."""
        return self.configuration.tables

    def _own_record(self) -> NodeRecord:
        settings = self.settings
        host, peer_port = settings.host, settings.peer_port
        if settings.advertise:
            host, peer_port = _parse_address(settings.advertise)
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

    def _admission_limits(self, announcement: Announcement) -> AdmissionLimits:
        """Return the admission limits of a target, from the pools of its service."""
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

    def _find_home(self, partition: int) -> str:
        """Return the home node of a partition of idempotency keys."""
        # A home that this node cannot reach is skipped before it is declared dead. This
        # is safe because the log orders the entries of two homes of one partition.
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
        """Send a claims message to a home node; ``None`` without a response."""
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
        """Cancel an attempt at its owner and return the verdict on it.

        The request is sent on a new connection. The verdict is ``MAY_HAVE_RUN`` if the
        owner does not respond, or if its record of the attempt may have expired.
        """
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
        # The owner responds on a new connection, so the idle ones are likely broken.
        self.connections.close_idle_connections((peer.host, peer.peer_port))
        verdict = Verdict(result.unwrap()["verdict"])
        return downgrade_stale_verdict(
            verdict, sent_at=sent_at, answered_at=self.monotonic()
        )

    async def withdraw_attempt(self, peer: NodeRecord, attempt: str) -> Verdict | None:
        """Withdraw an attempt at its owner if it has not started.

        Returns:
            The owner's verdict, ``None`` if it does not answer.
        """
        result = await call_peer(
            self.peer_client,
            (peer.host, peer.peer_port),
            WITHDRAW_PATH,
            CancelRequest(attempt=attempt, incarnation=peer.incarnation),
            CancelAnswer,
            timeout_s=WITHDRAW_TIMEOUT_S,
        )
        if isinstance(result, Failure):
            return None
        return Verdict(result.unwrap()["verdict"])

    async def _attempt_state(self, peer: NodeRecord, attempt: str) -> str | None:
        """Return an owner's state of an attempt, or ``None`` if it does not respond."""
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


def _member_store_in_log(log: Log) -> MemberStore:
    """Build a store that keeps node addresses in the ``members`` stream of the log."""

    async def write(node: str, address: Address) -> bool:
        entry = {"node": node, "host": address[0], "port": address[1]}
        written = await log.append(MEMBERS_STREAM, entry)
        return isinstance(written, Success)

    async def read() -> Sequence[Address] | None:
        bounds = await log.read(MEMBERS_STREAM, 0, limit=1)
        if isinstance(bounds, Failure):
            return None
        start = max(bounds.unwrap().first, bounds.unwrap().next - MAX_MEMBERS_READ)
        page = await log.read(MEMBERS_STREAM, start, limit=MAX_MEMBERS_READ)
        if isinstance(page, Failure):
            return None
        newest_first = reversed(page.unwrap().records)
        found = [parse_member_address(entry.record) for entry in newest_first]
        return list(dict.fromkeys(address for address in found if address))

    async def wait_for_loss(_losses: int) -> None:
        # The log does not say when it has lost records.
        await asyncio.Event().wait()

    return MemberStore(write, read, lambda: 0, wait_for_loss)


def parse_member_address(entry: Any) -> Address | None:
    """Return the address in a record of the ``members`` stream, if it is valid."""
    try:
        return str(entry["host"]), int(entry["port"])
    except (KeyError, TypeError, ValueError):
        return None


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def make_node(
    settings: Settings,
    *,
    options: NodeOptions | None = None,
    random: Random | None = None,
) -> Node:
    """Build a node that does not listen yet.

    Args:
        settings: Checked settings.
        options: How the node integrates with its platform.
        random: Source of random numbers.
    """
    return Node(settings, options=options or NodeOptions(), random=random or Random())


def mark_leaving(node: Node, target: str, detail: str) -> None:
    """Stop sending requests to a target until its next incarnation.

    Args:
        node: The node that the target has told.
        target: Target id.
        detail: How the node learned of it.
    """
    now_ms = wall_clock_ms()
    if mark_target_leaving(node.targets, target, latest_incarnation=now_ms):
        record_event(node.timeline, Kind.TARGET_LEAVING, target, detail)
        publish_targets(node.ejection_monitor)
    else:
        log_event("unknown_target_leaving", target=target, detail=detail)
    push_payload(node.membership, "leaving")


def _learn_leaving(node: Node, peer: str, received: list[Leaving]) -> bool:
    """Merge what another node remembers of leaving targets.

    Returns:
        Whether any of it was news.
    """
    news = node.targets.leaving.merge(received)
    for leaving in news:
        log_event("target_leaving_learned", peer=peer, **leaving._asdict())
        owned = node.targets.owned_by_target.get(leaving.target)
        if owned and owned.announcement["incarnation"] <= leaving.incarnation:
            mark_leaving(node, leaving.target, f"{peer} remembers it")
    return bool(news)


def learn_stored_leavings(node: Node, stored: Sequence[StoredLeaving]) -> None:
    """Remember the leaving targets that the store has kept."""
    for leaving in stored:
        target, incarnation = leaving.target, leaving.incarnation
        # Other nodes read the store as well, so gossip need not repeat it.
        if not node.targets.leaving.add(target, incarnation, age_s=GOSSIP_S):
            continue
        log_event("stored_leaving_learned", target=target, incarnation=incarnation)
        owned = node.targets.owned_by_target.get(target)
        if owned and owned.announcement["incarnation"] <= incarnation:
            mark_leaving(node, target, "the store remembers it")


def _apply_admission_limits(node: Node) -> None:
    """Apply the limits of the tables in force to the queues of owned targets."""
    owned_by_target = node.targets.owned_by_target
    for target, owned in list(owned_by_target.items()):
        limits = node.targets.limits_of(owned.announcement)
        owned_by_target[target] = apply_limits(owned, limits)


def _make_ejection_monitor(node: Node) -> EjectionMonitor:
    async def send_reservation_request(
        peer: str, request: ReservationRequest
    ) -> ReservationAnswer | None:
        if peer == node.settings.name:
            return answer_reservation_request(
                node.ejection_monitor.ejection_by_target, request
            )
        record = node.membership.directory.record_by_node.get(peer)
        if record is None:
            return None
        result: Any = await call_peer(
            node.peer_client,
            (record.host, record.peer_port),
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
        send_reservation_request=send_reservation_request,
        publish=lambda records: change_own(node.membership, targets=records),
        is_leaving=lambda: node.owner.leaving,
        timeline=node.timeline,
        random=node.random,
        ejection_by_target={},
        task_by_target={},
        on_lease_expired=lambda target: detect_crash(node.owner, target, None),
        ejection_enabled=node.options.health_policy == "ejection",
    )
