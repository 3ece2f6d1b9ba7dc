"""Decodes the settings file that the platform gives each process."""

__all__ = ["Bounds", "NodeSettings", "load_node_settings", "settings_path"]

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import msgspec
from msgspec import Struct, field

from ragwortferry.exceptions import SettingsError
from ragwortferry.platform.names import PEER_PORT_VARIABLE, SETTINGS_VARIABLE
from ragwortferry.utils.sockets import Address


class _ListenAddresses(Struct):
    """Addresses: callers and the own upstream send to ``outbound``, peers to
    ``inbound``."""

    outbound: str
    inbound: str
    ready: str


class _InstanceLimits(Struct):
    memory_mb: float = 300
    link_mbps: float = 1000.0
    cores: float = 1
    cpu_share: float = 1.0


class Bounds(Struct, frozen=True):
    """Bounds that the platform sets, in seconds where the name says so.

    :param grace_s: time between SIGTERM and SIGKILL.
    :param retry_budget_ratio: arrivals beyond the first, for each request.
    :param retry_slack: arrivals beyond the first that are free in a window.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    stable_window_s: float = 3.0
    config_apply_s: float = 2.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 64.0


class _StoreSettings(Struct):
    """The store."""

    address: str
    # Reading calls a second of all nodes together.
    reads_per_s: float = 2000.0


class _Settings(Struct):
    # The name of the machine, not of the upstream beside it.
    node: str
    ip: str
    zone: str
    region: str
    listen: _ListenAddresses
    provider: _StoreSettings
    internal_port_range: tuple[int, int]
    service: str = ""
    # Control addresses of up to three nodes, which may be gone.
    seeds: list[str] = []
    # The address of the upstream beside this process.
    app_addr: str = ""
    # The period at which upstreams write their entries.
    heartbeat_s: float = 1.5
    limits: _InstanceLimits = field(default_factory=_InstanceLimits)
    bounds: Bounds = field(default_factory=Bounds)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Checked settings of a node.

    :param target: the upstream beside this node, ``None`` without one.
    :param service: service of that upstream.
    :param link: where this node accepts links; peers use the same port.
    :param peer_port: port at which other nodes are dialed.
    :param seeds: IP numbers of nodes that a new one may ask for the state; they may be
        gone.
    :param store: address of the platform's store.
    :param link_mbps: bandwidth of the instance's network link, in Mbit/s.
    """

    name: str
    zone: str
    region: str
    service: str
    host: str
    target_address: Address | None
    listen_address: Address
    readiness_address: Address
    link_address: Address
    peer_port: int
    seeds: tuple[str, ...]
    store_address: Address
    store_reads_per_s: float
    memory_mb: float
    link_mbps: float
    bounds: Bounds


def settings_path(environ: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file.

    :raises SettingsError: if the environment does not name it.
    """
    if SETTINGS_VARIABLE not in environ:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return Path(environ[SETTINGS_VARIABLE])


def load_node_settings(
    path: Path, environ: Mapping[str, str] = os.environ
) -> NodeSettings:
    """Read and check the settings file, and the settings of our own in the environment.

    :raises SettingsError: if it cannot be read or a value is missing or wrong.
    """
    try:
        settings = msgspec.convert(
            tomllib.loads(path.read_text()), _Settings, strict=False
        )
        return _to_node_settings(settings, environ)
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from None


def _to_node_settings(settings: _Settings, environ: Mapping[str, str]) -> NodeSettings:
    link_address = _parse_address(settings.listen.inbound)
    return NodeSettings(
        name=settings.node,
        zone=settings.zone,
        region=settings.region,
        service=settings.service,
        host=settings.ip,
        target_address=_parse_address(settings.app_addr) if settings.app_addr else None,
        listen_address=_parse_address(settings.listen.outbound),
        readiness_address=_parse_address(settings.listen.ready),
        link_address=link_address,
        peer_port=int(environ.get(PEER_PORT_VARIABLE, link_address.port)),
        seeds=tuple(_parse_address(text).host for text in settings.seeds),
        store_address=_parse_address(settings.provider.address),
        store_reads_per_s=settings.provider.reads_per_s,
        memory_mb=settings.limits.memory_mb,
        link_mbps=settings.limits.link_mbps,
        bounds=settings.bounds,
    )


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65_536:
        raise ValueError(f"address {text!r} is not HOST:PORT")
    return Address(host, int(port))
