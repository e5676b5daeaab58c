"""The current configuration: the service and the rules of each database name."""

from __future__ import annotations

__all__ = ["Consistency", "Route", "RouteTable", "Routes", "ServiceRules"]

import logging
from enum import Enum

import msgspec
import trio

from ..accounts import AccountTable
from ..kernel.ids import Generation, ServiceId

log = logging.getLogger(__name__)

DEFAULT_TRANSACTION_IDLE_S = 3.0


class Consistency(Enum):
    """Which commits a read must see.

    PRIMARY: all commits. BOUNDED: commits older than the accepted staleness.
    OWN_WRITES: those of BOUNDED and the session's own.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


class Route(msgspec.Struct, frozen=True):
    """The service and the rules of one database name.

    :param max_staleness_s: the staleness that reads accept, in seconds.
    :param statement_timeout_s: time-out of one statement, in seconds.
    :param target_s: target latency of an operation, in seconds.
    :param priority: the lowest number is served first.
    :param is_public: whether clients need no API key.
    """

    database: str
    service: ServiceId
    consistency: Consistency
    max_staleness_s: float
    statement_timeout_s: float
    target_s: float
    priority: int
    is_public: bool = False


class ServiceRules(msgspec.Struct, frozen=True):
    """The rules of one service.

    :param n_connections: connections that an upstream accepts in total.
    :param n_sync_replicas: replicas that must have received a commit.
    """

    n_connections: int
    n_sync_replicas: int


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the configuration.

    :param transaction_idle_s: idle time after which a transaction is rolled back, in
        seconds.
    :param accounts: the client accounts; None if clients need no API key.
    """

    version: Generation
    routes: dict[str, Route]
    services: dict[ServiceId, ServiceRules]
    transaction_idle_s: float = DEFAULT_TRANSACTION_IDLE_S
    accounts: AccountTable | None = None

    def list_services(self) -> list[ServiceId]:
        """Return the services of all routes, sorted."""
        return sorted({route.service for route in self.routes.values()})


class Routes:
    """Keeps the route table with the highest version received."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.source = b""
        self._changed = trio.Event()

    @property
    def version(self) -> Generation:
        """The current version, 0 without a table."""
        return self.table.version if self.table is not None else Generation(0)

    def adopt(self, table: RouteTable, source: bytes, origin: str) -> bool:
        """Replace the table if the new one has a higher version.

        :param source: the bytes it was decoded from, to be sent to peers.
        :param origin: where it came from, for the log.
        :returns: whether the table was replaced.
        """
        if table.version <= self.version:
            return False
        log.info(
            "configuration adopted",
            extra={
                "version": table.version,
                "replaced": self.version,
                "origin": origin,
                "n_routes": len(table.routes),
            },
        )
        self.table = table
        self.source = source
        self._changed.set()
        self._changed = trio.Event()
        return True

    def find(self, database: str) -> Route | None:
        """Return the route of a database name, or None if there is none."""
        return self.table.routes.get(database) if self.table is not None else None

    async def wait_until_changed(self) -> None:
        """Wait until the table is replaced."""
        await self._changed.wait()

    async def wait_until_loaded(self) -> None:
        """Wait until there is a table."""
        while self.table is None:
            await self._changed.wait()
