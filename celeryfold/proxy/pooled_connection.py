"""A connection of a pool, with the session state that is set on it."""

from __future__ import annotations

__all__ = ["PooledConnection"]

from ..accounts import NO_ACCOUNT
from ..kernel.ids import AccountId
from .statements import INTERNAL_REQUEST_ID, Prepare, Request, Reset, SetValue
from .upstream import UpstreamConnection


class PooledConnection:
    """A connection and the session state that is set on it at the upstream.

    :param account: the account under whose name the connection was opened.
    """

    def __init__(
        self,
        connection: UpstreamConnection,
        now: float,
        account: AccountId = NO_ACCOUNT,
    ) -> None:
        self.connection = connection
        self.account = account
        self.values: dict[str, str] = {}
        self.prepared_names: set[str] = set()
        self.last_reply_at = now

    def make_setup_requests(
        self, values: dict[str, str], prepared: Prepare | None
    ) -> list[Request]:
        """Return the requests that set a session's state on the connection.

        :param values: the session's values.
        :param prepared: the prepared statement that runs next, if any.
        """
        requests = []
        if not self.values.items() <= values.items():
            requests.append(Request(Reset(), INTERNAL_REQUEST_ID))
            self.values = {}
            self.prepared_names = set()
        for name, value in values.items():
            if self.values.get(name) != value:
                requests.append(Request(SetValue(name, value), INTERNAL_REQUEST_ID))
        self.values = dict(values)
        if prepared is not None and prepared.name not in self.prepared_names:
            requests.append(Request(prepared, INTERNAL_REQUEST_ID))
            self.prepared_names.add(prepared.name)
        return requests
