"""Samples of primaries: which upstream leads, and which position a read must cover."""

from __future__ import annotations

__all__ = ["Sample", "SampleHistory", "WriteSuspension"]

import logging
import math
from collections import defaultdict, deque

import msgspec
import trio

from ..kernel.ids import ServiceId, UpstreamId
from .clock import Clock
from .positions import LogPosition
from .upstream import Upstream

log = logging.getLogger(__name__)

# Reads accept a staleness of a few seconds; older samples serve no read.
SAMPLE_RETENTION_S = 10.0
N_SAMPLES_RETAINED = 64
# A sample closer to the previous one than this is not stored in the history.
SAMPLE_SPACING_S = 0.1
# A primary without a newer sample gets no more statements, since their outcome would
# stay unknown. Gossip takes about a second over three hops.
LEADER_TIMEOUT_S = 1.2
# How long an upstream that denied leadership is not preferred in a search.
DENIAL_RETENTION_S = 1.0


class Sample(msgspec.Struct, frozen=True):
    """Evidence that an upstream was primary, with a bound on its acknowledged commits.

    :param position: a position that covers each commit acknowledged before
        ``taken_at``.
    :param taken_at: the time just before the request was sent, in seconds of this
        instance's clock.
    """

    upstream: UpstreamId
    position: LogPosition
    taken_at: float


class WriteSuspension(msgspec.Struct, frozen=True):
    """A suspension of the writes to a service.

    :param successor: the upstream that is about to lead, or None if it is not known.
    :param for_s: how long it lasts at most, in seconds; 0 to end it.
    :param token: the fencing token of the holder that requests it.
    """

    successor: UpstreamId | None
    for_s: float
    token: int


class _ServiceHistory:
    def __init__(self) -> None:
        self.samples: deque[Sample] = deque(maxlen=N_SAMPLES_RETAINED)
        self.newest: Sample | None = None
        self.highest: LogPosition | None = None
        self.suspended_until = -math.inf
        # When writes were suspended, and when a primary was first looked for in vain.
        self.suspended_since = math.inf
        self.missed_since = math.inf
        self.successor: UpstreamId | None = None
        self.token = 0
        self.denied_at: dict[UpstreamId, float] = {}
        self.changed = trio.Event()
        self.denied = trio.Event()


