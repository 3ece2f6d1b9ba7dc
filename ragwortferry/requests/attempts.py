"""What an owner proxy remembers of attempts, so that others can ask and fence."""

__all__ = ["AttemptState", "Attempts"]

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError

KEEP_S = 300.0
MAX_KEPT = 50_000


class AttemptState(StrEnum):
    """How far an attempt has come at its owner."""

    UNSEEN = "unseen"
    QUEUED = "queued"
    BEGUN = "begun"
    FENCED = "fenced"


@dataclass(slots=True)
class _Entry:
    state: AttemptState
    at: float


class Attempts:
    """Attempts seen lately, by key.

    An entry proxy that does not know whether its attempt arrived asks to fence it. An
    attempt that has not begun is then never begun, even if its bytes arrive later.

    :param now: monotonic clock in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self._now = now
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def _put(self, key: str, state: AttemptState) -> None:
        self._entries[key] = _Entry(state, self._now())
        oldest = next(iter(self._entries.values()))
        while len(self._entries) > MAX_KEPT or self._now() - oldest.at > KEEP_S:
            self._entries.popitem(last=False)
            oldest = next(iter(self._entries.values()))

    def state(self, key: str) -> AttemptState:
        """Return how far an attempt has come."""
        entry = self._entries.get(key)
        return entry.state if entry else AttemptState.UNSEEN

    def arrive(self, key: str) -> None:
        """Take note of an attempt that has arrived.

        :raises RequestError: if it is fenced, or has arrived before.
        """
        state = self.state(key)
        if state is AttemptState.FENCED:
            raise RequestError(ErrorKind.FENCED, "the attempt was given up")
        if state is not AttemptState.UNSEEN:
            detail = "the attempt arrived twice"
            raise RequestError(ErrorKind.UPSTREAM_LOST, detail, Outcome.UNKNOWN)
        self._put(key, AttemptState.QUEUED)

    def begin(self, key: str) -> None:
        """Take note that the target may see the attempt from now on.

        :raises RequestError: of kind ``FENCED`` if it was fenced while it waited.
        """
        if self.state(key) is AttemptState.FENCED:
            raise RequestError(ErrorKind.FENCED, "the attempt was given up")
        self._put(key, AttemptState.BEGUN)

    def fence(self, key: str, drop_queued: bool) -> AttemptState:
        """Make sure that an attempt which has not begun never does.

        :param drop_queued: whether an attempt that waits for a slot is fenced too.
        :returns: the state after the call; ``FENCED`` proves that it has not run.
        """
        state = self.state(key)
        fences = state is AttemptState.UNSEEN or (
            drop_queued and state is AttemptState.QUEUED
        )
        if fences:
            self._put(key, AttemptState.FENCED)
        return self.state(key)
