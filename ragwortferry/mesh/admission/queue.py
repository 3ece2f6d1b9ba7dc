"""Admission control and priority queue in front of an upstream.

Protects an upstream from more requests than its slots can finish within their latency
objectives. A response that misses its objective takes a slot from one that could meet
it. So a request that would miss its objective in the queue is refused at once, while
the caller can still try another upstream or retry later. Requests that are late on
arrival run after those of their priority that can still be on time. On a slow network
link their responses would delay others that can be on time, so they are refused while
it has such responses to send.
"""

__all__ = ["AdmissionQueue", "Job", "Refusal", "max_wait"]

from collections.abc import Callable
from dataclasses import dataclass, field

from ragwortferry.exceptions import ErrorKind
from ragwortferry.mesh.admission.ratelimit import RateLimit
from ragwortferry.mesh.admission.retry_after import Standing
from ragwortferry.mesh.averages import RouteAverages

# Weight of the newest sample in a moving average.
SMOOTHING = 0.1
# Service time assumed before the first sample, in seconds.
INITIAL_SERVICE_S = 0.1
# Fraction of the mean service time that must be left before the deadline for a request
# to start.
MIN_TIME_FRACTION = 0.8
# Factor on the service time of a request that timed out: it would have taken longer.
TIMEOUT_FACTOR = 1.5
# Seconds between probes: requests sent to an upstream that has become too slow for
# their deadlines, to see whether it still is.
PROBE_INTERVAL_S = 0.25
# Seconds without a request after which any request may find out whether an upstream
# that accepted none still does.
MAX_UNPROBED_S = 10.0
# Bounds of the Retry-After time of a refusal, in seconds.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.05, 2.0
# Fraction of its slack (the time left until the objective, less the service time) that
# a request may spend in the queue. Service times vary: if the whole slack were spent,
# about half of the requests would miss their objectives.
MAX_WAIT_FRACTION = 0.5
# The same for a request that is late on arrival, as a fraction of its slack before the
# deadline: the rest is left for an attempt at another upstream.
LATE_MAX_WAIT_FRACTION = 0.25
# Minimum wait granted to a request that is late on arrival, in seconds: unless the
# upstream is overloaded, a slot becomes free sooner.
MIN_LATE_WAIT_S = 0.05
# Share of the slots that requests of lower priorities may hold while one of a higher
# priority is queued, so that they are not starved.
LOWER_PRIORITY_SHARE = 0.25
# Weight of the newest start in each priority's moving share of all starts.
PRIORITY_SMOOTHING = 0.05
# Time until the deadline of a hypothetical request that is never late, in seconds.
NO_DEADLINE_S = 3600.0


