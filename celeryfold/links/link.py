"""Interface for requests and replies between instances."""

from __future__ import annotations

__all__ = ["Handler", "MessageNotSent", "PeerLink", "PeerUnreachable"]

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec

from ..exceptions import CeleryfoldError

R = TypeVar("R")

Handler = Callable[[Any], Awaitable[Any]]


class PeerUnreachable(CeleryfoldError):
    """No reply came from a peer; it may still have handled the request."""


class MessageNotSent(PeerUnreachable):
    """A request cannot be encoded or is too large; nothing was sent to the peer."""


class PeerLink(ABC):
    """Sends typed requests to peers and handles requests from peers."""

    def __init__(self) -> None:
        self.handlers: dict[type, Handler] = {}

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Register the handler for requests of one message type."""
        self.handlers[message_type] = handler

    @abstractmethod
    async def request(
        self, address: str, message: msgspec.Struct, timeout_s: float
    ) -> Any:
        """Send a request to a peer and return its reply.

        :param address: host and port of the peer.
        :param timeout_s: seconds to wait for the reply.
        :raises MessageNotSent: if the request has no encoding of a size allowed.
        :raises PeerUnreachable: if no reply arrives in time.
        :raises RequestFailure: if the peer's handler raised it.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
