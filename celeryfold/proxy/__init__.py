"""Sessions in front of replicated databases: pools, routing, fresh reads, failover."""

from __future__ import annotations
