"""Timeouts and error types that the HTTP adapters share."""

from __future__ import annotations

import aiohttp
import msgspec

CONNECT_TIMEOUT_S = 2.0
"""Longest time that opening a TCP connection may take."""
SHORT_CALL_TIMEOUT_S = 5.0
"""Longest time for a call with short messages, and longest inactivity while a
longer response is read."""
SHORT_TIMEOUT = aiohttp.ClientTimeout(total=SHORT_CALL_TIMEOUT_S)
"""Timeout of calls whose request and response are short."""
STREAM_TIMEOUT = aiohttp.ClientTimeout(
    total=None,
    sock_connect=CONNECT_TIMEOUT_S,
    sock_read=None,
)
"""Timeout of streams, which limits only the connection set-up: the reader of a
stream monitors its progress, see `execution.engine_stream`."""
READ_ERRORS = (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError)
"""Exceptions of a call whose response is missing or can't be parsed."""


def make_read_timeout(delay_s: float = 0.0) -> aiohttp.ClientTimeout:
    """Builds the timeout of a call whose response may be large.

    The timeout limits inactivity, not the total transfer. A transfer that is
    aborted is started again from the beginning, so a limit on its total time
    would abort it again and again, for ever.

    Args:
        delay_s: Time in seconds for which the server may delay its response,
            as in a long poll.
    """
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=delay_s + SHORT_CALL_TIMEOUT_S,
    )
