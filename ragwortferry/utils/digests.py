"""Content digests and the hash order of instances."""

__all__ = ["content_digest", "instance_key", "rank_key"]

import hashlib

import xxhash


def content_digest(data: bytes) -> str:
    """Return the SHA-256 of ``data`` in hexadecimal.

    >>> content_digest(b"")[:8]
    'e3b0c442'
    """
    return hashlib.sha256(data).hexdigest()


def instance_key(instance: str) -> int:
    """Return the 64-bit key that stands for an instance in status reports."""
    return xxhash.xxh3_64_intdigest(instance.encode())


def rank_key(zone: str, instance: str) -> tuple[int, str]:
    """Return the place of an instance in the hash order of its availability zone.

    The order depends on nothing but the two names, so every process computes the
    same one whatever its list of instances holds.
    """
    return xxhash.xxh3_64_intdigest(f"{zone}/{instance}".encode()), instance
