"""Dissemination of state over links, so that few nodes have to read the store.

The nodes of a zone form a tree: those with the widest network links come first, and
nodes with equal ones in hash order. The first nodes send each change to each of their
children, and readers fetch the whole configuration at each change. A node pushes new
state to its neighbours in the tree. A new configuration is pushed within the zone, as
the difference from the version that the neighbour has if that is known, and only
announced to other zones, whose nodes pull it if they do not receive it from their own
zone first. Changes of the registry are pushed to all neighbours.

A node that learns from a peer's heartbeat that it is behind pulls from that peer. It
sends one pull at a time, so that it does not receive the same state from all peers.
"""

__all__ = ["Relay"]

import asyncio
from collections.abc import Callable, Iterable

from ragwortferry.mesh.history import DocumentChange
from ragwortferry.mesh.links.frames import (
    Announce,
    Bandwidths,
    Configuration,
    ConfigurationChange,
    Frame,
    Pull,
    Registry,
    Subscribe,
)
from ragwortferry.mesh.links.link import Link
from ragwortferry.mesh.model import Document
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.utils.digests import rank_key

# Number of nodes that share the same pair of parents in the tree of a zone.
FANOUT = 8
# Maximum factor by which a wider network link of the hubs increases the fanout.
MAX_FANOUT_RATIO = 4
# The first nodes of each zone are its hubs: they read the store and link
# to the hubs of other zones.
HUBS_PER_ZONE = 2
# Time for which newer state is expected from the own zone before it is pulled.
PULL_DELAY_S = 0.25
# Minimum interval between two pulls. A response takes only part of it, even over a slow
# network link.
MIN_PULL_INTERVAL_S = 0.5


