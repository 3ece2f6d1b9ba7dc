"""The closed list of error kinds, the answer for each kind, and the exceptions."""

__all__ = [
    "ANSWERS",
    "Answer",
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
class Answer:
    """The HTTP answer for an error kind.

    :param status: HTTP status code.
    :param outcome: what the answer states about the request.
    :param retry_after: seconds for the ``Retry-After`` header, ``None`` without one.
    :param elsewhere: whether another upstream may be tried for the same request.
    """

    status: int
    outcome: Outcome
    retry_after: float | None = None
    elsewhere: bool = False


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Outcome.NOT_RUN),
    ErrorKind.HEADER_TOO_LARGE: Answer(431, Outcome.NOT_RUN),
    ErrorKind.BODY_CUT: Answer(400, Outcome.UNKNOWN),
    ErrorKind.CALLER_GONE: Answer(499, Outcome.UNKNOWN),
    ErrorKind.NO_ROUTE: Answer(404, Outcome.NOT_RUN),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, Outcome.NOT_RUN),
    ErrorKind.NO_CONFIGURATION: Answer(503, Outcome.NOT_RUN, retry_after=2),
    ErrorKind.NO_UPSTREAM: Answer(503, Outcome.NOT_RUN, retry_after=2),
    ErrorKind.OVERLOADED: Answer(503, Outcome.NOT_RUN, retry_after=1, elsewhere=True),
    ErrorKind.LEAVING: Answer(503, Outcome.NOT_RUN, retry_after=1, elsewhere=True),
    ErrorKind.SHED: Answer(503, Outcome.NOT_RUN, retry_after=1, elsewhere=True),
    ErrorKind.CONNECT_FAILED: Answer(
        503, Outcome.NOT_RUN, retry_after=1, elsewhere=True
    ),
    ErrorKind.FENCED: Answer(503, Outcome.NOT_RUN, retry_after=1, elsewhere=True),
    ErrorKind.NOT_OWNER: Answer(503, Outcome.NOT_RUN, retry_after=1, elsewhere=True),
    ErrorKind.DEADLINE_BEFORE_RUN: Answer(504, Outcome.NOT_RUN, retry_after=1),
    ErrorKind.DEADLINE: Answer(504, Outcome.UNKNOWN, retry_after=5),
    ErrorKind.EXPIRED: Answer(503, Outcome.NOT_RUN, retry_after=1, elsewhere=True),
    ErrorKind.UPSTREAM_LOST: Answer(502, Outcome.UNKNOWN, retry_after=5),
    ErrorKind.UPSTREAM_SILENT: Answer(504, Outcome.UNKNOWN, retry_after=5),
    ErrorKind.INTERNAL: Answer(500, Outcome.UNKNOWN, retry_after=5),
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

    :param kind: reason, looked up in :data:`ANSWERS`.
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
        self.answer = ANSWERS[kind]
        self.outcome = outcome or self.answer.outcome
        self.retry_after = retry_after or self.answer.retry_after
