import asyncio

import pytest

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.requests.slots import Slots
from ragwortferry.tests.builders import FakeClock, run


def slots(count=4, queue=4, ramp_s=0.0, now=None):
    held = Slots(now or FakeClock())
    held.configure(count, queue, ramp_s)
    return held


async def acquire_many(held, route, count, share=1.0, timeout_s=5.0):
    tasks = [
        asyncio.ensure_future(held.acquire(route, share, timeout_s))
        for _ in range(count)
    ]
    await asyncio.sleep(0)
    return tasks


def test_the_limit_is_never_passed_and_a_full_queue_refuses_early():
    async def scenario():
        held = slots(count=4, queue=2)
        await acquire_many(held, "panels", 6)
        assert (held.in_use, held.queued) == (4, 2)
        with pytest.raises(RequestError) as caught:
            await held.acquire("panels", 1.0, 5.0)
        assert caught.value.kind is ErrorKind.OVERLOADED
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after >= 1

    run(scenario())


def test_exports_do_not_starve_panel_lookups():
    async def scenario():
        held = slots(count=10, queue=10)
        exports = await acquire_many(held, "quarterly", 14, share=0.6)
        assert sum(task.done() for task in exports) == 6
        panels = await acquire_many(held, "panels", 4)
        assert all(task.done() for task in panels)

    run(scenario())


def test_the_route_with_the_fewest_slots_goes_next():
    async def scenario():
        held = slots(count=2, queue=10)
        await acquire_many(held, "catalogue", 6)
        (panel,) = await acquire_many(held, "panels", 1)
        held.release("catalogue", 0.1)
        await asyncio.sleep(0)
        assert panel.done()

    run(scenario())


def test_a_full_queue_drops_the_newest_of_the_longest_route():
    async def scenario():
        held = slots(count=1, queue=3)
        tasks = await acquire_many(held, "catalogue", 4)
        (panel,) = await acquire_many(held, "panels", 1)
        await asyncio.sleep(0)
        assert not panel.done()
        assert tasks[-1].exception().kind is ErrorKind.OVERLOADED
        assert held.queued == 3

    run(scenario())


def test_what_cannot_run_in_time_is_refused_at_once():
    async def scenario():
        held = slots(count=1, queue=10)
        await held.acquire("panels", 1.0, 1.0)
        for _ in range(40):
            held.release("panels", 2.0)
            await held.acquire("panels", 1.0, 1.0)
        await acquire_many(held, "panels", 1, timeout_s=10)
        with pytest.raises(RequestError, match="longer than the deadline"):
            await held.acquire("panels", 1.0, 0.5)

    run(scenario())


def test_a_waiter_that_gives_up_leaks_no_slot():
    async def scenario():
        held = slots(count=1, queue=5)
        await held.acquire("panels", 1.0, 1.0)
        with pytest.raises(RequestError) as caught:
            await held.acquire("panels", 1.0, 0.01)
        assert caught.value.kind is ErrorKind.DEADLINE_BEFORE_RUN
        (cancelled,) = await acquire_many(held, "panels", 1)
        cancelled.cancel()
        await asyncio.sleep(0)
        (late,) = await acquire_many(held, "panels", 1)
        held.release("panels", 0.1)
        late.cancel()
        await asyncio.gather(late, return_exceptions=True)
        assert (held.in_use, held.queued) == (0, 0)

    run(scenario())


def test_the_limit_starts_low_grows_with_time_and_shrinks_on_shedding():
    now = FakeClock()
    held = slots(count=20, ramp_s=10.0, now=now)
    assert held.limit == 5
    now.now += 5
    assert held.limit == 15
    now.now += 10
    assert held.limit == 20
    run(acquire_many(held, "panels", 10))
    held.note_shed()
    assert held.limit == 8
    held.restart_slowly()
    assert held.limit == 5
