"""Ejection with capacity reservations, in virtual time with a faulty network."""

from collections.abc import Callable, Coroutine
from typing import Any

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Contains, Equals, GreaterThan, LessThan, Not

from bench.promise_network import POOL, ROUTES, OwnedTarget, ReservationFleet
from bench.virtual_time import run_virtual
from siskinlug.ejection import (
    RENEWING_GRANTOR_SCORE_MAX,
    answer_reservation_request,
    ejected_scopes,
)
from siskinlug.evidence import (
    NO_ANOMALY,
    AnomalyScore,
    Outcome,
    anomaly_scores,
    forget_scope,
    record_outcome,
)
from siskinlug.reservations import (
    RESERVATION_LEASE_S,
    ReservationRequest,
    Reservations,
    forbids_ejection,
    grant_reservation,
    release_reservation,
)

Script = Callable[[ReservationFleet], Coroutine[Any, Any, None]]


class _CapacityModel:
    """Reference model of the capacity that ejections leave, without reservations.

    A target counts as capacity for a route if its owner admits every attempt and its
    scores were low at some time within the last lease. No ejection is to blame for a
    target that starts failing after its owner granted a reservation.
    """

    def __init__(self, fleet: ReservationFleet) -> None:
        self.fleet = fleet
        self.healthy_at: dict[tuple[str, str], float] = {}
        self.ejections = 0

    def check(self) -> None:
        now = self.fleet.network.now()
        for route in ROUTES:
            ejected = [t for t in self.fleet.targets if self._is_ejected(t, route, now)]
            capacity = sum(
                owned.slots
                for owned in self.fleet.targets
                if owned not in ejected and self._was_healthy(owned, route, now)
            )
            self.ejections += len(ejected)
            if ejected and capacity < self.fleet.floor_slots:
                raise AssertionError(f"{capacity} slots left on {route} at {now:.2f}")

    def _is_ejected(self, owned: OwnedTarget, route: str, now: float) -> bool:
        active_by_scope = owned.ejection.active_by_scope
        return any(
            s in active_by_scope and active_by_scope[s].in_force(now)
            for s in ("*", route)
        )

    def _was_healthy(self, owned: OwnedTarget, route: str, now: float) -> bool:
        anomaly_by_route = anomaly_scores(owned.ejection.evidence)
        worst = max(anomaly_by_route.get(s, NO_ANOMALY).score for s in ("*", route))
        key = (owned.target, route)
        if owned.ready and worst <= RENEWING_GRANTOR_SCORE_MAX:
            self.healthy_at[key] = now
        return now - self.healthy_at.get(key, -1e9) <= RESERVATION_LEASE_S + 0.1


def _run(script: Script, *, seed: int = 1, **sizes: int) -> ReservationFleet:
    """Run a script against a fleet and check the floor at each step."""
    sizes = {"targets": 4, "slots": 4, "floor_slots": 8} | sizes

    async def main() -> ReservationFleet:
        fleet = ReservationFleet(seed=seed, **sizes)
        fleet.start()
        capacity = _CapacityModel(fleet)
        fleet.check = capacity.check  # type: ignore[attr-defined]
        try:
            await script(fleet)
        finally:
            await fleet.stop()
        return fleet

    return run_virtual(main())


async def _serve(fleet: ReservationFleet, seconds: float) -> None:
    await fleet.run_traffic(seconds, fleet.check)  # type: ignore[attr-defined]


def _reservation_request(
    scope: str, number: int, anomaly: AnomalyScore = NO_ANOMALY
) -> ReservationRequest:
    return ReservationRequest(
        holder="t9",
        holder_node="n9",
        pool=POOL,
        scope=scope,
        number=number,
        targets=["t0"],
        sickness=anomaly,
        release=False,
    )


def _record_hard_failures(owned: OwnedTarget, requests: int = 4) -> None:
    for number in range(requests):
        route = ROUTES[number % len(ROUTES)]
        record_outcome(owned.ejection.evidence, Outcome(route, False, True, 0.0, None))


def _kinds(owned: OwnedTarget) -> list[str]:
    return [kind for _, kind, _ in owned.events]


