"""The encoded configuration, and the differences from recent versions to it."""

__all__ = ["DocumentChange", "DocumentHistory"]

import zlib
from collections import deque
from dataclasses import dataclass

import zstandard

# The fastest level; only nodes that lack a recent version need the whole document.
COMPRESSION_LEVEL = 1
# Versions back to which differences are kept, so that a node that missed some of a
# series of changes can catch up without the whole document.
MAX_CHANGES = 32
# Sizes of the search tables, as powers of two: large ones find more matches, but take
# 8 bytes an entry while a difference is computed.
MIN_TABLE_LOG, MAX_TABLE_LOG = 17, 20
MIN_WINDOW_LOG, MAX_WINDOW_LOG = 17, 27
MIN_MATCH_BYTES = 6


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """Difference between two successive versions of the configuration.

    :param base: version that the difference is based on.
    :param data: Zstandard frame whose dictionary is the encoded base version. Its
        checksum fails if the base has another content.
    """

    base: int
    version: int
    data: bytes


class DocumentHistory:
    """Keeps the current encoded document and the latest differences.

    >>> history = DocumentHistory()
    >>> history.append(1, b"routes: a b c")
    >>> history.append(2, b"routes: a b c d")
    >>> other = DocumentHistory()
    >>> other.append(1, b"routes: a b c")
    >>> [other.restore(change) for change in history.changes_since(1)]
    [b'routes: a b c d']
    """

    def __init__(self):
        self._version = 0
        self._raw = b""
        self._compressed = b""
        self._changes: deque[DocumentChange] = deque(maxlen=MAX_CHANGES)

    @property
    def compressed(self) -> bytes:
        """Return the current document, compressed with zlib."""
        if not self._compressed:
            self._compressed = zlib.compress(self._raw, COMPRESSION_LEVEL)
        return self._compressed

    def append(
        self,
        version: int,
        raw: bytes,
        compressed: bytes = b"",
        change: DocumentChange | None = None,
    ) -> None:
        """Replace the current document by a newer version.

        :param compressed: compressed form of ``raw`` if it is known.
        :param change: difference from the current document if it is known.
        """
        if self._version:
            if change is None:
                data = _difference(self._raw, raw)
                change = DocumentChange(self._version, version, data)
            self._changes.append(change)
        self._version, self._raw, self._compressed = version, raw, compressed

    def changes_since(self, version: int) -> list[DocumentChange] | None:
        """Return the differences from a version to the current one.

        :return: ``None`` if they are not known, or no shorter than the whole document.
        """
        changes: list[DocumentChange] = []
        size, expected = 0, self._version
        for change in reversed(self._changes):
            if change.version != expected or expected == version:
                break
            changes.append(change)
            size, expected = size + len(change.data), change.base
        if expected != version or size > len(self.compressed):
            return None
        return changes[::-1]

    def restore(self, change: DocumentChange) -> bytes:
        """Return the encoded document that a difference from the current one leads to.

        :raises ValueError: if the difference is based on another document.
        """
        if change.base != self._version:
            raise ValueError(
                f"change is based on version {change.base}, not on {self._version}"
            )
        decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(self._raw))
        try:
            return decompressor.decompress(change.data)
        except zstandard.ZstdError as error:
            raise ValueError(f"change cannot be applied: {error}") from None


def _dictionary(raw: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(raw, dict_type=zstandard.DICT_TYPE_RAWCONTENT)


def _difference(base: bytes, raw: bytes) -> bytes:
    size_log = (len(base) + len(raw)).bit_length()
    table_log = min(MAX_TABLE_LOG, max(MIN_TABLE_LOG, size_log - 2))
    parameters = zstandard.ZstdCompressionParameters(
        window_log=min(MAX_WINDOW_LOG, max(MIN_WINDOW_LOG, size_log)),
        hash_log=table_log,
        chain_log=table_log,
        search_log=3,
        min_match=MIN_MATCH_BYTES,
        target_length=64,
        strategy=zstandard.STRATEGY_GREEDY,
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=parameters
    )
    return compressor.compress(raw)
