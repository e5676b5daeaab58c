"""Exhaustive exploration of a small service with the promotion rules in use.

The model has a primary and two replicas. A commit is acknowledged once a replica that
is not paused has received it; it becomes visible to clients then or later, while the
primary is up. Replicas crash, restart with their log or with empty data as a new
incarnation, and lapse from the list of upstreams. While the store is up, a replica is
listed before it acknowledges commits, and the guardian finds each listing in the
store's history. While the store is down, replicas acknowledge commits without being
listed, and those still running are listed when the store returns. The guardian
refreshes its members, drops covered ones, pauses replicas and promotes one. The
promoted replica has to hold every commit visible to a client.

In a second search the primary and all instances may be lost at the same moment. The
next guardian starts with the record in the store, which the last one wrote after its
own knowledge had changed, and has seen no position of the primary. No commit visible
to a client may be lost then either, and a replica has to be promoted if all replicas
are as they were before.

In a third search single replicas cannot reach the store: a running one lapses from the
list, or one starts without being listed, and both acknowledge commits. The holder of
the duty may be restarted and then knows what the record says. It asks each member whose
address it knows, and dropped ones; one that answers is a member again. Assumed is that
a dropped replica that is back answers once before it ends, as the holder asks it once a
second, and that a holder has written down what it knows when it is killed: it does so
in the step in which that changes.

A promotion takes effect at once in the model, so a replica that restarts between its
pause and the promotion does not occur here. The guardian checks for it.

The check of every acknowledged commit, visible or not, finds a loss: a dropped replica
returns while the store is down, acknowledges a commit alone and crashes, and the
primary crashes before the commit is visible to any client. It is listed in
KNOWN-RED.txt. The last check excludes only the incarnations that end unseen.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import cache

import pytest
from msgspec import Struct
from msgspec.structs import replace

from celeryfold.conftest import count_examples
from celeryfold.kernel.ids import PlaceId, Position, ServiceId, Term, UpstreamId
from celeryfold.proxy.ack_set import AckSet
from celeryfold.proxy.members import Member, ReplicaProgress, choose_successor
from celeryfold.proxy.positions import LogPosition
from celeryfold.proxy.upstream import Upstream

N_COMMITS = 2
N_INCARNATIONS = 2
PRIMARY = Member(UpstreamId("p"), 1)
NAMES = ("a", "b")
ADDRESS = "h:1"


class Replica(Struct, frozen=True, order=True):
    """A replica.

    :param received: the number of commits that it has received.
    :param incarnation: rises with each restart with empty data.
    """

    received: int = 0
    incarnation: int = 1
    is_running: bool = True
    is_listed: bool = True
    is_paused: bool = False


class State(Struct, frozen=True):
    """The service and the knowledge of its guardian.

    :param n_visible: the commits that a client, and so an instance, has seen.
    :param known: the guardian's members, with whether each is missing from the list.
    :param dropped: members that the guardian has dropped and that may come back.
    :param in_doubt: dropped members that may have acknowledged commits unseen.
    :param unread: incarnations listed since the guardian last read the list.
    :param unasked: members whose address the holder does not know.
    :param has_memory: whether the guardian or its peers remember the primary.
    :param recorded: the members in the store's record.
    :param recorded_dropped: the dropped members in the store's record.
    :param stale: dropped members whose entries have not lapsed.
    :param recorded_stale: those of them that the store's record names.
    """

    n_written: int = 0
    n_acknowledged: int = 0
    n_visible: int = 0
    is_leading: bool = True
    is_store_down: bool = False
    replicas: tuple[Replica, Replica] = (Replica(), Replica())
    known: frozenset[tuple[Member, bool]] = frozenset(
        (Member(UpstreamId(name), 1), False) for name in NAMES
    )
    dropped: frozenset[Member] = frozenset()
    in_doubt: frozenset[Member] = frozenset()
    unread: frozenset[Member] = frozenset()
    unasked: frozenset[Member] = frozenset()
    has_memory: bool = True
    recorded: frozenset[Member] = frozenset(
        Member(UpstreamId(name), 1) for name in NAMES
    )
    recorded_dropped: frozenset[Member] = frozenset()
    stale: frozenset[Member] = frozenset()
    recorded_stale: frozenset[Member] = frozenset()


class Rules(Struct, frozen=True):
    """The rules in force; a test switches single ones off to show that each is needed.

    :param n_commits: how many commits the primary may write.
    :param n_incarnations: how many incarnations a replica may have.
    :param loses_all: the primary and all instances may be lost at once. This is an
        event, not a rule.
    :param cuts_replicas: single replicas may be cut off from the store, and the holder
        may be restarted. This is an event, not a rule.
    :param drops_stopped: a replica that is not running is dropped once it is covered,
        though it is listed. This is an event, not a rule.
    :param sees_every_incarnation: leave out incarnations that end before the guardian
        has read the list. This is an assumption about the events, not a rule.
    """

    waits_for_missing: bool = True
    tells_lives_apart: bool = True
    covers_before_dropping: bool = True
    reads_list_first: bool = True
    waits_for_doubted: bool = True
    allows_one_absent: bool = True
    waits_for_dropped: bool = True
    asks_dropped: bool = True
    records_addresses: bool = True
    sees_every_incarnation: bool = False
    loses_all: bool = False
    cuts_replicas: bool = False
    drops_stopped: bool = False
    n_commits: int = N_COMMITS
    n_incarnations: int = N_INCARNATIONS


def set_replica(state: State, index: int, **changes: object) -> State:
    changed = replace(state.replicas[index], **changes)
    first, second = state.replicas
    replicas = (first, changed) if index else (changed, second)
    return replace(state, replicas=replicas)


class GuardianKnowledge(Struct, frozen=True):
    """The part of :class:`State` that the guardian knows."""

    known: frozenset[tuple[Member, bool]]
    dropped: frozenset[Member]
    in_doubt: frozenset[Member]
    stale: frozenset[Member] = frozenset()

    def restore(self) -> AckSet:
        ack_set = AckSet()
        ack_set.restore([m for m, missing in self.known if missing], 0.0)
        present = [m for m, missing in self.known if not missing]
        ack_set.update(make_upstreams(present), 0.0)
        ack_set._dropped = set(self.dropped)
        ack_set._in_doubt_since = dict.fromkeys(self.in_doubt, 1.0)
        ack_set._stale_entries = dict.fromkeys(self.stale, (ADDRESS, False))
        return ack_set

    @property
    def members(self) -> frozenset[Member]:
        return frozenset(member for member, _ in self.known)


def extract_knowledge(ack_set: AckSet) -> GuardianKnowledge:
    missing = set(ack_set.list_missing())
    return GuardianKnowledge(
        frozenset((m, m in missing) for m in ack_set.members),
        frozenset(ack_set._dropped),
        ack_set.in_doubt,
        frozenset(ack_set._stale_entries),
    )


def list_members(state: State) -> tuple[Member, ...]:
    return tuple(
        Member(UpstreamId(name), replica.incarnation)
        for name, replica in zip(NAMES, state.replicas, strict=True)
        if replica.is_listed
    )


def make_upstreams(members: Iterable[Member]) -> list[Upstream]:
    return [
        Upstream(m.upstream_id, ServiceId("s"), ADDRESS, PlaceId("x"), 1, m.born_ms)
        for m in members
    ]


def load_knowledge(state: State) -> GuardianKnowledge:
    return GuardianKnowledge(state.known, state.dropped, state.in_doubt, state.stale)


def refresh(state: State) -> GuardianKnowledge:
    """Apply the incarnations in the store's history, then the current list."""
    return _refresh(load_knowledge(state), state.unread, list_members(state))


