"""Run the services of a process on one event loop in one thread."""

__all__ = ["kernel_entrypoint", "run_main", "tune_gc", "wait_any"]

import asyncio
import gc
from collections.abc import Callable, Coroutine

import aiomisc

from ragwortferry.kernel import Kernel
from ragwortferry.logs import open_log
from ragwortferry.utils.loop import NoResolverLoop

# Net allocations of container objects that trigger a collection of the youngest
# generation.
GC_THRESHOLD = 10_000


class _KernelService(aiomisc.Service):
    """Service that runs a kernel inside the aiomisc entrypoint."""

    kernel: Kernel

    async def start(self) -> None:
        """Start the services of the kernel."""
        await self.kernel.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the services of the kernel."""
        await self.kernel.stop()


def run_main(
    main: Callable[[asyncio.AbstractEventLoop], Coroutine[None, None, int]], log: str
) -> int:
    """Run the main coroutine on a new event loop and return its exit code.

    :param main: coroutine function, called with the loop.
    :param log: destination of the log, see :func:`ragwortferry.logs.open_log`.
    """
    stream = open_log(log)
    loop = NoResolverLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.close()
        stream.flush()


def kernel_entrypoint(
    kernel: Kernel, loop: asyncio.AbstractEventLoop, shutdown_s: float
) -> aiomisc.entrypoint:
    """Return a context manager that starts and stops the services of a kernel.

    :param shutdown_s: maximum seconds for the services to stop.
    """
    return aiomisc.entrypoint(
        _KernelService(kernel=kernel),
        loop=loop,
        log_config=False,
        catch_signals=(),
        shutdown_timeout=shutdown_s,
    )


async def wait_any(*events: asyncio.Event) -> None:
    """Wait until any of the events is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def tune_gc() -> None:
    """Exclude existing objects from garbage collection, and collect less often.

    Call this after startup: the frozen objects live as long as the process.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
