"""Gossip between instances: configuration, upstreams, samples, known instances."""

from __future__ import annotations

__all__ = ["PeerGossip"]

import itertools
import logging
from collections.abc import Callable

import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import ServiceId
from ..kernel.metrics import Metrics
from ..links import PeerLink
from .clock import Clock
from .directory import Directory
from .messages import AgedSample, AskNews, News, Peer, ServiceSuspension
from .peers import PeerTable
from .routes import Routes, RouteTable
from .samples import Sample, SampleHistory, WriteSuspension

log = logging.getLogger(__name__)

# A sample travels three hops of at most one interval each and stays below the smallest
# staleness bound in use, 1.5 s.
EXCHANGE_INTERVAL_S = 0.35
EXCHANGE_TIMEOUT_S = 0.6
# The known instances change seldom, and traffic between data centres costs money.
N_ROUNDS_PER_MEMBER_EXCHANGE = 4
# A started instance requests them in each exchange for 1.4 s: after a loss of all
# instances, homes and rate coordinators depend on all of them knowing each other. The
# bytes at the seeds grow with the square of the fleet, so there are few such exchanges.
N_STARTUP_ROUNDS = 4
# A round trip between regions takes 60 ms.
ASK_WATCHERS_TIMEOUT_S = 0.25
# An older sample serves no read and does not identify the primary.
MAX_SAMPLE_AGE_S = 3.0
# Reported as the age of the last contact with the store until the first contact.
NEVER_SEEN_AGE_S = 1e6


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
        as well. Watchers also contact one that they have lost, with each exchange of
        the known instances but the first ones.
        """
        for number in itertools.count():
            chosen = self._peers.choose_targets()
            if not self._peers.has_recent_contact(2 * EXCHANGE_INTERVAL_S):
                chosen += self._peers.choose_random()
            is_new = number < N_STARTUP_ROUNDS
            wants_peers = is_new or number % N_ROUNDS_PER_MEMBER_EXCHANGE == 0
            if wants_peers and not is_new:
                chosen += self._peers.choose_lost()
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
        for suspension in reply.suspensions:
            self._samples.suspend(
                suspension.service,
                WriteSuspension(
                    suspension.successor, suspension.for_s, suspension.token
                ),
            )
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
            suspensions=tuple(
                ServiceSuspension(service, found.successor, found.for_s, found.token)
                for service, found in self._samples.list_suspensions()
            ),
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
