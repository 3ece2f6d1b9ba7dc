"""Builders for test data and test doubles."""

import asyncio
import random
from dataclasses import dataclass, field

import eliot

from ragwortferry.document.models import Manifest
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log, LogContext
from ragwortferry.source.port import Instance, InstanceChange
from ragwortferry.spread.store import VersionStore, compress_text
from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.digests import content_digest

ZONES = ("zone-a", "zone-b", "zone-c")


def section(
    service: str = "tablero",
    upstreams: int = 2,
    routes: str = "",
    timeout_ms: int = 2000,
    zones: tuple[str, ...] = ZONES,
    extra: str = "",
) -> bytes:
    """Return the TOML text of a section with one service and two routes.

    :param routes: TOML text of further routes.
    :param zones: zones over which the upstreams are distributed in turn.
    :param extra: TOML text of further fields of the service.
    """
    upstream_lines = "\n".join(
        f'  {{ name = "{service}-{n + 1}", zone = "{zones[n % len(zones)]}" }},'
        for n in range(upstreams)
    )
    text = f"""
team = "{service}"
[[services]]
name = "{service}"
slow_start_s = 0
{extra}
upstreams = [
{upstream_lines}
]
[[routes]]
name = "{service}-read"
prefix = "/{service}"
service = "{service}"
methods = ["GET"]
idempotent = true
timeout_ms = {timeout_ms}
retries = 2
[[routes]]
name = "{service}-pay"
prefix = "/{service}/pay"
service = "{service}"
methods = ["POST", "GET"]
timeout_ms = {timeout_ms}
{routes}
"""
    return text.encode()


def manifest(texts: dict[str, bytes], version: int = 1, base: int = 0) -> Manifest:
    """Return the manifest for section texts."""
    digests = {name: content_digest(text) for name, text in texts.items()}
    return Manifest(version, base, digests)


def compressed(texts: dict[str, bytes]) -> dict[str, bytes]:
    """Return the compressed texts by their digest."""
    return {content_digest(text): compress_text(text) for text in texts.values()}


def instance(name: str, zone: str = "zone-a", **fields) -> Instance:
    """Return an entry of the instance list."""
    values = {
        "region": "north",
        "host": "127.0.0.1",
        "listen_port": 1,
        "owner_port": 2,
        "link_port": 3,
        **fields,
    }
    return Instance(name, zone, **values)


def instance_list(items: list[Instance], revision: int = 1) -> InstanceChange:
    """Return a change that replaces the whole instance list."""
    return InstanceChange(revision, True, items, [])


def log() -> Log:
    """Return a log with the prefix ``test`` and no destination of its own."""
    return Log(LogContext("test", "zone-a", HybridClock()), "test")


def store() -> VersionStore:
    """Return an empty version store."""
    return VersionStore(log())


def kernel() -> Kernel:
    """Return an empty kernel."""
    return Kernel(log())


def rng() -> random.Random:
    """Return a random number generator with a fixed seed."""
    return random.Random(7)


async def enforce(target: VersionStore, texts: dict[str, bytes], version: int):
    """Apply a version to a store and return the result."""
    return await target.apply(manifest(texts, version), compressed(texts), via="test")


@dataclass
class FakeClock:
    """Clock that tests advance by hand.

    :param now: current time in seconds.
    """

    now: float = 100.0

    def __call__(self) -> float:
        """Return the current time."""
        return self.now


@dataclass
class CapturedLog:
    """Context manager that collects the log lines written inside it."""

    lines: list[dict] = field(default_factory=list)

    def __enter__(self):
        eliot.add_destinations(self.lines.append)
        return self

    def __exit__(self, *_exc):
        eliot.remove_destination(self.lines.append)


def run(coroutine):
    """Run a coroutine to completion and return its result."""
    return asyncio.run(coroutine)
