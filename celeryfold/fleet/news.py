"""News waiting to be passed on, each a bounded number of times."""

from __future__ import annotations

__all__ = ["NewsQueue"]

import math

from .members import News

N_NEWS_A_MESSAGE = 8
REPEAT_FACTOR = 1


class NewsQueue:
    """Hold the latest news of each subject until it was told often enough."""

    def __init__(self) -> None:
        self._news: dict[str, News] = {}
        self._n_told: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._news)

    def add(self, news: News) -> None:
        """Add news, in place of earlier news of its subject."""
        self._news[news.subject] = news
        self._n_told[news.subject] = 0

    def take(self, n_members: int) -> tuple[News, ...]:
        """Return the least told news and count it as told once more.

        :param n_members: size of the fleet; its logarithm sets how often news is told.
        """
        least_told = sorted(self._news, key=self._n_told.__getitem__)
        chosen = least_told[:N_NEWS_A_MESSAGE]
        taken = tuple(self._news[subject] for subject in chosen)
        n_repeats = REPEAT_FACTOR * math.ceil(math.log2(n_members + 2))
        for subject in chosen:
            self._n_told[subject] += 1
            if self._n_told[subject] >= n_repeats:
                del self._news[subject]
                del self._n_told[subject]
        return taken
