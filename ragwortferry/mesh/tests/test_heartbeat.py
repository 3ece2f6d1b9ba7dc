"""When a link is pinged, doubted and closed."""

import pytest

from ragwortferry.mesh.links.heartbeat import (
    IDLE_PING_INTERVAL_S,
    MAX_BUSY_PING_INTERVAL_S,
    MIN_BUSY_PING_INTERVAL_S,
    Heartbeat,
)
from ragwortferry.mesh.links.relay import PULL_DELAY_S


@pytest.mark.parametrize(
    "left_s, interval_s",
    [(0.4, MIN_BUSY_PING_INTERVAL_S), (2.0, 0.2), (10.0, MAX_BUSY_PING_INTERVAL_S)],
)
def test_busy_link_is_pinged_by_the_time_that_its_attempt_has(left_s, interval_s):
    heartbeat = Heartbeat()
    heartbeat.record_attempt(left_s, first=True)
    assert heartbeat.ping_due(5.0, True) == pytest.approx(5.0 + interval_s)


def test_most_urgent_pending_attempt_decides():
    heartbeat = Heartbeat()
    heartbeat.record_attempt(10.0, first=True)
    heartbeat.record_attempt(1.0, first=False)
    heartbeat.record_attempt(10.0, first=False)
    assert heartbeat.ping_due(5.0, True) == pytest.approx(5.1)
    heartbeat.record_attempt(10.0, first=True)
    assert heartbeat.ping_due(5.0, True) == pytest.approx(5.4)


def test_idle_link_is_never_silent_for_longer_than_its_interval():
    heartbeat = Heartbeat()
    for received_at in (0.0, 0.1, 0.26, 0.999, 7.3):
        due = heartbeat.ping_due(received_at, False)
        assert received_at < due <= received_at + IDLE_PING_INTERVAL_S


def test_unanswered_ping_is_looked_at_when_its_timeout_ends():
    heartbeat = Heartbeat()
    heartbeat.record_ping(10.0)
    assert heartbeat.next_check(9.0, 10.0, True, 0.4) <= 10.4
    assert not heartbeat.timed_out(10.39, 0.4)
    assert heartbeat.timed_out(10.41, 0.4)
    heartbeat.record_received(10.2)
    assert not heartbeat.timed_out(20.0, 0.4)


def test_node_that_missed_a_change_hears_of_it_in_half_of_the_time_to_drain():
    drain_s = 2.5
    heartbeat, received_at = Heartbeat(), 10.1
    silent_s = heartbeat.ping_due(received_at, False) - received_at
    assert silent_s + PULL_DELAY_S <= drain_s / 2
