"""The order of admission is fair between accounts and between classes."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from celeryfold.accounts import NO_ACCOUNT
from celeryfold.balancing.account_queue import MIN_REBUILT_ITEMS, AccountQueue, Entry
from celeryfold.balancing.fair_queue import FairQueue
from celeryfold.kernel.ids import AccountId

LARGE = AccountId("large")
SMALL = AccountId("small")


def push(
    queue: FairQueue, n_entries: int, priority: int = 0, account: AccountId = NO_ACCOUNT
) -> list[Entry]:
    entries = [Entry(priority, account) for _ in range(n_entries)]
    for entry in entries:
        queue.push(entry)
    return entries


def pop_all(queue: FairQueue) -> list[Entry]:
    return [queue.pop() for _ in range(len(queue))]


def test_an_account_with_a_long_queue_does_not_delay_another():
    """Load: one account floods. Fails if entries are served in order of arrival."""
    queue = FairQueue()
    push(queue, 100, account=LARGE)
    small = push(queue, 3, account=SMALL)
    order = pop_all(queue)
    assert [order.index(entry) for entry in small] == [1, 3, 5]


def test_an_account_without_a_queue_of_its_own_gets_no_more_than_its_share():
    """Load: one account floods, one sends the next statement after each answer.

    Fails if the start tag of an account is forgotten while it does not wait: its next
    entry would go first each time.
    """
    queue = FairQueue()
    push(queue, 100, account=LARGE)
    served: Counter[AccountId] = Counter()
    push(queue, 1, account=SMALL)
    for _ in range(60):
        entry = queue.pop()
        served[entry.account] += 1
        if entry.account == SMALL:
            push(queue, 1, account=SMALL)
    assert served == {LARGE: 30, SMALL: 30}


def test_an_account_that_was_silent_has_saved_no_share():
    """Load: a silent account comes back. Fails if new accounts start at tag 0."""
    queue = FairQueue()
    push(queue, 100, account=LARGE)
    for _ in range(50):
        queue.pop()
    push(queue, 20, account=SMALL)
    served = Counter(queue.pop().account for _ in range(20))
    assert served == {LARGE: 10, SMALL: 10}


def test_an_account_does_not_pay_for_entries_that_were_removed():
    """Load: the entries of an account time out at an upstream that stands still.

    Fails if tags are given on arrival: the account would be placed behind the tags of
    the entries that were never served.
    """
    queue = FairQueue()
    push(queue, 30, account=LARGE)
    for entry in push(queue, 20, account=SMALL):
        queue.remove(entry)
    later = push(queue, 5, account=SMALL)
    order = pop_all(queue)
    assert [order.index(entry) for entry in later] == [1, 3, 5, 7, 9]


def test_an_account_cannot_reset_its_tag_by_giving_up():
    """Load: an account gives up waiting and asks again each time it was served.

    Fails if the tag of an account is dropped with its last entry.
    """
    queue = FairQueue()
    push(queue, 100, account=LARGE)
    push(queue, 1, account=SMALL)
    served: Counter[AccountId] = Counter()
    for _ in range(40):
        entry = queue.pop()
        served[entry.account] += 1
        if entry.account == SMALL:
            [given_up] = push(queue, 1, account=SMALL)
            queue.remove(given_up)
            push(queue, 1, account=SMALL)
    assert served == {LARGE: 20, SMALL: 20}


def test_classes_get_their_parts_while_all_wait():
    """Load: a high class floods. Fails by starvation if the order is strict."""
    queue = FairQueue()
    for priority in range(3):
        push(queue, 70, priority, LARGE)
    for _ in range(10):
        served = Counter(queue.pop().priority for _ in range(7))
        assert served == {0: 4, 1: 2, 2: 1}


def test_the_parts_of_an_empty_class_go_to_the_others():
    """Load: the high class is idle. Fails if its slots stay unused or are saved up."""
    queue = FairQueue()
    push(queue, 60, 1, LARGE)
    push(queue, 60, 2, LARGE)
    assert Counter(queue.pop().priority for _ in range(30)) == {1: 20, 2: 10}
    push(queue, 40, 0, LARGE)
    served = Counter(queue.pop().priority for _ in range(35))
    # A class that starts to wait may be ahead of the others by one of their entries.
    assert served[0] in {20, 21}
    assert served[1] in {9, 10}
    assert served[2] == 5


def test_statements_of_the_proxy_itself_come_first():
    """Load: accounts flood. Fails if samples of the primary queue behind clients."""
    queue = FairQueue()
    push(queue, 10, 0, LARGE)
    [sample] = push(queue, 1, -1)
    assert queue.find_cost_before(Entry(-1)) == 1.0
    assert queue.pop() is sample


@given(st.lists(st.integers(-1, 4), max_size=40))
def test_without_accounts_classes_are_strict_and_ties_in_order_of_arrival(priorities):
    """Fails if a deployment without accounts sees another order than before."""
    queue = FairQueue()
    entries = [push(queue, 1, priority)[0] for priority in priorities]
    expected = sorted(entries, key=lambda entry: (entry.priority, entry.sequence))
    assert pop_all(queue) == expected


STEPS = st.tuples(st.integers(0, 5), st.integers(-1, 3), st.integers(0, 4))
ACCOUNTS = [NO_ACCOUNT, *(AccountId(name) for name in "abcd")]


@given(st.lists(STEPS, max_size=60), st.integers(-1, 3), st.integers(0, 4))
def test_the_cost_before_an_entry_is_what_is_served_before_it(steps, priority, number):
    """Fails if an entry is refused early by statements that go after it."""
    queue = FairQueue()
    waiting: list[Entry] = []
    for action, step_priority, step_number in steps:
        if action == 0 and waiting:
            waiting.remove(queue.pop())
        elif action == 1 and waiting:
            queue.remove(waiting.pop(step_number % len(waiting)))
        else:
            waiting += push(queue, 1, step_priority, ACCOUNTS[step_number])
        assert queue.cost == len(queue) == len(waiting)
    entry = Entry(priority, ACCOUNTS[number])
    cost = queue.find_cost_before(entry)
    queue.push(entry)
    assert pop_all(queue).index(entry) == cost


def test_state_is_kept_only_of_accounts_that_wait_or_were_just_served():
    """Load: many small accounts. Fails if memory grows with the accounts ever seen."""
    queue = FairQueue()
    push(queue, 3000, account=LARGE)
    for number in range(1000):
        push(queue, 1, account=AccountId(f"account-{number}"))
        queue.pop()
        queue.pop()
        assert queue.n_kept_accounts <= 3
    pop_all(queue)
    assert not queue.n_kept_accounts


def test_entries_that_are_never_served_leave_nothing_behind():
    """Load: all entries time out at an unresponsive upstream.

    Fails if removed ones add up.
    """
    queue = AccountQueue()
    first = Entry(0, LARGE)
    queue.push(first)
    for number in range(1, 1000):
        entry = Entry(0, AccountId(f"account-{number % 7}"))
        entry.sequence = number
        queue.push(entry)
        queue.remove(entry)
        assert queue.n_kept == 1
        assert queue.n_items <= MIN_REBUILT_ITEMS
    assert queue.pop() is first
    assert not queue.n_items
