"""Data that another program left in the stores and files of the own interface.

What cannot be decoded is an error that its reader handles, whatever is wrong with it.
"""

from __future__ import annotations

import logging

import msgspec
import pytest
import trio

from celeryfold.config.adoption import Configuration
from celeryfold.config.parts import Manifest, compute_digest, join_set
from celeryfold.config.publishing import read_pointer
from celeryfold.drivers.http_store import HttpInstanceList, HttpStore
from celeryfold.drivers.listing import ListUnavailable
from celeryfold.drivers.store import StoreEntry
from celeryfold.exceptions import (
    BadInput,
    CeleryfoldError,
    StoreUnavailable,
    Unreadable,
)
from celeryfold.fleet.replicated_state import GROUP_KEY_PREFIX, ReplicatedState
from celeryfold.groups.record_cache import RecordCache
from celeryfold.kernel.events import Timeline
from celeryfold.kernel.ids import Generation, PlaceId, ServiceId, UpstreamId
from celeryfold.links.link import PeerUnreachable
from celeryfold.links.zmq_link import ZmqLink
from celeryfold.platform.connections import LineConnector
from celeryfold.platform.journals import load_journal
from celeryfold.platform.settings import load_platform_settings
from celeryfold.proxy.codec import PEER_CODEC
from celeryfold.proxy.upstream import ConnectFailed, Upstream

DEEP = b"[" * 100_000 + b"]" * 100_000
ODD = [
    b"",
    b"\xff",
    b"null",
    b"[]",
    b'"text"',
    DEEP,
    b'{"unknown": ' + DEEP + b"}",
    b'{"generation": ' + b"9" * 5_000 + b"}",
    b'{"generation": 1e999}',
]


class Probe(msgspec.Struct):
    """A message that is never sent."""


class _Link:
    def register_handler(self, *arguments: object) -> None:
        pass


@pytest.mark.parametrize("value", ODD)
def test_an_odd_pointer_or_part_is_an_error(value):
    with pytest.raises(Unreadable):
        read_pointer(StoreEntry("current", 1, value))
    digest = compute_digest(value)
    with pytest.raises((Unreadable, BadInput, KeyError)):
        join_set(Manifest((digest,)), {digest: value})


@pytest.mark.parametrize("value", ODD)
def test_an_odd_manifest_is_not_put_in_force(value):
    configuration = Configuration()
    assert not configuration.adopt(Generation(1), value, {})
    assert configuration.generation == 0


# Guards against a watch of the store that ends at one entry of another writer.
@pytest.mark.parametrize("value", ODD)
@pytest.mark.parametrize("key", [f"{GROUP_KEY_PREFIX}g", "config/current"])
def test_an_odd_store_entry_is_logged_and_changes_nothing(key, value, caplog):
    cache = RecordCache()
    state = ReplicatedState(
        "a",
        Configuration(),
        cache,
        None,
        _Link(),
        Timeline("a"),
    )
    with caplog.at_level(logging.ERROR):
        trio.run(state.apply_store_entry, StoreEntry(key, 1, value))
    assert not list(cache.all())
    assert [r for r in caplog.records if "unreadable store entry" in r.getMessage()]


@pytest.mark.parametrize("value", ODD)
def test_an_odd_answer_of_the_store_or_the_list_is_no_answer(value):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(value)}\r\n\r\n".encode()

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(65_536)
        await stream.send_all(head + value)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            if value != b"null":
                # The store answers with null for a key that is absent.
                await expect(StoreUnavailable, HttpStore(address).get("key"))
            if b"generation" not in value:
                # Unknown fields of a list are ignored.
                await expect(ListUnavailable, HttpInstanceList(address).fetch())
            nursery.cancel_scope.cancel()

    trio.run(run)


async def expect(kind: type[CeleryfoldError], call) -> None:
    try:
        await call
    except kind:
        return
    raise AssertionError(f"no {kind.__name__} was raised")


@pytest.mark.parametrize("value", ODD)
def test_an_odd_file_is_bad_input(tmp_path, value):
    path = tmp_path / "file.json"
    path.write_bytes(value)
    for load in (load_journal, load_platform_settings):
        with pytest.raises(BadInput, match=str(path)):
            load(path)


# Guards against an address in the news of a peer that stops the exchange with others.
@pytest.mark.parametrize("address", ["", "x", "1.2.3.4:99999", "1.2.3.4:\udcff", "[::"])
def test_an_odd_address_of_a_peer_is_unreachable(address):
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            link = ZmqLink("127.0.0.1", 0, PEER_CODEC)
            await link.start(nursery)
            await expect(PeerUnreachable, link.request(address, Probe(), 0.1))
            nursery.cancel_scope.cancel()

    trio.run(run)


@pytest.mark.parametrize("address", ["", "x", "1.2.3.4:99999", "1.2.3.4:x", "\x00:1"])
def test_an_odd_address_of_an_upstream_is_a_failed_connection(address):
    async def run() -> None:
        upstream = Upstream(
            UpstreamId("a"), ServiceId("s"), address, PlaceId("here"), 1, 1
        )
        await expect(ConnectFailed, LineConnector("one").connect(upstream))

    trio.run(run)
