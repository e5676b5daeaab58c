"""Membership under loss, refutation and cuts."""

from __future__ import annotations

import msgspec
import trio
import zmq
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryfold.bench.crowd import make_small_world
from celeryfold.bench.world import World, run_world
from celeryfold.conftest import count_examples
from celeryfold.fleet.link import PeerUnreachable
from celeryfold.fleet.members import Member, MemberNews, MemberState
from celeryfold.fleet.messages import CheckSlot, CheckSlotReply, decode_envelope
from celeryfold.fleet.news import NewsQueue
from celeryfold.fleet.zmq_link import PeerKeys, ZmqLink
from celeryfold.kernel.ids import GroupId, InstanceId, PlaceId, SlotId

GONE_S = 10.0


def read_states(world: World, name: str) -> set[MemberState | None]:
    """Return what the live instances believe of one."""
    known = [
        instance.membership.find(InstanceId(name))
        for instance in world.instances.values()
        if instance.instance_id != name
    ]
    return {member.state if member else None for member in known}


def test_a_dead_instance_is_found_dead_by_all():
    async def use(world: World) -> set[MemberState | None]:
        world.kill(InstanceId("i3"))
        await trio.sleep(GONE_S)
        return read_states(world, "i3")

    assert run_world(make_small_world(), use) == {MemberState.DEAD}


def test_an_instance_that_comes_back_is_alive_again():
    async def use(world: World) -> set[MemberState | None]:
        world.network.cut("i3")
        await trio.sleep(GONE_S)
        world.network.heal_endpoint("i3")
        await trio.sleep(GONE_S)
        return read_states(world, "i3")

    assert run_world(make_small_world(), use) == {MemberState.ALIVE}


def test_a_cut_between_two_instances_is_not_a_death():
    async def use(world: World) -> set[MemberState | None]:
        world.network.cut_between("i1", "i3")
        await trio.sleep(GONE_S)
        return read_states(world, "i3")

    assert run_world(make_small_world(), use) == {MemberState.ALIVE}


def test_an_isolated_instance_promotes_nothing():
    async def use(world: World) -> tuple[int, int]:
        before = world.find_record(GroupId("g2")).term
        for slot in world.slots:
            world.network.cut_between("i1", slot)
        for name in ("i2", "i3", "i4"):
            world.network.cut_between("i1", name)
        await trio.sleep(3 * GONE_S)
        return before, world.find_record(GroupId("g2")).term

    before, after = run_world(make_small_world(), use)
    assert before == after


def test_a_stopping_instance_is_given_no_work():
    async def use(world: World) -> set[bool]:
        await world.stop(InstanceId("i2"))
        return {
            any(m.instance_id == "i2" for m in instance.membership.usable())
            for instance in world.instances.values()
        }

    assert run_world(make_small_world(), use) == {False}


def test_a_fleet_heals_after_its_regions_were_cut():
    async def use(world: World) -> list[set[MemberState | None]]:
        world.network.cut_regions()
        await trio.sleep(3 * GONE_S)
        world.network.heal()
        await trio.sleep(2 * GONE_S)
        return [read_states(world, name) for name in ("i1", "i2", "i3", "i4")]

    states = run_world(make_small_world(), use)
    assert states == [{MemberState.ALIVE}] * 4


def test_news_is_told_a_bounded_number_of_times():
    queue = NewsQueue()
    member = Member(InstanceId("i1"), "10.0.0.1:1", PlaceId("a1"))
    queue.add(MemberNews(member))
    n_told = 0
    while len(queue):
        n_told += len(queue.take(8))
    assert 1 <= n_told <= 20


