"""Messages between nodes, encoded with msgpack."""

__all__ = [
    "Announce",
    "Cancel",
    "Configuration",
    "Data",
    "End",
    "Failed",
    "Frame",
    "Head",
    "Hello",
    "Load",
    "Ping",
    "Pong",
    "Pull",
    "Registry",
    "Submit",
    "decode_frame",
    "encode_frame",
]

from msgspec import Struct, msgpack

from ragwortferry.mesh.model import Upstream


class Load(Struct, array_like=True, frozen=True):
    """What an owner says about its upstream.

    :param running: requests at work in the upstream.
    :param queued: requests that wait for one of its slots.
    :param slots: requests that may be at work at once.
    :param service_ms: time that the upstream takes for a request, in milliseconds.
    :param accepting: whether new requests are taken at all.
    :param waits_ms: expected wait of a new request by its rank, in milliseconds.
    :param failing: share of recent requests that the upstream turned away or failed.
    :param link_mbps: bandwidth of the instance's network link, in Mbit/s.
    :param send_ms: time until the long answers that wait have left, in milliseconds.
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


class Hello(Struct, tag=1, array_like=True):
    """First message in each direction of a link.

    :param link_mbps: bandwidth of the sender's instance, in Mbit/s.
    :param relays: whether the sender wants changes of state on this link.
    :param version: newest version of the configuration that the sender has.
    :param revision: revision of the registry up to which it is complete.
    """

    host: str
    zone: str
    incarnation: str
    relays: bool
    version: int
    revision: int
    link_mbps: float


class Ping(Struct, tag=2, array_like=True):
    """Asks for a sign of life.

    :param store_served: whether the sender reads the store with success.
    """

    token: int
    version: int
    revision: int
    store_served: bool


class Pong(Struct, tag=3, array_like=True):
    """Answers a ping."""

    token: int
    version: int
    revision: int
    store_served: bool
    load: Load


class Submit(Struct, tag=4, array_like=True):
    """Asks the owner of an upstream to run a request.

    :param key: name of the attempt, unique over all nodes.
    :param upstream: id of the upstream that is meant.
    :param left_ms: milliseconds until the answer is due.
    :param objective_ms: milliseconds until an answer loses most of its worth.
    :param caller: service of the instance on which the request began.
    :param version: version of the configuration that governs the request.
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


class Cancel(Struct, tag=5, array_like=True):
    """Withdraws a request."""

    key: str


class Head(Struct, tag=6, array_like=True):
    """Head of an answer of the upstream.

    :param length: length of the body, ``None`` if it is not announced.
    """

    key: str
    status: int
    headers: list[tuple[str, str]]
    length: int | None


class Data(Struct, tag=7, array_like=True):
    """A part of the body of an answer."""

    key: str
    data: bytes


class End(Struct, tag=8, array_like=True):
    """The answer is complete."""

    key: str
    load: Load


class Failed(Struct, tag=9, array_like=True):
    """There is no answer, or it broke off.

    :param kind: error kind.
    :param ran: what is known about whether the request ran.
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
    """Tells which state the sender has."""

    version: int
    revision: int


class Pull(Struct, tag=11, array_like=True):
    """Asks for the state that is newer than the sender's."""

    version: int
    revision: int


class Configuration(Struct, tag=12, array_like=True):
    """A version of the configuration, compressed as it was accepted."""

    version: int
    data: bytes


class Registry(Struct, tag=13, array_like=True):
    """Changes of the registry, or all of it.

    :param since: revision that the changes follow on, 0 for the whole registry.
    :param removed: id and revision of each removal.
    """

    since: int
    revision: int
    upstreams: list[Upstream]
    removed: list[tuple[str, int]]


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
)

_DECODER = msgpack.Decoder(Frame)
_ENCODER = msgpack.Encoder()


def encode_frame(frame: Frame) -> bytes:
    """Return a message as msgpack."""
    return _ENCODER.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Return the message that ``data`` holds.

    :raises msgspec.DecodeError: if it holds none.

    >>> decode_frame(encode_frame(Cancel('7')))
    Cancel(key='7')
    """
    return _DECODER.decode(data)
