"""Ejection of targets by their owner, backed by stay-in promises of other owners.

Without promises worth the pool's floor there is no ejection: a partition, a pause or
a race can only keep a target in its pool.
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

TICK_S = 0.1
ALARM_SCORE = 1.0
# Two hard failures and a failed probe suffice.
CONFIRM_SCORE = 0.7
# A giver that renews may look a little worse than one that promises for the first
# time, so that chance failures of givers do not end an ejection.
GRANTOR_SCORE_MAX = 0.3
RENEWING_GRANTOR_SCORE_MAX = 0.6
# Slow targets are compared by what both saw lately; an idle one has seen nothing.
GRANTOR_RECENT_REQUESTS_MIN = 3.0
RENEW_AFTER_S = 2.0
ROUNDS_MAX = 6
BACK_OFF_S = 0.25
BACK_OFF_MAX_S = 5.0
HOLD_S = 2.0
HOLD_MAX_S = 60.0
# An ejection this soon after the last one counts as flapping.
FLAPPING_S = 60.0
PROBE_AGAIN_S = 1.0
TRIAL_REQUESTS = 20
TRIAL_STEP_REQUESTS = 5
TRIAL_RATE = 4.0
TRIAL_MAX_S = 15.0
TRIAL_SCORE_MAX = 0.5


class TargetStatus(NamedTuple):
    """What the owner knows of its own target.

    Attributes:
        ready: Announced ready, its lease in force and its node not leaving.
        slots_by_pool: Slots by name of each pool that the target belongs to.
    """

    ready: bool
    slots_by_pool: Mapping[str, int]


class PeerTarget(NamedTuple):
    """Another target of a pool, as the directory knows it."""

    target: str
    node: str
    slots: int


class PoolView(NamedTuple):
    """A pool that the target belongs to, as its owner sees it.

    Attributes:
        pool: Pool name.
        floor_slots: Healthy slots that ejection must leave.
        routes: Names of the routes to the pool.
        peers: Other targets of the pool that are ready, in any order.
    """

    pool: str
    floor_slots: int
    routes: frozenset[str]
    peers: Sequence[PeerTarget]


CallPeer = Callable[[str, ReservationRequest], Awaitable[ReservationAnswer | None]]
HeldKey = tuple[str, str]


class _Held(NamedTuple):
    """A promise held: in force until ``expires`` by the holder's own clock."""

    node: str
    slots: int
    sent: float
    expires: float
    refused: bool = False


class _Out:
    """An ejection for one scope."""

    def __init__(self, scope: str, anomaly: AnomalyScore) -> None:
        self.scope = scope
        self.anomaly = anomaly
        self.held_by_key: dict[HeldKey, _Held] = {}
        self.floor_by_pool: dict[str, int] = {}
        self.in_trial = False
        self.trial_tokens = 0.0
        self.trial_refilled = 0.0

    def slots(self, pool: str, now: float, *, kept: bool = False) -> int:
        """Slots promised, without those refused a renewal if ``kept``."""
        return sum(
            held.slots
            for (held_pool, _), held in self.held_by_key.items()
            if held_pool == pool and held.expires > now and not (kept and held.refused)
        )

    def in_force(self, now: float) -> bool:
        # A floor of 0 still needs one promise: with nobody clearly healthier the
        # fault may be one of all targets.
        return bool(self.floor_by_pool) and all(
            self.slots(pool, now) >= max(floor, 1)
            for pool, floor in self.floor_by_pool.items()
        )


class Ejection:
    """Ejections and promises of one target at its owner."""

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
        self.number = 0
        self.busy: set[str] = set()
        self.active_by_scope: dict[str, _Out] = {}
        self.published: tuple[str, ...] = ()
        self.failures_by_scope: dict[str, int] = {}
        self.retry_by_scope: dict[str, float] = {}
        self.flaps_by_scope: dict[str, int] = {}
        self.ended_by_scope: dict[str, float] = {}


