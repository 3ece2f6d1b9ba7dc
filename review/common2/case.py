"""What the scripts share: the record, the exit code and parts of a configuration."""

__all__ = ["configuration", "rule", "run_case"]

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

MAX_S = 110
HELD, BROKEN, NOT_RUN = 0, 1, 2


def rule(name: str, kind: str, timeout_s: float, *parts: tuple[str, int]) -> dict:
    """Return a rule for the paths below its name.

    :param kind: ``"safe"``, ``"download"`` or ``"unsafe"``.
    :param parts: services and their weights; a single one gets all requests.
    """
    split = [{"service": service, "weight": weight} for service, weight in parts]
    where = {"split": split} if len(split) > 1 else {"service": split[0]["service"]}
    return {
        "name": name,
        "route_type": kind,
        "target_latency_s": 1.0,
        "priority": 1,
        "match": {"prefix": f"/{name}/"},
        "action": {**where, "timeout_s": timeout_s, "max_attempts": 2},
    }


def configuration(version: int, host: str, rules: list[dict], *services: str) -> dict:
    """Return a configuration with the limits of the users' example."""
    return {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "listeners": [{"host": host, "rules": rules}],
        "clusters": [
            {"name": name, "health_path": "/health", "max_connections": 130}
            for name in services
        ],
    }


def run_case(folder: Path, play: Callable[[bool, list[str]], Awaitable[bool]]) -> int:
    """Play a case, write its record and return the exit code.

    :param play: gets whether there is a disruption and the lines of the record, and
        returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = [f"disruption: {'yes' if trouble else 'no'}"]
    try:
        held = asyncio.run(asyncio.wait_for(play(trouble, record), MAX_S))
        code = HELD if held else BROKEN
    except Exception as error:
        record.append(f"could not run: {error!r}")
        code = NOT_RUN
    record.append(f"exit code {code}")
    (folder / "record.txt").write_text("\n".join(record) + "\n")
    return code
