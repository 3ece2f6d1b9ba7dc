"""Messages for nodes of an earlier build, whose revisions have no era.

Such a node orders by the revision of the store alone. What it says is taken to be of
the era that this node knew first, so it is outdated once the store has come back from a
copy.
"""

__all__ = ["with_era", "without_era"]

from collections.abc import Callable

from msgspec.structs import replace

from ragwortferry.mesh.links.frames import (
    Announce,
    EvacuatedZones,
    Frame,
    Hello,
    Ping,
    Pong,
    Pull,
    Registry,
    Subscribe,
)
from ragwortferry.mesh.revisions import revision_in, store_revision


def without_era(frame: Frame) -> Frame:
    """Return a message with the store's own revisions.

    >>> without_era(Pull(7, revision_in(2, 90)))
    Pull(version=7, revision=90)
    """
    return _convert(
        frame, lambda number: number if number < 0 else store_revision(number)
    )


def with_era(frame: Frame, era: int) -> Frame:
    """Return a message whose revisions are of an era.

    >>> with_era(Pull(7, 90), 2) == Pull(7, revision_in(2, 90))
    True
    """
    # Zero and negative numbers stand for nothing known.
    return _convert(
        frame,
        lambda number: (
            number if number <= 0 else revision_in(era, store_revision(number))
        ),
    )


def _convert(frame: Frame, convert: Callable[[int], int]) -> Frame:
    match frame:
        case Hello() | Ping() | Pong():
            return replace(
                frame,
                revision=convert(frame.revision),
                evacuation_revision=convert(frame.evacuation_revision),
            )
        case Announce() | Pull() | Subscribe():
            return replace(frame, revision=convert(frame.revision))
        case Registry():
            return Registry(
                convert(frame.since),
                convert(frame.revision),
                [replace(u, revision=convert(u.revision)) for u in frame.upstreams],
                [(name, convert(revision)) for name, revision in frame.removed],
            )
        case EvacuatedZones():
            return EvacuatedZones(
                [replace(c, revision=convert(c.revision)) for c in frame.changes]
            )
        case _:
            return frame
