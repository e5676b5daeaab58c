"""Abstract interfaces to upstream slots, the key-value service and the list."""

from __future__ import annotations

__all__ = [
    "BatchResult",
    "Connection",
    "HttpSlot",
    "InstanceList",
    "Listing",
    "ResultSet",
    "Slot",
    "SlotRole",
    "SlotStatus",
    "Statement",
    "Store",
    "StoreEntry",
]

from .http_slot import HttpSlot
from .listing import InstanceList, Listing
from .slot import (
    BatchResult,
    Connection,
    ResultSet,
    Slot,
    SlotRole,
    SlotStatus,
    Statement,
)
from .store import Store, StoreEntry
