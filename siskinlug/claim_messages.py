"""Messages between the entry of a keyed request and the home of its key."""

from typing import NotRequired, TypedDict

from siskinlug.verdict import Reason, Refusal, not_run

# Longest time for which an entry waits for a claim, and a home for its append.
CLAIM_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 16_384
RETRY_AFTER_S = 1.0


class CachedAnswer(TypedDict):
    """A target's answer kept at the home of its key."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimRequest(TypedDict):
    """Ask the home of a key for the right to run a request.

    ``key``, ``fingerprint`` and ``claim`` are digests. The id of the claim makes
    asking again harmless; ``hold_s`` is the time after which the request is no longer
    running.
    """

    key: str
    fingerprint: str
    claim: str
    hold_s: float
    without_log: str


class ClaimOutcome(TypedDict):
    """Tell the home of a key what became of a claim."""

    key: str
    claim: str
    verdict: str
    answer: NotRequired[CachedAnswer]


class ClaimsMessage(TypedDict):
    """Message ``POST /peer/claims``: one of the two."""

    ask: NotRequired[ClaimRequest]
    note: NotRequired[ClaimOutcome]


class ClaimsAnswer(TypedDict):
    """``outcome`` is ``granted``, ``answered``, ``refused``, ``noted`` or ``later``."""

    outcome: str
    answer: NotRequired[CachedAnswer]
    verdict: NotRequired[str]
    reason: NotRequired[str]
    detail: NotRequired[str]
    retry_after_s: NotRequired[float]


def hold_ms_of(ask: ClaimRequest) -> int:
    """Return the time for which a claim counts as running, in milliseconds."""
    return int(ask["hold_s"] * 1000)


def answer_size(answer: CachedAnswer) -> int:
    """Return the bytes that count towards ``MAX_ANSWER_BYTES``."""
    headers = sum(len(name) + len(value) for name, value in answer["headers"])
    return len(answer["body"]) + headers


def unavailable(detail: str) -> Refusal:
    """Return the refusal of a claim that could not be decided."""
    return not_run(Reason.KEY_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S)


def refused(refusal: Refusal) -> ClaimsAnswer:
    """Return the answer that carries a refusal to the entry."""
    answer = ClaimsAnswer(
        outcome="refused",
        verdict=refusal.verdict.value,
        reason=refusal.reason.value,
        detail=refusal.detail,
    )
    if refusal.retry_after_s is not None:
        answer["retry_after_s"] = refusal.retry_after_s
    return answer
