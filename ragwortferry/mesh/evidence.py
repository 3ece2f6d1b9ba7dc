"""Spreads what is known of requests under which upstreams crash over all nodes."""

__all__ = ["EvidenceExchange"]

import asyncio
import itertools
import random
from collections.abc import Iterable

from ragwortferry.logs import Log
from ragwortferry.mesh.fingerprint import RequestKind
from ragwortferry.mesh.links.frames import Clearance, CrashReport, Evidence
from ragwortferry.mesh.links.link import Link
from ragwortferry.mesh.links.relay import Relay
from ragwortferry.mesh.quarantine import Quarantine

# Largest jittered delay of a clearance. A popular request runs to its end at many nodes
# at once; those that hear of it from another one do not tell it again.
MAX_CLEARANCE_DELAY_S = 0.03
# A request is cleared on all nodes from this many crashes on. With fewer, nothing is
# done with it, and most requests that were at work in a crash stay there.
MIN_CRASHES_TO_CLEAR = 2


class EvidenceExchange:
    """Tells the neighbours in the relay tree what is new, and new neighbours all.

    What a neighbour tells is passed on if it was not known, so each link carries each
    piece of evidence at most once in each direction.

    :param incarnation: unique id of this run of the process, part of the crashes' ids.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        relay: Relay,
        incarnation: str,
        log: Log,
        rng: random.Random,
    ):
        self._quarantine = quarantine
        self._relay = relay
        self._incarnation = incarnation
        self._log = log
        self._rng = rng
        self._sequence = itertools.count(1)
        # Requests whose clearance is about to be told.
        self._clearing: set[RequestKind] = set()
        relay.on_synchronize = self._synchronize

    def report_crash(self, suspects: list[RequestKind]) -> str:
        """Spread that the own upstream has crashed, and return the id of the crash."""
        name = f"{self._incarnation[:12]}-{next(self._sequence)}"
        if suspects:
            self._record(Evidence([CrashReport(name, 0.0, suspects)], []), None)
        return name

    def report_completed(self, kind: RequestKind) -> None:
        """Clear a request that the own upstream has run to its end."""
        clearance = self._quarantine.clearance(kind)
        if clearance is None or kind in self._clearing:
            return
        told = len(clearance.crashes) >= MIN_CRASHES_TO_CLEAR
        if not told and not self._quarantine.is_convicted(kind):
            self._quarantine.record(Evidence([], [clearance]), self._now())
            return
        self._clearing.add(kind)
        delay_s = self._rng.uniform(0, MAX_CLEARANCE_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, self._clear, clearance)

    def on_evidence(self, link: Link, evidence: Evidence) -> None:
        """Handle what a peer knows."""
        self._record(evidence, link)

    def _clear(self, clearance: Clearance) -> None:
        self._clearing.discard(clearance.kind)
        self._record(Evidence([], [clearance]), None)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _record(self, evidence: Evidence, source: Link | None) -> None:
        """Add evidence and pass on what is new.

        :param source: link over which it came, ``None`` if it is this node's own.
        """
        new = self._quarantine.record(evidence, self._now())
        if not new.crashes and not new.clearances:
            return
        for link in self._relay.neighbour_links():
            other = source is None or link.host != source.host
            if other and link.peer_shares_evidence:
                link.send(new)
        self._log_changes(kind for crash in new.crashes for kind in crash.suspects)
        self._log_changes(item.kind for item in new.clearances)

    def _synchronize(self, link: Link) -> None:
        """Tell a new neighbour, or a node that has just started, all evidence."""
        evidence = self._quarantine.evidence(self._now())
        if link.peer_shares_evidence and (evidence.crashes or evidence.clearances):
            link.send_in_order(evidence)

    def _log_changes(self, kinds: Iterable[RequestKind]) -> None:
        """Log which requests are convicted now, and which no longer are."""
        for kind in set(kinds):
            convicted = self._quarantine.take_change(kind)
            name = f"{kind.target.hex()}-{kind.body.hex()}-{kind.sender.hex()}"
            if convicted:
                self._log.event(
                    "quarantined",
                    "request is refused: upstreams crash under it",
                    kind=name,
                    crashes=self._quarantine.clearance(kind).crashes,
                )
            elif convicted is not None:
                self._log.event(
                    "quarantine-lifted", "request has run to its end", kind=name
                )
