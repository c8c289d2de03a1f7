"""Ejection of targets by their owner, backed by capacity reservations of other owners.

An owner that grants a reservation undertakes not to eject its own target for a while.
A target is ejected only while reservations cover the floor of its pool, so a partition,
a pause or a race can only keep a target in its pool.
"""

import asyncio
import random as random_module
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import NamedTuple

from siskinlug.evidence import (
    ALL_ROUTES,
    NO_ANOMALY,
    AnomalyScore,
    Evidence,
    anomaly_scores,
    forget_scope,
    is_suspicious,
    observed_request_count,
    recent_request_count,
)
from siskinlug.reservations import (
    RESERVATION_LEASE_S,
    ReservationAnswer,
    ReservationRequest,
    Reservations,
    forbids_ejection,
    grant_reservation,
    is_clearly_healthier,
    is_reserved,
    release_reservation,
)
from siskinlug.timeline import Kind

CHECK_INTERVAL_S = 0.1
ALARM_SCORE = 1.0
# Lower for hard failures: two of them and a failed probe suffice.
HARD_ALARM_SCORE = 0.7
# A renewal allows a higher score than a first grant, so that chance failures of a
# grantor do not end an ejection.
GRANTOR_SCORE_MAX = 0.3
RENEWING_GRANTOR_SCORE_MAX = 0.6
# The latency of two targets is compared by recent requests, of which an idle one has
# none.
GRANTOR_RECENT_REQUESTS_MIN = 3.0
RENEW_AFTER_S = 2.0
# Rounds of requests for reservations until an attempt to eject is given up.
REQUEST_ROUNDS_MAX = 6
BACKOFF_S = 0.25
BACKOFF_MAX_S = 5.0
# Time out of the pool until the first probe; doubles with each flap.
EJECTION_TIME_S = 2.0
EJECTION_TIME_MAX_S = 60.0
# An ejection this soon after the previous one counts as flapping.
FLAPPING_WINDOW_S = 60.0
PROBE_INTERVAL_S = 1.0
# A trial succeeds after this many requests, or after ``TRIAL_TIME_MAX_S``.
TRIAL_REQUESTS = 20
# The rate of a trial doubles after each of this many requests.
TRIAL_DOUBLING_REQUESTS = 5
TRIAL_RATE_PER_S = 4.0
TRIAL_TIME_MAX_S = 15.0
TRIAL_SCORE_MAX = 0.5


class TargetStatus(NamedTuple):
    """State of a target as known by its owner.

    Attributes:
        ready: Whether it announced ready, its lease is in force and its node is not
            leaving.
        slots_by_pool: Slots by name of each pool that the target belongs to.
    """

    ready: bool
    slots_by_pool: Mapping[str, int]


class PeerTarget(NamedTuple):
    """Another target of a pool, according to the directory."""

    target: str
    node: str
    slots: int


class PoolView(NamedTuple):
    """A pool that the target belongs to, according to its owner.

    Attributes:
        pool: Pool name.
        floor_slots: Number of healthy slots that an ejection must leave.
        routes: Names of the routes to the pool.
        peers: Other targets of the pool that are ready, in any order.
    """

    pool: str
    floor_slots: int
    routes: frozenset[str]
    peers: Sequence[PeerTarget]


# Takes the receiving node and the request.
SendReservationRequest = Callable[
    [str, ReservationRequest], Awaitable[ReservationAnswer | None]
]
# Pool and target.
HeldKey = tuple[str, str]


class _HeldReservation(NamedTuple):
    """A reservation held for this target.

    Attributes:
        node: Node that granted it.
        slots: Reserved slots.
        sent_at: When the last granted request was sent, on the holder's clock.
        expires_at: Until when it is in force, on the holder's clock.
        renewal_refused: Whether the grantor refused to renew it.
    """

    node: str
    slots: int
    sent_at: float
    expires_at: float
    renewal_refused: bool = False


