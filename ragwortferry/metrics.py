"""OpenTelemetry metrics, collected on request and not by a background thread."""

__all__ = ["Metrics"]

import os
import time
from collections.abc import Iterable, Mapping

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource

from ragwortferry.kernel import Kernel

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Metrics:
    """OpenTelemetry instruments whose callbacks read counters of the services.

    :param kernel: kernel that holds the services.
    :param instance: name of this instance.
    :param zone: availability zone of this instance.
    """

    def __init__(self, kernel: Kernel, instance: str, zone: str):
        resource = Resource(
            {
                "service.name": "ragwortferry",
                "service.instance.id": instance,
                "cloud.availability_zone": zone,
            }
        )
        self._kernel = kernel
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider([self._reader], resource, shutdown_on_exit=False)
        self._meter = self._provider.get_meter("ragwortferry")
        self._register()

    def _register(self) -> None:
        counters = {
            "ragwortferry.control.io": ("By", self._control_bytes),
            "ragwortferry.source.reads": ("{call}", self._source_reads),
            "ragwortferry.requests": ("{request}", self._requests),
            "ragwortferry.request.retries": ("{retry}", self._retries),
            "ragwortferry.upstream.ejections": ("{ejection}", self._ejections),
        }
        for name, (unit, callback) in counters.items():
            self._meter.create_observable_counter(name, [callback], unit)
        gauges = {
            "ragwortferry.version": ("{version}", self._version),
            "ragwortferry.version.age": ("s", self._version_age),
            "ragwortferry.version.spread": ("s", self._version_spread),
            "ragwortferry.slots.in_use": ("{slot}", self._slots),
            "ragwortferry.slots.queued": ("{request}", self._queued),
            "ragwortferry.request.in_flight": ("{request}", self._in_flight),
            "process.memory.usage": ("By", self._memory),
        }
        for name, (unit, callback) in gauges.items():
            self._meter.create_observable_gauge(name, [callback], unit)

    async def start(self) -> None:
        """Do nothing: metrics are collected on request."""

    async def stop(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()

    def collect(self) -> str:
        """Return all metrics as JSON in the OpenTelemetry data model."""
        data = self._reader.get_metrics_data()
        return data.to_json() if data else "{}"

    def _control_bytes(self, options: CallbackOptions) -> Iterable[Observation]:
        counters = self._kernel.get("peers").counters
        for direction in ("sent", "received"):
            for kind, size in getattr(counters, direction).items():
                attributes = {
                    "network.io.direction": direction,
                    "ragwortferry.message": kind,
                }
                yield Observation(size, attributes)

    def _source_reads(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._kernel.get("reader").calls)

    def _requests(self, options: CallbackOptions) -> Iterable[Observation]:
        for kind, count in self._kernel.get("entry").response_counts.items():
            yield Observation(count, {"error.type": kind})

    def _retries(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._kernel.get("entry").retries)

    def _ejections(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._kernel.get("balancer").ejections)

    def _version(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._kernel.get("store").current.version)

    def _version_age(self, options: CallbackOptions) -> Iterable[Observation]:
        enforced_at = self._kernel.get("store").enforced_at
        yield Observation(time.time() - enforced_at if enforced_at else 0.0)

    def _version_spread(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._kernel.get("store").spread_s)

    def _slots(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._kernel.get("target").slots.in_use)

    def _queued(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._kernel.get("target").slots.queued)

    def _in_flight(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(self._kernel.get("drain").in_flight.count)

    def _memory(self, options: CallbackOptions) -> Iterable[Observation]:
        yield Observation(resident_bytes())

    def process_state(self) -> Mapping[str, object]:
        """Return the internal state that tests and benchmarks query."""
        peers, store = self._kernel.get("peers"), self._kernel.get("store")
        members, reader = self._kernel.get("members"), self._kernel.get("reader")
        parent = peers.parent
        return {
            "instance": members.me.id,
            "version": store.current.version,
            "digest": store.current.digest,
            "high": store.highest_known.version,
            "floor_proven": store.floor_proven,
            "list_revision": members.revision,
            "listed": len(members.instances),
            "position": members.position,
            "reading": reader.reading,
            "source_problem": reader.problem,
            "source_calls": reader.calls,
            "parent": parent.instance.id if parent else "",
            "children": sorted(peer.instance.id for peer in peers.children),
            "links": len(peers.connected),
            "sent": dict(peers.counters.sent),
            "received": dict(peers.counters.received),
            "in_flight": self._kernel.get("drain").in_flight.count,
            "resident_bytes": resident_bytes(),
            "cpu_s": time.process_time(),
            "threads": len(os.listdir("/proc/self/task")),
        }


def resident_bytes() -> int:
    """Return the resident set size of this process, in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES
