"""Quarantine of requests under which upstreams crash.

Load: a request that crashes each upstream that begins to run it and comes again, at any
node. If each entry begins anew with it, the upstreams of a service are down as fast as
they come back, and all other requests are refused.

Each crash names all requests that were at work as suspects. A suspect is convicted if
it was at work in ``CRASHES_TO_CONVICT`` crashes and has not run to its end since: an
innocent one runs to its end elsewhere. A convicted request is refused for a while, then
one run of it is tried. If the trial crashes the upstream, the next one comes later.

The evidence is the same on each node, whatever the order in which it arrives: crashes
are told apart by their ids, and a clearance names the crashes that it refers to.
"""

__all__ = ["Quarantine", "Verdict"]

import heapq
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise

from ragwortferry.http1.messages import Headers
from ragwortferry.mesh.fingerprint import (
    RequestKind,
    body_digest,
    sender_digest,
    target_digest,
)
from ragwortferry.mesh.links.frames import Clearance, CrashReport, Evidence
from ragwortferry.utils.digests import rank_key

CRASHES_TO_CONVICT = 3
# Crashes after which a suspect runs at no upstream where another such suspect runs, so
# that the next crash tells which of them is the cause.
CRASHES_TO_ISOLATE = 2
# Time from the last crash until the first trial, and the factor for each later one.
FIRST_BLOCK_S, BLOCK_FACTOR, MAX_BLOCK_S = 10.0, 4, 600.0
# Nodes start their trials at different times, within this fraction of the block, so
# that one node's trial is over before the others would start theirs.
TRIAL_SPREAD_FRACTION = 0.5
# Time in which a node starts no further trial of a request.
TRIAL_S = 5.0
# Crashes within this time are of one round: they lengthen the block once.
ROUND_S = 5.0
# Time after which a suspect without a further crash is forgotten, and a convicted one
# after the end of its block.
SUSPECT_TTL_S, CONVICT_TTL_S = 60.0, 600.0
# Evidence that is older is ignored: it has been forgotten elsewhere.
MAX_AGE_S = (1 + TRIAL_SPREAD_FRACTION) * MAX_BLOCK_S + CONVICT_TTL_S
# Largest numbers of suspects, and of crashes that are kept of one.
MAX_SUSPECTS, MAX_CRASHES = 256, 8
# Time for which a convicted request outlasts a suspect that is seen later, if there are
# too many.
CONVICT_BONUS_S = 120.0
EXPIRY_INTERVAL_S = 1.0
# Retry-After time while a trial is running elsewhere or is refused.
TRIAL_RETRY_AFTER_S = 1.0


class Ruling(Enum):
    """What may be done with a request."""

    ALLOWED = "allowed"
    TRIAL = "trial"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on a request.

    :param retry_after_s: seconds until it may be tried, 0 unless it is refused.
    """

    ruling: Ruling
    retry_after_s: float = 0.0


ALLOWED, TRIAL = Verdict(Ruling.ALLOWED), Verdict(Ruling.TRIAL)

# What is repeated, whoever sends it: digests of the target and of the body.
Content = tuple[bytes, bytes]


@dataclass(slots=True)
class _Suspect:
    """Evidence against one kind of request.

    :param crashes: time of each crash in which it was at work, by the crash's id.
    :param cleared: ids of the crashes that it has been cleared of.
    :param seen_at: time of the last evidence for or against it.
    :param convicted: whether it was convicted when that was last asked for.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    cleared: OrderedDict[str, None] = field(default_factory=OrderedDict)
    seen_at: float = 0.0
    convicted: bool = False


