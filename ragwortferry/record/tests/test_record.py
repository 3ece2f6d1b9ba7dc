import json

import pytest

from ragwortferry.document.models import encode_manifest
from ragwortferry.exceptions import RagwortferryError
from ragwortferry.record.explain import explain_request, run_explain
from ragwortferry.record.logfiles import read_lines
from ragwortferry.record.timeline import EventFilter, merge_events, render_page
from ragwortferry.tests.builders import manifest, section
from ragwortferry.utils.digests import content_digest


def attempt(key="e-1", upstream="tablero-1", outcome="ran", error="", status=200):
    return {
        "key": key,
        "upstream": upstream,
        "outcome": outcome,
        "error": error,
        "detail": "",
        "status": status,
        "ms": 1.5,
    }


def request_line(
    hop="entry", instance="archivo-1", hlc=1 << 16, attempts=None, **fields
):
    return {
        "message_type": "request",
        "message": f"{hop} proxy responded with status 200",
        "request_id": "r",
        "hop": hop,
        "instance": instance,
        "zone": "sanjose-a",
        "hlc": hlc,
        "task_uuid": f"{instance}{hlc}",
        "version": 4,
        "digest": "d" * 64,
        "section": "boards",
        "route": "panels",
        "status": 200,
        "outcome": "ran",
        "error": "",
        "complete": True,
        "attempts": [attempt()] if attempts is None else attempts,
        **fields,
    }


def owner_line(**fields):
    return request_line("owner", "tablero-1", 2 << 16, **fields)


def test_lines_of_nodes_are_explained_with_their_errors(tmp_path, capsys):
    entry = request_line(
        section="",
        status=503,
        outcome="not-run",
        error="quarantined",
        attempts=[{"key": "e-1", "upstream": "i-1", "outcome": "ran", "status": 500}],
    )
    owner = owner_line(
        digest="",
        section="",
        error="upstream-lost",
        attempts=[{"key": "e-1", "upstream": "i-1", "outcome": "unknown"}],
    )
    log = tmp_path / "log"
    log.write_text(f"{json.dumps(entry)}\n{json.dumps(owner)}\n")
    assert run_explain("r", [str(log)], "", False) == 0
    text = capsys.readouterr().out
    assert "status 503, not-run, quarantined, complete" in text
    assert f"governed by version 4 (digest {'d' * 12}), route panels" in text
    assert "attempt 1 at i-1: ran, status 500" in text
    assert "governed by version 4, route panels" in text
    assert "attempt 1 at i-1: unknown\n" in text


def test_explanation_combines_entry_and_owner_lines():
    explanation = explain_request(
        "r", [owner_line(), request_line(), request_line(request_id="x")]
    )
    assert explanation.ran == "ran" and explanation.remarks == []
    assert [(hop.hop, hop.version) for hop in explanation.hops] == [
        ("entry", 4),
        ("owner", 4),
    ]


def test_missing_lines_are_reported():
    assert "line of tablero-1" in explain_request("r", [request_line()]).remarks[0]
    assert "entry line" in explain_request("r", [owner_line()]).remarks[0]
    assert not explain_request("r", []).found


def test_owner_line_resolves_outcome_unknown_to_the_entry():
    unresolved = request_line(
        attempts=[attempt(outcome="unknown", error="upstream-lost")]
    )
    assert explain_request("r", [unresolved]).ran == "unknown"
    assert explain_request("r", [unresolved, owner_line()]).ran == "ran"


def test_contradictions_and_duplicates_are_reported():
    refused = owner_line(attempts=[attempt(outcome="not-run", error="shed")])
    explanation = explain_request("r", [request_line(), refused, refused])
    assert explanation.ran == "contradicting"
    assert any("duplicate log lines" in remark for remark in explanation.remarks)
    assert any("contradict" in remark for remark in explanation.remarks)
    conflicting = explain_request(
        "r", [request_line(), owner_line(version=5, digest="e" * 64)]
    )
    assert any("more than one version" in remark for remark in conflicting.remarks)


def test_governing_section_is_printed_only_if_its_digest_matches(tmp_path, capsys):
    texts = {"boards": section()}
    accepted = manifest(texts, version=4)
    data = encode_manifest(accepted)
    log = tmp_path / "a.log"
    log.write_text(
        json.dumps(request_line(digest=content_digest(data))) + "\nnot json\n[1]\n"
    )
    document = tmp_path / "document"
    document.mkdir()
    (document / "accepted.json").write_bytes(data + b"\n")
    (document / "boards.toml").write_bytes(texts["boards"])
    assert run_explain("r", [str(log)], str(document), False) == 0
    assert 'team = "tablero"' in capsys.readouterr().out
    (document / "boards.toml").write_bytes(section(timeout_ms=1))
    run_explain("r", [str(log)], str(document), True)
    explanation = json.loads(capsys.readouterr().out)
    assert (
        explanation["section_text"] == ""
        and "no text of section" in explanation["remarks"][-1]
    )


def test_missing_log_path_is_an_error(tmp_path):
    with pytest.raises(RagwortferryError, match="does not exist"):
        list(read_lines([str(tmp_path / "gone")]))


def test_events_are_merged_in_causal_order():
    # The wall clock of b is ahead, so the timestamps contradict the causal order.
    cause = {"hlc": 5 << 16, "instance": "b", "message": "m", "timestamp": 9.0}
    effect = {"hlc": (5 << 16) + 1, "instance": "a", "message": "m", "timestamp": 2.0}
    assert list(merge_events([effect, cause, {}], EventFilter())) == [cause, effect]
    assert list(merge_events([effect, cause], EventFilter(instance="a"))) == [effect]
    assert list(merge_events([effect, cause], EventFilter(since="2026"))) == []


def test_timeline_page_escapes_log_values():
    page = render_page([{"hlc": 1 << 16, "instance": "<b>", "message": "<script>"}])
    assert "<script>" not in page and "&lt;script&gt;" in page
