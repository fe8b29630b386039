"""One connection to another process, and what was heard on it."""

from __future__ import annotations

import dataclasses

from lovagestage.adapters.protocols import Vm
from lovagestage.bus.transport import Connection


@dataclasses.dataclass
class Link:
    """One connection.

    Attributes:
        vm: The other process's place in the VM list.
        connection: The open connection.
        heard_s: Monotonic time at which a heartbeat of this process was last
            answered, over reconnections.
        connected_s: Monotonic time at which the connection was opened.
        key_index: Which accepted key the connection uses.
        in_use: Number of requests that keep the link from being closed.
        answered: Whether this connection has carried a heartbeat both ways.
        gone: The process's port refuses connections.
        sequence: Number of the latest heartbeat sent.
        heard_sequence: Number of the latest heartbeat answered.
        kept: It belongs to the subset; others are closed when idle.
        hello_s: Monotonic time of the latest heartbeat sent.
        asked_s: Monotonic time of the first heartbeat sent since one was
            answered, over reconnections; None where none is unanswered.
        used_s: Monotonic time at which something else was last sent.
    """

    vm: Vm
    connection: Connection
    heard_s: float = 0.0
    connected_s: float = 0.0
    key_index: int = 0
    in_use: int = 0
    answered: bool = False
    gone: bool = False
    sequence: int = 0
    heard_sequence: int = 0
    kept: bool = True
    hello_s: float = 0.0
    asked_s: float | None = None
    used_s: float = 0.0

    def get_silent_s(self, now_s: float) -> float:
        """How long a heartbeat has gone unanswered."""
        return 0.0 if self.asked_s is None else now_s - self.asked_s
