"""The owner's side: only it talks to the upstream of its instance."""

__all__ = ["Owner"]

import asyncio
from dataclasses import dataclass

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.http1.client import (
    AnswerHead,
    ClientConnection,
    ConnectionBrokenError,
    Pool,
)
from ragwortferry.http1.messages import encode_request, end_to_end, find
from ragwortferry.mesh.admission import SMOOTHING, Admission, Job, Refusal
from ragwortferry.mesh.attempt import Attempt, Failure, ReplySink
from ragwortferry.mesh.averages import RouteAverages
from ragwortferry.mesh.frames import Load
from ragwortferry.mesh.recording import Recorder
from ragwortferry.mesh.state import MeshState
from ragwortferry.platform.names import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    HEALTH_INSTANCE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
    TARGET_HEADER,
)
from ragwortferry.utils.outflow import Outflow
from ragwortferry.utils.sockets import Address

# Slots assumed until the registry names the upstream: the smallest that is usual.
FIRST_SLOTS = 8
# Seconds since its last answer after which a connection carries no request that may run
# only once: the upstream may be about to close it.
MAX_IDLE_ONCE_S = 1.0
# The same for requests that may be repeated.
MAX_IDLE_S = 3.0
# Seconds beyond its deadline for which an answer is awaited: the upstream answers at
# the deadline itself.
ANSWER_MARGIN_S = 0.05
# Period of the check of waiting requests, in seconds; far below any latency objective.
EXPIRE_S = 0.02
# Seconds without requests after a failed connection.
DOWN_S = 0.2
# Seconds that a caller is told to stay away from an upstream that cannot be reached.
DOWN_RETRY_S = 0.3
MISDIRECTED, SERVER_ERROR, GATEWAY_TIMEOUT = 421, 500, 504
NOT_RUN_STATUSES = (400, 421, 429, 503)


@dataclass(slots=True, eq=False)
class Run:
    """An attempt at the owner."""

    attempt: Attempt
    sink: ReplySink
    job: Job
    task: asyncio.Task | None = None
    abandoned: bool = False


