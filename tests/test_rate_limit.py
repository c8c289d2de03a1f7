"""Limits that targets name: one load pattern per test, in virtual time."""

import asyncio
from bisect import bisect_left
from collections.abc import Callable

import testtools
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from testtools.matchers import AllMatch, Equals, GreaterThan, LessThan
from tornado.httputil import HTTPHeaders

from bench.virtual_time import run_virtual
from siskinlug.admission import AdmissionControl, Ticket, make_admission, open_slot
from siskinlug.deadline_queue import make_deadline_admission
from siskinlug.dialect import DEFAULT_DIALECT
from siskinlug.leaving_targets import make_leaving_targets
from siskinlug.rate_limit import (
    MAX_PERMIT_AGE_S,
    MIN_RATE_PER_S,
    RateLimit,
    make_rate_limit,
)
from siskinlug.target_signals import (
    SignalMemory,
    TargetSignals,
    parse_limit,
    read_signals,
    remember_signals,
)
from siskinlug.verdict import Reason, Refusal, Verdict

WINDOW_S = 4.0
MakeControl = Callable[[RateLimit], AdmissionControl]


def _deadline_queue(rate_limit: RateLimit) -> AdmissionControl:
    return make_deadline_admission(
        target="t",
        slots=5,
        queue=64,
        monotonic=rate_limit.monotonic,
        rate_limit=rate_limit,
    )


def _fair_queue(rate_limit: RateLimit) -> AdmissionControl:
    return make_admission(
        target="t",
        slots=5,
        queue=64,
        queue_wait_s=30.0,
        monotonic=rate_limit.monotonic,
        rate_limit=rate_limit,
    )


def _most_in_window(times: list[float]) -> int:
    return max(
        (bisect_left(times, at + WINDOW_S) - n for n, at in enumerate(times)), default=0
    )


class _Outcome:
    """Times of the requests that were sent, and the refusals with their times."""

    def __init__(self) -> None:
        self.sent: list[float] = []
        self.refused: list[tuple[float, Refusal]] = []


async def _send_open_loop(
    control: AdmissionControl,
    outcome: _Outcome,
    *,
    pause_s: float,
    count: int,
    deadline_s: float = 5.0,
) -> None:
    """Send requests of 0.2 s at fixed intervals and wait for all of them."""
    loop = asyncio.get_running_loop()

    async def run(number: int) -> None:
        await asyncio.sleep(number * pause_s)
        now = loop.time()
        ticket = Ticket(
            str(number), "r", "", 1, False, now + deadline_s, now + deadline_s / 2
        )
        async with open_slot(control, ticket) as admitted:
            if not isinstance(admitted, Success):
                outcome.refused.append((loop.time() - now, admitted.failure()))
                return
            slot = admitted.unwrap()
            slot.sent = True
            outcome.sent.append(loop.time())
            await asyncio.sleep(0.2)
            slot.record_outcome(200, 0.2, False)

    await asyncio.gather(*(run(number) for number in range(count)))


