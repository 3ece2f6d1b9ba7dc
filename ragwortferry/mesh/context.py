"""What an entry keeps of one request over its attempts."""

__all__ = ["RequestContext"]

from dataclasses import dataclass, field

from ragwortferry.http1.messages import Request
from ragwortferry.mesh.admission.retry_after import Standing
from ragwortferry.mesh.attempt import Failure, Reply
from ragwortferry.mesh.model import Document, Route


@dataclass(slots=True, eq=False)
class RequestContext:
    """State of one request on its way through the entry.

    :param service: destination that was chosen among the route's.
    :param deadline: loop time at which the final response is due.
    :param objective: loop time until which a response meets the latency objective,
        counted from the caller's first attempt.
    :param caller_deadline: loop time until which the caller waits; the same for its
        repetitions.
    :param tried: ids of the upstreams that were tried.
    :param attempts: log record of each attempt.
    :param arrivals: number of attempts that were sent to an upstream.
    :param refusals: number of attempts that were not sent to an upstream.
    :param outdated: those among them that outdated knowledge of this node led to.
    :param maybe_ran: whether a failed attempt may have run.
    :param failure: why the last failed attempt failed.
    :param response: last response of an upstream. Once there is one, the request has
        run, and the caller must not get a not-run error.
    :param limits: limits because of which no further upstream was tried.
    :param trial: whether it runs although upstreams have crashed under it.
    :param standing: its place among requests of its priority.
    """

    request: Request
    request_id: str
    document: Document
    route: Route
    service: str
    deadline: float
    objective: float
    caller_deadline: float = 0.0
    tried: list[str] = field(default_factory=list)
    attempts: list[dict] = field(default_factory=list)
    arrivals: int = 0
    refusals: int = 0
    outdated: int = 0
    maybe_ran: bool = False
    failure: Failure | None = None
    response: Reply | None = None
    limits: list[dict] = field(default_factory=list)
    trial: bool = False
    standing: Standing = Standing.NEW
