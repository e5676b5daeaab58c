"""A bounded timeline of typed events, ordered by a hybrid logical clock."""

from __future__ import annotations

__all__ = ["Event", "EventKind", "HybridClock", "Timeline", "merge_events"]

import time
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

MAX_EVENTS_PER_RING = 4096


class EventKind(Enum):
    """The kinds of event that a timeline records."""

    INSTANCE_STARTED = "instance_started"
    INSTANCE_LEAVING = "instance_leaving"
    MEMBER_ALIVE = "member_alive"
    MEMBER_SUSPECT = "member_suspect"
    MEMBER_LEAVING = "member_leaving"
    MEMBER_DEAD = "member_dead"
    PRIMARY_SUSPECT = "primary_suspect"
    TERM_PROPOSED = "term_proposed"
    TERM_STARTED = "term_started"
    MEMBER_DROPPED = "confirming_member_dropped"
    SLOT_FOLLOWS = "slot_follows"
    SLOT_LEAVING = "slot_leaving"
    ACK_SET_LOST = "ack_set_lost"
    CONFIG_ADOPTED = "config_adopted"
    STORE_DOWN = "store_down"
    STORE_UP = "store_up"
    WRITE_ACKNOWLEDGED = "write_acknowledged"
    WRITE_CONFIRMED = "write_confirmed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REQUEST_REFUSED = "request_refused"


class Event(msgspec.Struct, frozen=True):
    """One change of state in one process, or one step of a request.

    :param stamp_ms: hybrid logical time in milliseconds since the Unix epoch.
    :param tick: logical counter that orders the events of one millisecond.
    :param process: the process that recorded the event.
    :param subject: what the event is about, such as an instance, group or slot.
    :param request_id: the request that the event belongs to; empty for changes of
        state.
    """

    stamp_ms: int
    tick: int
    process: str
    kind: EventKind
    subject: str = ""
    detail: str = ""
    request_id: str = ""


class HybridClock:
    """A hybrid logical clock: monotonic, and never behind a received timestamp.

    :param read_wall_s: returns the wall-clock time in seconds since the Unix epoch.
    """

    def __init__(self, read_wall_s: Callable[[], float] = time.time) -> None:
        self._read_wall_s = read_wall_s
        self._stamp_ms = 0
        self._tick = 0

    def advance(self) -> tuple[int, int]:
        """Return the timestamp of a local event, later than every earlier one.

        :returns: milliseconds since the Unix epoch, and the tick.
        """
        wall_ms = int(self._read_wall_s() * 1000)
        if wall_ms > self._stamp_ms:
            self._stamp_ms = wall_ms
            self._tick = 0
        else:
            self._tick += 1
        return self._stamp_ms, self._tick

    def observe(self, stamp_ms: int) -> None:
        """Advance the clock to a timestamp received with a message.

        :param stamp_ms: milliseconds since the Unix epoch.
        """
        if stamp_ms > self._stamp_ms:
            self._stamp_ms = stamp_ms
            self._tick = 0


class Timeline:
    """The latest events of one process.

    :param process: the name under which the events are recorded.
    :param clock: timestamps the events; a new clock if None.
    """

    def __init__(self, process: str, clock: HybridClock | None = None) -> None:
        self.process = process
        self.clock = clock or HybridClock()
        self._state_events: deque[Event] = deque(maxlen=MAX_EVENTS_PER_RING)
        self._request_events: deque[Event] = deque(maxlen=MAX_EVENTS_PER_RING)

    def add(
        self,
        kind: EventKind,
        subject: str = "",
        detail: str = "",
        request_id: str = "",
    ) -> None:
        """Append an event with the current timestamp.

        Request events have a ring buffer of their own, so that they do not evict
        changes of state.
        """
        stamp_ms, tick = self.clock.advance()
        event = Event(stamp_ms, tick, self.process, kind, subject, detail, request_id)
        kept = self._request_events if request_id else self._state_events
        kept.append(event)

    def read(self, subject: str = "", request_id: str = "") -> list[Event]:
        """Return the retained events that match the filters, oldest first.

        :param subject: only events about it; all if empty.
        :param request_id: only events of this request; all if empty.
        """
        kept = merge_events([self._state_events, self._request_events])
        return [
            event
            for event in kept
            if (not subject or event.subject == subject)
            and (not request_id or event.request_id == request_id)
        ]


def merge_events(streams: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of all processes in the order of their timestamps."""
    events = [event for stream in streams for event in stream]
    return sorted(events, key=lambda event: (event.stamp_ms, event.tick, event.process))
