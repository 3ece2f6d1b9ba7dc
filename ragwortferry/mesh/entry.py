"""The entry side of a node: sends the requests of its callers to upstreams."""

__all__ = ["Entry"]

import asyncio
import itertools
import math
import random
from collections import Counter

import msgspec

from ragwortferry.exceptions import ERROR_RESPONSES, ErrorKind, Outcome
from ragwortferry.http1.messages import Request, end_to_end, get_header
from ragwortferry.http1.server import Exchange, Server
from ragwortferry.mesh.admission.calls import CallRoutes, call_objective
from ragwortferry.mesh.admission.queue import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from ragwortferry.mesh.admission.retry_after import CallerKey, RetryScheduler, Standing
from ragwortferry.mesh.attempt import Attempt, Failure, Reply
from ragwortferry.mesh.averages import RouteAverages
from ragwortferry.mesh.context import RequestContext
from ragwortferry.mesh.fingerprint import RequestKind
from ragwortferry.mesh.links.frames import Advertisement, Load
from ragwortferry.mesh.links.peers import Peers
from ragwortferry.mesh.model import Document, Limits, Route, Upstream
from ragwortferry.mesh.owner import Owner
from ragwortferry.mesh.placement.aperture import Aperture
from ragwortferry.mesh.placement.balance import Balancer
from ragwortferry.mesh.placement.budget import RetryBudget
from ragwortferry.mesh.placement.splits import TrafficSplitter
from ragwortferry.mesh.quarantine import Quarantine, Ruling
from ragwortferry.mesh.recording import Recorder
from ragwortferry.mesh.response import AttemptState
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.platform.names import DEADLINE_HEADER, REQUEST_ID_HEADER
from ragwortferry.platform.settings import Bounds
from ragwortferry.utils.egress import EgressPacer
from ragwortferry.utils.sockets import Address

# Responses up to this size are buffered until they are complete: if one is truncated,
# the request can still be retried at another upstream.
MAX_BUFFERED_BYTES = 2**20
# Another upstream is still tried after this many attempts that were not sent to one,
# because its owner refused them or could not be reached.
MAX_REFUSALS = 3
# The same, if some were refused since this node had outdated knowledge: these say
# nothing about the load of the service.
MAX_REFUSALS_OUTDATED = 6
# Time before the caller's deadline that is reserved for the node's own response.
RESPONSE_MARGIN_S = 0.005
# Time after ``RequestContext.deadline`` for the rest of a long response that is on its
# way. Its owner ends it at the deadline, unless the owner has fallen silent.
STREAM_MARGIN_S = 0.25
# Time before ``RequestContext.deadline`` by which the owner must have replied.
OWNER_MARGIN_S = 0.01
# A request is considered a caller's retry of a refused request if its timeout is below
# this fraction of the maximum timeout seen on its route.
CALLER_RETRY_FRACTION = 0.9
# Weight of the newest response in the moving average of a route's response sizes.
SMOOTHING = 0.05
# Retry-After time if the failure gives none.
DEFAULT_RETRY_AFTER_S = 0.1
# Minimum time left for a retry after its queueing delay, as a fraction of the service
# time.
MIN_TIME_FRACTION = 0.8
# Time for which an upstream is ejected after it or its owner could not be reached, or
# its owner refused an attempt because the upstream is draining or replaced.
EJECTION_S = 1.0
SERVER_ERROR = 500
# Budget that a retry after a server error takes: the upstream's own calls may have
# failed, and would be repeated and fail again.
SERVER_ERROR_RETRY_COST = 3
MAX_CALLER_TIMEOUT_S = 3600.0
# Maximum number of limits named in the log line of a refusal.
MAX_LOGGED_LIMITS = 8

