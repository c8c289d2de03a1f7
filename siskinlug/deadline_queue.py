"""Admission to one target for patient callers: slots, and a queue by due time.

Requests wait for as long as they can still finish before their deadline. Those that
can still meet their objective go first, by priority and then by the time they are due,
so that the calls which a target makes for a running request pass the requests that
only begin: they are due sooner, and the slot of their parent is held until then.
"""

import asyncio
from bisect import insort
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence
from random import Random

from returns.result import Failure, Result, Success

from siskinlug.admission import Slot, Ticket
from siskinlug.load import LoadReport
from siskinlug.verdict import Reason, Refusal, not_run

MAX_ROUTES = 64
# Share of its usual time that work must still have to be worth a start.
MIN_SERVICE_TIME_SHARE = 0.5
# A request that finds as many ahead of it as there are slots is refused on arrival if
# this multiple of its expected wait makes it late. Waits are longer than expected where
# calls come in between, and late work is passed by all that can be in time: under
# lasting overload a multiple of 1.0 left one refusal in three until after a long wait,
# and 1.6 one in sixteen, with as many answers in time.
WAIT_MARGIN = 1.6
# Whatever its objective, a request that is expected to end within this time is not
# refused for being late: it costs its caller less than a refusal. The objective of a
# call is shorter than that, and its parent waits on.
MIN_LATENCY_ALLOWANCE_S = 0.75
# Weight of a new answer in a route's usual service time.
_WEIGHT = 0.15
# A route is long work if it takes this many times the mean, and so long that with all
# slots in use by it others would wait for a noticeable time, in seconds for each slot.
_LONG_RATIO = 2.5
_LONG_S_PER_SLOT = 0.25


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
        """Priority, due time and arrival."""
        return self.ticket.priority, self.ticket.due, self.since

    def __lt__(self, other: "_Waiting") -> bool:
        return self.order < other.order


