"""The owner proxy: it alone talks to the target of its instance."""

__all__ = ["Owner"]

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from ragwortferry.exceptions import (
    ErrorKind,
    Outcome,
    RequestError,
)
from ragwortferry.requests.attempts import Attempts
from ragwortferry.requests.exchange import Attempt, Body, Policy, TargetReply
from ragwortferry.requests.headers import (
    ATTEMPT,
    CLOCK,
    POLICY,
    REQUEST_ID,
    TIMEOUT_MS,
    UPSTREAM,
    end_to_end,
)
from ragwortferry.requests.hop import Hop, HopParts
from ragwortferry.requests.record import AttemptRecord, RequestRecord
from ragwortferry.requests.server import HttpServer
from ragwortferry.requests.target import Target
from ragwortferry.utils.clock import HybridClock

AdminHandler = Callable[[web.BaseRequest], Awaitable[web.Response]]


class Owner(Hop):
    """Serves attempts of other proxies and the requests of operators.

    :param admin: answers what is not an attempt.
    """

    def __init__(
        self, parts: HopParts, target: Target, clock: HybridClock, admin: AdminHandler
    ):
        super().__init__("owner", parts)
        self._target = target
        self._clock = clock
        self._admin = admin
        self._attempts = Attempts()
        me = self._members.me
        self._server = HttpServer(self._handle, me.host, me.owner_port)

    @property
    def attempts(self) -> Attempts:
        """Return the attempts seen lately."""
        return self._attempts

    async def start(self) -> None:
        """Take over the limits of the document and listen."""
        self._store.listen(self._configure)
        self._configure()
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening and close the connections to the target."""
        await self._server.stop()
        await self._target.close()

    def _configure(self) -> None:
        snapshot = self._store.snapshot
        service = snapshot and snapshot.service_of_upstream(self._members.me.id)
        if service:
            self._target.configure(
                service.slots, service.connections, service.queue, service.slow_start_s
            )

    async def open(self, attempt: Attempt) -> TargetReply:
        """Run an attempt at the target.

        :raises RequestError: with an outcome that says whether it ran.
        """
        self._refuse_if_leaving()
        self._attempts.arrive(attempt.key)
        return await self._target.send(attempt, lambda: self._begin(attempt))

    def _refuse_if_leaving(self) -> None:
        if self._target.leaving:
            self._drain.leave("the target says so")
        if self._drain.leaving:
            raise RequestError(ErrorKind.LEAVING, "the instance is leaving")

    def _begin(self, attempt: Attempt) -> None:
        self._refuse_if_leaving()
        self._attempts.begin(attempt.key)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if ATTEMPT not in request.headers:
            return await self._admin(request)
        return await self._serve(request)

    async def _run(self, request: web.BaseRequest, record: RequestRecord):
        attempt = await self._read(request, record)
        return await self._open_recorded(attempt, record)

    async def _open_recorded(self, attempt: Attempt, record) -> TargetReply:
        entry = AttemptRecord(attempt.key, self._members.me.id)
        record.attempts.append(entry)
        try:
            reply = await self.open(attempt)
        except RequestError as error:
            entry.note_error(error)
            raise
        finally:
            entry.note_end()
        entry.outcome, entry.status = str(Outcome.RAN), reply.status
        return reply

    def _headers(self, record: RequestRecord) -> dict[str, str]:
        headers = super()._headers(record)
        headers[CLOCK] = str(self._clock.tick())
        return headers

    async def _read(self, request: web.BaseRequest, record: RequestRecord) -> Attempt:
        """Return the attempt that a request of another proxy carries."""
        headers = request.headers
        record.request_id = headers.get(REQUEST_ID, "")
        record.method, record.path = request.method, request.path_qs
        try:
            policy = msgspec.json.decode(headers[POLICY], type=Policy)
            left = int(headers[TIMEOUT_MS]) / 1000
            self._clock.observe(int(headers[CLOCK]))
        except (KeyError, ValueError) as error:
            raise RequestError(ErrorKind.BAD_REQUEST, f"attempt: {error}") from None
        record.policy = policy
        if headers.get(UPSTREAM) != self._members.me.id:
            detail = f"this is {self._members.me.id}"
            raise RequestError(ErrorKind.NOT_OWNER, detail)
        deadline = asyncio.get_running_loop().time() + left
        body = await Body.read(request.content)
        return Attempt(
            headers[ATTEMPT],
            record.request_id,
            request.method,
            str(request.rel_url),
            end_to_end(headers),
            body,
            policy,
            deadline,
        )
