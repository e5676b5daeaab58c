"""The capacity of an instance and the weight that placement gives it."""

from __future__ import annotations

__all__ = ["DEFAULT_WEIGHT", "Capacity", "compute_capacity_weight"]

import msgspec

# Capacity of the smallest instance in use; it has weight 1.
UNIT_CORES = 0.5
UNIT_LINK_MBPS = 10.0
# Weight of an instance whose capacity is not known, and the lowest weight: a home needs
# little processor time, so a smaller instance still serves as one.
DEFAULT_WEIGHT = 1.0
# A few large instances must not become the homes of all upstreams.
MAX_WEIGHT = 8.0


class Capacity(msgspec.Struct, frozen=True):
    """The resources of an instance.

    :param cores: processor cores that it may use.
    :param link_mbps: bandwidth of its network link, in Mbit/s.
    """

    cores: float
    link_mbps: float


def compute_capacity_weight(capacity: Capacity | None) -> float:
    """Return the weight of an instance in the choice of homes, from 1 to 8.

    The scarcer resource decides.

    :param capacity: the capacity from the settings, None if they have none.
    """
    if capacity is None:
        return DEFAULT_WEIGHT
    weight = min(capacity.cores / UNIT_CORES, capacity.link_mbps / UNIT_LINK_MBPS)
    return min(max(weight, DEFAULT_WEIGHT), MAX_WEIGHT)
