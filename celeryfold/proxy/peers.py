"""Gossip between instances: configuration, upstreams, samples, known instances."""

from __future__ import annotations

__all__ = ["PeerGossip", "PeerTable"]

import itertools
import logging
import random
from collections.abc import Callable, Mapping, Sequence

import msgspec
import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, PlaceId, RegionId, ServiceId
from ..kernel.metrics import Metrics
from ..links import PeerLink
from .clock import Clock
from .directory import Directory
from .messages import AgedPeer, AgedSample, AskNews, News, Peer
from .routes import Routes, RouteTable
from .samples import Sample, SampleHistory

log = logging.getLogger(__name__)

# A sample travels three hops of at most one interval each and stays below the smallest
# staleness bound in use, 1.5 s.
EXCHANGE_INTERVAL_S = 0.35
EXCHANGE_TIMEOUT_S = 0.6
# The known instances change seldom, and traffic between data centres costs money.
N_ROUNDS_PER_MEMBER_EXCHANGE = 4
# A round trip between regions takes 60 ms.
ASK_WATCHERS_TIMEOUT_S = 0.25
# Longer than two exchanges of known instances and the hops in between.
ALIVE_TIMEOUT_S = 4.0
# Reports from another region arrive one exchange later, from one of its watchers chosen
# at random, and the exchange with this instance comes on top.
REMOTE_ALIVE_TIMEOUT_S = 7.0
# A network partition between instances is usually over after this time.
CONNECTION_HOLDER_TIMEOUT_S = 15.0
# Long enough for an instance cut off from all others to reconnect to them.
PEER_RETENTION_S = 30.0
# An older sample serves no read and does not identify the primary.
MAX_SAMPLE_AGE_S = 3.0
# Reported as the age of the last contact with the store until the first contact.
NEVER_SEEN_AGE_S = 1e6


class _KnownPeer:
    def __init__(self, peer: Peer, last_seen_at: float) -> None:
        self.peer = peer
        self.last_seen_at = last_seen_at


