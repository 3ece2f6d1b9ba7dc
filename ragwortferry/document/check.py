"""The ``check`` command: validates a document before it is published."""

__all__ = ["load_sections", "run_check"]

import asyncio
import sys
from collections.abc import Mapping
from pathlib import Path

import msgspec
from expression import Error, Result

from ragwortferry.document.models import (
    Manifest,
    ManifestDelta,
    decode_accepted,
    decode_manifest,
    decode_section,
    encode_manifest,
    make_delta,
)
from ragwortferry.document.snapshot import Section, Snapshot, build_snapshot
from ragwortferry.exceptions import RagwortferryError, SettingsError
from ragwortferry.source import directory, http  # noqa: F401 (they register adapters)
from ragwortferry.source.port import ACCEPTED_KEY, manifest_key, open_source
from ragwortferry.utils.digests import content_digest

EXIT_REFUSED = 1
NO_VERSION = 0


def load_sections(path: Path) -> dict[str, bytes]:
    """Return the texts of the sections in a directory, keyed by section name.

    Each file ``NAME.toml`` holds one section. Files with a further dot in their name
    are ignored.

    :raises SettingsError: if the directory holds no section.
    """
    files = sorted(path.glob("*.toml"))
    texts = {item.stem: item.read_bytes() for item in files if "." not in item.stem}
    if not texts:
        raise SettingsError(f"{path}: no sections (NAME.toml) found")
    return texts


def _load_manifest(path: Path) -> Manifest:
    """Read the manifest passed as ``--against``."""
    if not path.exists():
        raise SettingsError(f"--against: {path} does not exist")
    result = decode_manifest(path.read_bytes())
    if result.is_error():
        raise RagwortferryError(f"{path}: {result.error}")
    return result.ok


def validate(manifest: Manifest, texts: Mapping[str, bytes]) -> Result[Snapshot, str]:
    """Validate a version in the same way as every proxy that receives it.

    :param texts: text of each section that the manifest names.
    :returns: the snapshot, or the reasons for which the version is invalid.
    """
    sections, problems = {}, []
    for name, text in texts.items():
        parsed = decode_section(name, text)
        if parsed.is_error():
            problems.append(parsed.error)
        else:
            digest = manifest.sections[name]
            sections[name] = Section.from_model(name, digest, parsed.ok)
    return (
        Error("; ".join(problems)) if problems else build_snapshot(manifest, sections)
    )


def run_check(
    path: str, against: str, source: str, version: int, short: bool = False
) -> int:
    """Check a document, print the report and the manifest, return the exit code.

    :param path: directory with the edited sections.
    :param against: file with the manifest that the edits are based on; if empty,
        accepted.json in ``path``.
    :param source: address of the platform that holds the accepted version, which may
        have changed since; empty if it need not be asked.
    :param version: number of the new version, 0 for the next one.
    :param short: whether to print the manifest as a delta.
    """
    folder = Path(path)
    texts = load_sections(folder)
    local = asyncio.run(_read_accepted(f"dir:{folder}"))
    base = _load_manifest(Path(against)) if against else local
    current = asyncio.run(_read_accepted(source)) if source else base
    digests = {name: content_digest(text) for name, text in texts.items()}
    concurrent = _find_concurrent_changes(base, current, digests)
    for line in concurrent:
        _report(line)
    base_version = current.version if current else NO_VERSION
    manifest = Manifest(version or base_version + 1, base_version, digests)
    result = validate(manifest, texts)
    if manifest.version <= base_version:
        result = Error(f"version {manifest.version} is not greater than {base_version}")
    match result:
        case Result(tag="ok", ok=snapshot) if not concurrent:
            _report_valid(snapshot, base)
            print(_format_manifest(manifest, current, short))
            return 0
        case Result(tag="error", error=reason):
            _report(f"every proxy would refuse version {manifest.version}: {reason}")
    return EXIT_REFUSED


def _format_manifest(manifest: Manifest, current: Manifest | None, short: bool) -> str:
    """Return the JSON text of the manifest, or of its delta if ``short``."""
    if short:
        return msgspec.json.encode(make_delta(manifest, current)).decode()
    return encode_manifest(manifest).decode()


async def _read_accepted(address: str) -> Manifest | None:
    """Return the accepted manifest of a source, ``None`` if none is accepted yet.

    If a delta is accepted, the whole manifest is read instead.
    """
    source = open_source(address)
    try:
        value = await source.read(ACCEPTED_KEY)
        if value is None:
            return None
        if not value.data:
            hint = "write the manifest to another file, then rename that file"
            raise RagwortferryError(f"{address}: accepted.json is empty; {hint}")
        accepted = decode_accepted(value.data)
        if isinstance(accepted.default_value(None), ManifestDelta):
            full = await source.read(manifest_key(accepted.ok.digest))
            accepted = decode_manifest(full.data if full else b"")
    finally:
        await source.close()
    if accepted.is_error():
        raise RagwortferryError(f"{address}: {accepted.error}")
    return accepted.ok


def _find_concurrent_changes(
    base: Manifest | None, current: Manifest | None, digests: Mapping[str, str]
) -> list[str]:
    """Return a message for each section that someone else changed since ``base``.

    :param base: manifest that the local edits are based on.
    :param current: manifest that is accepted now.
    :param digests: digests of the local sections.
    """
    if current is None or current == base:
        return []
    old = base.sections if base else {}
    lines = []
    for name in sorted(old.keys() | current.sections.keys()):
        published = current.sections.get(name)
        if published == old.get(name) or published == digests.get(name):
            continue
        edited_here = digests.get(name) != old.get(name)
        next_step = (
            "merge it with the local edit" if edited_here else "copy its new text"
        )
        lines.append(
            f"section {name!r} was changed concurrently, in version {current.version}; "
            f"{next_step}"
        )
    return lines


def _report_valid(snapshot: Snapshot, base: Manifest | None) -> None:
    """Report the size of a valid version and its changes since ``base``."""
    upstreams = sum(len(item.upstreams) for item in snapshot.services.values())
    _report(
        f"every proxy would enforce version {snapshot.version} "
        f"(digest {snapshot.digest[:12]}): {len(snapshot.sections)} sections, "
        f"{len(snapshot.services)} services, {upstreams} upstreams, "
        f"{len(snapshot.routes)} routes"
    )
    old = base.sections if base else {}
    new = snapshot.manifest.sections
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            _report(f"section {name!r} was added")
        elif name not in new:
            _report(f"section {name!r} was removed")
        elif old[name] != new[name]:
            _report(f"section {name!r} changed: {old[name][:12]} to {new[name][:12]}")


def _report(line: str) -> None:
    """Print a line of the report; standard output is kept for the manifest."""
    print(f"check: {line}", file=sys.stderr)
