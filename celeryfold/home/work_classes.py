"""Classify statements as short or long by their past running times."""

from __future__ import annotations

__all__ = ["WorkClass", "WorkHistory"]

from enum import Enum

# Weight of a new running time in the moving average of its shape.
SMOOTHING = 0.2
# Relative step by which each running time moves the estimated median.
MEDIAN_STEP = 0.05
MIN_TYPICAL_S = 0.0001
INITIAL_TYPICAL_S = 0.01
# A running time is long from this multiple of the typical one, and from this minimum.
LONG_FACTOR = 8.0
MIN_LONG_S = 0.05
N_SHAPES_KEPT = 2000


class WorkClass(Enum):
    """Expected running time of a statement, relative to others on its slot."""

    SHORT = "short"
    LONG = "long"


class WorkHistory:
    """Running times of the statement shapes on one slot."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self.typical_s = INITIAL_TYPICAL_S
        self._has_typical = False

    def estimate_s(self, shape: str) -> float:
        """Return the expected running time of a shape in seconds."""
        return self._mean_s.get(shape, self.typical_s)

    def classify(self, shape: str) -> WorkClass:
        """Return the work class of a shape."""
        return (
            WorkClass.LONG if self.is_long(self.estimate_s(shape)) else WorkClass.SHORT
        )

    def is_long(self, seconds: float) -> bool:
        """Return whether a running time in seconds counts as long on this slot."""
        return seconds >= max(MIN_LONG_S, LONG_FACTOR * self.typical_s)

    def record(self, shape: str, seconds: float) -> None:
        """Record the running time of a finished statement in seconds."""
        mean_s = self._mean_s.pop(shape, seconds)
        self._mean_s[shape] = mean_s + SMOOTHING * (seconds - mean_s)
        if len(self._mean_s) > N_SHAPES_KEPT:
            del self._mean_s[next(iter(self._mean_s))]
        self._update_typical(seconds)

    def _update_typical(self, seconds: float) -> None:
        """Move the estimate towards the median, which slow outliers hardly change."""
        if not self._has_typical:
            self._has_typical = True
            self.typical_s = max(seconds, MIN_TYPICAL_S)
        elif seconds > self.typical_s:
            self.typical_s *= 1.0 + MEDIAN_STEP
        else:
            self.typical_s = max(MIN_TYPICAL_S, self.typical_s / (1.0 + MEDIAN_STEP))
