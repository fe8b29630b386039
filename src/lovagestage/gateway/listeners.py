"""The socket on which callers' connections arrive."""

from __future__ import annotations

import socket

from lovagestage.exceptions import ListenError

BACKLOG = 1024
"""Connections that may wait to be accepted; a burst after a restart brings
those of all callers at once."""


def open_listener(address: str) -> socket.socket:
    """Listens at `IP:PORT`; connections wait until they are accepted.

    A process that starts needs most of its time for imports. The port of one
    that does not listen yet resets every connection, and callers whose retry
    falls into that time lose their request. With the port open first they
    wait a few tenths of a second instead.

    Raises:
        ListenError: The address is not this VM's or is in use.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # The connections of the process before may still be closing.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise ListenError(address, str(error.strerror)) from error
    listener.setblocking(False)
    return listener
