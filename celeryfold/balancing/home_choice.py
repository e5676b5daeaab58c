"""The choice among the homes of an upstream, from delayed reports of their load."""

from __future__ import annotations

__all__ = ["ChoiceKind", "ChosenHome", "choose_home"]

import random
from collections.abc import Mapping, Sequence
from enum import Enum

import msgspec

from ..accounts import NO_ACCOUNT
from ..kernel.ids import AccountId, InstanceId, UpstreamId
from ..kernel.rendezvous import compute_weight
from .load_reports import REPORT_LIFETIME_S, HomeEstimate

N_CANDIDATES = 2
# With a longer wait at both candidates, all homes are considered: it is longer than the
# statements that another connection costs.
MAX_CANDIDATE_WAIT_S = 0.050
# A smaller gain does not justify another home. At a home where an account has no
# connection, opening one takes 12 ms, and estimates differ by chance.
MIN_GAIN_S = 0.005
# All statements leave a home if its queue is longer by this time. The time grows with
# the age of the reports, since more statements follow a report before the next one;
# with a shorter time, instances overshoot together and the queues swing.
QUEUE_RESPONSE_S = 0.050
QUEUE_RESPONSE_PER_AGE = 0.1
# Probability of trying a home of which nothing is known while the wait at both
# candidates is long: an instance that sends only to these learns of no other.
EXPLORATION_SHARE = 0.25


class ChoiceKind(Enum):
    """Why a home was chosen."""

    FIRST = "first"
    SECOND = "second"
    ANY = "any"


class ChosenHome(msgspec.Struct, frozen=True):
    """A home, and whether it is the first candidate, the second one or another."""

    home: InstanceId
    kind: ChoiceKind


def choose_home(
    upstream_id: UpstreamId,
    homes: Sequence[InstanceId],
    account: AccountId,
    estimates: Mapping[InstanceId, HomeEstimate],
    rng: random.Random,
) -> ChosenHome:
    """Choose the home that runs a statement.

    The choice is random, and the probability of leaving a home grows with the gain. If
    all instances used the shortest wait, those that act on the same delayed reports
    would move together, and the load would swing between homes.

    :param homes: the homes that may be used, at least one.
    :param account: the account of the statement; its candidates are the same at all
        instances, so that its connections are at few homes.
    :param estimates: the expected times at the homes, empty if nothing is known.
    """
    candidates = _find_candidates(upstream_id, homes, account, rng)
    chosen = ChosenHome(candidates[0], ChoiceKind.FIRST)
    if not estimates or len(candidates) < N_CANDIDATES:
        return chosen
    first, second = (estimates[home] for home in candidates)
    if rng.random() < _find_share(first, second):
        chosen = ChosenHome(candidates[1], ChoiceKind.SECOND)
    if min(first.wait_s, second.wait_s) <= MAX_CANDIDATE_WAIT_S:
        return chosen
    other = _draw_other(homes, chosen.home, estimates, rng)
    best = min(first, second, key=lambda estimate: estimate.total_s)
    share = _find_share(best, estimates[other])
    staleness = estimates[other].age_s / REPORT_LIFETIME_S
    if rng.random() < max(share, EXPLORATION_SHARE * staleness):
        return ChosenHome(other, ChoiceKind.ANY)
    return chosen


def _find_candidates(
    upstream_id: UpstreamId,
    homes: Sequence[InstanceId],
    account: AccountId,
    rng: random.Random,
) -> list[InstanceId]:
    if account == NO_ACCOUNT:
        return rng.sample(homes, min(N_CANDIDATES, len(homes)))
    key = f"{upstream_id}|{account}"
    ranked = sorted(homes, key=lambda home: compute_weight(key, home), reverse=True)
    return ranked[:N_CANDIDATES]


def _find_share(present: HomeEstimate, other: HomeEstimate) -> float:
    """Return the share of statements that should go to another home.

    It may be outside 0 to 1. Statements that leave a home shorten its queue, so the
    part for the queues is proportional to their difference. The other times do not
    depend on the choice, so the part for them may be steep.
    """
    share = _compare_times(present.unqueued_s, other.unqueued_s)
    age_s = max(present.age_s, other.age_s)
    response_s = QUEUE_RESPONSE_S + QUEUE_RESPONSE_PER_AGE * age_s
    return share + (present.queue_s - other.queue_s) / response_s


def _compare_times(present_s: float, other_s: float) -> float:
    """Return a number from -1 to 1: positive if the other time is shorter.

    It is 0 if both are about equal and 0.7 if the other one is about half as long.
    """
    shorter_s, longer_s = sorted((present_s, other_s))
    if shorter_s + MIN_GAIN_S >= longer_s:
        return 0.0
    gain = 1.0 - ((shorter_s + MIN_GAIN_S) / longer_s) ** 2
    return gain if other_s < present_s else -gain


def _draw_other(
    homes: Sequence[InstanceId],
    present: InstanceId,
    estimates: Mapping[InstanceId, HomeEstimate],
    rng: random.Random,
) -> InstanceId:
    """Draw one of the other homes, mostly one where the expected time is short."""
    others = [home for home in homes if home != present]
    weights = [max(estimates[home].total_s, MIN_GAIN_S) ** -2 for home in others]
    return rng.choices(others, weights)[0]
