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
    """How the side that opens a link uses it.

    - ``ACTIVE``: the accepting side becomes the parent and pushes updates.
    - ``LAZY``: the sides announce their state and pull updates that they miss.
    - ``PROBE``: the link is closed after the ``Welcome``.
    """

    ACTIVE = "active"
    LAZY = "lazy"
    PROBE = "probe"


class VersionId(Struct, array_like=True, frozen=True):
    """A version number and the digest of its manifest; number 0 stands for none."""

    version: Count = 0
    digest: Text = ""


class Hello(Struct, tag="hello", tag_field="t", frozen=True):
    """First message on a link, sent by the side that opened it.

    :param incarnation: identifier of the process, new at each start.
    :param mark: version that the sender enforces.
    """

    protocol: int
    mesh: Text
    instance: Instance
    incarnation: Text
    mode: Mode
    mark: VersionId
    list_revision: int


class Welcome(Struct, tag="welcome", tag_field="t", frozen=True):
    """Response to ``Hello`` or ``Subscribe``.

    :param mark: version that the responding process enforces.
    :param high: highest version that it knows any process to have enforced.
    :param accepted: whether it accepts the link in the requested mode.
    :param redirect: other instances to try if it does not.
    """

    instance: Text
    incarnation: Text
    mark: VersionId
    high: VersionId
    list_revision: int
    accepted: bool
    redirect: list[Instance] = []


class Subscribe(Struct, tag="subscribe", tag_field="t", frozen=True):
    """Changes the mode of an open link.

    The opening side requests the change and gets a ``Welcome``. The accepting side
    sends it to a child to which it stops pushing updates.
    """

    mode: Mode


class Announce(Struct, tag="announce", tag_field="t", frozen=True, array_like=True):
    """State of the sender, sent when it changes.

    :param mark: version that the sender enforces.
    :param high: highest version that it knows any process to have enforced, ``None`` if
        that is ``mark``.
    """

    mark: VersionId
    high: VersionId | None
    list_revision: int


class Beat(Struct, tag="beat", tag_field="t", frozen=True):
    """Heartbeat, sent while nothing has changed since the last ``Announce``."""


class Pull(Struct, tag="pull", tag_field="t", frozen=True):
    """Requests everything newer than the state of the sender.

    :param mark: version that the sender enforces.
    :param list_revision: revision of its instance list.
    """

    mark: VersionId
    list_revision: int


class Update(Struct, tag="update", tag_field="t", frozen=True):
    """A version as the difference from the version that the receiver enforces.

    :param base: version that the receiver enforces, number 0 for the whole document.
    :param mark: the resulting version.
    :param made_from: ``base`` field of the resulting manifest.
    :param changed: digests of the new and changed sections by name.
    :param removed: names of the removed sections.
    :param texts: zlib-compressed texts of the changed sections by digest.
    :param seen_ms: wall clock of the reader when it first read the version.
    """

    base: VersionId
    mark: VersionId
    made_from: int
    changed: dict[str, str]
    removed: list[str]
    texts: dict[str, bytes]
    seen_ms: Count = 0


class Ack(Struct, tag="ack", tag_field="t", frozen=True):
    """Acknowledges an update with the resulting state of the sender.

    :param mark: version that the sender enforces.
    :param settled: highest version that it has enforced or refused for good.
    """

    mark: VersionId
    settled: int
    list_revision: int


class RefusalNotice(Struct, tag="refusal", tag_field="t", frozen=True):
    """Reports a version that the sender refuses.

    :param final: whether the version is invalid, so that every process refuses it.
    """

    mark: VersionId
    reason: Text
    final: bool


class InstanceUpdate(Struct, tag="instances", tag_field="t", frozen=True):
    """Change of the instance list since a revision.

    :param base: revision that the change starts from, 0 for the full list.
    :param revision: revision of the list after the change.
    :param data: zlib-compressed msgpack of an ``InstanceChange``.
    """

    base: int
    revision: int
    data: bytes


class StatusGroup(Struct, array_like=True, frozen=True):
    """Instances in the same state.

    :param version: version that they enforce or, in state ``refused``, refuse.
    :param state: one of the states in ``status.py``.
    :param reason: reason of a refusal, otherwise empty.
    :param keys: concatenated 8-byte keys of the instances.
    :param age_ms: age of the oldest report in the group.
    """

    version: Count
    state: Text
    reason: Text
    keys: bytes
    age_ms: int


class SubtreeReport(Struct, tag="report", tag_field="t", frozen=True):
    """Status of the sender and all its descendants, sent to its parent."""

    groups: list[StatusGroup]


class ZoneSummary(Struct, array_like=True, frozen=True):
    """Status of one availability zone as known to the root of its tree.

    :param stamp: hybrid timestamp of the summary.
    :param age_ms: age of the oldest report in the summary.
    :param enforced: number of instances by enforced version.
    :param unproven: number of instances that enforce without a proven boot floor.
    :param refused: number of instances by version and reason, as one text.
    :param behind: names of some instances below the newest version.
    :param behind_count: number of all instances below the newest version.
    :param not_heard: names of some listed instances that no report mentions.
    :param not_heard_count: number of all listed instances that no report mentions.
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
    """Summaries of the availability zones, as known to the sender."""

    zones: list[ZoneSummary]


class Bye(Struct, tag="bye", tag_field="t", frozen=True):
    """Last message of a process that shuts down cleanly."""

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

_FIXARRAY = range(0x90, 0xA0)  # first byte of a short msgpack array


def encode_message(message: Message | Announce) -> bytes:
    """Return a message encoded as msgpack."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | Announce:
    """Return the message encoded in ``data``.

    ``Announce`` is frequent and encoded as an array; all other messages are maps.

    :raises msgspec.DecodeError: if ``data`` is not a valid message.

    >>> decode_message(encode_message(Bye(reason="restart")))
    Bye(reason='restart')
    """
    if data and data[0] in _FIXARRAY:
        return _announce_decoder.decode(data)
    return _decoder.decode(data)
