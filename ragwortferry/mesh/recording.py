"""Request log and request metrics of a node, with a bounded rate of log lines."""

__all__ = ["Recorder"]

import asyncio
from typing import TYPE_CHECKING

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.http1.messages import Request
from ragwortferry.logs import Log
from ragwortferry.mesh.admission.retry_after import Standing
from ragwortferry.mesh.attempt import Attempt, Failure
from ragwortferry.mesh.metrics import NodeMetrics
from ragwortferry.utils.pacing import TokenBucket

if TYPE_CHECKING:
    from ragwortferry.mesh.context import RequestContext

# Maximum rates of log lines about served and about failed requests; with about
# 300 bytes a line, the first is 60 KB/s.
SERVED_LINES_PER_S = 200.0
FAILED_LINES_PER_S = 200.0
# Size of a burst, as seconds of the rate.
BURST_S = 2.0
# Minimum interval between lines with the number of suppressed lines.
SUMMARY_INTERVAL_S = 5.0
# Maximum length of a request target in a log line.
MAX_PATH_CHARS = 200


class Recorder:
    """Writes one log line per request or attempt and updates the metrics.

    Lines above the maximum rates are suppressed and counted.

    :param service: service of this instance, logged as the caller of its requests.
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
        """Record a request that matched a route.

        :param status: HTTP status, 0 if no response was sent.
        :param error: kind of the error, empty if there was none.
        :param outcome: what is known about whether the request ran.
        :param complete: whether the caller got the whole response.
        """
        now = asyncio.get_running_loop().time()
        elapsed_s = now - context.request.arrived
        self._metrics.record_request(context.route.name, status, error, elapsed_s)
        if not self._allow(now, bool(error)):
            return
        document = context.document
        details = {"limits": context.limits} if context.limits else {}
        if context.standing is not Standing.NEW:
            details["standing"] = context.standing.name.lower()
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
            **details,
        )

    def attempt(
        self, attempt: Attempt, details: dict, failure: Failure | None, revision: int
    ) -> None:
        """Record an attempt at the upstream of this instance.

        :param details: further fields of the line: status, times, load of the upstream.
        :param failure: why there is no complete response, ``None`` if there is one.
        :param revision: registry revision known to the owner.
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
        """Record a request that was rejected before a route was chosen."""
        now = asyncio.get_running_loop().time()
        self._metrics.record_request("", 0, str(kind), now - request.arrived)
        if self._allow(now, True):
            self._log.event(
                "request",
                "request rejected: no route chosen",
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
        """Record a request that failed because of an exception in the node itself."""
        self._metrics.record_request("", 500, str(ErrorKind.INTERNAL), 0.0)
        path = request.target[:MAX_PATH_CHARS]
        self._log.error("request failed with an internal error", error, path=path)

    def _allow(self, now: float, failed: bool) -> bool:
        if self._suppressed and now - self._summary_at >= SUMMARY_INTERVAL_S:
            self._log.event(
                "left-out",
                "log lines suppressed by the rate limit",
                count=self._suppressed,
            )
            self._suppressed, self._summary_at = 0, now
        if (self._failed if failed else self._served).try_take():
            return True
        self._suppressed += 1
        return False
