"""Tells all nodes which availability zones the operator has evacuated."""

__all__ = ["EvacuationExchange"]

from ragwortferry.logs import Log
from ragwortferry.mesh.links.frames import EvacuatedZones, ZoneChange
from ragwortferry.mesh.links.link import Link
from ragwortferry.mesh.links.relay import Relay
from ragwortferry.mesh.revisions import store_revision
from ragwortferry.mesh.state import REWRITE_GRACE_S
from ragwortferry.mesh.zones import Evacuations
from ragwortferry.utils.timers import call_later


class EvacuationExchange:
    """Tells peers about evacuated zones: changes at once, the whole set if they differ.

    The set has a few short entries, so each change goes over all links. A peer that
    missed one names a lower revision in its heartbeats and is sent the set.
    """

    def __init__(self, evacuations: Evacuations, relay: Relay, log: Log):
        self._evacuations = evacuations
        self._relay = relay
        self._log = log
        # Schedules a callback after some seconds.
        self.call_later = call_later

    def apply(self, changes: list[ZoneChange], origin: str) -> None:
        """Apply changes and tell the peers what is new.

        :param origin: IP address of the peer that sent them, or ``"store"``.
        """
        before = self._evacuations.revision
        changed = self._evacuations.apply(changes)
        self._after_change(changed, before, origin)

    def replace(self, zones: dict[str, int], revision: int) -> None:
        """Apply a full listing of the store and tell the peers what is new.

        If the store has come back from a copy, the operator gets time to write again
        what was lost.
        """
        evacuations = self._evacuations
        held, current = [], []
        for change in evacuations.listed_changes(zones, revision):
            (held if evacuations.contradicts(change) else current).append(change)
        self.apply(current, "store")
        if held:
            self._log.event(
                "evacuations-held",
                "zones differ in the store's copy, left as they are for a while",
                zones=[item.zone for item in held],
            )
            self.call_later(REWRITE_GRACE_S, lambda: self.apply(held, "store"))

    def on_peer_revision(self, link: Link, revision: int) -> None:
        """Send the set to a peer that knows less; a negative revision takes none."""
        link.peer_evacuation_revision = max(link.peer_evacuation_revision, revision)
        if 0 <= link.peer_evacuation_revision < self._evacuations.revision:
            self._send(link)

    def on_frame(self, link: Link, frame: EvacuatedZones) -> None:
        """Apply what a peer knows."""
        newest = max((item.revision for item in frame.changes), default=0)
        link.peer_evacuation_revision = max(link.peer_evacuation_revision, newest)
        self.apply(frame.changes, link.host)

    def _after_change(self, changed: list[str], before: int, origin: str) -> None:
        for zone in changed:
            evacuated = self._evacuations.includes(zone)
            self._log.event(
                "zone-evacuated" if evacuated else "zone-restored",
                f"upstreams of zone {zone} get {'no ' if evacuated else ''}requests"
                + ("" if evacuated else " again"),
                zone=zone,
                revision=store_revision(self._evacuations.revision),
                evacuated=self._evacuations.zones,
                origin=origin,
            )
        if self._evacuations.revision == before:
            return
        for link in self._relay.links():
            if 0 <= link.peer_evacuation_revision < self._evacuations.revision:
                self._send(link)

    def _send(self, link: Link) -> None:
        link.peer_evacuation_revision = self._evacuations.revision
        link.send(EvacuatedZones(self._evacuations.changes))
