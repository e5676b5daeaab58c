"""Replicas without an entry in the store are asked before a promotion."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import msgspec
import pytest
import trio
import trio.testing

from celeryfold.kernel.decoding import decode_json
from celeryfold.kernel.ids import PlaceId, Term, UpstreamId
from celeryfold.kernel.metrics import Metrics
from celeryfold.platform.connections import LineConnector
from celeryfold.proxy import control_book
from celeryfold.proxy.ack_set import AckSet
from celeryfold.proxy.control_book import ControlConnections
from celeryfold.proxy.duty_record import DutyRecord, MemberAddress
from celeryfold.proxy.members import Contact, Contacts, Member
from celeryfold.proxy.positions import LogPosition
from celeryfold.proxy.statements import Write
from celeryfold.proxy.upstream import (
    ConnectFailed,
    ConnectFailure,
    Upstream,
    UpstreamRole,
    UpstreamStatus,
)
from celeryfold.standins.deployment import SimulatedDeployment
from celeryfold.standins.replicas import ReplicaSet

from .test_failover import (
    FIRST,
    PRIMARY,
    SECOND,
    THIRD,
    check_nothing_lost,
    find_leader_id,
    restart_all,
    wait_written,
)
from .test_samples_and_members import NAMES, SERVICE, at, make_upstream
from .test_sessions import run_scenario


async def write(deployment: SimulatedDeployment, value: int, within_s: float) -> None:
    """Write until it succeeds."""
    with trio.fail_after(within_s):
        while True:
            session = deployment.open_session(0, PRIMARY)
            answer = await deployment.run(session, Write(f"a {value}"))
            if answer.error is None:
                return
            await trio.sleep(0.05)


async def drop_third(deployment: SimulatedDeployment) -> None:
    """Have the third replica dropped, so that it is unlisted when it returns."""
    await write(deployment, 1, 1.0)
    deployment.replicas.crash(THIRD)
    await trio.sleep(10.0)
    deployment.unregistered.add(THIRD)


async def acknowledge_alone(deployment: SimulatedDeployment) -> None:
    """Have the third replica alone acknowledge a commit."""
    deployment.replicas.databases[SECOND].is_replication_cut = True
    await write(deployment, 2, 3.0)


async def lose_primary(deployment: SimulatedDeployment) -> None:
    deployment.replicas.crash(FIRST)
    deployment.replicas.databases[SECOND].is_replication_cut = False


async def return_to_list(deployment: SimulatedDeployment) -> None:
    deployment.unregistered.clear()
    deployment.replicas.restart(FIRST)
    await wait_written(deployment, 1, 10.0)


# Guards against review case 2: a dropped replica comes back and is not listed yet.
def test_a_dropped_replica_that_is_back_without_an_entry_is_asked():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await drop_third(deployment)
        deployment.replicas.restart(THIRD)
        await trio.sleep(1.5)
        await acknowledge_alone(deployment)
        await lose_primary(deployment)
        await trio.sleep(4.0)
        assert find_leader_id(deployment) == THIRD
        await return_to_list(deployment)

    check_nothing_lost(run_scenario(scenario))


# Guards against a dropped replica that is back for less time than the interval at which
# it is asked.
def test_a_dropped_replica_is_asked_by_the_failover_attempt_itself(monkeypatch):
    monkeypatch.setattr(ControlConnections, "is_seek_due", False)

    async def scenario(deployment: SimulatedDeployment) -> None:
        await drop_third(deployment)
        deployment.replicas.restart(THIRD)
        await acknowledge_alone(deployment)
        await lose_primary(deployment)
        await trio.sleep(4.0)
        assert find_leader_id(deployment) == THIRD
        await return_to_list(deployment)

    check_nothing_lost(run_scenario(scenario))


# Guards against review case 3: a restarted holder has never seen the replica's entry.
def test_a_restarted_holder_asks_an_unlisted_replica():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        deployment.unregistered.add(THIRD)
        await trio.sleep(8.0)
        await restart_all(deployment)
        await trio.sleep(6.0)
        await acknowledge_alone(deployment)
        await lose_primary(deployment)
        await trio.sleep(4.0)
        assert find_leader_id(deployment) == THIRD
        await return_to_list(deployment)

    check_nothing_lost(run_scenario(scenario))


# Guards against a restarted holder that asks no replica which was dropped before.
def test_a_restarted_holder_asks_a_replica_that_the_last_one_dropped():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await drop_third(deployment)
        await restart_all(deployment)
        await trio.sleep(5.0)
        deployment.replicas.restart(THIRD)
        await trio.sleep(1.5)
        await acknowledge_alone(deployment)
        await lose_primary(deployment)
        await trio.sleep(4.0)
        assert find_leader_id(deployment) == THIRD
        await return_to_list(deployment)

    check_nothing_lost(run_scenario(scenario))


# Guards against a dropped replica that comes back under a new id and is not listed yet.
def test_a_dropped_replica_that_is_back_under_a_new_id_is_asked():
    fourth = UpstreamId("orders-3")

    async def scenario(deployment: SimulatedDeployment) -> None:
        await drop_third(deployment)
        deployment.unregistered.add(fourth)
        deployment.replicas.restart(THIRD, new_id=fourth)
        await trio.sleep(2.5)
        await acknowledge_alone(deployment)
        await lose_primary(deployment)
        await trio.sleep(4.0)
        assert find_leader_id(deployment) == fourth
        await return_to_list(deployment)
        await trio.sleep(1.0)
        guardian = deployment.find_guardian()
        assert guardian is not None
        holder = deployment.instances[guardian]._guardians[deployment.service]
        lives = [m.born_ms for m in holder._ack_set.members if m.upstream_id == fourth]
        assert lives == [2]

    check_nothing_lost(run_scenario(scenario))


# Guards against a running replica that is dropped since it has too many connections.
def test_a_full_unlisted_replica_is_waited_for(caplog):
    async def scenario(deployment: SimulatedDeployment) -> None:
        caplog.set_level(logging.WARNING)
        replicas = deployment.replicas
        await write(deployment, 1, 1.0)
        deployment.unregistered.add(THIRD)
        await trio.sleep(3.0)
        replicas.n_connections = 0
        for connection in list(replicas.databases[THIRD].connections):
            connection.end()
        await trio.sleep(10.0)
        await acknowledge_alone(deployment)
        await lose_primary(deployment)
        await trio.sleep(5.0)
        assert not replicas.promotions
        replicas.n_connections = 16
        await trio.sleep(3.0)
        assert find_leader_id(deployment) == THIRD
        await return_to_list(deployment)

    deployment = run_scenario(scenario)
    check_nothing_lost(deployment)
    waiting = [r for r in caplog.records if r.msg == "promotion waits for members"]
    text = "orders-2 born 1: not listed, runs, but did not confirm"
    assert text in waiting[-1].waits_for
    counters = [instance.metrics.counters for instance in deployment.instances]
    assert sum(c["failover.waited_for_members"] for c in counters) == len(waiting)


# Guards against an empty replica that answers for the one whose name it has.
@pytest.mark.parametrize("is_listed", [True, False])
def test_a_replica_reborn_empty_does_not_answer_for_its_former_self(is_listed):
    async def scenario(deployment: SimulatedDeployment) -> None:
        third = deployment.replicas.databases[THIRD]
        await acknowledge_alone(deployment)
        if is_listed:
            # The connections are opened anew.
            for connection in list(third.connections):
                connection.end()
            await trio.sleep(2.0)
        else:
            deployment.unregistered.add(THIRD)
            await trio.sleep(8.0)
        third.is_replication_cut = True
        deployment.replicas.restart(THIRD, is_empty=True)
        await trio.sleep(0.1)
        deployment.replicas.crash(FIRST)
        await trio.sleep(5.0)
        assert not deployment.replicas.promotions
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await return_to_list(deployment)

    check_nothing_lost(run_scenario(scenario))


# Guards against dropped hosts that prolong each failover by whole time-outs.
def test_a_dropped_dark_host_delays_a_failover_by_one_short_time_out():
    def measure_s(is_dark: bool) -> float:
        gap_s = 0.0

        async def scenario(deployment: SimulatedDeployment) -> None:
            nonlocal gap_s
            await write(deployment, 1, 1.0)
            deployment.replicas.crash(THIRD, is_silent=is_dark)
            await trio.sleep(12.0)
            deployment.replicas.crash(FIRST, is_silent=True)
            while not deployment.replicas.promotions:
                await trio.sleep(0.01)
                gap_s += 0.01
            deployment.replicas.restart(FIRST)
            await wait_written(deployment, 1, 10.0)

        check_nothing_lost(run_scenario(scenario))
        return gap_s

    delay_s = measure_s(is_dark=True) - measure_s(is_dark=False)
    assert delay_s < control_book.DROPPED_TIMEOUT_S + 0.3


@pytest.mark.parametrize(
    ("failure", "is_running"),
    [
        (ConnectFailure.REFUSED, False),
        (ConnectFailure.WRONG_INSTANCE, False),
        (ConnectFailure.UNREACHABLE, False),
        (ConnectFailure.TOO_MANY, True),
        (ConnectFailure.SESSION_REFUSED, True),
        (ConnectFailure.ACCOUNT_REFUSED, True),
        (None, True),
    ],
)
# Guards against an error reply that is taken for no answer.
def test_only_a_missing_connection_counts_as_no_answer(failure, is_running):
    contacts = Contacts()
    member = Member(NAMES[2], 1)
    contacts.record_failure(member, failure)
    assert contacts.find(member).is_running == is_running
    ack_set = AckSet()
    ack_set.update([make_upstream(name) for name in NAMES[:3]], 0.0)
    ack_set.update([make_upstream(name) for name in NAMES[:2]], 10.0)
    reached = {Member(NAMES[1], 1): at(1, 50)}
    running = [member] if is_running else []
    dropped = ack_set.drop_covered(at(1, 50), 11.0, reached, NAMES[0], 0, running)
    assert dropped == ([] if is_running else [member])
    ack_set.readmit(dropped, 12.0)
    assert member in ack_set.list_missing()
    assert not ack_set.dropped


def report(received: LogPosition, term: int) -> UpstreamStatus:
    return UpstreamStatus(UpstreamRole.REPLICA, Term(term), received, Term(term))


# Guards against a replica that counts as another one after a promotion rolled it back.
def test_a_lower_position_shows_another_incarnation_unless_a_later_term_was_led():
    member = Member(NAMES[2], 1)
    for term, leader_term, is_same in [(3, 3, False), (4, 3, True), (3, 4, True)]:
        contacts = Contacts()
        contacts.leader_term = Term(3)
        assert contacts.record_status(member, report(at(3, 90), 3))
        assert contacts.record_status(member, report(at(3, 91), 3))
        contacts.leader_term = Term(leader_term)
        assert contacts.record_status(member, report(at(3, 80), term)) == is_same
        assert contacts.find(member).is_running == is_same
        contacts.forget(member)
        assert contacts.record_status(member, report(at(1, 0), 1))


def run_with_controls(
    check: Callable[[ReplicaSet, ControlConnections], Awaitable[None]],
) -> None:
    async def run() -> None:
        replicas = ReplicaSet(SERVICE)
        controls = ControlConnections(
            SERVICE, replicas, trio.current_time, Metrics(), lambda: 1
        )
        await check(replicas, controls)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against connections without end to a database that has another one's address.
def test_a_dropped_member_whose_address_has_another_upstream_is_not_asked_again():
    async def check(replicas: ReplicaSet, controls: ControlConnections) -> None:
        controls.refresh(replicas.list_upstreams())
        third = Member(THIRD, 1)
        replicas.crash(THIRD)
        await controls.drop(third, may_return=True)
        await controls.seek_dropped()
        assert third in controls.list_except(None)
        assert THIRD in {a.upstream_id for a in controls.list_addresses()}
        del replicas.databases[THIRD]
        await controls.seek_dropped()
        assert third not in controls.list_except(None)
        assert THIRD not in {a.upstream_id for a in controls.list_addresses()}
        assert not controls.take_returned()

    run_with_controls(check)


# Guards against connections without end to an upstream of another service.
def test_an_upstream_that_refuses_its_own_id_is_asked_once(monkeypatch):
    async def check(replicas: ReplicaSet, controls: ControlConnections) -> None:
        n_connects = 0

        async def connect(upstream, account=""):
            nonlocal n_connects
            n_connects += upstream.upstream_id == "other"
            text = "of another service"
            raise ConnectFailed(ConnectFailure.WRONG_INSTANCE, text, "other")

        monkeypatch.setattr(replicas, "connect", connect)
        controls.refresh(replicas.list_upstreams())
        for _ in range(5):
            await controls.read_statuses()
            await controls.seek_dropped()
        assert n_connects == 1
        names = {address.upstream_id for address in controls.list_addresses()}
        assert "other" not in names

    run_with_controls(check)


# Guards against a promotion without a member that has moved, once another upstream had
# taken its former address.
@pytest.mark.parametrize("is_listed", [True, False], ids=["listed", "in the record"])
def test_a_member_that_has_moved_does_not_count_as_replaced(is_listed):
    async def check(replicas: ReplicaSet, controls: ControlConnections) -> None:
        upstream = replicas.databases[THIRD].upstream
        other = Upstream(
            UpstreamId("other"), SERVICE, upstream.address, upstream.place, 0, 9
        )
        third, held = Member(THIRD, 1), Member(other.upstream_id, 9)
        controls.refresh(replicas.list_upstreams())
        replicas.crash(THIRD)
        await controls.drop(third, may_return=True)
        del replicas.databases[THIRD]
        await controls.seek_dropped()
        controls.refresh([other])
        assert controls.list_replaced([third], [held]) == [third]
        if is_listed:
            moved = msgspec.structs.replace(upstream, address="10.0.0.9:5000")
            controls.refresh([moved])
        else:
            recorded = MemberAddress(THIRD, 1, "10.0.0.9:5000")
            controls.restore([recorded], (), [third])
        assert not controls.list_replaced([third], [held])

    run_with_controls(check)


# Guards against more and more members that are asked for ever.
def test_the_number_of_dropped_members_that_are_asked_is_bounded():
    async def check(replicas: ReplicaSet, controls: ControlConnections) -> None:
        names = [f"gone-{number}" for number in range(20)]
        addresses = [
            MemberAddress(UpstreamId(name), 1, "10.0.0.9:5000") for name in names
        ]
        dropped = [address.member for address in addresses]
        controls.restore(addresses, (), dropped)
        assert controls.list_except(None) == dropped[-control_book.N_DROPPED_ASKED :]

    run_with_controls(check)


# Guards against an answer of the later incarnation that counts for the former one.
def test_a_former_incarnation_is_not_asked_once_a_later_one_is_known():
    async def check(replicas: ReplicaSet, controls: ControlConnections) -> None:
        controls.refresh(replicas.list_upstreams())
        reborn = msgspec.structs.replace(replicas.databases[THIRD].upstream, born_ms=2)
        controls.refresh([reborn])
        answered = await controls.read_statuses()
        assert Member(THIRD, 2) in answered
        assert Member(THIRD, 1) not in answered
        former = controls.find_contact(Member(THIRD, 1))
        assert former is Contact.OTHER_INCARNATION
        await controls.drop(Member(THIRD, 1), may_return=True)
        assert Member(THIRD, 1) not in controls.list_except(None)

    run_with_controls(check)


# Guards against records of earlier versions that cannot be read any more, and against
# more writes than before: they are paid for.
def test_a_record_is_written_again_only_for_an_address_that_it_lacks():
    earlier = b'{"members": [{"upstream_id": "u0", "born_ms": 1}], "turn_of": ""}'
    read = decode_json(earlier, DutyRecord)
    assert read.members == (Member(NAMES[0], 1),)
    assert read.addresses == ()
    one = MemberAddress(NAMES[0], 1, "h:1")
    other = MemberAddress(NAMES[1], 1, "h:2")
    both = msgspec.structs.replace(read, addresses=(one, other), as_of=7)
    assert not both.is_covered_by(read)
    assert msgspec.structs.replace(read, addresses=(one,)).is_covered_by(both)
    assert decode_json(msgspec.json.encode(both), DutyRecord) == both


# Guards against a refusal whose text names no upstream, or the one that was asked for.
@pytest.mark.parametrize(
    ("text", "found"),
    [("i-2", "i-2"), ("i-1", None), ("not i-1", None), ("", None), ("x" * 201, None)],
)
def test_a_refusal_that_names_another_upstream_tells_which(text, found):
    async def refuse(stream: trio.SocketStream) -> None:
        await stream.receive_some(100)
        await stream.send_all(f"ERROR WRONGNODE {text}\r\n".encode())
        await stream.aclose()

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, refuse, listeners)
            port = listeners[0].socket.getsockname()[1]
            upstream = Upstream(
                UpstreamId("i-1"), SERVICE, f"127.0.0.1:{port}", PlaceId("a"), 2, 1
            )
            with pytest.raises(ConnectFailed) as caught:
                await LineConnector("tester").connect(upstream)
            assert caught.value.failure is ConnectFailure.WRONG_INSTANCE
            assert caught.value.found == found
            nursery.cancel_scope.cancel()

    trio.run(run)


# Guards against soak seed 836: a replica that started again empty answered a new holder
# under its former id, before it was listed, and its commits were lost.
@pytest.mark.parametrize("is_memory_lost", [False, True])
def test_a_new_holder_does_not_take_an_empty_replica_for_its_former_self(
    is_memory_lost,
):
    async def scenario(deployment: SimulatedDeployment) -> None:
        replicas = deployment.replicas
        await write(deployment, 1, 1.0)
        await acknowledge_alone(deployment)
        await trio.sleep(1.0)
        guardian = deployment.find_guardian()
        assert guardian is not None
        numbers = range(3) if is_memory_lost else [guardian]
        for number in numbers:
            deployment.kill(number)
        replicas.crash(FIRST)
        replicas.databases[THIRD].is_replication_cut = True
        # Its former entry is there until it registers again.
        replicas.crash(THIRD)
        deployment.rewrites_unchanged_entries = False
        if is_memory_lost:
            await trio.sleep(0.5)
            for number in numbers:
                await deployment.start_again(number)
            await trio.sleep(1.5)
        else:
            await trio.sleep(2.0)
        replicas.restart(THIRD, is_empty=True)
        deployment.unregistered.add(THIRD)
        await trio.sleep(1.0)
        deployment.unregistered.clear()
        await trio.sleep(6.0)
        assert not replicas.promotions
        replicas.restart(FIRST)
        replicas.databases[SECOND].is_replication_cut = False
        replicas.databases[THIRD].is_replication_cut = False
        await wait_written(deployment, (guardian + 1) % 3, 20.0)

    check_nothing_lost(run_scenario(scenario))
