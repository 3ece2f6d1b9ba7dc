from msgspec import structs

from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import Ack, Mode, Pull, Subscribe, Update, VersionId
from ragwortferry.spread.peer import Peer, Timings
from ragwortferry.spread.peers import Peers
from ragwortferry.tests.builders import (
    enforce,
    instance,
    kernel,
    log,
    rng,
    run,
    section,
    store,
)
from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.digests import rank_key

TEXTS = {"a": section(), "b": section("archivo")}


class FakeLink:
    """A link that keeps what is sent."""

    closed = False

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def of(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


def peers_with(held):
    members = Members(instance("i-1"), fanout=4, readers=2)
    times = Timings()
    return Peers(kernel(), members, held, HybridClock(), log(), times, "mesh", 2, rng())


def child(mark=None):
    peer = Peer(FakeLink(), instance("i-2"), "x", False, Mode.ACTIVE)
    peer.current = mark or VersionId()
    return peer


async def update_from(version=1):
    parent = store()
    await enforce(parent, TEXTS, version)
    return parent.update_for(VersionId())


def test_nothing_is_enforced_before_the_boot_floor_is_known():
    async def scenario():
        held = store()
        peers, parent = peers_with(held), child()
        await peers._handle(parent, await update_from())
        assert held.snapshot is None
        held.set_floor(VersionId())
        await peers._handle(parent, await update_from())
        assert held.current.version == 1

    run(scenario())


def test_one_update_is_in_flight_and_the_newest_overtakes():
    async def scenario():
        held = store()
        peers, peer = peers_with(held), child()
        await enforce(held, TEXTS, 1)
        peers._push(peer)
        for version in (2, 3, 4):
            await enforce(held, {**TEXTS, "a": section(timeout_ms=version)}, version)
            peers._push(peer)
        assert [update.mark.version for update in peer.link.of(Update)] == [1]
        await_mark = peer.link.of(Update)[0].mark
        peers._on_ack(peer, Ack(await_mark, 1, 0))
        (first, second) = peer.link.of(Update)
        assert second.mark.version == 4 and second.base == first.mark
        assert list(second.changed) == ["a"]

    run(scenario())


def test_an_update_from_another_base_is_answered_by_a_pull():
    async def scenario():
        held = store()
        held.set_floor(VersionId())
        peers, parent = peers_with(held), child()
        update = structs.replace(await update_from(3), base=VersionId(2, "other"))
        await peers._handle(parent, update)
        assert parent.link.of(Pull) and held.snapshot is None

    run(scenario())


def test_a_peer_that_refused_for_good_gets_no_update_again():
    async def scenario():
        held = store()
        peers, peer = peers_with(held), child()
        await enforce(held, TEXTS, 1)
        peers._push(peer)
        peers._on_ack(peer, Ack(VersionId(), 1, 0))
        peers._push(peer)
        assert len(peer.link.of(Update)) == 1

    run(scenario())


def test_a_full_parent_keeps_the_children_that_stand_first():
    order = sorted((f"i-{n}" for n in range(2, 9)), key=lambda n: rank_key("zone-a", n))
    first, second, third, fourth = (instance(name) for name in order[:4])
    peers = peers_with(store())
    held = [child(), child()]
    held[0].instance, held[1].instance = second, third
    peers._peers = set(held)
    assert not peers._admit(Mode.ACTIVE, fourth)
    assert peers._admit(Mode.PROBE, fourth) and peers._admit(Mode.LAZY, fourth)
    assert peers._admit(Mode.ACTIVE, first)
    assert (held[0].mode, held[1].mode) == (Mode.ACTIVE, Mode.LAZY)
    assert held[1].link.of(Subscribe)


def test_a_displaced_child_keeps_its_link_as_a_lazy_one():
    peers, parent = peers_with(store()), child()
    parent.outgoing = True
    peers._on_subscribe(parent, Subscribe(Mode.LAZY))
    assert parent.mode is Mode.LAZY and not parent.is_parent
