"""Distribution between real processes when other parts fail."""

import asyncio
import signal
import time

import pytest

from ragwortferry.source.port import Instance
from ragwortferry.tests.builders import run, section
from ragwortferry.tests.fleets import (
    assert_no_rollback,
    build_document,
    in_zone,
    running,
)
from ragwortferry.utils.digests import rank_key
from standins.fleet import Fleet, wait_until
from standins.network import Fault
from standins.platform import Faults

MAX_SPREAD_S = 16.0
MIN_OUTAGE_CALLS = 60
MAX_CALLS_PER_S = 4 * 10


def test_killed_instances_return_without_rollback_or_call_storm(tmp_path):
    async def scenario():
        async with running(tmp_path, 9, zones=3) as fleet:
            killed = list(fleet.nodes)[:6]
            for name in killed:
                fleet.kill(name)
            fleet.publish(build_document(9, timeout_ms=1500), 2)
            await fleet.wait_version(2, list(fleet.nodes)[6:], MAX_SPREAD_S)
            for name in killed:
                await fleet.spawn(name)
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)
            fleet.publish(build_document(9, timeout_ms=1400), 3)
            await fleet.wait_version(3, bound_s=MAX_SPREAD_S)
            assert_no_rollback(fleet)
            assert max(fleet.platform.calls_by_second.values()) < 2000
            assert fleet.platform.rejected == 0

    run(scenario())


def test_only_readers_watch_and_reads_do_not_grow_with_the_fleet(tmp_path):
    async def scenario():
        async with running(tmp_path, 12, zones=2) as fleet:

            async def two_readers_per_zone():
                states = [await fleet.state(name) for name in fleet.nodes]
                return sum(state["reading"] for state in states) <= 4 and states

            states = await wait_until(
                two_readers_per_zone, MAX_SPREAD_S, "two readers per zone"
            )
            assert {state["threads"] for state in states} == {1}
            for state in states:
                assert len(state["children"]) == len(set(state["children"]))
            before = fleet.platform.calls["key"]
            fleet.publish(build_document(12, timeout_ms=1500), 2)
            await fleet.wait_version(2)
            assert fleet.platform.calls["key"] - before <= 4 * 3
            last = [fleet.events(name, "enforced")[-1] for name in fleet.nodes]
            spread = [event["spread_s"] for event in last]
            assert 0 < max(spread) < MAX_SPREAD_S

    run(scenario())


def test_one_reader_per_zone_fetches_a_large_document(tmp_path):
    async def scenario():
        names = [f"tablero{number}" for number in range(40)]
        document = {name: section(name) for name in names}
        async with running(tmp_path, 6, document=document) as fleet:
            reads = fleet.platform.calls["key"]
            assert reads < 2 * len(names) + 6 * 4, reads

    run(scenario())


def test_delta_is_applied_or_its_manifest_is_read(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            fleet.publish(build_document(4, timeout_ms=1500), 2, as_delta=True)
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)
            fleet.platform.set_faults(Faults(outage=True))
            fleet.publish(build_document(4, timeout_ms=1400), 3, as_delta=True)
            fleet.publish(build_document(4, timeout_ms=1300), 4, as_delta=True)
            fleet.platform.set_faults(Faults())
            await fleet.wait_version(4, bound_s=MAX_SPREAD_S)

    run(scenario())


