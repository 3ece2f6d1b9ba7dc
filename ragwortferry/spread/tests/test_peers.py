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
    """A link that records the sent messages."""

    closed = False

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def of_type(self, message_type):
        return [message for message in self.sent if isinstance(message, message_type)]


def peers_with(version_store):
    members = Members(instance("i-1"), fanout=4, readers=2)
    timings = Timings()
    return Peers(
        kernel(),
        members,
        version_store,
        HybridClock(),
        log(),
        timings,
        "mesh",
        2,
        rng(),
    )


def child(current=None):
    peer = Peer(FakeLink(), instance("i-2"), "x", False, Mode.ACTIVE)
    peer.current = current or VersionId()
    return peer


async def update_from(version=1):
    parent = store()
    await enforce(parent, TEXTS, version)
    return parent.update_for(VersionId())


def test_update_is_ignored_before_the_boot_floor_is_set():
    async def scenario():
        version_store = store()
        peers, parent = peers_with(version_store), child()
        await peers._handle(parent, await update_from())
        assert version_store.snapshot is None
        version_store.set_floor(VersionId())
        await peers._handle(parent, await update_from())
        assert version_store.current.version == 1

    run(scenario())


def test_one_update_is_in_flight_and_the_next_is_the_newest():
    async def scenario():
        version_store = store()
        peers, peer = peers_with(version_store), child()
        await enforce(version_store, TEXTS, 1)
        peers._push(peer)
        for version in (2, 3, 4):
            await enforce(
                version_store, {**TEXTS, "a": section(timeout_ms=version)}, version
            )
            peers._push(peer)
        assert [update.mark.version for update in peer.link.of_type(Update)] == [1]
        in_flight = peer.link.of_type(Update)[0].mark
        peers._on_ack(peer, Ack(in_flight, 1, 0))
        (first, second) = peer.link.of_type(Update)
        assert second.mark.version == 4 and second.base == first.mark
        assert list(second.changed) == ["a"]

    run(scenario())


def test_update_with_a_different_base_triggers_a_pull():
    async def scenario():
        version_store = store()
        version_store.set_floor(VersionId())
        peers, parent = peers_with(version_store), child()
        update = structs.replace(await update_from(3), base=VersionId(2, "other"))
        await peers._handle(parent, update)
        assert parent.link.of_type(Pull) and version_store.snapshot is None

    run(scenario())


def test_finally_refused_update_is_not_sent_again():
    async def scenario():
        version_store = store()
        peers, peer = peers_with(version_store), child()
        await enforce(version_store, TEXTS, 1)
        peers._push(peer)
        peers._on_ack(peer, Ack(VersionId(), 1, 0))
        peers._push(peer)
        assert len(peer.link.of_type(Update)) == 1

    run(scenario())


def test_full_parent_keeps_the_children_first_in_hash_order():
    order = sorted((f"i-{n}" for n in range(2, 9)), key=lambda n: rank_key("zone-a", n))
    first, second, third, fourth = (instance(name) for name in order[:4])
    peers = peers_with(store())
    children = [child(), child()]
    children[0].instance, children[1].instance = second, third
    peers._peers = set(children)
    assert not peers._admit(Mode.ACTIVE, fourth)
    assert peers._admit(Mode.PROBE, fourth) and peers._admit(Mode.LAZY, fourth)
    assert peers._admit(Mode.ACTIVE, first)
    assert (children[0].mode, children[1].mode) == (Mode.ACTIVE, Mode.LAZY)
    assert children[1].link.of_type(Subscribe)


def test_replaced_child_keeps_a_lazy_link():
    peers, parent = peers_with(store()), child()
    parent.outgoing = True
    peers._on_subscribe(parent, Subscribe(Mode.LAZY))
    assert parent.mode is Mode.LAZY and not parent.is_parent