@cache
def _refresh(
    before: GuardianKnowledge, unread: frozenset[Member], listed: tuple[Member, ...]
) -> GuardianKnowledge:
    ack_set = before.restore()
    ack_set.update(make_upstreams([*listed, *unread]), 1.0)
    ack_set.update(make_upstreams(listed), 1.0)
    return extract_knowledge(ack_set)


@cache
def record_watch_gap(
    before: GuardianKnowledge, listed: tuple[Member, ...]
) -> GuardianKnowledge:
    """Record a gap in which incarnations may have been missed, then apply the list."""
    ack_set = before.restore()
    ack_set.record_watch_gap(1.0)
    ack_set.update(make_upstreams(listed), 1.0)
    return extract_knowledge(ack_set)


@cache
def drop_covered(
    before: GuardianKnowledge,
    progress: tuple[tuple[Member, int], ...],
    leader_position: int,
    stopped: tuple[Member, ...] = (),
) -> GuardianKnowledge:
    ack_set = before.restore()
    ack_set.record_stopped(dict.fromkeys(stopped, ADDRESS), 1.0)
    positions = {member: make_position(received) for member, received in progress}
    ack_set.drop_covered(
        make_position(leader_position), 2.0, positions, PRIMARY.upstream_id
    )
    return extract_knowledge(ack_set)


