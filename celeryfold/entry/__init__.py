"""The entry: callers' connections, sessions, routing and deadlines."""

from __future__ import annotations

__all__ = ["Entry"]

from .entry import Entry