def make_ejection(
    *,
    target: str,
    node: str,
    evidence: Evidence,
    status: Callable[[], TargetStatus],
    monotonic: Callable[[], float],
    random: random_module.Random,
) -> Ejection:
    """Build the state of a target that this node has just come to own.

    Args:
        target: Target id.
        node: This node.
        evidence: The target's evidence.
        status: Called whenever the target's own state matters.
        monotonic: Monotonic clock in seconds.
        random: Random source for back-off and the order of peers.
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
    """Whether an attempt may go to the target; called once for each attempt.

    Leases are checked by the clock on each call, so a process that was paused past
    a lease does not enforce an ejection that ended meanwhile. During readmission
    only some attempts are admitted.
    """
    now = ejection.monotonic()
    outs = [
        out
        for scope in (ALL_ROUTES, route)
        if (out := ejection.active_by_scope.get(scope)) is not None
        and out.in_force(now)
    ]
    return all(out.in_trial for out in outs) and all(
        _take_trial_token(ejection, out, now) for out in outs
    )


def ejected_scopes(ejection: Ejection) -> tuple[str, ...]:
    """Return the scopes to publish in ``TargetRecord.ejected``, sorted.

    A target in readmission is published as in, and admits a part of its requests.
    """
    now = ejection.monotonic()
    return tuple(
        sorted(
            scope
            for scope, out in ejection.active_by_scope.items()
            if out.in_force(now) and not out.in_trial
        )
    )


def in_readmission(ejection: Ejection) -> bool:
    """Whether the target takes only a part of its requests."""
    now = ejection.monotonic()
    return any(
        o.in_trial and o.in_force(now) for o in ejection.active_by_scope.values()
    )


def answer_reservation_request(
    ejection_by_target: Mapping[str, Ejection], request: ReservationRequest
) -> ReservationAnswer:
    """Answer ``POST /peer/promises`` for the targets that this node owns."""
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
    call_peer: CallPeer,
    probe: Callable[[], Awaitable[bool]],
    record_event: Callable[[Kind, str], None],
    on_change: Callable[[], None],
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Watch a target's evidence and eject and readmit it, until cancelled.

    Args:
        ejection: The target's state.
        pools: Returns the pools that the target belongs to.
        call_peer: Sends a promise request to a node, which may be this one, and
            returns the answer, or ``None`` after a failure or its own time limit.
        probe: Probes the target over a new connection.
        record_event: Records an event: kind and detail.
        on_change: Called when ``ejected_scopes`` may have changed.
        sleep: Waits for a time in seconds.
    """
    runner = _Runner(ejection, pools, call_peer, probe, record_event, on_change, sleep)
    try:
        async with asyncio.TaskGroup() as tasks:
            while True:
                for scope in _alarmed_scopes(ejection):
                    ejection.busy.add(scope)
                    tasks.create_task(_eject(runner, scope))
                _publish(runner)
                await sleep(TICK_S * ejection.random.uniform(0.8, 1.2))
    finally:
        ejection.active_by_scope.clear()
        ejection.busy.clear()


class _Runner(NamedTuple):
    """What one target's ejection calls."""

    ejection: Ejection
    pools: Callable[[], Sequence[PoolView]]
    call_peer: CallPeer
    probe: Callable[[], Awaitable[bool]]
    record_event: Callable[[Kind, str], None]
    on_change: Callable[[], None]
    sleep: Callable[[float], Awaitable[None]]


def _refusal(ejection: Ejection, request: ReservationRequest) -> str:
    """Why a promise is refused, or an empty string."""
    scope = request["scope"]
    now = ejection.monotonic()
    status = ejection.status()
    if not status.ready:
        return "not_ready"
    if request["pool"] not in status.slots_by_pool:
        return "not_in_pool"
    if any(
        ALL_ROUTES in (scope, out) or scope == out for out in ejection.active_by_scope
    ):
        return "ejected"
    anomaly_by_scope = anomaly_scores(ejection.evidence)
    own = anomaly_by_scope.get(scope, NO_ANOMALY)
    concerned = [own, anomaly_by_scope[ALL_ROUTES]]
    if scope == ALL_ROUTES:
        concerned = list(anomaly_by_scope.values())
    renewed = is_reserved(ejection.reservations, request, now)
    limit = RENEWING_GRANTOR_SCORE_MAX if renewed else GRANTOR_SCORE_MAX
    if any(anomaly.score > limit for anomaly in concerned):
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
    """Scopes for which the target should be ejected, all routes before any."""
    now = ejection.monotonic()
    if not is_suspicious(ejection.evidence):
        return []
    anomaly_by_scope = anomaly_scores(ejection.evidence)
    alarmed = [
        scope
        for scope, anomaly in anomaly_by_scope.items()
        if scope not in ejection.busy
        and now >= ejection.retry_by_scope.get(scope, 0.0)
        and _suspected(anomaly)
    ]
    # The status searches all pools, too much for ten times a second without need.
    if not alarmed or ALL_ROUTES in ejection.busy or not ejection.status().ready:
        return []
    return [ALL_ROUTES] if ALL_ROUTES in alarmed else alarmed


