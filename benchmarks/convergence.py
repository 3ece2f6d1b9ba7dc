"""Measures how fast a change is in force everywhere, and what it costs.

Prints as its last line one JSON object: convergence in seconds from acceptance to each
proxy's enforcement, control bytes for each instance, source reads, processor time and
resident memory.
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
PAUSE_S = 0.5
BOUND_S = 60.0
START_BOUND_S = 180.0
START_BATCH = 12
CONVERGENCE_BOUND_S = 16.0
CONTROL_BOUND_BYTES_PER_S = 19_000
CHANGES_PER_S = 41_000 / 86_400


class LogTail:
    """Follows the log of one instance for the versions that it enforces."""

    def __init__(self, node: Node):
        self._node = node
        self._offset = 0
        self.name = node.instance.id
        self.enforced_at: dict[int, float] = {}

    def read(self) -> None:
        """Take in what has been appended."""
        if not self._node.log.exists():
            return
        with open(self._node.log, "rb") as file:
            file.seek(self._offset)
            data = file.read()
        whole, newline, _ = data.rpartition(b"\n")
        self._offset += len(whole) + len(newline)
        for line in whole.splitlines():
            if b'"enforced"' in line:
                event = msgspec.json.decode(line)
                self.enforced_at[event["version"]] = event["timestamp"]


async def _wait_enforced(tails: list[LogTail], version: int, bound_s: float) -> None:
    async def enforced() -> bool:
        for tail in tails:
            tail.read()
        return all(version in tail.enforced_at for tail in tails)

    await wait_until(enforced, bound_s, f"version {version} everywhere")


async def _start(fleet: Fleet, instances: int, zones: int, mode: str) -> None:
    for number in range(instances):
        zone = f"zone-{number % zones:02d}"
        await fleet.add(f"i-{number}", zone, "none")
    fleet.register_all()
    names = list(fleet.nodes)
    times = {"heartbeat_s": 2.0, "silence_s": 6.0, "repair_s": 1.0, "status_s": 10.0}
    for at in range(0, len(names), START_BATCH):
        for name in names[at : at + START_BATCH]:
            await fleet.spawn(name, mode=mode, source_rate=100.0, **times)
        await fleet.wait_version(1, names[at : at + START_BATCH], START_BOUND_S)


async def _states(fleet: Fleet) -> list[dict]:
    return [await fleet.state(name) for name in fleet.nodes]


def _sum(states: list[dict], name: str) -> float:
    return sum(
        sum(state[name].values()) if isinstance(state[name], dict) else state[name]
        for state in states
    )


def _moved(state: dict) -> int:
    return sum(state["sent"].values()) + sum(state["received"].values())


def _kinds(before: list[dict], after: list[dict]) -> dict[str, int]:
    """Return the bytes of the busiest instance by direction and kind of message."""
    pairs = list(zip(before, after, strict=True))
    first, last = max(pairs, key=lambda pair: _moved(pair[1]) - _moved(pair[0]))
    return {
        f"{way} {kind}": size - first[way].get(kind, 0)
        for way in ("sent", "received")
        for kind, size in last[way].items()
    }


class Costs:
    """What the fleet has spent between two moments, for each instance."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet

    async def mark(self) -> None:
        """Begin."""
        self._before, self._at = await self._read(), time.monotonic()

    async def _read(self) -> dict[str, float]:
        states, front = await _states(self._fleet), self._fleet.platform_front
        return {
            "received": _sum(states, "received") + front.bytes_back,
            "sent": _sum(states, "sent") + front.bytes_there,
            "cpu_s": _sum(states, "cpu_s"),
            "most": max(_moved(state) for state in states),
            "source_calls": sum(self._fleet.platform.calls.values()),
        }

    async def since(self) -> tuple[dict[str, float], float]:
        """Return what was spent and the seconds since the mark."""
        after, elapsed = await self._read(), time.monotonic() - self._at
        return {name: after[name] - self._before[name] for name in after}, elapsed


async def _pause_relays(fleet: Fleet, count: int, rng: random.Random) -> list[str]:
    """Pause relays that do not read the source and return their names."""
    states = [state for state in await _states(fleet) if state["children"]]
    relays = [state["instance"] for state in states if not state["reading"]]
    paused = rng.sample(relays, min(count, len(relays)))
    for name in paused:
        fleet.signal(name, signal.SIGSTOP)
    return paused


