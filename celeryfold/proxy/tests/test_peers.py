"""Which instances count as alive, given the delays of gossip."""

from __future__ import annotations

import itertools

import pytest
import trio
import trio.testing

from celeryfold.kernel.ids import InstanceId, PlaceId, RegionId
from celeryfold.proxy.gossip import EXCHANGE_INTERVAL_S
from celeryfold.proxy.gossip import N_ROUNDS_PER_MEMBER_EXCHANGE as N_ROUNDS
from celeryfold.proxy.messages import Peer
from celeryfold.proxy.peers import ALIVE_TIMEOUT_S, PeerTable
from celeryfold.standins.deployment import SimulatedDeployment

REGIONS = {PlaceId(p): RegionId(p[0]) for p in ("a1", "a2", "a3", "b1", "b2", "b3")}
# Some exchanges with an instance chosen at random among those that are lost.
HEALING_S = 15.0
MEMBERS_S = EXCHANGE_INTERVAL_S * N_ROUNDS


def make_peer(place: str, number: int) -> Peer:
    address = f"10.0.0.{number}:1"
    return Peer(InstanceId(f"{place}-{number}"), address, PlaceId(place))


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.mark.parametrize(
    ("place", "n_rounds"),
    [
        # From its watcher to the watcher of this data centre, and to this instance.
        ("a2", 2),
        # From its watcher to another one of its region, to any watcher of this region,
        # to the watcher of this data centre, and to this instance.
        ("b2", 4),
    ],
)
def test_an_instance_is_alive_while_reports_of_it_may_be_in_transit(place, n_rounds):
    """The time-out of an instance covers all gossip hops from its region.

    With a shorter one, and 79 instances, those of the other region were repeatedly
    logged as lost and reached.
    """
    clock = Clock()
    peers = PeerTable(make_peer("a1", 1), [], REGIONS, clock)
    other = make_peer(place, 2)
    peers.merge(other, clock.now)
    clock.now += EXCHANGE_INTERVAL_S + n_rounds * MEMBERS_S
    assert peers.list_alive() == [other]
    assert [aged.peer for aged in peers.list_with_ages()] == [other]


def test_a_dead_instance_of_the_same_region_is_dropped_first():
    clock = Clock()
    peers = PeerTable(make_peer("a1", 1), [], REGIONS, clock)
    peers.merge(make_peer("a2", 2), clock.now)
    peers.merge(make_peer("b2", 3), clock.now)
    clock.now += ALIVE_TIMEOUT_S
    assert peers.list_alive() == [make_peer("b2", 3)]
    clock.now += ALIVE_TIMEOUT_S
    assert not peers.list_alive()


def test_a_new_instance_in_another_region_finds_the_watcher_of_its_data_centre():
    """A seed reports the other watchers of a requester's region.

    Otherwise, seen with 79 instances, those of the other region never learn of each
    other, and each of them watches the store.
    """
    clock = Clock()
    seed = PeerTable(make_peer("a1", 1), [], REGIONS, clock)
    for number in range(1, 5):
        for place in ("a2", "b1", "b2"):
            seed.merge(make_peer(place, number), clock.now)
    listed = {aged.peer for aged in seed.list_peers_for(make_peer("b1", 3))}
    near = {make_peer("a2", number) for number in range(1, 5)}
    assert listed == near | {make_peer("b1", 1), make_peer("b2", 1)}
    listed = {aged.peer for aged in seed.list_peers_for(make_peer("b1", 1))}
    assert listed == near | {make_peer("b2", 1)}


@pytest.mark.parametrize("n_instances", [12, 24])
def test_instances_that_start_together_soon_know_each_other(n_instances):
    """Load: all clients return at once after the loss of all instances.

    Guards against homes and rate coordinators that differ between instances for
    several seconds, because the known instances travel in every fourth exchange only.
    """
    deployment = SimulatedDeployment(n_instances=n_instances)
    known_at: list[float] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deployment.start, nursery)
            while not known_at:
                await trio.sleep(0.05)
                n_known = [len(i.peers.list_alive()) for i in deployment.instances]
                if n_known == [n_instances - 1] * n_instances:
                    known_at.append(trio.current_time())
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert known_at[0] <= 2.0


# Guards against halves of the fleet that stay apart for good after a partition, each of
# them with a watcher of every data centre: their members asked nobody else.
@pytest.mark.parametrize("cut_s", [8.0, 40.0])
def test_halves_find_each_other_after_a_partition(cut_s):
    deployment = SimulatedDeployment(n_instances=6)
    known: list[int] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery)
            names = [i.settings.instance_id for i in deployment.instances]
            for one, other in itertools.product(names[:3], names[3:]):
                deployment.network.cut_between(one, other)
                deployment.network.cut_between(other, one)
            await trio.sleep(cut_s)
            assert len(deployment.instances[5].peers.list_alive()) == 2
            deployment.network.heal()
            await trio.sleep(HEALING_S)
            known.extend(len(i.peers.list_alive()) for i in deployment.instances)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert known == [5] * 6
