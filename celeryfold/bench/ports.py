"""Reservations of ports for processes that are started later, or again and again."""

from __future__ import annotations

__all__ = ["PortReservation"]

import socket

LOOPBACK = "127.0.0.1"


class PortReservation:
    """Ports of the loopback interface that are reserved from creation to ``close``.

    Each is bound with ``SO_REUSEADDR`` and does not listen, so that the kernel assigns
    it neither to an outgoing connection nor to a socket that asks for any port. A
    process with the same option, which servers commonly set, can still listen on it.

    :param n_ports: number of ports.
    :raises OSError: if the host has not as many free ports.
    """

    def __init__(self, n_ports: int) -> None:
        self._sockets = [_bind_any_port() for _ in range(n_ports)]
        self.ports = tuple(sock.getsockname()[1] for sock in self._sockets)

    def close(self) -> None:
        """Free the ports; a process that listens on one keeps it."""
        for sock in self._sockets:
            sock.close()


def _bind_any_port() -> socket.socket:
    sock = socket.socket()
    sock.bind((LOOPBACK, 0))
    # Not before the port was assigned: with the option, the kernel may assign the port
    # of another socket that has it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock
