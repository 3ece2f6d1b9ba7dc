"""Load balancing: chooses the upstream with the lowest expected cost for a request.

Upstreams differ in speed, some are cold, slow or failing, and the load reports about
them are out of date by the time they are used. A node adds the requests that it has
sent since a report to the reported load, so that a burst of its own does not go to a
single upstream. Upstreams of the own zone are preferred unless they are much slower.

An upstream that names a limit, or is cold and tolerates few requests, gets from each
node its part of that rate as long as others have room. Beyond it, the nodes compete for
what is left, and the owner decides.
"""

__all__ = ["Balancer", "UpstreamStats"]

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from ragwortferry.mesh.admission.queue import max_wait
from ragwortferry.mesh.admission.ratelimit import MIN_RATE_PER_S
from ragwortferry.mesh.admission.warmup import MAX_START_FACTOR
from ragwortferry.mesh.links.frames import Advertisement, Load
from ragwortferry.mesh.model import Service, Upstream
from ragwortferry.mesh.placement.speeds import SpeedTracker
from ragwortferry.utils.egress import BYTES_PER_MBIT, MAX_UNPACED_BYTES

# Weight of the newest sample in a moving average.
SMOOTHING = 0.1
# Service time assumed before any upstream has reported one, in seconds.
INITIAL_SERVICE_S = 0.1
# Cost of the round trip to another zone, as a fraction of the latency objective.
ZONE_PENALTY = 0.03
# Further cost of each byte of a response from another zone, as a fraction of the
# latency objective: bandwidth between zones is scarce, and an export would saturate it.
BYTE_PENALTY = 0.6 / 90_000
# Limit of that cost for one response: a response that is late is worse than one from
# another zone.
MAX_BYTE_PENALTY = 0.6
# Factor on the mean service time for an upstream that has just started.
COLD_FACTOR = 2.0
# Seconds in which the penalty of a failure decays to zero.
FAILURE_MEMORY_S = 2.0
# Cost of each recent failure, as a fraction of the latency objective.
FAILURE_PENALTY = 0.5
# Maximum number of failures counted for an upstream.
MAX_FAILURES = 4.0
# Cost of an upstream whose owner reports that all recent requests failed, in latency
# objectives.
FAILURE_RATIO_PENALTY = 2.0
# Seconds after which a load report is ignored and default values are used instead.
REPORT_TTL_S = 5.0
# Number of samples at which an upstream's own mean service time counts as much as that
# of all upstreams of the service.
PRIOR_SAMPLES = 32
# Increase of the service time from an idle to a fully used upstream, as a fraction.
FULL_SLOWDOWN_FRACTION = 0.3
NEVER_S = float("inf")
# Maximum number of upstreams compared for a request: more cost time and gain little.
MAX_COMPARED = 24
# Range of the random factor on the interval between the requests of a node to an
# upstream with a limit, so that the nodes do not send at the same time.
SHARE_JITTER = (0.75, 1.25)
# Number of nodes assumed to share the rate of a cold upstream until its owner tells.
ASSUMED_SHARERS = 24
# Largest interval, so that the end of a very low limit is noticed.
MAX_SHARE_INTERVAL_S = 3.0


@dataclass(slots=True)
class UpstreamStats:
    """Load and failures of one upstream as seen by this node.

    :param load: the owner's last report, ``None`` before the first.
    :param reported_at: time of that report.
    :param in_flight: requests of this node that the upstream has not finished.
    :param in_flight_base: the same at the time of the last report.
    :param failures: recent failures, which decay from ``failed_at`` on.
    :param ejected_until: time until which it is chosen only if all others are ejected.
    :param cold_until: time until which the upstream is cold by its registry entry or
        the last report, whichever came last.
    :param next_share_at: time at which this node has its next part of a limit.
    """

    load: Load | None = None
    reported_at: float = -1e9
    in_flight: int = 0
    in_flight_base: int = 0
    failures: float = 0.0
    failed_at: float = -1e9
    ejected_until: float = -1e9
    cold_until: float = -1e9
    next_share_at: float = -1e9


