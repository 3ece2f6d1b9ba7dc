"""Evidence about crashes on its way over the relay trees of a fleet."""

import asyncio
import functools

from ragwortferry.mesh.evidence import MAX_CLEARANCE_DELAY_S
from ragwortferry.mesh.fingerprint import request_kind
from ragwortferry.mesh.links.frames import Evidence, decode_frame, encode_frame
from ragwortferry.mesh.links.relay import Relay
from ragwortferry.mesh.quarantine import MAX_CRASHES, MAX_SUSPECTS, Quarantine
from ragwortferry.mesh.state import MeshState
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import an_exchange, null_log

ZONES = "abc"
NODES_PER_ZONE = 20


class FakeLink:
    """One end of a link that delivers messages at once."""

    def __init__(self, node, peer, subscribed):
        self.node, self.peer = node, peer
        self.host, self.zone = peer.host, peer.zone
        self.subscribed = subscribed
        self.dialed = not subscribed
        self.closed = False
        self.peer_shares_evidence = True
        self.peer_version = self.peer_revision = 1
        self.other: FakeLink | None = None

    def send_in_order(self, frame):
        self.send(frame)

    def send(self, frame):
        if isinstance(frame, Evidence):
            self.node.sent.append((self.host, frame))
            self.peer.evidence.on_evidence(
                self.other, decode_frame(encode_frame(frame))
            )


class FakeNode:
    """A node without requests."""

    def __init__(self, host: str, zone: str):
        self.host, self.zone = host, zone
        self.links: list[FakeLink] = []
        self.sent: list = []
        self.quarantine = Quarantine(host)
        self.relay = Relay(MeshState(decode_document, null_log()), host, zone)
        self.relay.links = lambda: self.links
        self.evidence = an_exchange(self.relay, self.quarantine, host)

    def dial(self, peer: "FakeNode") -> None:
        """Open the link to a neighbour in the tree."""
        own, other = FakeLink(self, peer, False), FakeLink(peer, self, True)
        own.other, other.other = other, own
        self.links.append(own)
        peer.links.append(other)


def _fleet() -> list[FakeNode]:
    nodes = [
        FakeNode(f"10.{at}.0.{number}", zone)
        for at, zone in enumerate(ZONES)
        for number in range(NODES_PER_ZONE)
    ]
    by_host = {node.host: node for node in nodes}
    for node in nodes:
        node.relay.set_hosts({n.host: n.zone for n in nodes if n is not node})
        for host in sorted(node.relay.neighbours):
            node.dial(by_host[host])
    return nodes


def _kind(name="bad"):
    return request_kind("tablero", "GET", f"/panels/{name}", [], b"")


def in_loop(scenario):
    """Run a test in an event loop."""

    @functools.wraps(scenario)
    def run():
        asyncio.run(scenario())

    return run


@in_loop
async def test_three_crashes_seen_by_three_nodes_are_known_to_all():
    nodes = _fleet()
    for node in (nodes[3], nodes[25], nodes[59]):
        node.evidence.report_crash([_kind()])
    assert all(node.quarantine.is_convicted(_kind()) for node in nodes)


@in_loop
async def test_each_link_carries_each_crash_once_in_each_direction():
    nodes = _fleet()
    nodes[7].evidence.report_crash([_kind()])
    for node in nodes:
        hosts = [host for host, _ in node.sent]
        assert len(hosts) == len(set(hosts))
        assert len(hosts) <= len(node.links)


@in_loop
async def test_end_of_a_request_clears_it_on_all_nodes_with_few_messages():
    nodes = _fleet()
    for node in nodes[:3]:
        node.evidence.report_crash([_kind()])
    before = sum(len(node.sent) for node in nodes)
    # It ends at all nodes at the same moment.
    for node in nodes:
        node.evidence.report_completed(_kind())
    await asyncio.sleep(2 * MAX_CLEARANCE_DELAY_S)
    assert not any(node.quarantine.is_convicted(_kind()) for node in nodes)
    links = sum(len(node.links) for node in nodes)
    assert sum(len(node.sent) for node in nodes) - before <= links


@in_loop
async def test_end_of_a_request_after_one_crash_stays_on_its_node():
    nodes = _fleet()
    nodes[0].evidence.report_crash([_kind()])
    before = sum(len(node.sent) for node in nodes)
    nodes[9].evidence.report_completed(_kind())
    await asyncio.sleep(2 * MAX_CLEARANCE_DELAY_S)
    assert sum(len(node.sent) for node in nodes) == before


@in_loop
async def test_new_neighbour_is_told_all_evidence_if_it_understands_it():
    nodes = _fleet()
    for _ in range(3):
        nodes[0].evidence.report_crash([_kind()])
    joining = FakeNode("10.0.0.99", "a")
    joining.dial(nodes[0])
    link = nodes[0].links[-1]
    link.peer_shares_evidence = False
    nodes[0].relay.on_hello(link, 1, 1)
    assert not joining.quarantine.is_convicted(_kind())
    link.peer_shares_evidence = True
    nodes[0].relay.on_hello(link, 1, 1)
    assert joining.quarantine.is_convicted(_kind())


@in_loop
async def test_zones_that_were_cut_off_know_all_crashes_after_the_cut():
    nodes = _fleet()
    cut = [node for node in nodes if node.zone == "c"]
    for node in nodes:
        for link in node.links:
            link.peer_shares_evidence = (node.zone == "c") == (link.zone == "c")
    cut[5].evidence.report_crash([_kind()])
    nodes[0].evidence.report_crash([_kind()])
    nodes[1].evidence.report_crash([_kind()])
    assert not any(node.quarantine.is_convicted(_kind()) for node in nodes)
    for node in nodes:
        for link in node.links:
            link.peer_shares_evidence = True
    for node in nodes:
        for link in node.links:
            if (node.zone == "c") != (link.zone == "c"):
                node.relay.on_hello(link, 1, 1)
    assert all(node.quarantine.is_convicted(_kind()) for node in nodes)


@in_loop
async def test_conviction_is_logged_again_after_the_evidence_has_expired():
    node, logged = FakeNode("10.0.0.1", "a"), []
    node.evidence._log.event = lambda name, message, **fields: logged.append(name)
    for now in (0.0, 10_000.0):
        node.evidence._now = lambda now=now: now
        node.quarantine.check(_kind(), now)
        for _ in range(4):
            node.evidence.report_crash([_kind()])
    assert logged == ["quarantined", "quarantined"]


@in_loop
async def test_all_evidence_is_bounded():
    node = FakeNode("10.0.0.1", "a")
    for number in range(2 * MAX_SUSPECTS):
        for _ in range(2 * MAX_CRASHES):
            node.evidence.report_crash([_kind(f"{number}")])
    # It is sent in parts that short messages pass; seven seconds of 19 KB each.
    assert len(encode_frame(node.quarantine.evidence(0.0))) < 133_000
