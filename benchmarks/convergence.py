"""Measures how fast a change reaches all proxies, and what it costs.

Prints as its last line one JSON object: seconds from acceptance to enforcement at each
proxy, control traffic of an instance, source reads, CPU time and resident memory.
"""

__all__ = ["main"]

import asyncio
import json
import random
import signal
import tempfile
import time
from pathlib import Path

import fire
import msgspec

from benchmarks.sections import document, section
from standins.fleet import Fleet, Node, wait_until

IDLE_S = 10.0
CHANGE_PAUSE_S = 0.5
CONVERGENCE_TIMEOUT_S = 60.0
START_TIMEOUT_S = 180.0
START_BATCH_SIZE = 12
MAX_CONVERGENCE_S = 16.0
MAX_CONTROL_BYTES_PER_S = 19_000
CHANGES_PER_S = 41_000 / 86_400


class LogTail:
    """Follows the log of an instance and collects when it enforced each version."""

    def __init__(self, node: Node):
        self._node = node
        self._offset = 0
        self.name = node.instance.id
        self.enforced_at: dict[int, float] = {}

    def read(self) -> None:
        """Read the lines appended since the last call."""
        if not self._node.log.exists():
            return
        with open(self._node.log, "rb") as file:
            file.seek(self._offset)
            data = file.read()
        complete_lines, newline, _ = data.rpartition(b"\n")
        self._offset += len(complete_lines) + len(newline)
        for line in complete_lines.splitlines():
            if b'"enforced"' in line:
                event = msgspec.json.decode(line)
                self.enforced_at[event["version"]] = event["timestamp"]


async def _wait_enforced(tails: list[LogTail], version: int, bound_s: float) -> None:
    async def enforced() -> bool:
        for tail in tails:
            tail.read()
        return all(version in tail.enforced_at for tail in tails)

    await wait_until(enforced, bound_s, f"version {version} is enforced everywhere")


async def _start(fleet: Fleet, instances: int, zones: int, mode: str) -> None:
    for number in range(instances):
        zone = f"zone-{number % zones:02d}"
        await fleet.add(f"i-{number}", zone, "none")
    fleet.register_all()
    names = list(fleet.nodes)
    intervals = {
        "heartbeat_s": 2.0,
        "silence_s": 6.0,
        "repair_s": 1.0,
        "status_s": 10.0,
    }
    for at in range(0, len(names), START_BATCH_SIZE):
        for name in names[at : at + START_BATCH_SIZE]:
            await fleet.spawn(name, mode=mode, source_rate=100.0, **intervals)
        await fleet.wait_version(1, names[at : at + START_BATCH_SIZE], START_TIMEOUT_S)


async def _states(fleet: Fleet) -> list[dict]:
    return [await fleet.state(name) for name in fleet.nodes]


def _sum_over(states: list[dict], name: str) -> float:
    return sum(
        sum(state[name].values()) if isinstance(state[name], dict) else state[name]
        for state in states
    )


def _control_bytes(state: dict) -> int:
    return sum(state["sent"].values()) + sum(state["received"].values())


def _busiest_bytes_by_kind(before: list[dict], after: list[dict]) -> dict[str, int]:
    """Return the bytes of the busiest instance by direction and message kind."""
    pairs = list(zip(before, after, strict=True))
    first, last = max(
        pairs, key=lambda pair: _control_bytes(pair[1]) - _control_bytes(pair[0])
    )
    return {
        f"{direction} {kind}": size - first[direction].get(kind, 0)
        for direction in ("sent", "received")
        for kind, size in last[direction].items()
    }


class CostMeter:
    """Measures the resources that a fleet uses over a period of time."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet

    async def start(self) -> None:
        """Start a measurement."""
        self._before, self._started_at = await self._read(), time.monotonic()

    async def _read(self) -> dict[str, float]:
        states, proxy = await _states(self._fleet), self._fleet.platform_proxy
        return {
            "received": _sum_over(states, "received") + proxy.bytes_to_client,
            "sent": _sum_over(states, "sent") + proxy.bytes_to_server,
            "cpu_s": _sum_over(states, "cpu_s"),
            "most": max(_control_bytes(state) for state in states),
            "source_calls": sum(self._fleet.platform.calls.values()),
        }

    async def elapsed_costs(self) -> tuple[dict[str, float], float]:
        """Return the costs since the start, and the elapsed seconds."""
        after, elapsed = await self._read(), time.monotonic() - self._started_at
        return {name: after[name] - self._before[name] for name in after}, elapsed


async def _pause_relays(fleet: Fleet, count: int, rng: random.Random) -> list[str]:
    """Pause random relays that don't read the source, and return their names."""
    states = [state for state in await _states(fleet) if state["children"]]
    relays = [state["instance"] for state in states if not state["reading"]]
    paused = rng.sample(relays, min(count, len(relays)))
    for name in paused:
        fleet.signal(name, signal.SIGSTOP)
    return paused


async def _publish_change(fleet, texts, version, rng, as_delta) -> float:
    """Edit one section, publish the document and return the acceptance time."""
    name = rng.choice(sorted(texts))
    upstreams = [f"{name}-{n}" for n in range(texts[name].count(b"zone = "))]
    zones = sorted({node.instance.zone for node in fleet.nodes.values()})
    texts[name] = section(name, upstreams, zones, edit=version)
    accepted = time.time()
    fleet.publish(texts, version, as_delta=as_delta)
    return accepted


