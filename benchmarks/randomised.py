"""Runs a fleet under seeded random faults and checks its invariants.

Prints as its last line one JSON object: seed, faults by kind, requests, responses by
outcome, accepted versions, and violations by invariant. The exit code is 1 if there is
a violation.
"""

__all__ = ["Result", "main", "run_seed"]

import asyncio
import json
import random
import signal
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import fire

from benchmarks.delayed import DelayedActions
from benchmarks.sections import section
from ragwortferry.composition import EXIT_INVARIANT
from ragwortferry.record.explain import explain_request, render
from ragwortferry.record.logfiles import read_lines
from ragwortferry.utils.registry import Registry
from standins.fleet import Fleet, wait_until
from standins.network import Fault
from standins.platform import Faults
from standins.target import Behaviour

INSTANCES = 6
ZONES = ("zone-a", "zone-b")
SERVICE = "tablero"
FAULT_PAUSE_RANGE_S = (0.3, 1.0)
FAULT_DURATION_RANGE_S = (0.3, 2.0)
LOAD_WORKERS = 8
LOAD_PAUSE_S = 0.02
# Limits for: a response, new requests at a stopped instance, recovery from all faults.
MAX_RESPONSE_S = 4.0
MAX_DRAIN_S = 3.0
MAX_RECOVERY_S = 16.0
MAX_EXAMPLES = 5
TIMEOUT_MS = 1_500

FaultAction = Callable[["Run"], Awaitable[None]]
FAULTS: Registry[FaultAction] = Registry("fault")


@dataclass
class Result:
    """Statistics and violations of a run."""

    seed: int
    faults: Counter = field(default_factory=Counter)
    requests: int = 0
    outcomes: Counter = field(default_factory=Counter)
    accepted: int = 0
    violations: Counter = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)

    def record_violation(self, invariant: str, example: str) -> None:
        """Count a violation and keep the first examples."""
        self.violations[invariant] += 1
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(f"{invariant}: {example}")


@dataclass
class Call:
    """A request and the response that its caller received.

    :param outcome: outcome header of the response, ``broken`` without a response.
    """

    request_id: str
    entry: str
    payment: bool
    outcome: str
    status: int
    version: int
    digest: str
    seconds: float


