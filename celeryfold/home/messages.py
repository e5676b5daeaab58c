"""Messages between any instance and the home of a slot."""

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
    """Request to run a read on one slot.

    :param accepted_age_s: maximum age of the data in seconds when the request arrives.
    :param seen_term: term of the latest write that the answer must include.
    :param seen_position: log position of that write.
    :param local_wait_s: seconds to wait for the slot to catch up.
    :param budget_s: seconds left until the deadline.
    :param weight: share of the service when services compete for connections.
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
    """Request to run a write on the primary, at most once if it carries a key.

    :param key: the caller's idempotency key, empty for none.
    :param digest: hash of the request for which the key is used.
    :param budget_s: seconds left until the deadline.
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
    """Request to cancel an idempotency key, or to return its recorded answer."""

    request_id: RequestId
    service: ServiceId
    group: GroupId
    key: str
    budget_s: float
    weight: int = 1


class StatementAnswer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """Answer to a statement.

    :param term: term of the log when the statement ran.
    :param position: log position at which the statement read or wrote.
    :param slot: slot that answered.
    :param replayed: whether the answer was recorded by an earlier attempt.
    """

    request_id: RequestId
    result: ResultSet
    term: Term
    position: Position
    slot: SlotId
    replayed: bool = False


class Begin(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """Request to open a transaction on the primary."""

    request_id: RequestId
    service: ServiceId
    group: GroupId
    key: str
    digest: str
    budget_s: float
    weight: int = 1


class BeginReply(msgspec.Struct, frozen=True, array_like=True, tag="begun"):
    """Reply with the id of the opened transaction."""

    transaction: TransactionId


class RunInTransaction(msgspec.Struct, frozen=True, array_like=True, tag="run_in"):
    """Request to run a statement in an open transaction."""

    request_id: RequestId
    transaction: TransactionId
    statement: Statement
    budget_s: float


class Finish(msgspec.Struct, frozen=True, array_like=True, tag="finish"):
    """Request to commit or roll back an open transaction."""

    request_id: RequestId
    transaction: TransactionId
    commit: bool
    budget_s: float


class TakeSample(msgspec.Struct, frozen=True, array_like=True, tag="sample"):
    """Request to take a new sample, sent to the home of the primary."""

    group: GroupId


class TakeSampleReply(msgspec.Struct, frozen=True, array_like=True, tag="sampled"):
    """Reply with a sample, valid for the time at which the request was sent."""

    term: Term
    position: Position
