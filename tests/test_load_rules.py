"""Load balancing, retries, service times and account rates."""

import itertools
from collections import Counter
from random import Random

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, LessThan

from siskinlug.account_rates import MAX_ACCOUNTS, check_rate, make_account_rates
from siskinlug.load import LoadReport, decode_load, encode_load
from siskinlug.load_balancing import Candidate, make_load_balancer
from siskinlug.retries import (
    BUDGET_FREE_REASONS,
    NON_RETRYABLE_REASONS,
    RetryAllowance,
    earn_credit,
    make_retry_budget,
    make_window_budget,
    may_hedge,
    may_retry,
    may_trial,
    try_spend,
)
from siskinlug.service_times import (
    MAX_KEYS,
    Quantile,
    is_long_work,
    make_service_times,
    observe_service_time,
)
from siskinlug.tables import Route
from siskinlug.verdict import Reason, Refusal, Verdict, not_run


def _clock() -> float:
    return 0.0


def _report(target: str, in_use: int = 0, queued: int = 0) -> LoadReport:
    wait_ms = 20.0 * (queued + 1) if in_use >= 4 else 0.0
    return LoadReport(target, 4, in_use, queued, wait_ms, 20.0, 4 - in_use, wait_ms)


def _candidate(target: str, load: LoadReport | None, **fields: float) -> Candidate:
    return Candidate(target, target, 2, 1.0, 4, load)._replace(**fields)


def _draw(
    candidates: list[Candidate], draws: int = 1000, **options: bool
) -> Counter[str]:
    choose = make_load_balancer(random=Random(1))
    found: Counter[str] = Counter()
    for _ in range(draws):
        # New report objects, as if each response carried one.
        fresh = [c._replace(load=c.load and c.load._replace()) for c in candidates]
        chosen = choose(fresh, **options)
        found[chosen.target if chosen else ""] += 1
    return found


class LoadBalancingTest(testtools.TestCase):
    @given(
        st.lists(
            st.builds(
                Candidate,
                target=st.sampled_from("abcdef"),
                node=st.just("n"),
                distance=st.integers(0, 3),
                weight=st.sampled_from([0.0, 0.5, 1.0]),
                slots=st.integers(0, 6),
                load=st.none()
                | st.builds(
                    LoadReport,
                    st.just("t"),
                    st.integers(0, 6),
                    st.integers(0, 9),
                    st.integers(0, 40),
                    st.floats(0, 1e4),
                    st.floats(0, 1e4),
                ),
                load_age_s=st.floats(0, 1e5),
                penalty_ms=st.floats(0, 1e4),
            )
        ),
        st.booleans(),
    )
    def test_chooses_a_usable_candidate_or_none(
        self, candidates: list[Candidate], long_work: bool
    ) -> None:
        """Guards against requests to a target without weight in the tables."""
        chosen = make_load_balancer(random=Random(1))(candidates, long_work=long_work)
        usable = [c for c in candidates if c.weight > 0 and c.slots > 0]
        if usable:
            self.assertIn(chosen, usable)
        else:
            self.assertIs(chosen, None)

    def test_avoids_a_full_target(self) -> None:
        """Guards against a choice that ignores load reports."""
        loads = {"a": _report("a", 4, 8), "b": _report("b", 1), "c": _report("c", 1)}
        found = _draw([_candidate(t, load) for t, load in loads.items()])
        self.assertThat(found["a"], Equals(0))

    def test_a_stale_report_counts_less(self) -> None:
        """Guards against a target avoided forever because of an old load report."""
        loads = {"a": _report("a", 4, 8), "b": _report("b", 2), "c": _report("c", 2)}
        candidates = [_candidate(t, load, load_age_s=5.0) for t, load in loads.items()]
        self.assertThat(_draw(candidates)["a"], GreaterThan(200))

    def test_a_busy_own_target_does_not_keep_the_requests(self) -> None:
        """Guards against an entry that never tries targets without a load report."""
        own = _candidate("own", _report("own", 4, 2), distance=0)
        others = [_candidate(t, None) for t in "abc"]
        self.assertThat(_draw([own, *others])["own"], LessThan(100))

    def test_a_free_own_target_saves_the_hop(self) -> None:
        """Guards against an unnecessary second hop."""
        own = _candidate("own", _report("own"), distance=0)
        others = [_candidate(t, _report(t)) for t in "abc"]
        self.assertThat(_draw([own, *others])["own"], Equals(1000))

    def test_long_work_goes_where_a_slot_for_it_is_free(self) -> None:
        """Guards against long work queued behind reserved slots.

        Other targets have free slots for it.
        """
        full = _report("a", 2)._replace(long_free=0, long_wait_ms=2000.0)
        candidates = [_candidate("a", full)]
        candidates += [_candidate(t, _report(t, 3)) for t in "bc"]
        self.assertThat(_draw(candidates, long_work=True)["a"], Equals(0))

    def test_a_burst_does_not_follow_one_report(self) -> None:
        """Guards against a burst sent entirely to the target with the lowest load."""
        loads = {"a": _report("a"), "b": _report("b", 2), "c": _report("c", 2)}
        candidates = [_candidate(t, load) for t, load in loads.items()]
        choose = make_load_balancer(random=Random(1))
        chosen = [choose(candidates) for _ in range(12)]
        found = Counter(c.target for c in chosen if c)
        self.assertThat(found["a"], LessThan(8))

    def test_all_targets_of_a_large_pool_are_used(self) -> None:
        """Guards against sampling that never selects some targets of a large pool."""
        candidates = [_candidate(f"t{i}", _report(f"t{i}")) for i in range(43)]
        found = _draw(candidates, 3000)
        self.assertThat(len(found), Equals(43))
        self.assertThat(max(found.values()), LessThan(140))

    def test_non_finite_times_are_malformed(self) -> None:
        """Guards against a load report that makes every choice fail."""
        for value in ("inf", "nan"):
            self.assertIs(decode_load(f"t;6;3;2;{value};20.0;1;1.0"), None)

    def test_load_reports_survive_encoding(self) -> None:
        load = LoadReport("t", 6, 3, 2, 12.5, 20.0, 1, 2000.0)
        self.assertThat(decode_load(encode_load(load)), Equals(load))
        self.assertThat(decode_load("t;1;2"), Equals(None))


