"""Experiments, one in each module, with a function `run(seed) -> Result`."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class Result:
    """Results of one run of an experiment.

    Attributes:
        name: Name of the experiment.
        seed: Seed of all random choices.
        baseline: Figures of the naive implementation under the same workload.
        lovagestage: Figures of the product.
        ratio: Figure that the goal refers to, usually product divided by
            baseline.
        ok: Whether all goals of the experiment were met.
        notes: Parameters of the run, such as sizes, ranges and units.
    """

    name: str
    seed: int
    baseline: dict[str, Any]
    lovagestage: dict[str, Any]
    ratio: float
    ok: bool
    notes: dict[str, Any] = dataclasses.field(default_factory=dict)
