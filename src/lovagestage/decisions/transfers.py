"""How fast a long answer is read over a link that callers share: pure.

The load that this answers: a large configuration comes over a narrow link and
fills it. What callers send and what upstreams answer waits behind it for as
long as it lasts, and plain requests are late by several times their aim. Read
at a part of the link's rate, it leaves the rest to them.
"""

from __future__ import annotations

import dataclasses

FREE_BYTES = 32 * 1024
"""So much is read at once: most answers are shorter."""
LINK_RATIO = 0.5
"""Part of the link that a transfer takes."""

MAX_PAUSE_S = 0.2
"""A transfer goes on after this: its sender must not take it for given up."""


@dataclasses.dataclass(frozen=True)
class TransferPace:
    """Limits transfers over one link.

    Attributes:
        link_bytes_per_s: What the link carries.
        longest_s: A transfer takes no longer than this for its pace.
    """

    link_bytes_per_s: float
    longest_s: float

    def get_pause_s(
        self, received_bytes: int, expected_bytes: int | None, age_s: float
    ) -> float:
        """Time to wait before more is read.

        Args:
            received_bytes: What has been read.
            expected_bytes: The whole; None where it is not known.
            age_s: Time since the transfer began.
        """
        paced_bytes = received_bytes - FREE_BYTES
        if paced_bytes <= 0 or received_bytes == expected_bytes:
            return 0.0
        rate = LINK_RATIO * self.link_bytes_per_s
        rate = max(rate, (expected_bytes or 0) / self.longest_s)
        return min(MAX_PAUSE_S, max(0.0, paced_bytes / rate - age_s))
