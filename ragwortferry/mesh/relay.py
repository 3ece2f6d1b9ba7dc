"""Dissemination of state over links, so that few nodes have to read the store.

The nodes of a zone form a tree in hash order. A node pushes new state to its neighbours
in the tree. A new configuration is pushed in full within the zone and only announced to
other zones, whose nodes pull it if they do not receive it from their own zone first.
Changes of the registry are pushed to all neighbours.

A node that learns from a peer's heartbeat that it is behind pulls from that peer. It
sends one pull at a time, so that it does not receive the same state from all peers.
"""

__all__ = ["Relay"]

import asyncio
from collections.abc import Iterable

from ragwortferry.mesh.frames import Announce, Configuration, Frame, Pull, Registry
from ragwortferry.mesh.link import Link
from ragwortferry.mesh.model import Document
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.utils.digests import rank_key

# Number of nodes that share the same pair of parents in the tree of a zone.
FANOUT = 8
# The first nodes of each zone in hash order are its hubs: they read the store and link
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
        self._last_pull_at = -MIN_PULL_INTERVAL_S
        self._pull_scheduled = False
        # Returns all open links; set by Peers.
        self.links = lambda: []
        self.neighbours: set[str] = set()
        # Whether the last calls to the store succeeded; set by Reader.
        self.store_available = True
        state.on_document.append(self._push_document)
        state.on_registry.append(self._push_registry)

    @property
    def zone_order(self) -> list[str]:
        """Return the nodes of the own zone in hash order, including this one."""
        return self._zones.get(self._zone, [self._host])

    @property
    def node_count(self) -> int:
        """Return the number of known nodes, including this one."""
        return max(1, sum(len(hosts) for hosts in self._zones.values()))

    def set_hosts(self, zones: dict[str, str]) -> None:
        """Rebuild the tree and select the neighbours of this node.

        :param zones: availability zone of each other node, by IP address.
        """
        all_nodes = {**zones, self._host: self._zone}
        self._zones = {}
        for host, zone in all_nodes.items():
            self._zones.setdefault(zone, []).append(host)
        for zone, hosts in self._zones.items():
            hosts.sort(key=lambda host, zone=zone: rank_key(zone, host))
        self.neighbours = set(self._select_neighbours()) - {self._host}

    def is_reader(self, candidates: Iterable[str]) -> bool:
        """Return whether this node has to read the store.

        It does if fewer than ``HUBS_PER_ZONE`` of the preceding nodes of its zone can.

        :param candidates: linked nodes that report the store as available.
        """
        order = self.zone_order
        preceding = order[: order.index(self._host)]
        return len(set(preceding) & set(candidates)) < HUBS_PER_ZONE

    def _select_neighbours(self) -> list[str]:
        """Return the nodes to which this node keeps links for state.

        These are its parents. For a hub, they are all hubs and the next nodes of the
        own zone.
        """
        order = self.zone_order
        position = order.index(self._host)
        if position >= HUBS_PER_ZONE:
            first_parent = max(0, position - HUBS_PER_ZONE) // FANOUT
            return order[first_parent : first_parent + HUBS_PER_ZONE]
        hubs = [
            host for hosts in self._zones.values() for host in hosts[:HUBS_PER_ZONE]
        ]
        return [*hubs, *order[: HUBS_PER_ZONE + 2]]

    def _neighbour_links(self) -> list[Link]:
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
        neighbour_links = self._neighbour_links()
        for link in [*neighbour_links, *self._stateless_links(neighbour_links)]:
            if link.peer_version >= document.version:
                continue
            if link.zone == self._zone:
                self._send_document(link)
            else:
                link.send(Announce(document.version, self._state.revision))

    def _push_registry(self, change: RegistryChange) -> None:
        frame = _registry_frame(change)
        neighbour_links = self._neighbour_links()
        for link in neighbour_links:
            link.send(frame)
        for link in self._stateless_links(neighbour_links):
            self._send_registry(link, 0)

    def _send_document(self, link: Link) -> None:
        link.peer_version = max(link.peer_version, self._state.version)
        link.send(Configuration(self._state.version, self._state.compressed))

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
        self.on_peer_state(link, version, revision)

    def on_peer_state(self, link: Link, version: int, revision: int) -> None:
        """Record which state a peer has, and pull it if it is newer.

        The pull is delayed, since the state may come from another peer in the meantime.
        A node that cannot route requests yet pulls at once.
        """
        link.peer_version = max(link.peer_version, version)
        link.peer_revision = max(link.peer_revision, revision)
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
            case Registry():
                change = RegistryChange(
                    frame.since, frame.revision, frame.upstreams, dict(frame.removed)
                )
                if not self._state.apply_registry(change, link.host):
                    link.send(Pull(self._state.version, self._state.revision))
            case Announce():
                self.on_peer_state(link, frame.version, 0)
            case Pull():
                if frame.version < self._state.version:
                    self._send_document(link)
                if frame.revision < self._state.revision:
                    self._send_registry(link, frame.revision)


def _registry_frame(change: RegistryChange) -> Registry:
    return Registry(
        change.since,
        change.revision,
        change.upstreams,
        list(change.removed.items()),
    )
