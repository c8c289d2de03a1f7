"""A request that may be repeated is hedged with an empty body."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standin"))

from fleet import (
    OUTBOUND_PORT,
    Fleet,
    Recorder,
    Route,
    Upstream,
    call,
    digest,
    run_case,
)

SERVICE = "catalogue"
ROUTES = [Route("r-search", "/search/", "safe", 5, 2.5, 2, SERVICE)]
MACHINES = 7
BODY_BYTES = 100_000
CHUNK_BYTES = 8192
WORK_S = 0.3
# One upstream of seven, 5 times as slow for 6.5 s: srv_slow with the share .16, x 5.0
# and for_s 6.5 of the site.
SLOW_X, SLOW_FOR_S = 5, 6.5
REQUESTS = 120
PAUSE_S = 0.15


async def case(fleet: Fleet, recorder: Recorder, trouble: bool) -> bool:
    """Send uploads; return whether every run and response had the body of its id."""
    body_by_id: dict[str, str] = {}
    wrong_answers: list[str] = []

    async def send(number: int) -> None:
        node = fleet.nodes[number % len(fleet.nodes)]
        body, request_id = os.urandom(BODY_BYTES), f"req-{number:04d}"
        body_by_id[request_id] = digest(body)
        recorder.note("sent", id=request_id, node=node.name, body=digest(body))
        answer = await call(
            node.host,
            OUTBOUND_PORT,
            "POST",
            f"/search/{number}",
            {"Siskinlug-Request-Id": request_id, "Siskinlug-Deadline-Ms": "5000"},
            body,
            timeout_s=5.0,
            chunk_bytes=CHUNK_BYTES,
        )
        text = answer.body.decode()
        recorder.note("answered", id=request_id, status=answer.status, body=text)
        if answer.status == 200 and not text.endswith(digest(body)):
            wrong_answers.append(request_id)

    async def slow_down(upstream: Upstream) -> None:
        recorder.note("slow", upstream=upstream.name)
        upstream.work = upstream.work_s(WORK_S * SLOW_X)
        await asyncio.sleep(SLOW_FOR_S)
        upstream.work = upstream.work_s(WORK_S)
        recorder.note("no longer slow", upstream=upstream.name)

    for node in fleet.nodes:
        node.upstream.work = node.upstream.work_s(WORK_S)
    sending = []
    for number in range(REQUESTS):
        if number == REQUESTS // 2 and trouble:
            fleet.run(slow_down(fleet.nodes[0].upstream))
        sending.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*sending)
    changed = [
        request_id
        for node in fleet.nodes
        for request_id, body in node.upstream.arrivals
        if body != body_by_id.get(request_id)
    ]
    recorder.note("bodies changed", ids=changed)
    recorder.note("answers for another body", ids=wrong_answers)
    print(f"{len(changed)} runs with another body, {len(wrong_answers)} wrong answers")
    return not changed and not wrong_answers


FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run_case(FOLDER, [SERVICE] * MACHINES, ROUTES, case, trouble=TROUBLE)
