"""Which upstream a request is sent to.

The load it answers: upstreams of unequal speed, some of them cold, slow or failing,
seen through reports that are old by the time they are used. A node adds what it has
sent since a report to what the report says, so that its own burst does not land on one
upstream. Among upstreams that are good enough for the caller, the own zone goes first.
"""

__all__ = ["Balancer", "View"]

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ragwortferry.mesh.frames import Load
from ragwortferry.mesh.model import Upstream
from ragwortferry.utils.outflow import BYTES_PER_MBIT, PROMPT_BYTES

# Weight of the newest measurement in a moving average.
SMOOTHING = 0.1
# Time that an upstream is assumed to take before anything is known, in seconds.
FIRST_SERVICE_S = 0.1
# Cost of the way to another zone and back, as a share of the latency objective.
ZONE_PENALTY = 0.03
# Further cost for each byte of an answer from another zone, as a share of the
# objective: the bandwidth between zones is dear, and an export would fill it.
BYTE_PENALTY = 0.6 / 90_000
# Highest cost of the bytes of one answer: a late answer from the own zone is worse.
MOST_BYTE_PENALTY = 0.6
# Factor on the time of an upstream that has just started.
COLD_FACTOR = 2.0
# Seconds for which a failure counts against an upstream.
FAILURE_MEMORY_S = 2.0
# Weight of recent failures, as a share of the latency objective.
FAILURE_PENALTY = 0.5
# Failures that are counted at most.
MOST_FAILURES = 4.0
# Cost of an upstream all of whose recent requests failed, by its owner's report.
FAILING_PENALTY = 2.0
# Seconds after which a report says nothing any more and a neutral value is used.
REPORT_LIFE_S = 5.0
# How much longer a full upstream takes than an empty one, as a share.
CROWDING = 0.3
# Upstreams that are compared at most: more would cost time and gain little.
MAX_COMPARED = 24


@dataclass(slots=True)
class View:
    """What this node knows about one upstream.

    :param load: the owner's last report, ``None`` before the first.
    :param load_at: time of that report.
    :param sent: own requests there that are not answered yet.
    :param sent_then: the same at the time of the last report.
    :param failures: recent failures, which fade from ``failed_at`` on.
    :param barred_until: time until which others are preferred whatever they cost.
    :param cold_s: how long it was to be slow when it became known.
    """

    load: Load | None = None
    load_at: float = -1e9
    sent: int = 0
    sent_then: int = 0
    failures: float = 0.0
    failed_at: float = -1e9
    barred_until: float = -1e9
    known_since: float = 0.0
    cold_s: float = 0.0


