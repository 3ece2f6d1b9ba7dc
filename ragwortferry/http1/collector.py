"""Collects the response to one request of a client connection."""

__all__ = ["ResponseCollector"]

import asyncio
from collections.abc import Callable

from ragwortferry.http1.client import ConnectionBrokenError, ResponseHead
from ragwortferry.http1.messages import Headers


class ResponseCollector:
    """Collects the response to one call.

    :param max_bytes: largest body; the call fails if there is more.
    :param on_progress: called for each part of the response.
    """

    def __init__(self, max_bytes: int, on_progress: Callable[[], None] = lambda: None):
        self._max_bytes = max_bytes
        self._on_progress = on_progress
        self._body = bytearray()
        self.status = 0
        self.headers: Headers = []
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return bytes(self._body)

    def accepts(self, head: ResponseHead) -> bool:
        """Accept any response: a connection carries one call at a time."""
        return True

    def on_head(self, head: ResponseHead) -> None:
        """Store the status and the headers."""
        self.status, self.headers = head.status, head.headers
        self._on_progress()

    def on_data(self, data: bytes) -> None:
        """Store a part of the body, or fail the call if it is too long."""
        if self.done.done():
            return
        self._on_progress()
        self._body += data
        if len(self._body) > self._max_bytes:
            self._body.clear()
            reason = f"response is longer than {self._max_bytes} bytes"
            self.on_error(ConnectionBrokenError(reason, sent=True))

    def on_end(self) -> None:
        """Complete the call."""
        if not self.done.done():
            self.done.set_result(None)

    def on_error(self, error: ConnectionBrokenError) -> None:
        """Fail the call."""
        if not self.done.done():
            self.done.set_exception(error)