@cache
def merge_incarnations(
    before: GuardianKnowledge, listed: tuple[Member, ...]
) -> GuardianKnowledge:
    """Forget earlier incarnations of listed upstreams.

    This is the behaviour without the rule ``tells_lives_apart``.
    """
    ack_set = before.restore()
    names = {member.upstream_id for member in listed}
    for member in ack_set.list_missing():
        if member.upstream_id in names:
            del ack_set._missing_since[member]
    return extract_knowledge(ack_set)


def save_knowledge(state: State, knowledge: GuardianKnowledge) -> State:
    """Store the guardian's knowledge after it has read the whole history."""
    return replace(
        state,
        known=knowledge.known,
        dropped=knowledge.dropped,
        in_doubt=knowledge.in_doubt,
        stale=knowledge.stale,
        unread=frozenset(),
        unasked=state.unasked and state.unasked.difference(list_members(state)),
    )


def make_position(number: int) -> LogPosition:
    return LogPosition(Term(1), Position(number))


def step_service(state: State, rules: Rules) -> Iterator[State]:
    """Yield the states after each event of the databases and of the store."""
    if rules.loses_all and state.has_memory:
        yield lose_all(state)
    if state.is_leading and state.n_written < rules.n_commits:
        yield replace(state, n_written=state.n_written + 1)
    if state.is_leading and state.n_visible < state.n_acknowledged:
        yield replace(state, n_visible=state.n_acknowledged)
    if state.is_leading:
        yield replace(state, is_leading=False)
    for index, replica in enumerate(state.replicas):
        if replica.is_running:
            yield from step_running(state, index, replica, rules)
        else:
            yield from step_stopped(state, index, replica, rules)
    if state.is_store_down:
        yield restore_store(state)
    elif not rules.sees_every_incarnation and not rules.cuts_replicas:
        yield replace(state, is_store_down=True, unread=frozenset())
    if rules.cuts_replicas and not state.unread and is_recorded(state):
        yield restart_holder(state, rules)


def is_recorded(state: State) -> bool:
    """Return whether the record holds what the holder knows."""
    members = load_knowledge(state).members
    recorded = (state.recorded, state.recorded_dropped, state.recorded_stale)
    return recorded == (members, state.dropped, state.stale & state.dropped)


def restart_holder(state: State, rules: Rules) -> State:
    """Restart the holder of the duty; its peers remember the primary."""
    listed = frozenset(list_members(state))
    unlisted = (state.recorded | state.recorded_dropped) - listed
    return replace(
        state,
        known=frozenset((member, True) for member in state.recorded),
        dropped=state.recorded_dropped,
        in_doubt=state.recorded_stale,
        stale=state.recorded_stale,
        unasked=frozenset() if rules.records_addresses else unlisted,
    )


def lose_all(state: State) -> State:
    """Lose the primary and all instances; only the record in the store remains."""
    return replace(
        state,
        is_leading=False,
        has_memory=False,
        known=frozenset((member, True) for member in state.recorded),
        dropped=state.recorded_dropped,
        in_doubt=state.recorded_stale,
        stale=state.recorded_stale,
        unread=frozenset(),
    )


def write_record(state: State) -> State:
    return replace(
        state,
        recorded=frozenset(member for member, _ in state.known),
        recorded_dropped=state.dropped,
        recorded_stale=state.stale & state.dropped,
    )


