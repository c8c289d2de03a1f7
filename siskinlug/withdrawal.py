"""Withdrawal of attempts that still wait for a slot when their entry has to stop.

An attempt may have been placed before its entry began to stop, with a wait that ends
after the stop. The entry then withdraws it in time to refuse the request as not run. An
attempt that has started at its target goes on.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from typing import NamedTuple

from returns.result import Failure, Result

from siskinlug.admission import AdmissionControl, Slot, Ticket, open_slot
from siskinlug.attempts import Attempts, is_cancelled
from siskinlug.directory import NodeRecord
from siskinlug.logs import log_event
from siskinlug.verdict import Reason, Refusal, Verdict, not_run

# Interval at which a stopping entry looks for attempts that wait for too long. An owner
# that has not answered is asked again after it.
CHECK_INTERVAL_S = 0.1


class OpenAttempt(NamedTuple):
    """An open attempt at a target of another node.

    Attributes:
        attempt: Attempt id.
        request_id: Id of the request.
        node: Owner of the target.
        usual_s: Usual service time of the route, in seconds.
    """

    attempt: str
    request_id: str
    node: NodeRecord
    usual_s: float


# Withdraws an attempt at its owner. The verdict is ``NOT_RUN`` if it will never start,
# and ``None`` if the owner does not answer.
Withdraw = Callable[[NodeRecord, str], Awaitable[Verdict | None]]


@contextmanager
def track_attempt(
    open_by_attempt: dict[str, OpenAttempt], opened: OpenAttempt
) -> Iterator[None]:
    """Keep an attempt among the open ones inside the block."""
    open_by_attempt[opened.attempt] = opened
    try:
        yield
    finally:
        open_by_attempt.pop(opened.attempt, None)


async def withdraw_late_attempts(
    open_by_attempt: Mapping[str, OpenAttempt],
    *,
    stop_at: float,
    monotonic: Callable[[], float],
    withdraw: Withdraw,
) -> None:
    """Withdraw attempts that can no longer finish before a stop, until cancelled.

    Each is withdrawn by a task of its own, so that an owner that does not answer delays
    no other.

    Args:
        open_by_attempt: The open attempts of the stopping entry.
        stop_at: When all requests must have been answered, monotonic seconds.
        monotonic: Clock in seconds.
        withdraw: Withdraws an attempt at its owner.
    """
    late: set[str] = set()
    async with asyncio.TaskGroup() as group:
        while True:
            now = monotonic()
            for opened in list(open_by_attempt.values()):
                if opened.attempt not in late and now >= stop_at - opened.usual_s:
                    late.add(opened.attempt)
                    group.create_task(
                        _withdraw_until_settled(open_by_attempt, opened, withdraw)
                    )
            await asyncio.sleep(CHECK_INTERVAL_S)


async def _withdraw_until_settled(
    open_by_attempt: Mapping[str, OpenAttempt], opened: OpenAttempt, withdraw: Withdraw
) -> None:
    """Ask the owner of an attempt until it answers or the attempt has ended."""
    while opened.attempt in open_by_attempt:
        problem = ""
        try:
            verdict = await withdraw(opened.node, opened.attempt)
        except Exception as error:
            verdict, problem = None, f"{type(error).__name__}: {error}"
        log_event(
            "attempt_withdrawn",
            request_id=opened.request_id,
            attempt=opened.attempt,
            owner=opened.node.node,
            verdict=verdict.value if verdict else "unanswered",
            problem=problem,
        )
        if verdict is not None:
            return
        await asyncio.sleep(CHECK_INTERVAL_S)


@asynccontextmanager
async def open_withdrawable_slot(
    attempts: Attempts, admission: AdmissionControl, ticket: Ticket
) -> AsyncIterator[Result[Slot, Refusal]]:
    """Wait for a slot until the attempt is withdrawn, and hold it inside the block.

    Args:
        attempts: Attempt records of the owner, in which the attempt is registered with
            a callback that cancels the current task.
        admission: The target's admission control.
        ticket: The request for a slot.

    Yields:
        The slot, or a refusal with the verdict that the attempt was not run.
    """
    async with AsyncExitStack() as stack:
        try:
            result = await stack.enter_async_context(open_slot(admission, ticket))
        except asyncio.CancelledError:
            task = asyncio.current_task()
            assert task is not None
            if not is_cancelled(attempts, ticket.attempt) or task.uncancel():
                raise
            result = Failure(not_run(Reason.NODE_LEAVING, "withdrawn by its entry"))
        yield result