class PeerTable:
    """The known instances and when each was last seen.

    :param local_peer: this instance.
    :param seeds: addresses of instances to contact first.
    :param regions: the region of each data centre.
    """

    def __init__(
        self,
        local_peer: Peer,
        seeds: Sequence[str],
        regions: Mapping[PlaceId, RegionId],
        clock: Clock,
    ) -> None:
        self.local_peer = local_peer
        self.regions = regions
        self._seeds = [seed for seed in seeds if seed != local_peer.address]
        self._clock = clock
        self._known: dict[InstanceId, _KnownPeer] = {}
        self._last_contact_at = 0.0
        self._alive: set[InstanceId] = set()

    def set_store_reachable(self, is_reachable: bool) -> None:
        """Set whether the store answers this instance, as reported to peers."""
        if self.local_peer.reaches_store != is_reachable:
            self.local_peer = msgspec.structs.replace(
                self.local_peer, reaches_store=is_reachable
            )

    def record_contact(self, peer: Peer) -> None:
        """Record a message received from a peer."""
        self._last_contact_at = self._clock()
        self._update(peer, self._clock())

    def merge(self, peer: Peer, last_seen_at: float) -> None:
        """Apply another instance's report of a peer if it is newer.

        :param last_seen_at: when the other instance last saw the peer, in seconds of
            this instance's clock.
        """
        self._update(peer, last_seen_at)

    def _update(self, peer: Peer, last_seen_at: float) -> None:
        if peer.instance_id == self.local_peer.instance_id:
            return
        known = self._known.get(peer.instance_id)
        if known is None:
            self._known[peer.instance_id] = _KnownPeer(peer, last_seen_at)
        elif last_seen_at > known.last_seen_at:
            known.peer = peer
            known.last_seen_at = last_seen_at

    def list_alive(self) -> list[Peer]:
        """Return the peers that are alive and not leaving."""
        return [
            known.peer
            for known in self._known.values()
            if self._is_alive(known) and not known.peer.is_leaving
        ]

    def _is_alive(self, known: _KnownPeer) -> bool:
        region = self.regions.get(self.local_peer.place)
        is_far = self.regions.get(known.peer.place) != region
        kept_s = REMOTE_ALIVE_TIMEOUT_S if is_far else ALIVE_TIMEOUT_S
        return self._clock() - known.last_seen_at < kept_s

    def list_connection_holders(self) -> list[Peer]:
        """Return the peers that may hold connections, including recently lost ones.

        A peer that is unreachable from here may still reach upstreams. The connection
        limits of the others are raised only once it has probably ended.
        """
        oldest = self._clock() - CONNECTION_HOLDER_TIMEOUT_S
        return [
            known.peer
            for known in self._known.values()
            if known.last_seen_at > oldest and not known.peer.is_leaving
        ]

    def log_changes(self) -> None:
        """Log the peers that were lost or reached since the last call."""
        alive = {peer.instance_id for peer in self.list_alive()}
        for instance_id in sorted(self._alive - alive):
            known = self._known.get(instance_id)
            if known is not None:
                self._log_change("peer lost", known.peer)
        for instance_id in sorted(alive - self._alive):
            self._log_change("peer reached", self._known[instance_id].peer)
        self._alive = alive

    def list_with_ages(self) -> list[AgedPeer]:
        """Return the peers that are alive with the time since they were last seen."""
        now = self._clock()
        return [
            AgedPeer(known.peer, now - known.last_seen_at)
            for known in self._known.values()
            if self._is_alive(known)
        ]

    def list_peers_for(self, requester: Peer) -> tuple[AgedPeer, ...]:
        """Return the peers that a requester does not learn of by a more direct route.

        A requester in the same data centre gets all peers, one in the same region those
        of this data centre and all watchers. A requester in another region contacts a
        single watcher here, so it gets all peers of this region and the watchers of its
        own region: at its start it may know only a seed here.
        """
        aged = self.list_with_ages()
        here, there = self.local_peer.place, requester.place
        if there == here:
            return tuple(aged)
        watchers = {p.instance_id for p in self.find_watchers().values()}
        near, far = self.regions.get(here), self.regions.get(there)
        if near == far:
            return tuple(
                a
                for a in aged
                if a.peer.place == here or a.peer.instance_id in watchers
            )
        return tuple(
            a
            for a in aged
            if self.regions.get(a.peer.place) == near
            or (
                a.peer.instance_id in watchers
                and self.regions.get(a.peer.place) == far
                and a.peer != requester
            )
        )

    def has_recent_contact(self, within_s: float) -> bool:
        """Return whether any message from a peer arrived within the last seconds."""
        return self._clock() - self._last_contact_at < within_s

    def has_peers(self) -> bool:
        """Return whether any peer is known, alive or not."""
        return bool(self._known)

    def has_seeds(self) -> bool:
        """Return whether the settings name other instances."""
        return bool(self._seeds)

    def find_watchers(self) -> dict[PlaceId, Peer]:
        """Return the instances that watch the store, one for each data centre.

        An instance that does not reach the store is replaced by another one of its
        data centre if there is one.
        """
        watchers: dict[PlaceId, Peer] = {}
        for peer in [self.local_peer, *self.list_alive()]:
            known = watchers.get(peer.place, peer)
            watchers[peer.place] = min(known, peer, key=_rank_watcher)
        return watchers

    def is_watcher(self) -> bool:
        """Return whether this instance watches the store for its data centre."""
        watcher = self.find_watchers().get(self.local_peer.place, self.local_peer)
        return watcher.instance_id == self.local_peer.instance_id

    def choose_targets(self) -> list[str]:
        """Return the addresses of the next exchange.

        Watchers contact all other watchers of their region, and one of another region,
        since that traffic costs money. The other instances contact the watcher of their
        data centre.
        """
        self._evict_old()
        watchers = self.find_watchers()
        own_watcher = watchers[self.local_peer.place]
        if own_watcher.instance_id != self.local_peer.instance_id:
            return [own_watcher.address]
        others = [p for p in watchers.values() if p.place != self.local_peer.place]
        region = self.regions.get(self.local_peer.place)
        near = [p.address for p in others if self.regions.get(p.place) == region]
        far = [p.address for p in others if self.regions.get(p.place) != region]
        return near + random.sample(far, min(len(far), 1)) or self.choose_random()

    def choose_random(self) -> list[str]:
        """Return the address of a random known peer or seed, if there is any."""
        known = [entry.peer.address for entry in self._known.values()]
        addresses = list(dict.fromkeys([*known, *self._seeds]))
        return [random.choice(addresses)] if addresses else []

    def list_watcher_addresses(self) -> list[str]:
        """Return the addresses of all other watchers."""
        watchers = self.find_watchers().values()
        return [
            p.address for p in watchers if p.instance_id != self.local_peer.instance_id
        ]

    def _evict_old(self) -> None:
        oldest = self._clock() - PEER_RETENTION_S
        for instance_id, known in list(self._known.items()):
            if known.last_seen_at < oldest:
                del self._known[instance_id]
                self._log_change("peer forgotten", known.peer)

    def _log_change(self, text: str, peer: Peer) -> None:
        extra = {
            "peer": peer.instance_id,
            "address": peer.address,
            "place": peer.place,
        }
        log.info(text, extra=extra)


def _rank_watcher(peer: Peer) -> tuple[bool, InstanceId]:
    return not peer.reaches_store, peer.instance_id


