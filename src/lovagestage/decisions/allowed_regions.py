"""Decides in which regions a request may run.

A route and a workspace may each name the regions in which their requests may
run. The upstreams in the allowed regions may be full or unavailable while
others have free capacity. The request is then refused; it never runs in another
region.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

from lovagestage.types import RegionId

RegionSet = frozenset[RegionId]


def intersect_allowed_regions(
    *region_sets: RegionSet | None,
) -> RegionSet | None:
    """Returns the regions that route and workspace both allow.

    Args:
        *region_sets: Regions that the route and the workspace each allow; None
            for any region.

    Returns:
        The common regions, which may be an empty set; None for any region.
    """
    restricted = [regions for regions in region_sets if regions is not None]
    if not restricted:
        return None
    return restricted[0].intersection(*restricted[1:])


def is_region_allowed(
    region: RegionId | None, allowed_regions: RegionSet | None
) -> bool:
    """Returns whether a request may run in a region.

    Args:
        region: The region; None if it is not known, which no set of allowed
            regions contains.
        allowed_regions: Regions in which the request may run; None for any
            region.
    """
    return allowed_regions is None or region in allowed_regions
