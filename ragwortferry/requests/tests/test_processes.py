"""Requests through real proxy processes under injected faults."""

import asyncio
import json
import signal
import socket
import time
from collections import Counter

import aiohttp
import pytest
from yarl import URL

from ragwortferry.record.explain import explain_request
from ragwortferry.record.logfiles import read_lines
from ragwortferry.tests.builders import run
from ragwortferry.tests.fleets import build_document, running
from standins.fleet import wait_until
from standins.network import Fault
from standins.target import Behaviour

DRAIN_TIMEOUT_S = 3.0
TIMEOUT_S = 15.0
MEBIBYTE = 2**20
ENTRY = "tablero-1"

EXPORT_ROUTE = """
[[routes]]
name = "exports"
prefix = "/exports"
service = "tablero"
idempotent = true
timeout_ms = 4000
max_share = 0.5
"""


def count_runs(fleet, request_id):
    return sum(node.target.count_runs(request_id) for node in fleet.nodes.values())


async def pay(fleet, request_id, entry=ENTRY, path="/tablero/pay", **options):
    """Send a payment; return its outcome, ``broken`` if the connection failed."""
    headers = {"X-Request-Id": request_id}
    try:
        response = await fleet.call(entry, "POST", path, headers=headers, **options)
    except (aiohttp.ClientError, TimeoutError):
        return "broken"
    return response.headers["X-Ragwortferry-Outcome"]


def assert_outcomes_correct(fleet, outcomes):
    """Assert that no request ran twice and that each reported outcome is true."""
    for request_id, outcome in outcomes.items():
        count = count_runs(fleet, request_id)
        assert count <= 1, (request_id, outcome, count)
        assert not (outcome == "not-run" and count), (request_id, count)
        assert not (outcome == "ran" and count != 1), (request_id, count)


async def wait_any_running(fleet):
    """Wait until a request runs at any target."""

    async def running_somewhere():
        return any(node.target.running for node in fleet.nodes.values())

    await wait_until(running_somewhere, TIMEOUT_S, "a request runs")


async def wait_executed(fleet, count):
    """Wait until ``count`` requests have run; return whether they did in time."""

    async def ran():
        return sum(len(n.target.ledger) for n in fleet.nodes.values()) >= count

    try:
        return await wait_until(ran, 2.0, f"{count} requests have run")
    except AssertionError:
        return False


async def pay_many(fleet, count, prefix, inject_faults=None, entries=None):
    """Send payments concurrently, injecting faults meanwhile."""
    entries = entries or list(fleet.nodes)
    names = [f"{prefix}-{number}" for number in range(count)]
    tasks = [
        asyncio.ensure_future(pay(fleet, name, entries[at % len(entries)], data=b"fee"))
        for at, name in enumerate(names)
    ]
    if inject_faults:
        await inject_faults()
    return dict(zip(names, await asyncio.gather(*tasks), strict=True))


def test_every_caller_gets_the_complete_response_to_its_own_request(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:

            async def one(number):
                path = f"/tablero/{number}?delay_ms={(number * 37) % 90}"
                headers = {"X-Request-Id": f"own-{number}"}
                response = await fleet.call(
                    f"tablero-{number % 4 + 1}", "GET", path, headers=headers
                )
                body = json.loads(response.body)
                assert body["path"] == f"/tablero/{number}"
                assert body["id"] == f"own-{number}"

            await asyncio.gather(*(one(number) for number in range(80)))
            size = 3 * MEBIBYTE
            for framing in ("", "&unframed=1"):
                path = f"/tablero/x?bytes={size}{framing}"
                response = await fleet.call(ENTRY, "GET", path)
                assert len(response.body) == size

    run(scenario())


@pytest.mark.parametrize("framing", ["", "&unframed=1"], ids=["length", "unframed"])
@pytest.mark.parametrize("size", [1000, 3 * MEBIBYTE])
def test_a_truncated_response_never_looks_complete(tmp_path, size, framing):
    """Break off responses in the middle, buffered and streamed ones.

    The caller must get an error response or a broken connection, not a short body that
    ends in order.
    """

    async def scenario():
        async with running(tmp_path, 2, zones=1) as fleet:
            for node in fleet.nodes.values():
                node.target.behaviour = Behaviour(cut=True)
            path = f"/tablero/x?bytes={size}{framing}"
            try:
                response = await fleet.call(ENTRY, "GET", path)
            except aiohttp.ClientError:
                return
            assert response.status == 502

    run(scenario())


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour(reset=True),
        Behaviour(silent=True),
        Behaviour(shed=True),
        Behaviour(delay_s=0.2, slots=2),
        Behaviour(leaving=True),
    ],
    ids=["reset", "silent", "shed", "slow", "leaving"],
)
def test_a_payment_runs_at_most_once_under_target_faults(tmp_path, behaviour):
    """Run payments while two of four targets misbehave.

    Retrying a payment whose outcome is unknown could run it twice.
    """

    async def scenario():
        document = build_document(4, timeout_ms=700)
        async with running(tmp_path, 4, document=document) as fleet:
            for name in ("tablero-1", "tablero-2"):
                fleet.nodes[name].target.behaviour = behaviour
            outcomes = await pay_many(fleet, 80, "p")
            assert_outcomes_correct(fleet, outcomes)
            assert "ran" in outcomes.values()

    run(scenario())


