"""Baselines of the measures: simple load balancers and a first-in, first-out queue."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from itertools import count
from random import Random
from typing import Any

from returns.result import Failure, Result, Success

from bench.replay import Policy
from siskinlug.admission import Ticket
from siskinlug.load_balancing import Candidate, LoadBalancer
from siskinlug.verdict import Reason, Refusal, not_run


def make_random_choice(*, random: Random) -> LoadBalancer:
    """Make a load balancer that picks a random target and ignores load."""

    def choose(
        candidates: Sequence[Candidate], *, long_work: bool = False
    ) -> Candidate | None:
        return random.choice(candidates) if candidates else None

    return choose


def make_round_robin(*, random: Random) -> LoadBalancer:
    """Make a load balancer that takes targets in turn, from a random start."""
    turns = count(random.randrange(1000))

    def choose(
        candidates: Sequence[Candidate], *, long_work: bool = False
    ) -> Candidate | None:
        return candidates[next(turns) % len(candidates)] if candidates else None

    return choose


class FifoSlot:
    """A slot that learns nothing from the attempt."""

    def record_outcome(self, status: int | None, service_s: float, shed: bool) -> None:
        """Ignore the outcome of the attempt."""


class FifoQueue:
    """Slots of a target behind a bounded first-in, first-out queue."""

    def __init__(self, *, slots: int, queue: int, queue_wait_s: float) -> None:
        self.free_slots = slots
        self.queue = queue
        self.queue_wait_s = queue_wait_s
        self.waiting: deque[asyncio.Future[None]] = deque()

    async def acquire(self) -> Refusal | None:
        """Take a slot in order of arrival.

        Returns:
            ``None``, or the refusal if the queue is full or the wait too long.
        """
        if self.free_slots > 0:
            self.free_slots -= 1
            return None
        if len(self.waiting) >= self.queue:
            return not_run(Reason.QUEUE_FULL)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        try:
            async with asyncio.timeout(self.queue_wait_s):
                await future
        except BaseException as error:
            if future in self.waiting:
                self.waiting.remove(future)
            elif future.done() and not future.cancelled():
                self.release()
            if isinstance(error, TimeoutError):
                return not_run(Reason.QUEUE_TIMEOUT)
            raise
        return None

    def release(self) -> None:
        """Give the slot to the next waiting request, or free it."""
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.free_slots += 1


def make_fifo_queue(
    *, slots: int, queue: int, queue_wait_s: float, **_: Any
) -> FifoQueue:
    """Make the queue of one target."""
    return FifoQueue(slots=slots, queue=queue, queue_wait_s=queue_wait_s)


@asynccontextmanager
async def open_fifo_slot(
    admission: FifoQueue, ticket: Ticket
) -> AsyncIterator[Result[FifoSlot, Refusal]]:
    """Hold a slot, taken in order of arrival, while the context is open."""
    refusal = await admission.acquire()
    if refusal is not None:
        yield Failure(refusal)
        return
    try:
        yield Success(FifoSlot())
    finally:
        admission.release()


RANDOM = Policy("random choice", make_load_balancer=make_random_choice)
ROUND_ROBIN = Policy("round robin", make_load_balancer=make_round_robin)
FIRST_COME = Policy(
    "first come first served",
    make_load_balancer=make_round_robin,
    make_admission=make_fifo_queue,
    open_slot=open_fifo_slot,
    load_report=lambda admission: None,
)
NO_RESERVE = Policy("no reserve", reserve_slots_for_short_work=False)
BASELINES = (RANDOM, ROUND_ROBIN, FIRST_COME, NO_RESERVE)
