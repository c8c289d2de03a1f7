"""Home node of a key: grants claims and records their outcomes."""

import asyncio
from contextlib import suppress

from siskinlug.claim_fold import KeyState, claim_entry, outcome_entry
from siskinlug.claim_log import refresh_partition, start_appending
from siskinlug.claim_messages import (
    CLAIM_TIMEOUT_S,
    RETRY_AFTER_S,
    ClaimOutcome,
    ClaimRequest,
    ClaimsAnswer,
    ClaimsMessage,
    hold_ms_of,
    refused_answer,
    unavailable_refusal,
)
from siskinlug.claim_state import ClaimHome, Partition, PendingClaim
from siskinlug.verdict import Reason, Refusal, Verdict, not_run

MAX_PENDING = 1024
MAX_RELEASED_CLAIMS = 1024


async def answer_claims(home: ClaimHome, message: ClaimsMessage) -> ClaimsAnswer:
    """Answer ``POST /peer/claims`` as the home node of a key.

    A node answers even if it does not consider itself the home, since the order of the
    log decides between two homes.
    """
    if "note" in message:
        noted = await _record_reported_outcome(home, message["note"])
        return ClaimsAnswer(outcome="noted" if noted else "later")
    return await _decide_claim(home, message["ask"])


async def _decide_claim(home: ClaimHome, request: ClaimRequest) -> ClaimsAnswer:
    partition = home.partition(request["key"])
    log_reachable = home.monotonic() >= partition.log_down_until
    if partition.holder(request["key"]):
        # The append decides on a key that seems free. A key that seems held needs the
        # current state, since another home node may have released it.
        log_reachable = await refresh_partition(home, partition)
    if decided := _answer_if_decided(home, partition, request):
        return decided
    pending = partition.pending(request["key"])
    if pending is not None and pending.request["claim"] != request["claim"]:
        return refused_answer(_claimed_refusal(pending.request["fingerprint"], request))
    if not log_reachable:
        return _decide_without_log(home, partition, request)
    if pending is None:
        if len(partition.pending_by_key) >= MAX_PENDING or partition.is_full():
            return refused_answer(unavailable_refusal("the home of the key is full"))
        pending = _queue_claim(home, partition, request)
    return await _wait_for_append(home, partition, pending, request)


def _answer_if_decided(
    home: ClaimHome, partition: Partition, request: ClaimRequest
) -> ClaimsAnswer | None:
    """Return the answer if the claim was released or its key is held, else ``None``."""
    if request["claim"] in partition.released_claims:
        return refused_answer(unavailable_refusal("the claim was released"))
    held = partition.holder(request["key"])
    return _answer_for_held_key(home, held, request) if held is not None else None


def _queue_claim(
    home: ClaimHome, partition: Partition, request: ClaimRequest
) -> PendingClaim:
    pending = PendingClaim(request)
    partition.pending_by_key[request["key"]] = pending
    partition.claim_arrived.set()
    start_appending(home, partition)
    return pending


async def _wait_for_append(
    home: ClaimHome, partition: Partition, pending: PendingClaim, request: ClaimRequest
) -> ClaimsAnswer:
    logged = False
    with suppress(TimeoutError):
        logged = await asyncio.wait_for(asyncio.shield(pending.done), CLAIM_TIMEOUT_S)
    if decided := _answer_if_decided(home, partition, request):
        return decided
    if logged:
        # Another claim held the key when this one was read, and was released since.
        return refused_answer(
            unavailable_refusal("the key was claimed and freed meanwhile")
        )
    return _decide_without_log(home, partition, request)


