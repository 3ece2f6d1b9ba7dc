"""Transfers of state over narrow network links, and who makes them."""

import asyncio
import random

import pytest

from ragwortferry.kernel import Kernel
from ragwortferry.mesh.links.frames import (
    Bandwidths,
    Cancel,
    ConfigurationChange,
    Hello,
    Pull,
    Registry,
    decode_frame,
)
from ragwortferry.mesh.links.link import LENGTH_PREFIX_BYTES, Link
from ragwortferry.mesh.links.peers import Peers
from ragwortferry.mesh.links.relay import HUBS_PER_ZONE, Relay
from ragwortferry.mesh.placement.aperture import Aperture
from ragwortferry.mesh.reader import Reader
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.platform.config import decode_document
from ragwortferry.platform.store import StoreUnavailableError
from ragwortferry.tests.mesh_builders import (
    a_large_config,
    a_pacer,
    an_evacuation_exchange,
    an_upstream,
    null_log,
)
from ragwortferry.utils.sockets import Address

ROUTES = 2_800
NARROW_MBPS, WIDE_MBPS = 3.0, 50.0
# 19 KB/s at 0.47 changes/s, for one copy received and eight passed on.
MAX_CHANGE_BYTES = 4_500
# A message may wait for 0.1 s of what was sent before it.
MAX_BYTES_AHEAD = int(0.1 * NARROW_MBPS * 125_000)


class FakeTransport:
    """Keeps what is written."""

    def __init__(self):
        self.data = b""

    def set_write_buffer_limits(self, high):
        """Accept any limit."""

    def write(self, data):
        self.data += data

    def abort(self):
        """Do nothing."""


class ForwardingHandler:
    """Passes the messages of a link to a relay."""

    def __init__(self, relay=None):
        self.relay = relay

    def link_made(self, link):
        """Do nothing."""

    def link_lost(self, link, reason):
        """Do nothing."""

    def frame_received(self, link, frame):
        if self.relay is not None:
            self.relay.on_frame(link, frame)


def _node(host="10.0.0.1", zone="a"):
    state = MeshState(decode_document, null_log())
    return state, Relay(state, host, zone)


def _neighbour_link(relay, pacer, version=0, host="10.0.0.2"):
    link = Link(ForwardingHandler(), False, pacer, host)
    link.connection_made(FakeTransport())
    link.zone, link.subscribed = "a", True
    link.peer_version, link.peer_revision = version, 1
    relay.links = lambda: [link]
    return link


def _frames(data: bytes) -> list:
    frames = []
    while len(data) >= LENGTH_PREFIX_BYTES:
        size = int.from_bytes(data[:LENGTH_PREFIX_BYTES], "big")
        if len(data) < LENGTH_PREFIX_BYTES + size:
            break
        frames.append(decode_frame(data[LENGTH_PREFIX_BYTES:][:size]))
        data = data[LENGTH_PREFIX_BYTES + size :]
    return frames


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param(Registry(5, 6, [an_upstream(draining=True)], []), id="draining"),
        pytest.param(Cancel("k-1"), id="cancellation"),
    ],
)
def test_short_message_does_not_wait_behind_a_configuration_in_transfer(frame):
    async def scenario():
        state, relay = _node()
        link = _neighbour_link(relay, a_pacer(NARROW_MBPS))
        state.apply_document(a_large_config("r7", ROUTES), "store")
        ahead = len(link._transport.data)
        link.send(frame)
        assert type(_frames(link._transport.data)[-1]) is type(frame)
        assert ahead <= MAX_BYTES_AHEAD

    asyncio.run(scenario())


def test_small_change_of_a_large_configuration_is_sent_as_a_difference():
    async def scenario():
        state, relay = _node()
        link = _neighbour_link(relay, a_pacer(), version=7)
        state.apply_document(a_large_config("r7", ROUTES), "store")
        link._transport.data = b""
        state.apply_document(a_large_config("r8", ROUTES, changed=1234), "store")
        sent = link._transport.data
        assert 0 < len(sent) <= MAX_CHANGE_BYTES
        receiver_state, receiver = _node("10.0.0.2")
        receiver_state.apply_document(a_large_config("r7", ROUTES), "store")
        for frame in _frames(sent):
            receiver.on_frame(link, frame)
        assert receiver_state.version == 8
        assert receiver_state.document.digest == state.document.digest

    asyncio.run(scenario())


def test_nodes_with_the_widest_network_links_read_the_store():
    wide = {"10.0.0.7", "10.0.0.11"}
    hosts = [f"10.0.0.{n}" for n in range(1, 21)]
    readers = set()
    for host in hosts:
        _, relay = _node(host)
        for other in hosts:
            relay.record_bandwidth(other, WIDE_MBPS if other in wide else NARROW_MBPS)
        relay.set_hosts({other: "a" for other in hosts if other != host})
        if relay.is_reader(other for other in hosts if other != host):
            readers.add(host)
    assert readers == wide and len(wide) == HUBS_PER_ZONE


def test_registry_reads_do_not_hide_that_the_configuration_cannot_be_read():
    async def scenario():
        state, relay = _node()
        peers = type("NoPeers", (), {"links": []})()
        rng = random.Random(1)
        reader = Reader(
            Kernel(null_log()),
            state,
            peers,
            relay,
            an_evacuation_exchange(state, relay),
            None,
            null_log(),
            rng,
        )
        reader._record_failure("configuration", StoreUnavailableError("too slow"))
        reader._record_success("registry")
        assert not relay.store_available
        reader._record_success("configuration")
        assert relay.store_available

    asyncio.run(scenario())


