"""The codec for all messages between instances of the proxy."""

from __future__ import annotations

__all__ = ["PEER_CODEC"]

from ..accounts.rate_messages import RATE_CODEC_TYPES
from ..balancing.home_health import HOME_HEALTH_CODEC_TYPES
from ..links import MessageCodec
from .home import HOME_CODEC_TYPES
from .messages import AskNews, News
from .write_suspensions import SUSPENSION_CODEC_TYPES

PEER_CODEC = MessageCodec(
    AskNews
    | News
    | HOME_CODEC_TYPES
    | HOME_HEALTH_CODEC_TYPES
    | RATE_CODEC_TYPES
    | SUSPENSION_CODEC_TYPES
)