def step_running(
    state: State, index: int, replica: Replica, rules: Rules
) -> Iterator[State]:
    is_known = replica.is_listed or state.is_store_down or rules.cuts_replicas
    receives = state.is_leading and is_known and not replica.is_paused
    if receives and replica.received < state.n_written:
        n_acknowledged = max(state.n_acknowledged, state.n_written)
        received = set_replica(state, index, received=state.n_written)
        yield replace(received, n_acknowledged=n_acknowledged)
    if rules.cuts_replicas:
        yield from step_cut(state, index, replica)
    member = Member(UpstreamId(NAMES[index]), replica.incarnation)
    has_answered = member not in state.dropped or not rules.asks_dropped
    if has_answered or not rules.cuts_replicas:
        yield set_replica(state, index, is_running=False, is_paused=False)


def step_cut(state: State, index: int, replica: Replica) -> Iterator[State]:
    """Cut a running replica off from the store alone, or end that."""
    if replica.is_listed:
        yield set_replica(state, index, is_listed=False)
    else:
        member = Member(UpstreamId(NAMES[index]), replica.incarnation)
        listed = set_replica(state, index, is_listed=True)
        yield replace(listed, unread=state.unread | {member})


def step_stopped(
    state: State, index: int, replica: Replica, rules: Rules
) -> Iterator[State]:
    member = Member(UpstreamId(NAMES[index]), replica.incarnation)
    is_seen = not replica.is_listed or (member, False) in state.known
    is_seen |= not rules.sees_every_incarnation
    if replica.is_listed and is_seen:
        yield set_replica(state, index, is_listed=False)
    yield start_replica(state, index, replica)
    if rules.cuts_replicas and not replica.is_listed:
        yield set_replica(state, index, is_running=True)
    if is_seen and replica.incarnation < rules.n_incarnations:
        restarted = replace(replica, incarnation=replica.incarnation + 1, received=0)
        yield start_replica(state, index, restarted)


def start_replica(state: State, index: int, replica: Replica) -> State:
    """Start a replica; it is listed at once if the store is up."""
    is_listed = not state.is_store_down
    if state.is_store_down and replica.incarnation == state.replicas[index].incarnation:
        is_listed = replica.is_listed
    started = set_replica(
        state,
        index,
        is_running=True,
        is_listed=is_listed,
        incarnation=replica.incarnation,
        received=replica.received,
    )
    # Without instances nobody reads the history of the list.
    if state.is_store_down or not state.has_memory:
        return started
    member = Member(UpstreamId(NAMES[index]), replica.incarnation)
    if member in state.stale and is_listed:
        # Its entry is there already, so the list does not change.
        return started
    return replace(started, unread=state.unread | {member})


def restore_store(state: State) -> State:
    """Bring the store back: list running replicas and record a gap of the watch."""
    for index, replica in enumerate(state.replicas):
        if replica.is_running:
            state = set_replica(state, index, is_listed=True)
    if not state.has_memory:
        return replace(state, is_store_down=False)
    knowledge = record_watch_gap(refresh(state), list_members(state))
    return replace(save_knowledge(state, knowledge), is_store_down=False)


def step_guardian(state: State, rules: Rules) -> Iterator[State]:
    """Yield the states after each action of the guardian except promotion."""
    knowledge = load_knowledge(state) if state.is_store_down else refresh(state)
    if not rules.tells_lives_apart:
        knowledge = merge_incarnations(knowledge, list_members(state))
    if state.has_memory:
        yield save_knowledge(state, knowledge)
        if (rules.loses_all or rules.cuts_replicas) and not state.is_store_down:
            yield write_record(save_knowledge(state, knowledge))
    is_due = knowledge.in_doubt or any(missing for _, missing in knowledge.known)
    stopped = list_stopped(state) if rules.drops_stopped else ()
    if state.is_leading and (is_due or stopped):
        leader_position = state.n_written if rules.covers_before_dropping else 0
        yield save_knowledge(
            state,
            drop_covered(knowledge, list_progress(state), leader_position, stopped),
        )
    if answering := list_dropped_that_answer(state, knowledge, rules):
        yield save_knowledge(state, readmit(knowledge, answering))
    for index, replica in enumerate(state.replicas):
        if replica.is_running and not replica.is_paused:
            if is_askable(state, index, replica, rules):
                yield set_replica(state, index, is_paused=True)