class EjectionTest(testtools.TestCase):
    def test_a_dead_target_is_ejected_within_a_second_and_readmitted(self) -> None:
        """Guards against slow detection and a target that is never readmitted."""

        async def script(fleet: ReservationFleet) -> None:
            dead = fleet.targets[0]
            await _serve(fleet, 3)
            dead.fail_requests(1.0, hard=True)
            await _serve(fleet, 1)
            self.assertThat(ejected_scopes(dead.ejection), Equals(("*",)))
            await _serve(fleet, 10)
            self.assertThat(ejected_scopes(dead.ejection), Equals(("*",)))
            dead.recover()
            await _serve(fleet, 20)
            self.assertThat(ejected_scopes(dead.ejection), Equals(()))
            self.assertThat(_kinds(dead)[-1], Equals("target_readmitted"))

        _run(script)

    def test_one_failing_route_is_ejected_alone(self) -> None:
        """Guards against ejecting a whole target for the fault of one route."""

        async def script(fleet: ReservationFleet) -> None:
            await _serve(fleet, 3)
            owned = fleet.targets[0]
            owned.error_ratio_by_route["book"] = 1.0
            await _serve(fleet, 1.5)
            self.assertThat(ejected_scopes(owned.ejection), Equals(("book",)))
            for _ in range(2):
                error = Outcome("browse", False, False, 0.02, 0.02)
                record_outcome(owned.ejection.evidence, error)
            await _serve(fleet, 1)
            self.assertThat(ejected_scopes(owned.ejection), Equals(("book",)))

        _run(script)

    def test_no_target_is_ejected_when_all_are_slow(self) -> None:
        """Guards against ejecting healthy targets under overload."""

        async def script(fleet: ReservationFleet) -> None:
            fleet.baseline_s = None
            await _serve(fleet, 5)
            for owned in fleet.targets:
                owned.slowdown = 6.0
            await _serve(fleet, 20)
            for owned in fleet.targets:
                self.assertThat(_kinds(owned), Not(Contains("target_ejected")))

        for seed in range(10):
            _run(script, seed=seed, floor_slots=0)

    def test_floor_keeps_an_unhealthy_target_in(self) -> None:
        """Guards against an ejection that leaves less than the floor."""

        async def script(fleet: ReservationFleet) -> None:
            await _serve(fleet, 3)
            fleet.targets[0].fail_requests(1.0, hard=True)
            fleet.targets[1].fail_requests(1.0, hard=True)
            await _serve(fleet, 15)
            ejected = [t for t in fleet.targets if ejected_scopes(t.ejection)]
            self.assertThat(len(ejected), LessThan(2))

        _run(script, floor_slots=12)

    def test_a_pause_beyond_the_lease_ends_the_ejection(self) -> None:
        """Guards against a paused owner that enforces an expired ejection."""

        async def script(fleet: ReservationFleet) -> None:
            await _serve(fleet, 3)
            fleet.targets[0].fail_requests(1.0, hard=True)
            await _serve(fleet, 2)
            fleet.network.paused_until["n0"] = fleet.network.now() + 12
            fleet.targets[1].fail_requests(1.0, hard=True)
            await _serve(fleet, 13)

        _run(script, floor_slots=12)

    def test_holder_counts_leases_from_its_request(self) -> None:
        """Guards against a holder whose lease outlasts the grantor's."""

        async def script(fleet: ReservationFleet) -> None:
            network = fleet.network
            await _serve(fleet, 3)
            network.call_timeout_s = 6.0
            network.answer_delay_by_node = {"n0": 4.0}
            fleet.targets[0].fail_requests(1.0, hard=True)
            await _serve(fleet, 1.5)
            network.cut_links = {("n0", f"n{n}") for n in (1, 2, 3)}
            fleet.targets[1].fail_requests(1.0, hard=True)
            await _serve(fleet, 10)
            self.assertThat(_kinds(fleet.targets[0]), Contains("target_ejected"))

        _run(script, floor_slots=12)

    def test_two_targets_that_reserve_each_other_are_not_both_ejected(self) -> None:
        """Guards against an ejection by an owner that became a grantor meanwhile."""

        async def script(fleet: ReservationFleet) -> None:
            first, second, _ = fleet.targets
            await _serve(fleet, 3)
            fleet.network.call_timeout_s = 4.0
            fleet.network.answer_delay_by_node = {"n0": 1.5}
            _record_hard_failures(first)
            await _serve(fleet, 0.3)
            forget_scope(first.ejection.evidence, "*")
            await _serve(fleet, 0.3)
            _record_hard_failures(second)
            await _serve(fleet, 0.4)
            self.assertThat(_kinds(second), Contains("target_ejection_refused"))
            _record_hard_failures(first, 8)
            await _serve(fleet, 1.5)
            self.assertThat(_kinds(first), Contains("target_ejected"))

        _run(script, targets=3, floor_slots=8)

    def test_a_target_that_recovers_before_its_ejection_stays_in(
        self,
    ) -> None:
        """Guards against acting on outdated evidence."""

        async def script(fleet: ReservationFleet) -> None:
            first = fleet.targets[0]
            await _serve(fleet, 3)
            fleet.network.call_timeout_s = 4.0
            fleet.network.answer_delay_by_node = {"n0": 1.0}
            _record_hard_failures(first)
            await _serve(fleet, 0.3)
            forget_scope(first.ejection.evidence, "*")
            await _serve(fleet, 3)
            self.assertThat(
                _kinds(first), Equals(["target_sick", "target_ejection_refused"])
            )

        _run(script)

    def test_a_new_owner_waits_out_reservations_of_the_previous_one(
        self,
    ) -> None:
        """Guards against reservations lost with the owner that granted them."""

        async def script(fleet: ReservationFleet) -> None:
            moved = fleet.targets[0]
            await _serve(fleet, 3)
            fleet.assign_owner(moved)
            moved.fail_requests(1.0, hard=True)
            await _serve(fleet, 4.8)
            self.assertThat(_kinds(moved), Not(Contains("target_ejected")))
            await _serve(fleet, 6)
            self.assertThat(_kinds(moved), Contains("target_ejected"))

        _run(script)

    def test_flapping_lengthens_the_ejection(self) -> None:
        """Guards against a flapping target that is ejected and readmitted too often."""

        async def script(fleet: ReservationFleet) -> None:
            flapping = fleet.targets[0]
            await _serve(fleet, 3)
            for _ in range(10):
                flapping.fail_requests(1.0, hard=True)
                await _serve(fleet, 5)
                flapping.recover()
                await _serve(fleet, 5)
            kinds = _kinds(flapping)
            self.assertThat(kinds.count("target_ejected"), GreaterThan(1))
            self.assertThat(kinds.count("target_ejected"), LessThan(6))

        _run(script)


