"""Baselines of the measures: plain choices and a plain queue."""

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
    """Make a choice that ignores load."""

    def choose(
        candidates: Sequence[Candidate], *, long_work: bool = False
    ) -> Candidate | None:
        return random.choice(candidates) if candidates else None

    return choose


def make_round_robin(*, random: Random) -> LoadBalancer:
    """Make a choice that takes targets in turn, from a random start."""
    turns = count(random.randrange(1000))

    def choose(
        candidates: Sequence[Candidate], *, long_work: bool = False
    ) -> Candidate | None:
        return candidates[next(turns) % len(candidates)] if candidates else None

    return choose


class PlainSlot:
    """A slot without any learning."""

    def record_outcome(self, status: int | None, service_s: float, shed: bool) -> None:
        """Ignore how the attempt ended."""


class PlainQueue:
    """First come first served: the same slots and queue bounds, no other rule."""

    def __init__(self, *, slots: int, queue: int, queue_wait_s: float) -> None:
        self.free_slots = slots
        self.queue = queue
        self.queue_wait_s = queue_wait_s
        self.waiting: deque[asyncio.Future[None]] = deque()

    async def acquire(self) -> Refusal | None:
        """Take a slot in order of arrival."""
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
        """Pass a slot on."""
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.free_slots += 1


def make_plain_queue(
    *, slots: int, queue: int, queue_wait_s: float, **_: Any
) -> PlainQueue:
    """Make the plain queue of one target."""
    return PlainQueue(slots=slots, queue=queue, queue_wait_s=queue_wait_s)


@asynccontextmanager
async def open_plain_slot(
    admission: PlainQueue, ticket: Ticket
) -> AsyncIterator[Result[PlainSlot, Refusal]]:
    """Wait for a slot in order of arrival."""
    refusal = await admission.acquire()
    if refusal is not None:
        yield Failure(refusal)
        return
    try:
        yield Success(PlainSlot())
    finally:
        admission.release()


RANDOM = Policy("random choice", make_load_balancer=make_random_choice)
ROUND_ROBIN = Policy("round robin", make_load_balancer=make_round_robin)
FIRST_COME = Policy(
    "first come first served",
    make_load_balancer=make_round_robin,
    make_admission=make_plain_queue,
    open_slot=open_plain_slot,
    load_report=lambda admission: None,
)
NO_RESERVE = Policy("no reserve", reserve_slots_for_short_work=False)
BASELINES = (RANDOM, ROUND_ROBIN, FIRST_COME, NO_RESERVE)
