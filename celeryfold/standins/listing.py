"""A simulated list of running and leaving instances, with a configurable lag."""

from __future__ import annotations

__all__ = ["ListEngine"]

import trio

from ..drivers.listing import Listing
from .faults import Faults


class ListEngine:
    """The list of instances, returned as it was some time ago.

    :param lag_s: age of the returned list, in seconds.
    """

    def __init__(self, listing: Listing | None = None, lag_s: float = 0.0) -> None:
        self.faults = Faults()
        self.lag_s = lag_s
        self._history = [(float("-inf"), listing or Listing())]

    def set(self, listing: Listing) -> None:
        """Replace the list as of now."""
        self._history.append((trio.current_time(), listing))

    def read(self) -> Listing:
        """Return the list as it was `lag_s` seconds ago."""
        as_of = trio.current_time() - self.lag_s
        known = [listing for since, listing in self._history if since <= as_of]
        return known[-1]
