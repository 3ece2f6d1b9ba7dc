"""Measures the costs of a large document in one process.

Prints as its last line one JSON object: resident memory before and after, CPU time to
apply the full document and one change, and message sizes on links.
"""

__all__ = ["main"]

import asyncio
import json
import time

import fire

from benchmarks.sections import document, section
from ragwortferry import composition  # noqa: F401 (imports what a proxy imports)
from ragwortferry.document.models import Manifest, encode_manifest
from ragwortferry.logs import Log, LogContext
from ragwortferry.metrics import resident_bytes
from ragwortferry.source.port import Instance, InstanceChange
from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import VersionId, encode_message
from ragwortferry.spread.store import VersionStore, compress_text
from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.digests import content_digest

MIB = 2**20
MAX_MEMORY_MB = 64
CHANGES = 20
CHANGES_PER_S = 41_000 / 86_400


def _manifest(texts: dict[str, bytes], version: int) -> Manifest:
    digests = {name: content_digest(text) for name, text in texts.items()}
    return Manifest(version, version - 1, digests)


def _instances(upstreams: int, services: int, zones: int) -> list[Instance]:
    instances = []
    for at in range(upstreams):
        name = f"service-{at % services:03d}-{at // services}"
        zone, region = f"zone-{at % zones:02d}", f"region-{at % 7}"
        host = f"10.{at // 65536}.{at // 256 % 256}.{at % 256}"
        instances.append(Instance(name, zone, region, host, 8080, 8081, 8082))
    return instances


async def _apply_versions(store: VersionStore, texts: dict[str, bytes]) -> dict:
    """Apply the document, then changes of one section each, and return the costs."""
    manifest = _manifest(texts, 1)
    compressed = {content_digest(text): compress_text(text) for text in texts.values()}
    start = time.process_time()
    await store.apply(manifest, compressed, via="benchmark")
    full_ms = (time.process_time() - start) * 1000
    compressed_size = sum(map(len, compressed.values()))
    full_update_size = len(encode_message(store.update_for(VersionId())))
    before = store.current
    name = sorted(texts)[7]
    upstreams = [f"{name}-{n}" for n in range(texts[name].count(b"zone = "))]
    changed_ms = 0.0
    for version in range(2, CHANGES + 2):
        texts[name] = section(name, upstreams, ["zone-00", "zone-01"], edit=version)
        manifest = _manifest(texts, version)
        digest = manifest.sections[name]
        start = time.process_time()
        await store.apply(
            manifest, {digest: compress_text(texts[name])}, via="benchmark"
        )
        changed_ms += (time.process_time() - start) * 1000
        if version == 2:
            delta_update_size = len(encode_message(store.update_for(before)))
    return {
        "take_in_whole_cpu_ms": round(full_ms),
        "take_in_change_cpu_ms": round(changed_ms / CHANGES, 2),
        "texts_packed_mb": round(compressed_size / MIB, 2),
        "update_whole_mb": round(full_update_size / MIB, 2),
        "update_change_bytes": delta_update_size,
        "manifest_bytes": len(encode_manifest(manifest)),
    }


async def _measure(services: int, upstreams: int, zones: int) -> dict:
    log = Log(LogContext("benchmark", "zone-00", HybridClock()), "store")
    base = resident_bytes()
    instances = _instances(upstreams, services, zones)
    members = Members(instances[0], fanout=4, readers=2)
    members.apply(InstanceChange(1, True, instances, []))
    del instances
    with_list = resident_bytes()
    list_size = len(members.update_for(0).data)
    texts = document(services, upstreams, zones)
    raw_size = sum(map(len, texts.values()))
    with_texts = resident_bytes()
    store = VersionStore(log)
    results = await _apply_versions(store, texts)
    with_document = resident_bytes()
    return {
        "resident_mb": {
            "base": round(base / MIB, 1),
            "with_instance_list": round(with_list / MIB, 1),
            "with_document": round((with_document - (with_texts - with_list)) / MIB, 1),
        },
        "within_64_mb": with_document - (with_texts - with_list) <= MAX_MEMORY_MB * MIB,
        "texts_raw_mb": round(raw_size / MIB, 2),
        "instance_list_update_bytes": list_size,
        **results,
    }


def main(services: int = 460, upstreams: int = 17_000, zones: int = 20) -> None:
    """Run the benchmark.

    :param services: services of the document, one per section
    :param upstreams: upstreams of the document, and instances
    :param zones: number of availability zones
    """
    results = asyncio.run(_measure(services, upstreams, zones))
    print(json.dumps({"services": services, "upstreams": upstreams, **results}))


if __name__ == "__main__":
    fire.Fire(main)
