"""State of the availability zones that operators have evacuated.

An operator evacuates a zone that is to be shut down or that has a fault which
the gateways can't detect. The upstreams of such a zone answer as usual, so only
the operator's order keeps requests away from them. Requests that already run
there may finish; no new request is sent there.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from lovagestage.decisions.positions import START
from lovagestage.types import Position, ZoneId


@dataclasses.dataclass(frozen=True)
class _Order:
    """The newest record of one zone.

    Attributes:
        position: Position of the record in the store.
        is_evacuated: Whether the zone is evacuated.
    """

    position: Position
    is_evacuated: bool


class EvacuatedZones:
    """Set of the evacuated zones, in the order of the store's records.

    Records may be read late, repeatedly and out of order, and a read may return
    an older state of the store. In each case the newest record of a zone
    decides.
    """

    def __init__(self) -> None:
        self._orders: dict[ZoneId, _Order] = {}

    def __contains__(self, zone: ZoneId) -> bool:
        order = self._orders.get(zone)
        return order is not None and order.is_evacuated

    def __len__(self) -> int:
        return sum(order.is_evacuated for order in self._orders.values())

    def apply_record(
        self, zone: ZoneId, position: Position, is_evacuated: bool
    ) -> bool:
        """Applies a record; returns whether the zone's state changes."""
        existing = self._orders.get(zone)
        if existing is not None and position <= existing.position:
            return False
        was_evacuated = zone in self
        self._orders[zone] = _Order(position, is_evacuated)
        return is_evacuated != was_evacuated

    def get_position(self, zone: ZoneId) -> Position:
        """Returns the position of the newest record known of a zone."""
        order = self._orders.get(zone)
        return START if order is None else order.position

    def replace_all(
        self, evacuated: Mapping[ZoneId, Position], end: Position
    ) -> dict[ZoneId, bool]:
        """Applies a list of all evacuated zones; restores all others.

        Args:
            evacuated: Evacuated zones, with the positions of their records.
            end: Position at which the list ends. State from later records is
                retained.

        Returns:
            Zones that changed, each with whether it is evacuated now.
        """
        changes = {
            zone: True
            for zone, position in evacuated.items()
            if self.apply_record(zone, position, True)
        }
        for zone in self._orders.keys() - evacuated.keys():
            # The store retains no record of the removal, which took place
            # before the end of the list.
            if self.apply_record(zone, Position(end - 1), False):
                changes[zone] = False
        return changes
