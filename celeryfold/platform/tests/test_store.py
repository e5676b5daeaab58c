"""The client of the store, over HTTP."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import pytest
import trio

from celeryfold.kernel.metrics import Metrics
from celeryfold.platform.standins import PlatformStandin
from celeryfold.platform.store import HttpCoordinationStore
from celeryfold.proxy.ordered_store import OrderedStore

Scenario = Callable[[PlatformStandin, OrderedStore], Awaitable[None]]


def run_scenario(scenario: Scenario) -> Metrics:
    metrics = Metrics()

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            standin = PlatformStandin("rewet-logs")
            await standin.http.start(nursery)
            address = f"127.0.0.1:{standin.http.port}"
            driver = HttpCoordinationStore(address, metrics)
            client = OrderedStore(driver, trio.current_time, metrics)
            await scenario(standin, client)
            await client.close()
            nursery.cancel_scope.cancel()

    trio.run(run)
    return metrics


def test_a_restore_of_the_store_from_an_older_copy_is_logged(
    caplog: pytest.LogCaptureFixture,
):
    """Without this line a loss of changes looks like an outage in the logs."""

    async def scenario(standin: PlatformStandin, client: OrderedStore) -> None:
        copy = standin.store.copy()
        assert await client.get("key") is None
        standin.store.restore(copy)
        assert await client.get("key") is None
        assert client.era == 2

    with caplog.at_level(logging.WARNING):
        metrics = run_scenario(scenario)
    lines = [r for r in caplog.records if "restored" in r.getMessage()]
    assert [vars(line)["era"] for line in lines] == [2]
    assert metrics.counters["store.restored"] == 1
