"""A response that stops in the middle keeps its client waiting past the timeout."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standin"))

from fleet import OUTBOUND_PORT, Fleet, Recorder, Request, Route, call, run_case

SERVICE = "records"
TIMEOUT_S = 12.0
DEADLINE_S = 20.0
ROUTES = [Route("r-history", "/history/", "safe", TIMEOUT_S, 8, 2, SERVICE)]
MACHINES = 14
# Two upstreams of fourteen, at x .4 of their requests, for 6.5 s, twice: srv_grey with
# its share .15 and x .4 and the for_s 6.5 of the site.
FAILING_UPSTREAMS = 2
FAILING_SHARE, FAILING_FOR_S, CALM_S = 0.4, 6.5, 5.0
WORK_S = 1.0
REQUESTS = 560
PAUSE_S = 0.05
ANSWER_BYTES = 400
# The rule: eight or more that last longer than the timeout, and over a quarter of
# these without a final answer half a second later.
MIN_LATE, MAX_LATE_SHARE, SLACK_S = 8, 0.25, 0.5


async def case(fleet: Fleet, recorder: Recorder, trouble: bool) -> bool:
    """Send requests; return whether those past the timeout got a final answer."""
    took_s: dict[str, float] = {}

    async def send(number: int) -> None:
        node = fleet.nodes[number % len(fleet.nodes)]
        request_id = f"req-{number:04d}"
        recorder.note("sent", id=request_id, node=node.name)
        started = recorder.now()
        answer = await call(
            node.host,
            OUTBOUND_PORT,
            "GET",
            f"/history/{number}",
            {
                "Siskinlug-Request-Id": request_id,
                "Siskinlug-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            },
            timeout_s=DEADLINE_S,
        )
        took_s[request_id] = recorder.now() - started
        recorder.note(
            "answered" if answer.complete else "client gave up",
            id=request_id,
            status=answer.status,
            took_s=round(took_s[request_id], 3),
        )

    async def work(_request: Request) -> tuple[int, bytes]:
        await asyncio.sleep(WORK_S)
        return 200, b"x" * ANSWER_BYTES

    started_runs = 0

    async def send_part(
        writer: asyncio.StreamWriter, request: Request, data: bytes
    ) -> None:
        nonlocal started_runs
        started_runs += 1
        if int(started_runs * FAILING_SHARE) == int((started_runs - 1) * FAILING_SHARE):
            writer.write(data)
            return
        recorder.note("sends only a part", id=request.request_id)
        writer.write(data[: -ANSWER_BYTES // 2])
        await asyncio.sleep(60)

    async def fail_in_turn() -> None:
        first = fleet.nodes[:FAILING_UPSTREAMS]
        second = fleet.nodes[FAILING_UPSTREAMS : 2 * FAILING_UPSTREAMS]
        for nodes in (first, second):
            await asyncio.sleep(CALM_S)
            for node in nodes:
                node.upstream.send = send_part
                recorder.note("answers only in part", upstream=node.upstream.name)
            await asyncio.sleep(FAILING_FOR_S)
            for node in nodes:
                node.upstream.send = node.upstream.write
                recorder.note("answers in full again", upstream=node.upstream.name)

    for node in fleet.nodes:
        node.upstream.work = work
    if trouble:
        fleet.run(fail_in_turn())
    sending = []
    for number in range(REQUESTS):
        sending.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*sending)
    past = [took for took in took_s.values() if took > TIMEOUT_S]
    late = [took for took in past if took > TIMEOUT_S + SLACK_S]
    print(f"{len(past)} past the timeout, {len(late)} of them unanswered 0.5 s later")
    recorder.note("past the timeout", requests=len(past), unanswered=len(late))
    return len(past) < MIN_LATE or len(late) <= MAX_LATE_SHARE * len(past)


FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run_case(FOLDER, [SERVICE] * MACHINES, ROUTES, case, trouble=TROUBLE)
