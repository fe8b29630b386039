"""HTTP calls of the launcher to what it has started."""

from __future__ import annotations

import urllib.request


def call(method: str, url: str, body: bytes | None = None) -> bytes:
    """Makes one HTTP call.

    Raises:
        OSError: It failed; HTTP error statuses included.
    """
    request = urllib.request.Request(url, data=body, method=method)
    with urllib.request.urlopen(request, timeout=10.0) as response:
        data: bytes = response.read()
        return data
