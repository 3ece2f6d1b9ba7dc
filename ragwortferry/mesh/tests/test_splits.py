"""Weighted traffic splitting."""

import random

from ragwortferry.mesh.model import Destination
from ragwortferry.mesh.placement.splits import TrafficSplitter
from ragwortferry.tests.mesh_builders import a_route


def _route(**weights: float):
    destinations = tuple(Destination(name, weight) for name, weight in weights.items())
    return a_route(destinations=destinations)


def test_destinations_get_requests_by_weight():
    splitter, route = TrafficSplitter(random.Random(1)), _route(one=90.0, two=10.0)
    chosen = [splitter.choose(route) for _ in range(1000)]
    assert abs(chosen.count("two") - 100) <= 1


def test_weights_hold_over_many_nodes_with_few_requests():
    route = _route(one=90.0, two=10.0)
    nodes = [TrafficSplitter(random.Random(number)) for number in range(60)]
    few = [node.choose(route) for node in nodes for _ in range(5)]
    assert abs(few.count("two") / len(few) - 0.1) <= 0.05


def test_changed_number_of_destinations_resets_current_weights():
    splitter = TrafficSplitter(random.Random(1))
    splitter.choose(_route(a=1.0, b=1.0))
    three = _route(a=1.0, b=1.0, c=1.0)
    chosen = [splitter.choose(three) for _ in range(30)]
    assert {chosen.count(name) for name in "abc"} == {10}
