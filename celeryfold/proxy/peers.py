"""Exchange of news between instances: configuration, upstreams and samples."""

from __future__ import annotations

__all__ = ["PeerBook", "PeerNews"]

import itertools
import logging
import random
from collections.abc import Callable, Sequence

import trio
import xxhash

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
# Instances of other data centres are asked less often: those bytes are paid for.
N_ROUNDS_TO_ASK_FAR = 2
# Between regions a round trip takes 60 ms.
ASK_ALL_TIMEOUT_S = 0.25
# A peer that has not been heard for six exchanges holds no share of connections.
ALIVE_S = 3.0
# Long enough for an instance cut off from all others to find them again.
FORGET_S = 30.0
# Stands for never where ages of the store's word are compared.
NEVER_HEARD_S = 1e6
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

    def list_watchers(self) -> list[InstanceId]:
        """Return the instances that watch the store, one of each data centre."""
        first: dict[PlaceId, InstanceId] = {}
        for peer in [self.me, *self.list_alive()]:
            known = first.get(peer.place, peer.instance_id)
            first[peer.place] = min(known, peer.instance_id)
        return sorted(first.values())

    def choose_near(self) -> list[str]:
        """Return the address of a peer of this data centre, if one is known."""
        return self._choose(near=True)

    def choose_far(self) -> list[str]:
        """Return the address of a peer elsewhere, or of a seed nobody answered for."""
        return self._choose(near=False)

    def _choose(self, near: bool) -> list[str]:
        self._forget()
        known = [entry.peer for entry in self._known.values()]
        fitting = [p.address for p in known if (p.place == self.me.place) is near]
        if not near:
            addresses = {peer.address for peer in known}
            fitting += [seed for seed in self._seeds if seed not in addresses]
        return [random.choice(fitting)] if fitting else []

    def list_heard_addresses(self) -> list[str]:
        """Return the addresses of all peers that are alive."""
        return [peer.address for peer in self.list_alive()]

    def digest(self) -> int:
        """Return a hash of the peers that are known."""
        names = sorted([self.me.instance_id, *self._known])
        return xxhash.xxh32_intdigest("|".join(names).encode())

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
        self._store_heard_at = clock() - NEVER_HEARD_S
        link.on(AskNews, self._answer)

    async def run(self) -> None:
        """Ask a peer nearby and now and then one elsewhere, until cancelled."""
        for number in itertools.count():
            chosen = self._book.choose_near()
            if not chosen or number % N_ROUNDS_TO_ASK_FAR == 0:
                chosen += self._book.choose_far()
            async with trio.open_nursery() as nursery:
                for address in chosen:
                    nursery.start_soon(self._ask, address)
                await trio.sleep(EXCHANGE_INTERVAL_S)

    async def ask_all(self) -> None:
        """Ask all peers that are alive at once, for no longer than a moment."""
        with trio.move_on_after(ASK_ALL_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for address in self._book.list_heard_addresses():
                    nursery.start_soon(self._ask, address)

    @property
    def store_age_s(self) -> float:
        """How old the newest word of the store is, our own or through peers."""
        return self._clock() - self._store_heard_at

    def hear_store(self) -> None:
        """Note that the store has just answered this instance."""
        self._store_heard_at = self._clock()

    async def _ask(self, address: str) -> None:
        asked_at = self._clock()
        question = AskNews(
            asker=self._book.me,
            version=self._routes.version,
            revision=self._directory.listing.revision,
            peers_digest=self._book.digest(),
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
        heard_at = asked_at - news.store_age_s
        self._store_heard_at = max(self._store_heard_at, heard_at)
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
        knows_peers = self._book.digest() == question.peers_digest
        return News(
            me=self._book.me,
            store_age_s=self.store_age_s,
            source=self._routes.source if has_newer_table else None,
            listing=listing if listing.revision > question.revision else None,
            samples=tuple(self._list_samples()),
            peers=() if knows_peers else tuple(self._book.list_alive()),
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
