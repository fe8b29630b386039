"""Requests under way while the configuration changes."""

from __future__ import annotations

import asyncio
import json

import pytest

from lab import worker as lab
from tests.gateway_harness import (
    MODELS,
    make_configuration,
    make_request,
    make_route,
    read_reply,
    run_gateway_harness,
)

STREAM = {"Resumable": True, "TargetGapMs": 3000, "SessionAffinity": True}
CHANGES = {
    "route gone": {"routes": [make_route("open", Public=True)]},
    "other service": {
        "routes": [
            make_route("safe", Service="other"),
            make_route("unsafe", "unsafe", Service="other"),
            make_route("stream", "streaming", Service="other", **STREAM),
        ],
        "services": [{"Name": "other", "HealthPath": "/healthz"}],
    },
    "shorter timeout": {
        "routes": [
            make_route("safe", TimeoutMs=200),
            make_route("unsafe", "unsafe", TimeoutMs=200),
            make_route("stream", "streaming", TimeoutMs=200, **STREAM),
        ]
    },
    "other kind": {
        "routes": [
            make_route("safe", "streaming", Sizes=MODELS, **STREAM),
            make_route("unsafe", "safe"),
            make_route("stream", "unsafe"),
        ]
    },
    "key gone": {"keys": ["another"]},
    "shorter limits": {},
}
ROUTES = [
    make_route("safe", TargetLatencyMs=2000),
    make_route("unsafe", "unsafe"),
    make_route("stream", "streaming", **STREAM),
]
"""Routes of which no attempt is given up for its silence while it runs."""
TIGHT_LIMITS = {
    "MaxHeaderBytes": 64,
    "MaxBodyBytes": 1,
    "HeaderTimeoutMs": 50,
    "IdleTimeoutMs": 50,
}


async def answer_slowly(arrival, writer):
    if arrival.target.startswith("/stream/"):
        await lab.make_stream(15, pause_s=0.1)(arrival, writer)
        return
    await asyncio.sleep(1.2)
    await lab.answer_plain(arrival, writer)


async def change_configuration(harness, change):
    if change == "shorter limits":
        data = make_configuration(2, ROUTES) | {"Limits": TIGHT_LIMITS}
        harness.store.append_keyed(
            "keyed.op", "config", json.dumps(data).encode()
        )
    else:
        harness.put_configuration(version=2, **CHANGES[change])
    deployment = harness.gateway.deployment
    await harness.wait_until(lambda: deployment.configuration.version == 2)


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
async def test_request_under_way_is_answered_beside_a_change(path, change):
    # The configuration by which a request was admitted is replaced while it
    # runs. Its answer must come complete.
    async with run_gateway_harness(
        script=answer_slowly, routes=ROUTES
    ) as harness:
        reader, writer = await harness.connect()
        writer.write(make_request(path, body=b"prompt"))
        await asyncio.sleep(0.3)
        await change_configuration(harness, change)
        reply = await asyncio.wait_for(read_reply(reader), 4.0)
        assert reply.status == 200
        assert reply.is_complete
        writer.close()


@pytest.mark.parametrize("change", CHANGES)
async def test_request_half_read_is_answered_beside_a_change(change):
    # The configuration is replaced while a request is read. It must be answered
    # or refused.
    async with run_gateway_harness(
        script=answer_slowly, routes=ROUTES
    ) as harness:
        reader, writer = await harness.connect()
        request = make_request("/unsafe/x", body=b"prompt")
        writer.write(request[:40])
        await asyncio.sleep(0.1)
        await change_configuration(harness, change)
        writer.write(request[40:])
        reply = await asyncio.wait_for(read_reply(reader), 4.0)
        assert reply.status in (200, 401, 404, 413, 431, 502, 503, 504)
        writer.close()


@pytest.mark.parametrize("change", CHANGES)
async def test_request_is_repeated_beside_a_change(change):
    # The first attempt fails after the configuration was replaced. The request
    # must be answered by another upstream, or refused.
    async def fail_first(arrival, writer):
        if (
            len(arrivals := [*harness.workers.values()])
            and sum(len(w.arrivals) for w in arrivals) == 1
        ):
            await asyncio.sleep(0.8)
            await lab.reset(arrival, writer)
            return
        await lab.answer_plain(arrival, writer)

    async with run_gateway_harness(script=fail_first, routes=ROUTES) as harness:
        reader, writer = await harness.connect()
        writer.write(make_request("/safe/x", Deadline_Ms="2900"))
        await asyncio.sleep(0.2)
        await change_configuration(harness, change)
        reply = await asyncio.wait_for(read_reply(reader), 4.0)
        assert reply.status in (200, 502, 503, 504)
        writer.close()


def test_changes_differ_from_the_first_configuration():
    # A change that changes nothing would test nothing.
    first = make_configuration()
    for change in CHANGES.values():
        assert not change or make_configuration(**change) != first
