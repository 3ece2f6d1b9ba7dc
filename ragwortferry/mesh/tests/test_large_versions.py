"""Versions that follow a large one closely, over narrow network links."""

import asyncio
import time

import pytest

from ragwortferry.mesh.links.frames import ConfigurationChange, Pull
from ragwortferry.mesh.links.relay import Relay
from ragwortferry.mesh.state import MeshState
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import a_large_config, a_link, null_log
from standins.mesh import POLL_S

ROUTES = 3_000
NARROW_MBPS = 3.0
LAYOUT = [("tablero", zone) for zone in "aaaabbbb"]
# Default of the settings, from the acknowledgement of a version.
CONFIG_APPLY_S = 2.0


async def _wait_for_version(mesh, machines, number: int, deadline: float) -> None:
    """Wait until nodes enforce a version, at the latest until a monotonic time."""
    line = f"ragwortferry_version {number}\n"
    async with asyncio.timeout(deadline - time.monotonic()):
        for machine in machines:
            while line not in await mesh.metrics(machine):
                await asyncio.sleep(POLL_S)


def test_versions_after_a_large_one_are_in_force_in_time_while_nodes_join(run_scenario):
    async def scenario(mesh):
        first = list(mesh.machines)
        await mesh.store.put("op/config", a_large_config("r8", ROUTES))
        joined = [await mesh.add("tablero", zone, seeds=(first[0],)) for zone in "ab"]
        await mesh.store.put("op/config", a_large_config("r11", ROUTES, changed=7))
        await _wait_for_version(mesh, first, 11, time.monotonic() + CONFIG_APPLY_S)
        joined += [await mesh.add("tablero", zone, seeds=(first[1],)) for zone in "ba"]
        await mesh.store.put("op/config", a_large_config("r13", ROUTES, changed=9))
        await _wait_for_version(mesh, first, 13, time.monotonic() + CONFIG_APPLY_S)
        await mesh.wait_ready(*joined)
        await _wait_for_version(mesh, joined, 13, time.monotonic() + CONFIG_APPLY_S)

    run_scenario(scenario, layout=LAYOUT, link_mbps=NARROW_MBPS)


@pytest.mark.parametrize("known", ["r7", None], ids=["older version", "nothing"])
def test_node_that_gets_a_difference_before_its_base_requests_both(known):
    def node(host):
        state = MeshState(decode_document, null_log())
        return state, Relay(state, host, "a")

    async def scenario():
        state, relay = node("10.0.0.1")
        parent_state, parent = node("10.0.0.2")
        if known is not None:
            state.apply_document(a_large_config(known, 30), "store")
            parent_state.apply_document(a_large_config(known, 30), "store")
        parent_state.apply_document(a_large_config("r8", 300), "store")
        parent_state.apply_document(a_large_config("r11", 300, changed=2), "store")
        change = parent_state.changes_since_version(8)[0]
        link, back = a_link("10.0.0.2"), a_link("10.0.0.1")
        frame = ConfigurationChange(change.base, change.version, change.data)
        relay.on_frame(link, frame)
        assert link.sent == [Pull(state.version, 0)]
        parent.on_frame(back, link.sent[0])
        for frame in back.sent:
            relay.on_frame(link, frame)
        assert state.version == 11
        assert state.document.digest == parent_state.document.digest

    asyncio.run(scenario())
