"""Spreads state over links, so that few nodes have to read the store.

Nodes of a zone stand in a tree by hash order. A node sends what is new to the nodes
beside it in the tree: whole in its zone, announced to other zones, where it is fetched
if it does not come another way. Nodes that are behind show it in their signs of life
and are brought up to date by whoever hears it.
"""

__all__ = ["Relay"]

import asyncio
from collections.abc import Iterable

from ragwortferry.logs import Log
from ragwortferry.mesh.frames import Announce, Configuration, Frame, Pull, Registry
from ragwortferry.mesh.knowledge import Knowledge, RegistryChange
from ragwortferry.mesh.link import Link
from ragwortferry.mesh.model import Document
from ragwortferry.utils.digests import rank_key

# Children of a node in the tree of its zone.
FANOUT = 8
# Nodes of each zone that read the store and are linked to those of other zones.
HUBS = 2
# Seconds for which an announced version may still come from the own zone.
PULL_DELAY_S = 0.25


class Relay:
    """Decides who is told what.

    :param host: own IP number.
    :param zone: own availability zone.
    """

    def __init__(self, knowledge: Knowledge, host: str, zone: str, log: Log):
        self._knowledge = knowledge
        self._host = host
        self._zone = zone
        self._log = log
        self._zones: dict[str, list[str]] = {}
        self._behind: dict[Link, tuple[int, int]] = {}
        self._pulling = False
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

    def _beside(self, link: Link) -> bool:
        """Return whether the peer stands beside this node in the tree."""
        return link.relays or (link.dialed and link.host in self.neighbours)

    def _tell_document(self, document: Document) -> None:
        for link in self._targets():
            if link.peer_version >= document.version:
                continue
            if link.zone == self._zone:
                self._send_document(link)
            else:
                link.send(Announce(document.version, self._knowledge.revision))

    def _tell_registry(self, change: RegistryChange) -> None:
        frame = _registry(change)
        for link in self._targets():
            link.send(frame)

    def _send_document(self, link: Link) -> None:
        link.peer_version = max(link.peer_version, self._knowledge.version)
        link.send(Configuration(self._knowledge.version, self._knowledge.packed))

    def greeted(self, link: Link, version: int, revision: int) -> None:
        """Bring a node up to date that has just linked up."""
        link.peer_version, link.peer_revision = version, revision
        knowledge = self._knowledge
        if version < knowledge.version:
            if link.zone == self._zone or not version:
                self._send_document(link)
            else:
                link.send(Announce(knowledge.version, knowledge.revision))
        if revision < knowledge.revision and (self._beside(link) or not revision):
            link.send(_registry(knowledge.whole_registry()))

    def heard(self, link: Link, version: int, revision: int) -> None:
        """Bring a node up to date that was behind at two signs of life in a row."""
        link.peer_version = max(link.peer_version, version)
        link.peer_revision = revision
        knowledge = self._knowledge
        behind = version < knowledge.version, revision < knowledge.revision
        seen = self._behind.pop(link, None)
        if not any(behind):
            return
        if seen != (version, revision):
            self._behind[link] = (version, revision)
            return
        if behind[0]:
            self._send_document(link)
        if behind[1]:
            link.send(_registry(knowledge.whole_registry()))

    def frame(self, link: Link, frame: Frame) -> None:
        """Take in state, or an announcement of it."""
        match frame:
            case Configuration():
                link.peer_version = max(link.peer_version, frame.version)
                if frame.version > self._knowledge.version:
                    self._knowledge.learn_packed(frame.data, link.host)
            case Registry():
                change = RegistryChange(
                    frame.since, frame.revision, frame.upstreams, dict(frame.removed)
                )
                if not self._knowledge.learn_registry(change, link.host):
                    link.send(Pull(self._knowledge.version, self._knowledge.revision))
            case Announce():
                link.peer_version = max(link.peer_version, frame.version)
                if frame.version > self._knowledge.version:
                    loop = asyncio.get_running_loop()
                    loop.call_later(PULL_DELAY_S, self._pull, link, frame.version)
            case Pull():
                if frame.version < self._knowledge.version:
                    self._send_document(link)
                if frame.revision < self._knowledge.revision:
                    link.send(_registry(self._knowledge.whole_registry()))

    def _pull(self, link: Link, version: int) -> None:
        if self._knowledge.version < version and not link.closed:
            link.send(Pull(self._knowledge.version, self._knowledge.revision))

    def forget(self, link: Link) -> None:
        """Drop what is kept for a link that is gone."""
        self._behind.pop(link, None)


def _registry(change: RegistryChange) -> Registry:
    return Registry(
        change.since,
        change.revision,
        change.upstreams,
        list(change.removed.items()),
    )