# Retry-After time if all upstreams of a service are in evacuated zones: the operator
# takes that back after seconds.
EVACUATED_RETRY_AFTER_S = 1.0
# Refusals that do not count as failures of the upstream: because of load, or of the
# request itself.
_OVERLOAD_KINDS = (ErrorKind.OVERLOADED, ErrorKind.EXPIRED, ErrorKind.QUARANTINED)
# Refusals that this node could have avoided had it known the upstream's state.
_OUTDATED_KINDS = (ErrorKind.EVACUATED, ErrorKind.LEAVING, ErrorKind.NOT_OWNER)
# Failures after which an upstream is ejected.
_EJECTING_KINDS = (
    ErrorKind.CONNECT_FAILED,
    ErrorKind.EVACUATED,
    ErrorKind.LEAVING,
    ErrorKind.NOT_OWNER,
)


class Entry:
    """Serves the callers on this instance.

    :param aperture: selects the upstreams that the balancer compares.
    :param quarantine: decides which requests are refused because they crash upstreams.
    :param address: address at which callers connect.
    :param service: service of this instance, sent to upstreams as the caller's.
    :param key_prefix: prefix of the attempt keys, unique to this process.
    :param node_count: returns the number of nodes that share the retry budget.
    :param held_limit_bytes: most bytes to hold for callers that do not read.
    :param request_limit_bytes: most bytes of request bodies to hold.
    """

    def __init__(
        self,
        state: MeshState,
        aperture: Aperture,
        balancer: Balancer,
        owner: Owner,
        peers: Peers,
        pacer: EgressPacer,
        quarantine: Quarantine,
        recorder: Recorder,
        address: Address,
        service: str,
        key_prefix: str,
        bounds: Bounds,
        rng: random.Random,
        node_count,
        held_limit_bytes: float = float("inf"),
        request_limit_bytes: float = float("inf"),
    ):
        self._state = state
        self._aperture = aperture
        self._balancer = balancer
        self._owner = owner
        self._peers = peers
        self._quarantine = quarantine
        self._recorder = recorder
        self._address = address
        self._service = service
        self._key_prefix = key_prefix
        self._bounds = bounds
        self._node_count = node_count
        self._sequence = itertools.count(1)
        self._budgets: dict[str, RetryBudget] = {}
        self._splitter = TrafficSplitter(rng)
        self._calls = CallRoutes()
        self._retries = RetryScheduler(rng)
        # Requests by their standing.
        self.standings: Counter[str] = Counter()
        self._server = Server(
            self._handle,
            address.host,
            address.port,
            pacer,
            held_limit_bytes,
            request_limit_bytes,
        )
        self._pacer = pacer
        # Maximum timeout of requests seen on each route, in seconds.
        self._max_remaining_s: dict[str, float] = {}
        # Mean response size of each route, in bytes.
        self._sizes = RouteAverages(SMOOTHING)
        self._ends_at = float("inf")
        self.in_flight = 0
        # Requests refused because the limits of all upstreams were reached.
        self.refused_for_limit = 0
        # Requests refused because upstreams have crashed under them.
        self.refused_in_quarantine = 0
        state.on_document.append(self._apply_document)
        state.on_registry.append(self._apply_registry)
        peers.on_load = self._record_load
        peers.advertised_at = self._advertised_at

    @property
    def limited_count(self) -> int:
        """Return the number of upstreams known to have a limit."""
        return self._balancer.limited_count

    @property
    def idle(self) -> bool:
        """Return whether no request is being read and all responses are taken."""
        return not self.in_flight and self._server.idle

    @property
    def refused_bodies(self) -> int:
        """Return the number of requests refused since bodies took too much memory."""
        return self._server.refused_bodies

    @property
    def held_bytes(self) -> int:
        """Return the bytes of responses that callers have not taken yet."""
        return self._server.held_bytes

    @property
    def stalled_callers(self) -> int:
        """Return how many connections were closed since their callers did not read."""
        return self._server.stalled

    @property
    def call_routes(self) -> list[str]:
        """Return the routes by which the upstream of this instance makes calls."""
        return self._calls.names

    @property
    def cold_count(self) -> int:
        """Return the number of cold upstreams whose rate is bounded."""
        return self._balancer.cold_count

    async def start(self) -> None:
        """Start to accept connections."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server."""
        await self._server.stop()

    def drain(self, ends_at: float) -> None:
        """Ask callers to close their connections and refuse requests that end too late.

        :param ends_at: loop time after which no response can be sent; a request with a
            later deadline is refused.
        """
        self._server.draining = True
        self._ends_at = ends_at

    def close(self) -> None:
        """Close the port and read no more requests; running requests continue."""
        self._server.close()

    def _apply_document(self, document: Document) -> None:
        self._balancer.set_services(document.services.values())
        self._apply_limits(document.limits)

    def _apply_registry(self, change: RegistryChange) -> None:
        now = asyncio.get_running_loop().time()
        self._balancer.forget(change.removed.keys())
        for item in change.upstreams:
            self._balancer.record_entry(item, now)

    def _apply_limits(self, limits: Limits) -> None:
        server_limits = self._server.limits
        server_limits.header_bytes = limits.header_bytes
        server_limits.body_bytes = limits.body_bytes
        server_limits.header_timeout_s = limits.header_timeout_s
        server_limits.idle_timeout_s = limits.idle_timeout_s

    def _record_load(self, host: str, load: Load) -> None:
        now = asyncio.get_running_loop().time()
        for item in self._state.upstreams_at(host):
            self._balancer.record_report(item, load, now)
        self._record_leaving(host, load)

    def _record_leaving(self, host: str, load: Load) -> None:
        """Record that an upstream is leaving if its owner reports so."""
        advertised = load.advertised
        if advertised is not None and advertised.leaving:
            self._state.mark_leaving(advertised.upstream, advertised.born_ms, host)

    def _advertised_at(self, host: str) -> list[Advertisement]:
        """Return what this node knows of the upstreams at a host."""
        state, now = self._state, asyncio.get_running_loop().time()
        found = []
        for item in state.upstreams_at(host):
            advertised = self._balancer.last_advertisement(item, now)
            leaving = state.is_leaving(item.id)
            if advertised is None and leaving:
                advertised = Advertisement(item.id, None, 0, True)
            if advertised is not None:
                born_ms = state.leaving_since(item.id)
                found.append(
                    msgspec.structs.replace(
                        advertised, leaving=leaving, born_ms=born_ms
                    )
                )
        return found

    async def _handle(self, exchange: Exchange) -> None:
        """Serve one request; an unexpected exception becomes an internal error."""
        self.in_flight += 1
        try:
            await self._serve(exchange)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._recorder.internal_error(exchange.request, error)
            if exchange.started:
                exchange.abort()
            else:
                exchange.respond(ERROR_RESPONSES[ErrorKind.INTERNAL].status, [])
        finally:
            self.in_flight -= 1

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        request_id = get_header(request.headers, REQUEST_ID_HEADER)
        document = self._state.document
        if document is None or not self._state.ready:
            self._reject(exchange, request_id, ErrorKind.NO_CONFIGURATION)
            return
        if not request.target.startswith("/"):
            self._reject(exchange, request_id, ErrorKind.BAD_REQUEST)
            return
        host = get_header(request.headers, "host").partition(":")[0].lower()
        route = document.match(host, request.path)
        if route is None:
            self._reject(exchange, request_id, ErrorKind.NO_ROUTE)
            return
        remaining_s = _caller_timeout_s(request, route.timeout_s)
        context = RequestContext(
            request,
            request_id,
            document,
            route,
            self._splitter.choose(route),
            request.arrived + min(remaining_s, route.timeout_s) - RESPONSE_MARGIN_S,
            request.arrived
            + route.objective_s
            - self._elapsed_before(route, remaining_s),
            request.arrived + remaining_s,
        )
        if context.deadline > self._ends_at:
            self._respond_error(
                exchange, request_id, ErrorKind.LEAVING, DEFAULT_RETRY_AFTER_S
            )
            self._recorder.request(
                context, 503, str(ErrorKind.LEAVING), Outcome.NOT_RUN, True
            )
            return
        now = asyncio.get_running_loop().time()
        self._calls.record(route.name, self._owner.running)
        if self._calls.includes(route.name):
            context.standing = Standing.CALL
            context.objective = call_objective(context.objective, context.deadline, now)
        else:
            context.standing = self._retries.standing(_caller_key(context), now)
        self.standings[context.standing.name.lower()] += 1
        self._budget(context.service).record_request(route.name, now)
        context.failure = self._quarantine_failure(context, now)
        if context.failure is not None:
            self._respond_failed(exchange, context)
            return
        await self._try_upstreams(exchange, context)

    def _quarantine_failure(
        self, context: RequestContext, now: float
    ) -> Failure | None:
        """Return the refusal if upstreams crash under a request.

        If a trial of it is due, the request becomes that trial.
        """
        kind = self._suspect_kind(context)
        if kind is None:
            return None
        verdict = self._quarantine.check(kind, now)
        if verdict.ruling is Ruling.TRIAL:
            self._quarantine.begin_trial(kind, now)
            context.trial = True
        if verdict.ruling is not Ruling.REFUSED:
            return None
        self.refused_in_quarantine += 1
        return Failure(
            ErrorKind.QUARANTINED,
            Outcome.NOT_RUN,
            "upstreams have crashed under this request",
            verdict.retry_after_s,
        )

    def _is_accused(self, context: RequestContext) -> bool:
        """Return whether a lost response of a request is likely due to a crash."""
        kind = self._suspect_kind(context)
        return kind is not None and self._quarantine.is_accused(kind)

    def _suspect_kind(self, context: RequestContext) -> RequestKind | None:
        """Return the kind of a request if it may crash upstreams, else ``None``."""
        if not self._quarantine.active:
            return None
        request = context.request
        return self._quarantine.find(
            self._service,
            request.method,
            request.target,
            end_to_end(request.headers),
            request.body,
        )

    def _elapsed_before(self, route: Route, remaining_s: float) -> float:
        """Return the time since the first attempt of a caller that retries, in seconds.

        A caller that retries after a refusal sends the rest of its timeout, which is
        less than the timeout of a first attempt.
        """
        max_remaining_s = max(remaining_s, self._max_remaining_s.get(route.name, 0.0))
        self._max_remaining_s[route.name] = max_remaining_s
        return (
            max_remaining_s - remaining_s
            if remaining_s < CALLER_RETRY_FRACTION * max_remaining_s
            else 0.0
        )

    async def _try_upstreams(self, exchange: Exchange, context: RequestContext) -> None:
        """Try upstreams until one responds or no further attempt is allowed."""
        loop = asyncio.get_running_loop()
        reply: Reply | None = None
        while True:
            upstream = self._pick(context, loop.time())
            if upstream is None:
                self._finish(exchange, context, reply)
                return
            reply = await self._attempt(exchange, context, upstream)
            if reply is None:
                return
            if not self._may_retry(context, reply):
                self._finish(exchange, context, reply)
                return

    def _pick(self, context: RequestContext, now: float) -> Upstream | None:
        """Return the upstream to try next, ``None`` if no time or upstream is left."""
        if context.deadline <= now:
            return None
        known = self._state.available_upstreams(context.service)

        def usable(item: Upstream) -> bool:
            return item.id not in context.tried and self._peers.reachable(
                item.address.host, now
            )

        def choose(upstreams: list[Upstream]) -> Upstream | None:
            return self._balancer.pick(
                upstreams,
                context.tried,
                context.route.objective_s,
                now,
                self._sizes.get(context.route.name, 0.0),
                context.route.priority,
                context.objective - now,
                context.deadline - now,
                context.route.name,
            )

        selected = self._aperture.select(context.service, known, usable)
        upstream = choose(selected or known)
        if upstream is None and len(selected) < len(known):
            # The limits of all selected upstreams are reached.
            selected = [item for item in known if usable(item)]
            upstream = choose(selected or known)
        if upstream is None and not context.tried:
            if known:
                context.failure = self._limit_failure(context, selected or known, now)
            else:
                context.failure = self._evacuation_failure(context.service)
        return upstream

    def _evacuation_failure(self, service: str) -> Failure | None:
        """Return the refusal if all upstreams of a service are in evacuated zones."""
        if not self._state.is_service_evacuated(service):
            return None
        return Failure(
            ErrorKind.EVACUATED,
            Outcome.NOT_RUN,
            "all upstreams of the service are in evacuated zones",
            EVACUATED_RETRY_AFTER_S,
        )

    def _limit_failure(
        self, context: RequestContext, upstreams: list[Upstream], now: float
    ) -> Failure | None:
        """Return the refusal if upstreams are left out because of their limits."""
        balancer = self._balancer
        delay = balancer.limit_delay(
            upstreams, now, context.route.priority, context.route.name
        )
        if delay is None:
            return None
        self.refused_for_limit += 1
        for item in upstreams[:MAX_LOGGED_LIMITS]:
            if advertised := balancer.last_advertisement(item, now):
                context.limits.append(
                    {
                        "upstream": item.id,
                        "limit_per_s": advertised.limit_per_s,
                        "limit_age_ms": advertised.age_ms,
                    }
                )
        return Failure(
            ErrorKind.OVERLOADED,
            Outcome.NOT_RUN,
            "the limits of all upstreams are reached",
            min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay)),
        )

    async def _attempt(
        self, exchange: Exchange, context: RequestContext, upstream: Upstream
    ) -> Reply | None:
        """Make one attempt; return ``None`` if its response went to the caller."""
        loop = asyncio.get_running_loop()
        balancer = self._balancer

        def on_load(load: Load) -> None:
            balancer.record_report(upstream, load, loop.time(), context.route.name)
            self._record_leaving(upstream.address.host, load)

        reply = Reply(on_load)
        attempt = self._new_attempt(context, upstream)
        record = {"key": attempt.key, "upstream": upstream.id}
        context.attempts.append(record)
        context.tried.append(upstream.id)
        started = loop.time()
        balancer.record_start(upstream, started)
        attempt_state: AttemptState | None = None
        local = upstream.address.host == self._address.host
        try:
            async with asyncio.timeout_at(context.deadline):
                if local:
                    attempt_state = self._owner.submit(attempt, reply)
                else:
                    await self._peers.send(attempt, reply)
                await reply.wait(MAX_BUFFERED_BYTES)
        except TimeoutError:
            self._cancel(attempt, attempt_state)
            reply.on_reply_failed(_deadline_failure(), None)
        except asyncio.CancelledError:
            self._cancel(attempt, attempt_state)
            record["outcome"] = str(Outcome.UNKNOWN)
            self._recorder.request(context, 0, "caller-gone", Outcome.UNKNOWN, False)
            raise
        finally:
            balancer.record_end(upstream, loop.time())
            record["ms"] = round((loop.time() - started) * 1000, 1)
        self._record_result(context, upstream, reply, record)
        if reply.finished:
            return reply
        await self._stream(exchange, context, reply, attempt, attempt_state)
        return None

    def _own_link_s(self, context: RequestContext, upstream: Upstream) -> float:
        """Return the time that a response of another instance spends on the own link.

        The responses that wait there now are sent while the request runs elsewhere.
        """
        size = self._sizes.get(context.route.name, 0.0)
        if upstream.address.host == self._address.host or not self._pacer.paces(size):
            return 0.0
        return self._pacer.transfer_s(size)

    def _new_attempt(self, context: RequestContext, upstream: Upstream) -> Attempt:
        request, route = context.request, context.route
        return Attempt(
            key=f"{self._key_prefix}-{next(self._sequence)}",
            request_id=context.request_id,
            upstream=upstream.id,
            host=upstream.address.host,
            deadline=context.deadline - OWNER_MARGIN_S,
            objective=context.objective - self._own_link_s(context, upstream),
            priority=route.priority,
            idempotent=route.idempotent,
            route=route.name,
            version=context.document.version,
            caller=self._service,
            method=request.method,
            target=request.target,
            headers=end_to_end(request.headers),
            body=request.body,
            trial=context.trial,
            standing=context.standing,
        )

    def _cancel(self, attempt: Attempt, attempt_state: AttemptState | None) -> None:
        if attempt_state is not None:
            self._owner.cancel(attempt_state)
        else:
            self._peers.cancel(attempt)

    def _record_result(
        self, context: RequestContext, upstream: Upstream, reply: Reply, record: dict
    ) -> None:
        """Record the result of an attempt for the request and for load balancing."""
        now = asyncio.get_running_loop().time()
        failure = reply.failure
        if failure is None:
            context.arrivals += 1
            context.response = reply
            self._sizes.update(context.route.name, float(reply.size))
            record["outcome"], record["status"] = str(Outcome.RAN), reply.status
            if reply.status >= SERVER_ERROR:
                self._balancer.record_failure(upstream, now)
            return
        record["outcome"], record["kind"] = str(failure.outcome), str(failure.kind)
        record["detail"] = failure.detail
        context.failure = failure
        context.arrivals += failure.sent
        context.refusals += not failure.sent
        context.outdated += not failure.sent and failure.kind in _OUTDATED_KINDS
        context.maybe_ran |= failure.outcome is not Outcome.NOT_RUN
        if failure.kind not in _OVERLOAD_KINDS:
            ejection_s = EJECTION_S if failure.kind in _EJECTING_KINDS else 0.0
            self._balancer.record_failure(upstream, now, ejection_s)

    def _may_retry(self, context: RequestContext, reply: Reply) -> bool:
        """Return whether another attempt risks neither a duplicate nor an overload."""
        now = asyncio.get_running_loop().time()
        failure, route = reply.failure, context.route
        if context.deadline <= now:
            return False
        if failure is not None and failure.kind is ErrorKind.QUARANTINED:
            return False
        if failure is None:
            if reply.status < SERVER_ERROR or not route.idempotent:
                return False
        elif failure.outcome is not Outcome.NOT_RUN and not route.idempotent:
            return False
        elif not failure.sent:
            return (
                context.refusals - context.outdated <= MAX_REFUSALS
                and context.refusals <= MAX_REFUSALS_OUTDATED
            )
        if context.arrivals >= route.max_attempts:
            return False
        lost = failure is not None and failure.outcome is not Outcome.NOT_RUN
        if lost and self._is_accused(context):
            return False
        upstream = self._pick(context, now)
        if upstream is None:
            return False
        delay, service_s = self._balancer.estimate(
            upstream, now, priority=route.priority, route=route.name
        )
        if context.deadline - now < delay + MIN_TIME_FRACTION * service_s:
            return False
        cost = 1 if failure is not None else SERVER_ERROR_RETRY_COST
        return self._budget(context.service).try_take(route.name, now, cost)

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            bounds = self._bounds
            self._budgets[service] = RetryBudget(
                bounds.retry_budget_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                self._node_count,
            )
        return self._budgets[service]

    def _finish(
        self, exchange: Exchange, context: RequestContext, reply: Reply | None
    ) -> None:
        """Send the upstream's response, or an error response if there is none."""
        if reply is None or reply.failure is not None:
            reply = context.response
        if reply is None:
            self._respond_failed(exchange, context)
            return
        exchange.respond(reply.status, reply.headers, reply.read())
        now = asyncio.get_running_loop().time()
        self._retries.record_served(context.service, now)
        self._recorder.request(context, reply.status, "", Outcome.RAN, True)

    def _respond_failed(self, exchange: Exchange, context: RequestContext) -> None:
        """Send the error response for a request whose attempts have all failed."""
        failure = context.failure
        if context.maybe_ran:
            kind = failure.kind
            if ERROR_RESPONSES[kind].outcome is Outcome.NOT_RUN:
                kind = ErrorKind.UPSTREAM_LOST
            self._respond_error(exchange, context.request_id, kind, 0.0)
            outcome = Outcome.UNKNOWN
        else:
            kind = failure.kind if failure else ErrorKind.NO_UPSTREAM
            retry_after_s = self._retry_after(context, failure)
            self._respond_error(exchange, context.request_id, kind, retry_after_s)
            outcome = Outcome.NOT_RUN
        status = ERROR_RESPONSES[kind].status
        self._recorder.request(context, status, str(kind), outcome, True)

    def _retry_after(self, context: RequestContext, failure: Failure | None) -> float:
        """Return when the caller of a refused request may return, in seconds."""
        wait_s = failure.retry_after_s if failure else 0.0
        wait_s = wait_s or DEFAULT_RETRY_AFTER_S
        if failure is None or failure.kind is ErrorKind.QUARANTINED:
            return wait_s
        return self._retries.schedule(
            _caller_key(context),
            context.service,
            wait_s,
            asyncio.get_running_loop().time(),
            loaded=failure.kind in _OVERLOAD_KINDS,
        )

    def _respond_error(
        self, exchange: Exchange, request_id: str, kind: ErrorKind, retry_after_s: float
    ) -> None:
        headers = [(REQUEST_ID_HEADER, request_id)] if request_id else []
        if retry_after_s:
            headers.append(("Retry-After", f"{retry_after_s:.3f}"))
        exchange.respond(ERROR_RESPONSES[kind].status, headers)

    def _reject(self, exchange: Exchange, request_id: str, kind: ErrorKind) -> None:
        """Send the error response for a request that fails before a route is chosen."""
        retry_after_s = (
            DEFAULT_RETRY_AFTER_S if kind is ErrorKind.NO_CONFIGURATION else 0.0
        )
        self._respond_error(exchange, request_id, kind, retry_after_s)
        self._recorder.rejected(exchange.request, request_id, kind, self._state.version)

    async def _stream(
        self,
        exchange: Exchange,
        context: RequestContext,
        reply: Reply,
        attempt: Attempt,
        attempt_state: AttemptState | None,
    ) -> None:
        """Stream a long response to the caller."""
        exchange.start(reply.status, reply.headers, reply.length)
        try:
            async with asyncio.timeout_at(context.deadline + STREAM_MARGIN_S):
                while True:
                    data = reply.read()
                    exchange.write(data)
                    if reply.finished:
                        break
                    await exchange.drain()
                    if attempt_state is not None:
                        reply.window.take(len(data))
                    else:
                        self._peers.report_taken(attempt, len(data))
                    await reply.wait(reply.size + 1)
        except TimeoutError:
            self._cancel(attempt, attempt_state)
            reply.on_reply_failed(_deadline_failure(), None)
        except asyncio.CancelledError:
            self._cancel(attempt, attempt_state)
            raise
        if reply.failure is not None:
            exchange.abort()
        else:
            exchange.finish()
        error = str(reply.failure.kind) if reply.failure else ""
        complete = reply.failure is None
        self._recorder.request(context, reply.status, error, Outcome.RAN, complete)


def _deadline_failure() -> Failure:
    detail = "deadline passed before the reply was complete"
    return Failure(ErrorKind.DEADLINE, Outcome.UNKNOWN, detail, sent=True)


def _caller_key(context: RequestContext) -> CallerKey:
    """Return what identifies the caller of a request when it repeats it."""
    request = context.request
    content = hash((request.method, request.target))
    return CallerKey(content, context.caller_deadline)


def _caller_timeout_s(request: Request, default: float) -> float:
    """Return the caller's timeout in seconds, ``default`` if it sends no valid one."""
    text = get_header(request.headers, DEADLINE_HEADER)
    try:
        seconds = float(text) / 1000
    except ValueError:
        return default
    if math.isnan(seconds):
        return default
    return min(MAX_CALLER_TIMEOUT_S, max(0.0, seconds))
