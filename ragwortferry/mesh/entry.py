"""The entry side: takes the requests of an instance and finds an upstream for each."""

__all__ = ["Entry"]

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from ragwortferry.exceptions import ERROR_RESPONSES, ErrorKind, Outcome
from ragwortferry.http1.messages import Request, end_to_end, get_header
from ragwortferry.http1.server import Exchange, Server
from ragwortferry.mesh.attempt import Attempt, Failure, Reply
from ragwortferry.mesh.averages import RouteAverages
from ragwortferry.mesh.budget import RetryBudget
from ragwortferry.mesh.frames import Load
from ragwortferry.mesh.knowledge import Knowledge
from ragwortferry.mesh.model import Document, Limits, Route, Upstream
from ragwortferry.mesh.owner import Owner, Run
from ragwortferry.mesh.peers import Peers
from ragwortferry.mesh.placing import Placer
from ragwortferry.mesh.recording import Recorder
from ragwortferry.mesh.splits import Splits
from ragwortferry.platform.names import DEADLINE_HEADER, REQUEST_ID_HEADER
from ragwortferry.platform.settings import Bounds
from ragwortferry.utils.egress import EgressPacer
from ragwortferry.utils.sockets import Address

# Bytes of an answer up to which it is held until it is whole, so that an answer that
# breaks off can still be replaced by that of another upstream.
HOLD_BYTES = 2**20
# Refusals by owners after which a request is not offered to further ones.
MAX_MOVES = 3
# Time that the node keeps for its own answer before the deadline, in seconds.
ANSWER_MARGIN_S = 0.005
# Time before that at which an owner must have answered or refused, in seconds.
OWNER_MARGIN_S = 0.01
# Share of the longest time that callers of a route wait below which a request is taken
# for one that was refused before and has come back.
RETURNED_SHARE = 0.9
# Weight of the newest answer in the moving average of a route's answer sizes.
SMOOTHING = 0.05
# Seconds that a caller is told to stay away if nothing better is known.
RETRY_AFTER_S = 0.1
# Shortest time in which another attempt can succeed, as a share of the usual one.
LEAST_SHARE = 0.8
# Seconds for which an upstream is avoided after its owner could not be reached.
BAR_S = 1.0
SERVER_ERROR = 500
# Repeats that another try after an error of the upstream costs: its calls may have
# failed, and would fail again.
ERROR_COST = 3
HIGHEST_DEADLINE_S = 3600.0

# Failures that say nothing against the upstream's instance.
_FREE = (ErrorKind.OVERLOADED, ErrorKind.EXPIRED)


@dataclass(slots=True, eq=False)
class Course:
    """The course of one request.

    :param service: destination that was chosen among the route's.
    :param deadline: loop time of the final answer.
    :param objective: loop time until which an answer is worth most.
    :param tried: ids of upstreams that were tried.
    :param attempts: what the record says of each try.
    :param unsure: whether a try may have run without an answer.
    :param failure: why the last try failed.
    :param offered: arrivals at upstreams so far.
    :param moves: refusals by owners so far.
    :param answer: the last answer of an upstream; it has run the request, so nothing
        that says the contrary may follow.
    """

    request: Request
    request_id: str
    document: Document
    route: Route
    service: str
    deadline: float
    objective: float
    tried: list[str] = field(default_factory=list)
    attempts: list[dict] = field(default_factory=list)
    offered: int = 0
    moves: int = 0
    unsure: bool = False
    failure: Failure | None = None
    answer: Reply | None = None


