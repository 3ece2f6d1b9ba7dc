"""Actions that end a fault after a drawn time."""

__all__ = ["DelayedActions"]

import asyncio
import random
from collections.abc import Awaitable, Callable


class DelayedActions:
    """Runs actions later.

    :param bounds: shortest and longest delay, in seconds.
    """

    def __init__(self, rng: random.Random, delay_range_s: tuple[float, float]):
        self._rng = rng
        self._delay_range_s = delay_range_s
        self._pending: set[asyncio.Task] = set()

    def add(self, action: Callable[[], Awaitable[None]]) -> None:
        """Run an action after a drawn time."""
        delay = self._rng.uniform(*self._delay_range_s)

        async def wait() -> None:
            await asyncio.sleep(delay)
            await action()

        task = asyncio.get_running_loop().create_task(wait())
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def wait_all(self) -> None:
        """Wait for the actions that are due, and for those that they add."""
        while self._pending:
            await asyncio.gather(*self._pending)
