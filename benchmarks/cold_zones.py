"""Cold upstreams and evacuated zones of the soak, and what must hold for them."""

__all__ = ["BOUNDS", "COLD_PER_S", "COLD_START_S", "ColdZones"]

import asyncio
import time
from dataclasses import dataclass, field

from benchmarks.promises import Findings
from standins.mesh import Machine, Mesh
from standins.upstream import UpstreamStandin

COLD_PER_S, COLD_START_S = 5.0, 2.0
# The users' bounds: factor and allowance of the requests in one second, and the time to
# an evacuation.
COLD_OVERAGE, COLD_SLACK, EVACUATE_S = 1.5, 8, 5.0
BOUNDS = f"cold_overage = {COLD_OVERAGE}\ncold_slack = {COLD_SLACK}"
MOST_PER_S = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
# Requests sent while a zone is evacuated after the last fault.
EVACUATED_REQUESTS = 20


@dataclass
class ColdZones:
    """Cold times of upstreams, and evacuations.

    :param cold: upstream, begin and end of each cold time (monotonic).
    """

    mesh: Mesh
    cold: list[tuple[UpstreamStandin, float, float]] = field(default_factory=list)

    def begin_cold(self, machine: Machine) -> None:
        """Let an upstream that starts now be cold."""
        now = time.monotonic()
        machine.upstream.cold_until = now + COLD_START_S
        self.cold.append((machine.upstream, now, now + COLD_START_S))

    def check_cold(self, findings: Findings) -> None:
        """Check the requests that reached cold upstreams, whatever else had failed."""
        for upstream, begin, end in self.cold:
            times = [at for at, _ in upstream.arrivals if begin <= at < end]
            counts = [sum(at <= t < at + 1 for t in times) for at in times]
            most = max(counts, default=0)
            if most > MOST_PER_S:
                detail = f"{upstream.name}: {most} requests in a second"
                findings.record_violation("cold upstreams are spared", detail)

    async def check_evacuation(self, zone: str, findings: Findings) -> None:
        """Evacuate a zone after the last fault, and check that it gets nothing."""
        await self.mesh.evacuate(zone)
        await asyncio.sleep(EVACUATE_S / 2)
        begin = time.monotonic()
        for number in range(EVACUATED_REQUESTS):
            machine = self.mesh.machines[number % len(self.mesh.machines)]
            await self.mesh.send(machine, "/panels/1", f"evacuated-{number}")
        await self.mesh.restore(zone)
        for machine in self.mesh.machines:
            late = [i for at, i in machine.upstream.arrivals if at >= begin]
            if machine.zone == zone and late:
                detail = f"{machine.name}: {late[:3]}"
                findings.record_violation("evacuated zones get nothing", detail)
