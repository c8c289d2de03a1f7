"""Evidence per target and route."""

import random

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, LessThan

from siskinlug.evidence import (
    Evidence,
    Outcome,
    anomaly_scores,
    forget_scope,
    make_evidence,
    record_outcome,
)


class _Target:
    """Requests to one target, ten a second, on a clock of its own."""

    def __init__(self, seed: int = 0) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.evidence: Evidence = make_evidence(monotonic=lambda: self.now)

    def request(
        self,
        route: str = "catalogue",
        *,
        errors: float = 0.001,
        hard: bool = False,
        slow: float = 1.0,
        baseline_s: float | None = 0.02,
    ) -> None:
        self.now += 0.1
        failed = hard or self.random.random() < errors
        service_s = 0.02 * slow * self.random.lognormvariate(0.0, 0.5)
        record_outcome(
            self.evidence, Outcome(route, not failed, hard, service_s, baseline_s)
        )

    def score(self, route: str = "catalogue") -> float:
        return anomaly_scores(self.evidence)[route].score

    def requests_until_alarm(self, route: str = "catalogue", **fault: object) -> int:
        for count in range(1, 1000):
            self.request(**fault)
            if self.score(route) >= 1:
                return count
        return 1000


def _median_delay(**fault: object) -> int:
    delays = []
    for seed in range(41):
        target = _Target(seed)
        for _ in range(300):
            target.request()
        delays.append(target.requests_until_alarm(**fault))
    return sorted(delays)[20]


class EvidenceTest(testtools.TestCase):
    def test_hard_failures_alarm_within_a_second(self) -> None:
        """Guards against a dead target that takes requests for seconds."""
        self.assertThat(_median_delay(hard=True), LessThan(10))

    def test_gray_failures_alarm_within_thirty_requests(self) -> None:
        """Guards against sums that only see a complete failure."""
        self.assertThat(_median_delay(errors=0.2), LessThan(31))
        self.assertThat(_median_delay(slow=5.0), LessThan(31))
        self.assertThat(_median_delay(slow=5.0, baseline_s=None), LessThan(31))

    def test_a_healthy_target_does_not_alarm(self) -> None:
        """Guards against ejections by chance: 100 target hours at 1/s."""
        for seed in range(10):
            target = _Target(seed)
            for _ in range(3600):
                target.request(slow=100.0 if target.random.random() < 0.05 else 1.0)
                self.assertThat(target.score(), LessThan(1))

    def test_slow_like_all_peers_is_not_slow(self) -> None:
        """Guards against overload being taken for a fault of each target."""
        target = _Target()
        for _ in range(500):
            target.request(slow=5.0, baseline_s=0.1)
            self.assertThat(target.score(), LessThan(1))

    def test_one_route_does_not_condemn_the_others(self) -> None:
        """Guards against ejecting a target for a fault in one part of it."""
        target = _Target()
        for _ in range(100):
            target.request("catalogue")
            target.request("bookings", hard=True)
            self.assertThat(target.score("*"), LessThan(1))
        self.assertThat(target.score("bookings"), GreaterThan(1))
        forget_scope(target.evidence, "bookings")
        target.request("catalogue", hard=True)
        self.assertThat(target.score("*"), LessThan(1))

    def test_a_fault_on_many_routes_alarms_for_all(self) -> None:
        """Guards against a dead target ejected route by route."""
        target = _Target()
        routes = ["a", "b", "c", "d", "e"]
        for route in routes * 20:
            target.request(route)
        for route in routes:
            target.request(route, hard=True)
        self.assertThat(target.score("*"), GreaterThan(1))

    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 1e6)), max_size=60))
    def test_scores_are_finite_and_not_negative(self, outcomes: list) -> None:
        """Guards against service times that break the sums."""
        target = _Target()
        for ok, service_s in outcomes:
            record_outcome(target.evidence, Outcome("a", ok, False, service_s, None))
            anomaly = anomaly_scores(target.evidence)["*"]
            self.assertThat(anomaly.score >= 0, Equals(True))
            self.assertThat(anomaly.score, LessThan(1e6))
