"""Measures the processor time of nodes by phase: start, idle, requests and changes.

Real node processes run on loopback addresses between test doubles. With ``--against``
the nodes of another revision are measured in the same run, in turn with those of this
tree. Prints as its last line one JSON object.

    python -m benchmarks.node_cost --nodes 30 --rate 9 --against 3416c56
"""

__all__ = ["main", "measure"]

import asyncio
import itertools
import json
import os
import resource
import signal
import statistics
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from time import monotonic

import fire

from ragwortferry.tests.mesh_builders import a_config
from standins.mesh import READY_PORT, Machine, Mesh

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("a", "b", "c")
# Every fifth machine runs the second service.
SERVICES = ("tablero", "tablero", "tablero", "tablero", "archivo")
PHASE_S = 6.0
CHANGE_INTERVAL_S = 1.5
ROUTES = 2000
# Pause after the start, so that all links are made and roles are settled.
SETTLE_S = 3.0
# Fraction of the nodes that are killed and started again in the last phase.
RESTARTED_FRACTION = 0.2
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MAX_LISTED_PARTS = 25
# Time that the nodes have to write their samples.
SAMPLES_WRITTEN_S = 0.3


class SampledMesh(Mesh):
    """A mesh whose nodes run from any checkout, with or without a sampler.

    :ivar tree: checkout that the nodes run from.
    :ivar sampled: whether the nodes sample their processor time.
    """

    tree: Path = ROOT
    sampled = False

    async def start_node(self, machine: Machine) -> None:
        """Start the node of a machine from the chosen checkout."""
        samples = machine.log.with_suffix(f".{machine.starts}.samples")
        environ = {
            **os.environ,
            "RAGWORTFERRY_SETTINGS": str(machine.settings),
            "PYTHONPATH": os.pathsep.join([str(self.tree), str(ROOT)]),
            "NODE_SAMPLES": str(samples),
        }
        module = "benchmarks.sampled_node" if self.sampled else "ragwortferry"
        with machine.log.open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                "node",
                env=environ,
                cwd=self.tree,
                stdout=log,
                stderr=log,
            )
        machine.starts += 1

    def processor_s(self, machine: Machine) -> float:
        """Return the processor time that the running node has used, in seconds."""
        stat = Path(f"/proc/{machine.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _configuration(number: int) -> bytes:
    """Return a large configuration in which one route differs by version."""
    config = a_config(f"r{number}")
    rules = config["listeners"][0]["rules"]
    template = rules[0]
    for index in range(ROUTES):
        rules.append(
            {
                **template,
                "name": f"added-{index}",
                "match": {"prefix": f"/added-{index}/"},
            }
        )
    rules[-1] = {**rules[-1], "match": {"prefix": f"/changed-{number}/"}}
    return json.dumps(config).encode()


async def _wait_ready(mesh: SampledMesh) -> None:
    for machine in mesh.machines:
        while await mesh.get_page(machine, READY_PORT, "/-/ready") is None:
            await asyncio.sleep(0.05)


async def _idle(mesh: SampledMesh, rate: float) -> int:
    await asyncio.sleep(PHASE_S)
    return 0


async def _requests(mesh: SampledMesh, rate: float) -> int:
    """Send requests at a rate per node; return how many were served."""
    numbers = itertools.count()
    prefix = f"{monotonic():.3f}"

    async def send(machine: Machine) -> bool:
        request_id = f"{prefix}-{next(numbers)}"
        return (await mesh.send(machine, "/panels/1", request_id))[0] == 200

    ends_at, tasks = monotonic() + PHASE_S, []
    interval_s = 1 / (rate * len(mesh.machines))
    due = monotonic()
    for machine in itertools.cycle(mesh.machines):
        if monotonic() >= ends_at:
            break
        tasks.append(asyncio.ensure_future(send(machine)))
        due += interval_s
        await asyncio.sleep(max(0.0, due - monotonic()))
    return sum(await asyncio.gather(*tasks))


async def _changes(mesh: SampledMesh, rate: float) -> int:
    """Change one route each interval; return the number of changes."""
    count = int(PHASE_S / CHANGE_INTERVAL_S)
    for number in range(count):
        await mesh.store.put("op/config", _configuration(20 + number))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    return count


async def _restarts(mesh: SampledMesh, rate: float) -> int:
    """Kill a part of the nodes at once and start them again."""
    victims = mesh.machines[-max(1, int(RESTARTED_FRACTION * len(mesh.machines))) :]
    for machine in victims:
        await mesh.stop_node(machine, signal.SIGKILL)
    for machine in victims:
        await mesh.start_node(machine)
    await asyncio.sleep(PHASE_S)
    return len(victims)


PHASES = {"idle": _idle, "requests": _requests, "changes": _changes}


async def _measure_phase(mesh: SampledMesh, name: str, rate: float) -> dict:
    before = [mesh.processor_s(machine) for machine in mesh.machines]
    started = monotonic()
    count = await PHASES[name](mesh, rate)
    seconds = monotonic() - started
    after = [mesh.processor_s(machine) for machine in mesh.machines]
    used = [end - start for start, end in zip(before, after, strict=True)]
    return {
        "core_percent": round(100 * statistics.fmean(used) / seconds, 2),
        "core_percent_most": round(100 * max(used) / seconds, 2),
        "count": count,
        "total_s": round(sum(used), 2),
    }


async def _measure_restarts(mesh: SampledMesh, rate: float) -> dict:
    before = {m.name: mesh.processor_s(m) for m in mesh.machines}
    count = await _restarts(mesh, rate)
    others = mesh.machines[: len(mesh.machines) - count]
    used = [mesh.processor_s(m) - before[m.name] for m in others]
    restarted = [mesh.processor_s(m) for m in mesh.machines[-count:]]
    return {
        "count": count,
        "others_ms_each_restart": round(1000 * statistics.fmean(used) / count, 2),
        "restarted_s": round(statistics.fmean(restarted), 3),
    }


async def measure(
    nodes: int,
    rate: float,
    service_ms: float,
    tree: Path,
    folder: Path,
    subnet: int,
    sampled: bool,
) -> dict:
    """Return the processor time of one mesh by phase.

    :param nodes: number of nodes.
    :param rate: requests per second and node in the phase of requests.
    :param service_ms: service time of each request at its upstream.
    :param tree: checkout that the nodes run from.
    :param folder: directory of the settings, logs and samples.
    :param subnet: third byte of the loopback addresses.
    :param sampled: whether to add the share of each function, by phase.
    """
    mesh = SampledMesh(folder, subnet)
    mesh.tree, mesh.sampled = tree, sampled
    try:
        await _start_nodes(mesh, nodes, service_ms)
        starts = [mesh.processor_s(machine) for machine in mesh.machines]
        await asyncio.sleep(SETTLE_S)
        result = {"start": {"mean_s": round(statistics.fmean(starts), 3)}}
        for name in PHASES:
            await _end_sampled_phase(mesh)
            result[name] = await _measure_phase(mesh, name, rate)
        await _end_sampled_phase(mesh)
        _add_costs(result, nodes)
        pages = [await mesh.metrics(machine) for machine in mesh.machines]
        links = [_metric(page, "ragwortferry_links") for page in pages]
        result["links_mean"] = round(statistics.fmean(links), 1)
        result["restarts"] = await _measure_restarts(mesh, rate)
        if sampled:
            await _end_sampled_phase(mesh)
            for number, name in enumerate(["start", *PHASES, "restarts"]):
                result[name]["parts"] = _parts(folder, number)
        return result
    finally:
        await mesh.stop()


async def _start_nodes(mesh: SampledMesh, nodes: int, service_ms: float) -> None:
    """Start the store and the nodes, and wait until all are ready."""
    await mesh.start([])
    await mesh.store.put("op/config", _configuration(7))
    for index in range(nodes):
        service = SERVICES[index % len(SERVICES)]
        seeds = tuple(mesh.machines[:3])
        machine = await mesh.add(service, ZONES[index % len(ZONES)], seeds=seeds)
        machine.upstream.service_time_s = service_ms / 1000
    await _wait_ready(mesh)


def _add_costs(result: dict, nodes: int) -> None:
    """Add the cost of a request and of a change, without that of an idle mesh."""
    idle_s = result["idle"]["total_s"]
    requests, changes = result["requests"], result["changes"]
    request_s = max(0.0, requests["total_s"] - idle_s) / max(1, requests["count"])
    requests["ms_each"] = round(1000 * request_s, 3)
    change_s = (changes["total_s"] - idle_s) / changes["count"] / nodes
    changes["ms_each_node"] = round(1000 * change_s, 2)


def _metric(page: str, name: str) -> float:
    for line in page.splitlines():
        if line.startswith(f"{name} "):
            return float(line.split()[1])
    return 0.0


async def _end_sampled_phase(mesh: SampledMesh) -> None:
    """Let the sampling nodes begin a new phase."""
    if mesh.sampled:
        for machine in mesh.machines:
            machine.process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(SAMPLES_WRITTEN_S)


def _parts(folder: Path, phase: int) -> dict[str, float]:
    """Return the share of the samples of a phase by function, the largest first.

    :param phase: number of the phase, in the order of the samples of a node.
    """
    total: Counter[str] = Counter()
    for path in folder.glob("*.0.samples"):
        lines = path.read_text().splitlines()
        if phase < len(lines):
            total.update(json.loads(lines[phase]))
    count = max(1, total.total())
    return {
        name: round(samples / count, 4)
        for name, samples in total.most_common(MAX_LISTED_PARTS)
    }


def _checkout(revision: str, folder: Path) -> Path:
    """Unpack a revision of this repository into a folder."""
    archive = subprocess.run(
        ["git", "archive", revision], cwd=ROOT, check=True, capture_output=True
    )
    tree = folder / "against"
    tree.mkdir()
    subprocess.run(["tar", "-x"], cwd=tree, check=True, input=archive.stdout)
    return tree


def main(
    nodes: int = 15,
    rate: float = 9.0,
    service_ms: float = 10.0,
    against: str = "",
    sampled: bool = False,
) -> None:
    """Measure the nodes of this tree, and those of another revision if one is named.

    :param nodes: number of nodes.
    :param rate: requests per second and node.
    :param service_ms: service time of each request at its upstream.
    :param against: revision of this repository to compare with.
    :param sampled: also list the functions that use the most processor time.
    """
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        trees = {"this": ROOT}
        if against:
            trees["against"] = _checkout(str(against), folder)
        results = {}
        for subnet, (label, tree) in enumerate(trees.items(), start=1):
            place = folder / label
            place.mkdir(exist_ok=True)
            results[label] = asyncio.run(
                measure(nodes, rate, service_ms, tree, place, subnet, sampled)
            )
        if against:
            results["ratios"] = _ratios(results["this"], results["against"])
        print(json.dumps(results))


def _ratios(this: dict, other: dict) -> dict[str, float]:
    """Return the cost of this tree relative to the other by phase."""
    pairs = {
        "start": (this["start"]["mean_s"], other["start"]["mean_s"]),
        "idle": (this["idle"]["core_percent"], other["idle"]["core_percent"]),
        "request": (this["requests"]["ms_each"], other["requests"]["ms_each"]),
        "change": (
            this["changes"]["ms_each_node"],
            other["changes"]["ms_each_node"],
        ),
    }
    return {k: round(a / b, 3) if b else 0.0 for k, (a, b) in pairs.items()}


if __name__ == "__main__":
    fire.Fire(main)
