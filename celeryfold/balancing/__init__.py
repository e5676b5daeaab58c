"""Load balancing: capacity, load reports, admission and the choice among homes."""

from __future__ import annotations

__all__ = ["Capacity"]

from .capacity import Capacity
