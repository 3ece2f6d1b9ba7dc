"""Flow control of one response, from its upstream to its caller."""

__all__ = ["MAX_OPEN_BYTES", "Window"]

from collections.abc import Callable

# Bytes of a response body that may be on their way between the upstream and the caller.
# More than an entry buffers before it starts to stream a response.
MAX_OPEN_BYTES = 2 * 2**20


class Window:
    """Counts the bytes of a response that its caller has not taken yet.

    :param max_open_bytes: number of these bytes from which the upstream has to wait.

    >>> window = Window()
    >>> window.add(MAX_OPEN_BYTES)
    >>> window.full
    True
    >>> window.take(1)
    >>> window.full
    False
    """

    def __init__(self, max_open_bytes: float = MAX_OPEN_BYTES):
        self._max_open_bytes = max_open_bytes
        self._open_bytes = 0
        # Called when the window is no longer full.
        self.on_open: Callable[[], None] = lambda: None

    @property
    def full(self) -> bool:
        """Return whether the upstream has to wait."""
        return self._open_bytes >= self._max_open_bytes

    def add(self, size: int) -> None:
        """Count bytes that the upstream has sent."""
        self._open_bytes += size

    def take(self, size: int) -> None:
        """Count bytes that the caller has taken."""
        was_full = self.full
        self._open_bytes -= size
        if was_full and not self.full:
            self.on_open()
