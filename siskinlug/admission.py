"""Admission to one target: slots, bounded queue, fair shares, adaptive limit."""

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
from siskinlug.service_times import Quantile
from siskinlug.verdict import Reason, Refusal, not_run

# A queue that has not been empty for this long is standing, not a burst (Nichols and
# Jacobson, CoDel, 2012). The default queue of a target drains in about five service
# times, so slow work gets as many.
STANDING_AFTER_S = 0.1
STANDING_AFTER_SERVICES = 5.0
# Longest wait in a standing queue, relative to the p99 of short service times: the
# p99 of wait and service together then stays within twice that of service alone.
STANDING_WAIT_RATIO = 0.5
STANDING_MIN_ANSWERS = 20
# Requests by which an account may fall behind its share and still catch up: about
# 0.1 s of a target of 6 slots at 20 ms. Without
# it an account that sends no more than its share loses every tie for a queue place.
CREDIT = 32.0
# Accounts whose service is ahead of the others; all others need no memory.
MAX_ACCOUNTS = 256
MAX_ROUTES = 64
# A target's limit never goes below two slots, or long work could hold all of it.
LIMIT_MIN = 2
SHED_FACTOR = 0.7
SLOW_FACTOR = 0.9
# Recent over usual service time above which the target counts as slow.
SLOW_RATIO = 2.0
# Time over which demand for short work is averaged to size the reserve.
DEMAND_S = 2.0
# A target that fails at once always has free slots. Its report therefore gives the
# time to a useful answer: the service time divided by the share of good answers.
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_S = 1.0
FAILURE_MOST = 0.95
FAILURE_SERVICE_MIN_S = 0.01


