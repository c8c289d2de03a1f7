"""Messages between the entry node of a keyed request and the home node of its key."""

from typing import NotRequired, TypedDict

from siskinlug.verdict import Reason, Refusal, may_have_run

# Maximum time that an entry waits for a claim, and a home node for its append.
CLAIM_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 16_384
RETRY_AFTER_S = 1.0


class CachedAnswer(TypedDict):
    """A target's response, cached at the home node of its key."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimRequest(TypedDict):
    """Request to the home node of a key for the right to run a request.

    ``key``, ``fingerprint`` and ``claim`` are digests. ``claim`` is the id of the
    claim, so the request can be repeated safely. After ``hold_s`` the request counts
    as no longer running. ``without_log`` is the route's ``claims_without_log``.
    """

    key: str
    fingerprint: str
    claim: str
    hold_s: float
    without_log: str


class ClaimOutcome(TypedDict):
    """Outcome of a claim, reported to the home node of its key."""

    key: str
    claim: str
    verdict: str
    answer: NotRequired[CachedAnswer]


class ClaimsMessage(TypedDict):
    """Body of ``POST /peer/claims``: either a request or an outcome."""

    ask: NotRequired[ClaimRequest]
    note: NotRequired[ClaimOutcome]


class ClaimsAnswer(TypedDict):
    """Response to ``POST /peer/claims``.

    ``outcome`` is ``granted``, ``answered`` (with the cached response) or ``refused``
    for a claim request, and ``noted`` or ``later`` (to be reported again) for the
    outcome of a claim.
    """

    outcome: str
    answer: NotRequired[CachedAnswer]
    verdict: NotRequired[str]
    reason: NotRequired[str]
    detail: NotRequired[str]
    retry_after_s: NotRequired[float]


def hold_ms_of(request: ClaimRequest) -> int:
    """Return how long a claim without outcome counts as running, in milliseconds."""
    return int(request["hold_s"] * 1000)


def answer_size(answer: CachedAnswer) -> int:
    """Return the size of a response's headers and body, in bytes."""
    headers = sum(len(name) + len(value) for name, value in answer["headers"])
    return len(answer["body"]) + headers


def unavailable_refusal(detail: str) -> Refusal:
    """Return the refusal of a claim that cannot be decided now.

    This request was not run, but an earlier one with the same key may have been.
    """
    refusal = may_have_run(Reason.KEY_UNAVAILABLE, detail)
    return refusal._replace(retry_after_s=RETRY_AFTER_S)


def refused_answer(refusal: Refusal) -> ClaimsAnswer:
    """Return the response that carries a refusal to the entry."""
    answer = ClaimsAnswer(
        outcome="refused",
        verdict=refusal.verdict.value,
        reason=refusal.reason.value,
        detail=refusal.detail,
    )
    if refusal.retry_after_s is not None:
        answer["retry_after_s"] = refusal.retry_after_s
    return answer
