"""Which requests an upstream's owner runs, keeps waiting or refuses.

The load it answers: more requests than the upstream's slots can finish within their
latency objectives. Work that comes too late displaces work that would not, so a
request that would lose its objective in the queue is refused at once, while its caller
can still go elsewhere or come back. Requests that have lost it already run in the gaps.
"""

__all__ = ["AdmissionQueue", "Job", "Refusal"]

from collections.abc import Callable
from dataclasses import dataclass, field

from ragwortferry.exceptions import ErrorKind
from ragwortferry.mesh.averages import RouteAverages

# Weight of the newest measurement in a moving average.
SMOOTHING = 0.1
# Service time assumed before the first measurement, in seconds.
INITIAL_SERVICE_S = 0.1
# Share of the usual service time without which a request is not started.
MIN_TIME_FRACTION = 0.8
# Factor on the time of a run that was cut at its deadline: it would have lasted longer.
TIMEOUT_FACTOR = 1.5
# Seconds between requests that are let through to an upstream that has become too slow,
# to see whether it still is.
PROBE_INTERVAL_S = 0.25
# Shortest and longest time that a caller is told to stay away, in seconds.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.05, 2.0
# Part of its spare time that a request which can still be on time may spend waiting.
# Service times vary, so one that waits for all of it is late as often as not.
MAX_WAIT_FRACTION = 0.5
# The same for a request that is late already: the rest is left for another attempt.
LATE_MAX_WAIT_FRACTION = 0.25
# Shortest time that a late request may wait, in seconds: a slot is free sooner unless
# the upstream is overloaded.
MIN_LATE_WAIT_S = 0.05
# Share of the slots that requests below the highest waiting rank may hold although it
# waits, so that no kind of request is starved by a more urgent one.
LOWER_PRIORITY_SHARE = 0.25
# Weight of the newest start in the shares of the ranks.
PRIORITY_SMOOTHING = 0.05
# A time in the future that is later than any objective, in seconds.
NO_DEADLINE_S = 3600.0


