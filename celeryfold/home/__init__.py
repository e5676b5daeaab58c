"""The home of a slot: its connections, its queue and what runs on them."""

from __future__ import annotations

__all__ = ["Home"]

from .home import Home
