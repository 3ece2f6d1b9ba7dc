"""Settings of a node, decoded from the file that the platform provides."""

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
from ragwortferry.utils.decoding import decode_untrusted
from ragwortferry.utils.sockets import Address


class _ListenAddresses(Struct):
    """Addresses to listen on.

    :param outbound: for requests of callers, among them the upstream of this instance.
    :param inbound: for links from other nodes.
    :param ready: for readiness probes.
    """

    outbound: str
    inbound: str
    ready: str


class _InstanceLimits(Struct):
    """Resources of the instance.

    :param link_mbps: bandwidth of the network link, in Mbit/s.
    """

    memory_mb: float = 300
    link_mbps: float = 1000.0
    cores: float = 1
    cpu_share: float = 1.0


class Bounds(Struct, frozen=True):
    """Time limits and retry budget that the platform prescribes.

    :param grace_s: time between SIGTERM and SIGKILL.
    :param retry_budget_ratio: allowed ratio of retries to requests; each arrival at an
        upstream beyond the first is a retry.
    :param retry_window_s: time window over which retries are counted.
    :param retry_slack: retries that a window allows in addition to the ratio.
    :param cold_overage: factor on the rate that a cold upstream tolerates above which
        requests are counted against it, 0 if cold upstreams are not bounded.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    stable_window_s: float = 3.0
    config_apply_s: float = 2.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 64.0
    cold_overage: float = 0.0


class _StoreSettings(Struct):
    """The platform's store."""

    address: str
    # Read calls per second that all nodes may make together.
    reads_per_s: float = 2000.0


class _Settings(Struct):
    # Name of the instance, not of its upstream.
    node: str
    ip: str
    zone: str
    region: str
    listen: _ListenAddresses
    provider: _StoreSettings
    internal_port_range: tuple[int, int]
    service: str = ""
    # Control addresses of up to three nodes, which may no longer exist. Only the host
    # part is used.
    seeds: list[str] = []
    # Address of the upstream on this instance, empty if there is none.
    app_addr: str = ""
    # Interval at which upstreams renew their registry entries.
    heartbeat_s: float = 1.5
    limits: _InstanceLimits = field(default_factory=_InstanceLimits)
    bounds: Bounds = field(default_factory=Bounds)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Validated settings of a node.

    :param service: service of the upstream on this instance.
    :param host: IP address of the instance.
    :param target_address: address of the upstream on this instance, ``None`` if there
        is none.
    :param listen_address: where this node accepts requests of callers.
    :param readiness_address: where this node answers readiness probes.
    :param link_address: where this node accepts links from other nodes.
    :param peer_port: port on which other nodes accept links.
    :param seeds: IP addresses of nodes that a new node may ask for the current state;
        they may no longer exist.
    :param store_address: address of the platform's store.
    :param store_reads_per_s: read calls per second that all nodes may make together.
    :param memory_mb: memory of the instance, in MB.
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

    :raises SettingsError: if the environment variable is not set.
    """
    if SETTINGS_VARIABLE not in environ:
        raise SettingsError(f"environment variable {SETTINGS_VARIABLE} is not set")
    return Path(environ[SETTINGS_VARIABLE])


def load_node_settings(
    path: Path, environ: Mapping[str, str] = os.environ
) -> NodeSettings:
    """Return the settings from the settings file and the environment.

    :raises SettingsError: if the file cannot be read, or a value is missing or invalid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError(
            f"cannot read settings file {path}: {error.strerror}"
        ) from None
    result = decode_untrusted(lambda data: _decode_settings(data, environ), data)
    if result.is_error():
        raise SettingsError(f"settings file {path}: {result.swap().ok}")
    return result.ok


def _decode_settings(data: bytes, environ: Mapping[str, str]) -> NodeSettings:
    content = tomllib.loads(data.decode())
    settings = msgspec.convert(content, _Settings, strict=False)
    return _to_node_settings(settings, environ)


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
        raise ValueError(f"address {text!r} is not of the form HOST:PORT")
    return Address(host, int(port))