def test_lost_reads_of_the_configuration_do_not_delay_removals_from_the_registry():
    async def scenario():
        state, relay = _node()
        peers = type("NoPeers", (), {"links": []})()
        rng = random.Random(1)
        reader = Reader(
            Kernel(null_log()),
            state,
            peers,
            relay,
            an_evacuation_exchange(state, relay),
            None,
            null_log(),
            rng,
        )
        state.apply_registry(RegistryChange(0, 5, [an_upstream()]), "store")
        reader._record_success("registry")
        error = StoreUnavailableError("transfer stalled", responded=True)
        reader._record_failure("configuration", error)
        assert reader._hold_expired({"i-1": 6}) == []

    asyncio.run(scenario())


def test_node_that_becomes_a_child_on_an_open_link_receives_changes():
    async def scenario():
        state, relay = _node()
        address = Address("10.0.0.1", 8145)
        peers = Peers(
            Kernel(null_log()),
            state,
            None,
            relay,
            None,
            an_evacuation_exchange(state, relay),
            address,
            8145,
            (),
            "a",
            Aperture("10.0.0.1", "a"),
            a_pacer(),
            "incarnation",
            null_log(),
            random.Random(1),
        )
        parent_state, parent = _node("10.0.0.2")
        link = Link(peers, True, a_pacer(), "10.0.0.2")
        link.connection_made(FakeTransport())
        link.zone = "a"
        peers._peer("10.0.0.2").link = link
        (hello,) = _frames(link._transport.data)
        assert isinstance(hello, Hello) and not hello.relays
        link._transport.data = b""
        upstreams = [
            an_upstream(f"i-{n}", address=Address(f"10.0.0.{n}", 8147), revision=5)
            for n in (2, 3)
        ]
        state.apply_registry(RegistryChange(0, 5, upstreams), "store")
        assert "10.0.0.2" in relay.neighbours
        accepted = Link(ForwardingHandler(), False, a_pacer(), "10.0.0.1")
        accepted.connection_made(FakeTransport())
        accepted.zone, accepted.peer_revision = "a", 5
        parent.links = lambda: [accepted]
        for frame in _frames(link._transport.data):
            parent.on_frame(accepted, frame)
        parent_state.apply_registry(
            RegistryChange(0, 6, [an_upstream(draining=True, revision=6)]), "store"
        )
        assert any(isinstance(f, Registry) for f in _frames(accepted._transport.data))
        await peers.stop()

    asyncio.run(scenario())


def test_next_nodes_take_the_places_of_parents_that_cannot_be_reached():
    hosts = [f"10.0.0.{n}" for n in range(1, 21)]
    _, relay = _node(hosts[0])
    relay.set_hosts({other: "a" for other in hosts[1:]})
    order = relay.zone_order
    _, relay = _node(order[-1])
    relay.is_reachable = lambda host: host not in order[:HUBS_PER_ZONE]
    relay.set_hosts({other: "a" for other in order[:-1]})
    assert relay.neighbours
    assert not relay.neighbours & set(order[:HUBS_PER_ZONE])


def test_bandwidth_that_a_peer_tells_does_not_override_the_nodes_own_statement():
    _, relay = _node()
    relay.record_bandwidth("10.0.0.1", NARROW_MBPS)
    relay.record_bandwidth("10.0.0.2", WIDE_MBPS)
    link = Link.__new__(Link)
    relay.on_frame(link, Bandwidths([("10.0.0.2", 1.0), ("10.0.0.3", WIDE_MBPS)]))
    relay.set_hosts({"10.0.0.2": "a", "10.0.0.3": "a"})
    assert set(relay.zone_order[:2]) == {"10.0.0.2", "10.0.0.3"}
    assert relay._bandwidths["10.0.0.2"] == WIDE_MBPS


def test_change_on_other_content_is_refused_and_the_whole_is_requested():
    async def scenario():
        state, relay = _node()
        state.apply_document(a_large_config("r7", 30), "store")
        other_state, _ = _node("10.0.0.2")
        other_state.apply_document(a_large_config("r7", 50), "store")
        other_state.apply_document(a_large_config("r8", 50, changed=4), "store")
        (change,) = other_state.changes_since_version(7)
        link = _neighbour_link(relay, a_pacer(), version=7)
        frame = ConfigurationChange(change.base, change.version, change.data)
        relay.on_frame(link, frame)
        assert state.version == 7
        assert _frames(link._transport.data) == [Pull(0, 0)]

    asyncio.run(scenario())


@pytest.mark.parametrize("mbps", [NARROW_MBPS, 1000.0])
def test_node_that_is_many_versions_behind_gets_the_whole_configuration(mbps):
    async def scenario():
        state, relay = _node()
        for number in range(1, 60):
            state.apply_document(a_large_config(f"r{number}", 300), "store")
        pacer = a_pacer(mbps)
        link = _neighbour_link(relay, pacer)
        relay.on_frame(link, Pull(2, 0))
        pacer._loop.run_until(20.0)
        receiver_state, receiver = _node("10.0.0.2")
        receiver_link = Link(ForwardingHandler(receiver), True, a_pacer(), "10.0.0.1")
        receiver_link.data_received(link._transport.data)
        assert receiver_state.version == 59
        assert receiver_state.document.digest == state.document.digest

    asyncio.run(scenario())
