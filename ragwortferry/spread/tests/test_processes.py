"""Distribution between real processes, under failure."""

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

SPREAD_BOUND_S = 16.0
OUTAGE_CALLS = 60
MOST_CALLS_A_SECOND = 4 * 10


def test_herds_die_and_return_without_a_step_back_or_a_storm(tmp_path):
    async def scenario():
        async with running(tmp_path, 9, zones=3) as fleet:
            herd = list(fleet.nodes)[:6]
            for name in herd:
                fleet.kill(name)
            fleet.publish(build_document(9, timeout_ms=1500), 2)
            await fleet.wait_version(2, list(fleet.nodes)[6:], SPREAD_BOUND_S)
            for name in herd:
                await fleet.spawn(name)
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)
            fleet.publish(build_document(9, timeout_ms=1400), 3)
            await fleet.wait_version(3, bound_s=SPREAD_BOUND_S)
            assert_no_rollback(fleet)
            assert max(fleet.platform.per_second.values()) < 2000
            assert fleet.platform.limited == 0

    run(scenario())


def test_only_readers_watch_and_reads_do_not_grow_with_the_fleet(tmp_path):
    async def scenario():
        async with running(tmp_path, 12, zones=2) as fleet:

            async def settled():
                states = [await fleet.state(name) for name in fleet.nodes]
                return sum(state["reading"] for state in states) <= 4 and states

            states = await wait_until(settled, SPREAD_BOUND_S, "two readers a zone")
            assert {state["threads"] for state in states} == {1}
            for state in states:
                assert len(state["children"]) == len(set(state["children"]))
            before = fleet.platform.calls["key"]
            fleet.publish(build_document(12, timeout_ms=1500), 2)
            await fleet.wait_version(2)
            assert fleet.platform.calls["key"] - before <= 4 * 3
            last = [fleet.events(name, "enforced")[-1] for name in fleet.nodes]
            spread = [event["spread_s"] for event in last]
            assert 0 < max(spread) < SPREAD_BOUND_S

    run(scenario())


def test_one_reader_of_a_zone_reads_a_large_document_for_all(tmp_path):
    async def scenario():
        names = [f"tablero{number}" for number in range(40)]
        document = {name: section(name) for name in names}
        async with running(tmp_path, 6, document=document) as fleet:
            reads = fleet.platform.calls["key"]
            assert reads < 2 * len(names) + 6 * 4, reads

    run(scenario())


def test_the_short_form_spreads_and_is_worked_out_or_read(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            fleet.publish(build_document(4, timeout_ms=1500), 2, short=True)
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)
            fleet.platform.set_faults(Faults(outage=True))
            fleet.publish(build_document(4, timeout_ms=1400), 3, short=True)
            fleet.publish(build_document(4, timeout_ms=1300), 4, short=True)
            fleet.platform.set_faults(Faults())
            await fleet.wait_version(4, bound_s=SPREAD_BOUND_S)

    run(scenario())