@dataclass(frozen=True, slots=True)
class RateShare:
    """A rate that all nodes together may use at an upstream.

    :param sharers: number of nodes that share it.
    """

    rate_per_s: float
    sharers: int

    @property
    def interval_s(self) -> float:
        """Return the mean interval between the requests of one node, in seconds."""
        rate = max(MIN_RATE_PER_S, self.rate_per_s)
        return min(MAX_SHARE_INTERVAL_S, self.sharers / rate)


class Balancer:
    """Tracks the load of upstreams and picks one for each request.

    :param zone: availability zone of this instance.
    :param host: IP address of this instance.
    :param link_mbps: bandwidth of this instance's network link, in Mbit/s.
    :param rng: draws samples of the upstreams and breaks ties between similar costs.
    """

    def __init__(self, zone: str, host: str, link_mbps: float, rng: random.Random):
        self._zone = zone
        self._host = host
        self._link_mbps = link_mbps
        self._rng = rng
        self._stats: dict[str, UpstreamStats] = {}
        self._speeds = SpeedTracker()
        # Ids of the upstreams whose last report names a limit.
        self._limited: set[str] = set()
        # Ids of the upstreams that were cold when last looked at, of services that
        # bound the requests to cold upstreams.
        self._cold: set[str] = set()
        # Requests per second that a cold upstream of each service tolerates.
        self._cold_rates: dict[str, float] = {}
        # Longest time for which an upstream of each service may stay cold, in seconds.
        self._max_cold_s: dict[str, float] = {}

    @property
    def limited_count(self) -> int:
        """Return the number of upstreams known to have a limit."""
        return len(self._limited)

    @property
    def cold_count(self) -> int:
        """Return the number of cold upstreams whose rate is bounded."""
        return len(self._cold)

    def set_services(self, services: Iterable[Service]) -> None:
        """Take over how long upstreams of each service are cold, and what they bear."""
        services = list(services)
        self._cold_rates = {
            item.name: item.cold_per_s for item in services if item.cold_per_s > 0
        }
        self._max_cold_s = {
            item.name: MAX_START_FACTOR * item.cold_start_s
            for item in services
            if item.cold_start_s > 0
        }

    def stats(self, upstream: Upstream, now: float) -> UpstreamStats:
        """Return the statistics of an upstream; start new ones if it is unknown."""
        stats = self._stats.get(upstream.id)
        if stats is None:
            stats = self._stats[upstream.id] = UpstreamStats()
            self._set_cold(upstream, stats, upstream.cold_s, now)
        return stats

    def record_entry(self, upstream: Upstream, now: float) -> None:
        """Record a new registry entry of an upstream that is already known."""
        stats = self._stats.get(upstream.id)
        if stats is not None:
            self._set_cold(upstream, stats, upstream.cold_s, now)

    def _set_cold(
        self, upstream: Upstream, stats: UpstreamStats, cold_s: float, now: float
    ) -> None:
        """Record for how long an upstream stays cold from now on.

        The first request of each node to an upstream that becomes cold waits for a
        random part of its interval: else all nodes would send one at once.
        """
        was_cold = upstream.id in self._cold
        cold_s = min(cold_s, self._max_cold_s.get(upstream.service, cold_s))
        stats.cold_until = now + cold_s
        if cold_s <= 0 or upstream.service not in self._cold_rates:
            self._cold.discard(upstream.id)
            return
        self._cold.add(upstream.id)
        if not was_cold:
            share = self._rate_share(upstream, now)
            stats.next_share_at = now + self._rng.uniform(0, share.interval_s)

    def forget(self, ids: Iterable[str]) -> None:
        """Drop the statistics of removed upstreams."""
        ids = list(ids)
        self._speeds.forget(ids)
        for name in ids:
            self._stats.pop(name, None)
            self._limited.discard(name)
            self._cold.discard(name)

    def advertisement(self, upstream: Upstream, now: float) -> Advertisement | None:
        """Return the limit that an upstream names, as far as this node knows."""
        if upstream.id not in self._limited:
            return None
        stats = self._stats[upstream.id]
        if now - stats.reported_at >= REPORT_TTL_S:
            return None
        return stats.load.advertised

    def last_advertisement(
        self, upstream: Upstream, now: float
    ) -> Advertisement | None:
        """Return the limit in the last report, however old, with its age as of now."""
        if upstream.id not in self._limited:
            return None
        stats = self._stats[upstream.id]
        advertised = stats.load.advertised
        age_ms = advertised.age_ms + (now - stats.reported_at) * 1000
        return msgspec.structs.replace(advertised, age_ms=round(age_ms))

    def _rate_share(self, upstream: Upstream, now: float) -> RateShare | None:
        """Return the bounded rate of an upstream, ``None`` if it has none.

        It is the lower one of the limit that it names and of what it tolerates cold.
        """
        if upstream.id not in self._limited and upstream.id not in self._cold:
            return None
        shares = []
        if (advertised := self.advertisement(upstream, now)) is not None:
            shares.append(RateShare(advertised.limit_per_s, advertised.sharers))
        if upstream.id in self._cold:
            stats = self._stats[upstream.id]
            if now >= stats.cold_until:
                self._cold.discard(upstream.id)
            elif stats.load is not None and stats.load.warmup is not None:
                warmup = stats.load.warmup
                shares.append(RateShare(warmup.rate_per_s, warmup.sharers))
            else:
                rate = self._cold_rates.get(upstream.service, 0.0)
                shares.append(RateShare(rate, ASSUMED_SHARERS))
        return min(shares, key=lambda item: item.rate_per_s, default=None)

    def limit_delay(
        self, upstreams: Iterable[Upstream], now: float, priority: int, route: str = ""
    ) -> float | None:
        """Return the shortest expected delay at upstreams with a limit, in seconds.

        :return: ``None`` if no upstream has one.
        """
        delays = [
            self.estimate(item, now, priority=priority, route=route)[0]
            for item in upstreams
            if self._rate_share(item, now) is not None
        ]
        return min(delays, default=None)

    def pick(
        self,
        upstreams: Collection[Upstream],
        excluded: Collection[str],
        objective_s: float,
        now: float,
        response_bytes: float = 0.0,
        priority: int = 0,
        objective_left_s: float = NEVER_S,
        deadline_left_s: float = NEVER_S,
        route: str = "",
    ) -> Upstream | None:
        """Return the upstream with the lowest expected cost, ``None`` if there is none.

        Upstreams whose limit does not allow the request in time are left out.

        :param excluded: ids of upstreams that were already tried.
        :param objective_s: latency objective of the request.
        :param response_bytes: expected size of the response.
        :param priority: priority of the request, 0 is the highest.
        :param objective_left_s: time left until its latency objective.
        :param deadline_left_s: time left until its deadline.
        :param route: name of its route, empty if unknown.
        """
        byte_penalty = min(MAX_BYTE_PENALTY, BYTE_PENALTY * response_bytes)
        zone_cost = (ZONE_PENALTY + byte_penalty) * objective_s
        mean_service_s = self._speeds.mean(route)
        mean_service_s = mean_service_s or self._mean_service_s(upstreams, now)
        candidates = [item for item in upstreams if item.id not in excluded]

        def has_room(item: Upstream) -> bool:
            delay, service_s = self.estimate(item, now, mean_service_s, priority, route)
            return delay <= max_wait(objective_left_s, deadline_left_s, service_s)

        bounded = bool(self._limited or self._cold)
        if bounded:
            candidates = [
                item
                for item in candidates
                if self._rate_share(item, now) is None or has_room(item)
            ]
        if len(candidates) > MAX_COMPARED:
            candidates = self._sample(candidates)
        available = [u for u in candidates if self.stats(u, now).ejected_until <= now]

        def cheapest(items: list[Upstream]) -> Upstream | None:
            best, best_cost = None, float("inf")
            for item in items:
                cost = self.cost(
                    item, objective_s, now, mean_service_s, priority, route
                )
                cost += self._transfer_s(item, response_bytes, now, mean_service_s)
                if item.zone != self._zone:
                    cost += zone_cost
                if cost < best_cost:
                    best, best_cost = item, cost
            return best

        pool = available or candidates
        within_share = pool
        if bounded:
            within_share = [item for item in pool if self._within_share(item, now)]
        best = cheapest(within_share)
        if len(within_share) < len(pool) and (best is None or not has_room(best)):
            best = cheapest(pool)
        return best

    def _within_share(self, upstream: Upstream, now: float) -> bool:
        """Return whether this node may use its part of a bounded rate, if any."""
        if self._rate_share(upstream, now) is None:
            return True
        return now >= self.stats(upstream, now).next_share_at

    def _mean_service_s(self, upstreams: Collection[Upstream], now: float) -> float:
        """Return the mean of the measured service times by samples, in seconds."""
        loads = [self.stats(item, now).load for item in upstreams]
        total_ms, samples = 0.0, 0
        for load in loads:
            if load is not None:
                total_ms += load.samples * load.service_ms
                samples += load.samples
        return total_ms / samples / 1000 if samples else INITIAL_SERVICE_S

    def cost(
        self,
        upstream: Upstream,
        objective_s: float,
        now: float,
        mean_service_s: float,
        priority: int,
        route: str = "",
    ) -> float:
        """Return the expected latency at an upstream plus penalties, in seconds.

        :param mean_service_s: mean service time of all upstreams of the service.
        """
        stats = self.stats(upstream, now)
        delay, service_s = self.estimate(upstream, now, mean_service_s, priority, route)
        cost = delay + service_s
        if stats.load is not None:
            decay = max(0.0, 1 - (now - stats.reported_at) / FAILURE_MEMORY_S)
            cost += FAILURE_RATIO_PENALTY * objective_s * stats.load.failing * decay
        age = now - stats.failed_at
        if age < FAILURE_MEMORY_S:
            decay = 1 - age / FAILURE_MEMORY_S
            cost += FAILURE_PENALTY * objective_s * stats.failures * decay
        return cost + self._rng.uniform(0, 0.02) * objective_s

    def estimate(
        self,
        upstream: Upstream,
        now: float,
        mean_service_s: float | None = None,
        priority: int = 0,
        route: str = "",
    ) -> tuple[float, float]:
        """Return the expected queueing delay and service time, in seconds.

        :param mean_service_s: mean service time of all upstreams of the service if it
            is known.
        :param route: route of the request; its service time is compared rather than
            the mean of all requests once it is known.
        """
        stats = self.stats(upstream, now)
        load = stats.load if now - stats.reported_at < REPORT_TTL_S else None
        share = self._rate_share(upstream, now)
        slots = load.slots if load else upstream.slots
        service_s = self._speeds.expected(upstream.id, route, now)
        if service_s is None:
            service_s = _expected_service_s(load, mean_service_s)
        if now < stats.cold_until:
            mean_s = self._speeds.mean(route) or mean_service_s or service_s
            service_s = max(service_s, COLD_FACTOR * mean_s)
        at_report = load.running + load.queued if load else 0
        since_report = max(0, stats.in_flight - stats.in_flight_base)
        occupied = max(stats.in_flight, at_report + since_report)
        excess = max(0, occupied + 1 - slots)
        if load is not None and priority in load.waits_ms:
            reported = load.waits_ms[priority] / 1000
            delay = reported + min(since_report, excess) * service_s / max(1, slots)
        else:
            delay = excess * service_s / max(1, slots)
        if share is not None:
            rate = max(MIN_RATE_PER_S, share.rate_per_s)
            delay = max(0.0, delay - (now - stats.reported_at)) + since_report / rate
        utilization = min(1.0, occupied / max(1, slots))
        return delay, service_s * (1 + FULL_SLOWDOWN_FRACTION * utilization)

    def _transfer_s(
        self, upstream: Upstream, size: float, now: float, mean_service_s: float
    ) -> float:
        """Return the time that a long response spends on network links, in seconds.

        Responses before it are sent while the request is queued and running. The time
        on this instance's own link is the same for all upstreams and left out.
        """
        stats = self.stats(upstream, now)
        load = stats.load
        local = upstream.address.host == self._host
        if load is None or local or size <= MAX_UNPACED_BYTES:
            return 0.0
        since_report = max(0, stats.in_flight - stats.in_flight_base)
        transfer_s = size / (min(load.link_mbps, self._link_mbps) * BYTES_PER_MBIT)
        wait_s = load.send_ms / 1000 + since_report * transfer_s
        return max(0.0, wait_s - mean_service_s) + transfer_s

    def record_start(self, upstream: Upstream, now: float) -> None:
        """Record that a request is sent to an upstream."""
        stats = self.stats(upstream, now)
        stats.in_flight += 1
        share = self._rate_share(upstream, now)
        if share is not None:
            jitter = self._rng.uniform(*SHARE_JITTER)
            stats.next_share_at = now + share.interval_s * jitter

    def record_end(self, upstream: Upstream, now: float) -> None:
        """Record that a request has ended, with or without a response."""
        stats = self.stats(upstream, now)
        stats.in_flight = max(0, stats.in_flight - 1)

    def record_report(
        self, upstream: Upstream, load: Load, now: float, route: str = ""
    ) -> None:
        """Record the load that an owner reports about its upstream.

        :param route: route of the request that the report answers, if it does.
        """
        stats = self.stats(upstream, now)
        if route and load.route_ms:
            self._speeds.record(upstream.id, route, load.route_ms / 1000, now)
        stats.load, stats.reported_at, stats.in_flight_base = load, now, stats.in_flight
        advertised = load.advertised
        if (
            advertised is not None
            and advertised.upstream == upstream.id
            and advertised.limit_per_s is not None
        ):
            self._limited.add(upstream.id)
        else:
            self._limited.discard(upstream.id)
        if load.warmup is not None:
            self._set_cold(upstream, stats, load.warmup.remaining_ms / 1000, now)
        elif upstream.id in self._cold:
            self._set_cold(upstream, stats, 0.0, now)
        if not load.accepting:
            stats.ejected_until = max(stats.ejected_until, now + 1.0)

    def record_failure(
        self, upstream: Upstream, now: float, ejection_s: float = 0.0
    ) -> None:
        """Record a failure of an upstream.

        :param ejection_s: seconds in which it is chosen only if all others are ejected.
        """
        stats = self.stats(upstream, now)
        age = now - stats.failed_at
        decayed = stats.failures * max(0.0, 1 - age / FAILURE_MEMORY_S)
        stats.failures, stats.failed_at = min(MAX_FAILURES, decayed + 1), now
        stats.ejected_until = max(stats.ejected_until, now + ejection_s)

    def _sample(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return a random sample, up to half of it from the own zone."""
        same_zone = [item for item in upstreams if item.zone == self._zone]
        other_zones = [item for item in upstreams if item.zone != self._zone]
        count = MAX_COMPARED // 2
        same_zone = (
            self._rng.sample(same_zone, count) if len(same_zone) > count else same_zone
        )
        rest = min(len(other_zones), MAX_COMPARED - len(same_zone))
        return same_zone + self._rng.sample(other_zones, rest)


def _expected_service_s(load: Load | None, mean_service_s: float | None) -> float:
    """Return the expected service time of an upstream, in seconds.

    After few samples it is close to the mean of all upstreams, and the first one does
    not count: an upstream whose first requests were slow would otherwise get no others
    while the rest has room.
    """
    if load is None:
        return INITIAL_SERVICE_S if mean_service_s is None else mean_service_s
    if mean_service_s is None:
        return load.service_ms / 1000
    counted = max(0, load.samples - 1)
    weight = counted / (counted + PRIOR_SAMPLES)
    return mean_service_s + weight * (load.service_ms / 1000 - mean_service_s)
