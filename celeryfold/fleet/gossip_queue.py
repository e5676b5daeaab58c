"""Queue of state updates that are sent to peers a bounded number of times."""

from __future__ import annotations

__all__ = ["GossipQueue"]

import math

from .members import News

N_UPDATES_PER_MESSAGE = 8
RETRANSMIT_FACTOR = 1


class GossipQueue:
    """Queue of the latest update on each subject, until it was sent often enough."""

    def __init__(self) -> None:
        self._updates: dict[str, News] = {}
        self._n_sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, update: News) -> None:
        """Add an update; it replaces an earlier one on the same subject."""
        self._updates[update.subject] = update
        self._n_sent[update.subject] = 0

    def take(self, n_members: int) -> tuple[News, ...]:
        """Return the updates that were sent least often, and count them as sent.

        :param n_members: size of the fleet; its logarithm sets how often each update is
            sent.
        """
        least_sent = sorted(self._updates, key=self._n_sent.__getitem__)
        chosen = least_sent[:N_UPDATES_PER_MESSAGE]
        taken = tuple(self._updates[subject] for subject in chosen)
        n_transmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(n_members + 2))
        for subject in chosen:
            self._n_sent[subject] += 1
            if self._n_sent[subject] >= n_transmissions:
                del self._updates[subject]
                del self._n_sent[subject]
        return taken
