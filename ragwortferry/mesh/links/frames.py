"""Messages between nodes, encoded with msgpack.

Revisions are those of :mod:`ragwortferry.mesh.revisions`, but for nodes of an earlier
build and in the hello, which have those of the store.
"""

__all__ = [
    "Advertisement",
    "Announce",
    "Bandwidths",
    "Cancel",
    "Clearance",
    "Configuration",
    "ConfigurationChange",
    "CrashReport",
    "Data",
    "End",
    "EvacuatedZones",
    "Evidence",
    "Failed",
    "Frame",
    "Head",
    "Hello",
    "Load",
    "MAX_SAMPLES",
    "Part",
    "Ping",
    "Pong",
    "Pull",
    "Registry",
    "Submit",
    "Subscribe",
    "Taken",
    "Warmup",
    "ZoneChange",
    "decode_frame",
    "encode_frame",
]

from msgspec import Struct, field, msgpack

from ragwortferry.mesh.admission.retry_after import Standing
from ragwortferry.mesh.fingerprint import RequestKind
from ragwortferry.mesh.model import Upstream

# Largest number of samples that a load report states.
MAX_SAMPLES = 1_000


class Advertisement(Struct, array_like=True, frozen=True):
    """What an upstream states about itself in its responses.

    :param upstream: id of the upstream.
    :param limit_per_s: requests per second that it accepts from all nodes together,
        ``None`` if it names no limit.
    :param age_ms: time since it last named the limit, in milliseconds.
    :param leaving: whether it is about to exit.
    :param born_ms: start time of the process that stated it, as in the registry, 0 if
        unknown.
    :param sharers: number of nodes that share the limit.
    """

    upstream: str
    limit_per_s: float | None
    age_ms: float
    leaving: bool
    born_ms: int = 0
    sharers: int = 1


class Warmup(Struct, array_like=True, frozen=True):
    """What a cold upstream tolerates until it is warm.

    :param remaining_ms: time for which it stays cold, in milliseconds.
    :param rate_per_s: requests per second that it tolerates from all nodes together.
    :param sharers: number of nodes that share the rate.
    """

    remaining_ms: float
    rate_per_s: float
    sharers: int = 1


class Load(Struct, array_like=True, frozen=True):
    """Load report of an owner about its upstream.

    :param running: number of requests that the upstream is processing.
    :param queued: number of requests that wait for one of its slots.
    :param slots: number of requests that the upstream may process concurrently.
    :param service_ms: mean service time of the upstream, in milliseconds.
    :param accepting: whether new requests are accepted at all.
    :param failing: fraction of recent requests that the upstream rejected or failed.
    :param waits_ms: expected queueing delay of a new request by its priority, in
        milliseconds.
    :param link_mbps: bandwidth of the instance's network link, in Mbit/s.
    :param send_ms: time until the long responses that wait or are expected have been
        sent, in milliseconds.
    :param advertised: what the upstream states about itself, ``None`` if nothing.
    :param samples: number of requests that ``service_ms`` was measured on, at most
        ``MAX_SAMPLES``. A node of an earlier build does not tell.
    :param warmup: what the upstream tolerates while it is cold, ``None`` if it is warm.
    :param route_ms: mean service time of the route of the request that the report
        answers, in milliseconds, 0 if unknown.
    """

    running: int
    queued: int
    slots: int
    service_ms: float
    accepting: bool
    failing: float
    waits_ms: dict[int, float]
    link_mbps: float
    send_ms: float
    advertised: Advertisement | None = None
    samples: int = MAX_SAMPLES
    warmup: Warmup | None = None
    route_ms: float = 0.0


