"""Idle load of an instance in a fleet of hundreds, before databases by the dozen.

The pattern is the cost of control that grows with the fleet: work that each instance
repeats for every member or every service although nothing has changed.
"""

from __future__ import annotations

from collections.abc import Iterable

import trio
import trio.testing

from celeryfold.kernel.ids import InstanceId, PlaceId, RegionId, ServiceId, UpstreamId
from celeryfold.proxy import placement
from celeryfold.proxy.messages import Peer
from celeryfold.proxy.placement import PlacementCache, choose_homes
from celeryfold.proxy.samples import SampleHistory
from celeryfold.proxy.upstream import Upstream
from celeryfold.standins.deployment import SimulatedDeployment

from .test_sessions import run_scenario

N_INSTANCES = 195
N_SERVICES = 10
N_CONNECTIONS = 58
PLACES = [PlaceId(p) for p in ("a1", "a2", "a3", "b1", "b2", "b3")]
REGIONS = {place: RegionId(place[0]) for place in PLACES}


def make_members(numbers: Iterable[int]) -> list[Peer]:
    return [
        Peer(InstanceId(f"i{n:03}"), f"10.0.0.{n}:1", PLACES[n % len(PLACES)])
        for n in numbers
    ]


def make_upstreams() -> list[Upstream]:
    return [
        Upstream(
            upstream_id=UpstreamId(f"u{service}-{number}"),
            service=ServiceId(f"s{service}"),
            address=f"10.1.{service}.{number}:5",
            place=PLACES[number],
            n_slots=4,
            born_ms=1,
        )
        for service in range(N_SERVICES)
        for number in range(3)
    ]


def find_all(cache: PlacementCache, upstreams: list[Upstream]) -> list[list[Peer]]:
    return [cache.find_homes(upstream, N_CONNECTIONS) for upstream in upstreams]


def test_homes_are_computed_only_after_a_change_of_members():
    cache = PlacementCache(REGIONS)
    upstreams = make_upstreams()
    for _ in range(100):
        cache.set_members(make_members(range(N_INSTANCES)))
        homes = find_all(cache, upstreams)
    assert cache.n_computed == len(upstreams)
    cache.set_members(make_members(range(N_INSTANCES - 1)))
    find_all(cache, upstreams)
    assert cache.n_computed == 2 * len(upstreams)
    members = make_members(range(N_INSTANCES))
    for upstream, chosen in zip(upstreams, homes, strict=True):
        assert chosen == choose_homes(upstream, members, REGIONS, N_CONNECTIONS)


def test_only_members_of_the_upstreams_data_centre_are_ranked(monkeypatch):
    ranked: list[str] = []
    compute_weight = placement.compute_weight

    def count(key: str, name: str) -> int:
        ranked.append(name)
        return compute_weight(key, name)

    monkeypatch.setattr(placement, "compute_weight", count)
    for upstream in make_upstreams():
        choose_homes(upstream, make_members(range(N_INSTANCES)), REGIONS, N_CONNECTIONS)
    n_near = N_INSTANCES // len(PLACES) + 1
    assert len(ranked) <= n_near * len(make_upstreams())


def test_homes_come_from_the_region_where_the_data_centre_has_too_few():
    upstream = make_upstreams()[0]
    members = make_members(range(N_INSTANCES))
    near = [peer for peer in members if peer.place == upstream.place][:1]
    far = [peer for peer in members if REGIONS[peer.place] == "b"]
    region = [peer for peer in members if peer.place == "a2"]
    homes = choose_homes(upstream, [*near, *far, *region], REGIONS, N_CONNECTIONS)
    assert homes[0] == near[0]
    assert len(homes) == 4
    assert {peer.place for peer in homes[1:]} == {"a2"}


def test_a_change_of_an_upstream_changes_its_homes_at_once():
    cache = PlacementCache(REGIONS)
    cache.set_members(make_members(range(N_INSTANCES)))
    upstream = make_upstreams()[0]
    before = cache.find_homes(upstream, N_CONNECTIONS)
    moved = Upstream(*[*_list_fields(upstream)[:3], PLACES[4], 4, 2])
    after = cache.find_homes(moved, N_CONNECTIONS)
    assert {peer.place for peer in before} == {upstream.place}
    assert {peer.place for peer in after} == {PLACES[4]}
    cache.forget({moved})
    assert cache.find_homes(moved, N_CONNECTIONS) == after
    assert cache.n_computed == 2


def _list_fields(upstream: Upstream) -> list[object]:
    return [getattr(upstream, name) for name in upstream.__struct_fields__]


def test_a_sampler_sleeps_until_the_next_sample_is_due():
    """It does not poll, since an instance runs one sampler for each service."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        instance = deployment.instances[0]
        n_checked = 0
        find_leader = instance.samples.find_leader

        def count(service: ServiceId) -> UpstreamId | None:
            nonlocal n_checked
            n_checked += 1
            return find_leader(service)

        instance.samples.find_leader = count  # type: ignore[method-assign]
        instance.sampler._is_designated = lambda service: False
        await trio.sleep(10.0)
        # Three calls for each sample of its own, at most one each 0.9 s, and each of
        # the samples that arrive meanwhile moves the next one back.
        assert n_checked <= 60

    run_scenario(scenario)


def test_a_denial_of_leadership_ends_the_sleep_of_the_sampler():
    async def run() -> None:
        samples = SampleHistory(trio.current_time)
        service, upstream = ServiceId("s"), UpstreamId("u")
        woken_at = []

        async def wait() -> None:
            await samples.wait_denied(service)
            woken_at.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.sleep(1.0)
            samples.record_not_leader(service, upstream)
            denied_at = trio.current_time()
        assert woken_at == [denied_at]

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_an_instance_that_does_not_watch_the_store_steps_its_guardians_seldom():
    async def scenario(deployment: SimulatedDeployment) -> None:
        idle = [i for i in deployment.instances if not i.watcher.is_connected]
        watching = [i for i in deployment.instances if i.watcher.is_connected]
        counts: dict[str, int] = {}
        for instance in [*idle, *watching]:
            _count_steps(instance, counts)
        await trio.sleep(10.0)
        assert watching
        for instance in watching:
            assert counts[instance.settings.instance_id] >= 30
        for instance in idle:
            assert counts[instance.settings.instance_id] <= 11

    run_scenario(scenario, SimulatedDeployment(n_instances=6))


def _count_steps(instance, counts: dict[str, int]) -> None:
    [guardian] = instance._guardians.values()
    name = instance.settings.instance_id
    step = guardian._step

    async def count() -> None:
        counts[name] = counts.get(name, 0) + 1
        await step()

    guardian._step = count
