"""Leaving: no new work for the target, and an end that cuts off nothing."""

__all__ = ["Drain"]

import asyncio

from ragwortferry.logs import Log
from ragwortferry.requests.server import InFlight
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
        self.in_flight = InFlight()

    @property
    def leaving(self) -> bool:
        """Return whether the target of this instance must get no new work."""
        return bool(self._reason)

    async def start(self) -> None:
        """Watch the instance list for the own entry."""
        self._members.add_listener(self._check_list)

    async def stop(self) -> None:
        """Do nothing."""

    def _check_list(self) -> None:
        listed = self._members.instances.get(self._members.me.id)
        if listed and listed.leaving and self._speaks_of_me(listed):
            self.leave("the instance list says so")

    def _speaks_of_me(self, listed: Instance) -> bool:
        """Return whether an entry speaks of this process and not of a predecessor."""
        me = self._members.me
        return (listed.host, listed.listen_port) == (me.host, me.listen_port)

    def leave(self, reason: str) -> None:
        """Begin to leave."""
        if not self._reason:
            self._reason = reason
            self._log.event("leaving", "instance is leaving", reason=reason)

    async def wait_idle(self) -> bool:
        """Wait until no request is in flight and say whether that came in time."""
        try:
            async with asyncio.timeout(self._drain_s):
                await self.in_flight.wait_empty()
        except TimeoutError:
            self._log.event("drain-cut", "requests cut", count=self.in_flight.count)
            return False
        self._log.event("drained", "no request in flight")
        return True
