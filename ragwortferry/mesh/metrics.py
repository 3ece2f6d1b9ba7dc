"""OpenTelemetry metrics of a node, rendered in the Prometheus text format."""

__all__ = ["NodeMetrics"]

from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ragwortferry.utils.histogram import Histogram

if TYPE_CHECKING:
    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

# Upper bounds of the latency buckets; latency objectives lie between 80 and 1,500 ms.
BUCKETS_MS = (2, 5, 10, 25, 50, 80, 120, 200, 300, 400, 600, 800, 1200, 2000, 4000)
PREFIX = "ragwortferry_"

# Names and values of the labels of one time series.
Labels = tuple[tuple[str, str], ...]
# Returns the labels and the value of each time series of a counter or gauge.
Observe = Callable[[], Iterable[tuple[dict[str, object], float]]]


class NodeMetrics:
    """Records and exports the metrics of one node.

    What is recorded for each request or message is aggregated in plain counters, which
    the metrics library observes when the metrics are read. It is loaded then: it takes
    a fifth of the time of a start. It has no observable histogram, so :meth:`text`
    renders the histograms itself.

    :param instance: name of the instance.
    :param zone: availability zone.
    """

    def __init__(self, instance: str, zone: str):
        self._labels = {"instance": instance, "zone": zone}
        self._reader: InMemoryMetricReader | None = None
        self._counters: dict[str, Observe] = {}
        self._gauges: dict[str, Observe] = {}
        # Number of requests by status and kind of error.
        self._requests: Counter[tuple[int, str]] = Counter()
        self._counters[f"{PREFIX}requests"] = self._observe_requests
        # The time series of each histogram by their labels.
        self._histograms: dict[str, dict[Labels, Histogram]] = {}
        self._latencies = self._histograms.setdefault("request_ms", {})
        self._round_trips = self._histogram("ping_ms")
        self._loop_lags = self._histogram("loop_lag_ms")

    def _observe_requests(self) -> Iterable[tuple[dict[str, object], float]]:
        return [
            ({"status": status, "error": error}, count)
            for (status, error), count in self._requests.items()
        ]

    def _histogram(self, name: str, labels: Labels = ()) -> Histogram:
        """Return the time series of a histogram with these labels."""
        series = self._histograms.setdefault(name, {})
        if labels not in series:
            series[labels] = Histogram(BUCKETS_MS)
        return series[labels]

    def record_request(
        self, route: str, status: int, error: str, seconds: float
    ) -> None:
        """Count a request and record its latency.

        :param error: kind of the error, empty if there was none.
        """
        self._requests[status, error] += 1
        labels = (("route", route),)
        latencies = self._latencies.get(labels)
        if latencies is None:
            latencies = self._histogram("request_ms", labels)
        latencies.record(seconds * 1000)

    def record_round_trip(self, seconds: float) -> None:
        """Record the time between a ping and its pong."""
        self._round_trips.record(seconds * 1000)

    def record_loop_lag(self, seconds: float) -> None:
        """Record how late a timer of the event loop fired."""
        self._loop_lags.record(seconds * 1000)

    def record_store_read(self, reads: str, result: str, seconds: float) -> None:
        """Record the duration of a read of the store.

        :param reads: part of the store.
        :param result: ``"ok"`` or ``"failed"``.
        """
        labels = (("reads", reads), ("result", result))
        self._histogram("store_read_ms", labels).record(seconds * 1000)

    def add_counters(
        self, name: str, label: str, read: Callable[[], dict[str, int]]
    ) -> None:
        """Add counters that are read at each scrape.

        :param label: name of the label that tells the counters apart.
        :param read: returns the values by the value of the label.
        """

        self._counters[PREFIX + name] = lambda: _by_label(label, read())

    def add_gauges(
        self, name: str, label: str, read: Callable[[], dict[str, float]]
    ) -> None:
        """Add gauges that are read at each scrape; parameters as for the counters."""
        self._gauges[PREFIX + name] = lambda: _by_label(label, read())

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        self._gauges[PREFIX + name] = lambda: [({}, read())]

    def _create_reader(self) -> "InMemoryMetricReader":
        """Load the metrics library and create its counters and gauges."""
        from opentelemetry.metrics import Observation
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.export import InMemoryMetricReader
        from opentelemetry.sdk.resources import Resource

        def observer(observe: Observe):
            return lambda _: [Observation(value, labels) for labels, value in observe()]

        reader = InMemoryMetricReader()
        resource = Resource(self._labels)
        provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        meter = provider.get_meter("ragwortferry")
        for name, observe in self._counters.items():
            meter.create_observable_counter(name, [observer(observe)])
        for name, observe in self._gauges.items():
            meter.create_observable_gauge(name, [observer(observe)])
        return reader

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        if self._reader is None:
            self._reader = self._create_reader()
        data = self._reader.get_metrics_data()
        lines: list[str] = []
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        labels = _labels(point.attributes.items())
                        lines.append(f"{metric.name}{labels} {point.value}")
        for name, series in self._histograms.items():
            for labels, histogram in series.items():
                lines += _histogram_lines(PREFIX + name, labels, histogram)
        return "\n".join(lines) + "\n"


def _by_label(
    label: str, values: dict[str, float]
) -> list[tuple[dict[str, object], float]]:
    return [({label: key}, value) for key, value in values.items()]


def _histogram_lines(name: str, labels: Labels, histogram: Histogram) -> list[str]:
    lines, count = [], 0
    bounds = [*histogram.bounds, "+Inf"]
    for bound, in_bucket in zip(bounds, histogram.counts, strict=True):
        count += in_bucket
        lines.append(f"{name}_bucket{_labels((*labels, ('le', bound)))} {count}")
    lines.append(f"{name}_sum{_labels(labels)} {histogram.total}")
    lines.append(f"{name}_count{_labels(labels)} {count}")
    return lines


def _labels(labels: Iterable[tuple[str, object]]) -> str:
    inner = ",".join(f'{key}="{value}"' for key, value in labels)
    return "{" + inner + "}" if inner else ""
