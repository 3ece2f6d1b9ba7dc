"""Runs the nodes of a mesh under seeded random faults and checks the guarantees.

Each node is a real process; the store and the upstreams are test doubles. Faults are
external and overlap: proxies delay, partition, silence or reset connections, signals
stop, pause and kill processes, and the store and the upstreams fail. Callers keep their
connections open for as long as possible. Prints as its last line one JSON object with
seed, requests, faults by kind and violations. The exit code is 1 if there is a
violation.
"""

__all__ = ["Soak", "main", "run_seed"]

import asyncio
import itertools
import json
import random
import re
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import fire

from benchmarks.cold_zones import BOUNDS, COLD_PER_S, COLD_START_S, ColdZones
from benchmarks.crashers import Crasher, check_crashers
from benchmarks.delayed import DelayedActions
from benchmarks.figures import Figures, Sample, second_of, write_figures
from benchmarks.pipelined import run_pipelining_caller
from benchmarks.promises import Call, Findings, check_calls, check_versions
from benchmarks.statements import Episode, check_statements
from ragwortferry.tests.invalid_entries import INVALID_ENTRIES
from ragwortferry.utils.registry import Registry
from standins.mesh import READY_PORT, Machine, Mesh
from standins.network import Fault, Network
from standins.upstream import UpstreamStandin

ZONES = ("a", "b", "c")
# Every fourth machine runs the second service.
SERVICES = ("tablero", "tablero", "tablero", "archivo")
EXPORT_BYTES, EXPORT_TIME_S = 40_000, 0.1
# Ranges of the pauses between faults and of their durations.
FAULT_PAUSE_RANGE_S, FAULT_DURATION_RANGE_S = (0.2, 0.8), (0.3, 2.5)
CALLERS, CALL_PAUSE_S = 10, 0.02
PIPELINING_CALLERS = 4
# Fraction of requests whose caller disconnects early, and after which delay.
DISCONNECT_FRACTION, DISCONNECT_DELAY_RANGE_S = 0.04, (0.005, 0.3)
DEADLINES_MS = (600, 1000, 2000)
# Time that a caller waits for a response after its deadline.
CALLER_EXTRA_WAIT_S = 4.0
# Time to recover after the last fault: the platform's limit for the recovery of a
# deployment.
MAX_RECOVERY_S = 15.0
# Maximum time between SIGTERM and the exit of a node.
MAX_STOP_S = 6.0
CHECK_PERIOD_S = 2.0
# Range of the times for which upstreams name a limit or say that they are leaving.
EPISODE_RANGE_S = (5.0, 9.0)
# Values of the limit, of which those with several change each second, and values that
# are no number.
LIMITS = (("0",), ("1",), ("4.6",), ("2", "7.5", "0.5", "4"), ("-1", "many", "1e9"))
LIMIT_CHANGE_S = 1.0
# Repetitions of a request under which upstreams crash, the pause between them, and the
# range of the times until a crashed upstream is back.
CRASHER_REPETITIONS, CRASHER_PAUSE_S, DOWN_RANGE_S = 20, 0.3, (1.0, 3.0)
# Limit of the memory of a node, in MB.
MAX_MEMORY_MB = 64
# Fraction of machines that kills, stops and pauses leave running.
MIN_RUNNING_FRACTION = 0.34
REQUEST_KINDS = (
    ("GET", "/panels/{}", False),
    ("GET", "/exports/{}", False),
    ("POST", "/pay/{}", True),
)

VERSION_LINE = re.compile(r"^ragwortferry_version (\d+)$", re.MULTILINE)

FaultAction = Callable[["Soak"], Awaitable[None]]
FAULTS: Registry[FaultAction] = Registry("fault")


