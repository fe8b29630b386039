"""Chooses plans at one entry and learns from their ratings."""

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

SHARE_INTERVAL_S = 1.0
SOLVE_INTERVAL_S = 2.0
MAX_TABLES = 512
"""Classes and sets of allowed versions with a table; past it the one that was
asked for longest ago is dropped, and begins again with the best version."""


@dataclasses.dataclass(frozen=True)
class TableKey:
    """What a table is for.

    Attributes:
        service: The service.
        class_name: The request class.
        versions: Versions that the workspace may use, best last.
        quality_target: Mean rating to hold.
    """

    service: ServiceId
    class_name: str
    versions: tuple[str, ...]
    quality_target: float

    def make_arm(self, difficulty: int, plan: Plan) -> Arm:
        """The arm of a request; classes of two services are kept apart."""
        return Arm(self.get_scope(), difficulty, plan)

    def get_scope(self) -> str:
        """Name of the class over all services."""
        return f"{self.service}/{self.class_name}"


class CascadeService(mode.Service):
    """Plans for requests that name a service.

    A table is solved off the request path and off the event loop: it takes
    tens of milliseconds at many versions, in which no caller would get a
    chunk. Until a class has a table it gets the best version.

    Args:
        control: Configuration in force.
        learned: Counters of this entry.
        peers: Connections to the other entries.
        timers: Timer service.
        hub: Hands over the other entries' counters.
        rng: Source of randomness for choices.
        window_s: Length of the windows of the counters.
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
        self._changed = False
        hub.register(LearnedDelta, self._on_delta)
        timers.subscribe(SHARE_INTERVAL_S, self._on_share_due)

    def choose(
        self,
        document: ServiceDocument,
        workspace: WorkspaceId,
        class_name: str,
        spec: ClassSpec,
        prompt_bytes: int,
    ) -> Arm | None:
        """Chooses the plan of a request.

        Returns:
            None where the class has no target or the workspace no version.
        """
        allowed = {str(v) for v in get_open_versions(document, workspace)}
        versions = tuple(v for v in spec.cascade if v in allowed)
        if not versions or not spec.quality_target:
            return None
        key = TableKey(
            document.service, class_name, versions, spec.quality_target
        )
        difficulty = get_difficulty(prompt_bytes)
        table = self._find(key)
        if table is None:
            return key.make_arm(difficulty, Plan(versions[-1]))
        return key.make_arm(
            difficulty, table.choose_plan(difficulty, self._rng)
        )

    def add_answer(self, arm: Arm, request: Request, result: Result) -> None:
        """Counts an answer that followed a plan, with all that it cost."""
        cost = 0.0
        if result.first is not None:
            price = self._get_price(request.service, arm.plan.start)
            cost += price * result.first.completion_tokens
        if result.finished is not None:
            price = self._get_price(request.service, str(result.version))
            cost += price * result.finished.completion_tokens
        self._learned.add_request(arm, cost)
        self._changed = True

    def add_rating(self, arm: Arm, score: float) -> None:
        """Counts the rating of such an answer."""
        self._learned.add_rating(arm, score)
        self._changed = True

    def get_dump(self) -> list[dict[str, object]]:
        """Each class's plans by level, for the dump."""
        return [
            {
                "class": key.get_scope(),
                "versions": key.versions,
                "bound": table.get_lower_bound(),
                "explore_ratio": table.explore_ratio,
                "levels": {
                    str(level): [
                        [share.plan.start, share.plan.then, share.ratio]
                        for share in shares
                    ]
                    for level, shares in table.shares.items()
                },
            }
            for key, table in self._tables.items()
            if table is not None
        ]

    async def on_start(self) -> None:
        """Begins at the present window."""
        self._learned.set_window(int(time.time() / self._window_s))

    def _get_price(self, service: ServiceId, version: str) -> float:
        held = self._control.services.get(service)
        name = parse_model_version(version)
        spec = held.document.get_version(name) if held and name else None
        return spec.price if spec else 0.0

    def _find(self, key: TableKey) -> CascadeTable | None:
        table = self._tables.pop(key, None)
        self._tables[key] = table
        if len(self._tables) > MAX_TABLES:
            del self._tables[next(iter(self._tables))]
        return table

    def _on_share_due(self) -> None:
        self._learned.set_window(int(time.time() / self._window_s))
        delta = self._learned.make_delta()
        if not delta.entries:
            return
        for vm in self._peers.get_kept():
            self._peers.send(vm, delta)

    def _on_delta(self, peer: PeerId, message: Message) -> None:
        del peer
        assert isinstance(message, LearnedDelta)
        self._learned.merge(message)
        self._changed = True

    @mode.Service.task
    async def _solve_all(self) -> None:
        window = 0
        while not self.should_stop:
            latest = int(time.time() / self._window_s)
            if self._changed or latest != window:
                self._changed = False
                window = latest
                await self._solve_once()
            await self.sleep(SOLVE_INTERVAL_S)

    async def _solve_once(self) -> None:
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
