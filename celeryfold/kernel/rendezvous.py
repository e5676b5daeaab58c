"""Rendezvous hashing: all instances compute the same ranking without coordination."""

from __future__ import annotations

__all__ = ["compute_weight", "scale_weight"]

import math

import xxhash

N_HASHES = 2**64


def compute_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a node for a key; the highest weight wins.

    :param name: the name of the node.
    """
    return xxhash.xxh64_intdigest(f"{key}|{name}".encode())


def scale_weight(weight: int, capacity: float) -> tuple[float, int]:
    """Return a rendezvous weight scaled by the capacity of the node.

    With a hash mapped to u in (0, 1), the highest value of -capacity / ln(u) belongs to
    each node with a probability proportional to its capacity, and a change of one node
    moves only keys from or to that node. The unscaled weight breaks ties between hashes
    that are equal as floating-point numbers, so that equal capacities give the order of
    the unscaled weights.

    :param weight: the result of :func:`compute_weight`.
    :param capacity: the relative capacity of the node, above 0.
    """
    # Rounding maps the highest hashes to 1, of which the logarithm is 0.
    fraction = (weight + 0.5) / N_HASHES
    if fraction >= 1.0:
        return math.inf, weight
    return -capacity / math.log(fraction), weight
