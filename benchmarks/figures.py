"""Figures of a run by second and zone, as the soak writes them and the report reads."""

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

# Bounds and precision of latencies: 0.1 ms to 60 s in units of 0.1 ms, 2 digits.
MIN_LATENCY_UNITS, MAX_LATENCY_UNITS, SIGNIFICANT_DIGITS = 1, 600_000, 2
UNITS_PER_S = 10_000
REFUSED_STATUSES = (408, 421, 429, 503)


class Second(Struct):
    """What callers got in one second.

    :param failed: answers of other kinds and connections that broke.
    :param p50_ms: median time of a served request, 0 if none was served.
    :param served_by_zone: share served of the requests of each zone.
    """

    at: int
    served: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float
    served_by_zone: dict[str, float]


class Sample(Struct):
    """Versions in force at one moment, over the nodes that answered."""

    at: float
    oldest: int
    newest: int


class Figures(Struct):
    """One run."""

    title: str
    seconds: list[Second]
    versions: list[Sample]


def second_of(at: int, calls: list) -> Second:
    """Return the figures of the calls that began in one second.

    :param calls: with ``status``, ``seconds`` and ``zone``.
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
    """Write figures as JSON."""
    path.write_bytes(msgspec.json.encode(figures))


def read_figures(path: Path) -> Figures:
    """Read figures.

    :raises msgspec.DecodeError: if the file holds none.
    """
    return msgspec.json.decode(path.read_bytes(), type=Figures)
