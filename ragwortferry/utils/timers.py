"""Timers of the running event loop."""

__all__ = ["call_later"]

import asyncio
from collections.abc import Callable


def call_later(delay_s: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
    """Schedule a callback of the running event loop after some seconds."""
    return asyncio.get_running_loop().call_later(delay_s, callback)
