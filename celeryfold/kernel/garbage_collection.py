"""Tuning of the garbage collector for processes that serve requests."""

from __future__ import annotations

__all__ = ["tune_garbage_collector"]

import gc

N_ALLOCATIONS_PER_COLLECTION = 20_000


def tune_garbage_collector() -> None:
    """Freeze the objects that exist now and make the collector run less often.

    Requests create few reference cycles, so frequent collections that walk every
    loaded module cost more than they free. Call it once, after start-up, during which
    the collector may be off.
    """
    gc.freeze()
    gc.set_threshold(N_ALLOCATIONS_PER_COLLECTION)
    gc.enable()
