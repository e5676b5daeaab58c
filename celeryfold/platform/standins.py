"""Stand-ins for the platform on real sockets: databases, store and promotion."""

from __future__ import annotations

__all__ = ["ODD_ENTRIES", "PlatformStandin"]

import base64
from collections.abc import Collection, Sequence
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio

from ..accounts import NO_ACCOUNT
from ..exceptions import BadInput
from ..kernel.ids import (
    AccountId,
    InstanceId,
    LeaseId,
    RequestId,
    ServiceId,
    UpstreamId,
)
from ..proxy.positions import LogPosition
from ..proxy.promotions import PromotionRefused, PromotionUnanswered
from ..proxy.statements import (
    Demote,
    Pause,
    ReadStatus,
    Request,
    Reset,
    Resume,
    Statement,
)
from ..proxy.store import (
    Expectation,
    HistoryLost,
    Item,
    ItemWrite,
    LeaseLost,
    StoreConflict,
    StoreRefused,
    StoreUnavailable,
)
from ..proxy.upstream import (
    ConnectFailed,
    ConnectFailure,
    ConnectionLost,
    Reply,
    UpstreamConnection,
    UpstreamError,
)
from ..standins.coordination import MemoryStore
from ..standins.database import Database
from ..standins.replicas import ReplicaSet
from ..wire.messages import HttpRequest, HttpResponse
from ..wire.server import ConnectionHandler, HttpServer
from .lines import LineStream
from .protocol import decode_position, decode_query, encode_error, encode_state

_CONTROL_STATEMENTS: dict[str, Statement] = {
    "RESET": Reset(),
    "STATUS": ReadStatus(),
    "RESUME": Resume(),
}
HEARTBEAT_INTERVAL_S = 0.5
ENTRY_EXPIRY_S = 1.5
# Longer than the timeout of any call, so that the caller sees no response.
LOST_RESPONSE_DELAY_S = 30.0
# Longer than any statement takes; a connection without a reply until then is closed.
REPLY_TIMEOUT_S = 4.0


# Entries of another writer that name no database.
ODD_ENTRIES = (
    b'{"x":' + b"[" * 20_000 + b"]" * 20_000 + b"}",
    b'{"service": "orders", "slots": ' + b"9" * 5_000 + b"}",
    b'{"service": "orders", "address": "127.0.0.1:99999", "state": "ready"}',
    b"\xff\x00",
)


