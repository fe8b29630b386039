"""State of one connection to another process, and of its heartbeats."""

from __future__ import annotations

import dataclasses

from lovagestage.adapters.protocols import Vm
from lovagestage.bus.transport import Connection


@dataclasses.dataclass
class Link:
    """A connection to another process with the state of its heartbeats.

    Attributes:
        vm: The VM list's record of the peer process.
        connection: The open connection.
        last_answer_s: Monotonic time at which the peer last answered a
            heartbeat of this process; carried over when the connection is
            replaced.
        connected_s: Monotonic time at which the connection was opened.
        key_index: Index of the accepted key that the connection uses.
        in_use: Number of requests that prevent the link from being closed.
        answered: Whether the peer has answered a heartbeat on this
            connection, so that both directions are known to work.
        is_port_refused: Whether the peer's port refuses connections.
        sequence: Sequence number of the latest heartbeat sent.
        answered_sequence: Sequence number of the latest heartbeat answered.
        is_permanent: Whether the connection stays open while idle, as those to
            the subset do; other connections are closed when idle.
        last_hello_s: Monotonic time at which the latest heartbeat was sent.
        unanswered_since_s: Monotonic time of the first heartbeat sent since
            the peer last answered one; carried over when the connection is
            replaced. None while no heartbeat is unanswered.
        last_sent_s: Monotonic time at which a message other than a heartbeat
            was last sent.
    """

    vm: Vm
    connection: Connection
    last_answer_s: float = 0.0
    connected_s: float = 0.0
    key_index: int = 0
    in_use: int = 0
    answered: bool = False
    is_port_refused: bool = False
    sequence: int = 0
    answered_sequence: int = 0
    is_permanent: bool = True
    last_hello_s: float = 0.0
    unanswered_since_s: float | None = None
    last_sent_s: float = 0.0

    def get_unanswered_s(self, now_s: float) -> float:
        """Returns the seconds for which a heartbeat has gone unanswered."""
        return (
            0.0
            if self.unanswered_since_s is None
            else now_s - self.unanswered_since_s
        )
