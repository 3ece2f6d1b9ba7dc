"""The state of the mesh as a node has it: the current document and the registry.

Both only move forward. A document is accepted if its version is higher than the
current version. A registry entry is accepted if its revision is higher than that of the
known entry or of its removal. So changes may arrive twice, late and in any order.

Revisions are ordered by the era of the store first. After a change of era, the entries
that the store has lost are kept until their upstreams had time to write them again.
"""

__all__ = ["REWRITE_GRACE_S", "MeshState", "RegistryChange"]

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from ragwortferry.logs import Log
from ragwortferry.mesh.history import DocumentChange, DocumentHistory
from ragwortferry.mesh.model import Document, Upstream
from ragwortferry.mesh.revisions import era_of, store_revision
from ragwortferry.mesh.zones import Evacuations
from ragwortferry.utils.sockets import Address
from ragwortferry.utils.timers import call_later

# Maximum number of removals that are kept; more than can be in flight between two
# nodes.
MAX_TOMBSTONES = 4_096
# Maximum number of upstreams that are known to leave. An entry of one may vanish and
# return, so they are kept for longer than the entries.
MAX_LEAVING = 4_096
# Time in which upstreams write their entries again after the store has come back: about
# 2 s by the platform's pages. An entry that is still missing then is gone.
REWRITE_GRACE_S = 2.2

Decoder = Callable[[bytes], Result[Document, str]]


@dataclass(slots=True)
class RegistryChange:
    """Changes of the registry, or a snapshot of it.

    :param since: revision that the changes are based on, 0 for a snapshot.
    :param revision: revision after the changes.
    :param upstreams: added and changed upstreams.
    :param removed: revision of each removal, by id.
    """

    since: int
    revision: int
    upstreams: list[Upstream] = field(default_factory=list)
    removed: dict[str, int] = field(default_factory=dict)


