"""A withdrawn upstream gets requests again after all processes were killed."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standin"))

from fleet import (
    DRAIN_S,
    OUTBOUND_PORT,
    RESTART_DELAY_S,
    STABILITY_WINDOW_S,
    Fleet,
    Recorder,
    Request,
    Route,
    call,
    run_case,
)

SERVICE = "catalogue"
ROUTES = [
    Route("r-check", "/check/", "safe", 5, 2.5, 2, SERVICE),
    Route("r-book", "/book/", "unsafe", 6, 2.5, 1, SERVICE),
]
MACHINES = 6
PAUSE_S = 0.05
WORK_S = 0.48
# All processes are killed this long after the upstream has withdrawn.
KILL_AFTER_S = 1.0
# The last heartbeat before the withdrawal arrives this late.
HEARTBEAT_LATE_S = 4.0
# The upstream serves for this long after its withdrawal was acknowledged.
SERVES_S = 15.0


async def case(fleet: Fleet, recorder: Recorder, trouble: bool) -> bool:
    """Send requests; return whether none reached the upstream after its leave."""
    sent_at: dict[str, float] = {}
    entry_of: dict[str, int] = {}
    started_at = dict.fromkeys(range(MACHINES), -60.0)
    leaving = fleet.nodes[0].upstream
    owner = 0
    acknowledged_at = float("inf")
    exited = False
    broken: list[str] = []
    # Requests that the upstream was running when it exited.
    lost: list[str] = []

    def in_touch(machine: int, at: float) -> bool:
        return at - started_at[machine] > STABILITY_WINDOW_S

    async def work(request: Request) -> tuple[int, bytes]:
        now, request_id = recorder.now(), request.request_id
        late = now > acknowledged_at + DRAIN_S
        entry = entry_of[request_id]
        touch = in_touch(entry, sent_at[request_id]) and in_touch(owner, now)
        if late and touch:
            broken.append(request_id)
            recorder.note(
                "reaches the withdrawn upstream",
                id=request_id,
                after_s=round(now - acknowledged_at, 3),
            )
        await asyncio.sleep(WORK_S)
        return 200, b"booked"

    async def send(number: int) -> None:
        machine, request_id = number % MACHINES, f"req-{number:04d}"
        is_booking = random.random() < 0.5
        sent_at[request_id], entry_of[request_id] = recorder.now(), machine
        answer = await call(
            fleet.nodes[machine].host,
            OUTBOUND_PORT,
            *(
                ("POST", f"/book/{number}")
                if is_booking
                else ("GET", f"/check/{number}")
            ),
            {"Siskinlug-Request-Id": request_id, "Siskinlug-Deadline-Ms": "5000"},
            b"x" * 4000 if is_booking else b"",
            timeout_s=5.0,
        )
        recorder.note("answered", id=request_id, machine=machine, status=answer.status)
        if exited and request_id in leaving.runs and answer.status != 200:
            lost.append(request_id)

    async def keep_sending() -> None:
        number = 0
        sending = set()
        while True:
            sending.add(asyncio.ensure_future(send(number)))
            number += 1
            await asyncio.sleep(PAUSE_S)

    async def kill_and_restart() -> None:
        for node in fleet.nodes:
            node.signal(signal.SIGKILL)
        for node in fleet.nodes:
            await node.ended()
        await asyncio.sleep(RESTART_DELAY_S)
        for machine, node in enumerate(fleet.nodes):
            node.start()
            started_at[machine] = recorder.now()

    for node in fleet.nodes:
        node.upstream.work = node.upstream.work_s(WORK_S)
    leaving.work = work
    fleet.run(keep_sending())
    await asyncio.sleep(3.0)
    # The last heartbeat is on its way while the upstream withdraws.
    leaving.sequence += 1
    late_sequence = leaving.sequence
    heartbeat_due_at = recorder.now() + HEARTBEAT_LATE_S
    if await leaving.leave() != 200:
        raise RuntimeError("the withdrawal was not acknowledged")
    acknowledged_at = recorder.now()
    recorder.note("withdrawal acknowledged", upstream=leaving.name)
    if trouble:
        await asyncio.sleep(KILL_AFTER_S)
        await kill_and_restart()
    await asyncio.sleep(max(0.0, heartbeat_due_at - recorder.now()))
    status = await leaving.beat(state="ready", sequence=late_sequence)
    recorder.note("late heartbeat", upstream=leaving.name, status=status)
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_S - recorder.now()))
    exited = True
    leaving.abort()
    recorder.note("the withdrawn upstream exits", upstream=leaving.name)
    await asyncio.sleep(1.0)
    print(f"{len(broken)} requests reached the withdrawn upstream")
    print(f"{len(lost)} requests that it was running when it exited were lost")
    recorder.note("lost at its exit", ids=lost)
    return not broken


run_case(Path(__file__).resolve().parent, [SERVICE] * MACHINES, ROUTES, case)
