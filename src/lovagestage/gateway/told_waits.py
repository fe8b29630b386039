"""Sums what gateways told of their waiting requests, upstream by upstream.

The load that this answers: a gateway takes in a hundred datagrams a second,
each of which names a few of thousands of upstreams.
"""

from __future__ import annotations

from collections.abc import Mapping


class ToldWaits:
    """Sums by upstream over the gateways that count.

    Gateways and upstreams go by short names, waits by whole units, so that
    sums which are added to and taken from end where they began.
    """

    def __init__(self) -> None:
        self._told: dict[int, Mapping[int, int]] = {}
        self._totals: dict[int, int] = {}

    def replace(self, gateway: int, waits: Mapping[int, int]) -> set[int]:
        """Takes all that a gateway has waiting now.

        Returns:
            Upstreams whose sum may have changed.
        """
        before = self._told.get(gateway, {})
        self._told[gateway] = waits
        changed = before.keys() | waits.keys()
        for name in changed:
            change = waits.get(name, 0) - before.get(name, 0)
            total = self._totals.pop(name, 0) + change
            if total:
                self._totals[name] = total
        return set(changed)

    def get(self, upstream: int) -> int:
        """What waits at an upstream, over all gateways."""
        return self._totals.get(upstream, 0)
