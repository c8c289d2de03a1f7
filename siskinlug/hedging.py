"""Hedged attempts: a second target is tried if the first one is unusually slow."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from returns.result import Result, Success

from siskinlug.entry_state import AttemptOutcome, Placement
from siskinlug.exchange import Answer
from siskinlug.verdict import Reason, Refusal, may_have_run

AttemptResult = Result[Answer, Refusal]
# Opens an attempt at the target of a placement.
OpenAttempt = Callable[[Placement], AbstractAsyncContextManager[AttemptResult]]
# Chooses the target of the second attempt; ``None`` for no second attempt.
PlaceHedge = Callable[[Placement], Awaitable[Placement | None]]


class _RunningAttempt:
    """An attempt that a task of its own opens and keeps open until ``stop``.

    Attributes:
        placement: Where the attempt goes.
        answered: The response or refusal, once there is one.
        closing: Set when the attempt may be closed.
        task: The task that keeps the attempt open.
    """

    def __init__(self, placement: Placement, open_attempt: OpenAttempt) -> None:
        self.placement = placement
        self.answered: asyncio.Future[AttemptResult] = (
            asyncio.get_running_loop().create_future()
        )
        self.closing = asyncio.Event()
        self.task = asyncio.create_task(self._run(open_attempt))

    async def _run(self, open_attempt: OpenAttempt) -> None:
        try:
            async with open_attempt(self.placement) as result:
                if not self.answered.done():
                    self.answered.set_result(result)
                await self.closing.wait()
        except Exception as error:
            if self.answered.done():
                raise
            self.answered.set_exception(error)

    def outcome(self) -> AttemptOutcome:
        """Return the outcome of the attempt that lost: cancelled, or its refusal."""
        candidate = self.placement.candidate
        refusal = may_have_run(Reason.CANCELLED, "another target answered first")
        if self.answered.done() and not isinstance(self.answered.result(), Success):
            refusal = self.answered.result().failure()
        return AttemptOutcome(candidate.target, candidate.node, refusal)

    async def stop(self) -> None:
        """Close the attempt; cancel it if it has not been answered."""
        self.closing.set()
        if not self.answered.done():
            self.task.cancel()
            self.answered.cancel()
        await asyncio.wait({self.task})


@asynccontextmanager
async def open_hedged(
    placement: Placement,
    *,
    open_attempt: OpenAttempt,
    after_s: float | None,
    place_hedge: PlaceHedge,
    outcomes: list[AttemptOutcome],
) -> AsyncIterator[tuple[Placement, AttemptResult]]:
    """Open an attempt, and a second one if it takes too long.

    Args:
        placement: Where the first attempt goes.
        open_attempt: Opens one attempt.
        after_s: Time without an answer after which the second attempt starts, in
            seconds; ``None`` for no second attempt.
        place_hedge: Chooses the target of the second attempt.
        outcomes: Receives the outcome of the attempt that is not yielded.

    Yields:
        The placement and the result of the first attempt to get a response below 500,
        or else of the attempt that failed last.
    """
    if after_s is None:
        async with open_attempt(placement) as result:
            yield placement, result
        return
    running = [_RunningAttempt(placement, open_attempt)]
    try:
        await asyncio.wait({running[0].answered}, timeout=after_s)
        if not running[0].answered.done():
            second = await place_hedge(placement)
            if second is not None:
                running.append(_RunningAttempt(second, open_attempt))
        winner = await _wait_for_success(running)
        outcomes += [other.outcome() for other in running if other is not winner]
        for other in running:
            if other is not winner:
                await other.stop()
        yield winner.placement, winner.answered.result()
    finally:
        for attempt in running:
            await attempt.stop()


async def _wait_for_success(running: Sequence[_RunningAttempt]) -> _RunningAttempt:
    """Wait for a response below 500, or until all attempts have failed.

    Returns:
        The first attempt with such a response, or else one that failed last.
    """
    pending = list(running)
    while True:
        await asyncio.wait(
            {attempt.answered for attempt in pending},
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = [attempt for attempt in pending if attempt.answered.done()]
        for attempt in done:
            result = attempt.answered.result()
            if isinstance(result, Success) and result.unwrap().status < 500:
                return attempt
        pending = [attempt for attempt in pending if not attempt.answered.done()]
        if not pending:
            return done[-1]
