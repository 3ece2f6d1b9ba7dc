"""The owner proxy: the only proxy that connects to the target of its instance."""

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
from ragwortferry.requests.headers import (
    ATTEMPT,
    CLOCK,
    end_to_end,
)
from ragwortferry.requests.hop import Hop, HopContext
from ragwortferry.requests.messages import Attempt, Body, Envelope, TargetReply
from ragwortferry.requests.record import AttemptRecord, RequestRecord
from ragwortferry.requests.server import HttpServer
from ragwortferry.requests.target import Target
from ragwortferry.utils.clock import HybridClock

AdminHandler = Callable[[web.BaseRequest], Awaitable[web.Response]]


class Owner(Hop):
    """Owner proxy, which serves the attempts of entry proxies and admin requests.

    :param admin: handler of all requests that are not attempts.
    """

    def __init__(
        self,
        context: HopContext,
        target: Target,
        clock: HybridClock,
        admin: AdminHandler,
    ):
        super().__init__("owner", context)
        self._target = target
        self._clock = clock
        self._admin = admin
        self._attempts = Attempts()
        me = self._members.me
        self._server = HttpServer(self._handle, me.host, me.owner_port)

    @property
    def attempts(self) -> Attempts:
        """Return the states of recent attempts."""
        return self._attempts

    async def start(self) -> None:
        """Apply the limits of the current snapshot and start listening."""
        self._store.add_listener(self._configure)
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

    async def send(self, attempt: Attempt) -> TargetReply:
        """Send an attempt to the target and return the reply.

        :raises RequestError: with an outcome that states whether the attempt ran.
        """
        self._refuse_if_draining()
        remaining_s = attempt.deadline - asyncio.get_running_loop().time()
        self._attempts.register(attempt.key, remaining_s)
        try:
            return await self._target.send(attempt, lambda: self._begin(attempt))
        finally:
            self._drain_with_target()

    def _drain_with_target(self) -> None:
        """Start draining if the target has announced that it shuts down.

        Called after each attempt, because no further one may arrive to notice it.
        """
        if self._target.shutting_down:
            self._drain.begin("the target announced that it is shutting down")

    def _refuse_if_draining(self) -> None:
        self._drain_with_target()
        if self._drain.draining:
            raise RequestError(ErrorKind.LEAVING, "the instance is draining")

    def _begin(self, attempt: Attempt) -> None:
        self._refuse_if_draining()
        self._attempts.begin(attempt.key)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if ATTEMPT not in request.headers:
            return await self._admin(request)
        return await self._serve(request)

    async def _run_request(self, request: web.BaseRequest, record: RequestRecord):
        attempt = await self._read_attempt(request, record)
        return await self._send_recorded(attempt, record)

    async def _send_recorded(self, attempt: Attempt, record) -> TargetReply:
        attempt_record = AttemptRecord(attempt.key, self._members.me.id)
        record.attempts.append(attempt_record)
        try:
            reply = await self.send(attempt)
        except RequestError as error:
            attempt_record.record_error(error)
            raise
        finally:
            attempt_record.record_end()
        attempt_record.outcome, attempt_record.status = str(Outcome.RAN), reply.status
        return reply

    def _response_headers(self, record: RequestRecord) -> dict[str, str]:
        """Return only the clock: the entry proxy adds the headers for its caller."""
        return {CLOCK: str(self._clock.tick())}

    async def _read_attempt(
        self, request: web.BaseRequest, record: RequestRecord
    ) -> Attempt:
        """Return the attempt that a request of an entry proxy contains."""
        record.method, record.path = request.method, str(request.rel_url)
        try:
            envelope = msgspec.json.decode(request.headers[ATTEMPT], type=Envelope)
        except msgspec.DecodeError as error:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"malformed attempt: {error}"
            ) from None
        record.request_id, record.policy = envelope.request_id, envelope.policy
        self._clock.observe(envelope.clock)
        if envelope.upstream != self._members.me.id:
            detail = f"the owner at this address is {self._members.me.id}"
            raise RequestError(ErrorKind.NOT_OWNER, detail)
        deadline = asyncio.get_running_loop().time() + envelope.left_ms / 1000
        body = await Body.read(request.content)
        return Attempt(
            envelope.key,
            envelope.request_id,
            request.method,
            record.path,
            end_to_end(request.headers),
            body,
            envelope.policy,
            deadline,
        )
