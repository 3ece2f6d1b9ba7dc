"""The version that a process enforces, and the rules by which it changes."""

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

HISTORY_VERSIONS = 64
MAX_REFUSALS = 16
SECTIONS_PER_SLICE = 4
COMPRESSION_LEVEL = 1
NOTHING = VersionId()


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a version is not enforced.

    :param final: whether every process refuses it for good.
    """

    mark: VersionId
    reason: str
    final: bool


@dataclass(frozen=True, slots=True)
class _Step:
    """What one version changed against the one enforced before it."""

    before: VersionId
    after: VersionId
    touched: frozenset[str]


class VersionStore:
    """Holds one immutable snapshot and swaps it only for a higher, valid version.

    :param log: log of this part.
    """

    def __init__(self, log: Log):
        self._log = log
        self._snapshot: Snapshot | None = None
        self._texts: dict[str, bytes] = {}
        self._steps: deque[_Step] = deque(maxlen=HISTORY_VERSIONS)
        self._refusals: OrderedDict[int, Refusal] = OrderedDict()
        self._lock = asyncio.Lock()
        self._listeners: list[Callable[[], None]] = []
        self._high = NOTHING
        self._floor = NOTHING
        self._ready = False
        self._seen_ms = 0
        self.enforced_at = 0.0
        self.spread_s = 0.0
        self.floor_proven = True

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the snapshot in force."""
        return self._snapshot

    @property
    def current(self) -> VersionId:
        """Return version and digest in force."""
        snapshot = self._snapshot
        return VersionId(snapshot.version, snapshot.digest) if snapshot else NOTHING

    @property
    def highest_known(self) -> VersionId:
        """Return the highest version that any process is known to have enforced."""
        return self._high

    @property
    def ready(self) -> bool:
        """Return whether the boot floor is set, before which nothing is enforced."""
        return self._ready

    @property
    def refusal(self) -> Refusal | None:
        """Return the highest refusal that is above the version in force."""
        if not self._refusals:
            return None
        refusal = self._refusals[max(self._refusals)]
        return refusal if refusal.mark.version > self.current.version else None

    @property
    def settled(self) -> int:
        """Return the version up to which this process has come to a final verdict."""
        final = [version for version, item in self._refusals.items() if item.final]
        return max([self.current.version, *final])

    @property
    def texts(self) -> Mapping[str, bytes]:
        """Return the compressed section texts by digest."""
        return self._texts

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the version or of a refusal."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def observe_highest(self, high: VersionId) -> None:
        """Take in what a peer knows to have been enforced."""
        if high.version > self._high.version:
            self._high = high

    def set_floor(self, floor: VersionId) -> None:
        """Refuse from now on whatever lies below ``floor``."""
        self._floor = floor
        self._ready = True
        self.observe_highest(floor)

    def check_order(self, mark: VersionId) -> str | None:
        """Return why ``mark`` must not be enforced by its number, ``None`` if it may.

        :param mark: version offered by the source or a peer.
        """
        for held, name in (
            (self.current, "in force"),
            (self._floor, "enforced before"),
        ):
            if mark.version < held.version:
                return f"version {mark.version} is below {held.version}, {name} here"
            if mark.version == held.version and mark.digest != held.digest:
                return f"version {mark.version} is {name} here with other content"
        return None

    def refuse(self, refusal: Refusal) -> None:
        """Record that a version is refused."""
        old = self._refusals.get(refusal.mark.version)
        if old is not None and old.reason == refusal.reason:
            return
        self._refusals[refusal.mark.version] = refusal
        while len(self._refusals) > MAX_REFUSALS:
            self._refusals.popitem(last=False)
        self._log.event(
            "refused",
            f"version {refusal.mark.version} refused",
            version=refusal.mark.version,
            digest=refusal.mark.digest,
            reason=refusal.reason,
        )
        self._notify()

    def refused(self, mark: VersionId) -> Refusal | None:
        """Return the final refusal of exactly this version and content."""
        refusal = self._refusals.get(mark.version)
        same = refusal is not None and refusal.mark.digest == mark.digest
        return refusal if same and refusal.final else None

    async def apply(
        self,
        manifest: Manifest,
        texts: Mapping[str, bytes],
        via: str,
        seen_ms: int = 0,
    ) -> Result[bool, Refusal]:
        """Check a version whole and enforce it.

        :param manifest: manifest of the version.
        :param texts: compressed texts by digest of the sections not held already.
        :param via: where the version came from, for the log.
        :param seen_ms: wall clock of the reader that first read the version.
        :returns: whether the version was put in force, or the refusal.
        """
        mark = VersionId(manifest.version, content_digest(encode_manifest(manifest)))
        async with self._lock:
            if mark == self.current or self.check_order(mark):
                return Ok(False)
            if self.refused(mark):
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
                    refusal = Refusal(mark, reason, final=True)
                    self.refuse(refusal)
                    return Error(refusal)

    async def _parse(
        self, manifest: Manifest, texts: Mapping[str, bytes]
    ) -> Result[dict[str, Section], str]:
        """Parse the sections that are not held, a few at a time between other work."""
        held = self._snapshot.sections if self._snapshot else {}
        sections, count = {}, 0
        for name, digest in manifest.sections.items():
            section = held.get(name)
            if section is None or section.digest != digest:
                parsed = self._parse_section(name, digest, texts)
                if parsed.is_error():
                    return Error(parsed.error)
                section = parsed.ok
                count += 1
                if count % SECTIONS_PER_SLICE == 0:
                    await asyncio.sleep(0)
            sections[name] = section
        return Ok(sections)

    def _parse_section(self, name, digest, texts) -> Result[Section, str]:
        packed = texts.get(digest) or self._texts.get(digest)
        if packed is None:
            return Error(f"section {name!r}: no text with digest {digest[:12]}")
        text = _unpack(packed)
        if len(text) <= MAX_SECTION_BYTES and content_digest(text) != digest:
            return Error(f"section {name!r}: the text has not digest {digest[:12]}")
        return decode_section(name, text).map(
            lambda model: Section.from_model(name, digest, model)
        )

    def _enforce(self, snapshot: Snapshot, texts, via: str, seen_ms: int) -> None:
        mark = VersionId(snapshot.version, snapshot.digest)
        before = self.current
        if mark.version <= before.version or mark.version < self._floor.version:
            raise InvariantError(f"version {mark.version} after {before.version}")
        touched = _difference(self._snapshot, snapshot)
        self._steps.append(_Step(before, mark, touched))
        self._keep_texts(snapshot, texts)
        self._snapshot = snapshot
        self.enforced_at = time.time()
        self._seen_ms = seen_ms
        self.spread_s = max(0.0, self.enforced_at - seen_ms / 1000) if seen_ms else 0.0
        self.observe_highest(mark)
        self._log.event(
            "enforced",
            f"version {mark.version} in force",
            version=mark.version,
            digest=mark.digest,
            before=before.version,
            via=via,
            spread_s=round(self.spread_s, 3),
        )
        self._notify()

    def _keep_texts(self, snapshot: Snapshot, texts: Mapping[str, bytes]) -> None:
        digests = snapshot.manifest.sections.values()
        self._texts = {
            digest: texts.get(digest) or self._texts[digest] for digest in digests
        }

    def update_for(self, have: VersionId) -> Update | None:
        """Return the update that takes a peer from ``have`` to the version in force."""
        snapshot = self._snapshot
        if snapshot is None or have.version >= snapshot.version:
            return None
        sections = snapshot.manifest.sections
        base, names, removed = self._changes_since(have)
        changed = {name: sections[name] for name in names}
        texts = {digest: self._texts[digest] for digest in changed.values()}
        made_from = snapshot.manifest.base
        return Update(
            base, self.current, made_from, changed, removed, texts, self._seen_ms
        )

    def _changes_since(self, have: VersionId) -> tuple[VersionId, list[str], list[str]]:
        sections = self._snapshot.manifest.sections
        touched: set[str] = set()
        for step in reversed(self._steps):
            touched |= step.touched
            if step.before == have and have.version:
                names = [name for name in touched if name in sections]
                removed = [name for name in touched if name not in sections]
                return have, names, removed
        return NOTHING, list(sections), []

    def manifest_of(self, update: Update) -> Manifest | None:
        """Return the manifest that an update leads to, ``None`` if it does not fit."""
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


def _difference(old: Snapshot | None, new: Snapshot) -> frozenset[str]:
    """Return the names of the sections that differ between two snapshots."""
    before = old.manifest.sections if old else {}
    after = new.manifest.sections
    names = before.keys() | after.keys()
    return frozenset(name for name in names if before.get(name) != after.get(name))


def _unpack(packed: bytes) -> bytes:
    """Decompress a section text, one byte past the allowed size at most."""
    try:
        return zlib.decompressobj().decompress(packed, MAX_SECTION_BYTES + 1)
    except zlib.error:
        return b""


def compress_text(text: bytes) -> bytes:
    """Compress a section text."""
    return zlib.compress(text, COMPRESSION_LEVEL)
