"""Conversion between attempts, their responses and the messages between nodes."""

__all__ = ["LinkSink", "attempt_from_submit", "failure_from_frame", "submit_frame"]

import asyncio
from collections.abc import Callable

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.mesh.admission.retry_after import Standing
from ragwortferry.mesh.attempt import Attempt, Failure
from ragwortferry.mesh.links.frames import Data, End, Failed, Head, Load, Submit
from ragwortferry.mesh.links.link import Link
from ragwortferry.mesh.window import Window
from ragwortferry.utils.egress import PIECE_BYTES, Stream

_ERROR_KINDS = frozenset(str(kind) for kind in ErrorKind)
_STANDINGS = frozenset(Standing)


class LinkSink:
    """Sends the response of the own upstream back over a link.

    :param key: id of the attempt.
    :param on_done: called with the key once the response or failure has been sent.
    """

    def __init__(self, link: Link, key: str, on_done: Callable[[str], None]):
        self._link = link
        self._key = key
        self._on_done = on_done
        self._size = 0
        # Set for a long response that is paced by the bandwidth of the network link.
        self._stream: Stream | None = None
        # A node of an earlier build does not report what its callers have taken.
        self.window = Window() if link.peer_reports_taken else Window(float("inf"))

    def discard(self) -> None:
        """Discard what has not been sent, because the attempt was cancelled."""
        if self._stream is not None:
            self._stream.drop()

    def on_reply_head(self, status, headers, length) -> None:
        """Send the status and headers."""
        self._link.send(Head(self._key, status, headers, length))
        self._stream = self._link.open_stream(length or 0)

    def on_reply_data(self, data: bytes) -> None:
        """Send a part of the body."""
        self._size += len(data)
        self.window.add(len(data))
        if self._stream is None:
            self._stream = self._link.open_stream(self._size)
        if self._stream is None:
            self._link.send(Data(self._key, data))
            return
        for start in range(0, len(data), PIECE_BYTES):
            piece = Data(self._key, data[start : start + PIECE_BYTES])
            self._link.enqueue(self._stream, piece)

    def on_reply_end(self, load: Load | None) -> None:
        """Send the end of the response."""
        self._send_last(End(self._key, load))

    def on_reply_failed(self, failure: Failure, load: Load | None) -> None:
        """Send the failure."""
        self._send_last(
            Failed(
                self._key,
                str(failure.kind),
                str(failure.outcome),
                failure.detail,
                failure.retry_after_s,
                failure.sent,
                load,
            )
        )

    def _send_last(self, frame: End | Failed) -> None:
        """Send the last message of the attempt, after all paced ones."""
        if self._stream is None:
            self._on_done(self._key)
            self._link.send(frame)
        else:
            self._stream.on_empty = lambda: self._on_done(self._key)
            self._link.enqueue(self._stream, frame)


def submit_frame(attempt: Attempt) -> Submit:
    """Return the message that submits an attempt to its owner."""
    now = asyncio.get_running_loop().time()
    return Submit(
        key=attempt.key,
        request_id=attempt.request_id,
        upstream=attempt.upstream,
        left_ms=(attempt.deadline - now) * 1000,
        objective_ms=(attempt.objective - now) * 1000,
        priority=attempt.priority,
        repeatable=attempt.idempotent,
        route=attempt.route,
        version=attempt.version,
        caller=attempt.caller,
        method=attempt.method,
        target=attempt.target,
        headers=attempt.headers,
        body=attempt.body,
        trial=attempt.trial,
        standing=int(attempt.standing),
    )


def attempt_from_submit(frame: Submit, host: str) -> Attempt:
    """Return the attempt that a message submits to this node.

    :param host: IP address of this node.
    """
    now = asyncio.get_running_loop().time()
    return Attempt(
        key=frame.key,
        request_id=frame.request_id,
        upstream=frame.upstream,
        host=host,
        deadline=now + frame.left_ms / 1000,
        objective=now + frame.objective_ms / 1000,
        priority=frame.priority,
        idempotent=frame.repeatable,
        route=frame.route,
        version=frame.version,
        caller=frame.caller,
        method=frame.method,
        target=frame.target,
        headers=frame.headers,
        body=frame.body,
        trial=frame.trial,
        standing=_standing(frame.standing),
    )


def _standing(value: int) -> Standing:
    """Return a standing; a node of another build may name one that is unknown here."""
    return Standing(value) if value in _STANDINGS else Standing.NEW


def failure_from_frame(frame: Failed) -> Failure:
    """Return the failure that a message reports.

    A node of another build may send kinds and outcomes that this one does not know. An
    unknown outcome proves nothing.
    """
    not_run = frame.ran == Outcome.NOT_RUN
    outcome = Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
    if frame.ran == Outcome.RAN:
        outcome = Outcome.RAN
    kind = ErrorKind.NO_UPSTREAM if not_run else ErrorKind.UPSTREAM_LOST
    if frame.kind in _ERROR_KINDS:
        kind = ErrorKind(frame.kind)
    return Failure(kind, outcome, frame.detail, frame.retry_after_s, frame.offered)
