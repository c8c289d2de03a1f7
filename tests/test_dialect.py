"""Statuses that callers read as "not run", and the shares of a traffic split."""

from random import Random
from typing import cast

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals, LessThan

from siskinlug.dialect import DEFAULT_DIALECT, Dialect, status_of
from siskinlug.entry import draw_pool
from siskinlug.entry_state import Entry
from siskinlug.tables import Pool, Route, Tables
from siskinlug.verdict import Reason, Refusal, Verdict

STRICT = Dialect(not_run_is_503=True)
# Statuses that every caller reads as "not run".
NOT_RUN_STATUSES = {408, 421, 429, 503}


class StatusTest(testtools.TestCase):
    @given(st.sampled_from(Reason), st.sampled_from(Verdict))
    def test_not_run_status_is_used_only_for_requests_not_run(
        self, reason: Reason, verdict: Verdict
    ) -> None:
        """Guards against a caller that repeats a booking although it may have run."""
        status = status_of(STRICT, Refusal(verdict, reason))
        if verdict is not Verdict.NOT_RUN:
            self.assertThat(status in NOT_RUN_STATUSES, Equals(False))

    @given(st.sampled_from(Reason))
    def test_request_not_run_gets_a_status_that_says_so(self, reason: Reason) -> None:
        """Guards against a request that is not repeated although it was not run."""
        status = status_of(STRICT, Refusal(Verdict.NOT_RUN, reason))
        allowed = NOT_RUN_STATUSES | {400, 404, 413, 431}
        self.assertThat(status in allowed, Equals(True))

    @given(st.sampled_from(Reason), st.sampled_from(Verdict))
    def test_default_dialect_keeps_the_status_of_the_reason(
        self, reason: Reason, verdict: Verdict
    ) -> None:
        """Guards against other statuses for callers that use the default dialect."""
        refusal = Refusal(verdict, reason)
        self.assertThat(status_of(DEFAULT_DIALECT, refusal), Equals(refusal.status))


class _EntryWithRandom:
    def __init__(self) -> None:
        self.random = Random(1)


class SplitTest(testtools.TestCase):
    def test_each_pool_gets_the_share_of_its_weight(self) -> None:
        """Guards against a pool that gets more requests than its weight allows."""
        pools = {name: Pool(name, name) for name in ("a", "b")}
        route = Route("r", "*", "/", (), "a", split={"a": 90.0, "b": 10.0})
        tables = Tables(1, 1, {"r": route}, pools)
        entry = cast(Entry, _EntryWithRandom())
        chosen = [draw_pool(entry, tables, route) for _ in range(3000)]
        # Three standard deviations of a share of 0.1 over 3,000 draws.
        self.assertThat(abs(chosen.count("b") / 3000 - 0.1), LessThan(0.017))

    def test_route_without_weights_goes_to_its_pool(self) -> None:
        """Guards against a random choice among weights that are all zero."""
        pools = {name: Pool(name, name) for name in ("a", "b")}
        route = Route("r", "*", "/", (), "a", split={"b": 0.0})
        tables = Tables(1, 1, {"r": route}, pools)
        entry = cast(Entry, _EntryWithRandom())
        self.assertThat(draw_pool(entry, tables, route), Equals("a"))