class Run:
    """State of one randomised run over a fleet."""

    def __init__(self, fleet: Fleet, seed: int):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self._load_rng = random.Random(seed + 1)
        self.result = Result(seed)
        self.calls: list[Call] = []
        self.digests: dict[int, str] = {}
        self.invalid_versions: set[int] = set()
        self.version = 0
        self.paused: set[str] = set()
        self.down: set[str] = set()
        self.stops: list[tuple[str, float]] = []
        self.disturbed_at: dict[str, float] = defaultdict(float)
        self.delayed = DelayedActions(self.rng, FAULT_DURATION_RANGE_S)

    # Versions

    def texts(self, valid: bool = True) -> dict[str, bytes]:
        """Return a document that differs from the previous one.

        :param valid: whether all its routes refer to known services.
        """
        names = [f"{SERVICE}-{n + 1}" for n in range(INSTANCES)]
        text = section(SERVICE, names, ZONES, edit=self.version % 500)
        text = text.replace(b"timeout_ms = 2", b"timeout_ms = 1")
        if not valid:
            text = text.replace(b'service = "tablero"', b'service = "gone"', 1)
        return {"boards": text}

    def accept(self, valid: bool = True) -> None:
        """Publish and accept the next version."""
        self.version += 1
        digest = self.fleet.publish(self.texts(valid), self.version)
        self.digests[self.version] = digest
        self.result.accepted += 1
        if not valid:
            self.invalid_versions.add(self.version)

    # Processes

    def running(self) -> list[str]:
        """Return the instances whose process is neither down nor paused."""
        return [n for n in self.fleet.nodes if n not in self.down | self.paused]

    def pick_running(self) -> str:
        """Return a random running instance."""
        return self.rng.choice(self.running())

    async def respawn(self, name: str) -> None:
        """Restart the process of an instance once the old one has exited."""
        process = self.fleet.nodes[name].process
        code = await process.wait()
        if code == EXIT_INVARIANT:
            self.result.record_violation(
                "inside the program", f"{name} exited with {code}"
            )
        self.down.add(name)
        await self.fleet.spawn(name, seeds=self.seeds(name))
        self.down.discard(name)
        self.disturbed_at[name] = time.time()

    def seeds(self, name: str) -> str:
        """Return the link addresses of two random other instances."""
        others = [node.listed for key, node in self.fleet.nodes.items() if key != name]
        picked = self._load_rng.sample(others, 2)
        return ",".join(f"{item.host}:{item.link_port}" for item in picked)

    # Load

    async def load(self, worker: int, end: float) -> None:
        """Send lookups and payments alternately until the end of the run."""
        number = 0
        while time.monotonic() < end:
            number += 1
            payment = number % 2 == 0
            name = self._load_rng.choice(list(self.fleet.nodes))
            await self._send(f"{worker}-{number}", name, payment)
            await asyncio.sleep(LOAD_PAUSE_S)

    async def _send(self, request_id: str, entry: str, payment: bool) -> None:
        path = f"/{SERVICE}/pay" if payment else f"/{SERVICE}/{request_id}"
        method = "POST" if payment else "GET"
        headers = {"X-Request-Id": request_id}
        start = time.monotonic()
        call = Call(request_id, entry, payment, "broken", 0, 0, "", 0.0)
        try:
            response = await self.fleet.call(
                entry,
                method,
                path,
                headers=headers,
                data=b"fee" if payment else None,
                timeout=aiohttp.ClientTimeout(total=15),
            )
            call.status = response.status
            call.outcome = response.headers.get("X-Ragwortferry-Outcome", "none")
            call.version = int(response.headers.get("X-Ragwortferry-Version", 0))
            call.digest = response.headers.get("X-Ragwortferry-Digest", "")
            self._check_body(call, response.body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        call.seconds = time.monotonic() - start
        self.calls.append(call)
        self._check_time(call)

    def _check_body(self, call: Call, body: bytes) -> None:
        if call.status == 200 and json.loads(body)["id"] != call.request_id:
            self.result.record_violation("own whole answer", call.request_id)

    def _check_time(self, call: Call) -> None:
        """Check the response time if the entry was neither paused nor restarted."""
        undisturbed = time.time() - self.disturbed_at[call.entry] > call.seconds + 1
        if call.outcome != "broken" and undisturbed and call.entry not in self.paused:
            if call.seconds > MAX_RESPONSE_S:
                self.result.record_violation("answered at once", f"{call}")

    # Checks at the end

    def check_requests(self) -> None:
        """Compare responses with the requests that the targets ran."""
        runs: Counter = Counter()
        for node in self.fleet.nodes.values():
            runs.update(run.request_id for run in node.target.ledger)
        for call in self.calls:
            self.result.requests += 1
            self.result.outcomes[call.outcome] += 1
            count = runs[call.request_id]
            if call.payment and count > 1:
                self.result.record_violation(
                    "at most once", f"{call} ran {count} times"
                )
            if call.outcome == "not-run" and count:
                self.result.record_violation(
                    "not run is true", f"{call} ran {count} times"
                )
            if call.outcome == "ran" and not count:
                self.result.record_violation("ran is true", f"{call}")
            if call.digest and self.digests.get(call.version) != call.digest:
                self.result.record_violation("version names its content", f"{call}")
            if call.version in self.invalid_versions:
                self.result.record_violation("bad version not enforced", f"{call}")

    def check_versions(self) -> None:
        """Check the versions that each instance enforced, across restarts."""
        for name in self.fleet.nodes:
            last = 0
            for event in self.fleet.events(name, "enforced"):
                version = event["version"]
                if version < last:
                    self.result.record_violation(
                        "never back", f"{name}: {version} after {last}"
                    )
                if self.digests[version] != event["digest"]:
                    self.result.record_violation(
                        "one content a version", f"{name}: {version}"
                    )
                if version in self.invalid_versions:
                    self.result.record_violation("bad version not enforced", f"{name}")
                last = max(last, version)

    def check_stops(self) -> None:
        """Check that no request started later than ``MAX_DRAIN_S`` after a stop."""
        for name, at in self.stops:
            started = [
                event["timestamp"] for event in self.fleet.events(name, "started")
            ]
            until = min((time for time in started if time > at), default=float("inf"))
            for run in self.fleet.nodes[name].target.ledger:
                if at + MAX_DRAIN_S < run.at < until:
                    self.result.record_violation(
                        "no new work while leaving", f"{name}: {run}"
                    )

    def explain_examples(self, folder: Path) -> None:
        """Add the explained records of the requests in the examples."""
        for example in list(self.result.examples):
            for call in self.calls:
                if f"request_id='{call.request_id}'" in example:
                    lines = read_lines([str(folder)], call.request_id)
                    text = render(explain_request(call.request_id, lines))
                    self.result.examples.append(text)


# Faults


@FAULTS.register("accept")
async def _accept(run: Run) -> None:
    run.accept()


@FAULTS.register("accept-bad")
async def _accept_bad(run: Run) -> None:
    run.accept(valid=False)


@FAULTS.register("kill")
async def _kill(run: Run) -> None:
    name = run.pick_running()
    if len(run.running()) > 2:
        await _kill_instance(run, name)


async def _kill_instance(run: Run, name: str) -> None:
    run.disturbed_at[name] = time.time()
    run.down.add(name)
    run.fleet.kill(name)
    run.delayed.add(lambda: run.respawn(name))


@FAULTS.register("kill-herd")
async def _kill_herd(run: Run) -> None:
    for name in run.rng.sample(run.running(), max(0, len(run.running()) - 2)):
        await _kill_instance(run, name)


@FAULTS.register("stop")
async def _stop(run: Run) -> None:
    if len(run.running()) > 2:
        name = run.pick_running()
        run.disturbed_at[name] = time.time()
        run.down.add(name)
        run.stops.append((name, time.time()))
        run.fleet.signal(name, signal.SIGTERM)
        run.delayed.add(lambda: run.respawn(name))


@FAULTS.register("pause")
async def _pause(run: Run) -> None:
    if len(run.running()) > 2:
        name = run.pick_running()
        run.paused.add(name)
        run.fleet.signal(name, signal.SIGSTOP)

        async def resume() -> None:
            run.fleet.signal(name, signal.SIGCONT)
            run.disturbed_at[name] = time.time()
            run.paused.discard(name)

        run.delayed.add(resume)


@FAULTS.register("zone-cut")
async def _zone_cut(run: Run) -> None:
    numbers = [run.fleet.zone_number(zone) for zone in ZONES]
    fault = run.rng.choice(
        [Fault.PARTITION, Fault.SILENT, Fault.SILENT_TO_CLIENT, Fault.DELAY]
    )
    others = run.rng.choice([["9"], [numbers[1]], ["9", numbers[1]]])
    run.fleet.network.partition(numbers[0], others, fault)

    async def heal() -> None:
        run.fleet.network.heal()

    run.delayed.add(heal)


@FAULTS.register("platform")
async def _platform(run: Run) -> None:
    writes = run.fleet.platform.revision
    faults = run.rng.choice(
        [
            Faults(outage=True),
            Faults(frozen=True),
            Faults(rewound=run.rng.randint(max(1, writes // 2), writes)),
            Faults(delay_s=0.3),
        ]
    )
    run.fleet.platform.set_faults(faults)

    async def heal() -> None:
        run.fleet.platform.set_faults(Faults())

    run.delayed.add(heal)


@FAULTS.register("silence")
async def _silence(run: Run) -> None:
    port_name = run.rng.choice(["link", "owner"])
    run.fleet.nodes[run.pick_running()].proxies[port_name].silence_open()


@FAULTS.register("reset")
async def _reset(run: Run) -> None:
    port_name = run.rng.choice(["link", "owner"])
    run.fleet.nodes[run.pick_running()].proxies[port_name].reset()


@FAULTS.register("target")
async def _target(run: Run) -> None:
    node = run.fleet.nodes[run.pick_running()]
    node.target.behaviour = run.rng.choice(
        [
            Behaviour(reset=True),
            Behaviour(silent=True),
            Behaviour(shed=True),
            Behaviour(delay_s=0.3, slots=2),
        ]
    )

    async def heal() -> None:
        node.target.behaviour = Behaviour()

    run.delayed.add(heal)


async def _start(run: Run) -> None:
    fleet = run.fleet
    for number in range(INSTANCES):
        zone = ZONES[number % len(ZONES)]
        await fleet.add(f"{SERVICE}-{number + 1}", zone, SERVICE)
    run.accept()
    fleet.register_all()
    await fleet.spawn_all()
    await fleet.wait_version(1)


async def _recover(run: Run) -> None:
    """Clear all faults and check that the fleet converges."""
    await run.delayed.wait_all()
    fleet = run.fleet
    fleet.network.heal()
    fleet.platform.set_faults(Faults())
    for proxy in fleet.network.proxies:
        proxy.reset()
    run.accept()
    try:
        await fleet.wait_version(run.version, bound_s=MAX_RECOVERY_S)

        async def complete() -> bool:
            return (await fleet.status(f"{SERVICE}-1"))["complete"]

        await wait_until(complete, MAX_RECOVERY_S, "status is complete")
    except AssertionError as error:
        versions = await fleet.versions()
        run.result.record_violation("in force everywhere", f"{error}: {versions}")


async def run_seed(seed: int, seconds: float, folder: Path) -> Result:
    """Run one seed and return the statistics and violations."""
    async with Fleet(folder, fault_proxies=True) as fleet:
        run = Run(fleet, seed)
        await _start(run)
        end = time.monotonic() + seconds
        loads = [
            asyncio.get_running_loop().create_task(run.load(worker, end))
            for worker in range(LOAD_WORKERS)
        ]
        while time.monotonic() < end:
            kind = run.rng.choice(FAULTS.names)
            run.result.faults[kind] += 1
            await FAULTS.get(kind)(run)
            await asyncio.sleep(run.rng.uniform(*FAULT_PAUSE_RANGE_S))
        await asyncio.gather(*loads)
        await _recover(run)
        run.check_requests()
        run.check_versions()
        run.check_stops()
        run.explain_examples(folder)
    return run.result


def main(seed: int = 1, seconds: float = 20.0, keep: str = "") -> None:
    """Run one seed.

    :param seed: seed of the faults and the load
    :param seconds: duration of the run
    :param keep: directory of the logs, temporary if empty
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        result = asyncio.run(run_seed(seed, seconds, folder))
    for example in result.examples:
        print(example)
    print(
        json.dumps(
            {
                "seed": seed,
                "faults": result.faults,
                "requests": result.requests,
                "answers": result.outcomes,
                "accepted": result.accepted,
                "violations": result.violations,
            }
        )
    )
    raise SystemExit(1 if result.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
