"""Choice of an upstream by what this proxy sees of each."""

__all__ = ["Balancer", "RetryBudget"]

import random
import statistics
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from ragwortferry.document.snapshot import Service
from ragwortferry.exceptions import ErrorKind, RequestError
from ragwortferry.source.port import Instance
from ragwortferry.spread.members import Members
from ragwortferry.utils.pacing import TokenBucket

EJECT_AFTER = 3
EJECT_S = 2.0
MAX_EJECT_S = 30.0
MAX_EJECTED_SHARE = 0.5
BUSY_S = 0.5
LEAVING_S = 10.0
LATENCY_WEIGHT = 0.2
MAX_LATENCY_AGE_S = 10.0
FLOOR_LATENCY_S = 0.001
MAX_VIEWS = 4_096
RETRY_SHARE = 0.1
RETRY_BURST = 10.0

_LEAVES = (ErrorKind.LEAVING, ErrorKind.NOT_OWNER)
_BUSY = (ErrorKind.OVERLOADED, ErrorKind.SHED)


class RetryBudget:
    """Allows retries up to a share of the requests.

    The share bounds what a chain of proxies adds to the load when all of it fails.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self._bucket = TokenBucket(rate=0.1, burst=RETRY_BURST, now=now)

    def note_request(self) -> None:
        """Add the share of one request."""
        self._bucket.add(RETRY_SHARE)

    def allow(self) -> bool:
        """Take one retry if the budget holds it."""
        return self._bucket.try_take()


@dataclass(slots=True)
class _View:
    """What this proxy has seen of one upstream."""

    in_flight: int = 0
    latency_s: float = 0.0
    measured_at: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    busy_until: float = 0.0
    leaving_until: float = 0.0


class Balancer:
    """Picks upstreams: of the own zone first, by in-flight requests and latency.

    :param members: instance list with the addresses.
    :param now: monotonic clock in seconds.
    """

    def __init__(
        self,
        members: Members,
        rng: random.Random,
        now: Callable[[], float] = time.monotonic,
    ):
        self._members = members
        self._rng = rng
        self._now = now
        self._views: dict[str, _View] = {}
        self.ejections = 0

    def _view(self, name: str) -> _View:
        view = self._views.get(name)
        if view is None:
            if len(self._views) >= MAX_VIEWS:
                self._forget_idle()
            view = self._views[name] = _View()
        return view

    def _forget_idle(self) -> None:
        idle = [name for name, view in self._views.items() if not view.in_flight]
        for name in idle[: len(idle) // 2]:
            del self._views[name]

    def pick(self, service: Service, tried: Collection[str]) -> Instance:
        """Return the instance for the next attempt.

        :param tried: upstreams that have failed for the same request.
        :raises RequestError: of kind ``NO_UPSTREAM`` if none is left.
        """
        usable = self._usable(service, tried)
        if not usable:
            detail = f"service {service.name!r} has no upstream to try"
            raise RequestError(ErrorKind.NO_UPSTREAM, detail)
        for group in self._by_distance(usable):
            fit = self._not_ejected(group)
            idle = [item for item in fit if not self._is_busy(item.id)]
            if idle:
                return self._better_of_two(idle)
        return self._better_of_two(self._not_ejected(usable))

    def _usable(self, service: Service, tried: Collection[str]) -> list[Instance]:
        instances, now = self._members.instances, self._now()
        found = []
        for upstream in service.upstreams:
            item = instances.get(upstream)
            if item is None and upstream == self._members.me.id:
                item = self._members.me
            if item is None or item.leaving or item.id in tried:
                continue
            view = self._views.get(item.id)
            if view is None or view.leaving_until <= now:
                found.append(item)
        return found

    def _by_distance(self, usable: list[Instance]) -> list[list[Instance]]:
        """Return the own zone, the rest of the own region, and the rest."""
        me = self._members.me
        groups: list[list[Instance]] = [[], [], []]
        for item in usable:
            near = 0 if item.zone == me.zone else 1 if item.region == me.region else 2
            groups[near].append(item)
        return [group for group in groups if group]

    def _is_busy(self, name: str) -> bool:
        view = self._views.get(name)
        return view is not None and view.busy_until > self._now()

    def _not_ejected(self, group: list[Instance]) -> list[Instance]:
        """Leave out ejected upstreams, but never more than a share of the group.

        Those ejected beyond the share, the earliest to return first, stay in.
        """
        now = self._now()
        ejected = [
            item
            for item in group
            if item.id in self._views and self._views[item.id].ejected_until > now
        ]
        if not ejected:
            return group
        ejected.sort(key=lambda item: self._views[item.id].ejected_until)
        most = int(len(group) * MAX_EJECTED_SHARE)
        out = {item.id for item in ejected[len(ejected) - most :]} if most else set()
        return [item for item in group if item.id not in out]

    def _better_of_two(self, group: list[Instance]) -> Instance:
        if len(group) == 1:
            return group[0]
        neutral = self._neutral_latency(group)
        first, second = self._rng.sample(group, 2)
        return min(first, second, key=lambda item: self._score(item.id, neutral))

    def _neutral_latency(self, group: list[Instance]) -> float:
        """Return the median latency, which stands for a stale or missing one."""
        now = self._now()
        known = [
            view.latency_s
            for item in group
            if (view := self._views.get(item.id))
            and now - view.measured_at <= MAX_LATENCY_AGE_S
        ]
        return statistics.median(known) if known else FLOOR_LATENCY_S

    def _score(self, name: str, neutral: float) -> float:
        view = self._views.get(name)
        if view is None:
            return max(neutral, FLOOR_LATENCY_S)
        fresh = self._now() - view.measured_at <= MAX_LATENCY_AGE_S
        latency = view.latency_s if fresh else neutral
        return (view.in_flight + 1) * max(latency, FLOOR_LATENCY_S)

    def record_start(self, name: str) -> None:
        """Take note of an attempt."""
        self._view(name).in_flight += 1

    def record_end(self, name: str) -> None:
        """Take note that an attempt has ended."""
        view = self._view(name)
        view.in_flight = max(0, view.in_flight - 1)

    def record_response(self, name: str, seconds: float) -> None:
        """Take note of the time to the first byte of an answer."""
        view, now = self._view(name), self._now()
        if view.measured_at and now - view.measured_at <= MAX_LATENCY_AGE_S:
            view.latency_s += LATENCY_WEIGHT * (seconds - view.latency_s)
        else:
            view.latency_s = seconds
        view.measured_at = now
        view.failures = view.ejections = 0

    def record_failure(self, name: str, kind: ErrorKind) -> None:
        """Take note of a failed attempt."""
        view, now = self._view(name), self._now()
        if kind in _LEAVES:
            view.leaving_until = now + LEAVING_S
        elif kind in _BUSY:
            view.busy_until = now + BUSY_S * self._rng.uniform(0.5, 1.0)
        else:
            view.failures += 1
        if view.failures >= EJECT_AFTER:
            view.failures = 0
            view.ejections += 1
            self.ejections += 1
            seconds = min(MAX_EJECT_S, EJECT_S * view.ejections)
            view.ejected_until = now + seconds
