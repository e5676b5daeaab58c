"""The known instances, and which of them are alive or watch the store."""

from __future__ import annotations

__all__ = ["PeerTable"]

import logging
import random
from collections.abc import Mapping, Sequence

import msgspec

from ..accounts.fleet import Sighting
from ..kernel.ids import InstanceId, PlaceId, RegionId
from .clock import Clock
from .messages import AgedPeer, Peer

log = logging.getLogger(__name__)

# Longer than two exchanges of known instances and the hops in between.
ALIVE_TIMEOUT_S = 4.0
# Reports from another region arrive one exchange later, from one of its watchers chosen
# at random, and the exchange with this instance comes on top.
REMOTE_ALIVE_TIMEOUT_S = 7.0
# A network partition between instances is usually over after this time.
CONNECTION_HOLDER_TIMEOUT_S = 15.0
# Long enough for an instance cut off from all others to reconnect to them.
PEER_RETENTION_S = 30.0


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

    def list_present(self) -> list[Peer]:
        """Return the peers that are alive, those that are leaving included."""
        return [known.peer for known in self._known.values() if self._is_alive(known)]

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

    def list_sightings(self) -> list[Sighting]:
        """Return this instance and all known ones with the time they were last seen."""
        seen = [(known.peer, known.last_seen_at) for known in self._known.values()]
        return [
            Sighting(
                peer.instance_id,
                peer.address,
                self.regions.get(peer.place),
                last_seen_at,
                peer.is_leaving,
            )
            for peer, last_seen_at in [(self.local_peer, self._clock()), *seen]
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

    def choose_lost(self) -> list[str]:
        """Return the address of a random known instance or seed that is not alive.

        Only a watcher gets one. After a partition each part of the fleet may have
        watchers of all data centres, which otherwise contact only each other.
        """
        if not self.is_watcher():
            return []
        alive = {peer.address for peer in self.list_present()}
        known = [entry.peer.address for entry in self._known.values()]
        lost = [a for a in dict.fromkeys([*known, *self._seeds]) if a not in alive]
        return random.sample(lost, min(len(lost), 1))

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
