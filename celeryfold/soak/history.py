"""Checks of the replies that clients received against what the databases ran."""

from __future__ import annotations

__all__ = ["HistoryChecker", "SentStatement"]

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import trio

from ..accounts import NO_ACCOUNT
from ..kernel.ids import AccountId, RequestId
from ..proxy.positions import LogPosition
from ..proxy.routes import Consistency
from ..standins.database import LOG_START, Entry, StatementRun
from ..standins.replicas import ReplicaSet

MAX_STALENESS_S = 1.5


@dataclass(frozen=True)
class SentStatement:
    """One statement as its client sent it.

    :param session: name of the session.
    :param values: the session values that were acknowledged before it was sent.
    :param transaction: number of its transaction in the session, 0 outside of one.
    :param shape: shape of the prepared statement that it executes, empty for none.
    :param writes: whether it is a write.
    :param account: the account under whose name it must run.
    :param key: API key of the session.
    :param port: client port of the instance of the session.
    :param text: item and data of a write, empty if they are not checked.
    :param begun_at: when its transaction was begun, 0 outside of one.
    """

    request_id: RequestId
    session: str
    sent_at: float
    values: dict[str, str] = field(default_factory=dict)
    transaction: int = 0
    shape: str = ""
    writes: bool = False
    account: AccountId = NO_ACCOUNT
    key: str = ""
    port: int = 0
    begun_at: float = 0.0
    text: str = ""


