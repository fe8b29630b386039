"""Ports for listeners of processes that are started side by side."""

from __future__ import annotations

import contextlib
import fcntl
import functools
import itertools
import os
import pathlib
import socket
import tempfile
from collections.abc import Iterator

HOST = "127.0.0.1"
LISTENER_PORTS = range(10_000, 32_000)
"""Below the range for outgoing connections on Linux."""
PORTS_PER_PROCESS = 400
"""A test run's worker has a few dozen listeners open at a time."""


class NoPortError(Exception):
    """No port is left for a listener."""


def get_free_port() -> int:
    """Finds a port that nothing uses.

    A port that the kernel picks may be picked again for an outgoing
    connection before the process that is to listen on it has started, which
    then ends with "address already in use". The kernel picks none of these,
    and this process gives each out again only after all the others.

    Raises:
        NoPortError: All are in use.
    """
    for port in itertools.islice(_get_ports(), PORTS_PER_PROCESS):
        if _is_free(port, socket.SOCK_STREAM) and _is_free(
            port, socket.SOCK_DGRAM
        ):
            return port
    raise NoPortError("No port is free.")


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    """Whether nothing is bound to a port.

    Gateways whose launcher was killed run on and hold a port for datagrams
    alone; a gateway that is given it ends with "address already in use".
    """
    with socket.socket(type=kind) as probe, contextlib.suppress(OSError):
        probe.bind((HOST, port))
        return True
    return False


@functools.cache
def _get_ports() -> Iterator[int]:
    first = LISTENER_PORTS[claim_part() * PORTS_PER_PROCESS]
    return itertools.cycle(range(first, first + PORTS_PER_PROCESS))


def claim_part() -> int:
    """Claims a part of the ports for this process alone, until it ends.

    Two launchers with ports of one part would start a process where the other
    one's has just been killed. Its peers then talk to a stranger: commands
    wait for processes that never answer, and requests are refused.

    Raises:
        NoPortError: Other processes have claimed all parts.
    """
    folder = pathlib.Path(tempfile.gettempdir()) / "lovagestage-ports"
    folder.mkdir(exist_ok=True)
    for part in range(len(LISTENER_PORTS) // PORTS_PER_PROCESS):
        descriptor = os.open(folder / f"{part}.lock", os.O_RDWR | os.O_CREAT)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            continue
        # The lock lasts as long as the descriptor, and so as the process.
        return part
    raise NoPortError("Other launchers have claimed all ports.")
