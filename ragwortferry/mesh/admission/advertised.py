"""What the upstream of this instance states about itself in its responses."""

__all__ = ["AdvertisedState"]

from ragwortferry.logs import Log
from ragwortferry.mesh.links.frames import Advertisement
from ragwortferry.mesh.model import Advertised

# Minimum interval between log lines about values that change with each response.
LOG_INTERVAL_S = 1.0


class AdvertisedState:
    """The limit that the own upstream names.

    A limit holds until a response states none. Responses may overtake each other, so
    the limit ends only with a response whose request was sent after the last response
    that named it. That an upstream is leaving is part of the mesh state.
    """

    def __init__(self, log: Log):
        self._log = log
        self._logged_at = -LOG_INTERVAL_S
        # Id of the upstream that the statements are about, empty before the first.
        self.upstream = ""
        self.limit_per_s: float | None = None
        # Loop time at which the limit was last named.
        self.named_at = float("-inf")
        # Whether the upstream has responded to this process.
        self._heard = False

    def record(
        self,
        upstream: str,
        advertised: Advertised,
        sent_at: float,
        now: float,
        ran: bool,
    ) -> bool:
        """Record what a response states, and return whether the limit has changed.

        :param upstream: id of the upstream that sent the response.
        :param sent_at: loop time at which the request was sent.
        :param ran: whether the request ran. A refusal may come from a part of the
            upstream that names no limits, so it ends none.
        """
        before = self.limit_per_s
        self._heard = True
        if upstream != self.upstream:
            self.upstream, self.limit_per_s = upstream, None
        if advertised.limit_per_s is not None:
            self.limit_per_s, self.named_at = advertised.limit_per_s, now
        elif ran and not advertised.invalid and sent_at > self.named_at:
            self.limit_per_s = None
        if advertised.invalid:
            self._log_invalid(advertised.invalid, now)
        if self.limit_per_s == before:
            return False
        self._log_change(before, now)
        return True

    def forget(self, upstream: str) -> bool:
        """Drop the limit if an upstream that has started again had named it."""
        if upstream != self.upstream or self.limit_per_s is None:
            return False
        before, self.limit_per_s = self.limit_per_s, None
        self._log_change(before, self._logged_at)
        return True

    def adopt(self, advertised: Advertisement, now: float) -> bool:
        """Take over what another node knows, and return whether the limit has changed.

        Only a node that has no response of its own yet needs it, and of several
        statements the latest.
        """
        if self._heard:
            return False
        self.upstream = self.upstream or advertised.upstream
        named_at = now - advertised.age_ms / 1000
        if advertised.limit_per_s is None or named_at < self.named_at:
            return False
        before, self.limit_per_s = self.limit_per_s, advertised.limit_per_s
        self.upstream, self.named_at = advertised.upstream, named_at
        self._log_change(before, now)
        return True

    def _log_change(self, before: float | None, now: float) -> None:
        """Log a change, unless only the value of the limit changed a moment ago."""
        if None not in (self.limit_per_s, before):
            if now - self._logged_at < LOG_INTERVAL_S:
                return
        self._logged_at = now
        limit = "no limit" if self.limit_per_s is None else f"{self.limit_per_s:g}/s"
        self._log.event(
            "advertised",
            f"upstream {self.upstream} names {limit}",
            upstream=self.upstream,
            limit_per_s=self.limit_per_s,
        )

    def _log_invalid(self, value: str, now: float) -> None:
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._log.event(
                "advertised-invalid",
                f"upstream {self.upstream} names a limit that is no number: {value!r}",
                upstream=self.upstream,
                value=value,
            )