def _answer_for_held_key(
    home: ClaimHome, held: KeyState, request: ClaimRequest
) -> ClaimsAnswer:
    """Answer a claim whose key is held, possibly by the same claim."""
    if held.claim == request["claim"] and held.verdict is None:
        return ClaimsAnswer(outcome="granted")
    if held.fingerprint != request["fingerprint"]:
        return refused_answer(_claimed_refusal(held.fingerprint, request))
    if held.verdict is Verdict.RAN:
        answer = home.answers.get(held.claim, home.monotonic())
        if answer is not None:
            return ClaimsAnswer(outcome="answered", answer=answer)
        detail = "the request ran; its answer is no longer held"
        return refused_answer(Refusal(Verdict.RAN, Reason.KEY_CLAIMED, detail))
    running = home.wall_ms() < held.at_ms + held.hold_ms
    if held.verdict is None and running:
        return refused_answer(_claimed_refusal(held.fingerprint, request))
    detail = "the request may have run; its outcome is not known"
    return refused_answer(Refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_CLAIMED, detail))


def _claimed_refusal(fingerprint: str, request: ClaimRequest) -> Refusal:
    """Return the refusal of a claim whose key a running request holds.

    Args:
        fingerprint: Fingerprint of the request that holds the key.
        request: The refused claim.
    """
    if fingerprint != request["fingerprint"]:
        return not_run(Reason.KEY_MISMATCH, "the key belongs to another request")
    # NOT_RUN would be true of this repeat only, but callers would apply it to
    # the original request.
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.KEY_CLAIMED,
        "a request with this key is running",
        RETRY_AFTER_S,
    )


def _decide_without_log(
    home: ClaimHome, partition: Partition, request: ClaimRequest
) -> ClaimsAnswer:
    """Decide on a claim while the log is unavailable.

    Depending on the route, the claim is refused or granted in this node's memory.
    """
    if held := partition.holder(request["key"]):
        return _answer_for_held_key(home, held, request)
    if request["without_log"] != "memory" or partition.is_full():
        return refused_answer(unavailable_refusal("the log is not available"))
    partition.unlogged_by_key[request["key"]] = KeyState(
        request["claim"],
        request["fingerprint"],
        home.wall_ms(),
        hold_ms_of(request),
        None,
    )
    partition.pending_by_key.pop(request["key"], None)
    partition.queue_entry(claim_entry(request))
    start_appending(home, partition)
    return ClaimsAnswer(outcome="granted")


async def _record_reported_outcome(home: ClaimHome, outcome: ClaimOutcome) -> bool:
    """Record an outcome that an entry reports.

    Returns:
        Whether it was taken; if not, the entry must report it again later.
    """
    partition = home.partition(outcome["key"])
    if outcome["verdict"] == Verdict.NOT_RUN.value:
        _release(home, partition, outcome)
        return True
    held = _state_held_by(partition, outcome)
    if held is None:
        log_reachable = await refresh_partition(home, partition)
        held = _state_held_by(partition, outcome)
        if held is None:
            return log_reachable
    if held.verdict is not None:
        return True
    _record_outcome(home, partition, outcome)
    if "answer" in outcome:
        until = home.monotonic() + home.key_ttl_s
        home.answers.add(outcome["claim"], outcome["answer"], until)
    return True


def _state_held_by(partition: Partition, outcome: ClaimOutcome) -> KeyState | None:
    """Return the state of an outcome's key if the outcome's claim holds it."""
    held = partition.holder(outcome["key"])
    return held if held is not None and held.claim == outcome["claim"] else None


def _record_outcome(
    home: ClaimHome, partition: Partition, outcome: ClaimOutcome
) -> None:
    partition.verdict_by_claim[outcome["claim"]] = Verdict(outcome["verdict"])
    partition.queue_entry(outcome_entry(outcome))
    start_appending(home, partition)


def _release(home: ClaimHome, partition: Partition, outcome: ClaimOutcome) -> None:
    """Release a claim that its entry does not use, even if it arrives only later."""
    partition.released_claims[outcome["claim"]] = None
    if len(partition.released_claims) > MAX_RELEASED_CLAIMS:
        partition.released_claims.popitem(last=False)
    pending = partition.pending_by_key.get(outcome["key"])
    if pending is not None and pending.request["claim"] == outcome["claim"]:
        # The claim has not been appended, so the log needs no outcome.
        del partition.pending_by_key[outcome["key"]]
        pending.resolve(False)
        return
    if outcome["claim"] not in partition.verdict_by_claim:
        _record_outcome(home, partition, outcome)
