"""The owner side of a node: the only client of the instance's upstream."""

__all__ = ["Owner"]

import asyncio
from collections.abc import Callable, Iterable

from ragwortferry.exceptions import ErrorKind
from ragwortferry.http1.client import (
    ClientConnection,
    ConnectionBrokenError,
    Pool,
    ResponseHead,
)
from ragwortferry.http1.messages import encode_request, end_to_end, get_header
from ragwortferry.logs import Log
from ragwortferry.mesh.admission.advertised import AdvertisedState
from ragwortferry.mesh.admission.forecast import EgressForecast
from ragwortferry.mesh.admission.queue import SMOOTHING, AdmissionQueue, Job, Refusal
from ragwortferry.mesh.admission.warmup_monitor import WarmUpMonitor
from ragwortferry.mesh.attempt import Attempt, Failure, ReplySink
from ragwortferry.mesh.averages import RouteAverages
from ragwortferry.mesh.evidence import EvidenceExchange
from ragwortferry.mesh.guard import CrashGuard
from ragwortferry.mesh.links.frames import MAX_SAMPLES, Advertisement, Load, Warmup
from ragwortferry.mesh.quarantine import Quarantine
from ragwortferry.mesh.recording import Recorder
from ragwortferry.mesh.response import (
    MISDIRECTED,
    AttemptState,
    UpstreamResponse,
    not_run,
    unknown,
)
from ragwortferry.mesh.revisions import store_revision
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.platform.advertised import decode_advertised
from ragwortferry.platform.names import (
    CALLER_SERVICE_HEADER,
    DEADLINE_HEADER,
    INSTANCE_ID_HEADER,
    TARGET_HEADER,
)
from ragwortferry.utils.egress import EgressPacer
from ragwortferry.utils.sockets import Address

# Slots assumed until the registry lists the upstream: the smallest usual number.
INITIAL_SLOTS = 8
# Idle time after which a connection is not used for a request that is not idempotent:
# the upstream may be about to close it.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
# The same for idempotent requests.
MAX_IDLE_S = 3.0
# The same for requests that need a new connection.
NO_IDLE_CONNECTION = -1.0
# Time to wait for a response after its deadline: at the deadline the upstream itself
# responds with a timeout.
RESPONSE_MARGIN_S = 0.05
# Interval of the check of queued requests; far below any latency objective.
EXPIRY_INTERVAL_S = 0.02
# Time for which attempts are refused after a connection to the upstream has failed.
CONNECT_BACKOFF_S = 0.2
# Retry-After time of these refusals.
CONNECT_RETRY_AFTER_S = 0.3
# Retry-After time of the refusal of attempts in an evacuated zone.
EVACUATED_RETRY_AFTER_S = 0.1
# The same until this node knows whether its upstream is cold.
STARTING_RETRY_AFTER_S = 0.2
# Time for which attempts at an upstream are refused after another one has answered at
# its address. The registry lists the former for some seconds.
MISDIRECTED_S = 1.0


