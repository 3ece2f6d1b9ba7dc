"""The entry proxy: receives requests of callers and sends them to upstreams."""

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
from ragwortferry.requests.headers import (
    check_headers,
    check_path,
    end_to_end,
    request_id_of,
    timeout_of,
)
from ragwortferry.requests.hop import Hop, HopContext
from ragwortferry.requests.messages import Attempt, Body, Policy, TargetReply
from ragwortferry.requests.owner import Owner
from ragwortferry.requests.record import AttemptRecord, RequestRecord
from ragwortferry.requests.remote import RemoteOwners
from ragwortferry.requests.server import HttpServer
from ragwortferry.source.port import Instance

EXTRA_RETRIES = 2  # after attempts that did not run
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

_BUDGET_EXEMPT = (
    ErrorKind.LEAVING,
    ErrorKind.NOT_OWNER,
    ErrorKind.FENCED,
    ErrorKind.CONNECT_FAILED,
)


class Entry(Hop):
    """Entry proxy, which serves the callers.

    :param incarnation: unique id of this process, part of each attempt's key.
    """

    def __init__(
        self,
        context: HopContext,
        balancer: Balancer,
        owner: Owner,
        remote: RemoteOwners,
        incarnation: str,
    ):
        super().__init__("entry", context)
        self._balancer = balancer
        self._owner = owner
        self._remote = remote
        self._key_prefix = incarnation[:12]
        self._attempt_count = 0
        self._retry_budget = RetryBudget()
        me = self._members.me
        self._server = HttpServer(self._serve, me.host, me.listen_port)
        self.retries = 0

    async def start(self) -> None:
        """Start listening for callers."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._server.stop()
        await self._remote.close()

    def stop_listening(self) -> None:
        """Stop accepting connections of callers."""
        self._server.stop_listening()

    def _response_headers(self, record: RequestRecord) -> dict[str, str]:
        headers = super()._response_headers(record)
        if self._drain.draining:
            headers["Connection"] = "close"
        return headers

    async def _run_request(self, request: web.BaseRequest, record) -> TargetReply:
        """Run a request under the snapshot that is current when it arrives.

        A newer version that is enforced meanwhile doesn't apply to it.
        """
        arrived = asyncio.get_running_loop().time()
        record.method, record.path = request.method, str(request.rel_url)
        record.request_id = request_id_of(request.headers)
        check_headers(request.headers)
        check_path(request.path)
        snapshot = self._store.snapshot
        if snapshot is None:
            raise RequestError(ErrorKind.NO_CONFIGURATION, "no version is enforced yet")
        route = self._match_route(snapshot, request)
        record.policy = policy = _policy(snapshot, route)
        deadline = arrived + timeout_of(request.headers, route.timeout_s)
        if deadline > self._drain.ends_at:
            detail = "the instance stops before the deadline of the request"
            raise RequestError(ErrorKind.LEAVING, detail)
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
            request.transport.write(CONTINUE_RESPONSE)
        try:
            async with asyncio.timeout_at(deadline):
                return await Body.read(request.content)
        except TimeoutError:
            detail = "the request body was not received before the deadline"
            raise RequestError(ErrorKind.DEADLINE_BEFORE_RUN, detail) from None
        except RequestError as error:
            error.outcome = Outcome.NOT_RUN
            raise

    def _match_route(self, snapshot: Snapshot, request: web.BaseRequest) -> Route:
        route = snapshot.match(request.method, request.path)
        if route is None:
            allowed = snapshot.allowed_methods(request.path)
            if allowed:
                detail = f"allowed methods: {', '.join(allowed)}"
                raise RequestError(ErrorKind.METHOD_NOT_ALLOWED, detail)
            raise RequestError(ErrorKind.NO_ROUTE, f"no route for {request.path[:200]}")
        return route

    async def _try_upstreams(
        self, attempt: Attempt, route: Route, service: Service, record: RequestRecord
    ) -> TargetReply:
        """Send attempts until one succeeds or no retry is allowed."""
        self._retry_budget.record_request()
        tried: list[str] = []
        last: RequestError | None = None
        while True:
            try:
                instance = self._balancer.pick(service, tried)
            except RequestError as error:
                raise last or error from None
            try:
                return await self._send_recorded(attempt, instance, record)
            except RequestError as error:
                last = _combine_outcomes(error, last)
                if error.kind is not ErrorKind.FENCED:
                    tried.append(instance.id)
                if not self._may_retry(error, attempt, route, len(record.attempts)):
                    raise last from None
                self.retries += 1

    def _may_retry(
        self, error: RequestError, attempt: Attempt, route: Route, attempts: int
    ) -> bool:
        """Return whether a retry can neither run the request twice nor cause overload.

        A request that may have run is retried only if its route is idempotent. A
        request that did not run may be retried ``EXTRA_RETRIES`` times more than its
        route allows. Retries after errors that put no load on a target don't count
        against the retry budget.
        """
        if attempt.deadline <= asyncio.get_running_loop().time():
            return False
        if not attempt.body.replayable:
            return False
        if error.outcome is not Outcome.NOT_RUN:
            allowed = route.idempotent and attempts <= route.retries
            return allowed and self._retry_budget.try_take()
        if not error.response.retryable or attempts > route.retries + EXTRA_RETRIES:
            return False
        return error.kind in _BUDGET_EXEMPT or self._retry_budget.try_take()

    async def _send_recorded(
        self, attempt: Attempt, instance: Instance, record: RequestRecord
    ) -> TargetReply:
        self._attempt_count += 1
        attempt.key = f"{self._key_prefix}-{self._attempt_count}"
        attempt_record = AttemptRecord(attempt.key, instance.id)
        record.attempts.append(attempt_record)
        self._balancer.record_start(instance.id)
        try:
            reply = await self._send(attempt, instance)
        except RequestError as error:
            attempt_record.record_error(error)
            self._balancer.record_failure(instance.id, error.kind)
            raise
        finally:
            attempt_record.record_end()
            self._balancer.record_end(instance.id)
        attempt_record.outcome, attempt_record.status = str(Outcome.RAN), reply.status
        self._balancer.record_response(instance.id, attempt_record.ms / 1000)
        return reply

    async def _send(self, attempt: Attempt, instance: Instance) -> TargetReply:
        if instance.id == self._members.me.id:
            return await self._owner.send(attempt)
        return await self._remote.send(instance, attempt)


def _combine_outcomes(
    error: RequestError, previous: RequestError | None
) -> RequestError:
    """Return the error of the last attempt with an outcome that covers all attempts.

    An attempt that did not run proves nothing about an earlier one that may have run.
    """
    may_have_run = previous is not None and previous.outcome is not Outcome.NOT_RUN
    if may_have_run and error.outcome is Outcome.NOT_RUN:
        detail = f"{error.detail}; an earlier attempt may have run"
        outcome = previous.outcome
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
