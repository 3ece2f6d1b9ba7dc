"""Tells which requests were at work when the upstream of this instance crashed."""

__all__ = ["CrashMonitor"]

from collections import deque

from ragwortferry.mesh.attempt import Attempt
from ragwortferry.mesh.fingerprint import RequestKind, request_kind

# Attempts that ended without a response at most this long before a crash was found are
# suspects: one may have been cancelled just before.
LOSS_WINDOW_S = 1.0
# Largest number of attempts that are kept as lost, and of suspects in a report.
MAX_LOST = 256
# Number of completed attempts that are kept, and the largest body of one.
MAX_COMPLETED, MAX_COMPLETED_BYTES = 128, 4_096


class CrashMonitor:
    """Keeps the attempts that the upstream has lost and some that it has completed.

    A request that the same process of the upstream has run to its end before is no
    suspect. So a popular request, of which some are at work in each crash, is not
    suspected as long as the upstream has had the time to complete one.
    """

    def __init__(self):
        self._lost: deque[tuple[float, Attempt]] = deque(maxlen=MAX_LOST)
        self._completed: deque[Attempt] = deque(maxlen=MAX_COMPLETED)

    def record_lost(self, attempt: Attempt, now: float) -> None:
        """Record that an attempt was sent to the upstream and has no response."""
        self._lost.append((now, attempt))

    def record_completed(self, attempt: Attempt) -> None:
        """Record that the upstream has run an attempt to its end."""
        if len(attempt.body) <= MAX_COMPLETED_BYTES:
            self._completed.append(attempt)

    def lost(self, now: float) -> list[Attempt]:
        """Return the attempts that were lost within the window, oldest first."""
        return [attempt for at, attempt in self._lost if now - at <= LOSS_WINDOW_S]

    def end_incarnation(self, upstream: str, now: float) -> list[RequestKind]:
        """Return the suspects of a crash and forget what the process has completed.

        :param upstream: id of the upstream that has crashed.
        """
        innocent = {kind_of(item) for item in self._completed}
        suspects = {
            kind_of(attempt): None
            for attempt in self.lost(now)
            if attempt.upstream == upstream
        }
        self._lost.clear()
        self._completed.clear()
        return [kind for kind in suspects if kind not in innocent]


def kind_of(attempt: Attempt) -> RequestKind:
    """Return the kind of the request of an attempt."""
    return request_kind(
        attempt.caller, attempt.method, attempt.target, attempt.headers, attempt.body
    )