def list_stopped(state: State) -> tuple[Member, ...]:
    """Return the members that are listed, but not running."""
    return tuple(
        Member(UpstreamId(name), replica.incarnation)
        for name, replica in zip(NAMES, state.replicas, strict=True)
        if replica.is_listed and not replica.is_running
    )


def is_askable(state: State, index: int, replica: Replica, rules: Rules) -> bool:
    """Return whether the holder can send statements to a replica."""
    member = Member(UpstreamId(NAMES[index]), replica.incarnation)
    if replica.is_listed or not rules.cuts_replicas:
        return True
    is_asked = member not in state.dropped or rules.asks_dropped
    return is_asked and member not in state.unasked


def list_dropped_that_answer(
    state: State, knowledge: GuardianKnowledge, rules: Rules
) -> frozenset[Member]:
    if not rules.cuts_replicas or not rules.asks_dropped:
        return frozenset()
    running = {member for member, _ in list_progress(state)}
    return knowledge.dropped & running


@cache
def readmit(
    before: GuardianKnowledge, answering: frozenset[Member]
) -> GuardianKnowledge:
    ack_set = before.restore()
    ack_set.readmit(answering, 1.0)
    return extract_knowledge(ack_set)


def list_progress(state: State) -> tuple[tuple[Member, int], ...]:
    """Return what the running members answer whose addresses are known."""
    members = (
        (Member(UpstreamId(name), replica.incarnation), replica.received)
        for name, replica in zip(NAMES, state.replicas, strict=True)
        if replica.is_running
    )
    if not state.unasked:
        return tuple(members)
    return tuple((m, received) for m, received in members if m not in state.unasked)


def promote(state: State, rules: Rules) -> int | None:
    """Return the commits of the promoted replica, or None if none is promoted."""
    if state.is_store_down:
        return None
    held = {}
    for name, replica in zip(NAMES, state.replicas, strict=True):
        if replica.is_paused:
            member = Member(UpstreamId(name), replica.incarnation)
            held[member] = ReplicaProgress(make_position(replica.received), False)
    if not held:
        return None
    knowledge = refresh(state) if rules.reads_list_first else load_knowledge(state)
    if answering := list_dropped_that_answer(state, knowledge, rules):
        knowledge = readmit(knowledge, answering)
    required = knowledge.members
    if not rules.waits_for_missing:
        required = frozenset(m for m in required if m in held)
    if not rules.tells_lives_apart:
        names = {m.upstream_id for m in held}
        required = frozenset(m for m in required if m.upstream_id not in names)
        required |= frozenset(held)
    in_doubt = knowledge.in_doubt if rules.waits_for_doubted else frozenset()
    if state.has_memory:
        seen = make_position(state.n_visible)
        lost = PRIMARY.upstream_id
        chosen = choose_successor(required, held, lost, in_doubt, seen)
    else:
        required |= {PRIMARY}
        if not rules.allows_one_absent:
            required |= {Member(UpstreamId("nobody"), 1)}
        if rules.waits_for_dropped:
            in_doubt |= knowledge.dropped
        chosen = choose_successor(required, held, None, in_doubt)
    return None if chosen is None else int(held[chosen].received.number)


@cache
def swap_names(members: frozenset[Member]) -> frozenset[Member]:
    return frozenset(swap_name(member) for member in members)


@cache
def swap_known(
    known: frozenset[tuple[Member, bool]],
) -> frozenset[tuple[Member, bool]]:
    return frozenset((swap_name(member), missing) for member, missing in known)


def swap_name(member: Member) -> Member:
    first, second = NAMES
    other = {first: second, second: first}.get(member.upstream_id, member.upstream_id)
    return Member(UpstreamId(other), member.born_ms)


def normalize(state: State) -> State:
    """Swap the replicas if they are out of order.

    States that differ only in the names of the replicas are equivalent, so one of them
    is explored.
    """
    first, second = state.replicas
    if not second < first:
        return state
    return replace(
        state,
        recorded=swap_names(state.recorded),
        recorded_dropped=swap_names(state.recorded_dropped),
        stale=swap_names(state.stale),
        recorded_stale=swap_names(state.recorded_stale),
        replicas=(second, first),
        known=swap_known(state.known),
        dropped=swap_names(state.dropped),
        in_doubt=swap_names(state.in_doubt),
        unread=swap_names(state.unread),
        unasked=state.unasked and swap_names(state.unasked),
    )