async def exchange(n_requests: int) -> list[bool]:
    """Send requests at once over two real links; return the replies in order."""
    replies: dict[int, bool] = {}
    async with trio.open_nursery() as nursery:
        server = ZmqLink("127.0.0.1", 0)
        client = ZmqLink("127.0.0.1", 0)

        async def answer(message: CheckSlot) -> CheckSlotReply:
            number = int(message.slot)
            await trio.sleep(0.001 * ((number * 7) % 5))
            return CheckSlotReply(number % 2 == 0)

        server.on(CheckSlot, answer)
        await server.start(nursery)
        await client.start(nursery)

        async def ask(number: int) -> None:
            address = f"127.0.0.1:{server.port}"
            message = CheckSlot(SlotId(str(number)))
            replies[number] = (await client.request(address, message, 5.0)).reached

        async with trio.open_nursery() as asking:
            for number in range(n_requests):
                asking.start_soon(ask, number)
        await server.close()
        address = f"127.0.0.1:{server.port}"
        try:
            await client.request(address, CheckSlot(SlotId("1")), 0.2)
            replies[-1] = True
        except PeerUnreachable:
            replies[-1] = False
        await client.close()
        nursery.cancel_scope.cancel()
    return [replies[number] for number in (*range(n_requests), -1)]


def test_replies_match_their_requests_and_a_closed_peer_gives_none():
    replies = trio.run(exchange, 200)
    assert replies == [number % 2 == 0 for number in range(200)] + [False]


async def ask_with_keys(server_keys: PeerKeys, client_keys: PeerKeys) -> bool:
    """Ask over a link with keys; tell whether a reply came."""
    async with trio.open_nursery() as nursery:
        server = ZmqLink("127.0.0.1", 0, keys=server_keys)
        client = ZmqLink("127.0.0.1", 0, keys=client_keys)

        async def answer(message: CheckSlot) -> CheckSlotReply:
            return CheckSlotReply(True)

        server.on(CheckSlot, answer)
        await server.start(nursery)
        await client.start(nursery)
        try:
            address = f"127.0.0.1:{server.port}"
            await client.request(address, CheckSlot(SlotId("s")), 1.0)
            replied = True
        except PeerUnreachable:
            replied = False
        await client.close()
        await server.close()
        nursery.cancel_scope.cancel()
    return replied


def test_links_with_the_fleets_keys_talk_and_others_do_not():
    ours = PeerKeys(*zmq.curve_keypair())
    theirs = PeerKeys(*zmq.curve_keypair())
    mixed = PeerKeys(ours.public, theirs.secret)
    assert trio.run(ask_with_keys, ours, ours)
    assert not trio.run(ask_with_keys, ours, theirs)
    assert not trio.run(ask_with_keys, ours, mixed)


@given(st.binary(max_size=200))
def test_garbage_is_no_envelope(data):
    try:
        decode_envelope(data)
    except msgspec.DecodeError:
        return


async def throw_garbage(frames: list[list[bytes]]) -> bool:
    """Send garbage to a link; tell whether it still answers."""
    context = zmq.Context()
    rogue = context.socket(zmq.DEALER)
    rogue.linger = 0
    async with trio.open_nursery() as nursery:
        server = ZmqLink("127.0.0.1", 0)
        client = ZmqLink("127.0.0.1", 0)

        async def answer(message: CheckSlot) -> CheckSlotReply:
            return CheckSlotReply(True)

        server.on(CheckSlot, answer)
        await server.start(nursery)
        await client.start(nursery)
        rogue.connect(f"tcp://127.0.0.1:{server.port}")
        for parts in frames:
            rogue.send_multipart(parts)
        address = f"127.0.0.1:{server.port}"
        reply = await client.request(address, CheckSlot(SlotId("s")), 5.0)
        await client.close()
        await server.close()
        nursery.cancel_scope.cancel()
    context.destroy(linger=0)
    return reply.reached


frames = st.lists(st.lists(st.binary(max_size=40), min_size=1, max_size=4), max_size=8)


@settings(max_examples=count_examples(20, 300))
@given(frames)
def test_garbage_between_instances_harms_nobody(garbage):
    assert trio.run(throw_garbage, garbage)
