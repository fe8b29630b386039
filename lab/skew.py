"""What was served while most new connections went to one gateway."""

from __future__ import annotations

import dataclasses

MIN_SERVED_RATIO = 0.75
"""Minimum of the ratio of requests that are served, as a share of the ratio in
the seconds before."""
MIN_REQUESTS = 20
"""Number of requests from which on a time can be judged."""


@dataclasses.dataclass(frozen=True)
class SkewResult:
    """Requests of a time of skewed connections, and of the seconds before.

    Attributes:
        gateway: The gateway that got most connections.
        before: Requests of the seconds before, and how many were served.
        during: The same from the time on after which a gateway is in touch.
        unread: Requests of that time of which no attempt was read, where that
            is known.
    """

    gateway: str
    before: tuple[int, int]
    during: tuple[int, int]
    unread: int | None = None

    @property
    def ratio(self) -> float:
        """Ratio of served requests, as a share of the ratio before."""
        before = self.before[1] / max(1, self.before[0])
        return self.during[1] / max(1, self.during[0]) / max(1e-9, before)

    @property
    def can_be_judged(self) -> bool:
        """Whether there were enough requests."""
        return min(self.before[0], self.during[0]) >= MIN_REQUESTS

    def __str__(self) -> str:
        unread = "" if self.unread is None else f", {self.unread} unread"
        return (
            f"skew to {self.gateway}: {self.during[1]} of {self.during[0]}"
            f" requests served at the first try that was read,"
            f" {self.before[1]} of {self.before[0]} before"
            f" ({self.ratio:.2f}){unread}"
        )
