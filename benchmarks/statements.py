"""Checks that requests follow what upstreams state about themselves in responses."""

__all__ = ["Episode", "check_statements"]

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from benchmarks.promises import Call, Findings
from standins.upstream import UpstreamStandin

# Window of the limit, factor on what it allows, and allowance beyond it.
WINDOW_S, FACTOR, SLACK = 4.0, 1.5, 5
# Time from the first response with a limit until the limit is checked, and from the
# response that an entry has passed on until its requests count.
STABLE_WINDOW_S, TOLD_S = 3.0, 0.5
# Time from a response with a departure until the entry that has passed it on must send
# no further request.
DRAIN_S = 2.0


@dataclass(slots=True)
class Episode:
    """A time in which an upstream names a limit, or says that it is leaving.

    :param limit_per_s: highest limit that it names, ``None`` if it is leaving.
    :param began_at: monotonic time at which it began.
    :param stated_at: monotonic time of the first response that said so, 0 without one.
    :param ended_at: monotonic time at which it ended.
    """

    upstream: UpstreamStandin
    limit_per_s: float | None
    began_at: float
    stated_at: float = 0.0
    ended_at: float = float("inf")


class _Told:
    """Which entries have passed on a statement, and when they were disturbed since.

    :param disturbances: times at which each entry was stopped, killed, paused or
        started, in ascending order.
    """

    def __init__(
        self,
        episode: Episode,
        calls: Iterable[Call],
        disturbances: Mapping[str, list[float]],
    ):
        self._disturbances = disturbances
        self._passed: dict[str, list[float]] = {}
        for call in calls:
            stated = call.limited if episode.limit_per_s is not None else call.leaving
            at = call.started_at + call.seconds
            if (
                stated
                and call.signature == episode.upstream.name
                and episode.began_at <= at <= episode.ended_at
            ):
                self._passed.setdefault(call.entry, []).append(at)

    def since(self, entry: str, at: float) -> float:
        """Return when an undisturbed entry first passed the statement on before ``at``.

        :return: infinity if it has not.
        """
        times = self._disturbances.get(entry, [])
        before = bisect_right(times, at)
        last = times[before - 1] if before else 0.0
        passed = [time for time in self._passed.get(entry, []) if last < time <= at]
        return min(passed, default=float("inf"))


def check_statements(
    episodes: Iterable[Episode],
    calls: Iterable[Call],
    disturbances: Mapping[str, list[float]],
    findings: Findings,
) -> None:
    """Check the arrivals at upstreams during all episodes.

    :param disturbances: times at which each entry was stopped, killed, paused or
        started, in ascending order. A disturbed entry is excused until it passes the
        statement on again.
    """
    calls_by_id = {call.request_id: call for call in calls}
    for episode in episodes:
        told = _Told(episode, calls_by_id.values(), disturbances)
        if episode.limit_per_s is None:
            _check_departure(episode, calls_by_id, told, findings)
        elif episode.stated_at:
            _check_limit(episode, calls_by_id, told, findings)


def _arrivals(episode: Episode, calls_by_id: Mapping[str, Call]):
    for at, request_id in episode.upstream.arrivals:
        call = calls_by_id.get(request_id)
        if call is not None and episode.began_at <= at <= episode.ended_at:
            yield at, call


def _check_limit(episode, calls_by_id, told: _Told, findings: Findings) -> None:
    times = sorted(
        at
        for at, call in _arrivals(episode, calls_by_id)
        if at >= episode.stated_at + STABLE_WINDOW_S
        and told.since(call.entry, at) <= at - TOLD_S
    )
    allowed = FACTOR * episode.limit_per_s * WINDOW_S + SLACK
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        if last - first + 1 > allowed:
            findings.record_violation(
                "limits of upstreams are kept",
                f"{last - first + 1} of {allowed}: {episode.upstream.name}",
            )
            return


def _check_departure(episode, calls_by_id, told: _Told, findings: Findings) -> None:
    for at, call in _arrivals(episode, calls_by_id):
        if call.started_at > told.since(call.entry, at) + DRAIN_S:
            findings.record_violation("nothing is sent to who leaves", call)