async def _measure(
    instances, zones, changes, mode, seed, services, upstreams, as_delta, pause_count
) -> dict:
    rng = random.Random(seed)
    texts = document(services, upstreams, zones)
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder)) as fleet:
            fleet.publish(texts, 1)
            await _start(fleet, instances, zones, mode)
            tails = [LogTail(node) for node in fleet.nodes.values()]
            return await _run_changes(
                fleet, tails, texts, changes, rng, as_delta, pause_count
            )


async def _run_changes(
    fleet, tails, texts, changes, rng, as_delta, pause_count
) -> dict:
    instances = len(tails)
    meter, delays = CostMeter(fleet), []
    await meter.start()
    await asyncio.sleep(IDLE_S)
    idle_costs, idle_s = await meter.elapsed_costs()
    fleet.platform.calls_by_second.clear()
    before = await _states(fleet)
    await meter.start()
    for version in range(2, changes + 2):
        paused = await _pause_relays(fleet, pause_count, rng) if pause_count else []
        unpaused = [tail for tail in tails if tail.name not in paused]
        accepted = await _publish_change(fleet, texts, version, rng, as_delta)
        await _wait_enforced(unpaused, version, CONVERGENCE_TIMEOUT_S)
        delays += [tail.enforced_at[version] - accepted for tail in unpaused]
        for name in paused:
            fleet.signal(name, signal.SIGCONT)
        await _wait_enforced(tails, version, CONVERGENCE_TIMEOUT_S)
        await asyncio.sleep(CHANGE_PAUSE_S)
    change_costs, change_costs_s = await meter.elapsed_costs()
    states = await _states(fleet)
    delays.sort()
    idle_rate = {name: value / idle_s for name, value in idle_costs.items()}
    change_totals = {
        name: change_costs[name] - idle_rate[name] * change_costs_s
        for name in change_costs
    }
    per_change = {n: value / changes / instances for n, value in change_totals.items()}
    idle_bytes = (idle_rate["received"] + idle_rate["sent"]) / instances
    change_bytes = per_change["received"] + per_change["sent"]
    busiest_bytes_per_s = (
        idle_rate["most"] + CHANGES_PER_S * change_totals["most"] / changes
    )
    return {
        "convergence_s": {
            "p50": round(delays[len(delays) // 2], 3),
            "p99": round(delays[int(len(delays) * 0.99)], 3),
            "max": round(delays[-1], 3),
        },
        "bytes_per_change": {
            "received": round(per_change["received"]),
            "sent": round(per_change["sent"]),
            "busiest": round(change_totals["most"] / changes),
        },
        "busiest_bytes_by_kind": _busiest_bytes_by_kind(before, states),
        "bytes_idle_per_s": {
            "received": round(idle_rate["received"] / instances),
            "sent": round(idle_rate["sent"] / instances),
            "busiest": round(idle_rate["most"]),
        },
        "control_bytes_per_s_at_target_rate": {
            "mean": round(idle_bytes + CHANGES_PER_S * change_bytes),
            "busiest": round(busiest_bytes_per_s),
        },
        "source_reads_per_change": round(change_totals["source_calls"] / changes, 1),
        "source_reads_idle_per_s": round(idle_rate["source_calls"], 2),
        "source_reads_most_in_a_second": max(fleet.platform.calls_by_second.values()),
        "cpu_ms_per_change": round(per_change["cpu_s"] * 1000, 2),
        "cpu_idle_percent": round(idle_rate["cpu_s"] / instances * 100, 3),
        "resident_mb": {
            "mean": round(_sum_over(states, "resident_bytes") / instances / 2**20, 1),
            "max": round(max(s["resident_bytes"] for s in states) / 2**20, 1),
        },
        "within": {
            "convergence": delays[-1] <= MAX_CONVERGENCE_S,
            "control_bytes": busiest_bytes_per_s <= MAX_CONTROL_BYTES_PER_S,
        },
    }


def main(
    instances: int = 12,
    zones: int = 3,
    changes: int = 10,
    mode: str = "tree",
    seed: int = 1,
    services: int = 46,
    upstreams: int = 1700,
    short: bool = True,
    silent: int = 0,
) -> None:
    """Run the benchmark.

    :param instances: number of proxies
    :param zones: number of availability zones
    :param changes: versions accepted in sequence, each with one changed section
    :param mode: tree, or direct as a baseline in which every proxy reads the source
    :param seed: seed of the random choices
    :param services: services of the document, one per section
    :param upstreams: upstreams of the document
    :param short: whether versions are accepted as a ManifestDelta
    :param silent: relays paused while a version spreads; excluded from the delays
    """
    results = asyncio.run(
        _measure(
            instances, zones, changes, mode, seed, services, upstreams, short, silent
        )
    )
    parameters = {
        "instances": instances,
        "zones": zones,
        "mode": mode,
        "short": short,
        "silent": silent,
        "seed": seed,
        "services": services,
        "changes": changes,
    }
    print(json.dumps({**parameters, **results}))


if __name__ == "__main__":
    fire.Fire(main)
