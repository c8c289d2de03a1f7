"""Verdicts: whether a request may have run; refusals and their reasons."""

import enum
import json
from collections.abc import Mapping
from typing import NamedTuple

# Time after which a caller finds another node, or this one restarted, in seconds.
RETRY_AFTER_STOP_S = 1.0


class Verdict(enum.Enum):
    """Whether a request may have run at a target."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.StrEnum):
    """Reason codes of refusals, described in ``INFO_BY_REASON``."""

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
    TARGET_LIMITED = "target_limited"
    TARGET_DOUBTED = "target_doubted"
    TARGET_FAILED = "target_failed"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_RESET = "target_reset"
    TARGET_SILENT = "target_silent"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    NODE_LEAVING = "node_leaving"
    STOP_LIMIT = "stop_limit"
    CANCELLED = "cancelled"
    KEY_CLAIMED = "key_claimed"
    KEY_MISMATCH = "key_mismatch"
    KEY_UNAVAILABLE = "key_unavailable"
    QUARANTINED = "quarantined"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    BAD_REQUEST = "bad_request"
    INTERNAL = "internal"


class ReasonInfo(NamedTuple):
    """What a reason code means.

    Attributes:
        status: HTTP status for the caller.
        meaning: One sentence.
        action: What an operator or caller can do.
    """

    status: int
    meaning: str
    action: str


INFO_BY_REASON: Mapping[Reason, ReasonInfo] = {
    Reason.NO_CONFIGURATION: ReasonInfo(
        503,
        "No tables are in force on the node yet.",
        "Publish pools and routes, or check why the node reaches no log or peer.",
    ),
    Reason.NO_ROUTE: ReasonInfo(
        404,
        "No route matches host, path and method.",
        "Look at `siskinlug explain`.",
    ),
    Reason.NO_TARGET: ReasonInfo(
        503,
        "The pool has no target that can take the request.",
        "Look at `siskinlug explain`, which says why each target was left out.",
    ),
    Reason.ACCOUNT_RATE: ReasonInfo(
        429,
        "The account exceeds the route's `account_rate`.",
        "Wait for Retry-After, or raise the rate.",
    ),
    Reason.QUEUE_FULL: ReasonInfo(
        503,
        "The target's queue is full, or a suspect request waits to run alone.",
        "Wait for Retry-After; add targets if it persists.",
    ),
    Reason.QUEUE_TIMEOUT: ReasonInfo(
        503,
        "No slot became free for the request within `queue_wait_s`.",
        "Add targets, or look for long work in the pool.",
    ),
    Reason.DEADLINE: ReasonInfo(
        504,
        "The route's `timeout_s` has passed, or could no longer be met.",
        "Compare `timeout_s` with the service times in the access log.",
    ),
    Reason.TARGET_LEAVING: ReasonInfo(
        503,
        "The target has announced that it is leaving.",
        "Nothing; others take over.",
    ),
    Reason.TARGET_EJECTED: ReasonInfo(
        503,
        "The owner ejected the target for this route.",
        "Look at `target_ejected` in the timeline.",
    ),
    Reason.TARGET_UNKNOWN: ReasonInfo(
        503,
        "The target is not, or is no longer, at this node.",
        "Nothing; it has moved or restarted.",
    ),
    Reason.LEASE_LAPSED: ReasonInfo(
        503,
        "The target has not renewed its announcement in time.",
        "Check whether the target runs and reaches its node.",
    ),
    Reason.TARGET_SHED: ReasonInfo(
        503,
        "The target itself refused the request before running it.",
        "Add targets, or lower `slots`.",
    ),
    Reason.TARGET_LIMITED: ReasonInfo(
        503,
        "The target has named a limit on its request rate, which has been reached.",
        "Wait for Retry-After; look at `target_limit` in the log of its owner.",
    ),
    Reason.TARGET_DOUBTED: ReasonInfo(
        503,
        "The target's owner considers it unhealthy because of its recent responses.",
        "Look at the `sign` lines of the target in its owner's log.",
    ),
    Reason.TARGET_FAILED: ReasonInfo(
        502,
        "The target responded with a failure, as did all others that were tried.",
        "Look at the target's own log.",
    ),
    Reason.TARGET_UNREACHABLE: ReasonInfo(
        502,
        "No connection to the target could be opened.",
        "Check whether the target runs.",
    ),
    Reason.TARGET_RESET: ReasonInfo(
        502,
        "The connection to the target broke before the response was complete.",
        "Look for a crash of the target at that time.",
    ),
    Reason.TARGET_SILENT: ReasonInfo(
        504,
        "The target did not answer.",
        "Look for hanging requests at the target.",
    ),
    Reason.PEER_UNREACHABLE: ReasonInfo(
        502,
        "No connection to the target's node could be opened.",
        "Look at `link_down` in the timeline.",
    ),
    Reason.PEER_LOST: ReasonInfo(
        502,
        "The response of the target's node was lost.",
        "Look at `link_down` in the timeline.",
    ),
    Reason.NODE_LEAVING: ReasonInfo(
        503,
        "The target's node is stopping as planned.",
        "Nothing; others take over.",
    ),
    Reason.STOP_LIMIT: ReasonInfo(
        502,
        "The node's planned stop reached its time limit before the response came.",
        "Raise `stop_s`, or look for requests that run longer than it.",
    ),
    Reason.CANCELLED: ReasonInfo(
        499,
        "The caller disconnected, or the attempt was cancelled.",
        "Nothing.",
    ),
    Reason.KEY_CLAIMED: ReasonInfo(
        409,
        "A request with the same Idempotency-Key is running or has run.",
        "Send it again after Retry-After to get the stored response.",
    ),
    Reason.KEY_MISMATCH: ReasonInfo(
        422,
        "The Idempotency-Key belongs to another request.",
        "The caller must use a new key for a new request.",
    ),
    Reason.KEY_UNAVAILABLE: ReasonInfo(
        503,
        "The key cannot be claimed because the log is unavailable.",
        "Wait for the log; see `claims_without_log`.",
    ),
    Reason.QUARANTINED: ReasonInfo(
        403,
        "The request was running during two crashes of targets.",
        "Look at `request_refused` in the timeline; the quarantine ends after 10 min.",
    ),
    Reason.HEADERS_TOO_LARGE: ReasonInfo(
        431,
        "The request head exceeds `limits.header_bytes`.",
        "Reduce it, or raise the limit.",
    ),
    Reason.BODY_TOO_LARGE: ReasonInfo(
        413,
        "The body exceeds `limits.body_bytes`.",
        "Reduce it, or raise the limit.",
    ),
    Reason.BAD_REQUEST: ReasonInfo(
        400,
        "The request is malformed.",
        "The detail says what is wrong.",
    ),
    Reason.INTERNAL: ReasonInfo(
        500,
        "An internal error of siskinlug.",
        "Report it with the `request_failed` line of the log.",
    ),
}


class Refusal(NamedTuple):
    """Why a request got no response from a target, and whether it may have run.

    Attributes:
        verdict: Whether the request may have run.
        reason: Why it was refused.
        detail: One sentence for a person; may be empty.
        retry_after_s: Seconds after which a retry makes sense; ``None`` if unknown.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status of the reason."""
        return INFO_BY_REASON[self.reason].status


def not_run(
    reason: Reason, detail: str = "", *, retry_after_s: float | None = None
) -> Refusal:
    """Build a refusal for a request that was not run."""
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_after_s)


def node_leaving(detail: str = "") -> Refusal:
    """Build the refusal of a stopping node for a request that was not run."""
    return not_run(Reason.NODE_LEAVING, detail, retry_after_s=RETRY_AFTER_STOP_S)


def may_have_run(reason: Reason, detail: str = "") -> Refusal:
    """Build a refusal for a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, detail)


def refusal_body(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as the JSON body for the caller.

    Args:
        refusal: The refusal.
        request_id: The id of the request, which ``X-Request-Id`` holds too.

    Returns:
        A JSON object with verdict, reason, detail, request id and, if known, the time
        to a retry.
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
