"""Ports that are held for processes which listen on them later."""

from __future__ import annotations

import socket

import pytest

from tests.standins.ports import HOST, HeldPorts

OTHER_HOST = "127.0.0.10"


def listen(host: str, port: int) -> socket.socket:
    """Listen as twisted does."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, port))
    listening.listen()
    return listening


def test_a_held_port_is_not_given_to_another_run() -> None:
    # Two test runs on one machine chose the same ports, and controllers did not start.
    held, other = HeldPorts(), HeldPorts()
    ports = [held.take((HOST, OTHER_HOST)) for _ in range(200)]
    other_ports = [other.take() for _ in range(200)]
    assert not set(ports) & set(other_ports)
    with socket.socket() as probe, pytest.raises(OSError):
        probe.bind((OTHER_HOST, ports[0]))


def test_a_held_port_refuses_calls_until_its_user_listens_also_after_a_restart() -> None:
    held = HeldPorts()
    port = held.take()
    for _ in range(2):
        with socket.socket() as caller, pytest.raises(ConnectionRefusedError):
            caller.connect((HOST, port))
        with listen(HOST, port), socket.socket() as caller:
            caller.connect((HOST, port))


def test_a_released_port_stays_with_who_listens_on_it() -> None:
    held = HeldPorts()
    port = held.take()
    with listen(HOST, port):
        held.release(port)
        with pytest.raises(OSError):
            listen(HOST, port)
