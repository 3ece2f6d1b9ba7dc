"""Stand-ins of store, upstreams and platform, and real nodes on loopback addresses."""

__all__ = ["Case", "Machine", "Mesh", "Store", "Upstream", "a_rule"]

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

from review.common.http import Answer, Message, Server, request

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "boards.example"
# Time that an answer of the store takes.
ANSWER_S = 0.004
READY_TIMEOUT_S = 25.0


class Store:
    """The platform's store: reads, ranges and watches of items with revisions.

    While ``down`` is set it resets all connections. ``era`` is the value of the header
    ``Store-Era`` in all its answers.
    """

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 100
        self.era = 1
        self.down = False
        # All writes: time, revision, key and value, ``None`` for a removal.
        self.writes: list[tuple[float, int, str, bytes | None]] = []
        self._changed = asyncio.Condition()
        self.server = Server(self._answer)

    async def put(self, key: str, value: bytes) -> float:
        """Write an item and return the time of the acknowledgement."""
        async with self._changed:
            self.revision += 1
            known = self.items.get(key)
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "rev": self.revision,
                "created_rev": known["created_rev"] if known else self.revision,
                "lease": 0,
            }
            self.events.append(self.items[key])
            self.writes.append((time.monotonic(), self.revision, key, value))
            self._changed.notify_all()
            return time.monotonic()

    async def delete(self, key: str) -> float:
        """Remove an item and return the time of the acknowledgement."""
        async with self._changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append({"key": key, "rev": self.revision, "removed": True})
            self.writes.append((time.monotonic(), self.revision, key, None))
            self._changed.notify_all()
            return time.monotonic()

    def copy(self) -> tuple[dict, list, int]:
        """Return a copy of what the store holds."""
        return dict(self.items), list(self.events), self.revision

    def restore(self, copy: tuple[dict, list, int]) -> None:
        """Come back from a copy: later writes are gone, revisions go back."""
        self.items, self.events, self.revision = dict(copy[0]), list(copy[1]), copy[2]
        self.era += 1

    def go_down(self) -> None:
        """Reset all connections, and each new one, until ``down`` is cleared."""
        self.down = True
        for writer in list(self.server.writers):
            writer.transport.abort()

    async def _answer(self, message: Message, writer) -> Answer | None:
        if self.down:
            return None
        era = self.era
        status, content = await self._serve(message)
        if self.down or era != self.era:
            return None
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return status, headers, json.dumps(content).encode()

    async def _serve(self, message: Message) -> tuple[int, dict]:
        target = urlsplit(message.start[1])
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        if target.path == "/-/kv-key":
            item = self.items.get(query["key"])
            found = {**(item or {}), "store_revision": self.revision}
            return (200 if item else 404), found
        prefix = query["prefix"]
        if target.path == "/-/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {
                "items": items,
                "has_more": more,
                "store_revision": self.revision,
            }
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        if after > self.revision:
            return 410, {}

        def pending() -> list[dict]:
            return [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(pending)
        await asyncio.sleep(ANSWER_S)
        return 200, {"events": pending(), "store_revision": self.revision}


class Upstream:
    """An upstream that runs ``slots`` requests at a time and records each of them.

    :ivar work_s: returns how long a request runs, by its path.
    """

    def __init__(self, name: str, service: str, zone: str, slots: int):
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.work_s: Callable[[str], float] = lambda path: 0.02
        self.address = ""
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.leaving = False
        # Time and id of each request that reached this upstream and was not refused.
        self.arrivals: list[tuple[float, str]] = []
        self.runs: Counter[str] = Counter()
        self.running = 0
        self._free = asyncio.Semaphore(slots)
        self.server = Server(self._answer)

    def entry(self, state: str = "ready", cold_s: float = 0.0) -> bytes:
        """Return what the upstream writes about itself into the store."""
        self.seq += 1
        info = {"service": self.service, "version": "v1", "zone": self.zone}
        status = {"state": state, "seq": self.seq, "cold_remaining_s": cold_s}
        content = {
            "address": self.address,
            "info": {**info, "slots": self.slots},
            "status": status,
            "born": self.born_ms,
        }
        return json.dumps(content).encode()

    async def _answer(self, message: Message, writer) -> Answer | None:
        path = message.start[1]
        request_id = message.headers.get("x-request-id", "")
        if path == "/health":
            status = 503 if self.leaving else 200
            return status, {"X-Instance-Id": self.name}, b""
        headers = {"X-Request-Id": request_id}
        if message.headers.get("x-target-instance", self.name) != self.name:
            headers |= {"X-Instance-Id": self.name, "X-Not-Executed": "1"}
            return 421, headers, b""
        self.arrivals.append((time.monotonic(), request_id))
        if self.running >= self.slots + 4:
            return 503, {**headers, "X-Not-Executed": "1"}, b""
        self.running += 1
        try:
            async with self._free:
                self.runs[request_id] += 1
                await asyncio.sleep(self.work_s(path))
        finally:
            self.running -= 1
        headers["X-Response-Signature"] = f"{self.name}.{request_id}"
        if self.leaving:
            headers["Connection"] = "close"
        return 200, headers, f"{self.name} ran {request_id}".encode()


class Machine:
    """An instance: an upstream and its node, a real process."""

    def __init__(self, name: str, host: str, zone: str, upstream: Upstream):
        self.name, self.host, self.zone, self.upstream = name, host, zone, upstream
        self.settings: Path | None = None
        self.log: Path | None = None
        self.process: asyncio.subprocess.Process | None = None


def a_rule(name: str, service: str, route_type: str = "safe", **changes) -> dict:
    """Return a rule of a configuration, for the prefix ``/NAME/``."""
    action = {"service": service, "timeout_s": 1, "max_attempts": 2}
    action["timeout_s"] = changes.pop("timeout_s", 1)
    return {
        "name": name,
        "route_type": route_type,
        "target_latency_s": 0.5,
        "priority": 2,
        "match": {"prefix": f"/{name}/"},
        "action": action,
        **changes,
    }


class Mesh:
    """A store, upstreams and nodes on loopback addresses.

    :param folder: temporary directory of the settings files and logs.
    :param bounds: bounds of the settings that differ from the small deployment's.
    """

    def __init__(self, folder: Path, bounds: dict | None = None):
        self._folder = folder
        rng = random.Random()
        self._net = f"127.{rng.randrange(20, 220)}.{rng.randrange(1, 250)}"
        self._bounds = {
            "stable_window_s": 3,
            "drain_s": 2,
            "grace_s": 6,
            "config_apply_s": 2,
            "retry_budget_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 64,
            **(bounds or {}),
        }
        self.store = Store()
        self.machines: list[Machine] = []
        self._ports = _free_ports(f"{self._net}.1", 6)
        self.outbound_port = self._ports[0]
        # Address of the store for the nodes; a case may put a proxy there.
        self.store_host = f"{self._net}.250"
        self.store_port = self._ports[4]
        self.node_store_port = self._ports[4]

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.server.start(self.store_host, self.store_port)

    @property
    def spare_port(self) -> int:
        """Return a further free port, for a proxy before the store."""
        return self._ports[5]

    async def add(self, service: str, zone: str, slots: int = 8) -> Machine:
        """Start an upstream, and prepare its node."""
        number = len(self.machines) + 1
        host = f"{self._net}.{number}"
        upstream = Upstream(f"i-{number:04x}", service, zone, slots)
        upstream.address = f"{host}:{self._ports[3]}"
        await upstream.server.start(host, self._ports[3])
        machine = Machine(f"sidecar-{zone}-{number}", host, zone, upstream)
        machine.settings = self._folder / f"{machine.name}.toml"
        machine.log = self._folder / f"{machine.name}.log"
        machine.settings.write_text(self._settings(machine))
        self.machines.append(machine)
        return machine

    def _settings(self, machine: Machine) -> str:
        outbound, ready, inbound, upstream = self._ports[:4]
        host = machine.host
        bounds = [f"{name} = {value}" for name, value in self._bounds.items()]
        zones = sorted({item.zone for item in [*self.machines, machine]})
        return "\n".join(
            [
                f'node = "{machine.name}"',
                'role = "node"',
                'machine_class = "sidecar"',
                'serves = ["sidecar", "control_plane"]',
                f'ip = "{host}"',
                f'zone = "{machine.zone}"',
                'region = "r"',
                f"internal_port_range = [{inbound}, {inbound}]",
                "seeds = []",
                "bootstrap = true",
                "heartbeat_s = 1.5",
                f'app_addr = "{host}:{upstream}"',
                f'service = "{machine.upstream.service}"',
                "[zones]",
                *[f'{zone} = "r"' for zone in zones],
                "[listen]",
                f'inbound = "{host}:{inbound}"',
                f'outbound = "{host}:{outbound}"',
                f'ready = "{host}:{ready}"',
                "[limits]",
                "memory_mb = 300",
                "link_mbps = 1000.0",
                "[bounds]",
                *bounds,
                "[provider]",
                f'address = "{self.store_host}:{self.node_store_port}"',
                "reads_per_s = 2000",
                "",
            ]
        )

    async def register(
        self, machine: Machine, state: str = "ready", cold_s: float = 0.0
    ) -> float:
        """Write the entry of an upstream; return when that is acknowledged."""
        entry = machine.upstream.entry(state, cold_s)
        return await self.store.put(f"servers/{machine.upstream.name}", entry)

    async def unregister(self, machine: Machine) -> float:
        """Remove the entry of an upstream; return when that is acknowledged."""
        return await self.store.delete(f"servers/{machine.upstream.name}")

    async def put_config(self, version: int, rules: list[dict]) -> float:
        """Write a configuration; return when that is acknowledged."""
        services = sorted({m.upstream.service for m in self.machines})
        limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864}
        content = {
            "version": f"r{version}",
            "limits": {**limits, "header_timeout_s": 3, "idle_timeout_s": 15},
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [
                {"name": name, "health_path": "/health", "max_connections": 130}
                for name in services
            ],
        }
        return await self.store.put("op/config", json.dumps(content).encode())

    async def start_nodes(self) -> None:
        """Start all nodes with the command of the deploy file."""
        passed = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
        for machine in self.machines:
            environ = {
                **passed,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "RAGWORTFERRY_SETTINGS": str(machine.settings),
            }
            with machine.log.open("ab") as log:
                machine.process = await asyncio.create_subprocess_exec(
                    "python3",
                    "-m",
                    "ragwortferry",
                    "node",
                    env=environ,
                    cwd=ROOT,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )

    async def wait_ready(self) -> None:
        """Wait until the platform's probe finds all nodes ready.

        :raises TimeoutError: if one is not in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            for machine in self.machines:
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.1)

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a node answers the platform's probe with 200."""
        found = await request(machine.host, self._ports[1], "/-/ready", timeout_s=1.0)
        return found is not None and found.status == 200

    async def send(
        self, machine: Machine, path: str, request_id: str, deadline_ms: int = 2000
    ) -> Message | None:
        """Send a request to a node on a new connection and return its response."""
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        return await request(
            machine.host,
            self.outbound_port,
            path,
            headers,
            timeout_s=deadline_ms / 1000 + 1,
        )

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGKILL)
                await machine.process.wait()
            await machine.upstream.server.stop()
        await self.store.server.stop()