def test_a_process_that_was_paused_wakes_to_the_newest_version(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            paused = min(
                in_zone(fleet, "zone-a"), key=lambda name: rank_key("zone-a", name)
            )
            others = [name for name in fleet.nodes if name != paused]
            fleet.signal(paused, signal.SIGSTOP)
            for version in (2, 3):
                fleet.publish(build_document(6, timeout_ms=1000 + version), version)
                await fleet.wait_version(version, others, SPREAD_BOUND_S)
            fleet.signal(paused, signal.SIGCONT)
            await fleet.wait_version(3, bound_s=SPREAD_BOUND_S)
            assert_no_rollback(fleet)

    run(scenario())


def test_a_bad_version_is_refused_everywhere_whole_and_the_next_one_taken(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            bad = build_document(6, timeout_ms=1111)
            bad["more"] = section("archivo").replace(
                b'service = "archivo"', b'service = "gone"'
            )
            fleet.publish(bad, 2)

            async def refused():
                answer = await fleet.status("tablero-1", version=2)
                return sum(answer["refused"].values()) == 6 and answer

            answer = await wait_until(refused, SPREAD_BOUND_S, "refused everywhere")
            assert "service 'gone' does not exist" in next(iter(answer["refused"]))
            assert set((await fleet.versions()).values()) == {1}
            reply = await fleet.call("tablero-1", "GET", "/tablero")
            assert reply.headers["X-Ragwortferry-Version"] == "1"
            fleet.publish(build_document(6, timeout_ms=1500), 3)
            await fleet.wait_version(3, bound_s=SPREAD_BOUND_S)

    run(scenario())


def test_a_manifest_naming_a_missing_section_waits_and_says_why(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            document = build_document(4, timeout_ms=1500)
            late = fleet.platform.put
            fleet.platform.put = lambda key, data, expected=None: (
                None if key.startswith("sections/") else late(key, data, expected)
            )
            fleet.publish(document, 2)
            fleet.platform.put = late

            async def refused():
                return (await fleet.status("tablero-2"))["refused"]

            reasons = await wait_until(refused, SPREAD_BOUND_S, "a refusal")
            assert "section 'boards': missing at digest" in next(iter(reasons))
            assert set((await fleet.versions()).values()) == {1}
            fleet.publish(document, 2)
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)

    run(scenario())


def test_a_frozen_platform_holds_nobody_up_once_it_moves_again(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            fleet.platform.set_faults(Faults(frozen=True))
            fleet.publish(build_document(4, timeout_ms=1500), 2)
            reply = await fleet.call("tablero-1", "GET", "/tablero")
            assert reply.headers["X-Ragwortferry-Version"] == "1"
            fleet.platform.set_faults(Faults())
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)

    run(scenario())


def test_a_rewound_platform_turns_nobody_back_not_even_a_restarted_slot(tmp_path):
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
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)
            assert_no_rollback(fleet)
            for name in fleet.nodes:
                stale = [event["version"] for event in fleet.events(name, "enforced")]
                assert 1 not in stale[1:], (name, stale)

    run(scenario())


def test_a_restarted_slot_waits_for_its_peers_while_the_platform_is_rewound(tmp_path):
    async def scenario():
        async with running(tmp_path, 2, zones=2) as fleet:
            old = fleet.platform.revision
            fleet.publish(build_document(2, timeout_ms=1500), 2)
            await fleet.wait_version(2)
            fleet.platform.set_faults(Faults(rewound=old))
            fleet.kill("tablero-1")
            await fleet.nodes["tablero-1"].process.wait()
            await fleet.spawn("tablero-1")
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)
            versions = [e["version"] for e in fleet.events("tablero-1", "enforced")]
            assert versions == [1, 2, 2]
            assert fleet.events("tablero-1", "floor")[-1]["version"] == 2

    run(scenario())


def test_the_same_number_with_other_content_is_refused_and_reported(tmp_path):
    async def scenario():
        async with running(tmp_path, 4) as fleet:
            digest = (await fleet.state("tablero-1"))["digest"]
            fleet.publish(build_document(4, timeout_ms=1500), 1)

            async def reported():
                states = [await fleet.state(name) for name in fleet.nodes]
                problems = [state["source_problem"] for state in states]
                return any("with other content" in problem for problem in problems)

            await wait_until(reported, SPREAD_BOUND_S, "a report")
            for name in fleet.nodes:
                assert (await fleet.state(name))["digest"] == digest
            fleet.publish(build_document(4, timeout_ms=1500), 2)
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)

    run(scenario())


def test_a_zone_without_the_platform_takes_versions_from_another(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            zone_a = fleet.zone_number("zone-a")
            fleet.network.separate(zone_a, ["9"], Fault.SILENT)
            fleet.publish(build_document(6, timeout_ms=1500), 2)
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)

    run(scenario())


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.SILENT])
def test_a_zone_cut_off_from_all_serves_on_and_says_how_old_it_is(tmp_path, fault):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            zone_a, zone_b = fleet.zone_number("zone-a"), fleet.zone_number("zone-b")

            async def told():
                return (await fleet.status("tablero-1"))["complete"]

            await wait_until(told, SPREAD_BOUND_S, "zones know of each other")
            inside, outside = in_zone(fleet, "zone-a"), in_zone(fleet, "zone-b")
            fleet.network.separate(zone_a, ["9", zone_b], fault)
            fleet.publish(build_document(6, timeout_ms=1500), 2)
            await fleet.wait_version(2, outside, SPREAD_BOUND_S)
            for name in inside:
                reply = await fleet.call(name, "GET", "/tablero")
                assert reply.status == 200
                assert reply.headers["X-Ragwortferry-Version"] == "1"

            async def aged():
                answer = await fleet.status(inside[0])
                zones = {zone["zone"]: zone for zone in answer["zones"]}
                return zones["zone-b"]["age_s"] > 2 and answer

            answer = await wait_until(aged, SPREAD_BOUND_S, "a growing age")
            assert answer["newest"] == 1
            there = await fleet.status(outside[0], version=2)
            assert not there["complete"] and there["enforced"] == 3
            fleet.network.heal()
            for proxy in fleet.network.proxies:
                proxy.reset()
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)
            assert_no_rollback(fleet)
            assert fleet.platform.limited == 0

    run(scenario())


