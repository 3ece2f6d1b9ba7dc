"""Concurrency limit of a target: slots, a fair queue over routes, load shedding."""

__all__ = ["Slots"]

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ragwortferry.exceptions import ErrorKind, InvariantError, RequestError

SLOW_START_FRACTION = 0.25
SHED_FACTOR = 0.8
MIN_SHED_INTERVAL_S = 0.1
SERVICE_TIME_WEIGHT = 0.1  # of a new value in the moving average
MAX_RETRY_AFTER_S = 30


@dataclass(slots=True, eq=False)
class _Waiter:
    """Request that waits for a slot."""

    route: str
    share: float
    granted: asyncio.Future


class Slots:
    """Limits the concurrent requests at the target of this instance.

    The limit starts at ``SLOW_START_FRACTION`` of the slots, grows linearly to all of
    them, and is reduced when the target sheds load. Free slots go to the waiting route
    that holds the fewest, and a route never holds more than its share. When the queue
    is full, the newest request of the route with the most waiting requests is dropped.

    :param now: monotonic clock in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self._now = now
        self._slots = 0
        self._max_queued = 0
        self._slow_start_s = 0.0
        self._limit = 0.0
        self._updated = now()
        self._shed_at = -math.inf
        self._held: dict[str, int] = {}
        self._in_use = 0
        self._waiting: dict[str, deque[_Waiter]] = {}
        self._queued = 0
        self._service_s = 0.0

    @property
    def in_use(self) -> int:
        """Return the number of slots in use."""
        return self._in_use

    @property
    def queued(self) -> int:
        """Return the number of requests that wait for a slot."""
        return self._queued

    @property
    def limit(self) -> int:
        """Return the number of slots that may be in use now."""
        self._raise_limit()
        return max(1, int(self._limit))

    def configure(self, slots: int, max_queued: int, slow_start_s: float) -> None:
        """Apply the limits of the current snapshot.

        :param slots: number of slots.
        :param max_queued: maximum number of requests that wait for a slot.
        :param slow_start_s: seconds in which the limit would grow from 0 to all slots.
        """
        self._slow_start_s = slow_start_s
        self._max_queued = max_queued
        if self._slots == 0:
            self._limit = slots * SLOW_START_FRACTION if slow_start_s else slots
        self._slots = slots
        self._limit = min(self._limit, slots)
        self._grant()

    def restart_slow_start(self) -> None:
        """Restart the slow start, because the target has just become reachable."""
        if self._slow_start_s:
            self._limit = self._slots * SLOW_START_FRACTION
        self._updated = self._now()

    def record_shed(self) -> None:
        """Reduce the limit, because the target has refused a request."""
        now = self._now()
        if now - self._shed_at < MIN_SHED_INTERVAL_S:
            return
        self._shed_at = now
        self._raise_limit()
        self._limit = max(1.0, min(self._limit, self._in_use + 1) * SHED_FACTOR)

    def _raise_limit(self) -> None:
        now = self._now()
        elapsed, self._updated = now - self._updated, now
        if self._limit < self._slots:
            step = (
                elapsed * self._slots / self._slow_start_s
                if self._slow_start_s
                else self._slots
            )
            self._limit = min(self._slots, self._limit + step)

    def _route_limit(self, share: float) -> int:
        return max(1, math.floor(self._slots * share))

    def _may_take(self, route: str, share: float) -> bool:
        held = self._held.get(route, 0)
        return self._in_use < self.limit and held < self._route_limit(share)

    def queueing_delay(self, ahead: int) -> float:
        """Return the expected seconds until a request with ``ahead`` before it runs."""
        return (ahead + 1) * self._service_s / self.limit

    async def acquire(self, route: str, share: float, timeout_s: float) -> None:
        """Wait for a slot.

        :param share: fraction of the slots that the route may hold.
        :param timeout_s: seconds until the deadline of the request.
        :raises RequestError: of kind ``OVERLOADED`` or ``DEADLINE_BEFORE_RUN``; the
            request did not run.
        """
        if not self._waiting.get(route) and self._may_take(route, share):
            self._take(route)
            return
        self._admit(route, timeout_s)
        waiter = _Waiter(route, share, asyncio.get_running_loop().create_future())
        self._waiting.setdefault(route, deque()).append(waiter)
        self._queued += 1
        try:
            async with asyncio.timeout(timeout_s):
                await waiter.granted
        except TimeoutError:
            self._remove_waiter(waiter)
            detail = "no slot became free before the deadline"
            raise RequestError(ErrorKind.DEADLINE_BEFORE_RUN, detail) from None
        except asyncio.CancelledError:
            self._remove_waiter(waiter)
            raise

    def _remove_waiter(self, waiter: _Waiter) -> None:
        """Remove a waiter that timed out or was cancelled.

        If it was granted a slot meanwhile, release the slot.
        """
        if waiter.granted.done() and not waiter.granted.cancelled():
            if waiter.granted.exception() is None:
                self.release(waiter.route, None)
            return
        queue = self._waiting.get(waiter.route)
        if queue and waiter in queue:
            queue.remove(waiter)
            self._queued -= 1

    def _admit(self, route: str, timeout_s: float) -> None:
        """Reject a request early that would miss its deadline or overflow the queue.

        If another route has at least two more requests in the full queue, its newest
        one is rejected instead.
        """
        if self._queued and self.queueing_delay(self._queued) > timeout_s:
            raise self._overloaded("the queueing delay is longer than the deadline")
        if self._queued < self._max_queued:
            return
        lengths = {name: len(queue) for name, queue in self._waiting.items()}
        longest = max(lengths, key=lengths.__getitem__, default=route)
        if lengths.get(longest, 0) <= lengths.get(route, 0) + 1:
            raise self._overloaded("the queue is full")
        evicted = self._waiting[longest].pop()
        self._queued -= 1
        error = self._overloaded(
            "the queue is full, mostly with requests of this route"
        )
        evicted.granted.set_exception(error)

    def _overloaded(self, detail: str) -> RequestError:
        delay_s = math.ceil(self.queueing_delay(self._queued))
        after = min(MAX_RETRY_AFTER_S, max(1, delay_s))
        return RequestError(ErrorKind.OVERLOADED, detail, retry_after=after)

    def _take(self, route: str) -> None:
        self._held[route] = self._held.get(route, 0) + 1
        self._in_use += 1
        if self._in_use > max(self._slots, 1):
            raise InvariantError(f"{self._in_use} of {self._slots} slots in use")

    def release(self, route: str, service_s: float | None) -> None:
        """Release a slot.

        :param service_s: service time of the request in seconds, ``None`` if it was not
            measured.
        """
        self._held[route] -= 1
        if not self._held[route]:
            del self._held[route]
        self._in_use -= 1
        if service_s is not None:
            difference = service_s - self._service_s
            self._service_s += SERVICE_TIME_WEIGHT * difference
        self._grant()

    def _grant(self) -> None:
        """Grant free slots to waiting requests, fewest slots per route first."""
        while self._queued and self._in_use < self.limit:
            ready = [
                name
                for name, queue in self._waiting.items()
                if queue and self._may_take(name, queue[0].share)
            ]
            if not ready:
                return
            route = min(ready, key=lambda name: self._held.get(name, 0))
            waiter = self._waiting[route].popleft()
            if not self._waiting[route]:
                del self._waiting[route]
            self._queued -= 1
            if not waiter.granted.done():
                self._take(route)
                waiter.granted.set_result(None)
