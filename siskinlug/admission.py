"""Admission control for one target.

Requests get a slot or wait in a bounded queue that is fair between accounts. The
number of slots in use adapts to the target's load, and long work leaves slots to short
work.
"""

import asyncio
import math
from bisect import insort
from collections import Counter, OrderedDict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import NamedTuple, Protocol

from returns.result import Failure, Result, Success

from siskinlug.load import LoadReport
from siskinlug.rate_limit import RateLimit, make_rate_limit
from siskinlug.service_times import Quantile
from siskinlug.verdict import Reason, Refusal, not_run

# A queue that has not been empty for this long is a standing queue, not a burst
# (Nichols and Jacobson, CoDel, 2012). The bound is five service times where those are
# longer, since the default queue of a target drains in about five service times.
STANDING_AFTER_S = 0.1
STANDING_AFTER_SERVICE_TIMES = 5.0
# Maximum wait in a standing queue, relative to the p99 service time of short work. It
# keeps the p99 of wait plus service within twice the p99 of service alone.
STANDING_WAIT_RATIO = 0.5
STANDING_MIN_ANSWERS = 20
# Requests by which an account may fall behind its share and still catch up: about
# 0.1 s of a target with 6 slots at 20 ms. Without credit, an account that sends no more
# than its share loses every tie for a place in the queue.
MAX_CREDIT_REQUESTS = 32.0
# Maximum number of accounts tracked because their service is ahead of the others.
MAX_ACCOUNTS = 256
MAX_ROUTES = 64
# With fewer than two slots, long work could occupy the whole target.
MIN_LIMIT = 2
LIMIT_FACTOR_ON_SHED = 0.7
LIMIT_FACTOR_ON_SLOW = 0.9
# Ratio of recent to usual service time above which a target counts as slow.
SLOW_RATIO = 2.0
# Averaging window of the demand for short work, which sizes the reserved slots.
DEMAND_WINDOW_S = 2.0
# A target that fails fast always has free slots and would attract requests. The load
# report therefore gives the time to a successful response: the service time divided by
# the share of responses that succeed.
FAILURE_SHARE_WEIGHT = 0.2
FAILURE_HALF_LIFE_S = 1.0
MAX_FAILURE_SHARE = 0.95
MIN_FAILURE_SERVICE_S = 0.01


class Ticket(NamedTuple):
    """Request of one attempt for a slot.

    Attributes:
        attempt: Attempt id.
        route: Route name.
        account: Account for fair queueing.
        priority: 0 is served first, 9 last.
        long_work: Whether the request counts as long work.
        deadline: Time on the monotonic clock after which a response is useless.
        due: Time on the monotonic clock at which the latency objective ends.
        usual_s: Usual service time in seconds, 0 if the entry does not know it.
        wait_limit_s: Wait in seconds after which the entry prefers to select a target
            again.
    """

    attempt: str
    route: str
    account: str
    priority: int
    long_work: bool
    deadline: float
    due: float = math.inf
    usual_s: float = 0.0
    wait_limit_s: float = math.inf


class _RouteTimes:
    """Recent and usual service time of one route at the target."""

    __slots__ = ("recent", "usual")

    def __init__(self) -> None:
        self.recent = Quantile(0.5, step=0.1)
        # Adapts to a fivefold change within about 600 responses, so that the limit
        # recovers after a lasting change.
        self.usual = Quantile(0.5, step=0.005)

    def add(self, service_s: float) -> None:
        self.recent.add(service_s)
        self.usual.add(service_s)


class _Waiting:
    """A queued ticket.

    Attributes:
        ticket: The ticket.
        tag: Start tag of fair queueing, in virtual time.
        since: Time of arrival on the monotonic clock.
        future: Resolved with the slot or a refusal.
        timer: Refuses the ticket after its maximum wait.
    """

    __slots__ = ("future", "since", "tag", "ticket", "timer")

    def __init__(
        self,
        ticket: Ticket,
        tag: float,
        since: float,
        future: "asyncio.Future[Result[Slot, Refusal]]",
    ) -> None:
        self.ticket = ticket
        self.tag = tag
        self.since = since
        self.future = future
        self.timer: asyncio.TimerHandle | None = None

    @property
    def order(self) -> tuple[int, float, float]:
        return self.ticket.priority, self.tag, self.since

    def __lt__(self, other: "_Waiting") -> bool:
        return self.order < other.order


