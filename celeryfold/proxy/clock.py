"""The clock by which evidence is dated."""

from __future__ import annotations

__all__ = ["Clock", "read_boot_clock"]

import time
from collections.abc import Callable

Clock = Callable[[], float]


def read_boot_clock() -> float:
    """Return seconds since boot, those asleep included.

    The monotonic clock stops while a host sleeps, so that evidence and leases would
    look younger than they are; the time of day jumps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
