"""The ``status`` command: queries one process for the rollout of a version."""

__all__ = ["render", "run_status"]

import asyncio
import time

import aiohttp
import msgspec

from ragwortferry.exceptions import RagwortferryError
from ragwortferry.spread.status import FleetStatus

EXIT_COMPLETE = 0
EXIT_INCOMPLETE = 2
RESPONSE_TIMEOUT_S = 5.0


async def _fetch_status(address: str, version: int) -> bytes:
    params = {"version": str(version)} if version else {}
    timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}/-/status", params=params) as response,
        ):
            response.raise_for_status()
            return await response.read()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or "no response in time"
        raise RagwortferryError(
            f"cannot get the status from {address}: {reason}"
        ) from None


def run_status(address: str, version: int, as_json: bool, interval_s: float) -> int:
    """Print the rollout status and return the exit code.

    :param address: host:port of the owner port of a process.
    :param version: version to query, 0 for the newest known one.
    :param interval_s: seconds between queries, repeated until every listed instance
        enforces the version; 0 to query once.
    """
    while True:
        data = asyncio.run(_fetch_status(address, version))
        status = msgspec.json.decode(data, type=FleetStatus)
        print(data.decode() if as_json else render(status), flush=True)
        if status.complete:
            return EXIT_COMPLETE
        if not interval_s:
            return EXIT_INCOMPLETE
        time.sleep(interval_s)


def render(status: FleetStatus) -> str:
    """Return the rollout status as text."""
    lines = [
        f"version {status.version} as known to {status.instance} "
        f"(newest known: {status.newest})",
        f"  enforced       {status.enforced} ({status.listed} instances listed)",
        f"  newer          {status.newer}",
        f"  behind         {status.behind}",
        f"  not heard from {status.not_heard}",
    ]
    if status.unproven:
        lines.append(f"  floor unproven {status.unproven}")
    for reason, count in status.refused.items():
        lines.append(f"  refused by {count}: {reason}")
    for zone in status.zones:
        lines.append(_render_zone(zone))
    return "\n".join(lines)


def _render_zone(zone) -> str:
    versions = ", ".join(f"{v}: {n}" for v, n in sorted(zone.enforced.items()))
    if zone.age_s < 0:
        return f"  {zone.zone}: not heard from"
    prefix = "" if zone.heard else "not heard from recently; last known: "
    line = f"  {zone.zone}: {prefix}{versions or 'nothing'} ({zone.age_s:.1f} s ago)"
    if zone.behind:
        line += f"; behind: {', '.join(zone.behind)}"
    if zone.not_heard:
        line += f"; not heard from: {', '.join(zone.not_heard)}"
    return line
