"""Chooses cascade plans at one entry and learns from the answers' ratings."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time

import mode

from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.transport import PeerId
from lovagestage.control.reader import ControlReader
from lovagestage.decisions.cascade import CascadeTable, get_difficulty
from lovagestage.decisions.learned_counters import LearnedCounters
from lovagestage.execution.request import Request, Result
from lovagestage.messages.counters import Arm, LearnedDelta, Plan
from lovagestage.messages.envelope import Message
from lovagestage.state.document import (
    ClassSpec,
    ServiceDocument,
    get_open_versions,
)
from lovagestage.timers import TimerService
from lovagestage.types import ServiceId, WorkspaceId, parse_model_version

PUBLISH_INTERVAL_S = 1.0
SOLVE_INTERVAL_S = 2.0
MAX_TABLES = 512
"""Largest number of plan tables; there is one for each combination of request
class and allowed versions. Beyond it the least recently used table is dropped,
and its requests get the best version until the table is solved again."""


@dataclasses.dataclass(frozen=True)
class TableKey:
    """Identifies a plan table.

    Attributes:
        service: The service.
        class_name: The request class.
        versions: Versions that the workspace may use, the best one last.
        quality_target: Mean rating that the plans must reach.
    """

    service: ServiceId
    class_name: str
    versions: tuple[str, ...]
    quality_target: float

    def make_arm(self, difficulty: int, plan: Plan) -> Arm:
        """Makes the arm of a request.

        The arm's class name includes the service, so that classes of the same
        name in two services have separate counters.

        Args:
            difficulty: Difficulty level of the request.
            plan: The plan that the request follows.
        """
        return Arm(self.get_scope(), difficulty, plan)

    def get_scope(self) -> str:
        """Returns the name of the class, unique over all services."""
        return f"{self.service}/{self.class_name}"


class CascadeService(mode.Service):
    """Chooses plans for requests that name a service instead of a model.

    A table is solved outside the request path and outside the event loop:
    with many versions that takes tens of milliseconds, and in the event loop no
    caller would receive a chunk during that time. Until a class has a table,
    its requests get the best version.

    Args:
        control: Configuration in force.
        learned: Counters that this entry knows.
        peers: Connections to the other entries.
        timers: Timer service.
        hub: Delivers the other entries' counters.
        rng: Source of randomness for choices.
        window_s: Length of a counter's time window, in seconds.
    """

    def __init__(
        self,
        control: ControlReader,
        learned: LearnedCounters,
        peers: LinkTable,
        timers: TimerService,
        hub: Hub,
        rng: random.Random,
        window_s: float,
    ) -> None:
        super().__init__()
        self._control = control
        self._learned = learned
        self._peers = peers
        self._rng = rng
        self._window_s = window_s
        self._tables: dict[TableKey, CascadeTable | None] = {}
        self._has_new_counts = False
        hub.register(LearnedDelta, self._on_delta)
        timers.subscribe(PUBLISH_INTERVAL_S, self._on_publish_due)

    def choose_plan(
        self,
        document: ServiceDocument,
        workspace: WorkspaceId,
        class_name: str,
        spec: ClassSpec,
        prompt_bytes: int,
    ) -> Arm | None:
        """Chooses the plan of a request.

        Args:
            document: Document of the service.
            workspace: The workspace that sent the request.
            class_name: The request class.
            spec: Specification of the class.
            prompt_bytes: Size of the prompt in bytes.

        Returns:
            The arm with the plan; None where the class has no quality target
            or the workspace may use none of its versions.
        """
        allowed = {str(v) for v in get_open_versions(document, workspace)}
        versions = tuple(v for v in spec.cascade if v in allowed)
        if not versions or not spec.quality_target:
            return None
        key = TableKey(
            document.service, class_name, versions, spec.quality_target
        )
        difficulty = get_difficulty(prompt_bytes)
        table = self._get_table(key)
        if table is None:
            return key.make_arm(difficulty, Plan(versions[-1]))
        return key.make_arm(
            difficulty, table.choose_plan(difficulty, self._rng)
        )

    def add_answer(self, arm: Arm, request: Request, result: Result) -> None:
        """Counts an answer that followed a plan, with its total cost.

        The cost includes a first answer that a second version's has replaced.

        Args:
            arm: The arm of the request.
            request: The request.
            result: The result of the request.
        """
        cost = 0.0
        if result.replaced_answer is not None:
            price = self._get_price(request.service, arm.plan.first)
            cost += price * result.replaced_answer.completion_tokens
        if result.finished is not None:
            price = self._get_price(request.service, str(result.version))
            cost += price * result.finished.completion_tokens
        self._learned.add_request(arm, cost)
        self._has_new_counts = True

    def add_rating(self, arm: Arm, score: float) -> None:
        """Counts the rating of an answer that followed a plan.

        Args:
            arm: The arm of the answered request.
            score: The rating, from 0 to 1.
        """
        self._learned.add_rating(arm, score)
        self._has_new_counts = True

    def get_dump(self) -> list[dict[str, object]]:
        """Returns the plans of each class by difficulty level, for the dump."""
        return [
            {
                "class": key.get_scope(),
                "versions": key.versions,
                "bound": table.get_lower_bound(),
                "explore_ratio": table.explore_ratio,
                "levels": {
                    str(level): [
                        [share.plan.first, share.plan.escalate_to, share.ratio]
                        for share in shares
                    ]
                    for level, shares in table.shares.items()
                },
            }
            for key, table in self._tables.items()
            if table is not None
        ]

    async def on_start(self) -> None:
        """Sets the counters to the current time window."""
        self._learned.set_window(int(time.time() / self._window_s))

    def _get_price(self, service: ServiceId, version: str) -> float:
        service_state = self._control.services.get(service)
        name = parse_model_version(version)
        spec = (
            service_state.document.get_version(name)
            if service_state and name
            else None
        )
        return spec.price if spec else 0.0

    def _get_table(self, key: TableKey) -> CascadeTable | None:
        table = self._tables.pop(key, None)
        self._tables[key] = table
        if len(self._tables) > MAX_TABLES:
            del self._tables[next(iter(self._tables))]
        return table

    def _on_publish_due(self) -> None:
        self._learned.set_window(int(time.time() / self._window_s))
        delta = self._learned.make_delta()
        if not delta.entries:
            return
        for vm in self._peers.get_permanent():
            self._peers.send(vm, delta)

    def _on_delta(self, peer: PeerId, message: Message) -> None:
        del peer
        assert isinstance(message, LearnedDelta)
        self._learned.merge(message)
        self._has_new_counts = True

    @mode.Service.task
    async def _solve_periodically(self) -> None:
        solved_window = 0
        while not self.should_stop:
            current_window = int(time.time() / self._window_s)
            if self._has_new_counts or current_window != solved_window:
                self._has_new_counts = False
                solved_window = current_window
                await self._solve_tables()
            await self.sleep(SOLVE_INTERVAL_S)

    async def _solve_tables(self) -> None:
        for key in list(self._tables):
            table = await asyncio.to_thread(
                CascadeTable,
                key.versions,
                key.get_scope(),
                key.quality_target,
                self._learned.get_sums(),
            )
            if key in self._tables:
                self._tables[key] = table
