"""HTTP drivers for the key-value store and the list of instances."""

from __future__ import annotations

__all__ = ["HttpInstanceList", "HttpStore"]

from typing import Any
from urllib.parse import quote

import msgspec
import trio

from ..exceptions import Unreadable
from ..kernel.decoding import decode_json
from ..kernel.metrics import Metrics
from ..wire.client import HttpClient, ResponseLost, Unreachable
from ..wire.messages import HttpResponse
from .listing import InstanceList, Listing, ListUnavailable
from .requests import SwapBody, SwapResult, WatchResult
from .store import (
    HistoryLost,
    Store,
    StoreConflict,
    StoreEntry,
    StoreUnavailable,
)

CALL_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_GONE = 410
# Rises by one each time the store is restored from an older copy of its data.
ERA_HEADER = "store-era"
N_ERA_DIGITS = 6


class HttpStore(Store):
    """Key-value store over HTTP; counts each call by kind."""

    def __init__(self, address: str, metrics: Metrics | None = None) -> None:
        used_metrics = self._metrics = metrics or Metrics()
        self._client = HttpClient(
            address, None, lambda n_bytes: used_metrics.count("store.bytes", n_bytes)
        )

    async def get(self, key: str) -> StoreEntry | None:
        """Return an entry, or None if the key is absent."""
        path = f"/entry?key={quote(key, safe='')}"
        body = await self._call("get", "GET", path, b"", CALL_TIMEOUT_S)
        return _decode(body, StoreEntry | None)

    async def compare_and_swap(self, key: str, expected: int, value: bytes) -> int:
        """Write a value if the key is at the expected revision."""
        body = msgspec.json.encode(SwapBody(key, expected, value))
        answer = await self._call("swap", "POST", "/swap", body, CALL_TIMEOUT_S)
        revision = _decode(answer, SwapResult).revision
        if revision is None:
            raise StoreConflict(f"{key} is not at revision {expected}")
        return revision

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> list[StoreEntry]:
        """Return the entries below a prefix that changed after a revision."""
        wait_ms = int(wait_s * 1000)
        path = f"/watch?prefix={quote(prefix, safe='')}"
        path += f"&after={after_revision}&wait_ms={wait_ms}"
        body = await self._call("watch", "GET", path, b"", CALL_TIMEOUT_S + wait_s)
        return _decode(body, WatchResult).entries

    async def _call(
        self, kind: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        self._metrics.count(f"store.{kind}")
        try:
            response = await _exchange(self._client, method, path, body, timeout_s)
            era = dict(response.headers).get(ERA_HEADER, "")
            if era.isdecimal() and len(era) <= N_ERA_DIGITS:
                self.era = int(era)
            if response.status == HTTP_GONE:
                raise HistoryLost("the store has not given out the revision")
            return _read_body(response)
        except _CallFailed as error:
            self._metrics.count("store.unavailable")
            raise StoreUnavailable(
                "no valid response from the key-value store"
            ) from error

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


class HttpInstanceList(InstanceList):
    """List of instances over HTTP."""

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def fetch(self) -> Listing:
        """Return the current list."""
        try:
            body = await _request(self._client, "GET", "/list", b"", CALL_TIMEOUT_S)
            return decode_json(body, Listing)
        except (_CallFailed, Unreadable) as error:
            raise ListUnavailable(
                "no valid response from the list of instances"
            ) from error

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return decode_json(body, kind)
    except Unreadable as error:
        raise StoreUnavailable(f"malformed store response: {error}") from error


class _CallFailed(Exception):
    pass


async def _request(
    client: HttpClient, method: str, path: str, body: bytes, timeout_s: float
) -> bytes:
    return _read_body(await _exchange(client, method, path, body, timeout_s))


async def _exchange(
    client: HttpClient, method: str, path: str, body: bytes, timeout_s: float
) -> HttpResponse:
    try:
        with trio.fail_after(timeout_s):
            return await client.request(method, path, body)
    except (Unreachable, ResponseLost, trio.TooSlowError) as error:
        raise _CallFailed from error


def _read_body(response: HttpResponse) -> bytes:
    if response.status != HTTP_OK:
        raise _CallFailed(f"status {response.status}")
    return response.body
