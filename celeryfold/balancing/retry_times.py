"""Times after which refused clients should retry, spread so that they differ."""

from __future__ import annotations

__all__ = ["MAX_RETRY_S", "RetryTimes"]

import math
from collections.abc import Callable

# Load changes within seconds, so a later retry would come after free capacity.
MAX_RETRY_S = 2.0
# Clients read the time from a text with two decimals.
SLOT_S = 0.01
# Refusals beyond those that fit into the longest time are spread over its second half.
OVERFLOW_SPAN_S = 1.0
# Multiples of the golden ratio are spread evenly, however many there are.
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


class RetryTimes:
    """Gives clients that are refused together different times to retry.

    The next two seconds are divided into slots. A client gets the first free slot in
    which a retry may succeed, so among clients with the same prospects the first to be
    refused is the first to return. A client whose retry may succeed sooner does not
    have to return after others: those of an account that floods are refused for longer.

    :param clock: returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # Number of the slot of the lowest bit, and one bit for each slot that is taken.
        self._first = 0
        self._taken = 0
        self._n_overflowing = 0

    def find_retry_s(self, earliest_s: float, spacing_s: float) -> float:
        """Return the seconds after which a client that is refused now should retry.

        :param earliest_s: seconds until a retry may succeed.
        :param spacing_s: seconds until one more retry may succeed.
        """
        now = self._clock()
        self._advance(math.floor(now / SLOT_S))
        n_slots = math.ceil(min(spacing_s, MAX_RETRY_S) / SLOT_S) or 1
        earliest = math.ceil((now + earliest_s) / SLOT_S) - self._first
        latest = math.floor((now + MAX_RETRY_S) / SLOT_S) - self._first
        slot = self._find_free(max(earliest, 1), n_slots)
        if slot <= latest:
            self._taken |= ((1 << n_slots) - 1) << slot
            return (self._first + slot) * SLOT_S - now
        self._n_overflowing += 1
        fraction = self._n_overflowing * GOLDEN_RATIO % 1.0
        return MAX_RETRY_S - OVERFLOW_SPAN_S * fraction

    def _advance(self, first: int) -> None:
        """Forget the slots that have passed."""
        self._taken >>= max(first - self._first, 0)
        self._first = first

    def _find_free(self, earliest: int, n_slots: int) -> int:
        """Return the first of n adjacent slots that are free."""
        blocked = self._taken
        for _ in range(n_slots - 1):
            blocked |= blocked >> 1
        free = ~blocked >> earliest
        return earliest + (free & -free).bit_length() - 1
