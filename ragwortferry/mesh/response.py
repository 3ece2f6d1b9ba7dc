"""An attempt at its owner, and the response of the upstream to it."""

__all__ = ["AttemptState", "UpstreamResponse", "not_run", "unknown"]

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.http1.client import (
    ClientConnection,
    ConnectionBrokenError,
    ResponseHead,
)
from ragwortferry.http1.messages import end_to_end, get_header
from ragwortferry.mesh.admission.queue import Job
from ragwortferry.mesh.attempt import Attempt, Failure, ReplySink
from ragwortferry.platform.names import (
    INSTANCE_ID_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
)

MISDIRECTED, SERVER_ERROR, GATEWAY_TIMEOUT = 421, 500, 504
# Statuses with which the upstream may state that a request did not run.
NOT_RUN_STATUSES = (400, 421, 429, 503)


@dataclass(slots=True, eq=False)
class AttemptState:
    """An attempt at its owner, queued or running.

    :param sink: receives the reply.
    :param submitted_at: loop time at which the attempt arrived.
    :param cancelled: whether the sender has withdrawn the attempt.
    :param sent: whether the upstream may have received the request.
    :param sent_at: loop time at which it was sent.
    :param born_ms: start time of the upstream's process according to the registry when
        it was sent, 0 if unknown.
    :param measured: whether its service time is a valid sample.
    :param timed_out: whether it reached its deadline.
    """

    attempt: Attempt
    sink: ReplySink
    job: Job
    submitted_at: float
    task: asyncio.Task | None = None
    cancelled: bool = False
    sent: bool = False
    sent_at: float = 0.0
    born_ms: int = 0
    measured: bool = False
    timed_out: bool = False


class UpstreamResponse:
    """Validates one response of the upstream and forwards it to the attempt's sink.

    :param on_head: called with the head and whether the request ran.
    """

    def __init__(
        self,
        attempt_state: AttemptState,
        on_head: Callable[[AttemptState, ResponseHead, bool], None],
    ):
        self._attempt_state = attempt_state
        self._on_head = on_head
        self._forwarding = False
        self._paused = False
        self.connection: ClientConnection | None = None
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.ended = False
        self.ran = False
        self.status = 0
        self.size = 0
        # Whether the request timed out, here or at the upstream.
        self.timed_out = False
        self.failed = False
        # Whether the connection broke before the end of the response.
        self.broken = False
        self.failure: Failure | None = None

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to this request.

        A late response to an earlier request on the connection carries that one's id. A
        refusal without an id is accepted only on a new connection, where it cannot be
        the repetition of an earlier one.
        """
        response_id = get_header(head.headers, REQUEST_ID_HEADER)
        if not response_id:
            is_first = self.connection.requests_sent == 1
            return is_first and head.status in NOT_RUN_STATUSES
        return response_id == self._attempt_state.attempt.request_id

    def on_head(self, head: ResponseHead) -> None:
        """Classify the response by its status and headers."""
        not_run = get_header(head.headers, NOT_RUN_HEADER)
        refused = head.status == MISDIRECTED or (
            bool(not_run) and head.status in NOT_RUN_STATUSES
        )
        self._on_head(self._attempt_state, head, not refused)
        if refused:
            kind = ErrorKind.SHED if head.status != MISDIRECTED else ErrorKind.NOT_OWNER
            instance_id = get_header(head.headers, INSTANCE_ID_HEADER)
            detail = (
                f"upstream refused the request: {head.status} {instance_id}".rstrip()
            )
            self.failed = True
            self._settle(Failure(kind, Outcome.NOT_RUN, detail, 0.0, sent=True))
            return
        self.ran = True
        self.status = head.status
        self.timed_out = head.status == GATEWAY_TIMEOUT
        self.failed = head.status >= SERVER_ERROR
        if head.status < 300 and not get_header(head.headers, SIGNATURE_HEADER):
            detail = "response of the upstream has no signature"
            self._settle(unknown(ErrorKind.UPSTREAM_LOST, detail))
            return
        self._forwarding = True
        headers = end_to_end(head.headers)
        self._attempt_state.sink.on_reply_head(head.status, headers, head.length)

    def _settle(self, failure: Failure) -> None:
        """End the attempt at the head of its response: the body changes nothing.

        The body may have no end. The connection is not used again.
        """
        self.failure = failure
        self.on_end()

    def on_data(self, data: bytes) -> None:
        """Forward a part of the body."""
        self.size += len(data)
        if self._forwarding:
            sink = self._attempt_state.sink
            sink.on_reply_data(data)
            if sink.window.full and not self._paused:
                self._paused = True
                sink.window.on_open = self._resume
                self.connection.pause_reading()

    def _resume(self) -> None:
        """Read on from the upstream."""
        if self._paused:
            self._paused = False
            self.connection.resume_reading()

    def on_end(self) -> None:
        """Mark the response as complete."""
        self.ended = True
        self._resume()
        if not self.done.done():
            self.done.set_result(None)

    def on_error(self, error: ConnectionBrokenError) -> None:
        """Report that the response is missing or truncated."""
        if not self.done.done():
            self.broken = True
            self.done.set_exception(error)


def not_run(kind: ErrorKind, detail: str, retry_after_s: float = 0.0) -> Failure:
    """Return the failure of an attempt that did not run."""
    return Failure(kind, Outcome.NOT_RUN, detail, retry_after_s)


def unknown(kind: ErrorKind, detail: str) -> Failure:
    """Return the failure of an attempt that may have run."""
    return Failure(kind, Outcome.UNKNOWN, detail, 0.0, sent=True)
