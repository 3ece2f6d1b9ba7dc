"""Schemas of sections, manifests and manifest deltas, and their validation."""

__all__ = [
    "MAX_SECTION_BYTES",
    "Manifest",
    "ManifestDelta",
    "RouteModel",
    "SectionModel",
    "ServiceModel",
    "UpstreamModel",
    "decode_accepted",
    "decode_manifest",
    "decode_section",
    "encode_manifest",
    "make_delta",
    "apply_delta",
]

import tomllib
from functools import partial
from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta, Struct

from ragwortferry.utils.decoding import decode_untrusted
from ragwortferry.utils.digests import content_digest

MAX_SECTION_BYTES = 1_000_000
MAX_SECTIONS = 4_096

Name = Annotated[
    str, Meta(min_length=1, max_length=63, pattern=r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$")
]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Version = Annotated[int, Meta(ge=1, le=2**53)]
Prefix = Annotated[str, Meta(max_length=255, pattern=r"^(/|(/[A-Za-z0-9._~-]+)+)$")]
Method = Annotated[str, Meta(pattern=r"^[A-Z]+$")]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]


class UpstreamModel(Struct, forbid_unknown_fields=True, frozen=True):
    """One upstream of a service: the target on the instance of the same name.

    :param name: instance name.
    :param zone: availability zone.
    """

    name: Name
    zone: Name


class ServiceModel(Struct, forbid_unknown_fields=True, frozen=True):
    """A service, its upstreams and the limits that apply to each of them.

    :param slots: maximum number of requests that an upstream runs concurrently.
    :param connections: maximum number of connections that an upstream accepts.
    :param queue: maximum number of requests that wait for a slot at an upstream.
    :param slow_start_s: seconds over which the load of a new upstream is ramped up.
    """

    name: Name
    upstreams: Annotated[tuple[UpstreamModel, ...], Meta(min_length=1)]
    slots: Annotated[int, Meta(ge=1, le=10_000)] = 20
    connections: Annotated[int, Meta(ge=2, le=100_000)] = 130
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 40
    slow_start_s: Annotated[float, Meta(ge=0, le=600)] = 5.0


class RouteModel(Struct, forbid_unknown_fields=True, frozen=True):
    """A route from a path prefix to a service.

    :param prefix: path prefix, matched in whole path segments.
    :param idempotent: whether a request may be retried when it may already have run.
    :param timeout_ms: maximum time from arrival to the first byte of the response.
    :param silence_ms: maximum pause between two parts of a streamed response.
    :param retries: maximum number of attempts after the first.
    :param max_share: fraction of an upstream's slots that the route may occupy.
    """

    name: Name
    prefix: Prefix
    service: Name
    methods: Annotated[tuple[Method, ...], Meta(min_length=1)] = ("GET",)
    idempotent: bool = False
    timeout_ms: Milliseconds = 2_000
    silence_ms: Milliseconds = 10_000
    retries: Annotated[int, Meta(ge=0, le=5)] = 1
    max_share: Annotated[float, Meta(gt=0, le=1)] = 1.0


class SectionModel(Struct, forbid_unknown_fields=True, frozen=True):
    """A section: the services and routes that one team owns.

    :param team: name of the team that owns the section.
    """

    team: Annotated[str, Meta(min_length=1, max_length=100)]
    services: tuple[ServiceModel, ...] = ()
    routes: tuple[RouteModel, ...] = ()


class Manifest(Struct, forbid_unknown_fields=True, frozen=True):
    """The list of the sections of a version, each by its digest.

    Accepting the manifest commits the version as a whole.

    :param version: number of the version, greater than that of its base.
    :param base: version that this one is based on, 0 for the first one.
    :param sections: digest of each section by name.
    """

    version: Version
    base: Annotated[int, Meta(ge=0)]
    sections: Annotated[dict[Name, Digest], Meta(min_length=1, max_length=MAX_SECTIONS)]