class _FairQueue:
    """Queue ordered by priority, then by start-time fair queueing between accounts.

    Start-time fair queueing (Goyal, Vin and Cheng, 1996) with unit cost: a ticket's
    start tag is the end of the account's previous ticket, but at most
    ``MAX_CREDIT_REQUESTS`` before the virtual time. Accounts with full credit are not
    stored.
    """

    def __init__(self) -> None:
        self.waiting: list[_Waiting] = []
        self.virtual_time = 0.0
        self.next_tag_by_account: OrderedDict[str, float] = OrderedDict()

    def start_tag(self, account: str) -> float:
        """Return the start tag of an account's next ticket, in virtual time."""
        floor = self.virtual_time - MAX_CREDIT_REQUESTS
        return max(self.next_tag_by_account.get(account, floor), floor)

    def charge(self, account: str, tag: float) -> None:
        """Charge an account for one ticket with this start tag."""
        self.next_tag_by_account[account] = tag + 1.0
        self.next_tag_by_account.move_to_end(account)
        if len(self.next_tag_by_account) > MAX_ACCOUNTS:
            ahead = {
                other: next_tag
                for other, next_tag in self.next_tag_by_account.items()
                if next_tag > self.virtual_time
            }
            self.next_tag_by_account = OrderedDict(ahead)
        while len(self.next_tag_by_account) > MAX_ACCOUNTS:
            self.next_tag_by_account.popitem(last=False)

    def refund(self, account: str) -> None:
        """Undo the charge for a ticket that was not run."""
        if account in self.next_tag_by_account:
            self.next_tag_by_account[account] -= 1.0

    def push(self, waiting: _Waiting) -> None:
        """Queue a ticket and charge its account."""
        insort(self.waiting, waiting)
        self.charge(waiting.ticket.account, waiting.tag)

    def pop(self) -> _Waiting:
        """Remove the first ticket and advance the virtual time to its start tag."""
        waiting = self.waiting.pop(0)
        self.virtual_time = max(self.virtual_time, waiting.tag)
        return waiting

    def remove(self, waiting: _Waiting) -> bool:
        """Remove a ticket and refund its account; return whether it was queued."""
        try:
            self.waiting.remove(waiting)
        except ValueError:
            return False
        self.refund(waiting.ticket.account)
        return True


class AdmissionControl(Protocol):
    """Interface of admission control for one target.

    Attributes:
        closed: Reason for refusing all requests, ``None`` while requests are admitted.
        rate_limit: Limit that the target has named, if any.
    """

    closed: Reason | None
    rate_limit: RateLimit

    async def enter(self, ticket: Ticket) -> "Result[Slot, Refusal]":
        """Wait for a slot."""

    def observe_answer(
        self, slot: "Slot", status: int | None, service_s: float, shed: bool
    ) -> None:
        """Update limits and service times with the outcome of one attempt."""

    def release(self, slot: "Slot") -> None:
        """Free a slot."""

    def refuse_queued(self, reason: Reason) -> None:
        """Refuse all queued tickets as not run."""

    def apply_rate_limit(self) -> None:
        """Apply a changed limit, and refuse tickets that it leaves too little time."""

    def report(self) -> LoadReport:
        """Return the load report."""

    def estimate_wait_s(self, priority: int, due: float) -> float:
        """Return the expected wait of a request that arrives now, in seconds."""


