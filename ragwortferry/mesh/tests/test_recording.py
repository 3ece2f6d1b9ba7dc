"""Rate limit of the request log, and the metrics text."""

import asyncio

from ragwortferry.exceptions import ErrorKind
from ragwortferry.http1.messages import Request
from ragwortferry.mesh.metrics import NodeMetrics
from ragwortferry.mesh.recording import (
    BURST_S,
    FAILED_LINES_PER_S,
    SUMMARY_INTERVAL_S,
    Recorder,
)


class FakeLog:
    """Stores log events."""

    def __init__(self):
        self.events = []

    def event(self, event, sentence, **fields):
        self.events.append((event, fields))


def test_log_lines_of_rejected_requests_are_limited_and_counted():
    async def scenario():
        log, metrics = FakeLog(), NodeMetrics("node-1", "a")
        recorder = Recorder(log, metrics, "s")
        request = Request("GET", "/x", [], b"", True, 0.0)
        for number in range(5000):
            recorder.rejected(request, f"r{number}", ErrorKind.NO_ROUTE, 3)
        max_burst = FAILED_LINES_PER_S * BURST_S
        assert 0 < len(log.events) <= max_burst + FAILED_LINES_PER_S
        recorder._summary_at -= SUMMARY_INTERVAL_S
        recorder.rejected(request, "last", ErrorKind.NO_ROUTE, 3)
        counts = [
            fields["count"] for event, fields in log.events if event == "left-out"
        ]
        assert sum(counts) >= 5000 - max_burst - FAILED_LINES_PER_S
        assert (
            'ragwortferry_requests{status="0",error="no-route"} 5001' in metrics.text()
        )

    asyncio.run(scenario())


def test_metrics_text_has_gauge_and_latency_histogram():
    metrics = NodeMetrics("node-1", "a")
    metrics.add_gauge("version", lambda: 7)
    for seconds in (0.004, 0.3, 9.0):
        metrics.record_request("panels", 200, "", seconds)
    text = metrics.text()
    assert "ragwortferry_version 7\n" in text
    assert 'ragwortferry_request_ms_bucket{route="panels",le="5"} 1\n' in text
    assert 'ragwortferry_request_ms_bucket{route="panels",le="+Inf"} 3\n' in text
    assert 'ragwortferry_request_ms_count{route="panels"} 3\n' in text


def test_metrics_tell_bytes_on_links_from_delays_of_the_event_loop():
    metrics = NodeMetrics("node-1", "a")
    metrics.add_counters("link_bytes", "message", lambda: {"configuration": 800})
    metrics.record_round_trip(0.3)
    metrics.record_loop_lag(0.004)
    metrics.record_store_read("configuration", "failed", 1.5)
    text = metrics.text()
    assert 'ragwortferry_link_bytes{message="configuration"} 800\n' in text
    assert 'ragwortferry_ping_ms_bucket{le="300"} 1\n' in text
    assert 'ragwortferry_loop_lag_ms_bucket{le="5"} 1\n' in text
    assert 'reads="configuration",result="failed"' in text


def test_histogram_without_labels_has_sum_and_count():
    metrics = NodeMetrics("node-1", "a")
    for seconds in (0.002, 0.003):
        metrics.record_round_trip(seconds)
    text = metrics.text()
    # A value equal to a bound belongs to the bucket below it.
    assert 'ragwortferry_ping_ms_bucket{le="2"} 1\n' in text
    assert "ragwortferry_ping_ms_sum 5.0\n" in text
    assert "ragwortferry_ping_ms_count 2\n" in text
