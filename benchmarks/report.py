"""Writes an HTML page that plots the statistics of a soak.

It shows served, refused and failed requests, latency percentiles, the fraction of
served requests by zone and the enforced versions, all over time.
"""

__all__ = ["main", "page"]

import html
from pathlib import Path

import fire
import pygal

from benchmarks.figures import Figures, read_figures

WIDTH, HEIGHT = 900, 260
PAGE = """<!doctype html>
<meta charset="utf-8">
<title>{title}</title>
<style>body {{ font-family: sans-serif; max-width: 960px; margin: auto }}</style>
<h1>{title}</h1>
{charts}
"""


def _chart(title: str, unit: str, lines: dict[str, list]) -> str:
    """Return a line chart as SVG.

    :param lines: points ``(second, value)`` of each line by its name.
    """
    config = {"title": title, "y_title": unit, "x_title": "second"}
    chart = pygal.XY(width=WIDTH, height=HEIGHT, show_dots=False, js=(), **config)
    for name, points in lines.items():
        chart.add(name, points)
    return chart.render(is_unicode=True, disable_xml_declaration=True)


def page(figures: Figures) -> str:
    """Return the report as HTML."""
    seconds, versions = figures.seconds, figures.versions
    kinds = ("served", "refused", "failed")
    zones = sorted({zone for item in seconds for zone in item.served_by_zone})
    charts = [
        _chart(
            "Requests",
            "per second",
            {k: [(item.at, getattr(item, k)) for item in seconds] for k in kinds},
        ),
        _chart(
            "Latency of served requests",
            "ms",
            {
                "p50": [(item.at, item.p50_ms) for item in seconds],
                "p99": [(item.at, item.p99_ms) for item in seconds],
            },
        ),
        _chart(
            "Served by zone",
            "share",
            {
                zone: [
                    (item.at, item.served_by_zone[zone])
                    for item in seconds
                    if zone in item.served_by_zone
                ]
                for zone in zones
            },
        ),
        _chart(
            "Enforced versions",
            "version",
            {
                "oldest": [(item.at, item.oldest) for item in versions],
                "newest": [(item.at, item.newest) for item in versions],
            },
        ),
    ]
    return PAGE.format(title=html.escape(figures.title), charts="\n".join(charts))


def main(figures: str, to: str = "report.html") -> None:
    """Write the report.

    :param figures: file written by ``benchmarks.soak --figures``
    :param to: output file
    """
    Path(to).write_text(page(read_figures(Path(figures))))
    print(f"report written to {to}")


if __name__ == "__main__":
    fire.Fire(main)
