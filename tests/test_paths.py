"""Scores of an entry's paths, and the choice of targets by them."""

import asyncio

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, LessThan

from siskinlug.connections import make_connection_pool
from siskinlug.load_balancing import Candidate
from siskinlug.paths import (
    check_path,
    make_paths,
    path_check_after_s,
    penalty_ms,
    record_path_answer,
    record_path_failure,
    usable_candidates,
)


class PathsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.paths = make_paths(monotonic=lambda: self.now)

    @given(
        st.lists(st.tuples(st.integers(0, 12), st.integers(1, 6)), max_size=8),
        st.integers(0, 40),
    )
    def test_floor_is_kept_with_the_lowest_scores(
        self, paths: list, floor_slots: int
    ) -> None:
        """Guards against a partition that leaves an entry no target of a pool."""
        self.paths = make_paths(monotonic=lambda: self.now)
        candidates = []
        for number, (failures, slots) in enumerate(paths):
            candidates.append(Candidate(f"t{number}", f"n{number}", 1, 1.0, slots))
            for _ in range(failures):
                record_path_failure(self.paths, f"n{number}")
        kept = usable_candidates(self.paths, candidates, floor_slots)
        total = sum(c.slots for c in candidates)
        self.assertThat(
            sum(c.slots for c in kept) >= min(floor_slots, total), Equals(True)
        )
        self.assertThat(bool(kept), Equals(bool(candidates)))
        left_out = [c for c in candidates if c not in kept]
        worst = max((penalty_ms(self.paths, c.node) for c in kept), default=0)
        for candidate in left_out:
            self.assertThat(
                penalty_ms(self.paths, candidate.node) >= worst, Equals(True)
            )

    def test_avoided_path_is_tried_again_and_recovers(self) -> None:
        """Guards against a path that stays avoided after a short partition."""
        near, far = (Candidate(f"t{n}", f"n{n}", 1, 1.0, 4) for n in (0, 1))
        for _ in range(50):
            record_path_failure(self.paths, "n1")
        self.assertThat(usable_candidates(self.paths, [near, far], 4), Equals([near]))
        self.now = 12.0
        self.assertThat(
            usable_candidates(self.paths, [near, far], 4), Equals([near, far])
        )
        before = penalty_ms(self.paths, "n1")
        record_path_answer(self.paths, "n1", "browse", 0.01)
        self.assertThat(penalty_ms(self.paths, "n1"), LessThan(before))

    def test_path_is_checked_after_a_multiple_of_the_usual_time(self) -> None:
        """Guards against a silent connection that is noticed only at the deadline."""
        self.assertThat(path_check_after_s(self.paths, "a", 10.0), Equals(10.0))
        for number in range(50):
            record_path_answer(self.paths, "n0", "a", 0.05 + 0.001 * (number % 5))
            record_path_answer(self.paths, "n0", "slow", 2.0)
        self.assertThat(path_check_after_s(self.paths, "a", 10.0), LessThan(1.0))
        self.assertThat(path_check_after_s(self.paths, "slow", 30.0), GreaterThan(4.0))
        self.assertThat(path_check_after_s(self.paths, "a", 0.1), Equals(0.1))

    def test_check_closes_idle_connections_only_if_the_peer_answers(self) -> None:
        """Guards against reuse of idle connections that became silent as well."""
        dropped = []

        async def main(answered: bool) -> bool | None:
            pool = make_connection_pool(monotonic=lambda: self.now)
            pool.close_idle_connections = lambda address: dropped.append(address) or 0

            async def check() -> bool:
                return answered

            return await check_path(
                self.paths, "n0", ("127.0.0.1", 1), check=check, connections=pool
            )

        self.assertThat(asyncio.run(main(False)), Equals(False))
        self.assertThat(dropped, Equals([]))
        self.assertThat(penalty_ms(self.paths, "n0"), GreaterThan(0))
        self.assertThat(asyncio.run(main(True)), Equals(True))
        self.assertThat(dropped, Equals([("127.0.0.1", 1)]))