def _suspected(anomaly: AnomalyScore) -> bool:
    limit = CONFIRM_SCORE if anomaly.cause == "hard" else ALARM_SCORE
    return anomaly.score >= limit


async def _eject(runner: _Runner, scope: str) -> None:
    """Eject for a scope, hold the promises and readmit; then the scope is free."""
    ejection = runner.ejection
    try:
        anomaly = anomaly_scores(ejection.evidence).get(scope, NO_ANOMALY)
        if anomaly.score < ALARM_SCORE and await runner.probe():
            _back_off(ejection, scope)
            return
        if scope not in ejection.failures_by_scope:
            runner.record_event(Kind.TARGET_SICK, f"{scope}: {anomaly}")
        out = _Out(scope, anomaly)
        if not await _collect(runner, out):
            runner.record_event(
                Kind.TARGET_EJECTION_REFUSED, f"{scope}: too few promises, {anomaly}"
            )
            await _give_up(runner, out)
            return
        # From the check to the ejection nothing is awaited, so that a promise
        # cannot be given between them.
        if not _may_eject(ejection, out):
            runner.record_event(
                Kind.TARGET_EJECTION_REFUSED, f"{scope}: target is promised or well"
            )
            await _give_up(runner, out)
            return
        ejection.active_by_scope[scope] = out
        ejection.failures_by_scope.pop(scope, None)
        if scope != ALL_ROUTES:
            # Its failures must not count against the routes that stay in.
            forget_scope(ejection.evidence, scope)
        runner.record_event(Kind.TARGET_EJECTED, f"{scope}: {anomaly}")
        _publish(runner)
        try:
            await _serve_ejection(runner, out)
        finally:
            ejection.active_by_scope.pop(scope, None)
            ejection.ended_by_scope[scope] = ejection.monotonic()
            _publish(runner)
        await _release(runner, out)
    finally:
        ejection.busy.discard(scope)


def _may_eject(ejection: Ejection, out: _Out) -> bool:
    now = ejection.monotonic()
    # An earlier owner may have promised the target shortly before it was lost.
    if now - ejection.owned_since < RESERVATION_LEASE_S:
        return False
    if forbids_ejection(ejection.reservations, out.scope, now) or not out.in_force(now):
        return False
    anomaly = anomaly_scores(ejection.evidence).get(out.scope, NO_ANOMALY)
    return ejection.status().ready and _suspected(anomaly)


def _back_off(ejection: Ejection, scope: str) -> None:
    """Wait longer after each failure, at random, so that two do not collide again."""
    failures = ejection.failures_by_scope.get(scope, 0)
    ejection.failures_by_scope[scope] = failures + 1
    wait_s = min(BACK_OFF_S * 2 ** min(failures, 10), BACK_OFF_MAX_S)
    wait_s *= ejection.random.uniform(0.5, 1.5)
    ejection.retry_by_scope[scope] = ejection.monotonic() + wait_s


async def _give_up(runner: _Runner, out: _Out) -> None:
    _back_off(runner.ejection, out.scope)
    await _release(runner, out)


def _views(runner: _Runner, scope: str) -> list[PoolView]:
    """Pools whose floor an ejection for the scope touches."""
    return [v for v in runner.pools() if scope == ALL_ROUTES or scope in v.routes]


