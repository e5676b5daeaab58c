"""What the proxy needs of one upstream database."""

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

from ..exceptions import CeleryfoldError
from ..kernel.errors import ErrorKind
from ..kernel.ids import PlaceId, ServiceId, Term, UpstreamId
from .positions import LogPosition
from .statements import Request


class UpstreamRole(Enum):
    """Tell what an upstream believes itself to be."""

    PRIMARY = "primary"
    REPLICA = "replica"


class TransactionState(Enum):
    """Tell what a session's transaction is in."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """Describe one upstream database as it registered itself.

    :param born_ms: when its process started, Unix milliseconds; tells an upstream from
        an empty one that came back under its id.
    :param is_leaving: whether it has said that it is going away.
    :param claimed_role: what it says of itself; a hint that may be old.
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
    """Report what an upstream says of its log.

    :param received: the last position that it has received.
    :param held_term: the highest term that it was told of.
    """

    role: UpstreamRole
    term: Term
    received: LogPosition
    held_term: Term


class UpstreamError(msgspec.Struct, frozen=True, array_like=True):
    """Hold the error that an upstream answered with."""

    kind: ErrorKind
    text: str


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """Hold an upstream's whole answer to one request.

    :param signature: proof that this upstream ran the statement.
    :param position: the log position that the statement ran on.
    """

    rows: tuple[str, ...]
    signature: str
    error: UpstreamError | None
    state: TransactionState
    position: LogPosition | None
    status: UpstreamStatus | None = None


class ConnectFailure(Enum):
    """Tell why no connection was opened.

    REFUSED: the host said that nothing listens, so the upstream does not run.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    TOO_MANY = "too_many_connections"
    WRONG_INSTANCE = "wrong_instance"


class ConnectFailed(CeleryfoldError):
    """No connection was opened; nothing was sent."""

    def __init__(self, failure: ConnectFailure, text: str) -> None:
        super().__init__(text)
        self.failure = failure


class ConnectionLost(CeleryfoldError):
    """The connection ended or broke; requests without a reply may have run."""


class UpstreamConnection(ABC):
    """One scarce connection to an upstream; closing it rolls its transaction back."""

    @abstractmethod
    async def send(self, requests: Sequence[Request]) -> None:
        """Send requests in order, in one piece.

        :raises ConnectionLost: any of them may have arrived.
        """

    @abstractmethod
    async def receive(self) -> Reply:
        """Return the reply to the oldest request without one.

        :raises ConnectionLost: where it does not come whole.
        """

    @abstractmethod
    def is_broken(self) -> bool:
        """Tell whether the connection has ended or holds bytes nobody asked for."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection at once."""


class Connector(ABC):
    """Open connections to upstreams."""

    @abstractmethod
    async def connect(self, upstream: Upstream) -> UpstreamConnection:
        """Open a connection to exactly this upstream.

        :raises ConnectFailed: with the reason.
        """
