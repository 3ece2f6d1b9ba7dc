"""Which upstreams a node uses in a large fleet, and how many links that takes."""

import asyncio
from collections import Counter

import pytest

import ragwortferry.mesh.links.peers as peers_module
from ragwortferry.mesh.attempt import Reply
from ragwortferry.mesh.links.peer import MAX_UNUSED_S
from ragwortferry.mesh.links.peers import MAX_EAGER_DIALS
from ragwortferry.mesh.placement.aperture import MAX_SAME_ZONE, SIZE, Aperture
from ragwortferry.mesh.state import RegistryChange
from ragwortferry.mesh.tests.test_links import FakeLink, _peers_with_one_link
from ragwortferry.tests.mesh_builders import an_attempt, an_upstream
from ragwortferry.utils.sockets import Address

ZONES = "abcde"


def _fleet(count: int, service: str = "tablero") -> list:
    return [
        an_upstream(
            f"{service}-{n}",
            service=service,
            zone=ZONES[n % len(ZONES)],
            address=Address(f"10.{n % 5}.{n // 250}.{n % 250 + 1}", 8147),
        )
        for n in range(count)
    ]


def _all(item) -> bool:
    return True


@pytest.mark.parametrize("count", [160, 2_000])
def test_aperture_has_the_same_size_however_many_upstreams_there_are(count):
    chosen = Aperture("10.0.0.1", "a").select("tablero", _fleet(count), _all)
    assert len(chosen) == SIZE
    assert sum(item.zone == "a" for item in chosen) == MAX_SAME_ZONE


def test_small_service_is_used_as_a_whole():
    upstreams = _fleet(SIZE)
    assert Aperture("10.0.0.1", "a").select("tablero", upstreams, _all) == upstreams


def test_own_upstream_is_always_used():
    upstreams = _fleet(160)
    for item in upstreams:
        aperture = Aperture(item.address.host, item.zone)
        assert item in aperture.select("tablero", upstreams, _all)


def test_zone_without_enough_upstreams_uses_more_of_the_others():
    upstreams = [item for item in _fleet(160) if item.zone != "a"]
    chosen = Aperture("10.0.0.1", "a").select("tablero", upstreams, _all)
    assert len(chosen) == SIZE


def test_nodes_together_use_all_upstreams_about_evenly():
    upstreams, users = _fleet(160), Counter()
    for item in _fleet(195):
        aperture = Aperture(item.address.host, item.zone)
        users.update(u.id for u in aperture.select("tablero", upstreams, _all))
    mean = 195 * SIZE / len(upstreams)
    assert len(users) == len(upstreams)
    assert max(users.values()) < 1.6 * mean
    assert min(users.values()) > 0.5 * mean


def test_unusable_upstreams_are_replaced_and_the_others_stay():
    upstreams, aperture = _fleet(160), Aperture("10.0.0.1", "a")
    before = aperture.select("tablero", upstreams, _all)
    lost = {item.id for item in before[::2]}
    after = aperture.select("tablero", upstreams, lambda item: item.id not in lost)
    assert len(after) == SIZE
    assert set(before) - set(after) == {item for item in before if item.id in lost}


def test_replaced_upstream_keeps_the_places_of_the_others():
    upstreams, aperture = _fleet(160), Aperture("10.0.0.1", "a")
    before = {u.address.host for u in aperture.select("tablero", upstreams, _all)}
    changed = [*upstreams[1:], an_upstream("new", address=upstreams[0].address)]
    after = {u.address.host for u in aperture.select("tablero", changed, _all)}
    assert before == after


