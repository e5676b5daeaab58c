"""A database proxy with session consistency, usable as a library or as processes."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.3.0"
