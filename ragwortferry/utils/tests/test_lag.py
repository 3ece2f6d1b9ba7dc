"""The lag of an event loop, seen by callbacks that run before and after its timer."""

import pytest

from ragwortferry.tests.mesh_builders import ManualLoop
from ragwortferry.utils.lag import TICK_INTERVAL_S, LoopLag


def test_loop_that_keeps_up_has_no_lag():
    loop = ManualLoop()
    lag = LoopLag(loop)
    for step in range(1, 40):
        loop.run_until(step * 0.03)
        assert lag.seconds == 0.0


@pytest.mark.parametrize("timer_first", [True, False])
def test_callback_after_a_suspension_learns_its_length(timer_first):
    loop = ManualLoop()
    lag = LoopLag(loop)
    loop.run_until(1.0)
    seen = []
    if timer_first:
        loop.resume_at(2.5)
    else:
        loop.call_at(1.0, lambda: seen.append(lag.seconds))
        loop.resume_at(2.5)
    seen = seen or [lag.seconds]
    assert 1.5 - 2 * TICK_INTERVAL_S <= seen[0] <= 1.5
    loop.run_until(2.8)
    assert lag.seconds == 0.0
