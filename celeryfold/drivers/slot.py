"""Interface to an upstream slot, independent of the database that it runs."""

from __future__ import annotations

__all__ = [
    "NO_POSITION",
    "SLOT_DRIVERS",
    "BatchResult",
    "BatchResultLost",
    "Connection",
    "ConnectionRefused",
    "NotPrimary",
    "OrderRefused",
    "ResultSet",
    "Scalar",
    "Slot",
    "SlotRole",
    "SlotStatus",
    "SlotUnreachable",
    "Statement",
    "StatementRejected",
]

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

import msgspec

from ..exceptions import CeleryfoldError
from ..kernel.ids import Position, SlotId, Term
from ..kernel.registry import Registry

NO_POSITION = Position(0)

Scalar = None | bool | int | float | str


class SlotRole(Enum):
    """Role that a slot reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


class SlotStatus(msgspec.Struct, frozen=True):
    """Status that a slot reports.

    :param term: term of the last log entry, not of the last order.
    :param position: position of the last log entry received.
    :param ordered_term: highest term of the orders that the slot accepted.
    :param following: primary that the slot replicates from.
    :param leaving: whether the slot reports that it is draining.
    """

    role: SlotRole
    term: Term
    position: Position
    ordered_term: Term = Term(0)
    following: SlotId | None = None
    leaving: bool = False


class Statement(msgspec.Struct, frozen=True):
    """An SQL statement with its parameters."""

    text: str
    parameters: tuple[Scalar, ...] = ()


class ResultSet(msgspec.Struct, frozen=True):
    """Result of one statement."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    n_changed: int = 0


class BatchResult(msgspec.Struct, frozen=True):
    """Results of a batch and the log position at which it was read or written.

    :param term: term of the last log entry applied.
    :param position: position of the last log entry applied.
    """

    results: tuple[ResultSet, ...]
    term: Term
    position: Position


class SlotUnreachable(CeleryfoldError):
    """The slot gave no valid response to a connection attempt, status call or order."""


class ConnectionRefused(CeleryfoldError):
    """The slot is at its connection limit."""


class BatchResultLost(CeleryfoldError):
    """The slot may have received the batch, but its result did not arrive."""


class StatementRejected(CeleryfoldError):
    """The slot refused the batch and rolled back its transaction."""


class NotPrimary(StatementRejected):
    """The batch contains a write, but the slot is a replica."""


class OrderRefused(CeleryfoldError):
    """The slot has already accepted an order of the same or a higher term."""


class Connection(ABC):
    """A scarce connection to a slot; closing it rolls back its transaction."""

    @abstractmethod
    async def execute(
        self,
        statements: Sequence[Statement],
        *,
        begin: bool = False,
        commit: bool = False,
    ) -> BatchResult:
        """Run statements in order, stopping at the first error.

        :param begin: open a transaction first.
        :param commit: commit the transaction afterwards.
        :raises StatementRejected: if a statement fails; the transaction is rolled back.
        :raises BatchResultLost: if it is unknown what ran; close the connection.
        """

    @abstractmethod
    async def rollback(self) -> None:
        """Roll back the open transaction."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection at once."""


class Slot(ABC):
    """A database server of an upstream group."""

    slot_id: SlotId

    @abstractmethod
    async def connect(self) -> Connection:
        """Open a connection, at the usual connection cost of the slot.

        :raises ConnectionRefused: if the slot is at its connection limit.
        :raises SlotUnreachable: if the slot does not respond.
        """

    @abstractmethod
    async def fetch_status(
        self, wait_position: Position = NO_POSITION, wait_s: float = 0.0
    ) -> SlotStatus:
        """Return the status of the slot.

        :param wait_position: position to wait for before responding.
        :param wait_s: maximum wait for the position in seconds.
        :raises SlotUnreachable: if the slot does not respond.
        """

    @abstractmethod
    async def promote(self, term: Term) -> SlotStatus:
        """Order the slot to become the primary of a term.

        :raises OrderRefused: if the term is not above the slot's own.
        :raises SlotUnreachable: if no response comes; the order may still take effect.
        """

    @abstractmethod
    async def follow(self, primary: SlotId, address: str, term: Term) -> None:
        """Order the slot to replicate from the primary of a term.

        :raises OrderRefused: if the slot knows a higher term.
        :raises SlotUnreachable: if no response comes; the order may still take effect.
        """

    async def close(self) -> None:
        """Release the resources of the driver."""


SLOT_DRIVERS: Registry[Slot] = Registry("slot driver")
