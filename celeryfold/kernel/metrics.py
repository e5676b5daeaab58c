"""Counters, gauges and durations, exported in the Prometheus format and to statsd."""

from __future__ import annotations

__all__ = ["Metrics"]

import re
from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry, Histogram
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
    from statsd import StatsClient

# From a statement that is answered at once to one that reaches a long timeout.
DURATION_BUCKETS_S = (
    *(0.002, 0.005, 0.01, 0.02, 0.05, 0.1),
    *(0.2, 0.4, 0.8, 1.5, 3.0, 8.0),
)
METRIC_PREFIX = "celeryfold"
# Durations that are kept before they are added to histograms. Importing the library of
# the histograms is slow, so it waits until the process serves.
N_PENDING_DURATIONS = 1000


class Metrics:
    """The metrics of one process.

    The export libraries are imported on first use, since they slow down the start.

    :param statsd: the statsd client that also receives them; None for no statsd.
    """

    def __init__(self, statsd: StatsClient | None = None) -> None:
        self._statsd = statsd
        self.counters: Counter[str] = Counter()
        self.gauges: Counter[str] = Counter()
        self._registry: CollectorRegistry | None = None
        self._histograms: dict[str, Histogram] = {}
        self._pending_durations: list[tuple[str, float]] = []

    @classmethod
    def connect(cls, host: str, port: int, prefix: str) -> Metrics:
        """Return metrics that are also sent to a statsd server over UDP.

        :param prefix: stands before each metric name in statsd.
        """
        from statsd import StatsClient

        return cls(StatsClient(host=host, port=port, prefix=prefix))

    def count(self, name: str, n: int = 1) -> None:
        """Add n to a counter."""
        self.counters[name] += n
        if self._statsd is not None:
            self._statsd.incr(name, n)

    def adjust(self, name: str, n: int) -> None:
        """Add n, which may be negative, to a gauge."""
        self.gauges[name] += n
        if self._statsd is not None:
            self._statsd.gauge(name, self.gauges[name])

    def time(self, name: str, seconds: float) -> None:
        """Record one duration in seconds."""
        self._pending_durations.append((name, seconds))
        if len(self._pending_durations) >= N_PENDING_DURATIONS:
            self._observe_pending(self._load_registry())
        if self._statsd is not None:
            self._statsd.timing(name, seconds * 1000.0)

    def _load_registry(self) -> CollectorRegistry:
        """Return the registry; the first call imports its library."""
        if self._registry is None:
            from prometheus_client import CollectorRegistry

            self._registry = CollectorRegistry()
            self._registry.register(self)
        return self._registry

    def _observe_pending(self, registry: CollectorRegistry) -> None:
        """Add the durations recorded since the last call to their histograms."""
        from prometheus_client import Histogram

        for name, seconds in self._pending_durations:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = self._histograms[name] = Histogram(
                    f"{_make_metric_name(name)}_seconds",
                    f"Durations of {name}",
                    buckets=DURATION_BUCKETS_S,
                    registry=registry,
                )
            histogram.observe(seconds)
        self._pending_durations.clear()

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yield all counters and gauges as Prometheus metric families."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, value in sorted(self.counters.items()):
            yield CounterMetricFamily(
                _make_metric_name(name), f"Count of {name}", value
            )
        for name, value in sorted(self.gauges.items()):
            yield GaugeMetricFamily(
                _make_metric_name(name), f"Current number of {name}", value
            )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        registry = self._load_registry()
        self._observe_pending(registry)
        return generate_latest(registry)


def _make_metric_name(name: str) -> str:
    return f"{METRIC_PREFIX}_{re.sub('[^a-zA-Z0-9_]', '_', name)}"
