"""Verdicts: whether a request may have run, and why it was refused."""

import enum
import json
from collections.abc import Mapping
from typing import NamedTuple


class Verdict(enum.Enum):
    """Whether a request may have run at a target."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.StrEnum):
    """Reason codes of refusals; each has a row in ``HTTP_BY_REASON``."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"
    ACCOUNT_RATE = "account_rate"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE = "deadline"
    TARGET_LEAVING = "target_leaving"
    TARGET_EJECTED = "target_ejected"
    TARGET_UNKNOWN = "target_unknown"
    LEASE_LAPSED = "lease_lapsed"
    TARGET_SHED = "target_shed"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_RESET = "target_reset"
    TARGET_SILENT = "target_silent"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    NODE_LEAVING = "node_leaving"
    CANCELLED = "cancelled"
    KEY_CLAIMED = "key_claimed"
    KEY_MISMATCH = "key_mismatch"
    KEY_UNAVAILABLE = "key_unavailable"
    QUARANTINED = "quarantined"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    BAD_REQUEST = "bad_request"
    INTERNAL = "internal"


HTTP_BY_REASON: Mapping[Reason, int] = {
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.NO_TARGET: 503,
    Reason.ACCOUNT_RATE: 429,
    Reason.QUEUE_FULL: 503,
    Reason.QUEUE_TIMEOUT: 503,
    Reason.DEADLINE: 504,
    Reason.TARGET_LEAVING: 503,
    Reason.TARGET_EJECTED: 503,
    Reason.TARGET_UNKNOWN: 503,
    Reason.LEASE_LAPSED: 503,
    Reason.TARGET_SHED: 503,
    Reason.TARGET_UNREACHABLE: 502,
    Reason.TARGET_RESET: 502,
    Reason.TARGET_SILENT: 504,
    Reason.PEER_UNREACHABLE: 502,
    Reason.PEER_LOST: 502,
    Reason.NODE_LEAVING: 503,
    Reason.CANCELLED: 499,
    Reason.KEY_CLAIMED: 409,
    Reason.KEY_MISMATCH: 422,
    Reason.KEY_UNAVAILABLE: 503,
    Reason.QUARANTINED: 403,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BAD_REQUEST: 400,
    Reason.INTERNAL: 500,
}


class Refusal(NamedTuple):
    """A request that did not get a target's answer.

    Attributes:
        verdict: Whether the request may have run.
        reason: Why it was refused.
        detail: One sentence for a person.
        retry_after_s: Seconds after which a retry makes sense, if known.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status for a caller."""
        return HTTP_BY_REASON[self.reason]


def not_run(
    reason: Reason, detail: str = "", *, retry_after_s: float | None = None
) -> Refusal:
    """Build a refusal for a request that was not run."""
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_after_s)


def may_have_run(reason: Reason, detail: str = "") -> Refusal:
    """Build a refusal for a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, detail)


def refusal_body(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as the JSON body that a caller gets.

    Args:
        refusal: The refusal.
        request_id: The id of the request, also in ``X-Request-Id``.

    Returns:
        A JSON object with verdict, reason, detail and request id.
    """
    body = {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
        "request_id": request_id,
    }
    if refusal.retry_after_s is not None:
        body["retry_after_s"] = f"{refusal.retry_after_s:.2f}"
    return json.dumps(body).encode()
