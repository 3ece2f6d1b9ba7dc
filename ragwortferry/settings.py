"""Settings of a process, read from flags and environment variables."""

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

    :param instance: name of this instance and of its upstream in the document
    :param zone: availability zone
    :param region: region that the availability zone belongs to
    :param mesh: name of the mesh; links to processes of other meshes are refused
    :param host: IP address to listen on, which peers connect to
    :param listen_port: port for requests from callers
    :param owner_port: port for requests from other proxies and from operators
    :param link_port: port for links between proxies
    :param target: address of the target on this instance, as host:port
    :param source: source of the document, dir:PATH or http://HOST:PORT
    :param seeds: link addresses of initial peers, comma-separated host:port
    :param mode: tree, or direct to let every process read the source
    :param log: log file, - for standard error
    :param readers: number of processes per zone that read the source
    :param fanout: number of children of a process in the distribution tree
    :param max_children: maximum number of children; further ones are redirected
    :param source_rate: maximum rate of calls to the source, per second
    :param heartbeat_s: interval of heartbeats on links, in seconds
    :param silence_s: seconds without a message after which a link is considered dead
    :param repair_s: seconds of lag behind a peer after which its version is pulled
    :param status_s: interval of status reports, in seconds
    :param boot_wait_s: seconds to wait at start for peers that know the boot floor
    :param drain_s: seconds to wait for requests in flight at shutdown
    :param leave_s: seconds of draining before the listening ports are closed
    :param seed: seed of the random number generator, 0 for a random one
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
    """Return the validated settings; flags take precedence over the environment.

    :param flags: values from the command line, by setting.
    :param environ: environment variables; ``RAGWORTFERRY_ZONE`` sets ``zone``.
    :raises SettingsError: if a setting is unknown or invalid; one line that names
        setting, value and rule.

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
    """Return a value converted to the type of its setting.

    :raises SettingsError: with flag, value and rule in one line.
    """
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