def count_visible(state: State) -> int:
    return state.n_visible


def count_acknowledged(state: State) -> int:
    return state.n_acknowledged


def is_stuck(state: State, held: int | None) -> bool:
    """Return whether no replica is promoted although all are as they were before."""
    if state.has_memory or state.is_store_down or held is not None:
        return False
    return all(
        replica.is_running
        and replica.is_listed
        and replica.is_paused
        and replica.incarnation == 1
        for replica in state.replicas
    )


def explore(
    rules: Rules, count_required: Callable[[State], int] = count_visible
) -> list[State] | None:
    """Return a shortest path to a loss or a stuck state, or None if there is none.

    :param count_required: returns how many commits the promoted replica has to hold.
    """
    start = State()
    before: dict[State, State | None] = {start: None}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        held = promote(state, rules)
        if held is not None and held < count_required(state):
            return build_path(before, state)
        if is_stuck(state, held):
            return build_path(before, state)
        if not state.is_leading and not count_required(state):
            continue  # no commit is required, nor will any be
        for step in [*step_service(state, rules), *step_guardian(state, rules)]:
            following = normalize(step)
            if following not in before:
                before[following] = state
                queue.append(following)
    return None


def build_path(before: dict[State, State | None], state: State) -> list[State]:
    path = [state]
    while (earlier := before[path[-1]]) is not None:
        path.append(earlier)
    return path[::-1]


def test_no_order_of_events_loses_an_acknowledged_commit():
    assert explore(Rules(), count_acknowledged) is None


def test_no_order_of_events_loses_a_commit_visible_to_a_client():
    assert explore(Rules()) is None


def test_no_commit_is_lost_while_the_guardian_sees_every_incarnation():
    assert explore(Rules(sees_every_incarnation=True), count_acknowledged) is None


@pytest.mark.parametrize(
    "rule",
    [
        "waits_for_missing",
        "tells_lives_apart",
        "covers_before_dropping",
        "reads_list_first",
        "waits_for_doubted",
    ],
)
def test_without_any_one_rule_a_commit_is_lost(rule):
    path = explore(replace(Rules(), **{rule: False}))
    assert path is not None, rule


LOSES_ALL = Rules(
    loses_all=True, n_commits=1, n_incarnations=count_examples(1, N_INCARNATIONS)
)


@pytest.mark.proof
def test_no_loss_of_all_instances_loses_a_commit_or_prevents_a_promotion():
    assert explore(LOSES_ALL) is None


@pytest.mark.parametrize("rule", ["allows_one_absent", "waits_for_dropped"])
def test_a_loss_of_all_instances_needs_each_rule(rule):
    assert explore(replace(LOSES_ALL, **{rule: False})) is not None, rule


CUTS_REPLICAS = Rules(
    cuts_replicas=True, n_commits=count_examples(1, N_COMMITS), n_incarnations=1
)


# Guards against review cases 2 and 3: replicas without an entry acknowledge commits.
def test_no_replica_that_is_cut_off_from_the_store_alone_takes_a_commit_along():
    assert explore(CUTS_REPLICAS, count_acknowledged) is None


@pytest.mark.parametrize("rule", ["asks_dropped", "records_addresses"])
def test_replicas_cut_off_from_the_store_need_each_rule(rule):
    rules = replace(CUTS_REPLICAS, **{rule: False})
    assert explore(rules) is not None, rule


DROPS_STOPPED = replace(CUTS_REPLICAS, drops_stopped=True, n_commits=1)


# Guards against commits of a replica that was dropped while it was listed, and is back.
def test_no_replica_that_is_dropped_while_it_is_listed_takes_a_commit_along():
    assert explore(DROPS_STOPPED, count_acknowledged) is None


@pytest.mark.parametrize("rule", ["asks_dropped", "covers_before_dropping"])
def test_replicas_dropped_while_they_are_listed_need_each_rule(rule):
    assert explore(replace(DROPS_STOPPED, **{rule: False})) is not None, rule