async def _collect(runner: _Runner, out: _Out) -> bool:
    """Ask for promises until they are worth the floor of each pool concerned."""
    now = runner.ejection.monotonic
    asked: set[HeldKey] = set()
    for _ in range(ROUNDS_MAX):
        views = _views(runner, out.scope)
        out.floor_by_pool = {view.pool: view.floor_slots for view in views}
        chosen = [
            (view.pool, peer)
            for view in views
            for peer in _choose_grantors(runner.ejection, out, view, asked)
        ]
        if not chosen:
            break
        asked |= {(pool, peer.target) for pool, peer in chosen}
        await _ask(runner, out, chosen)
        if out.in_force(now()):
            return True
    return out.in_force(now())


def _choose_grantors(
    ejection: Ejection, out: _Out, view: PoolView, asked: set[HeldKey]
) -> list[PeerTarget]:
    """Choose peers at random to cover what is missing, with one to spare."""
    missing = max(view.floor_slots, 1) - out.slots(
        view.pool, ejection.monotonic(), kept=True
    )
    left = [
        peer
        for peer in view.peers
        if (view.pool, peer.target) not in asked
        and (view.pool, peer.target) not in out.held_by_key
        and peer.target != ejection.target
        and peer.slots > 0
    ]
    ejection.random.shuffle(left)
    chosen: list[PeerTarget] = []
    for peer in left:
        if missing + peer.slots <= 0:
            break
        chosen.append(peer)
        missing -= peer.slots
    return chosen


async def _ask(
    runner: _Runner, out: _Out, chosen: Sequence[tuple[str, PeerTarget]]
) -> None:
    """Ask for or renew promises, one message to each node and pool, all at once."""
    targets_by_call: dict[tuple[str, str], list[str]] = {}
    for pool, peer in chosen:
        targets_by_call.setdefault((peer.node, pool), []).append(peer.target)
    await asyncio.gather(
        *(
            _ask_node(runner, out, node, pool, targets)
            for (node, pool), targets in targets_by_call.items()
        )
    )


async def _ask_node(
    runner: _Runner, out: _Out, node: str, pool: str, targets: list[str]
) -> None:
    # Read before the request is sent: the giver counts from its answer.
    sent = runner.ejection.monotonic()
    request = _request(runner.ejection, out, pool, targets, release=False)
    answer = await runner.call_peer(node, request)
    if answer is None:
        return
    for target in targets:
        key = (pool, target)
        held = out.held_by_key.get(key)
        if target in answer["slots_by_target"]:
            slots = answer["slots_by_target"][target]
            expires = sent + RESERVATION_LEASE_S
            if held is None or held.expires < expires:
                out.held_by_key[key] = _Held(node, slots, sent, expires)
        elif held is not None:
            out.held_by_key[key] = held._replace(refused=True)


def _request(
    ejection: Ejection, out: _Out, pool: str, targets: list[str], *, release: bool
) -> ReservationRequest:
    ejection.number += 1
    return ReservationRequest(
        holder=ejection.target,
        holder_node=ejection.node,
        pool=pool,
        scope=out.scope,
        number=ejection.number,
        targets=targets,
        sickness=out.anomaly,
        release=release,
    )


async def _release(runner: _Runner, out: _Out) -> None:
    """Tell the givers; a release that is lost only lets the lease run out."""
    targets_by_call: dict[tuple[str, str], list[str]] = {}
    for (pool, target), held in out.held_by_key.items():
        targets_by_call.setdefault((held.node, pool), []).append(target)
    out.held_by_key.clear()
    await asyncio.gather(
        *(
            runner.call_peer(
                node, _request(runner.ejection, out, pool, targets, release=True)
            )
            for (node, pool), targets in targets_by_call.items()
        )
    )


async def _serve_ejection(runner: _Runner, out: _Out) -> None:
    """Keep the promises until the target is readmitted or they lapse."""
    keeping = asyncio.ensure_future(_keep_reservations(runner, out))
    readmitting = asyncio.ensure_future(_readmit(runner, out))
    try:
        await asyncio.wait({keeping, readmitting}, return_when=asyncio.FIRST_COMPLETED)
        if readmitting.done():
            readmitting.result()
            runner.record_event(Kind.TARGET_READMITTED, out.scope)
        else:
            keeping.result()
            _back_off(runner.ejection, out.scope)
            runner.record_event(
                Kind.TARGET_EJECTION_LAPSED, f"{out.scope}: promises ended"
            )
    finally:
        for task in (keeping, readmitting):
            task.cancel()
        await asyncio.gather(keeping, readmitting, return_exceptions=True)


