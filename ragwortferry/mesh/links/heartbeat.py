"""Heartbeat of one dialed link: when to ping, when to doubt the peer, when to close.

Answers the load of a node with many links, most of which are idle: each link tells when
it has to be looked at next, so that an idle link costs one ping per interval and a link
with pending attempts one per silent busy interval.
"""

__all__ = ["Heartbeat"]

from ragwortferry.utils.deadlines import NEVER

# Interval between pings while nothing is received on a dialed link without pending
# attempts. The peer, which accepted the link, sends no pings on it. A peer that missed
# a change learns of it from a ping.
IDLE_PING_INTERVAL_S = 1.0
# Bounds of the same with pending attempts.
MIN_BUSY_PING_INTERVAL_S, MAX_BUSY_PING_INTERVAL_S = 0.1, 0.4
# It is this fraction of the time that the most urgent attempt had left when it was
# sent, so that a lost peer costs each attempt about the same part of its time.
BUSY_PING_FRACTION = 0.1
# A dialed link without pending attempts is closed if nothing is received for this long
# after a ping.
IDLE_TIMEOUT_S = 3.0
# Fraction of the timeout with pending attempts after which other instances are
# preferred. A pong takes a few milliseconds, or 0.1 s if the peer's process is
# scheduled late.
SUSPECT_FRACTION = 0.4
# Pings of idle links are due at multiples of this time, so that those of many links are
# sent in one turn of the event loop.
IDLE_SLOT_S = 0.25


class Heartbeat:
    """Silence of the peer at the other end of a dialed link.

    :ivar pinged_at: loop time of the last ping.
    :ivar unanswered_since: time of the oldest ping since which nothing was received.
    """

    __slots__ = ("_busy_interval_s", "pinged_at", "unanswered_since")

    def __init__(self):
        self.pinged_at = 0.0
        self.unanswered_since = NEVER
        self._busy_interval_s = MIN_BUSY_PING_INTERVAL_S

    def restart(self) -> None:
        """Begin again on a new link."""
        self.unanswered_since = NEVER

    def record_attempt(self, left_s: float, first: bool) -> None:
        """Adapt the busy interval to an attempt that is sent.

        :param left_s: time until its deadline, in seconds.
        :param first: whether no other attempt is pending.
        """
        interval_s = max(
            MIN_BUSY_PING_INTERVAL_S,
            min(MAX_BUSY_PING_INTERVAL_S, BUSY_PING_FRACTION * left_s),
        )
        self._busy_interval_s = (
            interval_s if first else min(interval_s, self._busy_interval_s)
        )

    def record_received(self, received_at: float) -> None:
        """End the doubt about the peer if something arrived since the ping."""
        if received_at >= self.unanswered_since:
            self.unanswered_since = NEVER

    def ping_due(self, received_at: float, busy: bool) -> float:
        """Return the time of the next ping if nothing is received before it."""
        last = max(received_at, self.pinged_at)
        if busy:
            return last + self._busy_interval_s
        due = last + IDLE_PING_INTERVAL_S
        return max(last, due - due % IDLE_SLOT_S)

    def record_ping(self, now: float) -> None:
        """Record that a ping is sent."""
        self.pinged_at = now
        self.unanswered_since = min(self.unanswered_since, now)

    def reset_timeout(self, now: float) -> None:
        """Let the silence until now not count: this process itself was blocked."""
        if self.unanswered_since is not NEVER:
            self.unanswered_since = now

    def timed_out(self, now: float, timeout_s: float) -> bool:
        """Return whether a ping has been unanswered for longer than a timeout."""
        return now - self.unanswered_since > timeout_s

    def is_suspect(self, received_at: float, now: float, timeout_s: float) -> bool:
        """Return whether a pong is overdue, long before the link is closed.

        If the network is partitioned, a request sent over the link gets no response
        and its outcome is unknown. So other instances are preferred.

        :param timeout_s: timeout of a ping with pending attempts.
        """
        if received_at >= self.unanswered_since:
            return False
        return now - self.unanswered_since > SUSPECT_FRACTION * timeout_s

    def next_check(
        self, received_at: float, now: float, busy: bool, timeout_s: float
    ) -> float:
        """Return when the link has to be looked at next.

        :param timeout_s: timeout of an unanswered ping.
        """
        due = min(self.ping_due(received_at, busy), self.unanswered_since + timeout_s)
        suspect_at = self.unanswered_since + SUSPECT_FRACTION * timeout_s
        return min(due, suspect_at) if busy and suspect_at > now else due
