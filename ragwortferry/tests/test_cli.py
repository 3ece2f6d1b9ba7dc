import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from ragwortferry.exceptions import SettingsError
from ragwortferry.settings import Settings, load_settings
from ragwortferry.tests.builders import section
from ragwortferry.utils.digests import content_digest
from standins.fleet import free_ports

BOUND_S = 30


def ragwortferry(*words, **options):
    return subprocess.run(
        [sys.executable, "-m", "ragwortferry", *map(str, words)],
        capture_output=True,
        text=True,
        timeout=BOUND_S,
        **options,
    )


def one_line(result, *words):
    assert result.returncode != 0
    lines = result.stderr.strip().splitlines()
    assert len(lines) == 1, result.stderr
    for word in words:
        assert word in lines[0]


def document(folder, **texts):
    for name, text in texts.items():
        (folder / f"{name}.toml").write_bytes(text)
    return folder


def accept(folder):
    result = ragwortferry("check", folder)
    assert result.returncode == 0, result.stderr
    (folder / "accepted.json").write_text(result.stdout)
    return json.loads(result.stdout)


def test_a_flag_goes_before_its_environment_variable():
    environ = {"RAGWORTFERRY_FANOUT": "7", "RAGWORTFERRY_ZONE": "luzon-a"}
    held = load_settings({"zone": "luzon-b"}, environ)
    assert (held.fanout, held.zone) == (7, "luzon-b")


@pytest.mark.parametrize("name", Settings.__struct_fields__)
def test_each_setting_has_help(name):
    assert f":param {name}: " in Settings.__doc__


@pytest.mark.parametrize(
    "flags",
    [
        {"zone": "UP"},
        {"listen_port": 70000},
        {"fanout": 0},
        {"mode": "ring"},
        {"target": "nowhere"},
        {"heartbeat_s": 5, "silence_s": 5},
        {"colour": "blue"},
    ],
)
def test_a_wrong_setting_is_named(flags):
    with pytest.raises(SettingsError, match=next(iter(flags))[:4]):
        load_settings(flags, {})


def test_mistakes_on_the_command_line_get_one_line(tmp_path):
    one_line(ragwortferry("fly"), "unknown command 'fly'")
    one_line(ragwortferry("run", "--colour=blue"), "unknown flag '--colour'")
    one_line(ragwortferry("run", "--zone=UP"), "--zone", "'UP'")
    one_line(ragwortferry("run", "--source=ftp://x"), "ftp")
    one_line(ragwortferry("run", "--log", tmp_path / "no" / "log"), "No such file")
    one_line(ragwortferry("status", "--at=127.0.0.1:9"), "cannot get the status")
    one_line(ragwortferry("check", tmp_path), "no section")
    one_line(ragwortferry("explain", "r", "--logs=/nowhere"), "does not exist")


