"""OpenTelemetry metrics of a node, rendered in the Prometheus text format."""

__all__ = ["NodeMetrics"]

from collections.abc import Callable, Iterable

from opentelemetry.metrics import Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource

# Upper bounds of the latency buckets; latency objectives lie between 80 and 1,500 ms.
BUCKETS_MS = (2, 5, 10, 25, 50, 80, 120, 200, 300, 400, 600, 800, 1200, 2000, 4000)
PREFIX = "ragwortferry_"


class NodeMetrics:
    """Records and exports the metrics of one node.

    :param instance: name of the instance.
    :param zone: availability zone.
    """

    def __init__(self, instance: str, zone: str):
        self._reader = InMemoryMetricReader()
        resource = Resource({"instance": instance, "zone": zone})
        provider = MeterProvider([self._reader], resource, shutdown_on_exit=False)
        self._meter = provider.get_meter("ragwortferry")
        self._requests = self._meter.create_counter(f"{PREFIX}requests")
        self._latency = self._meter.create_histogram(
            f"{PREFIX}request_ms", explicit_bucket_boundaries_advisory=BUCKETS_MS
        )
        self._round_trips = self._histogram("ping_ms")
        self._loop_lags = self._histogram("loop_lag_ms")
        self._store_reads = self._histogram("store_read_ms")

    def _histogram(self, name: str) -> Histogram:
        return self._meter.create_histogram(
            PREFIX + name, explicit_bucket_boundaries_advisory=BUCKETS_MS
        )

    def record_request(
        self, route: str, status: int, error: str, seconds: float
    ) -> None:
        """Count a request and record its latency.

        :param error: kind of the error, empty if there was none.
        """
        self._requests.add(1, {"status": status, "error": error})
        self._latency.record(seconds * 1000, {"route": route})

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
        self._store_reads.record(seconds * 1000, {"reads": reads, "result": result})

    def add_counters(
        self, name: str, label: str, read: Callable[[], dict[str, int]]
    ) -> None:
        """Add counters that are read at each scrape.

        :param label: name of the label that tells the counters apart.
        :param read: returns the values by the value of the label.
        """

        def values(_options) -> Iterable[Observation]:
            return [Observation(value, {label: key}) for key, value in read().items()]

        self._meter.create_observable_counter(PREFIX + name, [values])

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""

        def values(_options) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(PREFIX + name, [values])

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        data = self._reader.get_metrics_data()
        lines: list[str] = []
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        lines += _lines(metric.name, point)
        return "\n".join(lines) + "\n"


def _lines(name: str, point) -> list[str]:
    labels = {key: str(value) for key, value in point.attributes.items()}
    if not hasattr(point, "bucket_counts"):
        return [f"{name}{_labels(labels)} {point.value}"]
    lines, total = [], 0
    bounds = [*point.explicit_bounds, "+Inf"]
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        total += count
        lines.append(f"{name}_bucket{_labels({**labels, 'le': str(bound)})} {total}")
    lines.append(f"{name}_sum{_labels(labels)} {point.sum}")
    lines.append(f"{name}_count{_labels(labels)} {point.count}")
    return lines


def _labels(labels: dict[str, str]) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{key}="{value}"' for key, value in labels.items())
    return "{" + inner + "}"
