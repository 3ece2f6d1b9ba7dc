"""Draining: no new requests reach the target, and those in flight finish."""

__all__ = ["Drain"]

import asyncio

from ragwortferry.logs import Log
from ragwortferry.requests.server import InFlightCounter
from ragwortferry.source.port import Instance
from ragwortferry.spread.members import Members


class Drain:
    """Draining state of this instance, and its requests in flight.

    :param drain_s: maximum seconds to wait for requests in flight.
    """

    def __init__(self, members: Members, log: Log, drain_s: float):
        self._members = members
        self._log = log
        self._drain_s = drain_s
        self._reason = ""
        self._ends_at = float("inf")
        self.in_flight = InFlightCounter()

    @property
    def draining(self) -> bool:
        """Return whether the instance drains: its target must get no new requests."""
        return bool(self._reason)

    @property
    def ends_at(self) -> float:
        """Return the loop time at which requests in flight are aborted, if ever."""
        return self._ends_at

    async def start(self) -> None:
        """Watch the entry of this instance in the instance list."""
        self._members.add_listener(self._check_instance_list)

    async def stop(self) -> None:
        """Do nothing: there is nothing to release."""

    def _check_instance_list(self) -> None:
        entry = self._members.instances.get(self._members.me.id)
        if entry and entry.leaving and self._is_own_entry(entry):
            self.begin("the instance list marks the instance as draining")

    def _is_own_entry(self, entry: Instance) -> bool:
        """Return whether an entry describes this process and not a predecessor."""
        me = self._members.me
        return (entry.host, entry.listen_port) == (me.host, me.listen_port)

    def begin(self, reason: str) -> None:
        """Start draining; further calls have no effect.

        :param reason: field of the log event.
        """
        if not self._reason:
            self._reason = reason
            self._log.event("leaving", "instance is draining", reason=reason)

    def begin_shutdown(self, leave_s: float) -> None:
        """Start draining and set the time at which requests in flight are aborted.

        :param leave_s: seconds until :meth:`wait_idle` is called.
        """
        now = asyncio.get_running_loop().time()
        self._ends_at = now + leave_s + self._drain_s
        self.begin("signal")

    async def wait_idle(self) -> bool:
        """Wait until no request is in flight; return ``False`` after ``drain_s``."""
        try:
            async with asyncio.timeout(self._drain_s):
                await self.in_flight.wait_idle()
        except TimeoutError:
            self._log.event(
                "drain-cut",
                "draining timed out with requests in flight",
                count=self.in_flight.count,
            )
            return False
        self._log.event("drained", "draining finished, no request in flight")
        return True
