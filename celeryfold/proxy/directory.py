"""The directory of known upstreams, read from the store or received from peers."""

from __future__ import annotations

__all__ = ["Directory", "Listing"]

import logging
from collections.abc import Callable

import msgspec

from ..kernel.ids import ServiceId, UpstreamId
from .clock import Clock
from .upstream import Upstream

log = logging.getLogger(__name__)

# Entries that lapsed while the store was down are back about two seconds after its
# return; the rest is margin for reading them.
MISSING_GRACE_S = 2.5


class Listing(msgspec.Struct, frozen=True, array_like=True):
    """All upstreams in the store at one revision."""

    revision: int
    upstreams: tuple[Upstream, ...]


class Directory:
    """The upstreams of the newest listing; missing ones are kept for a grace period."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[UpstreamId, Upstream] = {}
        self._missing_since: dict[UpstreamId, float] = {}
        self._leaving_since: dict[UpstreamId, float] = {}
        self.listing = Listing(0, ())
        self._observers: list[Callable[[], None]] = []

    def subscribe(self, observer: Callable[[], None]) -> None:
        """Register an observer that is called after each change."""
        self._observers.append(observer)

    def adopt(self, listing: Listing, origin: str) -> bool:
        """Apply a listing if it is newer than the current one.

        :param origin: the source of the listing, for the log.
        :returns: whether it was newer.
        """
        if listing.revision <= self.listing.revision:
            self._log_dropped(listing, origin)
            return False
        before = dict(self._known)
        self.listing = listing
        present = {upstream.upstream_id: upstream for upstream in listing.upstreams}
        self._track_missing(present)
        self._known.update(present)
        self._track_leaving()
        self._log_changes(before, listing.revision, origin)
        if self._known != before:
            self._notify()
        return True

    def _log_dropped(self, listing: Listing, origin: str) -> None:
        """Log that a listing is not applied, if its upstreams differ."""
        if set(listing.upstreams) == set(self.listing.upstreams):
            return
        extra = {
            "revision": listing.revision,
            "current": self.listing.revision,
            "origin": origin,
        }
        log.warning("older listing dropped", extra=extra)

    def _track_missing(self, present: dict[UpstreamId, Upstream]) -> None:
        now = self._clock()
        for upstream_id in self._known:
            if upstream_id in present:
                self._missing_since.pop(upstream_id, None)
            else:
                self._missing_since.setdefault(upstream_id, now)

    def _track_leaving(self) -> None:
        now = self._clock()
        for upstream_id, upstream in self._known.items():
            if upstream.is_leaving:
                self._leaving_since.setdefault(upstream_id, now)
            else:
                self._leaving_since.pop(upstream_id, None)

    def find_leaving_s(self, upstream_id: UpstreamId) -> float | None:
        """Return for how many seconds an upstream has been leaving, or None."""
        since = self._leaving_since.get(upstream_id)
        return None if since is None else self._clock() - since

    def _log_changes(
        self, before: dict[UpstreamId, Upstream], revision: int, origin: str
    ) -> None:
        for upstream_id, upstream in self._known.items():
            if before.get(upstream_id) != upstream:
                role = upstream.claimed_role
                extra = {
                    "upstream": upstream_id,
                    "service": upstream.service,
                    "address": upstream.address,
                    "place": upstream.place,
                    "leaving": upstream.is_leaving,
                    "claimed_role": role.value if role else "",
                    "born_ms": upstream.born_ms,
                    "revision": revision,
                    "origin": origin,
                }
                log.info("upstream changed", extra=extra)

    def expire(self) -> None:
        """Remove upstreams that have been missing for longer than the grace period."""
        oldest = self._clock() - MISSING_GRACE_S
        expired = [u for u, since in self._missing_since.items() if since < oldest]
        for upstream_id in expired:
            del self._missing_since[upstream_id]
            self._leaving_since.pop(upstream_id, None)
            upstream = self._known.pop(upstream_id, None)
            if upstream is not None:
                extra = {"upstream": upstream_id, "service": upstream.service}
                log.info("upstream gone", extra=extra)
        if expired:
            self._notify()

    def _notify(self) -> None:
        for observer in self._observers:
            observer()

    def find(self, upstream_id: UpstreamId) -> Upstream | None:
        """Return an upstream by id, or None if it is not known."""
        return self._known.get(upstream_id)

    def list_all(self) -> list[Upstream]:
        """Return all upstreams, those in their grace period included."""
        return list(self._known.values())

    def list_service(self, service: ServiceId) -> list[Upstream]:
        """Return the upstreams of a service, those in their grace period included."""
        return [u for u in self._known.values() if u.service == service]
