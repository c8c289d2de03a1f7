"""Dialect: the headers and status codes used with callers and targets."""

from typing import NamedTuple

from siskinlug.verdict import Refusal, Verdict


class Dialect(NamedTuple):
    """Header names, and what is added to requests and responses.

    An empty name means that the header is not used.

    Attributes:
        request_id: Id of a request, sent by the caller, forwarded and echoed.
        caller_wait_ms: Milliseconds for which the caller waits for a response.
        caller_service: Service on the VM where the request began; set by the entry.
        target_wait_ms: Milliseconds left to the deadline, sent to the target.
        expected_target: Id of the target that a request is meant for. Another target
            at the same address must refuse the request.
        not_run: Set by a target on a response to a request that it did not run.
        rate_limit: Set by a target in need: the requests per second that it takes from
            all callers together, for as long as its responses say so.
        leaving: Set to 1 by a target that is leaving, in all its responses.
        targets_echo_request_id: Whether targets echo the request id, so that a
            response to another request is detected.
        forwarded_answer_headers: Headers of responses that are forwarded although
            they start with the fleet's own prefix.
        adds_forwarding_headers: Whether ``Via``, ``X-Forwarded-For`` and
            ``Traceparent`` are added to requests, and the serving target and the
            request id to responses.
        not_run_is_503: Whether the status of a refusal must agree with its verdict,
            for callers that read the verdict from the status; see ``status_of``.
        accepts_close_delimited: Whether a response without a length is complete when
            its connection is closed in order; otherwise it counts as lost.
    """

    request_id: str = "X-Request-Id"
    caller_wait_ms: str = ""
    caller_service: str = ""
    target_wait_ms: str = "X-Request-Deadline-Ms"
    expected_target: str = ""
    not_run: str = "X-Shed"
    rate_limit: str = "Server-Limit"
    leaving: str = "Server-Leaving"
    targets_echo_request_id: bool = False
    forwarded_answer_headers: frozenset[str] = frozenset()
    adds_forwarding_headers: bool = True
    not_run_is_503: bool = False
    accepts_close_delimited: bool = False


DEFAULT_DIALECT = Dialect()

# Statuses that every caller reads as "not run", and those about the request itself.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_BAD_REQUEST_STATUSES = frozenset({400, 404, 413, 431})


def promises_not_run(dialect: Dialect, status: int) -> bool:
    """Whether callers read a status as a promise that the request has not run."""
    return dialect.not_run_is_503 and status in _NOT_RUN_STATUSES


def status_of(dialect: Dialect, refusal: Refusal) -> int:
    """Return the HTTP status that the caller gets for a refusal.

    Args:
        dialect: The dialect of the callers.
        refusal: The refusal.

    Returns:
        The status of the refusal's reason. Where the dialect has ``not_run_is_503``,
        a status that callers would read as the wrong verdict is replaced: by 502 if
        the request may have run, by 503 if it was not run.
    """
    status = refusal.status
    if not dialect.not_run_is_503:
        return status
    if refusal.verdict is not Verdict.NOT_RUN:
        return 502 if status in _NOT_RUN_STATUSES else status
    return status if status in _NOT_RUN_STATUSES | _BAD_REQUEST_STATUSES else 503