def test_a_port_in_use_gets_one_line(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", free_ports("127.0.0.1", 1)[0]))
        taken.listen()
        port = taken.getsockname()[1]
        for name in ("listen_port", "owner_port", "link_port"):
            ports = dict(
                zip(
                    ("listen_port", "owner_port", "link_port"),
                    free_ports("127.0.0.1", 3),
                    strict=True,
                )
            )
            ports[name] = port
            flags = [f"--{key}={value}" for key, value in ports.items()]
            log = f"--log={tmp_path / 'log'}"
            one_line(ragwortferry("run", log, *flags), str(port))


def test_a_source_that_can_never_give_a_version_gets_one_line(tmp_path):
    names = ("listen_port", "owner_port", "link_port")
    ports = dict(zip(names, free_ports("127.0.0.1", 3), strict=True))
    flags = [f"--{name}={port}" for name, port in ports.items()]
    flags += [f"--log={tmp_path / 'log'}", "--boot-wait-s=0.3"]
    one_line(ragwortferry("run", f"--source=dir:{tmp_path}", *flags), "no version")
    one_line(ragwortferry("run", "--source=http://127.0.0.1:9", *flags), "unreachable")
    document(tmp_path, boards=section())
    accept(tmp_path)
    document(tmp_path, boards=b"team = ")
    one_line(ragwortferry("run", f"--source=dir:{tmp_path}", *flags), "'boards'")


def test_check_prints_the_verdict_the_manifest_and_the_changes(tmp_path):
    document(tmp_path, boards=section(), exports=section("archivo"))
    assert accept(tmp_path)["version"] == 1
    document(tmp_path, boards=section(timeout_ms=1500))
    result = ragwortferry("check", tmp_path)
    assert "section 'boards' changed" in result.stderr
    assert "exports" not in result.stderr
    held = json.loads(result.stdout)
    assert (held["version"], held["base"]) == (2, 1)
    document(tmp_path, boards=section(upstreams=0))
    result = ragwortferry("check", tmp_path)
    assert result.returncode == 1 and result.stdout == ""
    assert "every proxy would refuse version 2: section 'boards'" in result.stderr


def test_check_names_a_section_that_someone_else_moved(tmp_path):
    mine, theirs = tmp_path / "mine", tmp_path / "theirs"
    for folder in (mine, theirs):
        folder.mkdir()
        document(folder, boards=section(), exports=section("archivo"))
        accept(folder)
    document(theirs, exports=section("archivo", timeout_ms=9))
    accept(theirs)
    document(mine, boards=section(timeout_ms=5))
    result = ragwortferry("check", mine, f"--source=dir:{theirs}")
    assert result.returncode == 1 and result.stdout == ""
    assert "section 'exports' was changed concurrently, in version 2" in result.stderr
    assert "copy its new text" in result.stderr
    document(mine, exports=section("archivo", timeout_ms=8))
    result = ragwortferry("check", mine, f"--source=dir:{theirs}")
    assert "merge it with the local edit" in result.stderr


def test_the_short_form_leads_to_the_same_version(tmp_path):
    document(tmp_path, boards=section(), exports=section("archivo"))
    accept(tmp_path)
    document(tmp_path, boards=section(timeout_ms=1500))
    full = ragwortferry("check", tmp_path).stdout.strip()
    short = json.loads(ragwortferry("check", tmp_path, "--short").stdout)
    assert short["digest"] == content_digest(full.encode())
    assert list(short["changed"]) == ["boards"] and short["base"] == 1
    kept = tmp_path / f"manifest.{short['digest'][:12]}.json"
    kept.write_text(full)
    (tmp_path / "accepted.json").write_text(json.dumps(short))
    document(tmp_path, boards=section(timeout_ms=1400))
    assert json.loads(ragwortferry("check", tmp_path).stdout)["base"] == 2


def test_an_empty_manifest_is_not_taken_for_none(tmp_path):
    document(tmp_path, boards=section())
    (tmp_path / "accepted.json").touch()
    one_line(ragwortferry("check", tmp_path), "is empty")


def test_run_serves_from_a_directory_and_stops_on_a_signal(tmp_path):
    document(tmp_path, boards=section())
    accept(tmp_path)
    log = tmp_path / "log"
    names = ("listen_port", "owner_port", "link_port")
    ports = dict(zip(names, free_ports("127.0.0.1", 3), strict=True))
    flags = [f"--{name}={port}" for name, port in ports.items()]
    command = [sys.executable, "-m", "ragwortferry", "run", f"--source=dir:{tmp_path}"]
    with subprocess.Popen([*command, *flags, f"--log={log}"]) as process:
        try:
            at = f"127.0.0.1:{ports['owner_port']}"
            wait_for_event(log, "enforced")
            result = ragwortferry("status", f"--at={at}", "--json")
            assert json.loads(result.stdout)["version"] == 1
            process.send_signal(signal.SIGTERM)
            assert process.wait(BOUND_S) == 0
        finally:
            process.kill()
    kinds = [msgspec.json.decode(x)["message_type"] for x in log.open()]
    assert kinds[-1] == "stopped" and "drained" in kinds


def wait_for_event(log: Path, kind: str):
    """Read a growing log until an event of a kind comes."""
    end = time.monotonic() + BOUND_S
    while time.monotonic() < end:
        if log.exists() and f'"message_type":"{kind}"' in log.read_text():
            return
        time.sleep(0.02)
    raise AssertionError(f"no {kind} event")
