"""Platform input is decoded, and malformed input rejected with a reason."""

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortferry.exceptions import SettingsError
from ragwortferry.mesh.model import Document, Limits
from ragwortferry.platform.config import DocumentDecoder, decode_document
from ragwortferry.platform.registry import decode_upstream
from ragwortferry.platform.settings import load_node_settings, settings_path
from ragwortferry.tests.invalid_entries import INVALID_ENTRIES, nested_json
from ragwortferry.tests.mesh_builders import a_config, a_registry_entry, a_route

SETTINGS = """
node = "sidecar-a-1"
ip = "10.1.0.35"
zone = "a"
region = "r"
internal_port_range = [7660,7675]
service = "tablero"
app_addr = "10.1.0.35:8147"
new_field = 7
[listen]
inbound = "10.1.0.35:8145"
outbound = "10.1.0.35:8141"
ready = "10.1.0.35:8140"
[bounds]
grace_s = 6
[provider]
address = "10.200.1.7:8142"
reads_per_s = 2000
"""


def _encode(config: dict) -> bytes:
    return json.dumps(config).encode()


def test_longest_prefix_wins():
    document = decode_document(_encode(a_config())).ok
    assert document.version == 7
    assert document.match("boards.example", "/panels/exports/1").name == "exports"
    assert document.match("boards.example", "/panels/1").name == "panels"
    assert document.match("boards.example", "/panels").name == "all"
    assert document.match("other.example", "/panels/1") is None


def test_split_and_route_types_are_decoded():
    config = a_config()
    action = {
        "split": [{"service": "tablero", "weight": 90}, {"service": "archivo"}],
        "timeout_s": 1.2,
        "max_attempts": 2,
    }
    config["listeners"][0]["rules"][0].update(action=action, route_type="download")
    route = decode_document(_encode(config)).ok.match("boards.example", "/x")
    assert [part.service for part in route.destinations] == ["tablero", "archivo"]
    assert route.idempotent
    config["listeners"][0]["rules"][0]["route_type"] = "unsafe"
    assert (
        not decode_document(_encode(config)).ok.match("boards.example", "/x").idempotent
    )


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"version": 7},
        {"clusters": []},
        {"limits": {}},
        {"listeners": [{"host": "", "rules": []}]},
    ],
)
def test_invalid_configuration_is_rejected(change):
    assert decode_document(_encode(a_config(**change))).is_error()


def test_truncated_configuration_is_rejected():
    data = _encode(a_config())
    assert decode_document(data[:-3]).is_error()


def test_deeply_nested_configuration_is_rejected():
    data = _encode(a_config(other="?")).replace(b'"?"', nested_json(20_000).encode())
    assert decode_document(data).is_error()


def test_version_of_too_many_digits_is_rejected():
    assert decode_document(_encode(a_config("r" + "9" * 5_000))).is_error()


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_as_configuration(data):
    assert decode_document(data).is_error()


def test_registry_entry_is_decoded():
    upstream = decode_upstream("servers/i-1", a_registry_entry(), 9).ok
    assert (upstream.id, upstream.service, upstream.slots) == ("i-1", "tablero", 18)
    assert (upstream.address.host, upstream.address.port) == ("10.1.0.35", 8147)
    assert upstream.cold_s == 1.5 and not upstream.draining and upstream.revision == 9


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.1.0.35"},
        {"address": "10.1.0.35:0"},
        {"address": 3},
        {"info": {"service": "tablero", "zone": "a", "slots": "many"}},
        {"info": {"zone": "a", "slots": 3}},
        {"status": {"state": "tired", "seq": 1}},
        {"status": []},
        {"born": "today"},
    ],
)
def test_malformed_registry_entry_is_rejected(change):
    assert decode_upstream("servers/i-1", a_registry_entry(**change), 9).is_error()


@pytest.mark.parametrize("data", INVALID_ENTRIES.values(), ids=INVALID_ENTRIES)
def test_invalid_registry_entry_is_rejected(data):
    assert decode_upstream("servers/i-1", data, 9).is_error()


