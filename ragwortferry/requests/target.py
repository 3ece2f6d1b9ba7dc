"""The target of this instance, to which only its owner proxy connects."""

__all__ = ["Target"]

import asyncio
import time

import aiohttp
from yarl import URL

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.requests.headers import (
    ATTEMPT,
    REQUEST_ID,
    TARGET_LEAVING,
    TARGET_REFUSED,
    TIMEOUT_MS,
)
from ragwortferry.requests.messages import Attempt, TargetReply
from ragwortferry.requests.pool import Pool, PooledResponse
from ragwortferry.requests.slots import Slots

CONNECT_TIMEOUT_S = 1.0
NOT_RUN_VALUE = "not-run"


class Target:
    """Sends attempts to the target within its slots.

    Each request that is not idempotent gets a new connection: on a pooled connection
    that the target has closed, or that a device on the network path has dropped, it
    would be unknown whether the request ran. Idempotent requests share a pool. When a
    pooled connection times out, the whole pool is renewed.

    :param address: host:port, empty if this instance has no target.
    :param host: local IP address of the connections.
    """

    def __init__(self, address: str, host: str):
        self._host = host
        self._base_url = f"http://{address}" if address else None
        self._slots = Slots()
        self._connections = 0
        self._pool: Pool | None = None
        self._single_use_pool: Pool | None = None
        self._reachable = True
        self.shutting_down = False

    @property
    def slots(self) -> Slots:
        """Return the slots of the target."""
        return self._slots

    async def close(self) -> None:
        """Close the connections."""
        for pool in (self._pool, self._single_use_pool):
            if pool:
                await pool.close()

    def configure(self, slots: int, connections: int, queue: int, slow_start_s: float):
        """Apply the limits of the current snapshot.

        Half of the connections are for the pool of idempotent requests, the others for
        requests that each get a new connection.
        """
        self._slots.configure(slots, queue, slow_start_s)
        if connections != self._connections:
            self._connections = connections
            for pool in (self._pool, self._single_use_pool):
                if pool:
                    pool.renew()
            pool_limit = connections // 2
            self._pool = Pool(self._host, limit=pool_limit)
            self._single_use_pool = Pool(
                self._host, limit=connections - pool_limit, force_close=True
            )

    async def send(self, attempt: Attempt, begin) -> TargetReply:
        """Send an attempt and return the reply, which holds a slot until it is closed.

        :param begin: called just before the first byte may reach the target; raises
            ``RequestError`` if the attempt must not begin.
        :raises RequestError: with an outcome that states whether the attempt ran.
        """
        if self._base_url is None or self._pool is None:
            raise RequestError(ErrorKind.NOT_OWNER, "this instance has no target")
        route, loop = attempt.policy.route, asyncio.get_running_loop()
        remaining_s = attempt.deadline - loop.time()
        await self._slots.acquire(route, attempt.policy.max_share, remaining_s)
        started = time.monotonic()
        try:
            begin()
            pooled = await self._request(attempt)
        except BaseException:
            self._slots.release(route, None)
            raise

        def on_close(complete: bool) -> None:
            service_s = time.monotonic() - started
            self._slots.release(route, service_s if complete else None)

        reply = TargetReply(pooled, on_close)
        self._check_refusal(pooled.response, reply)
        return reply

    def _check_refusal(self, response, reply: TargetReply) -> None:
        """Raise an error if the target states that it did not run the request."""
        if response.headers.get(TARGET_LEAVING):
            self.shutting_down = True
        if response.headers.get(TARGET_REFUSED) != NOT_RUN_VALUE:
            return
        reply.close(complete=False)
        if self.shutting_down:
            raise RequestError(ErrorKind.LEAVING, "the target is shutting down")
        self._slots.record_shed()
        raise RequestError(ErrorKind.SHED, "the target refused the request")

    async def _request(self, attempt: Attempt) -> PooledResponse:
        remaining_s = attempt.deadline - asyncio.get_running_loop().time()
        if remaining_s <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_RUN, "the deadline has passed")
        idempotent = attempt.policy.idempotent
        pool = self._pool if idempotent else self._single_use_pool
        headers = attempt.headers
        headers.pop(ATTEMPT, None)
        headers[REQUEST_ID] = attempt.request_id
        headers[TIMEOUT_MS] = str(int(remaining_s * 1000))
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=min(CONNECT_TIMEOUT_S, remaining_s),
            sock_read=attempt.policy.silence_s,
        )
        try:
            async with asyncio.timeout(remaining_s):
                pooled = await pool.request(
                    attempt.method,
                    URL(self._base_url + attempt.path, encoded=True),
                    headers=headers,
                    data=attempt.body.data(),
                    timeout=timeout,
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self._failure(error, idempotent) from None
        if not self._reachable:
            self._reachable = True
            self._slots.restart_slow_start()
        return pooled

    def _failure(self, error: Exception, pooled: bool) -> RequestError:
        """Return the error for a failed call, with the outcome that it proves."""
        detail = f"{type(error).__name__}: {error}"
        unsent = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
        if isinstance(error, unsent):
            self._reachable = False
            return RequestError(ErrorKind.CONNECT_FAILED, detail)
        if isinstance(error, aiohttp.SocketTimeoutError):
            if pooled:
                self._pool.renew()
            return RequestError(ErrorKind.UPSTREAM_SILENT, detail)
        if isinstance(error, TimeoutError):
            if pooled:
                self._pool.renew()
            return RequestError(ErrorKind.DEADLINE, "no response before the deadline")
        return RequestError(ErrorKind.UPSTREAM_LOST, detail, Outcome.UNKNOWN)