class Balancer:
    """Keeps views and picks upstreams.

    :param zone: own availability zone.
    :param host: own IP number.
    :param link_mbps: bandwidth of the own instance's network link, in Mbit/s.
    :param rng: breaks ties.
    """

    def __init__(self, zone: str, host: str, link_mbps: float, rng: random.Random):
        self._zone = zone
        self._host = host
        self._link_mbps = link_mbps
        self._rng = rng
        self._views: dict[str, View] = {}

    def view(self, upstream: Upstream, now: float) -> View:
        """Return the view of an upstream, a new one if there is none."""
        view = self._views.get(upstream.id)
        if view is None:
            view = View(known_since=now, cold_s=upstream.cold_s)
            self._views[upstream.id] = view
        return view

    def forget(self, ids: Iterable[str]) -> None:
        """Drop the views of upstreams that are gone."""
        for name in ids:
            self._views.pop(name, None)

    def pick(
        self,
        upstreams: Collection[Upstream],
        without: Collection[str],
        objective_s: float,
        now: float,
        answer_bytes: float = 0.0,
        priority: int = 0,
    ) -> Upstream | None:
        """Return the upstream with the least expected cost, ``None`` if there is none.

        :param without: ids that were tried already.
        :param objective_s: latency objective of the request.
        :param answer_bytes: expected size of the answer.
        :param priority: rank of the request.
        """
        share = min(MOST_BYTE_PENALTY, BYTE_PENALTY * answer_bytes)
        zone_cost = (ZONE_PENALTY + share) * objective_s
        typical = self._typical(upstreams, now)
        open_ones = [item for item in upstreams if item.id not in without]
        if len(open_ones) > MAX_COMPARED:
            open_ones = self._sample(open_ones)
        usable = [u for u in open_ones if self.view(u, now).barred_until <= now]
        best, best_cost = None, float("inf")
        for item in usable or open_ones:
            cost = self.cost(item, objective_s, now, typical, priority)
            cost += self._transfer_s(item, answer_bytes, now)
            if item.zone != self._zone:
                cost += zone_cost
            if cost < best_cost:
                best, best_cost = item, cost
        return best

    def _typical(self, upstreams: Collection[Upstream], now: float) -> float:
        """Return the mean time that the upstreams report, in seconds."""
        loads = [self.view(item, now).load for item in upstreams]
        times = [load.service_ms / 1000 for load in loads if load]
        return sum(times) / len(times) if times else FIRST_SERVICE_S

    def cost(
        self,
        upstream: Upstream,
        objective_s: float,
        now: float,
        typical: float,
        priority: int,
    ) -> float:
        """Return the expected time of a request there, with penalties, in seconds.

        :param typical: mean time of the service's upstreams.
        """
        view = self.view(upstream, now)
        wait, service = self.expected(upstream, now, typical, priority)
        cost = wait + service
        if view.load is not None:
            fading = max(0.0, 1 - (now - view.load_at) / FAILURE_MEMORY_S)
            cost += FAILING_PENALTY * objective_s * view.load.failing * fading
        age = now - view.failed_at
        if age < FAILURE_MEMORY_S:
            fading = 1 - age / FAILURE_MEMORY_S
            cost += FAILURE_PENALTY * objective_s * view.failures * fading
        return cost + self._rng.uniform(0, 0.02) * objective_s

    def expected(
        self,
        upstream: Upstream,
        now: float,
        typical: float = FIRST_SERVICE_S,
        priority: int = 0,
    ) -> tuple[float, float]:
        """Return the expected wait and service time at an upstream, in seconds."""
        view = self.view(upstream, now)
        load = view.load if now - view.load_at < REPORT_LIFE_S else None
        slots = load.slots if load else upstream.slots
        service = load.service_ms / 1000 if load else typical
        if now - view.known_since < view.cold_s:
            service = max(service, COLD_FACTOR * typical)
        known = load.running + load.queued if load else 0
        since = max(0, view.sent - view.sent_then)
        busy = max(view.sent, known + since)
        excess = max(0, busy + 1 - slots)
        if load is not None and priority in load.waits_ms:
            reported = load.waits_ms[priority] / 1000
            wait = reported + min(since, excess) * service / max(1, slots)
        else:
            wait = excess * service / max(1, slots)
        crowding = min(1.0, busy / max(1, slots))
        return wait, service * (1 + CROWDING * crowding)

    def _transfer_s(self, upstream: Upstream, size: float, now: float) -> float:
        """Return how long an answer takes over the network links, in seconds."""
        load = self.view(upstream, now).load
        local = upstream.address.host == self._host
        if load is None or local or size <= PROMPT_BYTES:
            return 0.0
        slower = min(load.link_mbps, self._link_mbps)
        return load.send_ms / 1000 + size / (slower * BYTES_PER_MBIT)

    def sent(self, upstream: Upstream, now: float) -> None:
        """Note that a request goes out."""
        self.view(upstream, now).sent += 1

    def ended(self, upstream: Upstream, now: float) -> None:
        """Note that a request came back in any way."""
        view = self.view(upstream, now)
        view.sent = max(0, view.sent - 1)

    def reported(self, upstream: Upstream, load: Load, now: float) -> None:
        """Take in what an owner says about its upstream."""
        view = self.view(upstream, now)
        view.load, view.load_at, view.sent_then = load, now, view.sent
        if not load.accepting:
            view.barred_until = max(view.barred_until, now + 1.0)

    def failed(self, upstream: Upstream, now: float, bar_s: float = 0.0) -> None:
        """Note a failure.

        :param bar_s: seconds for which others are preferred whatever they cost.
        """
        view = self.view(upstream, now)
        age = now - view.failed_at
        faded = view.failures * max(0.0, 1 - age / FAILURE_MEMORY_S)
        view.failures, view.failed_at = min(MOST_FAILURES, faded + 1), now
        view.barred_until = max(view.barred_until, now + bar_s)

    def _sample(self, upstreams: list[Upstream]) -> list[Upstream]:
        near = [item for item in upstreams if item.zone == self._zone]
        far = [item for item in upstreams if item.zone != self._zone]
        count = MAX_COMPARED // 2
        near = self._rng.sample(near, count) if len(near) > count else near
        rest = min(len(far), MAX_COMPARED - len(near))
        return near + self._rng.sample(far, rest)
