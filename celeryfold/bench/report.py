"""The result of a measure, beside its baseline."""

from __future__ import annotations

__all__ = ["MEASURES", "Figures", "Measure", "Report", "divide", "find_percentile"]

from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from ..kernel.registry import Registry

Figures = dict[str, float]


class Report(msgspec.Struct):
    """Hold the figures of one measure.

    :param baseline_is: what the baseline does.
    :param ratio: celeryfold's figure divided by the baseline's.
    :param series: points for plots, by name.
    """

    measure: str
    deployment: str
    seed: int
    baseline_is: str
    baseline: Figures
    celeryfold: Figures
    ratio: Figures
    n_runs: int = 1
    series: dict[str, list[float]] = {}


class Measure(ABC):
    """Measure one thing, with its baseline, in one run."""

    @abstractmethod
    def run(self, deployment: str, seed: int) -> Report:
        """Return the figures."""


MEASURES: Registry[Measure] = Registry("measure")


def find_percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies, 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]


def divide(ours: Figures, theirs: Figures) -> Figures:
    """Return the ratios of the figures that both have."""
    return {
        name: round(value / theirs[name], 4)
        for name, value in ours.items()
        if theirs.get(name)
    }
