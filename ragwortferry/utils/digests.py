"""Content digests, and the order of instances by hash."""

__all__ = ["content_digest", "instance_key", "rank_key"]

import hashlib

import xxhash


def content_digest(data: bytes) -> str:
    """Return the SHA-256 digest of ``data`` in hexadecimal.

    >>> content_digest(b"")[:8]
    'e3b0c442'
    """
    return hashlib.sha256(data).hexdigest()


def instance_key(instance: str) -> int:
    """Return the 64-bit hash that identifies an instance in status reports."""
    return xxhash.xxh3_64_intdigest(instance.encode())


def rank_key(zone: str, instance: str) -> tuple[int, str]:
    """Return the sort key of an instance in the hash order of its availability zone.

    The key depends only on the two names, so all processes agree on the order of two
    instances even if their instance lists differ.
    """
    return xxhash.xxh3_64_intdigest(f"{zone}/{instance}".encode()), instance
