"""Record of a request: one log line for each hop."""

__all__ = ["AttemptRecord", "RequestRecord"]

import time
from dataclasses import dataclass, field

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.logs import Log
from ragwortferry.requests.messages import Policy
from ragwortferry.requests.responses import RelayResult


@dataclass(slots=True)
class AttemptRecord:
    """Record of one attempt at one upstream.

    :param outcome: ``ran``, ``not-run`` or ``unknown``.
    :param error: error kind, empty if the target responded.
    :param status: HTTP status of the response, 0 without one.
    :param ms: milliseconds to the first byte of the response or to the failure.
    """

    key: str
    upstream: str
    outcome: str = "unknown"
    error: str = ""
    detail: str = ""
    status: int = 0
    ms: float = 0.0
    _started: float = field(default_factory=time.monotonic)

    def record_error(self, error: RequestError) -> None:
        """Record why the attempt failed and whether it ran."""
        self.outcome, self.error = str(error.outcome), str(error.kind)
        self.detail = error.detail

    def record_end(self) -> None:
        """Record the time to the first byte of the response, or to the failure."""
        self.ms = round((time.monotonic() - self._started) * 1000, 3)

    def as_dict(self) -> dict[str, object]:
        """Return the fields of the log line."""
        return {
            "key": self.key,
            "upstream": self.upstream,
            "outcome": self.outcome,
            "error": self.error,
            "detail": self.detail,
            "status": self.status,
            "ms": self.ms,
        }


@dataclass(slots=True)
class RequestRecord:
    """Record of a request at one hop, complete when the request has ended.

    :param hop: ``"entry"`` or ``"owner"``.
    :param own_version: current version at this hop. At an owner it may differ from the
        governing version, which is that of the entry.
    """

    hop: str
    request_id: str = ""
    method: str = ""
    path: str = ""
    policy: Policy | None = None
    own_version: int = 0
    status: int = 0
    outcome: str = "unknown"
    error: str = ""
    detail: str = ""
    size: int = 0
    complete: bool = False
    attempts: list[AttemptRecord] = field(default_factory=list)
    started: float = field(default_factory=time.monotonic)

    def record_error(self, error: RequestError) -> None:
        """Record the error response that is sent."""
        self.status, self.outcome = error.response.status, error.outcome
        self.error, self.detail, self.complete = error.kind, error.detail, True

    def record_disconnect(self) -> None:
        """Record that the caller disconnected before the end of the response."""
        outcome = Outcome.UNKNOWN if self.attempts else Outcome.NOT_RUN
        error = RequestError(ErrorKind.CALLER_GONE, "the caller disconnected", outcome)
        self.record_error(error)
        self.complete = False

    def record_relay(self, status: int, result: RelayResult) -> None:
        """Record the result of relaying a response."""
        self.status, self.outcome = status, "ran"
        self.size, self.complete = result.size, result.complete
        self.detail = result.reason

    def write(self, log: Log) -> None:
        """Write the log line."""
        policy = self.policy
        governing = policy and {
            "version": policy.version,
            "digest": policy.digest,
            "section": policy.section,
            "route": policy.route,
        }
        log.event(
            "request",
            f"{self.hop} proxy responded with status {self.status}",
            hop=self.hop,
            request_id=self.request_id,
            method=self.method,
            path=self.path,
            **(governing or {"version": self.own_version}),
            own_version=self.own_version,
            status=self.status,
            outcome=str(self.outcome),
            error=str(self.error),
            detail=self.detail,
            size=self.size,
            complete=self.complete,
            ms=round((time.monotonic() - self.started) * 1000, 3),
            attempts=[attempt.as_dict() for attempt in self.attempts],
        )
