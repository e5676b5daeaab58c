"""Order in which waiting statements are admitted: classes first, then accounts."""

from __future__ import annotations

__all__ = ["FairQueue"]

import itertools

from ..accounts import NO_ACCOUNT
from .account_queue import AccountQueue, Entry, count_tags

# Parts of the slots that each class gets while its entries wait.
CLASS_WEIGHTS = {0: 4.0, 1: 2.0}
DEFAULT_CLASS_WEIGHT = 1.0


class _Class:
    """The waiting entries of one priority.

    :param start: start tag of its next entry among the classes.
    """

    __slots__ = ("accounts", "priority", "start", "weight")

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.weight = CLASS_WEIGHTS.get(priority, DEFAULT_CLASS_WEIGHT)
        self.start = 0.0
        self.accounts = AccountQueue()


class FairQueue:
    """Orders the statements that wait for admission.

    Classes are served in proportion to their weights, by start-time fair queueing as
    between the accounts of a class. As long as no entry of an account has been added
    since the queue was empty, classes are served in strict order instead, ties in order
    of arrival. Entries with a negative priority, which the proxy issues itself, always
    come first.

    There are as many classes as priorities in the configuration, so they are kept in no
    particular order.
    """

    def __init__(self) -> None:
        self._classes: dict[int, _Class] = {}
        self._virtual_time = 0.0
        self._n_entries = 0
        self._has_accounts = False
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return self._n_entries

    @property
    def cost(self) -> float:
        """Cost of all waiting entries, in statements."""
        return sum(c.accounts.cost for c in self._classes.values())

    @property
    def n_kept_accounts(self) -> int:
        """Number of accounts whose state is kept, counted per class."""
        return sum(c.accounts.n_kept for c in self._classes.values())

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        entry.sequence = next(self._sequence)
        found = self._classes.get(entry.priority)
        if found is None:
            found = self._classes[entry.priority] = _Class(entry.priority)
        if not found.accounts:
            found.start = max(found.start, self._virtual_time)
        found.accounts.push(entry)
        self._has_accounts |= entry.account != NO_ACCOUNT
        self._n_entries += 1

    def remove(self, entry: Entry) -> None:
        """Remove an entry that no longer waits."""
        self._classes[entry.priority].accounts.remove(entry)
        self._record_removal()

    def pop(self) -> Entry:
        """Remove and return the entry that is served next.

        :raises IndexError: if no entry waits.
        """
        if not self._n_entries:
            raise IndexError("no entry waits")
        waiting = [c for c in self._classes.values() if c.accounts]
        first = min(waiting, key=lambda c: c.priority)
        if self._has_accounts and first.priority >= 0:
            first = min(waiting, key=lambda c: (c.start, c.priority))
            self._virtual_time = first.start
        entry = first.accounts.pop()
        if self._has_accounts:
            first.start += entry.cost / first.weight
        self._record_removal()
        return entry

    def _record_removal(self) -> None:
        """Count a removed entry; without entries, all classes start anew."""
        self._n_entries -= 1
        if not self._n_entries:
            self._classes.clear()
            self._virtual_time = 0.0
            self._has_accounts = False

    def find_cost_before(self, entry: Entry) -> float:
        """Return the cost of the entries that are served before a new one."""
        own = self._classes.get(entry.priority)
        cost = own.accounts.find_cost_before(entry.account) if own else 0.0
        others = [c for c in self._classes.values() if c is not own and c.accounts]
        is_weighted = self._has_accounts or entry.account != NO_ACCOUNT
        if not is_weighted or entry.priority < 0:
            higher = (c for c in others if c.priority < entry.priority)
            return cost + sum(c.accounts.cost for c in higher)
        start = own.start if own else 0.0
        if own is None or not own.accounts:
            start = max(start, self._virtual_time)
        weight = CLASS_WEIGHTS.get(entry.priority, DEFAULT_CLASS_WEIGHT)
        tag = start + cost / weight
        return cost + sum(_find_cost_until(c, tag, entry.priority) for c in others)


def _find_cost_until(other: _Class, tag: float, priority: int) -> float:
    """Return the cost of a class's entries that are served before a tag of another.

    :param priority: the priority of the other class; ties go to the higher class.
    """
    accounts = other.accounts
    if other.priority < 0:
        return accounts.cost
    mean = accounts.cost / len(accounts)
    is_tie_first = other.priority < priority
    n_before = count_tags(
        other.start, mean / other.weight, len(accounts), tag, is_tie_first
    )
    return n_before * mean
