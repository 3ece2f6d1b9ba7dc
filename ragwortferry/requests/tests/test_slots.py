import asyncio

import pytest

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.requests.slots import Slots
from ragwortferry.tests.builders import FakeClock, run


def make_slots(count=4, queue=4, slow_start_s=0.0, now=None):
    slots = Slots(now or FakeClock())
    slots.configure(count, queue, slow_start_s)
    return slots


async def acquire_many(slots, route, count, share=1.0, timeout_s=5.0):
    tasks = [
        asyncio.ensure_future(slots.acquire(route, share, timeout_s))
        for _ in range(count)
    ]
    await asyncio.sleep(0)
    return tasks


def test_the_limit_holds_and_a_full_queue_rejects_at_once():
    async def scenario():
        slots = make_slots(count=4, queue=2)
        await acquire_many(slots, "panels", 6)
        assert (slots.in_use, slots.queued) == (4, 2)
        with pytest.raises(RequestError) as caught:
            await slots.acquire("panels", 1.0, 5.0)
        assert caught.value.kind is ErrorKind.OVERLOADED
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after >= 1

    run(scenario())


def test_exports_do_not_starve_panel_lookups():
    async def scenario():
        slots = make_slots(count=10, queue=10)
        exports = await acquire_many(slots, "quarterly", 14, share=0.6)
        assert sum(task.done() for task in exports) == 6
        panels = await acquire_many(slots, "panels", 4)
        assert all(task.done() for task in panels)

    run(scenario())


def test_the_route_with_the_fewest_slots_is_granted_next():
    async def scenario():
        slots = make_slots(count=2, queue=10)
        await acquire_many(slots, "catalogue", 6)
        (panel,) = await acquire_many(slots, "panels", 1)
        slots.release("catalogue", 0.1)
        await asyncio.sleep(0)
        assert panel.done()

    run(scenario())


def test_a_full_queue_drops_the_newest_request_of_the_longest_route():
    async def scenario():
        slots = make_slots(count=1, queue=3)
        tasks = await acquire_many(slots, "catalogue", 4)
        (panel,) = await acquire_many(slots, "panels", 1)
        await asyncio.sleep(0)
        assert not panel.done()
        assert tasks[-1].exception().kind is ErrorKind.OVERLOADED
        assert slots.queued == 3

    run(scenario())


def test_a_request_that_would_miss_its_deadline_is_rejected_at_once():
    async def scenario():
        slots = make_slots(count=1, queue=10)
        await slots.acquire("panels", 1.0, 1.0)
        for _ in range(40):
            slots.release("panels", 2.0)
            await slots.acquire("panels", 1.0, 1.0)
        await acquire_many(slots, "panels", 1, timeout_s=10)
        with pytest.raises(RequestError, match="longer than the deadline"):
            await slots.acquire("panels", 1.0, 0.5)

    run(scenario())


def test_a_waiter_that_times_out_or_is_cancelled_leaks_no_slot():
    async def scenario():
        slots = make_slots(count=1, queue=5)
        await slots.acquire("panels", 1.0, 1.0)
        with pytest.raises(RequestError) as caught:
            await slots.acquire("panels", 1.0, 0.01)
        assert caught.value.kind is ErrorKind.DEADLINE_BEFORE_RUN
        (cancelled,) = await acquire_many(slots, "panels", 1)
        cancelled.cancel()
        await asyncio.sleep(0)
        (late,) = await acquire_many(slots, "panels", 1)
        slots.release("panels", 0.1)
        late.cancel()
        await asyncio.gather(late, return_exceptions=True)
        assert (slots.in_use, slots.queued) == (0, 0)

    run(scenario())


def test_the_limit_follows_slow_start_and_shrinks_on_load_shedding():
    now = FakeClock()
    slots = make_slots(count=20, slow_start_s=10.0, now=now)
    assert slots.limit == 5
    now.now += 5
    assert slots.limit == 15
    now.now += 10
    assert slots.limit == 20
    run(acquire_many(slots, "panels", 10))
    slots.record_shed()
    assert slots.limit == 8
    slots.restart_slow_start()
    assert slots.limit == 5