class GrantorTest(testtools.TestCase):
    def _refusal(
        self, fleet: ReservationFleet, scope: str, anomaly: AnomalyScore
    ) -> str:
        answer = answer_reservation_request(
            {"t0": fleet.targets[0].ejection}, _reservation_request(scope, 1, anomaly)
        )
        return answer["refusal_by_target"].get("t0", "")

    def test_a_grantor_refuses_an_ejected_idle_or_unhealthy_target(self) -> None:
        """Guards against reservations of a target that cannot provide the capacity."""

        async def script(fleet: ReservationFleet) -> None:
            grantor = fleet.targets[0]
            hard = AnomalyScore(1.2, 0.9, 1.0, "hard")
            slow = AnomalyScore(1.2, 0.0, 3.0, "latency")
            self.assertThat(self._refusal(fleet, "*", hard), Equals(""))
            grantor.ejection.reservations.reservation_by_key.clear()
            grantor.ready = False
            self.assertThat(self._refusal(fleet, "*", hard), Equals("not_ready"))
            grantor.ready = True
            self.assertThat(
                self._refusal(fleet, "*", slow), Equals("no_recent_requests")
            )
            grantor.slowdown = 2.0
            await _serve(fleet, 3)
            self.assertThat(
                self._refusal(fleet, "*", slow), Equals("not_clearly_healthier")
            )
            grantor.error_ratio_by_route["book"] = 1.0
            await _serve(fleet, 1.5)
            self.assertThat(ejected_scopes(grantor.ejection), Equals(("book",)))
            self.assertThat(self._refusal(fleet, "browse", hard), Equals(""))
            forget_scope(grantor.ejection.evidence, "*")
            for scope in ("*", "book"):
                self.assertThat(self._refusal(fleet, scope, hard), Equals("ejected"))

        _run(script)

    def test_a_delayed_release_does_not_end_a_newer_reservation(self) -> None:
        """Guards against a duplicated or delayed release."""
        reservations = Reservations()
        grant_reservation(reservations, _reservation_request("*", 1), 0.0)
        release_reservation(reservations, _reservation_request("*", 2))
        grant_reservation(reservations, _reservation_request("*", 3), 0.0)
        release_reservation(reservations, _reservation_request("*", 2))
        self.assertThat(forbids_ejection(reservations, "*", 0.0), Equals(True))

    def test_a_reservation_forbids_ejection_for_its_lease_and_scope(self) -> None:
        """Guards against a lease that is too short or a scope that is too narrow."""
        for reserved, scope, expected in (
            ("*", "*", True),
            ("*", "book", True),
            ("book", "*", True),
            ("book", "book", True),
            ("book", "browse", False),
        ):
            reservations = Reservations()
            grant_reservation(reservations, _reservation_request(reserved, 1), 10.0)
            self.assertThat(
                forbids_ejection(reservations, scope, 14.99), Equals(expected)
            )
            self.assertThat(forbids_ejection(reservations, scope, 15.01), Equals(False))


