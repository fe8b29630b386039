"""Runs the state chart of roll-outs, which is in `charts/rollout.yaml`."""

from __future__ import annotations

import dataclasses
import functools
import importlib.resources
from typing import Any

from lovagestage.types import RolloutPhase

_CHART = "rollout.yaml"
_EVENT = "observe"
_PHASE_NAMES = frozenset(phase.value for phase in RolloutPhase)


@dataclasses.dataclass(frozen=True)
class Observation:
    """Conditions of a roll-out as the driver observes them.

    Attributes:
        loaded: Whether every upstream that should load the new version has
            loaded it.
        old_loaded: Whether at least one upstream has the old version loaded.
        step_due: Whether the step has lasted long enough and the evidence
            permits the next step.
        last_step: Whether the step is the last one.
        paused: Whether the operator has paused the roll-out.
        aborted: Whether the operator has aborted the roll-out.
        stopped: Whether evidence against the new version has stopped the
            roll-out.
    """

    loaded: bool = False
    old_loaded: bool = False
    step_due: bool = False
    last_step: bool = False
    paused: bool = False
    aborted: bool = False
    stopped: bool = False


@dataclasses.dataclass(frozen=True)
class Position:
    """Phase and step of a roll-out.

    Attributes:
        phase: Phase of the roll-out.
        step: Index into the document's steps.
    """

    phase: RolloutPhase = RolloutPhase.LOADING
    step: int = 0


def get_next_position(position: Position, seen: Observation) -> Position:
    """Returns the position of a roll-out after an observation.

    A call takes about a millisecond, so the chart is used for roll-outs and
    not for requests.

    Args:
        position: Position of the roll-out as recorded in the log.
        seen: Conditions that the driver observes.

    Returns:
        `position` itself, by value, if no transition applies.
    """
    from sismic.interpreter import Interpreter

    interpreter = Interpreter(
        _load_chart(),
        initial_context={
            "recorded": position.phase.value,
            "step": position.step,
            "seen": seen,
        },
    )
    interpreter.execute()
    interpreter.queue(_EVENT)
    interpreter.execute()
    phase = next(
        RolloutPhase(name)
        for name in interpreter.configuration
        if name in _PHASE_NAMES
    )
    return Position(phase, int(interpreter.context["step"]))


@functools.cache
def _load_chart() -> Any:
    """Reads and validates the chart; the result is cached.

    Raises:
        sismic.exceptions.StatechartError: The chart is not valid.
    """
    from sismic.io import import_from_yaml

    folder = importlib.resources.files("lovagestage.state") / "charts"
    return import_from_yaml((folder / _CHART).read_text(encoding="utf-8"))
