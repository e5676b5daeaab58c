"""Interface of an upstream database: its description, replies and connections."""

from __future__ import annotations

__all__ = [
    "ConnectFailed",
    "ConnectFailure",
    "ConnectionLost",
    "Connector",
    "Reply",
    "TransactionState",
    "Upstream",
    "UpstreamConnection",
    "UpstreamError",
    "UpstreamRole",
    "UpstreamStatus",
]

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

import msgspec

from ..accounts import NO_ACCOUNT
from ..exceptions import CeleryfoldError
from ..kernel.errors import ErrorKind
from ..kernel.ids import AccountId, PlaceId, ServiceId, Term, UpstreamId
from .positions import LogPosition
from .statements import Request


class UpstreamRole(Enum):
    """The role that an upstream reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


class TransactionState(Enum):
    """The state of a session's transaction."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream database as it registered itself.

    :param address: the host and port for connections.
    :param n_slots: how many statements the upstream executes concurrently.
    :param born_ms: when its process started, Unix milliseconds. It distinguishes an
        upstream from one that restarted under the same id with empty data.
    :param is_leaving: whether the upstream has announced that it is leaving.
    :param claimed_role: the role that it registered, a hint that may be outdated.
    """

    upstream_id: UpstreamId
    service: ServiceId
    address: str
    place: PlaceId
    n_slots: int
    born_ms: int
    is_leaving: bool = False
    claimed_role: UpstreamRole | None = None


class UpstreamStatus(msgspec.Struct, frozen=True, array_like=True):
    """The state of the log of an upstream.

    :param received: the last position that it has received.
    :param held_term: the term for which it is paused, 0 if it is not.
    """

    role: UpstreamRole
    term: Term
    received: LogPosition
    held_term: Term


class UpstreamError(msgspec.Struct, frozen=True, array_like=True):
    """An error reply of an upstream."""

    kind: ErrorKind
    text: str


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's complete reply to one request.

    :param signature: the proof that this upstream executed the statement.
    :param position: the log position at which the statement was executed.
    :param status: the status of the upstream, in replies to control statements.
    """

    rows: tuple[str, ...]
    signature: str
    error: UpstreamError | None
    state: TransactionState
    position: LogPosition | None
    status: UpstreamStatus | None = None


class ConnectFailure(Enum):
    """The reason why no connection was opened.

    REFUSED means that no process listens on the port, so the upstream is not running.
    ACCOUNT_REFUSED concerns one client account only. SESSION_REFUSED is any other error
    that the upstream answered, so it is running.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    TOO_MANY = "too_many_connections"
    WRONG_INSTANCE = "wrong_instance"
    ACCOUNT_REFUSED = "account_refused"
    SESSION_REFUSED = "session_refused"


class ConnectFailed(CeleryfoldError):
    """No connection was opened, so nothing was sent.

    :param found: the id of the upstream that has the address instead, if it named one.
    """

    def __init__(
        self, failure: ConnectFailure, text: str, found: UpstreamId | None = None
    ) -> None:
        super().__init__(text)
        self.failure = failure
        self.found = found


class ConnectionLost(CeleryfoldError):
    """The connection was lost; requests without a reply may have been executed."""


class UpstreamConnection(ABC):
    """One of an upstream's few connections; closing it rolls its transaction back."""

    @abstractmethod
    async def send(self, requests: Sequence[Request]) -> None:
        """Send requests in order, in one write.

        :raises ConnectionLost: if the connection is lost; any request may have arrived.
        """

    @abstractmethod
    async def receive(self) -> Reply:
        """Return the reply to the oldest request that has none yet.

        :raises ConnectionLost: if the reply is not received completely.
        """

    @abstractmethod
    def is_broken(self) -> bool:
        """Return whether the connection has ended or has received unexpected bytes."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection at once."""


class Connector(ABC):
    """Opens connections to upstreams."""

    @abstractmethod
    async def connect(
        self, upstream: Upstream, account: AccountId = NO_ACCOUNT
    ) -> UpstreamConnection:
        """Open a connection to exactly this upstream.

        :param account: the client account under whose name it is opened; without one
            it is opened under the name of this instance.
        :raises ConnectFailed: if no connection can be opened, with the reason.
        """
