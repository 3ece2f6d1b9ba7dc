"""Reads log lines from files and directories in bounded memory."""

__all__ = ["LogLine", "read_lines"]

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from ragwortferry.exceptions import RagwortferryError
from ragwortferry.utils.decoding import decode_untrusted

PROGRESS_INTERVAL_BYTES = 64 * 2**20

LogLine = dict


def read_lines(paths: Iterable[str], substring: str = "") -> Iterator[LogLine]:
    """Yield the JSON objects in log files.

    Lines that are not JSON objects are skipped. Progress is printed to standard error
    if it is a terminal.

    :param paths: files, or directories that are searched recursively for files.
    :param substring: text that a line must contain; other lines are not parsed.
    :raises RagwortferryError: if a path does not exist.
    """
    pattern = substring.encode()
    for path in _iter_files(paths):
        unreported = 0
        with open(path, "rb") as file:
            for raw in file:
                unreported += len(raw)
                if unreported >= PROGRESS_INTERVAL_BYTES and sys.stderr.isatty():
                    print(f"reading {path}: {file.tell() >> 20} MB", file=sys.stderr)
                    unreported = 0
                if pattern in raw:
                    yield from _parse_line(raw)


def _iter_files(paths: Iterable[str]) -> Iterator[Path]:
    for name in paths:
        path = Path(name)
        if path.is_dir():
            yield from sorted(item for item in path.rglob("*") if item.is_file())
        elif path.exists():
            yield path
        else:
            raise RagwortferryError(f"logs: {path} does not exist")


def _parse_line(raw: bytes) -> Iterator[LogLine]:
    result = decode_untrusted(msgspec.json.decode, raw)
    if result.is_ok() and isinstance(result.ok, dict):
        yield result.ok