class DeadlineAdmission:
    """State of admission to one target, used like ``Admission``.

    Attributes:
        slots: Requests that the target runs at once.
        queue: Requests that may wait.
        in_use: Slots taken.
        count: Counters by reason code, and of ``admitted``.
    """

    def __init__(
        self,
        *,
        target: str,
        slots: int,
        queue: int,
        monotonic: Callable[[], float],
        random: Random,
    ) -> None:
        self.target = target
        self.slots = slots
        self.queue = queue
        self.monotonic = monotonic
        self.random = random
        self.in_use = 0
        self.count: Counter[str] = Counter()
        self.closed: Reason | None = None
        self.waiting: list[_Waiting] = []
        self._usual_by_route: OrderedDict[str, float] = OrderedDict()
        self._mean_s = 0.0
        # Usual time of what runs, by slot and in all, in seconds.
        self._started_s: dict[Slot, float] = {}
        self._running_s = 0.0

    async def enter(self, ticket: Ticket) -> Result[Slot, Refusal]:
        """Wait for a slot; use ``open_slot``, which also gives it back."""
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
        left_s = ticket.deadline - MIN_SERVICE_TIME_SHARE * self._usual_s(ticket) - now
        longest_s = max(min(left_s, ticket.wait_limit_s), 0.0)
        waiting.timer = loop.call_later(longest_s, self._expire, waiting)
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
        """Learn the service time of one answer."""
        # Errors and lost answers say nothing about service time.
        if shed or status is None or status >= 500:
            return
        self._mean_s += (_WEIGHT if self._mean_s else 1.0) * (service_s - self._mean_s)
        route = slot.ticket.route
        usual_s = self._usual_by_route.get(route, service_s)
        self._usual_by_route[route] = usual_s + _WEIGHT * (service_s - usual_s)
        self._usual_by_route.move_to_end(route)
        if len(self._usual_by_route) > MAX_ROUTES:
            self._usual_by_route.popitem(last=False)

    def release(self, slot: Slot) -> None:
        """Free a slot and start what waits for it."""
        self.in_use -= 1
        self._running_s = max(self._running_s - self._started_s.pop(slot, 0.0), 0.0)
        self.dispatch()

    def dispatch(self) -> None:
        """Start queued tickets while there are slots for them."""
        while (waiting := self._next()) is not None:
            self.waiting.remove(waiting)
            self._settle(
                waiting, Success(self._start(waiting.ticket, self.monotonic()))
            )

    def refuse_queued(self, reason: Reason) -> None:
        """Refuse all that is queued as not run."""
        queued, self.waiting = self.waiting, []
        for waiting in queued:
            self._settle(waiting, Failure(not_run(reason)))

    def resize(self, *, slots: int, queue: int) -> None:
        """Apply changed slots of the target or a changed pools table."""
        self.slots = slots
        self.queue = queue
        self.dispatch()

    def report(self) -> LoadReport:
        """Return the load report for answers."""
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
        """Return the expected wait of a request that came now, in seconds.

        Those that will be late are passed by a request that can be in time.
        """
        return self._wait_s(self._ahead(priority, due))

    def _ahead(self, priority: int, due: float) -> list[_Waiting]:
        """Return what would start before a request that came now."""
        order, now = (priority, due), self.monotonic()
        return [
            waiting
            for waiting in self.waiting
            if waiting.order[:2] <= order
            and now + self._usual_s(waiting.ticket) <= waiting.ticket.due
        ]

    def _wait_s(self, ahead: Sequence[_Waiting]) -> float:
        """Return the expected wait behind some queued tickets, in seconds."""
        if self.in_use < self.slots and not ahead:
            return 0.0
        work_s = sum(self._usual_s(waiting.ticket) for waiting in ahead)
        # A slot of those in use is free after a share of the mean of what runs.
        work_s += self._running_s / max(self.in_use, 1)
        return work_s / max(self.slots, 1)

    def _usual_s(self, ticket: Ticket) -> float:
        return self._usual_by_route.get(ticket.route, ticket.usual_s)

    def _may_start(self, ticket: Ticket) -> bool:
        """Whether a slot is free; long work leaves the last one to others."""
        free = self.slots - self.in_use
        if free <= 0 or self.slots == 1:
            return free > 0
        usual_s = self._usual_s(ticket)
        least_s = _LONG_S_PER_SLOT * self.slots
        long_work = usual_s > max(_LONG_RATIO * self._mean_s, least_s)
        return free > 1 if long_work else True

    def _next(self) -> _Waiting | None:
        """Return the ticket to start now, if any may start."""
        now = self.monotonic()
        late: _Waiting | None = None
        for waiting in self.waiting:
            if not self._may_start(waiting.ticket):
                if self.in_use >= self.slots:
                    return None
                continue
            if now + self._usual_s(waiting.ticket) <= waiting.ticket.due:
                return waiting
            late = late or waiting
        return late

    def _start(self, ticket: Ticket, now: float) -> Slot:
        self.in_use += 1
        self.count["admitted"] += 1
        slot = Slot(self, ticket, now)
        self._started_s[slot] = self._usual_s(ticket)
        self._running_s += self._started_s[slot]
        return slot

    def _refuse_on_arrival(self, ticket: Ticket) -> Refusal | None:
        if self.closed is not None:
            return not_run(self.closed)
        order = (ticket.priority, ticket.due)
        ahead = self._ahead(*order)
        wait_s = self._wait_s(ahead)
        usual_s = self._usual_s(ticket)
        now = self.monotonic()
        too_late = now + wait_s + MIN_SERVICE_TIME_SHARE * usual_s > ticket.deadline
        if len(ahead) >= self.slots:
            latest = max(ticket.due, now + MIN_LATENCY_ALLOWANCE_S)
            too_late |= now + WAIT_MARGIN * wait_s + usual_s > latest
        if too_late:
            return not_run(
                Reason.DEADLINE,
                f"{wait_s:.3f} s expected wait is too long at this target",
                retry_after_s=self._retry_after_s(wait_s),
            )
        starts = not self.waiting and self._may_start(ticket)
        if starts or len(self.waiting) < self.queue:
            return None
        if self.waiting and self.waiting[-1].order[:2] > order:
            last = self.waiting.pop()
            self._settle(last, Failure(self._full()))
            return None
        return self._full()

    def _full(self) -> Refusal:
        return not_run(
            Reason.QUEUE_FULL,
            f"{len(self.waiting)} requests wait at this target",
            retry_after_s=self._retry_after_s(self._wait_s(self.waiting)),
        )

    def _retry_after_s(self, wait_s: float) -> float:
        # Spread over a factor of three, so that refused callers do not return
        # together.
        return max(wait_s, 0.1) * self.random.uniform(0.5, 1.5)

    def _expire(self, waiting: _Waiting) -> None:
        if waiting not in self.waiting:
            return
        self.waiting.remove(waiting)
        waited_s = self.monotonic() - waiting.since
        detail = f"could not start after {waited_s:.3f} s in the queue"
        self._settle(waiting, Failure(not_run(Reason.QUEUE_TIMEOUT, detail)))

    def _withdraw(self, waiting: _Waiting) -> None:
        """Remove a ticket whose task was cancelled, or free the slot it got."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)
            self.count[Reason.CANCELLED.value] += 1
        elif waiting.future.done() and not waiting.future.cancelled():
            result = waiting.future.result()
            if isinstance(result, Success):
                result.unwrap().release()

    def _settle(self, waiting: _Waiting, result: Result[Slot, Refusal]) -> None:
        if waiting.future.done():
            # The task was cancelled in this turn of the loop.
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
) -> DeadlineAdmission:
    """Make the admission of one target; its owner is the only one to use it.

    Args:
        target: Target id.
        slots: Requests the target takes at once.
        queue: Requests that may wait.
        monotonic: Clock in seconds.
        random: Source of the spread of Retry-After.
    """
    return DeadlineAdmission(
        target=target,
        slots=slots,
        queue=queue,
        monotonic=monotonic,
        random=random or Random(),
    )
