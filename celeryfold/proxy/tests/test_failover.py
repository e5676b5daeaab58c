"""A lost primary is replaced without the loss of acknowledged commits."""

from __future__ import annotations

import msgspec
import trio

from celeryfold.kernel.errors import ErrorKind
from celeryfold.kernel.ids import InstanceId, Position, Term, UpstreamId
from celeryfold.proxy.routes import Consistency
from celeryfold.proxy.samples import WriteSuspension
from celeryfold.proxy.statements import Read, Write
from celeryfold.proxy.upstream import UpstreamRole
from celeryfold.standins.deployment import (
    MemoryDecoder,
    SimulatedDeployment,
    make_route_table,
)

from .test_sessions import get_kind, run_scenario

PRIMARY = Consistency.PRIMARY
FIRST = UpstreamId("orders-0")
SECOND = UpstreamId("orders-1")
THIRD = UpstreamId("orders-2")


async def wait_written(
    deployment: SimulatedDeployment, number: int, within_s: float
) -> float:
    """Repeat a write until it succeeds; return how long that took, in seconds."""
    started_at = trio.current_time()
    while trio.current_time() - started_at < within_s:
        session = deployment.open_session(number, PRIMARY)
        answer = await deployment.run(session, Write("wait 1"))
        if answer.error is None:
            return trio.current_time() - started_at
        await trio.sleep(0.1)
    raise AssertionError("no write succeeded in time")


def find_leader_id(deployment: SimulatedDeployment) -> UpstreamId:
    leader = deployment.replicas.find_leader()
    assert leader is not None
    return leader.upstream.upstream_id


def check_nothing_lost(deployment: SimulatedDeployment) -> None:
    assert not deployment.replicas.lost
    leader = deployment.replicas.find_leader()
    assert leader is not None
    kept = {entry.position for entry in leader.log}
    assert all(e.position in kept for _, e in deployment.replicas.acknowledged)


def test_a_silent_primary_is_replaced():
    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        for number in range(5):
            await deployment.run(session, Write(f"a {number}"))
        deployment.replicas.crash(FIRST, is_silent=True)
        assert await wait_written(deployment, 1, 10.0) < 5.0
        read = await deployment.run(deployment.open_session(2, PRIMARY), Read("a"))
        assert read.rows == ("4",)
        await trio.sleep(1.0)
        deployment.replicas.restart(FIRST)
        await trio.sleep(3.0)
        await wait_written(deployment, 0, 1.0)
        assert find_leader_id(deployment) != FIRST

    deployment = run_scenario(scenario)
    check_nothing_lost(deployment)
    assert len(deployment.replicas.promotions) == 1


def test_the_replica_that_received_most_is_promoted():
    """One replica receives nothing while the other acknowledges commits."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.databases[SECOND].is_replication_cut = True
        session = deployment.open_session(0, PRIMARY)
        for number in range(5):
            await deployment.run(session, Write(f"a {number}"))
        deployment.replicas.crash(FIRST)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await wait_written(deployment, 1, 10.0)
        assert find_leader_id(deployment) == THIRD

    check_nothing_lost(run_scenario(scenario))


def test_a_replica_that_may_hold_the_only_copy_is_waited_for():
    """The only replica that acknowledged commits is down together with the primary.

    Its entry in the store lapses, but no other replica may be promoted.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.databases[SECOND].is_replication_cut = True
        session = deployment.open_session(0, PRIMARY)
        for number in range(5):
            await deployment.run(session, Write(f"a {number}"))
        deployment.replicas.crash(THIRD)
        deployment.replicas.crash(FIRST)
        await trio.sleep(8.0)
        assert not deployment.replicas.promotions
        deployment.replicas.databases[SECOND].is_replication_cut = False
        deployment.replicas.restart(THIRD)
        await wait_written(deployment, 1, 10.0)
        assert find_leader_id(deployment) == THIRD

    check_nothing_lost(run_scenario(scenario))


