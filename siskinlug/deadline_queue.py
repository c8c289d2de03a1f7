"""Admission control for one target with an earliest-due-first queue.

Requests wait for as long as they can still finish before their deadline. Those that can
still meet their latency objective go first, by priority and then by due time. A call
that a target makes for a running request is due sooner than new requests, so it passes
them and frees the slot of its parent early.
"""

import asyncio
from bisect import insort
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence
from random import Random

from returns.result import Failure, Result, Success

from siskinlug.admission import Slot, Ticket
from siskinlug.load import LoadReport
from siskinlug.rate_limit import RateLimit, make_rate_limit
from siskinlug.verdict import Reason, Refusal, not_run

MAX_ROUTES = 64
# Share of the usual service time that must remain before the deadline for a request to
# be worth starting.
MIN_SERVICE_TIME_SHARE = 0.5
# A request with at least as many tickets queued before it as there are slots is refused
# on arrival if this multiple of its expected wait makes it late. Waits exceed the
# estimate, since calls that arrive later go first, and since a request that has become
# late is passed by all that are not. Under lasting overload, one refusal in three comes
# only after a long wait at a factor of 1.0, and one in sixteen at 1.6, with as many
# responses in time.
WAIT_MARGIN = 1.6
# A request that is expected to end within this time is not refused for missing its
# objective, since being a little late costs its caller less than a refusal. Calls have
# shorter objectives than this, and their parents wait for them.
MIN_LATENCY_ALLOWANCE_S = 0.75
# Weight of a new sample in the moving average of service times.
_SERVICE_TIME_WEIGHT = 0.15
# A route is long work if its service time exceeds this multiple of the target's mean
# and also this time per slot. Below that, other requests do not wait noticeably even if
# the route occupies all slots.
_LONG_RATIO = 2.5
_MIN_LONG_S_PER_SLOT = 0.25


class _Waiting:
    """A queued ticket."""

    __slots__ = ("future", "since", "ticket", "timer")

    def __init__(
        self,
        ticket: Ticket,
        since: float,
        future: "asyncio.Future[Result[Slot, Refusal]]",
    ) -> None:
        self.ticket = ticket
        self.since = since
        self.future = future
        self.timer: asyncio.TimerHandle | None = None

    @property
    def order(self) -> tuple[int, float, float]:
        """Sort key: priority, due time and arrival time."""
        return self.ticket.priority, self.ticket.due, self.since

    def __lt__(self, other: "_Waiting") -> bool:
        return self.order < other.order


