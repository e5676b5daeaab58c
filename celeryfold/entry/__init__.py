"""Request entry: sessions, routing, retries and deadlines of caller requests."""

from __future__ import annotations

__all__ = ["Entry"]

from .entry import Entry
