"""A randomized soak test of the real processes under injected faults."""

from __future__ import annotations

__all__ = ["SoakReport", "SoakSettings", "run_soak"]

from .run import SoakReport, SoakSettings, run_soak
