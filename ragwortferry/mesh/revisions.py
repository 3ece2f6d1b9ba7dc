"""Revisions of the store that stay ordered when the store comes back from a copy.

The store then gives out revisions again that it had given out before, under a higher
era. All parts of a node order what they know by one integer, whose high bits are the
era and whose low bits are the store's revision.
"""

__all__ = [
    "MAX_ERA",
    "MAX_REVISION",
    "era_of",
    "revision_in",
    "store_revision",
]

ERA_BITS, REVISION_BITS = 10, 53
# Messages between nodes carry integers of 63 bits.
MAX_ERA = 2**ERA_BITS - 1
# Largest integer that JSON writers in other languages represent exactly.
MAX_REVISION = 2**REVISION_BITS - 1


def revision_in(era: int, revision: int) -> int:
    """Return the integer that stands for a revision of the store in an era.

    :param era: era of the store, 0 if it names none.
    :param revision: revision that the store has given out in this era.

    >>> revision_in(1, 90) < revision_in(1, 91) < revision_in(2, 12)
    True
    """
    return era << REVISION_BITS | revision


def era_of(revision: int) -> int:
    """Return the era of an ordered revision.

    >>> era_of(revision_in(3, 90))
    3
    """
    return revision >> REVISION_BITS


def store_revision(revision: int) -> int:
    """Return the store's own revision without its era.

    >>> store_revision(revision_in(3, 90))
    90
    """
    return revision & MAX_REVISION
