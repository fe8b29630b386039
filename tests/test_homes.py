"""Requests that may not run outside the regions allowed for them."""

from __future__ import annotations

import asyncio
import json

import pytest

from lovagestage.decisions.homes import get_common_homes, is_home
from tests.gateway_stage import KEY, LIMITS, make_route, run_stage

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
    assert get_common_homes(route, workspace) == homes


def test_a_zone_of_an_unknown_region_is_no_home():
    assert not is_home(None, EAST)
    assert is_home(None, None)


SETTINGS = "Zones.a=east\nZones.b=west"


async def add_upstreams(stage):
    await stage.add_worker("w1", Zone="a")
    await stage.add_worker("w2", Zone="b")
    rotation = stage.gateway.deployment.rotation
    await stage.wait_until(lambda: len(rotation) == 2)


def test_a_request_runs_at_home_or_not_at_all():
    # Guards against a request that runs outside its allowed regions because the
    # upstreams in these regions have failed, are gone or are evacuated.
    async def run():
        routes = [
            make_route("safe", AllowedRegions=["west"]),
            make_route("unsafe", "unsafe"),
        ]
        async with run_stage(0, routes=routes, more=SETTINGS) as stage:
            await add_upstreams(stage)
            for _ in range(8):
                assert (await stage.call("/safe/x")).status == 200
            assert stage.workers["w1"].arrivals == []
            await stage.workers["w2"].stop()
            await stage.call("/safe/x")
            stage.store.append_keyed("keyed.op", "evacuate/b", b"{}")
            deployment = stage.gateway.deployment
            await stage.wait_until(lambda: "b" in deployment.evacuations)
            reply = await stage.call("/safe/x")
            assert reply.status == 503
            assert json.loads(reply.body)["error"] == "no_upstream_at_home"
            assert stage.workers["w1"].arrivals == []
            assert (await stage.call("/unsafe/x")).status == 200

    asyncio.run(run())


def test_a_workspace_keeps_its_regions_on_every_route():
    async def run():
        async with run_stage(0, more=SETTINGS) as stage:
            await add_upstreams(stage)
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
            stage.store.append_keyed("keyed.op", "config", data)
            deployment = stage.gateway.deployment
            await stage.wait_until(lambda: deployment.configuration.version > 1)
            for _ in range(8):
                assert (await stage.call("/safe/x")).status == 200
            assert stage.workers["w2"].arrivals == []

    asyncio.run(run())
