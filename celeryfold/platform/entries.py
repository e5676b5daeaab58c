"""Decoding of the store entries that databases and the operator write."""

from __future__ import annotations

__all__ = ["PlatformEntryDecoder"]

import re
from typing import Annotated

import msgspec

from ..accounts import AccountRules, AccountTable, KeyDigest, digest_key
from ..exceptions import BadInput, Unreadable
from ..kernel.decoding import decode_json
from ..kernel.ids import AccountId, Generation, PlaceId, ServiceId, UpstreamId
from ..proxy.routes import Consistency, Route, RouteTable, ServiceRules
from ..proxy.upstream import Upstream, UpstreamRole
from ..proxy.watcher import EntryDecoder
from ..wire.client import is_ip_address

DEFAULT_N_CONNECTIONS = 16

_CONSISTENCIES = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.OWN_WRITES,
}
_ROLES = {"primary": UpstreamRole.PRIMARY, "replica": UpstreamRole.REPLICA}
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
# Printable ASCII without blanks: names are sent to databases as fields of a line.
_NAME_PATTERN = r"\A[!-~]+\Z"
_Name = Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
# The largest integer that every JSON and MessagePack decoder reads exactly. Entries are
# passed on between instances.
_MAX_COUNT = 2**53
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
# Account names are sent to databases as fields of a line, too; other scripts are valid.
_AccountName = Annotated[str, msgspec.Meta(pattern=r"\A[^\s\x00-\x1f\x7f]+\Z")]
# A session without a key must not match an account.
_Key = Annotated[str, msgspec.Meta(min_length=1)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Priority = Annotated[int, msgspec.Meta(ge=-_MAX_COUNT, le=_MAX_COUNT)]


class _ServerEntry(msgspec.Struct):
    """Entry that a database registers for itself.

    :param version: version of the software of the database.
    :param slots: number of statements that the database runs concurrently.
    :param born: start time of the database in Unix milliseconds.
    :param cold_ms: further milliseconds that the database is slow after its start.
    """

    service: _Name
    address: _Name
    zone: _Name
    slots: _Count
    version: str
    state: str
    seq_no: int
    cold_ms: _Amount
    db_role: str | None = None
    born: _Count = 0


class _RouteBody(msgspec.Struct):
    """Route of the configuration.

    :param host: database name that clients give to select the route.
    :param type: consistency rule for reads under this name.
    :param public: whether clients need no API key.
    """

    host: str
    type: str
    service: str
    timeout_ms: _Amount
    target_latency_ms: _Amount
    priority: _Priority = 0
    max_staleness_ms: _Amount = 0
    public: bool = False


class _ServiceBody(msgspec.Struct):
    name: str
    max_conns: _Count = DEFAULT_N_CONNECTIONS
    sync_replicas: _Count = 0


class _LimitsBody(msgspec.Struct):
    tx_idle_ms: _Amount = 3000


class _AccountBody(msgspec.Struct):
    """Client account of the configuration.

    :param rate_per_s: operations per second; None if unlimited.
    :param burst: operations that may start at once.
    """

    name: _AccountName
    api_keys: list[_Key]
    rate_per_s: _Amount | None = None
    burst: _Amount | None = None

    def __repr__(self) -> str:
        """Return the name only: the keys must not reach logs or error texts."""
        return f"_AccountBody({self.name!r})"


class _ConfigBody(msgspec.Struct):
    version: _Count
    routes: list[_RouteBody]
    services: list[_ServiceBody]
    limits: _LimitsBody = msgspec.field(default_factory=_LimitsBody)
    tenants: list[_AccountBody] | None = None


class PlatformEntryDecoder(EntryDecoder):
    """Decodes entries of the platform's store."""

    upstream_prefix = "servers/"
    table_key = "op/config"

    def decode_upstream(self, upstream_id: UpstreamId, value: bytes) -> Upstream | None:
        """Return the upstream of an entry, or None if the entry is invalid."""
        try:
            entry = decode_json(value, _ServerEntry)
        except Unreadable:
            return None
        if entry.state not in _IS_LEAVING_BY_STATE:
            return None
        has_valid_id = re.search(_NAME_PATTERN, upstream_id) is not None
        if not has_valid_id or not is_ip_address(entry.address):
            return None
        return Upstream(
            upstream_id=upstream_id,
            service=ServiceId(entry.service),
            address=entry.address,
            place=PlaceId(entry.zone),
            n_slots=max(entry.slots, 1),
            born_ms=entry.born,
            is_leaving=_IS_LEAVING_BY_STATE[entry.state],
            claimed_role=_ROLES.get(entry.db_role or ""),
        )

    def decode_table(self, value: bytes) -> RouteTable:
        """Return the configuration of an entry.

        :raises BadInput: if the entry does not have the documented format.
        """
        try:
            body = decode_json(value, _ConfigBody)
            routes = [_make_route(route) for route in body.routes]
            accounts = _make_accounts(body.tenants)
        except (Unreadable, KeyError) as error:
            raise BadInput(f"op/config: {error}; use the documented format") from error
        return RouteTable(
            version=Generation(body.version),
            routes={route.database: route for route in routes},
            services={
                ServiceId(s.name): ServiceRules(s.max_conns, s.sync_replicas)
                for s in body.services
            },
            transaction_idle_s=body.limits.tx_idle_ms / 1000,
            accounts=accounts,
        )


def _make_accounts(bodies: list[_AccountBody] | None) -> AccountTable | None:
    """Return the accounts of a configuration; None if it has no such list.

    :raises BadInput: if a name or a key is not unique; the message contains no key.
    """
    if bodies is None:
        return None
    accounts: dict[AccountId, AccountRules] = {}
    keys: dict[KeyDigest, AccountId] = {}
    for body in bodies:
        account = AccountId(body.name)
        if account in accounts:
            text = f"two accounts are named '{account}'; use each name once"
            raise BadInput(f"op/config: tenants: {text}")
        accounts[account] = AccountRules(account, body.rate_per_s, body.burst or 0.0)
        for key in body.api_keys:
            holder = keys.setdefault(digest_key(key), account)
            if holder != account:
                text = f"'{holder}' and '{account}' have an API key in common"
                raise BadInput(f"op/config: tenants: {text}; use each key once")
    return AccountTable(accounts, keys)


def _make_route(body: _RouteBody) -> Route:
    return Route(
        database=body.host,
        service=ServiceId(body.service),
        consistency=_CONSISTENCIES[body.type],
        max_staleness_s=body.max_staleness_ms / 1000,
        statement_timeout_s=body.timeout_ms / 1000,
        target_s=body.target_latency_ms / 1000,
        priority=body.priority,
        is_public=body.public,
    )
