"""The instances as the rate limits see them: ranking by account, and who is missing."""

from __future__ import annotations

__all__ = ["Fleet", "MissingMember", "RecordedInstance", "Sighting"]

import math
from collections.abc import Callable, Iterable, Sequence

import msgspec

from ..kernel.ids import AccountId, InstanceId, RegionId
from ..kernel.rendezvous import compute_weight

# The longest time that the news of an instance that is alive takes to reach all others:
# the time after which instances of another region are regarded as lost.
MAX_VIEW_LAG_S = 7.0
# An instance is missing, which lowers the rate that others grant, once it has not been
# seen for this time.
MISSING_AFTER_S = MAX_VIEW_LAG_S
# An instance is replaced only after this time. An instance on the other side of a
# partition has then noticed it, even if it got its last news one lag later.
REPLACED_AFTER_S = MISSING_AFTER_S + MAX_VIEW_LAG_S
# A started instance sees those that run within this time.
EXPECTED_WITHIN_S = 1.6
# Instances that are missing count as cut off for this time, and as ended later. It is
# longer than usual partitions, and shorter than operators take to replace instances.
FORGOTTEN_AFTER_S = 120.0
# Coordinators of each region. With all instances as coordinators, 85 accounts exchanged
# leases over 85 links, mostly between regions, and each instance opened a link to
# each coordinator for its first token.
N_MIN_COORDINATORS = 6
N_INSTANCES_PER_COORDINATOR = 16
# Coordinators of each account. After the loss of any of them, the others grant their
# parts of the rate: two of three after the loss of one, and one after that of two.
N_RANKED = 3
# Key by which the coordinators of a region are chosen.
COORDINATOR_KEY = "rate coordinators"


class Sighting(msgspec.Struct, frozen=True):
    """An instance and when it was last seen.

    :param address: the address on which other instances connect.
    :param last_seen_at: in seconds of this instance's clock.
    :param is_leaving: whether it is draining before it stops.
    """

    instance_id: InstanceId
    address: str
    region: RegionId | None
    last_seen_at: float
    is_leaving: bool


class MissingMember(msgspec.Struct, frozen=True, array_like=True):
    """An instance that another one misses, as told to an instance with less memory.

    :param age_s: seconds since it was last seen.
    """

    instance_id: InstanceId
    address: str
    region: RegionId | None
    age_s: float


