"""Messages between instances."""

from __future__ import annotations

__all__ = [
    "AgedPeer",
    "AgedSample",
    "AskNews",
    "Duration",
    "News",
    "Peer",
    "ServiceSuspension",
]

from typing import Annotated

import msgspec

from ..balancing.capacity import DEFAULT_WEIGHT
from ..kernel.ids import Generation, InstanceId, PlaceId, ServiceId, UpstreamId
from .directory import Listing
from .positions import LogPosition


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """An instance as it describes itself to others.

    :param address: the address to which other instances connect.
    :param is_leaving: whether it is draining before it stops.
    :param reaches_store: False if the last call of the instance to the store failed.
    :param capacity: its weight in the choice of homes.
    """

    instance_id: InstanceId
    address: str
    place: PlaceId
    is_leaving: bool = False
    reaches_store: bool = True
    capacity: float = DEFAULT_WEIGHT


# State with a negative age, or with NaN, would never be replaced by newer state.
Age = Annotated[float, msgspec.Meta(ge=0)]


Duration = Annotated[float, msgspec.Meta(ge=0)]


class AgedPeer(msgspec.Struct, frozen=True, array_like=True):
    """A report of an instance with the time since it was last seen.

    :param age_s: seconds between the last contact and the writing of the message.
    """

    peer: Peer
    age_s: Age


class AgedSample(msgspec.Struct, frozen=True, array_like=True):
    """A sample of a primary with its age.

    :param position: a position that covers all commits acknowledged before the sample
        was taken.
    :param age_s: the age of the sample when the message was written, in seconds.
    """

    service: ServiceId
    upstream: UpstreamId
    position: LogPosition
    age_s: Age


class ServiceSuspension(msgspec.Struct, frozen=True, array_like=True):
    """A suspension of the writes to a service that is in force.

    :param successor: the upstream that may be written to once it leads, or None.
    :param for_s: how much longer it lasts, in seconds.
    :param token: the fencing token of the holder that requested it.
    """

    service: ServiceId
    successor: UpstreamId | None
    for_s: Duration
    token: int


class AskNews(msgspec.Struct, frozen=True, array_like=True, tag="ask_news"):
    """Request for the state that is newer than the requester's.

    :param version: the generation of the requester's configuration.
    :param revision: the revision of the requester's listing of upstreams.
    :param wants_peers: whether to include the instances that are alive.
    """

    requester: Peer
    version: Generation
    revision: int
    wants_peers: bool


class News(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """Reply with the state that the requester lacks.

    :param store_age_s: seconds since the store last answered the sender or one of the
        instances from which the sender's state comes.
    :param source: the encoded configuration, or None if the requester has it.
    :param listing: the upstreams, or None if the requester has them.
    """

    sender: Peer
    store_age_s: Age
    source: bytes | None
    listing: Listing | None
    samples: tuple[AgedSample, ...]
    peers: tuple[AgedPeer, ...]
    suspensions: tuple[ServiceSuspension, ...] = ()
