import asyncio

import pytest
from multidict import CIMultiDict

from ragwortferry.document.snapshot import Route, Service
from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.requests.balance import Balancer
from ragwortferry.requests.drain import Drain
from ragwortferry.requests.entry import Entry
from ragwortferry.requests.hop import HopContext
from ragwortferry.requests.messages import Attempt, Body, Policy
from ragwortferry.requests.record import RequestRecord
from ragwortferry.spread.members import Members
from ragwortferry.tests.builders import (
    instance,
    instance_list,
    kernel,
    log,
    rng,
    run,
    store,
)

NAMES = ("a", "b", "c", "d")
SERVICE = Service("tablero", "boards", NAMES, 20, 130, 40, 0.0)


def entry_with_failures(*errors):
    """Return an entry proxy whose attempts fail with the given errors in order."""
    members = Members(instance("me"), fanout=4, readers=2)
    members.apply(instance_list([instance(name) for name in NAMES]))
    drain = Drain(members, log(), 1.0)
    context = HopContext(kernel(), members, store(), drain, log())
    entry = Entry(context, Balancer(members, rng()), None, None, "incarnation")
    remaining = list(errors)

    async def send(attempt, to):
        raise RequestError(remaining.pop(0))

    entry._send = send
    return entry


async def outcome_of(entry, idempotent=True):
    route = Route(
        "r", "boards", "/", "tablero", frozenset(), idempotent, 9.0, 9.0, 2, 1.0
    )
    policy = Policy(1, "d", "boards", "r", idempotent, 9.0, 1.0)
    deadline = asyncio.get_running_loop().time() + 9
    attempt = Attempt(
        "", "id", "GET", "/", CIMultiDict(), Body(b"", None), policy, deadline
    )
    record = RequestRecord("entry")
    with pytest.raises(RequestError) as caught:
        await entry._try_upstreams(attempt, route, SERVICE, record)
    return caught.value.kind, caught.value.outcome, len(record.attempts)


def test_outcome_is_not_run_only_if_no_attempt_may_have_run():
    async def scenario():
        lost, refused = ErrorKind.UPSTREAM_LOST, ErrorKind.DEADLINE_BEFORE_RUN
        entry = entry_with_failures(lost, refused)
        assert await outcome_of(entry) == (refused, Outcome.UNKNOWN, 2)
        entry = entry_with_failures(ErrorKind.LEAVING, refused)
        assert await outcome_of(entry) == (refused, Outcome.NOT_RUN, 2)
        entry = entry_with_failures(lost, ErrorKind.LEAVING, refused)
        assert await outcome_of(entry) == (refused, Outcome.UNKNOWN, 3)

    run(scenario())


def test_a_payment_that_may_have_run_is_not_retried():
    async def scenario():
        entry = entry_with_failures(ErrorKind.UPSTREAM_LOST)
        found = await outcome_of(entry, idempotent=False)
        assert found == (ErrorKind.UPSTREAM_LOST, Outcome.UNKNOWN, 1)
        entry = entry_with_failures(ErrorKind.LEAVING, ErrorKind.UPSTREAM_LOST)
        found = await outcome_of(entry, idempotent=False)
        assert found == (ErrorKind.UPSTREAM_LOST, Outcome.UNKNOWN, 2)

    run(scenario())
