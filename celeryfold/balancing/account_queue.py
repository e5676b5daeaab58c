"""Start-time fair queue between the accounts of one class."""

from __future__ import annotations

__all__ = ["AccountQueue", "Entry", "count_tags"]

import math
from collections import OrderedDict
from heapq import heapify, heappop, heappush

from ..accounts import NO_ACCOUNT
from ..kernel.ids import AccountId

# The heap is rebuilt once fewer than half of its items are valid, but not while it is
# this small.
MIN_REBUILT_ITEMS = 16
# The token of accounts without a valid item.
NO_TOKEN = -1


class Entry:
    """A statement that asks for admission.

    :param priority: its class; the lowest number is the highest class.
    :param account: the client account that sent it.
    :param wait_s: how long it may wait, in seconds.
    :param cost: its share of the work, in statements.
    """

    __slots__ = ("account", "cost", "priority", "sequence", "wait_s")

    def __init__(
        self,
        priority: int,
        account: AccountId = NO_ACCOUNT,
        wait_s: float = math.inf,
        cost: float = 1.0,
    ) -> None:
        self.priority = priority
        self.account = account
        self.wait_s = wait_s
        self.cost = cost
        self.sequence = 0


def count_tags(
    first: float, step: float, n_tags: int, limit: float, is_limit_included: bool
) -> int:
    """Return how many of n_tags evenly spaced tags lie before a limit."""
    steps = (limit - first) / step
    n_before = math.floor(steps) + 1 if is_limit_included else math.ceil(steps)
    return max(0, min(n_before, n_tags))


class _Flow:
    """The waiting entries of one account, in order of arrival.

    :param start: start tag of its first entry; without entries, the tag before which
        its next entry cannot start.
    :param token: identifies its valid item in the heap, and breaks ties of start tags
        in order of arrival.
    """

    __slots__ = ("account", "cost", "entries", "start", "token")

    def __init__(self, account: AccountId, start: float) -> None:
        self.account = account
        self.start = start
        self.token = NO_TOKEN
        self.cost = 0.0
        self.entries: OrderedDict[int, Entry] = OrderedDict()


class AccountQueue:
    """Serves accounts in equal shares, and the entries of an account in order.

    Start-time fair queueing: the first entry of an account has a start tag, which
    advances by the cost of each entry served; the lowest tag is served next. The
    virtual time is the tag served last. An account that starts to wait is tagged with
    the virtual time, so it gains nothing from the time in which it did not wait. Tags
    belong to accounts and not to entries, so that an account does not pay for entries
    that are removed unserved.

    The tag of an account that no longer waits is kept until the virtual time reaches
    it. Adding, removing and taking an entry costs O(log n).
    """

    def __init__(self) -> None:
        self.cost = 0.0
        self._n_entries = 0
        self._virtual_time = 0.0
        self._flows: dict[AccountId, _Flow] = {}
        self._heap: list[tuple[float, int, _Flow]] = []

    def __len__(self) -> int:
        return self._n_entries

    @property
    def n_kept(self) -> int:
        """Number of accounts whose state is kept: they wait or were just served."""
        return len(self._flows)

    @property
    def n_items(self) -> int:
        """Number of items in the heap, including those that are no longer valid."""
        return len(self._heap)

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        flow = self._flows.get(entry.account)
        if flow is None:
            flow = _Flow(entry.account, self._virtual_time)
            self._flows[entry.account] = flow
        if not flow.entries:
            flow.token = entry.sequence
            self._add_item(flow)
        flow.entries[entry.sequence] = entry
        self._record(flow, 1, entry.cost)

    def remove(self, entry: Entry) -> None:
        """Remove an entry that no longer waits."""
        flow = self._flows[entry.account]
        del flow.entries[entry.sequence]
        if not flow.entries and flow.start <= self._virtual_time:
            self._forget(flow)
        self._record(flow, -1, -entry.cost)

    def pop(self) -> Entry:
        """Remove and return the entry that is served next.

        :raises IndexError: if no entry waits.
        """
        while True:
            start, token, flow = heappop(self._heap)
            if flow.token != token:
                continue
            if flow.entries:
                break
            # The virtual time is about to reach the tag of an account without entries.
            self._forget(flow)
        self._virtual_time = start
        sequence, entry = flow.entries.popitem(last=False)
        flow.start += entry.cost
        flow.token = next(iter(flow.entries), sequence)
        self._add_item(flow)
        self._record(flow, -1, -entry.cost)
        return entry

    def find_cost_before(self, account: AccountId) -> float:
        """Return the cost of the entries that are served before a new one.

        This visits each account that waits; it is called only for entries that may be
        refused.
        """
        own = self._flows.get(account)
        tag = self._virtual_time if own is None else own.start + own.cost
        cost = 0.0 if own is None else own.cost
        for flow in self._flows.values():
            if flow is not own and flow.entries and flow.start <= tag:
                mean = flow.cost / len(flow.entries)
                n_before = count_tags(flow.start, mean, len(flow.entries), tag, True)
                cost += n_before * mean
        return cost

    def _record(self, flow: _Flow, n_entries: int, cost: float) -> None:
        """Add to the counts; without entries, all accounts start anew."""
        flow.cost += cost
        self.cost += cost
        self._n_entries += n_entries
        if not self._n_entries:
            self._clear()

    def _clear(self) -> None:
        self.cost = 0.0
        self._virtual_time = 0.0
        self._flows.clear()
        self._heap.clear()

    def _forget(self, flow: _Flow) -> None:
        del self._flows[flow.account]
        flow.token = NO_TOKEN

    def _add_item(self, flow: _Flow) -> None:
        heappush(self._heap, (flow.start, flow.token, flow))
        if len(self._heap) > max(2 * len(self._flows), MIN_REBUILT_ITEMS):
            self._heap = [(f.start, f.token, f) for f in self._flows.values()]
            heapify(self._heap)