class Hello(Struct, tag=1, array_like=True):
    """First message in each direction of a link.

    :param host: IP address of the sender.
    :param zone: availability zone of the sender.
    :param incarnation: unique id of this run of the sender's process.
    :param relays: whether the sender subscribes to changes of state on this link.
    :param version: version of the configuration that the sender enforces.
    :param revision: revision up to which the sender has the complete registry.
    :param link_mbps: bandwidth of the sender's instance, in Mbit/s.
    :param advertised: what the sender knows of the upstreams beside the receiver. The
        receiver may have been restarted since they stated it.
    :param reports_taken: whether the sender understands and sends :class:`Taken`.
    :param shares_evidence: whether the sender understands and sends
        :class:`Evidence`.
    :param evacuation_revision: revision of the newest change of the evacuated zones
        that the sender knows, -1 if it is of a build that knows none.
    :param era: era of ``revision``, -1 if the sender is of a build that knows no eras.
    :param evacuation_era: era of ``evacuation_revision``.
    """

    host: str
    zone: str
    incarnation: str
    relays: bool
    version: int
    revision: int
    link_mbps: float
    advertised: list[Advertisement] = field(default_factory=list)
    reports_taken: bool = False
    shares_evidence: bool = False
    evacuation_revision: int = -1
    era: int = -1
    evacuation_era: int = 0


class Ping(Struct, tag=2, array_like=True):
    """Heartbeat request.

    :param token: sequence number of the ping, repeated in its pong.
    :param version: as in :class:`Hello`.
    :param revision: as in :class:`Hello`.
    :param store_served: whether the store is available to the sender.
    :param evacuation_revision: as in :class:`Hello`.
    """

    token: int
    version: int
    revision: int
    store_served: bool
    evacuation_revision: int = -1


class Pong(Struct, tag=3, array_like=True):
    """Response to a ping, or an unsolicited load report with token 0."""

    token: int
    version: int
    revision: int
    store_served: bool
    load: Load
    evacuation_revision: int = -1


class Submit(Struct, tag=4, array_like=True):
    """Request to the owner of an upstream to run an attempt.

    :param key: id of the attempt, unique over all nodes.
    :param upstream: id of the upstream that must run it.
    :param left_ms: milliseconds until the deadline.
    :param objective_ms: milliseconds until the latency objective, after which a
        response is much less useful.
    :param priority: 0 is the highest.
    :param repeatable: whether the request is idempotent.
    :param version: version of the configuration that the request is routed by.
    :param caller: service of the instance whose node received the request.
    :param trial: whether to run it although it is known to crash upstreams.
    :param standing: value of a
        :class:`~ragwortferry.mesh.admission.retry_after.Standing`.
    """

    key: str
    request_id: str
    upstream: str
    left_ms: float
    objective_ms: float
    priority: int
    repeatable: bool
    route: str
    version: int
    caller: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    trial: bool = False
    standing: int = Standing.NEW


class Cancel(Struct, tag=5, array_like=True):
    """Request to the owner to cancel an attempt."""

    key: str


class Head(Struct, tag=6, array_like=True):
    """Status and headers of an upstream's response.

    :param length: length of the body, ``None`` if it is not known in advance.
    """

    key: str
    status: int
    headers: list[tuple[str, str]]
    length: int | None


class Data(Struct, tag=7, array_like=True):
    """A part of the body of a response."""

    key: str
    data: bytes


class End(Struct, tag=8, array_like=True):
    """End of a complete response."""

    key: str
    load: Load


class Failed(Struct, tag=9, array_like=True):
    """Report that an attempt has no response, or a truncated one.

    :param kind: value of an :class:`~ragwortferry.exceptions.ErrorKind`.
    :param ran: value of an :class:`~ragwortferry.exceptions.Outcome`, which states
        whether the request ran.
    :param detail: sentence for the log.
    :param retry_after_s: seconds after which to try again, 0 if unknown.
    :param offered: whether the request was sent to the upstream.
    """

    key: str
    kind: str
    ran: str
    detail: str
    retry_after_s: float
    offered: bool
    load: Load


class Announce(Struct, tag=10, array_like=True):
    """Announcement of the state that the sender has, without its content."""

    version: int
    revision: int


