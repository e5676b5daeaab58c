"""The clock for the ages of samples, leases and contacts."""

from __future__ import annotations

__all__ = ["Clock", "read_boot_clock"]

import time
from collections.abc import Callable

Clock = Callable[[], float]


def read_boot_clock() -> float:
    """Return the seconds since boot, including those in which the host was suspended.

    The monotonic clock stops while the host is suspended, so samples and leases would
    appear younger than they are; the time of day may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
