"""Spreads state over links, so that few nodes have to read the store.

Nodes of a zone stand in a tree by hash order. A node sends what is new to the nodes
beside it in the tree: whole in its zone, announced to other zones, where it is fetched
if it does not come another way. A node that sees in the signs of life of a peer that it
is behind asks that peer; it asks one at a time, so that a change never brings it the
same state from all its peers.
"""

__all__ = ["Relay"]

import asyncio
from collections.abc import Iterable

from ragwortferry.mesh.frames import Announce, Configuration, Frame, Pull, Registry
from ragwortferry.mesh.link import Link
from ragwortferry.mesh.model import Document
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.utils.digests import rank_key

# Children of a node in the tree of its zone.
FANOUT = 8
# Nodes of each zone that read the store and are linked to those of other zones.
HUBS = 2
# Seconds for which what a peer has may still come from the own zone.
PULL_DELAY_S = 0.25
# Seconds between two requests for state: the answer to one takes a part of this even
# over a slow network link.
PULL_PAUSE_S = 0.5


class Relay:
    """Decides who is told what.

    :param host: own IP number.
    :param zone: own availability zone.
    """

    def __init__(self, knowledge: MeshState, host: str, zone: str):
        self._knowledge = knowledge
        self._host = host
        self._zone = zone
        self._zones: dict[str, list[str]] = {}
        self._pulled_at = -PULL_PAUSE_S
        self._pull_planned = False
        self.links = lambda: []
        self.neighbours: set[str] = set()
        self.store_served = True
        knowledge.on_document.append(self._tell_document)
        knowledge.on_registry.append(self._tell_registry)

    @property
    def zone_order(self) -> list[str]:
        """Return the nodes of the own zone in hash order, this one included."""
        return self._zones.get(self._zone, [self._host])

    @property
    def nodes(self) -> int:
        """Return the number of known nodes, this one included."""
        return max(1, sum(len(hosts) for hosts in self._zones.values()))

    def set_hosts(self, zones: dict[str, str]) -> None:
        """Lay the tree anew.

        :param zones: availability zone of each other node, by IP number.
        """
        everyone = {**zones, self._host: self._zone}
        self._zones = {}
        for host, zone in everyone.items():
            self._zones.setdefault(zone, []).append(host)
        for zone, hosts in self._zones.items():
            hosts.sort(key=lambda host, zone=zone: rank_key(zone, host))
        self.neighbours = set(self._above()) - {self._host}

    def is_reader(self, alive: Iterable[str]) -> bool:
        """Return whether this node reads the store.

        :param alive: linked nodes that say that the store serves them.
        """
        order = self.zone_order
        before = order[: order.index(self._host)]
        return len(set(before) & set(alive)) < HUBS

    def _above(self) -> list[str]:
        """Return the nodes that this one links to for state."""
        order = self.zone_order
        place = order.index(self._host)
        if place >= HUBS:
            parent = max(0, place - HUBS) // FANOUT
            return order[parent : parent + HUBS]
        hubs = [host for hosts in self._zones.values() for host in hosts[:HUBS]]
        return [*hubs, *order[: HUBS + 2]]

    def _targets(self) -> list[Link]:
        """Return one link to each node beside this one."""
        chosen: dict[str, Link] = {}
        for link in self.links():
            if self._beside(link) and link.host:
                chosen.setdefault(link.host, link)
        return list(chosen.values())

    def _blank(self, targets: list[Link]) -> list[Link]:
        """Return one link to each further node that has started without any state."""
        told = {link.host for link in targets}
        blank = {}
        for link in self.links():
            if link.host and link.host not in told and not link.peer_revision:
                blank.setdefault(link.host, link)
        return list(blank.values())

    def _beside(self, link: Link) -> bool:
        """Return whether the peer stands beside this node in the tree."""
        return link.relays or (link.dialed and link.host in self.neighbours)

    def _tell_document(self, document: Document) -> None:
        targets = self._targets()
        for link in [*targets, *self._blank(targets)]:
            if link.peer_version >= document.version:
                continue
            if link.zone == self._zone:
                self._send_document(link)
            else:
                link.send(Announce(document.version, self._knowledge.revision))

    def _tell_registry(self, change: RegistryChange) -> None:
        frame = _registry(change)
        targets = self._targets()
        for link in targets:
            link.send(frame)
        for link in self._blank(targets):
            self._send_registry(link, 0)

    def _send_document(self, link: Link) -> None:
        link.peer_version = max(link.peer_version, self._knowledge.version)
        link.send(Configuration(self._knowledge.version, self._knowledge.compressed))

    def _send_registry(self, link: Link, since: int) -> None:
        link.peer_revision = max(link.peer_revision, self._knowledge.revision)
        link.send(_registry(self._knowledge.changes_since(since)))

    def greeted(self, link: Link, version: int, revision: int) -> None:
        """Bring a node beside this one up to date, or ask it for what is newer."""
        link.peer_version, link.peer_revision = version, revision
        knowledge = self._knowledge
        if self._beside(link):
            if version < knowledge.version:
                if link.zone == self._zone:
                    self._send_document(link)
                else:
                    link.send(Announce(knowledge.version, knowledge.revision))
            if revision < knowledge.revision:
                self._send_registry(link, revision)
        self.heard(link, version, revision)

    def heard(self, link: Link, version: int, revision: int) -> None:
        """Note what a peer has, and ask it for that if it does not come another way."""
        link.peer_version = max(link.peer_version, version)
        link.peer_revision = max(link.peer_revision, revision)
        knowledge = self._knowledge
        if version <= knowledge.version and revision <= knowledge.revision:
            return
        if not knowledge.ready:
            self._pull(link)
        elif not self._pull_planned:
            self._pull_planned = True
            loop = asyncio.get_running_loop()
            loop.call_later(PULL_DELAY_S, self._pull_newer, link, version, revision)

    def _pull_newer(self, link: Link, version: int, revision: int) -> None:
        self._pull_planned = False
        knowledge = self._knowledge
        if knowledge.version < version or knowledge.revision < revision:
            self._pull(link)

    def _pull(self, link: Link) -> None:
        """Ask one peer at a time for what it has."""
        now = asyncio.get_running_loop().time()
        if link.closed or now < self._pulled_at + PULL_PAUSE_S:
            return
        self._pulled_at = now
        link.send(Pull(self._knowledge.version, self._knowledge.revision))

    def frame(self, link: Link, frame: Frame) -> None:
        """Take in state, or an announcement of it."""
        match frame:
            case Configuration():
                link.peer_version = max(link.peer_version, frame.version)
                if frame.version > self._knowledge.version:
                    self._knowledge.apply_compressed(frame.data, link.host)
            case Registry():
                change = RegistryChange(
                    frame.since, frame.revision, frame.upstreams, dict(frame.removed)
                )
                if not self._knowledge.apply_registry(change, link.host):
                    link.send(Pull(self._knowledge.version, self._knowledge.revision))
            case Announce():
                self.heard(link, frame.version, 0)
            case Pull():
                if frame.version < self._knowledge.version:
                    self._send_document(link)
                if frame.revision < self._knowledge.revision:
                    self._send_registry(link, frame.revision)


def _registry(change: RegistryChange) -> Registry:
    return Registry(
        change.since,
        change.revision,
        change.upstreams,
        list(change.removed.items()),
    )
