"""A stream that never blocks its writer."""

__all__ = ["NonblockingWriter"]

import asyncio
import os

# Bytes that may wait to be written; more are dropped and counted.
MAX_WAITING_BYTES = 2**20
# Seconds between writes, so that many lines cost one system call.
FLUSH_S = 0.05


class NonblockingWriter:
    """Writes text lines to a file descriptor without blocking.

    :param descriptor: set to non-blocking mode.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._waiting: list[bytes] = []
        self._size = 0
        self._scheduled = False
        self.dropped = 0

    def write(self, text: str | bytes) -> None:
        """Take a line, or drop it if too much waits."""
        data = text.encode() if isinstance(text, str) else text
        if self._size + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append(data)
        self._size += len(data)
        if not self._scheduled:
            self._schedule()

    def _schedule(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._scheduled = True
        loop.call_later(FLUSH_S, self._on_timer)

    def _on_timer(self) -> None:
        self._scheduled = False
        self.flush()
        if self._waiting:
            self._schedule()

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        if not self._waiting:
            return
        data = b"".join(self._waiting)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; there is nowhere left to say so.
            self.dropped += len(self._waiting)
            written = len(data)
        rest = data[written:]
        self._waiting = [rest] if rest else []
        self._size = len(rest)
