"""Interface through which processes read the platform, and the registry of adapters.

It is a port in the sense of the ports-and-adapters architecture.
"""

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
    """Return the key under which a whole manifest is published beside its delta.

    The delta is the accepted value; it holds only the difference from its base version
    and the digest of the manifest.
    """
    return f"manifests/{digest}"


@dataclass(frozen=True, slots=True)
class Value:
    """A value read from the platform.

    :param revision: number that grows with each write of the key.
    """

    revision: int
    data: bytes


class Instance(Struct, frozen=True, array_like=True, gc=False):
    """One entry of the platform's list of running instances.

    :param id: name of the instance and of its upstream.
    :param host: IP address.
    :param listen_port: port for requests of callers.
    :param owner_port: port for requests from proxies of other instances.
    :param link_port: port for links between proxies.
    :param leaving: whether the instance is shutting down.
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
    """A change of the instance list since a revision.

    :param revision: revision of the list after the change.
    :param full: whether ``upserts`` is the complete list.
    :param upserts: instances that were added or updated.
    :param removed: names of the instances that were removed.
    """

    revision: int
    full: bool
    upserts: list[Instance]
    removed: list[str]


class Source(Protocol):
    """Read-only access to the keys and the instance list of the platform."""

    async def read(self, key: str) -> Value | None:
        """Return the value of a key, ``None`` if it does not exist.

        :raises SourceError: if the platform cannot be reached.
        """

    async def watch(self, key: str, after: int, wait: float) -> Value | None:
        """Wait until the value of a key changes and return it.

        :param after: revision that is already known.
        :param wait: seconds after which ``None`` is returned.
        :raises SourceError: if the platform cannot be reached.
        """

    async def instances(self, after: int, wait: float) -> InstanceChange | None:
        """Wait until the instance list changes and return the change.

        :param after: revision of the list that is already known, 0 for none.
        :param wait: seconds after which ``None`` is returned.
        :raises SourceError: if the platform cannot be reached.
        """

    async def close(self) -> None:
        """Close the connections."""


SOURCES: Registry[type] = Registry("source")


def open_source(address: str, host: str = "") -> Source:
    """Return the adapter for an address such as ``dir:examples/chamber``.

    :param host: local IP address to connect from.
    :raises SettingsError: if the scheme is unknown.
    """
    scheme, colon, rest = address.partition(":")
    if not colon or scheme not in SOURCES.names:
        known = ", ".join(SOURCES.names)
        raise SettingsError(f"source {address!r}: scheme is not one of {known}")
    return SOURCES.get(scheme)(rest, host)
