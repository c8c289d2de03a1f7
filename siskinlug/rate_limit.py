"""Limit on the rate of requests to one target, as the target itself names it.

The owner of a target sends all requests to it, so a token bucket at the owner keeps the
limit for the whole fleet. The bucket starts empty: what was sent before the limit was
known counts too.
"""

import asyncio
import math
from collections.abc import Callable

# Burst after a pause, in seconds of the limit.
BURST_S = 1.0
# A target whose limit is lower still gets requests at this rate, since only its
# responses show that the limit has ended.
MIN_RATE_PER_S = 0.25
# A permit that is older is not used. The process was paused meanwhile, and permits from
# before and after the pause would add up.
MAX_PERMIT_AGE_S = 0.5
# A single response without the limit may be a spoiled one.
RESPONSES_TO_LIFT = 2
# Accounts for rounding, so that the timer does not fire just before the next token.
_EPSILON = 1e-6


class RateLimit:
    """Token bucket of one target; see ``make_rate_limit``.

    Attributes:
        per_s: Requests per second that the target takes, ``None`` for no limit.
        named_at: When the limit was named last, monotonic seconds.
        unlimited_responses: Responses since then that named no limit.
        confirmed: Whether this process has received a response of the target, which
            says more than what other processes remember.
    """

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.per_s: float | None = None
        self.named_at = -math.inf
        self.unlimited_responses = 0
        self.confirmed = False
        self._tokens = 0.0
        self._tokens_at = monotonic()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def rate_per_s(self) -> float:
        """Rate at which requests are sent, infinite without a limit."""
        return math.inf if self.per_s is None else max(self.per_s, MIN_RATE_PER_S)

    def name(self, per_s: float) -> None:
        """Set or change the limit."""
        if self.per_s is None:
            self._tokens = 0.0
        else:
            self._refill()
        self._tokens_at = self.named_at = self.monotonic()
        self.per_s = per_s
        self.unlimited_responses = 0
        self._tokens = min(self._tokens, self._max_tokens())

    def observe_unlimited(self, sent_at: float) -> bool:
        """Count a response that names no limit; return whether the limit has ended.

        Args:
            sent_at: When its request was sent, monotonic seconds. A request from before
                the limit was named last proves nothing, since responses may overtake
                each other.
        """
        if self.per_s is None or sent_at <= self.named_at:
            return False
        self.unlimited_responses += 1
        return self.unlimited_responses >= RESPONSES_TO_LIFT

    def lift(self) -> None:
        """End the limit."""
        self.per_s = None

    def ready_in_s(self, ahead: int = 0) -> float:
        """Return when one more request may be sent, in seconds from now.

        Args:
            ahead: Requests that are sent before it.
        """
        if self.per_s is None:
            return 0.0
        self._refill()
        missing = ahead + 1 - self._tokens
        return missing / self.rate_per_s if missing > _EPSILON else 0.0

    def take(self) -> bool:
        """Count a request that is about to be sent; return whether there is a limit."""
        if self.per_s is None:
            return False
        self._refill()
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Undo a ``take`` that was counted, for a request that was not sent."""
        if self.per_s is not None:
            self._tokens = min(self._tokens + 1.0, self._max_tokens())

    def is_expired(self, permitted_at: float) -> bool:
        """Whether a permit of this time, monotonic seconds, is too old to be used."""
        return (
            self.per_s is not None
            and self.monotonic() - permitted_at > MAX_PERMIT_AGE_S
        )

    def wake_when_ready(self, action: Callable[[], object]) -> None:
        """Call a function once when the next request may be sent.

        Only the latest of several calls counts. Nothing is called without a limit.
        """
        self.cancel_wake()
        delay_s = self.ready_in_s()
        if delay_s > 0:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, action)

    def cancel_wake(self) -> None:
        """Cancel the call that ``wake_when_ready`` has scheduled."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _max_tokens(self) -> float:
        return max(self.rate_per_s * BURST_S, 1.0)

    def _refill(self) -> None:
        now = self.monotonic()
        earned = (now - self._tokens_at) * self.rate_per_s
        self._tokens = min(self._tokens + earned, self._max_tokens())
        self._tokens_at = now


def make_rate_limit(*, monotonic: Callable[[], float]) -> RateLimit:
    """Make the rate limit of a target that has named none.

    Args:
        monotonic: Clock in seconds.
    """
    return RateLimit(monotonic=monotonic)