class Owner:
    """Queues, runs and refuses attempts at the own upstream.

    :param target: address of the upstream, ``None`` if there is none.
    """

    def __init__(
        self,
        knowledge: MeshState,
        outflow: Outflow,
        target: Address | None,
        own_host: str,
        recorder: Recorder,
    ):
        self._knowledge = knowledge
        self._outflow = outflow
        self._target = target
        self._recorder = recorder
        self._pool = Pool(target, own_host) if target else None
        self._admission = Admission(FIRST_SLOTS, self._expired)
        self._runs: dict[int, Run] = {}
        # Mean size of the answers of each route, in bytes.
        self._sizes = RouteAverages(SMOOTHING)
        self._down_until = 0.0
        self._failing = 0.0
        self._ticker: asyncio.Task | None = None
        self.leaving = False
        self.refused = 0
        self.ran = 0

    @property
    def opened(self) -> int:
        """Return the number of connections opened to the upstream."""
        return self._pool.opened if self._pool else 0

    @property
    def idle(self) -> bool:
        """Return whether no attempt is queued or at work."""
        return not self._runs

    def load(self) -> Load:
        """Return what other nodes are told about the upstream."""
        admission = self._admission
        accepting = (
            self._target is not None
            and not self.leaving
            and asyncio.get_running_loop().time() >= self._down_until
        )
        waits = admission.waits(asyncio.get_running_loop().time())
        service_ms = round(admission.service_s * 1000, 1)
        return Load(
            admission.running,
            admission.queued,
            admission.slots,
            service_ms,
            accepting,
            round(self._failing, 3),
            {rank: round(wait * 1000, 1) for rank, wait in waits.items()},
            self._outflow.mbps,
            round(self._outflow.wait_s * 1000, 1),
        )

    async def start(self) -> None:
        """Start the check of waiting requests."""
        self._ticker = asyncio.get_running_loop().create_task(self._tick())

    async def stop(self) -> None:
        """Close the connections."""
        if self._ticker:
            self._ticker.cancel()
        for run in list(self._runs.values()):
            if run.task:
                run.task.cancel()
        if self._pool:
            self._pool.clear()

    def submit(self, attempt: Attempt, sink: ReplySink) -> Run | None:
        """Take an attempt in; its answer or refusal goes to ``sink``."""
        now = asyncio.get_running_loop().time()
        send_wait_s, transfer_s = self._sending(attempt.route)
        job = Job(
            attempt.route,
            attempt.priority,
            attempt.objective - transfer_s,
            attempt.deadline - transfer_s,
            repeatable=attempt.repeatable,
            send_wait_s=send_wait_s,
        )
        run = Run(attempt, sink, job)
        job.payload = run
        failure = self._unfit(attempt, now)
        if failure is None:
            self._set_slots(attempt)
            refusal = self._admission.offer(job, now)
            if refusal is None:
                self._runs[id(run)] = run
                self._start_next()
                return run
            failure = self._refusal(refusal)
        self._refuse(run, failure)
        return None

    def _sending(self, route: str) -> tuple[float, float]:
        """Return how long an answer will wait for the network link and take on it."""
        size = self._sizes.of(route, 0.0)
        if not self._outflow.holds_back(size):
            return 0.0, 0.0
        return self._outflow.wait_s, self._outflow.transfer_s(size)

    def cancel(self, run: Run) -> None:
        """Withdraw an attempt; an upstream at work on a repeatable one is released."""
        run.abandoned = True
        if self._admission.withdraw(run.job):
            self._runs.pop(id(run), None)
        elif run.task is not None and run.attempt.repeatable:
            run.task.cancel()

    def _unfit(self, attempt: Attempt, now: float) -> Failure | None:
        """Return why the attempt cannot run here at all."""
        if self._target is None:
            return _not_run(ErrorKind.NOT_OWNER, "no upstream here")
        known = self._knowledge.upstreams.get(attempt.upstream)
        if known is not None and known.draining:
            return _not_run(ErrorKind.LEAVING, "the upstream is draining")
        if now < self._down_until:
            detail = "the upstream refuses connections"
            return _not_run(ErrorKind.CONNECT_FAILED, detail, DOWN_RETRY_S)
        return None

    def _set_slots(self, attempt: Attempt) -> None:
        known = self._knowledge.upstreams.get(attempt.upstream)
        if known is not None:
            self._admission.slots = known.slots

    def _refusal(self, refusal: Refusal) -> Failure:
        detail = f"{self._admission.queued} wait, {self._admission.running} run"
        return _not_run(refusal.kind, detail, refusal.retry_after_s)

    def _refuse(self, run: Run, failure: Failure) -> None:
        self.refused += 1
        self._record(run, failure, 0)
        run.sink.on_reply_failed(failure, self.load())

    def _record(
        self, run: Run, failure: Failure | None, status: int, size: int = 0
    ) -> None:
        began = run.job.started_at
        now = asyncio.get_running_loop().time()
        note = {
            "status": status,
            "bytes": size,
            "send_ms": round(self._outflow.wait_s * 1000),
            "ran_ms": round((now - began) * 1000, 1) if run.job.running else 0.0,
            "running": self._admission.running,
            "queued": self._admission.queued,
        }
        self._recorder.attempt(run.attempt, note, failure, self._knowledge.revision)

    def _expired(self, job: Job, refusal: Refusal) -> None:
        run: Run = job.payload
        self._runs.pop(id(run), None)
        self._refuse(run, self._refusal(refusal))

    def _start_next(self) -> None:
        loop = asyncio.get_running_loop()
        while (job := self._admission.next(loop.time())) is not None:
            run: Run = job.payload
            run.task = loop.create_task(self._run(run))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            self._admission.expire(asyncio.get_running_loop().time())
            self._start_next()

    async def _run(self, run: Run) -> None:
        loop = asyncio.get_running_loop()
        exchange = _Exchange(run)
        measured = cut = False
        try:
            await self._exchange(run, exchange)
            measured = exchange.ended and exchange.ran and not exchange.failed
            cut = exchange.cut
            self.ran += exchange.ran
            if measured:
                self._sizes.note(run.attempt.route, float(exchange.size))
            bad = exchange.failed or not exchange.ended
            self._failing += SMOOTHING * (bad - self._failing)
        except asyncio.CancelledError:
            if not run.abandoned:
                raise
        finally:
            self._admission.finish(run.job, loop.time(), measured, cut)
            self._runs.pop(id(run), None)
            self._start_next()

    async def _exchange(self, run: Run, exchange: "_Exchange") -> None:
        """Send one attempt to the upstream and pass its answer on."""
        attempt = run.attempt
        max_idle = MAX_IDLE_S if attempt.repeatable else MAX_IDLE_ONCE_S
        try:
            connection = await self._pool.acquire(max_idle)
        except ConnectionBrokenError as error:
            self._down_until = asyncio.get_running_loop().time() + DOWN_S
            failure = _not_run(ErrorKind.CONNECT_FAILED, str(error), DOWN_RETRY_S)
            self._refuse(run, failure)
            return
        failure = None
        try:
            failure = await self._send(connection, attempt, exchange)
        finally:
            if exchange.ended and failure is None:
                self._pool.release(connection)
            else:
                connection.close()
        self._record(run, failure, exchange.status, exchange.size)
        if failure is None:
            run.sink.on_reply_end(self.load())
        else:
            run.sink.on_reply_failed(failure, self.load())

    async def _send(
        self, connection: ClientConnection, attempt: Attempt, exchange: "_Exchange"
    ) -> Failure | None:
        loop = asyncio.get_running_loop()
        left = attempt.deadline - loop.time()
        if left <= 0:
            return _not_run(ErrorKind.EXPIRED, "no time is left")
        data = encode_request(
            attempt.method, attempt.target, _headers(attempt, left), attempt.body
        )
        connection.send(data, exchange, attempt.method == "HEAD")
        try:
            async with asyncio.timeout(left + ANSWER_MARGIN_S):
                await exchange.done
        except TimeoutError:
            exchange.cut = True
            detail = "the upstream did not answer in time"
            return _unknown(ErrorKind.UPSTREAM_SILENT, detail)
        except ConnectionBrokenError as error:
            return _unknown(ErrorKind.UPSTREAM_LOST, str(error))
        return exchange.failure


