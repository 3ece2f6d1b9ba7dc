"""Responses of a node to the readiness probe."""

import asyncio
from types import SimpleNamespace

import pytest

from ragwortferry.http1.messages import Request
from ragwortferry.mesh.node import Node
from ragwortferry.platform.names import READY_PATH
from ragwortferry.platform.tests.test_decoders import SETTINGS


@pytest.fixture
def node(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    node = Node(path)
    node._kernel.add("knowledge", SimpleNamespace(ready=True))
    node._kernel.add("peers", SimpleNamespace(all_dialed=True))
    return node


def _readiness_status(node: Node) -> int:
    statuses = []
    exchange = SimpleNamespace(
        request=Request("GET", READY_PATH, [], b"", True, 0.0),
        respond=lambda status, headers: statuses.append(status),
    )
    asyncio.run(node._serve_readiness(exchange))
    return statuses[0]


def test_ready_with_state_and_all_peers_dialed(node):
    assert _readiness_status(node) == 200


def test_not_ready_without_state(node):
    node._kernel.get("knowledge").ready = False
    assert _readiness_status(node) == 503


def test_not_ready_before_all_peers_were_dialed(node):
    node._kernel.get("peers").all_dialed = False
    assert _readiness_status(node) == 503


def test_stays_ready_while_a_new_peer_is_dialed(node):
    assert _readiness_status(node) == 200
    node._kernel.get("peers").all_dialed = False
    assert _readiness_status(node) == 200


def test_not_ready_while_shutting_down(node):
    assert _readiness_status(node) == 200
    node.shutting_down = True
    assert _readiness_status(node) == 503
