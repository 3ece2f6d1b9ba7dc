"""Statistics of a soak by second and zone; ``benchmarks.report`` plots them."""

__all__ = [
    "Figures",
    "Sample",
    "Second",
    "read_figures",
    "second_of",
    "write_figures",
]

from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct

# Range and precision of latencies: 0.1 ms to 60 s in units of 0.1 ms, 2 digits.
MIN_LATENCY_UNITS, MAX_LATENCY_UNITS, SIGNIFICANT_DIGITS = 1, 600_000, 2
UNITS_PER_S = 10_000
REFUSED_STATUSES = (408, 421, 429, 503)


class Second(Struct):
    """Statistics of the requests that started in one second.

    :param at: second of the run.
    :param served: responses with status 200.
    :param refused: responses with a status in ``REFUSED_STATUSES``.
    :param failed: other responses and broken connections.
    :param p50_ms: median latency of served requests, 0 if none was served.
    :param p99_ms: 99th percentile of the same.
    :param served_by_zone: fraction of served requests of each zone.
    """

    at: int
    served: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float
    served_by_zone: dict[str, float]


class Sample(Struct):
    """Lowest and highest enforced version at one time, over the reachable nodes."""

    at: float
    oldest: int
    newest: int


class Figures(Struct):
    """Statistics of one run."""

    title: str
    seconds: list[Second]
    versions: list[Sample]


def second_of(at: int, calls: list) -> Second:
    """Return the statistics of the calls that started in one second.

    :param calls: objects with ``status``, ``seconds`` and ``zone``.
    """
    latencies = HdrHistogram(MIN_LATENCY_UNITS, MAX_LATENCY_UNITS, SIGNIFICANT_DIGITS)
    zones: dict[str, list[bool]] = {}
    refused = 0
    for call in calls:
        served = call.status == 200
        zones.setdefault(call.zone, []).append(served)
        refused += call.status in REFUSED_STATUSES
        if served:
            latencies.record_value(
                max(MIN_LATENCY_UNITS, int(call.seconds * UNITS_PER_S))
            )
    served = latencies.get_total_count()

    def quantile(percent: float) -> float:
        if not served:
            return 0.0
        return 1000 * latencies.get_value_at_percentile(percent) / UNITS_PER_S

    served_ratios = {
        zone: sum(outcomes) / len(outcomes) for zone, outcomes in sorted(zones.items())
    }
    failed = len(calls) - served - refused
    return Second(
        at, served, refused, failed, quantile(50), quantile(99), served_ratios
    )


def write_figures(path: Path, figures: Figures) -> None:
    """Write the statistics of a run as JSON."""
    path.write_bytes(msgspec.json.encode(figures))


def read_figures(path: Path) -> Figures:
    """Read the statistics of a run.

    :raises msgspec.DecodeError: if the file has another content.
    """
    return msgspec.json.decode(path.read_bytes(), type=Figures)
