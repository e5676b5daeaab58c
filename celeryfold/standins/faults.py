"""Faults that can be injected into a stand-in."""

from __future__ import annotations

__all__ = ["Faults", "FaultsBody"]

import msgspec
import trio


class FaultsBody(msgspec.Struct):
    """A change of faults, sent over HTTP; a field left out keeps its value.

    :param paused: delay all responses until this is reset.
    :param cut: cut the stand-in off: open and new connections break.
    :param cut_replication: neither send nor receive log entries.
    :param drop_answers: number of requests that take effect without a response.
    :param silence: make all open connections permanently unresponsive.
    :param delay_ms: delay added to each response, in milliseconds.
    :param lag_ms: replication lag, in milliseconds.
    :param leaving: whether the slot reports that it is leaving.
    """

    paused: bool | None = None
    cut: bool | None = None
    cut_replication: bool | None = None
    drop_answers: int | None = None
    silence: bool = False
    delay_ms: float | None = None
    lag_ms: float | None = None
    leaving: bool | None = None


class Faults:
    """The active faults of a stand-in."""

    def __init__(self) -> None:
        self.cut = False
        self.cut_replication = False
        self.drop_answers = 0
        self.n_silences = 0
        self.delay_s = 0.0
        self.paused = False
        self._resumed = trio.Event()

    def apply(self, body: FaultsBody) -> None:
        """Update the faults from the fields that are set."""
        if body.paused is not None:
            self.set_paused(body.paused)
        if body.cut is not None:
            self.cut = body.cut
        if body.cut_replication is not None:
            self.cut_replication = body.cut_replication
        if body.drop_answers is not None:
            self.drop_answers = body.drop_answers
        if body.silence:
            self.n_silences += 1
        if body.delay_ms is not None:
            self.delay_s = body.delay_ms / 1000.0

    def set_paused(self, paused: bool) -> None:
        """Pause or resume all responses."""
        self.paused = paused
        if not paused:
            self._resumed.set()
            self._resumed = trio.Event()

    async def delay_answer(self) -> None:
        """Wait until the stand-in is not paused, then for the delay."""
        while self.paused:
            await self._resumed.wait()
        if self.delay_s:
            await trio.sleep(self.delay_s)

    def consume_dropped_answer(self) -> bool:
        """Return whether to drop a response; if so, decrement the number to drop."""
        if self.drop_answers <= 0:
            return False
        self.drop_answers -= 1
        return True