class SampleHistory:
    """The recent samples of each service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[ServiceId, _ServiceHistory] = defaultdict(_ServiceHistory)

    def add(self, service: ServiceId, sample: Sample) -> None:
        """Add a sample; samples may arrive in any order."""
        history = self._services[service]
        newest = history.newest
        if history.highest is None or sample.position > history.highest:
            history.highest = sample.position
        if newest is None or sample.taken_at > newest.taken_at:
            self._log_leader_change(service, newest, sample)
            history.newest = sample
            if sample.upstream == history.successor:
                history.suspended_until = -math.inf
            if self._is_spaced(history, sample):
                history.samples.append(sample)
            history.changed.set()
            history.changed = trio.Event()

    def _is_spaced(self, history: _ServiceHistory, sample: Sample) -> bool:
        if not history.samples:
            return True
        return sample.taken_at - history.samples[-1].taken_at >= SAMPLE_SPACING_S

    def _log_leader_change(
        self, service: ServiceId, before: Sample | None, now: Sample
    ) -> None:
        if before is None or before.upstream != now.upstream:
            log.info(
                "primary learned",
                extra={
                    "service": service,
                    "upstream": now.upstream,
                    "position": str(now.position),
                    "replaced": before.upstream if before else "",
                },
            )

    def record_not_leader(self, service: ServiceId, upstream: UpstreamId) -> None:
        """Record that an upstream has just denied leadership."""
        history = self._services[service]
        history.denied_at[upstream] = self._clock()
        history.denied.set()
        history.denied = trio.Event()

    def has_denied_leadership(self, upstream: Upstream) -> bool:
        """Return whether an upstream denied leadership and has not been sampled since.

        The denial of an upstream that is not the latest leader expires.
        """
        history = self._services[upstream.service]
        denied_at = history.denied_at.get(upstream.upstream_id)
        if denied_at is None:
            return False
        newest = history.newest
        if newest is None or newest.upstream != upstream.upstream_id:
            return self._clock() - denied_at < DENIAL_RETENTION_S
        return denied_at > newest.taken_at

    def newest(self, service: ServiceId) -> Sample | None:
        """Return the newest sample of a service, or None if there is none yet."""
        return self._services[service].newest

    def find_highest_position(self, service: ServiceId) -> LogPosition | None:
        """Return the highest position seen in any sample of a service."""
        return self._services[service].highest

    def suspend(self, service: ServiceId, suspension: WriteSuspension) -> None:
        """Suspend writes to all upstreams of a service but the successor.

        This ends when the successor leads. A suspension with an older token than the
        last one changes nothing.
        """
        history = self._services[service]
        if suspension.token < history.token:
            return
        is_same = (suspension.token, suspension.successor) == (
            history.token,
            history.successor,
        )
        newest = history.newest
        has_ended = is_same and history.suspended_until == -math.inf
        if has_ended and newest is not None and newest.upstream == history.successor:
            return
        was_suspended = self._clock() < history.suspended_until
        if not was_suspended:
            history.suspended_since = self._clock()
        history.token = suspension.token
        history.successor = suspension.successor
        history.suspended_until = self._clock() + suspension.for_s
        if not is_same or was_suspended != (suspension.for_s > 0):
            text = "writes suspended" if suspension.for_s > 0 else "writes resumed"
            successor = suspension.successor or ""
            log.info(text, extra={"service": service, "successor": successor})
        history.changed.set()
        history.changed = trio.Event()

    def list_suspensions(self) -> list[tuple[ServiceId, WriteSuspension]]:
        """Return the suspensions in force, with the time that they still last."""
        now = self._clock()
        return [
            (
                service,
                WriteSuspension(h.successor, h.suspended_until - now, h.token),
            )
            for service, h in self._services.items()
            if now < h.suspended_until
        ]

    def is_suspended(self, service: ServiceId, upstream: UpstreamId) -> bool:
        """Return whether writes to an upstream are suspended.

        What it acknowledges may be missing at the upstream that is about to lead.
        """
        history = self._services[service]
        is_in_force = self._clock() < history.suspended_until
        return is_in_force and upstream != history.successor

    def find_leaderless_since(self, service: ServiceId) -> float:
        """Return since when no primary can be used, in seconds of the instance's clock.

        Where none was ever known, this is the first call of this method.
        """
        history = self._services[service]
        now = self._clock()
        if history.newest is None:
            history.missed_since = min(history.missed_since, now)
            return history.missed_since
        if now < history.suspended_until:
            return min(history.newest.taken_at, history.suspended_since)
        return history.newest.taken_at

    def find_leader(self, service: ServiceId) -> UpstreamId | None:
        """Return the upstream sampled recently that has not denied leadership since.

        There is none while writes to it are suspended.
        """
        history = self._services[service]
        newest = history.newest
        if newest is not None and self.is_suspended(service, newest.upstream):
            return None
        if newest is None or self._clock() - newest.taken_at > LEADER_TIMEOUT_S:
            return None
        if history.denied_at.get(newest.upstream, -1.0) > newest.taken_at:
            return None
        return newest.upstream

    def find_freshness_bound(
        self, service: ServiceId, not_before: float
    ) -> Sample | None:
        """Return the oldest sample of the newest term that is fresh enough for a read.

        The oldest one requires the lowest position of the upstream that is read.

        :param not_before: the earliest acceptable time of the sample, in seconds of
            this instance's clock.
        :returns: None if no sample is fresh enough.
        """
        history = self._services[service]
        self._evict_old(history)
        newest = history.newest
        if newest is None or newest.taken_at < not_before:
            return None
        for sample in history.samples:
            if sample.taken_at < not_before:
                continue
            if sample.position.term == newest.position.term:
                return sample
        return newest

    def _evict_old(self, history: _ServiceHistory) -> None:
        oldest = self._clock() - SAMPLE_RETENTION_S
        while history.samples and history.samples[0].taken_at < oldest:
            history.samples.popleft()

    async def wait_denied(self, service: ServiceId) -> None:
        """Wait until an upstream of a service denies leadership."""
        await self._services[service].denied.wait()

    async def wait_newer(self, service: ServiceId) -> None:
        """Wait until a newer sample of a service is added."""
        await self._services[service].changed.wait()
