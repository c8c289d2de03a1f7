"""Idempotency-Key claims, which let a request with a key run at most once.

Each key has a home node, which appends the claims of its keys to the platform's log.
The log's order decides between claims of one key, even if two nodes act as its home.
"""

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
    unavailable_refusal,
)
from siskinlug.claim_state import ClaimHome, partition_of
from siskinlug.log_client import Append, Read
from siskinlug.tables import Route
from siskinlug.verdict import Reason, Refusal, Verdict

KEY_TTL_S = 3600.0
# With 64 partitions this limits the fleet to 256 appends/s.
APPEND_INTERVAL_S = 0.25
# A claim without outcome counts as running for the route's timeout plus this margin.
HOLD_MARGIN_S = 5.0
DRAIN_TIMEOUT_S = 3.0
OUTCOME_RETRY_S = 30.0

_CLAIM_RETRY_S = 0.1


CallHome = Callable[[str, ClaimsMessage], Awaitable[ClaimsAnswer | None]]


class Claims:
    """Claims of one node, in its roles as an entry and as the home of partitions.

    Attributes:
        node: Node id.
        home: State of the node as a home.
        home_of: Returns the home node of a partition.
        call_home: Sends a message to another node; see ``make_claims``.
    """

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
    """A granted claim, to be completed once.

    Attributes:
        answer: Cached response of an earlier request with this key. If there is one,
            it is to be sent to the caller and nothing may run.
        completed: Whether the outcome was reported, or there is none to report.
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
        append: Appends to the log, like ``log_client.Log.append``.
        read: Reads from the log, like ``log_client.Log.read``.
        home_of: Returns the home node of a partition; see ``home_node``.
        call_home: Sends a message to another node and returns its response, or
            ``None`` if there was none.
        monotonic: Clock in seconds.
        wall_ms: Wall clock in milliseconds.
        key_ttl_s: Time for which a key runs at most once, in seconds; must be shorter
            than the log's retention by ``CLOCK_SKEW_S`` or more.
        append_interval_s: Minimum time between two appends of a partition, in seconds.
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


async def close_claims(claims: Claims, *, drain_s: float = DRAIN_TIMEOUT_S) -> None:
    """Write pending outcomes to the log, then cancel what still runs.

    Args:
        claims: The claims of this node.
        drain_s: Maximum time for writing, in seconds. Outcomes that are not in the log
            by then are lost, and their keys count as may have run.
    """
    home = claims.home
    home.closing = True
    for partition in home.partition_by_number.values():
        partition.claim_arrived.set()
    with suppress(TimeoutError):
        async with asyncio.timeout(drain_s):
            # Delivering an outcome may start another task, which appends it.
            while home.tasks:
                await asyncio.wait(list(home.tasks))
    for task in list(home.tasks):
        task.cancel()
    await asyncio.gather(*home.tasks, return_exceptions=True)


def key_digest(account: str, key: str) -> str:
    """Return the digest of an account and its key; accounts do not share keys."""
    data = f"{len(account)}:{account}:{key}".encode()
    return str(xxhash.xxh3_128_hexdigest(data))


def short_digest(name: str) -> str:
    """Return the digest that represents a claim id or a fingerprint in the log.

    It is compared only among the claims of one key, so 64 bits are enough.
    """
    return str(xxhash.xxh3_64_hexdigest(name.encode()))


def home_node(partition: int, nodes: Iterable[str]) -> str:
    """Return the home node of a partition by rendezvous hashing.

    Returns:
        The node id, or an empty string if there are no nodes.
    """
    return max(
        nodes,
        key=lambda node: (xxhash.xxh64_intdigest(f"{partition}:{node}".encode()), node),
        default="",
    )


async def claim_key(
    claims: Claims,
    key: str,
    fingerprint: str,
    claim_id: str,
    route: Route,
) -> Result[Claim, Refusal]:
    """Claim a key for one request at the key's home node.

    Args:
        claims: The claims of this node.
        key: ``key_digest`` of account and key.
        fingerprint: ``quarantine.fingerprint_of`` of the request without its key.
        claim_id: Id of the claim, unique in the fleet.
        route: Route of the request.

    Returns:
        The claim, which the caller must complete in any case, or a refusal. Its verdict
        is about all requests with this key and fingerprint: a repeat of one that still
        runs or has run is refused as ``MAY_HAVE_RUN`` or ``RAN``, and so is one whose
        key is ``KEY_UNAVAILABLE``, since nothing is known of earlier requests.
    """
    request = ClaimRequest(
        key=key,
        fingerprint=short_digest(fingerprint),
        claim=short_digest(claim_id),
        hold_s=route.timeout_s + HOLD_MARGIN_S,
        without_log=route.claims_without_log,
    )
    must_release = True
    try:
        answer = await _request_claim(
            claims, request, min(route.timeout_s, CLAIM_TIMEOUT_S)
        )
        result = _result_of_answer(claims, request, answer)
        must_release = (
            isinstance(result, Failure)
            and result.failure().reason is Reason.KEY_UNAVAILABLE
        )
        return result
    finally:
        if must_release:
            # The claim may be in the log nonetheless. Only the entry may release it,
            # since a home node does not know whether the entry asked another home too.
            unused = Claim(claims, key, request["claim"], None)
            await complete_claim(unused, Verdict.NOT_RUN, 0, (), None)


async def _request_claim(
    claims: Claims, request: ClaimRequest, timeout_s: float
) -> ClaimsAnswer | None:
    """Repeat a claim request until the home node answers, ``None`` on timeout."""
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            while True:
                answer = await _send_to_home(claims, ClaimsMessage(ask=request))
                if answer is not None:
                    return answer
                await asyncio.sleep(_CLAIM_RETRY_S)
    return None


def _result_of_answer(
    claims: Claims, request: ClaimRequest, answer: ClaimsAnswer | None
) -> Result[Claim, Refusal]:
    if answer is None:
        return Failure(unavailable_refusal("the home of the key does not answer"))
    if answer["outcome"] == "granted":
        return Success(Claim(claims, request["key"], request["claim"], None))
    if answer["outcome"] == "answered":
        return Success(
            Claim(claims, request["key"], request["claim"], answer["answer"])
        )
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
    """Report the outcome of a claim to the home node, in a task of its own.

    Args:
        claim: The claim. Completing it again has no effect.
        verdict: Outcome of the request. ``NOT_RUN`` releases the key, after which
            nothing may run under this claim.
        status: Status of the target's response.
        headers: End-to-end headers of the response.
        body: Complete body of the response, ``None`` if it is not to be cached.
    """
    if claim.completed:
        return
    claim.completed = True
    outcome = ClaimOutcome(key=claim.key, claim=claim.claim_id, verdict=verdict.value)
    if verdict is Verdict.RAN and body is not None:
        answer = CachedAnswer(status=status, headers=list(headers), body=body)
        if answer_size(answer) <= MAX_ANSWER_BYTES:
            outcome["answer"] = answer
    claim.claims.home.start_task(_deliver_outcome(claim.claims, outcome))


async def _deliver_outcome(claims: Claims, outcome: ClaimOutcome) -> None:
    monotonic = claims.home.monotonic
    retry_until = monotonic() + OUTCOME_RETRY_S
    retry_delay_s = 0.1
    while monotonic() < retry_until:
        answer = await _send_to_home(claims, ClaimsMessage(note=outcome))
        if answer is not None and answer["outcome"] == "noted":
            return
        await asyncio.sleep(retry_delay_s)
        retry_delay_s = min(2 * retry_delay_s, 2.0)


async def _send_to_home(claims: Claims, message: ClaimsMessage) -> ClaimsAnswer | None:
    key = message["ask"]["key"] if "ask" in message else message["note"]["key"]
    home = claims.home_of(partition_of(key))
    if home == claims.node:
        return await serve_claims(claims, message)
    return await claims.call_home(home, message) if home else None


async def serve_claims(claims: Claims, message: ClaimsMessage) -> ClaimsAnswer:
    """Answer ``POST /peer/claims``; see ``claim_home.answer_claims``."""
    return await answer_claims(claims.home, message)
