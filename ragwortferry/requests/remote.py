"""Attempts at upstreams of other instances, sent to their owner proxies."""

__all__ = ["RemoteOwners"]

import asyncio

import aiohttp
import msgspec
from yarl import URL

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.requests.attempts import AttemptState
from ragwortferry.requests.headers import (
    ATTEMPT,
    CLOCK,
    ERROR,
    OUTCOME,
)
from ragwortferry.requests.messages import Attempt, Envelope, TargetReply
from ragwortferry.requests.pool import Pool, PooledResponse
from ragwortferry.source.port import Instance
from ragwortferry.utils.clock import HybridClock

CONNECT_TIMEOUT_S = 0.5
FENCE_TIMEOUT_S = 1.0
CHECK_DELAY_FRACTION = 0.25
MAX_CHECK_DELAY_S = 5.0
# The owner gets an earlier deadline, so that its response is back before that of the
# entry.
RESPONSE_MARGIN_MS = 20
FENCE_PATH = "/-/fence"


class RemoteOwners:
    """Sends attempts to other owner proxies, and fences those that are lost."""

    def __init__(self, clock: HybridClock, host: str):
        self._host = host
        self._clock = clock
        self._pools: dict[str, Pool] = {}
        self._fence_pool = Pool(host, force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        for pool in (*self._pools.values(), self._fence_pool):
            await pool.close()

    def _pool(self, zone: str) -> Pool:
        if zone not in self._pools:
            self._pools[zone] = Pool(self._host)
        return self._pools[zone]

    async def send(self, owner: Instance, attempt: Attempt) -> TargetReply:
        """Send an attempt and return the reply.

        If there is no response after ``CHECK_DELAY_FRACTION`` of the time left, the
        owner is asked about the attempt over a new connection. If it has not received
        the attempt, the pooled connection is silent: the attempt is fenced and fails
        with ``FENCED``, which allows a retry, and the pool of the zone is renewed.

        :raises RequestError: with an outcome that states whether the attempt ran.
        """
        loop = asyncio.get_running_loop()
        timeout = asyncio.timeout_at(attempt.deadline)
        check = _AttemptCheck(self, owner, attempt, timeout)
        remaining_s = attempt.deadline - loop.time()
        timer = loop.call_later(
            min(remaining_s * CHECK_DELAY_FRACTION, MAX_CHECK_DELAY_S), check.start
        )
        try:
            async with timeout:
                pooled = await self._call(owner, attempt)
        except TimeoutError as error:
            raise await self._timed_out(owner, attempt, error, check) from None
        except (aiohttp.ClientError, OSError) as error:
            raise await self._failure(owner, attempt, error) from None
        finally:
            timer.cancel()
            check.stop()
        return self._reply(pooled)

    async def _call(self, owner: Instance, attempt: Attempt) -> PooledResponse:
        remaining_s = attempt.deadline - asyncio.get_running_loop().time()
        if remaining_s <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_RUN, "the deadline has passed")
        envelope = Envelope(
            attempt.key,
            attempt.request_id,
            owner.id,
            max(1, int(remaining_s * 1000) - RESPONSE_MARGIN_MS),
            self._clock.tick(),
            attempt.policy,
        )
        attempt.headers[ATTEMPT] = msgspec.json.encode(envelope).decode()
        base = f"http://{owner.host}:{owner.owner_port}"
        return await self._pool(owner.zone).request(
            attempt.method,
            URL(base + attempt.path, encoded=True),
            headers=attempt.headers,
            data=attempt.body.data(),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=min(CONNECT_TIMEOUT_S, remaining_s),
                sock_read=attempt.policy.silence_s,
            ),
        )

    async def fence(
        self, owner: Instance, attempt: Attempt, drop_queued: bool
    ) -> AttemptState | None:
        """Ask the owner to fence an attempt; return ``None`` without a timely reply."""
        remaining_s = attempt.deadline - asyncio.get_running_loop().time()
        url = f"http://{owner.host}:{owner.owner_port}{FENCE_PATH}"
        params = {"key": attempt.key, "drop": str(int(drop_queued)), "at": owner.id}
        try:
            async with asyncio.timeout(min(FENCE_TIMEOUT_S, remaining_s)):
                pooled = await self._fence_pool.request("POST", url, params=params)
                try:
                    text = await pooled.response.text()
                finally:
                    pooled.close(complete=True)
            return AttemptState(text)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def _timed_out(
        self,
        owner: Instance,
        attempt: Attempt,
        error: TimeoutError,
        check: "_AttemptCheck",
    ) -> RequestError:
        """Return the error for an attempt that timed out or that the check ended."""
        if isinstance(error, aiohttp.ClientError):
            return await self._failure(owner, attempt, error)
        self._pool(owner.zone).renew()
        if check.unseen:
            return RequestError(ErrorKind.FENCED, "the owner has not seen the attempt")
        return RequestError(ErrorKind.DEADLINE, "no response before the deadline")

    async def _failure(
        self, owner: Instance, attempt: Attempt, error: Exception
    ) -> RequestError:
        """Return the error for a failed call, and fence the attempt if possible."""
        detail = f"{type(error).__name__}: {error}"
        unsent = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
        if isinstance(error, unsent):
            return RequestError(ErrorKind.CONNECT_FAILED, detail)
        state = await self.fence(owner, attempt, drop_queued=True)
        if state is AttemptState.FENCED:
            return RequestError(ErrorKind.FENCED, f"{detail}; fenced before it began")
        timed_out = isinstance(error, TimeoutError)
        kind = ErrorKind.UPSTREAM_SILENT if timed_out else ErrorKind.UPSTREAM_LOST
        return RequestError(kind, detail, Outcome.UNKNOWN)

    def _reply(self, pooled: PooledResponse) -> TargetReply:
        headers = pooled.response.headers
        self._clock.observe(int(headers.get(CLOCK, 0)))
        kind = headers.get(ERROR)
        if kind is None:
            return TargetReply(pooled)
        pooled.close(complete=False)
        outcome = Outcome(headers.get(OUTCOME, Outcome.UNKNOWN))
        after = headers.get("Retry-After", "")
        retry_after = int(after) if after.isdigit() else None
        detail = "reported by the owner proxy"
        raise RequestError(ErrorKind(kind), detail, outcome, retry_after)


class _AttemptCheck:
    """Checks whether an attempt without a response has reached its owner.

    If it has not, the owner fences the attempt, and ``timeout`` is ended at once.

    :param timeout: context in which the attempt waits for its response.
    """

    def __init__(
        self,
        owners: RemoteOwners,
        owner: Instance,
        attempt: Attempt,
        timeout: asyncio.Timeout,
    ):
        self._owners = owners
        self._owner = owner
        self._attempt = attempt
        self._timeout = timeout
        self._task: asyncio.Task | None = None
        self.unseen = False

    def start(self) -> None:
        """Start the check."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        state = await self._owners.fence(self._owner, self._attempt, drop_queued=False)
        if state is AttemptState.FENCED:
            self.unseen = True
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def stop(self) -> None:
        """Cancel the check."""
        if self._task:
            self._task.cancel()
