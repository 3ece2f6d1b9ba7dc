"""Selects the few upstreams of each service that a node sends requests to.

If every node sent requests to all upstreams of its services, each would keep links to
all other nodes, and load reports of each upstream would go to all of them: both grow
with the fleet. A node uses a bounded number of upstreams instead, an aperture: some of
its own availability zone and some of others, each node other ones. It also knows the
load of these upstreams better, since reports come with the responses of fewer, busier
links. Upstreams that cannot be used are replaced by the next ones in its order.

Answers the load of services with more upstreams than an aperture has places; for
smaller ones it selects all.
"""

__all__ = ["Aperture", "SIZE"]

from collections.abc import Callable, Iterable, Iterator

from ragwortferry.mesh.model import Upstream
from ragwortferry.utils.digests import rank_key

# Maximum number of upstreams of a service that a node uses at once, and of those the
# maximum number in its own availability zone.
SIZE, MAX_SAME_ZONE = 24, 12


class Aperture:
    """The order in which a node uses the upstreams of each service.

    The upstream of the own instance is the first: its responses cross no network link.
    The others are ordered by a hash of both ends, so that a change of some upstreams
    changes the places of no others, and the nodes of a zone together use all evenly.

    :param host: IP address of this instance.
    :param zone: its availability zone.
    """

    def __init__(self, host: str, zone: str):
        self._host = host
        self._zone = zone
        # Upstreams of each service in order, with the list that they were taken from.
        self._orders: dict[
            str, tuple[list[Upstream], list[Upstream], list[Upstream]]
        ] = {}

    def select(
        self,
        service: str,
        upstreams: list[Upstream],
        usable: Callable[[Upstream], bool],
    ) -> list[Upstream]:
        """Return the upstreams to choose from for a request.

        :param upstreams: available upstreams of the service; the list must not change.
        :param usable: whether an upstream may be chosen now.
        """
        if len(upstreams) <= SIZE:
            return [item for item in upstreams if usable(item)]
        same_zone, others = self._order(service, upstreams)
        chosen = list(_take(same_zone, usable, MAX_SAME_ZONE))
        chosen += _take(others, usable, SIZE - len(chosen))
        return chosen

    def hosts(self, service: str, upstreams: list[Upstream]) -> list[str]:
        """Return the instances that requests to a service go to while all are usable.

        Those of the own zone come first.
        """
        return [
            item.address.host
            for item in self.select(service, upstreams, lambda item: True)
        ]

    def _rank(self, item: Upstream) -> tuple[bool, tuple[int, str]]:
        """Return the place of an upstream: that of this instance is the first."""
        host = item.address.host
        return host != self._host, rank_key(self._host, host)

    def _order(
        self, service: str, upstreams: list[Upstream]
    ) -> tuple[list[Upstream], list[Upstream]]:
        """Return the upstreams of the own zone and the others, each in order."""
        known = self._orders.get(service)
        if known is None or known[0] is not upstreams:
            ordered = sorted(upstreams, key=self._rank)
            same_zone = [item for item in ordered if item.zone == self._zone]
            others = [item for item in ordered if item.zone != self._zone]
            known = self._orders[service] = upstreams, same_zone, others
        return known[1], known[2]


def _take(
    upstreams: Iterable[Upstream], usable: Callable[[Upstream], bool], count: int
) -> Iterator[Upstream]:
    """Return the first upstreams that are usable."""
    for item in upstreams:
        if count <= 0:
            return
        if usable(item):
            count -= 1
            yield item
