"""Counters and timers, kept in the process and sent to statsd."""

from __future__ import annotations

__all__ = ["Metrics"]

from collections import Counter

from statsd import StatsClient


class Metrics:
    """Count what happens; counters are readable here and sent to statsd if set.

    :param client: a statsd client, or None to keep the counters local.
    """

    def __init__(self, client: StatsClient | None = None) -> None:
        self._client = client
        self.counters: Counter[str] = Counter()

    @classmethod
    def connect(cls, host: str, port: int, prefix: str) -> Metrics:
        """Return metrics that are also sent to a statsd server by UDP."""
        return cls(StatsClient(host=host, port=port, prefix=prefix))

    def count(self, name: str, n: int = 1) -> None:
        """Add n to a counter."""
        self.counters[name] += n
        if self._client is not None:
            self._client.incr(name, n)

    def time(self, name: str, seconds: float) -> None:
        """Record one duration in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)
