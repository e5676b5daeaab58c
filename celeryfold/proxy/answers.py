"""The closed table of how a statement can end and what its client hears."""

from __future__ import annotations

__all__ = ["ENDINGS", "RETRIED_ELSEWHERE", "Ending", "Sent", "find_answer"]

from enum import Enum

from ..kernel.errors import ErrorKind


class Sent(Enum):
    """Tell what an upstream may have received when things ended.

    COMMIT_OF_READS commits a transaction that wrote nothing.
    """

    NOTHING = "nothing"
    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in_transaction"
    COMMIT_OF_READS = "commit_of_reads"
    COMMIT_OF_WRITES = "commit_of_writes"


class Ending(Enum):
    """Tell why no answer of the upstream can be passed on."""

    LOST = "lost"
    TIMED_OUT = "timed_out"
    STOPPED = "stopped"


# A closed connection is rolled back by its upstream, so that whatever was sent before a
# commit leaves nothing behind; only a commit or a single write may have taken effect.
ENDINGS: dict[tuple[Sent, Ending], ErrorKind] = {
    (Sent.NOTHING, Ending.LOST): ErrorKind.NOT_RUN,
    (Sent.NOTHING, Ending.TIMED_OUT): ErrorKind.OVERLOADED,
    (Sent.NOTHING, Ending.STOPPED): ErrorKind.SHUTTING_DOWN,
    (Sent.READ, Ending.LOST): ErrorKind.TRANSACTION_LOST,
    (Sent.READ, Ending.TIMED_OUT): ErrorKind.TRANSACTION_LOST,
    (Sent.READ, Ending.STOPPED): ErrorKind.TRANSACTION_LOST,
    (Sent.IN_TRANSACTION, Ending.LOST): ErrorKind.TRANSACTION_LOST,
    (Sent.IN_TRANSACTION, Ending.TIMED_OUT): ErrorKind.TRANSACTION_LOST,
    (Sent.IN_TRANSACTION, Ending.STOPPED): ErrorKind.TRANSACTION_LOST,
    (Sent.COMMIT_OF_READS, Ending.LOST): ErrorKind.TRANSACTION_LOST,
    (Sent.COMMIT_OF_READS, Ending.TIMED_OUT): ErrorKind.TRANSACTION_LOST,
    (Sent.COMMIT_OF_READS, Ending.STOPPED): ErrorKind.TRANSACTION_LOST,
    (Sent.WRITE, Ending.LOST): ErrorKind.OUTCOME_UNKNOWN,
    (Sent.WRITE, Ending.TIMED_OUT): ErrorKind.TIMED_OUT,
    (Sent.WRITE, Ending.STOPPED): ErrorKind.OUTCOME_UNKNOWN,
    (Sent.COMMIT_OF_WRITES, Ending.LOST): ErrorKind.OUTCOME_UNKNOWN,
    (Sent.COMMIT_OF_WRITES, Ending.TIMED_OUT): ErrorKind.TIMED_OUT,
    (Sent.COMMIT_OF_WRITES, Ending.STOPPED): ErrorKind.OUTCOME_UNKNOWN,
}

# Errors of an upstream by which it says that it did not run the statement.
RETRIED_ELSEWHERE = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.NOT_CAUGHT_UP,
        ErrorKind.READ_ONLY,
        ErrorKind.UNKNOWN_STATEMENT,
    }
)


def find_answer(sent: Sent, ending: Ending) -> ErrorKind:
    """Return what the client hears."""
    return ENDINGS[sent, ending]
