"""Process settings, and the configuration objects that operators submit."""

from __future__ import annotations

__all__ = ["Catalog", "CheckReport", "InstanceSettings", "ObjectSet"]

from .check import CheckReport
from .objects import Catalog, ObjectSet
from .settings import InstanceSettings
