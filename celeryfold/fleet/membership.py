"""Membership by gossip: random probes, suspicion, dissemination; no consensus."""

from __future__ import annotations

__all__ = ["Membership", "MembershipObserver", "ReplicatedStatePorts"]

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Protocol

import msgspec
import trio

from ..exceptions import CeleryfoldError
from ..kernel.events import EventKind, Timeline
from ..kernel.ids import InstanceId, PlaceId
from ..kernel.metrics import Metrics
from ..links.link import PeerLink
from .gossip_queue import GossipQueue
from .members import Member, MemberNews, MemberState, News
from .messages import (
    FetchState,
    FleetState,
    Probe,
    ProbeFor,
    ProbeReply,
    Tell,
)

log = logging.getLogger(__name__)

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.5
N_INDIRECT_PROBES = 3
# A suspect that has not refuted the suspicion within this time is declared dead.
SUSPICION_TIMEOUT_S = 2.5
# A dead member is forgotten after this time.
DEAD_MEMBER_TTL_S = 60.0
# Probability that a probe goes to a dead member, to detect the end of a partition.
DEAD_PROBE_PROBABILITY = 0.2
GOSSIP_FANOUT = 3
N_MISMATCHES_UNTIL_FETCH = 3
FETCH_TIMEOUT_S = 1.0
N_SEEDS_QUERIED = 3

_USABLE = (MemberState.ALIVE, MemberState.SUSPECT)
_EVENTS = {
    MemberState.ALIVE: EventKind.MEMBER_ALIVE,
    MemberState.SUSPECT: EventKind.MEMBER_SUSPECT,
    MemberState.LEAVING: EventKind.MEMBER_LEAVING,
    MemberState.DEAD: EventKind.MEMBER_DEAD,
}


class ReplicatedStatePorts(ABC):
    """Interface of the state that membership replicates besides the members."""

    @abstractmethod
    def apply_update(self, update: News) -> bool:
        """Apply an update; return whether it is to be passed on."""

    @abstractmethod
    def list_updates(self) -> list[News]:
        """Return the whole state as updates."""

    @abstractmethod
    def digest(self) -> int:
        """Return a hash of what :meth:`list_updates` returns."""


class MembershipObserver(Protocol):
    """Observer of the members that may receive work."""

    def add(self, member: Member) -> None:
        """Add a member, or replace its description."""

    def remove(self, member: Member) -> None:
        """Remove a member."""