class RecordedInstance(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An instance in the record that the store keeps for instances that start."""

    instance_id: InstanceId
    address: str
    region: RegionId | None


class Fleet:
    """The instances known to this one, for the choice of rate coordinators.

    :param clock: returns the current time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._members: dict[InstanceId, Sighting] = {}
        self._left_at: dict[InstanceId, float] = {}
        self._candidates: frozenset[InstanceId] = frozenset()
        self._ranked: dict[AccountId, tuple[Sighting, ...]] = {}
        self._coordinators: list[Sighting] | None = None
        self._reached_share = 1.0
        self._lowest_share_at = clock() - MAX_VIEW_LAG_S

    def update(self, sightings: Iterable[Sighting]) -> None:
        """Apply the sightings of all known instances, this one included."""
        now = self._clock()
        for sighting in sightings:
            self._merge(sighting, now)
        forgotten = [
            instance_id
            for instance_id, member in self._members.items()
            if now - member.last_seen_at > FORGOTTEN_AFTER_S
        ]
        for instance_id in forgotten:
            del self._members[instance_id]
        for instance_id, left_at in list(self._left_at.items()):
            if now - left_at > MAX_VIEW_LAG_S:
                del self._left_at[instance_id]
        self._choose_candidates(now)
        self._update_reached_share(now)

    def _merge(self, sighting: Sighting, now: float) -> None:
        instance_id = sighting.instance_id
        if sighting.is_leaving:
            self._members.pop(instance_id, None)
            return
        if instance_id in self._left_at:
            return
        known = self._members.get(instance_id)
        if known is None or sighting.last_seen_at > known.last_seen_at:
            self._members[instance_id] = sighting
            if known is not None and known.address != sighting.address:
                self._forget_ranking()

    def _choose_candidates(self, now: float) -> None:
        candidates = frozenset(
            instance_id
            for instance_id, member in self._members.items()
            if now - member.last_seen_at < REPLACED_AFTER_S
        )
        if candidates != self._candidates:
            self._candidates = candidates
            self._forget_ranking()

    def _forget_ranking(self) -> None:
        self._ranked.clear()
        self._coordinators = None

    def _update_reached_share(self, now: float) -> None:
        """Lower the share at once, and raise it once all instances have noticed."""
        n_reached = sum(
            now - member.last_seen_at < MISSING_AFTER_S
            for member in self._members.values()
        )
        share = n_reached / len(self._members) if self._members else 0.0
        if share <= self._reached_share:
            self._lowest_share_at = now
            self._reached_share = share
        elif now - self._lowest_share_at >= MAX_VIEW_LAG_S:
            self._reached_share = share

    def mark_leaving(self, instance_id: InstanceId) -> None:
        """Drop an instance that says that it leaves, before gossip reports it."""
        self._left_at[instance_id] = self._clock()
        self._members.pop(instance_id, None)
        self._choose_candidates(self._clock())

    @property
    def n_known(self) -> int:
        """Number of instances known, missing ones included."""
        return len(self._members)

    def list_missing(self) -> tuple[MissingMember, ...]:
        """Return the instances that are missing."""
        now = self._clock()
        return tuple(
            MissingMember(m.instance_id, m.address, m.region, now - m.last_seen_at)
            for m in self._members.values()
            if now - m.last_seen_at >= MISSING_AFTER_S
        )

    def list_recorded(self, region: RegionId | None) -> tuple[RecordedInstance, ...]:
        """Return the known instances of a region for the record, in order."""
        recorded = [
            RecordedInstance(m.instance_id, m.address, m.region)
            for m in self._members.values()
            if m.region == region
        ]
        return tuple(sorted(recorded, key=lambda r: (r.instance_id, r.address)))

    def expect(self, recorded: Iterable[RecordedInstance]) -> None:
        """Learn at the start of instances that may be out of reach.

        One that is not seen soon is missing, as on the other side of a partition.
        """
        now = self._clock()
        seen_at = now - (MISSING_AFTER_S - EXPECTED_WITHIN_S)
        for r in recorded:
            sighting = Sighting(r.instance_id, r.address, r.region, seen_at, False)
            self._merge(sighting, now)
        if not self._members:
            return
        self._choose_candidates(now)
        self._update_reached_share(now)

    def merge_missing(self, members: Sequence[MissingMember]) -> None:
        """Learn of instances that disappeared before this one started.

        Without them, an instance that restarts during a partition would take its side
        for the whole.
        """
        now = self._clock()
        for m in members:
            seen_at = now - m.age_s
            sighting = Sighting(m.instance_id, m.address, m.region, seen_at, False)
            self._merge(sighting, now)
        if members:
            self._choose_candidates(now)
            self._update_reached_share(now)

    @property
    def reached_share(self) -> float:
        """The share of the known instances that are not missing, from 0 to 1.

        The shares of both sides of a partition add up to at most 1.
        """
        return self._reached_share

    def is_missing(self, instance_id: InstanceId) -> bool:
        """Return whether an instance has not been seen for a while."""
        member = self._members.get(instance_id)
        if member is None:
            return True
        return self._clock() - member.last_seen_at >= MISSING_AFTER_S

    def rank(self, account: AccountId) -> tuple[Sighting, ...]:
        """Return the coordinators of an account, the first one first.

        They are of different regions if possible, so that a cut between regions leaves
        one on either side.
        """
        ranked = self._ranked.get(account)
        if ranked is None:
            ranked = self._ranked[account] = self._compute_ranking(account)
        return ranked

    def _list_coordinators(self) -> list[Sighting]:
        """Return the instances that coordinate accounts, a few of each region.

        The same for all accounts, so that there are few links for tokens and leases.
        """
        if self._coordinators is None:
            by_region: dict[RegionId | None, list[Sighting]] = {}
            for candidate in self._candidates & self._members.keys():
                member = self._members[candidate]
                by_region.setdefault(member.region, []).append(member)
            self._coordinators = [
                member
                for members in by_region.values()
                for member in _choose_coordinators(members)
            ]
        return self._coordinators

    def _compute_ranking(self, account: AccountId) -> tuple[Sighting, ...]:
        def weigh(member: Sighting) -> int:
            return compute_weight(account, member.instance_id)

        others = list(self._list_coordinators())
        ranked: list[Sighting] = []
        while others and len(ranked) < N_RANKED:
            regions = {member.region for member in ranked}
            distant = [m for m in others if m.region not in regions]
            ranked.append(max(distant or others, key=weigh))
            others.remove(ranked[-1])
        return tuple(ranked)


def _choose_coordinators(members: Sequence[Sighting]) -> list[Sighting]:
    """Return the coordinators among the instances of one region."""
    n_coordinators = max(
        N_MIN_COORDINATORS, math.ceil(len(members) / N_INSTANCES_PER_COORDINATOR)
    )

    def weigh(member: Sighting) -> int:
        return compute_weight(COORDINATOR_KEY, member.instance_id)

    return sorted(members, key=weigh, reverse=True)[:n_coordinators]