class _Exchange:
    """Checks one answer of the upstream and passes it on."""

    def __init__(self, run: Run):
        self._run = run
        self._passing = False
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.ended = False
        self.ran = False
        self.status = 0
        self.size = 0
        # Whether the deadline ended the run.
        self.cut = False
        self.failed = False
        self.failure: Failure | None = None

    def accepts(self, head: AnswerHead) -> bool:
        """Return whether the answer carries the id of this request.

        A late answer to an earlier request carries that one's id. A refusal need not
        carry any.
        """
        echoed = find(head.headers, REQUEST_ID_HEADER)
        if not echoed:
            return head.status in NOT_RUN_STATUSES
        return echoed == self._run.attempt.request_id

    def on_head(self, head: AnswerHead) -> None:
        """Judge the answer by its head."""
        not_run = find(head.headers, NOT_RUN_HEADER)
        if head.status == MISDIRECTED or (not_run and head.status in NOT_RUN_STATUSES):
            kind = ErrorKind.SHED if head.status != MISDIRECTED else ErrorKind.NOT_OWNER
            other = find(head.headers, HEALTH_INSTANCE_HEADER)
            detail = f"the upstream answered {head.status} {other}".rstrip()
            self.failure = Failure(kind, Outcome.NOT_RUN, detail, 0.0, offered=True)
            self.failed = True
            return
        self.ran = True
        self.status = head.status
        self.cut = head.status == GATEWAY_TIMEOUT
        self.failed = head.status >= SERVER_ERROR
        if head.status < 300 and not find(head.headers, SIGNATURE_HEADER):
            detail = "the answer bears no signature"
            self.failure = _unknown(ErrorKind.UPSTREAM_LOST, detail)
            return
        self._passing = True
        headers = end_to_end(head.headers)
        self._run.sink.on_reply_head(head.status, headers, head.length)

    def on_data(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self.size += len(data)
        if self._passing:
            self._run.sink.on_reply_data(data)

    def on_end(self) -> None:
        """Complete the answer."""
        self.ended = True
        if not self.done.done():
            self.done.set_result(None)

    def on_broken(self, error: ConnectionBrokenError) -> None:
        """Report an answer that is not whole."""
        if not self.done.done():
            self.done.set_exception(error)


def _headers(attempt: Attempt, left_s: float) -> list[tuple[str, str]]:
    own = (
        DEADLINE_HEADER.lower(),
        TARGET_HEADER.lower(),
        CALLER_HEADER.lower(),
    )
    return [
        *end_to_end(attempt.headers, *own),
        (DEADLINE_HEADER, str(max(1, int(left_s * 1000)))),
        (TARGET_HEADER, attempt.upstream),
        (CALLER_HEADER, attempt.caller),
    ]


def _not_run(kind: ErrorKind, detail: str, retry_after_s: float = 0.0) -> Failure:
    return Failure(kind, Outcome.NOT_RUN, detail, retry_after_s)


def _unknown(kind: ErrorKind, detail: str) -> Failure:
    return Failure(kind, Outcome.UNKNOWN, detail, 0.0, offered=True)
