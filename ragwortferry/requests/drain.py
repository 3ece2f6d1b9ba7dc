"""Leaving: no new work for the target, and an end that cuts off nothing."""

__all__ = ["Drain"]

import asyncio

from ragwortferry.logs import Log
from ragwortferry.requests.server import InFlightCounter
from ragwortferry.source.port import Instance
from ragwortferry.spread.members import Members


class Drain:
    """Knows whether this instance is leaving and waits for what is in flight.

    :param drain_s: seconds to wait for requests in flight.
    """

    def __init__(self, members: Members, log: Log, drain_s: float):
        self._members = members
        self._log = log
        self._drain_s = drain_s
        self._reason = ""
        self.in_flight = InFlightCounter()

    @property
    def draining(self) -> bool:
        """Return whether the target of this instance must get no new work."""
        return bool(self._reason)

    async def start(self) -> None:
        """Watch the instance list for the own entry."""
        self._members.listen(self._check_instance_list)

    async def stop(self) -> None:
        """Do nothing."""

    def _check_instance_list(self) -> None:
        entry = self._members.instances.get(self._members.me.id)
        if entry and entry.leaving and self._is_own_entry(entry):
            self.begin("the instance list says so")

    def _is_own_entry(self, entry: Instance) -> bool:
        """Return whether an entry speaks of this process and not of a predecessor."""
        me = self._members.me
        return (entry.host, entry.listen_port) == (me.host, me.listen_port)

    def begin(self, reason: str) -> None:
        """Begin to leave."""
        if not self._reason:
            self._reason = reason
            self._log.event("leaving", "instance is leaving", reason=reason)

    async def wait_idle(self) -> bool:
        """Wait until no request is in flight and say whether that came in time."""
        try:
            async with asyncio.timeout(self._drain_s):
                await self.in_flight.wait_idle()
        except TimeoutError:
            self._log.event("drain-cut", "requests cut", count=self.in_flight.count)
            return False
        self._log.event("drained", "no request in flight")
        return True
