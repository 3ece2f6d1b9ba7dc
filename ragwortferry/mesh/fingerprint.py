"""Identity of a request: what its repetitions have in common, at whichever node."""

__all__ = [
    "RequestKind",
    "body_digest",
    "request_kind",
    "sender_digest",
    "target_digest",
]

import hashlib

from msgspec import Struct

from ragwortferry.http1.messages import Headers
from ragwortferry.platform.names import (
    CALLER_SERVICE_HEADER,
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    TARGET_HEADER,
)

# A caller must not be able to make its request look like that of another, so the hash
# is a cryptographic one.
DIGEST_BYTES = 12
# End-to-end headers that differ between repetitions of a request, or are set anew by
# each node.
VARYING_HEADERS = frozenset(
    name.lower()
    for name in (
        CALLER_SERVICE_HEADER,
        DEADLINE_HEADER,
        REQUEST_ID_HEADER,
        TARGET_HEADER,
        "Baggage",
        "Date",
        "Forwarded",
        "Idempotency-Key",
        "Traceparent",
        "Tracestate",
        "Via",
        "X-Forwarded-For",
    )
)


class RequestKind(Struct, array_like=True, frozen=True):
    """Digests that all repetitions of a request share.

    :param target: digest of method, host and request target.
    :param body: digest of the body.
    :param sender: digest of the service at which it entered the mesh and of its other
        headers, which include the credentials of its caller.
    """

    target: bytes
    body: bytes
    sender: bytes


def target_digest(method: str, target: str, headers: Headers) -> bytes:
    """Return the digest of method, host and request target."""
    hosts = [value.lower() for name, value in headers if name.lower() == "host"]
    return _digest(method, target, *hosts)


def body_digest(body: bytes) -> bytes:
    """Return the digest of a body."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def sender_digest(service: str, headers: Headers) -> bytes:
    """Return the digest of a sender: its service and its headers, in any order."""
    lines = sorted(
        f"{name.lower()}:{value}"
        for name, value in headers
        if name.lower() not in VARYING_HEADERS and name.lower() != "host"
    )
    return _digest(service, *lines)


def request_kind(
    service: str, method: str, target: str, headers: Headers, body: bytes
) -> RequestKind:
    """Return the kind of a request.

    :param service: service of the instance at which it entered the mesh.
    :param headers: its end-to-end headers.

    >>> first = [("Host", "a.example"), ("X-Request-Id", "1")]
    >>> again = [("X-Request-Id", "2"), ("Host", "A.example")]
    >>> kind = request_kind("boards", "GET", "/panels/7", first, b"")
    >>> kind == request_kind("boards", "GET", "/panels/7", again, b"")
    True
    >>> kind == request_kind("exports", "GET", "/panels/7", again, b"")
    False
    """
    return RequestKind(
        target_digest(method, target, headers),
        body_digest(body),
        sender_digest(service, headers),
    )


def _digest(*parts: str) -> bytes:
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode("utf-8", "surrogateescape")
        hasher.update(len(data).to_bytes(4, "big"))
        hasher.update(data)
    return hasher.digest()
