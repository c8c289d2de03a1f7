"""The home of a key: grants claims and records their outcomes."""

import asyncio
from contextlib import suppress

from siskinlug.claim_fold import KeyState, claim_entry, settle_entry
from siskinlug.claim_log import refresh, start_appending
from siskinlug.claim_messages import (
    CLAIM_TIMEOUT_S,
    RETRY_AFTER_S,
    ClaimOutcome,
    ClaimRequest,
    ClaimsAnswer,
    ClaimsMessage,
    hold_ms_of,
    refused,
    unavailable,
)
from siskinlug.claim_state import ClaimHome, Partition, Waiter
from siskinlug.verdict import Reason, Refusal, Verdict, not_run

MAX_WAITING = 1024
MAX_RELEASED = 1024


async def answer_claims(home: ClaimHome, request: ClaimsMessage) -> ClaimsAnswer:
    """Answer ``POST /peer/claims`` as the home of a key.

    A node that is not the home in its own view answers too: two homes are ordered by
    the log.
    """
    if "note" in request:
        noted = await _take_note(home, request["note"])
        return ClaimsAnswer(outcome="noted" if noted else "later")
    return await _grant(home, request["ask"])


async def _grant(home: ClaimHome, ask: ClaimRequest) -> ClaimsAnswer:
    partition = home.partition(ask["key"])
    reached = home.monotonic() >= partition.log_down_until
    if partition.holder(ask["key"]):
        # A key that seems free is decided by the append; any other answer must not
        # rest on an old state, since another home may have freed the key.
        reached = await refresh(home, partition)
    if decided := _decided(home, partition, ask):
        return decided
    waiter = partition.waiter(ask["key"])
    if waiter is not None and waiter.ask["claim"] != ask["claim"]:
        return refused(_claimed_refusal(waiter.ask["fingerprint"], ask))
    if not reached:
        return _decide_without_log(home, partition, ask)
    if waiter is None:
        if len(partition.waiter_by_key) >= MAX_WAITING or partition.is_full():
            return refused(unavailable("the home of the key is full"))
        waiter = _enqueue(home, partition, ask)
    return await _wait_for_append(home, partition, waiter, ask)


def _decided(
    home: ClaimHome, partition: Partition, ask: ClaimRequest
) -> ClaimsAnswer | None:
    """Answer a claim that was released or whose key is held, ``None`` otherwise."""
    if ask["claim"] in partition.released:
        return refused(unavailable("the claim was released"))
    held = partition.holder(ask["key"])
    return _held_answer(home, held, ask) if held is not None else None


def _enqueue(home: ClaimHome, partition: Partition, ask: ClaimRequest) -> Waiter:
    waiter = Waiter(ask)
    partition.waiter_by_key[ask["key"]] = waiter
    partition.claim_arrived.set()
    start_appending(home, partition)
    return waiter


async def _wait_for_append(
    home: ClaimHome, partition: Partition, waiter: Waiter, ask: ClaimRequest
) -> ClaimsAnswer:
    logged = False
    with suppress(TimeoutError):
        logged = await asyncio.wait_for(asyncio.shield(waiter.done), CLAIM_TIMEOUT_S)
    if decided := _decided(home, partition, ask):
        return decided
    if logged:
        # Another claim held the key when this one was read, and was freed since.
        return refused(unavailable("the key was claimed and freed meanwhile"))
    return _decide_without_log(home, partition, ask)


def _held_answer(home: ClaimHome, held: KeyState, ask: ClaimRequest) -> ClaimsAnswer:
    """Answer a claim whose key is held, maybe by this very claim."""
    if held.claim == ask["claim"] and held.verdict is None:
        return ClaimsAnswer(outcome="granted")
    if held.fingerprint != ask["fingerprint"]:
        return refused(_claimed_refusal(held.fingerprint, ask))
    if held.verdict is Verdict.RAN:
        answer = home.answers.get(held.claim, home.monotonic())
        if answer is not None:
            return ClaimsAnswer(outcome="answered", answer=answer)
        detail = "the request ran; its answer is no longer held"
        return refused(Refusal(Verdict.RAN, Reason.KEY_CLAIMED, detail))
    running = home.wall_ms() < held.at_ms + held.hold_ms
    if held.verdict is None and running:
        return refused(_claimed_refusal(held.fingerprint, ask))
    detail = "the request may have run; its outcome is not known"
    return refused(Refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_CLAIMED, detail))


def _claimed_refusal(fingerprint: str, ask: ClaimRequest) -> Refusal:
    if fingerprint != ask["fingerprint"]:
        return not_run(Reason.KEY_MISMATCH, "the key belongs to another request")
    # Not run would hold for this repeat only, and callers would take it for the key.
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.KEY_CLAIMED,
        "a request with this key is running",
        RETRY_AFTER_S,
    )


def _decide_without_log(
    home: ClaimHome, partition: Partition, ask: ClaimRequest
) -> ClaimsAnswer:
    """Decide while the log is away: refuse, or by this node's memory alone."""
    if held := partition.holder(ask["key"]):
        return _held_answer(home, held, ask)
    if ask["without_log"] != "memory" or partition.is_full():
        return refused(unavailable("the log is not available"))
    partition.unlogged_by_key[ask["key"]] = KeyState(
        ask["claim"], ask["fingerprint"], home.wall_ms(), hold_ms_of(ask), None
    )
    partition.waiter_by_key.pop(ask["key"], None)
    partition.add_entry(claim_entry(ask))
    start_appending(home, partition)
    return ClaimsAnswer(outcome="granted")


async def _take_note(home: ClaimHome, note: ClaimOutcome) -> bool:
    """Record an outcome; false if the entry must tell it again later."""
    partition = home.partition(note["key"])
    if note["verdict"] == Verdict.NOT_RUN.value:
        _release(home, partition, note)
        return True
    held = _held_by(partition, note)
    if held is None:
        reached = await refresh(home, partition)
        held = _held_by(partition, note)
        if held is None:
            return reached
    if held.verdict is not None:
        return True
    _record_outcome(home, partition, note)
    if "answer" in note:
        until = home.monotonic() + home.key_ttl_s
        home.answers.add(note["claim"], note["answer"], until)
    return True


def _held_by(partition: Partition, note: ClaimOutcome) -> KeyState | None:
    """Return the state of a note's key if the note's claim holds it."""
    held = partition.holder(note["key"])
    return held if held is not None and held.claim == note["claim"] else None


def _record_outcome(home: ClaimHome, partition: Partition, note: ClaimOutcome) -> None:
    partition.verdict_by_claim[note["claim"]] = Verdict(note["verdict"])
    partition.add_entry(settle_entry(note))
    start_appending(home, partition)


def _release(home: ClaimHome, partition: Partition, note: ClaimOutcome) -> None:
    """Free a key that its entry does not use, even if the claim arrives later."""
    partition.released[note["claim"]] = None
    if len(partition.released) > MAX_RELEASED:
        partition.released.popitem(last=False)
    waiter = partition.waiter_by_key.get(note["key"])
    if waiter is not None and waiter.ask["claim"] == note["claim"]:
        # It has not been appended, so that there is nothing to free in the log.
        del partition.waiter_by_key[note["key"]]
        waiter.resolve(False)
        return
    if note["claim"] not in partition.verdict_by_claim:
        _record_outcome(home, partition, note)
