"""Request rate of each account at one entry, in bounded memory."""

from collections import OrderedDict
from collections.abc import Callable

import xxhash

from siskinlug.verdict import Reason, Refusal, not_run

MAX_ACCOUNTS = 22_000
# Requests that may arrive together after a pause: two seconds of the account's rate.
BURST_S = 2.0


class AccountRates:
    """Theoretical arrival time of the next request, by account and route.

    Generic cell rate algorithm (ITU-T I.371): one number for each account. An
    account whose number lies in the past is in the same state as an unknown one and
    needs no memory.
    """

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.due_by_key: OrderedDict[int, float] = OrderedDict()


def make_account_rates(*, monotonic: Callable[[], float]) -> AccountRates:
    """Make the account rates of one entry."""
    return AccountRates(monotonic=monotonic)


def check_rate(
    rates: AccountRates, route: str, account: str, rate: float
) -> Refusal | None:
    """Count one request of an account, or refuse it.

    Args:
        rates: The entry's account rates.
        route: Route name; each route has its own rate.
        account: Account name.
        rate: Requests/s allowed; 0 is no limit.

    Returns:
        A refusal with the time until the account may send again, or ``None``.
    """
    if rate <= 0:
        return None
    now = rates.monotonic()
    key = xxhash.xxh3_64_intdigest(f"{route}\0{account}".encode())
    due = max(rates.due_by_key.get(key, now), now)
    if due - now > max(BURST_S - 1 / rate, 0.0):
        wait_s = due - now - max(BURST_S - 1 / rate, 0.0)
        return not_run(
            Reason.ACCOUNT_RATE,
            f"the account sends more than {rate:g} requests/s on this route",
            retry_after_s=wait_s,
        )
    rates.due_by_key[key] = due + 1 / rate
    rates.due_by_key.move_to_end(key)
    _forget(rates, now)
    return None


def _forget(rates: AccountRates, now: float) -> None:
    """Drop accounts that are due in the past, and the oldest beyond the bound."""
    while rates.due_by_key:
        key, due = next(iter(rates.due_by_key.items()))
        if due > now and len(rates.due_by_key) <= MAX_ACCOUNTS:
            return
        del rates.due_by_key[key]