def _peers_in_fleet(count: int, monkeypatch):
    """Return peers that know a fleet, and record which hosts they dial."""
    peers, _ = _peers_with_one_link()
    peers._peers.clear()
    dialed = []

    def dial(host):
        dialed.append(host)
        return peers_module.Peer(Address(host, 8145))

    monkeypatch.setattr(peers, "_peer", dial)
    fleet = [*_fleet(count - count // 5), *_fleet(count // 5, "archivo")]
    fleet = [
        an_upstream(
            f"i-{n}",
            service=item.service,
            zone=item.zone,
            address=Address(f"10.1.{n // 250}.{n % 250 + 1}", 8147),
        )
        for n, item in enumerate(fleet)
    ]
    peers._state.apply_registry(RegistryChange(0, 5, fleet), "store")
    return peers, dialed


@pytest.mark.parametrize("count", [60, 195, 1_000])
def test_node_dials_a_bounded_number_of_others_ahead_of_requests(count, monkeypatch):
    peers, dialed = _peers_in_fleet(count, monkeypatch)
    assert len(dialed) == len(set(dialed))
    assert len(dialed) <= MAX_EAGER_DIALS + len(peers._relay.neighbours)
    services = {
        item.service
        for item in peers._state.upstreams.values()
        if item.address.host in dialed
    }
    assert services == {"tablero", "archivo"}


def test_change_of_the_registry_without_new_instances_rebuilds_no_tree(monkeypatch):
    peers, _ = _peers_in_fleet(60, monkeypatch)
    rebuilt = []
    monkeypatch.setattr(peers._relay, "set_hosts", rebuilt.append)
    item = next(iter(peers._state.upstreams.values()))
    changed = an_upstream(
        item.id, service=item.service, zone=item.zone, address=item.address, revision=6
    )
    peers._state.apply_registry(RegistryChange(5, 6, [changed]), "store")
    assert not rebuilt
    peers._state.apply_registry(RegistryChange(6, 7, [], {item.id: 7}), "store")
    assert len(rebuilt) == 1


def test_link_that_no_request_needs_any_more_is_released():
    peers, peer = _peers_with_one_link()
    peer.link.last_received_at = MAX_UNUSED_S
    peers._check_heartbeat(peer, peer.link, MAX_UNUSED_S - 1)
    assert peer.wanted
    peer.eager = True
    peers._check_heartbeat(peer, peer.link, MAX_UNUSED_S + 1)
    assert peer.wanted
    peer.eager, peer.pending["k"] = False, object()
    peers._check_heartbeat(peer, peer.link, MAX_UNUSED_S + 1)
    assert peer.wanted
    del peer.pending["k"]
    peers._check_heartbeat(peer, peer.link, MAX_UNUSED_S + 1)
    assert not peer.wanted


def test_urgent_attempt_on_a_busy_link_brings_the_next_ping_forward():
    async def scenario():
        peers, peer = _peers_with_one_link()
        peer.task = asyncio.get_running_loop().create_future()
        now = asyncio.get_running_loop().time()
        peer.link.last_received_at = now
        for key, left_s in (("slow", 10.0), ("urgent", 0.5)):
            attempt = an_attempt(key=key, host="10.0.0.2", deadline=now + left_s)
            await peers.send(attempt, Reply())
        assert now + 0.1 <= peers._checks.next_at < now + 0.15

    asyncio.run(scenario())


def test_only_links_that_are_due_are_looked_at(monkeypatch):
    async def scenario():
        peers, _ = _peers_with_one_link()
        peers._peers.clear()
        now = asyncio.get_running_loop().time()
        for number in range(40):
            peer = peers_module.Peer(Address(f"10.0.0.{number}", 8145))
            peer.link = FakeLink(f"10.0.0.{number}", "a")
            peer.link.last_received_at = now
            peer.link.peer_mbps = 1000.0
            peer.eager = True
            peers._peers[peer.address.host] = peer
            peers._check_by(peer, now)
        looked_at = []
        check = peers._check_heartbeat

        def count(peer, link, at):
            looked_at.append(at)
            check(peer, link, at)

        monkeypatch.setattr(peers, "_check_heartbeat", count)
        for step in range(201):
            at = now + step * 0.05
            for peer in peers._peers.values():
                if peer.link.sent:
                    peer.link.sent.clear()
                    peer.link.last_received_at = at
            peers._check_links(at)
        # Once a second each over 10 s, up to a quarter of a second early.
        assert 10 * 40 <= len(looked_at) <= 15 * 40
        turns = {at for at in looked_at}
        assert len(turns) <= 50

    asyncio.run(scenario())
