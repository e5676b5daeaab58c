"""Token buckets of accounts: the generic cell rate algorithm, without network."""

from __future__ import annotations

__all__ = ["Bucket", "Grant", "Refusal"]

import math
from dataclasses import dataclass

# Refused clients come back within this time, since the load may have changed by then.
MAX_RETRY_S = 2.0
# The range of retry times where the next token is later than the longest retry time.
MIN_LATE_RETRY_S = 1.0
# Step between retry times as a fraction of their range, where a token takes longer.
# With the golden ratio, the times stay apart however many there are.
GOLDEN_RATIO = 0.618034


@dataclass(frozen=True)
class Grant:
    """A granted token.

    :param delay_s: seconds until the operation may start.
    """

    delay_s: float


@dataclass(frozen=True)
class Refusal:
    """A refused token.

    :param retry_after_s: seconds after which a retry makes sense.
    """

    retry_after_s: float


class Bucket:
    """The tokens of one account at one instance.

    This is the continuous-state form of the generic cell rate algorithm: the number of
    operations beyond the rate, which decays at the rate. Unlike a theoretical arrival
    time, it stays valid when the rate changes.

    :param rate_per_s: operations per second.
    :param burst: operations that may start at once; at least 1 is used where there is
        a rate, as otherwise no operation could ever start at once.
    :param n_initial: tokens at the start; at most the burst.
    """

    def __init__(
        self, rate_per_s: float, burst: float, n_initial: float, now: float
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = _find_capacity(rate_per_s, burst)
        self._n_used = max(self._burst - n_initial, 0.0)
        self._updated_at = now
        self._suspended_at: float | None = None
        self._last_retry_at = now

    def take(self, now: float, wait_s: float) -> Grant | Refusal:
        """Take one token.

        :param now: the current time, in seconds.
        :param wait_s: how long the operation may wait, in seconds.
        """
        self._refill(now, self._rate_per_s)
        n_missing = self._n_used + 1.0 - self._burst
        delay_s = self._compute_delay_s(n_missing)
        if delay_s <= wait_s:
            self._n_used += 1.0
            return Grant(delay_s)
        return Refusal(self._spread_retry_s(now, delay_s))

    def _refill(self, now: float, rate_per_s: float) -> None:
        elapsed_s = max(now - self._updated_at, 0.0)
        self._n_used = max(self._n_used - elapsed_s * rate_per_s, 0.0)
        self._updated_at = max(now, self._updated_at)

    def _compute_delay_s(self, n_missing: float) -> float:
        # Without the tolerance, the rounding of refills turns a due token into a delay.
        if n_missing <= 1e-9:
            return 0.0
        return n_missing / self._rate_per_s if self._rate_per_s > 0.0 else math.inf

    def _spread_retry_s(self, now: float, delay_s: float) -> float:
        """Return a retry time later than that of the previous refusal.

        The times are one token apart and start again from the next token at the end of
        the range.
        """
        earliest_s = min(delay_s, MIN_LATE_RETRY_S)
        step_s = 1.0 / self._rate_per_s if self._rate_per_s > 0.0 else MAX_RETRY_S
        range_s = MAX_RETRY_S - earliest_s
        retry_s = self._last_retry_at - now + min(step_s, GOLDEN_RATIO * range_s)
        if not earliest_s <= retry_s <= MAX_RETRY_S:
            excess_s = max(retry_s - MAX_RETRY_S, 0.0)
            retry_s = earliest_s + excess_s % range_s
        self._last_retry_at = now + retry_s
        return retry_s

    def set_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the limit; the tokens are kept and cut to the new burst.

        The time since the last use counts at the lower of both rates, as the change may
        have happened at any time since then.
        """
        self._refill(now, min(rate_per_s, self._rate_per_s))
        n_tokens = self._burst - self._n_used
        self._rate_per_s = rate_per_s
        self._burst = _find_capacity(rate_per_s, burst)
        self._n_used = max(self._burst - n_tokens, 0.0)

    @property
    def suspended_at(self) -> float | None:
        """When the bucket was suspended; None if it is in use."""
        return self._suspended_at

    def suspend(self, now: float) -> None:
        """Stop the refill while another instance grants the tokens of the account."""
        if self._suspended_at is None:
            self._suspended_at = now

    def resume(self, now: float, n_initial: float, window_s: float) -> None:
        """Continue after a suspension.

        Tokens left from before are kept up to the initial ones. After a whole window,
        the bucket starts as a new one.

        :param n_initial: tokens of a new bucket.
        :param window_s: the window over which operations are limited, in seconds.
        """
        if self._suspended_at is None:
            return
        n_kept = self._burst - self._n_used
        is_new = now - self._suspended_at >= window_s
        n_tokens = n_initial if is_new else min(n_kept, n_initial)
        self._n_used = max(self._burst - n_tokens, 0.0)
        self._updated_at = max(now, self._updated_at)
        self._suspended_at = None


def _find_capacity(rate_per_s: float, burst: float) -> float:
    return max(burst, 1.0) if rate_per_s > 0.0 else burst