class Membership:
    """This instance's view of the members of the fleet.

    :param me: description of this instance that the others receive.
    :param link: sends requests to peers.
    :param replicated_state: state that gossip replicates besides the members.
    :param timeline: receives an event for each change of a member's state.
    :param metrics: receives counters.
    :param rng: source of randomness, seeded in tests.
    """

    def __init__(
        self,
        me: Member,
        link: PeerLink,
        replicated_state: ReplicatedStatePorts,
        timeline: Timeline,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        self.me = me
        self.members: dict[InstanceId, Member] = {me.instance_id: me}
        self._link = link
        self._replicated_state = replicated_state
        self._timeline = timeline
        self._metrics = metrics
        self.rng = rng or random.Random()
        self._queue = GossipQueue()
        self._state_since: dict[InstanceId, float] = {}
        self._probe_order: list[InstanceId] = []
        self._usable: list[Member] | None = None
        self.observers: list[MembershipObserver] = []
        self._n_mismatches = 0
        self._nursery: trio.Nursery | None = None
        link.register_handler(Probe, self._answer_probe)
        link.register_handler(ProbeFor, self._answer_probe_for)
        link.register_handler(Tell, self._answer_tell)
        link.register_handler(FetchState, self._answer_fetch_state)

    def usable(self) -> list[Member]:
        """Return the members that may receive work, including this one."""
        if self._usable is None:
            self._usable = [
                member for member in self.members.values() if member.state in _USABLE
            ]
        return self._usable

    def subscribe(self, observer: MembershipObserver) -> None:
        """Notify an observer of all members that may receive work, now and later."""
        self.observers.append(observer)
        for member in self.usable():
            observer.add(member)

    def _store_member(self, member: Member) -> None:
        """Store the description of a member and notify the observers."""
        known = self.members.get(member.instance_id)
        self.members[member.instance_id] = member
        self._usable = None
        for observer in self.observers:
            if known is not None and known.place != member.place:
                observer.remove(known)
            if member.state in _USABLE:
                observer.add(member)
            elif known is not None and known.state in _USABLE:
                observer.remove(member)

    def others(self) -> list[Member]:
        """Return the other members that are not dead."""
        return [
            member
            for member in self.members.values()
            if member.state is not MemberState.DEAD
            and member.instance_id != self.me.instance_id
        ]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to probe the other members."""
        self._nursery = nursery
        nursery.start_soon(self._run)

    async def join(self, seeds: Iterable[Member]) -> None:
        """Fetch the state of the fleet from a few seeds, until one of them answers."""
        others = [m for m in seeds if m.instance_id != self.me.instance_id]
        chosen = self.rng.sample(others, min(N_SEEDS_QUERIED, len(others)))

        async def query(seed: Member) -> None:
            if await self._fetch_state(seed.address):
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for seed in chosen:
                nursery.start_soon(query, seed)

    async def _fetch_state(self, address: str) -> bool:
        try:
            state = await self._link.request(
                address, FetchState(self.me), FETCH_TIMEOUT_S
            )
        except CeleryfoldError:
            return False
        if isinstance(state, FleetState):
            await self.apply_updates(state.updates)
        return True

    def add_listed(self, members: Iterable[Member]) -> None:
        """Add the members of the platform's list that are not known yet."""
        for member in members:
            if member.instance_id not in self.members:
                self._merge_member(member)

    async def leave(self) -> None:
        """Announce to the fleet that this instance receives no new work."""
        self._update_local(MemberState.LEAVING)
        await self.broadcast(MemberNews(self.me))

    async def broadcast(self, update: News) -> None:
        """Queue an update of this instance and send it to random peers at once."""
        self._queue.add(update)
        await self._send_to_random_peers((update,))

    async def apply_updates(self, received: Iterable[News]) -> None:
        """Apply received updates and pass on those that are new."""
        applied = [update for update in received if self._apply_update(update)]
        for update in applied:
            self._queue.add(update)
        if applied and self._nursery is not None:
            self._nursery.start_soon(self._send_to_random_peers, tuple(applied))

    def _apply_update(self, update: News) -> bool:
        if isinstance(update, MemberNews):
            return self._apply_member(update.member)
        return self._replicated_state.apply_update(update)

    def _apply_member(self, member: Member) -> bool:
        if member.instance_id == self.me.instance_id:
            self._refute(member)
            return False
        known = self.members.get(member.instance_id)
        if known is not None and not member.overrides(known):
            return False
        if known is None and member.state is MemberState.DEAD:
            return False
        self._merge_member(member)
        return True

    def _refute(self, claimed: Member) -> None:
        if claimed.incarnation < self.me.incarnation or claimed.state is self.me.state:
            return
        if self.me.state is MemberState.LEAVING:
            return
        self._update_local(MemberState.ALIVE, claimed.incarnation)
        self._queue.add(MemberNews(self.me))

    def _update_local(self, state: MemberState, above: int = 0) -> None:
        incarnation = max(self.me.incarnation, above) + 1
        self.me = msgspec.structs.replace(self.me, incarnation=incarnation, state=state)
        self._store_member(self.me)

    def _merge_member(self, member: Member) -> None:
        known = self.members.get(member.instance_id)
        self._store_member(member)
        if known is None or known.state is not member.state:
            self._state_since[member.instance_id] = trio.current_time()
            self._timeline.add(_EVENTS[member.state], member.instance_id)
            self._metrics.count(f"fleet.{member.state.value}")

    async def _run(self) -> None:
        while True:
            await trio.sleep(PROBE_PERIOD_S * self.rng.uniform(0.9, 1.1))
            self._expire()
            peer = self._choose_peer()
            if peer is not None:
                await self._probe(peer)

    def _choose_peer(self) -> Member | None:
        """Return the next member of a shuffled round, occasionally a dead one.

        After a network partition, both sides consider each other dead. Without probes
        of dead members, neither side would detect that the partition has ended.
        """
        dead = [m for m in self.members.values() if m.state is MemberState.DEAD]
        if dead and self.rng.random() < DEAD_PROBE_PROBABILITY:
            return self.rng.choice(dead)
        while True:
            if not self._probe_order:
                self._probe_order = [member.instance_id for member in self.others()]
                self.rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            member = self.members.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    async def _probe(self, peer: Member) -> None:
        refutable = () if peer.state is MemberState.ALIVE else (MemberNews(peer),)
        if await self._probe_address(peer.address, refutable, peer.place):
            return
        if peer.state is MemberState.DEAD or await self._probe_indirectly(peer):
            return
        known = self.members.get(peer.instance_id)
        if known is not None and known.state is MemberState.ALIVE:
            suspect = msgspec.structs.replace(known, state=MemberState.SUSPECT)
            await self.apply_updates((MemberNews(suspect),))

    async def _probe_address(
        self,
        address: str,
        refutable: tuple[MemberNews, ...] = (),
        place: PlaceId | None = None,
    ) -> bool:
        """Probe an address and exchange updates with it; return whether it answered.

        :param refutable: updates on the probed member itself, which it may refute.
        :param place: place of the probed member, or None to skip the comparison of
            states.
        """
        updates = (*refutable, *self._queue.take(len(self.members)))
        probe = Probe(updates, self._replicated_state.digest(), self.me.instance_id)
        try:
            reply = await self._link.request(address, probe, PROBE_TIMEOUT_S)
        except CeleryfoldError:
            self._metrics.count("fleet.probe_failed")
            return False
        if isinstance(reply, ProbeReply):
            await self.apply_updates(reply.updates)
            if place is not None:
                await self._compare_digest(reply.digest, address, place)
        return True

    async def _compare_digest(self, digest: int, address: str, place: PlaceId) -> None:
        """Fetch the state of a peer if it differs from the state of this instance.

        Within a place, it is fetched after several mismatches in a row, since gossip
        usually resolves them. Between places, about one instance of this place fetches
        it per probe period and passes it on, so that not all of them fetch it at once.
        """
        if digest == self._replicated_state.digest():
            self._n_mismatches = 0
            return
        if place == self.me.place:
            self._n_mismatches += 1
            is_due = self._n_mismatches >= N_MISMATCHES_UNTIL_FETCH
        else:
            n_here = sum(m.place == self.me.place for m in self.usable())
            is_due = self.rng.random() < 1.0 / max(1, n_here)
        if is_due:
            self._n_mismatches = 0
            self._metrics.count("fleet.state_fetched")
            await self._fetch_state(address)

    async def _probe_indirectly(self, peer: Member) -> bool:
        helpers = [m for m in self.others() if m.instance_id != peer.instance_id]
        chosen = self.rng.sample(helpers, min(N_INDIRECT_PROBES, len(helpers)))
        reached: list[bool] = []

        async def query(helper: Member) -> None:
            try:
                reply = await self._link.request(
                    helper.address, ProbeFor(peer.address), 2 * PROBE_TIMEOUT_S
                )
            except CeleryfoldError:
                return
            if isinstance(reply, ProbeReply) and reply.reached:
                reached.append(True)

        async with trio.open_nursery() as nursery:
            for helper in chosen:
                nursery.start_soon(query, helper)
        return bool(reached)

    def _expire(self) -> None:
        now = trio.current_time()
        for member in list(self.members.values()):
            in_state_s = now - self._state_since.get(member.instance_id, now)
            if (
                member.state is MemberState.SUSPECT
                and in_state_s >= SUSPICION_TIMEOUT_S
            ):
                dead = msgspec.structs.replace(member, state=MemberState.DEAD)
                self._merge_member(dead)
                self._queue.add(MemberNews(dead))
            elif member.state is MemberState.DEAD and in_state_s >= DEAD_MEMBER_TTL_S:
                del self.members[member.instance_id]
                del self._state_since[member.instance_id]

    async def _send_to_random_peers(self, updates: tuple[News, ...]) -> None:
        chosen = self._choose_recipients()
        async with trio.open_nursery() as nursery:
            for member in chosen:
                nursery.start_soon(self._send_updates, member.address, updates)

    def _choose_recipients(self) -> list[Member]:
        near = [m for m in self.others() if m.place == self.me.place]
        far = [m for m in self.others() if m.place != self.me.place]
        n_far = min(len(far), 1 if len(near) >= GOSSIP_FANOUT else GOSSIP_FANOUT - 1)
        chosen = self.rng.sample(far, n_far)
        n_near = min(len(near), GOSSIP_FANOUT - len(chosen))
        return chosen + self.rng.sample(near, n_near)

    async def _send_updates(self, address: str, updates: tuple[News, ...]) -> None:
        try:
            await self._link.request(address, Tell(updates), PROBE_TIMEOUT_S)
        except CeleryfoldError:
            self._metrics.count("fleet.tell_failed")

    async def _answer_probe(self, probe: Probe) -> ProbeReply:
        await self.apply_updates(probe.updates)
        updates: tuple[News, ...] = self._queue.take(len(self.members))
        sender = self.members.get(probe.sender)
        if sender is not None and sender.state is not MemberState.ALIVE:
            updates = (MemberNews(sender), *updates)
        return ProbeReply(updates, self._replicated_state.digest())

    async def _answer_probe_for(self, request: ProbeFor) -> ProbeReply:
        reached = await self._probe_address(request.address)
        return ProbeReply((), self._replicated_state.digest(), reached)

    async def _answer_tell(self, message: Tell) -> ProbeReply:
        await self.apply_updates(message.updates)
        return ProbeReply((), self._replicated_state.digest())

    async def _answer_fetch_state(self, request: FetchState) -> FleetState:
        await self.apply_updates((MemberNews(request.member),))
        members = [MemberNews(member) for member in self.members.values()]
        return FleetState((*members, *self._replicated_state.list_updates()))

    def find(self, instance: InstanceId) -> Member | None:
        """Return a member by its id, or None."""
        return self.members.get(instance)
