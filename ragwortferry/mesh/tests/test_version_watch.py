"""The log shows a node that knows of a newer version and does not enforce it."""

import asyncio
import json

import pytest

from ragwortferry.mesh.links.frames import Announce, ConfigurationChange
from ragwortferry.mesh.links.relay import Relay
from ragwortferry.mesh.state import MeshState
from ragwortferry.mesh.version_watch import OVERDUE_S, VersionWatch
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import (
    ManualLoop,
    RecordingLog,
    a_config,
    a_link,
    null_log,
)


def _config(number: int) -> bytes:
    return json.dumps(a_config(f"r{number}")).encode()


@pytest.fixture
def node():
    """Return the state, the relay, the watch, its loop and its log of a node."""
    loop, log = ManualLoop(), RecordingLog()
    state = MeshState(decode_document, null_log())
    relay = Relay(state, "10.0.0.1", "a")
    watch = VersionWatch(state, loop, log)
    relay.on_known_version = watch.record
    state.apply_document(_config(7), "store")
    return state, relay, watch, loop, log


@pytest.mark.parametrize(
    "frame", [Announce(9, 0), ConfigurationChange(8, 9, b"?")], ids=["told", "change"]
)
def test_version_that_is_known_and_not_enforced_is_logged(node, frame):
    state, relay, watch, loop, log = node

    async def receive():
        relay.on_frame(a_link("10.0.0.2"), frame)

    asyncio.run(receive())
    loop.run_until(OVERDUE_S)
    (line,) = log.events
    assert line["type"] == "version-awaited"
    assert (line["version"], line["enforced"]) == (9, 7)
    assert line["origin"] == "10.0.0.2"
    loop.run_until(2.0)
    assert watch.awaited_s == 2.0
    state.apply_document(_config(9), "10.0.0.2")
    assert log.events[1]["type"] == "version-caught-up"
    assert log.events[1]["awaited_s"] == 2.0 and watch.awaited_s == 0


def test_version_that_arrives_soon_after_its_announcement_is_not_logged(node):
    state, _, watch, loop, log = node
    watch.record(9, "10.0.0.2")
    loop.run_until(OVERDUE_S / 2)
    state.apply_document(_config(9), "10.0.0.3")
    loop.run_until(2 * OVERDUE_S)
    assert log.events == [] and watch.awaited_s == 0


def test_wait_counts_from_the_first_of_several_versions(node):
    state, _, watch, loop, log = node
    watch.record(9, "10.0.0.2")
    loop.run_until(0.4)
    watch.record(12, "10.0.0.3")
    state.apply_document(_config(9), "10.0.0.2")
    loop.run_until(1.0)
    (line,) = log.events
    assert line["version"] == 12 and watch.awaited_s == 1.0
