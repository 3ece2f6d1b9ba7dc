"""Links to other nodes: who is dialed, who is alive, and attempts on the way."""

__all__ = ["Peers"]

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log
from ragwortferry.mesh.attempt import Attempt, Failure, Reply
from ragwortferry.mesh.frames import (
    Cancel,
    Data,
    End,
    Failed,
    Frame,
    Head,
    Hello,
    Load,
    Ping,
    Pong,
    Submit,
)
from ragwortferry.mesh.link import Link
from ragwortferry.mesh.owner import Owner, Run
from ragwortferry.mesh.relay import Relay
from ragwortferry.mesh.remote import (
    LinkSink,
    attempt_from_submit,
    failure_from_frame,
    submit_frame,
)
from ragwortferry.mesh.state import MeshState
from ragwortferry.utils.outflow import FAST_MBPS, Outflow
from ragwortferry.utils.pacing import Backoff
from ragwortferry.utils.sockets import Address, connected_socket, listen

LISTEN_BACKLOG = 512
# Seconds between signs of life on a link that carries nothing.
IDLE_PING_INTERVAL_S = 1.0
# Seconds between them while attempts wait for an answer.
BUSY_PING_INTERVAL_S = 0.1
# Seconds of silence after which a link with waiting attempts is given up; below any
# route's timeout, so that a repeatable request can still be served elsewhere.
BUSY_TIMEOUT_S = 0.4
# The same where a slow network link lies between: a single answer of half a megabyte
# takes 1.4 s at 3 Mbit/s, and signs of life wait behind it.
SLOW_NETWORK_TIMEOUT_S = 2.0
# Share of these bounds after which other instances are preferred. A sign of life takes
# a few milliseconds; a process that gets its processor late takes 0.1 s.
SUSPECT_FRACTION = 0.4
# Seconds of silence after which an idle link is given up.
IDLE_TIMEOUT_S = 3.0
# Period of the check of all links, in seconds.
CHECK_INTERVAL_S = 0.05
# Seconds until a connection must be established.
DIAL_TIMEOUT_S = 1.0
# Seconds until its peer must have greeted; a slow network link may be silent as long.
HELLO_TIMEOUT_S = 2.0
# Seconds that an attempt waits for a link that is being established.
MAX_LINK_WAIT_S = 0.3
# Bounds of the jittered pause between two tries to reach a peer, in seconds.
INITIAL_REDIAL_DELAY_S, MAX_REDIAL_DELAY_S = 0.05, 1.0
# Seconds by which a late check is not held against the peers.
MAX_CHECK_DELAY_S = 0.2
NEVER = float("inf")
# Seconds after the start for which the state is awaited from seeds before the store is
# asked for it: a seed that starts at the same time has read it within half a second.
SEED_WAIT_S = 1.5
# Seconds after which another seed is asked.
SEED_INTERVAL_S = 0.5
# Nodes of the own zone up to which all are dialed ahead of requests.
MAX_EAGER_DIALS = 40


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt that was sent to its owner."""

    attempt: Attempt
    reply: Reply


class _Peer:
    """One other node, as seen from the side that dials it."""

    def __init__(self, address: Address):
        self.address = address
        self.link: Link | None = None
        self.pending: dict[str, PendingAttempt] = {}
        self.pinged_at = 0.0
        # Time of the first sign of life that was asked for in vain.
        self.unanswered_since = NEVER
        self.task: asyncio.Task | None = None
        self.connected = asyncio.Event()
        # Since when it cannot be reached, if its last try failed or its link was lost.
        self.unreachable_since = NEVER
        self.dialed_once = False
        self.wanted = True
        # Set by a sign that it can be reached again.
        self.redial_now = asyncio.Event()

    @property
    def unreachable(self) -> bool:
        """Return whether it could not be reached last."""
        return self.unreachable_since is not NEVER

    def mark_unreachable(self, now: float) -> None:
        """Note that it cannot be reached."""
        self.dialed_once = True
        self.unreachable_since = min(self.unreachable_since, now)


class Peers:
    """Keeps links to the nodes of the registry's upstreams.

    :param address: where this node accepts links.
    :param peer_port: where all other nodes do.
    :param seeds: IP numbers of nodes to ask for the state at the start.
    :param outflow: shares the bandwidth of the own instance.
    :param incarnation: name of this run of the process.
    """

    def __init__(
        self,
        kernel: Kernel,
        state: MeshState,
        owner: Owner,
        relay: Relay,
        address: Address,
        peer_port: int,
        seeds: tuple[str, ...],
        zone: str,
        outflow: Outflow,
        incarnation: str,
        log: Log,
        rng: random.Random,
    ):
        self._kernel = kernel
        self._state = state
        self._owner = owner
        self._relay = relay
        self._address = address
        self._peer_port = peer_port
        self._zone = zone
        self._seeds = [host for host in seeds if host != address.host]
        # A seed reads the store at once: the others wait for it.
        self._is_seed = address.host in seeds
        self._seed_deadline = NEVER
        self._outflow = outflow
        self._incarnation = incarnation
        self._log = log
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        # Attempts of others at the own upstream, by their key.
        self._accepted: dict[Link, dict[str, tuple[Run, LinkSink]]] = {}
        self._listener: asyncio.Server | None = None
        self._last_token = 0
        self.on_load: Callable[[str, Load], None] = lambda host, load: None
        relay.links = lambda: self.links
        state.on_registry.insert(0, lambda change: self._update_peers())

    @property
    def links(self) -> list[Link]:
        """Return all open links."""
        dialed = [peer.link for peer in self._peers.values() if peer.link]
        return [*dialed, *self._accepted]

    @property
    def connected_count(self) -> int:
        """Return the number of peers that this node has dialed with success."""
        return sum(peer.link is not None for peer in self._peers.values())

    async def start(self) -> None:
        """Accept links and look after them."""
        loop = asyncio.get_running_loop()
        sock = listen(self._address.host, self._address.port, LISTEN_BACKLOG)
        self._listener = await loop.create_server(
            lambda: Link(self, False, self._outflow), sock=sock
        )
        self._kernel.spawn(self._monitor_links(), "links")
        self._seed_deadline = loop.time() + SEED_WAIT_S
        if self._seeds:
            self._kernel.spawn(self._contact_seeds(), "seeds")

    async def _contact_seeds(self) -> None:
        """Link up with one seed after the other until one has given the state."""
        self._rng.shuffle(self._seeds)
        for host in itertools.cycle(self._seeds):
            if self._state.ready:
                return
            self._peer(host)
            await asyncio.sleep(SEED_INTERVAL_S)

    async def stop(self) -> None:
        """Close all links."""
        if self._listener:
            self._listener.close()
        for peer in self._peers.values():
            peer.wanted = False
            if peer.task:
                peer.task.cancel()
        for link in self.links:
            link.close("stopping")

    @property
    def awaiting_seed(self) -> bool:
        """Return whether the state may still come from a seed."""
        if self._state.ready or not self._seeds or self._is_seed:
            return False
        return asyncio.get_running_loop().time() < self._seed_deadline

    @property
    def all_dialed(self) -> bool:
        """Return whether each peer was dialed once, with success or without."""
        return all(peer.dialed_once for peer in self._peers.values())

    def reachable(self, host: str, now: float) -> bool:
        """Return whether a link to an instance is sound or may soon be."""
        peer = self._peers.get(host)
        if peer is None:
            return True
        if peer.link is None:
            return not peer.unreachable
        return not self._is_suspect(peer, peer.link, now)

    def _is_suspect(self, peer: _Peer, link: Link, now: float) -> bool:
        """Return whether a sign of life is overdue, long before the link is given up.

        What is sent into a cut is lost and in doubt, so others are preferred.
        """
        if link.last_received_at >= peer.unanswered_since:
            return False
        return now - peer.unanswered_since > SUSPECT_FRACTION * self._busy_timeout(link)

    async def send(self, attempt: Attempt, reply: Reply) -> None:
        """Send an attempt to the owner of its upstream."""
        peer = self._peer(attempt.host)
        await self._wait_until_connected(peer, attempt.deadline)
        if peer.link is None:
            detail = f"no link to {peer.address.host}"
            failure = Failure(ErrorKind.CONNECT_FAILED, Outcome.NOT_RUN, detail)
            reply.on_reply_failed(failure, None)
            return
        peer.pending[attempt.key] = PendingAttempt(attempt, reply)
        peer.link.send(submit_frame(attempt))

    async def _wait_until_connected(self, peer: _Peer, deadline: float) -> None:
        """Wait for a link that is being established, or was lost a moment ago."""
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
        """Withdraw an attempt from its owner."""
        peer = self._peers.get(attempt.host)
        if peer is None or peer.pending.pop(attempt.key, None) is None:
            return
        if peer.link is not None:
            peer.link.send(Cancel(attempt.key))

    def broadcast_load(self) -> None:
        """Tell all peers at once what the own upstream takes."""
        for link in self._accepted:
            link.send(self._pong(0))

    def close_all(self, reason: str) -> None:
        """Close all links, for a process that does not know how long it stood still."""
        for link in self.links:
            link.close(reason)

    def _peer(self, host: str) -> _Peer:
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = _Peer(Address(host, self._peer_port))
        if peer.task is None or peer.task.done():
            peer.wanted = True
            peer.task = self._kernel.spawn(self._maintain(peer), f"dial {host}")
        return peer

    def _update_peers(self) -> None:
        """Dial the nodes that are needed, let go of those that are gone."""
        hosts: dict[str, str] = {}
        for item in self._state.upstreams.values():
            hosts[item.address.host] = item.zone
        hosts.pop(self._address.host, None)
        self._relay.set_hosts(hosts)
        same_zone = [host for host, zone in hosts.items() if zone == self._zone]
        eager = (
            set(hosts)
            if len(hosts) <= MAX_EAGER_DIALS
            else set(same_zone[:MAX_EAGER_DIALS])
        )
        for host in eager | (self._relay.neighbours & set(hosts)):
            self._peer(host)
        for host, peer in self._peers.items():
            peer.wanted = host in hosts

    async def _maintain(self, peer: _Peer) -> None:
        """Keep a link to a peer for as long as it is wanted."""
        backoff = Backoff(INITIAL_REDIAL_DELAY_S, MAX_REDIAL_DELAY_S, self._rng)
        loop = asyncio.get_running_loop()
        while peer.wanted:
            link = await self._dial(peer)
            if link is None:
                peer.mark_unreachable(loop.time())
                await self._wait_before_redial(peer, backoff.next_delay())
                continue
            peer.link, peer.unanswered_since, peer.unreachable_since = (
                link,
                NEVER,
                NEVER,
            )
            peer.dialed_once = True
            self._log.event("link-made", "link is open", peer=peer.address.host)
            peer.connected.set()
            backoff.reset()
            while not link.closed and peer.wanted:
                await asyncio.sleep(CHECK_INTERVAL_S)
            if not peer.pending and not link.closed:
                link.close("not needed any more")
            while not link.closed:
                await asyncio.sleep(CHECK_INTERVAL_S)
        if not peer.pending and self._peers.get(peer.address.host) is peer:
            del self._peers[peer.address.host]

    async def _dial(self, peer: _Peer) -> Link | None:
        """Return a link whose peer has greeted, ``None`` if there is none in time.

        A connection alone says little: the system accepts it for a process that stands
        still, and a proxy for one that is gone. What is sent there is in doubt.
        """
        link = None
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                sock = await connected_socket(peer.address, self._address.host)
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: Link(self, True, self._outflow, peer.address.host),
                    sock=sock,
                )
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                return link if await link.wait_for_hello() else None
        except (OSError, TimeoutError):
            if link is not None:
                link.close("no greeting")
            return None

    async def _wait_before_redial(self, peer: _Peer, seconds: float) -> None:
        """Wait before the next try, no longer than until the peer shows itself."""
        peer.redial_now.clear()
        try:
            async with asyncio.timeout(seconds):
                await peer.redial_now.wait()
        except TimeoutError:
            pass

    def _trigger_redial(self, link: Link) -> None:
        """Dial a peer at once that has just dialed this node."""
        peer = self._peers.get(link.host)
        if not link.dialed and peer is not None:
            peer.redial_now.set()

    def link_made(self, link: Link) -> None:
        """Greet the peer."""
        state = self._state
        if not link.dialed:
            self._accepted[link] = {}
        link.send(
            Hello(
                self._address.host,
                self._zone,
                self._incarnation,
                link.dialed and link.host in self._relay.neighbours,
                state.version,
                state.revision,
                self._outflow.mbps,
            )
        )

    def link_lost(self, link: Link, reason: str) -> None:
        """End what depended on the link."""
        for run, sink in self._accepted.pop(link, {}).values():
            self._owner.cancel(run)
            sink.discard()
        peer = self._peer_by_link(link)
        if peer is None:
            return
        peer.link = None
        peer.mark_unreachable(asyncio.get_running_loop().time())
        peer.connected.clear()
        self._log.event("link-lost", "link is lost", peer=link.host, reason=reason)
        pending, peer.pending = peer.pending, {}
        for item in pending.values():
            detail = f"link to {link.host} lost: {reason}"
            failure = Failure(
                ErrorKind.UPSTREAM_LOST, Outcome.UNKNOWN, detail, 0.0, True
            )
            item.reply.on_reply_failed(failure, None)

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Act on a message."""
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
            case Hello():
                link.host, link.zone = frame.host, frame.zone
                link.subscribed, link.peer_mbps = frame.relays, frame.link_mbps
                link.mark_hello_received()
                self._trigger_redial(link)
                self._relay.on_hello(link, frame.version, frame.revision)
            case Ping():
                self._relay.on_peer_state(link, frame.version, frame.revision)
                link.peer_store_available = frame.store_served
                link.send(self._pong(frame.token))
            case Pong():
                self._relay.on_peer_state(link, frame.version, frame.revision)
                link.peer_store_available = frame.store_served
                self.on_load(link.host, frame.load)
            case _:
                self._relay.on_frame(link, frame)

    def _pong(self, token: int) -> Pong:
        state = self._state
        return Pong(
            token,
            state.version,
            state.revision,
            self._relay.store_available,
            self._owner.load(),
        )

    def _pending(
        self, link: Link, key: str, last: bool = False
    ) -> PendingAttempt | None:
        peer = self._peer_by_link(link)
        if peer is None:
            return None
        return peer.pending.pop(key, None) if last else peer.pending.get(key)

    def _peer_by_link(self, link: Link) -> _Peer | None:
        """Return the peer that was dialed with a link, if it was."""
        peer = self._peers.get(link.host)
        return peer if peer is not None and peer.link is link else None

    def _on_submit(self, link: Link, frame: Submit) -> None:
        runs = self._accepted.get(link)
        if runs is None:
            return
        sink = LinkSink(link, frame.key, lambda key: runs.pop(key, None))
        run = self._owner.submit(attempt_from_submit(frame, self._address.host), sink)
        if run is not None:
            runs[frame.key] = run, sink

    def _on_cancel(self, link: Link, key: str) -> None:
        if found := self._accepted.get(link, {}).pop(key, None):
            run, sink = found
            self._owner.cancel(run)
            sink.discard()

    async def _monitor_links(self) -> None:
        """Ask silent peers for a sign of life and give up those that send none."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = loop.time()
            if now - due > MAX_CHECK_DELAY_S:
                self._reset_timeouts(now)
            for peer in list(self._peers.values()):
                if peer.link is not None:
                    self._check_heartbeat(peer, peer.link, now)
            for link in list(self._accepted):
                if now - link.last_received_at > IDLE_TIMEOUT_S:
                    link.close("silent")

    def _reset_timeouts(self, now: float) -> None:
        """Give peers more time, since this process itself was late."""
        for peer in self._peers.values():
            if peer.unanswered_since is not NEVER:
                peer.unanswered_since = now
        for link in self._accepted:
            link.last_received_at = now

    def _check_heartbeat(self, peer: _Peer, link: Link, now: float) -> None:
        if link.last_received_at >= peer.unanswered_since:
            peer.unanswered_since = NEVER
        interval = BUSY_PING_INTERVAL_S if peer.pending else IDLE_PING_INTERVAL_S
        if now - max(link.last_received_at, peer.pinged_at) >= interval:
            peer.pinged_at = now
            peer.unanswered_since = min(peer.unanswered_since, now)
            link.send(self._ping())
        timeout_s = self._busy_timeout(link) if peer.pending else IDLE_TIMEOUT_S
        if now - peer.unanswered_since > timeout_s:
            link.close("silent")

    def _busy_timeout(self, link: Link) -> float:
        """Return the bound on the silence of a link with attempts that wait."""
        slow = min(self._outflow.mbps, link.peer_mbps) < FAST_MBPS
        return SLOW_NETWORK_TIMEOUT_S if slow else BUSY_TIMEOUT_S

    def _ping(self) -> Ping:
        self._last_token += 1
        state = self._state
        return Ping(
            self._last_token,
            state.version,
            state.revision,
            self._relay.store_available,
        )
