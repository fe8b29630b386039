"""Retries that are reserved for a run which turns out not to be silent."""

from __future__ import annotations

import asyncio
import types

from lovagestage.gateway import silence
from lovagestage.gateway.retry_permit import RetryPermit
from tests.test_rollout_evidence_gaps import read_while_stalled

PATIENCE_S = 0.05


class OneRetry:
    """A budget with one retry."""

    def __init__(self):
        self.tokens = 1.0

    def try_acquire(self, _now_s):
        has_one = self.tokens >= 1.0
        self.tokens -= has_one
        return has_one

    def release(self):
        self.tokens += 1.0


async def test_run_that_goes_on_keeps_no_retry_reserved(monkeypatch):
    # Data arrives at the moment of the decision, as after a stall of the
    # gateway. Each such run kept a retry from all others until its end.
    budget = OneRetry()
    permit = RetryPermit(budget)
    attempts = types.SimpleNamespace(
        remaining_s=10.0,
        sent=1,
        permit=permit,
        admitted=types.SimpleNamespace(request=types.SimpleNamespace(id="r")),
    )

    def reserve(_suspects, attempts, _upstream):
        attempts.permit.reserve(asyncio.get_running_loop().time())

    monkeypatch.setattr(silence, "find_obstacle", reserve)
    await silence.wait_for_data(
        None, attempts, None, read_while_stalled(), PATIENCE_S
    )
    assert not permit.is_reserved
    assert budget.tokens == 1.0
