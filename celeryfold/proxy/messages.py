"""Messages between instances that carry news."""

from __future__ import annotations

__all__ = ["PEER_CODEC", "AgedSample", "AskNews", "News", "Peer"]

import msgspec

from ..kernel.ids import Generation, InstanceId, PlaceId, ServiceId, UpstreamId
from ..links.codec import MessageCodec
from .directory import Listing
from .positions import LogPosition


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """Describe an instance.

    :param address: where other instances connect.
    """

    instance_id: InstanceId
    address: str
    place: PlaceId
    is_leaving: bool = False


class AgedSample(msgspec.Struct, frozen=True, array_like=True):
    """Pass a sample on.

    :param age_s: its age when the message was written, in seconds.
    """

    service: ServiceId
    upstream: UpstreamId
    position: LogPosition
    age_s: float


class AskNews(msgspec.Struct, frozen=True, array_like=True, tag="ask_news"):
    """Ask a peer for what is newer than this.

    :param version: the configuration that the asker has.
    :param revision: the listing of upstreams that the asker has.
    :param peers_digest: hash of the peers that the asker knows.
    """

    asker: Peer
    version: Generation
    revision: int
    peers_digest: int


class News(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """Answer with what the asker lacks.

    :param source: the configuration's bytes, or None where the asker has it.
    :param store_age_s: how old the newest word of the store is that this rests on.
    :param peers: those that the sender hears, empty where the asker knows the same.
    """

    me: Peer
    store_age_s: float
    source: bytes | None
    listing: Listing | None
    samples: tuple[AgedSample, ...]
    peers: tuple[Peer, ...]


PEER_CODEC = MessageCodec(AskNews | News)
