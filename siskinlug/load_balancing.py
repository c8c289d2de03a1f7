"""Choice of a target: two weighted draws and the own VM, the shortest time wins."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple, Protocol

from siskinlug.load import LoadReport

# Round trip in milliseconds by distance: same VM, failure domain, region, other
# region. The second value is the cost of the second hop, the third adds the 1.5 ms
# one way between failure domains.
DISTANCE_MS = (0.0, 1.0, 4.0, 20.0)
# Age at which a load report counts half. At peak a target's queue turns over in
# tens of milliseconds, so a report older than a second says little.
HALF_LIFE_S = 0.25
MAX_TARGETS = 4096  # the fleet has about 3,500
# Reported times above this, infinite or not a number count as this.
MAX_MS = 86_400_000.0
# Candidates whose reports are looked at. Larger pools are sampled first: looking at
# all 43 targets of a large service would cost more than the rest of the entry's work.
MAX_VIEWED = 16
# Weight of a target without free slots, so that it is still drawn when all are full.
_FULL_WEIGHT = 0.05


class Candidate(NamedTuple):
    """A target that may take a request.

    Attributes:
        target: Target id.
        node: The node that owns it.
        distance: 0 same VM, 1 same failure domain, 2 same region, 3 other region.
        weight: Weight of its failure domain in the pools table.
        slots: Slots as announced.
        load: Last load report this entry received, if any.
        load_age_s: Age of the report in seconds.
        penalty_ms: Extra time from this entry's own evidence on the path.
    """

    target: str
    node: str
    distance: int
    weight: float
    slots: int
    load: LoadReport | None = None
    load_age_s: float = 0.0
    penalty_ms: float = 0.0


class LoadBalancer(Protocol):
    """Chooses one of the candidates for a request."""

    def __call__(
        self, candidates: Sequence[Candidate], *, long_work: bool = False
    ) -> Candidate | None:
        """Return the chosen candidate, if any."""


class _View(NamedTuple):
    free: float
    expected_ms: float


class _Sent:
    """Requests sent to each target since its last report.

    Without them an entry sends a burst to the target that looked best before it.
    """

    def __init__(self) -> None:
        self._sent_by_target: dict[str, tuple[LoadReport, int]] = {}

    def since(self, candidate: Candidate) -> int:
        report, sent = self._sent_by_target.get(candidate.target, (None, 0))
        return sent if report is candidate.load else 0

    def note(self, candidate: Candidate) -> None:
        if candidate.load is None:
            return
        sent = self.since(candidate) + 1
        if len(self._sent_by_target) >= MAX_TARGETS:
            self._sent_by_target.clear()
        self._sent_by_target[candidate.target] = candidate.load, sent


def _view(load: LoadReport, long_work: bool, sent: int) -> _View:
    """Return free capacity, as a share of the slots, and the expected time.

    Args:
        load: The target's report.
        long_work: Whether the request is long work.
        sent: Requests that this entry sent there since the report.
    """
    service_ms = _bounded_ms(load.service_ms)
    if load.slots <= 0:
        return _View(0.0, _bounded_ms(load.wait_ms) + service_ms)
    if long_work:
        free = max(load.long_free - sent, 0)
        return _View(free / load.slots, _bounded_ms(load.long_wait_ms))
    busy = load.in_use + load.queued + sent
    use = min(busy / load.slots, 1.0)
    over = min(max(busy - load.slots, 0), sent)
    wait_ms = _bounded_ms(load.wait_ms) + service_ms * over / load.slots
    # A target with one free slot left is likely to be full on arrival, so part of
    # the service time counts as wait in proportion to the square of the use.
    expected_ms = wait_ms + service_ms * (1.0 + 0.5 * use * use)
    return _View(1.0 - use, expected_ms)


def _bounded_ms(value: float) -> float:
    """Return a reported time that can be added and rounded, whatever was reported."""
    return value if 0.0 <= value <= MAX_MS else MAX_MS


def _views(
    candidates: Sequence[Candidate], long_work: bool, sent: "_Sent"
) -> list[_View]:
    """Return a view of each candidate.

    A stale report counts less than the mean of the fresh ones. The mean includes one
    half-used target without a wait, so that an entry whose only report is of its own
    busy target still tries the others.
    """
    fresh = [
        c.load and (_view(c.load, long_work, sent.since(c)), _trust(c))
        for c in candidates
    ]
    service_ms = min(
        (_bounded_ms(c.load.service_ms) for c in candidates if c.load), default=0.0
    )
    free, expected_ms, total = 0.5, 0.0 if long_work else service_ms, 1.0
    for known in fresh:
        if known:
            view, trust = known
            free += trust * view.free
            expected_ms += trust * view.expected_ms
            total += trust
    mean = _View(free / total, expected_ms / total)
    return [
        _View(
            mean.free + known[1] * (known[0].free - mean.free),
            mean.expected_ms + known[1] * (known[0].expected_ms - mean.expected_ms),
        )
        if known
        else mean
        for known in fresh
    ]


def _trust(candidate: Candidate) -> float:
    return float(0.5 ** (max(candidate.load_age_s, 0.0) / HALF_LIFE_S))


def _sample(candidates: list[Candidate], random: Random) -> list[Candidate]:
    """Draw up to ``MAX_VIEWED`` candidates by weight and slots, and keep the own VM."""
    weights = [c.weight * c.slots for c in candidates]
    drawn = set(random.choices(range(len(candidates)), weights, k=MAX_VIEWED))
    return [c for i, c in enumerate(candidates) if i in drawn or c.distance == 0]


def make_load_balancer(*, random: Random) -> LoadBalancer:
    """Make the choice of one entry.

    Power of two choices (Mitzenmacher, 2001): two different candidates are drawn at
    random, weighted by free capacity, and the one with the lower expected time is
    taken. Targets of the entry's own VM always take part: their load is known
    exactly and they cost no second hop.

    Args:
        random: Source of randomness.

    Returns:
        A function from candidates, and whether the request is long work, to the
        chosen candidate; ``None`` if none has weight.
    """
    sent = _Sent()

    def choose(
        candidates: Sequence[Candidate], *, long_work: bool = False
    ) -> Candidate | None:
        usable = [c for c in candidates if c.weight > 0 and c.slots > 0]
        if len(usable) <= 1:
            return usable[0] if usable else None
        if len(usable) > MAX_VIEWED:
            usable = _sample(usable, random)
            if len(usable) == 1:
                return usable[0]
        views = _views(usable, long_work, sent)
        weights = [
            c.weight * c.slots * max(view.free, _FULL_WEIGHT)
            for c, view in zip(usable, views, strict=True)
        ]
        places = range(len(usable))
        first = random.choices(places, weights)[0]
        weights[first] = 0.0
        second = random.choices(places, weights)[0]

        def cost_ms(place: int) -> float:
            candidate = usable[place]
            distance = min(candidate.distance, len(DISTANCE_MS) - 1)
            # Differences below 1 ms mean nothing; the first drawn wins, so that a
            # target is not avoided for what a stale report still weighs.
            return round(
                views[place].expected_ms + DISTANCE_MS[distance] + candidate.penalty_ms
            )

        local = [place for place in places if usable[place].distance == 0]
        chosen = usable[min(first, second, *local, key=cost_ms)]
        sent.note(chosen)
        return chosen

    return choose
