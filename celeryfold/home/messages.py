"""Requests that an entry sends to the home of a slot."""

from __future__ import annotations

__all__ = [
    "Begin",
    "BeginReply",
    "CancelKey",
    "Finish",
    "RunInTransaction",
    "RunRead",
    "RunWrite",
    "StatementAnswer",
    "TakeSample",
    "TakeSampleReply",
]

import msgspec

from ..drivers.slot import ResultSet, Statement
from ..kernel.ids import (
    GroupId,
    Position,
    RequestId,
    ServiceId,
    SlotId,
    Term,
    TransactionId,
)


class RunRead(msgspec.Struct, frozen=True, array_like=True, tag="read"):
    """Run a read on one slot.

    :param accepted_age_s: how old the data may be, counted from arrival.
    :param seen_term: term and
    :param seen_position: position that the answer must include.
    :param local_wait_s: how long to wait for the slot to catch up.
    :param budget_s: seconds left until the deadline.
    """

    request_id: RequestId
    service: ServiceId
    group: GroupId
    slot: SlotId
    statement: Statement
    accepted_age_s: float
    seen_term: Term
    seen_position: Position
    local_wait_s: float
    budget_s: float
    weight: int = 1


class RunWrite(msgspec.Struct, frozen=True, array_like=True, tag="write"):
    """Run a write on the primary, at most once where it carries a key.

    :param key: the caller's idempotency key, empty for none.
    :param digest: hash of what the key was used for.
    """

    request_id: RequestId
    service: ServiceId
    group: GroupId
    statement: Statement
    key: str
    digest: str
    budget_s: float
    weight: int = 1


class CancelKey(msgspec.Struct, frozen=True, array_like=True, tag="cancel_key"):
    """Claim a key so that it can no longer run, or find its answer."""

    request_id: RequestId
    service: ServiceId
    group: GroupId
    key: str
    budget_s: float
    weight: int = 1


class StatementAnswer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """Hold the answer to a statement.

    :param term: term and
    :param position: position of the log it was read or written at.
    :param slot: the slot that answered.
    :param replayed: whether the answer was recorded by an earlier try.
    """

    request_id: RequestId
    result: ResultSet
    term: Term
    position: Position
    slot: SlotId
    replayed: bool = False


class Begin(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """Open a transaction on the primary."""

    request_id: RequestId
    service: ServiceId
    group: GroupId
    key: str
    digest: str
    budget_s: float
    weight: int = 1


class BeginReply(msgspec.Struct, frozen=True, array_like=True, tag="begun"):
    """Name the open transaction."""

    transaction: TransactionId


class RunInTransaction(msgspec.Struct, frozen=True, array_like=True, tag="run_in"):
    """Run a statement in an open transaction."""

    request_id: RequestId
    transaction: TransactionId
    statement: Statement
    budget_s: float


class Finish(msgspec.Struct, frozen=True, array_like=True, tag="finish"):
    """Commit or roll back an open transaction."""

    request_id: RequestId
    transaction: TransactionId
    commit: bool
    budget_s: float


class TakeSample(msgspec.Struct, frozen=True, array_like=True, tag="sample"):
    """Ask the home of the primary for a sample begun after this request."""

    group: GroupId


class TakeSampleReply(msgspec.Struct, frozen=True, array_like=True, tag="sampled"):
    """Hold a sample; the asker dates it by its own sending."""

    term: Term
    position: Position
