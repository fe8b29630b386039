"""Sizes of the fleets that the lab starts."""

from __future__ import annotations

import dataclasses
import pathlib

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@dataclasses.dataclass(frozen=True)
class Shape:
    """Size and service of a fleet.

    Attributes:
        service: Name of the service and of its example document.
        zones: Availability zones, assigned to processes round robin.
        entries: Number of entry VMs.
        engines: Number of model engines.
        plains: Number of plain service workers.
        models: Versions that each engine has loaded at the start.
        pool: Name of the plain service's pool.
    """

    service: str
    zones: tuple[str, ...]
    entries: int
    engines: int
    plains: int
    models: str = "small@1,large@1,large@2"
    pool: str = ""


SHAPES = {
    "lahore": Shape(
        "vault",
        ("lhe-a", "lhe-b", "lhe-c", "lhe-d"),
        entries=3,
        engines=5,
        plains=4,
        pool="portal",
    ),
    "tasmania": Shape(
        "toyshop",
        ("tas-a", "tas-b", "tas-c"),
        entries=2,
        engines=6,
        plains=3,
        pool="shop",
    ),
    "thin": Shape("vault", ("lhe-a", "lhe-b"), 2, 2, 0),
}
