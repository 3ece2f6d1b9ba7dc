"""What entry and owner proxies share: serve one request, answer errors, record it."""

__all__ = ["Hop", "HopParts"]

import asyncio
from dataclasses import dataclass

from aiohttp import web

from ragwortferry.exceptions import ErrorKind, InvariantError, RequestError
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log
from ragwortferry.requests.drain import Drain
from ragwortferry.requests.messages import TargetReply
from ragwortferry.requests.record import RequestRecord
from ragwortferry.requests.responses import error_response, relay, stamp
from ragwortferry.spread.members import Members
from ragwortferry.spread.store import VersionStore


@dataclass(frozen=True, slots=True)
class HopParts:
    """The services that every hop needs."""

    kernel: Kernel
    members: Members
    store: VersionStore
    drain: Drain
    log: Log


class Hop:
    """One hop of a request; a subclass finds the answer.

    :param name: name of the hop in the record.
    """

    def __init__(self, name: str, parts: HopParts):
        self._name = name
        self._kernel = parts.kernel
        self._members = parts.members
        self._store = parts.store
        self._drain = parts.drain
        self._log = parts.log
        self.response_counts: dict[str, int] = {}

    async def _run(self, request: web.BaseRequest, record: RequestRecord):
        """Return the answer of a target.

        :raises RequestError: if this hop answers itself.
        """
        raise NotImplementedError

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request and write its record, however it ends."""
        record = RequestRecord(self._name, own_version=self._store.mark.version)
        with self._drain.in_flight:
            try:
                return await self._answer(request, record)
            except RequestError as error:
                return self._refusal(error, record)
            except asyncio.CancelledError:
                record.note_caller_gone()
                raise
            except Exception as error:
                return self._refusal(self._internal(error, record), record)
            finally:
                kind = record.error or "none"
                self.response_counts[kind] = self.response_counts.get(kind, 0) + 1
                record.write(self._log)

    async def _answer(
        self, request: web.BaseRequest, record: RequestRecord
    ) -> web.StreamResponse:
        reply: TargetReply = await self._run(request, record)
        answer, relayed = await relay(request, reply, self._headers(record))
        record.note_relayed(reply.status, relayed)
        return answer

    def _refusal(self, error: RequestError, record: RequestRecord) -> web.Response:
        """Return the answer for an error."""
        record.note_error(error)
        answer = error_response(error)
        answer.headers.update(self._headers(record))
        if error.kind is ErrorKind.BODY_CUT:
            answer.force_close()
        return answer

    def _internal(self, error: Exception, record: RequestRecord) -> RequestError:
        """Report an error of the program itself."""
        self._log.error("request failed", error, request_id=record.request_id)
        if isinstance(error, InvariantError):
            self._kernel.fail(error)
        return RequestError(ErrorKind.INTERNAL, type(error).__name__)

    def _headers(self, record: RequestRecord) -> dict[str, str]:
        """Return the headers that this hop adds to an answer."""
        headers: dict[str, str] = {}
        me = self._members.me
        stamp(headers, record.request_id, me.id, me.zone, record.policy)
        return headers
