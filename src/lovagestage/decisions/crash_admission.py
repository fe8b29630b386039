"""Ways in which a request may run after crashes of upstreams."""

from __future__ import annotations

import enum


class Admission(enum.Enum):
    """Way in which a request may run."""

    FREE = "free"
    PROBE = "probe"
    WAIT = "wait"
    """Another request with the same suspect is being probed, or it is being
    checked whether the upstreams of lost runs have crashed."""
    REFUSE = "refuse"
    REFUSE_PARTS = "refuse_parts"
    """The request holds parts that crash upstreams."""