class Entry:
    """Serves the callers of this instance.

    :param service: service of the instance, told to upstreams as the caller's.
    :param prefix: first part of the key of each attempt.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        placer: Placer,
        owner: Owner,
        peers: Peers,
        outflow: EgressPacer,
        recorder: Recorder,
        address: Address,
        service: str,
        prefix: str,
        bounds: Bounds,
        rng: random.Random,
        nodes,
    ):
        self._knowledge = knowledge
        self._placer = placer
        self._owner = owner
        self._peers = peers
        self._recorder = recorder
        self._address = address
        self._service = service
        self._prefix = prefix
        self._bounds = bounds
        self._nodes = nodes
        self._numbers = itertools.count(1)
        self._budgets: dict[str, RetryBudget] = {}
        self._splits = Splits(rng)
        self._server = Server(self._handle, address.host, address.port, outflow)
        # Longest time that callers of a route wait, and mean size of its answers.
        self._longest: dict[str, float] = {}
        self._sizes = RouteAverages(SMOOTHING)
        self._ends_at = float("inf")
        self.in_flight = 0
        knowledge.on_document.append(lambda document: self._limit(document.limits))
        knowledge.on_registry.append(
            lambda change: placer.forget(change.removed.keys())
        )
        peers.on_load = self._loaded

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the port and the connections."""
        await self._server.stop()

    def leave(self, ends_at: float) -> None:
        """Ask callers to open no more requests on their connections.

        :param ends_at: loop time after which no answer can be given; a request that may
            last longer is refused.
        """
        self._server.draining = True
        self._ends_at = ends_at

    def shut(self) -> None:
        """Read no more requests; those that were read are answered."""
        self._server.close()

    def _limit(self, limits: Limits) -> None:
        own = self._server.limits
        own.header_bytes = limits.header_bytes
        own.body_bytes = limits.body_bytes
        own.header_timeout_s = limits.header_timeout_s
        own.idle_timeout_s = limits.idle_timeout_s

    def _loaded(self, host: str, load: Load) -> None:
        now = asyncio.get_running_loop().time()
        for item in self._knowledge.upstreams.values():
            if item.address.host == host:
                self._placer.reported(item, load, now)

    async def _handle(self, exchange: Exchange) -> None:
        """Answer one request, whatever happens."""
        self.in_flight += 1
        try:
            await self._serve(exchange)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._recorder.broken(exchange.request, error)
            if exchange.started:
                exchange.abort()
            else:
                exchange.respond(ERROR_RESPONSES[ErrorKind.INTERNAL].status, [])
        finally:
            self.in_flight -= 1

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        request_id = get_header(request.headers, REQUEST_ID_HEADER)
        document = self._knowledge.document
        if document is None or not self._knowledge.ready:
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
        left = _deadline_s(request, route.timeout_s)
        course = Course(
            request,
            request_id,
            document,
            route,
            self._splits.choose(route),
            request.arrived + min(left, route.timeout_s) - ANSWER_MARGIN_S,
            request.arrived + route.objective_s - self._waited(route, left),
        )
        if course.deadline > self._ends_at:
            self._refuse(exchange, request_id, ErrorKind.LEAVING, RETRY_AFTER_S)
            self._recorder.request(
                course, 503, str(ErrorKind.LEAVING), Outcome.NOT_RUN, True
            )
            return
        now = asyncio.get_running_loop().time()
        self._budget(course.service).note_request(route.name, now)
        await self._run(exchange, course)

    def _waited(self, route: Route, left: float) -> float:
        """Return how long ago a caller that has come back sent its request first.

        It has less time left than callers of the route have at first.
        """
        longest = max(left, self._longest.get(route.name, 0.0))
        self._longest[route.name] = longest
        return longest - left if left < RETURNED_SHARE * longest else 0.0

    async def _run(self, exchange: Exchange, course: Course) -> None:
        """Try upstreams until one answers or no further try is allowed."""
        loop = asyncio.get_running_loop()
        reply: Reply | None = None
        while True:
            upstream = self._pick(course, loop.time())
            if upstream is None:
                self._finish(exchange, course, reply)
                return
            reply = await self._attempt(exchange, course, upstream)
            if reply is None:
                return
            if not self._may_go_on(course, reply):
                self._finish(exchange, course, reply)
                return

    def _pick(self, course: Course, now: float) -> Upstream | None:
        if course.deadline <= now:
            return None
        known = self._knowledge.of_service(course.service)
        reachable = [
            item
            for item in known
            if item.id not in course.tried
            and self._peers.reachable(item.address.host, now)
        ]
        return self._placer.pick(
            reachable or known,
            course.tried,
            course.route.objective_s,
            now,
            self._sizes.of(course.route.name, 0.0),
            course.route.priority,
        )

    async def _attempt(
        self, exchange: Exchange, course: Course, upstream: Upstream
    ) -> Reply | None:
        """Make one try; ``None`` if its answer was passed on as it came."""
        loop = asyncio.get_running_loop()
        placer = self._placer
        reply = Reply(lambda load: placer.reported(upstream, load, loop.time()))
        attempt = self._new_attempt(course, upstream)
        note = {"key": attempt.key, "upstream": upstream.id}
        course.attempts.append(note)
        course.tried.append(upstream.id)
        started = loop.time()
        placer.sent(upstream, started)
        run: Run | None = None
        local = upstream.address.host == self._address.host
        try:
            async with asyncio.timeout_at(course.deadline):
                if local:
                    run = self._owner.submit(attempt, reply)
                else:
                    await self._peers.send(attempt, reply)
                await reply.wait(HOLD_BYTES)
        except TimeoutError:
            self._withdraw(attempt, run)
            failure = Failure(ErrorKind.DEADLINE, Outcome.UNKNOWN, "too late", 0, True)
            reply.on_reply_failed(failure, None)
        except asyncio.CancelledError:
            self._withdraw(attempt, run)
            note["outcome"] = str(Outcome.UNKNOWN)
            self._recorder.request(course, 0, "caller-gone", Outcome.UNKNOWN, False)
            raise
        finally:
            placer.ended(upstream, loop.time())
            note["ms"] = round((loop.time() - started) * 1000, 1)
        self._judge(course, upstream, reply, note)
        if reply.settled:
            return reply
        await self._stream(exchange, course, reply, attempt, run)
        return None

    def _new_attempt(self, course: Course, upstream: Upstream) -> Attempt:
        request, route = course.request, course.route
        return Attempt(
            key=f"{self._prefix}-{next(self._numbers)}",
            request_id=course.request_id,
            upstream=upstream.id,
            host=upstream.address.host,
            deadline=course.deadline - OWNER_MARGIN_S,
            objective=course.objective,
            priority=route.priority,
            repeatable=route.repeatable,
            route=route.name,
            version=course.document.version,
            caller=self._service,
            method=request.method,
            target=request.target,
            headers=end_to_end(request.headers),
            body=request.body,
        )

    def _withdraw(self, attempt: Attempt, run: Run | None) -> None:
        if run is not None:
            self._owner.cancel(run)
        else:
            self._peers.cancel(attempt)

    def _judge(
        self, course: Course, upstream: Upstream, reply: Reply, note: dict
    ) -> None:
        """Note what an attempt says about the request and about the upstream."""
        now = asyncio.get_running_loop().time()
        failure = reply.failure
        if failure is None:
            course.offered += 1
            course.answer = reply
            self._sizes.note(course.route.name, float(reply.size))
            note["outcome"], note["status"] = str(Outcome.RAN), reply.status
            if reply.status >= SERVER_ERROR:
                self._placer.failed(upstream, now)
            return
        note["outcome"], note["kind"] = str(failure.outcome), str(failure.kind)
        note["detail"] = failure.detail
        course.failure = failure
        course.offered += failure.offered
        course.moves += not failure.offered
        course.unsure |= failure.outcome is not Outcome.NOT_RUN
        if failure.kind not in _FREE:
            unreachable = failure.kind in (ErrorKind.CONNECT_FAILED, ErrorKind.LEAVING)
            self._placer.failed(upstream, now, BAR_S if unreachable else 0.0)

    def _may_go_on(self, course: Course, reply: Reply) -> bool:
        """Return whether another try can neither double the request nor the load."""
        now = asyncio.get_running_loop().time()
        failure, route = reply.failure, course.route
        if course.deadline <= now:
            return False
        if failure is None:
            if reply.status < SERVER_ERROR or not route.repeatable:
                return False
        elif failure.outcome is not Outcome.NOT_RUN and not route.repeatable:
            return False
        elif not failure.offered:
            return course.moves <= MAX_MOVES
        if course.offered >= route.max_attempts:
            return False
        upstream = self._pick(course, now)
        if upstream is None:
            return False
        wait, service = self._placer.expected(upstream, now, priority=route.priority)
        if course.deadline - now < wait + LEAST_SHARE * service:
            return False
        cost = 1 if failure is not None else ERROR_COST
        return self._budget(course.service).take(route.name, now, cost)

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            bounds = self._bounds
            self._budgets[service] = RetryBudget(
                bounds.retry_budget_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                self._nodes,
            )
        return self._budgets[service]

    def _finish(self, exchange: Exchange, course: Course, reply: Reply | None) -> None:
        """Pass the upstream's answer on, or answer for it."""
        if reply is None or reply.failure is not None:
            reply = course.answer
        if reply is None:
            self._give_up(exchange, course)
            return
        exchange.respond(reply.status, reply.headers, reply.take())
        self._recorder.request(course, reply.status, "", Outcome.RAN, True)

    def _give_up(self, exchange: Exchange, course: Course) -> None:
        """Give the node's own final answer."""
        failure = course.failure
        if course.unsure:
            kind = failure.kind
            if ERROR_RESPONSES[kind].outcome is Outcome.NOT_RUN:
                kind = ErrorKind.UPSTREAM_LOST
            self._refuse(exchange, course.request_id, kind, 0.0)
            outcome = Outcome.UNKNOWN
        else:
            kind = failure.kind if failure else ErrorKind.NO_UPSTREAM
            after = failure.retry_after_s if failure else 0.0
            self._refuse(exchange, course.request_id, kind, after or RETRY_AFTER_S)
            outcome = Outcome.NOT_RUN
        status = ERROR_RESPONSES[kind].status
        self._recorder.request(course, status, str(kind), outcome, True)

    def _refuse(
        self, exchange: Exchange, request_id: str, kind: ErrorKind, after_s: float
    ) -> None:
        headers = [(REQUEST_ID_HEADER, request_id)] if request_id else []
        if after_s:
            headers.append(("Retry-After", f"{after_s:.3f}"))
        exchange.respond(ERROR_RESPONSES[kind].status, headers)

    def _reject(self, exchange: Exchange, request_id: str, kind: ErrorKind) -> None:
        """Answer a request that no route governs."""
        after = RETRY_AFTER_S if kind is ErrorKind.NO_CONFIGURATION else 0.0
        self._refuse(exchange, request_id, kind, after)
        self._recorder.rejected(
            exchange.request, request_id, kind, self._knowledge.version
        )

    async def _stream(
        self,
        exchange: Exchange,
        course: Course,
        reply: Reply,
        attempt: Attempt,
        run: Run | None,
    ) -> None:
        """Pass a long answer on as it comes."""
        exchange.start(reply.status, reply.headers, reply.length)
        try:
            while True:
                exchange.write(reply.take())
                if reply.settled:
                    break
                await exchange.drain()
                await reply.wait(reply.size + 1)
        except asyncio.CancelledError:
            self._withdraw(attempt, run)
            raise
        if reply.failure is not None:
            exchange.abort()
        else:
            exchange.finish()
        error = str(reply.failure.kind) if reply.failure else ""
        whole = reply.failure is None
        self._recorder.request(course, reply.status, error, Outcome.RAN, whole)


def _deadline_s(request: Request, default: float) -> float:
    """Return the seconds that the caller waits."""
    text = get_header(request.headers, DEADLINE_HEADER)
    try:
        return min(HIGHEST_DEADLINE_S, max(0.0, float(text) / 1000))
    except ValueError:
        return default