class Quarantine:
    """Keeps the evidence against requests and decides which are refused.

    Times are in seconds of any clock that all calls share.

    :param node: name of this node, which determines when it starts its trials.
    """

    def __init__(self, node: str):
        self._node = node
        self._suspects: OrderedDict[RequestKind, _Suspect] = OrderedDict()
        # Senders of each content with suspects.
        self._senders: dict[Content, set[bytes]] = {}
        # Number of suspects with each digest of a target.
        self._targets: dict[bytes, int] = {}
        # Time until which no further trial of a content is started here.
        self._trial_until: dict[Content, float] = {}
        self._expired_at = float("-inf")

    @property
    def active(self) -> bool:
        """Return whether there is any evidence."""
        return bool(self._suspects)

    @property
    def suspect_count(self) -> int:
        """Return the number of suspects with a crash they are not cleared of."""
        return sum(bool(item.crashes) for item in self._suspects.values())

    @property
    def convicted_count(self) -> int:
        """Return the number of convicted requests."""
        return sum(self.is_convicted(kind) for kind in self._suspects)

    def find(
        self, service: str, method: str, target: str, headers: Headers, body: bytes
    ) -> RequestKind | None:
        """Return the kind of a request that equals a suspect, whoever has sent that.

        The result is ``None`` for all others. The body is hashed only if there is a
        suspect with the same target.

        :param service: service of the instance at which it entered the mesh.
        :param headers: its end-to-end headers.
        """
        if not self._suspects:
            return None
        digest = target_digest(method, target, headers)
        if digest not in self._targets:
            return None
        kind = RequestKind(digest, body_digest(body), sender_digest(service, headers))
        return kind if _content(kind) in self._senders else None

    def check(self, kind: RequestKind, now: float) -> Verdict:
        """Return whether a request may run, and whether that is a trial."""
        self._expire(now)
        if not self.is_convicted(kind):
            return ALLOWED
        until = max(
            self._blocked_until(kind), self._trial_until.get(_content(kind), now)
        )
        if until > now:
            return Verdict(Ruling.REFUSED, until - now)
        return TRIAL

    def begin_trial(self, kind: RequestKind, now: float) -> None:
        """Record that this node starts a trial."""
        self._trial_until[_content(kind)] = now + TRIAL_S

    def is_convicted(self, kind: RequestKind) -> bool:
        """Return whether a request counts as a cause of crashes.

        A request that equals one whose crashes suffice, but for its sender, is
        convicted by one crash that the other sender's had no part in.
        """
        suspect = self._suspects.get(kind)
        if suspect is None or not suspect.crashes:
            return False
        if len(suspect.crashes) >= CRASHES_TO_CONVICT:
            return True
        others = self._crashes_of_others(kind)
        return len(others) >= CRASHES_TO_CONVICT and bool(
            suspect.crashes.keys() - others.keys()
        )

    def take_change(self, kind: RequestKind) -> bool | None:
        """Return whether a request is convicted, ``None`` without a change since."""
        suspect = self._suspects.get(kind)
        convicted = self.is_convicted(kind)
        if suspect is None or convicted == suspect.convicted:
            return None
        suspect.convicted = convicted
        return convicted

    def is_accused(self, kind: RequestKind) -> bool:
        """Return whether a request equals a convicted one, whoever sent that.

        After a lost response it is not sent to another upstream.
        """
        if self.is_convicted(kind):
            return True
        return len(self._crashes_of_others(kind)) >= CRASHES_TO_CONVICT

    def is_isolated(self, kind: RequestKind) -> bool:
        """Return whether a request must not run beside another isolated one."""
        suspect = self._suspects.get(kind)
        return suspect is not None and len(suspect.crashes) >= CRASHES_TO_ISOLATE

    def record(self, evidence: Evidence, now: float) -> Evidence:
        """Add evidence and return the part of it that was not known.

        Crashes of which all suspects are known, or were cleared, are not new.
        """
        clearances = [
            Clearance(item.kind, new)
            for item in evidence.clearances
            if (new := self._clear(item.kind, item.crashes, now))
        ]
        crashes = []
        for crash in evidence.crashes:
            at = now - crash.age_ms / 1000
            if now - at > MAX_AGE_S:
                continue
            new = [kind for kind in crash.suspects if self._suspect(kind, crash.id, at)]
            if new:
                crashes.append(CrashReport(crash.id, crash.age_ms, new))
        self._bound()
        return Evidence(crashes, clearances)

    def clearance(self, kind: RequestKind) -> Clearance | None:
        """Return what clears a request that ran to its end, ``None`` if nothing."""
        suspect = self._suspects.get(kind)
        if suspect is None or not suspect.crashes:
            return None
        return Clearance(kind, list(suspect.crashes))

    def evidence(self, now: float) -> Evidence:
        """Return all evidence, for a node that may lack it."""
        self._expire(now)
        crashes: dict[str, CrashReport] = {}
        clearances = []
        for kind, suspect in self._suspects.items():
            for name, at in suspect.crashes.items():
                age_ms = round((now - at) * 1000)
                report = crashes.setdefault(name, CrashReport(name, age_ms, []))
                report.suspects.append(kind)
            if suspect.cleared:
                clearances.append(Clearance(kind, list(suspect.cleared)))
        return Evidence(list(crashes.values()), clearances)

    def _get_or_add(self, kind: RequestKind) -> _Suspect:
        suspect = self._suspects.get(kind)
        if suspect is None:
            suspect = self._suspects[kind] = _Suspect()
            self._senders.setdefault(_content(kind), set()).add(kind.sender)
            self._targets[kind.target] = self._targets.get(kind.target, 0) + 1
        return suspect

    def _suspect(self, kind: RequestKind, crash: str, at: float) -> bool:
        """Record that a request was at work in a crash; return whether it is new."""
        suspect = self._get_or_add(kind)
        if crash in suspect.crashes or crash in suspect.cleared:
            return False
        suspect.crashes[crash] = at
        suspect.seen_at = max(suspect.seen_at, at)
        if len(suspect.crashes) > MAX_CRASHES:
            del suspect.crashes[min(suspect.crashes, key=suspect.crashes.get)]
        return crash in suspect.crashes

    def _clear(
        self, kind: RequestKind, crashes: Iterable[str], now: float
    ) -> list[str]:
        """Clear a request of some crashes and return those that this is new for."""
        suspect = self._get_or_add(kind)
        new = [name for name in crashes if name not in suspect.cleared]
        for name in new:
            suspect.crashes.pop(name, None)
            suspect.cleared[name] = None
            suspect.seen_at = now
        while len(suspect.cleared) > MAX_CRASHES:
            suspect.cleared.popitem(last=False)
        if new and not suspect.crashes:
            self._trial_until.pop(_content(kind), None)
        return new

    def _crashes_of_others(self, kind: RequestKind) -> dict[str, float]:
        """Return the crashes of the same request by other senders, with their times."""
        crashes: dict[str, float] = {}
        for sender in self._senders.get(_content(kind), ()):
            if sender != kind.sender:
                other = RequestKind(kind.target, kind.body, sender)
                crashes.update(self._suspects[other].crashes)
        return crashes

    def _blocked_until(self, kind: RequestKind) -> float:
        """Return when this node may try a convicted request again."""
        crashes = {**self._crashes_of_others(kind), **self._suspects[kind].crashes}
        times = sorted(crashes.values())
        since_conviction = times[CRASHES_TO_CONVICT - 1 :]
        rounds = 1 + sum(
            later - earlier > ROUND_S for earlier, later in pairwise(since_conviction)
        )
        block_s = min(MAX_BLOCK_S, FIRST_BLOCK_S * BLOCK_FACTOR ** (rounds - 1))
        rank, _ = rank_key(kind.target.hex(), self._node)
        fraction = TRIAL_SPREAD_FRACTION * (rank / 2**64)
        return times[-1] + block_s * (1 + fraction)

    def _expire(self, now: float) -> None:
        """Forget old evidence."""
        if now < self._expired_at + EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for kind, suspect in list(self._suspects.items()):
            ends_at = suspect.seen_at + SUSPECT_TTL_S
            if self.is_convicted(kind):
                ends_at = max(ends_at, self._blocked_until(kind) + CONVICT_TTL_S)
            if now > ends_at:
                self._forget(kind)
        for content, until in list(self._trial_until.items()):
            if now > until:
                del self._trial_until[content]

    def _bound(self) -> None:
        """Forget the suspects with the oldest evidence if there are many."""
        excess = len(self._suspects) - MAX_SUSPECTS
        if excess <= 0:
            return

        def value(kind: RequestKind) -> float:
            bonus_s = CONVICT_BONUS_S if self.is_convicted(kind) else 0.0
            return self._suspects[kind].seen_at + bonus_s

        for kind in heapq.nsmallest(excess, self._suspects, key=value):
            self._forget(kind)

    def _forget(self, kind: RequestKind) -> None:
        del self._suspects[kind]
        content = _content(kind)
        self._senders[content].discard(kind.sender)
        if not self._senders[content]:
            del self._senders[content]
            self._trial_until.pop(content, None)
        self._targets[kind.target] -= 1
        if not self._targets[kind.target]:
            del self._targets[kind.target]


def _content(kind: RequestKind) -> Content:
    return kind.target, kind.body
