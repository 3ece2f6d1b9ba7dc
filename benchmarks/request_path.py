"""Measures the latency that two proxy hops add to a call.

Prints as its last line one JSON object: milliseconds added to a direct call at p50, p99
and p99.9 for several rates, calls per CPU second, and resident memory.
"""

__all__ = ["main"]

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from time import perf_counter

import aiohttp
import fire
import uvloop
from hdrh.histogram import HdrHistogram

from benchmarks.sections import section
from standins.fleet import Fleet, call, free_ports, wait_until

NODE_CALLS_PER_S = 53
SEQUENTIAL = 0
RATES = (
    SEQUENTIAL,
    NODE_CALLS_PER_S,
    2 * NODE_CALLS_PER_S,
    4 * NODE_CALLS_PER_S,
    8 * NODE_CALLS_PER_S,
)
US_PER_S = 1_000_000
MAX_LATENCY_US = 60 * US_PER_S
SIGNIFICANT_DIGITS = 3
QUANTILES = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}
SATURATION_WORKERS = 16
MAX_ADDED_P99_MS = 1.9
MAX_MEMORY_MB = 64


class Caller:
    """Sends calls and records their latency from their scheduled time on."""

    def __init__(self, session: aiohttp.ClientSession, url: str):
        self._session = session
        self._url = url
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.failures = 0

    async def _send(self, due: float) -> None:
        response = await call(self._session, "GET", self._url)
        elapsed = perf_counter() - due
        self.histogram.record_value(max(1, int(elapsed * US_PER_S)))
        self.failures += response.status != 200

    async def send_at_rate(self, rate: float, seconds: float) -> None:
        """Send calls at a fixed rate, regardless of pending responses."""
        loop = asyncio.get_running_loop()
        start, tasks = perf_counter(), []
        for number in range(int(rate * seconds)):
            due = start + number / rate
            await asyncio.sleep(max(0, due - perf_counter()))
            tasks.append(loop.create_task(self._send(due)))
        await asyncio.gather(*tasks)

    async def saturate(self, seconds: float, workers: int) -> float:
        """Send calls sequentially from several workers; return calls per second."""
        end, before = perf_counter() + seconds, self.histogram.get_total_count()

        async def work() -> None:
            while perf_counter() < end:
                await self._send(perf_counter())

        await asyncio.gather(*(work() for _ in range(workers)))
        return (self.histogram.get_total_count() - before) / seconds


def _quantiles(histogram: HdrHistogram) -> dict[str, float]:
    return {
        name: histogram.get_value_at_percentile(at) / 1000
        for name, at in QUANTILES.items()
    }


async def _measure_rate(session, urls: dict[str, str], rate, seconds, turns) -> dict:
    """Measure the direct and the proxied path in turns at one rate."""
    callers = {name: Caller(session, url) for name, url in urls.items()}
    for _ in range(turns):
        for caller in callers.values():
            if rate == SEQUENTIAL:
                await caller.saturate(seconds, workers=1)
            else:
                await caller.send_at_rate(rate, seconds)
    quantiles = {name: _quantiles(caller.histogram) for name, caller in callers.items()}
    added = {
        q: round(quantiles["proxied"][q] - quantiles["direct"][q], 3) for q in QUANTILES
    }
    failures = sum(caller.failures for caller in callers.values())
    return {"rate": rate, "added_ms": added, **quantiles, "failures": failures}


async def _states(fleet: Fleet) -> dict[str, dict]:
    return {name: await fleet.state(name) for name in fleet.nodes}


def _resident_mb(states: dict[str, dict]) -> dict[str, float]:
    return {n: round(u["resident_bytes"] / 2**20, 1) for n, u in states.items()}


async def _start(fleet: Fleet) -> tuple[str, asyncio.subprocess.Process]:
    """Start an entry, an owner and a target; return the target's URL and process."""
    entry = await fleet.add("entry-1", "zone-a", "none")
    owner = await fleet.add("tablero-1", "zone-a", "tablero")
    host = owner.instance.host
    (port,) = free_ports(host, 1)
    target = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "standins.target", f"--port={port}", f"--host={host}"
    )
    owner.target_port = port
    assert entry.instance.zone == owner.instance.zone
    fleet.publish({"boards": section("tablero", ["tablero-1"], ["zone-a"])}, 1)
    fleet.register_all()
    await fleet.spawn_all(heartbeat_s=2.0, silence_s=6.0, status_s=5.0)
    await fleet.wait_version(1)
    return f"http://{host}:{port}", target


async def _is_serving(session, url: str) -> bool:
    try:
        return (await call(session, "GET", url)).status == 200
    except aiohttp.ClientError:
        return False


async def _saturate(session: aiohttp.ClientSession, url: str, seconds: float) -> float:
    return await Caller(session, url).saturate(seconds, SATURATION_WORKERS)


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1024):
        writer.write(data)
    writer.close()


async def _measure_echo(seconds: float) -> dict[str, float]:
    """Return the latency of a bare TCP echo on this host at the rate of a node."""
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for _ in range(int(NODE_CALLS_PER_S * seconds)):
        start = perf_counter()
        writer.write(b"x")
        await reader.read(1024)
        histogram.record_value(max(1, int((perf_counter() - start) * US_PER_S)))
        await asyncio.sleep(1 / NODE_CALLS_PER_S)
    writer.close()
    server.close()
    return _quantiles(histogram)


async def _measure(seconds: float, turns: int) -> dict:
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder)) as fleet:
            base, target = await _start(fleet)
            try:
                return await _measure_rates(fleet, base, seconds, turns)
            finally:
                target.kill()
                await target.wait()


async def _measure_rates(fleet: Fleet, base: str, seconds: float, turns: int) -> dict:
    session = fleet.session
    proxied = fleet.nodes["entry-1"].url
    urls = {"direct": f"{base}/tablero/1", "proxied": f"{proxied}/tablero/1"}
    for url in urls.values():
        await wait_until(lambda url=url: _is_serving(session, url), 10, url)
        await Caller(session, url).send_at_rate(NODE_CALLS_PER_S, 1.0)
    idle = await _states(fleet)
    rates = []
    for rate in RATES:
        rates.append(await _measure_rate(session, urls, rate, seconds, turns))
        print(json.dumps(rates[-1]), flush=True)
    before = await _states(fleet)
    saturated = {}
    for name, url in urls.items():
        saturated[name] = round(await _saturate(session, url, seconds), 1)
    after = await _states(fleet)
    calls = saturated["proxied"] * seconds
    cpu = {name: after[name]["cpu_s"] - before[name]["cpu_s"] for name in after}
    return {
        "bare_echo_ms": await _measure_echo(seconds),
        "rates": rates,
        "saturated_calls_per_s": saturated,
        "calls_per_cpu_s": {name: round(calls / used) for name, used in cpu.items()},
        "resident_mb_rest": _resident_mb(idle),
        "resident_mb_load": _resident_mb(after),
        "threads": {name: states["threads"] for name, states in after.items()},
        "within": {
            "added_p99": {
                str(item["rate"]): item["added_ms"]["p99"] <= MAX_ADDED_P99_MS
                for item in rates
            },
            "memory": max(_resident_mb(after).values()) <= MAX_MEMORY_MB,
        },
    }


def main(seconds: float = 5.0, turns: int = 3) -> None:
    """Run the benchmark.

    :param seconds: duration of a measurement
    :param turns: measurements of each path at each rate
    """
    uvloop.install()
    print(json.dumps(asyncio.run(_measure(seconds, turns))))


if __name__ == "__main__":
    fire.Fire(main)
