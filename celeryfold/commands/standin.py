"""The command ``standin``: run a stand-in of an external service as a process."""

from __future__ import annotations

__all__ = ["run"]

from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

from ..bench.deployments import make_slot_settings
from ..config.settings import (
    ListStandinSettings,
    SlotStandinSettings,
    StoreStandinSettings,
    load_settings,
)
from ..daemon import run_until_signal
from ..drivers.listing import ListedInstance, Listing
from ..kernel.logs import configure_logging
from ..standins.listing import ListEngine
from ..standins.servers import HttpLogSource, serve_list, serve_slot, serve_store
from ..standins.slot import SlotEngine
from ..standins.store import StoreEngine

Start = Callable[[trio.Nursery], Awaitable[None]]


def run(kind: str, file: Path) -> None:
    """Run a stand-in until SIGTERM or SIGINT.

    :param kind: ``slot``, ``store`` or ``list``.
    :raises BadInput: if the settings are invalid.
    """
    make_start = {"slot": _make_slot, "store": _make_store, "list": _make_list}[kind]
    start = make_start(file)
    trio.run(run_until_signal, start, _close)


async def _close() -> None:
    return


def _make_slot(file: Path) -> Start:
    settings = load_settings(file, SlotStandinSettings)
    configure_logging(settings.log_level, settings.slot)

    async def start(nursery: trio.Nursery) -> None:
        engine = SlotEngine(make_slot_settings(settings), HttpLogSource)
        listen = settings.listen
        await serve_slot(engine, listen.host, listen.port, nursery)

    return start


def _make_store(file: Path) -> Start:
    settings = load_settings(file, StoreStandinSettings)
    configure_logging(settings.log_level, "store")

    async def start(nursery: trio.Nursery) -> None:
        listen = settings.listen
        await serve_store(StoreEngine(), listen.host, listen.port, nursery)

    return start


def _make_list(file: Path) -> Start:
    settings = load_settings(file, ListStandinSettings)
    configure_logging(settings.log_level, "list")

    async def start(nursery: trio.Nursery) -> None:
        listen = settings.listen
        listed = [
            ListedInstance(item.instance, item.peer.address, item.place)
            for item in settings.instances
        ]
        engine = ListEngine(Listing(tuple(listed)), settings.lag_ms / 1000.0)
        await serve_list(engine, listen.host, listen.port, nursery)

    return start
