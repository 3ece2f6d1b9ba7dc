"""Numbers of any size in a valid configuration can be used and passed on."""

import asyncio
import json
import random

import pytest

from ragwortferry.mesh.admission.warmup import WarmUp
from ragwortferry.mesh.links.frames import decode_frame, encode_frame
from ragwortferry.mesh.links.remote import submit_frame
from ragwortferry.mesh.owner import _headers
from ragwortferry.mesh.placement.splits import TrafficSplitter
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import a_config, an_attempt

NUMBERS = ["1" + "0" * 30, "1e300", "1.7e308", "9" * 300]


def _config_with(kind: str, field: str, raw: str) -> bytes:
    """Return a configuration in which a number of each route or service is ``raw``."""
    config = a_config()
    rules = config["listeners"][0]["rules"]
    targets = {
        "rule": rules,
        "action": [rule["action"] for rule in rules],
        "service": config["clusters"],
        "limits": [config["limits"]],
        "part": [],
    }
    for rule in rules:
        rule["action"]["split"] = [
            {"service": "tablero", "weight": 50},
            {"service": "archivo", "weight": 50},
        ]
        targets["part"] += rule["action"]["split"]
    for target in targets[kind]:
        target[field] = "@"
    return json.dumps(config).replace('"@"', raw).encode()


@pytest.mark.parametrize("raw", NUMBERS)
@pytest.mark.parametrize(
    "kind, field",
    [
        ("rule", "priority"),
        ("rule", "target_latency_s"),
        ("action", "timeout_s"),
        ("action", "max_attempts"),
        ("service", "max_connections"),
        ("service", "cold_start_s"),
        ("service", "cold_per_s"),
        ("part", "weight"),
        ("limits", "max_header_bytes"),
        ("limits", "max_body_bytes"),
        ("limits", "header_timeout_s"),
        ("limits", "idle_timeout_s"),
    ],
)
def test_extreme_number_is_rejected_or_passes_encoders_and_timers(kind, field, raw):
    result = decode_document(_config_with(kind, field, raw))
    if result.is_error():
        assert field in result.swap().ok
        return
    document = result.ok
    route = document.match("boards.example", "/panels/1")

    async def use():
        loop = asyncio.get_running_loop()
        attempt = an_attempt(
            deadline=loop.time() + route.timeout_s,
            objective=loop.time() + route.objective_s,
            priority=route.priority,
        )
        frame = submit_frame(attempt)
        assert decode_frame(encode_frame(frame)) == frame
        headers = dict(_headers(attempt, attempt.deadline - loop.time()))
        assert len(headers["X-Deadline-Ms"]) <= 12
        async with asyncio.timeout(route.timeout_s):
            pass
        limits = document.limits
        for seconds in (limits.header_timeout_s, limits.idle_timeout_s):
            loop.call_later(seconds, lambda: None).cancel()
        warmup = WarmUp()
        warmup.set_service(document.services["tablero"])
        warmup.record_start(loop.time())
        loop.call_at(warmup.ends_at, lambda: None).cancel()

    asyncio.run(use())
    splitter = TrafficSplitter(random.Random(1))
    chosen = [splitter.choose(route) for _ in range(100)]
    assert chosen.count("tablero") == 50


def test_version_that_messages_cannot_carry_is_rejected():
    assert decode_document(json.dumps(a_config("r" + "9" * 30)).encode()).is_error()


def test_version_with_a_line_break_is_rejected():
    assert decode_document(json.dumps(a_config("r12\n")).encode()).is_error()