def test_resumed_process_enforces_the_newest_version(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            paused = min(
                in_zone(fleet, "zone-a"), key=lambda name: rank_key("zone-a", name)
            )
            others = [name for name in fleet.nodes if name != paused]
            fleet.signal(paused, signal.SIGSTOP)
            for version in (2, 3):
                fleet.publish(build_document(6, timeout_ms=1000 + version), version)
                await fleet.wait_version(version, others, MAX_SPREAD_S)
            fleet.signal(paused, signal.SIGCONT)
            await fleet.wait_version(3, bound_s=MAX_SPREAD_S)
            assert_no_rollback(fleet)

    run(scenario())


def test_invalid_version_is_refused_everywhere_and_the_next_enforced(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            bad = build_document(6, timeout_ms=1111)
            bad["more"] = section("archivo").replace(
                b'service = "archivo"', b'service = "gone"'
            )
            fleet.publish(bad, 2)

            async def refused():
                status = await fleet.status("tablero-1", version=2)
                return sum(status["refused"].values()) == 6 and status

            status = await wait_until(refused, MAX_SPREAD_S, "refused everywhere")
            assert "service 'gone' does not exist" in next(iter(status["refused"]))
            assert set((await fleet.versions()).values()) == {1}
            response = await fleet.call("tablero-1", "GET", "/tablero")
            assert response.headers["X-Ragwortferry-Version"] == "1"
            fleet.publish(build_document(6, timeout_ms=1500), 3)
            await fleet.wait_version(3, bound_s=MAX_SPREAD_S)

    run(scenario())


def test_missing_section_is_reported_until_it_is_published(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            document = build_document(4, timeout_ms=1500)
            put = fleet.platform.put
            fleet.platform.put = lambda key, data, expected=None: (
                None if key.startswith("sections/") else put(key, data, expected)
            )
            fleet.publish(document, 2)
            fleet.platform.put = put

            async def refused():
                return (await fleet.status("tablero-2"))["refused"]

            reasons = await wait_until(refused, MAX_SPREAD_S, "a refusal")
            assert "section 'boards': missing at digest" in next(iter(reasons))
            assert set((await fleet.versions()).values()) == {1}
            fleet.publish(document, 2)
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)

    run(scenario())


def test_versions_are_distributed_after_the_platform_unfreezes(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            fleet.platform.set_faults(Faults(frozen=True))
            fleet.publish(build_document(4, timeout_ms=1500), 2)
            response = await fleet.call("tablero-1", "GET", "/tablero")
            assert response.headers["X-Ragwortferry-Version"] == "1"
            fleet.platform.set_faults(Faults())
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)

    run(scenario())


def test_rewound_platform_causes_no_rollback_even_after_restarts(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            old = fleet.platform.revision
            fleet.publish(build_document(6, timeout_ms=1500), 2)
            await fleet.wait_version(2)
            fleet.platform.set_faults(Faults(rewound=old))
            for name in ("tablero-1", "tablero-2"):
                fleet.kill(name)
                await fleet.nodes[name].process.wait()
                await fleet.spawn(name)
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)
            assert_no_rollback(fleet)
            for name in fleet.nodes:
                stale = [event["version"] for event in fleet.events(name, "enforced")]
                assert 1 not in stale[1:], (name, stale)

    run(scenario())


def test_restarted_process_takes_the_boot_floor_from_peers(tmp_path):
    async def scenario():
        async with running(tmp_path, 2, zones=2) as fleet:
            old = fleet.platform.revision
            fleet.publish(build_document(2, timeout_ms=1500), 2)
            await fleet.wait_version(2)
            fleet.platform.set_faults(Faults(rewound=old))
            fleet.kill("tablero-1")
            await fleet.nodes["tablero-1"].process.wait()
            await fleet.spawn("tablero-1")
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)
            versions = [e["version"] for e in fleet.events("tablero-1", "enforced")]
            assert versions == [1, 2, 2]
            assert fleet.events("tablero-1", "floor")[-1]["version"] == 2

    run(scenario())


def test_other_content_under_the_same_version_is_refused(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            digest = (await fleet.state("tablero-1"))["digest"]
            fleet.publish(build_document(4, timeout_ms=1500), 1)

            async def reported():
                states = [await fleet.state(name) for name in fleet.nodes]
                problems = [state["source_problem"] for state in states]
                return any("with other content" in problem for problem in problems)

            await wait_until(reported, MAX_SPREAD_S, "a reported problem")
            for name in fleet.nodes:
                assert (await fleet.state(name))["digest"] == digest
            fleet.publish(build_document(4, timeout_ms=1500), 2)
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)

    run(scenario())


def test_zone_without_the_platform_gets_versions_from_another_zone(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            zone_a = fleet.zone_number("zone-a")
            fleet.network.partition(zone_a, ["9"], Fault.SILENT)
            fleet.publish(build_document(6, timeout_ms=1500), 2)
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)

    run(scenario())


@pytest.mark.parametrize("fault", [Fault.PARTITION, Fault.SILENT])
def test_partitioned_zone_keeps_serving_and_reports_ages(tmp_path, fault):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            zone_a, zone_b = fleet.zone_number("zone-a"), fleet.zone_number("zone-b")

            async def complete():
                return (await fleet.status("tablero-1"))["complete"]

            await wait_until(complete, MAX_SPREAD_S, "a complete status")
            inside, outside = in_zone(fleet, "zone-a"), in_zone(fleet, "zone-b")
            fleet.network.partition(zone_a, ["9", zone_b], fault)
            fleet.publish(build_document(6, timeout_ms=1500), 2)
            await fleet.wait_version(2, outside, MAX_SPREAD_S)
            for name in inside:
                response = await fleet.call(name, "GET", "/tablero")
                assert response.status == 200
                assert response.headers["X-Ragwortferry-Version"] == "1"

            async def aged():
                status = await fleet.status(inside[0])
                zones = {zone["zone"]: zone for zone in status["zones"]}
                return zones["zone-b"]["age_s"] > 2 and status

            status = await wait_until(aged, MAX_SPREAD_S, "an aging summary")
            assert status["newest"] == 1
            outside_status = await fleet.status(outside[0], version=2)
            assert not outside_status["complete"] and outside_status["enforced"] == 3
            fleet.network.heal()
            for proxy in fleet.network.proxies:
                proxy.reset()
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)
            assert_no_rollback(fleet)
            assert fleet.platform.rejected == 0

    run(scenario())


