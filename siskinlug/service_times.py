"""Running quantiles of service times by key, and the keys that are long work."""

import math
from bisect import insort
from collections import OrderedDict
from collections.abc import Callable

MAX_KEYS = 2048  # the fleet has about 1,100 routes
MAX_POOLS = 256  # the fleet has 81 services
LONG_RATIO = 10.0
# Hysteresis: long work stays long until well below the ratio, so that a key does not
# alternate between the classes.
LONG_EXIT_RATIO = 5.0
# The wait behind shorter work than this does not justify a reserved slot.
MIN_LONG_S = 0.05
MIN_OBSERVATIONS = 8
EXACT_VALUES = 15
_MIN_VALUE_S = 1e-5


class Quantile:
    """Running quantile of positive values, in constant memory.

    Stochastic approximation (Robbins and Monro, 1951) on the logarithm of the value:
    one step size fits microseconds and minutes, and values of a heavy tail move the
    estimate no further than ordinary values.
    """

    __slots__ = ("_first", "_log", "_step", "count", "quantile")

    def __init__(self, quantile: float, *, step: float) -> None:
        self.quantile = quantile
        self.count = 0
        self._step = step
        self._log = 0.0
        self._first: list[float] = []

    def add(self, value: float) -> None:
        """Update the estimate with one value."""
        log = math.log(max(value, _MIN_VALUE_S))
        self.count += 1
        if self.count <= EXACT_VALUES:
            # The quantile of the first values is exact: an estimate that starts at an
            # outlier would take hundreds of steps to recover.
            insort(self._first, log)
            rank = int(self.quantile * len(self._first))
            self._log = self._first[rank]
            if self.count == EXACT_VALUES:
                self._first = []
            return
        step = max(self._step, 1.0 / self.count)
        self._log += step * (self.quantile if log > self._log else self.quantile - 1)

    @property
    def value(self) -> float:
        """Estimate of the quantile, 0 before the first value."""
        return math.exp(self._log) if self.count else 0.0


class _KeyTimes:
    """Service time quantiles of one key, and whether it is long work."""

    __slots__ = ("long", "median", "upper")

    def __init__(self) -> None:
        self.median = Quantile(0.5, step=0.03)
        # The upper quartile: at least a quarter of the requests of a long key are long.
        self.upper = Quantile(0.75, step=0.03)
        self.long = False


class ServiceTimes:
    """Service times by key, and the median of each pool.

    A key is compared with the median of its own pool. Compared with all pools, the
    ordinary requests of a slow pool would count as long work.
    """

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.median_by_pool: OrderedDict[str, Quantile] = OrderedDict()
        self.times_by_key: OrderedDict[str, _KeyTimes] = OrderedDict()


def make_service_times(*, monotonic: Callable[[], float]) -> ServiceTimes:
    """Make empty service times for one entry."""
    return ServiceTimes(monotonic=monotonic)


def observe_service_time(
    times: ServiceTimes, key: str, service_s: float, *, pool: str = ""
) -> None:
    """Update the quantiles of a key and its pool with one response.

    Args:
        times: The entry's service times.
        key: Route name.
        service_s: Time at the target without queueing, in seconds. Only for processed
            requests, since fast errors would make a key look short.
        pool: Name of the pool of the route.
    """
    key_times = times.times_by_key.get(key)
    if key_times is None:
        key_times = times.times_by_key[key] = _KeyTimes()
        if len(times.times_by_key) > MAX_KEYS:
            times.times_by_key.popitem(last=False)
    times.times_by_key.move_to_end(key)
    key_times.median.add(service_s)
    key_times.upper.add(service_s)
    median = times.median_by_pool.get(pool)
    if median is None:
        median = times.median_by_pool[pool] = Quantile(0.5, step=0.01)
        if len(times.median_by_pool) > MAX_POOLS:
            times.median_by_pool.popitem(last=False)
    median.add(service_s)
    ratio = LONG_EXIT_RATIO if key_times.long else LONG_RATIO
    key_times.long = (
        key_times.upper.count >= MIN_OBSERVATIONS
        and key_times.upper.value > MIN_LONG_S
        and key_times.upper.value > ratio * median.value
    )


def is_long_work(times: ServiceTimes, key: str) -> bool:
    """Return whether a key is long work; an unknown key is not."""
    key_times = times.times_by_key.get(key)
    return key_times is not None and key_times.long


def median_service_s(times: ServiceTimes, key: str) -> float:
    """Return the median service time of a key in seconds, 0 if unknown."""
    key_times = times.times_by_key.get(key)
    return key_times.median.value if key_times is not None else 0.0
