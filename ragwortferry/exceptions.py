"""The closed list of error kinds, the answer for each kind, and the exceptions."""

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
    """What is known about whether a request ran at a target."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every reason for which a proxy itself answers a request."""

    BAD_REQUEST = "bad-request"
    HEADER_TOO_LARGE = "header-too-large"
    BODY_CUT = "body-cut"
    CALLER_GONE = "caller-gone"
    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    NO_CONFIGURATION = "no-configuration"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    SHED = "shed"
    CONNECT_FAILED = "connect-failed"
    FENCED = "fenced"
    NOT_OWNER = "not-owner"
    DEADLINE_BEFORE_RUN = "deadline-before-run"
    DEADLINE = "deadline"
    EXPIRED = "expired"
    UPSTREAM_LOST = "upstream-lost"
    UPSTREAM_SILENT = "upstream-silent"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The HTTP answer for an error kind.

    :param status: HTTP status code.
    :param outcome: what the answer states about the request.
    :param retry_after: seconds for the ``Retry-After`` header, ``None`` without one.
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
    """The configuration source is unreachable or gave an unusable answer."""


class InvariantError(RagwortferryError):
    """A state was reached that the design rules out."""


class RequestError(RagwortferryError):
    """A request that the proxy answers itself.

    :param kind: reason, looked up in :data:`ERROR_RESPONSES`.
    :param detail: one sentence for the engineer who reads the record.
    :param outcome: overrides the outcome of the table where more is known.
    :param retry_after: seconds, overrides the table.
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
