"""Running a kernel on one loop and one thread until a signal."""

__all__ = ["KernelService", "first_of", "spare_collector"]

import asyncio
import gc

import aiomisc

from ragwortferry.kernel import Kernel

# Objects that may be made between two rounds of the garbage collector.
YOUNG_OBJECTS = 10_000


class KernelService(aiomisc.Service):
    """Runs the kernel inside the aiomisc entrypoint."""

    kernel: Kernel

    async def start(self) -> None:
        """Start the services."""
        await self.kernel.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the services."""
        await self.kernel.stop()


async def first_of(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def spare_collector() -> None:
    """Keep what was loaded at the start out of the garbage collector's rounds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS)
