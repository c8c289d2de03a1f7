"""Health of the network paths from one entry to the owners.

Only failures of the path count here: connections refused, reset or silent between
this entry and a node. Failures of a target are evidence for its owner. A path's score
affects only the choices of this entry and never ejects a target.
"""

import math
from collections.abc import Awaitable, Callable, Sequence

from siskinlug.connections import Address, ConnectionPool
from siskinlug.load_balancing import Candidate

# A path is avoided from this score on. Each failure adds 1, so two failures within a
# second suffice, and one alone only adds a penalty to the path's targets.
AVOID_SCORE = 1.7
MAX_SCORE = 8.0
# The score decays from its maximum to ``AVOID_SCORE`` in about 11 s, after which the
# path is tried again.
_HALF_LIFE_S = 5.0
_ANSWER_SCORE_FACTOR = 0.5
_PENALTY_MS_PER_FAILURE = 100.0
_MIN_SAMPLE_WEIGHT = 0.05
_MIN_SAMPLES = 8
# With lognormal times fewer than one response in 10,000 takes longer than six mean
# deviations of the logarithm. An unnecessary check costs one connection.
_CHECK_DEVIATIONS = 6.0
_MIN_DEVIATION = 0.25
_MIN_CHECK_AFTER_S = 0.2


class _PathState:
    """Decaying failure score of one path."""

    def __init__(self, now: float) -> None:
        self.score = 0.0
        self.scored_at = now
        self.checking = False


class _FirstByteTimes:
    """Moving mean and mean deviation of the logarithm of the time to first byte."""

    def __init__(self) -> None:
        self.samples = 0
        self.mean_log = 0.0
        self.mean_deviation = 0.0


class Paths:
    """State of the paths from one entry.

    Attributes:
        monotonic: Clock in seconds.
        path_by_node: Paths that have failed or have been checked.
        first_byte_times_by_route: Times to first byte over all paths.
    """

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.path_by_node: dict[str, _PathState] = {}
        self.first_byte_times_by_route: dict[str, _FirstByteTimes] = {}


def make_paths(*, monotonic: Callable[[], float]) -> Paths:
    """Build the state of an entry that has used no path yet.

    Args:
        monotonic: Monotonic clock in seconds.
    """
    return Paths(monotonic=monotonic)


def record_path_answer(
    paths: Paths, node: str, route: str, first_byte_s: float
) -> None:
    """Record that an owner answered, with a response or with a refusal.

    Args:
        paths: The paths of the entry.
        node: The owner's node.
        route: Route name.
        first_byte_s: Time from sending to the first byte of the answer, in seconds.
    """
    if node in paths.path_by_node:
        path = _decayed_path(paths, node)
        path.score *= _ANSWER_SCORE_FACTOR
    times = paths.first_byte_times_by_route.setdefault(route, _FirstByteTimes())
    times.samples += 1
    weight = max(1.0 / times.samples, _MIN_SAMPLE_WEIGHT)
    log_s = math.log(max(first_byte_s, 1e-4))
    difference = log_s - times.mean_log if times.samples > 1 else 0.0
    times.mean_log = (
        log_s if times.samples == 1 else times.mean_log + weight * difference
    )
    times.mean_deviation += weight * (abs(difference) - times.mean_deviation)


def record_path_failure(paths: Paths, node: str) -> None:
    """Record that a connection to an owner was refused, reset or silent.

    Not for failures between owner and target, which the owner reports.
    """
    path = _decayed_path(paths, node)
    path.score = min(path.score + 1.0, MAX_SCORE)


def penalty_ms(paths: Paths, node: str) -> float:
    """Return the cost that a path adds to its targets, for ``Candidate.penalty_ms``."""
    if node not in paths.path_by_node:
        return 0.0
    return _PENALTY_MS_PER_FAILURE * _decayed_path(paths, node).score


def usable_candidates(
    paths: Paths, candidates: Sequence[Candidate], floor_slots: int
) -> list[Candidate]:
    """Leave out targets behind failing paths, but keep the pool's floor.

    Args:
        paths: The paths of the entry.
        candidates: The available targets of one pool.
        floor_slots: The pool's floor; at least one target is kept in any case.

    Returns:
        The targets to choose from, in the given order. If healthy paths do not reach
        the floor, targets behind the paths with the lowest scores are kept too.
    """
    score_by_node = {
        candidate.node: _decayed_path(paths, candidate.node).score
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


def path_check_after_s(paths: Paths, route: str, limit_s: float) -> float:
    """Return after how many seconds without a first byte to check the path.

    Long work takes longer than this too, so it is a reason to call ``check_path`` but
    never a reason to abandon the request.

    Args:
        paths: The paths of the entry.
        route: Route name.
        limit_s: Time left to the deadline in seconds, the upper limit of the result.
    """
    times = paths.first_byte_times_by_route.get(route)
    if times is None or times.samples < _MIN_SAMPLES:
        return limit_s
    margin = _CHECK_DEVIATIONS * max(times.mean_deviation, _MIN_DEVIATION)
    check_after_s = math.exp(min(times.mean_log + margin, 20.0))
    return min(max(check_after_s, _MIN_CHECK_AFTER_S), limit_s)


async def check_path(
    paths: Paths,
    node: str,
    address: Address,
    *,
    check: Callable[[], Awaitable[bool]],
    connections: ConnectionPool,
) -> bool | None:
    """Check a silent peer over a new connection.

    If the peer answers, the idle connections to it, all older than the check, are
    closed, since they may be silent too. Otherwise a path failure is recorded.

    Args:
        paths: The paths of the entry.
        node: The peer.
        address: The address of its peer port.
        check: Makes one round trip over a new connection within a time limit.
        connections: The pool whose idle connections are closed.

    Returns:
        Whether the peer answered, or ``None`` if a check is already running.
    """
    path = _decayed_path(paths, node)
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
        record_path_failure(paths, node)
    return answered


def forget_path(paths: Paths, node: str) -> None:
    """Drop the state of a path when its node has died or was replaced."""
    paths.path_by_node.pop(node, None)


def _decayed_path(paths: Paths, node: str) -> _PathState:
    """Return a path's state with its score decayed to now; make it if missing."""
    now = paths.monotonic()
    path = paths.path_by_node.setdefault(node, _PathState(now))
    path.score *= 0.5 ** (max(now - path.scored_at, 0.0) / _HALF_LIFE_S)
    path.scored_at = now
    return path
