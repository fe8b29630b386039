"""Charges requests to their workspaces and tells the other entries."""

from __future__ import annotations

import contextlib
import logging
import time
from collections.abc import Iterator

import mode

from lovagestage.bus.hub import Hub
from lovagestage.bus.links import LinkTable
from lovagestage.bus.transport import PeerId
from lovagestage.control.reader import ControlReader
from lovagestage.decisions.limits import Limit, LimitTable, get_workspace_tag
from lovagestage.exceptions import (
    DeadlineInfeasibleError,
    RequestRefusedError,
    WorkspaceLimitError,
)
from lovagestage.execution.request import Request, Result
from lovagestage.messages.envelope import Message, encode_message
from lovagestage.messages.peers import UsageReport
from lovagestage.timers import TimerService
from lovagestage.types import RunState, VmId

_log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.5
REPORT_BUDGET_BYTES_PER_S = 2500
"""Of the 3 KB/s that control may use on each VM."""
FRAME_BYTES = 100
"""IP, TCP, ZMTP and CURVE headers of one message."""


class LimitService(mode.Service):
    """Owns an entry's table of limits.

    Args:
        table: The state.
        control: Configuration in force.
        peers: Connections to the other entries.
        timers: Timer service.
        hub: Hands over what arrives at the listener.
    """

    def __init__(
        self,
        table: LimitTable,
        control: ControlReader,
        peers: LinkTable,
        timers: TimerService,
        hub: Hub,
    ) -> None:
        super().__init__()
        self._table = table
        self._control = control
        self._peers = peers
        self._timers = timers
        self._next_peer = 0
        self._revisions: dict[str, int] = {}
        hub.register(UsageReport, self._on_report)

    async def on_start(self) -> None:
        """Subscribes to the timers."""
        self._timers.subscribe(REPORT_INTERVAL_S, self._on_report_due)

    @contextlib.contextmanager
    def charge(
        self,
        request: Request,
        result: Result,
        max_tokens: int | None,
        keyed: bool,
    ) -> Iterator[None]:
        """Charges an estimate, and what was used once the request ends.

        Args:
            request: The request.
            result: Filled in by the dispatcher.
            max_tokens: Most tokens of the answer, where the caller says so.
            keyed: The request has a key, so that it may have run before.

        Raises:
            WorkspaceLimitError: The workspace is over its limit.
        """
        self._read_limits()
        tag = get_workspace_tag(request.service, request.workspace)
        charge = self._table.admit(
            tag, max_tokens, request.priority, time.monotonic()
        )
        if charge.retry_after_s is not None:
            raise WorkspaceLimitError(
                f"Workspace {request.workspace!r} has used up its token"
                " limit for now.",
                RunState.UNKNOWN if keyed else RunState.NOT_RUN,
                charge.retry_after_s,
            )
        is_proved_not_run = False
        try:
            yield
        except RequestRefusedError as error:
            # Of a request with a key the refusal must say `unknown`, though
            # this one of its requests has not run.
            is_proved_not_run = error.run is RunState.NOT_RUN or isinstance(
                error, DeadlineInfeasibleError
            )
            raise
        finally:
            used = get_used_tokens(
                request, result, charge.tokens, is_proved_not_run
            )
            self._table.replace_estimate(tag, charge, used, time.monotonic())

    def get_dump(self) -> list[dict[str, object]]:
        """State by workspace, for the dump."""
        return self._table.get_dump()

    def _read_limits(self) -> None:
        for name, service in self._control.services.items():
            if self._revisions.get(name) == service.revision:
                continue
            self._revisions[name] = service.revision
            for workspace, spec in service.document.workspaces.items():
                self._table.set_limit(
                    get_workspace_tag(name, workspace),
                    Limit(spec.limit_tokens_per_s, spec.burst_tokens),
                )

    def _on_report_due(self) -> None:
        self._read_limits()
        live = sorted(self._peers.get_presumed())
        report = self._table.make_report(time.monotonic())
        size_bytes = len(encode_message(report)) if report else 0
        count = get_report_count(size_bytes, len(live))
        cycle_s = REPORT_INTERVAL_S * max(1.0, len(live) / count)
        self._table.set_peers(live, cycle_s)
        if report is not None:
            for vm in self._take_next(live, count):
                self._peers.send(vm, report)

    def _take_next(self, live: list[VmId], count: int) -> list[VmId]:
        start = self._next_peer % max(1, len(live))
        self._next_peer = start + count
        return (live[start:] + live[:start])[:count]

    def _on_report(self, peer: PeerId, message: Message) -> None:
        del peer
        assert isinstance(message, UsageReport)
        self._read_limits()
        self._table.apply_report(message, time.monotonic())


def get_report_count(size_bytes: int, peers: int) -> int:
    """How many peers are told in one interval within the budget."""
    budget_bytes = REPORT_BUDGET_BYTES_PER_S * REPORT_INTERVAL_S
    affordable = int(budget_bytes // (size_bytes + FRAME_BYTES))
    return max(1, min(peers, affordable))


def get_used_tokens(
    request: Request, result: Result, estimate: float, is_proved_not_run: bool
) -> float:
    """Tokens that a request has cost, as far as its end tells.

    Args:
        request: The request.
        result: What is known of its answer.
        estimate: Stands where the count is not known: the caller has left,
            or the run has failed after it may have started.
        is_proved_not_run: The request was refused and was surely not run.
    """
    if result.request_id not in (None, request.request_id):
        # It has read the run of another request, which is charged for it.
        return 0.0
    if result.finished is not None:
        return float(result.finished.completion_tokens)
    return 0.0 if is_proved_not_run else estimate
