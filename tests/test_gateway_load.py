"""What a gateway believes of the load of its upstreams."""

from __future__ import annotations

import asyncio

import pytest

from lab import worker as lab
from lovagestage.gateway.latency import UNKNOWN_S, LoadGauge
from tests.gateway_stage import run_stage

AIM_S = 1.5
BURST = 30
SLOW_START_S = 0.25


def test_idle_upstreams_put_no_pressure():
    gauge = LoadGauge()
    gauge.add(0.05, AIM_S)
    assert gauge.get_pressure(0.0, AIM_S) == 0.0


@pytest.mark.parametrize(
    ("begun_s", "wait_s"), [(AIM_S, 0.0), (0.05, AIM_S), (AIM_S, AIM_S)]
)
def test_late_answers_and_long_waits_are_full_pressure(begun_s, wait_s):
    gauge = LoadGauge()
    gauge.add(begun_s, AIM_S)
    assert gauge.get_pressure(wait_s, AIM_S) == 1.0


async def test_burst_is_not_escalated_before_its_first_answers():
    # All gateways have just started, and the callers that waited come at
    # once. No answer has begun yet, so nothing is late, but the upstreams are
    # full: larger models, asked for each answer in doubt, would make all late.
    script = lab.make_stream(
        2, confidence={"small": 40, "large": 90}, first_s=SLOW_START_S
    )
    async with run_stage(workers=2, script=script) as stage:
        calls = [
            stage.call(
                "/sized/x", body=b"p", request_id=f"b{number}", Model_Name="*"
            )
            for number in range(BURST)
        ]
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200}
        asked = [
            arrival.headers["model-name"]
            for worker in stage.workers.values()
            for arrival in worker.arrivals
        ]
        assert asked.count("small") == BURST
        assert asked.count("large") < BURST / 3


async def test_requests_count_before_any_answer_is_known():
    # Nothing has been answered yet, so no time is known for such a request.
    # It must count as load all the same, or all would go to one upstream.
    script = lab.make_stream(1, first_s=SLOW_START_S)
    async with run_stage(workers=1, script=script) as stage:
        (upstream,) = stage.gateway.deployment.rotation.get_all()
        call = asyncio.ensure_future(
            stage.call("/stream/x", body=b"p", Model_Name="m")
        )
        await stage.wait_until(lambda: upstream.performance.running == 1)
        assert upstream.performance.waiting_s == UNKNOWN_S
        assert (await call).status == 200
        assert upstream.performance.waiting_s == 0.0
