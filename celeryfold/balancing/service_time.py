"""Moving average of how long a statement occupies its slot."""

from __future__ import annotations

__all__ = ["ServiceTime"]

import math
from collections.abc import Callable

# Weight of a new duration once the average spans about ten statements.
NEW_WEIGHT = 0.1
# The upstream may have become faster or slower in the meantime.
EXPIRY_S = 3.0
# Assumed until durations are measured; a short one, so that nothing is refused by it.
INITIAL_MEAN_S = 0.010
# A duration counts as at most this multiple of the average. One statement that is held
# up would otherwise raise the average tenfold and have others refused.
MAX_RISE = 4.0
# Fewer durations say too little of the upstream.
MIN_MEASURED = 3


class ServiceTime:
    """Averages how long recent statements occupied a slot of an upstream.

    Unlike the average by which upstreams are ranked, it starts anew after a time
    without statements: a single statement at an upstream that was slow would bring the
    old average back, by which others would be refused.

    :param clock: returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._mean_s = INITIAL_MEAN_S
        self._n_measured = 0
        self._measured_at = -math.inf

    def record(self, seconds: float) -> None:
        """Add the duration of a statement that has ended with a reply, in seconds."""
        if self._has_expired():
            self._mean_s = INITIAL_MEAN_S
            self._n_measured = 0
        self._n_measured += 1
        self._measured_at = self._clock()
        weight = max(NEW_WEIGHT, 1.0 / (self._n_measured + 1))
        seconds = min(seconds, MAX_RISE * self._mean_s)
        self._mean_s += weight * (seconds - self._mean_s)

    @property
    def mean_s(self) -> float | None:
        """Recent mean in seconds; None if too few recent statements were measured."""
        if self._n_measured < MIN_MEASURED or self._has_expired():
            return None
        return self._mean_s

    def _has_expired(self) -> bool:
        return self._clock() - self._measured_at > EXPIRY_S
