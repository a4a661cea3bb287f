"""Counters, gauges and histograms in Prometheus text format."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
import threading
from typing import Final

from hdrh.histogram import HdrHistogram

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """The metrics of one process.

    A metric is identified by its name and labels in Prometheus
    notation::

        metrics.count('baobabgap_jobs_total{end="whole"}')
        metrics.observe_seconds('baobabgap_claim_seconds', 0.006)
        print(metrics.as_prometheus_text())
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_name: Counter[str] = Counter()
        self._histogram_by_name: dict[str, HdrHistogram] = {}
        self._gauge_by_name: dict[str, Callable[[], float]] = {}
        self._sources: list[Callable[[], Mapping[str, float]]] = []

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        with self._lock:
            self._count_by_name[name] += amount

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Record one duration."""
        microseconds = min(max(int(seconds * 1e6), _LOWEST_US), _HIGHEST_US)
        with self._lock:
            histogram = self._histogram_by_name.get(name)
            if histogram is None:
                histogram = HdrHistogram(
                    _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
                )
                self._histogram_by_name[name] = histogram
            histogram.record_value(microseconds)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read at each export."""
        with self._lock:
            self._gauge_by_name[name] = read

    def add_source(self, read: Callable[[], Mapping[str, float]]) -> None:
        """Register a function that returns values by metric name."""
        with self._lock:
            self._sources.append(read)

    def value(self, name: str) -> int:
        """Return the value of a counter; 0 if it was never increased."""
        with self._lock:
            return self._count_by_name[name]

    def as_prometheus_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            gauges = dict(self._gauge_by_name)
            sources = list(self._sources)
            lines = [
                f'{name} {count}'
                for name, count in sorted(self._count_by_name.items())
            ]
            for name, histogram in sorted(self._histogram_by_name.items()):
                lines.extend(_histogram_lines(name, histogram))
        lines.extend(f'{name} {read()}' for name, read in gauges.items())
        for read_all in sources:
            lines.extend(
                f'{name} {value}' for name, value in read_all().items()
            )
        return '\n'.join(lines) + '\n'


def _histogram_lines(name: str, histogram: HdrHistogram) -> list[str]:
    lines = [
        f'{name}{{quantile="{percent / 100:g}"}} '
        f'{histogram.get_value_at_percentile(percent) / 1e6:g}'
        for percent in _PERCENTILES
    ]
    lines.append(f'{name}_count {histogram.get_total_count()}')
    return lines
