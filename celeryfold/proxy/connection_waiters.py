"""The requests that wait for a connection of a pool."""

from __future__ import annotations

__all__ = ["ConnectionWaiters", "Waiter"]

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator, Mapping

import trio

from ..exceptions import RequestFailure
from ..kernel.ids import AccountId
from .pooled_connection import PooledConnection


class Waiter:
    """A request that waits for a connection of its account.

    :param priority: the lowest number is served first.
    """

    def __init__(self, account: AccountId, priority: int) -> None:
        self.account = account
        self.priority = priority
        self.done = trio.Event()
        self.connection: PooledConnection | None = None
        self.failure: RequestFailure | None = None
        self.order = (priority, 0)


class ConnectionWaiters:
    """Orders waiting requests by priority, then by arrival."""

    def __init__(self) -> None:
        self._all: list[Waiter] = []
        self._by_account: dict[AccountId, list[Waiter]] = {}
        self._n_added = 0

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._all)

    def add(self, waiter: Waiter) -> None:
        """Add a waiter after the others of its priority."""
        self._n_added += 1
        waiter.order = (waiter.priority, self._n_added)
        insort(self._all, waiter, key=_get_order)
        insort(self._by_account.setdefault(waiter.account, []), waiter, key=_get_order)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter, if it still waits."""
        own = self._by_account.get(waiter.account)
        if own is None or not _remove(own, waiter):
            return
        _remove(self._all, waiter)
        if not own:
            del self._by_account[waiter.account]

    def find_first(self, account: AccountId) -> Waiter | None:
        """Return the first waiter of an account, or None."""
        own = self._by_account.get(account)
        return own[0] if own else None

    def find_first_unserved(self, n_opening: Mapping[AccountId, int]) -> Waiter | None:
        """Return the first waiter for which no connection is being opened, or None.

        The search ends after as many waiters as connections are being opened.

        :param n_opening: number of connections that are being opened for each account.
        """
        if not n_opening:
            return self._all[0] if self._all else None
        left = Counter(n_opening)
        for waiter in self._all:
            if not left[waiter.account]:
                return waiter
            left[waiter.account] -= 1
        return None


def _get_order(waiter: Waiter) -> tuple[int, int]:
    return waiter.order


def _remove(waiters: list[Waiter], waiter: Waiter) -> bool:
    index = bisect_left(waiters, waiter.order, key=_get_order)
    if index == len(waiters) or waiters[index] is not waiter:
        return False
    del waiters[index]
    return True