class Owner:
    """Queues, runs and refuses the attempts at the upstream of this instance.

    :param target: address of the upstream, ``None`` if there is none.
    :param own_host: IP address of this instance.
    :param quarantine: decides which requests are refused because they crash upstreams.
    :param evidence: spreads which requests were at work in a crash.
    :param bounds_cold: whether the settings bound the requests to cold upstreams.
    """

    def __init__(
        self,
        state: MeshState,
        pacer: EgressPacer,
        target: Address | None,
        own_host: str,
        quarantine: Quarantine,
        evidence: EvidenceExchange,
        recorder: Recorder,
        log: Log,
        bounds_cold: bool = False,
    ):
        self._state = state
        self._pacer = pacer
        self._forecast = EgressForecast(pacer)
        self._target = target
        self._own_host = own_host
        self._recorder = recorder
        self._pool = Pool(target, own_host) if target else None
        self._guard: CrashGuard | None = None
        self._warmup: WarmUpMonitor | None = None
        if self._pool:
            self._guard = CrashGuard(
                quarantine, evidence, state, self._pool, self._on_crash, log
            )
            self._warmup = WarmUpMonitor(
                state, self._pool, own_host, bounds_cold, self._on_warmup, log
            )
        self._admission = AdmissionQueue(INITIAL_SLOTS, self._on_expired)
        self._attempts: dict[int, AttemptState] = {}
        # Mean response size of each route, in bytes.
        self._sizes = RouteAverages(SMOOTHING)
        self._advertised = AdvertisedState(log)
        self._unreachable_until = 0.0
        # Id of the upstream last found to be replaced at its address, and the end of
        # the time for which attempts at it are refused.
        self._misdirected_until: dict[str, float] = {}
        self._failure_ratio = 0.0
        self._expiry_timer: asyncio.TimerHandle | None = None
        # Returns the number of nodes that send requests to the upstream; set by Node.
        self.count_sharers: Callable[[], int] = lambda: 1
        # Called when a limit begins or ends, or the upstream leaves; set by Node.
        self.on_news: Callable[[], None] = lambda: None
        # Start time of the upstream listed last at this instance, by its id.
        self._born_ms: dict[str, int] = {}
        state.on_registry.append(self._on_registry)
        state.evacuations.on_change.append(self._on_evacuation)
        # Loop time after which no response can be sent, once the node shuts down.
        self._ends_at = float("inf")
        self.refused = 0
        # The refusals among them while the upstream names a limit.
        self.refused_for_limit = 0
        # The refusals because the zone of the upstream is evacuated.
        self.refused_evacuated = 0
        self.ran = 0

    @property
    def connections_opened(self) -> int:
        """Return the number of connections opened to the upstream so far."""
        return self._pool.connections_opened if self._pool else 0

    @property
    def limit_per_s(self) -> float | None:
        """Return the limit that the upstream advertises, ``None`` if there is none."""
        return self._advertised.limit_per_s

    @property
    def held_for_limit(self) -> int:
        """Return the number of attempts that wait for the upstream's limit."""
        return self._admission.held

    @property
    def warmup_rate_per_s(self) -> float | None:
        """Return the rate that a cold upstream tolerates, ``None`` if it is warm."""
        return self._warmup.rate_per_s if self._warmup else None

    @property
    def health_checks(self) -> int:
        """Return the number of health checks of the upstream."""
        return self._warmup.health_checks if self._warmup else 0

    @property
    def _rate_per_s(self) -> float | None:
        """Return the highest rate at which requests may be sent, ``None`` if any."""
        rates = [self.limit_per_s, self.warmup_rate_per_s]
        return min((rate for rate in rates if rate is not None), default=None)

    @property
    def crashes(self) -> int:
        """Return how often the upstream was found to have crashed."""
        return self._guard.crashes if self._guard else 0

    @property
    def refused_in_quarantine(self) -> int:
        """Return the number of attempts refused because they crash upstreams."""
        return self._guard.refused if self._guard else 0

    @property
    def running(self) -> int:
        """Return the number of requests that the upstream is processing."""
        return self._admission.running

    @property
    def idle(self) -> bool:
        """Return whether no attempt is queued or running."""
        return not self._attempts

    def load(self, route: str = "") -> Load:
        """Return the load report about the upstream for other nodes.

        :param route: route of the request that the report answers, if it does.
        """
        admission = self._admission
        now = asyncio.get_running_loop().time()
        accepting = (
            self._target is not None
            and self._ends_at == float("inf")
            and now >= self._unreachable_until
            and not self._evacuated
        )
        delays = admission.queueing_delays(now)
        service_ms = round(admission.service_s * 1000, 1)
        return Load(
            admission.running,
            admission.queued,
            admission.slots,
            service_ms,
            accepting,
            round(self._failure_ratio, 3),
            {priority: round(delay * 1000, 1) for priority, delay in delays.items()},
            self._pacer.mbps,
            round(self._forecast.backlog_s * 1000, 1),
            self._advertisement(now),
            min(MAX_SAMPLES, admission.service_samples),
            self._warmup_report(now),
            round(admission.route_service_s(route) * 1000, 1),
        )

    def _load_for(self, attempt_state: AttemptState) -> Load:
        """Return the load report that goes with the reply to an attempt."""
        return self.load(attempt_state.attempt.route)

    @property
    def _evacuated(self) -> bool:
        """Return whether the zone of the upstream is evacuated."""
        zones = self._state.evacuations
        return any(
            zones.includes(item.zone)
            for item in self._state.upstreams_at(self._own_host)
        )

    def _warmup_report(self, now: float) -> Warmup | None:
        """Return what other nodes need to know of a cold upstream."""
        rate_per_s = self.warmup_rate_per_s
        if rate_per_s is None:
            return None
        remaining_ms = round(self._warmup.remaining(now) * 1000)
        return Warmup(remaining_ms, rate_per_s, self.count_sharers())

    def _advertisement(self, now: float) -> Advertisement | None:
        """Return what the upstream states about itself, ``None`` if nothing."""
        state, upstream = self._state, self._advertised.upstream
        limit_per_s, leaving = self.limit_per_s, state.is_leaving(upstream)
        if limit_per_s is None and not leaving:
            return None
        age_s = now - self._advertised.named_at if limit_per_s is not None else 0.0
        return Advertisement(
            upstream,
            limit_per_s,
            round(age_s * 1000),
            leaving,
            state.leaving_since(upstream),
            self.count_sharers(),
        )

    async def start(self) -> None:
        """Do nothing: connections are opened for the first attempts."""

    async def stop(self) -> None:
        """Cancel the running attempts and close the connections to the upstream."""
        if self._expiry_timer:
            self._expiry_timer.cancel()
        for attempt_state in list(self._attempts.values()):
            if attempt_state.task:
                attempt_state.task.cancel()
        if self._guard:
            self._guard.stop()
            self._warmup.stop()
        if self._pool:
            self._pool.clear()

    def drain(self, ends_at: float) -> None:
        """Report that no requests are accepted, and refuse those that end too late.

        :param ends_at: loop time after which no response can be sent; an attempt with a
            later deadline is refused.
        """
        self._ends_at = ends_at

    def submit(self, attempt: Attempt, sink: ReplySink) -> AttemptState | None:
        """Queue an attempt and return its state, ``None`` if it is refused.

        :param sink: receives the reply, also that to a refused attempt.
        """
        now = asyncio.get_running_loop().time()
        size = self._sizes.get(attempt.route, 0.0)
        transfer_s = self._forecast.transfer_s(size)
        job = Job(
            attempt.route,
            attempt.priority,
            attempt.objective - transfer_s,
            attempt.deadline - transfer_s,
            idempotent=attempt.idempotent,
            standing=attempt.standing,
            link_backlog_s=self._forecast.backlog_s if transfer_s else 0.0,
        )
        attempt_state = AttemptState(attempt, sink, job, now)
        job.payload = attempt_state
        failure = self._rejection(attempt, now) or self._quarantine(attempt_state, now)
        if failure is None:
            self._set_slots(attempt)
            refusal = self._admission.admit(job, now)
            if refusal is None:
                self._attempts[id(attempt_state)] = attempt_state
                self._forecast.admit(id(attempt_state), size)
                self._start_next()
                return attempt_state
            failure = self._failure_of(refusal)
        self._refuse(attempt_state, failure)
        return None

    def adopt_advertised(
        self, advertised: Iterable[Advertisement], origin: str
    ) -> None:
        """Take over what another node knows about the upstream of this instance.

        :param origin: IP address of the other node.
        """
        now = asyncio.get_running_loop().time()
        for item in advertised:
            if self._advertised.adopt(item, now):
                self._admission.limit_rate(self._rate_per_s, now)
            if item.leaving:
                self._state.mark_leaving(item.upstream, item.born_ms, origin)
        self._hand_back()

    def cancel(self, attempt_state: AttemptState) -> None:
        """Withdraw an attempt.

        A running attempt that was sent to the upstream is cancelled only if it is
        idempotent.
        """
        attempt_state.cancelled = True
        if self._admission.cancel(attempt_state.job):
            self._forget(attempt_state)
        elif attempt_state.task is not None and (
            attempt_state.attempt.idempotent or not attempt_state.sent
        ):
            attempt_state.task.cancel()

    def _forget(self, attempt_state: AttemptState) -> None:
        """Drop an attempt that has ended or was withdrawn."""
        self._attempts.pop(id(attempt_state), None)
        self._forecast.end(id(attempt_state))

    def _rejection(self, attempt: Attempt, now: float) -> Failure | None:
        """Return why the attempt cannot be queued, ``None`` if it can."""
        if self._target is None:
            return not_run(ErrorKind.NOT_OWNER, "no upstream on this instance")
        if attempt.deadline > self._ends_at:
            return not_run(ErrorKind.LEAVING, "node is shutting down")
        if failure := self._withdrawal(attempt, now):
            return failure
        if self._warmup.unknown:
            detail = "node has started and does not know yet if its upstream is cold"
            return not_run(ErrorKind.OVERLOADED, detail, STARTING_RETRY_AFTER_S)
        if now < self._unreachable_until:
            detail = "upstream unreachable: connection failed"
            return not_run(ErrorKind.CONNECT_FAILED, detail, CONNECT_RETRY_AFTER_S)
        return None

    def _withdrawal(self, attempt: Attempt, now: float) -> Failure | None:
        """Return why the attempt must not be sent any more, ``None`` if it may.

        Unlike other reasons to refuse it, these may arise while it is queued.
        """
        if self._state.has_left(attempt.upstream):
            return not_run(ErrorKind.LEAVING, "upstream is draining or gone")
        if self._evacuated:
            self.refused_evacuated += 1
            detail = "zone of the upstream is evacuated"
            return not_run(ErrorKind.EVACUATED, detail, EVACUATED_RETRY_AFTER_S)
        if self._state.is_leaving(attempt.upstream):
            return not_run(ErrorKind.LEAVING, "upstream says that it is leaving")
        if now < self._misdirected_until.get(attempt.upstream, now):
            return not_run(ErrorKind.NOT_OWNER, "another upstream has the address")
        return None

    def _hand_back(self) -> None:
        """Hand back the queued attempts that must not be sent any more."""
        if not self._admission.queued:
            return
        now = asyncio.get_running_loop().time()
        for attempt_state in list(self._attempts.values()):
            if attempt_state.job.running:
                continue
            failure = self._withdrawal(attempt_state.attempt, now)
            if failure is not None and self._admission.cancel(attempt_state.job):
                self._forget(attempt_state)
                self._refuse(attempt_state, failure)

    def _quarantine(self, attempt_state: AttemptState, now: float) -> Failure | None:
        """Return why an attempt is not run if upstreams have crashed under it."""
        return self._guard.refusal(attempt_state, self._attempts.values(), now)

    def _on_crash(self) -> None:
        """Accept no attempts for a moment and let the other nodes know at once."""
        now = asyncio.get_running_loop().time()
        self._unreachable_until = now + CONNECT_BACKOFF_S
        self._warmup.record_down()
        self.on_news()

    def _on_warmup(self) -> None:
        """Keep the rate that a cold upstream tolerates, and tell the other nodes."""
        now = asyncio.get_running_loop().time()
        self._admission.limit_rate(self._rate_per_s, now)
        self.on_news()
        self._start_next()

    def _on_evacuation(self, zones: list[str]) -> None:
        """Hand back what is queued at an evacuated upstream: it has not run."""
        if self._evacuated:
            self._hand_back()
            self.on_news()

    def _set_slots(self, attempt: Attempt) -> None:
        self._warmup.record_process(attempt.upstream)
        known = self._state.upstreams.get(attempt.upstream)
        if known is not None:
            self._admission.slots = known.slots

    def _failure_of(self, refusal: Refusal) -> Failure:
        detail = f"{self._admission.queued} queued, {self._admission.running} running"
        if self.limit_per_s is not None:
            self.refused_for_limit += 1
            now = asyncio.get_running_loop().time()
            age_s = now - self._advertised.named_at
            detail += (
                f", limit {self.limit_per_s:g}/s named by {self._advertised.upstream}"
                f" {age_s:.1f} s ago"
            )
        if self.warmup_rate_per_s is not None:
            detail += f", cold upstream tolerates {self.warmup_rate_per_s:g}/s"
        return not_run(refusal.kind, detail, refusal.retry_after_s)

    def _refuse(self, attempt_state: AttemptState, failure: Failure) -> None:
        self.refused += 1
        self._record(attempt_state, failure, 0)
        attempt_state.sink.on_reply_failed(failure, self._load_for(attempt_state))

    def _record(
        self,
        attempt_state: AttemptState,
        failure: Failure | None,
        status: int,
        size: int = 0,
    ) -> None:
        started_at = attempt_state.job.started_at
        now = asyncio.get_running_loop().time()
        details = {
            "status": status,
            "bytes": size,
            "send_ms": round(self._pacer.queueing_delay_s * 1000),
            "waited_ms": round(
                ((started_at or now) - attempt_state.submitted_at) * 1000, 1
            ),
            "ran_ms": round((now - started_at) * 1000, 1)
            if attempt_state.job.running
            else 0.0,
            "running": self._admission.running,
            "queued": self._admission.queued,
        }
        if self.limit_per_s is not None:
            details["limit_per_s"] = self.limit_per_s
            details["limit_age_ms"] = round((now - self._advertised.named_at) * 1000)
        if self.warmup_rate_per_s is not None:
            details["cold_per_s"] = self.warmup_rate_per_s
        self._recorder.attempt(
            attempt_state.attempt,
            details,
            failure,
            store_revision(self._state.revision),
        )

    def _on_expired(self, job: Job, refusal: Refusal) -> None:
        attempt_state: AttemptState = job.payload
        self._forget(attempt_state)
        self._refuse(attempt_state, self._failure_of(refusal))

    def _start_next(self) -> None:
        loop = asyncio.get_running_loop()
        while (job := self._admission.start_next(loop.time())) is not None:
            attempt_state: AttemptState = job.payload
            attempt_state.task = loop.create_task(self._run(attempt_state))
            # A task that is cancelled before it starts runs none of its own code.
            attempt_state.task.add_done_callback(
                lambda _, ended=attempt_state: self._release(ended)
            )
        self._schedule_expiry()

    def _release(self, attempt_state: AttemptState) -> None:
        """Free the slot of an attempt whose task has ended."""
        self._admission.finish(
            attempt_state.job,
            asyncio.get_running_loop().time(),
            attempt_state.measured,
            attempt_state.timed_out,
            attempt_state.sent,
        )
        self._forget(attempt_state)
        self._start_next()

    def _schedule_expiry(self) -> None:
        """Check the queued requests again soon, as long as there are any."""
        if self._expiry_timer is None and self._admission.queued:
            loop = asyncio.get_running_loop()
            self._expiry_timer = loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _expire(self) -> None:
        self._expiry_timer = None
        self._admission.expire(asyncio.get_running_loop().time())
        self._start_next()

    async def _run(self, attempt_state: AttemptState) -> None:
        response = UpstreamResponse(attempt_state, self._record_advertised)
        try:
            await self._forward(attempt_state, response)
            measured = response.ended and response.ran and not response.failed
            attempt_state.measured = measured
            attempt_state.timed_out = response.timed_out
            self.ran += response.ran
            if measured:
                self._sizes.update(attempt_state.attempt.route, float(response.size))
            failed = response.failed or not response.ended
            self._failure_ratio += SMOOTHING * (failed - self._failure_ratio)
        except asyncio.CancelledError:
            if not attempt_state.cancelled:
                raise

    def _record_advertised(
        self, attempt_state: AttemptState, head: ResponseHead, ran: bool
    ) -> None:
        """Record what the upstream states about itself in the head of a response.

        A misdirected request was answered by the upstream that is now at the address.
        """
        upstream = attempt_state.attempt.upstream
        born_ms = attempt_state.born_ms
        if head.status == MISDIRECTED:
            upstream = get_header(head.headers, INSTANCE_ID_HEADER)
            if not upstream:
                return
            if upstream != attempt_state.attempt.upstream:
                until = asyncio.get_running_loop().time() + MISDIRECTED_S
                self._warmup.record_process(upstream)
                self._misdirected_until = {attempt_state.attempt.upstream: until}
            known = self._state.upstreams.get(upstream)
            born_ms = known.born_ms if known else 0
        advertised = decode_advertised(head.headers)
        if upstream == attempt_state.attempt.upstream:
            self._warmup.record_response(advertised.cold_s)
        now = asyncio.get_running_loop().time()
        was_limited = self.limit_per_s is not None
        if self._advertised.record(
            upstream, advertised, attempt_state.sent_at, now, ran
        ):
            self._admission.limit_rate(self._rate_per_s, now)
        news = was_limited != (self.limit_per_s is not None)
        if advertised.leaving:
            news |= self._state.mark_leaving(upstream, born_ms, self._own_host)
        if advertised.leaving or head.status == MISDIRECTED:
            self._hand_back()
        if news:
            self.on_news()

    def _on_registry(self, change: RegistryChange) -> None:
        """Forget what was known of an upstream that has started again.

        What is queued at one that has left is handed back.
        """
        self._hand_back()
        for item in change.upstreams:
            restarted = item.born_ms > self._born_ms.get(item.id, item.born_ms)
            if item.address.host == self._own_host:
                if self._born_ms not in ({}, {item.id: item.born_ms}):
                    self._failure_ratio = 0.0
                self._born_ms = {item.id: item.born_ms}
            if restarted and self._advertised.forget(item.id):
                now = asyncio.get_running_loop().time()
                self._admission.limit_rate(self._rate_per_s, now)

    async def _forward(
        self, attempt_state: AttemptState, response: UpstreamResponse
    ) -> None:
        """Send an attempt to the upstream and forward the response."""
        attempt, loop = attempt_state.attempt, asyncio.get_running_loop()
        max_idle = MAX_IDLE_S if attempt.idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        if not attempt.request_id:
            # Its response has no id either: see UpstreamResponse.accepts.
            max_idle = NO_IDLE_CONNECTION
        if failure := self._quarantine(attempt_state, loop.time()):
            self._refuse(attempt_state, failure)
            return
        if self._warmup.bounded and not self._pool.has_open:
            self._warmup.record_disconnected()
        try:
            connection = await self._pool.acquire(max_idle)
        except ConnectionBrokenError as error:
            self._unreachable_until = loop.time() + CONNECT_BACKOFF_S
            self._warmup.record_down()
            if error.refused:
                self._guard.search()
            failure = not_run(
                ErrorKind.CONNECT_FAILED, str(error), CONNECT_RETRY_AFTER_S
            )
            self._refuse(attempt_state, failure)
            return
        self._warmup.record_up()
        if failure := self._withdrawal(attempt, loop.time()):
            self._pool.release(connection)
            self._refuse(attempt_state, failure)
            return
        failure = None
        try:
            failure = await self._send(connection, attempt_state, response)
        finally:
            if response.ended and failure is None:
                self._pool.release(connection)
            else:
                connection.close()
            if response.ended and response.ran:
                self._guard.record_completed(attempt)
            elif attempt_state.sent and not response.ended:
                self._guard.record_lost(attempt_state, response.broken)
        if response.broken:
            await self._guard.wait_for_search()
        self._record(attempt_state, failure, response.status, response.size)
        if failure is None:
            attempt_state.sink.on_reply_end(self._load_for(attempt_state))
        else:
            attempt_state.sink.on_reply_failed(failure, self._load_for(attempt_state))

    async def _send(
        self,
        connection: ClientConnection,
        attempt_state: AttemptState,
        response: UpstreamResponse,
    ) -> Failure | None:
        loop, attempt = asyncio.get_running_loop(), attempt_state.attempt
        remaining_s = attempt.deadline - loop.time()
        if remaining_s <= 0:
            return not_run(
                ErrorKind.EXPIRED, "deadline passed before the request was sent"
            )
        data = encode_request(
            attempt.method, attempt.target, _headers(attempt, remaining_s), attempt.body
        )
        known = self._state.upstreams.get(attempt.upstream)
        response.connection = connection
        attempt_state.sent, attempt_state.sent_at = True, loop.time()
        attempt_state.born_ms = known.born_ms if known else 0
        connection.send(data, response, attempt.method == "HEAD")
        try:
            async with asyncio.timeout(remaining_s + RESPONSE_MARGIN_S):
                await response.done
        except TimeoutError:
            response.timed_out = True
            detail = "no complete response from the upstream by the deadline"
            return unknown(ErrorKind.UPSTREAM_SILENT, detail)
        except ConnectionBrokenError as error:
            return unknown(ErrorKind.UPSTREAM_LOST, str(error))
        return response.failure


def _headers(attempt: Attempt, remaining_s: float) -> list[tuple[str, str]]:
    replaced = (
        DEADLINE_HEADER.lower(),
        TARGET_HEADER.lower(),
        CALLER_SERVICE_HEADER.lower(),
    )
    return [
        *end_to_end(attempt.headers, *replaced),
        (DEADLINE_HEADER, str(max(1, int(remaining_s * 1000)))),
        (TARGET_HEADER, attempt.upstream),
        (CALLER_SERVICE_HEADER, attempt.caller),
    ]
