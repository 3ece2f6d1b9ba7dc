"""The availability zones that the operator has evacuated: they get no requests."""

__all__ = ["Evacuations", "ZoneChange"]

from collections.abc import Callable, Iterable

from ragwortferry.mesh.links.frames import ZoneChange
from ragwortferry.mesh.revisions import era_of

# Maximum number of zones that are kept; a mesh has a few dozen.
MAX_ZONES = 256


class Evacuations:
    """The evacuated zones as this node knows them.

    The newest change of each zone wins, so changes may arrive twice, late and in any
    order. The end of an evacuation is kept too, or an older change would begin it
    again.

    >>> evacuations = Evacuations()
    >>> evacuations.apply([ZoneChange("b", 7, True), ZoneChange("b", 5, False)])
    ['b']
    >>> evacuations.includes("b"), evacuations.revision
    (True, 7)
    """

    def __init__(self):
        self._changes: dict[str, ZoneChange] = {}
        # Revision of the store up to which all changes are known.
        self.revision = 0
        # Called with the zones that are now evacuated or no longer are.
        self.on_change: list[Callable[[list[str]], None]] = []

    @property
    def zones(self) -> list[str]:
        """Return the evacuated zones."""
        return [item.zone for item in self._changes.values() if item.evacuated]

    @property
    def changes(self) -> list[ZoneChange]:
        """Return the newest change of each zone."""
        return list(self._changes.values())

    def includes(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        known = self._changes.get(zone)
        return known is not None and known.evacuated

    def apply(self, changes: Iterable[ZoneChange], revision: int = 0) -> list[str]:
        """Apply changes and return the zones whose state is another one now.

        :param revision: revision of the store up to which the changes are complete.
        """
        changed = []
        for item in changes:
            known = self._changes.get(item.zone)
            if known is not None and known.revision >= item.revision:
                continue
            self._changes[item.zone] = item
            self.revision = max(self.revision, item.revision)
            if item.evacuated != (known is not None and known.evacuated):
                changed.append(item.zone)
        self.revision = max(self.revision, revision)
        self._prune()
        if changed:
            for callback in self.on_change:
                callback(changed)
        return changed

    def replace(self, zones: dict[str, int], revision: int) -> list[str]:
        """Apply a full listing; the parameters are those of :meth:`listed_changes`."""
        return self.apply(self.listed_changes(zones, revision))

    def contradicts(self, change: ZoneChange) -> bool:
        """Return whether a change undoes what is known from an earlier era.

        The store may have lost what the operator wrote last.
        """
        known = self._changes.get(change.zone)
        return (
            known is not None
            and known.evacuated != change.evacuated
            and era_of(known.revision) < era_of(change.revision)
        )

    def listed_changes(self, zones: dict[str, int], revision: int) -> list[ZoneChange]:
        """Return the changes that a full listing of the evacuated zones implies.

        :param zones: revision of the item of each listed zone.
        :param revision: revision of the store as of the listing.
        """
        listed = [ZoneChange(zone, rev, True) for zone, rev in zones.items()]
        missing = [
            ZoneChange(zone, revision, False)
            for zone in self.zones
            if zone not in zones and self._changes[zone].revision <= revision
        ]
        return [*listed, *missing]

    def _prune(self) -> None:
        """Forget the oldest ends of evacuations if there are too many zones."""
        excess = len(self._changes) - MAX_ZONES
        if excess <= 0:
            return
        order = sorted(
            self._changes.values(), key=lambda item: (item.evacuated, item.revision)
        )
        for item in order[:excess]:
            del self._changes[item.zone]
