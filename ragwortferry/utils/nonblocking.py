"""Non-blocking output of text lines."""

__all__ = ["NonblockingWriter"]

import asyncio
import os

# Lines that do not fit into the buffer are dropped and counted.
MAX_BUFFERED_BYTES = 2**20
# Time for which lines are collected, so that many of them share one system call.
FLUSH_INTERVAL_S = 0.05


class NonblockingWriter:
    """Writes text lines to a file descriptor without blocking.

    :param descriptor: file descriptor, which is set to non-blocking mode.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._scheduled = False
        self.dropped = 0

    def write(self, text: str | bytes) -> None:
        """Buffer a line, or drop it if the buffer is full."""
        data = text.encode() if isinstance(text, str) else text
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if not self._scheduled:
            self._schedule()

    def _schedule(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._scheduled = True
        loop.call_later(FLUSH_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._scheduled = False
        self.flush()
        if self._buffer:
            self._schedule()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        if not self._buffer:
            return
        data = b"".join(self._buffer)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed its end, so the error cannot be logged either.
            self.dropped += len(self._buffer)
            written = len(data)
        rest = data[written:]
        self._buffer = [rest] if rest else []
        self._buffered_bytes = len(rest)
