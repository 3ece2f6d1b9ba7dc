"""Connections to other nodes: dialing, failure detection and pending attempts."""

__all__ = ["Peers"]

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log
from ragwortferry.mesh.attempt import Attempt, Failure, Reply
from ragwortferry.mesh.evacuation import EvacuationExchange
from ragwortferry.mesh.evidence import EvidenceExchange
from ragwortferry.mesh.links.eras import with_era
from ragwortferry.mesh.links.frames import (
    Advertisement,
    Cancel,
    Data,
    End,
    EvacuatedZones,
    Evidence,
    Failed,
    Frame,
    Head,
    Hello,
    Load,
    Ping,
    Pong,
    Submit,
    Subscribe,
    Taken,
)
from ragwortferry.mesh.links.heartbeat import IDLE_PING_INTERVAL_S, IDLE_TIMEOUT_S
from ragwortferry.mesh.links.link import Link
from ragwortferry.mesh.links.peer import Peer, PendingAttempt
from ragwortferry.mesh.links.relay import Relay
from ragwortferry.mesh.links.remote import (
    LinkSink,
    attempt_from_submit,
    failure_from_frame,
    submit_frame,
)
from ragwortferry.mesh.owner import Owner
from ragwortferry.mesh.placement.aperture import Aperture
from ragwortferry.mesh.response import AttemptState
from ragwortferry.mesh.revisions import era_of, revision_in, store_revision
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.utils.deadlines import NEVER, Deadlines
from ragwortferry.utils.egress import MIN_UNPACED_MBPS, EgressPacer
from ragwortferry.utils.pacing import Backoff
from ragwortferry.utils.sockets import Address, connected_socket, listen

LISTEN_BACKLOG = 512
# A link with pending attempts is closed if nothing is received for this long after a
# ping. Less than the timeout of any route, so that an idempotent request can still be
# retried on another instance.
BUSY_TIMEOUT_S = 0.4
# The same if either instance has a slow network link: a single response of half a
# megabyte takes 1.4 s at 3 Mbit/s, and pongs queue behind it. At a higher bandwidth it
# takes less.
SLOW_NETWORK_TIMEOUT_S, SLOW_NETWORK_MBPS = 2.0, 3.0
# Longest timeout of a ping to a neighbour in the tree without pending attempts. A new
# version must not wait for a dead link, and nothing else is lost with it.
MAX_NEIGHBOUR_TIMEOUT_S = 1.5
# Time for a new link after one to a neighbour was found silent. Only then does it show
# that the peer cannot be heard.
RELINK_S = 0.2
# An accepted link is closed if nothing is received for this long at all.
ACCEPTED_TIMEOUT_S = 3.0
# Shortest and longest interval between checks of the links that are due.
CHECK_INTERVAL_S, MAX_CHECK_INTERVAL_S = 0.05, 0.25
# Timeout for establishing a TCP connection.
DIAL_TIMEOUT_S = 1.0
# Timeout for the peer's hello; as long as a slow network link may be silent.
HELLO_TIMEOUT_S = 2.0
# Maximum time that an attempt waits for a link that is being established.
MAX_LINK_WAIT_S = 0.3
# First and largest upper bound of the jittered delay between two dials of a peer.
INITIAL_REDIAL_DELAY_S, MAX_REDIAL_DELAY_S = 0.05, 1.0
# If a check runs more than this after it was due, this process itself was blocked: the
# peers' silence until then does not count, and the timeouts of all links start again.
MAX_CHECK_DELAY_S = 0.2
# Time for which bandwidths of peers are collected before the tree is rebuilt.
TREE_UPDATE_DELAY_S = 0.1
# Time after the start during which the state is expected from a seed before the store
# is read. A seed that starts at the same time has read the store within 0.5 s.
SEED_WAIT_S = 1.5
# Interval after which the next seed is dialed.
SEED_INTERVAL_S = 0.5
# If the registry has at most this many other nodes, all are dialed before a request
# needs them. Otherwise at most this many of the apertures of its services are, and the
# neighbours in the relay tree; others are dialed for the first attempt sent to them.
MAX_EAGER_DIALS = 40