@dataclass(slots=True, eq=False)
class Job:
    """A request at the owner.

    :param route: name of its route; service times are kept by route.
    :param objective_at: time until which an answer is worth most.
    :param deadline_at: time until which an answer is of use.
    :param payload: what the owner runs.
    :param send_wait_s: time that its answer will wait for the network link, in seconds.
    :param repeatable: whether it may be lost without harm, so that it can be a probe.
    :param patient_until: time until which a late request waits.
    :param probe: whether it runs to see if a slow upstream is still slow.
    """

    route: str
    priority: int
    objective_at: float
    deadline_at: float
    payload: object = None
    send_delay_s: float = 0.0
    started_at: float = 0.0
    idempotent: bool = False
    running: bool = False
    late_on_arrival: bool = False
    wait_until: float = float("inf")
    probe: bool = False


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not run, and when it may come back.

    :param retry_after_s: seconds.
    """

    kind: ErrorKind
    retry_after_s: float


@dataclass(slots=True)
class _ServiceTimes:
    """Moving averages of service times, in seconds."""

    by_route: RouteAverages = field(default_factory=lambda: RouteAverages(SMOOTHING))
    mean_s: float = INITIAL_SERVICE_S
    measured: bool = False

    def update(self, route: str, seconds: float) -> None:
        self.by_route.update(route, seconds)
        gain = SMOOTHING if self.measured else 1.0
        self.mean_s += gain * (seconds - self.mean_s)
        self.measured = True

    def get(self, route: str) -> float:
        return self.by_route.get(route, self.mean_s)


class AdmissionQueue:
    """Slots of one upstream and the queue before them.

    :param slots: requests that may be at work at once.
    :param refuse: told of each queued job that is dropped, with the reason.
    """

    def __init__(self, slots: int, on_refused: Callable[[Job, Refusal], None]):
        self._on_refused = on_refused
        self._queue: list[Job] = []
        self._running: set[Job] = set()
        self._service_times = _ServiceTimes()
        self._start_shares: dict[int, float] = {}
        self._probed_at = -PROBE_INTERVAL_S
        self.slots = slots

    @property
    def running(self) -> int:
        """Return the number of jobs at work."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of jobs that wait."""
        return len(self._queue)

    @property
    def service_s(self) -> float:
        """Return the usual time that the upstream takes, in seconds."""
        return self._service_times.mean_s

    def admit(self, job: Job, now: float) -> Refusal | None:
        """Take a job in, or return why not; :meth:`next` says which one to run."""
        job.late_on_arrival = self._misses_objective(job, now)
        delay = self._queueing_delay(job, now) + job.send_delay_s
        if self._misses_deadline(job, now) and delay == 0:
            job.probe = self._try_probe(job, now)
        if self._misses_deadline(job, now) or delay > self._max_wait(job, now):
            return Refusal(ErrorKind.OVERLOADED, self._retry_after(delay))
        if job.late_on_arrival:
            max_wait = max(MIN_LATE_WAIT_S, self._max_wait(job, now))
            job.wait_until = now + max_wait
        self._queue.append(job)
        return None

    def start_next(self, now: float) -> Job | None:
        """Return the job to start now, ``None`` if no slot is free or none waits."""
        while self._queue and len(self._running) < self.slots:
            job = self._select(now)
            if self._misses_deadline(job, now):
                self._drop(job, now)
                continue
            self._queue.remove(job)
            self._start(job, now)
            return job
        return None

    def _select(self, now: float) -> Job:
        """Return the waiting job that goes first.

        Ranks below the highest one that waits go first while they hold less than their
        share of the slots.
        """
        highest = min(item.priority for item in self._queue)
        lower = [item for item in self._queue if item.priority > highest]
        lower_running = sum(item.priority > highest for item in self._running)
        lower_first = (
            bool(lower) and lower_running + 1 <= LOWER_PRIORITY_SHARE * self.slots
        )
        return min(
            lower if lower_first else self._queue,
            key=lambda item: self._sort_key(item, now),
        )

    def _start(self, job: Job, now: float) -> None:
        job.running, job.started_at = True, now
        self._running.add(job)
        self._record_start(job.priority)

    def finish(
        self, job: Job, now: float, measured: bool, timed_out: bool = False
    ) -> None:
        """Free the slot of a job.

        :param measured: whether its time says something about the upstream.
        :param cut: whether it was ended by its deadline.
        """
        self._running.discard(job)
        if measured or timed_out:
            elapsed_s = now - job.started_at
            self._service_times.update(
                job.route, TIMEOUT_FACTOR * elapsed_s if timed_out else elapsed_s
            )

    def cancel(self, job: Job) -> bool:
        """Take a waiting job out and return whether it was waiting."""
        if job in self._queue:
            self._queue.remove(job)
            return True
        return False

    def expire(self, now: float) -> None:
        """Refuse the waiting jobs that could no longer finish in time.

        A job that has become late in the queue is refused too if others would run
        before it: they take the slots for as long as more come than can be served.
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
        """Return whether a request may find out if a slow upstream is still slow."""
        if not job.idempotent or now - self._probed_at < PROBE_INTERVAL_S:
            return False
        self._probed_at = now
        return True

    def queueing_delays(self, now: float) -> dict[int, float]:
        """Return the expected wait of a new request of each rank, in seconds."""
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
        """Follow which share of the slots goes to each rank."""
        self._start_shares.setdefault(priority, 0.0)
        for other, share in self._start_shares.items():
            self._start_shares[other] = share + PRIORITY_SMOOTHING * (
                (other == priority) - share
            )

    def _misses_objective(self, job: Job, now: float) -> bool:
        return job.objective_at - now < self._service_times.get(job.route)

    def _max_wait(self, job: Job, now: float) -> float:
        """Return the longest wait that is worth while for a new job, in seconds."""
        service_s = self._service_times.get(job.route)
        if job.late_on_arrival:
            return LATE_MAX_WAIT_FRACTION * max(0.0, job.deadline_at - now - service_s)
        return MAX_WAIT_FRACTION * (job.objective_at - now - service_s)

    def _sort_key(self, job: Job, now: float) -> tuple[int, bool, float]:
        late = self._misses_objective(job, now)
        return job.priority, late, job.deadline_at if late else job.objective_at

    def _queueing_delay(self, job: Job, now: float) -> float:
        """Return the expected wait of a new job behind those that go first."""
        key = self._sort_key(job, now)
        ahead = sum(1 for item in self._queue if self._sort_key(item, now) <= key)
        excess = max(0, len(self._running) + ahead + 1 - self.slots)
        shares = self._start_shares.items()
        higher_share = sum(
            share for priority, share in shares if priority < job.priority
        )
        slots_left = max(1, self.slots) * (
            1 - min(1 - LOWER_PRIORITY_SHARE, higher_share)
        )
        delay = excess * self._service_times.mean_s / slots_left
        if any(item.priority < job.priority for item in self._queue):
            delay = min(delay, self._queueing_delay_in_share(job, key, now))
        return delay

    def _queueing_delay_in_share(self, job: Job, key: tuple, now: float) -> float:
        """Return the expected wait for the slots that the lower ranks may hold."""
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