class _ActiveEjection:
    """An ejection for one scope, from the collection of reservations to its end."""

    def __init__(self, scope: str, anomaly: AnomalyScore) -> None:
        self.scope = scope
        self.anomaly = anomaly
        self.held_by_key: dict[HeldKey, _HeldReservation] = {}
        self.floor_by_pool: dict[str, int] = {}
        self.in_trial = False
        self.trial_tokens = 0.0
        self.trial_refilled_at = 0.0

    def reserved_slots(
        self, pool: str, now: float, *, renewable_only: bool = False
    ) -> int:
        """Return the reserved slots of a pool; optionally only the renewable ones."""
        return sum(
            held.slots
            for (held_pool, _), held in self.held_by_key.items()
            if held_pool == pool
            and held.expires_at > now
            and not (renewable_only and held.renewal_refused)
        )

    def in_force(self, now: float) -> bool:
        # A floor of 0 still needs one reservation: if no other target is clearly
        # healthier, the fault may be common to all.
        return bool(self.floor_by_pool) and all(
            self.reserved_slots(pool, now) >= max(floor, 1)
            for pool, floor in self.floor_by_pool.items()
        )


class Ejection:
    """Ejections and granted reservations of one target; see ``make_ejection``."""

    def __init__(
        self,
        *,
        target: str,
        node: str,
        evidence: Evidence,
        status: Callable[[], TargetStatus],
        monotonic: Callable[[], float],
        random: random_module.Random,
    ) -> None:
        self.target = target
        self.node = node
        self.evidence = evidence
        self.status = status
        self.monotonic = monotonic
        self.random = random
        self.owned_since = monotonic()
        self.reservations = Reservations()
        self.request_number = 0
        self.scopes_in_progress: set[str] = set()
        self.active_by_scope: dict[str, _ActiveEjection] = {}
        self.published_scopes: tuple[str, ...] = ()
        self.failures_by_scope: dict[str, int] = {}
        self.retry_at_by_scope: dict[str, float] = {}
        self.flaps_by_scope: dict[str, int] = {}
        self.ended_at_by_scope: dict[str, float] = {}


def make_ejection(
    *,
    target: str,
    node: str,
    evidence: Evidence,
    status: Callable[[], TargetStatus],
    monotonic: Callable[[], float],
    random: random_module.Random,
) -> Ejection:
    """Build the ejection state of a target that this node has just come to own.

    Args:
        target: Target id.
        node: This node.
        evidence: The target's evidence.
        status: Returns the current state of the target.
        monotonic: Monotonic clock in seconds.
        random: Random source for back-off, jitter and the order of peers.
    """
    return Ejection(
        target=target,
        node=node,
        evidence=evidence,
        status=status,
        monotonic=monotonic,
        random=random,
    )


def admit_attempt(ejection: Ejection, route: str) -> bool:
    """Decide whether an attempt may go to the target; to be called once per attempt.

    Each call checks the leases against the clock, so a process that was paused past
    the end of a lease does not enforce an expired ejection. A trial admits only some
    attempts.
    """
    now = ejection.monotonic()
    enforced = [
        active
        for scope in (ALL_ROUTES, route)
        if (active := ejection.active_by_scope.get(scope)) is not None
        and active.in_force(now)
    ]
    return all(active.in_trial for active in enforced) and all(
        _take_trial_token(ejection, active, now) for active in enforced
    )


def ejected_scopes(ejection: Ejection) -> tuple[str, ...]:
    """Return the scopes to publish in ``TargetRecord.ejected``, sorted.

    A target on trial is published as part of its pool, though it admits only some of
    its requests.
    """
    now = ejection.monotonic()
    return tuple(
        sorted(
            scope
            for scope, active in ejection.active_by_scope.items()
            if active.in_force(now) and not active.in_trial
        )
    )


def in_readmission(ejection: Ejection) -> bool:
    """Whether the target is on trial and admits only some of its requests."""
    now = ejection.monotonic()
    return any(
        active.in_trial and active.in_force(now)
        for active in ejection.active_by_scope.values()
    )


def answer_reservation_request(
    ejection_by_target: Mapping[str, Ejection], request: ReservationRequest
) -> ReservationAnswer:
    """Grant, renew, release or refuse the reservations of ``POST /peer/promises``.

    Args:
        ejection_by_target: Ejection state of each target that this node owns.
        request: The request of a holder.

    Returns:
        The reserved slots or the reason of the refusal, by target.
    """
    answer = ReservationAnswer(slots_by_target={}, refusal_by_target={})
    for target in request["targets"]:
        ejection = ejection_by_target.get(target)
        if ejection is None:
            answer["refusal_by_target"][target] = "unknown"
        elif request["release"]:
            release_reservation(ejection.reservations, request)
        elif refusal := _refusal(ejection, request):
            answer["refusal_by_target"][target] = refusal
        else:
            grant_reservation(ejection.reservations, request, ejection.monotonic())
            slots = ejection.status().slots_by_pool[request["pool"]]
            answer["slots_by_target"][target] = slots
    return answer


async def run_ejection(
    ejection: Ejection,
    *,
    pools: Callable[[], Sequence[PoolView]],
    send_reservation_request: SendReservationRequest,
    probe: Callable[[], Awaitable[bool]],
    record_event: Callable[[Kind, str], None],
    on_change: Callable[[], None],
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Eject and readmit a target according to its evidence, until cancelled.

    Args:
        ejection: Ejection state of the target.
        pools: Returns the pools that the target belongs to.
        send_reservation_request: Sends a request to a node, which may be this one, and
            returns the response, or ``None`` after a failure or a timeout.
        probe: Probes the target over a new connection; returns whether it passed.
        record_event: Records an event, given its kind and detail.
        on_change: Called when the result of ``ejected_scopes`` has changed.
        sleep: Waits for a time in seconds.
    """
    run = _EjectionRun(
        ejection, pools, send_reservation_request, probe, record_event, on_change, sleep
    )
    try:
        async with asyncio.TaskGroup() as tasks:
            while True:
                for scope in _alarmed_scopes(ejection):
                    ejection.scopes_in_progress.add(scope)
                    tasks.create_task(_eject(run, scope))
                _publish_changes(run)
                await sleep(CHECK_INTERVAL_S * ejection.random.uniform(0.8, 1.2))
    finally:
        ejection.active_by_scope.clear()
        ejection.scopes_in_progress.clear()


class _EjectionRun(NamedTuple):
    """Ejection state of one target with the functions given to ``run_ejection``."""

    ejection: Ejection
    pools: Callable[[], Sequence[PoolView]]
    send_reservation_request: SendReservationRequest
    probe: Callable[[], Awaitable[bool]]
    record_event: Callable[[Kind, str], None]
    on_change: Callable[[], None]
    sleep: Callable[[float], Awaitable[None]]


def _refusal(ejection: Ejection, request: ReservationRequest) -> str:
    """Return the reason to refuse a reservation, or an empty string."""
    scope = request["scope"]
    now = ejection.monotonic()
    status = ejection.status()
    if not status.ready:
        return "not_ready"
    if request["pool"] not in status.slots_by_pool:
        return "not_in_pool"
    if any(
        ALL_ROUTES in (scope, ejected) or scope == ejected
        for ejected in ejection.active_by_scope
    ):
        return "ejected"
    anomaly_by_scope = anomaly_scores(ejection.evidence)
    own = anomaly_by_scope.get(scope, NO_ANOMALY)
    affected = [own, anomaly_by_scope[ALL_ROUTES]]
    if scope == ALL_ROUTES:
        affected = list(anomaly_by_scope.values())
    renewed = is_reserved(ejection.reservations, request, now)
    limit = RENEWING_GRANTOR_SCORE_MAX if renewed else GRANTOR_SCORE_MAX
    if any(anomaly.score > limit for anomaly in affected):
        return "not_healthy"
    other = AnomalyScore(*request["sickness"])
    if not is_clearly_healthier(own, other):
        return "not_clearly_healthier"
    recent = recent_request_count(ejection.evidence, scope)
    if (
        other.cause == "latency"
        and not renewed
        and recent < GRANTOR_RECENT_REQUESTS_MIN
    ):
        return "no_recent_requests"
    return ""


def _alarmed_scopes(ejection: Ejection) -> list[str]:
    """Return the scopes to eject the target for; all routes take precedence."""
    now = ejection.monotonic()
    if not is_suspicious(ejection.evidence):
        return []
    anomaly_by_scope = anomaly_scores(ejection.evidence)
    alarmed = [
        scope
        for scope, anomaly in anomaly_by_scope.items()
        if scope not in ejection.scopes_in_progress
        and now >= ejection.retry_at_by_scope.get(scope, 0.0)
        and _raises_alarm(anomaly)
    ]
    # Checked last: the status searches all pools, and this runs ten times a second.
    if (
        not alarmed
        or ALL_ROUTES in ejection.scopes_in_progress
        or not ejection.status().ready
    ):
        return []
    return [ALL_ROUTES] if ALL_ROUTES in alarmed else alarmed


def _raises_alarm(anomaly: AnomalyScore) -> bool:
    limit = HARD_ALARM_SCORE if anomaly.cause == "hard" else ALARM_SCORE
    return anomaly.score >= limit


async def _eject(run: _EjectionRun, scope: str) -> None:
    """Eject a target for a scope, and return after readmission or on failure."""
    ejection = run.ejection
    try:
        anomaly = anomaly_scores(ejection.evidence).get(scope, NO_ANOMALY)
        if anomaly.score < ALARM_SCORE and await run.probe():
            _delay_retry(ejection, scope)
            return
        if scope not in ejection.failures_by_scope:
            run.record_event(Kind.TARGET_SICK, f"{scope}: {anomaly}")
        active = _ActiveEjection(scope, anomaly)
        if not await _collect_reservations(run, active):
            run.record_event(
                Kind.TARGET_EJECTION_REFUSED, f"{scope}: too few promises, {anomaly}"
            )
            await _abandon(run, active)
            return
        # Nothing is awaited between the check and the ejection, so that no reservation
        # can be granted in between.
        if not _may_eject(ejection, active):
            run.record_event(
                Kind.TARGET_EJECTION_REFUSED, f"{scope}: target is promised or well"
            )
            await _abandon(run, active)
            return
        ejection.active_by_scope[scope] = active
        ejection.failures_by_scope.pop(scope, None)
        if scope != ALL_ROUTES:
            # The failures of this route must not count against the other routes.
            forget_scope(ejection.evidence, scope)
        run.record_event(Kind.TARGET_EJECTED, f"{scope}: {anomaly}")
        _publish_changes(run)
        try:
            await _enforce_ejection(run, active)
        finally:
            ejection.active_by_scope.pop(scope, None)
            ejection.ended_at_by_scope[scope] = ejection.monotonic()
            _publish_changes(run)
        await _release_reservations(run, active)
    finally:
        ejection.scopes_in_progress.discard(scope)


def _may_eject(ejection: Ejection, active: _ActiveEjection) -> bool:
    now = ejection.monotonic()
    # A previous owner may have granted a reservation shortly before it failed.
    if now - ejection.owned_since < RESERVATION_LEASE_S:
        return False
    if forbids_ejection(
        ejection.reservations, active.scope, now
    ) or not active.in_force(now):
        return False
    anomaly = anomaly_scores(ejection.evidence).get(active.scope, NO_ANOMALY)
    return ejection.status().ready and _raises_alarm(anomaly)


def _delay_retry(ejection: Ejection, scope: str) -> None:
    """Set the time of the next try: exponential back-off with jitter.

    The jitter keeps two owners that blocked each other from colliding again.
    """
    failures = ejection.failures_by_scope.get(scope, 0)
    ejection.failures_by_scope[scope] = failures + 1
    wait_s = min(BACKOFF_S * 2 ** min(failures, 10), BACKOFF_MAX_S)
    wait_s *= ejection.random.uniform(0.5, 1.5)
    ejection.retry_at_by_scope[scope] = ejection.monotonic() + wait_s


async def _abandon(run: _EjectionRun, active: _ActiveEjection) -> None:
    _delay_retry(run.ejection, active.scope)
    await _release_reservations(run, active)


def _affected_pools(run: _EjectionRun, scope: str) -> list[PoolView]:
    """Return the pools whose floor an ejection for the scope affects."""
    return [v for v in run.pools() if scope == ALL_ROUTES or scope in v.routes]


async def _collect_reservations(run: _EjectionRun, active: _ActiveEjection) -> bool:
    """Request reservations until they cover the floor of each affected pool.

    Returns:
        Whether they cover the floors.
    """
    now = run.ejection.monotonic
    requested: set[HeldKey] = set()
    for _ in range(REQUEST_ROUNDS_MAX):
        views = _affected_pools(run, active.scope)
        active.floor_by_pool = {view.pool: view.floor_slots for view in views}
        chosen = [
            (view.pool, peer)
            for view in views
            for peer in _choose_grantors(run.ejection, active, view, requested)
        ]
        if not chosen:
            break
        requested |= {(pool, peer.target) for pool, peer in chosen}
        await _request_reservations(run, active, chosen)
        if active.in_force(now()):
            return True
    return active.in_force(now())


def _choose_grantors(
    ejection: Ejection, active: _ActiveEjection, view: PoolView, requested: set[HeldKey]
) -> list[PeerTarget]:
    """Choose random peers that cover the missing slots, and one more."""
    missing = max(view.floor_slots, 1) - active.reserved_slots(
        view.pool, ejection.monotonic(), renewable_only=True
    )
    eligible = [
        peer
        for peer in view.peers
        if (view.pool, peer.target) not in requested
        and (view.pool, peer.target) not in active.held_by_key
        and peer.target != ejection.target
        and peer.slots > 0
    ]
    ejection.random.shuffle(eligible)
    chosen: list[PeerTarget] = []
    for peer in eligible:
        if missing + peer.slots <= 0:
            break
        chosen.append(peer)
        missing -= peer.slots
    return chosen


async def _request_reservations(
    run: _EjectionRun, active: _ActiveEjection, chosen: Sequence[tuple[str, PeerTarget]]
) -> None:
    """Request or renew reservations, one message per node and pool, concurrently."""
    targets_by_call: dict[tuple[str, str], list[str]] = {}
    for pool, peer in chosen:
        targets_by_call.setdefault((peer.node, pool), []).append(peer.target)
    await asyncio.gather(
        *(
            _request_from_node(run, active, node, pool, targets)
            for (node, pool), targets in targets_by_call.items()
        )
    )


async def _request_from_node(
    run: _EjectionRun, active: _ActiveEjection, node: str, pool: str, targets: list[str]
) -> None:
    # Read before the request is sent, so that this lease ends before the grantor's,
    # which starts with its response.
    sent_at = run.ejection.monotonic()
    request = _reservation_request(run.ejection, active, pool, targets, release=False)
    answer = await run.send_reservation_request(node, request)
    if answer is None:
        return
    for target in targets:
        key = (pool, target)
        held = active.held_by_key.get(key)
        if target in answer["slots_by_target"]:
            slots = answer["slots_by_target"][target]
            expires_at = sent_at + RESERVATION_LEASE_S
            if held is None or held.expires_at < expires_at:
                active.held_by_key[key] = _HeldReservation(
                    node, slots, sent_at, expires_at
                )
        elif held is not None:
            active.held_by_key[key] = held._replace(renewal_refused=True)


def _reservation_request(
    ejection: Ejection,
    active: _ActiveEjection,
    pool: str,
    targets: list[str],
    *,
    release: bool,
) -> ReservationRequest:
    ejection.request_number += 1
    return ReservationRequest(
        holder=ejection.target,
        holder_node=ejection.node,
        pool=pool,
        scope=active.scope,
        number=ejection.request_number,
        targets=targets,
        sickness=active.anomaly,
        release=release,
    )


async def _release_reservations(run: _EjectionRun, active: _ActiveEjection) -> None:
    """Release the held reservations; after a lost message the lease just expires."""
    targets_by_call: dict[tuple[str, str], list[str]] = {}
    for (pool, target), held in active.held_by_key.items():
        targets_by_call.setdefault((held.node, pool), []).append(target)
    active.held_by_key.clear()
    await asyncio.gather(
        *(
            run.send_reservation_request(
                node,
                _reservation_request(run.ejection, active, pool, targets, release=True),
            )
            for (node, pool), targets in targets_by_call.items()
        )
    )


async def _enforce_ejection(run: _EjectionRun, active: _ActiveEjection) -> None:
    """Renew the reservations until the target is readmitted or they lapse."""
    renewal = asyncio.ensure_future(_renew_reservations(run, active))
    readmission = asyncio.ensure_future(_readmit(run, active))
    try:
        await asyncio.wait({renewal, readmission}, return_when=asyncio.FIRST_COMPLETED)
        if readmission.done():
            readmission.result()
            run.record_event(Kind.TARGET_READMITTED, active.scope)
        else:
            renewal.result()
            _delay_retry(run.ejection, active.scope)
            run.record_event(
                Kind.TARGET_EJECTION_LAPSED, f"{active.scope}: promises ended"
            )
    finally:
        for task in (renewal, readmission):
            task.cancel()
        await asyncio.gather(renewal, readmission, return_exceptions=True)


async def _renew_reservations(run: _EjectionRun, active: _ActiveEjection) -> None:
    """Renew reservations and replace lost ones while the ejection is in force."""
    ejection = run.ejection
    requested_at = ejection.monotonic()
    requested: set[HeldKey] = set()
    while active.in_force(ejection.monotonic()) and ejection.status().ready:
        await run.sleep(CHECK_INTERVAL_S * ejection.random.uniform(0.8, 1.2))
        now = ejection.monotonic()
        for key, held in list(active.held_by_key.items()):
            if held.expires_at <= now:
                del active.held_by_key[key]
        views = _affected_pools(run, active.scope)
        active.floor_by_pool = {view.pool: view.floor_slots for view in views}
        if now - requested_at > RENEW_AFTER_S:
            requested_at = now
            requested.clear()
        chosen = [
            (pool, PeerTarget(target, held.node, held.slots))
            for (pool, target), held in active.held_by_key.items()
            if not held.renewal_refused and now - held.sent_at > RENEW_AFTER_S
        ]
        for view in views:
            grantors = _choose_grantors(ejection, active, view, requested)
            requested |= {(view.pool, peer.target) for peer in grantors}
            chosen += [(view.pool, peer) for peer in grantors]
        if chosen:
            await _request_reservations(run, active, chosen)


async def _readmit(run: _EjectionRun, active: _ActiveEjection) -> None:
    """Keep the target out, probe it and try real requests, until a trial succeeds."""
    ejection, scope = run.ejection, active.scope
    ended_at = ejection.ended_at_by_scope.get(scope)
    flapping = (
        ended_at is not None and ejection.monotonic() - ended_at < FLAPPING_WINDOW_S
    )
    flaps = ejection.flaps_by_scope.get(scope, 0) + 1 if flapping else 0
    while True:
        ejection.flaps_by_scope[scope] = flaps
        ejection_s = min(EJECTION_TIME_S * 2 ** min(flaps, 10), EJECTION_TIME_MAX_S)
        await run.sleep(ejection_s * ejection.random.uniform(0.8, 1.2))
        while not await run.probe():
            await run.sleep(PROBE_INTERVAL_S * ejection.random.uniform(0.8, 1.2))
        if await _run_trial(run, active):
            return
        flaps += 1


async def _run_trial(run: _EjectionRun, active: _ActiveEjection) -> bool:
    """Admit requests at a rising rate, and return whether they succeeded."""
    ejection = run.ejection
    started_at = ejection.monotonic()
    forget_scope(ejection.evidence, active.scope)
    active.trial_tokens, active.trial_refilled_at = 1.0, started_at
    active.in_trial = True
    run.record_event(Kind.TARGET_TRIAL_STARTED, active.scope)
    _publish_changes(run)
    while True:
        await run.sleep(CHECK_INTERVAL_S)
        anomaly = anomaly_scores(ejection.evidence).get(active.scope, NO_ANOMALY)
        if anomaly.score >= TRIAL_SCORE_MAX:
            active.in_trial = False
            run.record_event(Kind.TARGET_TRIAL_FAILED, f"{active.scope}: {anomaly}")
            _publish_changes(run)
            return False
        observed = observed_request_count(ejection.evidence, active.scope)
        if (
            observed >= TRIAL_REQUESTS
            or ejection.monotonic() - started_at >= TRIAL_TIME_MAX_S
        ):
            return True


def _take_trial_token(ejection: Ejection, active: _ActiveEjection, now: float) -> bool:
    """Take a token from a bucket whose rate doubles as trial requests complete."""
    observed = observed_request_count(ejection.evidence, active.scope)
    rate = TRIAL_RATE_PER_S * 2 ** min(observed // TRIAL_DOUBLING_REQUESTS, 6)
    refill = (now - active.trial_refilled_at) * rate
    active.trial_tokens = min(active.trial_tokens + refill, 2.0)
    active.trial_refilled_at = now
    if active.trial_tokens < 1.0:
        return False
    active.trial_tokens -= 1.0
    return True


def _publish_changes(run: _EjectionRun) -> None:
    scopes = ejected_scopes(run.ejection)
    if scopes != run.ejection.published_scopes:
        run.ejection.published_scopes = scopes
        run.on_change()
