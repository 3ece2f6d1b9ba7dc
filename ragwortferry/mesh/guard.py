"""Protects the upstream of this instance from requests that crash it."""

__all__ = ["CrashGuard"]

import asyncio
from collections.abc import Callable, Iterable

from ragwortferry.exceptions import ErrorKind
from ragwortferry.http1.client import Pool
from ragwortferry.logs import Log
from ragwortferry.mesh.attempt import Attempt, Failure
from ragwortferry.mesh.crashes import CrashMonitor
from ragwortferry.mesh.evidence import EvidenceExchange
from ragwortferry.mesh.fingerprint import RequestKind
from ragwortferry.mesh.quarantine import TRIAL_RETRY_AFTER_S, Quarantine, Ruling
from ragwortferry.mesh.response import AttemptState, not_run
from ragwortferry.mesh.state import MeshState, RegistryChange

# Time in which the losses of all connections arrive after a crash.
SETTLE_S = 0.01
# Time for which a connection stays open at least if the upstream itself accepted it.
MIN_OPEN_S = 0.02
# Longest time for which the failure of a lost attempt is held back meanwhile; a new
# connection may take seconds if the upstream's queue of connections is full.
MAX_SEARCH_WAIT_S = 0.1
# Time after the removal of its entry from which the end of an upstream is planned.
MIN_REMOVED_S = 1.0
# Maximum number of removals that are kept.
MAX_REMOVED = 64
# Retry-After time of a suspect that does not run beside another one.
ISOLATION_RETRY_AFTER_S = 0.1
# Maximum number of requests named in the log line of a crash.
MAX_LOGGED_REQUESTS = 20


class CrashGuard:
    """Finds crashes of the upstream, and refuses the requests that cause them.

    The upstream has crashed if a response was lost, no connection to it is left, and a
    new one is refused. A single lost connection, a silent upstream and one that is
    leaving or was removed from the registry before are no crashes.

    :param pool: connections to the upstream.
    :param on_crash: called when the upstream is found to have crashed.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        evidence: EvidenceExchange,
        state: MeshState,
        pool: Pool,
        on_crash: Callable[[], None],
        log: Log,
    ):
        self._quarantine = quarantine
        self._evidence = evidence
        self._state = state
        self._pool = pool
        self._on_crash = on_crash
        self._log = log
        self._monitor = CrashMonitor()
        self._search: asyncio.Task | None = None
        # Time of the last crash, and whether nothing shows that the upstream is back.
        self._crashed_at = float("-inf")
        self._down = False
        # Time at which upstreams were removed from the registry, by their ids.
        self._removed_at: dict[str, float] = {}
        state.on_registry.append(self._on_registry)
        self.crashes = 0
        self.refused = 0

    def stop(self) -> None:
        """Stop to look for a crash."""
        if self._search is not None:
            self._search.cancel()

    def refusal(
        self, attempt_state: AttemptState, others: Iterable[AttemptState], now: float
    ) -> Failure | None:
        """Return why an attempt must not run now, ``None`` if it may.

        :param others: the other attempts at the upstream.
        """
        attempt = attempt_state.attempt
        kind = self._find(attempt)
        if kind is None:
            return None
        verdict = self._quarantine.check(kind, now)
        if verdict.ruling is not Ruling.ALLOWED and not attempt.trial:
            self.refused += 1
            retry_after_s = verdict.retry_after_s or TRIAL_RETRY_AFTER_S
            detail = "upstreams have crashed under this request"
            return not_run(ErrorKind.QUARANTINED, detail, retry_after_s)
        if self._quarantine.is_isolated(kind) and self._runs_other(kind, others):
            detail = "another request is running under which upstreams have crashed"
            return not_run(ErrorKind.OVERLOADED, detail, ISOLATION_RETRY_AFTER_S)
        return None

    def _find(self, attempt: Attempt) -> RequestKind | None:
        return self._quarantine.find(
            attempt.caller,
            attempt.method,
            attempt.target,
            attempt.headers,
            attempt.body,
        )

    def _runs_other(self, kind: RequestKind, others: Iterable[AttemptState]) -> bool:
        """Return whether an isolated request of another kind is running."""
        for item in others:
            if item.sent:
                other = self._find(item.attempt)
                if other not in (None, kind) and self._quarantine.is_isolated(other):
                    return True
        return False

    def record_completed(self, attempt: Attempt) -> None:
        """Record that the upstream has run an attempt to its end."""
        self._down = False
        self._monitor.record_completed(attempt)
        kind = self._find(attempt)
        if kind is not None:
            self._evidence.report_completed(kind)

    def record_lost(self, attempt_state: AttemptState, broken: bool) -> None:
        """Record that an attempt was sent to the upstream and has no response.

        One that is lost at once while the upstream is down has not reached it: a proxy
        may accept connections for it.

        :param broken: whether its connection broke, which may be due to a crash.
        """
        now, sent_at = asyncio.get_running_loop().time(), attempt_state.sent_at
        if sent_at <= self._crashed_at or (self._down and now - sent_at < MIN_OPEN_S):
            return
        self._down = False
        self._monitor.record_lost(attempt_state.attempt, now)
        if broken:
            self.search()

    def search(self) -> None:
        """Find out soon whether the upstream has crashed."""
        loop = asyncio.get_running_loop()
        if self._search is None and self._monitor.lost(loop.time()):
            self._search = loop.create_task(self._find_crash())
            self._search.add_done_callback(self._on_search_done)

    async def wait_for_search(self) -> None:
        """Wait for a while until it is known whether the upstream has crashed.

        The sender of a lost attempt then decides on a retry with that knowledge.
        """
        if self._search is not None:
            await asyncio.wait([self._search], timeout=MAX_SEARCH_WAIT_S)

    def _on_search_done(self, task: asyncio.Task) -> None:
        self._search = None
        if not task.cancelled() and task.exception() is not None:
            self._log.error("search for a crash failed", task.exception())

    async def _find_crash(self) -> None:
        await asyncio.sleep(SETTLE_S)
        if self._pool.has_open or not await self._pool.is_rejected():
            return
        now = asyncio.get_running_loop().time()
        lost = self._monitor.lost(now)
        upstream = lost[-1].upstream if lost else ""
        suspects = self._monitor.end_incarnation(upstream, now)
        self._crashed_at, self._down = now, True
        self._on_crash()
        if not lost or self._is_leaving(upstream):
            return
        self.crashes += 1
        self._log.event(
            "upstream-crashed",
            f"upstream {upstream} has crashed",
            upstream=upstream,
            crash=self._evidence.report_crash(suspects),
            suspects=len(suspects),
            requests=[item.request_id for item in lost[-MAX_LOGGED_REQUESTS:]],
        )

    def _is_leaving(self, upstream: str) -> bool:
        """Return whether the end of an upstream was planned.

        One that leaves without draining serves on after its entry has been removed.
        """
        known = self._state.upstreams.get(upstream)
        if self._state.is_leaving(upstream) or (known is not None and known.draining):
            return True
        removed_at = self._removed_at.get(upstream, self._crashed_at)
        return self._crashed_at - removed_at > MIN_REMOVED_S

    def _on_registry(self, change: RegistryChange) -> None:
        """Record when upstreams are removed from the registry."""
        now = asyncio.get_running_loop().time()
        self._removed_at.update(dict.fromkeys(change.removed, now))
        while len(self._removed_at) > MAX_REMOVED:
            del self._removed_at[next(iter(self._removed_at))]
