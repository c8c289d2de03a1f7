"""An entry's own view of the path to each owner.

Only failures of the path count here: connections refused, reset or silent between
this entry and a node. What a target does is its owner's evidence. The view changes
this entry's own choices and ejects nothing.
"""

import math
from collections.abc import Awaitable, Callable, Sequence

from siskinlug.choice import Candidate
from siskinlug.connections import Address, ConnectionPool

# Two failures within a second avoid a path; one only makes it less attractive.
AVOID_SCORE = 1.7
SCORE_MAX = 8.0
# An avoided path is tried again after at most about 11 s (from 8 to 1.7).
_HALF_LIFE_S = 5.0
_ANSWER_FACTOR = 0.5
_PENALTY_MS = 100.0
_USUAL_WEIGHT = 0.05
_USUAL_MIN_ANSWERS = 8
# Six mean deviations of the logarithm are passed by fewer than one answer in 10,000
# of lognormal times; a check that was not needed costs one connection.
_BOUND_DEVIATIONS = 6.0
_DEVIATION_MIN = 0.25
_BOUND_MIN_S = 0.2


class _Path:
    def __init__(self, now: float) -> None:
        self.score = 0.0
        self.last = now
        self.checking = False


class _Usual:
    """Mean and mean deviation of the logarithm of the time to first byte."""

    def __init__(self) -> None:
        self.answers = 0
        self.log_s = 0.0
        self.deviation = 0.0


class Paths:
    """The state of the paths from one entry."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.path_by_node: dict[str, _Path] = {}
        self.usual_by_route: dict[str, _Usual] = {}


def make_paths(*, monotonic: Callable[[], float]) -> Paths:
    """Build the view of an entry that has used no path yet.

    Args:
        monotonic: Monotonic clock in seconds.
    """
    return Paths(monotonic=monotonic)


def note_answer(paths: Paths, node: str, route: str, first_byte_s: float) -> None:
    """Note an answer of an owner, also one that is a refusal of its own.

    Args:
        paths: The view.
        node: The owner's node.
        route: Route name.
        first_byte_s: Time from sending to the answer's first byte.
    """
    if node in paths.path_by_node:
        path = _aged(paths, node)
        path.score *= _ANSWER_FACTOR
    usual = paths.usual_by_route.setdefault(route, _Usual())
    usual.answers += 1
    weight = max(1.0 / usual.answers, _USUAL_WEIGHT)
    log_s = math.log(max(first_byte_s, 1e-4))
    difference = log_s - usual.log_s if usual.answers > 1 else 0.0
    usual.log_s = log_s if usual.answers == 1 else usual.log_s + weight * difference
    usual.deviation += weight * (abs(difference) - usual.deviation)


def note_path_failure(paths: Paths, node: str) -> None:
    """Note a connection to an owner that was refused, reset or silent.

    A cut between owner and target, which the owner reports, does not count.
    """
    path = _aged(paths, node)
    path.score = min(path.score + 1.0, SCORE_MAX)


def penalty_ms(paths: Paths, node: str) -> float:
    """Return ``Candidate.penalty_ms`` for the targets of an owner."""
    if node not in paths.path_by_node:
        return 0.0
    return _PENALTY_MS * _aged(paths, node).score


def usable(
    paths: Paths, candidates: Sequence[Candidate], floor_slots: int
) -> list[Candidate]:
    """Leave out targets behind unhealthy paths, but never below the floor.

    Args:
        paths: The view.
        candidates: Targets of one pool that are in.
        floor_slots: The pool's floor; at least one target is kept in any case.

    Returns:
        The targets to choose from, in their order; where the floor needs more, the
        least unhealthy paths are kept too.
    """
    score_by_node = {
        candidate.node: _aged(paths, candidate.node).score
        for candidate in candidates
        if candidate.node in paths.path_by_node
    }
    kept_slots = 0
    kept: set[str] = set()
    for candidate in sorted(candidates, key=lambda c: score_by_node.get(c.node, 0.0)):
        avoided = score_by_node.get(candidate.node, 0.0) >= AVOID_SCORE
        if avoided and kept_slots >= max(floor_slots, 1):
            break
        kept.add(candidate.target)
        kept_slots += candidate.slots
    return [candidate for candidate in candidates if candidate.target in kept]


def first_byte_bound_s(paths: Paths, route: str, limit_s: float) -> float:
    """Return after how long without a first byte the path should be checked.

    The bound alone proves nothing: long work also passes it. It is never a reason to
    give up the request, only to call ``check_path``.

    Args:
        paths: The view.
        route: Route name.
        limit_s: Time left to the deadline, which bounds the result.
    """
    usual = paths.usual_by_route.get(route)
    if usual is None or usual.answers < _USUAL_MIN_ANSWERS:
        return limit_s
    spread = _BOUND_DEVIATIONS * max(usual.deviation, _DEVIATION_MIN)
    bound_s = math.exp(min(usual.log_s + spread, 20.0))
    return min(max(bound_s, _BOUND_MIN_S), limit_s)


async def check_path(
    paths: Paths,
    node: str,
    address: Address,
    *,
    check: Callable[[], Awaitable[bool]],
    connections: ConnectionPool,
) -> bool | None:
    """Check a peer over a new connection after a silence.

    If it answers, the idle connections to it, all older than the check, are closed,
    since they may be silent too. If it does not, the path has failed.

    Args:
        paths: The view.
        node: The peer.
        address: Its peer address.
        check: Makes one round trip over a new connection within a time limit.
        connections: The pool whose idle connections are closed.

    Returns:
        Whether the peer answered, or ``None`` if a check is already running.
    """
    path = _aged(paths, node)
    if path.checking:
        return None
    path.checking = True
    try:
        answered = await check()
    finally:
        path.checking = False
    if answered:
        connections.close_idle_connections(address)
    else:
        note_path_failure(paths, node)
    return answered


def forget_path(paths: Paths, node: str) -> None:
    """Drop the state of a path, as when the node died or was replaced."""
    paths.path_by_node.pop(node, None)


def _aged(paths: Paths, node: str) -> _Path:
    now = paths.monotonic()
    path = paths.path_by_node.setdefault(node, _Path(now))
    path.score *= 0.5 ** (max(now - path.last, 0.0) / _HALF_LIFE_S)
    path.last = now
    return path
