"""Clock, rate limiting, backoff and registry keep their documented bounds."""

import random

import pytest

from ragwortferry.tests.builders import FakeClock
from ragwortferry.utils.clock import MAX_AHEAD_MS, HybridClock
from ragwortferry.utils.pacing import Backoff, TokenBucket
from ragwortferry.utils.registry import Registry


def test_clock_increases_when_wall_clock_goes_back():
    now = [1000]
    clock = HybridClock(now_ms=lambda: now[0])
    first = clock.tick()
    now[0] = 10
    assert clock.tick() > first


def test_clock_ignores_timestamp_far_ahead():
    clock = HybridClock(now_ms=lambda: 1000)
    clock.observe((1000 + 2 * MAX_AHEAD_MS) << 16)
    assert clock.tick() >> 16 == 1000


def test_bucket_refills_up_to_its_burst():
    now = FakeClock()
    bucket = TokenBucket(rate=2, burst=3, now=now)
    assert [bucket.try_take() for _ in range(4)] == [True, True, True, False]
    now.now += 1
    assert [bucket.try_take() for _ in range(3)] == [True, True, False]
    now.now += 100
    assert bucket.tokens == 3


def test_backoff_is_jittered_and_bounded():
    backoff = Backoff(0.1, 2.0, random.Random(1))
    delays = [backoff.next_delay() for _ in range(50)]
    assert all(0 <= delay <= 2.0 for delay in delays)
    assert len(set(delays)) == 50


def test_registry_rejects_duplicates_and_lists_known_names():
    registry = Registry("shape")
    registry.register("dot")(1)
    with pytest.raises(ValueError, match="registered twice"):
        registry.register("dot")(2)
    with pytest.raises(KeyError, match="one of: dot"):
        registry.get("line")