class PeerGossip:
    """Requests state updates from peers and answers their requests.

    :param decode_table: decodes the bytes of a configuration.
    """

    def __init__(
        self,
        peers: PeerTable,
        link: PeerLink,
        routes: Routes,
        directory: Directory,
        samples: SampleHistory,
        decode_table: Callable[[bytes], RouteTable],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._link = link
        self._routes = routes
        self._directory = directory
        self._samples = samples
        self._decode_table = decode_table
        self._clock = clock
        self._metrics = metrics
        self._store_seen_at = clock() - NEVER_SEEN_AGE_S
        link.register_handler(AskNews, self._answer)

    async def run(self) -> None:
        """Exchange updates at each interval, until cancelled.

        After two intervals without a message from any peer, a random one is contacted
        as well.
        """
        for number in itertools.count():
            chosen = self._peers.choose_targets()
            if not self._peers.has_recent_contact(2 * EXCHANGE_INTERVAL_S):
                chosen += self._peers.choose_random()
            wants_peers = number % N_ROUNDS_PER_MEMBER_EXCHANGE == 0
            async with trio.open_nursery() as nursery:
                for address in set(chosen):
                    nursery.start_soon(self._ask, address, wants_peers)
                await trio.sleep(EXCHANGE_INTERVAL_S)

    async def ask_watchers(self) -> None:
        """Request updates from all watchers concurrently, with a short time-out."""
        addresses = self._peers.list_watcher_addresses() + self._peers.choose_random()
        with trio.move_on_after(ASK_WATCHERS_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for address in set(addresses):
                    nursery.start_soon(self._ask, address, False)

    @property
    def store_age_s(self) -> float:
        """Seconds since the store last answered, here or as reported by peers."""
        return self._clock() - self._store_seen_at

    def record_store_contact(self) -> None:
        """Record that the store has just answered this instance."""
        self._store_seen_at = self._clock()

    async def _ask(self, address: str, wants_peers: bool) -> None:
        asked_at = self._clock()
        request = AskNews(
            requester=self._peers.local_peer,
            version=self._routes.version,
            revision=self._directory.listing.revision,
            wants_peers=wants_peers,
        )
        try:
            reply = await self._link.request(address, request, EXCHANGE_TIMEOUT_S)
        except CeleryfoldError:
            # No log line here: a peer that stays silent is logged as lost.
            self._metrics.count("peer.unanswered")
            return
        if isinstance(reply, News):
            self._apply_update(reply, asked_at)

    def _apply_update(self, reply: News, asked_at: float) -> None:
        """Apply a peer's reply; ages count from before the request was sent.

        Data then never appears younger than it is, even if the clocks differ.
        """
        self._peers.record_contact(reply.sender)
        for aged_peer in reply.peers:
            self._peers.merge(aged_peer.peer, asked_at - aged_peer.age_s)
        last_seen_at = asked_at - reply.store_age_s
        self._store_seen_at = max(self._store_seen_at, last_seen_at)
        if reply.source is not None:
            self._apply_source(reply.source, reply.sender)
        if reply.listing is not None:
            self._directory.adopt(reply.listing, f"peer {reply.sender.instance_id}")
        for aged in reply.samples:
            sample = Sample(aged.upstream, aged.position, asked_at - aged.age_s)
            self._samples.add(aged.service, sample)

    def _apply_source(self, source: bytes, sender: Peer) -> None:
        """Adopt a configuration of a peer; one that cannot be decoded changes nothing.

        The peer may run another version, which knows fields that this one does not.
        """
        try:
            table = self._decode_table(source)
        except CeleryfoldError as error:
            extra = {"peer": sender.instance_id, "reason": str(error)}
            log.error("unreadable configuration", extra=extra)
            self._metrics.count("peer.unreadable_configuration")
            return
        self._routes.adopt(table, source, f"peer {sender.instance_id}")

    async def _answer(self, request: AskNews) -> News:
        self._peers.record_contact(request.requester)
        has_newer_table = self._routes.version > request.version
        listing = self._directory.listing
        return News(
            sender=self._peers.local_peer,
            store_age_s=self.store_age_s,
            source=self._routes.source if has_newer_table else None,
            listing=listing if listing.revision > request.revision else None,
            samples=tuple(self._list_samples()),
            peers=self._peers.list_peers_for(request.requester)
            if request.wants_peers
            else (),
        )

    def _list_samples(self) -> list[AgedSample]:
        table = self._routes.table
        aged = [
            self._find_aged_sample(s) for s in (table.list_services() if table else [])
        ]
        return [sample for sample in aged if sample is not None]

    def _find_aged_sample(self, service: ServiceId) -> AgedSample | None:
        """Return the newest sample of a service with its age, or None if too old."""
        newest = self._samples.newest(service)
        if newest is None:
            return None
        age_s = self._clock() - newest.taken_at
        if age_s > MAX_SAMPLE_AGE_S:
            return None
        # A higher position is a valid bound, too, and shows guardians the last commits.
        highest = self._samples.find_highest_position(service) or newest.position
        position = max(newest.position, highest)
        return AgedSample(service, newest.upstream, position, age_s)