class NamedLimitTest(testtools.TestCase):
    def _play(
        self, make_control: MakeControl, limit_per_s: float, **load: float
    ) -> _Outcome:
        async def main() -> _Outcome:
            loop = asyncio.get_running_loop()
            rate_limit = make_rate_limit(monotonic=loop.time)
            rate_limit.name(limit_per_s)
            outcome = _Outcome()
            control = make_control(rate_limit)
            await _send_open_loop(control, outcome, **load)  # type: ignore[arg-type]
            return outcome

        return run_virtual(main())

    def test_steady_overload_is_sent_at_the_named_rate(self) -> None:
        """Load pattern: 20 requests/s for a target that takes 2/s, for 10 s."""
        for make_control in (_deadline_queue, _fair_queue):
            outcome = self._play(make_control, 2.0, pause_s=0.05, count=200)
            # One second of the limit may be sent at once after a pause.
            self.assertThat(_most_in_window(outcome.sent), LessThan(2 * WINDOW_S + 3))
            self.assertThat(len(outcome.sent), GreaterThan(19))
            self.assertThat(len(outcome.sent), LessThan(35))

    def test_requests_that_the_limit_cannot_serve_are_refused_at_once(self) -> None:
        """Load pattern: 60 requests in an instant for a target that takes 1/s."""
        for make_control in (_deadline_queue, _fair_queue):
            outcome = self._play(
                make_control, 1.0, pause_s=0.0, count=60, deadline_s=3.0
            )
            self.assertThat(len(outcome.sent), GreaterThan(1))
            at_once = [refusal for waited_s, refusal in outcome.refused if not waited_s]
            self.assertThat(len(at_once), GreaterThan(50))
            for refusal in at_once:
                self.assertThat(refusal.verdict, Equals(Verdict.NOT_RUN))
                self.assertThat(refusal.reason, Equals(Reason.TARGET_LIMITED))
                self.assertThat(refusal.retry_after_s or 0.0, GreaterThan(0.4))

    def test_refusal_without_a_limit_has_another_reason(self) -> None:
        """Load pattern: a request after its deadline, at a target without a limit."""

        async def main(make_control: MakeControl) -> Reason:
            loop = asyncio.get_running_loop()
            control = make_control(make_rate_limit(monotonic=loop.time))
            ticket = Ticket("a", "r", "", 1, False, loop.time() - 0.1)
            async with open_slot(control, ticket) as admitted:
                return admitted.failure().reason

        for make_control in (_deadline_queue, _fair_queue):
            self.assertThat(run_virtual(main(make_control)), Equals(Reason.DEADLINE))

    def test_requests_below_the_limit_do_not_wait(self) -> None:
        """Load pattern: 2 requests/s for a target that takes 3/s."""
        for make_control in (_deadline_queue, _fair_queue):
            outcome = self._play(make_control, 3.0, pause_s=0.5, count=20)
            self.assertThat(len(outcome.sent), Equals(20))
            expected = [n * 0.5 for n in range(20)]
            waits = [at - e for at, e in zip(outcome.sent, expected, strict=True)]
            # The bucket is empty at the start, which delays the first two.
            self.assertThat(waits[2:], AllMatch(LessThan(0.01)))

    def test_limit_of_zero_leaves_room_to_find_its_end(self) -> None:
        """Load pattern: a target that takes nothing for now."""
        for make_control in (_deadline_queue, _fair_queue):
            outcome = self._play(
                make_control, 0.0, pause_s=1.0, count=60, deadline_s=9.0
            )
            self.assertThat(_most_in_window(outcome.sent), LessThan(3))
            self.assertThat(
                len(outcome.sent), GreaterThan(int(60 * MIN_RATE_PER_S) - 3)
            )

    def test_lowered_limit_refuses_what_waits_in_vain(self) -> None:
        """Load pattern: a full queue when the target lowers its limit."""

        async def main(make_control: MakeControl) -> _Outcome:
            loop = asyncio.get_running_loop()
            rate_limit = make_rate_limit(monotonic=loop.time)
            rate_limit.name(10.0)
            control = make_control(rate_limit)
            outcome = _Outcome()
            load = asyncio.create_task(
                _send_open_loop(control, outcome, pause_s=0.0, count=30)
            )
            await asyncio.sleep(0.5)
            rate_limit.name(1.0)
            control.apply_rate_limit()
            await asyncio.sleep(0)
            refused_at_once = len(outcome.refused)
            self.assertThat(refused_at_once, GreaterThan(15))
            await load
            return outcome

        for make_control in (_deadline_queue, _fair_queue):
            outcome = run_virtual(main(make_control))
            self.assertThat(
                {refusal.reason for _, refusal in outcome.refused},
                Equals({Reason.TARGET_LIMITED}),
            )

    def test_ended_limit_starts_what_waits(self) -> None:
        """Load pattern: a queue when the target takes all requests again."""

        async def main(make_control: MakeControl) -> float:
            loop = asyncio.get_running_loop()
            rate_limit = make_rate_limit(monotonic=loop.time)
            rate_limit.name(1.0)
            control = make_control(rate_limit)
            outcome = _Outcome()
            load = asyncio.create_task(
                _send_open_loop(control, outcome, pause_s=0.0, count=4, deadline_s=9.0)
            )
            await asyncio.sleep(0.5)
            rate_limit.lift()
            control.apply_rate_limit()
            await load
            return loop.time()

        for make_control in (_deadline_queue, _fair_queue):
            self.assertThat(run_virtual(main(make_control)), LessThan(1.1))

    def test_request_that_was_not_sent_is_not_charged(self) -> None:
        """Guards against a limit spent on connections that could not be opened."""

        async def main(make_control: MakeControl) -> None:
            loop = asyncio.get_running_loop()
            rate_limit = make_rate_limit(monotonic=loop.time)
            rate_limit.name(1.0)
            control = make_control(rate_limit)
            await asyncio.sleep(1.0)
            for _ in range(5):
                ticket = Ticket("a", "r", "", 1, False, loop.time() + 0.5)
                async with open_slot(control, ticket) as admitted:
                    self.assertIsInstance(admitted, Success)
            self.assertThat(rate_limit.ready_in_s(), Equals(0.0))

        for make_control in (_deadline_queue, _fair_queue):
            run_virtual(main(make_control))

    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 2.0), st.sampled_from(["send", "name", "unsent", "lift"])
            ),
            max_size=150,
        ),
        st.floats(0.3, 20.0),
    )
    def test_no_window_exceeds_the_limit(
        self, steps: list[tuple[float, str]], limit_per_s: float
    ) -> None:
        """Guards against bursts that add up, whatever comes between them."""
        now = 0.0
        rate_limit = make_rate_limit(monotonic=lambda: now)
        sent: list[float] = []
        since = 0.0
        for pause_s, step in steps:
            now += pause_s
            if step == "name":
                rate_limit.name(limit_per_s)
            elif step == "lift":
                rate_limit.lift()
            elif rate_limit.per_s is None:
                since = now
                sent.clear()
            elif rate_limit.ready_in_s() == 0.0:
                charged = rate_limit.take()
                if step == "send":
                    sent.append(now)
                elif charged:
                    rate_limit.refund()
            in_window = [at for at in sent if at > max(now - WINDOW_S, since)]
            allowed = 1.5 * limit_per_s * WINDOW_S + 5
            self.assertThat(len(in_window), LessThan(allowed + 1))

    def test_one_spoiled_response_ends_no_limit(self) -> None:
        """Guards against a limit that is lost with a garbled or overtaken response."""
        now = 0.0
        rate_limit = make_rate_limit(monotonic=lambda: now)
        rate_limit.name(1.0)
        now = 1.0
        self.assertThat(rate_limit.observe_unlimited(0.5), Equals(False))
        rate_limit.name(1.0)
        self.assertThat(
            [rate_limit.observe_unlimited(at) for at in (0.9, 1.5, 1.6)],
            Equals([False, False, True]),
        )

    def test_permit_from_before_a_pause_of_the_process_expires(self) -> None:
        """Guards against requests admitted before and after a pause that add up."""
        now = 0.0
        rate_limit = make_rate_limit(monotonic=lambda: now)
        self.assertThat(rate_limit.is_expired(-100.0), Equals(False))
        rate_limit.name(1.0)
        self.assertThat(rate_limit.is_expired(now), Equals(False))
        now = MAX_PERMIT_AGE_S + 0.1
        self.assertThat(rate_limit.is_expired(0.0), Equals(True))