class Pull(Struct, tag=11, array_like=True):
    """Request for all state that is newer than the sender's.

    :param version: version of the configuration that the sender enforces.
    :param revision: revision up to which the sender has the complete registry.
    """

    version: int
    revision: int


class Configuration(Struct, tag=12, array_like=True):
    """A version of the configuration.

    :param data: the accepted configuration, compressed with zlib.
    """

    version: int
    data: bytes


class Registry(Struct, tag=13, array_like=True):
    """Changes of the registry, or a snapshot of it.

    :param since: revision that the changes are based on, 0 for a snapshot.
    :param revision: revision after the changes.
    :param upstreams: added and changed upstreams.
    :param removed: id and revision of each removal.
    """

    since: int
    revision: int
    upstreams: list[Upstream]
    removed: list[tuple[str, int]]


class Subscribe(Struct, tag=14, array_like=True):
    """Change of the subscription that the sender's hello has stated.

    :param relays: as in :class:`Hello`.
    :param version: as in :class:`Hello`.
    :param revision: as in :class:`Hello`.
    """

    relays: bool
    version: int
    revision: int


class Bandwidths(Struct, tag=15, array_like=True):
    """Bandwidths of the hubs that the sender knows.

    :param hubs: IP address of each and its bandwidth in Mbit/s.
    """

    hubs: list[tuple[str, float]]


class ConfigurationChange(Struct, tag=16, array_like=True):
    """Difference between two versions of the configuration.

    :param base: version that the difference is based on.
    :param data: see :class:`~ragwortferry.mesh.history.DocumentChange`.
    """

    base: int
    version: int
    data: bytes


class Part(Struct, tag=17, array_like=True):
    """Part of a long message, so that short messages can pass it.

    :param data: next bytes of the encoded message.
    :param last: whether the message is complete.
    """

    data: bytes
    last: bool


class Taken(Struct, tag=18, array_like=True):
    """Report that the caller has taken a part of the body of a long response.

    :param size: number of bytes since the last report.
    """

    key: str
    size: int


class CrashReport(Struct, array_like=True, frozen=True):
    """Crash of an upstream.

    :param id: identifies the crash in the fleet.
    :param age_ms: time since the crash, in milliseconds.
    :param suspects: requests that were at work and may be its cause.
    """

    id: str
    age_ms: float
    suspects: list[RequestKind]


class Clearance(Struct, array_like=True, frozen=True):
    """Statement that a request has run to its end since some crashes.

    :param crashes: ids of the crashes that it is not the cause of.
    """

    kind: RequestKind
    crashes: list[str]


class Evidence(Struct, tag=19, array_like=True):
    """What is known for and against requests under which upstreams have crashed."""

    crashes: list[CrashReport]
    clearances: list[Clearance]


class ZoneChange(Struct, array_like=True, frozen=True):
    """Begin or end of the evacuation of an availability zone.

    :param revision: revision of the store at which the operator changed it.
    """

    zone: str
    revision: int
    evacuated: bool


class EvacuatedZones(Struct, tag=20, array_like=True):
    """The newest change of each zone that was ever evacuated, as the sender knows."""

    changes: list[ZoneChange]


Frame = (
    Hello
    | Ping
    | Pong
    | Submit
    | Cancel
    | Head
    | Data
    | End
    | Failed
    | Announce
    | Pull
    | Configuration
    | Registry
    | Subscribe
    | Bandwidths
    | ConfigurationChange
    | Part
    | Taken
    | Evidence
    | EvacuatedZones
)

_DECODER = msgpack.Decoder(Frame)
_ENCODER = msgpack.Encoder()


def encode_frame(frame: Frame) -> bytes:
    """Return a message encoded with msgpack."""
    return _ENCODER.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Return the message that is encoded in ``data``.

    :raises msgspec.DecodeError: if ``data`` is not a valid message.

    >>> decode_frame(encode_frame(Cancel('7')))
    Cancel(key='7')
    """
    return _DECODER.decode(data)
