"""Invalid registry entries, as another writer of the store leaves them."""

__all__ = ["INVALID_ENTRIES", "nested_json", "with_field"]

import json

from ragwortferry.tests.mesh_builders import a_registry_entry

# Stands for the raw text of a field while the rest of an entry is encoded.
PLACEHOLDER = "@raw@"


def nested_json(depth: int) -> str:
    """Return brackets that are nested ``depth`` times."""
    return "[" * depth + "]" * depth


def with_field(path: str, raw: str, data: bytes = b"") -> bytes:
    """Return an entry in which a field has another content.

    :param path: names of the field and of the objects around it, joined by dots.
    :param raw: JSON text of the content.
    :param data: encoded entry, by default a sound one.
    """
    entry = json.loads(data or a_registry_entry())
    *outer, name = path.split(".")
    target = entry
    for part in outer:
        target = target[part]
    target[name] = PLACEHOLDER
    return json.dumps(entry).replace(json.dumps(PLACEHOLDER), raw).encode()


# Entries that name no upstream to use, by what is invalid.
INVALID_ENTRIES: dict[str, bytes] = {
    "no JSON": b"\x00\xff?",
    "deeply nested": with_field("other", nested_json(90_000)),
    "deeply nested info": with_field(
        "info.other", '{"a":' * 30_000 + "1" + "}" * 30_000
    ),
    "start of thirty digits": with_field("born", "9" * 30),
    "negative start": with_field("born", "-1"),
    "report of thirty digits": with_field("status.seq", "9" * 30),
    "cold time out of range": with_field("status.cold_remaining_s", "1e999"),
    "service of half a megabyte": with_field("info.service", f'"{"s" * 500_000}"'),
    "zone of half a megabyte": with_field("info.zone", f'"{"z" * 500_000}"'),
    "port zero": with_field("address", '"10.1.0.35:0"'),
    "port out of range": with_field("address", '"10.1.0.35:70000"'),
    "line break after the port": with_field("address", '"10.1.0.35:8147\\n"'),
    "host that is no address": with_field("address", '"999.999.999.999:8147"'),
    "unspecified host": with_field("address", '"0.0.0.0:8147"'),
    "multicast host": with_field("address", '"224.0.0.1:8147"'),
    "broadcast host": with_field("address", '"255.255.255.255:8147"'),
    "slots of 5,000 digits": with_field("info.slots", "9" * 5_000),
}
