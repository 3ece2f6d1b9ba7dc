"""The record of a request: one log line for each hop."""

__all__ = ["AttemptRecord", "RequestRecord"]

import time
from dataclasses import dataclass, field

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.logs import Log
from ragwortferry.requests.answers import Relayed
from ragwortferry.requests.exchange import Policy


@dataclass(slots=True)
class AttemptRecord:
    """One try at one upstream and what came of it.

    :param outcome: ``ran``, ``not-run`` or ``unknown``.
    :param error: error kind, empty for an answer of the target.
    """

    key: str
    upstream: str
    outcome: str = "unknown"
    error: str = ""
    detail: str = ""
    status: int = 0
    ms: float = 0.0
    _started: float = field(default_factory=time.monotonic)

    def note_error(self, error: RequestError) -> None:
        """Take over why the try failed and what that proves."""
        self.outcome, self.error = str(error.outcome), str(error.kind)
        self.detail = error.detail

    def note_end(self) -> None:
        """Take the time to the first byte of the answer, or to the failure."""
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
    """What one hop knows of a request when it is over.

    :param hop: ``"entry"`` or ``"owner"``.
    :param own_version: version in force at this hop, which may differ from the
        governing one at an owner.
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

    def note_error(self, error: RequestError) -> None:
        """Take over the answer to an error."""
        self.status, self.outcome = error.response.status, error.outcome
        self.error, self.detail, self.complete = error.kind, error.detail, True

    def note_caller_gone(self) -> None:
        """Take note that nobody waits for the answer any more."""
        outcome = Outcome.UNKNOWN if self.attempts else Outcome.NOT_RUN
        error = RequestError(ErrorKind.CALLER_GONE, "the caller went away", outcome)
        self.note_error(error)
        self.complete = False

    def note_relayed(self, status: int, relayed: Relayed) -> None:
        """Take over what became of a relayed answer."""
        self.status, self.outcome = status, "ran"
        self.size, self.complete = relayed.size, relayed.complete
        self.detail = relayed.reason

    def write(self, log: Log) -> None:
        """Write the line."""
        policy = self.policy
        governed = policy and {
            "version": policy.version,
            "digest": policy.digest,
            "section": policy.section,
            "route": policy.route,
        }
        log.event(
            "request",
            f"{self.hop} answered {self.status}",
            hop=self.hop,
            request_id=self.request_id,
            method=self.method,
            path=self.path,
            **(governed or {"version": self.own_version}),
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
