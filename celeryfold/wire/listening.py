"""Listening sockets."""

from __future__ import annotations

__all__ = ["open_listeners"]

import trio

from ..exceptions import BadInput

LISTEN_BACKLOG = 1024


async def open_listeners(host: str, port: int) -> list[trio.SocketListener]:
    """Listen on an address.

    :raises BadInput: if the port cannot be opened.
    """
    try:
        return await trio.open_tcp_listeners(port, host=host, backlog=LISTEN_BACKLOG)
    except OSError as error:
        text = f"cannot listen on {host}:{port}: {error.strerror}"
        raise BadInput(f"{text}; free the port or configure another") from error
