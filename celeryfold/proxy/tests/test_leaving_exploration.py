"""Exhaustive exploration of a service while a replica leaves and its log goes along.

The model has a primary, two replicas and room for a fourth database, which starts with
the log of the one that leaves or without a log. Logs are tuples of terms, one for each
commit. A commit is acknowledged once a replica that is not paused has received it. The
holder of the duty pauses the leaving replica, records its final position, lets it
receive again, and promotes a paused replica by calls that may have no answer and take
effect at any time. At any moment it may be lost with all that it knows; the next one
starts with the record in the store and the list of databases. A leaving replica may
crash and come back with its log; assumed is that a holder sees that before the replica
is gone. A primary that crashed comes back as a replica once another one leads. Callers
hear of no commit while an open call names another database, as writes are suspended.

No promotion may lose an acknowledged commit. A replica has to be promoted if the record
tells the final position of the one that has left and a replica that stayed has it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

import pytest
from msgspec import Struct
from msgspec.structs import replace

from celeryfold.conftest import count_examples
from celeryfold.kernel.ids import Position, Term, UpstreamId
from celeryfold.proxy.final_positions import FinalPosition, FinalPositions
from celeryfold.proxy.members import Member, ReplicaProgress, choose_successor
from celeryfold.proxy.positions import LogPosition

Log = tuple[int, ...]
Name = str
NAMES: tuple[Name, ...] = ("p", "a", "b", "c")
LEAVING, STAYING, NEXT = "a", "b", "c"
# The database that comes last may run at the address of the one that left.
ADDRESSES = {"p": "1", "a": "2", "b": "3", "c": "2"}


class Database(Struct, frozen=True):
    """A database; one that has left or has not joined does not run."""

    log: Log = ()
    is_running: bool = True
    is_paused: bool = False


class Record(Struct, frozen=True):
    """What the next holder finds in the store."""

    members: frozenset[Name] = frozenset(("p", "a", "b"))
    finals: frozenset[tuple[Name, LogPosition]] = frozenset()
    targets: frozenset[Name] = frozenset()
    dropped: frozenset[Name] = frozenset()


class State(Struct, frozen=True):
    """The service, the calls at the platform and the knowledge of the holder.

    :param leader: the database that leads, running or not.
    :param acknowledged: the log up to the last commit that was acknowledged.
    :param held: the members that the holder has paused in its attempt.
    :param lost: the former primary if the holder knows it.
    :param calls: the targets of calls that may take effect.
    """

    databases: tuple[Database, ...] = (
        Database(),
        Database(),
        Database(),
        Database(is_running=False),
    )
    leader: Name = "p"
    term: int = 1
    acknowledged: Log = ()
    is_leaving: bool = False
    has_left: bool = False
    memory: Record = Record()
    record: Record = Record()
    held: frozenset[Name] = frozenset()
    lost: Name | None = "p"
    calls: frozenset[Name] = frozenset()
    n_restarts: int = 0
    n_holders: int = 1
    n_calls: int = 0
    is_lost: bool = False

    def find(self, name: Name) -> Database:
        return self.databases[NAMES.index(name)]


class Rules(Struct, frozen=True):
    """The rules in force; a test switches single ones off to show that each is needed.

    :param n_commits: how many commits primaries may write.
    :param n_holders: how many holders there may be, one after the other.
    :param n_calls: how many promotion calls may be sent.
    """

    pauses_leaving: bool = True
    compares_positions: bool = True
    records_before_resuming: bool = True
    ends_with_promotion: bool = True
    counts_targets: bool = True
    n_commits: int = 2
    n_holders: int = 2
    n_calls: int = 2


def change(state: State, name: Name, **changes: object) -> State:
    databases = list(state.databases)
    index = NAMES.index(name)
    databases[index] = replace(databases[index], **changes)
    return replace(state, databases=tuple(databases))


def find_position(log: Log) -> LogPosition:
    return LogPosition(Term(log[-1] if log else 1), Position(len(log)))


def make_member(name: Name) -> Member:
    return Member(UpstreamId(name), 1)


def step_databases(state: State, rules: Rules) -> Iterator[State]:
    """Yield the states after each event of the databases and of the platform."""
    leader = state.find(state.leader)
    is_suspended = bool(state.calls - {state.leader})
    if leader.is_running and len(leader.log) < rules.n_commits and not is_suspended:
        yield change(state, state.leader, log=(*leader.log, state.term))
    for name in NAMES:
        database = state.find(name)
        receives = database.is_running and not database.is_paused
        if leader.is_running and receives and name != state.leader:
            received = change(state, name, log=leader.log)
            heard = state.acknowledged if is_suspended else leader.log
            yield replace(received, acknowledged=heard)
    if leader.is_running:
        yield change(state, state.leader, is_running=False, is_paused=False)
    if state.leader != "p" and not state.find("p").is_running:
        # A primary that crashed comes back with its log once another leads.
        yield replace(
            change(state, "p", is_running=True), memory=add(state.memory, "p")
        )
    if not state.is_leaving:
        yield replace(state, is_leaving=True)
    if state.is_leaving and not state.has_left and state.leader != LEAVING:
        yield from leave(state)
    if state.find(LEAVING).is_running and state.is_leaving and not state.n_restarts:
        if state.leader != LEAVING:
            yield restart_leaving(state)
    for target in state.calls:
        yield promote(state, target, rules)


def leave(state: State) -> Iterator[State]:
    """Let the log go: for good, or to the next database, which may be empty."""
    left = state.find(LEAVING).log
    gone = change(state, LEAVING, is_running=False, is_paused=False, log=())
    gone = replace(gone, has_left=True, held=state.held - {LEAVING})
    yield gone
    for log in {left, ()}:
        joined = change(gone, NEXT, is_running=True, log=log)
        yield replace(joined, memory=add(joined.memory, NEXT))


def add(memory: Record, name: Name) -> Record:
    """Add a database that is listed, or that answers after it was dropped."""
    return replace(
        memory, members=memory.members | {name}, dropped=memory.dropped - {name}
    )


def restart_leaving(state: State) -> State:
    """Let the leaving replica crash and come back; the holder records that."""
    state = change(state, LEAVING, is_paused=False)
    return replace(
        state,
        n_restarts=1,
        held=state.held - {LEAVING},
        memory=replace(state.memory, finals=frozenset()),
        record=replace(state.record, finals=frozenset()),
    )


def promote(state: State, target: Name, rules: Rules) -> State:
    """Let a call take effect: all members receive again."""
    promoted = state.find(target)
    if not promoted.is_running or target == state.leader:
        return replace(state, calls=state.calls - {target})
    n_kept = len(state.acknowledged)
    databases = tuple(replace(d, is_paused=False) for d in state.databases)
    return replace(
        state,
        databases=databases,
        leader=target,
        term=state.term + 1,
        calls=state.calls - {target},
        held=frozenset(),
        is_lost=promoted.log[:n_kept] != state.acknowledged,
    )


def step_holder(state: State, rules: Rules) -> Iterator[State]:
    """Yield the states after each action of the holder of the duty."""
    if state.n_holders < rules.n_holders:
        known = state.record
        for name in NAMES:
            known = add(known, name) if state.find(name).is_running else known
        yield replace(
            state,
            n_holders=state.n_holders + 1,
            memory=known,
            held=frozenset(),
            lost=None,
        )
    if state.record != state.memory:
        yield replace(state, record=state.memory)
    leader = state.find(state.leader)
    if leader.is_running:
        yield from step_beside_leader(state, leader, rules)
    else:
        yield from step_attempt(state, rules)


def step_beside_leader(state: State, leader: Database, rules: Rules) -> Iterator[State]:
    memory = state.memory
    is_settled = not memory.targets and state.lost == state.leader
    if not is_settled and not state.calls - {state.leader}:
        # The holder has seen who leads, and that its calls are settled.
        finals = frozenset() if rules.ends_with_promotion else memory.finals
        settled = replace(memory, targets=frozenset(), finals=finals)
        yield replace(state, memory=settled, lost=state.leader, held=frozenset())
    leaving = state.find(LEAVING)
    if is_settled and state.is_leaving and leaving.is_running:
        yield from step_leaving(state, leaving, rules)
    running = {name for name in memory.members if state.find(name).is_running}
    replicas = running - {state.leader}
    gone = memory.members - running
    if is_settled and any(state.find(name).log == leader.log for name in replicas):
        for name in gone:
            yield replace(state, memory=drop(memory, name))


def drop(memory: Record, name: Name) -> Record:
    """Drop a member that others stand in for; only the one that left is forgotten."""
    return replace(
        memory,
        members=memory.members - {name},
        finals=frozenset(f for f in memory.finals if f[0] != name),
        dropped=memory.dropped | ({name} - {LEAVING}),
    )


def step_leaving(state: State, leaving: Database, rules: Rules) -> Iterator[State]:
    """Pause the leaving replica, or let it receive again."""
    if state.leader == LEAVING or not rules.pauses_leaving:
        return
    memory = state.memory
    if not memory.finals:
        paused = change(state, LEAVING, is_paused=True)
        final = frozenset({(LEAVING, find_position(leaving.log))})
        yield replace(paused, memory=replace(memory, finals=final))
    else:
        yield replace(state, memory=replace(memory, finals=frozenset()))
    is_recorded = not memory.finals and not state.record.finals
    if leaving.is_paused and (is_recorded or not rules.records_before_resuming):
        yield change(state, LEAVING, is_paused=False)


def step_attempt(state: State, rules: Rules) -> Iterator[State]:
    """Pause members and request the promotion of the one to choose."""
    for name in state.memory.members:
        database = state.find(name)
        if database.is_running and name not in state.held and name != state.leader:
            paused = change(state, name, is_paused=True)
            yield replace(paused, held=state.held | {name})
    chosen = choose(state, rules)
    if chosen is None or state.n_calls == rules.n_calls:
        return
    memory = replace(state.memory, targets=state.memory.targets | {chosen})
    if state.record.targets >= memory.targets:
        yield replace(state, calls=state.calls | {chosen}, n_calls=state.n_calls + 1)
    else:
        yield replace(state, memory=memory, record=memory)


def choose(state: State, rules: Rules) -> Name | None:
    """Return the member that the holder would promote, or None."""
    held = {
        make_member(name): ReplicaProgress(
            find_position(state.find(name).log), state.is_leaving and name == LEAVING
        )
        for name in state.held
    }
    finals = FinalPositions()
    finals.restore(
        FinalPosition(
            UpstreamId(name),
            1,
            position if rules.compares_positions else find_position(()),
        )
        for name, position in state.memory.finals
    )
    named = frozenset(UpstreamId(name) for name in state.memory.targets)
    chosen = choose_successor(
        [make_member(name) for name in state.memory.members],
        held,
        None if state.lost is None else UpstreamId(state.lost),
        # Without a position of a primary, dropped members are waited for.
        [make_member(n) for n in state.memory.dropped if state.lost is None],
        None if state.lost is None else find_position(()),
        address_of={make_member(name): ADDRESSES[name] for name in NAMES},
        final_positions=finals.find_valid(
            named if rules.counts_targets else frozenset(), list(held)
        ),
    )
    return None if chosen is None else Name(chosen.upstream_id)


def is_stuck(state: State, rules: Rules) -> bool:
    """Return whether no replica is promoted though one that stayed holds all.

    This is so for a holder without memory after a replica has left that was leaving for
    long enough: all its commits are at the one that stayed, and the record was written.
    """
    staying = state.find(STAYING)
    return (
        state.lost is None
        and not state.find(state.leader).is_running
        and state.leader == "p"
        and state.has_left
        and not state.find(NEXT).is_running
        and not state.n_restarts
        and not state.memory.targets
        and (bool(state.memory.finals) or not rules.pauses_leaving)
        and state.held == {STAYING}
        and staying.log == state.acknowledged
        and all(final <= find_position(staying.log) for _, final in state.memory.finals)
        and choose(state, rules) is None
    )


def find_fault(
    rules: Rules, is_fault: Callable[[State], bool]
) -> tuple[list[State], int]:
    """Return a shortest path to a fault and the number of states visited."""
    before: dict[State, State | None] = {State(): None}
    queue = deque([State()])
    while queue:
        state = queue.popleft()
        if is_fault(state):
            path = [state]
            while (earlier := before[path[-1]]) is not None:
                path.append(earlier)
            return path[::-1], len(before)
        if state.is_lost:
            continue
        for following in [*step_databases(state, rules), *step_holder(state, rules)]:
            if following not in before:
                before[following] = state
                queue.append(following)
    return [], len(before)


def find_loss_or_wait(rules: Rules) -> list[State]:
    path, _ = find_fault(rules, lambda s: s.is_lost or is_stuck(s, rules))
    return path


RULES = Rules(n_commits=count_examples(1, 2), n_holders=2)


def test_no_departure_of_a_log_loses_a_commit_or_prevents_a_promotion():
    assert not find_loss_or_wait(RULES)


# Guards against review case 8.
def test_without_a_pause_a_leaving_replica_is_waited_for_without_an_end():
    path = find_loss_or_wait(replace(RULES, pauses_leaving=False))
    assert path and not path[-1].is_lost


@pytest.mark.parametrize(
    "rule",
    [
        "compares_positions",
        "records_before_resuming",
        "ends_with_promotion",
        "counts_targets",
    ],
)
def test_without_any_one_rule_for_final_positions_a_commit_is_lost(rule):
    path, _ = find_fault(replace(RULES, **{rule: False}), lambda s: s.is_lost)
    assert path, rule
