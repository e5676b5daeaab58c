"""Checks of keys, rates and connections of accounts against what the databases ran."""

from __future__ import annotations

__all__ = [
    "AccountHistory",
    "KeyRefusal",
    "find_excesses",
    "find_false_refusals",
    "find_foreign_connections",
    "find_late_runs",
]

from bisect import bisect_left
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..kernel.ids import AccountId, RequestId
from ..standins.database import StatementRun
from .accounts import AccountBook, KeyLifetime, Limit
from .disturbances import Disturbances
from .history import SentStatement

# The time from a version's acknowledgement until all instances must apply it.
APPLY_S = 6.0
# The longest time from sending a statement to its run: clients give up then, and no
# fault holds bytes back for longer.
MAX_IN_FLIGHT_S = 6.0
WINDOW_S = 5.0
EXCESS = 0.1
SLACK = 20.0


@dataclass(frozen=True)
class KeyRefusal:
    """An answer by which an instance refused an API key.

    :param port: client port of the instance.
    :param sent_at: when the client sent the refused message.
    """

    key: str
    port: int
    sent_at: float
    answered_at: float


@dataclass(frozen=True)
class _Operation:
    """An operation that has started at a database.

    :param sent_at: when its client sent it.
    :param run_at: when its first statement ran.
    """

    sent_at: float
    run_at: float


Sent = Mapping[RequestId, SentStatement]


class AccountHistory:
    """What clients saw of their accounts, to be compared with the databases.

    :param book: all versions of keys and limits.
    """

    def __init__(self, book: AccountBook, disturbances: Disturbances) -> None:
        self.book = book
        self.disturbances = disturbances
        self.refusals: list[KeyRefusal] = []

    def find_violations(self, runs: Sequence[StatementRun], sent: Sent) -> list[str]:
        """Return the violations of all checks."""
        keys, disturbances = self.book.keys, self.disturbances
        return [
            *find_foreign_connections(runs, sent, keys),
            *find_late_runs(runs, sent, keys, disturbances),
            *find_excesses(runs, sent, self.book, disturbances),
            *find_false_refusals(self.refusals, keys, disturbances),
        ]

    def count_checked_keys(self) -> int:
        """Count the refusals of withdrawn keys after the bound."""
        n_checked = 0
        for refusal in self.refusals:
            lifetime = self.book.keys.get(refusal.key)
            if lifetime is not None:
                due_at = self.disturbances.find_deadline(
                    refusal.port, lifetime.withdrawn_at, APPLY_S
                )
                n_checked += refusal.sent_at > due_at
        return n_checked


def find_foreign_connections(
    runs: Sequence[StatementRun], sent: Sent, keys: Mapping[str, KeyLifetime]
) -> list[str]:
    """Find statements that ran on a connection opened under another name."""
    found: dict[tuple[str, str], list[RequestId]] = {}
    for run in runs:
        statement = sent.get(run.request_id)
        lifetime = keys.get(statement.key) if statement is not None else None
        if lifetime is not None and run.caller != lifetime.account:
            pair = (lifetime.account, run.caller)
            found.setdefault(pair, []).append(run.request_id)
    return [
        f"CONNECTION: {len(ids)} statements of {account} ran as '{caller}': {ids[0]}"
        for (account, caller), ids in sorted(found.items())
    ]


def find_late_runs(
    runs: Sequence[StatementRun],
    sent: Sent,
    keys: Mapping[str, KeyLifetime],
    disturbances: Disturbances,
) -> list[str]:
    """Find statements that ran under an unknown key, or too late under a withdrawn one.

    Bytes of a statement may be held back on its way. It is late if it was sent after
    the bound, or ran so late that it cannot have been on its way any more.
    """
    found: dict[str, list[RequestId]] = {}
    for run in runs:
        statement = sent.get(run.request_id)
        if statement is None:
            continue
        lifetime = keys.get(statement.key)
        if lifetime is None:
            found.setdefault(statement.key, []).append(run.request_id)
            continue
        due_at = disturbances.find_deadline(
            statement.port, lifetime.withdrawn_at, APPLY_S
        )
        if statement.sent_at > due_at or run.at > due_at + MAX_IN_FLIGHT_S:
            found.setdefault(statement.key, []).append(run.request_id)
    return [
        f"REVOKED: {len(ids)} statements ran under {key}: {ids[0]}"
        for key, ids in sorted(found.items())
    ]


