"""A simulated network with delays by data centre, cuts and a count of bytes."""

from __future__ import annotations

__all__ = ["LocalNetwork", "NetworkSettings"]

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import trio

from ..kernel.ids import PlaceId, RegionId

T = TypeVar("T")

SAME_PLACE_DELAY_S = 0.0001
BETWEEN_PLACES_DELAY_S = 0.0005
BETWEEN_REGIONS_DELAY_S = 0.030
REGION_LINK_BITS_PER_SECOND = 15_000_000
SMALL_MESSAGE_BYTES = 150


@dataclass(frozen=True)
class NetworkSettings:
    """One-way delays in seconds, and the capacity between regions.

    :param same_place_s: delay within a data centre.
    :param between_places_s: delay between data centres of a region.
    :param region_bits_per_second: capacity that all links between regions share.
    :param extra_s: additional delay by the name of an endpoint.
    """

    regions: dict[PlaceId, RegionId]
    same_place_s: float = SAME_PLACE_DELAY_S
    between_places_s: float = BETWEEN_PLACES_DELAY_S
    between_regions_s: float = BETWEEN_REGIONS_DELAY_S
    region_bits_per_second: int = REGION_LINK_BITS_PER_SECOND
    extra_s: dict[str, float] = field(default_factory=dict)


class _Outcome(Generic[T]):
    def __init__(self) -> None:
        self.done = trio.Event()
        self.value: T | None = None
        self.error: Exception | None = None


class LocalNetwork:
    """A simulated network that carries calls between named endpoints.

    A call continues at its target after the caller has been cancelled, as it would on a
    real network.

    :param nursery: runs calls at their targets.
    """

    def __init__(self, settings: NetworkSettings, nursery: trio.Nursery) -> None:
        self.settings = settings
        self.places: dict[str, PlaceId] = {}
        self.region_bytes: Counter[str] = Counter()
        self.n_calls: Counter[str] = Counter()
        self._nursery = nursery
        self._cut_endpoints: set[str] = set()
        self._cut_pairs: set[frozenset[str]] = set()
        self._cut_regions = False
        self._healed = trio.Event()
        self._link_free_at = 0.0

    def add(self, name: str, place: PlaceId) -> None:
        """Add an endpoint in a data centre."""
        self.places[name] = place

    def cut(self, name: str) -> None:
        """Cut an endpoint off from all others."""
        self._cut_endpoints.add(name)

    def cut_between(self, source: str, target: str) -> None:
        """Cut two endpoints off from each other."""
        self._cut_pairs.add(frozenset((source, target)))

    def cut_regions(self) -> None:
        """Cut all regions off from each other."""
        self._cut_regions = True

    def heal(self) -> None:
        """Undo all cuts; messages that were lost meanwhile stay lost."""
        self._cut_endpoints.clear()
        self._cut_pairs.clear()
        self._cut_regions = False

    def heal_endpoint(self, name: str) -> None:
        """Undo the cut of one endpoint."""
        self._cut_endpoints.discard(name)

    def heal_regions(self) -> None:
        """Undo the cut between regions."""
        self._cut_regions = False

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether the network is cut between two endpoints."""
        if source in self._cut_endpoints or target in self._cut_endpoints:
            return source != target
        if frozenset((source, target)) in self._cut_pairs:
            return True
        return self._cut_regions and self.crosses_regions(source, target)

    def crosses_regions(self, source: str, target: str) -> bool:
        """Return whether two endpoints are in different regions."""
        regions = self.settings.regions
        return regions[self.places[source]] != regions[self.places[target]]

    def find_delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay between two endpoints."""
        extra_s = self.settings.extra_s.get(source, 0.0) + self.settings.extra_s.get(
            target, 0.0
        )
        if self.crosses_regions(source, target):
            return self.settings.between_regions_s + extra_s
        if self.places[source] != self.places[target]:
            return self.settings.between_places_s + extra_s
        return self.settings.same_place_s + extra_s

    async def transmit(
        self, source: str, target: str, cause: str, n_bytes: int
    ) -> None:
        """Wait for the transmission of a message, forever if it is lost.

        :param cause: key under which bytes between regions are counted.
        :param n_bytes: size of the message.
        """
        delay_s = self.find_delay_s(source, target)
        if self.crosses_regions(source, target):
            self.region_bytes[cause] += n_bytes
            now = trio.current_time()
            send_s = n_bytes * 8 / self.settings.region_bits_per_second
            self._link_free_at = max(now, self._link_free_at) + send_s
            delay_s += self._link_free_at - now
        await trio.sleep(delay_s)
        if self.is_cut(source, target):
            await trio.sleep_forever()

    async def call(
        self,
        source: str,
        target: str,
        cause: str,
        serve: Callable[[], Awaitable[T]],
        n_bytes: int = SMALL_MESSAGE_BYTES,
        measure: Callable[[T], int] | None = None,
    ) -> T:
        """Run `serve` at the target and return its result or raise its error.

        :param cause: key under which calls and bytes between regions are counted.
        :param n_bytes: size of the request.
        :param measure: returns the size of the response.
        """
        outcome: _Outcome[T] = _Outcome()
        self.n_calls[cause] += 1

        async def run() -> None:
            await self.transmit(source, target, cause, n_bytes)
            n_bytes_back = SMALL_MESSAGE_BYTES
            try:
                outcome.value = await serve()
                if measure is not None and self.crosses_regions(source, target):
                    n_bytes_back += measure(outcome.value)
            except Exception as error:
                outcome.error = error
            await self.transmit(target, source, cause, n_bytes_back)
            outcome.done.set()

        self._nursery.start_soon(run)
        await outcome.done.wait()
        if outcome.error is not None:
            raise outcome.error
        return outcome.value  # type: ignore[return-value]

    def spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a background task in the nursery of the network."""
        self._nursery.start_soon(task)