class SignalsTest(testtools.TestCase):
    @given(st.text(max_size=40) | st.floats().map(str))
    def test_any_limit_is_read_or_ignored(self, text: str) -> None:
        """Guards against a limit that is not a number of requests per second."""
        limit_per_s = parse_limit(text)
        if limit_per_s is not None:
            self.assertThat(0 <= limit_per_s < float("inf"), Equals(True))

    def test_signals_of_a_response(self) -> None:
        for given_headers, expected in (
            ({}, TargetSignals()),
            ({"Server-Limit": "2.5"}, TargetSignals(True, 2.5)),
            ({"Server-Limit": "many"}, TargetSignals(True, None)),
            ({"Server-Limit": "nan"}, TargetSignals(True, None)),
            ({"Server-Limit": "-1"}, TargetSignals(True, None)),
            ({"server-leaving": "1"}, TargetSignals(leaving=True)),
            ({"Server-Leaving": "0"}, TargetSignals()),
        ):
            signals = read_signals(DEFAULT_DIALECT, HTTPHeaders(given_headers))
            self.assertThat(signals, Equals(expected))

    def test_an_unreadable_limit_ends_no_limit(self) -> None:
        """Guards against a garbled header that takes a limit away."""
        memory = SignalMemory(make_leaving_targets(monotonic=lambda: 0.0))
        target = ("t", 1)
        remember_signals(memory, target, TargetSignals(True, 2.0))
        remember_signals(memory, target, TargetSignals(True, None))
        self.assertThat(memory.limit_by_target.get(target), Equals(2.0))
        remember_signals(memory, target, TargetSignals())
        self.assertThat(memory.limit_by_target.get(target), Equals(None))

    def test_a_leaving_target_is_remembered_until_its_next_incarnation(self) -> None:
        """Guards against a leaving target that one plain response brings back."""
        memory = SignalMemory(make_leaving_targets(monotonic=lambda: 0.0))
        remember_signals(memory, ("t", 1), TargetSignals(leaving=True))
        remember_signals(memory, ("t", 1), TargetSignals())
        self.assertIn(("t", 1), memory.leaving)
        self.assertNotIn(("t", 2), memory.leaving)
