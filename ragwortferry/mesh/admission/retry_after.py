"""Callers that were refused: when they may return, and how they stand when they do.

The callers that a node refuses are told times one after the other, as far apart as the
node's requests to the service end. Who returns at that time goes before those who just
came, since most callers come back only once. Who returns earlier runs only where a slot
is free, and takes nothing from those who wait as told.

Answers the load of a service that is asked for more than it can run for some seconds,
by callers of which some repeat at once and often.
"""

__all__ = ["CallerKey", "RetryScheduler", "Standing"]

import random
from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum

# Most refused callers that are remembered.
MAX_SCHEDULED = 4_096
# Time after the scheduled one for which a caller still counts as returned.
RETURN_WINDOW_S = 2.0
# A caller that returns this much before its time is on time: clocks and links differ.
TOLERANCE_S = 0.02
# Bounds of the Retry-After time, in seconds.
MIN_WAIT_S, MAX_WAIT_S = 0.05, 2.0
# Difference between the deadlines of a request and its repetition by the same caller.
DEADLINE_TOLERANCE_S = 0.05
# Callers honour Retry-After up to a third of the time that they have left.
MAX_TIME_FRACTION = 0.3
# Weight of the newest interval between two served requests, and the longest interval
# that counts.
INTERVAL_SMOOTHING, MAX_INTERVAL_S = 0.1, 0.2
# Range of the factor on each Retry-After time, so that the nodes do not schedule the
# same ones.
JITTER = (1.0, 1.3)


class Standing(IntEnum):
    """Order of requests of one priority that can all be on time."""

    CALL = 0  # a request that is running elsewhere waits for it
    RETURNED = 1  # its caller was refused and returns as told
    NEW = 2
    EARLY = 3  # its caller was refused and returns too soon


@dataclass(slots=True)
class _Pace:
    """How often the requests of this node to a service are served.

    :param interval_s: mean time between two of them.
    :param served_at: time of the last one.
    :param scheduled_until: latest time that a refused caller was told.
    """

    interval_s: float = MAX_INTERVAL_S
    served_at: float = 0.0
    scheduled_until: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerKey:
    """What a request and its repetitions by the same caller have in common.

    :param content: hash of method and target.
    :param deadline: time until which the caller waits for a response.
    """

    content: int
    deadline: float


@dataclass(frozen=True, slots=True)
class _ScheduledRetry:
    """When a refused caller may return.

    :param loaded: whether it was refused for load, so that an early return would take
        the room of others.
    """

    deadline: float
    return_at: float
    loaded: bool


class RetryScheduler:
    """Remembers the callers that this node has refused.

    :param rng: spreads the scheduled times.

    >>> scheduler, caller = RetryScheduler(random.Random(1)), CallerKey(7, 3.0)
    >>> wait_s = scheduler.schedule(caller, "desk", 0.1, 0.0, loaded=True)
    >>> scheduler.standing(caller, 0.01).name, scheduler.standing(caller, wait_s).name
    ('EARLY', 'RETURNED')
    >>> scheduler.standing(CallerKey(7, 4.0), 0.01).name
    'NEW'
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        # The last retry for each content. Other callers that send the same are told
        # apart by their deadlines.
        self._scheduled: OrderedDict[int, _ScheduledRetry] = OrderedDict()
        self._paces: dict[str, _Pace] = {}

    def standing(self, caller: CallerKey, now: float) -> Standing:
        """Return how a request stands, by what its caller was told."""
        known = self._find(caller)
        if known is None or now > known.return_at + RETURN_WINDOW_S:
            return Standing.NEW
        if now < known.return_at - TOLERANCE_S:
            return Standing.EARLY if known.loaded else Standing.NEW
        return Standing.RETURNED

    def record_served(self, service: str, now: float) -> None:
        """Record that a request of this node to a service was served."""
        pace = self._paces.setdefault(service, _Pace())
        interval_s = min(MAX_INTERVAL_S, max(0.0, now - pace.served_at))
        pace.interval_s += INTERVAL_SMOOTHING * (interval_s - pace.interval_s)
        pace.served_at = now

    def schedule(
        self, caller: CallerKey, service: str, wait_s: float, now: float, loaded: bool
    ) -> float:
        """Return the seconds after which a refused caller may return.

        A caller that was refused before and comes too early keeps its place.

        :param wait_s: time after which there may be room.
        :param loaded: whether it is refused for load.
        """
        known = self._find(caller)
        if known is not None and known.return_at > now + MIN_WAIT_S:
            return known.return_at - now
        pace = self._paces.setdefault(service, _Pace())
        return_at = now + max(MIN_WAIT_S, wait_s) * self._rng.uniform(*JITTER)
        if loaded:
            return_at = max(return_at, pace.scheduled_until + pace.interval_s)
        longest_s = min(MAX_WAIT_S, MAX_TIME_FRACTION * (caller.deadline - now))
        return_at = now + max(MIN_WAIT_S, min(return_at - now, longest_s))
        if loaded:
            pace.scheduled_until = max(pace.scheduled_until, return_at)
        retry = _ScheduledRetry(caller.deadline, return_at, loaded)
        self._scheduled[caller.content] = retry
        self._scheduled.move_to_end(caller.content)
        while len(self._scheduled) > MAX_SCHEDULED:
            self._scheduled.popitem(last=False)
        return return_at - now

    def _find(self, caller: CallerKey) -> _ScheduledRetry | None:
        """Return what a caller was told, ``None`` if it was not refused."""
        known = self._scheduled.get(caller.content)
        if known is None:
            return None
        same = abs(known.deadline - caller.deadline) <= DEADLINE_TOLERANCE_S
        return known if same else None