class PlatformStandin:
    """Serves one replicated database, the store and promotions on loopback.

    Connections under a name that is not in ``accounts`` are recorded without account.
    """

    def __init__(self, service: str, n_databases: int = 3) -> None:
        self.accounts: set[AccountId] = set()
        self.store = MemoryStore(answer_s=0.0)
        self.replicas = ReplicaSet(ServiceId(service), n_databases)
        self.http = HttpServer("127.0.0.1", 0, lambda: _PlatformHandler(self))

    async def start(self, nursery: trio.Nursery) -> None:
        """Open all ports and register the databases."""
        self.replicas.start(nursery)
        await self.http.start(nursery)
        for upstream_id in list(self.replicas.databases):
            await self._start_database(nursery, upstream_id)
        nursery.start_soon(self._register)

    async def _start_database(
        self, nursery: trio.Nursery, upstream_id: UpstreamId
    ) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        database = self.replicas.databases[upstream_id]
        self._serve_at(nursery, database, listeners)

    async def add_database(
        self,
        nursery: trio.Nursery,
        upstream_id: UpstreamId,
        copy_of: UpstreamId | None = None,
    ) -> Database:
        """Add a replica with a port of its own; see :meth:`ReplicaSet.add_database`."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        database = self.replicas.add_database(upstream_id, copy_of)
        self._serve_at(nursery, database, listeners)
        return database

    def _serve_at(
        self,
        nursery: trio.Nursery,
        database: Database,
        listeners: Sequence[trio.SocketListener],
    ) -> None:
        port = listeners[0].socket.getsockname()[1]
        database.upstream = msgspec.structs.replace(
            database.upstream, address=f"127.0.0.1:{port}", place="here"
        )

        async def serve(stream: trio.SocketStream) -> None:
            await _serve_database(self.replicas, database, self.accounts, stream)

        nursery.start_soon(trio.serve_listeners, serve, list(listeners))

    async def _register(self) -> None:
        n_heartbeats = 0
        last_seen_at: dict[UpstreamId, float] = {}
        while True:
            n_heartbeats += 1
            now = trio.current_time()
            for upstream_id, database in self.replicas.databases.items():
                if not self.replicas.is_registering(upstream_id) or self.store.is_down:
                    continue
                last_seen_at[upstream_id] = now
                upstream = database.upstream
                entry = {
                    "service": upstream.service,
                    "address": upstream.address,
                    "zone": upstream.place,
                    "version": "v1",
                    "slots": upstream.n_slots,
                    "state": "draining" if upstream.is_leaving else "ready",
                    "cold_ms": 0,
                    "db_role": database.role.value,
                    "seq_no": n_heartbeats,
                    "born": upstream.born_ms,
                }
                self._write_entry(f"servers/{upstream_id}", entry)
            for upstream_id, seen_at in last_seen_at.items():
                if now - seen_at > ENTRY_EXPIRY_S:
                    self.store.delete(f"servers/{upstream_id}")
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def _write_entry(self, key: str, entry: dict[str, object]) -> None:
        """Write an entry if more than its sequence number has changed."""
        known = self.store.items.get(key)
        if known is not None:
            written = msgspec.json.decode(known.value)
            if {**written, "seq_no": 0} == {**entry, "seq_no": 0}:
                return
        self.store.write(key, msgspec.json.encode(entry))

    def write_odd_entry(self, name: UpstreamId, value: bytes) -> None:
        """Write an entry of another writer among those of the databases."""
        self.store.write(f"servers/{name}", value)

    def delete_entry(self, name: UpstreamId) -> None:
        """Delete an entry among those of the databases."""
        self.store.delete(f"servers/{name}")

    def publish(
        self,
        version: int,
        databases: dict[str, str],
        accounts: dict[str, list[str]] | None = None,
        limits: dict[str, tuple[float, float]] | None = None,
    ) -> None:
        """Write a configuration to the store.

        :param databases: consistency rule of each database name.
        :param accounts: API keys of each account name.
        :param limits: rate per second and burst of each limited account name.
        """
        routes = [
            {
                "name": f"r-{host}",
                "host": host,
                "prefix": "/",
                "type": kind,
                "timeout_ms": 800,
                "target_latency_ms": 1500,
                "priority": 1,
                "service": self.replicas.service,
                "attempts": 2,
                "max_staleness_ms": 1500,
            }
            for host, kind in databases.items()
        ]
        services = [
            {"name": self.replicas.service, "max_conns": 16, "sync_replicas": 1}
        ]
        body: dict[str, object] = {
            "version": version,
            "routes": routes,
            "services": services,
        }
        if accounts is not None:
            body["tenants"] = [
                {"name": name, "api_keys": keys, **_encode_limit(name, limits or {})}
                for name, keys in accounts.items()
            ]
        self.store.write("op/config", msgspec.json.encode(body))


def _encode_limit(
    name: str, limits: dict[str, tuple[float, float]]
) -> dict[str, float]:
    if name not in limits:
        return {}
    rate_per_s, burst = limits[name]
    return {"rate_per_s": rate_per_s, "burst": burst}


async def _serve_database(
    replicas: ReplicaSet,
    database: Database,
    accounts: Collection[AccountId],
    stream: trio.SocketStream,
) -> None:
    lines = LineStream(stream)
    connection: UpstreamConnection | None = None
    try:
        connection = await _start_session(replicas, database, accounts, lines)
        if connection is not None:
            await _serve_session(connection, lines)
    except (OSError, trio.BrokenResourceError):
        # The proxy may close a connection at any time.
        return
    finally:
        with trio.CancelScope(shield=True):
            if connection is not None:
                await connection.close()
            await lines.close()


async def _start_session(
    replicas: ReplicaSet,
    database: Database,
    accounts: Collection[AccountId],
    lines: LineStream,
) -> UpstreamConnection | None:
    start = (await lines.receive() or b"").decode().split(" ")
    upstream = database.upstream
    is_named = start[3:] == [upstream.upstream_id]
    if start[:2] != ["START", upstream.service] or not is_named:
        if database.is_alive:
            await lines.send([f"ERROR WRONGNODE {upstream.upstream_id}"])
        return None
    try:
        name = AccountId(start[2])
        account = name if name in accounts else NO_ACCOUNT
        connection = await replicas.open_connection(upstream, start[2], account)
    except ConnectFailed as failure:
        if failure.failure is ConnectFailure.TOO_MANY:
            await lines.send([f"ERROR TOOMANYCON {failure}"])
        return None
    await lines.send(["READY I 1.0"])
    return connection


async def _serve_session(connection: UpstreamConnection, lines: LineStream) -> None:
    while True:
        line = await lines.receive()
        if line is None:
            return
        keyword, request_id, text = line.decode().split(" ", 2)
        if keyword != "QUERY":
            raise BadInput(f"unsupported message {keyword}; send QUERY")
        try:
            await connection.send([_decode_request(request_id, text)])
            with trio.move_on_after(REPLY_TIMEOUT_S) as scope:
                reply = await connection.receive()
        except ConnectionLost:
            # A crashed database closes its connections without a reply.
            return
        if scope.cancelled_caught:
            return
        await lines.send(_encode_reply(reply))


def _decode_request(request_id: str, text: str) -> Request:
    since: LogPosition | None = None
    if text.startswith("SINCE "):
        _, position, text = text.split(" ", 2)
        since = decode_position(position)
    optional_id = RequestId("" if request_id == "-" else request_id)
    verb, _, rest = text.partition(" ")
    if verb == "PAUSE":
        return Request(Pause(int(rest)), optional_id, since)  # type: ignore[arg-type]
    if verb == "DEMOTE":
        return Request(Demote(int(rest)), optional_id, since)  # type: ignore[arg-type]
    if verb in _CONTROL_STATEMENTS:
        return Request(_CONTROL_STATEMENTS[verb], optional_id, since)
    return Request(decode_query(text), optional_id, since)


def _encode_reply(reply: Reply) -> list[str]:
    lines = [f"ROW {row}" for row in reply.rows]
    if reply.status is not None:
        s = reply.status
        lines = [f"ROW {s.role.value} {s.term} {s.received} {s.held_term} 0 0 1"]
    if reply.error is not None:
        lines = [encode_error(UpstreamError(reply.error.kind, reply.error.text))]
    else:
        lines.append(f"COMPLETE {reply.signature or '-'}")
    lines.append(f"READY {encode_state(reply.state)} {reply.position or '-'}")
    return lines


class _PlatformHandler(ConnectionHandler):
    """Serves the calls of the store and the promotion call."""

    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin
        self._store = standin.store

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one call."""
        response = await self._answer(request)
        if self._store.era:
            response.headers.append(("Store-Era", str(self._store.era)))
        return response

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        query = {key: values[0] for key, values in parse_qs(request.query).items()}
        body = msgspec.json.decode(request.body) if request.body else {}
        try:
            return await self._dispatch(request, query, body)
        except StoreConflict:
            return HttpResponse(412)
        except LeaseLost:
            return HttpResponse(404)
        except HistoryLost:
            return HttpResponse(410)
        except PromotionRefused:
            return HttpResponse(409)
        except StoreRefused:
            return HttpResponse(503)
        except (StoreUnavailable, PromotionUnanswered):
            # Simulates a lost response: the caller times out before it is sent.
            await trio.sleep(LOST_RESPONSE_DELAY_S)
            return HttpResponse(500)

    async def _dispatch(
        self, request: HttpRequest, query: dict[str, str], body: Any
    ) -> HttpResponse:
        call, _, rest = request.path.strip("/").partition("/")
        match call:
            case "kv-key":
                item = await self._store.get(query["key"])
                if item is None:
                    return HttpResponse(404)
                return HttpResponse.from_object(_encode_item(item))
            case "kv-range":
                listed = await self._store.list_items(query["prefix"])
                items = [_encode_item(item) for item in listed.items]
                answer = {"items": items, "has_more": False, "as_of": listed.as_of}
                return HttpResponse.from_object(answer)
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return await self._commit(body)
            case "kv-lease":
                lease = await self._store.grant_lease(body["ttl_ms"] / 1000)
                granted = {"lease": lease.lease_id, "ttl_ms": body["ttl_ms"]}
                return HttpResponse.from_object(granted)
            case "kv-keep":
                await self._store.renew_lease(LeaseId(int(rest)))
                return HttpResponse.from_object({"ttl_ms": 0})
            case "kv-lease-end":
                await self._store.end_lease(LeaseId(int(rest)))
                return HttpResponse.from_object({})
            case "promote":
                await self._promote(request, body)
                return HttpResponse.from_object({})
        return HttpResponse(404)

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        prefix, after = query.get("prefix", ""), int(query["after"])
        wait_s = int(query["wait_ms"]) / 1000
        changes = await self._store.watch(prefix, after, wait_s)
        events = [
            _encode_item(change.item)
            if change.item is not None
            else {"key": change.key, "revision": change.revision, "deleted": True}
            for change in changes.changes
        ]
        return HttpResponse.from_object({"events": events, "as_of": changes.as_of})

    async def _commit(self, body: Any) -> HttpResponse:
        expected = [Expectation(e["key"], e["revision"]) for e in body["expected_rev"]]
        writes = [
            ItemWrite(w["key"], base64.b64decode(w["value"]), w["lease"] or None)
            for w in body["writes"]
        ]
        revision = await self._store.commit(expected, writes, body["deletes"])
        return HttpResponse.from_object({"revision": revision})

    async def _promote(self, request: HttpRequest, body: Any) -> None:
        headers = dict(request.headers)
        holder = InstanceId(headers[b"celeryfold-lease-holder"].decode())
        token = int(headers[b"celeryfold-fencing-token"])
        await self._standin.replicas.promote(body["service"], body["id"], holder, token)


def _encode_item(item: Item) -> dict[str, str | int]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode("ascii"),
        "revision": item.revision,
        "created": item.created,
        "lease": 0,
    }
