"""Actions that end a fault after a random delay."""

__all__ = ["DelayedActions"]

import asyncio
import random
from collections.abc import Awaitable, Callable


class DelayedActions:
    """Runs actions after random delays.

    :param delay_range_s: minimum and maximum delay, in seconds.
    """

    def __init__(self, rng: random.Random, delay_range_s: tuple[float, float]):
        self._rng = rng
        self._delay_range_s = delay_range_s
        self._pending: set[asyncio.Task] = set()

    def add(
        self,
        action: Callable[[], Awaitable[None]],
        delay_range_s: tuple[float, float] | None = None,
    ) -> None:
        """Run an action after a random delay.

        :param delay_range_s: minimum and maximum, by default those of all actions.
        """
        delay = self._rng.uniform(*(delay_range_s or self._delay_range_s))

        async def wait() -> None:
            await asyncio.sleep(delay)
            await action()

        task = asyncio.get_running_loop().create_task(wait())
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def wait_all(self) -> None:
        """Wait for all pending actions, including those that they add."""
        while self._pending:
            await asyncio.gather(*self._pending)