def test_a_replica_restarted_with_empty_data_does_not_replace_its_former_incarnation():
    """A replica acknowledges commits and then restarts with empty data.

    The other replica lags behind, so neither may be promoted.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.databases[SECOND].is_replication_cut = True
        session = deployment.open_session(0, PRIMARY)
        for number in range(5):
            await deployment.run(session, Write(f"a {number}"))
        third = deployment.replicas.databases[THIRD]
        third.is_replication_cut = True
        deployment.replicas.crash(THIRD)
        reborn = msgspec.structs.replace(third.upstream, born_ms=2)
        third.upstream = reborn
        deployment.replicas.restart(THIRD, is_empty=True)
        await trio.sleep(3.0)
        deployment.replicas.crash(FIRST)
        await trio.sleep(6.0)
        assert not deployment.replicas.promotions
        third.is_replication_cut = False
        deployment.replicas.restart(FIRST)
        await wait_written(deployment, 1, 10.0)
        assert find_leader_id(deployment) == FIRST

    check_nothing_lost(run_scenario(scenario))


def test_a_replica_that_left_is_dropped_once_another_caught_up():
    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        await deployment.run(session, Write("a 1"))
        deployment.replicas.crash(THIRD)
        await trio.sleep(10.0)
        await deployment.run(session, Write("a 2"))
        deployment.replicas.crash(FIRST)
        await trio.sleep(5.0)
        assert find_leader_id(deployment) == SECOND
        deployment.replicas.restart(FIRST)
        await wait_written(deployment, 1, 10.0)

    check_nothing_lost(run_scenario(scenario))


def test_a_primary_that_leaves_hands_over_what_it_has():
    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        await deployment.run(session, Write("a 1"))
        first = deployment.replicas.databases[FIRST]
        first.upstream = msgspec.structs.replace(first.upstream, is_leaving=True)
        await trio.sleep(2.0)
        await wait_written(deployment, 0, 3.0)
        assert find_leader_id(deployment) != FIRST
        assert first.role is UpstreamRole.REPLICA

    deployment = run_scenario(scenario)
    check_nothing_lost(deployment)
    assert len(deployment.replicas.promotions) == 1


def test_a_promotion_without_an_answer_is_resolved_before_another():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.n_promotions_to_lose = 1
        deployment.replicas.crash(FIRST)
        await wait_written(deployment, 1, 10.0)

    deployment = run_scenario(scenario)
    check_nothing_lost(deployment)
    assert len({upstream for _, _, _, upstream in deployment.replicas.promotions}) == 1


def test_a_guardian_that_dies_with_the_primary_is_replaced():
    async def scenario(deployment: SimulatedDeployment) -> None:
        guardian = deployment.find_guardian()
        assert guardian is not None
        deployment.kill(guardian)
        deployment.replicas.crash(FIRST, is_silent=True)
        other = (guardian + 1) % 3
        await wait_written(deployment, other, 15.0)

    deployment = run_scenario(scenario)
    check_nothing_lost(deployment)
    assert len({holder for _, holder, _, _ in deployment.replicas.promotions}) == 1


def test_a_guardian_cut_off_from_the_primary_alone_promotes_nothing():
    async def scenario(deployment: SimulatedDeployment) -> None:
        guardian = deployment.find_guardian()
        assert guardian is not None
        deployment.replicas.cut(f"instance-{guardian}", FIRST)
        await trio.sleep(8.0)
        other = (guardian + 1) % 3
        await wait_written(deployment, other, 1.0)

    deployment = run_scenario(scenario)
    assert not deployment.replicas.promotions


def test_members_written_by_someone_else_do_not_end_the_instance():
    """A late write of an earlier holder changes the revision of the members' key."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        key = f"celeryfold/members/{deployment.service}"
        real_commit = deployment.store.commit

        async def commit(expected, writes=(), deletes=()):
            if any(write.key == key for write in writes):
                deployment.store.write(key, b"[]")
            return await real_commit(expected, writes, deletes)

        deployment.store.commit = commit  # type: ignore[method-assign]
        third = deployment.replicas.databases[THIRD]
        third.upstream = msgspec.structs.replace(third.upstream, born_ms=5)
        await trio.sleep(4.0)
        deployment.store.commit = real_commit  # type: ignore[method-assign]
        deployment.replicas.crash(FIRST)
        await wait_written(deployment, 1, 10.0)

    check_nothing_lost(run_scenario(scenario))


