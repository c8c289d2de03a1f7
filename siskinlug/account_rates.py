"""Rate limits by client account and route at one entry, in bounded memory."""

from collections import OrderedDict
from collections.abc import Callable

import xxhash

from siskinlug.verdict import Reason, Refusal, not_run

MAX_ACCOUNTS = 22_000
# Maximum burst after a pause, in seconds of the account's rate.
BURST_S = 2.0


class AccountRates:
    """Theoretical arrival time of the next request, by account and route.

    The generic cell rate algorithm (ITU-T I.371) needs one time per account and route.
    An account whose time has passed is in the same state as an unknown account and is
    not stored.
    """

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.next_arrival_by_key: OrderedDict[int, float] = OrderedDict()


def make_account_rates(*, monotonic: Callable[[], float]) -> AccountRates:
    """Make empty account rates for one entry."""
    return AccountRates(monotonic=monotonic)


def check_rate(
    rates: AccountRates, route: str, account: str, rate: float
) -> Refusal | None:
    """Count one request of an account, or refuse it if the rate is exceeded.

    Args:
        rates: The entry's account rates.
        route: Route name; each route has its own rate.
        account: Account name.
        rate: Maximum requests/s; 0 means no limit.

    Returns:
        A refusal with the time until the next request is allowed, or ``None``.
    """
    if rate <= 0:
        return None
    now = rates.monotonic()
    key = xxhash.xxh3_64_intdigest(f"{route}\0{account}".encode())
    next_arrival = max(rates.next_arrival_by_key.get(key, now), now)
    if next_arrival - now > max(BURST_S - 1 / rate, 0.0):
        wait_s = next_arrival - now - max(BURST_S - 1 / rate, 0.0)
        return not_run(
            Reason.ACCOUNT_RATE,
            f"the account sends more than {rate:g} requests/s on this route",
            retry_after_s=wait_s,
        )
    rates.next_arrival_by_key[key] = next_arrival + 1 / rate
    rates.next_arrival_by_key.move_to_end(key)
    _drop_old(rates, now)
    return None


def _drop_old(rates: AccountRates, now: float) -> None:
    """Drop accounts whose time has passed, and the oldest beyond ``MAX_ACCOUNTS``."""
    while rates.next_arrival_by_key:
        key, next_arrival = next(iter(rates.next_arrival_by_key.items()))
        if next_arrival > now and len(rates.next_arrival_by_key) <= MAX_ACCOUNTS:
            return
        del rates.next_arrival_by_key[key]
