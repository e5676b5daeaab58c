"""The home of a slot: its connection pool, work queue, reads, writes, transactions."""

from __future__ import annotations

__all__ = ["Home"]

from .home import Home
