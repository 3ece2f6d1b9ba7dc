"""Adapter that reads a directory of files, the default on a single host."""

__all__ = ["DirectorySource"]

import asyncio
from functools import partial
from pathlib import Path

import msgspec

from ragwortferry.exceptions import SourceError
from ragwortferry.source.port import (
    ACCEPTED_KEY,
    SOURCES,
    Instance,
    InstanceChange,
    Value,
)
from ragwortferry.utils.decoding import decode_untrusted

POLL_INTERVAL_S = 0.2


@SOURCES.register("dir")
class DirectorySource:
    """Reads ``accepted.json``, ``instances.json`` and ``SECTION.toml`` of a directory.

    An earlier text of a section can be kept as ``SECTION.DIGEST.toml``, where DIGEST is
    the first twelve digits of its digest. If ``accepted.json`` holds a delta, the whole
    manifest is read from ``manifest.DIGEST.json``.

    :param path: path of the directory.
    :param host: unused, as no connections are made.
    """

    def __init__(self, path: str, host: str = ""):
        self._path = Path(path)

    def _path_for(self, key: str) -> Path:
        if key == ACCEPTED_KEY:
            return self._path / "accepted.json"
        if key.startswith("manifests/"):
            return self._path / f"manifest.{key.rpartition('/')[2][:12]}.json"
        _, name, digest = key.split("/")
        versioned = self._path / f"{name}.{digest[:12]}.toml"
        return versioned if versioned.exists() else self._path / f"{name}.toml"

    async def read(self, key: str) -> Value | None:
        """Return the content of the file that holds a key."""
        return self._read_file(self._path_for(key))

    def _read_file(self, path: Path) -> Value | None:
        try:
            revision = path.stat().st_mtime_ns
            return Value(revision, path.read_bytes())
        except FileNotFoundError:
            return None
        except OSError as error:
            raise SourceError(f"cannot read {path}: {error.strerror}") from error

    async def watch(self, key: str, after: int, wait: float) -> Value | None:
        """Return the value once the file changes; the file is polled."""
        return await self._poll(self._path_for(key), after, wait)

    async def _poll(self, path: Path, after: int, wait: float) -> Value | None:
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            value = self._read_file(path)
            if value is not None and value.revision != after:
                return value
            if asyncio.get_running_loop().time() >= deadline:
                return None
            await asyncio.sleep(POLL_INTERVAL_S)

    async def instances(self, after: int, wait: float) -> InstanceChange | None:
        """Return the complete list of ``instances.json`` once the file changes.

        Without the file, the first call returns an empty list.
        """
        path = self._path / "instances.json"
        if after == 0 and not path.exists():
            return InstanceChange(1, True, [], [])
        value = await self._poll(path, after, wait)
        if value is None:
            return None
        decode = partial(msgspec.json.decode, type=list[Instance])
        result = decode_untrusted(decode, value.data)
        if result.is_error():
            raise SourceError(f"invalid instance list {path}: {result.swap().ok}")
        return InstanceChange(value.revision, True, result.ok, [])

    async def close(self) -> None:
        """Do nothing, as no file is kept open."""
