"""The platform's list of live and leaving instances, with a settable lag."""

from __future__ import annotations

__all__ = ["ListEngine"]

import trio

from ..drivers.listing import Listing
from .faults import Faults


class ListEngine:
    """Hold the list and show it as it was some time ago.

    :param lag_s: seconds by which the answers are late.
    """

    def __init__(self, listing: Listing | None = None, lag_s: float = 0.0) -> None:
        self.faults = Faults()
        self.lag_s = lag_s
        self._history = [(float("-inf"), listing or Listing())]

    def set(self, listing: Listing) -> None:
        """Change the list as of now."""
        self._history.append((trio.current_time(), listing))

    def read(self) -> Listing:
        """Return the list as it was before the lag."""
        as_of = trio.current_time() - self.lag_s
        known = [listing for since, listing in self._history if since <= as_of]
        return known[-1]
