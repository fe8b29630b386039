"""The run state in a refusal covers all attempts of the request."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

import pytest

from lovagestage.decisions.routing import UpstreamView
from lovagestage.entry.crash_watch import TrackedAttempt
from lovagestage.entry.dispatcher import Dispatcher
from lovagestage.exceptions import (
    IsolatedRunPendingError,
    RequestRefusedError,
    VersionWithdrawnError,
)
from lovagestage.execution.request import Request, Result
from lovagestage.messages.runs import Dispatch, Refused
from lovagestage.types import ModelVersion, RunState

VERSION = ModelVersion("large", "1")


class FakeUpstreams:
    """Two upstreams that refuse each dispatch with the next run state."""

    def __init__(self, states):
        self.links = {}
        self.states = states

    def subscribe(self, on_message, on_reconnect, on_gone):
        self.on_message = on_message

    def get_views(self):
        return [UpstreamView(vm, "z", {str(VERSION)}, 0, 9) for vm in "ab"]

    def get_heartbeat(self, vm):
        return None

    def record_sent(self, vm):
        pass

    def may_recover(self, version, excluded):
        return False

    def send(self, vm, message):
        if isinstance(message, Dispatch):
            key = (message.request_id, message.attempt)
            refused = Refused(*key, "upstream_failed", "x", self.states.pop(0))
            asyncio.get_running_loop().call_soon(self.on_message, vm, refused)


class FakeTimers:
    def subscribe(self, interval_s, callback):
        pass


class FakePermissions:
    def check(self, request):
        pass


class FakeCrashes:
    """Admits a number of attempts, and lets the next attempt wait."""

    def __init__(self, count):
        self.count = count

    async def admit(self, fingerprint, label, deadline_at_s):
        self.count -= 1
        if self.count < 0:
            raise IsolatedRunPendingError("waiting")
        return False

    def get_strikes(self, fingerprint):
        return 0

    def track_attempt(self, fingerprint, label):
        return contextlib.nullcontext(TrackedAttempt())


@pytest.mark.parametrize(
    ("states", "admitted", "told"),
    [
        (["unknown", "not_run", "not_run"], 9, "unknown"),
        (["unknown", "unknown", "unknown"], 9, "unknown"),
        (["ran", "not_run", "not_run"], 9, "ran"),
        (["ran", "unknown", "unknown"], 9, "ran"),
        (["unknown", "not_run"], 1, "unknown"),
        (["not_run", "not_run", "not_run"], 9, "not_run"),
        (["not_run"], 1, "not_run"),
    ],
)
async def test_refusal_reports_run_state_of_all_attempts(
    states, admitted, told
):
    # A first attempt may have run. A later attempt is proved not to have run,
    # finds no upstream or is not admitted. If the refusal described the later
    # attempt alone, the caller would send a request again that has run.
    upstreams = FakeUpstreams([RunState(state) for state in states])
    dispatcher = Dispatcher(
        upstreams,
        random.Random(1),
        FakeTimers(),
        FakeCrashes(admitted),
        FakePermissions(),
    )
    request = Request(
        "r", "w", "s", VERSION, 1, True, time.monotonic() + 5, False, b"{}"
    )
    with pytest.raises(RequestRefusedError) as caught:
        async for _ in dispatcher.run(request, Result(VERSION)):
            pass
    assert caught.value.run is RunState(told)


class WithdrawingPermissions:
    """Allows a number of requests; the version is withdrawn after them."""

    def __init__(self, count):
        self.count = count

    def check(self, request):
        self.count -= 1
        if self.count < 0:
            raise VersionWithdrawnError("withdrawn", retry_after_s=1)


@pytest.mark.parametrize(
    ("state", "told"), [("not_run", "not_run"), ("unknown", "unknown")]
)
async def test_request_is_not_sent_again_once_its_version_is_withdrawn(
    state, told
):
    # The first attempt fails in a way that a retry at another upstream could
    # overcome. The version is withdrawn before the second attempt. The caller
    # gets a refusal whose run state covers the first attempt, and no upstream
    # receives a second dispatch.
    upstreams = FakeUpstreams([RunState(state), RunState.NOT_RUN])
    dispatcher = Dispatcher(
        upstreams,
        random.Random(1),
        FakeTimers(),
        FakeCrashes(9),
        WithdrawingPermissions(1),
    )
    request = Request(
        "r", "w", "s", VERSION, 1, True, time.monotonic() + 5, False, b"{}"
    )
    with pytest.raises(VersionWithdrawnError) as caught:
        async for _ in dispatcher.run(request, Result(VERSION)):
            pass
    assert caught.value.run is RunState(told)
    assert len(upstreams.states) == 1
