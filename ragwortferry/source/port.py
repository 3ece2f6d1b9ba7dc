"""The narrow port through which the system reads the platform."""

__all__ = [
    "ACCEPTED_KEY",
    "InstanceChange",
    "Instance",
    "Source",
    "Value",
    "SOURCES",
    "manifest_key",
    "open_source",
    "section_key",
]

from dataclasses import dataclass
from typing import Protocol

from msgspec import Struct

from ragwortferry.exceptions import SettingsError
from ragwortferry.utils.registry import Registry

ACCEPTED_KEY = "accepted"


def section_key(name: str, digest: str) -> str:
    """Return the key under which a section is published.

    >>> section_key("boards", "ab12")
    'sections/boards/ab12'
    """
    return f"sections/{name}/{digest}"


def manifest_key(digest: str) -> str:
    """Return the key under which the manifest of a short form is published."""
    return f"manifests/{digest}"


@dataclass(frozen=True, slots=True)
class Value:
    """A value read from the platform and its revision, which grows with each write."""

    revision: int
    data: bytes


class Instance(Struct, frozen=True, array_like=True, gc=False):
    """One entry of the platform's list of live and leaving instances.

    :param id: instance name, which is also the name of its upstream.
    :param host: IP number.
    :param listen_port: port for requests of callers.
    :param owner_port: port for requests of other proxies.
    :param link_port: port for links between proxies.
    :param leaving: whether the instance is about to stop.
    """

    id: str
    zone: str
    region: str
    host: str
    listen_port: int
    owner_port: int
    link_port: int
    leaving: bool = False


class InstanceChange(Struct, frozen=True):
    """What changed in the list of instances since a revision.

    :param revision: revision of the list after the change.
    :param full: whether ``upserts`` is the whole list.
    :param removed: names of the instances that are gone.
    """

    revision: int
    full: bool
    upserts: list[Instance]
    removed: list[str]


class Source(Protocol):
    """Reads keys and the list of instances; never writes."""

    async def read(self, key: str) -> Value | None:
        """Return the value of a key, ``None`` if there is none.

        :raises SourceError: if the platform cannot be reached.
        """

    async def watch(self, key: str, after: int, wait: float) -> Value | None:
        """Return the value once its revision passes ``after``.

        :param wait: seconds after which ``None`` is returned.
        :raises SourceError: if the platform cannot be reached.
        """

    async def instances(self, after: int, wait: float) -> InstanceChange | None:
        """Return what changed in the list of instances, waiting like ``watch``."""

    async def close(self) -> None:
        """Release the connections."""


SOURCES: Registry[type] = Registry("source")


def open_source(address: str, host: str = "") -> Source:
    """Return the adapter for an address such as ``dir:examples/chamber``.

    :param host: own IP number, from which connections are made.

    :raises SettingsError: if the scheme is unknown.
    """
    scheme, colon, rest = address.partition(":")
    if not colon or scheme not in SOURCES.names:
        known = ", ".join(SOURCES.names)
        raise SettingsError(f"source {address!r}: the scheme is not one of {known}")
    return SOURCES.get(scheme)(rest, host)
