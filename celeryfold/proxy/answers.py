"""The error kind for each way in which a statement can fail without a reply."""

from __future__ import annotations

__all__ = [
    "ERROR_KINDS",
    "RETRYABLE_ERRORS",
    "FailureCause",
    "SentRequest",
    "find_error_kind",
]

from enum import Enum

from ..kernel.errors import ErrorKind


class SentRequest(Enum):
    """What an upstream may have received when an exchange failed.

    COMMIT_OF_READS is the commit of a transaction without writes.
    """

    NOTHING = "nothing"
    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in_transaction"
    COMMIT_OF_READS = "commit_of_reads"
    COMMIT_OF_WRITES = "commit_of_writes"


class FailureCause(Enum):
    """Why there is no reply of the upstream to pass on."""

    LOST = "lost"
    TIMED_OUT = "timed_out"
    STOPPED = "stopped"


# An upstream rolls back the open transaction of a closed connection, so statements sent
# before a commit have no effect; only a commit or a single write may have taken effect.
ERROR_KINDS: dict[tuple[SentRequest, FailureCause], ErrorKind] = {
    (SentRequest.NOTHING, FailureCause.LOST): ErrorKind.NOT_RUN,
    (SentRequest.NOTHING, FailureCause.TIMED_OUT): ErrorKind.OVERLOADED,
    (SentRequest.NOTHING, FailureCause.STOPPED): ErrorKind.SHUTTING_DOWN,
    (SentRequest.READ, FailureCause.LOST): ErrorKind.TRANSACTION_LOST,
    (SentRequest.READ, FailureCause.TIMED_OUT): ErrorKind.TRANSACTION_LOST,
    (SentRequest.READ, FailureCause.STOPPED): ErrorKind.TRANSACTION_LOST,
    (SentRequest.IN_TRANSACTION, FailureCause.LOST): ErrorKind.TRANSACTION_LOST,
    (SentRequest.IN_TRANSACTION, FailureCause.TIMED_OUT): ErrorKind.TRANSACTION_LOST,
    (SentRequest.IN_TRANSACTION, FailureCause.STOPPED): ErrorKind.TRANSACTION_LOST,
    (SentRequest.COMMIT_OF_READS, FailureCause.LOST): ErrorKind.TRANSACTION_LOST,
    (SentRequest.COMMIT_OF_READS, FailureCause.TIMED_OUT): ErrorKind.TRANSACTION_LOST,
    (SentRequest.COMMIT_OF_READS, FailureCause.STOPPED): ErrorKind.TRANSACTION_LOST,
    (SentRequest.WRITE, FailureCause.LOST): ErrorKind.OUTCOME_UNKNOWN,
    (SentRequest.WRITE, FailureCause.TIMED_OUT): ErrorKind.TIMED_OUT,
    (SentRequest.WRITE, FailureCause.STOPPED): ErrorKind.OUTCOME_UNKNOWN,
    (SentRequest.COMMIT_OF_WRITES, FailureCause.LOST): ErrorKind.OUTCOME_UNKNOWN,
    (SentRequest.COMMIT_OF_WRITES, FailureCause.TIMED_OUT): ErrorKind.TIMED_OUT,
    (SentRequest.COMMIT_OF_WRITES, FailureCause.STOPPED): ErrorKind.OUTCOME_UNKNOWN,
}

# Errors by which an upstream reports that it did not run the statement.
RETRYABLE_ERRORS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.NOT_CAUGHT_UP,
        ErrorKind.READ_ONLY,
        ErrorKind.UNKNOWN_STATEMENT,
    }
)


def find_error_kind(sent: SentRequest, cause: FailureCause) -> ErrorKind:
    """Return the error kind that the client receives."""
    return ERROR_KINDS[sent, cause]
