"""Requests that may not run outside the regions allowed for them."""

from __future__ import annotations

import asyncio
import json

import pytest

from lovagestage.decisions.allowed_regions import (
    intersect_allowed_regions,
    is_region_allowed,
)
from tests.gateway_harness import KEY, LIMITS, make_route, run_gateway_harness

EAST, WEST = frozenset(["east"]), frozenset(["west"])


@pytest.mark.parametrize(
    ("route", "workspace", "homes"),
    [
        (None, None, None),
        (EAST, None, EAST),
        (None, WEST, WEST),
        (EAST | WEST, WEST, WEST),
        (EAST, WEST, frozenset()),
    ],
)
def test_regions_of_route_and_workspace_both_bind(route, workspace, homes):
    assert intersect_allowed_regions(route, workspace) == homes


def test_a_zone_of_an_unknown_region_is_not_allowed():
    assert not is_region_allowed(None, EAST)
    assert is_region_allowed(None, None)


SETTINGS = "Zones.a=east\nZones.b=west"


async def add_upstreams(harness):
    await harness.add_worker("w1", Zone="a")
    await harness.add_worker("w2", Zone="b")
    rotation = harness.gateway.deployment.rotation
    await harness.wait_until(lambda: len(rotation) == 2)


def test_a_request_runs_in_its_regions_or_not_at_all():
    # Guards against a request that runs outside its allowed regions because the
    # upstreams in these regions have failed, have stopped or are evacuated.
    async def run():
        routes = [
            make_route("safe", AllowedRegions=["west"]),
            make_route("unsafe", "unsafe"),
        ]
        async with run_gateway_harness(
            0, routes=routes, extra_settings=SETTINGS
        ) as harness:
            await add_upstreams(harness)
            for _ in range(8):
                assert (await harness.call("/safe/x")).status == 200
            assert harness.workers["w1"].arrivals == []
            await harness.workers["w2"].stop()
            await harness.call("/safe/x")
            harness.store.append_keyed("keyed.op", "evacuate/b", b"{}")
            deployment = harness.gateway.deployment
            await harness.wait_until(lambda: "b" in deployment.evacuations)
            reply = await harness.call("/safe/x")
            assert reply.status == 503
            assert json.loads(reply.body)["error"] == "no_upstream_at_home"
            assert harness.workers["w1"].arrivals == []
            assert (await harness.call("/unsafe/x")).status == 200

    asyncio.run(run())


def test_a_workspace_keeps_its_regions_on_every_route():
    async def run():
        async with run_gateway_harness(0, extra_settings=SETTINGS) as harness:
            await add_upstreams(harness)
            configuration = {
                "Version": 2,
                "Routes": [make_route("safe")],
                "Limits": LIMITS,
                "Tenants": [
                    {
                        "Name": "clinic",
                        "ApiKeys": [KEY],
                        "AllowedRegions": ["east"],
                    }
                ],
            }
            data = json.dumps(configuration).encode()
            harness.store.append_keyed("keyed.op", "config", data)
            deployment = harness.gateway.deployment
            await harness.wait_until(
                lambda: deployment.configuration.version > 1
            )
            for _ in range(8):
                assert (await harness.call("/safe/x")).status == 200
            assert harness.workers["w2"].arrivals == []

    asyncio.run(run())
