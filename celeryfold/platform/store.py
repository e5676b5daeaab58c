"""HTTP client of the platform's coordination store."""

from __future__ import annotations

__all__ = ["HttpCoordinationStore"]

import base64
import logging
from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec
import trio

from ..exceptions import Unreadable
from ..kernel.decoding import decode_json
from ..kernel.ids import LeaseId
from ..kernel.metrics import Metrics
from ..proxy.store import (
    Change,
    Changes,
    CoordinationStore,
    Expectation,
    HistoryLost,
    Item,
    ItemList,
    ItemWrite,
    Lease,
    LeaseLost,
    StoreConflict,
    StoreRefused,
    StoreUnavailable,
)
from ..wire.client import HttpClient, ResponseLost, Unreachable
from ..wire.messages import HttpResponse

log = logging.getLogger(__name__)

# The store responds within milliseconds normally and within 0.3 s when slow.
CALL_TIMEOUT_S = 1.0
JSON_HEADERS = (("Content-Type", "application/json"),)
OK = 200
NOT_FOUND = 404
CONFLICT = 412
GONE = 410
REFUSED = (429, 503)
# Rises by one each time the store is restored from an older copy of its data.
ERA_HEADER = "store-era"
N_ERA_DIGITS = 6

B = TypeVar("B")


class _ItemBody(msgspec.Struct):
    """Item of the store; ``created`` is the revision of its creation, not a time."""

    key: str
    revision: int
    value: str = ""
    created: int = 0
    deleted: bool = False


class _RangeBody(msgspec.Struct):
    items: list[_ItemBody]
    has_more: bool
    as_of: int


class _EventsBody(msgspec.Struct):
    events: list[_ItemBody]
    as_of: int


class _RevisionBody(msgspec.Struct):
    revision: int


class _LeaseBody(msgspec.Struct):
    lease: int
    ttl_ms: int


class HttpCoordinationStore(CoordinationStore):
    """Accesses the store over HTTP and counts each call by kind."""

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._client = HttpClient(address)
        self._metrics = metrics
        self.era = 0

    async def get(self, key: str) -> Item | None:
        """Return an item, or None if the key is absent."""
        path = f"/kv-key?key={quote(key, safe='')}"
        response = await self._call("get", "GET", path)
        if response.status == NOT_FOUND:
            return None
        return self._make_item(_decode(response, _ItemBody))

    async def list_items(self, prefix: str) -> ItemList:
        """Return all items below a prefix, fetched page by page.

        The pages are not a consistent snapshot. The result carries the revision of the
        first page, so that a watch from it sees every later change.
        """
        items: list[Item] = []
        as_of: int | None = None
        era = self.era
        path = f"/kv-range?prefix={quote(prefix, safe='')}"
        page_path = path
        while True:
            response = await self._call("range", "GET", page_path)
            body = _decode(response, _RangeBody)
            items += [self._make_item(item) for item in body.items]
            if as_of is None:
                as_of, era = body.as_of, self.era
            elif self.era != era:
                raise StoreUnavailable("the store was restored between two pages")
            if not body.has_more or not body.items:
                return ItemList(tuple(items), as_of)
            page_path = f"{path}&after={quote(body.items[-1].key, safe='')}"

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes below a prefix after a revision.

        :param wait_s: seconds to wait for a change.
        :raises HistoryLost: if the store does not have all changes after the revision.
        """
        wait_ms = int(wait_s * 1000)
        path = f"/kv-watch?prefix={quote(prefix, safe='')}"
        path += f"&after={after}&wait_ms={wait_ms}"
        timeout_s = CALL_TIMEOUT_S + wait_s
        response = await self._call("watch", "GET", path, timeout_s=timeout_s)
        if response.status == GONE:
            raise HistoryLost(f"the store no longer has the changes after {after}")
        body = _decode(response, _EventsBody)
        changes = tuple(self._make_change(event) for event in body.events)
        return Changes(changes, body.as_of)

    async def commit(
        self,
        expected: Sequence[Expectation],
        writes: Sequence[ItemWrite] = (),
        deletes: Sequence[str] = (),
    ) -> int:
        """Apply writes and deletes atomically and return the new revision.

        :raises StoreConflict: if a key is not at its expected revision.
        :raises LeaseLost: if the lease of a write has ended.
        """
        body = msgspec.json.encode(
            {
                "expected_rev": expected,
                "writes": [_encode_write(write) for write in writes],
                "deletes": deletes,
            }
        )
        response = await self._call("txn", "POST", "/kv-txn", body)
        if response.status == CONFLICT:
            keys = ", ".join(expectation.key for expectation in expected)
            raise StoreConflict(f"{keys}: not at the expected revision")
        if response.status == NOT_FOUND:
            raise LeaseLost("the lease of a write has ended")
        return _decode(response, _RevisionBody).revision

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease.

        :param ttl_s: time to live in seconds.
        """
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        response = await self._call("lease", "POST", "/kv-lease", body)
        granted = _decode(response, _LeaseBody)
        return Lease(LeaseId(granted.lease), granted.ttl_ms / 1000)

    async def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease.

        :raises LeaseLost: if the lease has ended.
        """
        response = await self._call("keep", "POST", f"/kv-keep/{lease}")
        if response.status == NOT_FOUND:
            raise LeaseLost(f"lease {lease} has ended")

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        await self._call("lease_end", "DELETE", f"/kv-lease-end/{lease}")

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpResponse:
        self._metrics.count(f"store.{kind}")
        headers = JSON_HEADERS if body else ()
        try:
            with trio.fail_after(timeout_s):
                response = await self._client.request(method, path, body, headers)
        except Unreachable as error:
            raise StoreRefused(str(error)) from error
        except (ResponseLost, trio.TooSlowError) as error:
            self._metrics.count("store.unanswered")
            raise StoreUnavailable(
                f"no response to store call {kind}: {error}"
            ) from error
        self._record_era(response)
        if response.status in REFUSED:
            self._metrics.count("store.refused")
            raise StoreRefused(f"store call {kind} refused with {response.status}")
        if response.status not in (OK, NOT_FOUND, CONFLICT, GONE):
            raise StoreUnavailable(f"store call {kind} returned {response.status}")
        return response

    def _make_item(self, body: _ItemBody) -> Item:
        """Return an item; a value that cannot be read is taken for an empty one.

        The other items of the same answer stay usable then.
        """
        try:
            value = base64.b64decode(body.value, validate=True)
        except ValueError as error:
            self._metrics.count("store.unreadable_value")
            extra = {"key": body.key, "revision": body.revision, "reason": str(error)}
            log.warning("unreadable value", extra=extra)
            value = b""
        return Item(body.key, value, body.revision, body.created)

    def _make_change(self, body: _ItemBody) -> Change:
        item = None if body.deleted else self._make_item(body)
        return Change(body.key, body.revision, item)

    def _record_era(self, response: HttpResponse) -> None:
        text = dict(response.headers).get(ERA_HEADER, "")
        if text.isdecimal() and len(text) <= N_ERA_DIGITS:
            self.era = int(text)


def _decode(response: HttpResponse, body_type: type[B]) -> B:
    try:
        return decode_json(response.body, body_type)
    except Unreadable as error:
        raise StoreUnavailable(f"malformed store response: {error}") from error


def _encode_write(write: ItemWrite) -> dict[str, str | int]:
    value = base64.b64encode(write.value).decode("ascii")
    return {"key": write.key, "value": value, "lease": write.lease or 0}
