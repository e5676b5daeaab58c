"""Reserved ports are kept from other sockets of the host.

Guards against servers that cannot start, as an outgoing connection has their port.
"""

from __future__ import annotations

import socket

import pytest
import zmq

from celeryfold.bench.ports import PortReservation


@pytest.fixture
def port():
    reservation = PortReservation(1)
    yield reservation.ports[0]
    reservation.close()


def bind(port: int, is_reused: bool) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, is_reused)
    sock.bind(("127.0.0.1", port))
    return sock


def test_another_connection_does_not_get_a_reserved_port(port):
    with pytest.raises(OSError, match="Address already in use"):
        bind(port, is_reused=False)


def test_a_server_starts_again_on_a_reserved_port(port):
    for _ in range(2):
        with bind(port, is_reused=True) as server:
            server.listen()
            with socket.create_connection(("127.0.0.1", port)):
                accepted, _ = server.accept()
                accepted.close()
    context = zmq.Context()
    with context.socket(zmq.ROUTER) as router:
        router.bind(f"tcp://127.0.0.1:{port}")
    context.term()


def test_a_reserved_port_refuses_connections_without_a_server(port):
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port))


def test_a_closed_reservation_frees_its_ports():
    reservation = PortReservation(3)
    reservation.close()
    for port in reservation.ports:
        bind(port, is_reused=False).close()