_ROUTE = Route("r", "*", "/", (), "p", retries=2)
_REFUSALS = st.builds(Refusal, st.sampled_from(Verdict), st.sampled_from(Reason))


class RetriesTest(testtools.TestCase):
    @given(st.lists(st.booleans(), max_size=300), st.floats(0, 0.5), st.integers(0, 20))
    def test_retries_stay_within_the_budget(
        self, successes: list[bool], ratio: float, burst: int
    ) -> None:
        """Guards against retries that multiply the load of a failing pool."""
        budget = make_retry_budget(ratio=ratio, burst=burst, monotonic=_clock)
        spent = 0
        for success in successes:
            if success:
                earn_credit(budget)
            else:
                spent += try_spend(budget)
        max_retries = burst + ratio * sum(successes)
        self.assertThat(spent, LessThan(max_retries + 1e-6))

    @given(
        st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=200),
        st.floats(0, 0.5),
        st.floats(0, 20),
    )
    def test_retries_stay_within_the_bound_of_each_window(
        self, steps: list[tuple[float, bool]], ratio: float, burst: float
    ) -> None:
        """Guards against two bursts of retries within one window."""
        now = 0.0
        allowance = RetryAllowance(ratio, burst, earned_by_requests=True, window_s=10.0)
        budget = make_window_budget(
            lambda: allowance, monotonic=lambda: now, started_at=-60.0
        )
        requests: list[float] = []
        spent: list[float] = []
        for pause_s, is_request in steps:
            now += pause_s
            if is_request:
                earn_credit(budget)
                requests.append(now)
            elif try_spend(budget):
                spent.append(now)
        for end in spent:
            in_window = [at for at in spent if end - 10.0 <= at <= end]
            # Credit for a retry in the window may have been earned before it.
            earned = [at for at in requests if end - 20.0 <= at <= end]
            max_retries = burst + ratio * len(earned)
            self.assertThat(len(in_window), LessThan(max_retries + 1e-6))

    def test_burst_credit_is_restored_in_the_next_window(self) -> None:
        """Guards against burst credit that is spent once and never restored."""
        now = 0.0
        allowance = RetryAllowance(0.0, 2.0, earned_by_requests=True, window_s=10.0)
        budget = make_window_budget(
            lambda: allowance, monotonic=lambda: now, started_at=-60.0
        )
        spent = 0
        for _ in range(35):
            spent += sum(try_spend(budget) for _ in range(3))
            now += 1.0
        self.assertThat(spent, Equals(8))

    def test_no_immediate_burst_after_all_nodes_restart(self) -> None:
        """Guards against a second burst in the window in which all were killed."""
        now = 0.0
        allowance = RetryAllowance(0.0, 4.0, earned_by_requests=True, window_s=10.0)
        budget = make_window_budget(
            lambda: allowance, monotonic=lambda: now, started_at=0.0
        )
        self.assertThat(try_spend(budget), Equals(False))
        now = 5.1
        self.assertThat([try_spend(budget) for _ in range(3)].count(True), Equals(2))

    def test_first_start_has_the_burst_at_once(self) -> None:
        """Load pattern: a fleet starts for the first time and traffic with it."""
        allowance = RetryAllowance(
            0.0, 1.1, earned_by_requests=True, window_s=10.0, full_at_start=True
        )
        budget = make_window_budget(
            lambda: allowance, monotonic=_clock, started_at=_clock()
        )
        self.assertThat([try_spend(budget) for _ in range(2)], Equals([True, False]))

    def test_entries_of_a_large_fleet_may_try_unhealthy_targets(self) -> None:
        """Load pattern: 234 entries share 258 retries in ten seconds.

        None of them ever has the credit that an entry of a small fleet keeps back.
        """
        for nodes, spent, expected in (
            (24, 0, True),
            (24, 1, False),
            (234, 0, True),
            (234, 1, False),
            (430, 0, False),
        ):
            allowance = RetryAllowance(
                0.0, 258 / nodes, earned_by_requests=True, window_s=10.0
            )
            budget = make_window_budget(
                lambda allowance=allowance: allowance,  # type: ignore[misc]
                monotonic=_clock,
                started_at=-60.0,
            )
            for _ in range(spent if nodes > 24 else 10 * spent):
                try_spend(budget)
            self.assertThat(may_trial(budget, allowance), Equals(expected), str(nodes))

    def test_partitioned_node_keeps_its_share_of_the_burst(self) -> None:
        """Guards against a burst of fleet size at each node of a partition."""
        now, burst = 100.0, 2.0
        budget = make_window_budget(
            lambda: RetryAllowance(0.0, burst, earned_by_requests=True, window_s=10.0),
            monotonic=lambda: now,
            started_at=0.0,
        )
        self.assertThat(budget.credit, Equals(2.0))
        now, burst = 105.0, 48.0
        self.assertThat(budget.credit, Equals(2.0))

    @given(
        refusal=_REFUSALS,
        idempotent=st.booleans(),
        attempt=st.integers(1, 6),
        left_s=st.floats(-1, 3),
        expected_s=st.floats(0, 2),
    )
    def test_a_retry_is_safe_and_in_time(
        self,
        refusal: Refusal,
        idempotent: bool,
        attempt: int,
        left_s: float,
        expected_s: float,
    ) -> None:
        """Guards against non-idempotent requests that run twice and endless retries."""
        route = _ROUTE._replace(idempotent=idempotent)
        budget = make_retry_budget(burst=1, monotonic=_clock)
        if not may_retry(
            route,
            refusal,
            attempt=attempt,
            now=0.0,
            deadline=left_s,
            expected_s=expected_s,
            budget=budget,
        ):
            return
        self.assertTrue(idempotent or refusal.verdict is Verdict.NOT_RUN)
        self.assertThat(expected_s, LessThan(left_s + 1e-9))
        self.assertNotIn(refusal.reason, NON_RETRYABLE_REASONS)
        self.assertThat(attempt, LessThan(4))
        planned = refusal.reason in BUDGET_FREE_REASONS
        free = planned and refusal.verdict is Verdict.NOT_RUN
        self.assertThat(budget.spent, Equals(0 if free else 1))

    def test_a_lost_answer_is_retried_only_if_idempotent(self) -> None:
        """Guards against refusing safe retries and against unsafe ones."""
        lost = Refusal(Verdict.RAN, Reason.PEER_LOST)
        for idempotent in (True, False):
            retried = may_retry(
                _ROUTE._replace(idempotent=idempotent),
                lost,
                attempt=1,
                now=0.0,
                deadline=1.0,
                expected_s=0.1,
                budget=make_retry_budget(burst=1, monotonic=_clock),
            )
            self.assertThat(retried, Equals(idempotent))

    def test_request_refused_by_a_full_queue_is_retried_once(self) -> None:
        """Guards against a refusal while another target of the pool is free.

        The queue filled up after its owner reported the load.
        """
        refusal = not_run(Reason.DEADLINE)
        allowed = [
            may_retry(
                _ROUTE,
                refusal,
                attempt=attempt,
                possible_runs=0,
                now=0.0,
                deadline=5.0,
                expected_s=0.5,
                budget=make_retry_budget(burst=0, monotonic=_clock),
            )
            for attempt in (1, 2, 3)
        ]
        self.assertThat(allowed, Equals([True, False, False]))

    def test_a_planned_stop_needs_no_budget(self) -> None:
        """Guards against requests lost to a planned stop on routes without retries."""
        budget = make_retry_budget(burst=0, monotonic=_clock)
        refusal = Refusal(Verdict.NOT_RUN, Reason.NODE_LEAVING)
        retried = may_retry(
            _ROUTE._replace(retries=0),
            refusal,
            attempt=1,
            now=0.0,
            deadline=1.0,
            expected_s=0.1,
            budget=budget,
        )
        self.assertThat(retried, Equals(True))

    def test_only_idempotent_short_work_is_hedged(self) -> None:
        """Guards against hedging of non-idempotent or long work."""
        for idempotent, long_work in itertools.product((True, False), repeat=2):
            hedged = may_hedge(
                _ROUTE._replace(idempotent=idempotent),
                long_work=long_work,
                usual_s=0.02,
                running_s=1.0,
                now=0.0,
                deadline=1.0,
                budget=make_retry_budget(monotonic=_clock),
            )
            self.assertThat(hedged, Equals(idempotent and not long_work))


