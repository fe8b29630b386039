"""Experiments: one module each, with `run(seed) -> Result`."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class Result:
    """What one run of an experiment gave.

    Attributes:
        name: Name of the experiment.
        seed: Seed of all randomness.
        baseline: Figures of the naive version, on the same work.
        lovagestage: Figures of the product.
        ratio: The figure that the goal is about: product over baseline.
        ok: Whether every goal of the experiment was met.
        notes: What was run: sizes, ranges, units.
    """

    name: str
    seed: int
    baseline: dict[str, Any]
    lovagestage: dict[str, Any]
    ratio: float
    ok: bool
    notes: dict[str, Any] = dataclasses.field(default_factory=dict)
