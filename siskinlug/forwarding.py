"""Forwarding of a target's response to the caller."""

from tornado.httputil import HTTPHeaders

from siskinlug.body import BodyCut
from siskinlug.entry_state import (
    Entry,
    Request,
    record_message_size,
    record_service_time,
)
from siskinlug.exchange import Answer, drop_headers_with_prefix, drop_hop_by_hop
from siskinlug.inbound import InboundRequest, send_answer, stream_answer
from siskinlug.service_times import observe_service_time
from siskinlug.tables import Route


class AnswerCopy:
    """Copy of a response that is being forwarded, unless its body is too large.

    Args:
        limit_bytes: Maximum size of the body.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.status = 0
        self.headers = HTTPHeaders()
        self._chunks: list[bytes] | None = []
        self._size = 0

    def add(self, chunk: bytes) -> None:
        """Add the next part of the body."""
        self._size += len(chunk)
        if self._chunks is not None:
            self._chunks.append(chunk)
            if self._size > self.limit_bytes:
                self._chunks = None

    def complete_body(self) -> bytes | None:
        """Return the body, or ``None`` if it exceeds ``limit_bytes``."""
        return None if self._chunks is None else b"".join(self._chunks)


async def forward_answer(
    entry: Entry,
    inbound: InboundRequest,
    request: Request,
    target: str,
    answer: Answer,
    copy: AnswerCopy,
) -> bool:
    """Forward a response to the caller, and record its size and service time.

    Args:
        entry: The entry role.
        inbound: The request as received from the caller.
        request: The request after matching its route.
        target: Id of the target that responded.
        answer: The response.
        copy: Filled with the response as it is forwarded.

    Returns:
        Whether the response was forwarded; false if it was cut before any byte of it
        was sent, so that the request can still be retried or refused.

    Raises:
        BodyCut: The response was cut after a part of it had been sent, or the caller
            went away.
    """
    extra = _prepare_headers(entry, request, target, answer)
    if copy.limit_bytes:
        copy.status, copy.headers = answer.status, answer.headers.copy()
    try:
        if entry.buffer_answer_bytes:
            await answer.body.wait_buffered(entry.buffer_answer_bytes)
        sent_bytes = await stream_answer(inbound, answer, extra, observe=copy.add)
    except BodyCut:
        if inbound.answered_status or inbound.body.cut:
            raise
        return False
    size = sent_bytes + inbound.body.received_bytes
    record_message_size(entry, request.route.name, size)
    entry.metrics.attempts.add(
        1, {"route": request.route.name, "outcome": f"{answer.status // 100}xx"}
    )
    return True


async def buffer_failure(
    entry: Entry, request: Request, target: str, answer: Answer
) -> AnswerCopy | None:
    """Buffer an error response, to be forwarded if no other target succeeds.

    Args:
        entry: The entry role.
        request: The request after matching its route.
        target: Id of the target that responded.
        answer: The response.

    Returns:
        The complete response, or ``None`` if it was cut or exceeds
        ``entry.buffer_answer_bytes``.
    """
    extra = _prepare_headers(entry, request, target, answer)
    copy = AnswerCopy(entry.buffer_answer_bytes)
    try:
        async for chunk in answer.body.chunks():
            copy.add(chunk)
            if copy.complete_body() is None:
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


async def send_copy(inbound: InboundRequest, copy: AnswerCopy) -> None:
    """Send a buffered response to the caller."""
    await send_answer(inbound, copy.status, copy.headers, copy.complete_body() or b"")


def _prepare_headers(
    entry: Entry, request: Request, target: str, answer: Answer
) -> dict[str, str]:
    """Record the service time and drop internal headers of a response.

    Returns:
        Headers to add to the forwarded response.
    """
    headers = answer.headers
    dialect = entry.dialect
    _record_service_time(entry, request.route, headers.get("Siskinlug-Service-Ms", ""))
    drop_headers_with_prefix(
        headers, "Siskinlug-", keep=dialect.forwarded_answer_headers
    )
    drop_hop_by_hop(headers)
    if not dialect.adds_forwarding_headers:
        return {}
    return {"Siskinlug-Served-By": target, dialect.request_id: request.request_id}


def _record_service_time(entry: Entry, route: Route, service_ms: str) -> None:
    """Record the service time that the owner measured, if the header is valid."""
    try:
        service_s = float(service_ms) / 1000
    except ValueError:
        return
    observe_service_time(entry.service_times, route.name, service_s, pool=route.pool)
    record_service_time(entry, route.name, service_s)