class DeadlineAdmission:
    """Admission control with a queue ordered by due time; see ``open_slot``.

    Attributes:
        slots: Concurrent requests that the target accepts.
        queue: Maximum number of queued requests.
        in_use: Occupied slots.
        count: Refusals by reason code, and the number ``admitted``.
        closed: Reason for refusing all requests, ``None`` while requests are admitted.
        waiting: Queued tickets in order.
        rate_limit: Limit that the target has named, if any.
    """

    def __init__(
        self,
        *,
        target: str,
        slots: int,
        queue: int,
        monotonic: Callable[[], float],
        random: Random,
        rate_limit: RateLimit,
    ) -> None:
        self.rate_limit = rate_limit
        self.target = target
        self.slots = slots
        self.queue = queue
        self.monotonic = monotonic
        self.random = random
        self.in_use = 0
        self.count: Counter[str] = Counter()
        self.closed: Reason | None = None
        self.waiting: list[_Waiting] = []
        self._usual_s_by_route: OrderedDict[str, float] = OrderedDict()
        self._mean_s = 0.0
        # Usual service times of the running requests, and their sum.
        self._usual_s_by_slot: dict[Slot, float] = {}
        self._running_usual_s = 0.0

    async def enter(self, ticket: Ticket) -> Result[Slot, Refusal]:
        """Wait for a slot; prefer ``open_slot``, which also releases it."""
        refusal = self._refuse_on_arrival(ticket)
        if refusal is not None:
            self.count[refusal.reason.value] += 1
            return Failure(refusal)
        now = self.monotonic()
        if not self.waiting and self._may_start(ticket):
            return Success(self._start(ticket, now))
        loop = asyncio.get_running_loop()
        waiting = _Waiting(ticket, now, loop.create_future())
        insort(self.waiting, waiting)
        start_within_s = (
            ticket.deadline
            - MIN_SERVICE_TIME_SHARE * self._usual_service_s(ticket)
            - now
        )
        max_wait_s = max(min(start_within_s, ticket.wait_limit_s), 0.0)
        waiting.timer = loop.call_later(max_wait_s, self._expire, waiting)
        self.dispatch()
        try:
            return await waiting.future
        except asyncio.CancelledError:
            self._withdraw(waiting)
            raise
        finally:
            waiting.timer.cancel()

    def observe_answer(
        self, slot: Slot, status: int | None, service_s: float, shed: bool
    ) -> None:
        """Update the service times with one response."""
        # Errors and lost responses are no samples of service time.
        if shed or status is None or status >= 500:
            return
        self._mean_s += (_SERVICE_TIME_WEIGHT if self._mean_s else 1.0) * (
            service_s - self._mean_s
        )
        route = slot.ticket.route
        usual_s = self._usual_s_by_route.get(route, service_s)
        self._usual_s_by_route[route] = usual_s + _SERVICE_TIME_WEIGHT * (
            service_s - usual_s
        )
        self._usual_s_by_route.move_to_end(route)
        if len(self._usual_s_by_route) > MAX_ROUTES:
            self._usual_s_by_route.popitem(last=False)

    def release(self, slot: Slot) -> None:
        """Free a slot and start queued tickets."""
        self.in_use -= 1
        self._running_usual_s = max(
            self._running_usual_s - self._usual_s_by_slot.pop(slot, 0.0), 0.0
        )
        self.dispatch()

    def dispatch(self) -> None:
        """Start queued tickets while slots are free."""
        while (waiting := self._next_to_start()) is not None:
            self.waiting.remove(waiting)
            self._resolve(
                waiting, Success(self._start(waiting.ticket, self.monotonic()))
            )
        if self.waiting:
            self.rate_limit.wake_when_ready(self.dispatch)

    def apply_rate_limit(self) -> None:
        """Apply a changed limit, and refuse tickets that it leaves too little time."""
        now = self.monotonic()
        kept: list[_Waiting] = []
        for waiting in self.waiting:
            ticket, wait_s = waiting.ticket, self.rate_limit.ready_in_s(len(kept))
            service_s = MIN_SERVICE_TIME_SHARE * self._usual_service_s(ticket)
            if now + wait_s + service_s <= ticket.deadline:
                kept.append(waiting)
            else:
                self._resolve(waiting, Failure(self._limited_refusal(wait_s)))
        self.waiting = kept
        self.dispatch()

    def refuse_queued(self, reason: Reason) -> None:
        """Refuse all queued tickets as not run."""
        queued, self.waiting = self.waiting, []
        for waiting in queued:
            self._resolve(waiting, Failure(not_run(reason)))

    def resize(self, *, slots: int, queue: int) -> None:
        """Apply a changed slot count of the target or a changed pools table."""
        self.slots = slots
        self.queue = queue
        self.dispatch()

    def report(self) -> LoadReport:
        """Return the load report."""
        return LoadReport(
            self.target,
            self.slots,
            self.in_use,
            len(self.waiting),
            self._wait_s(self.waiting) * 1000,
            self._mean_s * 1000,
            max(self.slots - self.in_use, 0),
            self._wait_s(self.waiting) * 1000,
        )

    def estimate_wait_s(self, priority: int, due: float) -> float:
        """Return the expected wait of a request that arrives now, in seconds.

        Queued tickets that will miss their due time are not counted, since the request
        passes them.
        """
        return self._wait_s(self._queued_before(priority, due))

    def _queued_before(self, priority: int, due: float) -> list[_Waiting]:
        """Return the tickets that would start before a request that arrives now."""
        order, now = (priority, due), self.monotonic()
        return [
            waiting
            for waiting in self.waiting
            if waiting.order[:2] <= order
            and now + self._usual_service_s(waiting.ticket) <= waiting.ticket.due
        ]

    def _wait_s(self, ahead: Sequence[_Waiting]) -> float:
        """Return the expected wait behind these queued tickets, in seconds."""
        limit_s = self.rate_limit.ready_in_s(len(ahead))
        if self.in_use < self.slots and not ahead:
            return limit_s
        work_s = sum(self._usual_service_s(waiting.ticket) for waiting in ahead)
        # With n slots in use, one becomes free after about 1/n of the mean service time
        # of the running requests.
        work_s += self._running_usual_s / max(self.in_use, 1)
        return max(work_s / max(self.slots, 1), limit_s)

    def _usual_service_s(self, ticket: Ticket) -> float:
        return self._usual_s_by_route.get(ticket.route, ticket.usual_s)

    def _may_start(self, ticket: Ticket) -> bool:
        """Whether a slot is free; long work leaves the last free one to short work."""
        if self.rate_limit.ready_in_s() > 0:
            return False
        free = self.slots - self.in_use
        if free <= 0 or self.slots == 1:
            return free > 0
        usual_s = self._usual_service_s(ticket)
        min_long_s = _MIN_LONG_S_PER_SLOT * self.slots
        long_work = usual_s > max(_LONG_RATIO * self._mean_s, min_long_s)
        return free > 1 if long_work else True

    def _next_to_start(self) -> _Waiting | None:
        """Return the ticket to start now, if any; those that will be late come last."""
        if self.rate_limit.ready_in_s() > 0:
            return None
        now = self.monotonic()
        first_late: _Waiting | None = None
        for waiting in self.waiting:
            if not self._may_start(waiting.ticket):
                if self.in_use >= self.slots:
                    return None
                continue
            if now + self._usual_service_s(waiting.ticket) <= waiting.ticket.due:
                return waiting
            first_late = first_late or waiting
        return first_late

    def _start(self, ticket: Ticket, now: float) -> Slot:
        self.in_use += 1
        self.count["admitted"] += 1
        slot = Slot(self, ticket, now, charged=self.rate_limit.take())
        self._usual_s_by_slot[slot] = self._usual_service_s(ticket)
        self._running_usual_s += self._usual_s_by_slot[slot]
        return slot

    def _refuse_on_arrival(self, ticket: Ticket) -> Refusal | None:
        if self.closed is not None:
            return not_run(self.closed)
        order = (ticket.priority, ticket.due)
        ahead = self._queued_before(*order)
        wait_s = self._wait_s(ahead)
        usual_s = self._usual_service_s(ticket)
        now = self.monotonic()
        too_late = now + wait_s + MIN_SERVICE_TIME_SHARE * usual_s > ticket.deadline
        if len(ahead) >= self.slots:
            latest_end = max(ticket.due, now + MIN_LATENCY_ALLOWANCE_S)
            too_late |= now + WAIT_MARGIN * wait_s + usual_s > latest_end
        if too_late:
            if 0 < wait_s <= self.rate_limit.ready_in_s(len(ahead)):
                return self._limited_refusal(wait_s)
            return not_run(
                Reason.DEADLINE,
                f"{wait_s:.3f} s expected wait is too long at this target",
                retry_after_s=self._retry_after_s(wait_s),
            )
        starts_now = not self.waiting and self._may_start(ticket)
        if starts_now or len(self.waiting) < self.queue:
            return None
        if self.waiting and self.waiting[-1].order[:2] > order:
            evicted = self.waiting.pop()
            self._resolve(evicted, Failure(self._queue_full_refusal()))
            return None
        return self._queue_full_refusal()

    def _limited_refusal(self, wait_s: float) -> Refusal:
        return not_run(
            Reason.TARGET_LIMITED,
            f"{wait_s:.3f} s until the target's limit allows the request",
            retry_after_s=self._retry_after_s(wait_s),
        )

    def _queue_full_refusal(self) -> Refusal:
        return not_run(
            Reason.QUEUE_FULL,
            f"{len(self.waiting)} requests wait at this target",
            retry_after_s=self._retry_after_s(self._wait_s(self.waiting)),
        )

    def _retry_after_s(self, wait_s: float) -> float:
        # Jitter by a factor of three, so that refused callers do not retry at the same
        # time.
        return max(wait_s, 0.1) * self.random.uniform(0.5, 1.5)

    def _expire(self, waiting: _Waiting) -> None:
        if waiting not in self.waiting:
            return
        self.waiting.remove(waiting)
        waited_s = self.monotonic() - waiting.since
        detail = f"could not start after {waited_s:.3f} s in the queue"
        self._resolve(waiting, Failure(not_run(Reason.QUEUE_TIMEOUT, detail)))

    def _withdraw(self, waiting: _Waiting) -> None:
        """Remove the ticket of a cancelled task, or release the slot it was granted."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)
            self.count[Reason.CANCELLED.value] += 1
        elif waiting.future.done() and not waiting.future.cancelled():
            result = waiting.future.result()
            if isinstance(result, Success):
                result.unwrap().release()

    def _resolve(self, waiting: _Waiting, result: Result[Slot, Refusal]) -> None:
        if waiting.future.done():
            # The task was cancelled in this iteration of the event loop.
            if isinstance(result, Success):
                result.unwrap().release()
            return
        if isinstance(result, Failure):
            self.count[result.failure().reason.value] += 1
        waiting.future.set_result(result)


def make_deadline_admission(
    *,
    target: str,
    slots: int,
    queue: int,
    monotonic: Callable[[], float],
    random: Random | None = None,
    rate_limit: RateLimit | None = None,
) -> DeadlineAdmission:
    """Make the admission control of one target.

    Only the target's owner uses it, so that it counts all requests to the target.

    Args:
        target: Target id.
        slots: Concurrent requests that the target accepts.
        queue: Maximum number of queued requests.
        monotonic: Clock in seconds.
        random: Source of the jitter of Retry-After.
        rate_limit: Limit that the target names; none if ``None``.
    """
    return DeadlineAdmission(
        target=target,
        slots=slots,
        queue=queue,
        monotonic=monotonic,
        random=random or Random(),
        rate_limit=rate_limit or make_rate_limit(monotonic=monotonic),
    )
