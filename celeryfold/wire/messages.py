"""HTTP requests and responses and their size limits."""

from __future__ import annotations

__all__ = ["MAX_BODY_BYTES", "MAX_HEADER_BYTES", "HttpRequest", "HttpResponse"]

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

MAX_BODY_BYTES = 1_500_000
MAX_HEADER_BYTES = 16_384


@dataclass(frozen=True)
class HttpRequest:
    """An HTTP request received from a client.

    :param headers: the names in lower case, with their values.
    """

    method: str
    path: str
    body: bytes = b""
    query: str = ""
    headers: Sequence[tuple[bytes, bytes]] = ()


@dataclass(frozen=True)
class HttpResponse:
    """An HTTP response.

    :param close: whether the connection closes after this response.
    """

    status: int
    body: bytes = b"{}"
    headers: list[tuple[str, str]] = field(default_factory=list)
    close: bool = False
    content_type: str = "application/json"

    @classmethod
    def from_object(cls, content: Any, status: int = 200) -> HttpResponse:
        """Return a response with a JSON body."""
        return cls(status, msgspec.json.encode(content))