class Peers:
    """Maintains the links to other nodes, dialed ahead of requests or on demand.

    Attempts are sent over a link that this node has dialed, and their responses come
    back over it. So two nodes may have a link in each direction.

    :param owner: runs the attempts that peers submit.
    :param relay: handles the messages that distribute state.
    :param evidence: handles the messages about requests that crash upstreams.
    :param evacuation: handles the messages about evacuated zones.
    :param address: where this node accepts links.
    :param peer_port: port where all other nodes accept links.
    :param seeds: IP addresses of nodes to request the state from at the start.
    :param aperture: selects the nodes to dial before a request needs them.
    :param pacer: paces long responses on the network link of this instance.
    :param incarnation: unique id of this run of the process.
    """

    def __init__(
        self,
        kernel: Kernel,
        state: MeshState,
        owner: Owner,
        relay: Relay,
        evidence: EvidenceExchange,
        evacuation: EvacuationExchange,
        address: Address,
        peer_port: int,
        seeds: tuple[str, ...],
        zone: str,
        aperture: Aperture,
        pacer: EgressPacer,
        incarnation: str,
        log: Log,
        rng: random.Random,
    ):
        self._kernel = kernel
        self._state = state
        self._owner = owner
        self._relay = relay
        self._evidence = evidence
        self._evacuation = evacuation
        self._address = address
        self._peer_port = peer_port
        self._zone = zone
        self._seeds = [host for host in seeds if host != address.host]
        # A seed reads the store at once, since the other nodes wait for its state.
        self._is_seed = address.host in seeds
        self._seed_deadline = NEVER
        self._pacer = pacer
        self._incarnation = incarnation
        self._log = log
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        # Links that peers have dialed, with their attempts at the own upstream by key.
        self._accepted: dict[Link, dict[str, tuple[AttemptState, LinkSink]]] = {}
        self._listener: asyncio.Server | None = None
        self._aperture = aperture
        # Availability zone of each other node in the registry, by IP address.
        self._hosts: dict[str, str] = {}
        # When each link has to be looked at next.
        self._checks: Deadlines[Peer | Link] = Deadlines()
        self._next_check_at = 0.0
        self._check_now = asyncio.Event()
        self._last_token = 0
        # Called with the host and the load report of each pong.
        self.on_load: Callable[[str, Load], None] = lambda host, load: None
        # Returns what this node knows of the upstreams at a host; set by Entry.
        self.advertised_at: Callable[[str], list[Advertisement]] = lambda host: []
        # Called with the round-trip time of a ping, in seconds.
        self.on_round_trip: Callable[[float], None] = lambda seconds: None
        # Called with the delay of each check of the links, in seconds.
        self.on_loop_lag: Callable[[float], None] = lambda seconds: None
        relay.links = lambda: self.links
        relay.record_bandwidth(address.host, pacer.mbps)
        relay.on_bandwidth = self._schedule_update
        relay.is_reachable = self._is_connectable
        self._update_scheduled = False
        # Called before the relay's callback, so that the relay pushes the change to the
        # neighbours in the new tree.
        state.on_registry.insert(0, self._on_registry)

    @property
    def links(self) -> list[Link]:
        """Return all open links."""
        dialed = [peer.link for peer in self._peers.values() if peer.link]
        return [*dialed, *self._accepted]

    def is_silent(self, link: Link) -> bool:
        """Return whether a peer should have been heard on a link, old or new."""
        silence_s = asyncio.get_running_loop().time() - link.last_received_at
        detected_s = IDLE_PING_INTERVAL_S + self._neighbour_timeout(link)
        return silence_s > detected_s + RELINK_S

    @property
    def connected_count(self) -> int:
        """Return the number of peers with an open link that this node has dialed."""
        return sum(peer.link is not None for peer in self._peers.values())

    @property
    def count_by_reason(self) -> dict[str, int]:
        """Return the number of dialed links by the reason why they are kept."""
        counts = Counter({"relay": 0, "eager": 0, "demand": 0})
        for host, peer in self._peers.items():
            if peer.link is not None:
                relayed = host in self._relay.neighbours
                counts["relay" if relayed else "eager" if peer.eager else "demand"] += 1
        return dict(counts)

    @property
    def accepted_count(self) -> int:
        """Return the number of open links that other nodes have dialed."""
        return len(self._accepted)

    async def start(self) -> None:
        """Accept links and start to maintain and monitor them."""
        loop = asyncio.get_running_loop()
        sock = listen(self._address.host, self._address.port, LISTEN_BACKLOG)
        self._listener = await loop.create_server(
            lambda: Link(self, False, self._pacer), sock=sock
        )
        self._kernel.supervise(self._monitor_links, "links")
        self._seed_deadline = loop.time() + SEED_WAIT_S
        if self._seeds:
            self._kernel.spawn(self._contact_seeds(), "seeds")

    async def _contact_seeds(self) -> None:
        """Dial one seed after the other until the state has been received."""
        self._rng.shuffle(self._seeds)
        for host in itertools.cycle(self._seeds):
            if self._state.ready:
                return
            self._peer(host)
            await asyncio.sleep(SEED_INTERVAL_S)

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._listener:
            self._listener.close()
        for peer in self._peers.values():
            peer.wanted = False
            if peer.task:
                peer.task.cancel()
        for link in self.links:
            link.close("this node is shutting down")

    @property
    def awaiting_seed(self) -> bool:
        """Return whether to wait for a seed's state rather than read the store."""
        if self._state.ready or not self._seeds or self._is_seed:
            return False
        return asyncio.get_running_loop().time() < self._seed_deadline

    @property
    def all_dialed(self) -> bool:
        """Return whether each peer was dialed at least once, successfully or not."""
        return all(peer.dialed_once for peer in self._peers.values())

    def reachable(self, host: str, now: float) -> bool:
        """Return whether a link to an instance is healthy or may soon be."""
        peer = self._peers.get(host)
        if peer is None:
            return True
        if peer.link is None:
            return not peer.unreachable
        link = peer.link
        return not peer.heartbeat.is_suspect(
            link.last_received_at, now, self._busy_timeout(link)
        )

    def _is_connectable(self, host: str) -> bool:
        """Return whether there is no sign that a node cannot be reached."""
        peer = self._peers.get(host)
        return peer is None or not peer.unreachable

    async def send(self, attempt: Attempt, reply: Reply) -> None:
        """Send an attempt to the owner of its upstream.

        It fails as not run if there is no link and none is established in time.
        """
        peer = self._peer(attempt.host)
        peer.used_at = asyncio.get_running_loop().time()
        peer.wanted |= attempt.host in self._hosts
        await self._wait_until_connected(peer, attempt.deadline)
        if peer.link is None:
            detail = f"no link to node {peer.address.host}"
            failure = Failure(ErrorKind.CONNECT_FAILED, Outcome.NOT_RUN, detail)
            reply.on_reply_failed(failure, None)
            return
        now = asyncio.get_running_loop().time()
        peer.heartbeat.record_attempt(attempt.deadline - now, not peer.pending)
        peer.pending[attempt.key] = PendingAttempt(attempt, reply)
        peer.link.send(submit_frame(attempt))
        ping_due = peer.heartbeat.ping_due(peer.link.last_received_at, True)
        self._check_by(peer, ping_due)

    async def _wait_until_connected(self, peer: Peer, deadline: float) -> None:
        """Wait for a link that is being established or was lost a moment ago."""
        now = asyncio.get_running_loop().time()
        lost_long_ago = (
            peer.unreachable and now - peer.unreachable_since > MAX_LINK_WAIT_S
        )
        if peer.link is not None or lost_long_ago:
            return
        try:
            async with asyncio.timeout(min(MAX_LINK_WAIT_S, max(0.0, deadline - now))):
                await peer.connected.wait()
        except TimeoutError:
            return

    def cancel(self, attempt: Attempt) -> None:
        """Drop a pending attempt and ask its owner to cancel it."""
        peer = self._peers.get(attempt.host)
        if peer is None or peer.pending.pop(attempt.key, None) is None:
            return
        if peer.link is not None:
            peer.link.send(Cancel(attempt.key))

    def report_taken(self, attempt: Attempt, size: int) -> None:
        """Tell the owner that the caller has taken a part of a long response."""
        peer = self._peers.get(attempt.host)
        if peer is None or peer.link is None or attempt.key not in peer.pending:
            return
        if peer.link.peer_reports_taken:
            peer.link.send(Taken(attempt.key, size))

    def broadcast_load(self) -> None:
        """Send the load of the own upstream to all peers at once."""
        for link in self._accepted:
            link.send(self._pong(0))

    def close_all(self, reason: str) -> None:
        """Close all links, for example after a suspension of this process."""
        for link in self.links:
            link.close(reason)

    def _peer(self, host: str) -> Peer:
        """Return the peer at a host, and start to dial it if that is not under way."""
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = Peer(Address(host, self._peer_port))
        if peer.task is None or peer.task.done():
            peer.wanted = True
            peer.used_at = asyncio.get_running_loop().time()
            peer.task = self._kernel.spawn(self._maintain(peer), f"dial {host}")
        return peer

    def _on_registry(self, change: RegistryChange) -> None:
        """Update the peers if the instances with an upstream have changed."""
        hosts = {}
        for item in self._state.upstreams.values():
            hosts[item.address.host] = item.zone
        hosts.pop(self._address.host, None)
        if hosts != self._hosts:
            self._hosts = hosts
            self._update_peers()

    def _update_peers(self) -> None:
        """Rebuild the relay tree and dial the nodes that are dialed eagerly.

        The links to nodes without an upstream in the registry are no longer maintained.
        """
        hosts = self._hosts
        self._relay.set_hosts(hosts)
        eager = self._eager_hosts()
        for host in sorted(eager):
            self._peer(host)
        for host, peer in self._peers.items():
            peer.eager = host in eager
            if host not in hosts:
                peer.release()
            else:
                peer.wanted = True
            if peer.link is not None:
                self._update_subscription(peer.link)

    def _eager_hosts(self) -> set[str]:
        """Return the nodes to dial before a request needs them."""
        neighbours = self._relay.neighbours & set(self._hosts)
        if len(self._hosts) <= MAX_EAGER_DIALS:
            return neighbours | set(self._hosts)
        chosen = []
        for service in self._state.services:
            upstreams = self._state.available_upstreams(service)
            chosen += self._aperture.hosts(service, upstreams)
        # The sort is stable: nodes of the own zone first, by service.
        chosen.sort(key=lambda host: self._hosts.get(host) != self._zone)
        eager = dict.fromkeys(host for host in chosen if host in self._hosts)
        return neighbours | set(list(eager)[:MAX_EAGER_DIALS])

    def _schedule_update(self) -> None:
        """Rebuild the tree soon, once for several bandwidths that were learned."""
        if not self._update_scheduled:
            self._update_scheduled = True
            asyncio.get_running_loop().call_later(TREE_UPDATE_DELAY_S, self._update)

    def _update(self) -> None:
        self._update_scheduled = False
        self._update_peers()

    def _update_subscription(self, link: Link) -> None:
        """Tell a peer if it has become a neighbour in the tree, or no longer is."""
        wanted = link.host in self._relay.neighbours
        if wanted != link.own_subscription:
            link.own_subscription = wanted
            state = self._state
            link.send(Subscribe(wanted, state.version, state.revision))
            if wanted:
                self._relay.on_synchronize(link)

    async def _maintain(self, peer: Peer) -> None:
        """Dial a peer again whenever its link is lost, for as long as it is wanted."""
        backoff = Backoff(INITIAL_REDIAL_DELAY_S, MAX_REDIAL_DELAY_S, self._rng)
        loop = asyncio.get_running_loop()
        while peer.wanted:
            link = await self._dial(peer)
            if link is None:
                peer.mark_unreachable(loop.time())
                if peer.is_unused(loop.time()):
                    peer.release()
                await self._wait_before_redial(peer, backoff.next_delay())
                continue
            peer.link, peer.unreachable_since = link, NEVER
            peer.heartbeat.restart()
            peer.dialed_once, peer.probe_token = True, 0
            self._check_by(peer, loop.time())
            self._schedule_update()
            self._log.event(
                "link-made",
                f"link to {peer.address.host} opened",
                peer=peer.address.host,
            )
            peer.connected.set()
            backoff.reset()
            await peer.wait_until_unused(link)
            if not link.closed:
                link.close("peer is no longer needed")
        if not peer.pending and self._peers.get(peer.address.host) is peer:
            del self._peers[peer.address.host]

    async def _dial(self, peer: Peer) -> Link | None:
        """Return a link whose peer has sent its hello, ``None`` if none does in time.

        An established connection alone does not show that the peer runs: the operating
        system accepts it for a suspended process, and a proxy for one that has exited.
        The outcome of a request sent there would be unknown.
        """
        link = None
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                sock = await connected_socket(peer.address, self._address.host)
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: Link(self, True, self._pacer, peer.address.host),
                    sock=sock,
                )
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                return link if await link.wait_for_hello() else None
        except (OSError, TimeoutError):
            if link is not None:
                link.close("no hello received in time")
            return None

    async def _wait_before_redial(self, peer: Peer, seconds: float) -> None:
        """Wait before the next dial, or until the peer dials this node."""
        peer.redial_now.clear()
        try:
            async with asyncio.timeout(seconds):
                await peer.redial_now.wait()
        except TimeoutError:
            pass

    def _trigger_redial(self, link: Link) -> None:
        """Dial a peer at once if it has just dialed this node."""
        peer = self._peers.get(link.host)
        if not link.dialed and peer is not None:
            peer.redial_now.set()

    def link_made(self, link: Link) -> None:
        """Send a hello to the peer."""
        revision, evacuated = self._state.revision, self._state.evacuations.revision
        link.own_subscription = link.dialed and link.host in self._relay.neighbours
        if not link.dialed:
            self._accepted[link] = {}
            now = asyncio.get_running_loop().time()
            self._check_by(link, now + ACCEPTED_TIMEOUT_S)
        link.send(
            Hello(
                self._address.host,
                self._zone,
                self._incarnation,
                link.own_subscription,
                self._state.version,
                store_revision(revision),
                self._pacer.mbps,
                self.advertised_at(link.host) if link.dialed else [],
                reports_taken=True,
                shares_evidence=True,
                evacuation_revision=store_revision(evacuated),
                era=era_of(revision),
                evacuation_era=era_of(evacuated),
            )
        )

    def link_lost(self, link: Link, reason: str) -> None:
        """Cancel the attempts of the peer and fail those that are pending there."""
        for attempt_state, sink in self._accepted.pop(link, {}).values():
            self._owner.cancel(attempt_state)
            sink.discard()
        self._checks.discard(link)
        peer = self._peer_by_link(link)
        if peer is None:
            return
        self._checks.discard(peer)
        peer.link = None
        peer.changed.set()
        self._schedule_update()
        peer.mark_unreachable(asyncio.get_running_loop().time())
        peer.connected.clear()
        self._log.event(
            "link-lost",
            f"link to {link.host} lost: {reason}",
            peer=link.host,
            reason=reason,
        )
        pending, peer.pending = peer.pending, {}
        for item in pending.values():
            detail = f"link to node {link.host} lost: {reason}"
            failure = Failure(
                ErrorKind.UPSTREAM_LOST, Outcome.UNKNOWN, detail, 0.0, True
            )
            item.reply.on_reply_failed(failure, None)

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Handle a message; an unexpected exception closes only its link."""
        try:
            self._dispatch(link, frame)
        except Exception as error:
            kind = type(frame).__name__
            self._log.error("cannot handle message", error, peer=link.host, kind=kind)
            link.close(f"message {kind} cannot be handled")

    def _dispatch(self, link: Link, frame: Frame) -> None:
        """Handle a message by its type."""
        if not link.peer_knows_eras:
            frame = with_era(frame, self._state.first_era)
        match frame:
            case Head():
                if item := self._pending(link, frame.key):
                    item.reply.on_reply_head(frame.status, frame.headers, frame.length)
            case Data():
                if item := self._pending(link, frame.key):
                    item.reply.on_reply_data(frame.data)
            case End():
                if item := self._pending(link, frame.key, last=True):
                    item.reply.on_reply_end(frame.load)
            case Failed():
                if item := self._pending(link, frame.key, last=True):
                    item.reply.on_reply_failed(failure_from_frame(frame), frame.load)
            case Submit():
                self._on_submit(link, frame)
            case Cancel():
                self._on_cancel(link, frame.key)
            case Taken():
                if found := self._accepted.get(link, {}).get(frame.key):
                    found[1].window.take(frame.size)
            case Evidence():
                self._evidence.on_evidence(link, frame)
            case EvacuatedZones():
                self._evacuation.on_frame(link, frame)
            case Hello():
                link.host, link.zone = frame.host, frame.zone
                link.subscribed, link.peer_mbps = frame.relays, frame.link_mbps
                link.peer_reports_taken = frame.reports_taken
                link.peer_shares_evidence = frame.shares_evidence
                link.mark_hello_received()
                link.peer_knows_eras = frame.era >= 0
                if frame.advertised:
                    self._owner.adopt_advertised(frame.advertised, frame.host)
                self._relay.record_bandwidth(frame.host, frame.link_mbps)
                self._trigger_redial(link)
                revision, evacuated = self._hello_revisions(frame)
                self._evacuation.on_peer_revision(link, evacuated)
                self._relay.on_hello(link, frame.version, revision)
            case Ping():
                self._relay.on_peer_state(link, frame.version, frame.revision)
                self._evacuation.on_peer_revision(link, frame.evacuation_revision)
                link.peer_store_available = frame.store_served
                link.send(self._pong(frame.token))
            case Pong():
                self._relay.on_peer_state(link, frame.version, frame.revision)
                self._evacuation.on_peer_revision(link, frame.evacuation_revision)
                link.peer_store_available = frame.store_served
                self._measure_round_trip(link, frame.token)
                self.on_load(link.host, frame.load)
            case _:
                self._relay.on_frame(link, frame)

    def _hello_revisions(self, hello: Hello) -> tuple[int, int]:
        """Return the revisions of the registry and of the evacuated zones of a peer."""
        if hello.era < 0:
            hello = with_era(hello, self._state.first_era)
            return hello.revision, hello.evacuation_revision
        return (
            revision_in(hello.era, hello.revision),
            revision_in(hello.evacuation_era, hello.evacuation_revision),
        )

    def _measure_round_trip(self, link: Link, token: int) -> None:
        """Record the round-trip time if the pong answers the measured ping."""
        peer = self._peer_by_link(link)
        if peer is not None and token and token == peer.probe_token:
            peer.probe_token = 0
            self.on_round_trip(asyncio.get_running_loop().time() - peer.probe_at)

    def _pong(self, token: int) -> Pong:
        state = self._state
        return Pong(
            token,
            state.version,
            state.revision,
            self._relay.store_available,
            self._owner.load(),
            state.evacuations.revision,
        )

    def _pending(
        self, link: Link, key: str, last: bool = False
    ) -> PendingAttempt | None:
        """Return a pending attempt, and remove it if its last message has arrived."""
        peer = self._peer_by_link(link)
        if peer is None:
            return None
        if not last:
            return peer.pending.get(key)
        if not peer.wanted:
            peer.changed.set()
        return peer.pending.pop(key, None)

    def _peer_by_link(self, link: Link) -> Peer | None:
        """Return the peer whose dialed link this is, ``None`` for an accepted link."""
        peer = self._peers.get(link.host)
        return peer if peer is not None and peer.link is link else None

    def _on_submit(self, link: Link, frame: Submit) -> None:
        """Run the attempt of a peer at the own upstream."""
        attempts = self._accepted.get(link)
        if attempts is None:
            return
        sink = LinkSink(link, frame.key, lambda key: attempts.pop(key, None))
        attempt_state = self._owner.submit(
            attempt_from_submit(frame, self._address.host), sink
        )
        if attempt_state is not None:
            attempts[frame.key] = attempt_state, sink

    def _on_cancel(self, link: Link, key: str) -> None:
        """Cancel an attempt of a peer if it has not finished."""
        if found := self._accepted.get(link, {}).pop(key, None):
            attempt_state, sink = found
            self._owner.cancel(attempt_state)
            sink.discard()

    def _check_by(self, target: Peer | Link, when: float) -> None:
        """Look at a link at a time, or before it if that is planned."""
        self._checks.bring_forward(target, when)
        if when < self._next_check_at - CHECK_INTERVAL_S:
            self._check_now.set()

    async def _monitor_links(self) -> None:
        """Ping silent peers, and close links on which nothing is received."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            delay = self._checks.next_at - now
            delay = min(MAX_CHECK_INTERVAL_S, max(CHECK_INTERVAL_S, delay))
            self._next_check_at = now + delay
            await self._wait_for_check(self._next_check_at)
            now = loop.time()
            lag = now - self._next_check_at
            if lag >= 0:
                self.on_loop_lag(lag)
            if lag > MAX_CHECK_DELAY_S:
                self._reset_timeouts(now)
            self._check_links(now)

    async def _wait_for_check(self, due: float) -> None:
        """Wait until a check is due, or an earlier one is planned."""
        self._check_now.clear()
        try:
            async with asyncio.timeout_at(due):
                await self._check_now.wait()
        except TimeoutError:
            return

    def _check_links(self, now: float) -> None:
        """Look at the links that are due."""
        for target in self._checks.pop_due(now):
            if isinstance(target, Peer):
                if target.link is not None:
                    self._check_heartbeat(target, target.link, now)
            elif target in self._accepted:
                self._check_accepted(target, now)

    def _check_accepted(self, link: Link, now: float) -> None:
        """Close an accepted link after the timeout."""
        due = link.last_received_at + ACCEPTED_TIMEOUT_S
        if now > due:
            link.close(f"no data received for {ACCEPTED_TIMEOUT_S:g} s")
        else:
            self._checks.set(link, due + CHECK_INTERVAL_S)

    def _reset_timeouts(self, now: float) -> None:
        """Start all silence timeouts again, since this process itself was blocked."""
        for peer in self._peers.values():
            peer.heartbeat.reset_timeout(now)
        for link in self._accepted:
            link.last_received_at = now

    def _check_heartbeat(self, peer: Peer, link: Link, now: float) -> None:
        """Ping a peer if it is silent, and close its link after the timeout."""
        heartbeat, busy = peer.heartbeat, bool(peer.pending)
        heartbeat.record_received(link.last_received_at)
        if now >= heartbeat.ping_due(link.last_received_at, busy):
            heartbeat.record_ping(now)
            link.send(self._ping())
            if not peer.probe_token:
                peer.probe_token, peer.probe_at = self._last_token, now
        if busy:
            timeout_s = self._busy_timeout(link)
        elif link.host in self._relay.neighbours:
            timeout_s = self._neighbour_timeout(link)
        else:
            timeout_s = IDLE_TIMEOUT_S
        if heartbeat.timed_out(now, timeout_s):
            link.close(f"ping unanswered for {timeout_s:g} s")
            return
        if busy and heartbeat.is_suspect(link.last_received_at, now, timeout_s):
            self._abandon_idempotent(peer, link)
        if peer.is_unused(now):
            peer.release()
        received_at = link.last_received_at
        due = heartbeat.next_check(received_at, now, busy, timeout_s)
        self._checks.set(peer, due)

    def _abandon_idempotent(self, peer: Peer, link: Link) -> None:
        """Let the idempotent attempts on a silent link be tried elsewhere.

        If the link were closed now and the peer only slow, the others would be in
        doubt. A response that has begun goes on.
        """
        abandoned = [
            item
            for item in peer.pending.values()
            if item.attempt.idempotent and not item.reply.status
        ]
        detail = f"node {link.host} does not answer pings"
        for item in abandoned:
            del peer.pending[item.attempt.key]
            link.send(Cancel(item.attempt.key))
            failure = Failure(
                ErrorKind.UPSTREAM_LOST, Outcome.UNKNOWN, detail, 0.0, True
            )
            item.reply.on_reply_failed(failure, None)

    def _busy_timeout(self, link: Link) -> float:
        """Return the timeout of a ping on a link with pending attempts."""
        mbps = min(self._pacer.mbps, link.peer_mbps)
        if mbps >= MIN_UNPACED_MBPS:
            return BUSY_TIMEOUT_S
        scale = min(1.0, SLOW_NETWORK_MBPS / mbps)
        return max(BUSY_TIMEOUT_S, SLOW_NETWORK_TIMEOUT_S * scale)

    def _neighbour_timeout(self, link: Link) -> float:
        """Return the timeout of a ping to an idle neighbour, which sends versions."""
        return min(MAX_NEIGHBOUR_TIMEOUT_S, self._busy_timeout(link))

    def _ping(self) -> Ping:
        self._last_token += 1
        state = self._state
        return Ping(
            self._last_token,
            state.version,
            state.revision,
            self._relay.store_available,
            state.evacuations.revision,
        )
