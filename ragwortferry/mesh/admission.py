"""Which requests an upstream's owner runs, keeps waiting or refuses.

The load it answers: more requests than the upstream's slots can finish within their
latency objectives. Work that comes too late displaces work that would not, so a
request that would lose its objective in the queue is refused at once, while its caller
can still go elsewhere or come back. Requests that have lost it already run in the gaps.
"""

__all__ = ["Admission", "Job", "Refusal"]

from collections.abc import Callable
from dataclasses import dataclass, field

from ragwortferry.exceptions import ErrorKind
from ragwortferry.mesh.averages import RouteAverages

# Weight of the newest measurement in a moving average.
SMOOTHING = 0.1
# Service time assumed before the first measurement, in seconds.
FIRST_SERVICE_S = 0.1
# Share of the usual service time without which a request is not started.
LEAST_SHARE = 0.8
# Factor on the time of a run that was cut at its deadline: it would have lasted longer.
CUT_FACTOR = 1.5
# Seconds between requests that are let through to an upstream that has become too slow,
# to see whether it still is.
PROBE_S = 0.25
# Shortest and longest time that a caller is told to stay away, in seconds.
LEAST_RETRY_S, MOST_RETRY_S = 0.05, 2.0
# Part of its spare time that a request which can still be on time may spend waiting.
# Service times vary, so one that waits for all of it is late as often as not.
WAIT_SHARE = 0.5
# The same for a request that is late already: the rest is left for another attempt.
LATE_WAIT_SHARE = 0.25
# Shortest time that a late request may wait, in seconds: a slot is free sooner unless
# the upstream is overloaded.
LEAST_PATIENCE_S = 0.05
# Share of the slots that requests below the highest waiting rank may hold although it
# waits, so that no kind of request is starved by a more urgent one.
LOWER_SHARE = 0.25
# Weight of the newest start in the shares of the ranks.
RANK_SMOOTHING = 0.05
# A time in the future that is later than any objective, in seconds.
FAR_S = 3600.0


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
    send_wait_s: float = 0.0
    started_at: float = 0.0
    repeatable: bool = False
    running: bool = False
    late_on_arrival: bool = False
    patient_until: float = float("inf")
    probe: bool = False


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not run, and when it may come back.

    :param retry_after_s: seconds.
    """

    kind: ErrorKind
    retry_after_s: float


@dataclass(slots=True)
class _Times:
    """Moving averages of service times, in seconds."""

    by_route: RouteAverages = field(default_factory=lambda: RouteAverages(SMOOTHING))
    overall: float = FIRST_SERVICE_S
    measured: bool = False

    def note(self, route: str, seconds: float) -> None:
        self.by_route.note(route, seconds)
        gain = SMOOTHING if self.measured else 1.0
        self.overall += gain * (seconds - self.overall)
        self.measured = True

    def of(self, route: str) -> float:
        return self.by_route.of(route, self.overall)


class Admission:
    """Slots of one upstream and the queue before them.

    :param slots: requests that may be at work at once.
    :param refuse: told of each queued job that is dropped, with the reason.
    """

    def __init__(self, slots: int, refuse: Callable[[Job, Refusal], None]):
        self._refuse = refuse
        self._queue: list[Job] = []
        self._running: set[Job] = set()
        self._times = _Times()
        self._started: dict[int, float] = {}
        self._probed_at = -PROBE_S
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
        return self._times.overall

    def offer(self, job: Job, now: float) -> Refusal | None:
        """Take a job in, or return why not; :meth:`next` says which one to run."""
        job.late_on_arrival = self._is_late(job, now)
        wait = self._wait_before(job, now) + job.send_wait_s
        if self._is_hopeless(job, now) and wait == 0:
            job.probe = self._may_probe(job, now)
        if self._is_hopeless(job, now) or wait > self._patience(job, now):
            return Refusal(ErrorKind.OVERLOADED, self._retry_after(wait))
        if job.late_on_arrival:
            patience = max(LEAST_PATIENCE_S, self._patience(job, now))
            job.patient_until = now + patience
        self._queue.append(job)
        return None

    def next(self, now: float) -> Job | None:
        """Return the job to start now, ``None`` if no slot is free or none waits."""
        while self._queue and len(self._running) < self.slots:
            job = self._choose(now)
            if self._is_hopeless(job, now):
                self._drop(job, now)
                continue
            self._queue.remove(job)
            self._begin(job, now)
            return job
        return None

    def _choose(self, now: float) -> Job:
        """Return the waiting job that goes first.

        Ranks below the highest one that waits go first while they hold less than their
        share of the slots.
        """
        top = min(item.priority for item in self._queue)
        lower = [item for item in self._queue if item.priority > top]
        held = sum(item.priority > top for item in self._running)
        owed = bool(lower) and held + 1 <= LOWER_SHARE * self.slots
        return min(
            lower if owed else self._queue, key=lambda item: self._rank(item, now)
        )

    def _begin(self, job: Job, now: float) -> None:
        job.running, job.started_at = True, now
        self._running.add(job)
        self._note_start(job.priority)

    def finish(self, job: Job, now: float, measured: bool, cut: bool = False) -> None:
        """Free the slot of a job.

        :param measured: whether its time says something about the upstream.
        :param cut: whether it was ended by its deadline.
        """
        self._running.discard(job)
        if measured or cut:
            took = now - job.started_at
            self._times.note(job.route, CUT_FACTOR * took if cut else took)

    def withdraw(self, job: Job) -> bool:
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
        first = min(self._rank(item, now) for item in self._queue)
        for job in list(self._queue):
            displaced = (
                not job.late_on_arrival
                and self._is_late(job, now)
                and self._rank(job, now) > first
            )
            if displaced or now > job.patient_until or self._is_hopeless(job, now):
                self._drop(job, now)

    def _drop(self, job: Job, now: float) -> None:
        self._queue.remove(job)
        wait = self._wait_before(job, now)
        self._refuse(job, Refusal(ErrorKind.EXPIRED, self._retry_after(wait)))

    def _may_probe(self, job: Job, now: float) -> bool:
        """Return whether a request may find out if a slow upstream is still slow."""
        if not job.repeatable or now - self._probed_at < PROBE_S:
            return False
        self._probed_at = now
        return True

    def waits(self, now: float) -> dict[int, float]:
        """Return the expected wait of a new request of each rank, in seconds."""
        waits = {}
        for priority in self._started:
            job = Job("", priority, now + FAR_S, now + FAR_S)
            waits[priority] = self._wait_before(job, now)
        return waits

    def _is_hopeless(self, job: Job, now: float) -> bool:
        if job.probe:
            return job.deadline_at <= now
        return job.deadline_at - now < LEAST_SHARE * self._times.of(job.route)

    def _note_start(self, priority: int) -> None:
        """Follow which share of the slots goes to each rank."""
        self._started.setdefault(priority, 0.0)
        for rank, share in self._started.items():
            self._started[rank] = share + RANK_SMOOTHING * ((rank == priority) - share)

    def _is_late(self, job: Job, now: float) -> bool:
        return job.objective_at - now < self._times.of(job.route)

    def _patience(self, job: Job, now: float) -> float:
        """Return the longest wait that is worth while for a new job, in seconds."""
        usual = self._times.of(job.route)
        if job.late_on_arrival:
            return LATE_WAIT_SHARE * max(0.0, job.deadline_at - now - usual)
        return WAIT_SHARE * (job.objective_at - now - usual)

    def _rank(self, job: Job, now: float) -> tuple[int, bool, float]:
        late = self._is_late(job, now)
        return job.priority, late, job.deadline_at if late else job.objective_at

    def _wait_before(self, job: Job, now: float) -> float:
        """Return the expected wait of a new job behind those that go first."""
        rank = self._rank(job, now)
        ahead = sum(1 for item in self._queue if self._rank(item, now) <= rank)
        excess = max(0, len(self._running) + ahead + 1 - self.slots)
        shares = self._started.items()
        urgent = sum(share for priority, share in shares if priority < job.priority)
        pace = max(1, self.slots) * (1 - min(1 - LOWER_SHARE, urgent))
        wait = excess * self._times.overall / pace
        if any(item.priority < job.priority for item in self._queue):
            wait = min(wait, self._wait_in_share(job, rank, now))
        return wait

    def _wait_in_share(self, job: Job, rank: tuple, now: float) -> float:
        """Return the expected wait for the slots that the lower ranks may hold."""
        queue, running = self._queue, self._running
        ahead = sum(
            item.priority == job.priority and self._rank(item, now) <= rank
            for item in queue
        )
        held = sum(item.priority >= job.priority for item in running)
        share = max(1.0, LOWER_SHARE * self.slots)
        excess = max(0.0, held + ahead + 1 - share)
        next_free = self._times.overall / max(1, self.slots)
        return next_free + excess * self._times.of(job.route) / share

    def _retry_after(self, wait: float) -> float:
        return min(MOST_RETRY_S, max(LEAST_RETRY_S, wait))