async def _keep_reservations(runner: _Runner, out: _Out) -> None:
    """Renew promises and replace lost ones while the ejection is in force."""
    ejection = runner.ejection
    asked_at = ejection.monotonic()
    asked: set[HeldKey] = set()
    while out.in_force(ejection.monotonic()) and ejection.status().ready:
        await runner.sleep(TICK_S * ejection.random.uniform(0.8, 1.2))
        now = ejection.monotonic()
        for key, held in list(out.held_by_key.items()):
            if held.expires <= now:
                del out.held_by_key[key]
        views = _views(runner, out.scope)
        out.floor_by_pool = {view.pool: view.floor_slots for view in views}
        if now - asked_at > RENEW_AFTER_S:
            asked_at = now
            asked.clear()
        chosen = [
            (pool, PeerTarget(target, held.node, held.slots))
            for (pool, target), held in out.held_by_key.items()
            if not held.refused and now - held.sent > RENEW_AFTER_S
        ]
        for view in views:
            givers = _choose_grantors(ejection, out, view, asked)
            asked |= {(view.pool, peer.target) for peer in givers}
            chosen += [(view.pool, peer) for peer in givers]
        if chosen:
            await _ask(runner, out, chosen)


async def _readmit(runner: _Runner, out: _Out) -> None:
    """Hold the target out, probe it and let real requests judge it."""
    ejection, scope = runner.ejection, out.scope
    ended = ejection.ended_by_scope.get(scope)
    recently = ended is not None and ejection.monotonic() - ended < FLAPPING_S
    flaps = ejection.flaps_by_scope.get(scope, 0) + 1 if recently else 0
    while True:
        ejection.flaps_by_scope[scope] = flaps
        hold_s = min(HOLD_S * 2 ** min(flaps, 10), HOLD_MAX_S)
        await runner.sleep(hold_s * ejection.random.uniform(0.8, 1.2))
        while not await runner.probe():
            await runner.sleep(PROBE_AGAIN_S * ejection.random.uniform(0.8, 1.2))
        if await _try_requests(runner, out):
            return
        flaps += 1


async def _try_requests(runner: _Runner, out: _Out) -> bool:
    """Admit a few requests, then more; return whether they went well."""
    ejection = runner.ejection
    started = ejection.monotonic()
    forget_scope(ejection.evidence, out.scope)
    out.trial_tokens, out.trial_refilled = 1.0, started
    out.in_trial = True
    runner.record_event(Kind.TARGET_TRIAL_STARTED, out.scope)
    _publish(runner)
    while True:
        await runner.sleep(TICK_S)
        anomaly = anomaly_scores(ejection.evidence).get(out.scope, NO_ANOMALY)
        if anomaly.score >= TRIAL_SCORE_MAX:
            out.in_trial = False
            runner.record_event(Kind.TARGET_TRIAL_FAILED, f"{out.scope}: {anomaly}")
            _publish(runner)
            return False
        seen = observed_request_count(ejection.evidence, out.scope)
        if seen >= TRIAL_REQUESTS or ejection.monotonic() - started >= TRIAL_MAX_S:
            return True


def _take_trial_token(ejection: Ejection, out: _Out, now: float) -> bool:
    """Admit at a rate that doubles with each few requests that were judged."""
    seen = observed_request_count(ejection.evidence, out.scope)
    rate = TRIAL_RATE * 2 ** min(seen // TRIAL_STEP_REQUESTS, 6)
    refill = (now - out.trial_refilled) * rate
    out.trial_tokens = min(out.trial_tokens + refill, 2.0)
    out.trial_refilled = now
    if out.trial_tokens < 1.0:
        return False
    out.trial_tokens -= 1.0
    return True


def _publish(runner: _Runner) -> None:
    scopes = ejected_scopes(runner.ejection)
    if scopes != runner.ejection.published:
        runner.ejection.published = scopes
        runner.on_change()
