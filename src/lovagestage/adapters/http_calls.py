"""What the HTTP adapters have in common: time limits and failures."""

from __future__ import annotations

import aiohttp
import msgspec

CONNECT_TIMEOUT_S = 2.0
SHORT_CALL_TIMEOUT_S = 5.0
SHORT_CALL = aiohttp.ClientTimeout(total=SHORT_CALL_TIMEOUT_S)
STREAM = aiohttp.ClientTimeout(
    total=None,
    sock_connect=CONNECT_TIMEOUT_S,
    sock_read=None,
)
"""The reader of a stream watches its progress: see `runs`."""
UNREADABLE = (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError)
"""What a call raises that has no answer or one that can't be read."""
