"""Types of the statements of clients and of the proxy's own commands."""

from __future__ import annotations

__all__ = [
    "INTERNAL_REQUEST_ID",
    "Access",
    "Begin",
    "Commit",
    "Deallocate",
    "Demote",
    "Execute",
    "Pause",
    "Prepare",
    "Read",
    "ReadStatus",
    "Request",
    "Reset",
    "Resume",
    "Rollback",
    "SetValue",
    "Statement",
    "Write",
]

from enum import Enum

import msgspec

from ..kernel.ids import RequestId, Term
from .positions import LogPosition

INTERNAL_REQUEST_ID = RequestId("")


class Access(Enum):
    """Whether a statement reads or writes."""

    READ = "read"
    WRITE = "write"


class Begin(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Open a transaction."""

    read_only: bool = False


class Commit(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Commit the open transaction."""


class Rollback(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Roll back the open transaction."""


class Read(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Read one item.

    :param arguments: the statement's text after its verb, unchanged.
    """

    arguments: str


class Write(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Write one item.

    :param arguments: the statement's text after its verb, unchanged.
    """

    arguments: str


class SetValue(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Set a session value."""

    name: str
    value: str


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Prepare a statement under a name.

    :param shape: the statement's text without its arguments.
    """

    name: str
    access: Access
    shape: str


class Execute(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Run a prepared statement.

    :param arguments: the text after the name, unchanged.
    """

    name: str
    arguments: str


class Deallocate(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Drop a prepared statement."""

    name: str


class Reset(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Clear a connection's values and prepared statements."""


class ReadStatus(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Read an upstream's role and log positions."""


class Pause(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Stop replication to a replica for terms up to this one."""

    term: Term


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Resume replication to a paused replica."""


class Demote(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Turn a primary of a lower term into a replica."""

    term: Term


Statement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | SetValue
    | Prepare
    | Execute
    | Deallocate
    | Reset
    | ReadStatus
    | Pause
    | Resume
    | Demote
)


class Request(msgspec.Struct, frozen=True, array_like=True):
    """A statement that is sent to an upstream.

    :param request_id: the client's id, or INTERNAL_REQUEST_ID for internal statements.
    :param since: the log position that the upstream must have reached to run it.
    """

    statement: Statement
    request_id: RequestId = INTERNAL_REQUEST_ID
    since: LogPosition | None = None
