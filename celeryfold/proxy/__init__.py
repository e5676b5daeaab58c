"""Proxy for replicated databases: pooling, routing, read consistency, failover."""

from __future__ import annotations