async def _change(fleet, texts, version, rng, short) -> float:
    """Edit one section, accept the document and return the time of acceptance."""
    name = rng.choice(sorted(texts))
    upstreams = [f"{name}-{n}" for n in range(texts[name].count(b"zone = "))]
    zones = sorted({node.instance.zone for node in fleet.nodes.values()})
    texts[name] = section(name, upstreams, zones, edit=version)
    accepted = time.time()
    fleet.publish(texts, version, as_delta=short)
    return accepted


async def _measure(
    instances, zones, changes, mode, seed, services, upstreams, short, silent
) -> dict:
    rng = random.Random(seed)
    texts = document(services, upstreams, zones)
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder)) as fleet:
            fleet.publish(texts, 1)
            await _start(fleet, instances, zones, mode)
            tails = [LogTail(node) for node in fleet.nodes.values()]
            return await _run(fleet, tails, texts, changes, rng, short, silent)


async def _run(fleet, tails, texts, changes, rng, short, silent) -> dict:
    instances = len(tails)
    costs, delays = Costs(fleet), []
    await costs.mark()
    await asyncio.sleep(IDLE_S)
    idle, idle_s = await costs.since()
    fleet.platform.calls_by_second.clear()
    before = await _states(fleet)
    await costs.mark()
    for version in range(2, changes + 2):
        paused = await _pause_relays(fleet, silent, rng) if silent else []
        awake = [tail for tail in tails if tail.name not in paused]
        accepted = await _change(fleet, texts, version, rng, short)
        await _wait_enforced(awake, version, BOUND_S)
        delays += [tail.enforced_at[version] - accepted for tail in awake]
        for name in paused:
            fleet.signal(name, signal.SIGCONT)
        await _wait_enforced(tails, version, BOUND_S)
        await asyncio.sleep(PAUSE_S)
    spent, spent_s = await costs.since()
    states = await _states(fleet)
    delays.sort()
    idle_rate = {name: value / idle_s for name, value in idle.items()}
    extra = {name: spent[name] - idle_rate[name] * spent_s for name in spent}
    per_change = {n: value / changes / instances for n, value in extra.items()}
    both = (idle_rate["received"] + idle_rate["sent"]) / instances
    moved = per_change["received"] + per_change["sent"]
    most = idle_rate["most"] + CHANGES_PER_S * extra["most"] / changes
    return {
        "convergence_s": {
            "p50": round(delays[len(delays) // 2], 3),
            "p99": round(delays[int(len(delays) * 0.99)], 3),
            "max": round(delays[-1], 3),
        },
        "bytes_per_change": {
            "received": round(per_change["received"]),
            "sent": round(per_change["sent"]),
            "busiest": round(extra["most"] / changes),
        },
        "busiest_bytes_by_kind": _kinds(before, states),
        "bytes_idle_per_s": {
            "received": round(idle_rate["received"] / instances),
            "sent": round(idle_rate["sent"] / instances),
            "busiest": round(idle_rate["most"]),
        },
        "control_bytes_per_s_at_target_rate": {
            "mean": round(both + CHANGES_PER_S * moved),
            "busiest": round(most),
        },
        "source_reads_per_change": round(extra["source_calls"] / changes, 1),
        "source_reads_idle_per_s": round(idle_rate["source_calls"], 2),
        "source_reads_most_in_a_second": max(fleet.platform.calls_by_second.values()),
        "cpu_ms_per_change": round(per_change["cpu_s"] * 1000, 2),
        "cpu_idle_percent": round(idle_rate["cpu_s"] / instances * 100, 3),
        "resident_mb": {
            "mean": round(_sum(states, "resident_bytes") / instances / 2**20, 1),
            "max": round(max(s["resident_bytes"] for s in states) / 2**20, 1),
        },
        "within": {
            "convergence": delays[-1] <= CONVERGENCE_BOUND_S,
            "control_bytes": most <= CONTROL_BOUND_BYTES_PER_S,
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

    :param instances: proxies
    :param zones: availability zones
    :param changes: versions accepted one after another, each with one section changed
    :param mode: tree, or direct as the baseline in which every proxy reads the source
    :param seed: seed of the choice of sections
    :param services: services of the document, one a section
    :param upstreams: upstreams of the document
    :param short: whether the short form of the manifest is accepted
    :param silent: relays paused while each version spreads; they do not count
    """
    found = asyncio.run(
        _measure(
            instances, zones, changes, mode, seed, services, upstreams, short, silent
        )
    )
    given = {
        "instances": instances,
        "zones": zones,
        "mode": mode,
        "short": short,
        "silent": silent,
        "seed": seed,
        "services": services,
        "changes": changes,
    }
    print(json.dumps({**given, **found}))


if __name__ == "__main__":
    fire.Fire(main)