class HistoryChecker:
    """Records statements and replies, and finds violations of the guarantees."""

    def __init__(self, replicas: ReplicaSet) -> None:
        self._replicas = replicas
        self.sent: dict[RequestId, SentStatement] = {}
        self._written: set[str] = set()
        self._runs: dict[RequestId, list[StatementRun]] = {}
        self._n_runs_read = 0
        self._acknowledged_commits: list[tuple[float, LogPosition, str]] = []
        self.acknowledged: set[RequestId] = set()
        self.refused: set[RequestId] = set()
        self.n_succeeded = 0
        self.n_refused = 0
        self.n_unknown = 0
        self.violations: list[str] = []

    def record_sent(self, sent: SentStatement) -> None:
        """Record that a client is about to send a statement."""
        self.sent[sent.request_id] = sent
        self._written.add(sent.text)

    def record_committed(self, session: str, ids: Iterable[RequestId]) -> None:
        """Record that writes were acknowledged to a client."""
        own = set(ids)
        self.acknowledged |= own
        position = self._find_position(own)
        if position is not None:
            self._acknowledged_commits.append((trio.current_time(), position, session))

    def record_refused(self, ids: Iterable[RequestId]) -> None:
        """Record that writes must not be committed, after an error or a rollback."""
        self.refused.update(ids)

    def _find_position(self, ids: set[RequestId]) -> LogPosition | None:
        for database in self._replicas.databases.values():
            for entry in reversed(database.log):
                if any(request in ids for _, _, request in entry.writes):
                    return entry.position
        return None

    def check_read(
        self, sent: SentStatement, kind: Consistency, signature: str
    ) -> None:
        """Check that a successful read saw all commits that its consistency requires.

        :param signature: the signature of the reply, which names the upstream.
        """
        self._read_runs()
        name = signature.split("/")[0]
        runs = [r for r in self._runs.get(sent.request_id, []) if r.upstream == name]
        if not runs:
            self.violations.append(
                f"MIXED: {sent.request_id} has no run at the upstream that signed it"
            )
            return
        seen = max(run.applied for run in runs)
        required = self._find_required_position(sent, kind)
        if seen < required:
            text = f"{sent.request_id} ({kind.value}) saw {seen}, needed {required}"
            self.violations.append(f"STALE: {text}")

    def check_rows(self, sent: SentStatement, item: str, rows: Sequence[str]) -> None:
        """Check that the rows of a successful read are what a client wrote."""
        if len(rows) != 1 or (rows[0] and f"{item} {rows[0]}" not in self._written):
            text = f"{sent.request_id} read {str(rows)[:100]!a} of {item}"
            self.violations.append(f"MIXED: {text}, which no client wrote")

    def _find_required_position(
        self, sent: SentStatement, kind: Consistency
    ) -> LogPosition:
        age_s = 0.0 if kind is Consistency.PRIMARY else MAX_STALENESS_S
        is_own = kind is Consistency.OWN_WRITES
        required = LOG_START
        for at, position, session in self._acknowledged_commits:
            is_due = at < sent.sent_at - age_s
            if is_due or (is_own and session == sent.session):
                required = max(required, position)
        return required

    def _read_runs(self) -> None:
        for run in self._replicas.runs[self._n_runs_read :]:
            self._runs.setdefault(run.request_id, []).append(run)
        self._n_runs_read = len(self._replicas.runs)

    def find_violations(self) -> list[str]:
        """Return all violations, including those found during the run."""
        self._read_runs()
        committed = self._count_committed_writes()
        violations = list(self.violations)
        violations += [self._describe_loss(entry) for entry in self._replicas.lost]
        violations += [
            f"LOST: {r}" for r in sorted(self.acknowledged - committed.keys())
        ]
        violations += [
            f"REFUSED: {r} is in the log"
            for r in sorted(self.refused & committed.keys())
        ]
        violations += [f"TWICE: {r}" for r, n in sorted(committed.items()) if n > 1]
        for request_id, runs in self._runs.items():
            violations += self._check_runs(request_id, runs)
        violations += self._check_written_texts()
        return violations + self._check_pinning() + self._check_interleaving()

    def _describe_loss(self, entry: Entry) -> str:
        """Return the violation of a promotion without an acknowledged commit."""
        is_seen = any(request in self.acknowledged for _, _, request in entry.writes)
        told = "a client" if is_seen else "an instance"
        return f"LOST: {entry.position} by a promotion, acknowledged to {told}"

    def _count_committed_writes(self) -> Counter[RequestId]:
        """Count the writes of each request in the log that the service continues with.

        During a planned failover there is no primary for a moment. The database that
        has received most is promoted next, so its log counts then.
        """
        leader = self._replicas.find_leader()
        if leader is None:
            databases = self._replicas.databases.values()
            leader = max(databases, key=lambda database: database.received)
        return Counter(r for e in leader.log for _, _, r in e.writes)

    def _check_runs(self, request_id: RequestId, runs: list[StatementRun]) -> list[str]:
        sent = self.sent.get(request_id)
        if sent is None:
            return [f"UNASKED: {request_id}"]
        violations = []
        for run in runs:
            if run.values != sent.values:
                text = f"{request_id} ran with {run.values}, not {sent.values}"
                violations.append(f"PINNED: {text}")
            if run.account != sent.account:
                text = f"{request_id} ran for '{run.account}', not '{sent.account}'"
                violations.append(f"ACCOUNT: {text}")
            if run.shape != sent.shape:
                text = f"{request_id} ran '{run.shape}', not '{sent.shape}'"
                violations.append(f"PINNED: {text}")
            # The proxy may wrap a single read in its own BEGIN and ROLLBACK, which
            # confirm that the upstream is the primary.
            is_wrapped = run.in_transaction and not sent.writes
            if run.in_transaction != bool(sent.transaction) and not is_wrapped:
                text = f"{request_id} ran in_transaction={run.in_transaction}"
                violations.append(f"PINNED: {text} for transaction {sent.transaction}")
        return violations

    def _check_written_texts(self) -> list[str]:
        violations = []
        for _, entry in self._replicas.acknowledged:
            for item, value, request_id in entry.writes:
                sent = self.sent.get(request_id)
                if sent is not None and sent.text not in ("", f"{item} {value}"):
                    text = (
                        f"{request_id} wrote {value[:100]!a}, not {sent.text[:100]!a}"
                    )
                    violations.append(f"UNASKED: {text}")
        return violations

    def _check_pinning(self) -> list[str]:
        """Find commits that mix transactions or ran on several connections."""
        violations = []
        for _, entry in self._replicas.acknowledged:
            ids = {request for _, _, request in entry.writes}
            sent = [self.sent[i] for i in ids if i in self.sent]
            if len({(a.session, a.transaction) for a in sent}) > 1:
                violations.append(f"PINNED: {entry.position} mixes transactions")
            connections = {r.connection for i in ids for r in self._runs.get(i, [])}
            if len(ids) > 1 and len(connections) > 1:
                violations.append(
                    f"PINNED: {entry.position} ran on several connections"
                )
        return violations

    def _check_interleaving(self) -> list[str]:
        """Find foreign statements between two statements of a transaction."""
        last: dict[int, SentStatement] = {}
        interrupted: set[tuple[int, str, int]] = set()
        violations = []
        for run in self._replicas.runs:
            sent = self.sent.get(run.request_id)
            if sent is None:
                continue
            previous = last.get(run.connection)
            if (
                previous is not None
                and previous.transaction
                and not _is_same_transaction(previous, sent)
            ):
                interrupted.add(
                    (run.connection, previous.session, previous.transaction)
                )
            key = (run.connection, sent.session, sent.transaction)
            if sent.transaction and key in interrupted:
                violations.append(
                    f"PINNED: {sent.request_id} ran after a foreign statement"
                )
            last[run.connection] = sent
        return violations


def _is_same_transaction(one: SentStatement, other: SentStatement) -> bool:
    return (one.session, one.transaction) == (other.session, other.transaction)
