"""Choice of a target: two weighted draws, the lower expected time wins."""

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from siskinlug.load import LoadReport

# Round trip in milliseconds by distance: same VM, failure domain, region, other
# region. The second value is the cost of the second hop, the third adds the 1.5 ms
# one way between failure domains.
DISTANCE_MS = (0.0, 1.0, 4.0, 20.0)
# Age at which a load report counts half. At peak a target's queue turns over in
# tens of milliseconds, so a report older than a second says little.
HALF_LIFE_S = 0.25
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


class _View(NamedTuple):
    free: float
    expected_ms: float


def _mean_view(candidates: Sequence[Candidate]) -> _View:
    """Return what to assume of a target whose report is missing or stale."""
    loads = [c.load for c in candidates if c.load is not None]
    if not loads:
        return _View(0.5, 0.0)
    free = sum(_free(load) for load in loads) / len(loads)
    expected = sum(_expected_ms(load) for load in loads) / len(loads)
    return _View(free, expected)


def _free(load: LoadReport) -> float:
    busy = load.in_use + load.queued
    return max(load.slots - busy, 0) / load.slots if load.slots else 0.0


def _expected_ms(load: LoadReport) -> float:
    # A target with one free slot left is likely to be full on arrival, so part of
    # the service time counts as wait in proportion to the square of the use.
    use = (load.in_use + load.queued) / load.slots if load.slots else 1.0
    return load.wait_ms + load.service_ms * (1.0 + 0.5 * min(use, 1.0) ** 2)


def _view(candidate: Candidate, mean: _View) -> _View:
    if candidate.load is None:
        return mean
    trust = 0.5 ** (max(candidate.load_age_s, 0.0) / HALF_LIFE_S)
    return _View(
        trust * _free(candidate.load) + (1 - trust) * mean.free,
        trust * _expected_ms(candidate.load) + (1 - trust) * mean.expected_ms,
    )


def make_choice(*, random: Random) -> Callable[[Sequence[Candidate]], Candidate | None]:
    """Make the choice of one entry.

    Power of two choices (Mitzenmacher, 2001): two different candidates are drawn at
    random, weighted by free capacity, and the one with the lower expected time is
    taken.

    Args:
        random: Source of randomness.

    Returns:
        A function from candidates to the chosen one; ``None`` if none has weight.
    """

    def choose(candidates: Sequence[Candidate]) -> Candidate | None:
        usable = [c for c in candidates if c.weight > 0 and c.slots > 0]
        if len(usable) <= 1:
            return usable[0] if usable else None
        mean = _mean_view(usable)
        views = [_view(c, mean) for c in usable]
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
            return (
                views[place].expected_ms + DISTANCE_MS[distance] + candidate.penalty_ms
            )

        return usable[min(first, second, key=cost_ms)]

    return choose