class Ticket(NamedTuple):
    """One attempt that asks for a slot.

    Attributes:
        attempt: Attempt id.
        route: Route name.
        account: Account that shares are kept for.
        priority: 0 is served first, 9 last.
        long_work: Whether the request counts as long work.
        deadline: Deadline on the monotonic clock.
        due: Time until which an answer is of full use, on the same clock.
        usual_s: Usual service time as far as the entry knows, in seconds.
        wait_limit_s: Longest wait after which the entry would rather choose again, in
            seconds.
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
        # Forgets a factor of five in about 600 answers, so that a lasting change
        # becomes the usual and the limit recovers.
        self.usual = Quantile(0.5, step=0.005)

    def add(self, service_s: float) -> None:
        self.recent.add(service_s)
        self.usual.add(service_s)


class _Waiting:
    """A queued ticket."""

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
    """Queue by priority, then by start-time fair queueing between accounts.

    Start-time fair queueing (Goyal, Vin and Cheng, 1996) with unit cost: a ticket's
    tag is the account's next start, but no more than ``CREDIT`` before the virtual
    time. Accounts with the whole credit need no memory.
    """

    def __init__(self) -> None:
        self.waiting: list[_Waiting] = []
        self.virtual = 0.0
        self.next_by_account: OrderedDict[str, float] = OrderedDict()

    def tag(self, account: str) -> float:
        floor = self.virtual - CREDIT
        return max(self.next_by_account.get(account, floor), floor)

    def charge(self, account: str, tag: float) -> None:
        """Count one ticket of an account from its tag on."""
        self.next_by_account[account] = tag + 1.0
        self.next_by_account.move_to_end(account)
        if len(self.next_by_account) > MAX_ACCOUNTS:
            ahead = {a: n for a, n in self.next_by_account.items() if n > self.virtual}
            self.next_by_account = OrderedDict(ahead)
        while len(self.next_by_account) > MAX_ACCOUNTS:
            self.next_by_account.popitem(last=False)

    def refund(self, account: str) -> None:
        """Take back the charge of a ticket that was not run."""
        if account in self.next_by_account:
            self.next_by_account[account] -= 1.0

    def push(self, waiting: _Waiting) -> None:
        insort(self.waiting, waiting)
        self.charge(waiting.ticket.account, waiting.tag)

    def pop(self) -> _Waiting:
        waiting = self.waiting.pop(0)
        self.virtual = max(self.virtual, waiting.tag)
        return waiting

    def remove(self, waiting: _Waiting) -> bool:
        try:
            self.waiting.remove(waiting)
        except ValueError:
            return False
        self.refund(waiting.ticket.account)
        return True


class AdmissionControl(Protocol):
    """What a slot and its users need of an admission."""

    closed: Reason | None

    async def enter(self, ticket: Ticket) -> "Result[Slot, Refusal]":
        """Wait for a slot."""

    def observe_answer(
        self, slot: "Slot", status: int | None, service_s: float, shed: bool
    ) -> None:
        """Learn from one answer."""

    def release(self, slot: "Slot") -> None:
        """Free a slot."""

    def refuse_queued(self, reason: Reason) -> None:
        """Refuse all that is queued as not run."""

    def report(self) -> LoadReport:
        """Return the load report."""

    def estimate_wait_s(self, priority: int, due: float) -> float:
        """Return the expected wait of a request that came now, in seconds."""


class Slot:
    """A slot of the target, held while one attempt runs."""

    def __init__(
        self, admission: "AdmissionControl", ticket: Ticket, started: float
    ) -> None:
        self.admission = admission
        self.ticket = ticket
        self.started = started
        self._held = True

    def record_outcome(self, status: int | None, service_s: float, shed: bool) -> None:
        """Report how the attempt ended; feeds the adaptive limit.

        Args:
            status: HTTP status of the answer, ``None`` if there was none.
            service_s: Time at the target in seconds.
            shed: Whether the target refused the request for load.
        """
        self.admission.observe_answer(self, status, service_s, shed)

    def release(self) -> None:
        """Give the slot back, once."""
        if self._held:
            self._held = False
            self.admission.release(self)


class Admission:
    """State of admission to one target; see ``open_slot``.

    Attributes:
        slots: Slots that the target announced, capped by the pools table.
        limit: Slots used now, as adapted; fractional between steps.
        in_use: Slots taken.
        long_in_use: Slots taken by long work.
        count: Counters by reason code, and of ``admitted``.
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
    ) -> None:
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
        # A target that has just started may still be loading its caches.
        self.limit = float(max(self.limit_min, math.ceil(slots / 2)))
        self._queue_by_class = {False: _FairQueue(), True: _FairQueue()}
        self._times_by_route: OrderedDict[str, _RouteTimes] = OrderedDict()
        self._p50 = Quantile(0.5, step=0.02)
        self._p99 = Quantile(0.99, step=0.05)
        self._mean_by_class = {False: 0.0, True: 0.0}
        self._lowered = monotonic()
        self._queue_emptied = -math.inf
        self._busy_since = monotonic()
        self._demand = 0.0
        self._demand_at = monotonic()
        self._failing = 0.0
        self._failing_at = monotonic()

    @property
    def limit_min(self) -> int:
        """The lowest limit."""
        return min(LIMIT_MIN, self.slots)

    @property
    def slot_limit(self) -> int:
        """Whole slots that may be in use now."""
        return max(min(int(self.limit), self.slots), 0)

    @property
    def queued(self) -> int:
        """Tickets waiting."""
        return sum(len(q.waiting) for q in self._queue_by_class.values())

    @property
    def reserved_slots(self) -> int:
        """Slots that long work must leave free.

        At least one where there are two, and more as short work needs them, but
        long work always keeps one. The allowance above the average demand is given
        up while long work waits longer than it runs.
        """
        if self.slot_limit <= 1:
            return 0
        need = self._demand + math.sqrt(self._demand)
        queue = self._queue_by_class[True].waiting
        if queue and self.monotonic() - queue[0].since > self._mean_by_class[True]:
            need = self._demand
        return min(max(math.floor(need + 0.5), 1), self.slot_limit - 1)

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Return the expected wait of a ticket that arrives now, in seconds."""
        queue = self._queue_by_class[ticket.long_work]
        if self._may_start(ticket.long_work) and not queue.waiting:
            return 0.0
        key = (ticket.priority, queue.tag(ticket.account), math.inf)
        ahead = sum(1 for waiting in queue.waiting if waiting.order < key)
        return self._wait_s(ticket.long_work, ahead)

    def _wait_s(self, long_work: bool, ahead: int) -> float:
        """Return the wait behind queued tickets of one class, in seconds."""
        if ahead == 0 and self._may_start(long_work):
            return 0.0
        servers = self.slot_limit - (
            self.reserved_slots if long_work else self.long_in_use
        )
        return (ahead + 1) * self._mean_by_class[long_work] / max(servers, 1)

    def allowed_wait_s(self) -> float:
        """Return the longest wait allowed now, in seconds."""
        mean = self._mean_by_class[False]
        after_s = max(STANDING_AFTER_S, STANDING_AFTER_SERVICES * mean)
        if (
            self._p99.count < STANDING_MIN_ANSWERS
            or self.monotonic() - self._busy_since < after_s
        ):
            return self.queue_wait_s
        # One mean is what the first in the queue of a single slot waits; with less,
        # that slot would stand idle between arrivals.
        return min(self.queue_wait_s, max(self._p99.value * STANDING_WAIT_RATIO, mean))

    async def enter(self, ticket: Ticket) -> Result[Slot, Refusal]:
        """Wait for a slot; use ``open_slot``, which also gives it back."""
        refusal = self._refuse_on_arrival(ticket)
        if refusal is not None:
            self.count[refusal.reason.value] += 1
            return Failure(refusal)
        now = self.monotonic()
        queue = self._queue_by_class[ticket.long_work]
        if not queue.waiting and self._may_start(ticket.long_work):
            tag = queue.tag(ticket.account)
            queue.charge(ticket.account, tag)
            queue.virtual = max(queue.virtual, tag)
            return Success(self._start(ticket, now))
        self._note_demand()
        loop = asyncio.get_running_loop()
        waiting = _Waiting(ticket, queue.tag(ticket.account), now, loop.create_future())
        # The queue of an overloaded target is empty for moments, since stale tickets
        # are refused together; such a gap does not make the next ones a burst.
        if not self.queued and now - self._queue_emptied > self._mean_by_class[False]:
            self._busy_since = now
        queue.push(waiting)
        longest = min(self.queue_wait_s, max(ticket.deadline - now, 0.0))
        waiting.timer = loop.call_later(longest, self._expire, waiting)
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
        """Adapt the limit and the learned times to one answer."""
        failed = shed or status is None or status >= 500
        self._failing = self._failing_now()
        self._failing += FAILURE_WEIGHT * (failed - self._failing)
        self._failing_at = self.monotonic()
        if shed:
            self._lower(slot, SHED_FACTOR)
            return
        # Errors and lost answers say nothing about service time: a target that
        # fails at once would look fast and attract more work.
        if status is None or status >= 500:
            return
        mean = self._mean_by_class[slot.ticket.long_work]
        weight = 0.05 if mean else 1.0
        self._mean_by_class[slot.ticket.long_work] += weight * (service_s - mean)
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
            self._lower(slot, SLOW_FACTOR)
        else:
            self.limit = min(self.limit + 1.0 / max(self.limit, 1.0), self.slots)

    def release(self, slot: Slot) -> None:
        """Free a slot and start what waits for it."""
        self._note_demand()
        self.in_use -= 1
        self.long_in_use -= slot.ticket.long_work
        self.dispatch()

    def dispatch(self) -> None:
        """Start queued tickets while there are slots for them."""
        while (queue := self._next_queue()) is not None:
            self._note_demand()
            waiting = queue.pop()
            now = self.monotonic()
            refusal = self._refuse_on_start(waiting, now)
            if refusal is not None:
                queue.refund(waiting.ticket.account)
                self._settle(waiting, Failure(refusal))
            else:
                self._settle(waiting, Success(self._start(waiting.ticket, now)))

    def refuse_queued(self, reason: Reason) -> None:
        """Refuse all that is queued as not run."""
        self._note_demand()
        for queue in self._queue_by_class.values():
            while queue.waiting:
                waiting = queue.waiting.pop()
                queue.refund(waiting.ticket.account)
                self._settle(waiting, Failure(not_run(reason)))

    def _may_start(self, long_work: bool) -> bool:
        if self.in_use >= self.slot_limit:
            # The limit may fall below the slots that long work already holds; short
            # work still gets one.
            alone = self.in_use == self.long_in_use
            return not long_work and alone and 0 < self.in_use < self.slots
        return not long_work or self.long_in_use < self.slot_limit - self.reserved_slots

    def _start(self, ticket: Ticket, now: float) -> Slot:
        self._note_demand()
        self.in_use += 1
        self.long_in_use += ticket.long_work
        self.count["admitted"] += 1
        return Slot(self, ticket, now)

    def _next_queue(self) -> _FairQueue | None:
        """Return the queue whose head starts next, if any may start."""
        heads = [
            (queue.waiting[0].ticket.priority, self._class_rank(long_work), queue)
            for long_work, queue in self._queue_by_class.items()
            if queue.waiting and self._may_start(long_work)
        ]
        return min(heads, key=lambda head: head[:2])[2] if heads else None

    def _class_rank(self, long_work: bool) -> int:
        # Long work goes first while none runs, so that it finishes even where short
        # work alone could fill the target.
        if long_work:
            return 0 if self.long_in_use == 0 else 2
        return 1

    def _refuse_on_arrival(self, ticket: Ticket) -> Refusal | None:
        if self.closed is not None:
            return not_run(self.closed)
        now = self.monotonic()
        wait_s = self.expected_wait_s(ticket)
        if now + wait_s + self._usual_s(ticket) > ticket.deadline:
            return not_run(
                Reason.DEADLINE, "cannot finish before the deadline at this target"
            )
        queue = self._queue_by_class[ticket.long_work]
        if self._may_start(ticket.long_work) and not queue.waiting:
            return None
        long_wait = not ticket.long_work and wait_s > self.allowed_wait_s()
        if self.queued < self.queue and not long_wait:
            return None
        if self._evict_for(ticket, queue):
            return None
        return not_run(
            Reason.QUEUE_FULL,
            f"{self.queued} requests wait at this target",
            retry_after_s=self._retry_after_s(wait_s),
        )

    def _evict_for(self, ticket: Ticket, queue: _FairQueue) -> bool:
        """Refuse the last queued ticket if it comes after this one."""
        other = self._queue_by_class[not ticket.long_work]
        if (
            queue.waiting
            and (ticket.priority, queue.tag(ticket.account))
            < (queue.waiting[-1].order[:2])
        ):
            self._evict(queue)
            return True
        # Each class may hold half of the queue, or one could fill it and the other
        # would be refused while slots for it are free or reserved.
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
        self._settle(last, Failure(refusal))

    def _refuse_on_start(self, waiting: _Waiting, now: float) -> Refusal | None:
        if now + self._usual_s(waiting.ticket) > waiting.ticket.deadline:
            return not_run(
                Reason.DEADLINE, "could no longer finish before the deadline"
            )
        waited = now - waiting.since
        # The last one in the queue is served, or the slot would have nothing to do.
        alone = not self._queue_by_class[waiting.ticket.long_work].waiting
        if waiting.ticket.long_work or alone:
            return None
        if waited > self.allowed_wait_s():
            return not_run(
                Reason.QUEUE_TIMEOUT,
                f"waited {waited:.3f} s in a standing queue",
                retry_after_s=self._retry_after_s(waited),
            )
        return None

    def _expire(self, waiting: _Waiting) -> None:
        queue = self._queue_by_class[waiting.ticket.long_work]
        self._note_demand()
        if not queue.remove(waiting):
            return
        waited = self.monotonic() - waiting.since
        past = self.monotonic() >= waiting.ticket.deadline
        reason = Reason.DEADLINE if past else Reason.QUEUE_TIMEOUT
        refusal = not_run(
            reason,
            f"waited {waited:.3f} s in the queue",
            retry_after_s=self._retry_after_s(waited),
        )
        self._settle(waiting, Failure(refusal))

    def _withdraw(self, waiting: _Waiting) -> None:
        """Remove a ticket whose task was cancelled, or free the slot it got."""
        self._note_demand()
        if self._queue_by_class[waiting.ticket.long_work].remove(waiting):
            if not self.queued:
                self._queue_emptied = self.monotonic()
            self.count[Reason.CANCELLED.value] += 1
            return
        if waiting.future.done() and not waiting.future.cancelled():
            result = waiting.future.result()
            if isinstance(result, Success):
                result.unwrap().release()

    def _settle(self, waiting: _Waiting, result: Result[Slot, Refusal]) -> None:
        if not self.queued:
            self._queue_emptied = self.monotonic()
        if waiting.future.done():
            # The task was cancelled in this turn of the loop.
            if isinstance(result, Success):
                result.unwrap().release()
            return
        if isinstance(result, Failure):
            self.count[result.failure().reason.value] += 1
        waiting.future.set_result(result)

    def _lower(self, slot: Slot, factor: float) -> None:
        # Answers to requests started before the last step say nothing of its effect.
        if slot.started < self._lowered:
            return
        self._lowered = self.monotonic()
        self.limit = max(self.limit * factor, float(self.limit_min))

    def _failing_now(self) -> float:
        """Return the share of recent answers that failed, fading without answers."""
        age_s = self.monotonic() - self._failing_at
        return self._failing * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def _usual_s(self, ticket: Ticket) -> float:
        times = self._times_by_route.get(ticket.route)
        return times.usual.value if times is not None else 0.0

    def _note_demand(self) -> None:
        """Average the short work running and queued up to now."""
        now = self.monotonic()
        weight = 1.0 - math.exp((self._demand_at - now) / DEMAND_S)
        short = self.in_use - self.long_in_use
        short += len(self._queue_by_class[False].waiting)
        self._demand += weight * (short - self._demand)
        self._demand_at = now

    def _retry_after_s(self, wait_s: float) -> float:
        # Spread over a factor of three, so that refused callers do not return
        # together.
        return max(wait_s, 0.1) * self.random.uniform(0.5, 1.5)

    def estimate_wait_s(self, _priority: int, _due: float) -> float:
        """Return the expected wait behind all that waits, in seconds."""
        return self._wait_s(False, len(self._queue_by_class[False].waiting))

    def report(self) -> LoadReport:
        """Return the load report for answers."""
        # Entries choose for all accounts, so the whole queue counts as ahead.
        wait_s, long_wait_s = (
            self._wait_s(long_work, len(queue.waiting))
            for long_work, queue in self._queue_by_class.items()
        )
        failing = self._failing_now()
        service_s = self._p50.value
        if failing > 0:
            service_s = max(service_s, FAILURE_SERVICE_MIN_S * failing)
        long_free = self.slot_limit - self.reserved_slots - self.long_in_use
        return LoadReport(
            self.target,
            self.slot_limit,
            self.in_use,
            self.queued,
            wait_s * 1000,
            service_s / (1.0 - min(failing, FAILURE_MOST)) * 1000,
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
) -> Admission:
    """Make the admission of one target; its owner is the only one to use it.

    Args:
        target: Target id.
        slots: Requests the target takes at once.
        queue: Requests that may wait.
        queue_wait_s: Longest wait in seconds.
        monotonic: Clock in seconds.
        random: Source of the spread of Retry-After.
    """
    return Admission(
        target=target,
        slots=slots,
        queue=queue,
        queue_wait_s=queue_wait_s,
        monotonic=monotonic,
        random=random or Random(),
    )


@asynccontextmanager
async def open_slot(
    admission: AdmissionControl, ticket: Ticket
) -> AsyncIterator[Result[Slot, Refusal]]:
    """Wait for a slot and hold it for the body of the ``async with``.

    Args:
        admission: The target's admission.
        ticket: The attempt.

    Yields:
        The slot, or a refusal that says the attempt was not run. A task cancelled
        while it waits leaves nothing behind.
    """
    result = await admission.enter(ticket)
    try:
        yield result
    finally:
        if isinstance(result, Success):
            result.unwrap().release()


def load_report(admission: AdmissionControl) -> LoadReport:
    """Return the load report for answers of this target."""
    return admission.report()


def close(admission: AdmissionControl, reason: Reason = Reason.NODE_LEAVING) -> None:
    """Refuse all that is queued and all that arrives as not run.

    Attempts in slots go on. Used for a planned stop, a target that leaves and a
    lapsed lease.
    """
    admission.closed = reason
    admission.refuse_queued(reason)


def reopen(admission: AdmissionControl) -> None:
    """Admit again, after a lapsed lease was renewed."""
    admission.closed = None


def resize(
    admission: Admission, *, slots: int, queue: int, queue_wait_s: float
) -> None:
    """Apply changed slots of the target or a changed pools table."""
    admission.slots = slots
    admission.limit = min(admission.limit, float(slots))
    admission.queue = queue
    admission.queue_wait_s = queue_wait_s
    admission.dispatch()
