"""Microkernel: a registry of the services of a process and their life cycle."""

__all__ = ["Kernel", "Service"]

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

from ragwortferry.exceptions import InvariantError
from ragwortferry.logs import Log

T = TypeVar("T")

# Pause before a background task that has failed is started again.
RESTART_DELAY_S = 0.5


class Service(Protocol):
    """A component that is started and stopped with the process."""

    async def start(self) -> None:
        """Acquire resources and start tasks."""

    async def stop(self) -> None:
        """Stop tasks and release resources."""


class Kernel:
    """Holds the services of a process by name, starts and stops them in order.

    :param log: log for failures of background tasks and violated invariants.
    """

    def __init__(self, log: Log):
        self._log = log
        self._services: dict[str, Service] = {}
        self._started: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._failed = asyncio.Event()

    @property
    def failed(self) -> asyncio.Event:
        """Return the event that is set when an invariant was violated."""
        return self._failed

    def add(self, name: str, service: T) -> T:
        """Register a service under a name and return it."""
        if name in self._services:
            raise ValueError(f"service {name!r} is already registered")
        self._services[name] = service
        return service

    def get(self, name: str) -> Any:
        """Return the service registered under a name.

        :raises KeyError: if there is no such service.
        """
        return self._services[name]

    def spawn(self, coroutine: Coroutine, name: str) -> asyncio.Task:
        """Run a background task that is cancelled at ``stop``, and log its failure."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def supervise(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> asyncio.Task:
        """Run a background task, and start it again if it fails.

        A violated invariant is not one of these failures.

        :param run: coroutine function of the task.
        """
        return self.spawn(self._run_supervised(run, name), name)

    async def _run_supervised(self, run, name: str) -> None:
        while True:
            try:
                await run()
                return
            except InvariantError:
                raise
            except Exception as error:
                self._log.error(
                    "background task failed and starts again", error, task=name
                )
            await asyncio.sleep(RESTART_DELAY_S)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self._log.error("background task failed", task=task.get_name(), reason=error)
        if isinstance(error, InvariantError):
            self._failed.set()

    def fail(self, error: InvariantError) -> None:
        """Log a violated invariant and make the process exit."""
        self._log.error("invariant violated", reason=error)
        self._failed.set()

    async def start(self) -> None:
        """Start all services in the order in which they were registered."""
        for name, service in self._services.items():
            if hasattr(service, "start"):
                await service.start()
                self._started.append(name)

    async def stop(self) -> None:
        """Stop the started services in reverse order, then cancel all tasks."""
        for name in reversed(self._started):
            await self._services[name].stop()
        self._started.clear()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