class MeshState:
    """The current document and the registry, with callbacks on their changes.

    :param decode: decodes and checks a configuration.
    """

    def __init__(self, decode: Decoder, log: Log):
        self._decode = decode
        self._log = log
        self._upstreams: dict[str, Upstream] = {}
        # Revision of each removal, by id of the upstream.
        self._tombstones: dict[str, int] = {}
        # All removals after this revision are in the tombstones.
        self._pruned_revision = 0
        # Start time of each upstream that has said itself that it is leaving, by id.
        self._leaving: dict[str, int] = {}
        # Indexes of the registry, ``None`` after a change of it.
        # Upstreams that were draining in an earlier era and that the store's copy shows
        # as ready.
        self._drained_before: set[str] = set()
        # Last era whose grace period has ended.
        self._settled_era = 0
        self._by_service: dict[str, list[Upstream]] | None = None
        self._by_host: dict[str, list[Upstream]] | None = None
        self._history = DocumentHistory()
        self._older_version = 0
        self.evacuations = Evacuations()
        self.evacuations.on_change.append(self._on_evacuation)
        self.document: Document | None = None
        self.revision = 0
        # The era that this node learned first, 0 before.
        self.first_era = 0
        # Number of times that a higher era was learned.
        self.era_changes = 0
        # Schedules a callback after some seconds.
        self.call_later = call_later
        # Called in the order of the list, after the change was applied.
        self.on_document: list[Callable[[Document], None]] = []
        self.on_registry: list[Callable[[RegistryChange], None]] = []

    @property
    def version(self) -> int:
        """Return the current version, 0 if there is none."""
        return self.document.version if self.document else 0

    @property
    def compressed(self) -> bytes:
        """Return the current configuration, compressed with zlib."""
        return self._history.compressed

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """Return all known upstreams by id."""
        return self._upstreams

    @property
    def era(self) -> int:
        """Return the era of the store that the registry is known from."""
        return era_of(self.revision)

    @property
    def unconfirmed(self) -> list[str]:
        """Return the upstreams whose entries the store has lost in a change of era.

        They are used as before until the grace period ends.
        """
        revisions = ((name, item.revision) for name, item in self._upstreams.items())
        return [name for name, revision in revisions if era_of(revision) < self.era]

    @property
    def ready(self) -> bool:
        """Return whether requests can be routed."""
        return self.document is not None and self.revision > 0

    def is_draining(self, name: str) -> bool:
        """Return whether an upstream is registered and drains.

        The registry may still show one as ready that was draining before the store came
        back from a copy.
        """
        known = self._upstreams.get(name)
        return known is not None and (known.draining or name in self._drained_before)

    def has_left(self, name: str) -> bool:
        """Return whether an upstream drains, or its entry was removed.

        One that is not known yet has not left.
        """
        if name in self._upstreams:
            return self.is_draining(name)
        return name in self._tombstones

    @property
    def leaving_count(self) -> int:
        """Return the number of registered upstreams that say they are leaving."""
        return sum(name in self._upstreams for name in self._leaving)

    def is_leaving(self, name: str) -> bool:
        """Return whether an upstream has said in a response that it is leaving.

        The registry may still list it as ready.
        """
        return name in self._leaving

    def leaving_since(self, name: str) -> int:
        """Return the start time of a leaving upstream's process, 0 if unknown."""
        return self._leaving.get(name, 0)

    def mark_leaving(self, name: str, born_ms: int, origin: str) -> bool:
        """Record that an upstream says it is leaving.

        Only a later start of the upstream ends this.

        :param born_ms: start time of the process that said so, 0 if unknown.
        :param origin: IP address of the node that heard it.
        :return: whether this was not known.
        """
        known = self._upstreams.get(name)
        if known is not None and 0 < born_ms < known.born_ms:
            return False
        if name in self._leaving:
            return False
        self._leaving[name] = born_ms or (known.born_ms if known else 0)
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
        self._by_service = None
        self._log.event(
            "upstream-leaving",
            f"upstream {name} says that it is leaving",
            upstream=name,
            born_ms=born_ms,
            origin=origin,
        )
        return True

    def _end_leaving(self, item: Upstream) -> None:
        """Forget that an upstream was leaving if it has started again since."""
        born_ms = self._leaving.get(item.id)
        if born_ms == 0:
            self._leaving[item.id] = item.born_ms
        elif born_ms is not None and item.born_ms > born_ms:
            del self._leaving[item.id]

    @property
    def services(self) -> list[str]:
        """Return the services that have available upstreams."""
        return sorted(self._available)

    @property
    def _available(self) -> dict[str, list[Upstream]]:
        if self._by_service is None:
            self._by_service = {}
            newest = self._newest_by_address()
            for item in self._upstreams.values():
                if (
                    not self.is_draining(item.id)
                    and item.id not in self._leaving
                    and not self.evacuations.includes(item.zone)
                    and newest[item.address] is item
                ):
                    self._by_service.setdefault(item.service, []).append(item)
        return self._by_service

    def _newest_by_address(self) -> dict[Address, Upstream]:
        """Return the upstream that was registered last at each address.

        The entry of a process that has crashed stays for some heartbeats, while the
        next one listens at its address.
        """
        newest: dict[Address, Upstream] = {}
        for item in self._upstreams.values():
            known = newest.get(item.address)
            if known is None or _start_key(item) > _start_key(known):
                newest[item.address] = item
        return newest

    def available_upstreams(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get requests.

        These are not draining or leaving, and not in an evacuated zone. It is the same
        list until one of them changes.
        """
        return self._available.get(service, [])

    def is_service_evacuated(self, service: str) -> bool:
        """Return whether a service has upstreams, all of them in evacuated zones."""
        zones = {i.zone for i in self._upstreams.values() if i.service == service}
        return bool(zones) and all(self.evacuations.includes(zone) for zone in zones)

    def _on_evacuation(self, zones: list[str]) -> None:
        self._by_service = None

    def upstreams_at(self, host: str) -> list[Upstream]:
        """Return the upstreams that are registered at an IP address."""
        if self._by_host is None:
            self._by_host = {}
            for item in self._upstreams.values():
                self._by_host.setdefault(item.address.host, []).append(item)
        return self._by_host.get(host, [])

    def upstream_at(self, host: str, port: int) -> Upstream | None:
        """Return the most recently changed upstream that has an address."""
        matches = [
            item for item in self.upstreams_at(host) if item.address.port == port
        ]
        return max(matches, key=lambda item: item.revision, default=None)

    def apply_compressed(self, data: bytes, origin: str) -> bool:
        """Decompress a configuration from a peer and apply it."""
        try:
            raw = zlib.decompress(data)
        except zlib.error as error:
            self._log.error("cannot decompress configuration", error, origin=origin)
            return False
        return self.apply_document(raw, origin, data)

    def changes_since_version(self, version: int) -> list[DocumentChange] | None:
        """Return the differences from a version, ``None`` if they are not known."""
        return self._history.changes_since(version)

    def apply_change(self, change: DocumentChange, origin: str) -> bool:
        """Apply a difference from the current configuration.

        :return: whether it is based on the current configuration.
        """
        try:
            raw = self._history.restore(change)
        except ValueError as error:
            self._log.error("cannot apply configuration change", error, origin=origin)
            return False
        self.apply_document(raw, origin, change=change)
        return True

    def apply_document(
        self,
        raw: bytes,
        origin: str,
        compressed: bytes = b"",
        change: DocumentChange | None = None,
    ) -> bool:
        """Enforce a configuration if it is valid and its version is higher.

        :param raw: encoded configuration.
        :param origin: IP address of the peer that sent it, or ``"store"``.
        :param compressed: compressed form of ``raw`` if it is known.
        :param change: difference from the current configuration if it is known.
        :return: whether it is now enforced.
        """
        result = self._decode(raw)
        if result.is_error():
            reason = result.swap().ok
            self._log.event(
                "refused", f"configuration refused: {reason}", reason=reason
            )
            return False
        document = result.ok
        if document.version <= self.version:
            self._log_older(document.version, origin)
            return False
        self._history.append(document.version, raw, compressed, change)
        before, self.document = self.version, document
        self._log.event(
            "enforced",
            f"configuration version {document.version} is now enforced",
            version=document.version,
            digest=document.digest,
            before=before,
            origin=origin,
            bytes=len(raw),
            routes=sum(len(routes) for routes in document.routes_by_host.values()),
        )
        for callback in self.on_document:
            callback(document)
        return True

    def _log_older(self, version: int, origin: str) -> None:
        """Log once that the store has a lower version than the one in force."""
        if origin != "store" or version in (self.version, self._older_version):
            return
        self._older_version = version
        self._log.event(
            "older",
            f"configuration version {version} in the store is older, not enforced",
            version=version,
            enforced=self.version,
        )

    def apply_registry(self, change: RegistryChange, origin: str) -> bool:
        """Apply changes of the registry.

        Only a snapshot leads to a higher era.

        :param origin: IP address of the peer that sent them, or ``"store"``.
        :return: whether there is no gap before the changes. After a gap, the missing
            changes have to be pulled.
        """
        complete = change.since <= self.revision and (
            change.since == 0 or era_of(change.revision) <= self.era
        )
        before = self.era
        applied = RegistryChange(self.revision, self.revision)
        removals = dict(change.removed)
        if change.since == 0:
            removals = {**self._missing(change), **removals}
        for item in change.upstreams:
            if self._is_newer(item):
                self._put(item, applied)
        for name, revision in removals.items():
            self._remove(name, revision, applied)
        if complete and change.revision > self.revision:
            if change.since == 0:
                self._pruned_revision = change.revision
            self.revision = change.revision
        applied.revision = self.revision
        if self.era > before:
            # Peers in the earlier era need to know what is not listed, too.
            applied.since = 0
        if applied.upstreams or applied.removed or self.era > before > 0:
            self._by_service = self._by_host = None
            self._notify(applied, origin)
        if self.era > before:
            self._begin_era(before, origin)
        return complete

    def _missing(self, change: RegistryChange) -> dict[str, int]:
        """Return the removals that a snapshot implies by what it does not list.

        An entry of an earlier era may not be written again yet.
        """
        listed = {item.id for item in change.upstreams}
        return {
            item.id: change.revision
            for item in self._upstreams.values()
            if item.id not in listed
            and item.revision <= change.revision
            and era_of(item.revision) == era_of(change.revision)
        }

    def _put(self, item: Upstream, applied: RegistryChange) -> None:
        """Replace an entry by a newer one."""
        known = self._upstreams.get(item.id)
        self._upstreams[item.id] = item
        self._drained_before.discard(item.id)
        if (
            known is not None
            and era_of(known.revision) < era_of(item.revision)
            and known.draining
            and not item.draining
            and known.born_ms == item.born_ms
        ):
            self._drained_before.add(item.id)
        self._end_leaving(item)
        applied.upstreams.append(item)

    def _begin_era(self, before: int, origin: str) -> None:
        """Log a new era, and begin the grace period of entries that were lost.

        :param before: the previous era, 0 if this node knew none.
        """
        unconfirmed = self.unconfirmed
        self.first_era = self.first_era or self.era
        if before:
            self.era_changes += 1
            self._log.event(
                "store-era",
                f"store has come back from a copy, era {self.era}",
                era=self.era,
                before=before,
                unconfirmed=unconfirmed,
                draining=list(self._drained_before),
                origin=origin,
            )
        era = self.era
        self.call_later(REWRITE_GRACE_S, lambda: self._settle(era))

    def _settle(self, era: int) -> None:
        """Drop the entries that were not written again within the grace period.

        :param era: era in which the period began; a later one has its own period.
        """
        if era != self.era:
            return
        self._settled_era = era
        if not self.unconfirmed and not self._drained_before:
            return
        applied = RegistryChange(self.revision, self.revision)
        for name in self.unconfirmed:
            # Any entry that is written again has a higher revision.
            self._remove(name, self._upstreams[name].revision, applied)
        returned, self._drained_before = list(self._drained_before), set()
        self._log.event(
            "store-era-settled",
            "entries that the store has lost are dropped",
            era=era,
            removed=list(applied.removed),
            serving=returned,
        )
        self._by_service = self._by_host = None
        self._notify(applied, "store")

    def changes_since(self, revision: int) -> RegistryChange:
        """Return the changes after a revision, or a snapshot.

        It is a snapshot if the tombstones of removals after ``revision`` may have been
        pruned, or if that is of an earlier era.
        """
        outdated = revision < self._pruned_revision or era_of(revision) < self.era
        if not revision or outdated:
            return RegistryChange(0, self.revision, list(self._upstreams.values()))
        upstreams = [u for u in self._upstreams.values() if u.revision > revision]
        removed = {
            name: removal
            for name, removal in self._tombstones.items()
            if removal > revision
        }
        return RegistryChange(revision, self.revision, upstreams, removed)

    def _is_newer(self, item: Upstream) -> bool:
        """Return whether an entry is newer than the known one and than its removal.

        One of an earlier era is not once its grace period has ended.
        """
        known = self._upstreams.get(item.id)
        if known is not None and known.revision >= item.revision:
            return False
        if era_of(item.revision) < self._settled_era:
            return False
        return item.revision > self._tombstones.get(item.id, -1)

    def _remove(self, name: str, revision: int, applied: RegistryChange) -> None:
        """Remove an entry and keep a tombstone, unless a newer change is known."""
        known = self._upstreams.get(name)
        if known is not None and known.revision > revision:
            return
        if self._tombstones.get(name, -1) >= revision:
            return
        self._tombstones[name] = revision
        while len(self._tombstones) > MAX_TOMBSTONES:
            pruned = self._tombstones.pop(next(iter(self._tombstones)))
            self._pruned_revision = max(self._pruned_revision, pruned)
        if known is not None:
            del self._upstreams[name]
            self._drained_before.discard(name)
        applied.removed[name] = revision

    def _notify(self, applied: RegistryChange, origin: str) -> None:
        """Log the applied changes and pass them to the callbacks."""
        revision = store_revision(self.revision)
        self._log.event(
            "registry",
            f"registry changed, revision {revision}",
            revision=revision,
            era=self.era,
            draining=[item.id for item in applied.upstreams if item.draining],
            serving=[item.id for item in applied.upstreams if not item.draining],
            removed=list(applied.removed),
            origin=origin,
        )
        for callback in self.on_registry:
            callback(applied)


def _start_key(item: Upstream) -> tuple[int, int]:
    """Return the sort key of the start of an upstream; the clock may be unknown."""
    return item.born_ms, item.revision
