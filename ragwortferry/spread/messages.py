"""Typed messages between processes, encoded as msgpack."""

__all__ = [
    "Ack",
    "Announce",
    "Beat",
    "Bye",
    "FleetReport",
    "Hello",
    "InstanceUpdate",
    "Message",
    "Mode",
    "Pull",
    "RefusalNotice",
    "StatusGroup",
    "SubtreeReport",
    "Subscribe",
    "Update",
    "VersionId",
    "Welcome",
    "ZoneSummary",
    "decode_message",
    "encode_message",
]

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ragwortferry.source.port import Instance

PROTOCOL = 1

Count = Annotated[int, Meta(ge=0, le=2**53)]
Text = Annotated[str, Meta(max_length=2_000)]


class Mode(StrEnum):
    """What the client side of a link wants."""

    ACTIVE = "active"
    LAZY = "lazy"
    PROBE = "probe"


class VersionId(Struct, array_like=True, frozen=True):
    """A version and the digest of its manifest; version 0 stands for none."""

    version: Count = 0
    digest: Text = ""


class Hello(Struct, tag="hello", tag_field="t", frozen=True):
    """First message of the client side.

    :param incarnation: name of this run of the process, new at each start.
    """

    protocol: int
    mesh: Text
    instance: Instance
    incarnation: Text
    mode: Mode
    mark: VersionId
    list_revision: int


class Welcome(Struct, tag="welcome", tag_field="t", frozen=True):
    """Answer to ``Hello`` or ``Subscribe``.

    :param mark: version that the answering process enforces.
    :param high: highest version that it knows any process to have enforced.
    :param accepted: whether it takes the client on in the mode asked for.
    :param redirect: other peers to ask, where it does not.
    """

    instance: Text
    incarnation: Text
    mark: VersionId
    high: VersionId
    list_revision: int
    accepted: bool
    redirect: list[Instance] = []


class Subscribe(Struct, tag="subscribe", tag_field="t", frozen=True):
    """Changes the mode of an open link."""

    mode: Mode


class Announce(Struct, tag="announce", tag_field="t", frozen=True, array_like=True):
    """What the sender enforces and knows, sent when it changes.

    :param high: highest version that the sender knows to have been enforced, ``None``
        if that is its own.
    """

    mark: VersionId
    high: VersionId | None
    list_revision: int


class Beat(Struct, tag="beat", tag_field="t", frozen=True):
    """Heartbeat while nothing has changed since the last ``Announce``."""


class Pull(Struct, tag="pull", tag_field="t", frozen=True):
    """Asks for all that the sender lacks, in one exchange."""

    mark: VersionId
    list_revision: int


class Update(Struct, tag="update", tag_field="t", frozen=True):
    """A version as the difference from the version that the receiver has.

    :param base: what the receiver has, version 0 for the whole document.
    :param mark: the version that results.
    :param made_from: ``base`` field of its manifest.
    :param changed: digests of the sections that differ, by name.
    :param removed: sections that are gone.
    :param texts: zlib-compressed section texts by digest.
    :param seen_ms: wall clock of the reader that first read the version.
    """

    base: VersionId
    mark: VersionId
    made_from: int
    changed: dict[str, str]
    removed: list[str]
    texts: dict[str, bytes]
    seen_ms: Count = 0


class Ack(Struct, tag="ack", tag_field="t", frozen=True):
    """Says what the sender has after an update.

    :param settled: version up to which it has come to a verdict.
    """

    mark: VersionId
    settled: int
    list_revision: int


class RefusalNotice(Struct, tag="refusal", tag_field="t", frozen=True):
    """A version that is refused, with the reason.

    :param final: whether validation refuses it everywhere for good.
    """

    mark: VersionId
    reason: Text
    final: bool


class InstanceUpdate(Struct, tag="instances", tag_field="t", frozen=True):
    """The change of the instance list since a revision.

    :param base: revision that the change starts from, 0 for the whole list.
    :param data: zlib-compressed msgpack of an ``InstanceChange``.
    """

    base: int
    revision: int
    data: bytes


class StatusGroup(Struct, array_like=True, frozen=True):
    """Instances in the same state.

    :param keys: 8-byte keys of the instances, joined.
    :param age_ms: age of the oldest knowledge in the group.
    """

    version: Count
    state: Text
    reason: Text
    keys: bytes
    age_ms: int


class SubtreeReport(Struct, tag="report", tag_field="t", frozen=True):
    """Status of the sender and of all below it, flowing up."""

    groups: list[StatusGroup]


class ZoneSummary(Struct, array_like=True, frozen=True):
    """Status of one availability zone as its root knows it.

    :param stamp: hybrid timestamp of the summary.
    :param enforced: number of instances by version.
    :param unproven: number of instances that enforce without a proved boot floor.
    :param refused: number of instances by version and reason.
    :param behind: names of instances below the newest version, bounded.
    :param not_heard: names of listed instances without a report, bounded.
    """

    zone: str
    root: str
    stamp: int
    age_ms: int
    enforced: dict[int, int]
    unproven: int
    refused: dict[str, int]
    behind: list[str]
    behind_count: int
    not_heard: list[str]
    not_heard_count: int


class FleetReport(Struct, tag="fleet", tag_field="t", frozen=True):
    """Summaries of the availability zones that the sender knows."""

    zones: list[ZoneSummary]


class Bye(Struct, tag="bye", tag_field="t", frozen=True):
    """Last message of a process that leaves in order."""

    reason: Text


Message = (
    Hello
    | Welcome
    | Subscribe
    | Beat
    | Pull
    | Update
    | Ack
    | RefusalNotice
    | InstanceUpdate
    | SubtreeReport
    | FleetReport
    | Bye
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_announce_decoder = msgspec.msgpack.Decoder(Announce)

_FIXARRAY = range(0x90, 0xA0)


def encode_message(message: Message | Announce) -> bytes:
    """Return the msgpack form of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | Announce:
    """Return the message in ``data``.

    The frequent ``Announce`` is an array, all other messages are maps.

    :raises msgspec.DecodeError: if ``data`` is no valid message.

    >>> decode_message(encode_message(Bye(reason="restart")))
    Bye(reason='restart')
    """
    if data and data[0] in _FIXARRAY:
        return _announce_decoder.decode(data)
    return _decoder.decode(data)
