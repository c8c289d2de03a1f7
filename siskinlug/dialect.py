"""Dialect: the headers by which callers and targets talk with the fleet."""

from typing import NamedTuple

from siskinlug.verdict import Refusal, Verdict


class Dialect(NamedTuple):
    """Names of headers, and what is added to a request on its way.

    An empty name means that the header is not used.

    Attributes:
        request_id: Id of a request, sent by the caller, forwarded and echoed.
        caller_wait_ms: Milliseconds for which the caller waits for an answer.
        caller_service: Service on the VM where the request began; set by the entry.
        target_wait_ms: Milliseconds left, as a target is told.
        expected_target: Id of the target that a request is meant for. Another target
            at the same address must refuse the request.
        not_run: Set by a target on an answer to a request that it did not run.
        answer_id: Whether targets echo the request id, so that an answer to another
            request is recognized.
        kept_on_answers: Headers of answers that are passed on although they start
            with the fleet's own prefix.
        adds_forwarding: Whether ``Via``, ``X-Forwarded-For`` and ``Traceparent`` are
            added to requests, and the serving target to answers.
        not_run_is_503: Whether a refusal that is known to be not run always has
            status 503, for callers that know no other status for it.
        close_ends_answers: Whether an answer without a length is whole when its
            connection is closed in order; otherwise such an answer is lost.
    """

    request_id: str = "X-Request-Id"
    caller_wait_ms: str = ""
    caller_service: str = ""
    target_wait_ms: str = "X-Request-Deadline-Ms"
    expected_target: str = ""
    not_run: str = "X-Shed"
    answer_id: bool = False
    kept_on_answers: frozenset[str] = frozenset()
    adds_forwarding: bool = True
    not_run_is_503: bool = False
    close_ends_answers: bool = False


OWN_DIALECT = Dialect()

# Statuses that every caller reads as "not run", and those about the request itself.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_REQUEST_STATUSES = frozenset({400, 404, 413, 431})


def status_of(dialect: Dialect, refusal: Refusal) -> int:
    """Return the status by which a caller is told of a refusal.

    Args:
        dialect: How callers are spoken to.
        refusal: The refusal.

    Returns:
        The status of the refusal's reason, unless callers would read into it that the
        request was not run when it may have, or the other way round.
    """
    status = refusal.status
    if not dialect.not_run_is_503:
        return status
    if refusal.verdict is not Verdict.NOT_RUN:
        return 502 if status in _NOT_RUN_STATUSES else status
    return status if status in _NOT_RUN_STATUSES | _REQUEST_STATUSES else 503