def test_silent_links_are_closed_and_replaced(tmp_path):
    async def scenario():
        async with running(tmp_path, 6, zones=1) as fleet:

            async def linked():
                states = [await fleet.state(name) for name in fleet.nodes]
                return sum(bool(state.get("parent")) for state in states) == 5

            await wait_until(linked, MAX_SPREAD_S, "all but the root have a parent")
            for node in fleet.nodes.values():
                node.proxies["link"].silence_open()
            fleet.publish(build_document(6, timeout_ms=1500), 2)
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)

            async def timed_out():
                events = [
                    event["reason"]
                    for name in fleet.nodes
                    for event in fleet.events(name, "link-down")
                ]
                return sum("no message" in reason for reason in events) >= 5

            await wait_until(timed_out, MAX_SPREAD_S, "silent links are closed")
            await wait_until(linked, MAX_SPREAD_S, "all have a parent again")

    run(scenario())


def test_garbage_on_a_link_port_is_rejected(tmp_path):
    async def scenario():
        async with running(tmp_path, 3, zones=1) as fleet:
            for node in fleet.nodes.values():
                for data in (b"\x00" * 64, b"\xff" * 64, b"GET / HTTP/1.1\r\n\r\n"):
                    _, writer = await asyncio.open_connection(
                        node.instance.host, node.instance.link_port
                    )
                    writer.write(data)
                    await writer.drain()
                    writer.close()
            fleet.publish(build_document(3, timeout_ms=1500), 2)
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)
            assert fleet.events("tablero-1", "link-refused")

    run(scenario())


def test_platform_outage_causes_no_call_storm(tmp_path):
    async def scenario():
        async with running(tmp_path, 8) as fleet:
            fleet.platform.set_faults(Faults(outage=True))
            before, start = sum(fleet.platform.calls.values()), time.monotonic()

            async def enough_calls():
                return sum(fleet.platform.calls.values()) - before >= MIN_OUTAGE_CALLS

            await wait_until(enough_calls, MAX_SPREAD_S, "calls during the outage")
            rate = MIN_OUTAGE_CALLS / (time.monotonic() - start)
            fleet.publish(build_document(8, timeout_ms=1500), 2)
            fleet.platform.set_faults(Faults())
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)
            assert rate < MAX_CALLS_PER_S
            response = await fleet.call("tablero-3", "GET", "/tablero")
            assert response.status == 200

    run(scenario())


def test_outdated_instance_list_does_not_prevent_joining(tmp_path):
    async def scenario():
        async with Fleet(tmp_path, fault_proxies=True) as fleet:
            for number in range(5):
                await fleet.add(f"tablero-{number + 1}", "zone-a", "tablero")
            dead = Instance("tablero-9", "zone-a", "zone", "127.10.9.9", 1, 2, 3)
            listed = [fleet.nodes[f"tablero-{n}"].listed for n in (1, 2, 3, 4)]
            fleet.platform.change_instances([*listed, dead], [])
            fleet.publish(build_document(5), 1)
            await fleet.spawn_all()
            await fleet.wait_version(1)
            joined = await fleet.state("tablero-5")
            assert joined["parent"] or joined["reading"]
            fleet.publish(build_document(5, timeout_ms=1500), 2)
            await fleet.wait_version(2, bound_s=MAX_SPREAD_S)
            status = await fleet.status("tablero-1")
            assert not status["complete"] and status["not_heard"] >= 1

    run(scenario())


def test_racing_operators_leave_one_version_enforced(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            for version in range(2, 8):
                for operator in (0, 1):
                    document = build_document(
                        6, timeout_ms=1000 + 10 * version + operator
                    )
                    fleet.publish(document, version, base=1)
            await fleet.wait_version(7, bound_s=MAX_SPREAD_S)
            fleet.publish(build_document(6, timeout_ms=1500), 8)
            await fleet.wait_version(8, bound_s=MAX_SPREAD_S)
            digests = {(await fleet.state(name))["digest"] for name in fleet.nodes}
            assert len(digests) == 1
            assert_no_rollback(fleet)

    run(scenario())


def test_process_joins_from_seeds_during_a_platform_outage(tmp_path):
    async def scenario():
        async with running(tmp_path, 4, zones=1) as fleet:
            fleet.kill("tablero-4")
            await fleet.nodes["tablero-4"].process.wait()
            fleet.platform.set_faults(Faults(outage=True))
            seed = fleet.nodes["tablero-1"].listed
            await fleet.spawn("tablero-4", seeds=f"{seed.host}:{seed.link_port}")
            await fleet.wait_version(1, bound_s=MAX_SPREAD_S)

    run(scenario())
