"""Decoding of data from outside the process."""

__all__ = ["decode_untrusted"]

from collections.abc import Callable
from typing import TypeVar

from expression import Error, Ok, Result

T = TypeVar("T")

MAX_REASON_CHARS = 300


def decode_untrusted(decode: Callable[[bytes], T], data: bytes) -> Result[T, str]:
    """Return what ``data`` encodes, or the reason why it is invalid.

    A decoder may raise more than the errors that it documents, such as
    ``RecursionError`` for deep nesting. Whatever it raises, the data is invalid.

    >>> decode_untrusted(int, b"7").ok
    7
    >>> decode_untrusted(int, b"seven").is_error()
    True
    """
    try:
        return Ok(decode(data))
    except Exception as error:
        return Error(f"{type(error).__name__}: {error}"[:MAX_REASON_CHARS])
