"""Reads log lines from files and directories in bounded memory."""

__all__ = ["LogLine", "read_lines"]

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from ragwortferry.exceptions import RagwortferryError

PROGRESS_BYTES = 64 * 2**20

LogLine = dict


def read_lines(paths: Iterable[str], substring: str = "") -> Iterator[LogLine]:
    """Yield the JSON objects of log files.

    A line that is no JSON object is passed over. Progress goes to standard error if
    that is a terminal.

    :param paths: files, or directories whose files are read.
    :param needle: text that a line must contain, tested before it is parsed.
    :raises RagwortferryError: if a path is not there.
    """
    pattern = substring.encode()
    for path in _iter_files(paths):
        unreported = 0
        with open(path, "rb") as file:
            for raw in file:
                unreported += len(raw)
                if unreported >= PROGRESS_BYTES and sys.stderr.isatty():
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
            raise RagwortferryError(f"logs: {path} is not there")


def _parse_line(raw: bytes) -> Iterator[LogLine]:
    try:
        line = msgspec.json.decode(raw)
    except msgspec.DecodeError:
        return
    if isinstance(line, dict):
        yield line
