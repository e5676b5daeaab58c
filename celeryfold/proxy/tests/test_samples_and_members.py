"""Rules of samples, members and error kinds that reads and promotions depend on."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from celeryfold.kernel.errors import ERROR_RESPONSES, Ran
from celeryfold.kernel.ids import PlaceId, Position, ServiceId, Term, UpstreamId
from celeryfold.proxy.ack_set import AckSet
from celeryfold.proxy.answers import ERROR_KINDS, FailureCause, SentRequest
from celeryfold.proxy.calls import OwnWrite
from celeryfold.proxy.directory import MISSING_GRACE_S, Directory, Listing
from celeryfold.proxy.members import (
    Member,
    ReplicaProgress,
    choose_caught_up,
    choose_successor,
)
from celeryfold.proxy.positions import LogPosition
from celeryfold.proxy.reads import find_required_position
from celeryfold.proxy.samples import LEADER_TIMEOUT_S, Sample, SampleHistory
from celeryfold.proxy.upstream import Upstream

SERVICE = ServiceId("orders")
NAMES = [UpstreamId(f"u{n}") for n in range(4)]


def at(term: int, number: int) -> LogPosition:
    return LogPosition(Term(term), Position(number))


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_every_ending_has_an_answer_that_states_whether_it_ran():
    assert set(ERROR_KINDS) == {
        (sent, cause) for sent in SentRequest for cause in FailureCause
    }
    may_have_effect = {SentRequest.WRITE, SentRequest.COMMIT_OF_WRITES}
    for (sent, _), kind in ERROR_KINDS.items():
        expected = Ran.UNKNOWN if sent in may_have_effect else Ran.NO
        assert ERROR_RESPONSES[kind].ran is expected


def test_a_bound_is_the_oldest_sample_that_is_young_enough():
    clock = Clock()
    samples = SampleHistory(clock)
    for number, taken_at in enumerate([96.0, 97.0, 98.0, 99.0]):
        samples.add(SERVICE, Sample(NAMES[0], at(1, number), taken_at))
    bound = samples.find_freshness_bound(SERVICE, 97.5)
    assert bound is not None
    assert bound.position == at(1, 2)
    assert samples.find_freshness_bound(SERVICE, 99.5) is None


def test_a_sample_of_an_old_term_bounds_no_read_once_a_newer_term_is_known():
    clock = Clock()
    samples = SampleHistory(clock)
    samples.add(SERVICE, Sample(NAMES[0], at(1, 50), 98.0))
    samples.add(SERVICE, Sample(NAMES[1], at(2, 40), 99.0))
    bound = samples.find_freshness_bound(SERVICE, 97.0)
    assert bound is not None
    assert bound.position == at(2, 40)


def test_a_primary_that_denies_leadership_or_times_out_is_not_the_leader():
    clock = Clock()
    samples = SampleHistory(clock)
    samples.add(SERVICE, Sample(NAMES[0], at(1, 1), 100.0))
    assert samples.find_leader(SERVICE) == NAMES[0]
    clock.now += LEADER_TIMEOUT_S + 0.1
    assert samples.find_leader(SERVICE) is None
    samples.add(SERVICE, Sample(NAMES[0], at(1, 1), clock.now))
    clock.now += 0.1
    samples.record_not_leader(SERVICE, NAMES[0])
    assert samples.find_leader(SERVICE) is None
    samples.add(SERVICE, Sample(NAMES[1], at(2, 1), clock.now + 0.1))
    assert samples.find_leader(SERVICE) == NAMES[1]


def test_an_older_sample_that_arrives_late_changes_no_leader():
    samples = SampleHistory(Clock())
    samples.add(SERVICE, Sample(NAMES[1], at(2, 1), 99.9))
    samples.add(SERVICE, Sample(NAMES[0], at(1, 9), 99.0))
    assert samples.find_leader(SERVICE) == NAMES[1]


def test_own_writes_are_needed_until_a_sample_covers_them():
    own = OwnWrite(at(1, 70), 50.0)
    assert find_required_position(Sample(NAMES[0], at(1, 60), 49.0), own) == at(1, 70)
    assert find_required_position(Sample(NAMES[0], at(1, 65), 51.0), own) == at(1, 65)
    assert find_required_position(Sample(NAMES[1], at(2, 60), 51.0), own) == at(2, 60)
    assert find_required_position(Sample(NAMES[0], at(1, 60), 49.0), None) == at(1, 60)


def make_upstream(name: UpstreamId, born_ms: int = 1) -> Upstream:
    return Upstream(name, SERVICE, "10.0.0.1:1", PlaceId("a"), 2, born_ms)


def test_a_missing_upstream_is_kept_for_a_moment():
    clock = Clock()
    directory = Directory(clock)
    both = (make_upstream(NAMES[0]), make_upstream(NAMES[1]))
    directory.adopt(Listing(5, both), "store")
    directory.adopt(Listing(6, both[:1]), "store")
    directory.expire()
    assert len(directory.list_all()) == 2
    clock.now += MISSING_GRACE_S + 0.1
    directory.expire()
    assert directory.list_all() == [both[0]]
    assert not directory.adopt(Listing(5, both), "peer")


acks = st.lists(
    st.tuples(st.sampled_from([1, 2, 3]), st.integers(1, 3)), min_size=1, max_size=12
)


@given(acks, st.sets(st.sampled_from([1, 2, 3])))
def test_the_promoted_replica_holds_every_acknowledged_commit(history, silent):
    """Each commit is received by at least one replica; some replicas do not answer."""
    received = {1: 0, 2: 0, 3: 0}
    acknowledged = 0
    for replica, n_commits in history:
        acknowledged += n_commits
        received[replica] = acknowledged
    ack_set = AckSet()
    ack_set.update([make_upstream(name) for name in NAMES], 0.0)
    held = {
        Member(NAMES[number], 1): ReplicaProgress(at(1, n), False)
        for number, n in received.items()
        if number not in silent
    }
    chosen = choose_successor(ack_set.members, held, NAMES[0])
    if silent:
        assert chosen is None
    else:
        assert chosen is not None
        assert held[chosen].received >= at(1, acknowledged)


shared_acks = st.lists(
    st.tuples(st.sets(st.sampled_from([1, 2, 3]), min_size=1), st.integers(1, 3)),
    min_size=1,
    max_size=8,
)


# Guards against a promotion without what a replica acknowledged after a RESUME that had
# no answer and was executed late.
@given(shared_acks, acks, st.sets(st.sampled_from([1, 2, 3])), st.booleans())
def test_the_promoted_replica_holds_what_a_late_resume_lets_others_receive(
    history, later, may_resume, is_primary_paused
):
    received = dict.fromkeys(range(4), 0)
    for replicas, n_commits in history:
        received[0] += n_commits
        received |= dict.fromkeys(replicas, received[0])
    held = {
        Member(NAMES[number], 1): ReplicaProgress(at(1, n), False)
        for number, n in received.items()
        if number or is_primary_paused
    }
    resuming = {Member(NAMES[number], 1) for number in may_resume}
    ack_set = AckSet()
    ack_set.update([make_upstream(name) for name in NAMES], 0.0)
    chosen = choose_successor(ack_set.members, held, NAMES[0], may_resume=resuming)
    first = max(held, key=lambda m: (held[m].received, m in resuming))
    n_absent = len(resuming - {first}) + (not is_primary_paused)
    assert (chosen is None) == (n_absent > 1)
    if chosen is None:
        return
    for replica, n_commits in later:
        if replica in may_resume:
            # A paused primary acknowledges nothing.
            received[0] += 0 if is_primary_paused else n_commits
            received[replica] = received[0]
    acknowledged = max(received[number] for number in range(1, 4))
    assert received[NAMES.index(chosen.upstream_id)] >= acknowledged


def test_a_replica_that_stays_is_preferred_only_where_nothing_is_lost():
    leaving, staying = Member(NAMES[1], 1), Member(NAMES[2], 1)
    held = {
        leaving: ReplicaProgress(at(1, 9), True),
        staying: ReplicaProgress(at(1, 9), False),
    }
    assert choose_successor(held, held) == staying
    held[leaving] = ReplicaProgress(at(1, 10), True)
    assert choose_successor(held, held) == leaving
    assert choose_caught_up(at(1, 10), held) is None
    held[staying] = ReplicaProgress(at(1, 10), False)
    assert choose_caught_up(at(1, 10), held) == staying


def test_a_member_is_dropped_only_when_another_reached_what_came_after_it():
    ack_set = AckSet()
    ack_set.update([make_upstream(name) for name in NAMES[:3]], 0.0)
    ack_set.update([make_upstream(name) for name in NAMES[:2]], 10.0)
    missing = Member(NAMES[2], 1)
    leader = NAMES[0]
    reached = {Member(NAMES[0], 1): at(1, 99), Member(NAMES[1], 1): at(1, 50)}
    assert not ack_set.drop_covered(at(1, 50), 9.0, reached, leader)
    assert not ack_set.drop_covered(at(1, 51), 11.0, reached, leader)
    assert ack_set.drop_covered(at(1, 50), 11.0, reached, leader) == [missing]
    assert missing not in ack_set.members


def test_a_missing_member_that_answers_is_not_dropped():
    ack_set = AckSet()
    ack_set.update([make_upstream(name) for name in NAMES[:3]], 0.0)
    ack_set.update([make_upstream(name) for name in NAMES[:2]], 10.0)
    reached = {Member(name, 1): at(1, 50) for name in NAMES[:3]}
    assert not ack_set.drop_covered(at(1, 50), 11.0, reached, NAMES[0])
    ack_set.update([make_upstream(NAMES[0]), make_upstream(NAMES[1])], 12.0)
    ack_set.update([make_upstream(NAMES[2], 2), make_upstream(NAMES[1])], 13.0)
    dropped = ack_set.drop_covered(at(1, 50), 14.0, reached, NAMES[0])
    assert Member(NAMES[2], 1) in dropped


def test_a_dropped_member_is_in_doubt_after_a_watch_gap_until_another_caught_up():
    ack_set = AckSet()
    ack_set.update([make_upstream(name) for name in NAMES[:3]], 0.0)
    ack_set.update([make_upstream(name) for name in NAMES[:2]], 10.0)
    missing = Member(NAMES[2], 1)
    reached = {Member(NAMES[1], 1): at(1, 50)}
    ack_set.drop_covered(at(1, 50), 11.0, reached, NAMES[0])
    assert not ack_set.in_doubt
    ack_set.record_watch_gap(20.0)
    assert ack_set.in_doubt == {missing}
    ack_set.drop_covered(at(1, 51), 21.0, reached, NAMES[0])
    assert ack_set.in_doubt == {missing}
    ack_set.drop_covered(at(1, 50), 21.0, reached, NAMES[0])
    assert not ack_set.in_doubt


def test_a_member_that_announced_its_leaving_is_never_in_doubt():
    ack_set = AckSet()
    leaving = msgspec.structs.replace(make_upstream(NAMES[2]), is_leaving=True)
    ack_set.update([leaving, make_upstream(NAMES[1])], 0.0)
    ack_set.update([make_upstream(NAMES[1])], 10.0)
    reached = {Member(NAMES[1], 1): at(1, 50)}
    assert ack_set.drop_covered(at(1, 50), 11.0, reached, NAMES[0])
    ack_set.record_watch_gap(20.0)
    assert not ack_set.in_doubt


def test_a_member_dropped_by_an_earlier_holder_is_kept_if_listed_since():
    ack_set = AckSet()
    missing, back = Member(NAMES[1], 1), Member(NAMES[2], 1)
    ack_set.update([make_upstream(name) for name in NAMES[:3]], 0.0, 10)
    ack_set.update([make_upstream(NAMES[0]), make_upstream(NAMES[2])], 1.0, 20)
    ack_set.update([make_upstream(NAMES[0])], 2.0, 30)
    assert ack_set.restore([Member(NAMES[0], 1)], 3.0, as_of=15) == [missing]
    assert back in ack_set.members


def test_an_upstream_restarted_with_empty_data_is_another_member():
    ack_set = AckSet()
    ack_set.update([make_upstream(NAMES[0], 1)], 0.0)
    assert ack_set.update([make_upstream(NAMES[0], 2)], 5.0)
    assert ack_set.list_missing() == [Member(NAMES[0], 1)]
    assert len(ack_set.members) == 2


# Guards against a service that waits for good for the former ids of an upstream that
# has come back at its address again and again.
def test_all_incarnations_at_one_address_may_be_absent():
    first, second, third, back = (
        Member(UpstreamId(name), 1) for name in ("a", "b", "c", "a-again")
    )
    members = {first, second, third, back}
    address_of = {first: "h:1", back: "h:1", second: "h:2", third: "h:3"}
    progress = ReplicaProgress(LogPosition(Term(1), Position(5)), False)
    held = {second: progress, third: progress}
    lost = back.upstream_id
    assert choose_successor(members, held, lost) is None
    assert choose_successor(members, held, lost, address_of=address_of) in held
    del held[third]
    assert choose_successor(members, held, lost, address_of=address_of) is None
    held[back] = progress
    assert choose_successor(members, held, None, address_of=address_of) is None
