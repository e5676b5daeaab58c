"""Links between instances: typed requests and replies over ZeroMQ."""

from __future__ import annotations

__all__ = [
    "FailureReply",
    "MessageCodec",
    "MessageNotSent",
    "PeerLink",
    "PeerUnreachable",
]

from .codec import FailureReply, MessageCodec
from .link import MessageNotSent, PeerLink, PeerUnreachable
