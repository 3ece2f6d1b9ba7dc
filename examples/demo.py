"""Demonstrates a request, a version change and the records that explain both."""

__all__ = ["main"]

import asyncio
import signal
import tempfile
from pathlib import Path

import msgspec

from ragwortferry.document.check import load_sections
from ragwortferry.record.explain import explain_request, render
from ragwortferry.record.logfiles import read_lines
from ragwortferry.record.status import render as render_status
from ragwortferry.spread.status import FleetStatus
from standins.fleet import Fleet, wait_until

EXAMPLES = Path(__file__).parent
MAX_SPREAD_S = 20.0
INSTANCES_PER_SERVICE = 3
LOAD_PAUSE_S = 0.02

MESHES = {
    "chamber": {
        "zones": ("sanjose-a", "heredia-b", "cartago-c"),
        "services": ("tablero", "archivo"),
        "request": ("GET", "/panels/7"),
        "edit": ("boards", b"timeout_ms = 2000", b"timeout_ms = 1500"),
    },
    "tahanan": {
        "zones": ("luzon-a", "luzon-b", "luzon-c"),
        "services": ("portfolio", "delivery"),
        "request": ("GET", "/proofs/12"),
        "edit": ("studio", b"timeout_ms = 2000", b"timeout_ms = 1500"),
    },
}


async def _start(fleet: Fleet, mesh: dict) -> None:
    """Start some of the instances that the document lists."""
    for service in mesh["services"]:
        for number in range(INSTANCES_PER_SERVICE):
            zone = mesh["zones"][number]
            await fleet.add(f"{service}-{number + 1}", zone, service)
    fleet.register_all()
    await fleet.spawn_all()


async def _load(fleet: Fleet, mesh: dict, counts_by_status: dict[int, int]) -> None:
    """Send requests to all instances in turn until cancelled, and count statuses."""
    method, path = mesh["request"]
    while True:
        for name in fleet.nodes:
            response = await fleet.call(name, method, path)
            counts_by_status[response.status] = (
                counts_by_status.get(response.status, 0) + 1
            )
            await asyncio.sleep(LOAD_PAUSE_S)


async def _send_request(fleet: Fleet, mesh: dict, request_id: str) -> None:
    method, path = mesh["request"]
    entry = f"{mesh['services'][1]}-2"
    headers = {"X-Request-Id": request_id}
    response = await fleet.call(entry, method, path, headers=headers)
    version = response.headers["X-Ragwortferry-Version"]
    print(f"{method} {path} as {request_id}: {response.status}, version {version}")


async def _run_demo(name: str, mesh: dict, folder: Path) -> None:
    print(f"\n== {name}: {', '.join(mesh['zones'])}")
    texts = load_sections(EXAMPLES / name)
    async with Fleet(folder) as fleet:
        fleet.publish(texts, version=1)
        await _start(fleet, mesh)
        await fleet.wait_version(1, bound_s=MAX_SPREAD_S)
        print(f"version 1 is enforced on {len(fleet.nodes)} instances")
        counts_by_status: dict[int, int] = {}
        load = asyncio.create_task(_load(fleet, mesh, counts_by_status))
        await _send_request(fleet, mesh, f"{name}-before")
        section, old, new = mesh["edit"]
        texts[section] = texts[section].replace(old, new)
        fleet.publish(texts, version=2)
        await fleet.wait_version(2, bound_s=MAX_SPREAD_S)
        await _send_request(fleet, mesh, f"{name}-after")
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        print(f"responses by status while version 2 spread: {counts_by_status}")
        await _print_status(fleet)
    for phase in ("before", "after"):
        request_id = f"{name}-{phase}"
        print(render(explain_request(request_id, read_lines([str(folder)]))))


async def _print_status(fleet: Fleet) -> None:
    observer = next(iter(fleet.nodes))

    async def complete() -> dict | None:
        response = await fleet.status(observer, version=2)
        return response if response["complete"] else None

    response = await wait_until(complete, MAX_SPREAD_S, "status of version 2")
    print(render_status(_to_fleet_status(response)))


def _to_fleet_status(response: dict) -> FleetStatus:
    return msgspec.convert(response, FleetStatus, strict=False)


async def _run() -> None:
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    for name, mesh in MESHES.items():
        with tempfile.TemporaryDirectory() as folder:
            await _run_demo(name, mesh, Path(folder))
    print("\ndone")


def main() -> None:
    """Run the demonstration."""
    try:
        asyncio.run(_run())
    except asyncio.CancelledError:
        raise SystemExit(130) from None


if __name__ == "__main__":
    main()
