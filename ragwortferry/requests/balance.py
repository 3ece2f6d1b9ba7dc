"""Load balancing based on what this proxy observes of upstreams; retry budget."""

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

# Consecutive failures after which an upstream is ejected.
FAILURES_TO_EJECT = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_FRACTION = 0.5
# Seconds for which an upstream is avoided after it reported overload or draining.
OVERLOAD_S = 0.5
DRAINING_S = 10.0
LATENCY_WEIGHT = 0.2  # of a new value in the moving average
MAX_LATENCY_AGE_S = 10.0
MIN_LATENCY_S = 0.001
MAX_UPSTREAMS = 4_096
RETRY_RATIO = 0.1  # retries per request
RETRY_BURST = 10.0  # retries

_DRAINING_KINDS = (ErrorKind.LEAVING, ErrorKind.NOT_OWNER)
_OVERLOAD_KINDS = (ErrorKind.OVERLOADED, ErrorKind.SHED)


class RetryBudget:
    """Limits retries to a fraction of the requests.

    The limit bounds the load that retries add when a whole chain of services fails. The
    budget grows by ``RETRY_RATIO`` retries per request and by 0.1 retries per second,
    up to ``RETRY_BURST``.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self._bucket = TokenBucket(rate=0.1, burst=RETRY_BURST, now=now)

    def record_request(self) -> None:
        """Add the fraction of a retry that one request earns."""
        self._bucket.add(RETRY_RATIO)

    def try_take(self) -> bool:
        """Take one retry; return ``False`` if none is left in the budget."""
        return self._bucket.try_take()


@dataclass(slots=True)
class _UpstreamState:
    """What this proxy has observed of one upstream.

    :param latency_s: exponentially weighted average of the time to the first byte.
    :param measured_at: time of the last response.
    :param failures: consecutive failures since the last response or ejection.
    :param ejections: ejections since the last response; each one lasts longer.
    """

    in_flight: int = 0
    latency_s: float = 0.0
    measured_at: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    overloaded_until: float = 0.0
    draining_until: float = 0.0


class Balancer:
    """Picks an upstream for each attempt.

    Upstreams of the own availability zone come first, those of the own region second,
    and others last. Within a group the better of two random upstreams is picked, by
    requests in flight and latency. A group of overloaded upstreams is passed over.

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
        self._states: dict[str, _UpstreamState] = {}
        self.ejections = 0

    def _state(self, name: str) -> _UpstreamState:
        state = self._states.get(name)
        if state is None:
            if len(self._states) >= MAX_UPSTREAMS:
                self._drop_idle()
            state = self._states[name] = _UpstreamState()
        return state

    def _drop_idle(self) -> None:
        idle = [name for name, state in self._states.items() if not state.in_flight]
        for name in idle[: len(idle) // 2]:
            del self._states[name]

    def pick(self, service: Service, tried: Collection[str]) -> Instance:
        """Return the instance for the next attempt.

        :param tried: upstreams at which an attempt of the same request has failed.
        :raises RequestError: of kind ``NO_UPSTREAM`` if no candidate is left.
        """
        candidates = self._candidates(service, tried)
        if not candidates:
            detail = f"service {service.name!r} has no upstream left to try"
            raise RequestError(ErrorKind.NO_UPSTREAM, detail)
        for group in self._by_locality(candidates):
            available = self._not_ejected(group)
            ready = [item for item in available if not self._is_overloaded(item.id)]
            if ready:
                return self._pick_of_two(ready)
        return self._pick_of_two(self._not_ejected(candidates))

    def _candidates(self, service: Service, tried: Collection[str]) -> list[Instance]:
        instances, now = self._members.instances, self._now()
        candidates = []
        for upstream in service.upstreams:
            item = instances.get(upstream)
            if item is None and upstream == self._members.me.id:
                item = self._members.me
            if item is None or item.leaving or item.id in tried:
                continue
            state = self._states.get(item.id)
            if state is None or state.draining_until <= now:
                candidates.append(item)
        return candidates

    def _by_locality(self, candidates: list[Instance]) -> list[list[Instance]]:
        """Group candidates by locality: same zone, same region, other regions."""
        me = self._members.me
        groups: list[list[Instance]] = [[], [], []]
        for item in candidates:
            level = 0 if item.zone == me.zone else 1 if item.region == me.region else 2
            groups[level].append(item)
        return [group for group in groups if group]

    def _is_overloaded(self, name: str) -> bool:
        state = self._states.get(name)
        return state is not None and state.overloaded_until > self._now()

    def _not_ejected(self, group: list[Instance]) -> list[Instance]:
        """Return a group without its ejected upstreams.

        At most ``MAX_EJECTED_FRACTION`` of the group is left out, so that ejection
        never empties it. Beyond that, the upstreams whose ejection ends first stay in.
        """
        now = self._now()
        ejected = [
            item
            for item in group
            if item.id in self._states and self._states[item.id].ejected_until > now
        ]
        if not ejected:
            return group
        ejected.sort(key=lambda item: self._states[item.id].ejected_until)
        max_ejected = int(len(group) * MAX_EJECTED_FRACTION)
        excluded = (
            {item.id for item in ejected[len(ejected) - max_ejected :]}
            if max_ejected
            else set()
        )
        return [item for item in group if item.id not in excluded]

    def _pick_of_two(self, group: list[Instance]) -> Instance:
        if len(group) == 1:
            return group[0]
        default_s = self._median_latency(group)
        first, second = self._rng.sample(group, 2)
        return min(first, second, key=lambda item: self._cost(item.id, default_s))

    def _median_latency(self, group: list[Instance]) -> float:
        """Return the median latency, which replaces stale and missing ones."""
        now = self._now()
        known = [
            state.latency_s
            for item in group
            if (state := self._states.get(item.id))
            and now - state.measured_at <= MAX_LATENCY_AGE_S
        ]
        return statistics.median(known) if known else MIN_LATENCY_S

    def _cost(self, name: str, default_s: float) -> float:
        state = self._states.get(name)
        if state is None:
            return max(default_s, MIN_LATENCY_S)
        fresh = self._now() - state.measured_at <= MAX_LATENCY_AGE_S
        latency_s = state.latency_s if fresh else default_s
        return (state.in_flight + 1) * max(latency_s, MIN_LATENCY_S)

    def record_start(self, name: str) -> None:
        """Record the start of an attempt."""
        self._state(name).in_flight += 1

    def record_end(self, name: str) -> None:
        """Record the end of an attempt."""
        state = self._state(name)
        state.in_flight = max(0, state.in_flight - 1)

    def record_response(self, name: str, latency_s: float) -> None:
        """Record a response and the time to its first byte."""
        state, now = self._state(name), self._now()
        if state.measured_at and now - state.measured_at <= MAX_LATENCY_AGE_S:
            state.latency_s += LATENCY_WEIGHT * (latency_s - state.latency_s)
        else:
            state.latency_s = latency_s
        state.measured_at = now
        state.failures = state.ejections = 0

    def record_failure(self, name: str, kind: ErrorKind) -> None:
        """Record a failed attempt and its error kind."""
        state, now = self._state(name), self._now()
        if kind in _DRAINING_KINDS:
            state.draining_until = now + DRAINING_S
        elif kind in _OVERLOAD_KINDS:
            state.overloaded_until = now + OVERLOAD_S * self._rng.uniform(0.5, 1.0)
        else:
            state.failures += 1
        if state.failures >= FAILURES_TO_EJECT:
            state.failures = 0
            state.ejections += 1
            self.ejections += 1
            ejection_s = min(MAX_EJECTION_S, EJECTION_S * state.ejections)
            state.ejected_until = now + ejection_s
