import json
import os
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

TIMEOUT_S = 30


def run_cli(*args, **options):
    return subprocess.run(
        [sys.executable, "-m", "ragwortferry", *map(str, args)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        **options,
    )


def assert_one_line_error(result, *expected):
    assert result.returncode != 0
    lines = result.stderr.strip().splitlines()
    assert len(lines) == 1, result.stderr
    for fragment in expected:
        assert fragment in lines[0]


def write_sections(folder, **texts):
    for name, text in texts.items():
        (folder / f"{name}.toml").write_bytes(text)
    return folder


def accept_sections(folder):
    result = run_cli("check", folder)
    assert result.returncode == 0, result.stderr
    (folder / "accepted.json").write_text(result.stdout)
    return json.loads(result.stdout)


def test_flag_takes_precedence_over_environment_variable():
    environ = {"RAGWORTFERRY_FANOUT": "7", "RAGWORTFERRY_ZONE": "luzon-a"}
    settings = load_settings({"zone": "luzon-b"}, environ)
    assert (settings.fanout, settings.zone) == (7, "luzon-b")


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
def test_invalid_setting_is_named_in_the_error(flags):
    with pytest.raises(SettingsError, match=next(iter(flags))[:4]):
        load_settings(flags, {})


def test_command_line_errors_are_one_line(tmp_path):
    assert_one_line_error(run_cli("fly"), "unknown command 'fly'")
    assert_one_line_error(run_cli("run", "--colour=blue"), "unknown flag '--colour'")
    assert_one_line_error(run_cli("run", "--zone=UP"), "--zone", "'UP'")
    assert_one_line_error(run_cli("run", "--source=ftp://x"), "ftp")
    assert_one_line_error(
        run_cli("run", "--log", tmp_path / "no" / "log"), "No such file"
    )
    assert_one_line_error(
        run_cli("status", "--at=127.0.0.1:9"), "cannot get the status"
    )
    assert_one_line_error(run_cli("check", tmp_path), "no section")
    assert_one_line_error(run_cli("explain", "r", "--logs=/nowhere"), "does not exist")


def test_port_in_use_is_a_one_line_error(tmp_path):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", free_ports("127.0.0.1", 1)[0]))
        listener.listen()
        port = listener.getsockname()[1]
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
            assert_one_line_error(run_cli("run", log, *flags), str(port))


def test_source_without_valid_version_is_a_one_line_error(tmp_path):
    names = ("listen_port", "owner_port", "link_port")
    ports = dict(zip(names, free_ports("127.0.0.1", 3), strict=True))
    flags = [f"--{name}={port}" for name, port in ports.items()]
    flags += [f"--log={tmp_path / 'log'}", "--boot-wait-s=0.3"]
    assert_one_line_error(
        run_cli("run", f"--source=dir:{tmp_path}", *flags), "no version"
    )
    assert_one_line_error(
        run_cli("run", "--source=http://127.0.0.1:9", *flags), "unreachable"
    )
    write_sections(tmp_path, boards=section())
    accept_sections(tmp_path)
    write_sections(tmp_path, boards=b"team = ")
    assert_one_line_error(
        run_cli("run", f"--source=dir:{tmp_path}", *flags), "'boards'"
    )


def test_check_reports_validity_and_changes_and_prints_the_manifest(tmp_path):
    write_sections(tmp_path, boards=section(), exports=section("archivo"))
    assert accept_sections(tmp_path)["version"] == 1
    write_sections(tmp_path, boards=section(timeout_ms=1500))
    result = run_cli("check", tmp_path)
    assert "section 'boards' changed" in result.stderr
    assert "exports" not in result.stderr
    manifest = json.loads(result.stdout)
    assert (manifest["version"], manifest["base"]) == (2, 1)
    write_sections(tmp_path, boards=section(upstreams=0))
    result = run_cli("check", tmp_path)
    assert result.returncode == 1 and result.stdout == ""
    assert "every proxy would refuse version 2: section 'boards'" in result.stderr


def test_check_reports_sections_changed_concurrently(tmp_path):
    local, remote = tmp_path / "local", tmp_path / "remote"
    for folder in (local, remote):
        folder.mkdir()
        write_sections(folder, boards=section(), exports=section("archivo"))
        accept_sections(folder)
    write_sections(remote, exports=section("archivo", timeout_ms=9))
    accept_sections(remote)
    write_sections(local, boards=section(timeout_ms=5))
    result = run_cli("check", local, f"--source=dir:{remote}")
    assert result.returncode == 1 and result.stdout == ""
    assert "section 'exports' was changed concurrently, in version 2" in result.stderr
    assert "copy its new text" in result.stderr
    write_sections(local, exports=section("archivo", timeout_ms=8))
    result = run_cli("check", local, f"--source=dir:{remote}")
    assert "merge it with the local edit" in result.stderr


def test_check_short_prints_a_delta_with_the_same_digest(tmp_path):
    write_sections(tmp_path, boards=section(), exports=section("archivo"))
    accept_sections(tmp_path)
    write_sections(tmp_path, boards=section(timeout_ms=1500))
    manifest = run_cli("check", tmp_path).stdout.strip()
    delta = json.loads(run_cli("check", tmp_path, "--short").stdout)
    assert delta["digest"] == content_digest(manifest.encode())
    assert list(delta["changed"]) == ["boards"] and delta["base"] == 1
    manifest_file = tmp_path / f"manifest.{delta['digest'][:12]}.json"
    manifest_file.write_text(manifest)
    (tmp_path / "accepted.json").write_text(json.dumps(delta))
    write_sections(tmp_path, boards=section(timeout_ms=1400))
    assert json.loads(run_cli("check", tmp_path).stdout)["base"] == 2


def test_empty_accepted_manifest_is_an_error_and_not_a_missing_one(tmp_path):
    write_sections(tmp_path, boards=section())
    (tmp_path / "accepted.json").touch()
    assert_one_line_error(run_cli("check", tmp_path), "is empty")


def test_run_enforces_a_directory_source_and_stops_on_sigterm(tmp_path):
    write_sections(tmp_path, boards=section())
    accept_sections(tmp_path)
    log = tmp_path / "log"
    names = ("listen_port", "owner_port", "link_port")
    ports = dict(zip(names, free_ports("127.0.0.1", 3), strict=True))
    flags = [f"--{name}={port}" for name, port in ports.items()]
    command = [sys.executable, "-m", "ragwortferry", "run", f"--source=dir:{tmp_path}"]
    with subprocess.Popen([*command, *flags, f"--log={log}"]) as process:
        try:
            address = f"127.0.0.1:{ports['owner_port']}"
            wait_for_event(log, "enforced")
            result = run_cli("status", f"--at={address}", "--json")
            assert json.loads(result.stdout)["version"] == 1
            process.send_signal(signal.SIGTERM)
            assert process.wait(TIMEOUT_S) == 0
        finally:
            process.kill()
    event_types = [msgspec.json.decode(x)["message_type"] for x in log.open()]
    assert event_types[-1] == "stopped" and "drained" in event_types


def wait_for_event(log: Path, event_type: str):
    """Poll a log file until it contains an event of a type."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if log.exists() and f'"message_type":"{event_type}"' in log.read_text():
            return
        time.sleep(0.02)
    raise AssertionError(f"no {event_type} event")


def test_start_of_a_node_loads_neither_the_parser_nor_the_metrics_library():
    code = (
        "import sys, ragwortferry.cli, ragwortferry.mesh.node;"
        "print({'fire', 'opentelemetry'} & set(sys.modules))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    )
    assert result.stdout.strip() == "set()"


def test_node_without_settings_fails_with_one_line():
    environ = {k: v for k, v in os.environ.items() if k != "RAGWORTFERRY_SETTINGS"}
    assert_one_line_error(run_cli("node", env=environ), "RAGWORTFERRY_SETTINGS")