def test_a_deposed_primary_that_still_answers_gives_no_old_reads():
    """One instance still reaches the old primary after another was promoted.

    Reads through that instance must not return outdated values.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        await deployment.run(deployment.open_session(0, PRIMARY), Write("a old"))
        first = deployment.replicas.databases[FIRST]
        first.is_replication_cut = True
        for number in (1, 2):
            deployment.replicas.cut(f"instance-{number}", FIRST)
        guardian = deployment.find_guardian()
        deployment.replicas.cut(f"instance-{guardian}", FIRST)
        await deployment.replicas.promote(
            deployment.service, SECOND, InstanceId("test"), 1
        )
        await trio.sleep(2.0)
        await wait_written(deployment, 1, 5.0)
        await deployment.run(deployment.open_session(1, PRIMARY), Write("a new"))
        for number in range(3):
            read = await deployment.run(
                deployment.open_session(number, PRIMARY), Read("a")
            )
            assert read.rows == ("new",) or get_kind(read) is not None

    run_scenario(scenario)


def test_what_no_upstream_can_serve_is_refused_soon_and_as_not_run():
    async def scenario(deployment: SimulatedDeployment) -> None:
        for name in deployment.replicas.databases:
            deployment.replicas.crash(name)
        await trio.sleep(4.0)
        for consistency in Consistency:
            started_at = trio.current_time()
            read = await deployment.run(
                deployment.open_session(0, consistency), Read("a")
            )
            assert get_kind(read) in (ErrorKind.NO_PRIMARY, ErrorKind.NOT_RUN)
            assert trio.current_time() - started_at < 0.25
        started_at = trio.current_time()
        answer = await deployment.run(deployment.open_session(0, PRIMARY), Write("a 1"))
        assert get_kind(answer) in (ErrorKind.NO_PRIMARY, ErrorKind.NOT_RUN)
        assert trio.current_time() - started_at < 0.25

    deployment = run_scenario(scenario)
    assert not deployment.replicas.runs


# Guards against requests that are held although no primary can come: on the day of
# review case 8 each waited for a first sample, again and again.
def test_after_a_restart_requests_without_a_primary_are_refused_at_once():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.crash(FIRST, is_silent=True)
        deployment.replicas.crash(SECOND, is_silent=True)
        await restart_all(deployment)
        await trio.sleep(0.5)
        await deployment.run(deployment.open_session(0, PRIMARY), Write("a 1"))
        await trio.sleep(2.5)
        for consistency in Consistency:
            for statement in (Read("a"), Write("a 1")):
                started_at = trio.current_time()
                session = deployment.open_session(0, consistency)
                answer = await deployment.run(session, statement)
                assert get_kind(answer) in (ErrorKind.NO_PRIMARY, ErrorKind.NOT_RUN)
                assert trio.current_time() - started_at < 0.05
        assert not deployment.replicas.promotions

    run_scenario(scenario)


# Guards against writes that are held for as long as writes are suspended.
def test_writes_are_refused_at_once_if_they_stay_suspended():
    async def scenario(deployment: SimulatedDeployment) -> None:
        table = make_route_table(2, [deployment.service])
        for name, route in table.routes.items():
            patient = msgspec.structs.replace(route, statement_timeout_s=8.0)
            table.routes[name] = patient
        deployment.store.write(MemoryDecoder.table_key, msgspec.json.encode(table))
        await trio.sleep(3.0)
        suspension = WriteSuspension(None, 10.0, 2**60)
        deployment.instances[0].samples.suspend(deployment.service, suspension)
        await trio.sleep(2.5)
        started_at = trio.current_time()
        session = deployment.open_session(0, PRIMARY)
        answer = await deployment.run(session, Write("a 1"))
        assert get_kind(answer) in (ErrorKind.NO_PRIMARY, ErrorKind.NOT_RUN)
        assert trio.current_time() - started_at < 0.05

    run_scenario(scenario)


def test_positions_order_by_term_before_number():
    from celeryfold.proxy.positions import LogPosition

    old = LogPosition(Term(3), Position(900))
    new = LogPosition(Term(4), Position(7))
    assert old < new
    assert str(new) == "4.7"


def test_unanswered_promotion_requests_are_repeated_soon():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.n_promotions_to_lose = 3
        real_lead = deployment.replicas._complete_promotion

        async def lead_only_when_answered(database):
            if not deployment.replicas.n_promotions_to_lose:
                await real_lead(database)

        deployment.replicas._complete_promotion = lead_only_when_answered  # type: ignore[method-assign]
        deployment.replicas.crash(FIRST)
        assert await wait_written(deployment, 1, 15.0) < 6.5

    deployment = run_scenario(scenario)
    check_nothing_lost(deployment)
    assert len({upstream for _, _, _, upstream in deployment.replicas.promotions}) == 1


def test_a_full_upstream_does_not_keep_its_guardian_out():
    """A replica restarts, then other callers take all connections of every upstream.

    The guardian has to open its control connections before that.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.restart(SECOND)
        await trio.sleep(2.0)
        for database in deployment.replicas.databases.values():
            while len(database.connections) < deployment.replicas.n_connections:
                await deployment.replicas.open_connection(
                    database.upstream, "someone else"
                )
        deployment.replicas.crash(FIRST, is_silent=True)
        await trio.sleep(4.0)
        assert deployment.replicas.promotions
        assert find_leader_id(deployment) != FIRST

    check_nothing_lost(run_scenario(scenario))


