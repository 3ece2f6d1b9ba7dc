"""Attempts that an owner proxy has received, which entry proxies may fence."""

__all__ = ["AttemptState", "Attempts"]

import math
import time
from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError

RETENTION_S = 30.0
MAX_RETAINED = 10_000  # attempts
FENCE_RETENTION_S = 900.0
MAX_FENCES = 10_000


class AttemptState(StrEnum):
    """State of an attempt at its owner.

    ``FORGOTTEN`` means that the owner cannot prove whether the attempt ran.
    """

    UNSEEN = "unseen"
    QUEUED = "queued"
    BEGUN = "begun"
    FENCED = "fenced"
    FORGOTTEN = "forgotten"


class Attempts:
    """States of recent attempts by key.

    An entry proxy that does not know whether its attempt arrived asks the owner to
    fence it. A fenced attempt never begins, even if its bytes arrive later.

    The state of an attempt is retained for ``RETENTION_S`` past its deadline; entry
    proxies don't ask after that. If ``MAX_RETAINED`` evicts one earlier, an attempt
    without a state may be the evicted one. Until the evicted state would have expired,
    fencing cannot prove that an attempt has not run, and returns ``FORGOTTEN``. It
    returns the same for an unknown attempt while ``MAX_FENCES`` fences are held.

    :param now: monotonic clock in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self._now = now
        self._seen: OrderedDict[str, tuple[AttemptState, float]] = OrderedDict()
        self._fenced: OrderedDict[str, float] = OrderedDict()
        self._evicted_until = -math.inf

    def state(self, key: str) -> AttemptState:
        """Return the state of an attempt."""
        if key in self._fenced:
            return AttemptState.FENCED
        record = self._seen.get(key)
        return record[0] if record else AttemptState.UNSEEN

    def register(self, key: str, remaining_s: float) -> None:
        """Register an attempt that has arrived.

        :param remaining_s: seconds until its deadline.
        :raises RequestError: if it is fenced, or has arrived before.
        """
        state = self.state(key)
        if state is AttemptState.FENCED:
            raise RequestError(ErrorKind.FENCED, "the attempt was fenced")
        if state is not AttemptState.UNSEEN:
            detail = "a duplicate of the attempt arrived"
            raise RequestError(ErrorKind.UPSTREAM_LOST, detail, Outcome.UNKNOWN)
        expires_at = self._now() + max(0.0, remaining_s) + RETENTION_S
        self._seen[key] = AttemptState.QUEUED, expires_at
        self._expire()

    def _expire(self) -> None:
        now = self._now()
        while self._seen:
            key, (_, expires_at) = next(iter(self._seen.items()))
            if expires_at > now and len(self._seen) <= MAX_RETAINED:
                break
            del self._seen[key]
            if expires_at > now:
                self._evicted_until = max(self._evicted_until, expires_at)
        while self._fenced and next(iter(self._fenced.values())) <= now:
            self._fenced.popitem(last=False)

    def begin(self, key: str) -> None:
        """Record that the attempt is about to be sent to the target.

        :raises RequestError: of kind ``FENCED`` if it was fenced while it was queued.
        """
        if key in self._fenced:
            raise RequestError(ErrorKind.FENCED, "the attempt was fenced")
        if key in self._seen:
            self._seen[key] = AttemptState.BEGUN, self._seen[key][1]

    def fence(self, key: str, drop_queued: bool) -> AttemptState:
        """Prevent an attempt that has not begun from ever beginning.

        :param drop_queued: whether to fence an attempt that waits for a slot, too.
        :returns: the state after the call; ``FENCED`` proves that the attempt has not
            run and never will.
        """
        self._expire()
        state = self.state(key)
        if state is AttemptState.UNSEEN:
            if self._now() < self._evicted_until or len(self._fenced) >= MAX_FENCES:
                return AttemptState.FORGOTTEN
        elif not (drop_queued and state is AttemptState.QUEUED):
            return state
        self._fenced[key] = self._now() + FENCE_RETENTION_S
        return AttemptState.FENCED
