"""Upstream groups: the record of terms, promotion, acknowledgement, freshness."""

from __future__ import annotations

__all__ = ["GroupRecord", "RecordBook"]

from .book import RecordBook
from .record import GroupRecord