class Case:
    """Runs a case, and keeps its record.

    :param folder: folder of the case.
    :param trouble: whether the disruption takes place.
    """

    def __init__(self, folder: Path, trouble: bool):
        self._record = (folder / "record.txt").open("w")
        self._start = time.monotonic()
        self.trouble = trouble

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line into the record, with the seconds since the start."""
        at = time.monotonic() if at is None else at
        self._record.write(f"{at - self._start:9.3f} {text}\n")

    def show(self, text: str) -> None:
        """Write a line into the record and to standard output."""
        self.note(text)
        print(text)

    def run(self, play: Callable[["Case", Mesh], Awaitable[bool]], bounds=None) -> None:
        """Run a case on a new mesh and exit with its result.

        :param play: returns whether the rule held.
        """
        sys.exit(asyncio.run(self._run(play, bounds)))

    async def _run(self, play, bounds) -> int:
        if not (ROOT / "target" / "deps").is_dir():
            self.show("target/deps is missing: run the build of the deploy file")
            return NOT_RUN
        folder = Path(tempfile.mkdtemp(prefix="review-"))
        mesh = Mesh(folder, bounds)
        self.note(f"trouble: {self.trouble}")
        try:
            async with asyncio.timeout(110):
                held = await play(self, mesh)
        except (TimeoutError, OSError, AssertionError) as error:
            self.show(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            await mesh.stop()
            for key in sorted(mesh.store.writes):
                at, revision, name, value = key
                text = "removed" if value is None else value.decode()[:160]
                self.note(f"store write {revision} {name} {text}", at)
            for machine in mesh.machines:
                for at, request_id in machine.upstream.arrivals:
                    self.note(f"arrival {machine.upstream.name} {request_id}", at)
            self._record.close()
            if os.environ.get("KEEP"):
                print(f"logs in {folder}")
            else:
                shutil.rmtree(folder, ignore_errors=True)
        return HELD if held else BROKEN


def _free_ports(host: str, count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()
