"""Supervision of long-running jobs, which are restarted with exponential backoff."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager

from absl import logging

from siskinlug.logs import log_event

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 5.0
# A job that ran longer than this has recovered, so its backoff is reset.
RECOVERED_AFTER_S = 30.0

Job = Callable[[], Awaitable[None]]


async def keep_running(name: str, job: Job) -> None:
    """Run a job until cancelled, and restart it whenever it fails or returns.

    Args:
        name: Name of the job in the log.
        job: Coroutine function that runs the job once.
    """
    delay_s = FIRST_DELAY_S
    loop = asyncio.get_running_loop()
    while True:
        started_at = loop.time()
        try:
            await job()
        except Exception as error:
            log_event(
                "task_failed",
                write=logging.error,
                task=name,
                error=f"{type(error).__name__}: {error}",
                restart_s=delay_s,
            )
            logging.debug("task %s failed", name, exc_info=True)
        if loop.time() - started_at > RECOVERED_AFTER_S:
            delay_s = FIRST_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(delay_s * 2, MAX_DELAY_S)


@asynccontextmanager
async def supervise(job_by_name: Mapping[str, Job]) -> AsyncIterator[None]:
    """Keep all jobs running inside the block and cancel them at its end."""
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(keep_running(name, job), name=name)
            for name, job in job_by_name.items()
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
