"""Detection of upstreams that fail statements although their health checks pass."""

from __future__ import annotations

__all__ = ["FailureRate"]

import logging
import math

from .clock import Clock

log = logging.getLogger(__name__)

# Weight of the newest outcome. About ten outcomes determine the rate, so a single
# failure changes it little.
OUTCOME_WEIGHT = 0.1
# Without outcomes the rate halves in this time, so that an upstream which gets no
# statements is tried again.
HALF_LIFE_S = 3.0
# Two failures in a row stay just below this rate.
OUTLIER_MIN_RATE = 0.2
RECOVERED_MAX_RATE = 0.1


class FailureRate:
    """A moving average of the rate at which an upstream's statements fail.

    :param name: the upstream, for the log.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._rate = 0.0
        self._recorded_at = clock()
        self.is_outlier = False

    def record(self, has_failed: bool) -> None:
        """Record the outcome of one statement."""
        rate = self.value
        self._rate = rate + OUTCOME_WEIGHT * (float(has_failed) - rate)
        self._recorded_at = self._clock()
        self._update_outlier()

    def _update_outlier(self) -> None:
        extra = {"upstream": self._name, "share": round(self._rate, 2)}
        if not self.is_outlier and self._rate >= OUTLIER_MIN_RATE:
            self.is_outlier = True
            log.warning("upstream fails statements", extra=extra)
        elif self.is_outlier and self._rate <= RECOVERED_MAX_RATE:
            self.is_outlier = False
            log.info("upstream serves again", extra=extra)

    @property
    def value(self) -> float:
        """The failure rate from 0 to 1, which decays without outcomes."""
        idle_s = self._clock() - self._recorded_at
        return self._rate * math.pow(0.5, idle_s / HALF_LIFE_S)
