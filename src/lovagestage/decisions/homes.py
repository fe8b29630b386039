"""Regions that requests may not leave: pure decisions.

Routes and workspaces may each name regions where their requests may run. The
load that this answers: upstreams at home are full or gone while others have
room. A request is then refused; it never runs elsewhere.
"""

from __future__ import annotations

from lovagestage.types import RegionId

Homes = frozenset[RegionId]


def get_common_homes(*all_homes: Homes | None) -> Homes | None:
    """Regions that all who name some agree on.

    Args:
        *all_homes: What route and workspace name; None for anywhere.

    Returns:
        The regions, which may be none at all; None for anywhere.
    """
    named = [homes for homes in all_homes if homes is not None]
    if not named:
        return None
    return named[0].intersection(*named[1:])


def is_home(region: RegionId | None, homes: Homes | None) -> bool:
    """Whether a request may run in a region.

    Args:
        region: The region; None where it is not known, which is no home.
        homes: Where the request may run; None for anywhere.
    """
    return homes is None or region in homes
