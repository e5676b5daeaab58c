"""The interface for limiting the operations of client accounts."""

from __future__ import annotations

__all__ = ["RateLimitBounds", "RateLimiter", "UnlimitedRates"]

from abc import ABC, abstractmethod

import msgspec

from ..kernel.ids import AccountId


class RateLimitBounds(msgspec.Struct, frozen=True):
    """How far the operations of an account may exceed its rate.

    In any window, at most (rate x window + burst) x (1 + excess) + slack operations of
    an account start, counted over all instances.

    :param window_s: length of the window, in seconds.
    :param excess: permitted excess, as a fraction.
    :param slack: further operations that are permitted.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0


class RateLimiter(ABC):
    """Admits the operations of accounts within their rates."""

    @abstractmethod
    async def admit(self, account: AccountId, wait_s: float) -> None:
        """Wait until an operation of an account may start.

        :param wait_s: how long the operation may wait, in seconds.
        :raises RequestFailure: the account is over its rate, or its rate cannot be
            checked; the failure holds the time after which to retry.
        """


class UnlimitedRates(RateLimiter):
    """Admits all operations."""

    async def admit(self, account: AccountId, wait_s: float) -> None:
        """Admit the operation at once."""
