"""What a response of a target says: whose it is, and whether the request has run."""

from siskinlug.connections import Connection
from siskinlug.dialect import Dialect, promises_not_run
from siskinlug.exchange import Answer


def belongs_to_request(
    answer: Answer, connection: Connection, *, answer_id: str | None, request_id: str
) -> bool:
    """Return whether a response belongs to the request that was sent last.

    A late response to an earlier request on the connection has the id of that request,
    and no connection carries a request twice.

    Args:
        answer: The response.
        connection: The connection on which it arrived.
        answer_id: The id in the response, ``None`` if it has none.
        request_id: Id of the request that was sent last on the connection.
    """
    if answer_id is None:
        # A target that fails before it has read the request does not know its id. On a
        # connection with earlier requests, it may be a late response to one of them.
        return answer.status >= 400 and not connection.reused
    return answer_id == request_id


def says_not_run(dialect: Dialect, answer: Answer) -> bool:
    """Return whether the target states that it did not run the request."""
    # In the default dialect, the header counts only on a 503 response.
    return bool(answer.headers.get(dialect.not_run)) and (
        answer.status == 503 or bool(dialect.expected_target)
    )


def promises_too_much(dialect: Dialect, answer: Answer, *, idempotent: bool) -> bool:
    """Return whether callers would read "not run" where the target does not say so.

    A target that fails with such a status may have run the request. For one that may be
    repeated it does not matter.

    Args:
        dialect: The dialect of callers and targets.
        answer: A response for which ``says_not_run`` is false.
        idempotent: Whether the request may run more than once.
    """
    return not idempotent and promises_not_run(dialect, answer.status)
