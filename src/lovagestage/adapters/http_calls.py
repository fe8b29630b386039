"""What the HTTP adapters have in common: time limits and failures."""

from __future__ import annotations

import aiohttp
import msgspec

CONNECT_TIMEOUT_S = 2.0
SHORT_CALL_TIMEOUT_S = 5.0
SHORT_CALL = aiohttp.ClientTimeout(total=SHORT_CALL_TIMEOUT_S)
"""For calls whose question and answer are short."""
STREAM = aiohttp.ClientTimeout(
    total=None,
    sock_connect=CONNECT_TIMEOUT_S,
    sock_read=None,
)
"""The reader of a stream watches its progress: see `runs`."""
UNREADABLE = (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError)
"""What a call raises that has no answer or one that can't be read."""


def make_read_timeout(hold_s: float = 0.0) -> aiohttp.ClientTimeout:
    """Time limits of a call whose answer may be large.

    They end silence, not a transfer: one that is cut begins from the start
    and is cut again, for ever.

    Args:
        hold_s: Time for which the other end may hold the call.
    """
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=hold_s + SHORT_CALL_TIMEOUT_S,
    )