def list_limits(deployment: SimulatedDeployment) -> list[int]:
    executors = [
        instance.executors.find_local(FIRST) for instance in deployment.instances
    ]
    return [executor.pool.limit for executor in executors if executor is not None]


def test_an_isolated_instance_does_not_raise_its_connection_limit():
    async def scenario(deployment: SimulatedDeployment) -> None:
        limits = list_limits(deployment)
        for number in range(3):
            deployment.network.cut(f"instance-{number}")
        await trio.sleep(8.0)
        assert list_limits(deployment) == limits
        assert len(limits) == 3

    run_scenario(scenario)


def test_a_replica_that_came_back_unseen_is_stopped_too():
    """A dropped replica returns and acknowledges a commit alone.

    The watch of the store has not reported it yet when the primary is lost.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        await deployment.run(session, Write("a 1"))
        deployment.replicas.crash(THIRD)
        await trio.sleep(10.0)
        for instance in deployment.instances:
            assert len(instance.directory.list_all()) == 2
            instance.watcher._is_needed = lambda: False
        await trio.sleep(6.0)
        deployment.replicas.restart(THIRD)
        await trio.sleep(1.5)
        deployment.replicas.databases[SECOND].is_replication_cut = True
        assert (await deployment.run(session, Write("a 2"))).error is None
        deployment.replicas.crash(FIRST, is_silent=True)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await wait_written(deployment, 1, 10.0)

    check_nothing_lost(run_scenario(scenario))


def test_failover_waits_for_an_incarnation_that_ended_unseen_in_an_outage():
    """A dropped replica returns, acknowledges a commit alone and crashes.

    All of this happens during an outage of the store, so no instance sees it.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        await deployment.run(session, Write("a 1"))
        deployment.replicas.crash(THIRD)
        await trio.sleep(10.0)
        deployment.store.is_down = True
        await trio.sleep(4.0)
        deployment.replicas.restart(THIRD)
        deployment.replicas.databases[SECOND].is_replication_cut = True
        await trio.sleep(0.5)
        assert (await deployment.run(session, Write("a 2"))).error is None
        deployment.replicas.crash(THIRD)
        deployment.replicas.crash(FIRST, is_silent=True)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await trio.sleep(1.0)
        deployment.store.is_down = False
        await trio.sleep(8.0)
        assert not deployment.replicas.promotions
        deployment.replicas.restart(THIRD)
        await wait_written(deployment, 1, 10.0)
        assert find_leader_id(deployment) == THIRD

    check_nothing_lost(run_scenario(scenario))


