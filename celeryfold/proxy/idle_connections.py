"""The idle connections of a pool, by client account."""

from __future__ import annotations

__all__ = ["IdleConnections"]

from collections.abc import Iterable

from ..kernel.ids import AccountId
from .pooled_connection import PooledConnection


class IdleConnections:
    """Keeps idle connections in the order in which they became idle.

    Dictionaries serve as ordered sets: the cost of an operation depends on the
    connections of one account and not on the number of accounts.
    """

    def __init__(self) -> None:
        self._all: dict[PooledConnection, None] = {}
        self._by_account: dict[AccountId, dict[PooledConnection, None]] = {}

    def __len__(self) -> int:
        return len(self._all)

    @property
    def longest_idle(self) -> PooledConnection:
        """The connection that has been idle longest; there must be one."""
        return next(iter(self._all))

    def add(self, pooled: PooledConnection) -> None:
        """Add a connection that has become idle."""
        self._all[pooled] = None
        self._by_account.setdefault(pooled.account, {})[pooled] = None

    def remove(self, pooled: PooledConnection) -> None:
        """Remove a connection."""
        del self._all[pooled]
        own = self._by_account[pooled.account]
        del own[pooled]
        if not own:
            del self._by_account[pooled.account]

    def take_longest_idle(self) -> PooledConnection:
        """Remove and return the connection that has been idle longest."""
        pooled = self.longest_idle
        self.remove(pooled)
        return pooled

    def take(
        self, account: AccountId, values: dict[str, str]
    ) -> PooledConnection | None:
        """Remove and return the best connection of an account, or None.

        It is the most recently used one with matching values. If none matches, it is
        the longest idle one, to be reset: opening another occupies a slot of the
        upstream for as long as several statements.

        :param values: the session's values.
        """
        own = self._by_account.get(account)
        if own is None:
            return None
        best = None
        for pooled in reversed(own):
            if pooled.values == values:
                best = pooled
                break
            if best is None and pooled.values.items() <= values.items():
                best = pooled
        if best is None:
            best = next(iter(own))
        self.remove(best)
        return best

    def take_broken(self, account: AccountId) -> list[PooledConnection]:
        """Remove and return the connections of an account that have ended."""
        return self._take_broken(self._by_account.get(account, {}))

    def take_broken_of_others(self, account: AccountId) -> list[PooledConnection]:
        """Remove and return the ended connections of all accounts but this one."""
        return self._take_broken(p for p in self._all if p.account != account)

    def _take_broken(
        self, candidates: Iterable[PooledConnection]
    ) -> list[PooledConnection]:
        broken = [p for p in candidates if p.connection.is_broken()]
        for pooled in broken:
            self.remove(pooled)
        return broken
