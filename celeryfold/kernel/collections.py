"""Set up the garbage collector for processes that serve requests."""

from __future__ import annotations

__all__ = ["spare_collections"]

import gc

N_ALLOCATIONS_A_COLLECTION = 20_000


def spare_collections() -> None:
    """Have the garbage collector run seldom, and not over what lives for ever.

    Requests leave few cycles behind; walking all modules for them costs more.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(N_ALLOCATIONS_A_COLLECTION)