class ServiceTimesTest(testtools.TestCase):
    @given(st.floats(-6, 2), st.floats(0.2, 1.5), st.sampled_from([0.5, 0.75, 0.9]))
    def test_quantiles_of_heavy_tails(
        self, middle: float, sigma: float, share: float
    ) -> None:
        """Guards against an estimate that a few very slow responses distort."""
        random = Random(1)
        values = [random.lognormvariate(middle, sigma) for _ in range(4000)]
        estimate = Quantile(share, step=0.02)
        for value in values:
            estimate.add(value)
        exact = sorted(values)[int(share * len(values))]
        self.assertThat(abs(estimate.value / exact - 1), LessThan(0.5))

    def test_rare_slow_answers_do_not_make_a_route_long(self) -> None:
        """Guards against a mean, which one slow response in fifty raises tenfold."""
        times = make_service_times(monotonic=_clock)
        for i in range(501):
            observe_service_time(times, "short", 10.0 if i % 50 == 0 else 0.02)
            if i % 20 == 0:
                observe_service_time(times, "long", 2.0)
        self.assertThat(is_long_work(times, "short"), Equals(False))
        self.assertThat(is_long_work(times, "long"), Equals(True))
        self.assertThat(is_long_work(times, "unknown"), Equals(False))

    def test_routes_are_compared_within_their_pool(self) -> None:
        """Guards against a slow pool whose ordinary requests all count as long."""
        times = make_service_times(monotonic=_clock)
        for _ in range(100):
            observe_service_time(times, "quick", 0.005, pool="a")
            observe_service_time(times, "steady", 0.5, pool="b")
        self.assertThat(is_long_work(times, "steady"), Equals(False))

    def test_keys_are_bounded(self) -> None:
        """Guards against memory that grows with arbitrary keys."""
        times = make_service_times(monotonic=_clock)
        for i in range(MAX_KEYS + 100):
            observe_service_time(times, str(i), 0.1)
        self.assertThat(len(times.times_by_key), Equals(MAX_KEYS))


