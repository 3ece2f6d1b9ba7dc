"""State moves forward only, whatever order changes come in."""

import json
import random

import pytest

from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import a_config, an_upstream, silent_log


@pytest.fixture
def knowledge():
    return MeshState(decode_document, silent_log())


def _config(number: int) -> bytes:
    return json.dumps(a_config(f"r{number}")).encode()


def test_version_never_goes_back(knowledge):
    assert knowledge.apply_document(_config(5), "store")
    assert not knowledge.apply_document(_config(4), "peer")
    assert not knowledge.apply_document(_config(5), "peer")
    assert knowledge.apply_document(_config(12), "peer")
    assert knowledge.version == 12


def test_invalid_version_leaves_the_old_one_in_force(knowledge):
    knowledge.apply_document(_config(5), "store")
    broken = json.dumps(a_config("r6", clusters=[])).encode()
    assert not knowledge.apply_document(broken, "store")
    assert knowledge.version == 5


def test_packed_form_reaches_a_peer_unchanged(knowledge):
    knowledge.apply_document(_config(5), "store")
    peer = MeshState(decode_document, silent_log())
    assert peer.apply_compressed(knowledge.compressed, "node")
    assert peer.document == knowledge.document
    assert not peer.apply_compressed(b"?", "node")


def test_changes_may_come_twice_and_in_any_order():
    changes = [
        RegistryChange(0, 3, [an_upstream("i-1", revision=1)]),
        RegistryChange(3, 4, [an_upstream("i-2", revision=4)]),
        RegistryChange(4, 5, [an_upstream("i-1", revision=5, draining=True)]),
        RegistryChange(5, 6, [], {"i-1": 6}),
        RegistryChange(6, 7, [an_upstream("i-3", revision=7)]),
    ]
    rng = random.Random(1)
    for _ in range(200):
        knowledge = MeshState(decode_document, silent_log())
        order = changes[1:] + rng.choices(changes[1:], k=3)
        rng.shuffle(order)
        knowledge.apply_registry(changes[0], "store")
        for change in order:
            knowledge.apply_registry(change, "peer")
        assert set(knowledge.upstreams) == {"i-2", "i-3"}


def test_gap_is_reported_and_the_whole_closes_it(knowledge):
    knowledge.apply_registry(RegistryChange(0, 3, [an_upstream("i-1")]), "store")
    late = RegistryChange(8, 9, [an_upstream("i-4", revision=9)])
    assert not knowledge.apply_registry(late, "peer")
    assert knowledge.revision == 3
    whole = RegistryChange(0, 9, [an_upstream("i-4", revision=9)])
    assert knowledge.apply_registry(whole, "peer")
    assert knowledge.revision == 9 and set(knowledge.upstreams) == {"i-4"}


def test_draining_upstream_is_not_offered(knowledge):
    upstreams = [an_upstream("i-1"), an_upstream("i-2", draining=True)]
    knowledge.apply_registry(RegistryChange(0, 3, upstreams), "store")
    assert [item.id for item in knowledge.available_upstreams("tablero")] == ["i-1"]


def test_change_that_is_passed_on_follows_on_what_was_known(knowledge):
    told = []
    knowledge.on_registry.append(told.append)
    knowledge.apply_registry(RegistryChange(0, 3, [an_upstream("i-1")]), "store")
    knowledge.apply_registry(
        RegistryChange(0, 7, [an_upstream("i-1"), an_upstream("i-2", revision=7)]),
        "store",
    )
    assert (told[1].since, told[1].revision) == (3, 7)
    assert [item.id for item in told[1].upstreams] == ["i-2"]


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("limit", [3, 1000])
def test_changes_since_any_revision_lead_to_the_same_state(monkeypatch, seed, limit):
    monkeypatch.setattr("ragwortferry.mesh.state.MAX_REMOVALS", limit)
    rng = random.Random(seed)
    ahead = MeshState(decode_document, silent_log())
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
        copy = MeshState(decode_document, silent_log())
        copy.apply_registry(ahead.changes_since(0), "peer")
        behind[revision] = copy
    for revision, node in behind.items():
        assert node.apply_registry(ahead.changes_since(revision), "peer")
        assert node.upstreams == ahead.upstreams
        assert node.revision == ahead.revision
