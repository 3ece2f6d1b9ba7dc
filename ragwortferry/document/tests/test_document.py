import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ragwortferry.document.models import (
    MAX_SECTION_BYTES,
    apply_delta,
    decode_accepted,
    decode_manifest,
    decode_section,
    encode_manifest,
    make_delta,
)
from ragwortferry.document.snapshot import Section, build_snapshot
from ragwortferry.tests.builders import manifest, section
from ragwortferry.tests.invalid_entries import nested_json
from ragwortferry.utils.digests import content_digest


def build(texts, base=None, version=1):
    """Build a snapshot that reuses the unchanged sections of ``base``."""
    base_sections = base.sections if base else {}
    sections = {}
    for name, text in texts.items():
        digest = content_digest(text)
        old = base_sections.get(name)
        if old is not None and old.digest == digest:
            sections[name] = old
            continue
        model = decode_section(name, text).ok
        sections[name] = Section.from_model(name, digest, model)
    return build_snapshot(manifest(texts, version), sections, base)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"team = ", ["malformed TOML"]),
        (b"\xff\xfe", ["malformed TOML"]),
        (section(extra="slots = 0"), ["services[0].slots", "'0'", ">= 1"]),
        (section(extra="queue = 'x'"), ["services[0].queue", "'x'", "int"]),
        (section(extra="colour = 1"), ["services[0]", "colour"]),
        (section(upstreams=0), ["services[0].upstreams", "length >= 1"]),
        (section().replace(b"/tablero/pay", b"no-slash"), ["routes[1].prefix"]),
        (b"#" * (MAX_SECTION_BYTES + 1), ["1000001 bytes", "1000000"]),
    ],
)
def test_invalid_section_error_names_field_value_and_rule(text, expected):
    result = decode_section("boards", text)
    assert result.is_error()
    for fragment in ["section 'boards'", *expected]:
        assert fragment in result.error


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (
            {
                "a": section(),
                "b": section("archivo").replace(b"archivo-r", b"tablero-r"),
            },
            "route 'tablero-read' is defined in sections 'a' and 'b'",
        ),
        (
            {"a": section(), "b": section("archivo").replace(b'"/a', b'"/tablero" #')},
            "GET /tablero is routed by 'archivo-read' and 'tablero-read'",
        ),
        (
            {"a": section().replace(b'service = "tablero"', b'service = "gone"')},
            "route 'tablero-pay': service 'gone' does not exist",
        ),
        (
            {
                "a": section(),
                "b": section("archivo").replace(b"archivo-1", b"tablero-1"),
            },
            "upstream 'tablero-1' is listed by services 'archivo' and 'tablero'",
        ),
        (
            {"a": section(), "b": section().partition(b"[[routes]]")[0]},
            "service 'tablero' is defined in sections 'a' and 'b'",
        ),
    ],
)
def test_conflict_between_sections_is_an_error(texts, expected):
    assert expected in build(texts).error


def test_removing_a_service_that_a_route_uses_is_an_error():
    texts = {
        "routes": section("tablero")
        .partition(b"[[routes]]")[2]
        .join([b'team = "r"\n[[routes]]', b""]),
        "services": section("tablero").partition(b"[[routes]]")[0],
    }
    base = build(texts).ok
    renamed = {
        "routes": texts["routes"],
        "services": texts["services"].replace(b'name = "tablero"', b'name = "other"'),
    }
    assert "does not exist" in build(renamed, base, version=2).error


def test_match_selects_longest_prefix_of_whole_segments():
    snapshot = build({"a": section()}).ok
    assert snapshot.match("GET", "/tablero/pay/9").name == "tablero-pay"
    assert snapshot.match("GET", "/tablero/payments").name == "tablero-read"
    assert snapshot.match("GET", "/tablerox") is None
    assert snapshot.match("POST", "/tablero") is None
    assert snapshot.allowed_methods("/tablero") == ["GET"]


def test_encoded_manifest_is_independent_of_section_order():
    texts = {"b": section(), "a": section("archivo")}
    first, second = manifest(texts), manifest(dict(reversed(texts.items())))
    assert encode_manifest(first) == encode_manifest(second)
    assert decode_manifest(encode_manifest(first)).ok == first


NESTED = f'{{"other":{nested_json(20_000)}}}'.encode()


@pytest.mark.parametrize(
    "text",
    [b"", b"{}", b'{"version":0}', b"[1]", b'{"version":', NESTED],
    ids=lambda text: text[:20].decode(),
)
@pytest.mark.parametrize("decode", [decode_manifest, decode_accepted])
def test_malformed_manifest_is_an_error(decode, text):
    assert decode(text).error.startswith("manifest: ")


def test_deeply_nested_section_is_an_error():
    text = f"other = {nested_json(20_000)}\n".encode()
    assert decode_section("boards", text).error.startswith("section 'boards': ")


def test_delta_applies_to_its_base_only():
    old = manifest({"a": section(), "b": section("archivo")}, 1)
    new = manifest({"a": section(timeout_ms=9), "c": section("otro")}, 2, base=1)
    delta = make_delta(new, old)
    assert delta.changed.keys() == {"a", "c"} and delta.removed == ("b",)
    assert apply_delta(delta, old) == new
    assert apply_delta(delta, manifest({"x": section()}, 1)) is None
    assert decode_accepted(msgspec.json.encode(delta)).ok == delta
    assert decode_accepted(encode_manifest(new)).ok == new
    assert decode_accepted(b"[]").is_error() and decode_accepted(b"7").is_error()


SERVICES = ("s1", "s2", "s3")


@st.composite
def documents(draw):
    """Draw section texts with frequent conflicts and references to missing services."""
    texts = {}
    for name in draw(st.lists(st.sampled_from("abcd"), unique=True, min_size=1)):
        service = draw(st.sampled_from(SERVICES))
        text = section(service, upstreams=draw(st.integers(1, 2)))
        if draw(st.booleans()):
            other = draw(st.sampled_from(SERVICES)).encode()
            text = text.replace(
                b'service = "' + service.encode(), b'service = "' + other
            )
        if draw(st.booleans()):
            text = text.replace(
                b'name = "' + service.encode(), b'name = "' + name.encode()
            )
        texts[name] = text
    return texts


@seed(20261203)
@settings(max_examples=300, deadline=None, database=None)
@given(documents(), documents())
def test_incremental_check_equals_full_check(before, after):
    first = build(before)
    base = first.ok if first.is_ok() else None
    incremental, full = build(after, base, version=2), build(after, version=2)
    assert incremental.is_ok() == full.is_ok()
    if full.is_error():
        assert incremental.error == full.error
    else:
        assert incremental.ok.services == full.ok.services
        assert incremental.ok.routes == full.ok.routes
        for service in SERVICES:
            path = f"/{service}/pay"
            assert incremental.ok.match("GET", path) == full.ok.match("GET", path)
