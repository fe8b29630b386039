"""Sums the queue times that gateways report, by upstream.

A gateway receives a hundred datagrams a second, each of which names a few of
thousands of upstreams. A report therefore updates only the sums of the
upstreams that it or the gateway's previous report names.
"""

from __future__ import annotations

from collections.abc import Mapping


class ReportedWaits:
    """Sums of reported queue times, by upstream, over the reporting gateways.

    Gateways and upstreams are identified by short numbers, and queue times are
    integers, so that a sum to which values are added and from which they
    are subtracted again returns exactly to its start.
    """

    def __init__(self) -> None:
        self._reported: dict[int, Mapping[int, int]] = {}
        self._totals: dict[int, int] = {}

    def replace(self, gateway: int, waits: Mapping[int, int]) -> set[int]:
        """Replaces all queue times that a gateway has reported.

        Args:
            gateway: Number of the gateway.
            waits: Queue time by upstream, in units of the reports (an integer).

        Returns:
            Upstreams whose sum may have changed.
        """
        before = self._reported.get(gateway, {})
        self._reported[gateway] = waits
        changed = before.keys() | waits.keys()
        for upstream in changed:
            difference = waits.get(upstream, 0) - before.get(upstream, 0)
            total = self._totals.pop(upstream, 0) + difference
            if total:
                self._totals[upstream] = total
        return set(changed)

    def get(self, upstream: int) -> int:
        """Returns the queue time at an upstream, summed over all gateways."""
        return self._totals.get(upstream, 0)
