"""Take samples at the home of the primary, and cache them where reads are checked."""

from __future__ import annotations

__all__ = ["SampleCache", "SampleCollector"]

from collections.abc import Awaitable, Callable

import trio

from ..drivers.slot import Slot, SlotStatus
from ..exceptions import CeleryfoldError, RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import GroupId, SlotId
from .freshness import Sample, SampleBuffer, make_sample
from .record_cache import RecordCache

STATUS_TIMEOUT_S = 0.6
# Samples that are prefetched within the accepted age of a read.
N_SAMPLES_PER_AGE = 8
MIN_SAMPLE_INTERVAL_S = 0.1
SAMPLE_TIMEOUT_S = 1.0


class SampleCollector:
    """Takes samples by querying all confirming slots of a group.

    One round of queries serves all callers that asked before the round started.

    :param group: group to sample.
    :param record_cache: source of the group's current record.
    :param find_slot: returns the driver of a slot.
    """

    def __init__(
        self,
        group: GroupId,
        record_cache: RecordCache,
        find_slot: Callable[[SlotId], Slot],
    ) -> None:
        self.group = group
        self._record_cache = record_cache
        self._find_slot = find_slot
        self._current_round: _Round | None = None
        self._next_round: _Round | None = None

    async def take(self) -> Sample:
        """Return a sample whose queries were sent after this call.

        :raises RequestFailure: ``too_stale`` if no started term is known or a
            confirming slot does not report that term.
        """
        if self._current_round is None:
            joined = self._current_round = _Round()
            await self._run(joined)
        else:
            if self._next_round is None:
                self._next_round = _Round()
            joined = self._next_round
            await self._current_round.done.wait()
            if not joined.is_started:
                self._current_round = joined
                self._next_round = None
                await self._run(joined)
            else:
                await joined.done.wait()
        if joined.sample is None:
            text = "no started term is known that every confirming slot reports"
            raise RequestFailure(ErrorKind.TOO_STALE, text)
        return joined.sample

    async def _run(self, current: _Round) -> None:
        current.is_started = True
        try:
            current.sample = await self._query_slots()
        finally:
            if self._current_round is current:
                self._current_round = None
            current.done.set()

    async def _query_slots(self) -> Sample | None:
        known = self._record_cache.find(self.group)
        if known is None or not known.record.started:
            return None
        taken_at = trio.current_time()
        statuses: dict[SlotId, SlotStatus] = {}

        async def query(slot: SlotId) -> None:
            try:
                statuses[slot] = await self._find_slot(slot).fetch_status()
            except CeleryfoldError:
                pass

        with trio.move_on_after(STATUS_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for slot in known.record.confirming:
                    nursery.start_soon(query, slot)
        return make_sample(known.record, statuses, taken_at)


class _Round:
    """One round of queries, with the callers that wait for its sample."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.sample: Sample | None = None
        self.is_started = False


class SampleCache:
    """Caches the samples of one group and fetches new ones when reads need them.

    :param fetch: fetches a sample from the home of the primary. The sample is valid for
        the local time at which the request was sent.
    :param nursery: runs the prefetches.
    """

    def __init__(
        self, fetch: Callable[[], Awaitable[Sample]], nursery: trio.Nursery
    ) -> None:
        self.buffer = SampleBuffer()
        self._fetch = fetch
        self._nursery = nursery
        self._last_requested_at = float("-inf")
        self._fetching: dict[float, trio.Event] = {}

    def prefetch(self, accepted_age_s: float) -> None:
        """Start to fetch a sample if the latest request is older than one step.

        A read is checked against the oldest sample within its accepted age. With short
        steps between samples, that sample is almost as old as the read accepts, so that
        a lagging slot passes the check.

        :param accepted_age_s: accepted age of the data in seconds.
        """
        step_s = max(MIN_SAMPLE_INTERVAL_S, accepted_age_s / N_SAMPLES_PER_AGE)
        if trio.current_time() - self._last_requested_at > step_s:
            self._nursery.start_soon(self.refresh, trio.current_time())

    async def refresh(self, not_before: float) -> None:
        """Wait until a sample requested at or after a moment has arrived or failed.

        :param not_before: local monotonic time in seconds.
        """
        for requested_at, done in self._fetching.items():
            if requested_at >= not_before:
                await done.wait()
                return
        requested_at = trio.current_time()
        done = self._fetching[requested_at] = trio.Event()
        self._last_requested_at = requested_at
        try:
            with trio.move_on_after(SAMPLE_TIMEOUT_S):
                sample = await self._fetch()
                self.buffer.add(Sample(sample.term, sample.position, requested_at))
        except CeleryfoldError:
            pass
        finally:
            self._fetching.pop(requested_at, None)
            done.set()
