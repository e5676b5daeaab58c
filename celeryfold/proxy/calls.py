"""Calls from a session to the runners, and the answers to clients."""

from __future__ import annotations

__all__ = ["Answer", "Call", "OwnWrite", "remaining_s"]

from dataclasses import dataclass

import msgspec

from ..accounts import NO_ACCOUNT
from ..kernel.ids import AccountId, RequestId
from .clock import Clock
from .positions import LogPosition
from .routes import Route
from .statements import Prepare, Request
from .upstream import Reply, TransactionState, UpstreamError


class OwnWrite(msgspec.Struct, frozen=True):
    """Log position of a session's last commit.

    :param acknowledged_at: when its reply came, in seconds of the instance's clock.
    """

    position: LogPosition
    acknowledged_at: float


@dataclass(frozen=True)
class Call:
    """One statement of a client and the session state that decides how it runs.

    :param request: the statement in the form that is sent to an upstream.
    :param prepared: the prepared statement that it runs, if any.
    :param values: the session's values.
    :param own_write: the session's last commit, if any.
    :param arrived_at: when it was received, in seconds of the instance's clock.
    :param account: the client account that sent it.
    """

    request: Request
    prepared: Prepare | None
    values: dict[str, str]
    route: Route
    own_write: OwnWrite | None
    arrived_at: float
    account: AccountId = NO_ACCOUNT

    @property
    def request_id(self) -> RequestId:
        """The id that the client gave the statement."""
        return self.request.request_id


class Answer(msgspec.Struct, frozen=True):
    """The answer to one statement of a client.

    :param signature: the upstream's proof that it ran the statement, empty if the
        session answers by itself.
    """

    state: TransactionState
    rows: tuple[str, ...] = ()
    signature: str = ""
    error: UpstreamError | None = None

    @classmethod
    def from_reply(cls, reply: Reply, state: TransactionState) -> Answer:
        """Return the answer that passes an upstream's reply on."""
        return cls(state, reply.rows, reply.signature, reply.error)


def remaining_s(call: Call, clock: Clock) -> float:
    """Return the time left of a call's statement time-out, in seconds."""
    return call.arrived_at + call.route.statement_timeout_s - clock()
