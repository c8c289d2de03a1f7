"""Idempotency-Key claims: a key runs at most once, ordered by the platform's log."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress

import xxhash
from returns.result import Failure, Result, Success

from siskinlug.claim_home import answer_claims
from siskinlug.claim_messages import (
    CLAIM_TIMEOUT_S,
    MAX_ANSWER_BYTES,
    CachedAnswer,
    ClaimOutcome,
    ClaimRequest,
    ClaimsAnswer,
    ClaimsMessage,
    answer_size,
    unavailable,
)
from siskinlug.claim_state import ClaimHome, partition_of
from siskinlug.log_client import Append, Read
from siskinlug.tables import Route
from siskinlug.verdict import Reason, Refusal, Verdict

KEY_TTL_S = 3600.0
# 64 partitions with one append each 0.25 s are at most 256 appends/s for the fleet.
APPEND_INTERVAL_S = 0.25
# Time after the route's limit during which a claim without outcome counts as running.
HOLD_MARGIN_S = 5.0
DRAIN_S = 3.0
SETTLE_TRIES_S = 30.0

_ASK_AGAIN_S = 0.1


CallHome = Callable[[str, ClaimsMessage], Awaitable[ClaimsAnswer | None]]


class Claims:
    """Claims as seen by one node: as an entry, and as the home of partitions."""

    def __init__(
        self,
        *,
        node: str,
        home: ClaimHome,
        home_of: Callable[[int], str],
        call_home: CallHome,
    ) -> None:
        self.node = node
        self.home = home
        self.home_of = home_of
        self.call_home = call_home


class Claim:
    """A granted claim, to be settled once.

    Attributes:
        answer: The answer of the request that ran before with this key; if there is
            one, pass it on and run nothing.
    """

    def __init__(
        self, claims: Claims, key: str, claim_id: str, answer: CachedAnswer | None
    ) -> None:
        self.claims = claims
        self.key = key
        self.claim_id = claim_id
        self.answer = answer
        self.completed = answer is not None


def make_claims(
    *,
    node: str,
    incarnation: int,
    append: Append,
    read: Read,
    home_of: Callable[[int], str],
    call_home: CallHome,
    monotonic: Callable[[], float],
    wall_ms: Callable[[], int],
    key_ttl_s: float = KEY_TTL_S,
    append_interval_s: float = APPEND_INTERVAL_S,
) -> Claims:
    """Build the claims of one node.

    Args:
        node: Node id.
        incarnation: Incarnation of the node.
        append: Append to the log, as of ``log_client.Log``.
        read: Read from the log, as of ``log_client.Log``.
        home_of: Home node of a partition; see ``home_node``.
        call_home: Sends a message to another node and returns its answer, ``None``
            if there was none.
        monotonic: Clock in seconds.
        wall_ms: Wall clock in milliseconds.
        key_ttl_s: Time for which a key runs at most once, in seconds; must be shorter
            than the log's retention by ``CLOCK_SKEW_S`` or more.
        append_interval_s: Least time between two appends of a partition, in seconds.
    """
    home = ClaimHome(
        home_id=f"{node}@{incarnation}",
        append=append,
        read=read,
        monotonic=monotonic,
        wall_ms=wall_ms,
        key_ttl_s=key_ttl_s,
        append_interval_s=append_interval_s,
    )
    return Claims(node=node, home=home, home_of=home_of, call_home=call_home)


async def close_claims(claims: Claims, *, drain_s: float = DRAIN_S) -> None:
    """Write outcomes to the log, then stop.

    Args:
        claims: The claims of this node.
        drain_s: Longest time for writing, in seconds; outcomes that are not in the log
            by then are lost, and their keys count as may have run.
    """
    home = claims.home
    home.closing = True
    for partition in home.partition_by_number.values():
        partition.claim_arrived.set()
    with suppress(TimeoutError):
        async with asyncio.timeout(drain_s):
            # A delivered outcome may start a task that writes it.
            while home.tasks:
                await asyncio.wait(list(home.tasks))
    for task in list(home.tasks):
        task.cancel()
    await asyncio.gather(*home.tasks, return_exceptions=True)


def key_digest(account: str, key: str) -> str:
    """Return the digest of an account's key; accounts do not share keys."""
    data = f"{len(account)}:{account}:{key}".encode()
    return str(xxhash.xxh3_128_hexdigest(data))


def short_digest(name: str) -> str:
    """Return the digest under which claim ids and fingerprints go to the log.

    Both are compared only among the claims of one key, so 64 bits are enough.
    """
    return str(xxhash.xxh3_64_hexdigest(name.encode()))


