"""Decoder of the registry entries that upstreams write about themselves."""

__all__ = ["decode_upstream", "upstream_id"]

import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Literal

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta, Struct

from ragwortferry.mesh.model import DRAINING, READY, Upstream
from ragwortferry.platform.names import REGISTRY_PREFIX
from ragwortferry.utils.decoding import decode_untrusted
from ragwortferry.utils.sockets import Address

# Largest integer that JSON writers in other languages represent exactly.
MAX_INTEGER = 2**53 - 1
# The id of an upstream is sent in a header of each request to it.
ID_PATTERN = re.compile(r"[!-~]+")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_NAME_CHARS = 256

Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]


class _UpstreamInfo(Struct):
    service: Name
    zone: Name
    slots: Annotated[int, Meta(ge=1, le=100_000)]
    # Version of the upstream's software, not of the configuration.
    version: str = ""


class _UpstreamStatus(Struct):
    state: Literal["ready", "draining"]
    # Number of the report, counted from each start of the upstream.
    seq: Count
    cold_remaining_s: float = 0.0


class _Entry(Struct):
    address: str
    info: _UpstreamInfo
    status: _UpstreamStatus
    # When the upstream started, in milliseconds since the epoch.
    born: Count = 0


_DECODER = msgspec.json.Decoder(_Entry)


def upstream_id(key: str) -> str:
    """Return the id of the upstream that a registry key belongs to."""
    return key.removeprefix(REGISTRY_PREFIX)


def decode_upstream(key: str, value: bytes, revision: int) -> Result[Upstream, str]:
    """Return the upstream that an entry describes, or why the entry is invalid.

    :param key: store key of the entry.
    :param value: encoded entry.
    :param revision: revision of the store at which the entry last changed.

    >>> decode_upstream("servers/i-1", b"?", 3).is_error()
    True
    """
    decoded = decode_untrusted(_DECODER.decode, value)
    if decoded.is_error():
        return Error(decoded.swap().ok)
    entry = decoded.ok
    address = _parse_address(entry.address)
    if address is None:
        return Error(f"address {entry.address!r} names no host that can be reached")
    if not ID_PATTERN.fullmatch(upstream_id(key)):
        return Error(f"id {upstream_id(key)!r} has other characters than visible ASCII")
    if entry.status.state not in (READY, DRAINING):
        return Error(f"state {entry.status.state!r} is unknown")
    return Ok(
        Upstream(
            id=upstream_id(key),
            service=entry.info.service,
            address=address,
            zone=entry.info.zone,
            slots=entry.info.slots,
            draining=entry.status.state == DRAINING,
            # A negative time must not make the upstream unusable.
            cold_s=max(0.0, entry.status.cold_remaining_s),
            born_ms=entry.born,
            revision=revision,
        )
    )


def _parse_address(text: str) -> Address | None:
    """Return the address ``HOST:PORT`` of an upstream, ``None`` if it is invalid."""
    host, _, port = text.partition(":")
    try:
        ip = IPv4Address(host)
    except AddressValueError:
        return None
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        return None
    if not PORT_PATTERN.fullmatch(port) or not 0 < int(port) < 65_536:
        return None
    return Address(host, int(port))
