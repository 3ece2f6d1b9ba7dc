"""The command line interface."""

__all__ = ["main"]

import inspect
import os
import sys
from collections.abc import Callable

from ragwortferry import __version__
from ragwortferry.exceptions import SettingsError
from ragwortferry.settings import Settings, load_settings
from ragwortferry.utils.decorators import one_line_errors

DEFAULT_STATUS_ADDRESS = "127.0.0.1:8081"


def _with_settings(function: Callable) -> Callable:
    """Add a flag for each setting to a command, with help from ``Settings``."""
    fields = zip(Settings.__struct_fields__, Settings.__struct_defaults__, strict=True)
    parameters = [
        inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, default=default)
        for name, default in fields
    ]
    function.__signature__ = inspect.Signature(parameters)
    settings_help = inspect.cleandoc(Settings.__doc__).partition("\n\n")[2]
    function.__doc__ = f"{inspect.cleandoc(function.__doc__)}\n\n{settings_help}"
    return function


@_with_settings
@one_line_errors
def run(**flags) -> None:
    """Run the proxy of this instance until it receives a stop signal.

    Each flag can also be set by an environment variable, such as RAGWORTFERRY_ZONE.
    """
    explicit = {
        name: value for name, value in flags.items() if _is_explicit(name, value)
    }
    settings = load_settings(explicit)
    from ragwortferry.composition import Process

    raise SystemExit(Process(settings).run())


def _is_explicit(name: str, value: object) -> bool:
    """Return whether a flag is on the command line, even with its default value."""
    position = Settings.__struct_fields__.index(name)
    if value != Settings.__struct_defaults__[position]:
        return True
    flag = "--" + name
    present = [word.partition("=")[0].replace("-", "_") for word in sys.argv]
    return flag.replace("-", "_") in present


@one_line_errors
def node() -> None:
    """Run the node of this instance on the platform until it receives a stop signal.

    The environment variable RAGWORTFERRY_SETTINGS holds the path of its settings file.
    """
    from ragwortferry.mesh.node import Node
    from ragwortferry.platform.settings import settings_path

    raise SystemExit(Node(settings_path()).run())


@one_line_errors
def check(
    directory: str,
    against: str = "",
    source: str = "",
    version: int = 0,
    short: bool = False,
) -> None:
    """Check a document before it is accepted and print the manifest to publish.

    The report is printed to standard error, the manifest to standard output.

    :param directory: sections as NAME.toml, and accepted.json that they are based on
    :param against: manifest that the sections are based on, instead of accepted.json
    :param source: platform to read the currently accepted version from
    :param version: number of the new version, 0 for the next one
    :param short: print a delta; the manifest must be published too, under its digest
    """
    from ragwortferry.document.check import run_check

    raise SystemExit(run_check(str(directory), against, source, version, short))


@one_line_errors
def status(
    at: str = DEFAULT_STATUS_ADDRESS,
    version: int = 0,
    json: bool = False,
    watch: float = 0,
) -> None:
    """Print the rollout status of a version in the fleet, as known to one process.

    Exit code 0: every listed instance enforces it; 2: not all do; 1: no response.

    :param at: host:port of the owner port of any process
    :param version: version to query, 0 for the newest known one
    :param json: print JSON
    :param watch: seconds between queries, repeated until every instance enforces it
    """
    from ragwortferry.record.status import run_status

    raise SystemExit(run_status(at, version, json, watch))


@one_line_errors
def explain(request_id: str, logs: str, document: str = "", json: bool = False) -> None:
    """Show which configuration governed a request, from collected logs.

    :param request_id: ID of the request
    :param logs: log files or directories, separated by commas
    :param document: directory with the section texts, to print the governing section
    :param json: print JSON
    """
    from ragwortferry.record.explain import run_explain

    paths = logs if isinstance(logs, tuple) else str(logs).split(",")
    raise SystemExit(run_explain(str(request_id), paths, document, json))


@one_line_errors
def timeline(
    logs: str,
    instance: str = "",
    zone: str = "",
    version: int = 0,
    request: str = "",
    since: str = "",
    until: str = "",
    html: str = "",
) -> None:
    """Print the events of all processes in causal order.

    :param logs: log files or directories, separated by commas
    :param instance: only events of this instance
    :param zone: only events of this availability zone
    :param version: only events about this version
    :param request: only events about this request ID
    :param since: only events from this UTC time on, such as 2026-01-31T12:00:00
    :param until: only events before this UTC time
    :param html: write an HTML page with one lane per process to this file
    """
    from ragwortferry.record.timeline import EventFilter, run_timeline

    paths = logs if isinstance(logs, tuple) else str(logs).split(",")
    event_filter = EventFilter(
        instance, zone, version, str(request), str(since), str(until)
    )
    raise SystemExit(run_timeline(paths, event_filter, html))


def version() -> None:
    """Print the version of the program."""
    print(f"ragwortferry {__version__}")


COMMANDS = {
    "run": run,
    "node": node,
    "check": check,
    "status": status,
    "explain": explain,
    "timeline": timeline,
    "version": version,
}


@one_line_errors
def _reject_unknown(words: list[str]) -> None:
    """Raise an error for a command or flag that does not exist."""
    if not words or words[0] in ("-h", "--help", "--"):
        return
    if words[0] not in COMMANDS:
        known = ", ".join(COMMANDS)
        raise SettingsError(f"unknown command {words[0]!r}; commands: {known}")
    parameters = inspect.signature(COMMANDS[words[0]]).parameters
    for word in words[1:]:
        name = word.partition("=")[0].lstrip("-").replace("-", "_")
        if word == "--":
            return
        if word.startswith("--") and name != "help" and name not in parameters:
            raise SettingsError(f"unknown flag {word.partition('=')[0]!r}")


def main() -> None:
    """Run the command given on the command line."""
    os.environ["PAGER"] = "-"
    _reject_unknown(sys.argv[1:])
    if sys.argv[1:] == ["node"]:
        node()
        return
    # Loading the parser takes a sixth of the start of a node, which has no flags.
    import fire

    try:
        fire.Fire(COMMANDS, name="ragwortferry")
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
