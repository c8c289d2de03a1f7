"""Hedged attempts: a second target beside a first one that takes unusually long."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from returns.result import Result, Success

from siskinlug.entry_state import AttemptOutcome, Placement
from siskinlug.exchange import Answer
from siskinlug.verdict import Reason, Refusal, may_have_run

Opened = Result[Answer, Refusal]
# Opens an attempt at the target of a placement.
OpenAttempt = Callable[[Placement], AbstractAsyncContextManager[Opened]]
# Places a second attempt; ``None`` if there is to be none.
PlaceHedge = Callable[[Placement], Awaitable[Placement | None]]


class _Running:
    """An attempt that is held open by a task of its own."""

    def __init__(self, placement: Placement, open_attempt: OpenAttempt) -> None:
        self.placement = placement
        self.head: asyncio.Future[Opened] = asyncio.get_running_loop().create_future()
        self.release = asyncio.Event()
        self.task = asyncio.create_task(self._hold(open_attempt))

    async def _hold(self, open_attempt: OpenAttempt) -> None:
        try:
            async with open_attempt(self.placement) as result:
                if not self.head.done():
                    self.head.set_result(result)
                await self.release.wait()
        except Exception as error:
            if self.head.done():
                raise
            self.head.set_exception(error)

    def outcome(self) -> AttemptOutcome:
        """Return what became of an attempt that is not waited for."""
        candidate = self.placement.candidate
        refusal = may_have_run(Reason.CANCELLED, "another target answered first")
        if self.head.done() and not isinstance(self.head.result(), Success):
            refusal = self.head.result().failure()
        return AttemptOutcome(candidate.target, candidate.node, refusal)

    async def stop(self) -> None:
        """End the attempt; one without an answer is cancelled."""
        self.release.set()
        if not self.head.done():
            self.task.cancel()
            self.head.cancel()
        await asyncio.wait({self.task})


@asynccontextmanager
async def open_hedged(
    placement: Placement,
    *,
    open_attempt: OpenAttempt,
    after_s: float | None,
    place_hedge: PlaceHedge,
    outcomes: list[AttemptOutcome],
) -> AsyncIterator[tuple[Placement, Opened]]:
    """Open an attempt, and a second one beside it if it takes too long.

    Args:
        placement: Where the first attempt goes.
        open_attempt: Opens one attempt.
        after_s: Time without an answer after which there is a second attempt, in
            seconds; ``None`` for none.
        place_hedge: Places the second attempt.
        outcomes: Takes the attempt that was not waited for.

    Yields:
        The attempt that answered first with other than a failure, or else the one
        that failed last, and its answer or refusal.
    """
    if after_s is None:
        async with open_attempt(placement) as result:
            yield placement, result
        return
    running = [_Running(placement, open_attempt)]
    try:
        await asyncio.wait({running[0].head}, timeout=after_s)
        if not running[0].head.done():
            second = await place_hedge(placement)
            if second is not None:
                running.append(_Running(second, open_attempt))
        winner = await _first_good(running)
        outcomes += [other.outcome() for other in running if other is not winner]
        for other in running:
            if other is not winner:
                await other.stop()
        yield winner.placement, winner.head.result()
    finally:
        for attempt in running:
            await attempt.stop()


async def _first_good(running: Sequence[_Running]) -> _Running:
    """Wait for an answer that is no failure, or for the last failure."""
    pending = list(running)
    while True:
        await asyncio.wait(
            {attempt.head for attempt in pending}, return_when=asyncio.FIRST_COMPLETED
        )
        done = [attempt for attempt in pending if attempt.head.done()]
        for attempt in done:
            result = attempt.head.result()
            if isinstance(result, Success) and result.unwrap().status < 500:
                return attempt
        pending = [attempt for attempt in pending if not attempt.head.done()]
        if not pending:
            return done[-1]
