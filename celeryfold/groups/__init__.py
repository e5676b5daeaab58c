"""Upstream groups: term records, failover, write acknowledgement, read freshness."""

from __future__ import annotations

__all__ = ["GroupRecord", "RecordCache"]

from .record import GroupRecord
from .record_cache import RecordCache
