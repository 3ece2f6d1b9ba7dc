"""Decorators for command-line functions."""

__all__ = ["one_line_errors"]

import functools
import sys
from collections.abc import Callable

from ragwortferry.exceptions import RagwortferryError

EXIT_ERROR = 1


def one_line_errors(function: Callable) -> Callable:
    """Report errors of a command as one line on standard error, with exit status 1."""

    @functools.wraps(function)
    def wrapper(*args, **kwargs):
        try:
            return function(*args, **kwargs)
        except BrokenPipeError:
            raise
        except (RagwortferryError, OSError) as error:
            print(f"ragwortferry: {error}", file=sys.stderr)
            raise SystemExit(EXIT_ERROR) from None

    return wrapper