class ManifestDelta(Struct, forbid_unknown_fields=True, frozen=True):
    """The difference between a manifest and that of its base version.

    Readers that hold the base need not read the digests of all sections at each
    change. The whole manifest is published too, under its digest.

    :param version: number of the version.
    :param base: version that the changes apply to.
    :param digest: digest of the whole manifest.
    :param changed: digests of the new and changed sections.
    :param removed: names of the removed sections.
    """

    version: Version
    base: Annotated[int, Meta(ge=0)]
    digest: Digest
    changed: dict[Name, Digest]
    removed: tuple[Name, ...] = ()


def make_delta(manifest: Manifest, base: Manifest | None) -> ManifestDelta:
    """Return the difference between a manifest and its base.

    :param base: manifest of the base version, ``None`` if there is none.
    """
    old = base.sections if base else {}
    new = manifest.sections
    changed = {name: digest for name, digest in new.items() if old.get(name) != digest}
    removed = tuple(sorted(old.keys() - new.keys()))
    digest = content_digest(encode_manifest(manifest))
    return ManifestDelta(manifest.version, manifest.base, digest, changed, removed)


def apply_delta(delta: ManifestDelta, base: Manifest) -> Manifest | None:
    """Return the manifest that results from applying a delta to ``base``.

    :returns: the manifest, or ``None`` if its digest is not that of the delta.
    """
    sections = {k: v for k, v in base.sections.items() if k not in delta.removed}
    sections.update(delta.changed)
    manifest = Manifest(delta.version, delta.base, sections)
    matches = content_digest(encode_manifest(manifest)) == delta.digest
    return manifest if matches else None


def decode_section(name: str, data: bytes) -> Result[SectionModel, str]:
    """Parse and validate the text of a section.

    :param name: section name, for error messages.
    :param data: TOML text in UTF-8.
    :returns: the section, or a one-line error with section, field, value and rule.
    """
    if len(data) > MAX_SECTION_BYTES:
        rule = f"{len(data)} bytes, at most {MAX_SECTION_BYTES} are allowed"
        return Error(f"section {name!r}: {rule}")
    parsed = decode_untrusted(lambda data: tomllib.loads(data.decode()), data)
    if parsed.is_error():
        return Error(f"section {name!r}: malformed TOML: {parsed.swap().ok}")
    tree = parsed.ok
    try:
        return Ok(msgspec.convert(tree, SectionModel))
    except msgspec.ValidationError as error:
        return Error(f"section {name!r}: {_describe_error(error, tree)}")


def _describe_error(error: msgspec.ValidationError, tree: object) -> str:
    """Describe a validation error by its field, the invalid value and the rule.

    The error itself names the field and the rule only.

    :param tree: parsed TOML in which the value is looked up.
    """
    text = str(error)
    if " - at `$" not in text:
        return text
    rule, path = text.rsplit(" - at `$", 1)
    path = path.rstrip("`")
    value = tree
    for key in path.replace("[", ".[").split(".")[1:]:
        try:
            value = value[int(key[1:-1])] if key[0] == "[" else value[key]
        except (KeyError, IndexError, ValueError, TypeError):
            return f"field {path.lstrip('.')}: {rule}"
    return f"field {path.lstrip('.')}, value {str(value)[:80]!r}: {rule}"


def decode_accepted(data: bytes) -> Result[Manifest | ManifestDelta, str]:
    """Parse and validate accepted.json, which holds a manifest or a delta."""
    return decode_untrusted(_decode_accepted, data).map_error(_describe_manifest_error)


def _decode_accepted(data: bytes) -> Manifest | ManifestDelta:
    is_delta = "digest" in msgspec.json.decode(data)
    return msgspec.json.decode(data, type=ManifestDelta if is_delta else Manifest)


def decode_manifest(data: bytes) -> Result[Manifest, str]:
    """Parse and validate the JSON text of a manifest."""
    decode = partial(msgspec.json.decode, type=Manifest)
    return decode_untrusted(decode, data).map_error(_describe_manifest_error)


def _describe_manifest_error(reason: str) -> str:
    return f"manifest: {reason}"


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the canonical JSON text of a manifest.

    The digest of this text identifies the version. Keys are sorted, so that equal
    manifests have equal digests.
    """
    return msgspec.json.encode(manifest, order="sorted")
