"""Common base of entry and owner proxies: serve, respond to and record requests."""

__all__ = ["Hop", "HopContext"]

import asyncio
from dataclasses import dataclass

from aiohttp import web

from ragwortferry.exceptions import ErrorKind, InvariantError, RequestError
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log
from ragwortferry.requests.drain import Drain
from ragwortferry.requests.messages import TargetReply
from ragwortferry.requests.record import RequestRecord
from ragwortferry.requests.responses import error_response, relay, set_proxy_headers
from ragwortferry.spread.members import Members
from ragwortferry.spread.store import VersionStore


@dataclass(frozen=True, slots=True)
class HopContext:
    """Services that every hop uses."""

    kernel: Kernel
    members: Members
    store: VersionStore
    drain: Drain
    log: Log


class Hop:
    """One hop of the request path; a subclass implements how to run a request.

    :param name: name of the hop in the request record.
    """

    def __init__(self, name: str, context: HopContext):
        self._name = name
        self._kernel = context.kernel
        self._members = context.members
        self._store = context.store
        self._drain = context.drain
        self._log = context.log
        self.response_counts: dict[str, int] = {}

    async def _run_request(self, request: web.BaseRequest, record: RequestRecord):
        """Run a request and return the reply of a target.

        :raises RequestError: if this hop must send an error response.
        """
        raise NotImplementedError

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request and write its record, also if it fails or is cancelled."""
        record = RequestRecord(self._name, own_version=self._store.current.version)
        with self._drain.in_flight:
            try:
                return await self._respond(request, record)
            except RequestError as error:
                return self._error_response(error, record)
            except asyncio.CancelledError:
                record.record_disconnect()
                raise
            except Exception as error:
                return self._error_response(self._internal_error(error, record), record)
            finally:
                kind = record.error or "none"
                self.response_counts[kind] = self.response_counts.get(kind, 0) + 1
                record.write(self._log)

    async def _respond(
        self, request: web.BaseRequest, record: RequestRecord
    ) -> web.StreamResponse:
        reply: TargetReply = await self._run_request(request, record)
        response, result = await relay(request, reply, self._response_headers(record))
        record.record_relay(reply.status, result)
        return response

    def _error_response(
        self, error: RequestError, record: RequestRecord
    ) -> web.Response:
        """Record an error and return the response for it."""
        record.record_error(error)
        response = error_response(error)
        response.headers.update(self._response_headers(record))
        if error.kind is ErrorKind.BODY_CUT:
            response.force_close()
        return response

    def _internal_error(self, error: Exception, record: RequestRecord) -> RequestError:
        """Log an unexpected exception; a violated invariant stops the process."""
        self._log.error(
            "request failed with an unexpected error",
            error,
            request_id=record.request_id,
        )
        if isinstance(error, InvariantError):
            self._kernel.fail(error)
        return RequestError(ErrorKind.INTERNAL, type(error).__name__)

    def _response_headers(self, record: RequestRecord) -> dict[str, str]:
        """Return the headers that this hop adds to a response."""
        headers: dict[str, str] = {}
        me = self._members.me
        set_proxy_headers(headers, record.request_id, me.id, me.zone, record.policy)
        return headers
