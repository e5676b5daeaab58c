"""Sessions keep their values, names, transactions and own writes apart and right."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
import trio.testing

from celeryfold.kernel.errors import ErrorKind
from celeryfold.proxy.calls import Answer
from celeryfold.proxy.routes import Consistency
from celeryfold.proxy.statements import (
    Access,
    Begin,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Rollback,
    SetValue,
    Write,
)
from celeryfold.proxy.upstream import TransactionState
from celeryfold.standins.proxies import ProxyWorld

PRIMARY = Consistency.PRIMARY
OWN = Consistency.OWN_WRITES
BOUNDED = Consistency.BOUNDED


def play(
    story: Callable[[ProxyWorld], Awaitable[None]], world: ProxyWorld | None = None
) -> ProxyWorld:
    """Run a story in a world, a fresh one if none is given, on a mock clock."""
    world = world or ProxyWorld()

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            await story(world)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return world


def get_kind(answer: Answer) -> ErrorKind | None:
    return answer.error.kind if answer.error else None


def test_a_write_is_read_by_its_own_session():
    async def story(world: ProxyWorld) -> None:
        session = world.open_session(0, OWN)
        for number in range(20):
            written = await world.run(session, Write(f"a {number}"))
            assert written.error is None
            assert written.signature.startswith("orders-0/")
            read = await world.run(session, Read("a"))
            assert read.rows == (str(number),)

    play(story)


def test_values_of_one_session_never_show_in_another():
    async def story(world: ProxyWorld) -> None:
        sessions = [world.open_session(0, OWN) for _ in range(4)]
        for number, session in enumerate(sessions):
            await world.run(session, SetValue("zone", str(number)))
        for _ in range(5):
            for session in sessions:
                await world.run(session, Read("a"))
                await world.run(session, Write("a 1"))
        bare = world.open_session(0, OWN)
        await world.run(bare, Read("a"))

    world = play(story)
    seen = [run.values for run in world.replicas.runs]
    expected = [{"zone": str(n)} for _ in range(5) for n in range(4) for _ in range(2)]
    assert seen == [*expected, {}]


def test_colliding_names_run_their_own_shapes():
    async def story(world: ProxyWorld) -> None:
        sessions = [world.open_session(0, OWN) for _ in range(3)]
        for number, session in enumerate(sessions):
            prepare = Prepare("s1", Access.READ, f"shape{number}")
            assert (await world.run(session, prepare)).error is None
        for _ in range(3):
            for session in sessions:
                await world.run(session, Execute("s1", "a"))
        await world.run(sessions[0], Deallocate("s1"))
        again = await world.run(sessions[0], Execute("s1", "a"))
        assert get_kind(again) is ErrorKind.UNKNOWN_STATEMENT

    world = play(story)
    shapes = [run.shape for run in world.replicas.runs]
    assert shapes == ["shape0", "shape1", "shape2"] * 3


def test_a_transaction_stays_on_one_connection_and_alone():
    async def story(world: ProxyWorld) -> None:
        async def transact(number: int) -> None:
            session = world.open_session(0, PRIMARY)
            assert (await world.run(session, Begin())).state is TransactionState.OPEN
            for step in range(3):
                await trio.sleep(0.03)
                write = Write(f"{number}-{step} x")
                assert (await world.run(session, write)).error is None
            ended = await world.run(session, Commit())
            assert ended.error is None
            assert ended.state is TransactionState.IDLE

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(transact, number)

    world = play(story)
    assert len(world.replicas.acknowledged) == 4
    for _, entry in world.replicas.acknowledged:
        ids = {request for _, _, request in entry.writes}
        runs = [run for run in world.replicas.runs if run.request_id in ids]
        assert len({run.connection for run in runs}) == 1
        assert all(run.in_transaction for run in runs)


def test_a_first_statement_never_runs_where_the_begin_was_refused():
    """A replica that lags refuses the begin; the read must not run there alone."""

    async def story(world: ProxyWorld) -> None:
        for database in world.replicas.databases.values():
            database.lag_s = 1.0
        writer = world.open_session(0, OWN)
        for number in range(10):
            await world.run(writer, Write(f"a {number}"))
            await world.run(writer, Begin(read_only=True))
            read = await world.run(writer, Read("a"))
            assert read.rows == (str(number),)
            assert (await world.run(writer, Commit())).error is None

    world = play(story)
    writes = {r for _, e in world.replicas.acknowledged for _, _, r in e.writes}
    others = [run for run in world.replicas.runs if run.request_id not in writes]
    assert others
    assert all(run.in_transaction for run in others)


def test_a_transaction_left_in_the_middle_leaves_nothing():
    async def story(world: ProxyWorld) -> None:
        session = world.open_session(0, PRIMARY)
        await world.run(session, Begin())
        await world.run(session, Write("a gone"))
        session.close()
        await trio.sleep(0.5)
        other = world.open_session(0, PRIMARY)
        assert (await world.run(other, Read("a"))).rows == ("",)

    world = play(story)
    assert not world.replicas.acknowledged


def test_a_lost_connection_aborts_a_transaction_truly():
    async def story(world: ProxyWorld) -> None:
        session = world.open_session(0, PRIMARY)
        await world.run(session, Begin())
        await world.run(session, Write("a 1"))
        world.replicas.n_answers_to_lose = 1
        lost = await world.run(session, Write("a 2"))
        assert get_kind(lost) is ErrorKind.TRANSACTION_LOST
        assert lost.state is TransactionState.FAILED
        refused = await world.run(session, Read("a"))
        assert get_kind(refused) is ErrorKind.BAD_REQUEST
        ended = await world.run(session, Rollback())
        assert ended.state is TransactionState.IDLE

    world = play(story)
    assert not world.replicas.acknowledged


def test_a_lost_answer_of_a_write_or_commit_promises_nothing():
    async def story(world: ProxyWorld) -> None:
        session = world.open_session(0, PRIMARY)
        world.replicas.n_answers_to_lose = 1
        written = await world.run(session, Write("a 1"))
        assert get_kind(written) is ErrorKind.OUTCOME_UNKNOWN
        await world.run(session, Begin())
        await world.run(session, Write("a 2"))
        world.replicas.n_answers_to_lose = 1
        ended = await world.run(session, Commit())
        assert get_kind(ended) is ErrorKind.OUTCOME_UNKNOWN
        assert ended.state is TransactionState.IDLE

    world = play(story)
    assert len(world.replicas.acknowledged) == 2


def test_a_lost_answer_of_a_read_is_asked_for_again():
    async def story(world: ProxyWorld) -> None:
        for consistency in Consistency:
            session = world.open_session(0, consistency)
            world.replicas.n_answers_to_lose = 1
            read = await world.run(session, Read("a"))
            assert read.error is None

    play(story)


def test_silent_connections_do_not_hold_statements_up():
    async def story(world: ProxyWorld) -> None:
        session = world.open_session(0, BOUNDED)
        for _ in range(3):
            await world.run(session, Read("a"))
        for name in world.replicas.databases:
            world.replicas.silence_connections(name)
        started_at = trio.current_time()
        read = await world.run(session, Read("a"))
        assert read.error is None
        assert trio.current_time() - started_at < 0.8
        await trio.sleep(2.0)
        writer = world.open_session(0, PRIMARY)
        for name in world.replicas.databases:
            world.replicas.silence_connections(name)
        await trio.sleep(1.5)
        assert (await world.run(writer, Write("a 1"))).error is None

    play(story)


def test_a_transaction_that_rests_is_undone_and_its_client_told():
    async def story(world: ProxyWorld) -> None:
        session = world.open_session(0, PRIMARY)
        await world.run(session, Begin())
        await world.run(session, Write("a 1"))
        await trio.sleep(2.0)
        session.expire_idle()
        assert session.state is TransactionState.OPEN
        await trio.sleep(1.5)
        session.expire_idle()
        ended = await world.run(session, Commit())
        assert get_kind(ended) is ErrorKind.TRANSACTION_LOST
        assert ended.state is TransactionState.IDLE
        assert (await world.run(session, Write("a 2"))).error is None

    world = play(story)
    assert [e.writes[0][1] for _, e in world.replicas.acknowledged] == ["2"]


def test_a_dropped_database_is_refused_from_the_next_operation():
    async def story(world: ProxyWorld) -> None:
        session = world.open_session(0, PRIMARY)
        session.database = "never-there"
        refused = await world.run(session, Read("a"))
        assert get_kind(refused) is ErrorKind.UNKNOWN_SERVICE
        refused = await world.run(session, Begin())
        assert get_kind(refused) is ErrorKind.UNKNOWN_SERVICE
        assert session.state is TransactionState.IDLE

    play(story)
