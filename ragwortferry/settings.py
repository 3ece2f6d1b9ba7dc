"""Settings of a process: each one is a flag and an environment variable."""

__all__ = ["Settings", "load_settings"]

import os
from collections.abc import Mapping
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ragwortferry.exceptions import SettingsError

ENV_PREFIX = "RAGWORTFERRY_"

Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Name = Annotated[
    str, Meta(min_length=1, max_length=63, pattern=r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$")
]
PositiveInt = Annotated[int, Meta(ge=1, le=100_000)]


class Settings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of ``ragwortferry run``.

    :param instance: name of this instance, the name of its upstream in the document
    :param zone: availability zone
    :param region: region of the availability zone
    :param mesh: name of the mesh; links to processes of another mesh are refused
    :param host: IP number to listen on and to be reached at
    :param listen_port: port for requests of callers
    :param owner_port: port for requests of other proxies and for operators
    :param link_port: port for links between proxies
    :param target: address of the target of this instance as host:port
    :param source: where the document is read, dir:PATH or http://HOST:PORT
    :param seeds: link addresses of peers to ask first, host:port joined by commas
    :param mode: tree, or direct to let every process read the source
    :param log: file for log lines, - for standard error
    :param readers: processes in each zone that read the source
    :param fanout: children of a process in the tree
    :param max_children: children at most, before others are sent elsewhere
    :param source_rate: calls a second to the source that this process may make
    :param heartbeat_s: period of heartbeats on links, in seconds
    :param silence_s: seconds of silence after which a link is dead
    :param repair_s: seconds behind a peer after which its version is pulled
    :param status_s: period of status reports, in seconds
    :param boot_wait_s: seconds to look for peers that know the boot floor
    :param drain_s: seconds to wait for requests in flight when stopping
    :param leave_s: seconds between leaving and closing the listening ports
    :param seed: seed of the random numbers, 0 for a fresh one
    """

    instance: Name = "local"
    zone: Name = "local"
    region: Name = "local"
    mesh: Name = "mesh"
    host: str = "127.0.0.1"
    listen_port: Port = 8080
    owner_port: Port = 8081
    link_port: Port = 8082
    target: Annotated[str, Meta(pattern=r"^([0-9.]+:[0-9]+)?$")] = ""
    source: str = "dir:."
    seeds: Annotated[str, Meta(pattern=r"^([0-9.]+:[0-9]+(,[0-9.]+:[0-9]+)*)?$")] = ""
    mode: Annotated[str, Meta(pattern=r"^(tree|direct)$")] = "tree"
    log: str = "-"
    readers: PositiveInt = 2
    fanout: PositiveInt = 4
    max_children: PositiveInt = 6
    source_rate: Annotated[float, Meta(gt=0, le=2_000)] = 25.0
    heartbeat_s: Seconds = 2.0
    silence_s: Seconds = 6.0
    repair_s: Seconds = 1.0
    status_s: Seconds = 10.0
    boot_wait_s: Seconds = 3.0
    drain_s: Seconds = 3_600.0
    leave_s: Annotated[float, Meta(ge=0, le=600)] = 1.0
    seed: Annotated[int, Meta(ge=0)] = 0


def load_settings(
    flags: Mapping[str, object], environ: Mapping[str, str] = os.environ
) -> Settings:
    """Return the checked settings; a flag goes before its environment variable.

    :param flags: values given on the command line, by name.
    :param environ: environment, read for ``RAGWORTFERRY_NAME``.
    :raises SettingsError: with one line naming setting, value and rule.

    >>> load_settings({"zone": "luzon-a"}, {"RAGWORTFERRY_ZONE": "x"}).zone
    'luzon-a'
    """
    known = Settings.__struct_fields__
    values = {
        name: environ[ENV_PREFIX + name.upper()]
        for name in known
        if ENV_PREFIX + name.upper() in environ
    }
    values.update(flags)
    for name in flags:
        if name not in known:
            raise SettingsError(f"unknown setting {name!r}")
    converted = {name: _convert(name, value) for name, value in values.items()}
    settings = Settings(**converted)
    if settings.silence_s <= settings.heartbeat_s:
        raise SettingsError("silence_s must be greater than heartbeat_s")
    return settings


def _convert(name: str, value: object) -> object:
    """Return one value converted to the type of its setting."""
    setting_type = Settings.__annotations__[name]
    if not isinstance(value, str) and _is_string(name):
        value = str(value)
    try:
        return msgspec.convert(value, setting_type, strict=False)
    except msgspec.ValidationError as error:
        flag = "--" + name.replace("_", "-")
        raise SettingsError(f"{flag} {value!r}: {error}") from None


def _is_string(name: str) -> bool:
    return isinstance(Settings.__struct_defaults__[_field_index(name)], str)


def _field_index(name: str) -> int:
    return Settings.__struct_fields__.index(name)
