"""Requests of the soak under which upstreams crash, and checks of how they ended."""

__all__ = ["Crasher", "check_crashers"]

from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.promises import Findings
from standins.mesh import Mesh

# Crashes after which the fleet knows a request, the time until it counts, and the runs
# that are allowed later.
CRASHES_TO_LEARN, STABLE_WINDOW_S, MAX_LATE_RUNS = 3, 3.0, 3
# Parts of the fleet that may be cut off from each other; each learns by itself.
MAX_PARTS = 3


@dataclass(frozen=True, slots=True)
class Crasher:
    """A request that crashes each upstream that runs it.

    :param path: its path, which no other request has.
    :param request_ids: prefix of the ids of its repetitions.
    """

    path: str
    request_ids: str


def check_crashers(mesh: Mesh, crashers: Iterable[Crasher], findings: Findings) -> None:
    """Check that these requests were soon refused, and no others."""
    crashers = list(crashers)
    for crasher in crashers:
        runs = sorted(
            at
            for machine in mesh.machines
            for request_id, at in machine.upstream.started_at.items()
            if request_id.startswith(crasher.request_ids)
        )
        crashes = sorted(
            at
            for machine in mesh.machines
            for at, at_work in machine.upstream.crashes
            if any(name.startswith(crasher.request_ids) for name in at_work)
        )
        if len(crashes) < CRASHES_TO_LEARN:
            continue
        known_at = crashes[CRASHES_TO_LEARN - 1] + STABLE_WINDOW_S
        late = sum(at > known_at for at in runs)
        if late > MAX_LATE_RUNS * MAX_PARTS:
            findings.record_violation(
                "a request that crashes upstreams is refused", f"{late} of {crasher}"
            )
    prefixes = tuple(crasher.request_ids for crasher in crashers)
    for machine in mesh.machines:
        for line in mesh.events(machine, "request"):
            refused = line.get("error") == "quarantined"
            if refused and not line["request_id"].startswith(prefixes or ("-",)):
                findings.record_violation("no other request is refused for it", line)
