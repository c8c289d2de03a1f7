"""Load balancing by two random choices, weighted by free capacity."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple, Protocol

from siskinlug.load import LoadReport

# Round-trip time by distance: same VM, same failure domain, same region, other region.
# The second value is the cost of the second hop. The third adds 1.5 ms each way between
# failure domains.
DISTANCE_MS = (0.0, 1.0, 4.0, 20.0)
# Half-life of the weight of a load report. At peak a target's queue turns over in tens
# of milliseconds, so a report older than a second says little.
REPORT_HALF_LIFE_S = 0.25
MAX_TRACKED_TARGETS = 4096  # the fleet has about 3,500
# Upper bound for reported times, which may also be infinite or not a number.
MAX_REPORTED_MS = 86_400_000.0
# Larger pools are sampled first. Estimating all 43 targets of a large service would
# cost more than the rest of the entry's work.
MAX_ESTIMATED_CANDIDATES = 16
# Weight of a target without free slots, so that it is still drawn when all are full.
_MIN_FREE_SHARE = 0.05


class Candidate(NamedTuple):
    """A target that may receive a request.

    Attributes:
        target: Target id.
        node: The node that owns it.
        distance: 0 same VM, 1 same failure domain, 2 same region, 3 other region.
        weight: Weight of its failure domain in the pools table.
        slots: Slots that the pool may use there.
        load: Last load report that this entry received, if any.
        load_age_s: Age of the report, in seconds.
        penalty_ms: Time added for failures on the path from this entry to the owner,
            in milliseconds.
        incarnation: Incarnation of the target, 0 if unknown.
    """

    target: str
    node: str
    distance: int
    weight: float
    slots: int
    load: LoadReport | None = None
    load_age_s: float = 0.0
    penalty_ms: float = 0.0
    incarnation: int = 0

    @property
    def process(self) -> tuple[str, int]:
        """The target with its incarnation."""
        return self.target, self.incarnation


class LoadBalancer(Protocol):
    """Chooses the target of a request among candidates."""

    def __call__(
        self, candidates: Sequence[Candidate], *, long_work: bool = False
    ) -> Candidate | None:
        """Return the chosen candidate, or ``None`` if none is usable.

        Args:
            candidates: The candidates.
            long_work: Whether the request counts as long work.
        """


class _LoadEstimate(NamedTuple):
    """Free share of the slots of a target and expected time of a request there."""

    free_share: float
    expected_ms: float


class _SentCounter:
    """Counts the requests sent to each target since its last load report.

    Without these counts an entry would send a whole burst to the target that looked
    best at its start.
    """

    def __init__(self) -> None:
        self._sent_by_target: dict[str, tuple[LoadReport, int]] = {}

    def count(self, candidate: Candidate) -> int:
        report, sent = self._sent_by_target.get(candidate.target, (None, 0))
        return sent if report is candidate.load else 0

    def record(self, candidate: Candidate) -> None:
        if candidate.load is None:
            return
        sent = self.count(candidate) + 1
        if len(self._sent_by_target) >= MAX_TRACKED_TARGETS:
            self._sent_by_target.clear()
        self._sent_by_target[candidate.target] = candidate.load, sent


def _estimate(load: LoadReport, long_work: bool, sent: int) -> _LoadEstimate:
    """Estimate the load of a target from its report.

    Args:
        load: The target's report.
        long_work: Whether the request counts as long work.
        sent: Requests that this entry has sent to the target since the report.
    """
    service_ms = _bounded_ms(load.service_ms)
    if load.slots <= 0:
        return _LoadEstimate(0.0, _bounded_ms(load.wait_ms) + service_ms)
    if long_work:
        free_slots = max(load.long_free - sent, 0)
        return _LoadEstimate(free_slots / load.slots, _bounded_ms(load.long_wait_ms))
    busy = load.in_use + load.queued + sent
    utilization = min(busy / load.slots, 1.0)
    excess = min(max(busy - load.slots, 0), sent)
    wait_ms = _bounded_ms(load.wait_ms) + service_ms * excess / load.slots
    # A target with one free slot left is likely to be full when the request arrives,
    # so half of the service time, scaled by the squared utilization, counts as wait.
    expected_ms = wait_ms + service_ms * (1.0 + 0.5 * utilization * utilization)
    return _LoadEstimate(1.0 - utilization, expected_ms)


def _bounded_ms(value: float) -> float:
    """Return a reported time, or the upper bound if it is out of range or NaN."""
    return value if 0.0 <= value <= MAX_REPORTED_MS else MAX_REPORTED_MS


def _estimate_all(
    candidates: Sequence[Candidate], long_work: bool, sent: "_SentCounter"
) -> list[_LoadEstimate]:
    """Estimate the load of each candidate.

    The older its report, the closer the estimate of a candidate is to the mean of all,
    in which fresh reports count more. The mean includes one half-used target without a
    wait, so that an entry whose only report is of its own busy target still tries the
    others.
    """
    known_estimates = [
        c.load and (_estimate(c.load, long_work, sent.count(c)), _report_weight(c))
        for c in candidates
    ]
    service_ms = min(
        (_bounded_ms(c.load.service_ms) for c in candidates if c.load), default=0.0
    )
    free_share, expected_ms, total_weight = 0.5, 0.0 if long_work else service_ms, 1.0
    for known in known_estimates:
        if known:
            estimate, weight = known
            free_share += weight * estimate.free_share
            expected_ms += weight * estimate.expected_ms
            total_weight += weight
    mean = _LoadEstimate(free_share / total_weight, expected_ms / total_weight)
    return [
        _LoadEstimate(
            mean.free_share + known[1] * (known[0].free_share - mean.free_share),
            mean.expected_ms + known[1] * (known[0].expected_ms - mean.expected_ms),
        )
        if known
        else mean
        for known in known_estimates
    ]


def _report_weight(candidate: Candidate) -> float:
    return float(0.5 ** (max(candidate.load_age_s, 0.0) / REPORT_HALF_LIFE_S))


def _sample_candidates(candidates: list[Candidate], random: Random) -> list[Candidate]:
    """Draw up to ``MAX_ESTIMATED_CANDIDATES`` by weight and slots, plus the own VM."""
    weights = [c.weight * c.slots for c in candidates]
    drawn = set(
        random.choices(range(len(candidates)), weights, k=MAX_ESTIMATED_CANDIDATES)
    )
    return [c for i, c in enumerate(candidates) if i in drawn or c.distance == 0]


def make_load_balancer(*, random: Random) -> LoadBalancer:
    """Make the load balancer of one entry.

    It uses the power of two choices (Mitzenmacher, 2001): two different candidates are
    drawn at random, weighted by free capacity, and the one with the lower expected time
    is chosen. Targets on the entry's own VM are always compared as well, since their
    load is known exactly and they need no second hop.

    Args:
        random: Source of randomness.

    Returns:
        The load balancer. Candidates without weight or slots are not usable.
    """
    sent = _SentCounter()

    def choose(
        candidates: Sequence[Candidate], *, long_work: bool = False
    ) -> Candidate | None:
        usable = [c for c in candidates if c.weight > 0 and c.slots > 0]
        if len(usable) <= 1:
            return usable[0] if usable else None
        if len(usable) > MAX_ESTIMATED_CANDIDATES:
            usable = _sample_candidates(usable, random)
            if len(usable) == 1:
                return usable[0]
        estimates = _estimate_all(usable, long_work, sent)
        weights = [
            c.weight * c.slots * max(estimate.free_share, _MIN_FREE_SHARE)
            for c, estimate in zip(usable, estimates, strict=True)
        ]
        indexes = range(len(usable))
        first = random.choices(indexes, weights)[0]
        weights[first] = 0.0
        second = random.choices(indexes, weights)[0]

        def cost_ms(index: int) -> float:
            candidate = usable[index]
            distance = min(candidate.distance, len(DISTANCE_MS) - 1)
            # Differences below 1 ms are noise: the remaining weight of a stale report
            # must not decide. On a tie the candidate that was drawn first wins.
            return round(
                estimates[index].expected_ms
                + DISTANCE_MS[distance]
                + candidate.penalty_ms
            )

        own_vm = [index for index in indexes if usable[index].distance == 0]
        chosen = usable[min(first, second, *own_vm, key=cost_ms)]
        sent.record(chosen)
        return chosen

    return choose
