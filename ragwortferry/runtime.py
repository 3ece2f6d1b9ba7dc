"""Running a kernel on one loop and one thread until a signal."""

__all__ = ["kernel_entrypoint", "run_main", "tune_gc", "wait_any"]

import asyncio
import gc
from collections.abc import Callable, Coroutine

import aiomisc

from ragwortferry.kernel import Kernel
from ragwortferry.logs import open_log
from ragwortferry.utils.loop import NumericLoop

# Objects that may be made between two rounds of the garbage collector.
GC_THRESHOLD = 10_000


class _KernelService(aiomisc.Service):
    """Runs the kernel inside the aiomisc entrypoint."""

    kernel: Kernel

    async def start(self) -> None:
        """Start the services."""
        await self.kernel.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the services."""
        await self.kernel.stop()


def run_main(
    main: Callable[[asyncio.AbstractEventLoop], Coroutine[None, None, int]], log: str
) -> int:
    """Run the process on a loop of its own and return its exit code.

    :param log: where log lines go, see :func:`ragwortferry.logs.open_log`.
    """
    stream = open_log(log)
    loop = NumericLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.close()
        stream.flush()


def kernel_entrypoint(
    kernel: Kernel, loop: asyncio.AbstractEventLoop, shutdown_s: float
) -> aiomisc.entrypoint:
    """Return the context in which the services of a kernel run.

    :param shutdown_s: seconds that they have to stop.
    """
    return aiomisc.entrypoint(
        _KernelService(kernel=kernel),
        loop=loop,
        log_config=False,
        catch_signals=(),
        shutdown_timeout=shutdown_s,
    )


async def wait_any(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def tune_gc() -> None:
    """Keep what was loaded at the start out of the garbage collector's rounds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
