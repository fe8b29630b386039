"""Availability zones that operators want emptied: pure decisions.

The load that this answers: a zone is to be shut down, or has trouble that the
gateways can't see. Its upstreams answer as ever, so nothing but the order
keeps requests away from them. What runs there may end; nothing new is sent.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from lovagestage.types import Offset, ZoneId


@dataclasses.dataclass(frozen=True)
class _Order:
    """The newest record on a zone.

    Attributes:
        offset: Its place in the store.
        is_standing: Whether the zone is to be empty.
    """

    offset: Offset
    is_standing: bool


class Evacuations:
    """Which zones are to be empty, by the order of the store's records.

    Records may be read late, twice and out of order; the newest one of a zone
    decides, also where a read shows the past.
    """

    def __init__(self) -> None:
        self._orders: dict[ZoneId, _Order] = {}

    def __contains__(self, zone: ZoneId) -> bool:
        order = self._orders.get(zone)
        return order is not None and order.is_standing

    def __len__(self) -> int:
        return sum(order.is_standing for order in self._orders.values())

    def apply(self, zone: ZoneId, offset: Offset, is_standing: bool) -> bool:
        """Takes a record; returns whether it changes what is to be empty."""
        known = self._orders.get(zone)
        if known is not None and offset <= known.offset:
            return False
        was_standing = zone in self
        self._orders[zone] = _Order(offset, is_standing)
        return is_standing != was_standing

    def replace_all(
        self, standing: Mapping[ZoneId, Offset], end: Offset
    ) -> dict[ZoneId, bool]:
        """Takes a list of all standing orders; others were taken back.

        Args:
            standing: Zones, with the offsets of their orders.
            end: Offset that the list covers. What is known of later records
                stays.

        Returns:
            Zones that changed, with whether they are to be empty now.
        """
        changes = {
            zone: True
            for zone, offset in standing.items()
            if self.apply(zone, offset, True)
        }
        for zone in self._orders.keys() - standing.keys():
            # The removal has no record any more; it is before the list's end.
            if self.apply(zone, Offset(end - 1), False):
                changes[zone] = False
        return changes
