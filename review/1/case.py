"""The copy of a refusal is taken for the answer to the request's next attempt."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standin"))

from fleet import (
    OUTBOUND_PORT,
    Fleet,
    Recorder,
    Request,
    Route,
    call,
    encode_answer,
    run_case,
)

BOOKINGS, CATALOGUE = "bookings", "catalogue"
SERVICES = [BOOKINGS, *[CATALOGUE] * 5]
ROUTES = [Route("r-book", "/book/", "unsafe", 6, 2.5, 1, BOOKINGS)]
WORK_S = 0.2
# srv_grey with `shed all`: x .55 for 8.5 s. Garble with `extra late`: x .03 of the
# answers of share .6 for 5 s. Both come again after a pause.
SHED_SHARE, SHED_FOR_S, EXTRA_SHARE, EXTRA_FOR_S = 0.55, 8.5, 0.03, 5.0
CALM_S = 1.0
# How late the copy of an answer comes.
EXTRA_LATE_S = (0.02, 0.1)
PAUSE_S = 0.04
# Bookings end at this time of the case, which leaves time for the last answers.
SENDING_ENDS_AT_S = 98.0


async def case(fleet: Fleet, recorder: Recorder, trouble: bool) -> bool:
    """Send bookings; return whether none ran twice or was refused after it ran."""
    upstream = fleet.nodes[0].upstream
    refused: dict[str, int] = {}
    luck = random.Random(1)

    async def work(_request: Request) -> tuple[int, bytes]:
        await asyncio.sleep(WORK_S)
        return 200, b"booked"

    async def send_copy(writer: asyncio.StreamWriter, data: bytes) -> None:
        await asyncio.sleep(luck.uniform(*EXTRA_LATE_S))
        if not writer.is_closing():
            writer.write(data)

    async def send_answer(
        writer: asyncio.StreamWriter, request: Request, data: bytes
    ) -> None:
        writer.write(data)
        await writer.drain()
        calm = recorder.now() % (EXTRA_FOR_S + CALM_S) >= EXTRA_FOR_S
        if not calm and luck.random() < EXTRA_SHARE:
            recorder.note("sends a copy", id=request.request_id)
            fleet.run(send_copy(writer, data))

    def sheds(request: Request) -> bytes | None:
        calm = recorder.now() % (SHED_FOR_S + CALM_S) >= SHED_FOR_S
        if calm or luck.random() >= SHED_SHARE:
            return None
        headers = {
            "Siskinlug-Request-Id": request.request_id,
            "Siskinlug-Not-Executed": "1",
        }
        recorder.note("sheds", id=request.request_id)
        return encode_answer(503, headers, b"")

    async def send(number: int) -> None:
        node, request_id = fleet.nodes[number % len(fleet.nodes)], f"book-{number:05d}"
        answer = await call(
            node.host,
            OUTBOUND_PORT,
            "POST",
            f"/book/{number}",
            {"Siskinlug-Request-Id": request_id, "Siskinlug-Deadline-Ms": "6000"},
            b"x" * 4000,
            timeout_s=6.0,
        )
        recorder.note("answered", id=request_id, status=answer.status)
        if answer.status in (408, 421, 429, 503):
            refused[request_id] = answer.status

    upstream.work = work
    if trouble:
        upstream.sheds = sheds
        upstream.send = send_answer
    sending = []
    number = 0
    while recorder.now() < SENDING_ENDS_AT_S:
        sending.append(asyncio.ensure_future(send(number)))
        number += 1
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*sending)
    await asyncio.sleep(1.0)
    runs = upstream.runs
    twice = sorted({id_ for id_ in runs if runs.count(id_) > 1})
    refused_and_run = sorted(set(runs) & set(refused))
    print(f"{number} bookings: {len(twice)} ran twice, {len(refused_and_run)} were")
    print("answered with a status that promises that they have not run, and ran")
    recorder.note("ran twice", ids=twice)
    recorder.note("refused and run", ids=refused_and_run)
    return not twice and not refused_and_run


FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run_case(FOLDER, SERVICES, ROUTES, case, trouble=TROUBLE)
