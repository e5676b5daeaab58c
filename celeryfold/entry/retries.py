"""A budget that keeps retries to a share of the requests."""

from __future__ import annotations

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.2
MAX_TOKENS = 100.0


class RetryBudget:
    """Let a retry through while it is a small share of all requests.

    A crest that fails everywhere is thereby not multiplied.
    """

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._tokens = MAX_TOKENS

    def record_request(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def spend(self) -> bool:
        """Spend one retry; tell whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