def test_a_dropped_replica_is_not_waited_for_where_another_holds_all():
    """The store is down while the primary is lost.

    The remaining replica holds every commit that clients have seen, so it is promoted
    without the dropped one.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        await deployment.run(session, Write("a 1"))
        deployment.replicas.crash(THIRD)
        await trio.sleep(10.0)
        deployment.store.is_down = True
        await trio.sleep(4.0)
        assert (await deployment.run(session, Write("a 2"))).error is None
        deployment.replicas.crash(FIRST, is_silent=True)
        await trio.sleep(1.0)
        deployment.store.is_down = False
        await trio.sleep(8.0)
        assert find_leader_id(deployment) == SECOND
        deployment.replicas.restart(FIRST)
        await wait_written(deployment, 1, 10.0)

    check_nothing_lost(run_scenario(scenario))


def test_the_next_guardian_does_not_wait_for_what_the_last_one_dropped():
    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        await deployment.run(session, Write("a 1"))
        deployment.replicas.crash(THIRD)
        await trio.sleep(10.0)
        guardian = deployment.find_guardian()
        assert guardian is not None
        deployment.kill(guardian)
        deployment.replicas.crash(FIRST, is_silent=True)
        await trio.sleep(10.0)
        assert find_leader_id(deployment) == SECOND
        deployment.replicas.restart(FIRST)
        await wait_written(deployment, (guardian + 1) % 3, 10.0)

    check_nothing_lost(run_scenario(scenario))


def test_a_replica_that_left_the_list_but_answers_stays_a_member():
    """A replica that is cut off only from the store goes on acknowledging commits.

    It must not be dropped.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        await deployment.run(session, Write("a 1"))
        deployment.unregistered.add(THIRD)
        await trio.sleep(10.0)
        deployment.replicas.databases[SECOND].is_replication_cut = True
        assert (await deployment.run(session, Write("a 2"))).error is None
        deployment.replicas.crash(FIRST, is_silent=True)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await trio.sleep(5.0)
        assert find_leader_id(deployment) == THIRD
        deployment.unregistered.clear()
        deployment.replicas.restart(FIRST)
        await wait_written(deployment, 1, 10.0)

    check_nothing_lost(run_scenario(scenario))


# Guards against a second failover while the new primary is not listed again yet.
def test_a_replica_promoted_before_it_is_listed_again_stays_primary():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.databases[SECOND].is_replication_cut = True
        session = deployment.open_session(0, PRIMARY)
        await deployment.run(session, Write("a 1"))
        deployment.replicas.crash(THIRD)
        deployment.replicas.crash(FIRST)
        await trio.sleep(8.0)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        deployment.unregistered.add(THIRD)
        deployment.replicas.restart(THIRD)
        while find_leader_id(deployment) != THIRD:
            await trio.sleep(0.05)
        await trio.sleep(1.0)
        deployment.unregistered.clear()
        await wait_written(deployment, 1, 10.0)
        assert find_leader_id(deployment) == THIRD

    deployment = run_scenario(scenario)
    check_nothing_lost(deployment)
    assert len(deployment.replicas.promotions) == 1


