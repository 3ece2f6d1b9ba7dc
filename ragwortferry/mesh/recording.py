"""What a node writes down about requests: one log line each, counters and latencies."""

__all__ = ["Recorder"]

import asyncio
from typing import TYPE_CHECKING

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.http1.messages import Request
from ragwortferry.logs import Log
from ragwortferry.mesh.attempt import Attempt, Failure
from ragwortferry.mesh.metrics import NodeMetrics
from ragwortferry.utils.pacing import TokenBucket

if TYPE_CHECKING:
    from ragwortferry.mesh.entry import RequestContext

# Lines a second about requests that were served, and about those that were not; with
# about 300 bytes a line the first is 60 KB/s.
SERVED_LINES_PER_S = 200.0
FAILED_LINES_PER_S = 200.0
# Lines that may come at once, as seconds of the rate.
BURST_S = 2.0
# Period in which left-out lines are counted in a line, in seconds.
SUMMARY_INTERVAL_S = 5.0
# Longest part of a request target in a line.
MAX_PATH_CHARS = 200


class Recorder:
    """Writes the record of requests in bounded volume.

    :param service: service of this instance, the caller of its requests.
    """

    def __init__(self, log: Log, metrics: NodeMetrics, service: str):
        self._log = log
        self._metrics = metrics
        self._service = service
        self._served = TokenBucket(SERVED_LINES_PER_S, SERVED_LINES_PER_S * BURST_S)
        self._failed = TokenBucket(FAILED_LINES_PER_S, FAILED_LINES_PER_S * BURST_S)
        self._suppressed = 0
        self._summary_at = 0.0

    def request(
        self,
        context: "RequestContext",
        status: int,
        error: str,
        outcome: Outcome,
        complete: bool,
    ) -> None:
        """Write the line of a request that a route governed."""
        now = asyncio.get_running_loop().time()
        elapsed_s = now - context.request.arrived
        self._metrics.record_request(context.route.name, status, error, elapsed_s)
        if not self._allow(now, bool(error)):
            return
        document = context.document
        self._log.event(
            "request",
            "request ended",
            hop="entry",
            request_id=context.request_id,
            caller=self._service,
            method=context.request.method,
            path=context.request.target[:MAX_PATH_CHARS],
            version=document.version,
            digest=document.digest,
            route=context.route.name,
            service=context.service,
            status=status,
            error=error,
            outcome=str(outcome),
            complete=complete,
            ms=round(elapsed_s * 1000, 1),
            deadline_ms=round((context.deadline - context.request.arrived) * 1000),
            attempts=context.attempts,
        )

    def attempt(
        self, attempt: Attempt, details: dict, failure: Failure | None, revision: int
    ) -> None:
        """Write the line of an attempt that this node owned.

        :param note: what the owner knows: status, times, load of the upstream.
        :param failure: why there is no answer, ``None`` if there is one.
        :param revision: revision of the registry that the owner went by.
        """
        now = asyncio.get_running_loop().time()
        if not self._allow(now, failure is not None):
            return
        outcome = str(failure.outcome if failure else Outcome.RAN)
        summary = {"key": attempt.key, "upstream": attempt.upstream, "outcome": outcome}
        self._log.event(
            "request",
            "attempt ended" if failure is None else "attempt failed",
            hop="owner",
            request_id=attempt.request_id,
            route=attempt.route,
            version=attempt.version,
            revision=revision,
            outcome=outcome,
            error=str(failure.kind) if failure else "",
            detail=failure.detail if failure else "",
            complete=failure is None,
            attempts=[summary],
            **details,
        )

    def rejected(
        self, request: Request, request_id: str, kind: ErrorKind, version: int
    ) -> None:
        """Write the line of a request that no route governed."""
        now = asyncio.get_running_loop().time()
        self._metrics.record_request("", 0, str(kind), now - request.arrived)
        if self._allow(now, True):
            self._log.event(
                "request",
                "request is rejected",
                hop="entry",
                request_id=request_id,
                method=request.method,
                path=request.target[:MAX_PATH_CHARS],
                version=version,
                error=str(kind),
                outcome=str(Outcome.NOT_RUN),
                complete=True,
                attempts=[],
            )

    def internal_error(self, request: Request, error: Exception) -> None:
        """Write the line of a request that failed in this program."""
        self._metrics.record_request("", 500, str(ErrorKind.INTERNAL), 0.0)
        path = request.target[:MAX_PATH_CHARS]
        self._log.error("request failed in this program", error, path=path)

    def _allow(self, now: float, failed: bool) -> bool:
        if self._suppressed and now - self._summary_at >= SUMMARY_INTERVAL_S:
            self._log.event("left-out", "lines are left out", count=self._suppressed)
            self._suppressed, self._summary_at = 0, now
        if (self._failed if failed else self._served).try_take():
            return True
        self._suppressed += 1
        return False