def test_a_payment_runs_at_most_once_while_proxies_are_killed(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            for node in fleet.nodes.values():
                node.target.behaviour = Behaviour(delay_s=0.1)

            async def inject_faults():
                for name in ("tablero-2", "tablero-3"):
                    await wait_any_running(fleet)
                    fleet.kill(name)

            outcomes = await pay_many(
                fleet, 120, "k", inject_faults, entries=["tablero-1", "tablero-4"]
            )
            assert_outcomes_correct(fleet, outcomes)
            assert Counter(outcomes.values())["ran"] > 40

    run(scenario())


def test_a_payment_runs_at_most_once_while_connections_are_reset(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            for node in fleet.nodes.values():
                node.target.behaviour = Behaviour(delay_s=0.05)

            async def inject_faults():
                for number in range(1, 6):
                    if not await wait_executed(fleet, 15 * number):
                        return
                    for node in fleet.nodes.values():
                        node.proxies["owner"].reset()

            outcomes = await pay_many(fleet, 120, "b", inject_faults)
            assert_outcomes_correct(fleet, outcomes)

    run(scenario())


def test_duplicated_connections_do_not_run_a_payment_twice(tmp_path):
    """Duplicate the connections to the owners.

    An owner that doesn't recognize the second copy of an attempt by its key could run
    the payment twice.
    """

    async def scenario():
        async with running(tmp_path, 3, zones=1) as fleet:
            for node in fleet.nodes.values():
                node.proxies["owner"].fault = Fault.DUPLICATE
                node.target.behaviour = Behaviour(delay_s=0.05)
            outcomes = await pay_many(fleet, 60, "twin")
            assert_outcomes_correct(fleet, outcomes)
            assert Counter(outcomes.values())["ran"] >= 20

    run(scenario())


def test_connections_to_a_target_stay_within_their_limit(tmp_path):
    async def scenario():
        document = build_document(1, extra="slots = 4\nconnections = 4\nqueue = 200")
        async with running(tmp_path, 1, zones=1, document=document) as fleet:
            target = fleet.nodes[ENTRY].target
            target.behaviour = Behaviour(connections=4, delay_s=0.02)
            lookups = [fleet.call(ENTRY, "GET", f"/tablero/{n}") for n in range(40)]
            responses, outcomes = await asyncio.gather(
                asyncio.gather(*lookups), pay_many(fleet, 40, "c")
            )
            assert {response.status for response in responses} == {200}
            assert set(outcomes.values()) == {"ran"}
            assert target.max_connections <= 4

    run(scenario())


def test_a_payment_on_a_silent_connection_is_fenced_and_retried(tmp_path):
    """Silence the open connections between proxies; new ones work.

    Every payment must run exactly once and be reported as run, so an attempt that did
    not arrive has to be retried. That it is fenced first is not checked here.
    """

    async def scenario():
        async with running(tmp_path, 3, zones=1) as fleet:
            await pay_many(fleet, 12, "warm")
            for node in fleet.nodes.values():
                node.proxies["owner"].silence_open()
            outcomes = await pay_many(fleet, 12, "s")
            assert_outcomes_correct(fleet, outcomes)
            assert set(outcomes.values()) == {"ran"}

    run(scenario())


def test_a_silent_pooled_connection_to_a_target_renews_the_pool(tmp_path):
    """Silence the pooled connections to a target; new ones work.

    Payments, which use new connections, must all run. The first idempotent request may
    time out. The next ones must succeed; if the pool gave them other silent
    connections, they could time out as well.
    """

    async def scenario():
        async with running(tmp_path, 1, zones=1) as fleet:
            name = ENTRY
            fleet.signal(name, signal.SIGTERM)
            await fleet.nodes[name].process.wait()
            front = await fleet.add_target_proxy(name)
            await fleet.spawn(name)
            await fleet.wait_version(1)
            await asyncio.gather(
                *(fleet.call(name, "GET", "/tablero?delay_ms=50") for _ in range(6))
            )
            front.silence_open()
            outcomes = await pay_many(fleet, 4, "t")
            assert set(outcomes.values()) == {"ran"}
            first = await fleet.call(name, "GET", "/tablero")
            assert first.status in (200, 504)
            responses = [await fleet.call(name, "GET", "/tablero") for _ in range(6)]
            assert [response.status for response in responses] == [200] * 6

    run(scenario())


def test_an_idempotent_request_is_retried_when_its_target_is_silent(tmp_path):
    async def scenario():
        document = build_document(3, timeout_ms=3000)
        document["boards"] = document["boards"].replace(
            b"retries = 2", b"retries = 2\nsilence_ms = 400"
        )
        async with running(tmp_path, 3, zones=1, document=document) as fleet:
            fleet.nodes["tablero-2"].target.behaviour = Behaviour(silent=True)
            for number in range(12):
                response = await fleet.call(ENTRY, "GET", f"/tablero/{number}")
                assert response.status == 200

    run(scenario())


def test_a_refusal_is_immediate_not_run_and_has_a_retry_after(tmp_path):
    async def scenario():
        async with running(tmp_path, 2, zones=1) as fleet:
            for node in fleet.nodes.values():
                node.target.behaviour = Behaviour(shed=True)
            start = time.monotonic()
            response = await fleet.call(ENTRY, "POST", "/tablero/pay")
            assert time.monotonic() - start < 1.0
            assert response.status == 503
            assert response.headers["X-Ragwortferry-Outcome"] == "not-run"
            assert int(response.headers["Retry-After"]) >= 1
            assert all(not node.target.ledger for node in fleet.nodes.values())

    run(scenario())


def test_slot_limits_hold_and_exports_leave_slots_for_panels(tmp_path):
    async def scenario():
        document = build_document(1, extra="slots = 4\nqueue = 8", routes=EXPORT_ROUTE)
        async with running(tmp_path, 1, zones=1, document=document) as fleet:
            target = fleet.nodes[ENTRY].target
            target.behaviour = Behaviour(slots=4)
            exports = [
                asyncio.ensure_future(
                    fleet.call(ENTRY, "GET", f"/exports/{n}?delay_ms=1500")
                )
                for n in range(8)
            ]

            async def two_running():
                return target.running == 2

            await wait_until(two_running, TIMEOUT_S, "two exports run")
            start = time.monotonic()
            for number in range(0, 20, 2):
                pair = (f"/tablero/{number}", f"/tablero/{number + 1}")
                panels = await asyncio.gather(
                    *(fleet.call(ENTRY, "GET", path) for path in pair)
                )
                assert [response.status for response in panels] == [200, 200]
            assert time.monotonic() - start < 1.0
            assert target.max_running <= 4 and target.refused == 0
            await asyncio.gather(*exports)

    run(scenario())


def test_draining_completes_requests_and_new_ones_go_to_other_instances(tmp_path):
    """Stop an instance with SIGTERM while a long response is streamed from it."""

    async def scenario():
        async with running(tmp_path, 3, zones=1) as fleet:
            node = fleet.nodes["tablero-2"]
            for other in ("tablero-1", "tablero-3"):
                fleet.nodes[other].target.behaviour = Behaviour(shed=True)
            size = 4 * MEBIBYTE
            path = f"/tablero/x?bytes={size}&pause_ms=8"
            export = asyncio.ensure_future(fleet.call(ENTRY, "GET", path))

            async def streaming():
                return node.target.running == 1

            await wait_until(streaming, TIMEOUT_S, "the export runs")
            for other in ("tablero-1", "tablero-3"):
                fleet.nodes[other].target.behaviour = Behaviour()
            fleet.signal("tablero-2", signal.SIGTERM)

            async def draining():
                return fleet.events("tablero-2", "leaving")

            await wait_until(draining, DRAIN_TIMEOUT_S, "tablero-2 drains")
            before = len(node.target.ledger)
            outcomes = await pay_many(fleet, 60, "d", entries=["tablero-1"])
            assert_outcomes_correct(fleet, outcomes)
            assert set(outcomes.values()) == {"ran"}
            response = await export
            assert response.status == 200 and len(response.body) == size
            assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == 0
            assert len(node.target.ledger) == before

    run(scenario())


@pytest.mark.parametrize("announced_by", ["list", "target"])
def test_a_draining_target_gets_no_new_requests(tmp_path, announced_by):
    async def scenario():
        async with running(tmp_path, 3, zones=1) as fleet:
            node = fleet.nodes["tablero-2"]
            if announced_by == "list":
                leaving = type(node.listed)(
                    **{
                        **{
                            name: getattr(node.listed, name)
                            for name in node.listed.__struct_fields__
                        },
                        "leaving": True,
                    }
                )
                fleet.platform.change_instances([leaving], [])
            else:
                node.target.behaviour = Behaviour(leaving=True)

            async def draining():
                await pay_many(fleet, 6, f"l-{time.monotonic()}")
                return fleet.events("tablero-2", "leaving")

            await wait_until(draining, DRAIN_TIMEOUT_S, "tablero-2 drains")
            before = len(node.target.ledger)
            outcomes = await pay_many(fleet, 40, "after")
            assert set(outcomes.values()) == {"ran"}
            assert len(node.target.ledger) == before

    run(scenario())


def test_one_leaving_response_of_the_target_starts_draining(tmp_path):
    """Send a single request: no second one may arrive from which to notice it."""

    async def scenario():
        async with running(tmp_path, 1, zones=1) as fleet:
            fleet.nodes[ENTRY].target.behaviour = Behaviour(leaving=True)
            await fleet.call(ENTRY, "POST", "/tablero/pay", data=b"fee")

            async def draining():
                return fleet.events(ENTRY, "leaving")

            await wait_until(draining, DRAIN_TIMEOUT_S, "the instance drains")

    run(scenario())


def test_a_second_signal_ends_draining_at_once(tmp_path):
    async def scenario():
        async with running(tmp_path, 1, zones=1) as fleet:
            process = fleet.nodes[ENTRY].process
            path = f"/tablero/x?bytes={64 * MEBIBYTE}&pause_ms=20"
            export = asyncio.ensure_future(fleet.call(ENTRY, "GET", path))

            async def streaming():
                return fleet.nodes[ENTRY].target.running == 1

            await wait_until(streaming, TIMEOUT_S, "the export runs")
            fleet.signal(ENTRY, signal.SIGTERM)

            async def draining():
                return fleet.events(ENTRY, "leaving")

            await wait_until(draining, TIMEOUT_S, "the instance drains")
            assert process.returncode is None
            fleet.signal(ENTRY, signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0
            with pytest.raises(aiohttp.ClientError):
                await export

    run(scenario())


def test_one_version_governs_a_request_until_its_last_byte(tmp_path):
    """Publish a new version while a response of the old one is streamed."""

    async def scenario():
        async with running(tmp_path, 2, zones=1) as fleet:
            headers = {"X-Request-Id": "long"}
            path = f"/tablero/x?bytes={MEBIBYTE}&pause_ms=10"
            export = asyncio.ensure_future(
                fleet.call(ENTRY, "GET", path, headers=headers)
            )

            async def streaming():
                return any(node.target.running for node in fleet.nodes.values())

            await wait_until(streaming, TIMEOUT_S, "the export runs")
            fleet.publish(build_document(2, timeout_ms=1500), 2)
            await fleet.wait_version(2)
            response = await export
            assert response.headers["X-Ragwortferry-Version"] == "1"
            assert len(response.body) == MEBIBYTE

            def explained():
                return explain_request("long", read_lines([str(tmp_path)], "long"))

            async def recorded():
                # The log lines of a streamed response are written after its last byte.
                found = explained()
                return found.hops and not found.remarks

            await wait_until(
                recorded, TIMEOUT_S, "entry and owner have written their log lines"
            )
            found = explained()
            assert {hop.version for hop in found.hops} == {1}
            assert found.ran == "ran" and not found.remarks

    run(scenario())


def test_a_disconnected_caller_cancels_its_request_at_the_target(tmp_path):
    async def scenario():
        async with running(tmp_path, 2, zones=1) as fleet:
            call = asyncio.ensure_future(
                fleet.call(ENTRY, "GET", "/tablero?delay_ms=1900")
            )

            async def started():
                return [r for n in fleet.nodes.values() for r in n.target.ledger]

            (entry,) = await wait_until(started, TIMEOUT_S, "the request runs")
            call.cancel()

            async def cancelled():
                return entry.cancelled

            await wait_until(cancelled, 1.0, "the target notices the cancellation")

    run(scenario())


def test_deadlines_shrink_at_each_hop_and_expire_in_time(tmp_path):
    async def scenario():
        async with running(tmp_path, 2, zones=1) as fleet:
            start = time.monotonic()
            response = await fleet.call(
                ENTRY,
                "POST",
                "/tablero/pay?delay_ms=3000",
                headers={"X-Request-Timeout-Ms": "400", "X-Request-Id": "late"},
            )
            assert 0.35 < time.monotonic() - start < 1.0
            assert response.status == 504
            assert response.headers["X-Ragwortferry-Outcome"] == "unknown"
            (entry,) = [r for n in fleet.nodes.values() for r in n.target.ledger]
            assert 0 < entry.timeout_ms <= 400

    run(scenario())


def test_retries_do_not_multiply_in_a_chain_of_twelve_services(tmp_path):
    """Let the last service of a chain fail.

    If each hop retried, the number of requests would grow exponentially with the depth.
    """

    async def scenario():
        async with running(tmp_path, 3, zones=1) as fleet:
            path = "/tablero/deep?depth=11&fail=1"
            response = await fleet.call(ENTRY, "GET", path)
            assert response.status >= 500
            total = sum(len(node.target.ledger) for node in fleet.nodes.values())
            assert total <= 11 + 3
            succeeded = await fleet.call(ENTRY, "GET", "/tablero/deep?depth=11")
            assert succeeded.status == 200

    run(scenario())


def test_invalid_requests_get_an_error_response_and_do_not_run(tmp_path):
    async def scenario():
        async with running(tmp_path, 1, zones=1) as fleet:
            cases = {
                ("GET", "/nowhere"): (404, {}),
                ("PUT", "/tablero"): (405, {}),
                ("GET", URL("/tablero/%2e%2e/pay", encoded=True)): (400, {}),
                ("GET", "/tablero?1"): (400, {"X-Request-Id": "a b"}),
                ("GET", "/tablero?2"): (400, {"X-Request-Timeout-Ms": "soon"}),
                ("GET", "/tablero?3"): (431, {"X-Big": "x" * 20_000}),
            }
            for (method, path), (status, headers) in cases.items():
                response = await fleet.call(ENTRY, method, path, headers=headers)
                assert response.status == status, path
                assert response.headers["X-Ragwortferry-Outcome"] == "not-run"
                assert json.loads(response.body)["detail"]
            await send_truncated_body(fleet.nodes[ENTRY].instance)

            async def logged():
                found = fleet.events(ENTRY, "request")
                cut = [e for e in found if e["error"] in ("body-cut", "caller-gone")]
                return [event["outcome"] for event in cut] == ["not-run"]

            await wait_until(
                logged, TIMEOUT_S, "the truncated request is recorded as not run"
            )
            assert fleet.nodes[ENTRY].target.ledger == []

    run(scenario())


async def send_truncated_body(instance):
    """Send a part of a request body and close the connection."""
    reader, writer = await asyncio.open_connection(
        instance.host, instance.listen_port, family=socket.AF_INET
    )
    writer.write(
        b"POST /tablero/pay HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"
    )
    await writer.drain()
    writer.write_eof()
    await reader.read()
    writer.close()


def test_no_payment_runs_twice_when_a_zone_is_partitioned(tmp_path):
    """Partition two zones silently and kill a proxy while payments run."""

    async def scenario():
        async with running(tmp_path, 4) as fleet:
            zone_a, zone_b = fleet.zone_number("zone-a"), fleet.zone_number("zone-b")
            for name in ("tablero-1", "tablero-3"):
                fleet.nodes[name].target.behaviour = Behaviour(slots=1, delay_s=0.05)

            async def inject_faults():
                await wait_any_running(fleet)
                fleet.network.partition(zone_a, [zone_b], Fault.SILENT)
                fleet.kill("tablero-4")

            outcomes = await pay_many(fleet, 80, "z", inject_faults)
            assert_outcomes_correct(fleet, outcomes)

    run(scenario())


def test_no_payment_runs_twice_after_a_paused_owner_resumes(tmp_path):
    """Suspend an owner, and resume it after the callers have their outcomes.

    Attempts may wait in its sockets meanwhile. Those that were retried elsewhere would
    run twice if the owner still ran them.
    """

    async def scenario():
        document = build_document(2, timeout_ms=800)
        async with running(tmp_path, 2, zones=1, document=document) as fleet:

            async def inject_faults():
                fleet.signal("tablero-2", signal.SIGSTOP)

            outcomes = await pay_many(
                fleet, 20, "w", inject_faults, entries=["tablero-1"]
            )
            fleet.signal("tablero-2", signal.SIGCONT)
            outcomes |= await pay_many(fleet, 20, "x", entries=["tablero-1"])
            assert_outcomes_correct(fleet, outcomes)

    run(scenario())
