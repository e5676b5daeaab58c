"""Exchange of news between instances: configuration, upstreams and samples."""

from __future__ import annotations

__all__ = ["PeerBook", "PeerNews"]

import logging
import random
from collections.abc import Callable, Sequence

import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, PlaceId, ServiceId
from ..kernel.metrics import Metrics
from ..links.link import PeerLink
from .clock import Clock
from .directory import Directory
from .messages import AgedSample, AskNews, News, Peer
from .routes import Routes, RouteTable
from .samples import Sample, SampleBook

log = logging.getLogger(__name__)

EXCHANGE_INTERVAL_S = 0.5
EXCHANGE_TIMEOUT_S = 0.6
N_ASKED_AT_ONCE = 3
# A peer that has not been heard for six exchanges holds no share of connections.
ALIVE_S = 3.0
# Long enough for an instance cut off from all others to find them again.
FORGET_S = 30.0
# A sample older than this serves no read and shows no primary.
NEWS_SAMPLE_AGE_S = 3.0


class _Known:
    def __init__(self, peer: Peer, heard_at: float) -> None:
        self.peer = peer
        self.heard_at = heard_at


class PeerBook:
    """Hold the instances that are known and when each was heard last."""

    def __init__(self, me: Peer, seeds: Sequence[str], clock: Clock) -> None:
        self.me = me
        self._seeds = [seed for seed in seeds if seed != me.address]
        self._clock = clock
        self._known: dict[InstanceId, _Known] = {}

    def hear(self, peer: Peer) -> None:
        """Note that a peer has just spoken."""
        if peer.instance_id == self.me.instance_id:
            return
        known = self._known.get(peer.instance_id)
        if known is None:
            self._log_change("peer found", peer)
        self._known[peer.instance_id] = _Known(peer, self._clock())

    def suggest(self, peer: Peer) -> None:
        """Take in a peer that another one knows; it has yet to be heard."""
        if peer.instance_id in (self.me.instance_id, *self._known):
            return
        self._known[peer.instance_id] = _Known(peer, self._clock() - ALIVE_S)

    def list_alive(self) -> list[Peer]:
        """Return the peers heard lately that are not leaving."""
        oldest = self._clock() - ALIVE_S
        return [
            known.peer
            for known in self._known.values()
            if known.heard_at > oldest and not known.peer.is_leaving
        ]

    def count_heard(self, within_s: float) -> int:
        """Return how many peers were heard within some seconds."""
        oldest = self._clock() - within_s
        return sum(known.heard_at > oldest for known in self._known.values())

    def has_known(self) -> bool:
        """Tell whether any peer is known, alive or not."""
        return bool(self._known)

    def rank(self, place: PlaceId | None = None) -> int:
        """Return this instance's place among those alive, of one data centre or all."""
        names = [
            peer.instance_id
            for peer in self.list_alive()
            if place is None or peer.place == place
        ]
        return sum(name < self.me.instance_id for name in names)

    def list_addresses(self) -> list[str]:
        """Return the addresses to ask: all known peers and the seeds."""
        self._forget()
        known = [entry.peer.address for entry in self._known.values()]
        return list(dict.fromkeys([*known, *self._seeds]))

    def _forget(self) -> None:
        oldest = self._clock() - FORGET_S
        for instance_id, known in list(self._known.items()):
            if known.heard_at < oldest:
                del self._known[instance_id]
                self._log_change("peer forgotten", known.peer)

    def _log_change(self, text: str, peer: Peer) -> None:
        extra = {
            "peer": peer.instance_id,
            "address": peer.address,
            "place": peer.place,
        }
        log.info(text, extra=extra)


class PeerNews:
    """Ask peers for what they know and answer the same.

    :param decode_table: turns the bytes of a configuration into a table.
    """

    def __init__(
        self,
        book: PeerBook,
        link: PeerLink,
        routes: Routes,
        directory: Directory,
        samples: SampleBook,
        decode_table: Callable[[bytes], RouteTable],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._book = book
        self._link = link
        self._routes = routes
        self._directory = directory
        self._samples = samples
        self._decode_table = decode_table
        self._clock = clock
        self._metrics = metrics
        link.on(AskNews, self._answer)

    async def run(self) -> None:
        """Ask a few peers at each interval, until cancelled."""
        while True:
            addresses = self._book.list_addresses()
            chosen = random.sample(addresses, min(N_ASKED_AT_ONCE, len(addresses)))
            async with trio.open_nursery() as nursery:
                for address in chosen:
                    nursery.start_soon(self._ask, address)
                await trio.sleep(EXCHANGE_INTERVAL_S)

    async def _ask(self, address: str) -> None:
        asked_at = self._clock()
        question = AskNews(
            asker=self._book.me,
            version=self._routes.version,
            revision=self._directory.listing.revision,
        )
        try:
            news = await self._link.request(address, question, EXCHANGE_TIMEOUT_S)
        except CeleryfoldError:
            self._metrics.count("peer.unanswered")
            return
        if isinstance(news, News):
            self._learn(news, asked_at)

    def _learn(self, news: News, asked_at: float) -> None:
        self._book.hear(news.me)
        for peer in news.peers:
            self._book.suggest(peer)
        if news.source is not None:
            table = self._decode_table(news.source)
            self._routes.adopt(table, news.source, f"peer {news.me.instance_id}")
        if news.listing is not None:
            self._directory.adopt(news.listing, f"peer {news.me.instance_id}")
        for aged in news.samples:
            sample = Sample(aged.upstream, aged.position, asked_at - aged.age_s)
            self._samples.add(aged.service, sample)

    async def _answer(self, question: AskNews) -> News:
        self._book.hear(question.asker)
        has_newer_table = self._routes.version > question.version
        listing = self._directory.listing
        return News(
            me=self._book.me,
            source=self._routes.source if has_newer_table else None,
            listing=listing if listing.revision > question.revision else None,
            samples=tuple(self._list_samples()),
            peers=tuple(self._book.list_alive()),
        )

    def _list_samples(self) -> list[AgedSample]:
        table = self._routes.table
        aged = []
        for service in table.list_services() if table else []:
            sample = self._age(service)
            if sample is not None:
                aged.append(sample)
        return aged

    def _age(self, service: ServiceId) -> AgedSample | None:
        """Return the newest sample of a service with its age.

        The asker dates it from before its question, so it never looks younger than it
        is, whatever the clocks of both say.
        """
        newest = self._samples.newest(service)
        if newest is None:
            return None
        age_s = self._clock() - newest.taken_at
        if age_s > NEWS_SAMPLE_AGE_S:
            return None
        return AgedSample(service, newest.upstream, newest.position, age_s)
