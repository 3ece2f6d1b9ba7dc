"""Whatever the decoders of the store's items accept can be used and passed on."""

import asyncio
import json
import socket

from hypothesis import example, given, settings
from hypothesis import strategies as st

from ragwortferry.http1.messages import encode_request
from ragwortferry.mesh.admission.warmup import MARGIN_S, MAX_START_FACTOR, WarmUp
from ragwortferry.mesh.links.frames import (
    EvacuatedZones,
    Registry,
    ZoneChange,
    decode_frame,
    encode_frame,
)
from ragwortferry.mesh.model import Service
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.mesh.zones import Evacuations
from ragwortferry.platform.config import decode_document
from ragwortferry.platform.evacuation import evacuated_zone
from ragwortferry.platform.names import TARGET_HEADER
from ragwortferry.platform.registry import decode_upstream
from ragwortferry.tests.mesh_builders import RecordingLog

COLD_START_S = 3.0
MAX_COLD_S = MAX_START_FACTOR * COLD_START_S + MARGIN_S
NUMBERS = st.one_of(
    st.integers(-(10**30), 10**30),
    st.sampled_from([2**31, 2**53, 2**63, 2**64, -(2**63) - 1, 10**4_000]),
    st.floats(allow_nan=False, allow_infinity=False),
)
OTHER = st.one_of(st.none(), st.booleans(), st.text(max_size=20), st.just([[]]))
ADDRESSES = st.one_of(
    st.from_regex(r"[0-9.]{1,16}:[0-9]{1,6}\s?", fullmatch=True),
    st.ip_addresses(v=4).map(lambda host: f"{host}:8147"),
    st.text(max_size=20),
)


def _usually(valid, other=OTHER):
    return st.one_of(st.just(valid), other)


ENTRIES = st.fixed_dictionaries(
    {
        "address": _usually("10.1.0.35:8147", ADDRESSES),
        "info": st.fixed_dictionaries(
            {
                "service": _usually("tablero", st.text(max_size=20)),
                "zone": _usually("a", st.text(max_size=20)),
                "slots": _usually(18, NUMBERS | OTHER),
            }
        ),
        "status": st.fixed_dictionaries(
            {
                "state": st.sampled_from(["ready", "draining", "tired"]),
                "seq": _usually(4, NUMBERS | OTHER),
                "cold_remaining_s": _usually(1.5, NUMBERS | OTHER),
            }
        ),
        "born": _usually(1_700_000_000_000, NUMBERS | OTHER),
    }
)
NAMES = st.one_of(st.just("i-1"), st.text(max_size=20))


def _entry(**changes) -> dict:
    info = {"service": "tablero", "zone": "a", "slots": 18}
    status = {"state": "ready", "seq": 4, "cold_remaining_s": 1.5}
    address = "10.1.0.35:8147"
    return {"address": address, "info": info, "status": status, "born": 1, **changes}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(NAMES, ENTRIES)
@example("i-1", _entry(born=10**30))
@example("i-1", _entry(status={"state": "ready", "seq": 1, "cold_remaining_s": 1e300}))
def test_accepted_entry_passes_encoder_state_log_and_timers(name, entry):
    result = decode_upstream(f"servers/{name}", json.dumps(entry).encode(), 3)
    if result.is_error():
        return
    upstream = result.ok
    request = encode_request("GET", "/", [(TARGET_HEADER, upstream.id)], b"")
    assert request.split(b"\r\n")[1:-2] == [f"{TARGET_HEADER}: {upstream.id}".encode()]
    socket.inet_aton(upstream.address.host)
    frame = Registry(0, 3, [upstream], [])
    assert decode_frame(encode_frame(frame)) == frame
    log = RecordingLog()
    state = MeshState(decode_document, log)
    state.apply_registry(RegistryChange(0, 3, [upstream]), "store")
    assert json.loads(json.dumps(log.events)) == log.events

    async def wait_while_cold():
        loop = asyncio.get_running_loop()
        warmup = WarmUp()
        warmup.set_service(Service(upstream.service, "/health", 100, COLD_START_S, 1.0))
        warmup.record_entry(upstream, loop.time())
        assert warmup.remaining(loop.time()) <= MAX_COLD_S
        loop.call_at(warmup.ends_at, lambda: None).cancel()

    asyncio.run(wait_while_cold())


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=60), st.integers(0, 2**63 - 1))
@example("z" * 200, 2**63 - 1)
@example("b\r\n\x00", 0)
def test_any_evacuated_zone_passes_encoder_state_and_log(name, revision):
    key = f"op/evacuate/{name}"
    zone = evacuated_zone(key)
    assert zone == name
    frame = EvacuatedZones([ZoneChange(zone, revision, True)])
    assert decode_frame(encode_frame(frame)) == frame
    evacuations = Evacuations()
    evacuations.apply(frame.changes)
    assert evacuations.includes(zone)
    assert json.loads(json.dumps(evacuations.zones)) == [zone]
