"""Structured logging with eliot; each message has its component as a prefix."""

__all__ = ["Log", "LogContext", "open_log"]

import sys
import time
import uuid
from typing import Any, Protocol

import eliot

from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.nonblocking import NonblockingWriter


class LogContext:
    """The fields that all log lines of a process share, and the number of lines.

    :param instance: name of this instance.
    :param zone: availability zone of this instance.
    :param clock: hybrid logical clock that timestamps the events.
    """

    def __init__(self, instance: str, zone: str, clock: HybridClock):
        self.instance = instance
        self.zone = zone
        self.clock = clock
        self.incarnation = uuid.uuid4().hex
        self.line_count = 0


class Log:
    """Log of one component of the process.

    :param context: fields of every line.
    :param component: prefix of every message, such as ``"store"``.
    """

    def __init__(self, context: LogContext, component: str):
        self._context = context
        self._component = component

    def component(self, name: str) -> "Log":
        """Return the log of another component of the same process."""
        return Log(self._context, name)

    def event(self, event_type: str, message: str, **fields: Any) -> None:
        """Write one event, which ``ragwortferry timeline`` can show.

        :param event_type: type of the event, such as ``"enforced"``.
        :param message: short sentence for human readers.
        :param fields: further fields of the line, as JSON values.
        """
        context = self._context
        context.line_count += 1
        eliot.Logger().write(
            {
                "task_uuid": context.incarnation,
                "task_level": [context.line_count],
                "timestamp": time.time(),
                "message_type": event_type,
                "message": f"{self._component}: {message}",
                "instance": context.instance,
                "zone": context.zone,
                "hlc": context.clock.tick(),
                **fields,
            }
        )

    def error(self, message: str, reason: object, **fields: Any) -> None:
        """Write an event of type ``error``.

        :param message: short sentence for human readers.
        :param reason: exception that was caught, ``None`` if there is none.
        """
        text = f"{type(reason).__name__}: {reason}" if reason else "unknown"
        self.event("error", message, reason=text, **fields)


class LineStream(Protocol):
    """Stream that log lines are written to."""

    def write(self, text: str) -> None:
        """Write a line."""

    def flush(self) -> None:
        """Write out the buffered lines."""


def open_log(path: str) -> LineStream:
    """Write the log lines of this process to a file.

    :param path: file to append to, ``"-"`` for standard error, ``"stdout"`` for
        standard output, which is written without ever blocking.
    :raises OSError: if the file cannot be opened.
    """
    if path == "stdout":
        stream: LineStream = NonblockingWriter(sys.stdout.fileno())
    else:
        stream = sys.stderr if path == "-" else open(path, "a", buffering=1)
    eliot.to_file(stream)
    return stream
