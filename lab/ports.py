"""Allocates listener ports for processes that run concurrently on a machine."""

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
"""Ports for listeners, below Linux's default range for outgoing connections."""
PORTS_PER_PROCESS = 400
"""Size of a process's share of the ports.

It exceeds the few dozen listeners that a test worker has open at a time.
"""


class NoPortError(Exception):
    """No port is available for a listener."""


def get_free_port() -> int:
    """Finds a port that no process uses.

    The kernel may assign a port that it chose for a listener to an outgoing
    connection before the listening process has started. This process then
    fails with "address already in use". The kernel assigns no ports of
    `LISTENER_PORTS` by itself, and this process returns a port again only
    after all other ports of its share.

    Raises:
        NoPortError: All ports of this process's share are in use.
    """
    for port in itertools.islice(_get_ports(), PORTS_PER_PROCESS):
        if _is_free(port, socket.SOCK_STREAM) and _is_free(
            port, socket.SOCK_DGRAM
        ):
            return port
    raise NoPortError("No port is free.")


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    """Returns whether a port can be bound for one type of socket.

    A gateway whose launcher was killed keeps running and may hold a port for
    datagrams only. Another gateway that is given this port fails with "address
    already in use".
    """
    with socket.socket(type=kind) as probe, contextlib.suppress(OSError):
        probe.bind((HOST, port))
        return True
    return False


@functools.cache
def _get_ports() -> Iterator[int]:
    first = LISTENER_PORTS[claim_share() * PORTS_PER_PROCESS]
    return itertools.cycle(range(first, first + PORTS_PER_PROCESS))


def claim_share() -> int:
    """Claims a share of the ports for this process until the process ends.

    If two launchers used the same ports, one could start a process on a port
    where a process of the other launcher was just killed. Peers of the killed
    process would connect to a process of a foreign fleet: commands wait for
    processes that never answer, and requests are refused.

    Returns:
        Index of the claimed share.

    Raises:
        NoPortError: Other processes have claimed all shares.
    """
    folder = pathlib.Path(tempfile.gettempdir()) / "lovagestage-ports"
    folder.mkdir(exist_ok=True)
    for share in range(len(LISTENER_PORTS) // PORTS_PER_PROCESS):
        descriptor = os.open(folder / f"{share}.lock", os.O_RDWR | os.O_CREAT)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            continue
        # The descriptor is never closed, so the process holds the lock until
        # it ends.
        return share
    raise NoPortError("Other launchers have claimed all ports.")