_TARGET = st.integers(0, 3)
_EVENTS = st.one_of(
    st.tuples(st.just("errors"), _TARGET, st.sampled_from([0.2, 0.5, 1.0])),
    st.tuples(st.just("crash"), _TARGET),
    st.tuples(st.just("slow"), _TARGET),
    st.tuples(st.just("all_slow")),
    st.tuples(st.just("recover"), _TARGET),
    st.tuples(st.just("toggle_ready"), _TARGET),
    st.tuples(st.just("new_owner"), _TARGET),
    st.tuples(st.just("partition"), _TARGET, _TARGET),
    st.tuples(st.just("restore_network")),
    st.tuples(st.just("pause"), _TARGET, st.floats(0.5, 8.0)),
    st.tuples(st.just("packet_loss"), st.floats(0, 0.4), st.floats(0, 0.4)),
)


def _apply(fleet: ReservationFleet, event: tuple) -> None:
    kind, *args = event
    network = fleet.network
    owned = fleet.targets[args[0]] if args and isinstance(args[0], int) else None
    match kind:
        case "errors":
            owned.fail_requests(args[1])
        case "crash":
            owned.fail_requests(1.0, hard=True)
        case "slow":
            owned.slowdown = 6.0
        case "all_slow":
            for other in fleet.targets:
                other.slowdown = 6.0
        case "recover":
            owned.recover()
        case "toggle_ready":
            owned.ready = not owned.ready
        case "new_owner":
            fleet.assign_owner(owned)
        case "partition":
            network.cut_links.add((owned.node, fleet.targets[args[1]].node))
        case "restore_network":
            network.cut_links.clear()
            network.loss_probability = network.duplicate_probability = 0.0
        case "pause":
            network.paused_until[owned.node] = network.now() + args[1]
        case "packet_loss":
            network.loss_probability, network.duplicate_probability = args
            network.mean_delay_s = 0.1


class FloorPropertyTest(testtools.TestCase):
    @given(
        st.lists(st.tuples(_EVENTS, st.floats(0.1, 3.0)), min_size=3, max_size=10),
        st.integers(0, 10_000),
        st.sampled_from([4, 8, 12]),
    )
    def test_capacity_never_falls_below_the_floor_through_an_ejection(
        self, events: list, seed: int, floor_slots: int
    ) -> None:
        """Guards against an ejection that leaves less than the floor (guarantee 1).

        Faults come in any order and combination.
        """

        async def script(fleet: ReservationFleet) -> None:
            await _serve(fleet, 1)
            for event, wait_s in events:
                _apply(fleet, event)
                await _serve(fleet, wait_s)
            await _serve(fleet, 6)

        _run(script, seed=seed, floor_slots=floor_slots)
