"""Charges requests to their workspaces and reports usage to other entries."""

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
"""Bytes per second for usage reports, out of the 3 KB/s that control traffic
may use on each VM."""
MESSAGE_OVERHEAD_BYTES = 100
"""Size in bytes of the IP, TCP, ZMTP and CURVE headers of one message."""


class LimitService(mode.Service):
    """Runs an entry's table of token limits.

    Args:
        table: Limits and usage by workspace.
        control: Configuration in force.
        peers: Connections to the other entries.
        timers: Timer service.
        hub: Delivers the messages that arrive at this entry's listener.
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
        self._next_peer_index = 0
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
        """Charges an estimate first, and the actual usage at the request's end.

        Args:
            request: The request.
            result: The result of the request; the dispatcher fills it in.
            max_tokens: Largest number of completion tokens, where the caller
                has set one.
            keyed: Whether the request has a request key, so that it may have
                run before.

        Raises:
            WorkspaceLimitError: The workspace has reached its token limit.
        """
        self._refresh_limits()
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
            # The refusal of a keyed request must say `unknown` even though
            # this request itself was not run, because an earlier request with
            # the key may have run.
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
        """Returns the state of each workspace, for the state dump."""
        return self._table.get_dump()

    def _refresh_limits(self) -> None:
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
        self._refresh_limits()
        peer_names = sorted(self._peers.get_presumed_running())
        report = self._table.make_report(time.monotonic())
        size_bytes = len(encode_message(report)) if report else 0
        count = get_report_count(size_bytes, len(peer_names))
        cycle_s = REPORT_INTERVAL_S * max(1.0, len(peer_names) / count)
        self._table.set_peers(peer_names, cycle_s)
        if report is not None:
            for vm in self._select_next_peers(peer_names, count):
                self._peers.send(vm, report)

    def _select_next_peers(
        self, peer_names: list[VmId], count: int
    ) -> list[VmId]:
        start = self._next_peer_index % max(1, len(peer_names))
        self._next_peer_index = start + count
        return (peer_names[start:] + peer_names[:start])[:count]

    def _on_report(self, peer: PeerId, message: Message) -> None:
        del peer
        assert isinstance(message, UsageReport)
        self._refresh_limits()
        self._table.apply_report(message, time.monotonic())


def get_report_count(size_bytes: int, peers: int) -> int:
    """Returns how many peers get a report per interval within the budget.

    Args:
        size_bytes: Size of the report in bytes.
        peers: Number of peers.

    Returns:
        The number of peers, at least 1.
    """
    budget_bytes = REPORT_BUDGET_BYTES_PER_S * REPORT_INTERVAL_S
    affordable_reports = int(
        budget_bytes // (size_bytes + MESSAGE_OVERHEAD_BYTES)
    )
    return max(1, min(peers, affordable_reports))


def get_used_tokens(
    request: Request, result: Result, estimate: float, is_proved_not_run: bool
) -> float:
    """Returns the tokens that a request has used, as far as its end shows.

    Args:
        request: The request.
        result: What is known of the answer.
        estimate: Tokens to charge where the count is unknown, because the
            caller has disconnected or the run has failed after it may have
            started.
        is_proved_not_run: Whether the request was refused and certainly not
            run.

    Returns:
        Completion tokens.
    """
    if result.request_id not in (None, request.request_id):
        # The request has read the run of another request, which is charged
        # for that run.
        return 0.0
    if result.finished is not None:
        return float(result.finished.completion_tokens)
    return 0.0 if is_proved_not_run else estimate