async def restart_all(deployment: SimulatedDeployment) -> None:
    """Kill all instances at the same time and start them again after a second."""
    numbers = range(len(deployment.instances))
    for number in numbers:
        deployment.kill(number)
    await trio.sleep(1.0)
    for number in numbers:
        await deployment.start_again(number)


# Guards against review case 4: without a sample of the primary, the guardian waited for
# the primary itself.
def test_a_primary_lost_beside_all_instances_is_replaced():
    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        for number in range(5):
            await deployment.run(session, Write(f"a {number}"))
        deployment.replicas.crash(FIRST)
        await trio.sleep(0.2)
        await restart_all(deployment)
        assert await wait_written(deployment, 1, 20.0) < 10.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a wait for a promoted primary that was lost beside all who knew it.
def test_a_new_primary_lost_beside_all_that_knew_it_is_replaced():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.crash(FIRST, is_silent=True)
        while find_leader_id(deployment) == FIRST:
            await trio.sleep(0.02)
        leader = find_leader_id(deployment)
        for number in range(len(deployment.instances)):
            deployment.kill(number)
        deployment.replicas.crash(leader)
        deployment.replicas.restart(FIRST)
        await trio.sleep(1.0)
        for number in range(len(deployment.instances)):
            await deployment.start_again(number)
        assert await wait_written(deployment, 1, 20.0) < 10.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a wait for a primary that only the lost holder of the duty had seen.
def test_a_primary_that_only_the_lost_holder_knew_is_replaced():
    async def scenario(deployment: SimulatedDeployment) -> None:
        guardian = deployment.find_guardian()
        assert guardian is not None
        deployment.replicas.crash(FIRST, is_silent=True)
        while find_leader_id(deployment) == FIRST:
            await trio.sleep(0.01)
        deployment.kill(guardian)
        deployment.replicas.crash(find_leader_id(deployment))
        deployment.replicas.restart(FIRST)
        other = (guardian + 1) % 3
        assert await wait_written(deployment, other, 20.0) < 12.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a recovery that loses the commits of a dropped replica.
def test_after_a_loss_of_all_instances_a_dropped_replica_is_waited_for():
    """It returned in an outage of the store and holds the only copy of a commit."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, PRIMARY)
        await deployment.run(session, Write("a 1"))
        deployment.replicas.crash(THIRD)
        await trio.sleep(10.0)
        deployment.store.is_down = True
        await trio.sleep(4.0)
        deployment.replicas.restart(THIRD)
        deployment.replicas.databases[SECOND].is_replication_cut = True
        await trio.sleep(0.5)
        assert (await deployment.run(session, Write("a 2"))).error is None
        deployment.replicas.crash(THIRD)
        deployment.replicas.crash(FIRST)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await restart_all(deployment)
        deployment.store.is_down = False
        await trio.sleep(12.0)
        assert not deployment.replicas.promotions
        deployment.replicas.restart(THIRD)
        await wait_written(deployment, 1, 12.0)
        assert find_leader_id(deployment) == THIRD

    check_nothing_lost(run_scenario(scenario))


# Guards against an entry of another writer that prevents each failover.
def test_a_primary_is_replaced_beside_an_entry_that_cannot_be_decoded():
    async def scenario(deployment: SimulatedDeployment) -> None:
        # An entry is an array in the stand-in, and further elements are ignored.
        entry = b'["odd", "orders", "h:1", "here", 2, 1, false, null, '
        nested = entry + b"[" * 50_000 + b"]" * 50_000 + b"]"
        deployment.store.write(f"{MemoryDecoder.upstream_prefix}odd", nested)
        await trio.sleep(3.0)
        deployment.replicas.crash(FIRST)
        assert await wait_written(deployment, 1, 10.0) < 5.0

    check_nothing_lost(run_scenario(scenario))