def test_links_that_fall_silent_are_found_and_replaced(tmp_path):
    async def scenario():
        async with running(tmp_path, 6, zones=1) as fleet:

            async def linked():
                states = [await fleet.state(name) for name in fleet.nodes]
                return sum(bool(state.get("parent")) for state in states) == 5

            await wait_until(linked, SPREAD_BOUND_S, "all but the root have a parent")
            for node in fleet.nodes.values():
                node.fronts["link"].silence_open()
            fleet.publish(build_document(6, timeout_ms=1500), 2)
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)

            async def found():
                events = [
                    event["reason"]
                    for name in fleet.nodes
                    for event in fleet.events(name, "link-down")
                ]
                return sum("no message" in reason for reason in events) >= 5

            await wait_until(found, SPREAD_BOUND_S, "silent links are found")
            await wait_until(linked, SPREAD_BOUND_S, "all have a parent again")

    run(scenario())


def test_garbage_on_a_link_harms_nobody(tmp_path):
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
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)
            assert fleet.events("tablero-1", "link-refused")

    run(scenario())


def test_an_outage_ends_without_a_storm(tmp_path):
    async def scenario():
        async with running(tmp_path, 8) as fleet:
            fleet.platform.set_faults(Faults(outage=True))
            before, start = sum(fleet.platform.calls.values()), time.monotonic()

            async def called():
                return sum(fleet.platform.calls.values()) - before >= OUTAGE_CALLS

            await wait_until(called, SPREAD_BOUND_S, "calls during the outage")
            rate = OUTAGE_CALLS / (time.monotonic() - start)
            fleet.publish(build_document(8, timeout_ms=1500), 2)
            fleet.platform.set_faults(Faults())
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)
            assert rate < MOST_CALLS_A_SECOND
            reply = await fleet.call("tablero-3", "GET", "/tablero")
            assert reply.status == 200

    run(scenario())


def test_a_lagging_list_costs_a_timeout_and_bars_nobody(tmp_path):
    async def scenario():
        async with Fleet(tmp_path, fronted=True) as fleet:
            for number in range(5):
                await fleet.add(f"tablero-{number + 1}", "zone-a", "tablero")
            dead = Instance("tablero-9", "zone-a", "zone", "127.10.9.9", 1, 2, 3)
            listed = [fleet.nodes[f"tablero-{n}"].listed for n in (1, 2, 3, 4)]
            fleet.platform.change_list([*listed, dead], [])
            fleet.publish(build_document(5), 1)
            await fleet.spawn_all()
            await fleet.wait_version(1)
            joined = await fleet.state("tablero-5")
            assert joined["parent"] or joined["reading"]
            fleet.publish(build_document(5, timeout_ms=1500), 2)
            await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)
            answer = await fleet.status("tablero-1")
            assert not answer["complete"] and answer["not_heard"] >= 1

    run(scenario())


def test_two_operators_who_race_leave_one_version_in_force(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as fleet:
            for version in range(2, 8):
                for who in (0, 1):
                    document = build_document(6, timeout_ms=1000 + 10 * version + who)
                    fleet.publish(document, version, base=1)
            await fleet.wait_version(7, bound_s=SPREAD_BOUND_S)
            fleet.publish(build_document(6, timeout_ms=1500), 8)
            await fleet.wait_version(8, bound_s=SPREAD_BOUND_S)
            digests = {(await fleet.state(name))["digest"] for name in fleet.nodes}
            assert len(digests) == 1
            assert_no_rollback(fleet)

    run(scenario())


def test_a_process_joins_from_seeds_alone_while_the_platform_is_down(tmp_path):
    async def scenario():
        async with running(tmp_path, 4, zones=1) as fleet:
            fleet.kill("tablero-4")
            await fleet.nodes["tablero-4"].process.wait()
            fleet.platform.set_faults(Faults(outage=True))
            seed = fleet.nodes["tablero-1"].listed
            await fleet.spawn("tablero-4", seeds=f"{seed.host}:{seed.link_port}")
            await fleet.wait_version(1, bound_s=SPREAD_BOUND_S)

    run(scenario())
