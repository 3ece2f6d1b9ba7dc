"""Updates of the state, which never go back whatever the order of changes."""

import json
import random

import pytest

from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import a_config, an_upstream, null_log
from ragwortferry.utils.sockets import Address


@pytest.fixture
def state():
    return MeshState(decode_document, null_log())


def _config(number: int) -> bytes:
    return json.dumps(a_config(f"r{number}")).encode()


def test_version_never_decreases(state):
    assert state.apply_document(_config(5), "store")
    assert not state.apply_document(_config(4), "peer")
    assert not state.apply_document(_config(5), "peer")
    assert state.apply_document(_config(12), "peer")
    assert state.version == 12


def test_invalid_configuration_leaves_the_previous_one_in_force(state):
    state.apply_document(_config(5), "store")
    broken = json.dumps(a_config("r6", clusters=[])).encode()
    assert not state.apply_document(broken, "store")
    assert state.version == 5


def test_compressed_configuration_gives_the_same_document_on_a_peer(state):
    state.apply_document(_config(5), "store")
    peer = MeshState(decode_document, null_log())
    assert peer.apply_compressed(state.compressed, "node")
    assert peer.document == state.document
    assert not peer.apply_compressed(b"?", "node")


def test_registry_changes_may_arrive_twice_and_in_any_order():
    changes = [
        RegistryChange(0, 3, [an_upstream("i-1", revision=1)]),
        RegistryChange(3, 4, [an_upstream("i-2", revision=4)]),
        RegistryChange(4, 5, [an_upstream("i-1", revision=5, draining=True)]),
        RegistryChange(5, 6, [], {"i-1": 6}),
        RegistryChange(6, 7, [an_upstream("i-3", revision=7)]),
    ]
    rng = random.Random(1)
    for _ in range(200):
        state = MeshState(decode_document, null_log())
        order = changes[1:] + rng.choices(changes[1:], k=3)
        rng.shuffle(order)
        state.apply_registry(changes[0], "store")
        for change in order:
            state.apply_registry(change, "peer")
        assert set(state.upstreams) == {"i-2", "i-3"}


def test_gap_in_registry_changes_is_reported_and_closed_by_a_snapshot(state):
    state.apply_registry(RegistryChange(0, 3, [an_upstream("i-1")]), "store")
    later = RegistryChange(8, 9, [an_upstream("i-4", revision=9)])
    assert not state.apply_registry(later, "peer")
    assert state.revision == 3
    whole = RegistryChange(0, 9, [an_upstream("i-4", revision=9)])
    assert state.apply_registry(whole, "peer")
    assert state.revision == 9 and set(state.upstreams) == {"i-4"}


def test_draining_upstream_is_not_available(state):
    upstreams = [an_upstream("i-1"), an_upstream("i-2", draining=True)]
    state.apply_registry(RegistryChange(0, 3, upstreams), "store")
    assert [item.id for item in state.available_upstreams("tablero")] == ["i-1"]


def test_applied_change_is_based_on_the_previous_revision(state):
    notified = []
    state.on_registry.append(notified.append)
    state.apply_registry(RegistryChange(0, 3, [an_upstream("i-1")]), "store")
    state.apply_registry(
        RegistryChange(0, 7, [an_upstream("i-1"), an_upstream("i-2", revision=7)]),
        "store",
    )
    assert (notified[1].since, notified[1].revision) == (3, 7)
    assert [item.id for item in notified[1].upstreams] == ["i-2"]


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("limit", [3, 1000])
def test_changes_since_any_revision_lead_to_the_same_state(monkeypatch, seed, limit):
    monkeypatch.setattr("ragwortferry.mesh.state.MAX_TOMBSTONES", limit)
    rng = random.Random(seed)
    ahead = MeshState(decode_document, null_log())
    behind = {}
    names = [f"i-{n}" for n in range(8)]
    for revision in range(1, 60):
        name = rng.choice(names)
        if name in ahead.upstreams and rng.random() < 0.5:
            change = RegistryChange(revision - 1, revision, [], {name: revision})
        else:
            item = an_upstream(name, revision=revision, draining=rng.random() < 0.3)
            change = RegistryChange(revision - 1, revision, [item])
        ahead.apply_registry(change, "store")
        copy = MeshState(decode_document, null_log())
        copy.apply_registry(ahead.changes_since(0), "peer")
        behind[revision] = copy
    for revision, node in behind.items():
        assert node.apply_registry(ahead.changes_since(revision), "peer")
        assert node.upstreams == ahead.upstreams
        assert node.revision == ahead.revision


def test_entry_of_a_crashed_upstream_is_not_used_beside_that_of_its_successor():
    """Guards against requests for a process whose address another one has taken."""
    state = MeshState(decode_document, null_log())
    address = Address("10.0.0.2", 8147)
    old = an_upstream("old", address=address, born_ms=1000, revision=8)
    new = an_upstream("new", address=address, born_ms=2000, revision=9)
    elsewhere = an_upstream("other", revision=3)
    state.apply_registry(RegistryChange(0, 9, [old, new, elsewhere]), "store")
    assert {u.id for u in state.available_upstreams("tablero")} == {"new", "other"}
    state.apply_registry(RegistryChange(9, 10, [], {"new": 10}), "store")
    assert {u.id for u in state.available_upstreams("tablero")} == {"old", "other"}
