"""Exhaustive exploration of promotion calls that are carried out at any later time.

A primary and two replicas have a log each. A commit is acknowledged once a replica that
is not paused has received it. The holder of the duty pauses the replicas, requests a
promotion with its token, repeats it, and lets replicas receive again. Each call gets an
answer or waits at the platform, which carries it out later if its token is not older
than one it has seen. Primaries go down and come back, and holders die at any moment,
so that only the record remains. Whenever an upstream is promoted, it has to hold every
acknowledged commit.

The platform promotes at once in the model, and a paused replica does not restart.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

import pytest
from msgspec import Struct
from msgspec.structs import replace

from celeryfold.kernel.ids import UpstreamId
from celeryfold.proxy.promotion_calls import PromotionCalls

N_COMMITS = 2
N_CALLS = 5
N_HOLDERS = 3
N_OUTAGES = 3
NAMES = tuple(UpstreamId(name) for name in "pab")

Log = frozenset[int]


class Call(Struct, frozen=True, order=True):
    token: int
    target: UpstreamId


class Knowledge(Struct, frozen=True):
    """What a holder keeps in a :class:`PromotionCalls`."""

    token: int = 0
    target: UpstreamId | None = None
    named: frozenset[UpstreamId] | None = frozenset()
    n_unanswered: int = 0

    def load(self) -> PromotionCalls:
        calls = PromotionCalls()
        calls._token, calls._target, calls._named = self.token, self.target, self.named
        calls._n_unanswered = self.n_unanswered
        return calls


def save(calls: PromotionCalls) -> Knowledge:
    return Knowledge(calls._token, calls._target, calls._named, calls._n_unanswered)


class State(Struct, frozen=True):
    """The service, the platform, the holder and its record.

    :param is_attempt_recorded: whether the record tells that replicas may be paused.
    :param may_be_paused: whether the holder takes replicas for paused.
    """

    leader: UpstreamId = NAMES[0]
    is_leader_up: bool = True
    logs: tuple[Log, Log, Log] = (frozenset(), frozenset(), frozenset())
    acknowledged: Log = frozenset()
    paused: frozenset[UpstreamId] = frozenset()
    seen_token: int = 0
    waiting: frozenset[Call] = frozenset()
    token: int = 1
    last_token: int = 1
    knowledge: Knowledge = Knowledge()
    is_settled_recorded: bool = True
    is_attempt_recorded: bool = False
    may_be_paused: bool = False
    n_written: int = 0
    n_calls: int = 0
    n_holders: int = 1
    n_outages: int = 0
    is_lost: bool = False


class Rules(Struct, frozen=True):
    """The rules in force; a test switches single ones off."""

    has_one_target_per_token: bool = True
    settles_own_calls: bool = True
    settles_calls_of_the_last_holder: bool = True


def list_replicas(state: State) -> list[UpstreamId]:
    return [name for name in NAMES if name != state.leader]


def get_log(state: State, name: UpstreamId) -> Log:
    return state.logs[NAMES.index(name)]


def set_logs(state: State, logs: dict[UpstreamId, Log]) -> State:
    changed = tuple(logs.get(name, get_log(state, name)) for name in NAMES)
    return replace(state, logs=changed)


def promote(state: State, call: Call) -> State:
    """Carry a call out at the platform."""
    if call.token < state.seen_token:
        return state
    state = replace(state, seen_token=call.token)
    if call.target == state.leader:
        return state
    kept = get_log(state, call.target)
    is_lost = state.is_lost or not state.acknowledged <= kept
    logs = {name: get_log(state, name) & kept for name in NAMES}
    promoted = replace(
        set_logs(state, logs), leader=call.target, is_leader_up=True, is_lost=is_lost
    )
    return replace(promoted, paused=state.paused - {call.target})


def step_upstreams(state: State) -> Iterator[State]:
    if state.is_leader_up:
        if state.n_outages < N_OUTAGES:
            yield replace(state, is_leader_up=False, n_outages=state.n_outages + 1)
        yield from step_replication(state)
    else:
        yield replace(state, is_leader_up=True)
    for call in state.waiting:
        yield promote(replace(state, waiting=state.waiting - {call}), call)


def step_replication(state: State) -> Iterator[State]:
    led = get_log(state, state.leader)
    for name in list_replicas(state):
        if name in state.paused:
            continue
        if get_log(state, name) != led:
            yield set_logs(state, {name: led})
        if state.n_written < N_COMMITS:
            commit = frozenset((state.n_written,))
            written = set_logs(state, {state.leader: led | commit, name: led | commit})
            acknowledged = state.acknowledged | commit
            yield replace(
                written, n_written=state.n_written + 1, acknowledged=acknowledged
            )


def step_holder(state: State, rules: Rules) -> Iterator[State]:
    if state.n_holders < N_HOLDERS:
        yield replace_holder(state, rules)
    may_depose = state.knowledge.load().may_depose(state.leader)
    must_settle = may_depose and rules.settles_own_calls
    if not state.is_leader_up or (must_settle and state.may_be_paused):
        yield from step_failover(state, rules)
    elif must_settle:
        yield from request(begin_attempt(state), state.leader, rules)
    elif not state.is_settled_recorded or state.paused or state.may_be_paused:
        yield replace(
            state,
            is_settled_recorded=not may_depose,
            is_attempt_recorded=False,
            may_be_paused=False,
            paused=frozenset(),
        )


def replace_holder(state: State, rules: Rules) -> State:
    """Let the holder die; the next one has a newer token and the record."""
    calls = PromotionCalls()
    is_settled = state.is_settled_recorded or not rules.settles_calls_of_the_last_holder
    calls.restore(is_settled)
    return replace(
        state,
        token=state.last_token + 1,
        last_token=state.last_token + 1,
        n_holders=state.n_holders + 1,
        knowledge=save(calls),
        may_be_paused=state.is_attempt_recorded,
    )


def begin_attempt(state: State) -> State:
    return replace(state, is_settled_recorded=False, is_attempt_recorded=True)


def step_failover(state: State, rules: Rules) -> Iterator[State]:
    """Pause the replicas, or request the promotion of the one that received most."""
    replicas = list_replicas(state)
    if not state.paused.issuperset(replicas):
        begun = replace(begin_attempt(state), may_be_paused=True)
        yield replace(begun, paused=frozenset(replicas))
        return
    chosen = max(replicas, key=lambda name: (len(get_log(state, name)), name))
    yield from request(begin_attempt(state), chosen, rules)


def request(state: State, target: UpstreamId, rules: Rules) -> Iterator[State]:
    """Send a call, which is carried out and answered at once, or waits."""
    if state.n_calls == N_CALLS:
        return
    calls = state.knowledge.load()
    if calls.needs_newer_token(state.token, target) and rules.has_one_target_per_token:
        newer = state.last_token + 1
        state = replace(state, token=newer, last_token=newer)
    calls.record_sent(state.token, target)
    call = Call(state.token, target)
    sent = replace(state, n_calls=state.n_calls + 1, knowledge=save(calls))
    yield replace(sent, waiting=sent.waiting | {call})
    if call.token >= sent.seen_token:
        calls.record_answered(target)
        yield promote(replace(sent, knowledge=save(calls)), call)


def find_loss(rules: Rules) -> State | None:
    """Return a state in which an acknowledged commit is lost, or None."""
    start = State()
    known = {start}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        if state.is_lost:
            return state
        for following in [*step_upstreams(state), *step_holder(state, rules)]:
            if following not in known:
                known.add(following)
                queue.append(following)
    return None


def test_no_late_call_loses_an_acknowledged_commit():
    assert find_loss(Rules()) is None


@pytest.mark.parametrize(
    "rule",
    [
        "has_one_target_per_token",
        "settles_own_calls",
        "settles_calls_of_the_last_holder",
    ],
)
def test_without_any_one_rule_a_late_call_loses_a_commit(rule):
    assert find_loss(replace(Rules(), **{rule: False})) is not None, rule
