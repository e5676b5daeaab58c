"""A guardian orders nothing once its duty may have passed to another."""

from __future__ import annotations

import msgspec
import trio

from celeryfold.proxy.directory import Listing
from celeryfold.proxy.upstream import UpstreamRole
from celeryfold.standins.proxies import ProxyWorld

from .test_failover import FIRST, check_nothing_lost, wait_written
from .test_sessions import play


def list_on_duty(world: ProxyWorld) -> list[int]:
    return [
        number
        for number, instance in enumerate(world.instances)
        if instance._guardians[world.service].is_on_duty
    ]


def test_a_guardian_whose_key_was_taken_away_stops():
    """The store removed the key while the lease goes on being renewed."""

    async def story(world: ProxyWorld) -> None:
        for _ in range(3):
            world.store.delete(f"celeryfold/duties/{world.service}")
            await trio.sleep(6.0)
            assert len(list_on_duty(world)) == 1
            assert list_on_duty(world) == [world.find_guardian()]

    play(story)


def test_a_guardian_orders_nothing_under_a_key_that_is_gone():
    """The key is taken away at the very moment at which the primary is lost."""

    async def story(world: ProxyWorld) -> None:
        guardian = world.find_guardian()
        assert guardian is not None
        holder = world.instances[guardian]
        holder.watcher._is_needed = lambda: False
        await trio.sleep(1.0)
        world.store.delete(f"celeryfold/duties/{world.service}")
        world.replicas.crash(FIRST, is_silent=True)
        await wait_written(world, (guardian + 1) % 3, 15.0)
        holders = [holder for _, holder, _, _ in world.replicas.promotions]
        assert f"instance-{guardian}" not in holders[:1]

    world = play(story)
    check_nothing_lost(world)
    tokens = [token for _, _, token, _ in world.replicas.promotions]
    assert tokens == sorted(tokens)


def test_a_primary_that_leaves_is_not_stopped_under_a_key_that_is_gone():
    async def story(world: ProxyWorld) -> None:
        guardian = world.find_guardian()
        assert guardian is not None
        for instance in world.instances:
            if instance is not world.instances[guardian]:
                instance._guarding.cancel()
        world.instances[guardian].watcher._is_needed = lambda: False
        await trio.sleep(1.0)
        world.store.delete(f"celeryfold/duties/{world.service}")
        first = world.replicas.databases[FIRST]
        leaving = msgspec.structs.replace(first.upstream, is_leaving=True)
        first.upstream = leaving
        holder = world.instances[guardian]
        upstreams = world.replicas.list_upstreams()
        revision = holder.directory.listing.revision + 1
        holder.directory.adopt(Listing(revision, upstreams), "test")
        await trio.sleep(2.0)
        assert first.role is UpstreamRole.PRIMARY

    assert not play(story).replicas.promotions
