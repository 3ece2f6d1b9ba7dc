"""The version that a process enforces, and the checks before it changes."""

__all__ = ["Refusal", "VersionStore", "compress_text"]

import asyncio
import time
import zlib
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from ragwortferry.document.models import (
    MAX_SECTION_BYTES,
    Manifest,
    decode_section,
    encode_manifest,
)
from ragwortferry.document.snapshot import Section, Snapshot, build_snapshot
from ragwortferry.exceptions import InvariantError
from ragwortferry.logs import Log
from ragwortferry.spread.messages import Update, VersionId
from ragwortferry.utils.digests import content_digest

MAX_HISTORY_VERSIONS = 64
MAX_REFUSALS = 16
SECTIONS_PER_YIELD = 4
COMPRESSION_LEVEL = 1
NO_VERSION = VersionId()


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a version is not enforced.

    :param final: whether the version is invalid, so that every process refuses it.
        Other refusals end when the missing data arrives.
    """

    version_id: VersionId
    reason: str
    final: bool


@dataclass(frozen=True, slots=True)
class _HistoryEntry:
    """Sections that differ between two versions enforced one after the other."""

    before: VersionId
    after: VersionId
    changed: frozenset[str]


class VersionStore:
    """Stores one immutable snapshot and replaces it only by a higher, valid version.

    :param log: log of this component.
    """

    def __init__(self, log: Log):
        self._log = log
        self._snapshot: Snapshot | None = None
        self._texts: dict[str, bytes] = {}
        self._history: deque[_HistoryEntry] = deque(maxlen=MAX_HISTORY_VERSIONS)
        self._refusals: OrderedDict[int, Refusal] = OrderedDict()
        self._lock = asyncio.Lock()
        self._listeners: list[Callable[[], None]] = []
        self._highest_known = NO_VERSION
        self._floor = NO_VERSION
        self._ready = False
        self._seen_ms = 0
        self.enforced_at = 0.0
        self.spread_s = 0.0
        self.floor_proven = True

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the snapshot of the enforced version."""
        return self._snapshot

    @property
    def current(self) -> VersionId:
        """Return the enforced version."""
        snapshot = self._snapshot
        return VersionId(snapshot.version, snapshot.digest) if snapshot else NO_VERSION

    @property
    def highest_known(self) -> VersionId:
        """Return the highest version that any process is known to have enforced."""
        return self._highest_known

    @property
    def ready(self) -> bool:
        """Return whether the boot floor is set, which must precede any version."""
        return self._ready

    @property
    def refusal(self) -> Refusal | None:
        """Return the refusal of the highest version, if above the current version."""
        if not self._refusals:
            return None
        refusal = self._refusals[max(self._refusals)]
        return refusal if refusal.version_id.version > self.current.version else None

    @property
    def settled(self) -> int:
        """Return the highest version that was enforced or refused for good."""
        final = [version for version, item in self._refusals.items() if item.final]
        return max([self.current.version, *final])

    @property
    def texts(self) -> Mapping[str, bytes]:
        """Return the compressed texts of the current sections by digest."""
        return self._texts

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each new version and each new refusal."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def observe_highest(self, highest: VersionId) -> None:
        """Record a version that a peer knows to have been enforced."""
        if highest.version > self._highest_known.version:
            self._highest_known = highest

    def set_floor(self, floor: VersionId) -> None:
        """Set the boot floor and permit versions that are not below it."""
        self._floor = floor
        self._ready = True
        self.observe_highest(floor)

    def check_order(self, version_id: VersionId) -> str | None:
        """Return why a version must not follow the current one, ``None`` if it may.

        :param version_id: version offered by the source or a peer.
        """
        for held, name in (
            (self.current, "the current version"),
            (self._floor, "the boot floor"),
        ):
            if version_id.version < held.version:
                return f"version {version_id.version} is below {held.version}, {name}"
            if version_id.version == held.version and version_id.digest != held.digest:
                return (
                    f"version {version_id.version} comes with other content than {name}"
                )
        return None

    def refuse(self, refusal: Refusal) -> None:
        """Record a refusal, unless one with the same reason is recorded."""
        old = self._refusals.get(refusal.version_id.version)
        if old is not None and old.reason == refusal.reason:
            return
        self._refusals[refusal.version_id.version] = refusal
        while len(self._refusals) > MAX_REFUSALS:
            self._refusals.popitem(last=False)
        self._log.event(
            "refused",
            f"version {refusal.version_id.version} refused",
            version=refusal.version_id.version,
            digest=refusal.version_id.digest,
            reason=refusal.reason,
        )
        self._notify()

    def final_refusal(self, version_id: VersionId) -> Refusal | None:
        """Return the final refusal of a version with this number and digest."""
        refusal = self._refusals.get(version_id.version)
        same = refusal is not None and refusal.version_id.digest == version_id.digest
        return refusal if same and refusal.final else None

    async def apply(
        self,
        manifest: Manifest,
        texts: Mapping[str, bytes],
        via: str,
        seen_ms: int = 0,
    ) -> Result[bool, Refusal]:
        """Validate a whole version and enforce it.

        :param manifest: manifest of the version.
        :param texts: compressed texts by digest of the sections not yet in the store.
        :param via: name of the peer or ``"source"``, for the log.
        :param seen_ms: wall clock of the reader when it first read the version.
        :returns: whether the version is enforced now, or its refusal.
        """
        version_id = VersionId(
            manifest.version, content_digest(encode_manifest(manifest))
        )
        async with self._lock:
            if version_id == self.current or self.check_order(version_id):
                return Ok(False)
            if self.final_refusal(version_id):
                return Ok(False)
            parsed = await self._parse(manifest, texts)
            result = parsed.bind(
                lambda sections: build_snapshot(manifest, sections, self._snapshot)
            )
            match result:
                case Result(tag="ok", ok=snapshot):
                    self._enforce(snapshot, texts, via, seen_ms)
                    return Ok(True)
                case Result(error=reason):
                    refusal = Refusal(version_id, reason, final=True)
                    self.refuse(refusal)
                    return Error(refusal)

    async def _parse(
        self, manifest: Manifest, texts: Mapping[str, bytes]
    ) -> Result[dict[str, Section], str]:
        """Parse the sections that differ from the current version.

        Other tasks of the event loop run after every ``SECTIONS_PER_YIELD`` sections.
        """
        current = self._snapshot.sections if self._snapshot else {}
        sections, count = {}, 0
        for name, digest in manifest.sections.items():
            section = current.get(name)
            if section is None or section.digest != digest:
                parsed = self._parse_section(name, digest, texts)
                if parsed.is_error():
                    return Error(parsed.error)
                section = parsed.ok
                count += 1
                if count % SECTIONS_PER_YIELD == 0:
                    await asyncio.sleep(0)
            sections[name] = section
        return Ok(sections)

    def _parse_section(self, name, digest, texts) -> Result[Section, str]:
        compressed = texts.get(digest) or self._texts.get(digest)
        if compressed is None:
            return Error(f"section {name!r}: no text with digest {digest[:12]}")
        text = _decompress_text(compressed)
        if len(text) <= MAX_SECTION_BYTES and content_digest(text) != digest:
            return Error(f"section {name!r}: text does not have digest {digest[:12]}")
        return decode_section(name, text).map(
            lambda model: Section.from_model(name, digest, model)
        )

    def _enforce(self, snapshot: Snapshot, texts, via: str, seen_ms: int) -> None:
        version_id = VersionId(snapshot.version, snapshot.digest)
        before = self.current
        if (
            version_id.version <= before.version
            or version_id.version < self._floor.version
        ):
            raise InvariantError(
                f"version {version_id.version} must not be enforced after version "
                f"{before.version} and boot floor {self._floor.version}"
            )
        changed = _changed_sections(self._snapshot, snapshot)
        self._history.append(_HistoryEntry(before, version_id, changed))
        self._retain_texts(snapshot, texts)
        self._snapshot = snapshot
        self.enforced_at = time.time()
        self._seen_ms = seen_ms
        self.spread_s = max(0.0, self.enforced_at - seen_ms / 1000) if seen_ms else 0.0
        self.observe_highest(version_id)
        self._log.event(
            "enforced",
            f"version {version_id.version} is now enforced",
            version=version_id.version,
            digest=version_id.digest,
            before=before.version,
            via=via,
            spread_s=round(self.spread_s, 3),
        )
        self._notify()

    def _retain_texts(self, snapshot: Snapshot, texts: Mapping[str, bytes]) -> None:
        digests = snapshot.manifest.sections.values()
        self._texts = {
            digest: texts.get(digest) or self._texts[digest] for digest in digests
        }

    def update_for(self, since: VersionId) -> Update | None:
        """Return the update from ``since`` to the current version.

        :returns: ``None`` if the current version is not higher.
        """
        snapshot = self._snapshot
        if snapshot is None or since.version >= snapshot.version:
            return None
        sections = snapshot.manifest.sections
        base, names, removed = self._changes_since(since)
        changed = {name: sections[name] for name in names}
        texts = {digest: self._texts[digest] for digest in changed.values()}
        made_from = snapshot.manifest.base
        return Update(
            base, self.current, made_from, changed, removed, texts, self._seen_ms
        )

    def _changes_since(
        self, since: VersionId
    ) -> tuple[VersionId, list[str], list[str]]:
        """Return the base of an update, and its changed and removed sections.

        If ``since`` is not in the history, the base is ``NO_VERSION`` and all sections
        count as changed.
        """
        sections = self._snapshot.manifest.sections
        changed: set[str] = set()
        for entry in reversed(self._history):
            changed |= entry.changed
            if entry.before == since and since.version:
                names = [name for name in changed if name in sections]
                removed = [name for name in changed if name not in sections]
                return since, names, removed
        return NO_VERSION, list(sections), []

    def manifest_of(self, update: Update) -> Manifest | None:
        """Return the manifest that results from an update.

        :returns: ``None`` if the base is not the current version or the result does not
            have the digest in the update.
        """
        if update.base.version and update.base != self.current:
            return None
        old = self._snapshot.manifest.sections if update.base.version else {}
        sections = {
            name: digest for name, digest in old.items() if name not in update.removed
        }
        sections.update(update.changed)
        manifest = Manifest(update.mark.version, update.made_from, sections)
        digest = content_digest(encode_manifest(manifest))
        return manifest if digest == update.mark.digest else None


def _changed_sections(old: Snapshot | None, new: Snapshot) -> frozenset[str]:
    """Return the names of the sections that differ between two snapshots."""
    before = old.manifest.sections if old else {}
    after = new.manifest.sections
    names = before.keys() | after.keys()
    return frozenset(name for name in names if before.get(name) != after.get(name))


def _decompress_text(compressed: bytes) -> bytes:
    """Decompress a section text, up to one byte more than the allowed size."""
    try:
        return zlib.decompressobj().decompress(compressed, MAX_SECTION_BYTES + 1)
    except zlib.error:
        return b""


def compress_text(text: bytes) -> bytes:
    """Compress a section text."""
    return zlib.compress(text, COMPRESSION_LEVEL)