class Relay:
    """Decides which state is sent to which peer, and when to pull from a peer.

    :param state: state of this node.
    :param host: own IP address.
    :param zone: own availability zone.
    """

    def __init__(self, state: MeshState, host: str, zone: str):
        self._state = state
        self._host = host
        self._zone = zone
        self._zones: dict[str, list[str]] = {}
        # Bandwidth of nodes in Mbit/s, by IP address.
        self._bandwidths: dict[str, float] = {}
        self._announced_hubs: list[tuple[str, float]] = []
        self._last_pull_at = -MIN_PULL_INTERVAL_S
        self._pull_scheduled = False
        # Returns all open links; set by Peers.
        self.links = lambda: []
        # Called if a bandwidth was learned that may change the tree; set by Peers.
        self.on_bandwidth = lambda: None
        # Whether a node can be reached, as far as this one knows; set by Peers.
        self.is_reachable: Callable[[str], bool] = lambda host: True
        # Called with each link to a new neighbour, or to a node that has no state yet;
        # set by EvidenceExchange.
        self.on_synchronize: Callable[[Link], None] = lambda link: None
        # Called with each version that a peer has, and its IP address; set by Node.
        self.on_known_version: Callable[[int, str], None] = lambda version, host: None
        self.neighbours: set[str] = set()
        # Whether the last calls to the store succeeded; set by Reader.
        self.store_available = True
        state.on_document.append(self._push_document)
        state.on_registry.append(self._push_registry)

    @property
    def zone_order(self) -> list[str]:
        """Return the nodes of the own zone in tree order, including this one."""
        return self._zones.get(self._zone, [self._host])

    @property
    def node_count(self) -> int:
        """Return the number of known nodes, including this one."""
        return max(1, sum(len(hosts) for hosts in self._zones.values()))

    def record_bandwidth(self, host: str, mbps: float) -> None:
        """Record the bandwidth of a node in Mbit/s, as the node itself states it."""
        if self._bandwidths.get(host) != mbps:
            self._bandwidths[host] = mbps
            self.on_bandwidth()

    def _tree_key(self, zone: str, host: str):
        """Return the sort key of a node in the tree of its zone.

        A node whose bandwidth is unknown is assumed to have that of this node.
        """
        own = self._bandwidths.get(self._host, 0.0)
        return -self._bandwidths.get(host, own), rank_key(zone, host)

    def set_hosts(self, zones: dict[str, str]) -> None:
        """Rebuild the tree and select the neighbours of this node.

        :param zones: availability zone of each other node, by IP address.
        """
        all_nodes = {**zones, self._host: self._zone}
        self._zones = {}
        for host, zone in all_nodes.items():
            self._zones.setdefault(zone, []).append(host)
        for zone, hosts in self._zones.items():
            hosts.sort(key=lambda host, zone=zone: self._tree_key(zone, host))
        self.neighbours = set(self._select_neighbours()) - {self._host}
        self._announce_hubs()

    def _announce_hubs(self) -> None:
        """Tell the neighbours the bandwidths of the hubs if they have changed."""
        hubs = self._known_hubs()
        if hubs != self._announced_hubs:
            self._announced_hubs = hubs
            for link in self.neighbour_links():
                link.send(Bandwidths(hubs))

    def _known_hubs(self) -> list[tuple[str, float]]:
        """Return the hubs of all zones whose bandwidth is known."""
        return [
            (host, self._bandwidths[host])
            for hosts in self._zones.values()
            for host in hosts[:HUBS_PER_ZONE]
            if host in self._bandwidths
        ]

    def _learn_hubs(self, hubs: list[tuple[str, float]]) -> None:
        """Record bandwidths known to a peer; a node's own statement takes precedence.

        :param hubs: IP address and bandwidth of each.
        """
        unknown = {host: mbps for host, mbps in hubs if host not in self._bandwidths}
        if unknown:
            self._bandwidths.update(unknown)
            self.on_bandwidth()

    def is_reader(self, candidates: Iterable[str]) -> bool:
        """Return whether this node has to read the store.

        It does if fewer than ``HUBS_PER_ZONE`` of the preceding nodes of its zone can.

        :param candidates: linked nodes that report the store as available.
        """
        order = self.zone_order
        preceding = order[: order.index(self._host)]
        return len(set(preceding) & set(candidates)) < HUBS_PER_ZONE

    def is_severed(self, heard: Iterable[str]) -> bool:
        """Return whether none of the preceding nodes of the zone can be heard.

        :param heard: nodes that report the store as available over links that are
            not silent.
        """
        order = self.zone_order
        return set(order[: order.index(self._host)]).isdisjoint(heard)

    def _select_neighbours(self) -> list[str]:
        """Return the nodes to which this node keeps links for state.

        These are its parents. For a hub, they are all hubs and the next nodes of the
        own zone. Nodes that cannot be reached are left out, so that the next ones take
        their places in the tree.
        """
        order = self._reachable(self.zone_order)
        position = order.index(self._host)
        if position >= HUBS_PER_ZONE:
            first_parent = (position - HUBS_PER_ZONE) // self._fanout(order[0])
            return order[first_parent : first_parent + HUBS_PER_ZONE]
        hubs = [
            host
            for hosts in self._zones.values()
            for host in self._reachable(hosts)[:HUBS_PER_ZONE]
        ]
        return [*hubs, *order[: HUBS_PER_ZONE + 2]]

    def _reachable(self, hosts: list[str]) -> list[str]:
        """Return the nodes of a list that can be reached, this one among them."""
        return [h for h in hosts if h == self._host or self.is_reachable(h)]

    def _fanout(self, hub: str) -> int:
        """Return how many nodes like this one share the parents of a zone.

        A hub with a wider network link than theirs feeds more of them.
        """
        own = self._bandwidths.get(self._host, 0.0)
        if not own:
            return FANOUT
        ratio = self._bandwidths.get(hub, own) / own
        return FANOUT * max(1, min(MAX_FANOUT_RATIO, int(ratio)))

    def neighbour_links(self) -> list[Link]:
        """Return one link to each neighbour in the tree."""
        chosen: dict[str, Link] = {}
        for link in self.links():
            if self._is_neighbour(link) and link.host:
                chosen.setdefault(link.host, link)
        return list(chosen.values())

    def _stateless_links(self, neighbour_links: list[Link]) -> list[Link]:
        """Return one link to each other node that has reported no registry yet."""
        covered = {link.host for link in neighbour_links}
        stateless = {}
        for link in self.links():
            if link.host and link.host not in covered and not link.peer_revision:
                stateless.setdefault(link.host, link)
        return list(stateless.values())

    def _is_neighbour(self, link: Link) -> bool:
        """Return whether the peer is a neighbour of this node in the tree."""
        return link.subscribed or (link.dialed and link.host in self.neighbours)

    def _push_document(self, document: Document) -> None:
        neighbour_links = self.neighbour_links()
        for link in [*neighbour_links, *self._stateless_links(neighbour_links)]:
            if link.peer_version >= document.version:
                continue
            if link.zone == self._zone:
                self._send_document(link)
            else:
                link.send(Announce(document.version, self._state.revision))

    def _push_registry(self, change: RegistryChange) -> None:
        if change.since == 0:
            change = self._state.changes_since(0)
        frame = _registry_frame(change)
        neighbour_links = self.neighbour_links()
        for link in neighbour_links:
            link.send(frame)
        for link in self._stateless_links(neighbour_links):
            self._send_registry(link, 0)

    def _send_document(self, link: Link) -> None:
        """Send what the peer lacks: differences if they are known, or the whole."""
        state = self._state
        changes = state.changes_since_version(link.peer_version)
        link.peer_version = max(link.peer_version, state.version)
        if changes is None:
            link.send_in_order(Configuration(state.version, state.compressed))
            return
        for change in changes:
            link.send_in_order(
                ConfigurationChange(change.base, change.version, change.data)
            )

    def _send_registry(self, link: Link, since: int) -> None:
        link.peer_revision = max(link.peer_revision, self._state.revision)
        link.send(_registry_frame(self._state.changes_since(since)))

    def on_hello(self, link: Link, version: int, revision: int) -> None:
        """Send a neighbour the state that it lacks, or pull what is newer from it."""
        link.peer_version, link.peer_revision = version, revision
        state = self._state
        if self._is_neighbour(link):
            if version < state.version:
                if link.zone == self._zone:
                    self._send_document(link)
                else:
                    link.send(Announce(state.version, state.revision))
            if revision < state.revision:
                self._send_registry(link, revision)
            if self._announced_hubs:
                link.send(Bandwidths(self._announced_hubs))
        if self._is_neighbour(link) or not revision:
            self.on_synchronize(link)
        self.on_peer_state(link, version, revision)

    def on_peer_state(self, link: Link, version: int, revision: int) -> None:
        """Record which state a peer has, and pull it if it is newer.

        The pull is delayed, since the state may come from another peer in the meantime.
        A node that cannot route requests yet pulls at once.
        """
        link.peer_version = max(link.peer_version, version)
        link.peer_revision = max(link.peer_revision, revision)
        self.on_known_version(version, link.host)
        state = self._state
        if version <= state.version and revision <= state.revision:
            return
        if not state.ready:
            self._pull(link)
        elif not self._pull_scheduled:
            self._pull_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(PULL_DELAY_S, self._pull_newer, link, version, revision)

    def _pull_newer(self, link: Link, version: int, revision: int) -> None:
        self._pull_scheduled = False
        state = self._state
        if state.version < version or state.revision < revision:
            self._pull(link)

    def _pull(self, link: Link) -> None:
        """Request newer state from a peer, at most once per minimum interval."""
        now = asyncio.get_running_loop().time()
        if link.closed or now < self._last_pull_at + MIN_PULL_INTERVAL_S:
            return
        self._last_pull_at = now
        link.send(Pull(self._state.version, self._state.revision))

    def on_frame(self, link: Link, frame: Frame) -> None:
        """Apply state, or handle an announcement of it or a request for it."""
        match frame:
            case Configuration():
                link.peer_version = max(link.peer_version, frame.version)
                if frame.version > self._state.version:
                    self._state.apply_compressed(frame.data, link.host)
            case ConfigurationChange():
                self._on_change(link, frame)
            case Registry():
                change = RegistryChange(
                    frame.since, frame.revision, frame.upstreams, dict(frame.removed)
                )
                if not self._state.apply_registry(change, link.host):
                    link.send(Pull(self._state.version, self._state.revision))
            case Subscribe():
                link.subscribed = frame.relays
                if frame.relays:
                    self.on_hello(link, frame.version, frame.revision)
            case Bandwidths():
                self._learn_hubs(frame.hubs)
            case Announce():
                self.on_peer_state(link, frame.version, 0)
            case Pull():
                if frame.version < self._state.version:
                    link.peer_version = frame.version
                    self._send_document(link)
                if frame.revision < self._state.revision:
                    self._send_registry(link, frame.revision)

    def _on_change(self, link: Link, frame: ConfigurationChange) -> None:
        """Apply a difference, or request what is missing before it."""
        link.peer_version = max(link.peer_version, frame.version)
        self.on_known_version(frame.version, link.host)
        state = self._state
        if frame.version <= state.version:
            return
        if frame.base == state.version:
            change = DocumentChange(frame.base, frame.version, frame.data)
            if state.apply_change(change, link.host):
                return
            # The peer has another content under the version of this node.
            link.send(Pull(0, state.revision))
        else:
            link.send(Pull(state.version, state.revision))


def _registry_frame(change: RegistryChange) -> Registry:
    return Registry(
        change.since,
        change.revision,
        change.upstreams,
        list(change.removed.items()),
    )