def configuration(number: int) -> dict:
    """Return a version of the configuration; all versions differ."""

    def rule(name: str, prefix: str, service: str, kind: str) -> dict:
        return {
            "name": name,
            "route_type": kind,
            "target_latency_s": 0.5,
            "priority": 2,
            "match": {"prefix": prefix},
            "action": {"service": service, "timeout_s": 2, "max_attempts": 2},
        }

    rules = [
        rule("panels", "/panels/", "tablero", "safe"),
        rule("exports", "/exports/", "archivo", "download"),
        rule("pay", "/pay/", "tablero", "unsafe"),
        rule("version", f"/version/{number}/", "tablero", "safe"),
    ]
    services = ("tablero", "archivo")
    return {
        "version": f"r{number}",
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 2**20,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "listeners": [{"host": "boards.example", "rules": rules}],
        "clusters": [
            {"name": name, "cold_per_s": COLD_PER_S, "cold_start_s": COLD_START_S}
            for name in services
        ],
    }


class Soak:
    """State of one run.

    :param mesh: mesh with a faulty network.
    """

    def __init__(self, mesh: Mesh, seed: int):
        self.mesh = mesh
        self.seed = seed
        self.rng = random.Random(seed)
        self._load_rng = random.Random(seed + 1)
        self.findings = Findings()
        self.faults: Counter[str] = Counter()
        self.calls: list[Call] = []
        self.version = 0
        # Machines whose process is paused, stopping or down.
        self.unavailable: set[str] = set()
        # Monotonic time at which a node last became unavailable or available again.
        self.disturbed_at: dict[str, float] = {}
        self.killed_at: dict[str, float] = {}
        # All such times of each node, in ascending order.
        self._disturbances: dict[str, list[float]] = {}
        self.episodes: list[Episode] = []
        self.crashers: list[Crasher] = []
        self.cold_zones = ColdZones(mesh)
        # Running repetitions of crashers, and the downtime of each crashed upstream.
        self.repetitions: list[asyncio.Task] = []
        self._down_s: dict[tuple[str, int], float] = {}
        self.delayed = DelayedActions(self.rng, FAULT_DURATION_RANGE_S)
        self._started_at = time.monotonic()
        self._samples: list[Sample] = []

    async def start(self, processes: int) -> None:
        """Start the mesh and wait until all nodes are ready."""
        self.version = 1
        await self.mesh.start([])
        await self.mesh.put_config(configuration(1))
        for number in range(processes):
            seeds = tuple(self.mesh.machines[:2])
            service = SERVICES[number % len(SERVICES)]
            zone = ZONES[number % len(ZONES)]
            machine = await self.mesh.add(service, zone, seeds=seeds)
            if service == "archivo":
                machine.upstream.response_bytes = EXPORT_BYTES
                machine.upstream.service_time_s = EXPORT_TIME_S
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready and enforce the newest version."""
        for machine in self.mesh.machines:
            while await self.mesh.get_page(machine, READY_PORT, "/-/ready") is None:
                await asyncio.sleep(0.05)
            text = f"ragwortferry_version {self.version}\n"
            while text not in await self.mesh.metrics(machine):
                await asyncio.sleep(0.05)

    def _running(self) -> list[Machine]:
        """Return the available machines; record those whose node exited by itself."""
        running = [m for m in self.mesh.machines if m.name not in self.unavailable]
        for machine in running:
            code = machine.process.returncode
            if code is not None:
                self.findings.record_violation(
                    "a node ends only when told", (machine.name, code)
                )
                self.unavailable.add(machine.name)
        return [m for m in running if m.name not in self.unavailable]

    def pick_machine(self) -> Machine | None:
        """Return a random running machine, ``None`` if too few are left running."""
        running = self._running()
        if len(running) <= MIN_RUNNING_FRACTION * len(self.mesh.machines) + 1:
            return None
        return self.rng.choice(running)

    def mark_unavailable(self, machine: Machine, kill: bool = False) -> None:
        """Record that a node is unavailable from now on."""
        self.unavailable.add(machine.name)
        self._record_disturbance_of(machine)
        if kill:
            self.killed_at[machine.name] = time.monotonic()

    def mark_available(self, machine: Machine) -> None:
        """Record that a node is available again."""
        self.unavailable.discard(machine.name)
        self._record_disturbance_of(machine)

    def _record_disturbance_of(self, machine: Machine) -> None:
        now = time.monotonic()
        self.disturbed_at[machine.name] = now
        self._disturbances.setdefault(machine.name, []).append(now)

    def begin_episode(self, limit_per_s: float | None) -> Episode | None:
        """Return a new episode of a random upstream, ``None`` if it has one already.

        :param limit_per_s: highest limit that it names, ``None`` if it is leaving.
        """
        upstream = self.rng.choice(self.mesh.machines).upstream
        if upstream.limit or upstream.leaving:
            return None
        upstream.stated_at = 0.0
        episode = Episode(upstream, limit_per_s, time.monotonic())
        self.episodes.append(episode)
        return episode

    def end_episode(self, episode: Episode) -> None:
        """End an episode of an upstream, unless it has ended."""
        if episode.ended_at != float("inf"):
            return
        upstream = episode.upstream
        episode.stated_at, episode.ended_at = upstream.stated_at, time.monotonic()
        upstream.limit, upstream.leaving = "", False

    async def check_while_running(self, end: float) -> None:
        """Check the calls periodically and print new violations until the end."""
        reported: set[str] = set()
        while time.monotonic() < end:
            await asyncio.sleep(CHECK_PERIOD_S)
            current_findings = Findings()
            check_calls(self.mesh, self.calls, current_findings)
            for guarantee in current_findings.violations.keys() - reported:
                second = time.monotonic() - self._started_at
                print(f"second {second:.1f}: violation of: {guarantee}", flush=True)
            reported |= current_findings.violations.keys()

    async def sample(self, end: float) -> None:
        """Record the enforced versions once per second until the end."""
        while time.monotonic() < end:
            pages = [await self.mesh.metrics(m) for m in self._running()]
            found = [VERSION_LINE.search(text) for text in pages]
            versions = [int(match[1]) for match in found if match]
            if versions:
                at = round(time.monotonic() - self._started_at, 1)
                self._samples.append(Sample(at, min(versions), max(versions)))
            await asyncio.sleep(1.0)

    def figures(self, title: str) -> Figures:
        """Return the statistics by second, and the samples of enforced versions."""
        by_second: dict[int, list[Call]] = {}
        for call in self.calls:
            by_second.setdefault(int(call.started_at - self._started_at), []).append(
                call
            )
        seconds = [second_of(at, by_second[at]) for at in sorted(by_second)]
        return Figures(title, seconds, self._samples)

    async def run_caller(self, worker: int, end: float) -> None:
        """Send requests sequentially until the end, as one caller."""
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            number = 0
            while time.monotonic() < end:
                number += 1
                await self._call(session, f"{worker}-{number}")
                await asyncio.sleep(CALL_PAUSE_S)

    async def call_repeatedly(self, crasher: Crasher) -> None:
        """Send a request under which upstreams crash to random machines."""
        async with aiohttp.ClientSession() as session:
            for number in range(CRASHER_REPETITIONS):
                request_id = f"{crasher.request_ids}{number}"
                await self._call(session, request_id, ("GET", crasher.path, False))
                await asyncio.sleep(CRASHER_PAUSE_S)

    async def restart_crashed(self, end: float) -> None:
        """Start each crashed upstream again after a while, until the end."""
        while time.monotonic() < end or any(
            machine.upstream.crashed for machine in self.mesh.machines
        ):
            await asyncio.sleep(0.1)
            for machine in self.mesh.machines:
                upstream = machine.upstream
                if upstream.crashed:
                    down_s = self._down_s.setdefault(
                        (upstream.name, len(upstream.crashes)),
                        self._load_rng.uniform(*DOWN_RANGE_S),
                    )
                    if time.monotonic() - upstream.crashes[-1][0] >= down_s:
                        self._end_departure(upstream)
                        self.cold_zones.begin_cold(machine)
                        await self.mesh.restart_upstream(machine, new_id=False)

    def _end_departure(self, upstream: UpstreamStandin) -> None:
        """End the episode of an upstream that was leaving when it crashed."""
        for episode in self.episodes:
            if episode.upstream is upstream and episode.limit_per_s is None:
                self.end_episode(episode)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        request_id: str,
        kind: tuple[str, str, bool] | None = None,
    ) -> None:
        rng = self._load_rng
        machine = rng.choice(self.mesh.machines)
        deadline_ms = rng.choice(DEADLINES_MS)
        call = self.begin_call(request_id, machine, deadline_ms, kind)
        method, path, body = call.sent
        disconnects = rng.random() < DISCONNECT_FRACTION
        max_wait_s = (
            rng.uniform(*DISCONNECT_DELAY_RANGE_S)
            if disconnects
            else call.deadline_s + CALLER_EXTRA_WAIT_S
        )
        headers = {
            "Host": "boards.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        try:
            async with asyncio.timeout(max_wait_s):
                async with session.request(
                    method, machine.url(path), headers=headers, data=body or None
                ) as response:
                    call.signature = response.headers.get("X-Response-Signature", "")
                    call.echoed_id = response.headers.get("X-Request-Id", "")
                    call.limited = "Server-Limit" in response.headers
                    call.leaving = "Server-Leaving" in response.headers
                    call.truncated = True
                    call.body = await response.read()
                    call.status, call.truncated = response.status, False
        except TimeoutError:
            call.disconnected_at = time.monotonic() if disconnects else 0.0
        except aiohttp.ClientError:
            call.status = 0
        self.end_call(call)

    def begin_call(
        self,
        request_id: str,
        machine: Machine,
        deadline_ms: int,
        kind: tuple[str, str, bool] | None = None,
    ) -> Call:
        """Record a request that is sent now, and return it.

        :param kind: one of ``REQUEST_KINDS``, a random one if it is ``None``.
        """
        method, path, at_most_once = kind or self._load_rng.choice(REQUEST_KINDS)
        body = b"fee " + request_id.encode() if at_most_once else b""
        call = Call(
            request_id,
            machine.name,
            machine.zone,
            at_most_once,
            (method, path.format(request_id), body),
            time.monotonic(),
            deadline_ms / 1000,
        )
        self.calls.append(call)
        return call

    def end_call(self, call: Call) -> None:
        """Record that the caller has stopped waiting for a request."""
        call.seconds = time.monotonic() - call.started_at
        self._record_disturbance(call)
        call.ended = True

    def _record_disturbance(self, call: Call) -> None:
        call.disturbed = (
            call.entry in self.unavailable
            or self.disturbed_at.get(call.entry, 0.0) > call.started_at
        )
        call.killed = self.killed_at.get(call.entry, 0.0) > call.started_at

    async def recover(self) -> None:
        """Clear all faults; then all nodes must enforce the newest version in time."""
        await self.delayed.wait_all()
        mesh = self.mesh
        mesh.network.heal()
        mesh.store.fault = ""
        for proxy in mesh.network.proxies:
            proxy.reset()
        await FAULTS.get("accept")(self)
        try:
            async with asyncio.timeout(MAX_RECOVERY_S):
                await self.wait_ready()
        except TimeoutError:
            self.findings.record_violation(
                "all is well after the last fault", self.version
            )

    def check(self) -> None:
        """Check all calls, versions and error records."""
        check_calls(self.mesh, self.calls, self.findings)
        check_versions(self.mesh, self.findings)
        check_crashers(self.mesh, self.crashers, self.findings)
        self.cold_zones.check_cold(self.findings)
        check_statements(self.episodes, self.calls, self._disturbances, self.findings)
        for machine in self.mesh.machines:
            for line in self.mesh.events(machine, "error"):
                self.findings.record_violation("no error inside the program", line)
            memory_mb = machine.max_memory_mb()
            if memory_mb > MAX_MEMORY_MB:
                self.findings.record_violation(
                    "memory is bounded", f"{machine.name}: {memory_mb:.0f} MB"
                )

    def report(self, seed: int) -> dict:
        """Return the summary of the run."""
        served = sorted(c.seconds for c in self.calls if c.status == 200)
        return {
            "seed": seed,
            "processes": len(self.mesh.machines),
            "requests": len(self.calls),
            "answers": dict(Counter(str(call.status) for call in self.calls)),
            "median_ms": round(1000 * served[len(served) // 2], 1) if served else None,
            "versions": self.version,
            "limits": sum(item.limit_per_s is not None for item in self.episodes),
            "departures": sum(item.limit_per_s is None for item in self.episodes),
            "crashers": len(self.crashers),
            "cold": len(self.cold_zones.cold),
            "crashes": sum(len(m.upstream.crashes) for m in self.mesh.machines),
            "faults": dict(self.faults),
            "violations": dict(self.findings.violations),
        }


@FAULTS.register("accept")
async def _accept(soak: Soak) -> None:
    soak.version += soak.rng.randint(1, 3)
    await soak.mesh.put_config(configuration(soak.version))


@FAULTS.register("storm")
async def _storm(soak: Soak) -> None:
    for _ in range(10):
        await _accept(soak)
        await asyncio.sleep(0.03)


async def _kill_machine(soak: Soak, machine: Machine) -> None:
    soak.mark_unavailable(machine, kill=True)
    await soak.mesh.stop_node(machine, signal.SIGKILL)

    async def restart() -> None:
        await soak.mesh.start_node(machine)
        soak.mark_available(machine)

    soak.delayed.add(restart)


@FAULTS.register("kill")
async def _kill(soak: Soak) -> None:
    if machine := soak.pick_machine():
        await _kill_machine(soak, machine)


@FAULTS.register("kill-herd")
async def _kill_herd(soak: Soak) -> None:
    for _ in range(len(soak.mesh.machines) // 2):
        await _kill(soak)


@FAULTS.register("stop")
async def _stop(soak: Soak) -> None:
    machine = soak.pick_machine()
    if machine is None:
        return
    soak.mark_unavailable(machine)
    machine.process.send_signal(signal.SIGTERM)

    async def restart() -> None:
        try:
            async with asyncio.timeout(MAX_STOP_S):
                await machine.process.wait()
        except TimeoutError:
            soak.findings.record_violation("a stopped node ends in time", machine.name)
            await soak.mesh.stop_node(machine, signal.SIGKILL)
        await soak.mesh.start_node(machine)
        soak.mark_available(machine)

    soak.delayed.add(restart)


@FAULTS.register("pause")
async def _pause(soak: Soak) -> None:
    machine = soak.pick_machine()
    if machine is None:
        return
    soak.mark_unavailable(machine)
    machine.process.send_signal(signal.SIGSTOP)

    async def resume() -> None:
        machine.process.send_signal(signal.SIGCONT)
        soak.mark_available(machine)

    soak.delayed.add(resume)


@FAULTS.register("reload")
async def _reload(soak: Soak) -> None:
    machine = soak.pick_machine()
    started = machine and len(soak.mesh.events(machine, "started")) == machine.starts
    if started:
        machine.settings.touch()
        machine.process.send_signal(signal.SIGHUP)


@FAULTS.register("cut")
async def _cut(soak: Soak) -> None:
    mesh, rng = soak.mesh, soak.rng
    zone, *others = rng.sample([mesh.zone_number(zone) for zone in ZONES], 3)
    store = mesh.store_host.split(".")[1]
    peer_zones = rng.choice([others[:1], others, [store], [*others, store]])
    fault = rng.choice(
        [Fault.PARTITION, Fault.SILENT, Fault.SILENT_TO_CLIENT, Fault.DELAY]
    )
    mesh.network.partition(zone, peer_zones, fault)

    async def recover() -> None:
        mesh.network.heal()

    soak.delayed.add(recover)


@FAULTS.register("one-way")
async def _one_way(soak: Soak) -> None:
    numbers = [soak.mesh.zone_number(zone) for zone in ZONES]
    source, destination = soak.rng.sample(numbers, 2)
    soak.mesh.network.set_fault(source, destination, Fault.SILENT)

    async def recover() -> None:
        soak.mesh.network.heal()

    soak.delayed.add(recover)


@FAULTS.register("store")
async def _store(soak: Soak) -> None:
    store, rng = soak.mesh.store, soak.rng
    hosts = [machine.host for machine in soak.mesh.machines]
    store.fault_hosts = (
        set(rng.sample(hosts, len(hosts) // 2)) if rng.random() < 0.5 else ()
    )
    store.fault = rng.choice(["busy", "reset", "silent"])

    async def recover() -> None:
        store.fault = ""

    soak.delayed.add(recover)


@FAULTS.register("history")
async def _history(soak: Soak) -> None:
    soak.mesh.store.compact()


@FAULTS.register("connections")
async def _connections(soak: Soak) -> None:
    machine = soak.rng.choice(soak.mesh.machines)
    proxy = soak.rng.choice([machine.link_proxy, machine.upstream_proxy])
    if soak.rng.random() < 0.5:
        proxy.reset()
    else:
        proxy.silence_open()


@FAULTS.register("upstream")
async def _upstream(soak: Soak) -> None:
    upstream = soak.rng.choice(soak.mesh.machines).upstream
    upstream.fault = soak.rng.choice(
        [
            "lost",
            "cut",
            "cut-head",
            "repeat-refusal",
            "shed",
            "endless-head",
            "endless-body",
            "",
        ]
    )
    upstream.service_time_s = soak.rng.choice([0.01, 0.3])

    async def recover() -> None:
        upstream.fault, upstream.service_time_s = "", 0.01

    soak.delayed.add(recover)


@FAULTS.register("crasher")
async def _crasher(soak: Soak) -> None:
    number = len(soak.crashers) + 1
    crasher = Crasher(f"/panels/crasher-{number}", f"crasher{number}-")
    soak.crashers.append(crasher)
    paths = {item.path for item in soak.crashers}
    for machine in soak.mesh.machines:
        machine.upstream.crashes_on = lambda method, path, body, caller: path in paths
    soak.repetitions.append(
        asyncio.get_running_loop().create_task(soak.call_repeatedly(crasher))
    )


@FAULTS.register("drain")
async def _drain(soak: Soak) -> None:
    machine = soak.rng.choice(soak.mesh.machines)
    await soak.mesh.register(machine, "draining")

    async def ready() -> None:
        await soak.mesh.register(machine)

    soak.delayed.add(ready)


@FAULTS.register("invalid-entry")
async def _invalid_entry(soak: Soak) -> None:
    """Write an invalid registry entry beside the others, or in place of one."""
    store, machine = soak.mesh.store, soak.rng.choice(soak.mesh.machines)
    data = soak.rng.choice(list(INVALID_ENTRIES.values()))
    replaces = soak.rng.random() < 0.5
    key = f"servers/{machine.upstream.name}" if replaces else "servers/invalid"
    await store.put(key, data)

    async def recover() -> None:
        if replaces:
            await soak.mesh.register(machine)
        else:
            await store.delete(key)

    soak.delayed.add(recover)


@FAULTS.register("limit")
async def _limit(soak: Soak) -> None:
    values = soak.rng.choice(LIMITS)
    highest = max((float(v) for v in values if v.replace(".", "").isdigit()), default=0)
    # Values that are no number state nothing, so the upstream may get any rate.
    episode = soak.begin_episode(highest if values[0] != "-1" else float("inf"))
    if episode is None:
        return
    upstream, ends = episode.upstream, asyncio.Event()
    upstream.limit = values[0]

    async def change() -> None:
        for value in itertools.cycle(values):
            if ends.is_set():
                return
            upstream.limit = value
            await asyncio.sleep(LIMIT_CHANGE_S)

    changes = asyncio.get_running_loop().create_task(change())

    async def end() -> None:
        ends.set()
        await changes
        soak.end_episode(episode)

    soak.delayed.add(end, EPISODE_RANGE_S)


@FAULTS.register("evacuate")
async def _evacuate(soak: Soak) -> None:
    """Evacuate a zone for a while."""
    zone = soak.rng.choice(ZONES)
    await soak.mesh.evacuate(zone)

    async def restore() -> None:
        await soak.mesh.restore(zone)

    soak.delayed.add(restore)


@FAULTS.register("cold")
async def _cold(soak: Soak) -> None:
    """Crash an upstream, which then returns cold."""
    machine = soak.pick_machine()
    if machine is not None and not machine.upstream.crashed:
        await machine.upstream.crash()


@FAULTS.register("leave")
async def _leave(soak: Soak) -> None:
    """Let an upstream say that it leaves, whatever the registry says of it.

    It then starts again under its id.
    """
    episode = soak.begin_episode(None)
    if episode is None:
        return
    upstream = episode.upstream
    machine = next(m for m in soak.mesh.machines if m.upstream is upstream)
    upstream.leaving = True
    state = soak.rng.choice(["ready", "draining", "removed"])
    if state == "removed":
        await soak.mesh.store.delete(f"servers/{upstream.name}")
    elif state == "draining":
        await soak.mesh.register(machine, "draining")

    async def again() -> None:
        if upstream.leaving:
            await soak.mesh.register(machine)

    async def restart() -> None:
        soak.end_episode(episode)
        upstream.born_ms += 1000
        await soak.mesh.register(machine)

    soak.delayed.add(again)
    soak.delayed.add(restart, EPISODE_RANGE_S)


async def run_seed(seed: int, seconds: float, processes: int, folder: Path) -> Soak:
    """Run one seed and return the state of the run with its findings."""
    mesh = Mesh(folder, 250, bounds=BOUNDS, network=Network())
    soak = Soak(mesh, seed)
    try:
        await soak.start(processes)
        end = time.monotonic() + seconds
        loop = asyncio.get_running_loop()
        load = [loop.create_task(soak.run_caller(n, end)) for n in range(CALLERS)]
        load += [
            loop.create_task(run_pipelining_caller(soak, n, end))
            for n in range(PIPELINING_CALLERS)
        ]
        load += [
            loop.create_task(part(end))
            for part in (soak.sample, soak.check_while_running, soak.restart_crashed)
        ]
        for kind in ("limit", "leave", "crasher"):
            await FAULTS.get(kind)(soak)
        while time.monotonic() < end:
            kind = soak.rng.choice(FAULTS.names)
            soak.faults[kind] += 1
            await FAULTS.get(kind)(soak)
            await asyncio.sleep(soak.rng.uniform(*FAULT_PAUSE_RANGE_S))
        await asyncio.gather(*load, *soak.repetitions)
        await soak.recover()
        soak.check()
        zone = soak.rng.choice(ZONES)
        await soak.cold_zones.check_evacuation(zone, soak.findings)
    finally:
        for machine in mesh.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGCONT)
        await mesh.stop()
    return soak


def main(
    seed: int = 1,
    minutes: float = 0.5,
    processes: int = 8,
    keep: str = "",
    figures: str = "",
) -> None:
    """Run the soak.

    :param seed: seed of the faults and the load
    :param minutes: duration of the run
    :param processes: number of nodes
    :param keep: directory of the logs, temporary if empty
    :param figures: output file for ``benchmarks.report``, none if empty
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        soak = asyncio.run(run_seed(seed, 60 * minutes, processes, folder))
    if figures:
        title = f"Soak of {processes} nodes, seed {seed}"
        write_figures(Path(figures), soak.figures(title))
    for example in soak.findings.examples:
        print(example)
    print(json.dumps(soak.report(seed)))
    raise SystemExit(1 if soak.findings.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
