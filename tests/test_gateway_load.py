"""The load of the upstreams as a gateway measures it."""

from __future__ import annotations

import asyncio

import pytest

from lab import worker as lab
from lovagestage.gateway.latency import DEFAULT_ANSWER_S, LoadGauge
from tests.gateway_harness import MODELS, make_route, run_gateway_harness

TARGET_LATENCY_S = 1.5
BURST = 20
CONFIDENCE = {"small": 40, "large": 90}
SLOW_START_S = 0.25


def test_idle_upstreams_put_no_pressure():
    gauge = LoadGauge()
    gauge.record_first_event(0.05, TARGET_LATENCY_S)
    assert gauge.get_load(0.0, TARGET_LATENCY_S) == 0.0


@pytest.mark.parametrize(
    ("begun_s", "wait_s"),
    [
        (TARGET_LATENCY_S, 0.0),
        (0.05, TARGET_LATENCY_S),
        (TARGET_LATENCY_S, TARGET_LATENCY_S),
    ],
)
def test_late_answers_and_long_waits_are_full_pressure(begun_s, wait_s):
    gauge = LoadGauge()
    gauge.record_first_event(begun_s, TARGET_LATENCY_S)
    assert gauge.get_load(wait_s, TARGET_LATENCY_S) == 1.0


async def test_burst_is_not_escalated_before_its_first_answers():
    # All gateways have just started, and the callers that waited arrive at the
    # same moment. The first answer begins early and has a low confidence,
    # while the upstream works through all the other requests: an escalation to
    # a larger model now would make them late, though no answer has been late
    # so far.
    fast_script = lab.make_stream(
        2, confidence=CONFIDENCE, first_s=SLOW_START_S
    )
    slow_script = lab.make_stream(2, first_s=4 * SLOW_START_S)

    async def run(arrival, writer):
        script = fast_script if arrival.request_id == "first" else slow_script
        await script(arrival, writer)

    route = make_route(
        "sized",
        "streaming",
        Sizes=MODELS,
        Resumable=True,
        TargetLatencyMs=TARGET_LATENCY_S * 1000,
    )
    async with run_gateway_harness(1, run, routes=[route]) as harness:
        calls = [
            asyncio.ensure_future(
                harness.call("/sized/x", request_id=name, Model_Name="*")
            )
            for name in ("first", *(f"b{number}" for number in range(BURST)))
        ]
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200}
        assert b"data: small" in replies[0].body


async def test_requests_count_before_any_answer_is_known():
    # No request has been answered yet, so the time of such a request is not
    # known. It must count as load nevertheless, or all requests would be sent
    # to one upstream.
    script = lab.make_stream(1, first_s=SLOW_START_S)
    async with run_gateway_harness(workers=1, script=script) as harness:
        (upstream,) = harness.gateway.deployment.rotation.get_all()
        call = asyncio.ensure_future(
            harness.call("/stream/x", body=b"p", Model_Name="m")
        )
        await harness.wait_until(lambda: upstream.performance.running == 1)
        assert upstream.performance.waiting_s == DEFAULT_ANSWER_S
        assert (await call).status == 200
        assert upstream.performance.waiting_s == 0.0
