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


def line(hop="entry", instance="archivo-1", hlc=1 << 16, attempts=None, **fields):
    return {
        "message_type": "request",
        "message": f"{hop} answered 200",
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


def owner(**fields):
    return line("owner", "tablero-1", 2 << 16, **fields)


def test_both_hops_together_tell_what_governed():
    found = explain_request("r", [owner(), line(), line(request_id="x")])
    assert found.ran == "ran" and found.remarks == []
    assert [(hop.hop, hop.version) for hop in found.hops] == [
        ("entry", 4),
        ("owner", 4),
    ]


def test_a_missing_line_is_said_and_not_guessed():
    assert "line of tablero-1" in explain_request("r", [line()]).remarks[0]
    assert "entry line" in explain_request("r", [owner()]).remarks[0]
    assert not explain_request("r", []).found


def test_an_owner_that_knows_settles_what_the_entry_did_not():
    lost = line(attempts=[attempt(outcome="unknown", error="upstream-lost")])
    assert explain_request("r", [lost]).ran == "unknown"
    assert explain_request("r", [lost, owner()]).ran == "ran"


def test_contradictions_and_doubles_are_said():
    refused = owner(attempts=[attempt(outcome="not-run", error="shed")])
    found = explain_request("r", [line(), refused, refused])
    assert found.ran == "contradicting"
    assert any("duplicate log lines" in remark for remark in found.remarks)
    assert any("contradict" in remark for remark in found.remarks)
    two = explain_request("r", [line(), owner(version=5, digest="e" * 64)])
    assert any("more than one version" in remark for remark in two.remarks)


def test_the_governing_section_is_printed_after_its_digest_is_checked(tmp_path, capsys):
    texts = {"boards": section()}
    held = manifest(texts, version=4)
    data = encode_manifest(held)
    log = tmp_path / "a.log"
    log.write_text(json.dumps(line(digest=content_digest(data))) + "\nnot json\n[1]\n")
    document = tmp_path / "document"
    document.mkdir()
    (document / "accepted.json").write_bytes(data + b"\n")
    (document / "boards.toml").write_bytes(texts["boards"])
    assert run_explain("r", [str(log)], str(document), False) == 0
    assert 'team = "tablero"' in capsys.readouterr().out
    (document / "boards.toml").write_bytes(section(timeout_ms=1))
    run_explain("r", [str(log)], str(document), True)
    found = json.loads(capsys.readouterr().out)
    assert found["section_text"] == "" and "no text of section" in found["remarks"][-1]


def test_a_path_that_is_not_there_is_an_error(tmp_path):
    with pytest.raises(RagwortferryError, match="does not exist"):
        list(read_lines([str(tmp_path / "gone")]))


def test_events_come_in_the_order_of_cause_and_effect():
    cause = {"hlc": 5 << 16, "instance": "b", "message": "m", "timestamp": 9.0}
    effect = {"hlc": (5 << 16) + 1, "instance": "a", "message": "m", "timestamp": 2.0}
    assert list(merge_events([effect, cause, {}], EventFilter())) == [cause, effect]
    assert list(merge_events([effect, cause], EventFilter(instance="a"))) == [effect]
    assert list(merge_events([effect, cause], EventFilter(since="2026"))) == []


def test_the_page_escapes_what_the_logs_hold():
    page = render_page([{"hlc": 1 << 16, "instance": "<b>", "message": "<script>"}])
    assert "<script>" not in page and "&lt;script&gt;" in page