def home_node(partition: int, nodes: Iterable[str]) -> str:
    """Return the home of a partition by rendezvous hash, empty without nodes."""
    return max(
        nodes,
        key=lambda node: (xxhash.xxh64_intdigest(f"{partition}:{node}".encode()), node),
        default="",
    )


async def claim_key(
    claims: Claims,
    key: str,
    fingerprint: str,
    attempt: str,
    route: Route,
) -> Result[Claim, Refusal]:
    """Claim a key for one request.

    Args:
        claims: The claims of this node.
        key: ``key_digest`` of account and key.
        fingerprint: ``quarantine.fingerprint_of`` of the request without its key.
        attempt: Id of the claim, unique in the fleet, such as the id of the first
            attempt.
        route: Route of the request.

    Returns:
        The claim, to be settled whatever happens, or a refusal. ``NOT_RUN`` holds for
        the request that the key names; a repeat of one that still runs or has run is
        refused as ``MAY_HAVE_RUN`` or ``RAN``.
    """
    ask = ClaimRequest(
        key=key,
        fingerprint=short_digest(fingerprint),
        claim=short_digest(attempt),
        hold_s=route.timeout_s + HOLD_MARGIN_S,
        without_log=route.claims_without_log,
    )
    release = True
    try:
        answer = await _ask_home(claims, ask, min(route.timeout_s, CLAIM_TIMEOUT_S))
        result = _read_answer(claims, ask, answer)
        release = (
            isinstance(result, Failure)
            and result.failure().reason is Reason.KEY_UNAVAILABLE
        )
        return result
    finally:
        if release:
            # The claim may be in the log all the same. Only the entry may free it,
            # since a home cannot know whether the entry asked another home as well.
            unused = Claim(claims, key, ask["claim"], None)
            await complete_claim(unused, Verdict.NOT_RUN, 0, (), None)


async def _ask_home(
    claims: Claims, ask: ClaimRequest, timeout_s: float
) -> ClaimsAnswer | None:
    """Ask until the home answers, ``None`` if it does not in time."""
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            while True:
                answer = await _call(claims, ClaimsMessage(ask=ask))
                if answer is not None:
                    return answer
                await asyncio.sleep(_ASK_AGAIN_S)
    return None


def _read_answer(
    claims: Claims, ask: ClaimRequest, answer: ClaimsAnswer | None
) -> Result[Claim, Refusal]:
    if answer is None:
        return Failure(unavailable("the home of the key does not answer"))
    if answer["outcome"] == "granted":
        return Success(Claim(claims, ask["key"], ask["claim"], None))
    if answer["outcome"] == "answered":
        return Success(Claim(claims, ask["key"], ask["claim"], answer["answer"]))
    return Failure(
        Refusal(
            Verdict(answer["verdict"]),
            Reason(answer["reason"]),
            answer.get("detail", ""),
            answer.get("retry_after_s"),
        )
    )


async def complete_claim(
    claim: Claim,
    verdict: Verdict,
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes | None,
) -> None:
    """Tell the home what became of a claim, without waiting for the home.

    Args:
        claim: The claim; settling it again does nothing.
        verdict: ``NOT_RUN`` frees the key; then nothing may run for it any more.
        status: Status of the target's answer.
        headers: Its end-to-end headers.
        body: Its whole body, ``None`` if it is not to be kept.
    """
    if claim.completed:
        return
    claim.completed = True
    note = ClaimOutcome(key=claim.key, claim=claim.claim_id, verdict=verdict.value)
    if verdict is Verdict.RAN and body is not None:
        answer = CachedAnswer(status=status, headers=list(headers), body=body)
        if answer_size(answer) <= MAX_ANSWER_BYTES:
            note["answer"] = answer
    claim.claims.home.start(_deliver(claim.claims, note))


async def _deliver(claims: Claims, note: ClaimOutcome) -> None:
    monotonic = claims.home.monotonic
    give_up_at = monotonic() + SETTLE_TRIES_S
    pause_s = 0.1
    while monotonic() < give_up_at:
        answer = await _call(claims, ClaimsMessage(note=note))
        if answer is not None and answer["outcome"] == "noted":
            return
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, 2.0)


async def _call(claims: Claims, request: ClaimsMessage) -> ClaimsAnswer | None:
    key = request["ask"]["key"] if "ask" in request else request["note"]["key"]
    home = claims.home_of(partition_of(key))
    if home == claims.node:
        return await serve_claims(claims, request)
    return await claims.call_home(home, request) if home else None


async def serve_claims(claims: Claims, request: ClaimsMessage) -> ClaimsAnswer:
    """Answer ``POST /peer/claims``; see ``claim_home.answer_claims``."""
    return await answer_claims(claims.home, request)
