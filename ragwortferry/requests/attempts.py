"""What an owner proxy remembers of attempts, so that others can ask and fence."""

__all__ = ["AttemptState", "Attempts"]

import math
import time
from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError

RETENTION_S = 30.0
MAX_ATTEMPTS = 10_000
FENCE_RETENTION_S = 900.0
MAX_FENCES = 10_000


class AttemptState(StrEnum):
    """How far an attempt has come at its owner."""

    UNSEEN = "unseen"
    QUEUED = "queued"
    BEGUN = "begun"
    FENCED = "fenced"
    FORGOTTEN = "forgotten"


class Attempts:
    """Attempts seen lately, by key.

    An entry proxy that does not know whether its attempt arrived asks to fence it. An
    attempt that has not begun is then never begun, even if its bytes arrive later.

    An attempt is kept past its deadline, after which nobody asks. Where the bound on
    their number drops one earlier, an unseen attempt may be a dropped one: for that
    time a fence proves nothing and says so.

    :param now: monotonic clock in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self._now = now
        self._seen: OrderedDict[str, tuple[AttemptState, float]] = OrderedDict()
        self._fenced: OrderedDict[str, float] = OrderedDict()
        self._evicted_until = -math.inf

    def state(self, key: str) -> AttemptState:
        """Return how far an attempt has come."""
        if key in self._fenced:
            return AttemptState.FENCED
        record = self._seen.get(key)
        return record[0] if record else AttemptState.UNSEEN

    def register(self, key: str, remaining_s: float) -> None:
        """Take note of an attempt that has arrived.

        :param left_s: seconds until its deadline.
        :raises RequestError: if it is fenced, or has arrived before.
        """
        state = self.state(key)
        if state is AttemptState.FENCED:
            raise RequestError(ErrorKind.FENCED, "the attempt was given up")
        if state is not AttemptState.UNSEEN:
            detail = "the attempt arrived twice"
            raise RequestError(ErrorKind.UPSTREAM_LOST, detail, Outcome.UNKNOWN)
        expires_at = self._now() + max(0.0, remaining_s) + RETENTION_S
        self._seen[key] = AttemptState.QUEUED, expires_at
        self._expire()

    def _expire(self) -> None:
        now = self._now()
        while self._seen:
            key, (_, expires_at) = next(iter(self._seen.items()))
            if expires_at > now and len(self._seen) <= MAX_ATTEMPTS:
                break
            del self._seen[key]
            if expires_at > now:
                self._evicted_until = max(self._evicted_until, expires_at)
        while self._fenced and next(iter(self._fenced.values())) <= now:
            self._fenced.popitem(last=False)

    def begin(self, key: str) -> None:
        """Take note that the target may see the attempt from now on.

        :raises RequestError: of kind ``FENCED`` if it was fenced while it waited.
        """
        if key in self._fenced:
            raise RequestError(ErrorKind.FENCED, "the attempt was given up")
        if key in self._seen:
            self._seen[key] = AttemptState.BEGUN, self._seen[key][1]

    def fence(self, key: str, drop_queued: bool) -> AttemptState:
        """Make sure that an attempt which has not begun never does.

        :param drop_queued: whether an attempt that waits for a slot is fenced too.
        :returns: the state after the call; ``FENCED`` proves that it has not run.
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
