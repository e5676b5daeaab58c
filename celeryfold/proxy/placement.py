"""Placement of an upstream's connections; all instances compute the same result."""

from __future__ import annotations

__all__ = [
    "N_RESERVED_CONNECTIONS",
    "PlacementCache",
    "choose_homes",
    "divide_among_homes",
    "divide_connections",
]

from collections.abc import Collection, Iterable, Mapping

from ..kernel.ids import PlaceId, RegionId
from ..kernel.rendezvous import compute_weight, scale_weight
from .messages import Peer
from .upstream import Upstream

# Connections of an upstream reserved for guardians of its service. During a change of
# guardian, the new one connects before the old one has disconnected.
N_RESERVED_CONNECTIONS = 2
# With fewer connections for each instance, instances go through homes, since a
# transaction pins a connection.
N_MIN_DIRECT_CONNECTIONS = 2
# Enough for a home to serve pinned transactions and short statements concurrently.
N_CONNECTIONS_PER_HOME = 8
# Share of an upstream's connections that is left for substitutes of lost homes.
SUBSTITUTE_SHARE = 0.25
# With more instances for each slot, their statements compete at the upstream, which
# refuses statements that find no free slot; homes queue them instead.
N_MAX_INSTANCES_PER_SLOT = 4


def choose_homes(
    upstream: Upstream,
    peers: Iterable[Peer],
    regions: Mapping[PlaceId, RegionId],
    n_connections: int,
    n_holders: int = 0,
) -> list[Peer]:
    """Return the instances that connect to an upstream directly.

    These are all instances if connections and slots suffice. Otherwise there are a few,
    at most as many as the upstream has slots: those of its data centre come first, then
    those of its region. Among instances at the same distance, the probability of being
    chosen first is proportional to capacity.

    :param peers: all instances that are alive, this one included.
    :param regions: the region of each data centre.
    :param n_connections: the connections that the upstream allows in total.
    :param n_holders: how many instances may hold connections, lost ones included. A
        small part of a large fleet that is cut off still uses a few homes.
    """
    members = sorted(peers, key=lambda peer: peer.instance_id)
    n_slots = max(upstream.n_slots, 1)
    n_shared = max(n_connections - N_RESERVED_CONNECTIONS, 1)
    n_sharing = max(len(members), n_holders)
    exceeds_slots = n_sharing > N_MAX_INSTANCES_PER_SLOT * n_slots
    if n_shared >= N_MIN_DIRECT_CONNECTIONS * n_sharing and not exceeds_slots:
        return members
    n_homes = max(min(n_shared // N_CONNECTIONS_PER_HOME, n_slots), 1)
    region = regions.get(upstream.place)

    def find_distance(peer: Peer) -> int:
        if peer.place == upstream.place:
            return 0
        return 1 if regions.get(peer.place) == region else 2

    def weigh(peer: Peer) -> tuple[float, int]:
        weight = compute_weight(upstream.upstream_id, peer.instance_id)
        return scale_weight(weight, peer.capacity)

    groups: tuple[list[Peer], ...] = ([], [], [])
    for peer in members:
        groups[find_distance(peer)].append(peer)
    homes: list[Peer] = []
    for group in groups:
        if len(homes) < n_homes:
            nearest = sorted(group, key=weigh, reverse=True)
            homes += nearest[: n_homes - len(homes)]
    return homes


class PlacementCache:
    """The homes of each upstream, computed again only after a change of members.

    Without it, each instance ranks all members for each upstream at every update, and
    the cost of an idle instance grows with the fleet.

    :param regions: the region of each data centre.
    """

    def __init__(self, regions: Mapping[PlaceId, RegionId]) -> None:
        self._regions = regions
        self._members: list[Peer] = []
        self._n_holders = 0
        self._homes: dict[tuple[Upstream, int], list[Peer]] = {}
        self.n_computed = 0

    def set_members(self, members: list[Peer], n_holders: int = 0) -> None:
        """Set the instances among which homes are chosen.

        :param n_holders: how many instances may hold connections.
        """
        if members != self._members or n_holders != self._n_holders:
            self._members = members
            self._n_holders = n_holders
            self._homes.clear()

    def find_homes(self, upstream: Upstream, n_connections: int) -> list[Peer]:
        """Return the homes of an upstream; see :func:`choose_homes`."""
        key = (upstream, n_connections)
        homes = self._homes.get(key)
        if homes is None:
            self.n_computed += 1
            homes = choose_homes(
                upstream,
                self._members,
                self._regions,
                n_connections,
                self._n_holders,
            )
            self._homes[key] = homes
        return homes

    def forget(self, upstreams: Collection[Upstream]) -> None:
        """Drop the homes of all upstreams but these."""
        stale = [key for key in self._homes if key[0] not in upstreams]
        for key in stale:
            del self._homes[key]


def divide_among_homes(n_connections: int, n_homes: int, is_substitute: bool) -> int:
    """Return how many connections one of a few homes may hold.

    A part is left for substitutes: instances that became homes because others were
    lost, which may still hold their connections.

    :param n_homes: the homes, the lost ones included and the substitutes not.
    :param is_substitute: whether the home is a substitute.
    """
    n_shared = max(n_connections - N_RESERVED_CONNECTIONS, 1)
    n_for_substitutes = int(n_shared * SUBSTITUTE_SHARE)
    n_left = n_for_substitutes if is_substitute else n_shared - n_for_substitutes
    return max(n_left // max(n_homes, 1), 1)


def divide_connections(n_connections: int, n_homes: int, rank: int) -> int:
    """Return how many connections to an upstream one home may hold.

    The sum of all shares and the reserved connections stays within the limit unless
    there are more homes than connections. The remainder goes to the first homes.

    :param rank: the index of the home among all homes, from 0.
    """
    n_shared = max(n_connections - N_RESERVED_CONNECTIONS, 1)
    share, n_left = divmod(n_shared, max(n_homes, 1))
    return max(share + (1 if rank < n_left else 0), 1)
