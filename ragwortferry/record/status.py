"""Asks a process where a version stands and prints its answer."""

__all__ = ["render", "run_status"]

import asyncio
import time

import aiohttp
import msgspec

from ragwortferry.exceptions import RagwortferryError
from ragwortferry.spread.status import FleetAnswer

EXIT_COMPLETE = 0
EXIT_INCOMPLETE = 2
REPLY_TIMEOUT_S = 5.0


async def _ask(at: str, version: int) -> bytes:
    params = {"version": str(version)} if version else {}
    timeout = aiohttp.ClientTimeout(total=REPLY_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{at}/-/status", params=params) as reply,
        ):
            reply.raise_for_status()
            return await reply.read()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or "no answer in time"
        raise RagwortferryError(f"cannot ask {at}: {reason}") from None


def run_status(at: str, version: int, as_json: bool, watch: float) -> int:
    """Print the answer, again and again with ``watch``; return the exit code."""
    while True:
        data = asyncio.run(_ask(at, version))
        answer = msgspec.json.decode(data, type=FleetAnswer)
        print(data.decode() if as_json else render(answer), flush=True)
        if answer.complete:
            return EXIT_COMPLETE
        if not watch:
            return EXIT_INCOMPLETE
        time.sleep(watch)


def render(answer: FleetAnswer) -> str:
    """Return the answer as text."""
    lines = [
        f"version {answer.version} as {answer.instance} knows it "
        f"(newest known: {answer.newest})",
        f"  enforced       {answer.enforced} ({answer.listed} instances are listed)",
        f"  newer          {answer.newer}",
        f"  behind         {answer.behind}",
        f"  not heard from {answer.not_heard}",
    ]
    if answer.unproven:
        lines.append(f"  floor unproven {answer.unproven}")
    for reason, count in answer.refused.items():
        lines.append(f"  refused by {count}: {reason}")
    for zone in answer.zones:
        lines.append(_render_zone(zone))
    return "\n".join(lines)


def _render_zone(zone) -> str:
    versions = ", ".join(f"{v}: {n}" for v, n in sorted(zone.enforced.items()))
    if zone.age_s < 0:
        return f"  {zone.zone}: not heard from"
    heard = "" if zone.heard else "not heard from lately; last known: "
    line = f"  {zone.zone}: {heard}{versions or 'nothing'} ({zone.age_s:.1f} s ago)"
    if zone.behind:
        line += f"; behind: {', '.join(zone.behind)}"
    if zone.not_heard:
        line += f"; not heard from: {', '.join(zone.not_heard)}"
    return line
