"""The closed set of error kinds, the response for each kind, and the exceptions."""

__all__ = [
    "ERROR_RESPONSES",
    "ErrorResponse",
    "ErrorKind",
    "InvariantError",
    "Outcome",
    "RagwortferryError",
    "RequestError",
    "SettingsError",
    "SourceError",
]

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request ran at a target, as far as is known."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Reason for which a proxy responds to a request itself, or an attempt failed.

    The values appear in logs and in the header ``X-Ragwortferry-Error``.
    """

    BAD_REQUEST = "bad-request"
    HEADER_TOO_LARGE = "header-too-large"
    BODY_CUT = "body-cut"  # the request body was truncated
    CALLER_GONE = "caller-gone"  # the caller disconnected
    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    NO_CONFIGURATION = "no-configuration"  # no version is enforced yet
    NO_UPSTREAM = "no-upstream"  # no upstream can be tried
    OVERLOADED = "overloaded"  # the owner's queue is full, or too long for the deadline
    LEAVING = "leaving"  # the instance is draining
    EVACUATED = "evacuated"  # the operator has evacuated the upstream's zone
    QUARANTINED = "quarantined"  # upstreams have crashed under this request
    SHED = "shed"  # the target itself refused the request
    CONNECT_FAILED = "connect-failed"  # nothing of the request was sent
    FENCED = "fenced"  # the attempt was cancelled before it began
    NOT_OWNER = "not-owner"  # the upstream is not on the instance tried
    DEADLINE_BEFORE_RUN = "deadline-before-run"  # passed before the request ran
    DEADLINE = "deadline"  # passed after the request was sent
    EXPIRED = "expired"  # could no longer finish in time while it was queued
    UPSTREAM_LOST = "upstream-lost"  # the connection broke after the request was sent
    UPSTREAM_SILENT = "upstream-silent"  # no data in time on an open connection
    INTERNAL = "internal"  # unexpected exception in the proxy


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The HTTP response for an error kind.

    :param status: HTTP status code.
    :param outcome: outcome of the request that the response states.
    :param retry_after: seconds in the ``Retry-After`` header, ``None`` to omit it.
    :param retryable: whether another upstream may be tried for the same request.
    """

    status: int
    outcome: Outcome
    retry_after: float | None = None
    retryable: bool = False


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, Outcome.NOT_RUN),
    ErrorKind.HEADER_TOO_LARGE: ErrorResponse(431, Outcome.NOT_RUN),
    ErrorKind.BODY_CUT: ErrorResponse(400, Outcome.UNKNOWN),
    ErrorKind.CALLER_GONE: ErrorResponse(499, Outcome.UNKNOWN),
    ErrorKind.NO_ROUTE: ErrorResponse(404, Outcome.NOT_RUN),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(405, Outcome.NOT_RUN),
    ErrorKind.NO_CONFIGURATION: ErrorResponse(503, Outcome.NOT_RUN, retry_after=2),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, Outcome.NOT_RUN, retry_after=2),
    ErrorKind.OVERLOADED: ErrorResponse(
        503, Outcome.NOT_RUN, retry_after=1, retryable=True
    ),
    ErrorKind.LEAVING: ErrorResponse(
        503, Outcome.NOT_RUN, retry_after=1, retryable=True
    ),
    ErrorKind.EVACUATED: ErrorResponse(
        503, Outcome.NOT_RUN, retry_after=1, retryable=True
    ),
    ErrorKind.QUARANTINED: ErrorResponse(503, Outcome.NOT_RUN, retry_after=5),
    ErrorKind.SHED: ErrorResponse(503, Outcome.NOT_RUN, retry_after=1, retryable=True),
    ErrorKind.CONNECT_FAILED: ErrorResponse(
        503, Outcome.NOT_RUN, retry_after=1, retryable=True
    ),
    ErrorKind.FENCED: ErrorResponse(
        503, Outcome.NOT_RUN, retry_after=1, retryable=True
    ),
    ErrorKind.NOT_OWNER: ErrorResponse(
        503, Outcome.NOT_RUN, retry_after=1, retryable=True
    ),
    ErrorKind.DEADLINE_BEFORE_RUN: ErrorResponse(504, Outcome.NOT_RUN, retry_after=1),
    ErrorKind.DEADLINE: ErrorResponse(504, Outcome.UNKNOWN, retry_after=5),
    ErrorKind.EXPIRED: ErrorResponse(
        503, Outcome.NOT_RUN, retry_after=1, retryable=True
    ),
    ErrorKind.UPSTREAM_LOST: ErrorResponse(502, Outcome.UNKNOWN, retry_after=5),
    ErrorKind.UPSTREAM_SILENT: ErrorResponse(504, Outcome.UNKNOWN, retry_after=5),
    ErrorKind.INTERNAL: ErrorResponse(500, Outcome.UNKNOWN, retry_after=5),
}


class RagwortferryError(Exception):
    """Base class of the errors of this package."""


class SettingsError(RagwortferryError):
    """A setting is missing, unknown or out of range."""


class SourceError(RagwortferryError):
    """The configuration source is unreachable or its response is unusable."""


class InvariantError(RagwortferryError):
    """An invariant of the design was violated; the process must exit."""


class RequestError(RagwortferryError):
    """A request that failed, to which the proxy responds itself.

    :param kind: reason; its response is looked up in :data:`ERROR_RESPONSES`.
    :param detail: further explanation, for the log and the response body.
    :param outcome: outcome to use instead of that of the table, if more is known.
    :param retry_after: seconds to use instead of those of the table.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        outcome: Outcome | None = None,
        retry_after: float | None = None,
    ):
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        self.response = ERROR_RESPONSES[kind]
        self.outcome = outcome or self.response.outcome
        self.retry_after = retry_after or self.response.retry_after