class AccountRatesTest(testtools.TestCase):
    @given(
        st.lists(st.tuples(st.floats(0, 0.5), st.sampled_from("ab")), max_size=200),
        st.floats(0.2, 50),
    )
    def test_an_account_stays_within_its_rate(
        self, steps: list[tuple[float, str]], rate: float
    ) -> None:
        """Guards against an account that exceeds the rate in the routes table."""
        now = 0.0
        rates = make_account_rates(monotonic=lambda: now)
        passed: Counter[str] = Counter()
        for gap, account in steps:
            now += gap
            passed[account] += check_rate(rates, "r", account, rate) is None
            # A burst of two seconds, at least one request, plus the rate since then.
            max_requests = max(2 * rate, 1) + rate * now
            self.assertThat(passed[account], LessThan(max_requests + 1 + 1e-6))

    def test_memory_is_bounded(self) -> None:
        """Guards against memory that grows with arbitrary accounts."""
        rates = make_account_rates(monotonic=_clock)
        for i in range(MAX_ACCOUNTS + 500):
            check_rate(rates, "r", str(i), 1.0)
        self.assertThat(len(rates.next_arrival_by_key), Equals(MAX_ACCOUNTS))

    def test_idle_accounts_are_forgotten(self) -> None:
        """Guards against memory kept for accounts that stopped sending."""
        now = 0.0
        rates = make_account_rates(monotonic=lambda: now)
        for i in range(100):
            check_rate(rates, "r", str(i), 10.0)
        now = 60.0
        check_rate(rates, "r", "last", 10.0)
        self.assertThat(len(rates.next_arrival_by_key), Equals(1))
