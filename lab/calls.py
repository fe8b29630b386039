"""HTTP calls of the launcher to the processes that it has started."""

from __future__ import annotations

import urllib.request


def call(method: str, url: str, body: bytes | None = None) -> bytes:
    """Makes one HTTP call and returns the response body.

    Raises:
        OSError: The call failed or returned an HTTP error status.
    """
    request = urllib.request.Request(url, data=body, method=method)
    with urllib.request.urlopen(request, timeout=10.0) as response:
        data: bytes = response.read()
        return data
