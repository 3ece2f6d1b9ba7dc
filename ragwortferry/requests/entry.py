"""The entry proxy: it takes requests of callers and chooses upstreams for them."""

__all__ = ["Entry"]

import asyncio

from aiohttp import web

from ragwortferry.document.snapshot import Route, Service, Snapshot
from ragwortferry.exceptions import (
    ErrorKind,
    Outcome,
    RequestError,
)
from ragwortferry.requests.balance import Balancer, RetryBudget
from ragwortferry.requests.exchange import Attempt, Body, Policy, TargetReply
from ragwortferry.requests.headers import (
    check_headers,
    check_path,
    end_to_end,
    request_id_of,
    timeout_of,
)
from ragwortferry.requests.hop import Hop, HopParts
from ragwortferry.requests.owner import Owner
from ragwortferry.requests.record import AttemptRecord, RequestRecord
from ragwortferry.requests.remote import RemoteOwners
from ragwortferry.requests.server import HttpServer
from ragwortferry.source.port import Instance

FREE_RETRIES = 2
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_FREE = (
    ErrorKind.LEAVING,
    ErrorKind.NOT_OWNER,
    ErrorKind.FENCED,
    ErrorKind.CONNECT_FAILED,
)


class Entry(Hop):
    """Serves callers.

    :param incarnation: name of this run of the process, part of each attempt's key.
    """

    def __init__(
        self,
        parts: HopParts,
        balancer: Balancer,
        owner: Owner,
        remote: RemoteOwners,
        incarnation: str,
    ):
        super().__init__("entry", parts)
        self._balancer = balancer
        self._owner = owner
        self._remote = remote
        self._prefix = incarnation[:12]
        self._count = 0
        self._budget = RetryBudget()
        me = self._members.me
        self._server = HttpServer(self._serve, me.host, me.listen_port)
        self.retries = 0

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the port and the connections to other proxies."""
        await self._server.stop()
        await self._remote.close()

    def stop_listening(self) -> None:
        """Accept no more connections of callers."""
        self._server.stop_listening()

    def _headers(self, record: RequestRecord) -> dict[str, str]:
        headers = super()._headers(record)
        if self._drain.leaving:
            headers["Connection"] = "close"
        return headers

    async def _run(self, request: web.BaseRequest, record) -> TargetReply:
        """Run a request under the snapshot in force on its arrival."""
        arrived = asyncio.get_running_loop().time()
        record.method, record.path = request.method, str(request.rel_url)
        record.request_id = request_id_of(request.headers)
        check_headers(request.headers)
        check_path(request.path)
        snapshot = self._store.snapshot
        if snapshot is None:
            raise RequestError(ErrorKind.NO_CONFIGURATION, "no version is in force")
        route = self._match(snapshot, request)
        record.policy = policy = _policy(snapshot, route)
        deadline = arrived + timeout_of(request.headers, route.timeout_s)
        body = await self._read_body(request, deadline)
        attempt = Attempt(
            "",
            record.request_id,
            request.method,
            str(request.rel_url),
            end_to_end(request.headers),
            body,
            policy,
            deadline,
        )
        service = snapshot.services[route.service]
        return await self._try_upstreams(attempt, route, service, record)

    async def _read_body(self, request: web.BaseRequest, deadline: float) -> Body:
        if not request.can_read_body:
            return Body(b"", None)
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(CONTINUE)
        try:
            async with asyncio.timeout_at(deadline):
                return await Body.read(request.content)
        except TimeoutError:
            detail = "the body did not come before the deadline"
            raise RequestError(ErrorKind.DEADLINE_BEFORE_RUN, detail) from None
        except RequestError as error:
            error.outcome = Outcome.NOT_RUN
            raise

    def _match(self, snapshot: Snapshot, request: web.BaseRequest) -> Route:
        route = snapshot.match(request.method, request.path)
        if route is None:
            allowed = snapshot.allowed_methods(request.path)
            if allowed:
                detail = f"allowed: {', '.join(allowed)}"
                raise RequestError(ErrorKind.METHOD_NOT_ALLOWED, detail)
            raise RequestError(ErrorKind.NO_ROUTE, f"no route for {request.path[:200]}")
        return route

    async def _try_upstreams(
        self, attempt: Attempt, route: Route, service: Service, record: RequestRecord
    ) -> TargetReply:
        """Try upstreams until one answers or no further try is allowed."""
        self._budget.note_request()
        tried: list[str] = []
        last: RequestError | None = None
        while True:
            try:
                instance = self._balancer.pick(service, tried)
            except RequestError as error:
                raise last or error from None
            try:
                return await self._try(attempt, instance, record)
            except RequestError as error:
                last = _with_what_came_before(error, last)
                if error.kind is not ErrorKind.FENCED:
                    tried.append(instance.id)
                if not self._may_retry(error, attempt, route, len(record.attempts)):
                    raise last from None
                self.retries += 1

    def _may_retry(
        self, error: RequestError, attempt: Attempt, route: Route, made: int
    ) -> bool:
        """Return whether another attempt can neither double the request nor a load."""
        if attempt.deadline <= asyncio.get_running_loop().time():
            return False
        if not attempt.body.replayable:
            return False
        if error.outcome is not Outcome.NOT_RUN:
            allowed = route.idempotent and made <= route.retries
            return allowed and self._budget.allow()
        if not error.response.retryable or made > route.retries + FREE_RETRIES:
            return False
        return error.kind in _FREE or self._budget.allow()

    async def _try(
        self, attempt: Attempt, instance: Instance, record: RequestRecord
    ) -> TargetReply:
        self._count += 1
        attempt.key = f"{self._prefix}-{self._count}"
        entry = AttemptRecord(attempt.key, instance.id)
        record.attempts.append(entry)
        self._balancer.started(instance.id)
        try:
            reply = await self._send(attempt, instance)
        except RequestError as error:
            entry.note_error(error)
            self._balancer.failed(instance.id, error.kind)
            raise
        finally:
            entry.note_end()
            self._balancer.ended(instance.id)
        entry.outcome, entry.status = str(Outcome.RAN), reply.status
        self._balancer.answered(instance.id, entry.ms / 1000)
        return reply

    async def _send(self, attempt: Attempt, instance: Instance) -> TargetReply:
        if instance.id == self._members.me.id:
            return await self._owner.open(attempt)
        return await self._remote.send(instance, attempt)


def _with_what_came_before(
    error: RequestError, before: RequestError | None
) -> RequestError:
    """Return an error whose outcome holds for all attempts of the request.

    An attempt that did not run proves nothing about an earlier one that may have.
    """
    unsure = before is not None and before.outcome is not Outcome.NOT_RUN
    if unsure and error.outcome is Outcome.NOT_RUN:
        detail = f"{error.detail}; an earlier attempt may have run"
        outcome = before.outcome
        return RequestError(error.kind, detail, outcome, error.retry_after)
    return error


def _policy(snapshot: Snapshot, route: Route) -> Policy:
    return Policy(
        snapshot.version,
        snapshot.digest,
        route.section,
        route.name,
        route.idempotent,
        route.silence_s,
        route.max_share,
    )
