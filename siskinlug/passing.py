"""Passing a target's answer on to the caller."""

from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyCut
from siskinlug.entry_state import Entry, Request, note_service_time, note_size
from siskinlug.exchange import Answer, drop_hop_by_hop, drop_prefix
from siskinlug.inbound import Inbound, send_answer, stream_answer
from siskinlug.service_times import observe_service_time
from siskinlug.tables import Route


class KeptCopy:
    """Copy of an answer on its way to the caller, if it is small enough to keep."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.status = 0
        self.headers = HTTPHeaders()
        self._chunks: list[bytes] | None = []
        self._size = 0

    def add(self, chunk: bytes) -> None:
        """Take a part of the body as it is passed on."""
        self._size += len(chunk)
        if self._chunks is not None:
            self._chunks.append(chunk)
            if self._size > self.limit_bytes:
                self._chunks = None

    def whole_body(self) -> bytes | None:
        """Return the body, or ``None`` if it was too large."""
        return None if self._chunks is None else b"".join(self._chunks)


async def pass_on(
    entry: Entry,
    inbound: Inbound,
    request: Request,
    target: str,
    answer: Answer,
    copy: KeptCopy,
) -> bool:
    """Pass an answer on and learn its service time.

    Args:
        entry: The entry role.
        inbound: The request being answered.
        request: What is known of it.
        target: Who answered.
        answer: The answer.
        copy: Takes what is passed on.

    Returns:
        Whether it was passed on; false if it was cut before any byte of it was.

    Raises:
        BodyCut: It was cut later.
    """
    extra = _prepare(entry, request, target, answer)
    if copy.limit_bytes:
        copy.status, copy.headers = answer.status, answer.headers.copy()
    try:
        if entry.hold_answer_bytes:
            await answer.body.wait_held(entry.hold_answer_bytes)
        sent_bytes = await stream_answer(inbound, answer, extra, observe=copy.add)
    except BodyCut:
        if inbound.answered_status or inbound.body.cut:
            raise
        return False
    size = sent_bytes + inbound.body.received_bytes
    note_size(entry, request.route.name, size)
    entry.metrics.attempts.add(
        1, {"route": request.route.name, "outcome": f"{answer.status // 100}xx"}
    )
    return True


async def hold_failure(
    entry: Entry, request: Request, target: str, answer: Answer
) -> KeptCopy | None:
    """Keep a target's failure, to be passed on if no other target does better.

    Returns:
        The whole answer, or ``None`` if it was cut or is too large to keep.
    """
    extra = _prepare(entry, request, target, answer)
    copy = KeptCopy(entry.hold_answer_bytes)
    try:
        async for chunk in answer.body.chunks():
            copy.add(chunk)
            if copy.whole_body() is None:
                return None
    except BodyCut:
        return None
    copy.status, copy.headers = answer.status, answer.headers.copy()
    for name, value in extra.items():
        copy.headers[name] = value
    entry.metrics.attempts.add(
        1, {"route": request.route.name, "outcome": f"{answer.status // 100}xx"}
    )
    return copy


async def send_copy(inbound: Inbound, copy: KeptCopy) -> None:
    """Send an answer that was kept."""
    await send_answer(inbound, copy.status, copy.headers, copy.whole_body() or b"")


def _prepare(
    entry: Entry, request: Request, target: str, answer: Answer
) -> dict[str, str]:
    """Learn from an answer's headers, drop what is not the caller's, name the rest."""
    headers = answer.headers
    dialect = entry.dialect
    _learn(entry, request.route, headers.get("Siskinlug-Service-Ms", ""))
    drop_prefix(headers, "Siskinlug-", keep=dialect.kept_on_answers)
    drop_hop_by_hop(headers)
    if not dialect.adds_forwarding:
        return {}
    return {"Siskinlug-Served-By": target, dialect.request_id: request.request_id}


def _learn(entry: Entry, route: Route, service_ms: str) -> None:
    try:
        service_s = float(service_ms) / 1000
    except ValueError:
        return
    observe_service_time(entry.service_times, route.name, service_s, pool=route.pool)
    note_service_time(entry, route.name, service_s)
