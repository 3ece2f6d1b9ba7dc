"""Shows a request served, a change accepted and enforced, and both explained."""

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
SPREAD_BOUND_S = 20.0
SHOWN_PER_SERVICE = 3
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
    """Start a part of the instances that the document names."""
    for service in mesh["services"]:
        for number in range(SHOWN_PER_SERVICE):
            zone = mesh["zones"][number]
            await fleet.add(f"{service}-{number + 1}", zone, service)
    fleet.register_all()
    await fleet.spawn_all()


async def _load(fleet: Fleet, mesh: dict, count: dict[int, int]) -> None:
    """Send requests to all instances in turn until cancelled."""
    method, path = mesh["request"]
    while True:
        for name in fleet.nodes:
            answer = await fleet.call(name, method, path)
            count[answer.status] = count.get(answer.status, 0) + 1
            await asyncio.sleep(LOAD_PAUSE_S)


async def _named_request(fleet: Fleet, mesh: dict, request_id: str) -> None:
    method, path = mesh["request"]
    entry = f"{mesh['services'][1]}-2"
    headers = {"X-Request-Id": request_id}
    answer = await fleet.call(entry, method, path, headers=headers)
    version = answer.headers["X-Ragwortferry-Version"]
    print(f"{method} {path} as {request_id}: {answer.status}, version {version}")


async def _show(name: str, mesh: dict, folder: Path) -> None:
    print(f"\n== {name}: {', '.join(mesh['zones'])}")
    texts = load_sections(EXAMPLES / name)
    async with Fleet(folder) as fleet:
        fleet.publish(texts, version=1)
        await _start(fleet, mesh)
        await fleet.wait_version(1, bound_s=SPREAD_BOUND_S)
        print(f"version 1 is in force on {len(fleet.nodes)} instances")
        count: dict[int, int] = {}
        load = asyncio.create_task(_load(fleet, mesh, count))
        await _named_request(fleet, mesh, f"{name}-before")
        section, old, new = mesh["edit"]
        texts[section] = texts[section].replace(old, new)
        fleet.publish(texts, version=2)
        await fleet.wait_version(2, bound_s=SPREAD_BOUND_S)
        await _named_request(fleet, mesh, f"{name}-after")
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        print(f"answers by status while version 2 spread: {count}")
        await _show_status(fleet)
    for moment in ("before", "after"):
        request_id = f"{name}-{moment}"
        print(render(explain_request(request_id, read_lines([str(folder)]))))


async def _show_status(fleet: Fleet) -> None:
    asked = next(iter(fleet.nodes))

    async def complete() -> dict | None:
        answer = await fleet.status(asked, version=2)
        return answer if answer["complete"] else None

    answer = await wait_until(complete, SPREAD_BOUND_S, "status of version 2")
    print(render_status(_typed(answer)))


def _typed(answer: dict) -> FleetStatus:
    return msgspec.convert(answer, FleetStatus, strict=False)


async def _run() -> None:
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    for name, mesh in MESHES.items():
        with tempfile.TemporaryDirectory() as folder:
            await _show(name, mesh, Path(folder))
    print("\ndone")


def main() -> None:
    """Run the demonstration."""
    try:
        asyncio.run(_run())
    except asyncio.CancelledError:
        raise SystemExit(130) from None


if __name__ == "__main__":
    main()
