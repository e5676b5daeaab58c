"""In-memory stand-ins for upstream slots, the key-value store and the instance list."""

from __future__ import annotations

__all__ = ["Faults", "ListEngine", "SlotEngine", "SlotSettings", "StoreEngine"]

from .faults import Faults
from .listing import ListEngine
from .slot import SlotEngine, SlotSettings
from .store import StoreEngine
