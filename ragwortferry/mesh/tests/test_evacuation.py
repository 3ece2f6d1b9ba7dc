"""Evacuated zones: the state and its exchange, without a network."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from ragwortferry.mesh.links.frames import (
    EvacuatedZones,
    ZoneChange,
    decode_frame,
    encode_frame,
)
from ragwortferry.mesh.links.relay import Relay
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.mesh.zones import MAX_ZONES, Evacuations
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import (
    an_evacuation_exchange,
    an_upstream,
    null_log,
)

CHANGES = [
    ZoneChange("a", 3, True),
    ZoneChange("b", 4, True),
    ZoneChange("a", 7, False),
    ZoneChange("b", 9, False),
    ZoneChange("b", 12, True),
]


class FakeLink:
    """Records the messages sent to a peer."""

    def __init__(self, revision: int = 0):
        self.host = "10.0.0.9"
        self.peer_evacuation_revision = revision
        self.sent = []

    def send(self, frame):
        self.sent.append(decode_frame(encode_frame(frame)))


def _exchange(*links):
    state = MeshState(decode_document, null_log())
    relay = Relay(state, "10.0.0.1", "a")
    relay.links = lambda: list(links)
    return state, an_evacuation_exchange(state, relay)


@given(st.permutations(CHANGES), st.integers(0, 4))
def test_changes_in_any_order_and_repeated_lead_to_the_same_zones(changes, again):
    evacuations = Evacuations()
    for item in [*changes, changes[again]]:
        evacuations.apply([item])
    assert evacuations.zones == ["b"] and evacuations.revision == 12


def test_zone_that_a_full_listing_lacks_is_restored():
    """Guards against a zone that stays empty since the removal was not seen."""
    evacuations = Evacuations()
    evacuations.apply([ZoneChange("a", 3, True), ZoneChange("b", 4, True)])
    assert evacuations.replace({"b": 4}, 20) == ["a"]
    assert evacuations.zones == ["b"]


def test_old_listing_does_not_end_a_newer_evacuation():
    evacuations = Evacuations()
    evacuations.apply([ZoneChange("a", 30, True)])
    assert evacuations.replace({}, 20) == [] and evacuations.zones == ["a"]


def test_zones_without_end_are_bounded_and_current_ones_kept_longest():
    evacuations = Evacuations()
    for number in range(3 * MAX_ZONES):
        changes = [ZoneChange(f"z{number}", 2 * number + 1, True)]
        if number:
            changes.append(ZoneChange(f"z{number}", 2 * number + 2, False))
        evacuations.apply(changes)
    assert len(evacuations.changes) == MAX_ZONES and evacuations.zones == ["z0"]


def test_unknown_zone_takes_no_upstream_away():
    state, exchange = _exchange()
    state.apply_registry(RegistryChange(0, 5, [an_upstream(zone="a")]), "store")
    exchange.apply([ZoneChange("nowhere", 8, True)], "store")
    assert len(state.available_upstreams("tablero")) == 1


def test_upstreams_of_evacuated_zones_are_not_available_and_return():
    state, exchange = _exchange()
    upstreams = [an_upstream(f"i-{zone}", zone=zone) for zone in "ab"]
    state.apply_registry(RegistryChange(0, 5, upstreams), "store")
    exchange.apply([ZoneChange("a", 8, True)], "store")
    assert [u.id for u in state.available_upstreams("tablero")] == ["i-b"]
    assert not state.is_service_evacuated("tablero")
    exchange.apply([ZoneChange("b", 9, True)], "store")
    assert state.available_upstreams("tablero") == []
    assert state.is_service_evacuated("tablero")
    exchange.apply([ZoneChange("a", 10, False)], "store")
    assert [u.id for u in state.available_upstreams("tablero")] == ["i-a"]


def test_change_goes_to_all_peers_once_but_not_to_those_of_earlier_builds():
    peer, earlier = FakeLink(), FakeLink(-1)
    _, exchange = _exchange(peer, earlier)
    change = ZoneChange("a", 8, True)
    exchange.apply([change], "store")
    exchange.apply([change], "10.0.0.7")
    assert peer.sent == [EvacuatedZones([change])] and earlier.sent == []


def test_peer_that_missed_a_change_is_told_after_its_next_heartbeat():
    """Guards against nodes that were cut off and never learn of an evacuation."""
    _, exchange = _exchange()
    exchange.apply([ZoneChange("a", 8, True)], "store")
    late = FakeLink(-1)
    exchange.on_peer_revision(late, 0)
    exchange.on_peer_revision(late, 8)
    assert late.sent == [EvacuatedZones([ZoneChange("a", 8, True)])]


def test_nodes_in_a_ring_all_learn_a_change_and_stop_to_tell_it():
    """Guards against messages that circulate for ever."""
    count = 6
    nodes = [_exchange() for _ in range(count)]
    links = {}
    for one, other in itertools.permutations(range(count), 2):
        if (one - other) % count in (1, count - 1):
            links[one, other] = FakeLink()
            links[one, other].host = str(other)
    for number, (_, exchange) in enumerate(nodes):
        own = [link for (one, _), link in links.items() if one == number]
        exchange._relay.links = lambda own=own: own
    nodes[0][1].apply([ZoneChange("a", 8, True)], "store")
    for _ in range(count):
        for (one, other), link in links.items():
            pending, link.sent = link.sent, []
            for frame in pending:
                nodes[other][1].on_frame(links[other, one], frame)
    assert all(state.evacuations.zones == ["a"] for state, _ in nodes)
    assert not any(link.sent for link in links.values())
