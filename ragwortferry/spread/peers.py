"""Opens and accepts links, and pushes versions and the instance list over them."""

__all__ = ["Peers"]

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable

import msgspec

from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log
from ragwortferry.source.port import Instance
from ragwortferry.spread.link import Link, LinkCounters, LinkError
from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import (
    PROTOCOL,
    Ack,
    Announce,
    Beat,
    Bye,
    FleetReport,
    Hello,
    InstanceUpdate,
    Mode,
    Pull,
    RefusalNotice,
    Subscribe,
    SubtreeReport,
    Update,
    VersionId,
    Welcome,
)
from ragwortferry.spread.peer import Peer, Timings, find_parent
from ragwortferry.spread.reporting import Reporter
from ragwortferry.spread.store import Refusal, VersionStore
from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.digests import rank_key
from ragwortferry.utils.sockets import connect, listen

CONNECT_TIMEOUT_S = 1.0
MAX_LINKS = 64
BACKLOG = 1024  # connections that are not accepted yet


Handler = Callable[["Peers", Peer, object], Awaitable[None] | None]
HANDLERS: dict[type, Handler] = {}


def handles(message_type: type) -> Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of a message type."""

    def decorate(handler: Handler) -> Handler:
        HANDLERS[message_type] = handler
        return handler

    return decorate


class Peers:
    """Opens and accepts links, and pushes updates to the children.

    :param mesh: name of the mesh; processes of another mesh are rejected.
    :param max_children: maximum number of children.
    """

    def __init__(
        self,
        kernel: Kernel,
        members: Members,
        store: VersionStore,
        clock: HybridClock,
        log: Log,
        timings: Timings,
        mesh: str,
        max_children: int,
        rng: random.Random,
    ):
        self._kernel = kernel
        self._members = members
        self._store = store
        self._clock = clock
        self._log = log
        self._timings = timings
        self._mesh = mesh
        self._max_children = max_children
        self._rng = rng
        self._peers: set[Peer] = set()
        self._server: asyncio.Server | None = None
        self.reporter = Reporter(
            kernel, members, store, clock, timings, rng, lambda: self.connected
        )
        self.counters = LinkCounters()
        self.incarnation = uuid.uuid4().hex

    @property
    def connected(self) -> frozenset[Peer]:
        """Return the peers with an open link."""
        return frozenset(self._peers)

    @property
    def children(self) -> list[Peer]:
        """Return the peers to which this process pushes updates."""
        return [peer for peer in self._peers if peer.is_child]

    @property
    def parent(self) -> Peer | None:
        """Return the peer that pushes updates to this process."""
        return find_parent(self._peers)

    async def start(self) -> None:
        """Listen for links and start sending heartbeats."""
        me = self._members.me
        self._server = await asyncio.start_server(
            self._accept, sock=listen(me.host, me.link_port, BACKLOG)
        )
        self._store.add_listener(self._version_changed)
        self._members.add_listener(self._push_all)
        self._kernel.spawn(self._heartbeat(), "heartbeat")
        self.reporter.start()

    async def stop(self) -> None:
        """Send ``Bye`` on all links and close them."""
        if self._server:
            self._server.close()
        for peer in self.connected:
            peer.link.send(Bye(reason="stopping"))
            peer.link.close()
        self.reporter.stop()

    # Opening and accepting links

    def _hello(self, mode: Mode) -> Hello:
        me, store = self._members.me, self._store
        revision = self._members.revision
        return Hello(
            PROTOCOL, self._mesh, me, self.incarnation, mode, store.current, revision
        )

    async def connect(self, instance: Instance, mode: Mode) -> tuple[Peer, Welcome]:
        """Open a link to another instance.

        :returns: the peer, which is not registered yet, and its ``Welcome``.
        :raises LinkError: if the instance is unreachable or rejects the link.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                me = self._members.me.host
                streams = await connect(instance.host, instance.link_port, me)
        except (OSError, TimeoutError) as error:
            self._suspect(instance, mode)
            raise LinkError(
                f"cannot connect to {instance.id}: {type(error).__name__}"
            ) from None
        link = self._make_link(*streams)
        link.send(self._hello(mode))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                welcome = await link.receive()
        except (LinkError, TimeoutError) as error:
            link.abort()
            self._suspect(instance, mode)
            raise LinkError(
                f"no welcome from {instance.id}: {error or 'timed out'}"
            ) from None
        if not isinstance(welcome, Welcome):
            link.abort()
            raise LinkError(
                f"protocol error: first message from {instance.id} is not a welcome"
            )
        self._members.clear_suspicion(instance.id)
        self._store.observe_highest(welcome.high)
        peer = Peer(link, instance, welcome.incarnation, True, mode, welcome.mark)
        peer.list_revision = welcome.list_revision
        return peer, welcome

    def _suspect(self, instance: Instance, mode: Mode) -> None:
        """Suspect an instance, unless it was only probed.

        This process probes others while it starts, and they may be starting as well.
        """
        if mode is not Mode.PROBE:
            self._members.suspect(instance.id)

    def _make_link(self, reader, writer) -> Link:
        return Link(reader, writer, self._clock, self.counters, self._timings.timeout_s)

    async def _accept(self, reader, writer) -> None:
        link = self._make_link(reader, writer)
        try:
            hello = await link.receive()
            if not isinstance(hello, Hello):
                raise LinkError("protocol error: first message is not a hello")
            if (hello.protocol, hello.mesh) != (PROTOCOL, self._mesh):
                raise LinkError("protocol error: mesh or protocol version differs")
        except LinkError as error:
            self._log.event("link-refused", "incoming link rejected", reason=str(error))
            link.abort()
            return
        peer = Peer(
            link, hello.instance, hello.incarnation, False, hello.mode, hello.mark
        )
        peer.list_revision = hello.list_revision
        peer.settled = hello.mark.version
        self._members.clear_suspicion(peer.instance.id)
        accepted = self._admit(peer.mode, peer.instance)
        link.send(self._welcome(accepted))
        if accepted and peer.mode is not Mode.PROBE:
            self.register(peer)
            await self.serve(peer)
        link.close()

    def _admit(self, mode: Mode, instance: Instance) -> bool:
        """Return whether to accept a link of an instance in a mode.

        A parent that has ``max_children`` children replaces the last of them in the
        hash order by an instance that precedes it. An instance early in the order has
        few possible parents, and each of those has more places for children than there
        are instances that precede the child.
        """
        if mode is not Mode.ACTIVE:
            return mode is Mode.PROBE or len(self._peers) < MAX_LINKS
        children = self.children
        if len(children) < self._max_children:
            return True
        last = max(children, key=lambda peer: self._rank(peer.instance))
        if self._rank(instance) >= self._rank(last.instance):
            return False
        last.mode = Mode.LAZY
        last.link.send(Subscribe(Mode.LAZY))
        self.reporter.on_link_down(last)
        return True

    def _rank(self, instance: Instance) -> tuple[int, str]:
        return rank_key(self._members.me.zone, instance.id)

    def _listed_children(self) -> list[Instance]:
        """Return the children, with their listed addresses where they have one."""
        listed = self._members.instances
        return [listed.get(c.instance.id, c.instance) for c in self.children]

    def _welcome(self, accepted: bool) -> Welcome:
        redirect = [] if accepted else self._listed_children()
        store = self._store
        return Welcome(
            self._members.me.id,
            self.incarnation,
            store.current,
            store.highest_known,
            self._members.revision,
            accepted,
            redirect,
        )

    def register(self, peer: Peer) -> None:
        """Add an open link and abort an older one in the same role to the same peer."""
        for other in self.connected:
            same_peer = other.instance.id == peer.instance.id
            same_role = (other.outgoing, other.mode) == (peer.outgoing, peer.mode)
            if same_peer and same_role:
                other.link.abort()
                self._unregister(other)
        self._peers.add(peer)

    def _unregister(self, peer: Peer) -> None:
        self._peers.discard(peer)
        self.reporter.on_link_down(peer)

    async def serve(self, peer: Peer) -> None:
        """Handle the messages of a registered peer until its link ends."""
        side = "parent" if peer.outgoing else "child"
        self._log.event(
            "link-up",
            f"{peer.mode} link with {peer.instance.id} is open",
            peer=peer.instance.id,
            side=side,
        )
        self._push(peer)
        self._schedule_repair(peer)
        self.reporter.on_link_up(peer)
        reason = "closed"
        try:
            while True:
                await self._handle(peer, await peer.link.receive())
        except LinkError as error:
            reason = str(error)
        except msgspec.DecodeError as error:
            reason = f"protocol error: {error}"
        finally:
            self._unregister(peer)
            peer.link.abort()
            self._log.event(
                "link-down",
                f"link with {peer.instance.id} is closed",
                peer=peer.instance.id,
                reason=reason,
            )

    async def _handle(self, peer: Peer, message: object) -> None:
        handler = HANDLERS.get(type(message))
        if handler is None:
            raise LinkError(f"protocol error: unexpected {type(message).__name__}")
        result = handler(self, peer, message)
        if result is not None:
            await result

    # Pushing

    def _version_changed(self) -> None:
        self._push_all()
        announce = self._announcement()
        for peer in self._peers:
            if not peer.is_child:
                self._announce(peer, announce)
        self.reporter.schedule_report()

    def _push_all(self) -> None:
        for peer in self.connected:
            self._push(peer)

    def _push(self, peer: Peer) -> None:
        """Send a child, or a peer that has pulled, everything newer than its state.

        One update is in flight at a time. The next one is sent after its
        acknowledgement and contains the newest version, skipping those in between.
        """
        if not (peer.is_child or peer.pull_pending) or peer.in_flight:
            return
        self._push_refusal(peer)
        newer = self._store.current.version > peer.settled
        update = self._store.update_for(peer.current) if newer else None
        list_update = self._members.update_for(peer.list_revision)
        for message in (list_update, update):
            if message is not None:
                peer.link.send(message)
                peer.in_flight = True
        if not peer.in_flight:
            peer.pull_pending = False

    def _push_refusal(self, peer: Peer) -> None:
        refusal = self._store.refusal
        if not refusal or refusal.version_id.version <= peer.settled:
            return
        if peer.last_refusal != (refusal.version_id, refusal.reason):
            peer.last_refusal = refusal.version_id, refusal.reason
            notice = RefusalNotice(refusal.version_id, refusal.reason, refusal.final)
            peer.link.send(notice)

    def _ack(self, peer: Peer) -> None:
        store, revision = self._store, self._members.revision
        peer.link.send(Ack(store.current, store.settled, revision))

    # Handlers

    @handles(Announce)
    def _on_announce(self, peer: Peer, message: Announce) -> None:
        self._store.observe_highest(message.high or message.mark)
        if peer.outgoing or not peer.in_flight:
            peer.current = message.mark
            peer.list_revision = message.list_revision
        self._schedule_repair(peer)

    @handles(Beat)
    def _on_beat(self, peer: Peer, message: Beat) -> None:
        self._schedule_repair(peer)

    @handles(Pull)
    def _on_pull(self, peer: Peer, message: Pull) -> None:
        peer.current, peer.settled = message.mark, message.mark.version
        peer.list_revision = message.list_revision
        peer.pull_pending, peer.in_flight = True, False
        self._push(peer)

    @handles(Update)
    async def _on_update(self, peer: Peer, message: Update) -> None:
        if not self._store.ready:
            return
        if self._store.check_order(message.mark):
            self._log_conflict(peer, message.mark)
            self._ack(peer)
            return
        manifest = self._store.manifest_of(message)
        if manifest is None and message.base.version:
            peer.link.send(Pull(self._store.current, self._members.revision))
            return
        if manifest is None:
            raise LinkError("protocol error: update does not match its digest")
        await self._store.apply(
            manifest, message.texts, peer.instance.id, message.seen_ms
        )
        peer.current = message.mark
        self._ack(peer)

    def _log_conflict(self, peer: Peer, version_id: VersionId) -> None:
        current = self._store.current
        if (
            version_id.version == current.version
            and version_id.digest != current.digest
        ):
            self._log.event(
                "conflict",
                f"version {version_id.version} was offered with other content",
                peer=peer.instance.id,
                version=version_id.version,
                digest=version_id.digest,
            )

    @handles(Ack)
    def _on_ack(self, peer: Peer, message: Ack) -> None:
        peer.current = message.mark
        peer.settled = max(message.settled, message.mark.version)
        peer.list_revision = message.list_revision
        peer.in_flight = False
        self._push(peer)

    @handles(RefusalNotice)
    def _on_refusal(self, peer: Peer, message: RefusalNotice) -> None:
        if message.mark.version > self._store.current.version:
            refusal = Refusal(message.mark, message.reason, message.final)
            self._store.refuse(refusal)

    @handles(InstanceUpdate)
    def _on_instances(self, peer: Peer, message: InstanceUpdate) -> None:
        change = self._members.decode_update(message)
        if change is None:
            peer.link.send(Pull(self._store.current, self._members.revision))
            return
        self._members.apply(change)
        peer.list_revision = max(peer.list_revision, message.revision)
        self._ack(peer)

    @handles(SubtreeReport)
    def _on_report(self, peer: Peer, message: SubtreeReport) -> None:
        self.reporter.on_report(peer, message)

    @handles(FleetReport)
    def _on_fleet(self, peer: Peer, message: FleetReport) -> None:
        self.reporter.on_fleet_report(peer, message)

    @handles(Subscribe)
    def _on_subscribe(self, peer: Peer, message: Subscribe) -> None:
        if peer.outgoing:
            peer.mode = message.mode
            return
        accepted = self._admit(message.mode, peer.instance)
        if accepted:
            peer.mode = message.mode
        peer.link.send(self._welcome(accepted))
        self._push(peer)

    @handles(Welcome)
    def _on_welcome(self, peer: Peer, message: Welcome) -> None:
        if peer.pending_welcome and not peer.pending_welcome.done():
            peer.pending_welcome.set_result(message.accepted)

    @handles(Bye)
    def _on_bye(self, peer: Peer, message: Bye) -> None:
        if peer.outgoing:
            self._members.suspect(peer.instance.id)
        raise LinkError(f"peer is shutting down: {message.reason}")

    async def upgrade(self, peer: Peer) -> bool:
        """Ask a lazy peer to become the parent, and return whether it accepts."""
        peer.pending_welcome = asyncio.get_running_loop().create_future()
        peer.link.send(Subscribe(Mode.ACTIVE))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                accepted = await peer.pending_welcome
        except TimeoutError:
            accepted = False
        if accepted:
            peer.mode = Mode.ACTIVE
        return accepted

    # Repair

    def _is_ahead(self, peer: Peer) -> bool:
        newer_list = peer.list_revision > self._members.revision
        return peer.current.version > self._store.settled or newer_list

    def _schedule_repair(self, peer: Peer) -> None:
        """Pull from a peer of any kind that stays ahead for the repair delay."""
        if peer.repair_pending or not self._is_ahead(peer):
            return
        peer.repair_pending = True
        self._kernel.spawn(self._repair(peer), f"repair from {peer.instance.id}")

    async def _repair(self, peer: Peer) -> None:
        try:
            await asyncio.sleep(self._timings.repair_s * self._rng.uniform(0.5, 1.0))
            if self._is_ahead(peer) and not peer.link.closed:
                peer.link.send(Pull(self._store.current, self._members.revision))
                await asyncio.sleep(self._timings.repair_s)
        finally:
            peer.repair_pending = False

    # Periodic work

    def _announcement(self) -> Announce:
        store = self._store
        high = None if store.highest_known == store.current else store.highest_known
        return Announce(store.current, high, self._members.revision)

    def _announce(self, peer: Peer, announce: Announce) -> None:
        peer.last_announce = announce
        peer.link.send(announce)

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(self._timings.heartbeat_s * self._rng.uniform(0.8, 1.0))
            announce = self._announcement()
            for peer in self.connected:
                if peer.last_announce == announce:
                    peer.link.send(Beat())
                else:
                    self._announce(peer, announce)
