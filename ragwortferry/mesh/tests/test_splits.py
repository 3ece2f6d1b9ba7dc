"""Parts of a split get their shares."""

import random

from ragwortferry.mesh.model import Destination
from ragwortferry.mesh.splits import TrafficSplitter
from ragwortferry.tests.mesh_builders import a_route


def _route(**weights: float):
    parts = tuple(Destination(name, weight) for name, weight in weights.items())
    return a_route(destinations=parts)


def test_each_part_gets_its_share():
    splits, route = TrafficSplitter(random.Random(1)), _route(one=90.0, two=10.0)
    chosen = [splits.choose(route) for _ in range(1000)]
    assert abs(chosen.count("two") - 100) <= 1


def test_nodes_with_few_requests_hold_the_shares_together():
    route = _route(one=90.0, two=10.0)
    nodes = [TrafficSplitter(random.Random(number)) for number in range(60)]
    few = [node.choose(route) for node in nodes for _ in range(5)]
    assert abs(few.count("two") / len(few) - 0.1) <= 0.05


def test_route_that_changes_its_parts_starts_its_shares_anew():
    splits = TrafficSplitter(random.Random(1))
    splits.choose(_route(a=1.0, b=1.0))
    three = _route(a=1.0, b=1.0, c=1.0)
    chosen = [splits.choose(three) for _ in range(30)]
    assert {chosen.count(name) for name in "abc"} == {10}
