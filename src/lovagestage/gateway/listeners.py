"""Opens the sockets on which a gateway accepts connections."""

from __future__ import annotations

import socket

from lovagestage.exceptions import ListenError

BACKLOG = 1024
"""Length of the queue of connections that wait to be accepted. After a restart
all callers connect at the same time."""


def open_listener(address: str) -> socket.socket:
    """Opens a listening socket; the kernel queues connections until `accept`.

    A starting process spends most of its time on imports. While its port is
    closed, every connection to it is reset, and a caller whose retry falls into
    that time loses its request. If the port is opened first, callers wait a few
    tenths of a second instead.

    Args:
        address: `IP:PORT` to listen on.

    Returns:
        The non-blocking listening socket.

    Raises:
        ListenError: The address does not belong to this VM or is in use.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Connections of the previous process may still be in the TIME_WAIT
        # state.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise ListenError(address, str(error.strerror)) from error
    listener.setblocking(False)
    return listener
