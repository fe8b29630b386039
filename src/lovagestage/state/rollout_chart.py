"""Interprets the roll-out state chart in `charts/rollout.yaml`."""

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
    """What the driver sees of a roll-out.

    Attributes:
        loaded: Every upstream that should have the new version has it.
        old_loaded: Some upstream has the old version.
        step_due: The step has lasted long enough and nothing speaks against
            the next one.
        last_step: The step is the last.
        paused: The operator has paused it.
        aborted: The operator has aborted it.
        stopped: Evidence against the new version has stopped it.
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
    """Where a roll-out is.

    Attributes:
        phase: Its phase.
        step: Index into the document's steps.
    """

    phase: RolloutPhase = RolloutPhase.LOADING
    step: int = 0


def get_next_position(position: Position, seen: Observation) -> Position:
    """The position after an observation; the same where nothing follows.

    Costs about a millisecond, which is why it is for roll-outs and not for
    requests.
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
    """Reads and checks the chart once.

    Raises:
        sismic.exceptions.StatechartError: The chart is not valid.
    """
    from sismic.io import import_from_yaml

    folder = importlib.resources.files("lovagestage.state") / "charts"
    return import_from_yaml((folder / _CHART).read_text(encoding="utf-8"))
