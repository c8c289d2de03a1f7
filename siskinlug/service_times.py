"""Learned service times: quantiles by key, and which keys are long work."""

import math
from bisect import insort
from collections import OrderedDict
from collections.abc import Callable

MAX_KEYS = 2048  # the fleet has about 1,100 routes
MAX_POOLS = 256  # the fleet has 81 services
LONG_RATIO = 10.0
# A key that is long stays long until well below the ratio, so that it does not
# alternate between the classes.
LONG_EXIT_RATIO = 5.0
# Waiting behind work shorter than this is not worth a reserved slot.
LONG_FLOOR_S = 0.05
MIN_OBSERVATIONS = 8
EXACT_VALUES = 15
_SMALLEST_S = 1e-5


class Quantile:
    """Running quantile of a positive value, in constant memory.

    Stochastic approximation (Robbins and Monro, 1951) on the logarithm of the value,
    so that one step size fits microseconds and minutes, and heavy tails move the
    estimate no further than ordinary values do.
    """

    __slots__ = ("_first", "_log", "_step", "count", "quantile")

    def __init__(self, quantile: float, *, step: float) -> None:
        self.quantile = quantile
        self.count = 0
        self._step = step
        self._log = 0.0
        self._first: list[float] = []

    def add(self, value: float) -> None:
        """Take in one value."""
        log = math.log(max(value, _SMALLEST_S))
        self.count += 1
        if self.count <= EXACT_VALUES:
            # A first value far off would take hundreds of steps to leave.
            insort(self._first, log)
            place = int(self.quantile * len(self._first))
            self._log = self._first[place]
            if self.count == EXACT_VALUES:
                self._first = []
            return
        step = max(self._step, 1.0 / self.count)
        self._log += step * (self.quantile if log > self._log else self.quantile - 1)

    @property
    def value(self) -> float:
        """The estimate; 0 before the first value."""
        return math.exp(self._log) if self.count else 0.0


class _KeyTimes:
    __slots__ = ("long", "median", "upper")

    def __init__(self) -> None:
        self.median = Quantile(0.5, step=0.03)
        # At least a quarter of the requests of a long key are long.
        self.upper = Quantile(0.75, step=0.03)
        self.long = False


class ServiceTimes:
    """Service times by key, and the median of each pool.

    Keys are compared with the median of their pool: pools with different usual times
    would otherwise make each other's work long.
    """

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.median_by_pool: OrderedDict[str, Quantile] = OrderedDict()
        self.times_by_key: OrderedDict[str, _KeyTimes] = OrderedDict()


def make_service_times(*, monotonic: Callable[[], float]) -> ServiceTimes:
    """Make the service times of one entry."""
    return ServiceTimes(monotonic=monotonic)


def observe_service_time(
    times: ServiceTimes, key: str, service_s: float, *, pool: str = ""
) -> None:
    """Take in the service time of one answer.

    Args:
        times: The entry's service times.
        key: Route name.
        service_s: Time at the target without queueing, in seconds. Only answers
            that did the work belong here: fast errors would make a key look short.
        pool: Name of the key's pool.
    """
    known = times.times_by_key.get(key)
    if known is None:
        known = times.times_by_key[key] = _KeyTimes()
        if len(times.times_by_key) > MAX_KEYS:
            times.times_by_key.popitem(last=False)
    times.times_by_key.move_to_end(key)
    known.median.add(service_s)
    known.upper.add(service_s)
    median = times.median_by_pool.get(pool)
    if median is None:
        median = times.median_by_pool[pool] = Quantile(0.5, step=0.01)
        if len(times.median_by_pool) > MAX_POOLS:
            times.median_by_pool.popitem(last=False)
    median.add(service_s)
    ratio = LONG_EXIT_RATIO if known.long else LONG_RATIO
    known.long = (
        known.upper.count >= MIN_OBSERVATIONS
        and known.upper.value > LONG_FLOOR_S
        and known.upper.value > ratio * median.value
    )


def is_long_work(times: ServiceTimes, key: str) -> bool:
    """Tell whether a key is long work; an unknown key is short."""
    known = times.times_by_key.get(key)
    return known is not None and known.long


def median_service_s(times: ServiceTimes, key: str) -> float:
    """Return the median service time of a key in seconds, 0 if unknown."""
    known = times.times_by_key.get(key)
    return known.median.value if known is not None else 0.0
