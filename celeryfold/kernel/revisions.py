"""Revisions of a store that rise over all its eras.

A store that is restored from an older copy gives revisions out again; its era then
rises by one. A revision here holds the era in its high bits, so that any revision of an
era is higher than all of earlier eras. In era 0, that of a store without eras, it is
the number of the store itself.
"""

from __future__ import annotations

__all__ = ["find_era", "find_number", "join_revision"]

# Leaves room for 10^12 changes in an era, and for 2^23 eras in a signed 64-bit integer.
NUMBER_BITS = 40
_NUMBER_MASK = (1 << NUMBER_BITS) - 1


def join_revision(era: int, number: int) -> int:
    """Return the revision for the number that a store gave out in an era."""
    return era << NUMBER_BITS | number


def find_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def find_number(revision: int) -> int:
    """Return the number that the store gave out."""
    return revision & _NUMBER_MASK
