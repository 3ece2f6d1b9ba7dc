"""Notices that a node knows of a newer configuration and does not enforce it yet."""

__all__ = ["VersionWatch"]

import asyncio

from ragwortferry.logs import Log
from ragwortferry.mesh.model import Document
from ragwortferry.mesh.state import MeshState

# Time after which a version that is known and not enforced is logged. Most versions
# arrive within it, from the other parent or after a pull.
OVERDUE_S = 0.5


class VersionWatch:
    """Tracks the newest version that peers enforce and this node does not.

    The log then tells a node that was not told of a version from one that was told and
    did not apply it.
    """

    def __init__(self, state: MeshState, loop: asyncio.AbstractEventLoop, log: Log):
        self._state = state
        self._loop = loop
        self._log = log
        self._origin = ""
        # When this node first heard of a version that it does not enforce.
        self._since = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._overdue = False
        self.known_version = 0
        state.on_document.append(self._on_document)

    @property
    def awaited_s(self) -> float:
        """Return for how long a newer version has been known, 0 if none is."""
        if self.known_version <= self._state.version:
            return 0.0
        return self._loop.time() - self._since

    def record(self, version: int, origin: str) -> None:
        """Record that a peer enforces a version.

        :param origin: IP address of the peer.
        """
        if version <= max(self.known_version, self._state.version):
            return
        if self.known_version <= self._state.version:
            self._since = self._loop.time()
            self._timer = self._loop.call_later(OVERDUE_S, self._report)
        self.known_version, self._origin = version, origin

    def _report(self) -> None:
        self._overdue = True
        self._log.event(
            "version-awaited",
            f"configuration version {self.known_version} is known, not enforced",
            version=self.known_version,
            enforced=self._state.version,
            awaited_s=round(self.awaited_s, 3),
            origin=self._origin,
        )

    def _on_document(self, document: Document) -> None:
        if self._timer is None or document.version < self.known_version:
            return
        self._timer.cancel()
        self._timer = None
        if self._overdue:
            self._overdue = False
            self._log.event(
                "version-caught-up",
                f"awaited configuration version {document.version} is enforced",
                version=document.version,
                awaited_s=round(self._loop.time() - self._since, 3),
            )
