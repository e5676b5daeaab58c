"""Code that does not depend on databases: ids, errors, events, metrics, plug-ins."""

from __future__ import annotations

__all__ = [
    "ERROR_RESPONSES",
    "ErrorKind",
    "Event",
    "EventKind",
    "Metrics",
    "Ran",
    "Timeline",
]

from .errors import ERROR_RESPONSES, ErrorKind, Ran
from .events import Event, EventKind, Timeline
from .metrics import Metrics