class Slot:
    """A slot of the target, held while one attempt runs.

    Attributes:
        started: When the slot was granted, monotonic seconds.
        charged: Whether the request counts against a rate limit of the target.
        sent: Whether the request was sent; if not, it is not charged in the end.
    """

    def __init__(
        self,
        admission: "AdmissionControl",
        ticket: Ticket,
        started: float,
        *,
        charged: bool = False,
    ) -> None:
        self.admission = admission
        self.ticket = ticket
        self.started = started
        self.charged = charged
        self.sent = False
        self._held = True

    def record_outcome(self, status: int | None, service_s: float, shed: bool) -> None:
        """Record how the attempt ended.

        Args:
            status: HTTP status of the response, ``None`` if there was none.
            service_s: Time at the target in seconds.
            shed: Whether the target refused the request because of load.
        """
        self.admission.observe_answer(self, status, service_s, shed)

    def release(self) -> None:
        """Free the slot; further calls do nothing."""
        if self._held:
            self._held = False
            if self.charged and not self.sent:
                self.admission.rate_limit.refund()
            self.admission.release(self)


class Admission:
    """Admission control with fair queueing and an adaptive limit; see ``open_slot``.

    Attributes:
        slots: Slots that the target announced, capped by the pools table.
        queue: Maximum number of queued requests.
        queue_wait_s: Maximum wait in the queue, in seconds.
        limit: Adaptive limit of slots in use; fractional.
        in_use: Occupied slots.
        long_in_use: Slots occupied by long work.
        count: Refusals by reason code, and the number ``admitted``.
        closed: Reason for refusing all requests, ``None`` while requests are admitted.
        rate_limit: Limit that the target has named, if any.
    """

    def __init__(
        self,
        *,
        target: str,
        slots: int,
        queue: int,
        queue_wait_s: float,
        monotonic: Callable[[], float],
        random: Random,
        rate_limit: RateLimit,
    ) -> None:
        self.rate_limit = rate_limit
        self.target = target
        self.slots = slots
        self.queue = queue
        self.queue_wait_s = queue_wait_s
        self.monotonic = monotonic
        self.random = random
        self.in_use = 0
        self.long_in_use = 0
        self.count: Counter[str] = Counter()
        self.closed: Reason | None = None
        # A target that has just started may still be filling its caches.
        self.limit = float(max(self.min_limit, math.ceil(slots / 2)))
        # A class of work is keyed by ``long_work``.
        self._queue_by_class = {False: _FairQueue(), True: _FairQueue()}
        self._times_by_route: OrderedDict[str, _RouteTimes] = OrderedDict()
        self._p50 = Quantile(0.5, step=0.02)
        self._p99 = Quantile(0.99, step=0.05)
        self._mean_s_by_class = {False: 0.0, True: 0.0}
        self._lowered_at = monotonic()
        self._queue_emptied_at = -math.inf
        self._busy_since = monotonic()
        self._demand = 0.0
        self._demand_at = monotonic()
        self._failure_share = 0.0
        self._failure_share_at = monotonic()

    @property
    def min_limit(self) -> int:
        """Lower bound of the adaptive limit."""
        return min(MIN_LIMIT, self.slots)

    @property
    def slot_limit(self) -> int:
        """Number of slots that may be in use now."""
        return max(min(int(self.limit), self.slots), 0)

    @property
    def queued(self) -> int:
        """Number of queued tickets."""
        return sum(len(q.waiting) for q in self._queue_by_class.values())

    @property
    def reserved_slots(self) -> int:
        """Slots that long work must leave to short work.

        The reserve grows with the demand for short work. With a limit of two or more
        it is at least one slot and leaves at least one to long work. The margin above
        the average demand is dropped while long work waits longer than its mean
        service time.
        """
        if self.slot_limit <= 1:
            return 0
        needed = self._demand + math.sqrt(self._demand)
        queue = self._queue_by_class[True].waiting
        if queue and self.monotonic() - queue[0].since > self._mean_s_by_class[True]:
            needed = self._demand
        return min(max(math.floor(needed + 0.5), 1), self.slot_limit - 1)

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Return the expected wait of a ticket that arrives now, in seconds."""
        queue = self._queue_by_class[ticket.long_work]
        if self._may_start(ticket.long_work) and not queue.waiting:
            return 0.0
        order = (ticket.priority, queue.start_tag(ticket.account), math.inf)
        ahead = sum(1 for waiting in queue.waiting if waiting.order < order)
        return self._wait_s(ticket.long_work, ahead)

    def _wait_s(self, long_work: bool, ahead: int) -> float:
        """Return the wait behind ``ahead`` tickets of one class, in seconds."""
        if ahead == 0 and self._may_start(long_work):
            return 0.0
        limit_s = self.rate_limit.ready_in_s(ahead)
        available_slots = self.slot_limit - (
            self.reserved_slots if long_work else self.long_in_use
        )
        mean_s = self._mean_s_by_class[long_work]
        return max((ahead + 1) * mean_s / max(available_slots, 1), limit_s)

    def max_wait_s(self) -> float:
        """Return the maximum wait in the queue at present, in seconds."""
        mean_s = self._mean_s_by_class[False]
        after_s = max(STANDING_AFTER_S, STANDING_AFTER_SERVICE_TIMES * mean_s)
        if (
            self._p99.count < STANDING_MIN_ANSWERS
            or self.monotonic() - self._busy_since < after_s
        ):
            return self.queue_wait_s
        # The first ticket in the queue of a single slot waits one mean service time. A
        # shorter maximum would leave that slot idle between arrivals.
        return min(
            self.queue_wait_s, max(self._p99.value * STANDING_WAIT_RATIO, mean_s)
        )

    async def enter(self, ticket: Ticket) -> Result[Slot, Refusal]:
        """Wait for a slot; prefer ``open_slot``, which also releases it."""
        refusal = self._refuse_on_arrival(ticket)
        if refusal is not None:
            self.count[refusal.reason.value] += 1
            return Failure(refusal)
        now = self.monotonic()
        queue = self._queue_by_class[ticket.long_work]
        if not queue.waiting and self._may_start(ticket.long_work):
            tag = queue.start_tag(ticket.account)
            queue.charge(ticket.account, tag)
            queue.virtual_time = max(queue.virtual_time, tag)
            return Success(self._start(ticket, now))
        self._update_demand()
        loop = asyncio.get_running_loop()
        waiting = _Waiting(
            ticket, queue.start_tag(ticket.account), now, loop.create_future()
        )
        # Stale tickets are refused together, so the queue of an overloaded target is
        # empty at times. A short gap does not end a standing queue.
        if (
            not self.queued
            and now - self._queue_emptied_at > self._mean_s_by_class[False]
        ):
            self._busy_since = now
        queue.push(waiting)
        max_wait_s = min(self.queue_wait_s, max(ticket.deadline - now, 0.0))
        waiting.timer = loop.call_later(max_wait_s, self._expire, waiting)
        self.rate_limit.wake_when_ready(self.dispatch)
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
        """Adapt the limit and the service times to one response."""
        failed = shed or status is None or status >= 500
        self._failure_share = self._current_failure_share()
        self._failure_share += FAILURE_SHARE_WEIGHT * (failed - self._failure_share)
        self._failure_share_at = self.monotonic()
        if shed:
            self._lower_limit(slot, LIMIT_FACTOR_ON_SHED)
            return
        # Errors and lost responses are no samples of service time: a target that fails
        # fast would look fast and attract more work.
        if status is None or status >= 500:
            return
        mean_s = self._mean_s_by_class[slot.ticket.long_work]
        weight = 0.05 if mean_s else 1.0
        self._mean_s_by_class[slot.ticket.long_work] += weight * (service_s - mean_s)
        if slot.ticket.long_work:
            return
        self._p50.add(service_s)
        self._p99.add(service_s)
        times = self._times_by_route.get(slot.ticket.route)
        if times is None:
            times = self._times_by_route[slot.ticket.route] = _RouteTimes()
            if len(self._times_by_route) > MAX_ROUTES:
                self._times_by_route.popitem(last=False)
        self._times_by_route.move_to_end(slot.ticket.route)
        times.add(service_s)
        if times.recent.value > SLOW_RATIO * times.usual.value:
            self._lower_limit(slot, LIMIT_FACTOR_ON_SLOW)
        else:
            self.limit = min(self.limit + 1.0 / max(self.limit, 1.0), self.slots)

    def release(self, slot: Slot) -> None:
        """Free a slot and start queued tickets."""
        self._update_demand()
        self.in_use -= 1
        self.long_in_use -= slot.ticket.long_work
        self.dispatch()

    def dispatch(self) -> None:
        """Start queued tickets while slots are free."""
        while (queue := self._next_queue_to_start()) is not None:
            self._update_demand()
            waiting = queue.pop()
            now = self.monotonic()
            refusal = self._refuse_on_start(waiting, now)
            if refusal is not None:
                queue.refund(waiting.ticket.account)
                self._resolve(waiting, Failure(refusal))
            else:
                self._resolve(waiting, Success(self._start(waiting.ticket, now)))
        if self.queued:
            self.rate_limit.wake_when_ready(self.dispatch)

    def apply_rate_limit(self) -> None:
        """Apply a changed limit, and refuse tickets that it leaves too little time."""
        now = self.monotonic()
        ahead = 0
        for queue in self._queue_by_class.values():
            for waiting in list(queue.waiting):
                ticket, wait_s = waiting.ticket, self.rate_limit.ready_in_s(ahead)
                if now + wait_s + self._usual_service_s(ticket) <= ticket.deadline:
                    ahead += 1
                elif queue.remove(waiting):
                    self._resolve(waiting, Failure(self._limited_refusal(wait_s)))
        self.dispatch()

    def refuse_queued(self, reason: Reason) -> None:
        """Refuse all queued tickets as not run."""
        self._update_demand()
        for queue in self._queue_by_class.values():
            while queue.waiting:
                waiting = queue.waiting.pop()
                queue.refund(waiting.ticket.account)
                self._resolve(waiting, Failure(not_run(reason)))

    def _may_start(self, long_work: bool) -> bool:
        """Whether a slot is available to this class of work."""
        if self.rate_limit.ready_in_s() > 0:
            return False
        if self.in_use >= self.slot_limit:
            # The limit may fall below the slots that long work already occupies. One
            # request of short work may still start.
            only_long_work = self.in_use == self.long_in_use
            return not long_work and only_long_work and 0 < self.in_use < self.slots
        return not long_work or self.long_in_use < self.slot_limit - self.reserved_slots

    def _start(self, ticket: Ticket, now: float) -> Slot:
        self._update_demand()
        self.in_use += 1
        self.long_in_use += ticket.long_work
        self.count["admitted"] += 1
        return Slot(self, ticket, now, charged=self.rate_limit.take())

    def _next_queue_to_start(self) -> _FairQueue | None:
        """Return the queue whose first ticket may start next, if any."""
        heads = [
            (queue.waiting[0].ticket.priority, self._class_rank(long_work), queue)
            for long_work, queue in self._queue_by_class.items()
            if queue.waiting and self._may_start(long_work)
        ]
        return min(heads, key=lambda head: head[:2])[2] if heads else None

    def _class_rank(self, long_work: bool) -> int:
        # Long work goes first while none runs, or short work that fills the target
        # would starve it.
        if long_work:
            return 0 if self.long_in_use == 0 else 2
        return 1

    def _refuse_on_arrival(self, ticket: Ticket) -> Refusal | None:
        if self.closed is not None:
            return not_run(self.closed)
        now = self.monotonic()
        wait_s = self.expected_wait_s(ticket)
        limited = 0 < wait_s <= self.rate_limit.ready_in_s(self.queued)
        if now + wait_s + self._usual_service_s(ticket) > ticket.deadline:
            if limited:
                return self._limited_refusal(wait_s)
            return not_run(
                Reason.DEADLINE, "cannot finish before the deadline at this target"
            )
        queue = self._queue_by_class[ticket.long_work]
        if self._may_start(ticket.long_work) and not queue.waiting:
            return None
        long_wait = not ticket.long_work and wait_s > self.max_wait_s()
        if self.queued < self.queue and not long_wait:
            return None
        if self._evict_for(ticket, queue):
            return None
        return not_run(
            Reason.QUEUE_FULL,
            f"{self.queued} requests wait at this target",
            retry_after_s=self._retry_after_s(wait_s),
        )

    def _limited_refusal(self, wait_s: float) -> Refusal:
        return not_run(
            Reason.TARGET_LIMITED,
            f"{wait_s:.3f} s until the target's limit allows the request",
            retry_after_s=self._retry_after_s(wait_s),
        )

    def _evict_for(self, ticket: Ticket, queue: _FairQueue) -> bool:
        """Evict a queued ticket if the arriving one takes precedence over it.

        Returns:
            Whether a ticket was evicted.
        """
        other = self._queue_by_class[not ticket.long_work]
        if (
            queue.waiting
            and (ticket.priority, queue.start_tag(ticket.account))
            < (queue.waiting[-1].order[:2])
        ):
            self._evict(queue)
            return True
        # Each class may occupy half of the queue. Otherwise one could fill it, and the
        # other would be refused while slots for it are free or reserved.
        if (
            self.queued >= self.queue
            and len(queue.waiting) < len(other.waiting)
            and ticket.priority <= other.waiting[-1].ticket.priority
        ):
            self._evict(other)
            return True
        return False

    def _evict(self, queue: _FairQueue) -> None:
        last = queue.waiting[-1]
        queue.remove(last)
        refusal = not_run(
            Reason.QUEUE_FULL,
            "displaced by an account below its share, a request of higher priority or"
            " the other class of work",
            retry_after_s=self._retry_after_s(self.expected_wait_s(last.ticket)),
        )
        self._resolve(last, Failure(refusal))

    def _refuse_on_start(self, waiting: _Waiting, now: float) -> Refusal | None:
        if now + self._usual_service_s(waiting.ticket) > waiting.ticket.deadline:
            return not_run(
                Reason.DEADLINE, "could no longer finish before the deadline"
            )
        waited_s = now - waiting.since
        # Refusing the last queued ticket would leave the slot idle.
        is_last = not self._queue_by_class[waiting.ticket.long_work].waiting
        if waiting.ticket.long_work or is_last:
            return None
        if waited_s > self.max_wait_s():
            return not_run(
                Reason.QUEUE_TIMEOUT,
                f"waited {waited_s:.3f} s in a standing queue",
                retry_after_s=self._retry_after_s(waited_s),
            )
        return None

    def _expire(self, waiting: _Waiting) -> None:
        queue = self._queue_by_class[waiting.ticket.long_work]
        self._update_demand()
        if not queue.remove(waiting):
            return
        waited_s = self.monotonic() - waiting.since
        deadline_passed = self.monotonic() >= waiting.ticket.deadline
        reason = Reason.DEADLINE if deadline_passed else Reason.QUEUE_TIMEOUT
        refusal = not_run(
            reason,
            f"waited {waited_s:.3f} s in the queue",
            retry_after_s=self._retry_after_s(waited_s),
        )
        self._resolve(waiting, Failure(refusal))

    def _withdraw(self, waiting: _Waiting) -> None:
        """Remove the ticket of a cancelled task, or release the slot it was granted."""
        self._update_demand()
        if self._queue_by_class[waiting.ticket.long_work].remove(waiting):
            if not self.queued:
                self._queue_emptied_at = self.monotonic()
            self.count[Reason.CANCELLED.value] += 1
            return
        if waiting.future.done() and not waiting.future.cancelled():
            result = waiting.future.result()
            if isinstance(result, Success):
                result.unwrap().release()

    def _resolve(self, waiting: _Waiting, result: Result[Slot, Refusal]) -> None:
        if not self.queued:
            self._queue_emptied_at = self.monotonic()
        if waiting.future.done():
            # The task was cancelled in this iteration of the event loop.
            if isinstance(result, Success):
                result.unwrap().release()
            return
        if isinstance(result, Failure):
            self.count[result.failure().reason.value] += 1
        waiting.future.set_result(result)

    def _lower_limit(self, slot: Slot, factor: float) -> None:
        # Requests that started before the last decrease do not show its effect.
        if slot.started < self._lowered_at:
            return
        self._lowered_at = self.monotonic()
        self.limit = max(self.limit * factor, float(self.min_limit))

    def _current_failure_share(self) -> float:
        """Return the share of recent responses that failed; it decays over time."""
        age_s = self.monotonic() - self._failure_share_at
        return self._failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def _usual_service_s(self, ticket: Ticket) -> float:
        times = self._times_by_route.get(ticket.route)
        return times.usual.value if times is not None else 0.0

    def _update_demand(self) -> None:
        """Update the moving average of the short work running and queued."""
        now = self.monotonic()
        weight = 1.0 - math.exp((self._demand_at - now) / DEMAND_WINDOW_S)
        short = self.in_use - self.long_in_use
        short += len(self._queue_by_class[False].waiting)
        self._demand += weight * (short - self._demand)
        self._demand_at = now

    def _retry_after_s(self, wait_s: float) -> float:
        # Jitter by a factor of three, so that refused callers do not retry at the same
        # time.
        return max(wait_s, 0.1) * self.random.uniform(0.5, 1.5)

    def estimate_wait_s(self, _priority: int, _due: float) -> float:
        """Return the expected wait of short work behind the whole queue, in seconds."""
        return self._wait_s(False, len(self._queue_by_class[False].waiting))

    def report(self) -> LoadReport:
        """Return the load report."""
        # Entries select targets for all accounts, so the whole queue counts.
        wait_s, long_wait_s = (
            self._wait_s(long_work, len(queue.waiting))
            for long_work, queue in self._queue_by_class.items()
        )
        failure_share = self._current_failure_share()
        service_s = self._p50.value
        if failure_share > 0:
            service_s = max(service_s, MIN_FAILURE_SERVICE_S * failure_share)
        long_free = self.slot_limit - self.reserved_slots - self.long_in_use
        return LoadReport(
            self.target,
            self.slot_limit,
            self.in_use,
            self.queued,
            wait_s * 1000,
            service_s / (1.0 - min(failure_share, MAX_FAILURE_SHARE)) * 1000,
            max(min(long_free, self.slot_limit - self.in_use), 0),
            long_wait_s * 1000,
        )


def make_admission(
    *,
    target: str,
    slots: int,
    queue: int,
    queue_wait_s: float,
    monotonic: Callable[[], float],
    random: Random | None = None,
    rate_limit: RateLimit | None = None,
) -> Admission:
    """Make the admission control of one target.

    Only the target's owner uses it, so that it counts all requests to the target.

    Args:
        target: Target id.
        slots: Concurrent requests that the target accepts.
        queue: Maximum number of queued requests.
        queue_wait_s: Maximum wait in seconds.
        monotonic: Clock in seconds.
        random: Source of the jitter of Retry-After.
        rate_limit: Limit that the target names; none if ``None``.
    """
    return Admission(
        target=target,
        slots=slots,
        queue=queue,
        queue_wait_s=queue_wait_s,
        monotonic=monotonic,
        random=random or Random(),
        rate_limit=rate_limit or make_rate_limit(monotonic=monotonic),
    )


@asynccontextmanager
async def open_slot(
    admission: AdmissionControl, ticket: Ticket
) -> AsyncIterator[Result[Slot, Refusal]]:
    """Wait for a slot and hold it for the body of the ``async with``.

    Cancelling the waiting task removes its ticket from the queue.

    Args:
        admission: The target's admission control.
        ticket: The request for a slot.

    Yields:
        The slot, or a refusal with the verdict that the attempt was not run.
    """
    result = await admission.enter(ticket)
    try:
        yield result
    finally:
        if isinstance(result, Success):
            result.unwrap().release()


def load_report(admission: AdmissionControl) -> LoadReport:
    """Return the load report of this target."""
    return admission.report()


def close(admission: AdmissionControl, reason: Reason = Reason.NODE_LEAVING) -> None:
    """Refuse all queued and all further requests as not run.

    Running attempts continue. Used for a planned stop, a target that is leaving and an
    expired lease.
    """
    admission.closed = reason
    admission.rate_limit.cancel_wake()
    admission.refuse_queued(reason)


def reopen(admission: AdmissionControl) -> None:
    """Admit requests again, after an expired lease was renewed."""
    admission.closed = None


def resize(
    admission: Admission, *, slots: int, queue: int, queue_wait_s: float
) -> None:
    """Apply a changed slot count of the target or a changed pools table."""
    admission.slots = slots
    admission.limit = min(admission.limit, float(slots))
    admission.queue = queue
    admission.queue_wait_s = queue_wait_s
    admission.dispatch()
