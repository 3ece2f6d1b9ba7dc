"""Which requests an upstream's owner runs, keeps waiting or refuses.

The load it answers: more requests than the upstream's slots can finish before their
callers give up. Work that would come too late displaces work that would not, so a
request that cannot finish in time is refused while its caller can still go elsewhere.
"""

__all__ = ["Admission", "Job", "Refusal"]

from collections.abc import Callable
from dataclasses import dataclass, field

from ragwortferry.exceptions import ErrorKind

# Weight of the newest measurement in a moving average.
SMOOTHING = 0.1
# Service time assumed before the first measurement, in seconds.
FIRST_SERVICE_S = 0.1
# Share of the usual service time without which a request is not started.
LEAST_SHARE = 0.5
# Shortest and longest time that a caller is told to stay away, in seconds.
LEAST_RETRY_S, MOST_RETRY_S = 0.05, 2.0
# Part of the time to the deadline that may be spent waiting: the rest is left for
# another attempt elsewhere.
WAIT_SHARE = 0.8


@dataclass(slots=True, eq=False)
class Job:
    """A request at the owner.

    :param route: name of its route; service times are kept by route.
    :param objective_at: time until which an answer is worth most.
    :param deadline_at: time until which an answer is of use.
    """

    route: str
    priority: int
    objective_at: float
    deadline_at: float
    payload: object = None
    started_at: float = 0.0
    running: bool = False


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

    by_route: dict[str, float] = field(default_factory=dict)
    overall: float = FIRST_SERVICE_S
    measured: bool = False

    def note(self, route: str, seconds: float) -> None:
        known = self.by_route.get(route)
        self.by_route[route] = (
            seconds if known is None else known + SMOOTHING * (seconds - known)
        )
        gain = SMOOTHING if self.measured else 1.0
        self.overall += gain * (seconds - self.overall)
        self.measured = True

    def of(self, route: str) -> float:
        return self.by_route.get(route, self.overall)


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
        wait = self._wait_before(job)
        usual = self._times.of(job.route)
        left = job.deadline_at - now
        if left < LEAST_SHARE * usual or wait > 0 and wait + usual > WAIT_SHARE * left:
            return Refusal(ErrorKind.OVERLOADED, self._retry_after(wait))
        self._queue.append(job)
        return None

    def next(self, now: float) -> Job | None:
        """Return the job to start now, ``None`` if no slot is free or none waits."""
        self.expire(now)
        if not self._queue or len(self._running) >= self.slots:
            return None
        job = min(self._queue, key=lambda item: self._rank(item, now))
        self._queue.remove(job)
        job.running, job.started_at = True, now
        self._running.add(job)
        return job

    def finish(self, job: Job, now: float, measured: bool) -> None:
        """Free the slot of a job.

        :param measured: whether its time says something about the upstream.
        """
        self._running.discard(job)
        if measured:
            self._times.note(job.route, now - job.started_at)

    def withdraw(self, job: Job) -> bool:
        """Take a waiting job out and return whether it was waiting."""
        if job in self._queue:
            self._queue.remove(job)
            return True
        return False

    def expire(self, now: float) -> None:
        """Refuse the waiting jobs that could no longer finish in time."""
        for job in list(self._queue):
            if job.deadline_at - now < LEAST_SHARE * self._times.of(job.route):
                self._queue.remove(job)
                wait = self._wait_before(job)
                self._refuse(job, Refusal(ErrorKind.EXPIRED, self._retry_after(wait)))

    def _rank(self, job: Job, now: float) -> tuple[int, bool, float]:
        late = job.objective_at - now < self._times.of(job.route)
        return job.priority, late, job.deadline_at if late else job.objective_at

    def _wait_before(self, job: Job) -> float:
        """Return the expected wait of a new job behind those of its rank or above."""
        ahead = sum(1 for item in self._queue if item.priority <= job.priority)
        excess = len(self._running) + ahead + 1 - self.slots
        return max(0, excess) * self._times.overall / max(1, self.slots)

    def _retry_after(self, wait: float) -> float:
        return min(MOST_RETRY_S, max(LEAST_RETRY_S, wait))
