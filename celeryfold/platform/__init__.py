"""Adapter for the deployment platform: decodes its formats into internal types."""

from __future__ import annotations