@dataclass(slots=True, eq=False)
class Job:
    """A queued or running request.

    :param route: name of its route; service times are averaged by route.
    :param priority: 0 is the highest.
    :param objective_at: time until which the response meets the latency objective.
    :param deadline_at: time after which the response is useless.
    :param payload: the owner's state of the attempt; not used by the queue.
    :param link_backlog_s: time until the network link has sent the responses before
        its own, in seconds; 0 if its response does not wait for them.
    :param idempotent: whether it may run more than once; only such requests are probes.
    :param late_on_arrival: whether it was expected to miss its objective even without
        queueing.
    :param wait_until: time at which a request that is late on arrival leaves the queue.
    :param probe: whether it tests if a slow upstream has recovered.
    :param standing: its place among requests of its priority.
    """

    route: str
    priority: int
    objective_at: float
    deadline_at: float
    payload: object = None
    link_backlog_s: float = 0.0
    started_at: float = 0.0
    idempotent: bool = False
    running: bool = False
    late_on_arrival: bool = False
    wait_until: float = float("inf")
    probe: bool = False
    standing: Standing = Standing.NEW


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not run, and when it may be retried.

    :param retry_after_s: seconds after which a retry may succeed.
    """

    kind: ErrorKind
    retry_after_s: float


@dataclass(slots=True)
class _ServiceTimes:
    """Moving averages of service times, in seconds.

    :param mean_s: average over all routes.
    :param samples: number of samples.
    """

    by_route: RouteAverages = field(default_factory=lambda: RouteAverages(SMOOTHING))
    mean_s: float = INITIAL_SERVICE_S
    samples: int = 0

    def update(self, route: str, seconds: float) -> None:
        self.by_route.update(route, seconds)
        self.samples += 1
        # The first sample includes the start of a connection, so the second one
        # replaces it; the next ones count equally.
        gain = max(SMOOTHING, 1 / max(1, self.samples - 1))
        self.mean_s += gain * (seconds - self.mean_s)

    def get(self, route: str) -> float:
        return self.by_route.get(route, self.mean_s)

    def get_measured(self, route: str) -> float:
        return self.by_route.get(route, 0.0)


def max_wait(objective_s: float, deadline_s: float, service_s: float) -> float:
    """Return the maximum queueing delay of a request, in seconds.

    :param objective_s: time left until its latency objective.
    :param deadline_s: time left until its deadline.
    :param service_s: its expected service time.

    >>> max_wait(0.5, 2.0, 0.1), max_wait(0.05, 0.9, 0.1)
    (0.2, 0.2)
    """
    if objective_s < service_s:
        return LATE_MAX_WAIT_FRACTION * max(0.0, deadline_s - service_s)
    return MAX_WAIT_FRACTION * (objective_s - service_s)


class AdmissionQueue:
    """Bounds the concurrency of one upstream and queues further jobs by priority.

    :param slots: maximum number of jobs that run at once.
    :param on_refused: called with each job that is dropped from the queue.
    """

    def __init__(self, slots: int, on_refused: Callable[[Job, Refusal], None]):
        self._on_refused = on_refused
        self._queue: list[Job] = []
        self._running: set[Job] = set()
        self._service_times = _ServiceTimes()
        self._start_shares: dict[int, float] = {}
        self._probed_at = -PROBE_INTERVAL_S
        # Time of the last sample of each route, and of the last one in time.
        self._sampled_at: dict[str, float] = {}
        self._good_at = float("-inf")
        self._rate_limit: RateLimit | None = None
        self.slots = slots

    @property
    def running(self) -> int:
        """Return the number of running jobs."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of queued jobs."""
        return len(self._queue)

    @property
    def service_s(self) -> float:
        """Return the mean service time of the upstream, in seconds."""
        return self._service_times.mean_s

    def route_service_s(self, route: str) -> float:
        """Return the mean service time of a route in seconds, 0 if unknown."""
        return self._service_times.get_measured(route)

    @property
    def service_samples(self) -> int:
        """Return the number of service times that were measured."""
        return self._service_times.samples

    @property
    def held(self) -> int:
        """Return the number of queued jobs that wait for the rate limit, not a slot."""
        free = max(0, self.slots - self.running)
        return min(free, self.queued) if self._rate_limit else 0

    def limit_rate(self, rate_per_s: float | None, now: float) -> None:
        """Start jobs at no higher rate from now on, ``None`` to lift the limit."""
        if rate_per_s is None:
            self._rate_limit = None
        elif self._rate_limit is None:
            self._rate_limit = RateLimit(rate_per_s, now)
        else:
            self._rate_limit.set_rate(rate_per_s, now)

    def admit(self, job: Job, now: float) -> Refusal | None:
        """Queue a job, or return why it is refused; :meth:`start_next` starts it."""
        job.late_on_arrival = self._misses_objective(job, now)
        delay = self._queueing_delay(job, now)
        # The link sends the responses before this one while it is queued and running.
        link_delay = job.link_backlog_s - self._service_times.get(job.route)
        delay = max(delay, link_delay)
        if self._misses_deadline(job, now) and delay == 0:
            job.probe = self._try_probe(job, now)
        if (
            self._misses_deadline(job, now)
            or delay > self._max_wait(job, now)
            or (job.late_on_arrival and link_delay > 0)
            or not self._passes_zero_limit(job, now)
        ):
            return Refusal(ErrorKind.OVERLOADED, self._retry_after(delay))
        if job.late_on_arrival:
            job.wait_until = now + max(MIN_LATE_WAIT_S, self._max_wait(job, now))
        self._queue.append(job)
        return None

    def start_next(self, now: float) -> Job | None:
        """Start and return a job, ``None`` if no slot is free or the queue is empty."""
        while self._queue and len(self._running) < self.slots:
            job = self._select(now)
            if self._misses_deadline(job, now):
                self._drop(job, now)
                continue
            if self._rate_limit and not self._rate_limit.try_take(now):
                return None
            self._queue.remove(job)
            self._start(job, now)
            return job
        return None

    def _select(self, now: float) -> Job:
        """Return the queued job to start next.

        Jobs below the highest queued priority go first while they get less than their
        share.
        """
        highest = min(item.priority for item in self._queue)
        lower = [item for item in self._queue if item.priority > highest]
        lower_first = bool(lower) and self._below_share(highest)
        return min(
            lower if lower_first else self._queue,
            key=lambda item: self._sort_key(item, now),
        )

    def _below_share(self, highest: int) -> bool:
        """Return whether jobs below a priority get less than their share.

        It is a share of the slots, or of the starts if the rate is limited: few slots
        are in use then.
        """
        if self._rate_limit:
            shares = self._start_shares.items()
            lower_share = sum(share for item, share in shares if item > highest)
            return lower_share < LOWER_PRIORITY_SHARE
        lower_running = sum(item.priority > highest for item in self._running)
        return lower_running + 1 <= LOWER_PRIORITY_SHARE * self.slots

    def _passes_zero_limit(self, job: Job, now: float) -> bool:
        """Return whether a job may find out if an upstream still accepts none.

        That is for idempotent jobs, unless none of them has come for a while.
        """
        limit = self._rate_limit
        if limit is None or limit.accepts_any or job.idempotent:
            return True
        return limit.unused_time(now) > MAX_UNPROBED_S

    def _start(self, job: Job, now: float) -> None:
        job.running, job.started_at = True, now
        self._running.add(job)
        self._record_start(job.priority)

    def finish(
        self,
        job: Job,
        now: float,
        measured: bool,
        timed_out: bool = False,
        sent: bool = True,
    ) -> None:
        """Free the slot of a job and record its service time.

        :param measured: whether its service time is a valid sample.
        :param timed_out: whether it reached its deadline.
        :param sent: whether the upstream may have received it.
        """
        self._running.discard(job)
        if self._rate_limit and not sent:
            self._rate_limit.put_back(now)
        if measured or timed_out:
            self._sampled_at[job.route] = now
            self._good_at = now if measured else self._good_at
            elapsed_s = now - job.started_at
            self._service_times.update(
                job.route, TIMEOUT_FACTOR * elapsed_s if timed_out else elapsed_s
            )

    def cancel(self, job: Job) -> bool:
        """Remove a job from the queue and return whether it was queued."""
        if job in self._queue:
            self._queue.remove(job)
            return True
        return False

    def expire(self, now: float) -> None:
        """Refuse the queued jobs that would miss their deadlines.

        A job that has become late in the queue is refused too if others go before it:
        under overload new ones keep taking the slots.
        """
        if not self._queue:
            return
        first_key = min(self._sort_key(item, now) for item in self._queue)
        for job in list(self._queue):
            displaced = (
                not job.late_on_arrival
                and self._misses_objective(job, now)
                and self._sort_key(job, now) > first_key
            )
            if displaced or now > job.wait_until or self._misses_deadline(job, now):
                self._drop(job, now)

    def _drop(self, job: Job, now: float) -> None:
        self._queue.remove(job)
        delay = self._queueing_delay(job, now)
        self._on_refused(job, Refusal(ErrorKind.EXPIRED, self._retry_after(delay)))

    def _try_probe(self, job: Job, now: float) -> bool:
        """Return whether a job may be the next probe, and record it as one if so.

        A job that is not idempotent may be one only after a job of another route has
        shown that the upstream is fast again.
        """
        shown_fast = self._good_at > self._sampled_at.get(job.route, self._good_at)
        if not (job.idempotent or shown_fast):
            return False
        if now - self._probed_at < PROBE_INTERVAL_S:
            return False
        self._probed_at = now
        return True

    def queueing_delays(self, now: float) -> dict[int, float]:
        """Return the expected queueing delay of a new job by priority, in seconds."""
        delays = {}
        for priority in self._start_shares:
            job = Job("", priority, now + NO_DEADLINE_S, now + NO_DEADLINE_S)
            delays[priority] = self._queueing_delay(job, now)
        return delays

    def _misses_deadline(self, job: Job, now: float) -> bool:
        if job.probe:
            return job.deadline_at <= now
        return job.deadline_at - now < MIN_TIME_FRACTION * self._service_times.get(
            job.route
        )

    def _record_start(self, priority: int) -> None:
        """Update the moving share of all starts that each priority gets."""
        self._start_shares.setdefault(priority, 0.0)
        for other, share in self._start_shares.items():
            self._start_shares[other] = share + PRIORITY_SMOOTHING * (
                (other == priority) - share
            )

    def _misses_objective(self, job: Job, now: float) -> bool:
        return job.objective_at - now < self._service_times.get(job.route)

    def _max_wait(self, job: Job, now: float) -> float:
        """Return the maximum queueing delay of a new job, in seconds."""
        if job.standing is Standing.EARLY:
            return 0.0
        service_s = self._service_times.get(job.route)
        objective_s = float("-inf") if job.late_on_arrival else job.objective_at - now
        return max_wait(objective_s, job.deadline_at - now, service_s)

    def _sort_key(self, job: Job, now: float) -> tuple[int, bool, int, float]:
        late = self._misses_objective(job, now)
        at = job.deadline_at if late else job.objective_at
        return job.priority, late, job.standing, at

    def _queueing_delay(self, job: Job, now: float) -> float:
        """Return the expected queueing delay of a new job, in seconds.

        Jobs of higher priority are assumed to keep taking their recent share of the
        slots.
        """
        key = self._sort_key(job, now)
        ahead = sum(1 for item in self._queue if self._sort_key(item, now) <= key)
        excess = max(0, len(self._running) + ahead + 1 - self.slots)
        shares = self._start_shares.items()
        higher_share = sum(
            share for priority, share in shares if priority < job.priority
        )
        rate_share = 1 - min(1 - LOWER_PRIORITY_SHARE, higher_share)
        delay = excess * self._service_times.mean_s / (max(1, self.slots) * rate_share)
        if any(item.priority < job.priority for item in self._queue):
            delay = min(delay, self._queueing_delay_in_share(job, key, now))
        if self._rate_limit:
            limit_delay = self._rate_limit.delay(ahead, now) / rate_share
            if higher_share and self._below_share(job.priority - 1):
                same = [item for item in self._queue if item.priority == job.priority]
                limit_delay = min(limit_delay, self._rate_limit.delay(len(same), now))
            delay = max(delay, limit_delay)
        return delay

    def _queueing_delay_in_share(self, job: Job, key: tuple, now: float) -> float:
        """Return the expected delay within the share of lower priorities."""
        queue, running = self._queue, self._running
        ahead = sum(
            item.priority == job.priority and self._sort_key(item, now) <= key
            for item in queue
        )
        in_use = sum(item.priority >= job.priority for item in running)
        share = max(1.0, LOWER_PRIORITY_SHARE * self.slots)
        excess = max(0.0, in_use + ahead + 1 - share)
        next_free = self._service_times.mean_s / max(1, self.slots)
        return next_free + excess * self._service_times.get(job.route) / share

    def _retry_after(self, delay: float) -> float:
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay))
