"""The ``timeline`` command: merges the events of all processes in causal order."""

__all__ = ["EventFilter", "merge_events", "run_timeline"]

import heapq
import html as html_text
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from ragwortferry.record.logfiles import LogLine, read_lines
from ragwortferry.utils.clock import format_timestamp

MAX_EVENTS = 200_000
LANE_WIDTH_PX = 190
ROW_HEIGHT_PX = 18
HIDDEN_FIELDS = ("task_uuid", "task_level", "timestamp", "message_type", "hlc")


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Criteria for the events to show; an empty field matches every event.

    :param request: request ID.
    :param since: UTC time from which events are shown, as text.
    :param until: UTC time before which events are shown, as text.
    """

    instance: str = ""
    zone: str = ""
    version: int = 0
    request: str = ""
    since: str = ""
    until: str = ""

    def matches(self, line: LogLine) -> bool:
        """Return whether an event meets all criteria."""
        time = format_timestamp(line["hlc"])
        return (
            self.instance in ("", line.get("instance"))
            and self.zone in ("", line.get("zone"))
            and self.version in (0, line.get("version"))
            and self.request in ("", line.get("request_id"))
            and time >= self.since
            and (not self.until or time < self.until)
        )


def merge_events(
    lines: Iterable[LogLine], event_filter: EventFilter
) -> Iterator[LogLine]:
    """Yield the matching events in the order of their hybrid logical timestamps.

    Only the latest ``MAX_EVENTS`` events are kept, which bounds the memory.
    """
    heap: list[tuple[int, str, int, LogLine]] = []
    for index, line in enumerate(lines):
        if not isinstance(line.get("hlc"), int) or not event_filter.matches(line):
            continue
        entry = (line["hlc"], str(line.get("instance", "")), index, line)
        if len(heap) < MAX_EVENTS:
            heapq.heappush(heap, entry)
        else:
            heapq.heappushpop(heap, entry)
    while heap:
        yield heapq.heappop(heap)[3]


def run_timeline(paths: Iterable[str], event_filter: EventFilter, html: str) -> int:
    """Print the events, or write them to an HTML page; return the exit code.

    :param html: path of the page, empty to print the events.
    """
    events = merge_events(read_lines(paths, event_filter.request), event_filter)
    if html:
        Path(html).write_text(render_page(list(events)))
        print(f"timeline: wrote {html}")
        return 0
    for event in events:
        print(render_line(event))
    return 0


def render_line(event: LogLine) -> str:
    """Return one event as text."""
    return (
        f"{format_timestamp(event['hlc'])} {event.get('instance', '?'):<16} "
        f"{event.get('message', '')} {_details(event)}".rstrip()
    )


def _details(event: LogLine) -> str:
    """Return the remaining non-empty fields of an event as name=value pairs."""
    fields = {
        name: value
        for name, value in event.items()
        if name
        not in (*HIDDEN_FIELDS, "instance", "zone", "message", "settings", "attempts")
    }
    return " ".join(f"{name}={value}" for name, value in fields.items() if value != "")


def render_page(events: list[LogLine]) -> str:
    """Return a self-contained HTML page with one lane (column) per process."""
    lanes = sorted({(e.get("zone", "?"), e.get("instance", "?")) for e in events})
    lane_indices = {instance: index for index, (_, instance) in enumerate(lanes)}
    heads = "".join(
        f'<div class="head" style="left:{_lane_left(index)}px">'
        f"{_escape(instance)}<small>{_escape(zone)}</small></div>"
        for index, (zone, instance) in enumerate(lanes)
    )
    rows = "".join(
        _render_event(row, event, lane_indices[event.get("instance", "?")])
        for row, event in enumerate(events)
    )
    width, height = _lane_left(len(lanes)), ROW_HEIGHT_PX * (len(events) + 4)
    return _PAGE_TEMPLATE.format(width=width, height=height, heads=heads, rows=rows)


def _lane_left(lane: int) -> int:
    """Return the horizontal position of a lane in pixels."""
    return 210 + lane * LANE_WIDTH_PX


def _render_event(row: int, event: LogLine, lane: int) -> str:
    css_class = _escape(event.get("message_type", "note"))
    text = _escape(event.get("message", ""))
    details = _escape(_details(event))
    top = ROW_HEIGHT_PX * row
    time = _escape(format_timestamp(event["hlc"])[11:])
    return (
        f'<div class="time" style="top:{top}px">{time}</div>'
        f'<div class="event {css_class}" style="top:{top}px;left:{_lane_left(lane)}px" '
        f'title="{text} {details}">{text}</div>'
    )


def _escape(value: object) -> str:
    return html_text.escape(str(value), quote=True)


_PAGE_TEMPLATE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title><style>
body {{ font: 12px/16px system-ui, sans-serif; margin: 0; background: #fff; }}
.heads {{ position: sticky; top: 0; height: 40px; background: #eef; z-index: 2;
  width: {width}px; border-bottom: 1px solid #99a; }}
.head {{ position: absolute; top: 4px; width: 180px; font-weight: 600; }}
.head small {{ display: block; font-weight: 400; color: #556; }}
.lanes {{ position: relative; height: {height}px; width: {width}px; }}
.time {{ position: absolute; left: 8px; color: #556;
  font-family: ui-monospace, monospace; }}
.event {{ position: absolute; width: 178px; height: 16px; overflow: hidden;
  white-space: nowrap; text-overflow: ellipsis; padding-left: 4px;
  border-left: 3px solid #889; background: #f5f5f8; }}
.enforced {{ border-color: #197b30; background: #e4f6e6; }}
.refused, .error, .conflict, .stale {{ border-color: #b3261e; background: #fbe6e4; }}
.link-down, .leaving {{ border-color: #b26a00; background: #fdf1dd; }}
.request {{ border-color: #2456a6; background: #e6eefb; }}
</style></head><body>
<div class="heads">{heads}</div><div class="lanes">{rows}</div>
</body></html>
"""