@pytest.mark.parametrize("name", ["", "i 1", "i-1\r\nX-Other: 1", "i-\u00e9", "\n"])
def test_entry_whose_id_cannot_be_a_header_value_is_rejected(name):
    assert decode_upstream(f"servers/{name}", a_registry_entry(), 9).is_error()


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_as_registry_entry(data):
    assert decode_upstream("servers/i-1", data, 1).is_error()


def test_settings_are_decoded(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    settings = load_node_settings(path)
    assert settings.name == "sidecar-a-1" and settings.target_address.port == 8147
    assert settings.bounds.grace_s == 6 and settings.bounds.drain_s == 2
    assert settings.listen_address.port == 8141 and settings.link_address.port == 8145


@pytest.mark.parametrize("missing", ["ip =", "[listen]", "[provider]"])
def test_incomplete_settings_raise_error_naming_the_file(tmp_path, missing):
    path = tmp_path / "boot.toml"
    path.write_text(
        SETTINGS.replace(missing, "[other]" if missing[0] == "[" else "x =", 1)
    )
    with pytest.raises(SettingsError, match="boot.toml"):
        load_node_settings(path)


def test_deeply_nested_settings_raise_error_naming_the_file(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(f"other = {nested_json(20_000)}\n{SETTINGS}")
    with pytest.raises(SettingsError, match="boot.toml"):
        load_node_settings(path)


def test_missing_settings_variable_raises_error_naming_it():
    with pytest.raises(SettingsError, match="RAGWORTFERRY_SETTINGS"):
        settings_path({})


def test_decoding_only_changed_rules_gives_the_same_document_as_decoding_all():
    rng = random.Random(3)
    decoder, rules = DocumentDecoder(), _rules(40)
    for version in range(1, 60):
        for _ in range(rng.randint(0, 4)):
            rule = rng.choice(rules)
            change = rng.choice(["timeout", "service", "prefix", "drop"])
            if change == "timeout":
                rule["action"]["timeout_s"] = rng.choice([1, 2.5, -1])
            elif change == "service":
                rule["action"]["service"] = rng.choice(["tablero", "archivo", "none"])
            elif change == "prefix":
                rule["match"]["prefix"] = rng.choice(["/a/", "/a/b/", "a"])
            else:
                rules.remove(rule)
                rules.extend(_rules(1))
        hosts = [
            {"host": "Boards.example", "rules": rules[::2]},
            {"host": "boards.example", "rules": rules[1::2]},
        ]
        data = json.dumps(a_config(f"r{version}", listeners=hosts)).encode()
        found, expected = decoder.decode(data), decode_document(data)
        assert found.is_ok() == expected.is_ok()
        if expected.is_ok():
            assert found.ok == expected.ok
        else:
            rules = _rules(40)


def _rules(count: int) -> list[dict]:
    return [
        json.loads(json.dumps(rule))
        for rule in (a_config()["listeners"][0]["rules"] * count)[:count]
    ]


@given(
    st.lists(st.text("ab/", max_size=6), max_size=30),
    st.text("ab/", max_size=8),
)
def test_match_finds_the_longest_prefix_among_many_routes(prefixes, path):
    routes = [a_route(name=f"r{n}", prefix=p) for n, p in enumerate(prefixes)]
    routes.sort(key=lambda route: -len(route.prefix))
    document = Document(1, "d", Limits(1, 1, 1, 1), {"boards.example": tuple(routes)})
    expected = next((r for r in routes if path.startswith(r.prefix)), None)
    assert document.match("boards.example", path) is expected


def test_match_looks_up_no_more_prefixes_than_their_lengths():
    class CountedPath(str):
        slices = 0

        def __getitem__(self, key):
            CountedPath.slices += 1
            return super().__getitem__(key)

    routes = tuple(a_route(name=f"r{n}", prefix=f"/r{n:04}/") for n in range(2_600))
    document = Document(1, "d", Limits(1, 1, 1, 1), {"boards.example": routes})
    assert document.match("boards.example", CountedPath("/r2599/x")).name == "r2599"
    assert CountedPath.slices == 1