def find_excesses(
    runs: Sequence[StatementRun],
    sent: Sent,
    book: AccountBook,
    disturbances: Disturbances,
) -> list[str]:
    """Find accounts of which too many operations started within a window."""
    violations = []
    for account, operations in _list_operations(runs, sent, book.keys).items():
        limits = book.limits.get(account)
        if not limits:
            continue
        ends = _find_ends(limits, disturbances)
        run_ats = [operation.run_at for operation in operations]
        worst = (0.0, "")
        for index, end in enumerate(run_ats):
            start = end - WINDOW_S
            # An operation that was sent earlier may have been admitted earlier.
            begun = operations[bisect_left(run_ats, start) : index + 1]
            n_started = sum(operation.sent_at >= start for operation in begun)
            allowed = _find_allowed(limits, ends, start, end)
            text = f"{n_started} operations until {end:.1f} s, {allowed:.0f} allowed"
            worst = max(worst, (n_started - allowed, text))
        if worst[0] > 0:
            violations.append(f"RATE: {account} started {worst[1]}")
    return violations


def _list_operations(
    runs: Sequence[StatementRun], sent: Sent, keys: Mapping[str, KeyLifetime]
) -> dict[AccountId, list[_Operation]]:
    """Return the operations of each account in the order of their first runs."""
    operations: dict[AccountId, list[_Operation]] = {}
    known: Counter[tuple[str, int] | RequestId] = Counter()
    for run in sorted(runs, key=lambda run: run.at):
        statement = sent.get(run.request_id)
        lifetime = keys.get(statement.key) if statement is not None else None
        if statement is None or lifetime is None:
            continue
        transaction = (statement.session, statement.transaction)
        operation = transaction if statement.transaction else run.request_id
        known[operation] += 1
        if known[operation] == 1:
            started = _Operation(statement.begun_at or statement.sent_at, run.at)
            operations.setdefault(lifetime.account, []).append(started)
    return operations


def _find_ends(limits: Sequence[Limit], disturbances: Disturbances) -> list[float]:
    """Return until when each limit but the last may be applied.

    A lowered limit binds all windows that start after it has come into force.
    """
    return [
        disturbances.find_last_deadline(limit.since, APPLY_S) for limit in limits[1:]
    ]


def _find_allowed(
    limits: Sequence[Limit], ends: Sequence[float], start: float, end: float
) -> float:
    """Return how many operations the limits of a window allow."""
    allowed = 0.0
    for limit, until in zip(limits, [*ends, float("inf")], strict=True):
        if limit.since <= end and start <= until:
            n_operations = limit.rate_per_s * WINDOW_S + limit.burst
            allowed = max(allowed, n_operations * (1 + EXCESS) + SLACK)
    return allowed


def find_false_refusals(
    refusals: Sequence[KeyRefusal],
    keys: Mapping[str, KeyLifetime],
    disturbances: Disturbances,
) -> list[str]:
    """Find valid keys that were refused after all instances had to know them."""
    found: dict[str, list[float]] = {}
    for refusal in refusals:
        lifetime = keys.get(refusal.key)
        if lifetime is None or refusal.answered_at >= lifetime.withdrawn_at:
            continue
        due_at = disturbances.find_deadline(refusal.port, lifetime.added_at, APPLY_S)
        if refusal.sent_at > due_at:
            found.setdefault(refusal.key, []).append(refusal.sent_at)
    return [
        f"KEY: {key} was refused {len(times)} times, first at {min(times):.1f} s"
        for key, times in sorted(found.items())
    ]
