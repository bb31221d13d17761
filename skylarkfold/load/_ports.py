"""Selection of unused loopback addresses and ports."""

from __future__ import annotations

from collections.abc import Sequence
import contextlib
import itertools
import os
import socket

MAX_ATTEMPTS = 200
FIRST_SUBNET = 20
SUBNETS = 200

_numbers = itertools.count()


def choose_subnet() -> str:
    """Choose a /24 network of the loopback range for this process.

    :returns: its first three octets, for example ``127.23.7``.
    """
    number = os.getpid() + next(_numbers)
    return f'127.{FIRST_SUBNET + number % SUBNETS}.{number // SUBNETS % 250}'


def find_port(hosts: Sequence[str]) -> int:
    """Find a port that is free for UDP and TCP on all hosts.

    :param hosts: the addresses.
    :returns: the port.
    :raises OSError: if none was found.
    """
    for _ in range(MAX_ATTEMPTS):
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if all(_is_free(host, port) for host in hosts):
            return port
    raise OSError(f'no port is free on all of {hosts}')


def _is_free(host: str, port: int) -> bool:
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    with contextlib.ExitStack() as stack:
        for kind in kinds:
            probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
