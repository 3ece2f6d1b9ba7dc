"""Collects the response to one request of a client connection."""

__all__ = ["ResponseCollector"]

import asyncio
from collections.abc import Callable

from ragwortferry.http1.client import ConnectionBrokenError, ResponseHead
from ragwortferry.http1.messages import Headers


class ResponseCollector:
    """Collects the response to one call.

    :param on_progress: called for each part of the response.
    """

    def __init__(self, on_progress: Callable[[], None] = lambda: None):
        self._on_progress = on_progress
        self._parts: list[bytes] = []
        self.status = 0
        self.headers: Headers = []
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return b"".join(self._parts)

    def accepts(self, head: ResponseHead) -> bool:
        """Accept any response: a connection carries one call at a time."""
        return True

    def on_head(self, head: ResponseHead) -> None:
        """Store the status and the headers."""
        self.status, self.headers = head.status, head.headers
        self._on_progress()

    def on_data(self, data: bytes) -> None:
        """Store a part of the body."""
        self._on_progress()
        self._parts.append(data)

    def on_end(self) -> None:
        """Complete the call."""
        if not self.done.done():
            self.done.set_result(None)

    def on_error(self, error: ConnectionBrokenError) -> None:
        """Fail the call."""
        if not self.done.done():
            self.done.set_exception(error)
